//! Forwards calls whose answer is a stream of events.

use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use camphorwalk_adapter::head;
use camphorwalk_core::time::Instant;
use camphorwalk_policy::entry::placement::{Outcome, TargetKey};
use camphorwalk_policy::entry::resumption::{
    self, BrokenAt, ProcessState, Resumption, TargetsUsed,
};
use http::{Response, StatusCode};
use http_body_util::BodyExt as _;
use tokio::time::timeout;
use tracing::info;

use crate::answer::{Answer, AnswerBody, BrokenBody, Refusal};
use crate::answer_queue::QueuedBody;
use crate::budget::TokenReservation;
use crate::call::{Call, TargetAnswer, refuse_blocked};
use crate::events::EventParser;
use crate::forward::{self, CallAttempt, SendOutcome, Started};
use crate::held_bytes::{CollectError, Hold};
use crate::host::Shared;
use crate::places::{Place, PlaceTarget};
use crate::read_limit::{BodyError, ENDLESS};
use crate::turns::Continuation;
use crate::unary::rejection_reason;
use crate::{clock, held_bytes, places, stream_origins, turn_storage};

/// The maximum number of targets that are tried for a turn until one of them starts the stream.
const MAX_OFFERS: u32 = 4;

/// The maximum number of attempts to resume a stream, however often it breaks. After them the
/// answer is broken off.
const MAX_RESUMES: u32 = 3;

/// The maximum size of the output of a turn that is stored. The host keeps it until the stream ends.
const MAX_KEPT_OUTPUT_BYTES: usize = 256 << 10;

/// Retry-After of a turn that none of the [`MAX_OFFERS`] targets that were tried has run: about the
/// time until a target has a free place.
const FULL_RETRY_AFTER: Duration = Duration::from_millis(250);

/// The state of a stream.
struct Progress {
    /// The target that began the answer.
    began_at: PlaceTarget,
    /// The id of the last event that was forwarded, or that the caller had before the call.
    last_event: Option<u64>,
    /// The number of events that were forwarded.
    events: u64,
    /// Whether the turn is stored, for which its output is needed.
    is_stored: bool,
    /// The data of the forwarded events of a turn that is stored, each followed by a line feed.
    output: Vec<u8>,
    /// The number of targets that were tried, up to and including the one that started the stream.
    offers: u32,
    resumes: u32,
    /// The number of targets that run or ran the call, without those that have ended.
    targets_used: u32,
}

