//! Group commit: journal entries of all partitions are collected and written together, with one
//! transaction in flight at a time.
//!
//! This state machine does not interpret programs. It reports a [`WriteOutcome`] for each
//! entry.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use camphorwalk_core::ids::{Epoch, PartitionId};
use camphorwalk_core::platform::{Check, PlatformReply, Row, RowVersion, Transaction, Write};
use camphorwalk_core::time::Instant;

use super::checkpoint::Upkeep;
use super::entries::{Entry, JournalRow, journal_key, lease_key};
use super::flight::{Flight, FlightRow, bears, stands};
use super::state::ProgramKey;
use crate::wire::CallId;

/// The maximum bytes of entries in one transaction.
const MAX_BATCH_BYTES: usize = 512 * 1024;

/// Bytes counted for each entry in addition to its text.
const ENTRY_OVERHEAD_BYTES: usize = 512;

/// The first wait after the platform failed a transaction or lost its answer; it doubles each
/// time.
const FIRST_BACKOFF: Duration = Duration::from_millis(50);

/// The longest wait between two attempts.
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// The period during which this host holds a partition's lease, with its write position in the
/// journal.
#[derive(Clone, Copy, Debug)]
pub(super) struct Tenure {
    /// A number unique within this process. By its own clock this host can lose a lease and
    /// then find that it still holds it, with the same epoch. Entries made before that are void
    /// because their programs were dropped from memory.
    pub id: u64,
    /// The epoch of the lease.
    pub epoch: Epoch,
    /// The version of the lease row; every journal write checks it.
    pub lease: RowVersion,
    /// The sequence number of the next row to write.
    pub next: u64,
}

/// Who is notified when the outcome of an entry is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Waiter {
    /// No one.
    Nobody,
    /// A program whose opening must be durable.
    Open(ProgramKey),
    /// A call that is sent once its intent is durable.
    Intent(ProgramKey, CallId),
    /// A call that requests a place once its family's larger grant is durable.
    Grant(ProgramKey, CallId),
    /// A call that is answered once its outcome, with this call number, is durable.
    Record(ProgramKey, CallId, u32),
    /// A program whose end must be durable.
    End(ProgramKey),
}

/// A journal entry that is not durable yet.
#[derive(Clone, Debug)]
pub(super) struct Pending {
    /// The partition whose journal it belongs to.
    pub partition: PartitionId,
    /// The id of the lease term in which it was made. It is void in any other.
    pub tenure: u64,
    /// The entry to write.
    pub entry: Entry,
    /// Who is notified of the outcome.
    pub waiter: Waiter,
}

/// The outcome of writing an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Fate {
    /// The platform has stored the entry.
    Durable,
    /// The platform rejected the entry and certainly stored nothing. Entries that record facts
    /// are written again later.
    Refused,
    /// The platform's answer was lost, so the entry may take effect now or later. The same
    /// transaction is sent again until its outcome is known; this outcome is reported only
    /// once.
    InDoubt,
}

/// What a reply of the platform changed.
#[derive(Debug, Default)]
pub(super) struct Resolved {
    /// Entries with their outcomes, in order.
    pub fates: Vec<(Pending, Fate)>,
    /// Partitions whose lease another host took.
    pub fenced: Vec<(PartitionId, Epoch)>,
    /// Partitions whose journal contains a row unknown to this host, although it holds the
    /// lease: the state read from the journal is incomplete.
    pub behind: Vec<PartitionId>,
    /// Bytes of the rows appended to each partition's journal.
    pub appended: Vec<(PartitionId, usize)>,
    /// The maintenance that completed, with the version of the row it wrote.
    pub upkeep: Option<(Upkeep, RowVersion)>,
}

/// The queued entries and the one transaction in flight.
#[derive(Debug)]
pub(super) struct Journal {
    /// Identifies this run of the process in transaction ids.
    session: u64,
    /// The number of transactions created so far.
    made: u64,
    /// The minimum time between two transactions, in which entries are collected.
    interval: Duration,
    /// Entries not sent yet, in order.
    waiting: Vec<Pending>,
    /// Checkpoint updates and deletions not sent yet.
    upkeep: VecDeque<Upkeep>,
    /// Whether the last transaction was maintenance; queued entries then go first.
    upkept: bool,
    /// The transaction whose outcome is awaited.
    flight: Option<Flight>,
    /// The earliest time to send the next transaction.
    due: Instant,
    /// The current backoff; zero while the platform answers.
    backoff: Duration,
    /// How many of the next transactions are limited to one partition. Used after a conflict
    /// that named no row, to find out which lease is gone.
    alone: usize,
}

impl Journal {
    /// Creates a journal with nothing to write.
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

    /// Queues an entry.
    pub fn push(&mut self, pending: Pending) {
        self.waiting.push(pending);
    }

    /// Queues maintenance of a partition's journal.
    pub fn push_upkeep(&mut self, upkeep: Upkeep) {
        self.upkeep.push_back(upkeep);
    }

    /// Returns whether the last transaction failed, or its answer was lost, and no retry is
    /// due.
    pub fn is_away(&self, now: Instant) -> bool {
        self.in_doubt() || (!self.backoff.is_zero() && now < self.due)
    }

    /// Returns whether the outcome of the transaction in flight is unknown.
    pub fn in_doubt(&self) -> bool {
        self.flight.as_ref().is_some_and(|flight| flight.in_doubt)
    }

    /// Returns whether the transaction in flight writes to a partition's journal or checkpoint.
    pub fn is_writing(&self, partition: PartitionId) -> bool {
        self.flight.as_ref().is_some_and(|f| f.rows.iter().any(|row| row.partition == partition))
    }

