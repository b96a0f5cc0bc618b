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

use super::checkpoint::Maintenance;
use super::entries::{Entry, JournalRow, journal_key, lease_key};
use super::in_flight::{InFlight, InFlightRow, contains_row, version_written_by};
use super::state::ProgramKey;
use crate::shared_types::CallId;

/// Once the entries of a transaction have this many bytes, no more are added to it.
const MAX_BATCH_BYTES: usize = 512 * 1024;

/// Bytes counted for each entry in addition to its text.
const ENTRY_OVERHEAD_BYTES: usize = 512;

/// The first wait after the platform failed a transaction or lost its answer; it doubles each
/// time.
const FIRST_BACKOFF: Duration = Duration::from_millis(50);

/// The longest wait between two sendings after such a failure.
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// The period during which this host holds a partition's lease, with its write position in the
/// journal.
#[derive(Clone, Copy, Debug)]
pub(super) struct LeaseTerm {
    /// A number unique within this process. By its own clock this host can lose a lease and
    /// then find that it still holds it, with the same epoch. Entries made before that are void
    /// because their programs were dropped from memory.
    pub id: u64,
    /// The epoch of the lease.
    pub epoch: Epoch,
    /// The version of the lease row; every journal write checks it.
    pub lease: RowVersion,
    /// The sequence number of the next row to write.
    pub next_row: u64,
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
    Outcome(ProgramKey, CallId, u32),
    /// A program whose end must be durable.
    End(ProgramKey),
}

/// A journal entry that is not durable yet.
#[derive(Clone, Debug)]
pub(super) struct Pending {
    /// The partition whose journal it belongs to.
    pub partition: PartitionId,
    /// The id of the lease term in which the entry was made. The entry is void in any other term.
    pub term: u64,
    /// The entry to write.
    pub entry: Entry,
    /// Who is notified of the outcome.
    pub waiter: Waiter,
}

/// The outcome of writing an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum WriteOutcome {
    /// The platform has stored the entry.
    Durable,
    /// The entry is certainly not stored: the platform rejected its transaction, or the entry was
    /// still queued when another transaction failed. Entries that record facts are written again
    /// later; the others are dropped.
    Rejected,
    /// The platform's answer was lost, so the entry may take effect now or later. The same
    /// transaction is sent again until its outcome is known; this outcome is reported only
    /// once.
    InDoubt,
}

/// What a reply of the platform changed.
#[derive(Debug, Default)]
pub(super) struct TransactionResult {
    /// Entries with their outcomes, in order.
    pub outcomes: Vec<(Pending, WriteOutcome)>,
    /// Partitions whose lease another host took.
    pub fenced: Vec<(PartitionId, Epoch)>,
    /// Partitions whose journal contains a row unknown to this host, although it holds the
    /// lease: the state read from the journal is incomplete.
    pub incomplete: Vec<PartitionId>,
    /// Bytes of the rows appended to each partition's journal.
    pub appended: Vec<(PartitionId, usize)>,
    /// The maintenance that completed, with the version of the row it wrote.
    pub maintenance: Option<(Maintenance, RowVersion)>,
}

/// Collects the journal entries of all partitions, and writes them with one transaction in flight
/// at a time.
#[derive(Debug)]
pub(super) struct JournalWriter {
    /// Identifies this run of the process in transaction ids.
    session: u64,
    /// The number of transactions created so far.
    transactions_made: u64,
    /// The minimum time between two transactions, in which entries are collected.
    commit_interval: Duration,
    /// Entries not sent yet, in order.
    queued: Vec<Pending>,
    /// Checkpoint updates and deletions not sent yet.
    maintenance: VecDeque<Maintenance>,
    /// Whether the last transaction was maintenance; queued entries then go first.
    last_was_maintenance: bool,
    /// The transaction whose outcome is awaited.
    in_flight: Option<InFlight>,
    /// The earliest time to send the next transaction.
    not_before: Instant,
    /// The current backoff; zero while the platform answers.
    backoff: Duration,
    /// How many of the next transactions are limited to one partition. Used after a conflict
    /// that named no row, to find out which lease is gone.
    single_partition_rounds: usize,
}

impl JournalWriter {
    /// Creates a writer with nothing to write.
    pub fn new(session: u64, commit_interval: Duration) -> Self {
        Self {
            session,
            transactions_made: 0,
            commit_interval,
            queued: Vec::new(),
            maintenance: VecDeque::new(),
            last_was_maintenance: false,
            in_flight: None,
            not_before: Instant::default(),
            backoff: Duration::ZERO,
            single_partition_rounds: 0,
        }
    }

