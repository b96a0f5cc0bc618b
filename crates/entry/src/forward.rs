//! Sending a call to a target once, and what is known after it.

use std::time::Duration;

use bytes::Bytes;
use camphorwalk_adapter::head::{self, AnswerHead, Outgoing};
use camphorwalk_policy::entry::placement::{Outcome, TargetKey};
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use tokio::time::timeout;
use tracing::info;

use crate::call::Call;
use crate::clock;
use crate::connections::{self, ConnectError, Connection};
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
    Started(Started),
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
        match exchange(sending, connection, &id, address).await {
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

    match exchange(sending, connection, &id, address).await {
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

async fn exchange(
    sending: &Sending<'_>,
    mut connection: Connection,
    target: &str,
    address: std::net::SocketAddr,
) -> Exchange {
    let call = sending.call;
    let outgoing = Outgoing {
        target,
        address,
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

    call.may_have_run.set(true);
    match timeout(sending.patience, connection.sender.try_send_request(req)).await {
        Ok(Ok(response)) => Exchange::Answered(response, connection),
        Ok(Err(mut e)) => match e.take_message() {
            Some(_) => Exchange::Unsent,
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

    if head.not_run && head.matches {
        sending.call.may_have_run.set(false);
        if head.other_instance {
            place.end(Outcome::Failed);
            return Sent::NotRun("another target has the address");
        }
        let key = place.key;
        place.end(Outcome::Shed);
        drain(sending, key, response, connection, head.keeps_for.filter(|_| !head.closes));
        return Sent::NotRun("the target is full");
    }
    if !head.matches {
        place.end(Outcome::Failed);
        return Sent::Unknown { reason: "the answer is to another call", crashed: false };
    }

    Sent::Started(Started { response, head, connection, place })
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
    let shared = std::rc::Rc::clone(&sending.call.shared);
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

/// Returns whether the process of a target is gone, and counts the crash.
pub(crate) async fn is_down(shared: &crate::host::Shared, key: TargetKey, call: &Call) -> bool {
    let Some(address) = shared.targets.borrow().address(key) else { return true };

    shared.metrics.connects.inc();
    match connections::connect(address).await {
        Ok(connection) => {
            shared.connections.put_back(key, connection, None).await;
            false
        }
        Err(ConnectError::Refused) => {
            let crashes = shared.crashes.borrow_mut().count(clock::now(), call.fingerprint());
            info!(
                request = %call.head.request_id, target = %address, crashes,
                "call: target went down under it"
            );
            true
        }
        Err(ConnectError::Silent | ConnectError::Broken) => false,
    }
}