/// What a stream produces next.
enum StreamItem {
    /// Complete events, to be forwarded.
    Events(Bytes),
    /// The end of the stream.
    End,
    /// A failure.
    Broken(&'static str),
    /// Bytes without an end.
    Endless,
}

/// Sends a turn to targets until one of them answers, and then forwards its events as they arrive.
pub(crate) async fn forward(
    call: Rc<Call>,
    reservation: Option<TokenReservation>,
    continuation: Continuation,
) -> Result<Answer, Refusal> {
    let body = continuation.body(&call.body);
    // The prompt of a continued turn is a copy of the conversation.
    if let Some(hold) = call.held.as_ref().filter(|_| !continuation.earlier.is_empty())
        && !hold.reserve(body.len())
    {
        return Err(held_bytes::refuse_request(Some(hold)));
    }
    if call.continues_turn() && call.is_blocked(&body) {
        return Err(refuse_blocked());
    }
    let mut placement = call.placement_request();
    let mut offers = 0;

    let (started, began_at) = loop {
        let place = places::take(&call.shared, &call.service, &placement, call.urgency()).await;
        let place = place.map_err(|refusal| call.adjust_refusal(refusal))?;
        let (key, target) = (place.key, place.target());
        let head_timeout = clock::until(call.deadline);
        let attempt = CallAttempt {
            call: &call,
            body: body.clone(),
            last_event: call.head.last_event,
            head_timeout,
        };

        if call.head.last_event.is_some() {
            log_resumed_by_caller(&call, &target);
        }
        match forward::send(&attempt, place).await {
            SendOutcome::Started(started) => break (*started, target),
            SendOutcome::NotRun(reason) => {
                call.shared.metrics.resends.with_label_values(&[reason]).inc();
                info!(request = %call.head.request_id, offers, reason, "call: target did not run it");
            }
            SendOutcome::Unknown { reason, process } => {
                if !may_restart(&call, &body, process) {
                    return Err(Refusal::answer_lost(reason));
                }
                call.shared.metrics.resends.with_label_values(&[reason]).inc();
                info!(request = %call.head.request_id, offers, reason, "call: stream starts again");
            }
        }

        offers += 1;
        placement.avoid.push(key);
        if offers >= MAX_OFFERS {
            return Err(
                call.adjust_refusal(Refusal::retry_later("all targets refused", FULL_RETRY_AFTER))
            );
        }
    };

    if let Some(reason) = rejection_reason(started.response.status(), &started.head) {
        started.place.end(Outcome::Failed);
        return Err(Refusal::answer_lost(reason));
    }
    if started.response.status() != StatusCode::OK {
        return forward_failure(&call, &body, started).await;
    }

    let began_at = confirm_version(&call.shared, began_at);
    if call.head.last_event.is_some() && began_at.version.is_none() {
        started.place.end(Outcome::Failed);
        return Err(Refusal::answer_lost("a target of another version may have answered"));
    }
    stream_origins::record(&call, &began_at);

    let mut answer = Response::new(AnswerBody::Whole(None));
    *answer.headers_mut() = head::write_answer(started.response.headers());
    let events = Box::pin(event_stream(
        Rc::clone(&call),
        reservation,
        continuation,
        body,
        BegunAnswer { started, began_at },
        offers + 1,
    ));
    *answer.body_mut() = match call.held.as_ref().and_then(Hold::for_answer) {
        Some(hold) => AnswerBody::Queued(QueuedBody::start(&call, hold, events)),
        None => AnswerBody::Pieces(events),
    };
    Ok(answer)
}

/// Logs and counts that a call which resumes a stream is sent to a target.
fn log_resumed_by_caller(call: &Call, target: &PlaceTarget) {
    call.shared.metrics.resumptions.with_label_values(&["caller"]).inc();
    info!(
        request = %call.head.request_id, resumes = call.head.resumes.as_deref(),
        last_event = call.head.last_event, target_id = %target.id, version = target.version,
        "call: resumes a stream"
    );
}

/// Returns whether a stream of which nothing was received may start again at another target
/// although a target may have run the call. The stream must be resumable, the target must have
/// ended, and the call must not be blocked because it crashed too many targets.
fn may_restart(call: &Call, body: &Bytes, process: ProcessState) -> bool {
    call.route().retry_policy.is_resumable()
        && process == ProcessState::Ended
        && !call.is_blocked(body)
}

/// An answer that has begun, and the target that began it.
struct BegunAnswer {
    started: Started,
    began_at: PlaceTarget,
}

/// Forgets the version of a target if a process of another version has its id by now. Which of the
/// two answered is then not known.
fn confirm_version(shared: &Shared, target: PlaceTarget) -> PlaceTarget {
    let version = target.version.as_deref();

    match shared.targets.borrow().is_replaced_by_other_version(&target.id, target.born, version) {
        true => PlaceTarget { version: None, ..target },
        false => target,
    }
}

/// Forwards a failure that a target answered instead of a stream.
async fn forward_failure(call: &Call, prompt: &[u8], started: Started) -> Result<Answer, Refusal> {
    let (parts, body) = started.response.into_parts();

    let hold = call.held.as_ref().and_then(Hold::for_answer);
    match held_bytes::collect_answer(body, hold.as_ref()).await {
        Ok(body) => {
            started.place.complete();
            let mut answer = Response::new(AnswerBody::whole(body, hold));
            *answer.status_mut() = parts.status;
            *answer.headers_mut() = head::write_answer(&parts.headers);
            Ok(answer)
        }
        Err(CollectError::Full) => Err(Refusal::answer_lost(held_bytes::FULL)),
        Err(CollectError::Body(BodyError::Endless)) => {
            started.place.end(Outcome::Failed);
            Err(Refusal::answer_lost(ENDLESS))
        }
        Err(CollectError::Body(BodyError::Broken(_))) => {
            let key = started.place.key;
            started.place.end(Outcome::Failed);
            call.check_for_crash(key, prompt);
            Err(Refusal::answer_lost("the answer broke off"))
        }
    }
}

/// Forwards the events of a stream. Resumes the stream if that is allowed, and stores the turn
/// before forwarding the end.
fn event_stream(
    call: Rc<Call>,
    mut reservation: Option<TokenReservation>,
    continuation: Continuation,
    body: Bytes,
    begun: BegunAnswer,
    offers: u32,
) -> impl futures::Stream<Item = Result<Bytes, BrokenBody>> {
    let mut progress = Progress {
        began_at: begun.began_at,
        last_event: call.head.last_event,
        events: 0,
        is_stored: call.route().stores_turns,
        output: Vec::new(),
        offers,
        resumes: 0,
        targets_used: 1,
    };
    let mut current = Some(begun.started.into_stream());
    let mut parser = EventParser::default();

    async_stream::stream! {
        loop {
            let Some(started) = current.as_mut() else { return };
            let next = match timeout(clock::until(call.deadline), next_item(started, &mut parser, &mut progress)).await {
                Ok(next) => next,
                Err(_) => StreamItem::Broken("the time is over"),
            };
            if let Some(reservation) = reservation.as_mut() {
                reservation.record_used(progress.events * call.tokens_per_event());
            }

            let (reason, may_go_on) = match next {
                StreamItem::Events(bytes) => {
                    yield Ok(bytes);
                    continue;
                }
                StreamItem::End => break,
                StreamItem::Broken(reason) => (reason, true),
                StreamItem::Endless => (ENDLESS, false),
            };
            parser.reset();
            let last = SentTo::new(&started.place);
            if let Some(broken) = current.take() {
                broken.place.end(Outcome::Failed);
            }
            if may_go_on {
                // A target that is only too slow has not crashed.
                if !clock::until(call.deadline).is_zero() {
                    call.check_for_crash(last.key, &body);
                }
                current = resume(&call, &body, &mut progress, last, reason).await;
            }

            if current.is_none() {
                info!(
                    request = %call.head.request_id, events = progress.events, reason,
                    took_ms = clock::now().since(call.received_at).as_millis() as u64,
                    "call: stream broke off"
                );
                yield Err(BrokenBody(reason));
                return;
            }
        }

        if let Some(started) = current.take() {
            finish(&call, started, &progress);
            call.record_completed(&body);
        }
        drop(reservation.take());
        if let Err(reason) = turn_storage::store_turn(&call, &continuation, std::mem::take(&mut progress.output)).await {
            info!(request = %call.head.request_id, reason, "call: turn not kept, stream broken off");
            yield Err(BrokenBody(reason));
        }
    }
}

/// Waits until complete events have arrived, or the stream has ended or broken.
async fn next_item(
    started: &mut Started,
    parser: &mut EventParser,
    progress: &mut Progress,
) -> StreamItem {
    loop {
        let data = match started.response.body_mut().frame().await {
            None if parser.is_within_event() => {
                return StreamItem::Broken("the stream ended within an event");
            }
            None => return StreamItem::End,
            Some(Err(BodyError::Endless)) => return StreamItem::Endless,
            Some(Err(BodyError::Broken(_))) => {
                return StreamItem::Broken("the target broke the stream off");
            }
            Some(Ok(frame)) => match frame.into_data() {
                Ok(data) => data,
                Err(_) => continue,
            },
        };
        parser.push(&data);
        if parser.is_overlong() {
            return StreamItem::Endless;
        }

        let mut bytes = BytesMut::new();
        let before = progress.events;
        while let Some(event) = parser.next() {
            // A target that resumes a stream may repeat events that were already forwarded.
            if event.id.is_some() && event.id <= progress.last_event {
                continue;
            }
            progress.last_event = event.id.or(progress.last_event);
            progress.events += 1;
            if progress.is_stored {
                progress.output.extend_from_slice(&event.data);
                progress.output.push(b'\n');
                if progress.output.len() > MAX_KEPT_OUTPUT_BYTES {
                    return StreamItem::Endless;
                }
            }
            bytes.extend_from_slice(&event.bytes);
        }
        if !bytes.is_empty() {
            started
                .place
                .record_events(u32::try_from(progress.events - before).unwrap_or(u32::MAX));
            return StreamItem::Events(bytes.freeze());
        }
    }
}

/// Resumes a broken stream, at the target from which it broke off or another one (see
/// `camphorwalk_policy::entry::resumption`). Returns `None` if the stream cannot be resumed.
async fn resume(
    call: &Rc<Call>,
    body: &Bytes,
    progress: &mut Progress,
    mut last: SentTo,
    reason: &'static str,
) -> Option<Started> {
    if !call.route().retry_policy.is_resumable() {
        return None;
    }

    while progress.resumes < MAX_RESUMES && !clock::until(call.deadline).is_zero() {
        progress.resumes += 1;
        let process = forward::process_state(&call.shared, last.key).await;
        if call.is_blocked(body) {
            return None;
        }

        let used = TargetsUsed { count: progress.targets_used, max: call.route().max_targets };
        let resumption = resumption::decide(last.broken_at(&call.shared, process), used);
        let place = match resumption {
            Resumption::SameTarget => {
                let placement = call.placement_request();
                places::retake(&call.shared, &call.service, last.key, &placement)
            }
            Resumption::OtherTarget => take_at_version(call, &progress.began_at, last.key).await?,
            Resumption::BreakOff => {
                info!(request = %call.head.request_id, ?process, reason, "call: may not move on");
                return None;
            }
        };
        if resumption == Resumption::OtherTarget && process != ProcessState::Ended {
            progress.targets_used += 1;
        }
        last = SentTo::new(&place);
        let target = place.target();
        call.shared.metrics.resumptions.with_label_values(&["host"]).inc();
        info!(
            request = %call.head.request_id, last_event = progress.last_event, ?process, reason,
            began_at = %progress.began_at.id, began_version = progress.began_at.version,
            target_id = %target.id, version = target.version, "call: stream goes on"
        );
        call.shared.metrics.resends.with_label_values(&[reason]).inc();
        let head_timeout = clock::until(call.deadline);
        let attempt =
            CallAttempt { call, body: body.clone(), last_event: progress.last_event, head_timeout };

        if let SendOutcome::Started(started) = forward::send(&attempt, place).await {
            if started.response.status() == StatusCode::OK
                && rejection_reason(started.response.status(), &started.head).is_none()
            {
                return Some(started.into_stream());
            }
            started.place.end(Outcome::Failed);
        }
    }

    None
}

/// The target that a stream was last sent to.
#[derive(Clone, Copy)]
struct SentTo {
    key: TargetKey,
    at: Instant,
}

impl SentTo {
    fn new(place: &Place) -> Self {
        Self { key: place.key, at: place.taken_at() }
    }

