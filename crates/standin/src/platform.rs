//! The platform stand-in: a store of versioned rows and objects, and a list of hosts that becomes
//! visible with a lag.

mod modes;
mod store;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use camphorwalk_core::platform::{HostListing, ObjectName, Row, RowKey, RowVersion, Transaction};
use http::{Method, Request, StatusCode};
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};
use tokio::time::Instant;

use crate::server::{
    Answer, Server, Stopper, empty_response, error_response, json_response, parse_json,
    raw_response,
};
use modes::Modes;
pub use modes::{Mode, ModeSetting};
pub use store::Store;

/// The request header with the availability zone of the client.
pub const ZONE_HEADER: &str = "x-zone";

/// The options of a platform stand-in.
#[derive(Clone, Debug, Default)]
pub struct PlatformOptions {
    /// The initial list of hosts.
    pub hosts: Vec<HostListing>,
}

/// Counters of the requests since the start of a platform stand-in.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stats {
    /// Transactions, whether they committed or conflicted.
    pub transactions: u64,
    /// Rows written or deleted by committed transactions.
    pub rows_written: u64,
    /// Requests to read rows by key.
    pub reads: u64,
    /// Scan requests.
    pub scans: u64,
    /// Requests to put an object.
    pub object_puts: u64,
    /// Requests to get an object.
    pub object_gets: u64,
    /// Requests refused with 503.
    pub refused: u64,
}

/// A platform stand-in that runs in this process. It stops when it is dropped.
#[derive(Debug)]
pub struct Platform {
    /// The HTTP server.
    server: Server,
    /// The state, which its request handlers share.
    state: Shared,
}

/// The state as request handlers share it.
type Shared = Arc<Mutex<State>>;

/// The state of a platform stand-in.
#[derive(Debug, Default)]
struct State {
    /// The stored rows and objects.
    store: Store,
    /// The lists of hosts, each with the time from which it is visible, in the order of that time.
    hosts: Vec<(Instant, Vec<HostListing>)>,
    /// How requests are handled.
    modes: Modes,
    /// The request counters.
    stats: Stats,
}

impl Platform {
    /// Starts a platform stand-in. Port 0 selects a free port.
    pub async fn start(listen: SocketAddr, options: PlatformOptions) -> anyhow::Result<Self> {
        let mut state = State::default();
        state.hosts.push((Instant::now(), options.hosts));
        let state = Arc::new(Mutex::new(state));
        let shared = Arc::clone(&state);

        let handler = Arc::new(move |req| {
            let answer = handle(Arc::clone(&shared), req);
            Box::pin(answer) as futures::future::BoxFuture<'static, Answer>
        });
        let server = Server::start(listen, Stopper::new(), handler).await?;

        Ok(Self { server, state })
    }

    /// Returns the address at which the server listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Closes the listener and all connections. A new platform starts without the rows of this one.
    pub async fn stop(&self) {
        self.server.stop().await;
    }

    /// Waits until the listener and all connections are closed.
    pub async fn wait_closed(&self) {
        self.server.wait_closed().await;
    }

    /// Sets how requests are handled from now on.
    pub fn set_mode(&self, setting: ModeSetting) {
        lock(&self.state).modes.set(setting);
    }

    /// Sets the list of hosts, which becomes visible to clients after `lag`.
    pub fn set_hosts(&self, hosts: Vec<HostListing>, lag: Duration) {
        lock(&self.state).set_hosts(hosts, lag);
    }

    /// Returns the request counters since the start.
    pub fn stats(&self) -> Stats {
        lock(&self.state).stats
    }

    /// Stores an object without checking that its name is the hash of its content. Simulates a
    /// faulty store.
    pub fn put_corrupt_object(&self, name: ObjectName, content: impl Into<Bytes>) {
        lock(&self.state).store.put_corrupt_object(name, content.into());
    }
}

impl State {
    /// Sets the list of hosts that becomes visible after `lag`. It replaces lists that would become
    /// visible later than that.
    fn set_hosts(&mut self, hosts: Vec<HostListing>, lag: Duration) {
        let shown_from = Instant::now() + lag;

        self.hosts.retain(|(from, _)| *from <= shown_from);
        self.hosts.push((shown_from, hosts));
    }

    /// Returns the list of hosts that is visible now, and drops older ones.
    fn hosts(&mut self) -> &[HostListing] {
        let now = Instant::now();
        let shown = self.hosts.iter().rposition(|(from, _)| *from <= now).unwrap_or(0);
        self.hosts.drain(..shown);

        self.hosts.first().map_or(&[], |(_, hosts)| hosts)
    }
}

/// Locks the state, even if a handler has panicked while it held the lock. The state may then be
/// inconsistent, which is acceptable in a stand-in.
fn lock(state: &Shared) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Handles a request in the mode of the client's zone. Control requests are not subject to modes.
async fn handle(state: Shared, req: Request<Bytes>) -> Answer {
    if req.uri().path().starts_with("/control/") {
        return control(&state, &req);
    }

    let zone = req.headers().get(ZONE_HEADER).and_then(|zone| zone.to_str().ok()).unwrap_or("");
    let mode = lock(&state).modes.next(zone);

    match mode {
        Mode::Ok => serve(&state, req),
        Mode::Refuse => {
            lock(&state).stats.refused += 1;
            error_response(StatusCode::SERVICE_UNAVAILABLE, "refusing")
        }
        Mode::Slow { delay } => serve_late(state, req, delay).await,
        Mode::DropAnswers => {
            serve(&state, req);
            Answer::CloseConnection
        }
        Mode::Hang => std::future::pending().await,
    }
}

