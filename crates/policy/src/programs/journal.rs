//! Group commit: entries of all partitions gather and are written together, with one
//! transaction in flight at a time.
//!
//! The state machine knows nothing of programs. What waits on an entry is told its [`Fate`].

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use camphorwalk_core::ids::{Epoch, PartitionId};
use camphorwalk_core::platform::{Check, PlatformReply, Row, RowVersion, Transaction, Write};
use camphorwalk_core::time::Instant;

use super::checkpoint::Upkeep;
use super::entries::{Entry, JournalRow, journal_key, lease_key};
use super::flight::{Flight, FlightRow, bears, stands};
use super::state::ProgramKey;
use crate::shared_types::CallId;

/// The most bytes of entries in one transaction.
const MAX_BATCH_BYTES: usize = 512 * 1024;

/// What an entry counts for besides its text.
const ENTRY_OVERHEAD_BYTES: usize = 512;

/// The first wait after the platform refused or lost an answer; it doubles.
const FIRST_BACKOFF: Duration = Duration::from_millis(50);

/// The longest wait between two tries.
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// Where a partition's journal stands, as far as writing goes.
#[derive(Clone, Copy, Debug)]
pub(super) struct Tenure {
    /// A number of this process's own. A lease can be lost by this host's clock and found
    /// to be still its own, with the same epoch; entries of before are void all the same,
    /// as their programs were forgotten.
    pub id: u64,
    /// The epoch of the lease.
    pub epoch: Epoch,
    /// The version of the lease row, which each write checks.
    pub lease: RowVersion,
    /// The number of the next row.
    pub next: u64,
}

/// Who waits on an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Waiter {
    /// Nobody.
    Nobody,
    /// A program that is being opened.
    Open(ProgramKey),
    /// A call that is sent once its intent is durable.
    Intent(ProgramKey, CallId),
    /// A call that is placed once its family may spend more.
    Grant(ProgramKey, CallId),
    /// A call that is answered once its record, with this number, is durable.
    Record(ProgramKey, CallId, u32),
    /// A program that is ending.
    End(ProgramKey),
}

/// An entry on its way to the platform.
#[derive(Clone, Debug)]
pub(super) struct Pending {
    /// The partition.
    pub partition: PartitionId,
    /// The tenure under which it was made: void under any other.
    pub tenure: u64,
    /// The entry.
    pub entry: Entry,
    /// Who waits on it.
    pub waiter: Waiter,
}

/// What became of an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Fate {
    /// The platform holds it.
    Durable,
    /// The platform refused it and certainly holds nothing of it. Facts are tried again.
    Refused,
    /// The platform's answer was lost: it may hold it now, or later. It is sent again, just
    /// as it is, until that is known; this is told once.
    InDoubt,
}

/// What a reply meant.
#[derive(Debug, Default)]
pub(super) struct Resolved {
    /// The entries with their fates, in order.
    pub fates: Vec<(Pending, Fate)>,
    /// Partitions whose lease another host took.
    pub fenced: Vec<(PartitionId, Epoch)>,
    /// Partitions whose journal holds a row that this host does not know, under its own
    /// lease: what was read of them is not all there is.
    pub behind: Vec<PartitionId>,
    /// The bytes of the rows that were appended.
    pub appended: Vec<(PartitionId, usize)>,
    /// The upkeep that was done, and the version of what it wrote.
    pub upkeep: Option<(Upkeep, RowVersion)>,
}

/// The entries that wait and the one transaction that is under way.
#[derive(Debug)]
pub(super) struct Journal {
    /// The session that names this run of the process in witnesses.
    session: u64,
    /// The number of transactions made.
    made: u64,
    /// How long entries gather.
    interval: Duration,
    /// The entries that wait, in order.
    waiting: Vec<Pending>,
    /// Checkpoints and deletions that wait.
    upkeep: VecDeque<Upkeep>,
    /// Whether the last transaction was upkeep; entries then go first.
    upkept: bool,
    /// The transaction under way.
    flight: Option<Flight>,
    /// Not before this instant is the next one sent.
    due: Instant,
    /// The current wait between tries; zero while the platform answers.
    backoff: Duration,
    /// How many of the next transactions hold one partition only: after a conflict that
    /// named no row, to find which lease is gone.
    alone: usize,
}

