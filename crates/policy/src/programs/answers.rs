//! The refusals that a program's home gives.

use std::time::Duration;

use camphorwalk_core::calls::{Code, Executed, Refusal, Request};

/// When to come back while a program's home moves.
const MOVING_RETRY: Duration = Duration::from_millis(500);

/// The program's home is elsewhere, or is not ready.
pub(super) fn leaving() -> Refusal {
    Refusal::not_run(Code::Leaving, "the program's home is moving").retry_after(MOVING_RETRY)
}

/// The program's home is elsewhere, or is not ready, so that nobody here can look the
/// request up.
pub(super) fn not_served(request: &Request) -> Refusal {
    leaving().ran(ran_unseen(request))
}

/// Returns what can be said of a request that was not looked up.
///
/// An earlier submission of a call's idempotency key may have run. This one did not, but a
/// caller that repeats a deposit asks about the deposit: told "not run", it would pay by
/// other means.
pub(super) fn ran_unseen(request: &Request) -> Executed {
    match request {
        Request::Call(_) => Executed::Maybe,
        _ => Executed::No,
    }
}

/// There is no such program for this tenant.
pub(super) fn not_found() -> Refusal {
    Refusal::not_run(Code::NotFound, "no such program")
}

/// The request makes no sense.
pub(super) fn bad_request(message: &str) -> Refusal {
    Refusal::not_run(Code::BadRequest, message)
}

/// The call does not follow the head.
pub(super) fn out_of_order(head: u32, message: &str) -> Refusal {
    let mut refusal = Refusal::not_run(Code::OutOfOrder, message);
    refusal.head = Some(head);

    refusal
}

/// The idempotency key came before with another body.
pub(super) fn key_reused() -> Refusal {
    Refusal::not_run(Code::KeyReused, "the idempotency key was used with another body")
}

/// The platform is needed and away.
pub(super) fn platform_away(after: Duration) -> Refusal {
    Refusal::not_run(Code::PlatformUnavailable, "the platform cannot record the call now")
        .retry_after(after)
}

/// The call may have run.
pub(super) fn unknown() -> Refusal {
    Refusal::not_run(Code::OutcomeUnknown, "the call may have run; it is not repeated")
        .ran(Executed::Maybe)
}

/// The target ran the call and failed.
pub(super) fn failed(message: &str) -> Refusal {
    Refusal::not_run(Code::OutcomeUnknown, format!("the target failed: {message}"))
        .ran(Executed::Yes)
}

/// The program's time is up.
pub(super) fn deadline(ran: Executed) -> Refusal {
    Refusal::not_run(Code::Deadline, "the program's deadline has passed").ran(ran)
}

/// The key was withdrawn.
pub(super) fn unauthorized(ran: Executed) -> Refusal {
    Refusal::not_run(Code::Unauthorized, "the key is not valid").ran(ran)
}

/// The budget does not cover the call.
pub(super) fn exhausted() -> Refusal {
    Refusal::not_run(Code::BudgetExhausted, "the program's budget does not cover the call")
}

/// The request crashes targets.
pub(super) fn quarantined(ran: Executed) -> Refusal {
    Refusal::not_run(Code::Quarantined, "the request brought targets down before").ran(ran)
}