    /// Queues an entry.
    pub fn push(&mut self, pending: Pending) {
        self.queued.push(pending);
    }

    /// Queues maintenance of a partition's journal.
    pub fn push_maintenance(&mut self, maintenance: Maintenance) {
        self.maintenance.push_back(maintenance);
    }

    /// Returns whether the outcome of the transaction in flight is unknown, or the last transaction
    /// failed and its retry is not due yet.
    pub fn is_unavailable(&self, now: Instant) -> bool {
        self.in_doubt() || (!self.backoff.is_zero() && now < self.not_before)
    }

    /// Returns whether the outcome of the transaction in flight is unknown.
    pub fn in_doubt(&self) -> bool {
        self.in_flight.as_ref().is_some_and(|in_flight| in_flight.in_doubt)
    }

    /// Returns whether the transaction in flight writes to a partition's journal or checkpoint.
    pub fn is_writing(&self, partition: PartitionId) -> bool {
        self.in_flight.as_ref().is_some_and(|f| f.rows.iter().any(|row| row.partition == partition))
    }

    /// Returns the partition of each entry that is not durable yet, with repetitions.
    pub fn partitions(&self) -> impl Iterator<Item = PartitionId> + '_ {
        let sent = self.in_flight.iter().flat_map(|in_flight| &in_flight.entries);

