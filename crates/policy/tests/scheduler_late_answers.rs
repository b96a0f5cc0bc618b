//! Answers that a home cannot send at once.

mod scheduler_support;

use camphorwalk_core::ids::HostId;
use camphorwalk_core::messages::forward::Answer;
use camphorwalk_core::messages::{Body, PeerMessage};
use camphorwalk_core::time::Instant;
use camphorwalk_policy::scheduler::{Action, Event, Scheduler};
use scheduler_support::scheduler;

fn answer(request: u64) -> PeerMessage {
    Body::Answer(Answer { request, chunks: 2, body: "{}".into() }).into()
}

/// Counts how often an answer is sent to a host in one step.
fn sent(scheduler: &mut Scheduler, at_ms: u64, event: Event, request: u64) -> usize {
    let mut out = Vec::new();
    scheduler.step(Instant::from_millis(at_ms), event, &mut out);
    let is_it = |action: &&Action| matches!(action, Action::Send { message, .. } if *message == answer(request));

    out.iter().filter(is_it).count()
}

/// The caller waits at an entry host that the home cannot reach for a moment, although that
/// host reaches the home. The answer is sent again, unchanged, until the way is open; dropped,
/// it would have left the caller waiting until its deadline.
#[test]
fn an_answer_that_was_not_sent_is_sent_again() {
    let mut scheduler = scheduler();
    let to = HostId::from_name("b1");
    let unsent = || Event::SendFailed { to, message: answer(7) };

    let at_once = sent(&mut scheduler, 1_000, unsent(), 7);
    let wake = scheduler.wake_at();
    let again = sent(&mut scheduler, 1_200, Event::Wake, 7);
    let meanwhile = sent(&mut scheduler, 1_400, Event::Wake, 7);
    let failed = sent(&mut scheduler, 1_450, unsent(), 7);
    let third = sent(&mut scheduler, 1_650, Event::Wake, 7);
    let given_up = {
        sent(&mut scheduler, 10_990, unsent(), 7);
        sent(&mut scheduler, 11_200, Event::Wake, 7)
    };

    assert!(wake <= Instant::from_millis(1_200));
    assert_eq!((at_once, again, meanwhile, failed, third, given_up), (0, 1, 0, 0, 1, 0));
}
