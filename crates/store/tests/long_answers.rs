//! The client against a platform whose answers are long.

mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use camphorwalk_core::platform::{ObjectName, PlatformOp, PlatformReply};
use camphorwalk_store::{Client, ClientOptions, RetryOptions};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::Builder;
use tokio::time::{sleep, timeout};

use support::{PATIENT, any_port, options};

/// The pause between two pieces of an answer.
const PAUSE: Duration = Duration::from_millis(20);

/// How long a client waits for a piece.
const PATIENCE: Duration = Duration::from_millis(200);

/// The pieces of an answer, which come to some times the patience.
const PIECES: usize = 40;

/// The bytes of a piece.
const PIECE: &[u8] = b"0123456789abcdef";

/// What the store does after so many pieces.
#[derive(Clone, Copy)]
enum Then {
    End,
    Stop,
}

/// The pieces of an answer that goes on for far longer than any may.
const ENDLESS: usize = 100_000;

/// A store of one long object, which it sends in pieces.
struct SlowStore {
    address: SocketAddr,
    requests: Arc<AtomicUsize>,
}

impl SlowStore {
    /// Starts a store that answers its first `whole` requests wholly and stops in the middle of
    /// all others.
    async fn start(whole: usize) -> Self {
        let listener = TcpListener::bind(any_port()).await.unwrap();
        let address = listener.local_addr().unwrap();
        let requests = Arc::new(AtomicUsize::new(0));
        let counted = Arc::clone(&requests);
        tokio::spawn(async move {
            loop {
                let (stream, _) = listener.accept().await.unwrap();
                tokio::spawn(serve(stream, Arc::clone(&counted), whole));
            }
        });

        Self { address, requests }
    }

    /// Starts a store with a thread of its own, which goes on while the client's thread is paused.
    fn start_apart() -> Self {
        let (tx, rx) = std::sync::mpsc::channel();
        std::thread::spawn(move || {
            let runtime = Builder::new_current_thread().enable_all().build().unwrap();
            runtime.block_on(async {
                tx.send(Self::start(usize::MAX).await).unwrap();
                std::future::pending::<()>().await;
            });
        });

        rx.recv().unwrap()
    }

    fn requests(&self) -> usize {
        self.requests.load(Ordering::Relaxed)
    }

    /// Makes a client that tries once and gives up on a silence of [`PATIENCE`].
    fn client(&self) -> Client {
        let usual = options(self.address);
        let retry = RetryOptions { max_attempts: 1, ..usual.retry };

        Client::new(ClientOptions { deadline: PATIENCE, min_deadline: PATIENCE, retry, ..usual })
            .unwrap()
    }
}

async fn serve(mut stream: TcpStream, requests: Arc<AtomicUsize>, whole: usize) {
    let mut buf = [0; 4_096];

    // The requests have no body and come one at a time, each in one piece.
    while stream.read(&mut buf).await.is_ok_and(|bytes| bytes > 0) {
        let is_whole = requests.fetch_add(1, Ordering::Relaxed) < whole;
        let (pieces, then) = if is_whole { (PIECES, Then::End) } else { (3, Then::Stop) };
        if send(&mut stream, pieces).await.is_err() {
            return;
        }
        match then {
            Then::End => {}
            Then::Stop => sleep(PATIENT).await,
        }
    }
}

/// Starts a store whose answer goes on for far longer than any may.
async fn start_endless() -> SlowStore {
    let listener = TcpListener::bind(any_port()).await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut buf = [0; 4_096];
        let _ = stream.read(&mut buf).await;
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", ENDLESS * PIECE.len());
        let mut next = head.as_bytes();
        while stream.write_all(next).await.is_ok() {
            sleep(PAUSE).await;
            next = PIECE;
        }
    });

    SlowStore { address, requests: Arc::default() }
}

