//! Messages between hosts.

use std::rc::Rc;
use std::time::Duration;

use camphorwalk_core::platform::RowVersion;
use camphorwalk_policy::entry::budgets::{BudgetRow, Claim, KnownRow, ProgramKey, RunId};
use camphorwalk_policy::entry::shares::Doubt;

use crate::grants;
use crate::host::Shared;
use crate::sim::Slot;
use crate::store::{Op, StoreReply};
use crate::world::{Net, World};

/// What a bad network does to a message.
const LOST: f64 = 0.05;
const REPEATED: f64 = 0.05;
const LATE: f64 = 0.1;

/// What a host tells of itself.
#[derive(Clone, Copy)]
pub struct News {
    pub run: RunId,
    pub store_answers: bool,
    pub in_trouble: bool,
    pub remembers: bool,
    pub grants_loose: bool,
    pub knows_of_loose: bool,
}

#[derive(Clone, Debug)]
pub enum Ask {
    Store(Op),
    Grant(GrantAsk),
    Stored(ProgramKey, BudgetRow, RowVersion),
    Loose(ProgramKey, KnownRow),
    KnownRow(ProgramKey),
    StoredRow(ProgramKey),
    Yield(ProgramKey),
    Give(ProgramKey, KnownRow, RunId, u64),
}

#[derive(Clone, Debug)]
pub struct GrantAsk {
    pub program: ProgramKey,
    pub claim: Claim,
    pub known: KnownRow,
    /// Whether the turn may begin its program.
    pub begins: bool,
}

#[derive(Clone, Debug)]
pub enum Reply {
    Store(StoreReply),
    Granted(BudgetRow),
    Known(KnownRow),
    StoredRow(Option<(BudgetRow, RowVersion)>),
    Written(BudgetRow),
    Given(u64, Vec<RunId>),
    Withheld(Doubt),
    Spent,
    Done,
    Refused,
}

/// Asks another host. Returns `None` if no reply came in time: it may have done what was asked.
pub async fn ask(shared: &Shared, to: usize, ask: Ask, limit: Duration) -> Option<Reply> {
    let reply = Slot::new(&shared.world.sim);
    let replied = reply.clone();
    let from = shared.host.name;
    let run = shared.host.run;

    send(&shared.world, from, to, move |other| {
        let (ask, replied) = (ask.clone(), replied.clone());
        other.clone().spawn(async move {
            let reply = answer(&other, ask).await;
            send(&other.world.clone(), other.host.name, from, move |asking| {
                if asking.host.run == run {
                    replied.put(reply.clone());
                }
            });
        });
    });
    shared.world.sim.timeout(limit, reply.get()).await
}

/// Tells another host something without waiting for its reply.
pub fn tell(shared: &Shared, to: usize, ask: Ask) {
    send(&shared.world, shared.host.name, to, move |other| {
        let ask = ask.clone();
        other.clone().spawn(async move {
            answer(&other, ask).await;
        });
    });
}

pub fn tell_news(shared: &Shared, to: usize, news: News) {
    let from = shared.host.name;

    if shared.host.has_joined() {
        send(&shared.world, from, to, move |other| other.hear(from, news));
    }
}

/// Sends what is then done at the other host, if it gets there.
fn send(world: &Rc<World>, from: usize, to: usize, done: impl Fn(Shared) + 'static) {
    let sim = &world.sim;
    let is_bad = world.net.get() == Net::Bad;
    if is_bad && sim.chance(LOST) {
        return;
    }
    let late = if is_bad && sim.chance(LATE) { 400 } else { 3 };
    let times = if is_bad && sim.chance(REPEATED) { 2 } else { 1 };
    let delays: Vec<_> = (0..times).map(|_| sim.millis(1..late)).collect();
    let world = Rc::clone(world);

    sim.spawn(World::OUTSIDE, {
        let sim = Rc::clone(sim);
        async move {
            for delay in delays {
                sim.sleep(delay).await;
                let Some(host) = world.host(to) else { return };
                if world.is_linked(from, to) && host.has_joined() {
                    done(Shared { world: Rc::clone(&world), host });
                }
            }
        }
    });
}

async fn answer(shared: &Shared, ask: Ask) -> Reply {
    let budgets = &shared.host.budgets;

    match ask {
        Ask::Store(op) if shared.answers_store() => Reply::Store(shared.ask_straight(op).await),
        Ask::Store(_) => Reply::Refused,
        Ask::Grant(ask) => {
            let _turn = shared.lock(ask.program).await;
            grants::grant(shared, &ask).await
        }
        Ask::Stored(program, row, version) => {
            budgets.borrow_mut().merge_stored_row(shared.now(), program, row, version);
            Reply::Done
        }
        Ask::Loose(program, known) => {
            let mut budgets = budgets.borrow_mut();
            budgets.merge_unstored_row(shared.now(), program, &known.row);
            budgets.merge_known_row(shared.now(), program, &known);
            Reply::Done
        }
        Ask::KnownRow(program) => {
            budgets.borrow().known_row(program).map_or(Reply::Refused, Reply::Known)
        }
        Ask::StoredRow(program) => Reply::StoredRow(budgets.borrow().stored_row(program)),
        Ask::Give(program, known, to, total) => {
            let mut budgets = budgets.borrow_mut();
            budgets.merge_known_row(shared.now(), program, &known);
            Reply::Given(
                budgets.transfer_to(program, to, total),
                budgets.transfer_recipients(program),
            )
        }
        Ask::Yield(program) => {
            budgets.borrow_mut().return_unused(program).map_or(Reply::Refused, Reply::Granted)
        }
    }
}
