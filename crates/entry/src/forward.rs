//! Sending a call to a target once, and what is known after it.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use camphorwalk_adapter::head::{self, AnswerHead, OutgoingHeaders};
use camphorwalk_policy::entry::crashes::Fingerprint;
use camphorwalk_policy::entry::placement::{Outcome, TargetKey};
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use tokio::time::timeout;
use tracing::info;

use crate::call::Call;
use crate::clock;
use crate::connections::{self, ConnectError, Connection};
use crate::host::Shared;
use crate::places::Place;

/// An answer's head, whose body is still to come.
pub(crate) struct Started {
    pub(crate) response: Response<Incoming>,
    pub(crate) head: AnswerHead,
    pub(crate) connection: Connection,
    pub(crate) place: Place,
}

/// What is known after a call was sent.
pub(crate) enum Sent {
    /// The target answers.
    Started(Box<Started>),
    /// The call has not run at this target and never will.
    NotRun(&'static str),
    /// It may have run.
    Unknown {
        /// What happened.
        reason: &'static str,
        /// Whether the target's process went down under it.
        crashed: bool,
    },
}

/// What is sent.
pub(crate) struct Sending<'a> {
    /// The call.
    pub(crate) call: &'a Call,
    /// Its body for the target.
    pub(crate) body: Bytes,
    /// The last event received, of a stream that is to go on.
    pub(crate) last_event: Option<u64>,
    /// How long the answer's head may take.
    pub(crate) patience: Duration,
}

/// Sends a call to the target of `place` and waits for the head of its answer.
pub(crate) async fn send(sending: &Sending<'_>, place: Place) -> Sent {
    let shared = &sending.call.shared;
    let key = place.key;
    let Some((id, address)) = ({
        let targets = shared.targets.borrow();
        targets.get(key).map(|t| (t.entry.id.clone(), t.entry.address))
    }) else {
        return Sent::NotRun("the target is gone");
    };

    // A kept connection may be closing. Then the request comes back unsent, and goes on a new one.
    while let Some(connection) = shared.connections.take(key) {
        match exchange(sending, connection, &id).await {
            Exchange::Unsent => continue,
            Exchange::Answered(response, connection) => {
                return judge(sending, place, response, connection);
            }
            Exchange::Lost(reason) => return lost(sending, place, reason).await,
        }
    }

    shared.metrics.connects.inc();
    let connection = match connections::connect(address).await {
        Ok(connection) => connection,
        Err(e) => {
            place.end(Outcome::Failed);
            return Sent::NotRun(match e {
                ConnectError::Refused => "the target refuses connections",
                ConnectError::Silent => "the target does not answer a connect",
                ConnectError::Broken => "the connection broke at once",
            });
        }
    };

    match exchange(sending, connection, &id).await {
        Exchange::Unsent => {
            place.end(Outcome::Failed);
            Sent::NotRun("the connection broke before the request was sent")
        }
        Exchange::Answered(response, connection) => judge(sending, place, response, connection),
        Exchange::Lost(reason) => lost(sending, place, reason).await,
    }
}

