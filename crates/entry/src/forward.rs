//! Sends a call to a target once, and determines whether the target may have run it.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use camphorwalk_adapter::head::{self, AnswerHead, OutgoingHeaders};
use camphorwalk_policy::entry::placement::{Outcome, SendCheck, TargetKey};
use camphorwalk_policy::entry::resumption::ProcessState;
use http::{Request, Response};
use http_body_util::Full;
use tokio::time::timeout;

use crate::call::Call;
use crate::clock;
use crate::connections::{self, ConnectError, Connection};
use crate::host::Shared;
use crate::places::{self, Place};
use crate::read_limit::{BodyError, ENDLESS, TargetBody};

/// An answer of which the head was received, and the body is still to come.
pub(crate) struct Started {
    pub(crate) response: Response<TargetBody>,
    pub(crate) head: AnswerHead,
    pub(crate) connection: Connection,
    pub(crate) place: Place,
}

impl Started {
    /// Limits the body as that of a stream.
    pub(crate) fn into_stream(self) -> Self {
        Self { response: self.response.map(TargetBody::into_stream), ..self }
    }
}

/// The outcome of sending a call.
pub(crate) enum SendOutcome {
    /// The target has begun to answer.
    Started(Box<Started>),
    /// The target has not run the call and never will.
    NotRun(&'static str),
    /// The target may have run the call.
    Unknown {
        /// The failure.
        reason: &'static str,
        /// What is known of the target's process.
        process: ProcessState,
    },
}

/// What to send.
pub(crate) struct CallAttempt<'a> {
    /// The call.
    pub(crate) call: &'a Call,
    /// The body for the target.
    pub(crate) body: Bytes,
    /// The id of the last event that was received, if a stream is to be resumed.
    pub(crate) last_event: Option<u64>,
    /// How long to wait for the answer's head.
    pub(crate) head_timeout: Duration,
}

/// Sends a call to the target of `place` and waits for the head of its answer.
pub(crate) async fn send(attempt: &CallAttempt<'_>, place: Place) -> SendOutcome {
    let shared = &attempt.call.shared;
    let key = place.key;
    let Some((id, address)) = ({
        let targets = shared.targets.borrow();
        targets.get(key).map(|t| (t.entry.id.clone(), t.entry.address))
    }) else {
        return SendOutcome::NotRun("the target is gone");
    };

    if let Some(prevented) = prevent_send(shared, &place) {
        return prevented;
    }

    // The target may be closing an idle connection. The request then comes back unsent and is sent
    // on another connection.
    while let Some(connection) = shared.connections.take(key) {
        match exchange(attempt, connection, &id).await {
            Exchange::Unsent => continue,
            Exchange::Answered(response, connection) => {
                return classify(attempt, place, response, connection);
            }
            Exchange::Lost(lost) => return classify_lost(attempt, place, lost).await,
        }
    }

    shared.metrics.connects.inc();
    let connection = match connections::connect(address).await {
        Ok(connection) => connection,
        Err(e) => {
            place.end(Outcome::Failed);
            return SendOutcome::NotRun(match e {
                ConnectError::Refused => "the target refuses connections",
                ConnectError::Silent => "the target does not answer a connect",
                ConnectError::Broken => "the connection broke at once",
            });
        }
    };

    if let Some(prevented) = prevent_send(shared, &place) {
        return prevented;
    }

    match exchange(attempt, connection, &id).await {
        Exchange::Unsent => {
            place.end(Outcome::Failed);
            SendOutcome::NotRun("the connection broke before the request was sent")
        }
        Exchange::Answered(response, connection) => classify(attempt, place, response, connection),
        Exchange::Lost(lost) => classify_lost(attempt, place, lost).await,
    }
}

/// Returns the outcome of a call that must no longer be sent to the target of its place.
fn prevent_send(shared: &Shared, place: &Place) -> Option<SendOutcome> {
    let (label, reason) = match place.check_send() {
        SendCheck::Allowed => return None,
        SendCheck::Evacuated => ("evacuated", "the target's zone is evacuated"),
        SendCheck::Cold => ("cold", "the target is cold"),
    };
    shared.metrics.prevented_sends.with_label_values(&[label]).inc();

    Some(SendOutcome::NotRun(reason))
}

enum Exchange {
    /// The request was not sent.
    Unsent,
    /// The head of an answer was received.
    Answered(Response<TargetBody>, Connection),
    /// The request was sent, but no valid head was received in time.
    Lost(LostAnswer),
}

/// Why an answer was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LostAnswer {
    /// It is not valid HTTP.
    Invalid,
    /// Its head has no end.
    Endless,
    /// The connection broke.
    Broken,
    /// None came in time.
    Silent,
}

impl LostAnswer {
    fn reason(self) -> &'static str {
        match self {
            Self::Invalid => "the target's answer makes no sense",
            Self::Endless => ENDLESS,
            Self::Broken => "the connection broke",
            Self::Silent => "the target fell silent",
        }
    }
}