async fn send(stream: &mut TcpStream, pieces: usize) -> std::io::Result<()> {
    let length = PIECES * PIECE.len();
    let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n");
    stream.set_nodelay(true)?;
    stream.write_all(head.as_bytes()).await?;

    for _ in 0..pieces {
        sleep(PAUSE).await;
        stream.write_all(PIECE).await?;
    }
    Ok(())
}

fn object() -> Box<[u8]> {
    PIECE.repeat(PIECES).into()
}

async fn read(client: &Client) -> PlatformReply {
    client.run(PlatformOp::GetObject(ObjectName::of(&object()))).await
}

/// Guards against an answer that arrives well being given up and asked for again from its start.
#[tokio::test]
async fn a_long_answer_that_goes_on_coming_is_not_given_up() {
    let store = SlowStore::start(usize::MAX).await;
    let client = Client::new(ClientOptions { deadline: PATIENCE, ..options(store.address) });

    let reply = read(&client.unwrap()).await;

    assert_eq!(store.requests(), 1);
    assert_eq!(reply, PlatformReply::Object(Some(object())));
}

/// Guards against waiting for the rest of an answer that will not come.
#[tokio::test]
async fn an_answer_that_stops_in_the_middle_is_given_up_within_the_patience() {
    let store = SlowStore::start(0).await;
    let began = Instant::now();

    let reply = timeout(PATIENT, read(&store.client())).await.expect("the client waits on");

    assert_eq!(reply, PlatformReply::Unavailable);
    let most = 3 * PAUSE + 5 * PATIENCE;
    assert!(began.elapsed() < most, "{:?} of {most:?}", began.elapsed());
}

/// Guards against long answers making a client wait long for the next lost one.
#[tokio::test]
async fn long_answers_do_not_make_the_client_patient() {
    let store = SlowStore::start(5).await;
    let client = store.client();
    for _ in 0..5 {
        assert_eq!(read(&client).await, PlatformReply::Object(Some(object())));
    }
    let began = Instant::now();

    let reply = timeout(PATIENT, read(&client)).await.expect("the client waits on");

    assert_eq!(reply, PlatformReply::Unavailable);
    let most = 3 * PAUSE + 5 * PATIENCE;
    assert!(began.elapsed() < most, "{:?} of {most:?}", began.elapsed());
}

/// Guards against an answer that is given up because the process was paused while it came.
#[tokio::test]
async fn what_comes_while_the_process_is_paused_is_in_time() {
    let store = SlowStore::start_apart();
    let client = Client::new(ClientOptions { deadline: PATIENCE, ..options(store.address) });
    tokio::spawn(async {
        loop {
            sleep(PAUSE / 2).await;
            // The machine gives the process its processor for a part of the time.
            std::thread::sleep(PATIENCE + PAUSE);
        }
    });

    let reply = read(&client.unwrap()).await;

    assert_eq!(store.requests(), 1);
    assert_eq!(reply, PlatformReply::Object(Some(object())));
}

/// Guards against an operation that never ends since its answer never does.
#[tokio::test]
async fn an_answer_that_comes_too_slowly_is_given_up() {
    let store = start_endless().await;
    let began = Instant::now();

    let reply = timeout(PATIENT, read(&store.client())).await.expect("the client waits on");

    assert_eq!(reply, PlatformReply::Unavailable);
    assert!(began.elapsed() > 5 * PATIENCE, "{:?}", began.elapsed());
}

/// Guards against a transfer that goes on without its owner being told.
#[tokio::test]
async fn each_piece_of_an_answer_is_told() {
    let store = SlowStore::start(1).await;
    let told = std::sync::Mutex::new(Vec::new());

    let watch = |bytes| told.lock().unwrap().push(bytes);
    let name = ObjectName::of(&object());
    store.client().run_with_progress(PlatformOp::GetObject(name), &watch).await;

    let told = told.into_inner().unwrap();
    assert!(told.len() > 3 && told.is_sorted(), "{told:?}");
    assert_eq!(told.last(), Some(&object().len()));
}