    /// Returns the partition of each entry that is not durable yet, with repetitions.
    pub fn partitions(&self) -> impl Iterator<Item = PartitionId> + '_ {
        let sent = self.flight.iter().flat_map(|flight| &flight.entries);

        sent.chain(&self.waiting).map(|pending| pending.partition)
    }

    /// Returns how long a caller should wait before it tries again.
    pub fn retry_after(&self) -> Duration {
        self.backoff.max(Duration::from_millis(500))
    }

    /// Returns when the next transaction is due.
    pub fn wake_at(&self) -> Option<Instant> {
        let idle = match &self.flight {
            Some(flight) => !flight.sent,
            None => !self.waiting.is_empty() || !self.upkeep.is_empty(),
        };

        idle.then_some(self.due)
    }

    /// Drops queued entries and maintenance of a partition; the transaction in flight stays.
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

    /// Drops what was queued in an earlier lease term: another host may have continued that
    /// journal since.
    fn drop_void(&mut self, tenures: &BTreeMap<PartitionId, Tenure>) {
        let holds = |partition, tenure| tenures.get(&partition).is_some_and(|t| t.id == tenure);
        self.waiting.retain(|p| holds(p.partition, p.tenure));
        self.upkeep.retain(|u| holds(u.partition(), u.tenure()));
    }

    /// Returns the next maintenance, unless queued entries go first.
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

    /// Creates a unique id for the next transaction.
    fn witness(&mut self) -> Box<str> {
        self.made += 1;

        format!("{:016x}-{:x}", self.session, self.made).into()
    }

    /// Takes as many queued entries as fit into one transaction.
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

    /// Builds the transaction that appends `entries`.
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

            // A host that was paused past the end of its lease could otherwise append to a
            // journal that the next home host has already read, and that host would not know of
            // an acknowledged call. The version of the lease row changes with each holder, so
            // checking it fences the append.
            tx.checks.push(Check { key: lease_key(partition), version: tenure.lease });
            tx.checks.push(Check { key: key.clone(), version: RowVersion::ABSENT });
            let appended = Some(value.len());
            tx.writes.push(Write { key: key.clone(), value: Some(value.into()) });
            flight.rows.push(FlightRow { partition, tenure, key, appended });
        }

        flight
    }

    /// Handles the platform's reply to the transaction in flight.
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
            // later sending returns. So a rejection is final only if no answer was lost.
            PlatformReply::Unavailable if !flight.in_doubt => self.refused(now),
            _ => self.doubted(now),
        }
    }

    /// Handles a transaction that took effect.
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

    /// Handles a conflict: this sending did not take effect, but an earlier one may have.
    fn conflict(
        &mut self,
        now: Instant,
        found: &[Row],
        tenures: &mut BTreeMap<PartitionId, Tenure>,
    ) -> Resolved {
        let Some(flight) = &self.flight else { return Resolved::default() };

        // An earlier sending may have taken effect although its answer was lost. Only this
        // transaction can have written its id, so a row that contains the id proves that it
        // did.
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
                // The lease was renewed while the transaction was in flight.
                Some(tenure) if tenure.lease != row.tenure.lease => renewed = true,
                Some(tenure) if taken => resolved.fenced.push((row.partition, tenure.epoch)),
                Some(_) if stands(found, &row.key) => resolved.behind.push(row.partition),
                _ => {}
            }
        }

        // A lease row that no longer exists is not named in the conflict. Each partition is
        // then written in a transaction of its own, and one that still conflicts has lost its
        // lease.
        if resolved.fenced.is_empty() && resolved.behind.is_empty() && !renewed {
            match flight.rows.as_slice() {
                // A conflict of an earlier lease term says nothing about the current one.
                // Reporting it as fenced would leave a partition that was just acquired again
                // without a home host.
                [row] if tenures.get(&row.partition).is_some_and(|now| now.id == row.tenure.id) => {
                    resolved.fenced.push((row.partition, row.tenure.epoch));
                }
                [_] => {}
                many => self.alone = many.len(),
            }
        }

        // The transaction cannot take effect later either, because a row version never recurs.
        self.put_back(flight);
        resolved
    }

    /// Handles a rejection: the platform certainly did nothing.
    fn refused(&mut self, now: Instant) -> Resolved {
        let Some(flight) = self.flight.take() else { return Resolved::default() };
        self.put_back(flight);
        let fates = self.refuse_waiting();
        self.back_off(now);

        Resolved { fates, ..Resolved::default() }
    }

    /// Handles a lost answer: the transaction may take effect now or later.
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

    /// Reports all queued entries as rejected and keeps only those that record facts.
    fn refuse_waiting(&mut self) -> Vec<(Pending, Fate)> {
        let fates = self.waiting.iter().map(|p| (p.clone(), Fate::Refused)).collect();
        self.waiting.retain(|p| p.entry.is_fact());

        fates
    }

    /// Puts the contents of a transaction back at the front of the queue.
    fn put_back(&mut self, mut flight: Flight) {
        flight.entries.append(&mut self.waiting);
        self.waiting = flight.entries;

        if let Some(upkeep) = flight.upkeep {
            self.upkeep.push_front(upkeep);
        }
    }

    /// Doubles the backoff before the next attempt.
    fn back_off(&mut self, now: Instant) {
        self.backoff = (self.backoff * 2).clamp(FIRST_BACKOFF, MAX_BACKOFF);
        self.due = now + self.backoff;
    }
}