async fn exchange(attempt: &CallAttempt<'_>, mut connection: Connection, target: &str) -> Exchange {
    let call = attempt.call;
    let outgoing = OutgoingHeaders {
        target,
        tenant: call.tenant.as_deref(),
        remaining: clock::until(call.deadline),
        last_event: attempt.last_event,
    };
    let mut req = Request::new(Full::new(attempt.body.clone()));
    *req.method_mut() = call.method.clone();
    *req.headers_mut() = head::write_call(&call.headers, outgoing);
    match call.path.parse() {
        Ok(uri) => *req.uri_mut() = uri,
        Err(_) => return Exchange::Unsent,
    }

    call.record_sent();
    match timeout(attempt.head_timeout, connection.send(req)).await {
        Ok(Ok(response)) => Exchange::Answered(response, connection),
        Ok(Err(mut e)) => match e.take_message() {
            Some(_) => {
                call.record_not_run();
                Exchange::Unsent
            }
            None if connection.is_flooded() => Exchange::Lost(LostAnswer::Endless),
            None if e.error().is_parse() => Exchange::Lost(LostAnswer::Invalid),
            None => Exchange::Lost(LostAnswer::Broken),
        },
        Err(_) => Exchange::Lost(LostAnswer::Silent),
    }
}

/// Classifies an answer by its head.
fn classify(
    attempt: &CallAttempt<'_>,
    place: Place,
    response: Response<TargetBody>,
    connection: Connection,
) -> SendOutcome {
    let request_id = &attempt.call.head.request_id;
    let head = head::read_answer(request_id, response.status(), response.headers());

    if head.not_run && head.matches_request {
        attempt.call.record_not_run();
        if head.wrong_instance {
            place.end(Outcome::Failed);
            return SendOutcome::NotRun("another target has the address");
        }
        let key = place.key;
        place.end(Outcome::Shed);
        drain(attempt, key, response, connection, head.keep_alive.filter(|_| !head.closes));
        return SendOutcome::NotRun("the target is full");
    }
    if !head.matches_request {
        place.end(Outcome::Failed);
        let process = ProcessState::Running;
        return SendOutcome::Unknown { reason: "the answer is to another call", process };
    }

    SendOutcome::Started(Box::new(Started { response, head, connection, place }))
}

/// Returns a connection to the pool after a complete answer, unless the target closes it.
pub(crate) fn put_back(
    shared: &Rc<Shared>,
    key: TargetKey,
    connection: Connection,
    head: &AnswerHead,
) {
    if head.closes {
        return;
    }

    let (shared, keep_alive) = (Rc::clone(shared), head.keep_alive);
    tokio::task::spawn_local(async move {
        shared.connections.put_back(key, connection, keep_alive).await;
    });
}

/// Reads the body of a refusal, so that the connection can be reused.
fn drain(
    attempt: &CallAttempt<'_>,
    key: TargetKey,
    response: Response<TargetBody>,
    connection: Connection,
    keep: Option<Duration>,
) {
    /// How long reading the body may take. A refusal's body is short and arrives together with its
    /// head.
    const LIMIT: Duration = Duration::from_millis(100);
    let shared = Rc::clone(&attempt.call.shared);
    let Some(keep) = keep else { return };

    tokio::task::spawn_local(async move {
        let body = response.into_body().into_refusal();
        match timeout(LIMIT, http_body_util::BodyExt::collect(body)).await {
            Ok(Ok(_)) => shared.connections.put_back(key, connection, Some(keep)).await,
            Ok(Err(BodyError::Endless)) => places::record_failure(&shared, key, ENDLESS),
            // The connection broke, or the body comes slowly.
            Ok(Err(BodyError::Broken(_))) | Err(_) => {}
        }
    });
}

/// Classifies a call whose answer was lost, by what is known of the target's process.
async fn classify_lost(attempt: &CallAttempt<'_>, place: Place, lost: LostAnswer) -> SendOutcome {
    let shared = &attempt.call.shared;
    let key = place.key;
    place.end(Outcome::Failed);

    let process = process_state(shared, key).await;
    // Nothing else shows a crash if the process is back by now.
    if process == ProcessState::Ended || lost == LostAnswer::Broken {
        attempt.call.check_for_crash(key, &attempt.body);
    }
    SendOutcome::Unknown { reason: lost.reason(), process }
}

/// Determines whether the process of a target still runs, by connecting to it.
pub(crate) async fn process_state(shared: &Rc<Shared>, key: TargetKey) -> ProcessState {
    let Some(address) = shared.targets.borrow().address(key) else {
        return ProcessState::Unlisted;
    };

    shared.metrics.connects.inc();
    match connections::connect(address).await {
        Ok(connection) => {
            shared.connections.put_back(key, connection, None).await;
            ProcessState::Running
        }
        Err(ConnectError::Refused) => ProcessState::Ended,
        Err(ConnectError::Silent | ConnectError::Broken) => ProcessState::Running,
    }
}
