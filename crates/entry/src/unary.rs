//! Forwards calls whose answer is received completely before it is passed to the caller.

use std::time::Duration;

use camphorwalk_adapter::head;
use camphorwalk_core::entry::RetryPolicy;
use camphorwalk_policy::entry::placement::Outcome;
use http::{Response, StatusCode};
use tracing::info;

use crate::answer::{Answer, AnswerBody, Refusal};
use crate::call::{Call, TargetAnswer};
use crate::forward::{self, CallAttempt, SendOutcome, Started};
use crate::held_bytes::{self, CollectError, Hold};
use crate::read_limit::{BodyError, ENDLESS};
use crate::{clock, places};

/// The maximum number of targets that are tried for a call. The route's `max_targets` further
/// limits how many of them may have run it.
const MAX_OFFERS: u32 = 4;

/// An idempotent call is sent to another target if the answer's head takes longer than this many
/// times the latency objective of the route. This is far beyond the longest regular work of such a
/// call, and a fraction of the time that callers wait.
const HEAD_TIMEOUT_OBJECTIVES: u32 = 3;

/// The least time to wait for an answer's head before the call is sent to another target.
const MIN_HEAD_TIMEOUT: Duration = Duration::from_millis(150);

/// Retry-After of a call that none of the [`MAX_OFFERS`] targets that were tried has run: about the
/// duration of one call.
const FULL_RETRY_AFTER: Duration = Duration::from_millis(120);

/// Sends a call to targets until one of them answers.
pub(crate) async fn forward(call: &Call) -> Result<Answer, Refusal> {
    let may_repeat = call.route().retry_policy == RetryPolicy::Idempotent;
    let mut placement = call.placement_request();
    let mut offers = 0;
    let mut runs = 0;

    loop {
        let place = places::take(&call.shared, &call.service, &placement, call.urgency()).await;
        let place = place.map_err(|refusal| call.adjust_refusal(refusal))?;
        let key = place.key;
        let may_try_another = may_repeat && runs + 1 < call.route().max_targets;
        let attempt = CallAttempt {
            call,
            body: call.body.clone(),
            last_event: None,
            head_timeout: head_timeout(call, may_try_another),
        };

        let (reason, may_have_run) = match forward::send(&attempt, place).await {
            SendOutcome::Started(started) => match receive(call, *started, offers + 1).await {
                Ok(answer) => return Ok(answer),
                // The answer has no room here, so that another run would be of no use.
                Err(held_bytes::FULL) => return Err(Refusal::answer_lost(held_bytes::FULL)),
                Err(reason) => (reason, true),
            },
            SendOutcome::NotRun(reason) => (reason, false),
            SendOutcome::Unknown { reason, .. } => (reason, true),
        };
        offers += 1;
        runs += u32::from(may_have_run);
        placement.avoid.push(key);
        info!(
            request = %call.head.request_id, offers, runs, may_have_run, reason,
            "call: no answer from target"
        );

        if may_have_run && !may_try_another {
            return Err(Refusal::answer_lost(reason));
        }
        if offers >= MAX_OFFERS {
            return Err(
                call.adjust_refusal(Refusal::retry_later("all targets refused", FULL_RETRY_AFTER))
            );
        }
        call.shared.metrics.resends.with_label_values(&[reason]).inc();
    }
}

/// Returns how long to wait for an answer's head: until the call's deadline, or less if the call
/// may then be sent to another target.
fn head_timeout(call: &Call, may_try_another: bool) -> Duration {
    let left = clock::until(call.deadline);

    match may_try_another {
        true => left
            .min((call.route().latency_objective * HEAD_TIMEOUT_OBJECTIVES).max(MIN_HEAD_TIMEOUT)),
        false => left,
    }
}

/// Receives the whole answer, and returns it if it is valid.
async fn receive(call: &Call, started: Started, offers: u32) -> Result<Answer, &'static str> {
    let Started { response, head, connection, place } = started;
    let (parts, body) = response.into_parts();
    let key = place.key;

    let hold = call.held.as_ref().and_then(Hold::for_answer);
    let body = match held_bytes::collect_answer(body, hold.as_ref()).await {
        Ok(body) => body,
        Err(CollectError::Full) => return Err(held_bytes::FULL),
        Err(CollectError::Body(BodyError::Endless)) => {
            place.end(Outcome::Failed);
            return Err(ENDLESS);
        }
        Err(CollectError::Body(BodyError::Broken(_))) => {
            place.end(Outcome::Failed);
            call.check_for_crash(key, &call.body);
            return Err("the answer broke off");
        }
    };
    if let Some(reason) = rejection_reason(parts.status, &head) {
        place.end(Outcome::Failed);
        return Err(reason);
    }

    let (target, status) = (place.target(), parts.status);
    call.log_answer(&TargetAnswer { target: &target, status, offers, events: None });
    place.complete_call(status.is_success());
    if status.is_success() {
        call.record_completed(&call.body);
    }
    forward::put_back(&call.shared, key, connection, &head);

    let mut answer = Response::new(AnswerBody::whole(body, hold));
    *answer.status_mut() = parts.status;
    *answer.headers_mut() = head::write_answer(&parts.headers);
    Ok(answer)
}

/// Returns why an answer must not be passed to the caller, if so.
///
/// A successful answer must be signed. Some statuses promise callers that the call has not run. A
/// target that can promise this also says so in a header, and `forward::send` has handled such an
/// answer already. Any other answer with one of these statuses is rejected.
pub(crate) fn rejection_reason(
    status: StatusCode,
    head: &head::AnswerHead,
) -> Option<&'static str> {
    let promises = matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    );

    match () {
        () if head.has_content_encoding => Some("the answer has a content encoding"),
        () if status.is_success() && !head.signed => Some("the answer is not signed"),
        () if promises => Some("the target promised what it cannot"),
        () => None,
    }
}
