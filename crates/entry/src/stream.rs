//! Calls whose answer is a stream of events.

use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use camphorwalk_adapter::head;
use camphorwalk_core::entry::RetryPolicy;
use camphorwalk_policy::entry::placement::{Outcome, TargetKey};
use http::{Response, StatusCode};
use http_body_util::BodyExt as _;
use tokio::time::timeout;
use tracing::info;

use crate::answer::{Answer, AnswerBody, Broken, Refusal};
use crate::budget::Hold;
use crate::call::{Answered, Call};
use crate::events::Cutter;
use crate::forward::{self, Sending, Sent, Started};
use crate::plain::fault;
use crate::turns::Continuation;
use crate::{clock, keeping, places};

/// The most targets that a turn is offered to while each says that it has not run it.
const MOST_OFFERS: u32 = 4;

/// How often a stream that broke goes on before it ends broken.
const MOST_RESUMES: u32 = 3;

/// When a turn that all targets refused is told to come back: after the time in which a place
/// at one of them is free.
const FULL_RETRY: Duration = Duration::from_millis(250);

/// How a stream stands.
struct Progress {
    /// The id of the last event that was passed on.
    last_event: Option<u64>,
    /// How many events targets made for it.
    events: u64,
    /// The data of the events passed on, each with a line feed.
    said: Vec<u8>,
    /// To how many targets it was offered before the first event.
    offers: u32,
    resumes: u32,
}

