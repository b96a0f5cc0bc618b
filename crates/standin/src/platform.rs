//! The platform stand-in: rows with versions, objects, and the lagging list of hosts.

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

use crate::server::{Answer, Server, Stopper, empty, fault, json, parse, raw};
use modes::Modes;
pub use modes::{Mode, ModeSetting};
pub use store::Store;

/// The header in which a client names its availability zone.
pub const ZONE_HEADER: &str = "x-zone";

/// What a platform stand-in starts with.
#[derive(Clone, Debug, Default)]
pub struct PlatformOptions {
    /// The hosts it lists from the start.
    pub hosts: Vec<HostListing>,
}

/// What a platform stand-in was asked since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stats {
    /// Transactions run, committed or not.
    pub transactions: u64,
    /// Rows written or deleted by committed transactions.
    pub rows_written: u64,
    /// Reads of rows by key.
    pub reads: u64,
    /// Scans.
    pub scans: u64,
    /// Objects put.
    pub object_puts: u64,
    /// Objects asked for.
    pub object_gets: u64,
    /// Requests refused with 503.
    pub refused: u64,
}

/// A platform stand-in that runs in this process.
#[derive(Debug)]
pub struct Platform {
    /// Its listener.
    server: Server,
    /// What it holds.
    state: Shared,
}

/// The state as handlers share it.
type Shared = Arc<Mutex<State>>;

/// What a platform stand-in holds.
#[derive(Debug, Default)]
struct State {
    /// The rows and objects.
    store: Store,
    /// The lists of hosts, each with the time from which it shows, in that order.
    hosts: Vec<(Instant, Vec<HostListing>)>,
    /// How requests are treated.
    modes: Modes,
    /// What it was asked.
    stats: Stats,
}

impl Platform {
    /// Starts a platform stand-in; port 0 takes any free port.
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

    /// Returns where it listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Closes the listener and all connections. The rows are lost with it.
    pub async fn stop(&self) {
        self.server.stop().await;
    }

    /// Returns when the listener is closed.
    pub async fn closed(&self) {
        self.server.closed().await;
    }

    /// Sets how requests are treated from now on.
    pub fn set_mode(&self, setting: ModeSetting) {
        lock(&self.state).modes.set(setting);
    }

    /// Sets the true list of hosts, which shows after `lag`.
    pub fn set_hosts(&self, hosts: Vec<HostListing>, lag: Duration) {
        lock(&self.state).set_hosts(hosts, lag);
    }

    /// Returns what it was asked since its start.
    pub fn stats(&self) -> Stats {
        lock(&self.state).stats
    }

    /// Puts `content` under a name that need not be its hash, as a faulty store would.
    pub fn put_corrupt_object(&self, name: ObjectName, content: impl Into<Bytes>) {
        lock(&self.state).store.put_corrupt_object(name, content.into());
    }
}

impl State {
    /// Sets the list of hosts that shows after `lag`.
    fn set_hosts(&mut self, hosts: Vec<HostListing>, lag: Duration) {
        let shown_from = Instant::now() + lag;

        self.hosts.retain(|(from, _)| *from <= shown_from);
        self.hosts.push((shown_from, hosts));
    }

    /// Returns the list of hosts that shows now.
    fn hosts(&mut self) -> &[HostListing] {
        let now = Instant::now();
        let shown = self.hosts.iter().rposition(|(from, _)| *from <= now).unwrap_or(0);
        self.hosts.drain(..shown);

        self.hosts.first().map_or(&[], |(_, hosts)| hosts)
    }
}

/// Locks the state; a handler that panicked leaves it usable for a fake.
fn lock(state: &Shared) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Answers a request, in the mode that holds for it.
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
            fault(StatusCode::SERVICE_UNAVAILABLE, "refusing")
        }
        Mode::Slow { delay } => serve_late(state, req, delay).await,
        Mode::DropAnswers => {
            serve(&state, req);
            Answer::Broken
        }
        Mode::Hang => std::future::pending().await,
    }
}

/// Runs a request after `delay`, also if its sender has gone by then.
async fn serve_late(state: Shared, req: Request<Bytes>, delay: Duration) -> Answer {
    let run = tokio::spawn(async move {
        tokio::time::sleep(delay).await;
        serve(&state, req)
    });

    run.await.unwrap_or(Answer::Broken)
}

