//! Who grants a program's tokens in times of trouble, as `camphorwalk-entry` does it.

use std::time::Duration;

use camphorwalk_core::platform::RowVersion;
use camphorwalk_policy::entry::budgets::{BudgetRow, KnownRow, ProgramKey, Proposal};
use camphorwalk_policy::entry::shares::Doubt;

use crate::asks::{self, Ask, GrantAsk, Reply};
use crate::budget::{MOST_WRITES, Written, write};
use crate::host::Shared;
use crate::sim::{Slot, join_all};
use crate::world::MOST;

pub const WITNESSES: usize = 2;
const LOOSE_WITNESSES: usize = 4;
const MOST_ASKED: usize = 12;
const MOST_OVERDUE: u32 = 2;
const GRANT_DEADLINE: Duration = Duration::from_millis(450);
const WITNESS_DEADLINE: Duration = Duration::from_millis(80);
const HEDGE_AFTER: Duration = Duration::from_millis(60);

pub enum Granted {
    Tokens,
    Withheld(Doubt),
    Nothing,
    Unsure,
}

pub fn tell_stored(shared: &Shared, program: ProgramKey, row: &BudgetRow, version: RowVersion) {
    let mut hosts: Vec<_> = shared.next_granters(program).take(WITNESSES).collect();
    if shared.host.budgets.borrow().has_unstored_grants(program) {
        hosts.extend(shared.witnesses(program).into_iter().take(LOOSE_WITNESSES));
        hosts.sort_unstable();
        hosts.dedup();
    }

    for host in hosts {
        asks::tell(shared, host, Ask::Stored(program, row.clone(), version));
    }
}

pub async fn ask_for_grant(
    shared: &Shared,
    program: ProgramKey,
    budget: u64,
    begins: bool,
) -> Granted {
    let empty = BudgetRow { budget, ..BudgetRow::default() };
    let budgets = &shared.host.budgets;
    let known = budgets.borrow().known_row(program);
    let known = known.unwrap_or(KnownRow { row: empty, stored: 0 });
    let claim = budgets.borrow().claim(program, MOST);
    let ask = GrantAsk { program, claim, known, begins };
    let Some(host) = shared.order(program).first().copied() else { return Granted::Unsure };
    let reply = match host == shared.host.name {
        true => Some(grant(shared, &ask).await),
        false => asks::ask(shared, host, Ask::Grant(ask), GRANT_DEADLINE).await,
    };

    match reply {
        Some(Reply::Written(row)) => {
            budgets.borrow_mut().accept_stored_grant(shared.now(), program, &row);
            Granted::Tokens
        }
        Some(Reply::Granted(row)) => {
            budgets.borrow_mut().accept_unstored_grant(shared.now(), program, &row);
            Granted::Tokens
        }
        Some(Reply::Withheld(doubt)) => Granted::Withheld(doubt),
        Some(Reply::Spent) => Granted::Nothing,
        _ => Granted::Unsure,
    }
}

/// Grants a turn's tokens: by the store if it answers, or else in its place.
pub async fn grant(shared: &Shared, ask: &GrantAsk) -> Reply {
    shared.host.budgets.borrow_mut().merge_known_row(shared.now(), ask.program, &ask.known);

    for _ in 0..MOST_OVERDUE {
        let (row, writing) = match grant_by_store(shared, ask).await {
            ByStore::Decided(reply) => return reply,
            ByStore::Overdue(row, writing) => (row, writing),
            ByStore::Away(otherwise) => {
                return grant_without_store(shared, ask).await.unwrap_or(otherwise);
            }
        };
        match grant_without_store(shared, ask).await {
            Some(reply) => return reply,
            None => match shared.world.sim.timeout(GRANT_DEADLINE, writing.get()).await {
                Some(Written::Committed) => return Reply::Written(row),
                Some(Written::Learned) => {}
                _ => return Reply::Refused,
            },
        }
    }

    Reply::Refused
}

enum ByStore {
    Decided(Reply),
    Overdue(BudgetRow, Slot<Written>),
    /// With the reply if nothing is granted in its place.
    Away(Reply),
}