impl Journal {
    /// Makes a journal with nothing to write.
    pub fn new(session: u64, interval: Duration) -> Self {
        Self {
            session,
            made: 0,
            interval,
            waiting: Vec::new(),
            upkeep: VecDeque::new(),
            upkept: false,
            flight: None,
            due: Instant::default(),
            backoff: Duration::ZERO,
            alone: 0,
        }
    }

    /// Adds an entry.
    pub fn push(&mut self, pending: Pending) {
        self.waiting.push(pending);
    }

    /// Adds upkeep of a partition's journal.
    pub fn push_upkeep(&mut self, upkeep: Upkeep) {
        self.upkeep.push_back(upkeep);
    }

    /// Tells whether the platform refused, or lost its answer to, the last transaction, and
    /// the next try is not due yet.
    pub fn is_away(&self, now: Instant) -> bool {
        self.in_doubt() || (!self.backoff.is_zero() && now < self.due)
    }

    /// Tells whether a transaction is under way whose outcome is unknown.
    pub fn in_doubt(&self) -> bool {
        self.flight.as_ref().is_some_and(|flight| flight.in_doubt)
    }

    /// Tells whether the transaction under way writes to a partition's journal.
    pub fn is_writing(&self, partition: PartitionId) -> bool {
        self.flight.as_ref().is_some_and(|f| f.rows.iter().any(|row| row.partition == partition))
    }

    /// Returns the partitions that have entries on the way, some several times.
    pub fn partitions(&self) -> impl Iterator<Item = PartitionId> + '_ {
        let sent = self.flight.iter().flat_map(|flight| &flight.entries);