    /// Describes the target for the decision where the stream goes on.
    fn broken_at(self, shared: &Shared, process: ProcessState) -> BrokenAt {
        let targets = shared.targets.borrow();

        BrokenAt {
            process,
            is_evacuated: targets.is_evacuated(self.key),
            is_leaving: targets.get(self.key).is_some_and(|target| target.leaving),
            sent_ago: clock::now().since(self.at),
        }
    }
}

/// Takes a place at another target of the version that began a stream than `previous`.
async fn take_at_version(
    call: &Rc<Call>,
    began_at: &PlaceTarget,
    previous: TargetKey,
) -> Option<Place> {
    let began_at = confirm_version(&call.shared, began_at.clone());
    let mut placement = call.placement_request();
    placement.avoid.push(previous);
    placement.version = Some(began_at.version.clone()?);

    let place = places::take(&call.shared, &call.service, &placement, call.urgency()).await;
    place
        .inspect_err(|refusal| {
            info!(
                request = %call.head.request_id, reason = refusal.reason,
                began_at = %began_at.id, version = began_at.version,
                "call: stream does not go on"
            );
        })
        .ok()
}

/// Logs a stream that ended without a failure, and returns its connection to the pool.
fn finish(call: &Call, started: Started, progress: &Progress) {
    let Started { head, connection, place, response } = started;
    let key = place.key;
    call.log_answer(&TargetAnswer {
        target: &place.target(),
        status: response.status(),
        offers: progress.offers + progress.resumes,
        events: Some(progress.events),
    });
    place.complete();

    forward::put_back(&call.shared, key, connection, &head);
}
