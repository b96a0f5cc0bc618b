//! Calls whose answer is passed on whole.

use std::time::Duration;

use camphorwalk_adapter::head;
use camphorwalk_core::entry::RetryPolicy;
use camphorwalk_policy::entry::placement::Outcome;
use http::{Response, StatusCode};
use http_body_util::{BodyExt as _, Limited};
use tracing::info;

use crate::answer::{Answer, AnswerBody, Refusal};
use crate::call::{Answered, Call};
use crate::forward::{self, Sending, Sent, Started};
use crate::{clock, places};

/// The most targets that a call is offered to while each says that it has not run it.
const MOST_OFFERS: u32 = 4;

/// An idempotent call goes to another target when its answer takes this many times its route's
/// objective: far over the longest work of such a call, and a fraction of what callers wait.
const SILENT_OBJECTIVES: u32 = 3;

/// The least time that an answer may take before the call goes elsewhere.
const LEAST_PATIENCE: Duration = Duration::from_millis(150);

/// The most bytes of an answer that is taken whole.
const MAX_ANSWER_BYTES: usize = 8 << 20;

/// When a call that all targets refused is told to come back: after about one call's work.
const FULL_RETRY: Duration = Duration::from_millis(120);

/// Forwards a call until a target answers it.
pub(crate) async fn forward(call: &Call) -> Result<Answer, Refusal> {
    let may_repeat = call.route().retry_policy == RetryPolicy::Idempotent;
    let mut shape = call.shape();
    let mut offers = 0;
    let mut runs = 0;

    loop {
        let place = places::take(&call.shared, &call.service, &shape, call.urgency()).await;
        let place = place.map_err(|refusal| call.refuse(refusal))?;
        let key = place.key;
        let can_go_on = may_repeat && runs + 1 < call.route().max_targets;
        let sending = Sending {
            call,
            body: call.body.clone(),
            last_event: None,
            patience: patience(call, can_go_on),
        };

        let (reason, may_have_run) = match forward::send(&sending, place).await {
            Sent::Started(started) => match finish(call, *started, offers + 1).await {
                Ok(answer) => return Ok(answer),
                Err(reason) => (reason, true),
            },
            Sent::NotRun(reason) => (reason, false),
            Sent::Unknown { reason, .. } => (reason, true),
        };
        offers += 1;
        runs += u32::from(may_have_run);
        shape.avoid.push(key);
        info!(
            request = %call.head.request_id, offers, runs, may_have_run, reason,
            "call: no answer from target"
        );

        if may_have_run && !can_go_on {
            return Err(Refusal::lost(reason));
        }
        if offers >= MOST_OFFERS {
            return Err(call.refuse(Refusal::later("all targets refused", FULL_RETRY)));
        }
        call.shared.metrics.resends.with_label_values(&[reason]).inc();
    }
}

/// Returns how long an answer's head may take.
fn patience(call: &Call, can_go_on: bool) -> Duration {
    let left = clock::until(call.deadline);

    match can_go_on {
        true => left.min((call.route().latency_objective * SILENT_OBJECTIVES).max(LEAST_PATIENCE)),
        false => left,
    }
}

/// Takes an answer whole, and passes it on if it is the target's own.
async fn finish(call: &Call, started: Started, offers: u32) -> Result<Answer, &'static str> {
    let Started { response, head, connection, place } = started;
    let (parts, body) = response.into_parts();
    let key = place.key;

    let body = match Limited::new(body, MAX_ANSWER_BYTES).collect().await {
        Ok(body) => body.to_bytes(),
        Err(_) => {
            place.end(Outcome::Failed);
            return Err("the answer broke off");
        }
    };
    if let Some(fault) = fault(parts.status, &head) {
        place.end(Outcome::Failed);
        return Err(fault);
    }

    let (target, load) = place.target();
    let status = parts.status;
    call.log_answer(&Answered { target: &target, load, status, offers, events: None });
    place.answered();
    forward::put_back(&call.shared, key, connection, &head);

    let mut answer = Response::new(AnswerBody::Whole(Some(body)));
    *answer.status_mut() = parts.status;
    *answer.headers_mut() = head::write_answer(&parts.headers);
    Ok(answer)
}

/// Returns why an answer cannot be passed on, if it cannot.
///
/// A success counts only if it is signed. A status that promises that the call has not run may
/// be passed on only if the target made that promise, which is known from its head alone.
pub(crate) fn fault(status: StatusCode, head: &head::AnswerHead) -> Option<&'static str> {
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
