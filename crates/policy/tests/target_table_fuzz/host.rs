//! A simulated host: its copy, the targets that it uses, and what it knows about the store and
//! other hosts.

use std::collections::BTreeMap;
use std::time::Duration;

use camphorwalk_core::entry::TargetEntry;
use camphorwalk_core::hash::Map;
use camphorwalk_core::platform::RowVersion;
use camphorwalk_core::time::Instant;
use camphorwalk_policy::entry::target_table::{
    Effect, EntryRow, LAPSE_GRACE, RELIST_PERIOD, TargetTable,
};

use crate::store::{Answer, Op};
use crate::targets::HEARTBEAT;

/// How long another host's status update is valid.
const STATUS_VALIDITY: Duration = Duration::from_millis(700);

/// The last status update of another host.
#[derive(Clone, Copy, Debug)]
struct Status {
    at: Instant,
    store_answers: bool,
}

/// A full read in progress, with the pages read so far.
struct Listing {
    asked_at: Instant,
    rows: Vec<EntryRow>,
    version: Option<RowVersion>,
}

/// The next step in a polling round.
pub enum Next {
    Ask(Op),
    EndRound,
}

/// One run of a host's process.
pub struct Host {
    pub run: u64,
    pub table: TargetTable,
    pub in_use: Map<Box<str>, TargetEntry>,
    /// The request to the store that is not answered yet.
    pub waiting: Option<u64>,
    /// The request to another host that is not answered yet.
    pub asking: Option<u64>,
    /// The polling round that waits for the store.
    pub round: u64,
    listing: Option<Listing>,
    listed_at: Option<Instant>,
    /// Whether the store answered the last request.
    store_answers: Option<bool>,
    unavailable_at: Option<Instant>,
    statuses: BTreeMap<usize, Status>,
}

impl Host {
    pub fn new(run: u64) -> Self {
        Self {
            run,
            table: TargetTable::new(HEARTBEAT),
            in_use: Map::default(),
            waiting: None,
            asking: None,
            round: 0,
            listing: None,
            listed_at: None,
            store_answers: None,
            unavailable_at: None,
            statuses: BTreeMap::new(),
        }
    }

    /// Returns the first request of a round.
    pub fn begin_round(&mut self, now: Instant) -> Op {
        let is_list_due = self.listed_at.is_none_or(|at| now.since(at) >= RELIST_PERIOD);

        match self.table.as_of() {
            Some(after) if !is_list_due => Op::Changes(after),
            _ => self.begin_list(now),
        }
    }

    /// Applies an answer from the store.
    pub fn apply_answer(
        &mut self,
        now: Instant,
        asked_at: Instant,
        op: &Op,
        answer: Answer,
    ) -> Next {
        self.store_answers = Some(true);

        match (op, answer) {
            (Op::Changes(after), Answer::Changes(changes, as_of)) => {
                let effects = self.table.apply_changes(now, asked_at, *after, changes, as_of);
                self.apply_effects(effects);
                Next::EndRound
            }
            (_, Answer::Page { rows, version, is_last }) => {
                self.apply_page(now, rows, version, is_last)
            }
            _ => Next::Ask(self.begin_list(now)),
        }
    }

    /// Records that a request to the store got no answer.
    pub fn record_no_answer(&mut self, now: Instant) {
        self.store_answers = Some(false);
        self.unavailable_at = Some(now);
        self.listing = None;
    }

    pub fn record_status(
        &mut self,
        now: Instant,
        from: usize,
        store_answers: bool,
        store_unavailable: bool,
    ) {
        self.statuses.insert(from, Status { at: now, store_answers });
        if store_unavailable {
            self.unavailable_at = Some(now);
        }
    }

    pub fn store_answers(&self) -> bool {
        self.store_answers == Some(true)
    }

    pub fn sees_store_unavailable(&self) -> bool {
        self.store_answers == Some(false)
    }

    /// Returns whether the store may lack entries of running targets that other hosts know.
    pub fn may_lack_lapsed_targets(&self, now: Instant) -> bool {
        let was_available = self.unavailable_at.is_none_or(|at| now.since(at) > LAPSE_GRACE);

        self.table.may_miss_rows(now) && !was_available
    }

    /// Returns the hosts to request a copy from: those that the store answers, or else all live
    /// ones.
    pub fn peers(&self, now: Instant) -> Vec<usize> {
        let live =
            self.statuses.iter().filter(|(_, status)| now.since(status.at) < STATUS_VALIDITY);
        let with_store = live.clone().filter(|(_, status)| status.store_answers);
        let with_store: Vec<_> = with_store.map(|(host, _)| *host).collect();

        if with_store.is_empty() { live.map(|(host, _)| *host).collect() } else { with_store }
    }

    pub fn apply_effects(&mut self, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Use(entry) => drop(self.in_use.insert(entry.id.clone(), entry)),
                Effect::Drop(id, _) => drop(self.in_use.remove(&id)),
            }
        }
    }

    fn begin_list(&mut self, now: Instant) -> Op {
        self.listing = Some(Listing { asked_at: now, rows: Vec::new(), version: None });

        Op::Page("".into())
    }

    fn apply_page(
        &mut self,
        now: Instant,
        rows: Vec<EntryRow>,
        version: RowVersion,
        is_last: bool,
    ) -> Next {
        let Some(mut listing) = self.listing.take() else { return Next::EndRound };
        let after = rows.last().map(|row| row.id.clone()).unwrap_or_default();
        // Keeps the version of the first page: the next read of changes starts there, and so
        // includes the changes made between two pages.
        let version = *listing.version.get_or_insert(version);
        listing.rows.extend(rows);

        if !is_last {
            self.listing = Some(listing);
            return Next::Ask(Op::Page(after));
        }
        self.listed_at = Some(now);
        let effects = self.table.apply_full_read(now, listing.asked_at, listing.rows, version);
        self.apply_effects(effects);
        Next::EndRound
    }
}
