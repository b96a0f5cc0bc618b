//! Group commit: entries of all partitions gather and are written together, with one
//! transaction in flight at a time.
//!
//! The state machine knows nothing of programs. What waits on an entry is told its [`Fate`].

use std::collections::BTreeMap;
use std::time::Duration;

use camphorwalk_core::ids::{Epoch, PartitionId};
use camphorwalk_core::platform::{
    Check, PlatformReply, Row, RowKey, RowVersion, Transaction, Write,
};
use camphorwalk_core::time::Instant;

use super::entries::{Entry, JournalRow, journal_key, lease_key};
use super::state::ProgramKey;
use crate::wire::CallId;

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
}

/// A transaction that was sent.
#[derive(Debug)]
struct Flight {
    /// The transaction; sent again unchanged while its outcome is unknown.
    transaction: Transaction,
    /// Names it in the rows it writes.
    witness: Box<str>,
    /// What it holds.
    entries: Vec<Pending>,
    /// The rows that it writes, and the tenure that each was written under.
    rows: Vec<(PartitionId, Tenure, RowKey)>,
    /// Whether an answer to it was lost: from then on only a commit or a conflict counts.
    in_doubt: bool,
    /// Whether it is at the platform now, rather than waiting to be sent again.
    sent: bool,
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
        self.flight.as_ref().is_some_and(|f| f.rows.iter().any(|(p, ..)| *p == partition))
    }

    /// Returns how long a caller should wait before it tries again.
    pub fn retry_after(&self) -> Duration {
        self.backoff.max(Duration::from_millis(500))
    }

    /// Returns when the next transaction is to be sent.
    pub fn wake_at(&self) -> Option<Instant> {
        let idle = match &self.flight {
            Some(flight) => !flight.sent,
            None => !self.waiting.is_empty(),
        };

        idle.then_some(self.due)
    }

    /// Drops what waits for a partition; what is under way stays.
    pub fn drop_partition(&mut self, partition: PartitionId) {
        self.waiting.retain(|pending| pending.partition != partition);
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

        let flight = self.gather(tenures)?;
        let transaction = flight.transaction.clone();
        self.due = now + self.interval;
        self.flight = Some(flight);

        Some(transaction)
    }

    /// Takes what fits into one transaction off the entries that wait.
    fn gather(&mut self, tenures: &BTreeMap<PartitionId, Tenure>) -> Option<Flight> {
        // Entries of a former tenure are void: the journal they continue is another's now.
        self.waiting.retain(|p| tenures.get(&p.partition).is_some_and(|t| t.id == p.tenure));

        let only = (self.alone > 0).then(|| self.waiting.first().map(|p| p.partition)).flatten();
        let mut bytes = 0;
        let mut entries = Vec::new();
        let mut rest = Vec::new();

        for pending in self.waiting.drain(..) {
            let fits = bytes < MAX_BATCH_BYTES && only.is_none_or(|p| p == pending.partition);

            if fits {
                bytes += ENTRY_OVERHEAD_BYTES + text_bytes(&pending.entry);
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
        self.made += 1;
        let witness: Box<str> = format!("{:016x}-{:x}", self.session, self.made).into();
        let mut rows = BTreeMap::<PartitionId, Vec<Entry>>::new();

        for pending in &entries {
            rows.entry(pending.partition).or_default().push(pending.entry.clone());
        }

        let mut flight = Flight {
            transaction: Transaction::default(),
            witness,
            entries,
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
            tx.writes.push(Write { key: key.clone(), value: Some(value.into()) });
            flight.rows.push((partition, tenure, key));
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
            PlatformReply::Committed(_) => self.committed(tenures),
            PlatformReply::Conflict(rows) => self.conflict(now, &rows, tenures),
            // Once an answer was lost, the first sending may still take effect, whatever a
            // later one is told; so a refusal ends the matter only if nothing was lost.
            PlatformReply::Unavailable if !flight.in_doubt => self.refused(now),
            _ => self.doubted(now),
        }
    }

    /// The transaction took effect.
    fn committed(&mut self, tenures: &mut BTreeMap<PartitionId, Tenure>) -> Resolved {
        let Some(flight) = self.flight.take() else { return Resolved::default() };
        self.backoff = Duration::ZERO;

        for (partition, written, _) in &flight.rows {
            if let Some(tenure) = tenures.get_mut(partition)
                && tenure.id == written.id
            {
                tenure.next = written.next + 1;
            }
        }

        let fates = flight.entries.into_iter().map(|p| (p, Fate::Durable)).collect();

        Resolved { fates, fenced: Vec::new() }
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
        if flight.rows.iter().any(|(_, _, key)| bears(found, key, &flight.witness)) {
            return self.committed(tenures);
        }

        let Some(flight) = self.flight.take() else { return Resolved::default() };
        let mut resolved = Resolved::default();
        let mut renewed = false;
        self.backoff = Duration::ZERO;
        self.due = now;

        for (partition, written, key) in &flight.rows {
            let current = tenures.get(partition).filter(|t| t.id == written.id);
            let taken = stands(found, key) || stands(found, &lease_key(*partition));

            match current {
                // The lease row was renewed while the transaction was under way.
                Some(tenure) if tenure.lease != written.lease => renewed = true,
                Some(tenure) if taken => resolved.fenced.push((*partition, tenure.epoch)),
                _ => {}
            }
        }

        // A lease row that is gone is not named. Each partition then goes by itself, and one
        // that conflicts alone is lost.
        if resolved.fenced.is_empty() && !renewed {
            match flight.rows.as_slice() {
                [(partition, tenure, _)] => resolved.fenced.push((*partition, tenure.epoch)),
                many => self.alone = many.len(),
            }
        }

        // Nothing took effect, nor can it later: a lease's version never comes back.
        self.put_back(flight.entries);
        resolved
    }

    /// The platform certainly did nothing.
    fn refused(&mut self, now: Instant) -> Resolved {
        let Some(flight) = self.flight.take() else { return Resolved::default() };
        self.put_back(flight.entries);
        let fates = self.refuse_waiting();
        self.back_off(now);

        Resolved { fates, fenced: Vec::new() }
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

        Resolved { fates, fenced: Vec::new() }
    }

    /// Tells what waits that the platform is away, and keeps only facts.
    fn refuse_waiting(&mut self) -> Vec<(Pending, Fate)> {
        let fates = self.waiting.iter().map(|p| (p.clone(), Fate::Refused)).collect();
        self.waiting.retain(|p| p.entry.is_fact());

        fates
    }

    /// Puts entries before those that wait.
    fn put_back(&mut self, mut entries: Vec<Pending>) {
        entries.append(&mut self.waiting);
        self.waiting = entries;
    }

    /// Waits longer before the next try.
    fn back_off(&mut self, now: Instant) {
        self.backoff = (self.backoff * 2).clamp(FIRST_BACKOFF, MAX_BACKOFF);
        self.due = now + self.backoff;
    }
}

/// Tells whether a row is among those found.
fn stands(found: &[Row], key: &RowKey) -> bool {
    found.iter().any(|row| row.key == *key)
}

/// Tells whether the row at `key` was written by the transaction with this witness.
fn bears(found: &[Row], key: &RowKey, witness: &str) -> bool {
    found
        .iter()
        .filter(|row| row.key == *key)
        .filter_map(|row| serde_json::from_str::<JournalRow>(&row.value).ok())
        .any(|row| &*row.witness == witness)
}

/// Returns the bytes of an entry's longest texts.
fn text_bytes(entry: &Entry) -> usize {
    use super::entries::Recorded;

    match entry {
        Entry::Intent(intent) => intent.call.input.len(),
        Entry::Turn(turn) => {
            let output = match &turn.outcome {
                Recorded::Done { output, .. } => output.len(),
                Recorded::Failed { message } => message.len(),
                Recorded::Unknown => 0,
            };
            turn.call.input.len() + output
        }
        Entry::Outcome(outcome) => match &outcome.outcome {
            Some(Recorded::Done { output, .. }) => output.len(),
            _ => 0,
        },
        _ => 0,
    }
}
