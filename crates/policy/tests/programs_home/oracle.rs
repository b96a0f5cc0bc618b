//! The guarantees, checked only against the answers that callers got and what the targets ran.

use std::collections::{BTreeMap, BTreeSet};

use camphorwalk_core::calls::{Executed, HistoryCall, Reply};
use camphorwalk_core::ids::ProgramId;

use crate::fixture::SMALL_BUDGET;
use crate::world::World;

/// A request that was sent by a caller.
#[derive(Debug)]
pub struct SentRequest {
    pub program: ProgramId,
    /// The idempotency key, for a call.
    pub key: Option<Box<str>>,
    pub host: usize,
    pub session: u64,
    pub reply: Option<Reply>,
    pub disconnected: bool,
}

/// Checks an answer of a host that holds the program's partition. An earlier holder that has
/// not noticed its loss cannot know what runs on the next home host, so it is not checked.
pub fn check_answer(ledger: &[(ProgramId, Box<str>)], sent: &SentRequest, reply: &Reply) {
    if let (Some(key), Reply::Refused(refusal)) = (&sent.key, reply) {
        let ran = ledger.contains(&(sent.program, key.clone()));
        assert!(
            !ran || refusal.ran != Executed::No,
            "call {key} ran but was refused as not run: {refusal:?}"
        );
    }
}

/// Checks the guarantees that must hold after every step.
pub fn check(world: &World) {
    let once: BTreeSet<_> = world.ledger.iter().collect();
    assert_eq!(once.len(), world.ledger.len(), "an operation ran twice: {:?}", world.ledger);

    for tokens in world.tokens.values() {
        assert!(
            *tokens <= SMALL_BUDGET,
            "{tokens} tokens were spent with a budget of {SMALL_BUDGET}"
        );
    }

    for run in world.ledger.iter().chain(&world.turns) {
        assert!(
            !answered_not_run(world, run),
            "{run:?} ran, but every request for it was answered as not run"
        );
    }
}

/// Returns whether every request for a call was answered "not run".
fn answered_not_run(world: &World, (program, key): &(ProgramId, Box<str>)) -> bool {
    let mut asked = world
        .requests
        .values()
        .filter(|sent| sent.program == *program && sent.key.as_ref() == Some(key));

    asked.all(|sent| matches!(&sent.reply, Some(Reply::Refused(r)) if r.ran == Executed::No))
}

/// Checks the final histories. They must contain only the program's own calls, all calls
/// reported as stored, and all calls that ran and must not be repeated.
pub fn check_histories(world: &World, histories: &BTreeMap<ProgramId, Vec<HistoryCall>>) {
    for (program, calls) in histories {
        for call in calls {
            assert!(
                call.input.contains(&program.to_string()),
                "the history of {program} contains a foreign call: {call:?}"
            );
            assert!(calls.iter().filter(|other| other.key == call.key).count() == 1);
        }
    }

    for sent in world.requests.values() {
        let Some(Reply::Called(called)) = &sent.reply else { continue };

        if called.stored {
            let call = &histories[&sent.program][called.call as usize - 1];
            assert_eq!((Some(&call.key), &call.output), (sent.key.as_ref(), &called.output));
        }
    }

    for (program, key) in &world.ledger {
        let recorded = histories[program].iter().any(|call| call.key == *key);
        assert!(recorded, "call {key} of {program} ran but is not recorded");
    }
}