        sent.chain(&self.waiting).map(|pending| pending.partition)
    }

    /// Returns how long a caller should wait before it tries again.
    pub fn retry_after(&self) -> Duration {
        self.backoff.max(Duration::from_millis(500))
    }

    /// Returns when the next transaction is to be sent.
    pub fn wake_at(&self) -> Option<Instant> {
        let idle = match &self.flight {
            Some(flight) => !flight.sent,
            None => !self.waiting.is_empty() || !self.upkeep.is_empty(),
        };

        idle.then_some(self.due)
    }

    /// Drops what waits for a partition; what is under way stays.
    pub fn drop_partition(&mut self, partition: PartitionId) {
        self.waiting.retain(|pending| pending.partition != partition);
        self.upkeep.retain(|upkeep| upkeep.partition() != partition);
    }

    /// Returns the transaction to send now, if any.
    pub fn next(
        &mut self,
        now: Instant,
        tenures: &BTreeMap<PartitionId, Tenure>,
    ) -> Option<Transaction> {
        if now < self.due {
            return None;
        }

        if let Some(flight) = &mut self.flight {
            if flight.sent {
                return None;
            }

            flight.sent = true;
            return Some(flight.transaction.clone());
        }

        self.drop_void(tenures);
        let flight = self.gather_upkeep(tenures).or_else(|| self.gather(tenures))?;
        self.upkept = flight.upkeep.is_some();
        let transaction = flight.transaction.clone();
        self.due = now + self.interval;
        self.flight = Some(flight);

        Some(transaction)
    }

    /// Drops what was meant for a former tenure: the journal it continues is another's now.
    fn drop_void(&mut self, tenures: &BTreeMap<PartitionId, Tenure>) {
        let holds = |partition, tenure| tenures.get(&partition).is_some_and(|t| t.id == tenure);
        self.waiting.retain(|p| holds(p.partition, p.tenure));
        self.upkeep.retain(|u| holds(u.partition(), u.tenure()));
    }

    /// Takes the next upkeep, if it is its turn.
    fn gather_upkeep(&mut self, tenures: &BTreeMap<PartitionId, Tenure>) -> Option<Flight> {
        if self.upkept && !self.waiting.is_empty() {
            return None;
        }

        let upkeep = self.upkeep.pop_front()?;
        let partition = upkeep.partition();
        let tenure = tenures[&partition];
        let witness = self.witness();
        let mut transaction = upkeep.transaction(&witness);
        transaction.checks.push(Check { key: lease_key(partition), version: tenure.lease });

        let row = FlightRow { partition, tenure, key: upkeep.key(), appended: None };
        Some(Flight {
            transaction,
            witness,
            entries: Vec::new(),
            upkeep: Some(upkeep),
            rows: vec![row],
            in_doubt: false,
            sent: true,
        })
    }

    /// Makes the name of the next transaction.
    fn witness(&mut self) -> Box<str> {
        self.made += 1;

        format!("{:016x}-{:x}", self.session, self.made).into()
    }

    /// Takes what fits into one transaction off the entries that wait.
    fn gather(&mut self, tenures: &BTreeMap<PartitionId, Tenure>) -> Option<Flight> {
        let only = (self.alone > 0).then(|| self.waiting.first().map(|p| p.partition)).flatten();
        let mut bytes = 0;
        let mut entries = Vec::new();
        let mut rest = Vec::new();

        for pending in self.waiting.drain(..) {
            let fits = bytes < MAX_BATCH_BYTES && only.is_none_or(|p| p == pending.partition);

            if fits {
                bytes += ENTRY_OVERHEAD_BYTES + pending.entry.text_bytes();
                entries.push(pending);
            } else {
                rest.push(pending);
            }
        }

        self.waiting = rest;
        self.alone = self.alone.saturating_sub(1);

        if entries.is_empty() { None } else { Some(self.flight_of(entries, tenures)) }
    }

    /// Makes the transaction that appends `entries`.
    fn flight_of(
        &mut self,
        entries: Vec<Pending>,
        tenures: &BTreeMap<PartitionId, Tenure>,
    ) -> Flight {
        let witness = self.witness();
        let mut rows = BTreeMap::<PartitionId, Vec<Entry>>::new();

        for pending in &entries {
            rows.entry(pending.partition).or_default().push(pending.entry.clone());
        }

        let mut flight = Flight {
            transaction: Transaction::default(),
            witness,
            entries,
            upkeep: None,
            rows: Vec::new(),
            in_doubt: false,
            sent: true,
        };

        for (partition, entries) in rows {
            let tenure = tenures[&partition];
            let key = journal_key(partition, tenure.next);
            let row = JournalRow { witness: flight.witness.clone(), entries };
            let value = serde_json::to_string(&row).expect("journal rows are plain data");
            let tx = &mut flight.transaction;

            // A home that was paused past its lease could append to a journal that the next
            // home has read already: an acknowledged call would be missing there. The lease
            // row changes with each holder, so its version fences the append.
            tx.checks.push(Check { key: lease_key(partition), version: tenure.lease });
            tx.checks.push(Check { key: key.clone(), version: RowVersion::ABSENT });
            let appended = Some(value.len());
            tx.writes.push(Write { key: key.clone(), value: Some(value.into()) });
            flight.rows.push(FlightRow { partition, tenure, key, appended });
        }

        flight
    }

    /// Takes in the platform's reply to the transaction under way.
    pub fn on_reply(
        &mut self,
        now: Instant,
        reply: PlatformReply,
        tenures: &mut BTreeMap<PartitionId, Tenure>,
    ) -> Resolved {
        let Some(flight) = &mut self.flight else { return Resolved::default() };

        match reply {
            PlatformReply::Committed(version) => self.committed(version, tenures),
            PlatformReply::Conflict(rows) => self.conflict(now, &rows, tenures),
            // Once an answer was lost, the first sending may still take effect, whatever a
            // later one is told; so a refusal ends the matter only if nothing was lost.
            PlatformReply::Unavailable if !flight.in_doubt => self.refused(now),
            _ => self.doubted(now),
        }
    }

    /// The transaction took effect.
    fn committed(
        &mut self,
        version: RowVersion,
        tenures: &mut BTreeMap<PartitionId, Tenure>,
    ) -> Resolved {
        let Some(flight) = self.flight.take() else { return Resolved::default() };
        let mut resolved = Resolved::default();
        self.backoff = Duration::ZERO;

        for row in &flight.rows {
            if let (Some(bytes), Some(tenure)) = (row.appended, tenures.get_mut(&row.partition))
                && tenure.id == row.tenure.id
            {
                tenure.next = row.tenure.next + 1;
                resolved.appended.push((row.partition, bytes));
            }
        }

        resolved.fates = flight.entries.into_iter().map(|p| (p, Fate::Durable)).collect();
        resolved.upkeep = flight.upkeep.map(|upkeep| (upkeep, version));
        resolved
    }

    /// The transaction did not take effect now; it may have done so before.
    fn conflict(
        &mut self,
        now: Instant,
        found: &[Row],
        tenures: &mut BTreeMap<PartitionId, Tenure>,
    ) -> Resolved {
        let Some(flight) = &self.flight else { return Resolved::default() };

        // An earlier sending may have taken effect with its answer lost. Only this
        // transaction can have written the witness, so a row that bears it settles that.
        let ours = flight.rows.iter().find_map(|row| bears(found, &row.key, &flight.witness));

        if let Some(version) = ours {
            return self.committed(version, tenures);
        }

        let Some(flight) = self.flight.take() else { return Resolved::default() };
        let mut resolved = Resolved::default();
        let mut renewed = false;
        self.backoff = Duration::ZERO;
        self.due = now;

        for row in &flight.rows {
            let current = tenures.get(&row.partition).filter(|t| t.id == row.tenure.id);
            let taken = stands(found, &lease_key(row.partition));

            match current {
                // The lease row was renewed while the transaction was under way.
                Some(tenure) if tenure.lease != row.tenure.lease => renewed = true,
                Some(tenure) if taken => resolved.fenced.push((row.partition, tenure.epoch)),
                Some(_) if stands(found, &row.key) => resolved.behind.push(row.partition),
                _ => {}
            }
        }

        // A lease row that is gone is not named. Each partition then goes by itself, and one
        // that conflicts alone is lost.
        if resolved.fenced.is_empty() && resolved.behind.is_empty() && !renewed {
            match flight.rows.as_slice() {
                // A write of a former tenure says nothing of the one that this host has now:
                // fenced for it, a partition that was just acquired again had no home at all.
                [row] if tenures.get(&row.partition).is_some_and(|now| now.id == row.tenure.id) => {
                    resolved.fenced.push((row.partition, row.tenure.epoch));
                }
                [_] => {}
                many => self.alone = many.len(),
            }
        }

        // Nothing took effect, nor can it later: a lease's version never comes back.
        self.put_back(flight);
        resolved
    }

    /// The platform certainly did nothing.
    fn refused(&mut self, now: Instant) -> Resolved {
        let Some(flight) = self.flight.take() else { return Resolved::default() };
        self.put_back(flight);
        let fates = self.refuse_waiting();
        self.back_off(now);

        Resolved { fates, ..Resolved::default() }
    }

    /// The transaction may have taken effect, now or later.
    fn doubted(&mut self, now: Instant) -> Resolved {
        self.back_off(now);
        let Some(flight) = &mut self.flight else { return Resolved::default() };
        let first = !flight.in_doubt;
        flight.in_doubt = true;
        flight.sent = false;

        let told = if first { flight.entries.as_slice() } else { &[] };
        let mut fates: Vec<_> = told.iter().map(|p| (p.clone(), Fate::InDoubt)).collect();
        fates.append(&mut self.refuse_waiting());

        Resolved { fates, ..Resolved::default() }
    }

    /// Tells what waits that the platform is away, and keeps only facts.
    fn refuse_waiting(&mut self) -> Vec<(Pending, Fate)> {
        let fates = self.waiting.iter().map(|p| (p.clone(), Fate::Refused)).collect();
        self.waiting.retain(|p| p.entry.is_fact());

        fates
    }

    /// Puts what a transaction held before what waits.
    fn put_back(&mut self, mut flight: Flight) {
        flight.entries.append(&mut self.waiting);
        self.waiting = flight.entries;

        if let Some(upkeep) = flight.upkeep {
            self.upkeep.push_front(upkeep);
        }
    }

    /// Waits longer before the next try.
    fn back_off(&mut self, now: Instant) {
        self.backoff = (self.backoff * 2).clamp(FIRST_BACKOFF, MAX_BACKOFF);
        self.due = now + self.backoff;
    }
}
