//! A TCP proxy on loopback that injects network faults.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// What a proxy does with the bytes that it receives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkFault {
    /// Forwards the bytes.
    None,
    /// Forwards each chunk after a delay.
    Delay(Duration),
    /// Holds back the bytes of both directions but keeps connections open, like a network
    /// partition.
    Stall,
    /// Forwards bytes from the connecting side and holds the replies back.
    StallReplies,
    /// Forwards bytes from the connecting side slowly, like a target that reads its requests slowly.
    SlowRequests,
    /// Closes all connections, and each new one at once.
    Reset,
}

/// The interval at which a stalled connection checks whether the fault has ended.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The size of the chunks in which requests are forwarded slowly, with [`POLL_INTERVAL`] after each.
const SLOW_CHUNK_BYTES: usize = 1_024;

/// A proxy for one address.
pub struct Proxy {
    /// The address at which the proxy listens.
    pub address: SocketAddr,
    fault: Rc<Cell<LinkFault>>,
    /// Changes when all open connections must be closed.
    resets: watch::Sender<u32>,
}

impl Proxy {
    /// Starts a proxy for `to` on a free port of 127.0.0.1.
    pub async fn start(to: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let fault = Rc::new(Cell::new(LinkFault::None));
        let (resets, reset) = watch::channel(0);

        let shared = Rc::clone(&fault);
        tokio::task::spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                if shared.get() != LinkFault::Reset {
                    tokio::task::spawn_local(forward_connection(
                        stream,
                        to,
                        Rc::clone(&shared),
                        reset.clone(),
                    ));
                }
            }
        });

        Self { address, fault, resets }
    }

    /// Sets the fault from now on, also for open connections.
    pub fn set(&self, fault: LinkFault) {
        self.fault.set(fault);
        if fault == LinkFault::Reset {
            self.resets.send_modify(|count| *count += 1);
        }
    }
}

/// Connects to the target and forwards bytes in both directions until one side closes or the
/// connection is reset.
async fn forward_connection(
    client: TcpStream,
    to: SocketAddr,
    fault: Rc<Cell<LinkFault>>,
    mut reset: watch::Receiver<u32>,
) {
    reset.mark_unchanged();
    let Ok(server) = TcpStream::connect(to).await else { return };
    let (client_in, client_out) = client.into_split();
    let (server_in, server_out) = server.into_split();

    tokio::select! {
        _ = reset.changed() => {}
        () = forward_bytes(client_in, server_out, Rc::clone(&fault), false) => {}
        () = forward_bytes(server_in, client_out, fault, true) => {}
    }
}

/// Forwards bytes of one direction until either side closes. `is_return` is set for the direction
/// back to the connecting side.
async fn forward_bytes(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    fault: Rc<Cell<LinkFault>>,
    is_return: bool,
) {
    let mut buf = vec![0; 16_384];

    loop {
        let Ok(count @ 1..) = from.read(&mut buf).await else { return };
        if let LinkFault::Delay(time) = fault.get() {
            tokio::time::sleep(time).await;
        }
        while matches!(fault.get(), LinkFault::Stall)
            || (is_return && fault.get() == LinkFault::StallReplies)
        {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        let is_slow = !is_return && fault.get() == LinkFault::SlowRequests;
        for chunk in buf[..count].chunks(if is_slow { SLOW_CHUNK_BYTES } else { count }) {
            if to.write_all(chunk).await.is_err() {
                return;
            }
            if is_slow {
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        }
    }
}