/// Runs a request.
fn serve(state: &Shared, req: Request<Bytes>) -> Answer {
    let (parts, body) = req.into_parts();
    let path = parts.uri.path();

    let answer = match (&parts.method, path) {
        (&Method::POST, "/v1/tx") => parse(&body).map(|tx| commit(state, tx)),
        (&Method::POST, "/v1/read") => parse(&body).map(|read| read_rows(state, read)),
        (&Method::POST, "/v1/scan") => parse(&body).map(|scan| scan_rows(state, &scan)),
        (&Method::GET, "/v1/hosts") => Ok(list_hosts(state)),
        (method, path) => match path.strip_prefix("/v1/objects/") {
            Some(name) => Ok(object(state, method, ObjectName(name.into()), body)),
            None => Ok(fault(StatusCode::NOT_FOUND, "no such call")),
        },
    };

    answer.unwrap_or_else(|refusal| refusal)
}

/// The answer to a transaction.
#[derive(Debug, Serialize)]
#[serde(rename_all = "snake_case")]
enum CommitAnswer {
    /// It took effect with this version.
    Committed(RowVersion),
    /// These checked rows stand differently.
    Conflict(Vec<Row>),
}

/// Runs a transaction.
fn commit(state: &Shared, tx: Transaction) -> Answer {
    let mut state = lock(state);
    let rows = tx.writes.len() as u64;
    state.stats.transactions += 1;

    match state.store.commit(tx) {
        Ok(version) => {
            state.stats.rows_written += rows;
            json(StatusCode::OK, &CommitAnswer::Committed(version))
        }
        Err(rows) => json(StatusCode::CONFLICT, &CommitAnswer::Conflict(rows)),
    }
}

/// A read of rows by key.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct ReadRequest {
    /// The rows.
    keys: Vec<RowKey>,
}

/// Rows as answered.
#[derive(Debug, Serialize)]
struct RowsAnswer {
    /// The rows, in key order.
    rows: Vec<Row>,
}

/// Reads rows by key.
fn read_rows(state: &Shared, req: ReadRequest) -> Answer {
    let mut state = lock(state);
    state.stats.reads += 1;

    json(StatusCode::OK, &RowsAnswer { rows: state.store.read(&req.keys) })
}

/// A scan of a table.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct ScanRequest {
    /// The table.
    table: Box<str>,
    /// What keys begin with.
    prefix: Box<str>,
    /// The last key already seen, or empty.
    after: Box<str>,
    /// The most rows to return.
    limit: u32,
}

/// Scans a table.
fn scan_rows(state: &Shared, req: &ScanRequest) -> Answer {
    let mut state = lock(state);
    state.stats.scans += 1;
    let rows = state.store.scan(&req.table, &req.prefix, &req.after, req.limit as usize);

    json(StatusCode::OK, &RowsAnswer { rows })
}

/// Puts or gets an object.
fn object(state: &Shared, method: &Method, name: ObjectName, content: Bytes) -> Answer {
    let mut state = lock(state);

    match *method {
        Method::PUT => {
            state.stats.object_puts += 1;

            if state.store.put_object(name, content) {
                empty(StatusCode::NO_CONTENT)
            } else {
                fault(StatusCode::BAD_REQUEST, "the name is not the content's hash")
            }
        }
        Method::GET => {
            state.stats.object_gets += 1;

            match state.store.get_object(&name) {
                Some(content) => raw(content),
                None => fault(StatusCode::NOT_FOUND, "no such object"),
            }
        }
        _ => fault(StatusCode::METHOD_NOT_ALLOWED, "an object is put or got"),
    }
}

/// The list of hosts as answered.
#[derive(Debug, Serialize)]
struct HostsAnswer<'a> {
    /// The hosts.
    hosts: &'a [HostListing],
}

/// Lists the hosts.
fn list_hosts(state: &Shared) -> Answer {
    json(StatusCode::OK, &HostsAnswer { hosts: lock(state).hosts() })
}

/// A change of the true list of hosts.
#[serde_as]
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct HostsSetting {
    /// The true list.
    hosts: Vec<HostListing>,
    /// How long until it shows.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "lag_ms", default)]
    lag: Duration,
}

/// Answers a call that steers the stand-in.
fn control(state: &Shared, req: &Request<Bytes>) -> Answer {
    let done = || empty(StatusCode::NO_CONTENT);

    let answer = match (req.method(), req.uri().path()) {
        (&Method::POST, "/control/mode") => {
            parse(req.body()).map(|setting| lock(state).modes.set(setting)).map(|()| done())
        }
        (&Method::POST, "/control/hosts") => parse(req.body())
            .map(|setting: HostsSetting| lock(state).set_hosts(setting.hosts, setting.lag))
            .map(|()| done()),
        (&Method::GET, "/control/stats") => Ok(json(StatusCode::OK, &lock(state).stats)),
        _ => Ok(fault(StatusCode::NOT_FOUND, "no such call")),
    };

    answer.unwrap_or_else(|refusal| refusal)
}