/// What comes next of a stream.
enum Next {
    /// Whole events, to be passed on.
    Events(Bytes),
    /// Its end.
    End,
    /// It broke.
    Broken(&'static str),
}

/// Forwards a turn until a target answers it, and then passes its events on as they come.
pub(crate) async fn forward(
    call: Rc<Call>,
    hold: Option<Hold>,
    continuation: Continuation,
) -> Result<Answer, Refusal> {
    let body = continuation.body(&call.body);
    let mut shape = call.shape();
    let mut offers = 0;

    let started = loop {
        let place = places::take(&call.shared, &call.service, &shape, call.urgency()).await;
        let place = place.map_err(|refusal| call.refuse(refusal))?;
        let key = place.key;
        let patience = clock::until(call.deadline);
        let sending =
            Sending { call: &call, body: body.clone(), last_event: call.head.last_event, patience };

        match forward::send(&sending, place).await {
            Sent::Started(started) => break *started,
            Sent::NotRun(reason) => {
                call.shared.metrics.resends.with_label_values(&[reason]).inc();
                info!(request = %call.head.request_id, offers, reason, "call: target did not run it");
            }
            Sent::Unknown { reason, crashed } => {
                if !may_start_again(&call, crashed) {
                    return Err(Refusal::lost(reason));
                }
                call.shared.metrics.resends.with_label_values(&[reason]).inc();
                info!(request = %call.head.request_id, offers, reason, "call: stream starts again");
            }
        }

        offers += 1;
        shape.avoid.push(key);
        if offers >= MOST_OFFERS {
            return Err(call.refuse(Refusal::later("all targets refused", FULL_RETRY)));
        }
    };

    if let Some(reason) = fault(started.response.status(), &started.head) {
        started.place.end(Outcome::Failed);
        return Err(Refusal::lost(reason));
    }
    if started.response.status() != StatusCode::OK {
        return whole_failure(started).await;
    }

    let mut answer = Response::new(AnswerBody::Whole(None));
    *answer.headers_mut() = head::write_answer(started.response.headers());
    *answer.body_mut() =
        AnswerBody::Pieces(Box::pin(pieces(call, hold, continuation, body, started, offers + 1)));
    Ok(answer)
}

/// Returns whether a stream of which nothing came may start at another target: only if it may
/// be resumed, and the target that may have run it is gone.
fn may_start_again(call: &Call, crashed: bool) -> bool {
    call.route().retry_policy == RetryPolicy::Stream { resumable: true }
        && crashed
        && !call.shared.crashes.borrow().is_blocked(call.fingerprint())
}

/// Passes on a failure that a target answered instead of a stream.
async fn whole_failure(started: Started) -> Result<Answer, Refusal> {
    let (parts, body) = started.response.into_parts();

    match body.collect().await {
        Ok(body) => {
            started.place.answered();
            let mut answer = Response::new(AnswerBody::Whole(Some(body.to_bytes())));
            *answer.status_mut() = parts.status;
            *answer.headers_mut() = head::write_answer(&parts.headers);
            Ok(answer)
        }
        Err(_) => {
            started.place.end(Outcome::Failed);
            Err(Refusal::lost("the answer broke off"))
        }
    }
}

/// Passes the events of a stream on, resumes it where that may be done, and keeps the turn
/// before its end is passed on.
fn pieces(
    call: Rc<Call>,
    mut hold: Option<Hold>,
    continuation: Continuation,
    body: Bytes,
    started: Started,
    offers: u32,
) -> impl futures::Stream<Item = Result<Bytes, Broken>> {
    let mut progress = Progress {
        last_event: call.head.last_event,
        events: 0,
        said: Vec::new(),
        offers,
        resumes: 0,
    };
    let mut current = Some(started);
    let mut cutter = Cutter::default();

    async_stream::stream! {
        loop {
            let Some(started) = current.as_mut() else { return };
            let next = match timeout(clock::until(call.deadline), next(started, &mut cutter, &mut progress)).await {
                Ok(next) => next,
                Err(_) => Next::Broken("the time is over"),
            };
            if let Some(hold) = hold.as_mut() {
                hold.used(progress.events * call.tokens_per_event());
            }

            match next {
                Next::Events(bytes) => yield Ok(bytes),
                Next::End => break,
                Next::Broken(reason) => {
                    cutter.reset();
                    let key = started.place.key;
                    if let Some(broken) = current.take() {
                        broken.place.end(Outcome::Failed);
                    }
                    current = resume(&call, &body, &mut progress, key, reason).await;

                    if current.is_none() {
                        info!(
                            request = %call.head.request_id, events = progress.events, reason,
                            took_ms = clock::now().since(call.began).as_millis() as u64,
                            "call: stream broke off"
                        );
                        yield Err(Broken(reason));
                        return;
                    }
                }
            }
        }

        if let Some(started) = current.take() {
            keep_connection(&call, started, &progress);
        }
        drop(hold.take());
        if let Err(reason) = keeping::keep(&call, &continuation, std::mem::take(&mut progress.said)).await {
            info!(request = %call.head.request_id, reason, "call: turn not kept, stream broken off");
            yield Err(Broken(reason));
        }
    }
}

/// Waits for whole events.
async fn next(started: &mut Started, cutter: &mut Cutter, progress: &mut Progress) -> Next {
    loop {
        let data = match started.response.body_mut().frame().await {
            None if cutter.is_within_event() => {
                return Next::Broken("the stream ended within an event");
            }
            None => return Next::End,
            Some(Err(_)) => return Next::Broken("the target broke the stream off"),
            Some(Ok(frame)) => match frame.into_data() {
                Ok(data) => data,
                Err(_) => continue,
            },
        };
        cutter.push(&data);
        if cutter.is_overlong() {
            return Next::Broken("an event without an end");
        }

        let mut bytes = BytesMut::new();
        let before = progress.events;
        while let Some(event) = cutter.next() {
            // A target that resumes a stream may repeat what is there already.
            if event.id.is_some() && event.id <= progress.last_event {
                continue;
            }
            progress.last_event = event.id.or(progress.last_event);
            progress.events += 1;
            progress.said.extend_from_slice(&event.data);
            progress.said.push(b'\n');
            bytes.extend_from_slice(&event.bytes);
        }
        if !bytes.is_empty() {
            started.place.made(u32::try_from(progress.events - before).unwrap_or(u32::MAX));
            return Next::Events(bytes.freeze());
        }
    }
}

/// Has a broken stream go on: at its own target, which counts as the same one, or if that is
/// gone at another.
async fn resume(
    call: &Rc<Call>,
    body: &Bytes,
    progress: &mut Progress,
    mut key: TargetKey,
    reason: &'static str,
) -> Option<Started> {
    if call.route().retry_policy != (RetryPolicy::Stream { resumable: true }) {
        return None;
    }

    while progress.resumes < MOST_RESUMES && !clock::until(call.deadline).is_zero() {
        progress.resumes += 1;
        let down = forward::is_down(&call.shared, key, call).await;
        if call.shared.crashes.borrow().is_blocked(call.fingerprint()) {
            return None;
        }

        let place = match down {
            false => places::same(&call.shared, &call.service, key, &call.shape()),
            true => {
                let mut shape = call.shape();
                shape.avoid.push(key);
                places::take(&call.shared, &call.service, &shape, call.urgency()).await.ok()?
            }
        };
        key = place.key;
        info!(
            request = %call.head.request_id, last_event = progress.last_event, down, reason,
            "call: stream goes on"
        );
        call.shared.metrics.resends.with_label_values(&[reason]).inc();
        let patience = clock::until(call.deadline);
        let sending =
            Sending { call, body: body.clone(), last_event: progress.last_event, patience };

        if let Sent::Started(started) = forward::send(&sending, place).await {
            if started.response.status() == StatusCode::OK
                && fault(started.response.status(), &started.head).is_none()
            {
                return Some(*started);
            }
            started.place.end(Outcome::Failed);
        }
    }

    None
}

/// Counts a stream that ended whole, and keeps its connection.
fn keep_connection(call: &Call, started: Started, progress: &Progress) {
    let Started { head, connection, place, response } = started;
    let key = place.key;
    let (target, load) = place.target();
    call.log_answer(&Answered {
        target: &target,
        load,
        status: response.status(),
        offers: progress.offers + progress.resumes,
        events: Some(progress.events),
    });
    place.answered();

    forward::put_back(&call.shared, key, connection, &head);
}
