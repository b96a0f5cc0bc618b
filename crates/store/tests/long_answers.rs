//! Tests the client against a platform that sends long responses slowly.

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

use support::{TEST_TIMEOUT, any_port, options};

/// The pause between two pieces of a response.
const PAUSE: Duration = Duration::from_millis(20);

/// How long a client waits for each piece.
const PIECE_DEADLINE: Duration = Duration::from_millis(200);

/// The number of pieces of a response. Sending them all takes several times the deadline.
const PIECES: usize = 40;

/// The content of a piece.
const PIECE: &[u8] = b"0123456789abcdef";

/// What the store does after it has sent its pieces.
#[derive(Clone, Copy)]
enum AfterPieces {
    End,
    Stop,
}

/// The number of pieces of a response that takes far longer than any response may.
const ENDLESS_PIECES: usize = 100_000;

/// A server with one long object, which it sends in pieces.
struct SlowStore {
    address: SocketAddr,
    requests: Arc<AtomicUsize>,
}

impl SlowStore {
    /// Starts a store that sends complete responses to its first `complete` requests, and stops in
    /// the middle of the responses to all others.
    async fn start(complete: usize) -> Self {
        let listener = TcpListener::bind(any_port()).await.unwrap();
        let address = listener.local_addr().unwrap();
        let requests = Arc::new(AtomicUsize::new(0));
        let counted = Arc::clone(&requests);
        tokio::spawn(async move {
            loop {
                let (stream, _) = listener.accept().await.unwrap();
                tokio::spawn(serve(stream, Arc::clone(&counted), complete));
            }
        });

        Self { address, requests }
    }

    /// Starts a store on a thread of its own, which keeps sending while the client's thread is
    /// paused.
    fn start_on_own_thread() -> Self {
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

    /// Creates a client that makes one attempt and waits [`PIECE_DEADLINE`] for each piece.
    fn client(&self) -> Client {
        let defaults = options(self.address);
        let retry = RetryOptions { max_attempts: 1, ..defaults.retry };

        Client::new(ClientOptions {
            deadline: PIECE_DEADLINE,
            min_deadline: PIECE_DEADLINE,
            retry,
            ..defaults
        })
        .unwrap()
    }
}

async fn serve(mut stream: TcpStream, requests: Arc<AtomicUsize>, complete: usize) {
    let mut buf = [0; 4_096];

    // The requests have no body and arrive one at a time, each in a single read.
    while stream.read(&mut buf).await.is_ok_and(|bytes| bytes > 0) {
        let is_complete = requests.fetch_add(1, Ordering::Relaxed) < complete;
        let (pieces, then) =
            if is_complete { (PIECES, AfterPieces::End) } else { (3, AfterPieces::Stop) };
        if send(&mut stream, pieces).await.is_err() {
            return;
        }
        match then {
            AfterPieces::End => {}
            AfterPieces::Stop => sleep(TEST_TIMEOUT).await,
        }
    }
}

/// Starts a store whose response takes far longer than any response may.
async fn start_endless() -> SlowStore {
    let listener = TcpListener::bind(any_port()).await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut buf = [0; 4_096];
        let _ = stream.read(&mut buf).await;
        let head =
            format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", ENDLESS_PIECES * PIECE.len());
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

/// Guards against aborting a long response that arrives steadily, and requesting it again from its
/// start.
#[tokio::test]
async fn a_long_response_that_keeps_arriving_is_not_aborted() {
    let store = SlowStore::start(usize::MAX).await;
    let client = Client::new(ClientOptions { deadline: PIECE_DEADLINE, ..options(store.address) });

    let reply = read(&client.unwrap()).await;

    assert_eq!(store.requests(), 1);
    assert_eq!(reply, PlatformReply::Object(Some(object())));
}

/// Guards against waiting indefinitely for the rest of a response that stopped.
#[tokio::test]
async fn a_response_that_stops_in_the_middle_is_aborted_within_the_deadline() {
    let store = SlowStore::start(0).await;
    let began = Instant::now();

    let reply = timeout(TEST_TIMEOUT, read(&store.client())).await.expect("the client waits on");

    assert_eq!(reply, PlatformReply::Unavailable);
    let max = 3 * PAUSE + 5 * PIECE_DEADLINE;
    assert!(began.elapsed() < max, "{:?} of {max:?}", began.elapsed());
}

/// Guards against long responses raising the timeout, which would delay the detection of the next
/// lost response. Only the time to the response head may count.
#[tokio::test]
async fn long_responses_do_not_raise_the_timeout() {
    let store = SlowStore::start(5).await;
    let client = store.client();
    for _ in 0..5 {
        assert_eq!(read(&client).await, PlatformReply::Object(Some(object())));
    }
    let began = Instant::now();

    let reply = timeout(TEST_TIMEOUT, read(&client)).await.expect("the client waits on");

    assert_eq!(reply, PlatformReply::Unavailable);
    let max = 3 * PAUSE + 5 * PIECE_DEADLINE;
    assert!(began.elapsed() < max, "{:?} of {max:?}", began.elapsed());
}

/// Guards against aborting a response because the process was paused while it arrived.
#[tokio::test]
async fn data_that_arrives_while_the_process_is_paused_is_accepted() {
    let store = SlowStore::start_on_own_thread();
    let client = Client::new(ClientOptions { deadline: PIECE_DEADLINE, ..options(store.address) });
    tokio::spawn(async {
        loop {
            sleep(PAUSE / 2).await;
            // Blocks the client's thread, like a process that exceeds its CPU quota.
            std::thread::sleep(PIECE_DEADLINE + PAUSE);
        }
    });

    let reply = read(&client.unwrap()).await;

    assert_eq!(store.requests(), 1);
    assert_eq!(reply, PlatformReply::Object(Some(object())));
}

/// Guards against an operation that never ends because its response keeps arriving slowly.
#[tokio::test]
async fn a_response_that_arrives_too_slowly_is_aborted() {
    let store = start_endless().await;
    let began = Instant::now();

    let reply = timeout(TEST_TIMEOUT, read(&store.client())).await.expect("the client waits on");

    assert_eq!(reply, PlatformReply::Unavailable);
    assert!(began.elapsed() > 5 * PIECE_DEADLINE, "{:?}", began.elapsed());
}

/// Guards against a long transfer without progress reports to the caller.
#[tokio::test]
async fn each_piece_of_a_response_is_reported() {
    let store = SlowStore::start(1).await;
    let reported = std::sync::Mutex::new(Vec::new());

    let watch = |bytes| reported.lock().unwrap().push(bytes);
    let name = ObjectName::of(&object());
    store.client().run_with_progress(PlatformOp::GetObject(name), &watch).await;

    let reported = reported.into_inner().unwrap();
    assert!(reported.len() > 3 && reported.is_sorted(), "{reported:?}");
    assert_eq!(reported.last(), Some(&object().len()));
}
