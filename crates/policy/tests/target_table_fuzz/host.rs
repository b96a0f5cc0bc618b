//! A host: its copy, the targets that it uses, and what it knows of the store and of other hosts.

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

/// For how long another host's news hold.
const FRESH: Duration = Duration::from_millis(700);

/// What another host told last.
#[derive(Clone, Copy, Debug)]
struct Heard {
    at: Instant,
    store_answers: bool,
}

/// A whole read that has come to some page.
struct Listing {
    asked_at: Instant,
    rows: Vec<EntryRow>,
    version: Option<RowVersion>,
}

/// What comes next in a round.
pub enum Next {
    Ask(Op),
    EndRound,
}

/// One run of a host.
pub struct Host {
    pub run: u64,
    pub table: TargetTable,
    pub in_use: Map<Box<str>, TargetEntry>,
    /// The question to the store that is not answered yet.
    pub waiting: Option<u64>,
    /// The question to another host that is not answered yet.
    pub asking: Option<u64>,
    /// The round that waits for the store.
    pub round: u64,
    listing: Option<Listing>,
    listed_at: Option<Instant>,
    /// Whether the store answered the last question.
    store_answers: Option<bool>,
    away_at: Option<Instant>,
    heard: BTreeMap<usize, Heard>,
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
            away_at: None,
            heard: BTreeMap::new(),
        }
    }

    /// Returns the first question of a round.
    pub fn begin_round(&mut self, now: Instant) -> Op {
        let is_list_due = self.listed_at.is_none_or(|at| now.since(at) >= RELIST_PERIOD);

        match self.table.as_of() {
            Some(after) if !is_list_due => Op::Changes(after),
            _ => self.begin_list(now),
        }
    }

    /// Takes in an answer of the store.
    pub fn take_answer(
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
                self.carry_out(effects);
                Next::EndRound
            }
            (_, Answer::Page { rows, version, is_last }) => {
                self.take_page(now, rows, version, is_last)
            }
            _ => Next::Ask(self.begin_list(now)),
        }
    }

    /// Takes in that a question to the store got no answer.
    pub fn take_silence(&mut self, now: Instant) {
        self.store_answers = Some(false);
        self.away_at = Some(now);
        self.listing = None;
    }

    pub fn hear(&mut self, now: Instant, from: usize, store_answers: bool, in_trouble: bool) {
        self.heard.insert(from, Heard { at: now, store_answers });
        if in_trouble {
            self.away_at = Some(now);
        }
    }

    pub fn store_answers(&self) -> bool {
        self.store_answers == Some(true)
    }

    pub fn is_in_trouble(&self) -> bool {
        self.store_answers == Some(false)
    }

    /// Returns whether the store may lack entries of living targets, which other hosts know.
    pub fn expects_lapses(&self, now: Instant) -> bool {
        let was_there = self.away_at.is_none_or(|at| now.since(at) > LAPSE_GRACE);

        self.table.may_miss_rows(now) && !was_there
    }

    /// Returns the hosts to ask: those that the store answers if there are any.
    pub fn peers(&self, now: Instant) -> Vec<usize> {
        let fresh = self.heard.iter().filter(|(_, heard)| now.since(heard.at) < FRESH);
        let reaching = fresh.clone().filter(|(_, heard)| heard.store_answers);
        let reaching: Vec<_> = reaching.map(|(host, _)| *host).collect();

        if reaching.is_empty() { fresh.map(|(host, _)| *host).collect() } else { reaching }
    }

    pub fn carry_out(&mut self, effects: Vec<Effect>) {
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

    fn take_page(
        &mut self,
        now: Instant,
        rows: Vec<EntryRow>,
        version: RowVersion,
        is_last: bool,
    ) -> Next {
        let Some(mut listing) = self.listing.take() else { return Next::EndRound };
        let after = rows.last().map(|row| row.id.clone()).unwrap_or_default();
        // What changes between two pages is told by the changes after the first.
        let version = *listing.version.get_or_insert(version);
        listing.rows.extend(rows);

        if !is_last {
            self.listing = Some(listing);
            return Next::Ask(Op::Page(after));
        }
        self.listed_at = Some(now);
        let effects = self.table.apply_full_read(now, listing.asked_at, listing.rows, version);
        self.carry_out(effects);
        Next::EndRound
    }
}