async fn grant_by_store(shared: &Shared, ask: &GrantAsk) -> ByStore {
    let GrantAsk { program, claim, known, .. } = ask;

    for _ in 0..MOST_WRITES {
        let (now, limit) = (shared.now(), shared.limit());
        let proposal = shared
            .host
            .budgets
            .borrow_mut()
            .propose_within(now, *program, *claim, &known.row, limit);
        let (row, version) = match proposal {
            Proposal::Write(row, version) => (row, version),
            Proposal::Spent => return ByStore::Decided(Reply::Spent),
            Proposal::Withheld(doubt) if shared.answers_whole() => {
                return ByStore::Decided(Reply::Withheld(doubt));
            }
            Proposal::Withheld(doubt) => return ByStore::Away(Reply::Withheld(doubt)),
        };

        match write_hedged(shared, *program, row.clone(), version).await {
            Hedged::Done(Written::Committed) => return ByStore::Decided(Reply::Written(row)),
            Hedged::Done(Written::Learned) => {}
            Hedged::Done(_) => return ByStore::Away(Reply::Refused),
            Hedged::Overdue(writing) => return ByStore::Overdue(row, writing),
        }
    }

    ByStore::Away(Reply::Refused)
}

async fn grant_without_store(shared: &Shared, ask: &GrantAsk) -> Option<Reply> {
    let GrantAsk { program, claim, known, begins } = ask;
    let budgets = &shared.host.budgets;
    let is_entitled = shared.is_majority() && !shared.is_isolated();
    if !shared.host.health.borrow().has_answered() || !is_entitled || !shared.remembers() {
        return None;
    }

    learn_from(shared, *program, WITNESSES).await;
    if !budgets.borrow().has_grants(*program) {
        learn_from(shared, *program, MOST_ASKED).await;
        if !budgets.borrow().has_grants(*program) && !begins {
            return None;
        }
    }
    let granted =
        budgets.borrow_mut().grant_without_store(shared.now(), *program, *claim, &known.row);
    match granted {
        Some(row) if has_witness(shared, *program, &row).await => Some(Reply::Granted(row)),
        Some(_) => None,
        None if budgets.borrow().is_spent(*program, claim.missing) => Some(Reply::Spent),
        None => Some(Reply::Withheld(Doubt::Unsettled)),
    }
}

pub enum Hedged {
    Done(Written),
    /// The write goes on.
    Overdue(Slot<Written>),
}

/// Writes a row, and waits for a short time for what comes of it.
pub async fn write_hedged(
    shared: &Shared,
    program: ProgramKey,
    row: BudgetRow,
    version: RowVersion,
) -> Hedged {
    let written = Slot::new(&shared.world.sim);
    let (writing, done) = (shared.clone(), written.clone());
    shared.spawn(async move { done.put(write(&writing, program, row, version).await) });

    match shared.world.sim.timeout(HEDGE_AFTER, written.get()).await {
        Some(written) => Hedged::Done(written),
        None => {
            shared.note_slow();
            Hedged::Overdue(written)
        }
    }
}

async fn has_witness(shared: &Shared, program: ProgramKey, row: &BudgetRow) -> bool {
    let stored = shared.host.budgets.borrow().known_row(program).map_or(0, |known| known.stored);
    let ask = Ask::Loose(program, KnownRow { row: row.clone(), stored });
    let elsewhere: Vec<_> = shared.witnesses(program).into_iter().take(LOOSE_WITNESSES).collect();
    let next = shared.next_granters(program).take(WITNESSES);
    for host in next.filter(|host| !elsewhere.contains(host)) {
        asks::tell(shared, host, ask.clone());
    }

    // The first that takes note is enough; the others are told all the same.
    let first = Slot::new(&shared.world.sim);
    for host in elsewhere {
        let (asking, ask, first) = (shared.clone(), ask.clone(), first.clone());
        shared.spawn(async move {
            if let Some(Reply::Done) = asks::ask(&asking, host, ask, WITNESS_DEADLINE).await {
                first.put(());
            }
        });
    }
    shared.world.sim.timeout(WITNESS_DEADLINE, first.get()).await.is_some()
}

/// Learns what the next hosts in the order know.
pub async fn learn_from(shared: &Shared, program: ProgramKey, count: usize) {
    let hosts: Vec<_> = shared.next_granters(program).take(count).collect();
    let asked = hosts
        .into_iter()
        .map(|host| asks::ask(shared, host, Ask::KnownRow(program), WITNESS_DEADLINE));
    let replies = join_all(asked).await;

    for reply in replies.into_iter().flatten() {
        if let Reply::Known(known) = reply {
            shared.host.budgets.borrow_mut().merge_known_row(shared.now(), program, &known);
        }
    }
}

/// Writes the grants that were made without the store and are due.
pub async fn write_loose(shared: &Shared) {
    let loose =
        shared.host.budgets.borrow().rows_to_write(shared.now(), |run| shared.hears_run(run));
    let writes =
        loose.into_iter().map(|(program, row, version)| write(shared, program, row, version));

    join_all(writes).await;
}
