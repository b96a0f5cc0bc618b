//! Messages between hosts.

use std::rc::Rc;
use std::time::Duration;

use camphorwalk_core::platform::RowVersion;
use camphorwalk_policy::entry::budgets::{BudgetRow, Claim, KnownRow, ProgramKey, RunId};
use camphorwalk_policy::entry::grant_leases::PartitionSet;
use camphorwalk_policy::entry::shares::Doubt;

use crate::grants;
use crate::host::Shared;
use crate::sim::Slot;
use crate::store::{Op, StoreReply};
use crate::world::{Net, World};

/// Probabilities with which a bad network loses, repeats and delays a message.
const LOST: f64 = 0.05;
const REPEATED: f64 = 0.05;
const LATE: f64 = 0.1;

/// The status update that a host sends to the others.
#[derive(Clone, Copy)]
pub struct Status {
    pub run: RunId,
    pub store_answers: bool,
    pub in_trouble: bool,
    pub leases: PartitionSet,
}

#[derive(Clone, Debug)]
pub enum Query {
    Store(Op),
    Grant(GrantQuery),
    Consent(ProgramKey, KnownRow),
    Stored(ProgramKey, BudgetRow, RowVersion),
    Unstored(ProgramKey, KnownRow),
    KnownRow(ProgramKey),
    StoredRow(ProgramKey),
    ReturnUnused(ProgramKey),
    Transfer(ProgramKey, KnownRow, RunId, u64),
}

#[derive(Clone, Debug)]
pub struct GrantQuery {
    pub program: ProgramKey,
    pub claim: Claim,
    pub known: KnownRow,
    /// Whether the turn may be the first one of its program.
    pub begins: bool,
}

#[derive(Clone, Debug)]
pub enum QueryReply {
    Store(StoreReply),
    Granted(BudgetRow),
    Known(KnownRow),
    StoredRow(Option<(BudgetRow, RowVersion)>),
    Written(BudgetRow),
    Consented(KnownRow, RowVersion),
    Transferred(u64, Vec<RunId>),
    Withheld(Doubt),
    Spent,
    Done,
    Refused,
}

/// Sends a request to another host. Returns `None` if no reply arrives in time, in which case the
/// request may still have taken effect.
pub async fn query(
    shared: &Shared,
    to: usize,
    query: Query,
    limit: Duration,
) -> Option<QueryReply> {
    let reply = Slot::new(&shared.world.sim);
    let replied = reply.clone();
    let from = shared.host.name;
    let run = shared.host.run;

    send(&shared.world, from, to, move |other| {
        let (query, replied) = (query.clone(), replied.clone());
        other.clone().spawn(async move {
            let reply = answer(&other, query).await;
            send_reply(&other.world.clone(), other.host.name, from, move |requester| {
                if requester.host.run == run {
                    replied.put(reply.clone());
                }
            });
        });
    });
    shared.world.sim.timeout(limit, reply.get()).await
}

/// Sends a request to another host without waiting for the reply.
pub fn notify(shared: &Shared, to: usize, query: Query) {
    send(&shared.world, shared.host.name, to, move |other| {
        let query = query.clone();
        other.clone().spawn(async move {
            answer(&other, query).await;
        });
    });
}

pub fn send_status(shared: &Shared, to: usize, status: Status) {
    let from = shared.host.name;

    if shared.host.has_joined() {
        send(&shared.world, from, to, move |other| other.apply_status(from, status));
    }
}

/// Runs `done` on the other host after the message delay, and not before the host is thawed, unless
/// the message is lost.
fn send(world: &Rc<World>, from: usize, to: usize, done: impl Fn(Shared) + 'static) {
    let done = Rc::new(done);

    deliver(world, from, to, move |other| {
        let (done, world) = (Rc::clone(&done), Rc::clone(&other.world));
        if !world.sim.is_frozen(other.host.run) {
            return done(other);
        }
        world.clone().sim.spawn(other.host.run, async move { done(other) });
    });
}

/// Runs `done` after the message delay, unless the message is lost. A frozen host finds a reply that
/// arrived meanwhile as soon as it is thawed, before it notices how late it is.
fn send_reply(world: &Rc<World>, from: usize, to: usize, done: impl Fn(Shared) + 'static) {
    deliver(world, from, to, done);
}

fn deliver(world: &Rc<World>, from: usize, to: usize, done: impl Fn(Shared) + 'static) {
    let sim = &world.sim;
    let is_bad = world.net.get() == Net::Bad;
    if is_bad && sim.chance(LOST) {
        return;
    }
    let late = if is_bad && sim.chance(LATE) { 400 } else { 3 };
    let times = if is_bad && sim.chance(REPEATED) { 2 } else { 1 };
    let delays: Vec<_> = (0..times).map(|_| sim.random_millis(1..late)).collect();
    let world = Rc::clone(world);

    sim.spawn(World::NO_RUN, {
        let sim = Rc::clone(sim);
        async move {
            for delay in delays {
                sim.sleep(delay).await;
                let Some(host) = world.host(to) else { return };
                if world.is_connected(from, to) && host.has_joined() {
                    done(Shared { world: Rc::clone(&world), host });
                }
            }
        }
    });
}

async fn answer(shared: &Shared, query: Query) -> QueryReply {
    let budgets = &shared.host.budgets;

    match query {
        Query::Store(op) if shared.answers_store() => {
            QueryReply::Store(shared.run_direct(op).await)
        }
        Query::Store(_) => QueryReply::Refused,
        Query::Grant(query) => {
            let _turn = shared.lock(query.program).await;
            grants::grant(shared, &query).await
        }
        Query::Consent(program, known) => match grants::consent(shared, program, &known) {
            Ok((known, version)) => QueryReply::Consented(known, version),
            Err(doubt) => QueryReply::Withheld(doubt),
        },
        Query::Stored(program, row, version) => {
            budgets.borrow_mut().merge_stored_row(shared.now(), program, row, version);
            QueryReply::Done
        }
        Query::Unstored(program, known) => {
            let mut budgets = budgets.borrow_mut();
            budgets.merge_unstored_row(shared.now(), program, &known.row);
            budgets.merge_known_row(shared.now(), program, &known);
            QueryReply::Done
        }
        Query::KnownRow(program) => {
            budgets.borrow().known_row(program).map_or(QueryReply::Refused, QueryReply::Known)
        }
        Query::StoredRow(program) => QueryReply::StoredRow(budgets.borrow().stored_row(program)),
        Query::Transfer(program, known, to, total) => {
            let mut budgets = budgets.borrow_mut();
            budgets.merge_known_row(shared.now(), program, &known);
            QueryReply::Transferred(
                budgets.transfer_to(shared.now(), program, to, total),
                budgets.transfer_recipients(program),
            )
        }
        Query::ReturnUnused(program) => budgets
            .borrow_mut()
            .return_unused(program)
            .map_or(QueryReply::Refused, QueryReply::Granted),
    }
}
