//! A proxy on loopback that harms the connections that go through it.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// What a proxy does with what it gets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Harm {
    /// It passes it on.
    None,
    /// It passes it on after a while.
    Delay(Duration),
    /// It passes nothing on, in both ways, and says nothing.
    Silent,
    /// It passes on what comes from the connecting side only.
    OneWay,
    /// It breaks all connections, and each new one at once.
    Reset,
}

/// How often a held connection looks whether the harm is over.
const LOOK: Duration = Duration::from_millis(20);

/// A proxy before one address.
pub struct Proxy {
    pub address: SocketAddr,
    harm: Rc<Cell<Harm>>,
    /// Counts up when all connections are to break.
    breaks: watch::Sender<u32>,
}

impl Proxy {
    /// Starts a proxy before `to`, on a free port of `ip`.
    pub async fn start(to: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let harm = Rc::new(Cell::new(Harm::None));
        let (breaks, broken) = watch::channel(0);

        let shared = Rc::clone(&harm);
        tokio::task::spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                if shared.get() != Harm::Reset {
                    tokio::task::spawn_local(join(stream, to, Rc::clone(&shared), broken.clone()));
                }
            }
        });

        Self { address, harm, breaks }
    }

    /// Sets what it does from now on, also with open connections.
    pub fn set(&self, harm: Harm) {
        self.harm.set(harm);
        if harm == Harm::Reset {
            self.breaks.send_modify(|count| *count += 1);
        }
    }
}

async fn join(
    near: TcpStream,
    to: SocketAddr,
    harm: Rc<Cell<Harm>>,
    mut broken: watch::Receiver<u32>,
) {
    broken.mark_unchanged();
    let Ok(far) = TcpStream::connect(to).await else { return };
    let (near_in, near_out) = near.into_split();
    let (far_in, far_out) = far.into_split();

    tokio::select! {
        _ = broken.changed() => {}
        () = pump(near_in, far_out, Rc::clone(&harm), false) => {}
        () = pump(far_in, near_out, harm, true) => {}
    }
}

/// Passes bytes on until one side closes.
async fn pump(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    harm: Rc<Cell<Harm>>,
    is_return: bool,
) {
    let mut buf = vec![0; 16_384];

    loop {
        let Ok(count @ 1..) = from.read(&mut buf).await else { return };
        if let Harm::Delay(time) = harm.get() {
            tokio::time::sleep(time).await;
        }
        while matches!(harm.get(), Harm::Silent) || (is_return && harm.get() == Harm::OneWay) {
            tokio::time::sleep(LOOK).await;
        }
        if to.write_all(&buf[..count]).await.is_err() {
            return;
        }
    }
}
