//! What must hold, from the answers that callers got and the ledgers of the targets alone.

use std::collections::{BTreeMap, BTreeSet};

use camphorwalk_core::calls::{Executed, HistoryCall, Reply};
use camphorwalk_core::ids::ProgramId;

use crate::fixture::SMALL_BUDGET;
use crate::world::World;

/// A request that a caller sent.
#[derive(Debug)]
pub struct Sent {
    pub program: ProgramId,
    /// The idempotency key of a call.
    pub key: Option<Box<str>>,
    pub host: usize,
    pub session: u64,
    pub reply: Option<Reply>,
    pub gone: bool,
}

/// Checks an answer of the host that holds the program's partition and knows it. One that
/// was overtaken without notice cannot know what runs at the next home.
pub fn check_answer(ledger: &[(ProgramId, Box<str>)], sent: &Sent, reply: &Reply) {
    if let (Some(key), Reply::Refused(refusal)) = (&sent.key, reply) {
        let ran = ledger.contains(&(sent.program, key.clone()));
        assert!(!ran || refusal.ran != Executed::No, "{key} ran, and {refusal:?}");
    }
}

/// Checks what must hold at any moment.
pub fn check(world: &World) {
    let once: BTreeSet<_> = world.ledger.iter().collect();
    assert_eq!(once.len(), world.ledger.len(), "an operation ran twice: {:?}", world.ledger);

    for tokens in world.tokens.values() {
        assert!(*tokens <= SMALL_BUDGET, "{tokens} tokens were spent of {SMALL_BUDGET}");
    }

    for run in world.ledger.iter().chain(&world.turns) {
        assert!(!denied(world, run), "{run:?} ran, and all who asked were told it did not");
    }
}

/// Tells whether every request for a call was answered "not run".
fn denied(world: &World, (program, key): &(ProgramId, Box<str>)) -> bool {
    let mut asked = world
        .sent
        .values()
        .filter(|sent| sent.program == *program && sent.key.as_ref() == Some(key));

    asked.all(|sent| matches!(&sent.reply, Some(Reply::Refused(r)) if r.ran == Executed::No))
}

/// Checks the histories that the last home has: they hold each program's own calls, all
/// that was said to be stored, and all that ran and must not be repeated.
pub fn check_histories(world: &World, histories: &BTreeMap<ProgramId, Vec<HistoryCall>>) {
    for (program, calls) in histories {
        for call in calls {
            assert!(call.input.contains(&program.to_string()), "{program} has {call:?}");
            assert!(calls.iter().filter(|other| other.key == call.key).count() == 1);
        }
    }

    for sent in world.sent.values() {
        let Some(Reply::Called(called)) = &sent.reply else { continue };

        if called.stored {
            let call = &histories[&sent.program][called.call as usize - 1];
            assert_eq!((Some(&call.key), &call.output), (sent.key.as_ref(), &called.output));
        }
    }

    for (program, key) in &world.ledger {
        let recorded = histories[program].iter().any(|call| call.key == *key);
        assert!(recorded, "{program} {key} ran and is not recorded");
    }
}