        sent.chain(&self.queued).map(|pending| pending.partition)
    }

    /// Returns the Retry-After of a request that is refused because the journal cannot be written
    /// now.
    pub fn retry_after(&self) -> Duration {
        self.backoff.max(Duration::from_millis(500))
    }

    /// Returns when the next transaction is due.
    pub fn wake_at(&self) -> Option<Instant> {
        let idle = match &self.in_flight {
            Some(in_flight) => !in_flight.sent,
            None => !self.queued.is_empty() || !self.maintenance.is_empty(),
        };

        idle.then_some(self.not_before)
    }

    /// Drops queued entries and maintenance of a partition; the transaction in flight stays.
    pub fn drop_queued(&mut self, partition: PartitionId) {
        self.queued.retain(|pending| pending.partition != partition);
        self.maintenance.retain(|maintenance| maintenance.partition() != partition);
    }

    /// Returns the transaction to send now, if any.
    pub fn next_transaction(
        &mut self,
        now: Instant,
        terms: &BTreeMap<PartitionId, LeaseTerm>,
    ) -> Option<Transaction> {
        if now < self.not_before {
            return None;
        }

        if let Some(in_flight) = &mut self.in_flight {
            if in_flight.sent {
                return None;
            }

            in_flight.sent = true;
            return Some(in_flight.transaction.clone());
        }

        self.drop_stale_terms(terms);
        let in_flight = self.next_maintenance(terms).or_else(|| self.next_append(terms))?;
        self.last_was_maintenance = in_flight.maintenance.is_some();
        let transaction = in_flight.transaction.clone();
        self.not_before = now + self.commit_interval;
        self.in_flight = Some(in_flight);

        Some(transaction)
    }

    /// Drops what was queued in an earlier lease term: another host may have continued that
    /// journal since.
    fn drop_stale_terms(&mut self, terms: &BTreeMap<PartitionId, LeaseTerm>) {
        let holds = |partition, term| terms.get(&partition).is_some_and(|t| t.id == term);
        self.queued.retain(|p| holds(p.partition, p.term));
        self.maintenance.retain(|u| holds(u.partition(), u.term()));
    }

    /// Returns the next maintenance, unless queued entries go first.
    fn next_maintenance(&mut self, terms: &BTreeMap<PartitionId, LeaseTerm>) -> Option<InFlight> {
        if self.last_was_maintenance && !self.queued.is_empty() {
            return None;
        }

        let maintenance = self.maintenance.pop_front()?;
        let partition = maintenance.partition();
        let term = terms[&partition];
        let transaction_id = self.next_transaction_id();
        let mut transaction = maintenance.transaction(&transaction_id);
        transaction.checks.push(Check { key: lease_key(partition), version: term.lease });

        let row = InFlightRow { partition, term, key: maintenance.key(), appended: None };
        Some(InFlight {
            transaction,
            transaction_id,
            entries: Vec::new(),
            maintenance: Some(maintenance),
            rows: vec![row],
            in_doubt: false,
            sent: true,
        })
    }

    /// Creates a unique id for the next transaction.
    fn next_transaction_id(&mut self) -> Box<str> {
        self.transactions_made += 1;

        format!("{:016x}-{:x}", self.session, self.transactions_made).into()
    }

    /// Takes as many queued entries as fit into one transaction.
    fn next_append(&mut self, terms: &BTreeMap<PartitionId, LeaseTerm>) -> Option<InFlight> {
        let only = (self.single_partition_rounds > 0)
            .then(|| self.queued.first().map(|p| p.partition))
            .flatten();
        let mut bytes = 0;
        let mut entries = Vec::new();
        let mut rest = Vec::new();

        for pending in self.queued.drain(..) {
            let fits = bytes < MAX_BATCH_BYTES && only.is_none_or(|p| p == pending.partition);

            if fits {
                bytes += ENTRY_OVERHEAD_BYTES + pending.entry.text_bytes();
                entries.push(pending);
            } else {
                rest.push(pending);
            }
        }

        self.queued = rest;
        self.single_partition_rounds = self.single_partition_rounds.saturating_sub(1);

        if entries.is_empty() { None } else { Some(self.append_transaction(entries, terms)) }
    }

    /// Builds the transaction that appends `entries`.
    fn append_transaction(
        &mut self,
        entries: Vec<Pending>,
        terms: &BTreeMap<PartitionId, LeaseTerm>,
    ) -> InFlight {
        let transaction_id = self.next_transaction_id();
        let mut rows = BTreeMap::<PartitionId, Vec<Entry>>::new();

        for pending in &entries {
            rows.entry(pending.partition).or_default().push(pending.entry.clone());
        }

        let mut in_flight = InFlight {
            transaction: Transaction::default(),
            transaction_id,
            entries,
            maintenance: None,
            rows: Vec::new(),
            in_doubt: false,
            sent: true,
        };

        for (partition, entries) in rows {
            let term = terms[&partition];
            let key = journal_key(partition, term.next_row);
            let row = JournalRow { witness: in_flight.transaction_id.clone(), entries };
            let value = serde_json::to_string(&row).expect("a journal row serializes to JSON");
            let tx = &mut in_flight.transaction;

            // A host that was paused past the end of its lease could otherwise append to a
            // journal that the next home host has already read, and that host would not know of
            // an acknowledged call. The version of the lease row changes with each holder, so
            // checking it fences the append.
            tx.checks.push(Check { key: lease_key(partition), version: term.lease });
            tx.checks.push(Check { key: key.clone(), version: RowVersion::ABSENT });
            let appended = Some(value.len());
            tx.writes.push(Write { key: key.clone(), value: Some(value.into()) });
            in_flight.rows.push(InFlightRow { partition, term, key, appended });
        }

        in_flight
    }

    /// Handles the platform's reply to the transaction in flight.
    pub fn on_reply(
        &mut self,
        now: Instant,
        reply: PlatformReply,
        terms: &mut BTreeMap<PartitionId, LeaseTerm>,
    ) -> TransactionResult {
        let Some(in_flight) = &mut self.in_flight else { return TransactionResult::default() };

        match reply {
            PlatformReply::Committed(version) => self.on_committed(version, terms),
            PlatformReply::Conflict(rows) => self.on_conflict(now, &rows, terms),
            // Once an answer was lost, the first sending may still take effect, whatever a
            // later sending returns. So a rejection is final only if no answer was lost.
            PlatformReply::Unavailable if !in_flight.in_doubt => self.on_rejected(now),
            _ => self.on_lost_answer(now),
        }
    }

    /// Handles a transaction that took effect.
    fn on_committed(
        &mut self,
        version: RowVersion,
        terms: &mut BTreeMap<PartitionId, LeaseTerm>,
    ) -> TransactionResult {
        let Some(in_flight) = self.in_flight.take() else { return TransactionResult::default() };
        let mut resolved = TransactionResult::default();
        self.backoff = Duration::ZERO;

        for row in &in_flight.rows {
            if let (Some(bytes), Some(term)) = (row.appended, terms.get_mut(&row.partition))
                && term.id == row.term.id
            {
                term.next_row = row.term.next_row + 1;
                resolved.appended.push((row.partition, bytes));
            }
        }

        resolved.outcomes =
            in_flight.entries.into_iter().map(|p| (p, WriteOutcome::Durable)).collect();
        resolved.maintenance = in_flight.maintenance.map(|maintenance| (maintenance, version));
        resolved
    }

    /// Handles a conflict: this sending did not take effect, but an earlier one may have.
    fn on_conflict(
        &mut self,
        now: Instant,
        found: &[Row],
        terms: &mut BTreeMap<PartitionId, LeaseTerm>,
    ) -> TransactionResult {
        let Some(in_flight) = &self.in_flight else { return TransactionResult::default() };

        // An earlier sending may have taken effect although its answer was lost. Only this
        // transaction can have written its id, so a row that contains the id proves that it
        // did.
        let written = in_flight
            .rows
            .iter()
            .find_map(|row| version_written_by(found, &row.key, &in_flight.transaction_id));

        if let Some(version) = written {
            return self.on_committed(version, terms);
        }

        let Some(in_flight) = self.in_flight.take() else { return TransactionResult::default() };
        let mut resolved = TransactionResult::default();
        let mut renewed = false;
        self.backoff = Duration::ZERO;
        self.not_before = now;

        for row in &in_flight.rows {
            let current = terms.get(&row.partition).filter(|t| t.id == row.term.id);
            let lease_taken = contains_row(found, &lease_key(row.partition));

            match current {
                // The lease was renewed while the transaction was in flight.
                Some(term) if term.lease != row.term.lease => renewed = true,
                Some(term) if lease_taken => resolved.fenced.push((row.partition, term.epoch)),
                Some(_) if contains_row(found, &row.key) => resolved.incomplete.push(row.partition),
                _ => {}
            }
        }

        // A lease row that no longer exists is not named in the conflict. Each partition is
        // then written in a transaction of its own, and one that still conflicts has lost its
        // lease.
        if resolved.fenced.is_empty() && resolved.incomplete.is_empty() && !renewed {
            match in_flight.rows.as_slice() {
                // A conflict of an earlier lease term says nothing about the current one.
                // Reporting it as fenced would leave a partition that was just acquired again
                // without a home host.
                [row] if terms.get(&row.partition).is_some_and(|now| now.id == row.term.id) => {
                    resolved.fenced.push((row.partition, row.term.epoch));
                }
                [_] => {}
                many => self.single_partition_rounds = many.len(),
            }
        }

        // The entries may be written again, because an earlier sending of this transaction can no
        // longer add them to the journal. A row that changed never gets its old version back. A
        // journal row that should have been absent is deleted only after a checkpoint covers it,
        // and recovery skips the rows that a checkpoint covers.
        self.requeue(in_flight);
        resolved
    }

    /// Handles a rejection: the platform certainly did nothing.
    fn on_rejected(&mut self, now: Instant) -> TransactionResult {
        let Some(in_flight) = self.in_flight.take() else { return TransactionResult::default() };
        self.requeue(in_flight);
        let outcomes = self.reject_queued();
        self.back_off(now);

        TransactionResult { outcomes, ..TransactionResult::default() }
    }

    /// Handles a lost answer: the transaction may take effect now or later.
    fn on_lost_answer(&mut self, now: Instant) -> TransactionResult {
        self.back_off(now);
        let Some(in_flight) = &mut self.in_flight else { return TransactionResult::default() };
        let first = !in_flight.in_doubt;
        in_flight.in_doubt = true;
        in_flight.sent = false;

        let reported = if first { in_flight.entries.as_slice() } else { &[] };
        let mut outcomes: Vec<_> =
            reported.iter().map(|p| (p.clone(), WriteOutcome::InDoubt)).collect();
        outcomes.append(&mut self.reject_queued());

        TransactionResult { outcomes, ..TransactionResult::default() }
    }

    /// Reports all queued entries as rejected and keeps only those that record facts.
    fn reject_queued(&mut self) -> Vec<(Pending, WriteOutcome)> {
        let outcomes = self.queued.iter().map(|p| (p.clone(), WriteOutcome::Rejected)).collect();
        self.queued.retain(|p| p.entry.is_fact());

        outcomes
    }

    /// Puts the contents of a transaction back at the front of the queue.
    fn requeue(&mut self, mut in_flight: InFlight) {
        in_flight.entries.append(&mut self.queued);
        self.queued = in_flight.entries;

        if let Some(maintenance) = in_flight.maintenance {
            self.maintenance.push_front(maintenance);
        }
    }

    /// Doubles the backoff before the next attempt.
    fn back_off(&mut self, now: Instant) {
        self.backoff = (self.backoff * 2).clamp(FIRST_BACKOFF, MAX_BACKOFF);
        self.not_before = now + self.backoff;
    }
}