/// Handles a request after `delay`, even if the client has disconnected by then.
async fn serve_late(state: Shared, req: Request<Bytes>, delay: Duration) -> Answer {
    let run = tokio::spawn(async move {
        tokio::time::sleep(delay).await;
        serve(&state, req)
    });

    run.await.unwrap_or(Answer::CloseConnection)
}

/// Handles a request normally.
fn serve(state: &Shared, req: Request<Bytes>) -> Answer {
    let (parts, body) = req.into_parts();
    let path = parts.uri.path();

    let answer = match (&parts.method, path) {
        (&Method::POST, "/v1/tx") => parse_json(&body).map(|tx| commit(state, tx)),
        (&Method::POST, "/v1/read") => parse_json(&body).map(|read| read_rows(state, read)),
        (&Method::POST, "/v1/scan") => parse_json(&body).map(|scan| scan_rows(state, &scan)),
        (&Method::GET, "/v1/hosts") => Ok(list_hosts(state)),
        (method, path) => match path.strip_prefix("/v1/objects/") {
            Some(name) => Ok(object(state, method, ObjectName(name.into()), body)),
            None => Ok(error_response(StatusCode::NOT_FOUND, "no such call")),
        },
    };

    answer.unwrap_or_else(|refusal| refusal)
}

/// The response to a transaction.
#[derive(Debug, Serialize)]
#[serde(rename_all = "snake_case")]
enum CommitAnswer {
    /// The transaction took effect and wrote its rows with this version.
    Committed(RowVersion),
    /// Nothing was written, because checked rows have other versions. Contains those of these rows
    /// that exist.
    Conflict(Vec<Row>),
}

/// Handles a transaction.
fn commit(state: &Shared, tx: Transaction) -> Answer {
    let mut state = lock(state);
    let rows = tx.writes.len() as u64;
    state.stats.transactions += 1;

    match state.store.commit(tx) {
        Ok(version) => {
            state.stats.rows_written += rows;
            json_response(StatusCode::OK, &CommitAnswer::Committed(version))
        }
        Err(rows) => json_response(StatusCode::CONFLICT, &CommitAnswer::Conflict(rows)),
    }
}

/// A request to read rows by key.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct ReadRequest {
    /// The keys of the rows.
    keys: Vec<RowKey>,
}

/// The response to a read or scan.
#[derive(Debug, Serialize)]
struct RowsAnswer {
    /// The rows, in key order.
    rows: Vec<Row>,
}

/// Handles a read by key.
fn read_rows(state: &Shared, req: ReadRequest) -> Answer {
    let mut state = lock(state);
    state.stats.reads += 1;

    json_response(StatusCode::OK, &RowsAnswer { rows: state.store.read(&req.keys) })
}

/// A request to scan a table.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct ScanRequest {
    /// The table.
    table: Box<str>,
    /// The prefix of the keys.
    prefix: Box<str>,
    /// The key after which the scan starts, or empty to start at the first key.
    after: Box<str>,
    /// The maximum number of rows to return.
    limit: u32,
}

/// Handles a scan.
fn scan_rows(state: &Shared, req: &ScanRequest) -> Answer {
    let mut state = lock(state);
    state.stats.scans += 1;
    let rows = state.store.scan(&req.table, &req.prefix, &req.after, req.limit as usize);

    json_response(StatusCode::OK, &RowsAnswer { rows })
}

/// Handles a request to put or get an object.
fn object(state: &Shared, method: &Method, name: ObjectName, content: Bytes) -> Answer {
    let mut state = lock(state);

    match *method {
        Method::PUT => {
            state.stats.object_puts += 1;

            if state.store.put_object(name, content) {
                empty_response(StatusCode::NO_CONTENT)
            } else {
                error_response(StatusCode::BAD_REQUEST, "the name is not the content's hash")
            }
        }
        Method::GET => {
            state.stats.object_gets += 1;

            match state.store.get_object(&name) {
                Some(content) => raw_response(content),
                None => error_response(StatusCode::NOT_FOUND, "no such object"),
            }
        }
        _ => error_response(StatusCode::METHOD_NOT_ALLOWED, "an object is put or got"),
    }
}

/// The response with the list of hosts.
#[derive(Debug, Serialize)]
struct HostsAnswer<'a> {
    /// The visible hosts.
    hosts: &'a [HostListing],
}

/// Returns the visible list of hosts.
fn list_hosts(state: &Shared) -> Answer {
    json_response(StatusCode::OK, &HostsAnswer { hosts: lock(state).hosts() })
}

/// A request to change the list of hosts.
#[serde_as]
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct HostsSetting {
    /// The new list.
    hosts: Vec<HostListing>,
    /// The time until the new list becomes visible to clients.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "lag_ms", default)]
    lag: Duration,
}

/// Handles a control request, by which tests configure the stand-in.
fn control(state: &Shared, req: &Request<Bytes>) -> Answer {
    let done = || empty_response(StatusCode::NO_CONTENT);

    let answer = match (req.method(), req.uri().path()) {
        (&Method::POST, "/control/mode") => {
            parse_json(req.body()).map(|setting| lock(state).modes.set(setting)).map(|()| done())
        }
        (&Method::POST, "/control/hosts") => parse_json(req.body())
            .map(|setting: HostsSetting| lock(state).set_hosts(setting.hosts, setting.lag))
            .map(|()| done()),
        (&Method::GET, "/control/stats") => Ok(json_response(StatusCode::OK, &lock(state).stats)),
        _ => Ok(error_response(StatusCode::NOT_FOUND, "no such call")),
    };

    answer.unwrap_or_else(|refusal| refusal)
}