enum Exchange {
    /// Nothing was sent.
    Unsent,
    /// The head of an answer came.
    Answered(Response<Incoming>, Connection),
    /// The request was sent, and no head came.
    Lost(&'static str),
}

async fn exchange(sending: &Sending<'_>, mut connection: Connection, target: &str) -> Exchange {
    let call = sending.call;
    let outgoing = OutgoingHeaders {
        target,
        tenant: call.tenant.as_deref(),
        remaining: clock::until(call.deadline),
        last_event: sending.last_event,
    };
    let mut req = Request::new(Full::new(sending.body.clone()));
    *req.method_mut() = call.method.clone();
    *req.headers_mut() = head::write_call(&call.headers, outgoing);
    match call.path.parse() {
        Ok(uri) => *req.uri_mut() = uri,
        Err(_) => return Exchange::Unsent,
    }

    call.sent();
    match timeout(sending.patience, connection.sender.try_send_request(req)).await {
        Ok(Ok(response)) => Exchange::Answered(response, connection),
        Ok(Err(mut e)) => match e.take_message() {
            Some(_) => {
                call.not_run();
                Exchange::Unsent
            }
            None if e.error().is_parse() => Exchange::Lost("the target's answer makes no sense"),
            None => Exchange::Lost("the connection broke"),
        },
        Err(_) => Exchange::Lost("the target fell silent"),
    }
}

/// Judges the head of an answer.
fn judge(
    sending: &Sending<'_>,
    place: Place,
    response: Response<Incoming>,
    connection: Connection,
) -> Sent {
    let request_id = &sending.call.head.request_id;
    let head = head::read_answer(request_id, response.status(), response.headers());

    if head.not_run && head.matches_request {
        sending.call.not_run();
        if head.wrong_instance {
            place.end(Outcome::Failed);
            return Sent::NotRun("another target has the address");
        }
        let key = place.key;
        place.end(Outcome::Shed);
        drain(sending, key, response, connection, head.keep_alive.filter(|_| !head.closes));
        return Sent::NotRun("the target is full");
    }
    if !head.matches_request {
        place.end(Outcome::Failed);
        return Sent::Unknown { reason: "the answer is to another call", crashed: false };
    }

    Sent::Started(Box::new(Started { response, head, connection, place }))
}

/// Keeps a connection whose answer was taken whole, unless its target closes it.
pub(crate) fn put_back(
    shared: &Rc<Shared>,
    key: TargetKey,
    connection: Connection,
    head: &AnswerHead,
) {
    if head.closes {
        return;
    }

    let (shared, keeps_for) = (Rc::clone(shared), head.keep_alive);
    tokio::task::spawn_local(async move {
        shared.connections.put_back(key, connection, keeps_for).await;
    });
}

/// Reads a refusal's body, so that its connection can be kept.
fn drain(
    sending: &Sending<'_>,
    key: TargetKey,
    response: Response<Incoming>,
    connection: Connection,
    keep: Option<Duration>,
) {
    /// A refusal's body is short and comes with its head.
    const LIMIT: Duration = Duration::from_millis(100);
    let shared = Rc::clone(&sending.call.shared);
    let Some(keep) = keep else { return };

    tokio::task::spawn_local(async move {
        let body = http_body_util::BodyExt::collect(response.into_body());
        if matches!(timeout(LIMIT, body).await, Ok(Ok(_))) {
            shared.connections.put_back(key, connection, Some(keep)).await;
        }
    });
}

/// Finds out whether the target's process went down under a call whose answer was lost: then
/// nothing listens at its address.
async fn lost(sending: &Sending<'_>, place: Place, reason: &'static str) -> Sent {
    let shared = &sending.call.shared;
    let key = place.key;
    place.end(Outcome::Failed);

    Sent::Unknown { reason, crashed: is_down(shared, key, sending.call).await }
}

/// Returns whether nothing listens at the address of a target; whether it went down under the
/// call is then found out.
pub(crate) async fn is_down(shared: &Rc<Shared>, key: TargetKey, call: &Call) -> bool {
    let target = {
        let targets = shared.targets.borrow();
        targets.get(key).map(|t| (t.entry.address, t.entry.zone.clone()))
    };
    let Some((address, zone)) = target else { return true };

    shared.metrics.connects.inc();
    match connections::connect(address).await {
        Ok(connection) => {
            shared.connections.put_back(key, connection, None).await;
            false
        }
        Err(ConnectError::Refused) => {
            let request = call.head.request_id.clone();
            let suspect = Suspect { address, zone, request, fingerprint: call.fingerprint() };
            tokio::task::spawn_local(count_crash(Rc::clone(shared), suspect));
            true
        }
        Err(ConnectError::Silent | ConnectError::Broken) => false,
    }
}

/// A target that may have gone down under a call.
struct Suspect {
    address: SocketAddr,
    zone: Box<str>,
    request: Box<str>,
    fingerprint: Fingerprint,
}

/// Counts a crash unless the target's zone is cut off.
///
/// A cut may refuse connections like the machine of a process that is gone. Without the
/// difference, calls that were under way when a zone was cut off are barred as if they had
/// brought its targets down. Some time later a host behind a cut is silent, while one beside a
/// crashed target still tells its news.
async fn count_crash(shared: Rc<Shared>, suspect: Suspect) {
    /// Longer than news are fresh, so that hosts behind a new cut are silent; shorter than
    /// targets take to be back.
    const DELAY: Duration = Duration::from_millis(900);
    let Suspect { address, zone, request, fingerprint } = suspect;
    tokio::time::sleep(DELAY).await;

    let in_reach = *zone == *shared.settings.zone || shared.fleet.hears_zone(&zone);
    if !in_reach || connections::connect(address).await.is_ok() {
        info!(request = %request, target = %address, in_reach, "call: target did not go down");
        return;
    }

    let crashes = shared.crashes.borrow_mut().record(clock::now(), fingerprint);
    info!(request = %request, target = %address, crashes, "call: target went down under it");
}
