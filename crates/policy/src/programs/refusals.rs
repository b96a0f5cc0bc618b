//! Refusals sent by a program's home host.

use std::time::Duration;

use camphorwalk_core::calls::{Code, Executed, Refusal, Request};

/// How long a caller should wait while a program's home host changes.
const MOVING_RETRY_AFTER: Duration = Duration::from_millis(500);

/// The home host of the program is another host or is not ready yet.
pub(super) fn home_moving() -> Refusal {
    Refusal::not_run(Code::Leaving, "the program's home is moving").retry_after(MOVING_RETRY_AFTER)
}

/// Like [`home_moving`], for a request that this host could not look up.
pub(super) fn not_served(request: &Request) -> Refusal {
    home_moving().ran(ran_if_not_looked_up(request))
}

/// Returns whether a request that was not looked up may have run.
///
/// The call's idempotency key may have run in an earlier request. If a caller that repeats a
/// deposit were told "not run", it could pay a second time by other means.
pub(super) fn ran_if_not_looked_up(request: &Request) -> Executed {
    match request {
        Request::Call(_) => Executed::Maybe,
        _ => Executed::No,
    }
}

/// The tenant has no program with this id.
pub(super) fn not_found() -> Refusal {
    Refusal::not_run(Code::NotFound, "no such program")
}

/// The request is invalid.
pub(super) fn bad_request(message: &str) -> Refusal {
    Refusal::not_run(Code::BadRequest, message)
}

/// The call does not follow the program's last finished call.
pub(super) fn out_of_order(head: u32, message: &str) -> Refusal {
    let mut refusal = Refusal::not_run(Code::OutOfOrder, message);
    refusal.head = Some(head);

    refusal
}

/// The idempotency key was already used with another body.
pub(super) fn key_reused() -> Refusal {
    Refusal::not_run(Code::KeyReused, "the idempotency key was used with another body")
}

/// The call needs the platform, which is unavailable.
pub(super) fn platform_unavailable(after: Duration) -> Refusal {
    Refusal::not_run(Code::PlatformUnavailable, "the platform cannot record the call now")
        .retry_after(after)
}

/// The call may have run.
pub(super) fn outcome_unknown() -> Refusal {
    Refusal::not_run(Code::OutcomeUnknown, "the call may have run; it is not repeated")
        .ran(Executed::Maybe)
}

/// The target ran the call and reported a failure.
pub(super) fn target_failed(message: &str) -> Refusal {
    Refusal::not_run(Code::OutcomeUnknown, format!("the target failed: {message}"))
        .ran(Executed::Yes)
}

/// The program's deadline has passed.
pub(super) fn deadline_passed(ran: Executed) -> Refusal {
    Refusal::not_run(Code::Deadline, "the program's deadline has passed").ran(ran)
}

/// The API key was withdrawn.
pub(super) fn unauthorized(ran: Executed) -> Refusal {
    Refusal::not_run(Code::Unauthorized, "the key is not valid").ran(ran)
}

/// The budget does not cover the call.
pub(super) fn budget_exhausted() -> Refusal {
    Refusal::not_run(Code::BudgetExhausted, "the program's budget does not cover the call")
}

/// The request is quarantined because it crashes targets.
pub(super) fn quarantined(ran: Executed) -> Refusal {
    Refusal::not_run(Code::Quarantined, "the request brought targets down before").ran(ran)
}
