//! Reading of a partition's checkpoint and journal on its new home host.
//!
//! Clocks of different hosts cannot be compared, so entries hold the time left until the
//! deadline. A new home host counts it from the moment it reads the entry. The time between the
//! last entry and the change of home is not counted, so a program may run that much longer than
//! its caller waits.

use std::time::Duration;

use camphorwalk_core::ids::{Epoch, PartitionId};
use camphorwalk_core::platform::{PlatformOp, PlatformReply, Row, RowVersion};

use super::checkpoint::{ProgramImage, checkpoint_key};
use super::compaction::{Compaction, parse_checkpoint, parse_images};
use super::entries::{
    Entry, IntentEntry, JOURNAL, JournalRow, OutcomeEntry, RecordedOutcome, TurnEntry,
    journal_prefix, sequence_of,
};
use super::journal::LeaseTerm;
use super::lifecycle::ENDED_RETENTION;
use super::requests::IncomingRequest;
use super::state::{ParkedRequest, Program, ProgramKey, ProgramState, ReadStep, Recovery};
use super::timers::Timer;
use super::{ProgramOp, Programs, StepContext, refusals};

/// The number of rows read at once.
const PAGE_ROWS: u32 = 256;

/// The wait before a failed read is repeated.
const READ_RETRY_DELAY: Duration = Duration::from_millis(200);

/// The longest time that a request waits for the journal to be read.
const MAX_PARK_TIME: Duration = Duration::from_secs(2);

/// The maximum number of requests that wait for one partition.
const MAX_PARKED: usize = 256;

impl Programs {
    /// Handles a lease that this host acquired or renewed.
    pub(super) fn lease_acquired(
        &mut self,
        cx: &mut StepContext<'_>,
        partition: PartitionId,
        epoch: Epoch,
        lease: RowVersion,
    ) {
        let reading = self.recovering.get_mut(&partition).map(|r| &mut r.term);
        let held = self.terms.get_mut(&partition).or(reading);

        // After a renewal only the version of the lease row changes.
        if let Some(term) = held.filter(|term| term.epoch == epoch) {
            term.lease = lease;
            return;
        }

        self.partition_lost(cx, partition);
        self.last_term += 1;
        let term = LeaseTerm { id: self.last_term, epoch, lease, next_row: 1 };
        let recovering = Recovery {
            term,
            next_read: ReadStep::Checkpoint,
            compaction: Compaction::default(),
            checkpoint_row: 0,
            last_key: "".into(),
            parked: Vec::new(),
            retry_at: None,
            blocked: true,
        };
        self.recovering.insert(partition, recovering);
        self.start_unblocked_reads(cx);
    }

    /// Drops a partition that this host still holds and reads it again.
    pub(super) fn restart_recovery(&mut self, cx: &mut StepContext<'_>, partition: PartitionId) {
        if let Some(LeaseTerm { epoch, lease, .. }) = self.terms.get(&partition).copied() {
            self.partition_lost(cx, partition);
            self.lease_acquired(cx, partition, epoch, lease);
        }
    }

    /// Starts to read the journals to which this host has no write in flight.
    ///
    /// A lease can be lost and acquired again with the same version. An earlier transaction of
    /// this host whose answer was lost could then take effect after the journal was read. The
    /// state here would lack that row, and later entries would contradict it.
    pub(super) fn start_unblocked_reads(&mut self, cx: &mut StepContext<'_>) {
        // The configuration maps programs to partitions.
        if self.cfg.is_none() {
            return;
        }

        let free: Vec<_> = self
            .recovering
            .iter()
            .filter(|(partition, r)| r.blocked && !self.journal.is_writing(**partition))
            .map(|(partition, _)| *partition)
            .collect();

        for partition in free {
            self.read(cx, partition);
        }
    }

    /// Issues the next read of a partition.
    fn read(&mut self, cx: &mut StepContext<'_>, partition: PartitionId) {
        let Some(recovering) = self.recovering.get_mut(&partition) else { return };
        recovering.retry_at = None;
        recovering.blocked = false;
        let term = recovering.term.id;

        let request = match &recovering.next_read {
            ReadStep::Checkpoint => PlatformOp::Read(vec![checkpoint_key(partition)]),
            ReadStep::Parts(parts) => match parts.front() {
                Some(name) => PlatformOp::GetObject(name.clone()),
                None => return self.read_rows(cx, partition),
            },
            ReadStep::Rows => PlatformOp::Scan {
                table: JOURNAL.into(),
                prefix: journal_prefix(partition),
                after: recovering.last_key.clone(),
                limit: PAGE_ROWS,
            },
        };

        let op = self.platform(cx, request);
        self.reads.insert(op, (partition, term));
    }

    /// Continues with the journal rows after the last checkpoint object.
    fn read_rows(&mut self, cx: &mut StepContext<'_>, partition: PartitionId) {
        if let Some(recovering) = self.recovering.get_mut(&partition) {
            recovering.next_read = ReadStep::Rows;
            self.read(cx, partition);
        }
    }

    /// Handles the reply to a read.
    pub(super) fn on_read(
        &mut self,
        cx: &mut StepContext<'_>,
        op: ProgramOp,
        reply: PlatformReply,
    ) {
        let Some((partition, term)) = self.reads.remove(&op) else { return };
        let Some(recovering) = self.recovering.get_mut(&partition) else { return };

        if recovering.term.id != term {
            return;
        }

        match (&mut recovering.next_read, reply) {
            (ReadStep::Checkpoint, PlatformReply::Rows(rows)) => {
                self.on_checkpoint(cx, partition, rows.into_iter().next());
            }
            (ReadStep::Parts(parts), PlatformReply::Object(Some(content))) => {
                let Some(images) = parse_images(&content) else {
                    return self.retry_read_later(cx, partition);
                };
                parts.pop_front();
                images.into_iter().for_each(|image| self.load_image(cx, image));
                self.read(cx, partition);
            }
            (ReadStep::Rows, PlatformReply::Rows(rows)) => self.on_rows(cx, partition, rows),
            _ => self.retry_read_later(cx, partition),
        }
    }

    /// Schedules a retry: the platform is unavailable or returned data that cannot be read.
    /// Until the partition is read completely it is not served, because calls would be missing.
    fn retry_read_later(&mut self, cx: &mut StepContext<'_>, partition: PartitionId) {
        let at = cx.now + READ_RETRY_DELAY;

        if let Some(recovering) = self.recovering.get_mut(&partition) {
            recovering.retry_at = Some(at);
            self.timers.set(at, Timer::Partition(partition));
        }
    }

    /// Handles the checkpoint row, if the partition has one.
    fn on_checkpoint(
        &mut self,
        cx: &mut StepContext<'_>,
        partition: PartitionId,
        row: Option<Row>,
    ) {
        let Some(recovering) = self.recovering.get_mut(&partition) else { return };
        recovering.next_read = ReadStep::Rows;
        recovering.compaction.first_row = 1;

        if let Some(row) = &row {
            let Some((parts, checkpoint)) = parse_checkpoint(&row.value) else {
                recovering.next_read = ReadStep::Checkpoint;
                return self.retry_read_later(cx, partition);
            };
            recovering.next_read = ReadStep::Parts(parts);
            recovering.checkpoint_row = checkpoint.upto;
            recovering.term.next_row = checkpoint.upto + 1;
            recovering.compaction.last_checkpoint_bytes = checkpoint.bytes;
            recovering.compaction.first_row = checkpoint.upto + 1;
        }

        recovering.compaction.version = row.map_or(RowVersion::ABSENT, |row| row.version);
        self.read(cx, partition);
    }

    /// Loads a program from its image.
    fn load_image(&mut self, cx: &mut StepContext<'_>, image: ProgramImage) {
        let key = self.insert_program(cx, &image.opened);
        let parent = image.opened.parent.and_then(|id| self.index.get(&id).copied());
        let program = &mut self.programs[key];
        program.image_row = image.upto;
        program.openings = image.openings;
        program.open_intent = image.intent;
        self.accounts[program.account].raise_grant(image.opened.granted);

        if image.ended {
            program.state = ProgramState::Ended;
        }

        for call in image.calls {
            program.append(call.call, call.outcome);
        }

        // The image of the parent already counts this opening.
        if let Some(parent) = parent {
            self.programs[parent].openings -= 1;
        }
    }

    /// Handles a page of journal rows.
    fn on_rows(&mut self, cx: &mut StepContext<'_>, partition: PartitionId, rows: Vec<Row>) {
        let is_last_page = rows.len() < PAGE_ROWS as usize;

        for row in rows {
            if self.on_row(cx, partition, row).is_none() {
                return self.retry_read_later(cx, partition);
            }
        }

        if is_last_page { self.finish_recovery(cx, partition) } else { self.read(cx, partition) }
    }

    /// Replays one journal row; returns `None` if it cannot be parsed.
    fn on_row(&mut self, cx: &mut StepContext<'_>, partition: PartitionId, row: Row) -> Option<()> {
        let sequence = sequence_of(&row.key)?;
        let content: JournalRow = serde_json::from_str(&row.value).ok()?;
        let recovering = self.recovering.get_mut(&partition)?;
        recovering.last_key = row.key.key;
        recovering.compaction.first_row = recovering.compaction.first_row.min(sequence);

        // The checkpoint covers this row, which has not been deleted yet.
        if sequence <= recovering.checkpoint_row {
            return Some(());
        }

        recovering.compaction.bytes_since_checkpoint += row.value.len();
        recovering.term.next_row = sequence + 1;

        for entry in content.entries {
            let known = self.index.get(&entry.program()).map(|key| self.programs[*key].image_row);

            // The program's image is newer than this row and covers the entry. Its grant is
            // replayed all the same: grants belong to the family, and a `Settled` entry in
            // another row may have lowered the grant in between.
            match known {
                Some(image_row) if image_row >= sequence => self.replay_grant(&entry),
                _ => self.replay(cx, entry),
            }
        }

        Some(())
    }

    /// Replays one journal entry.
    fn replay(&mut self, cx: &mut StepContext<'_>, entry: Entry) {
        match entry {
            Entry::Opened(opened) => {
                let granted = opened.granted;
                let key = self.insert_program(cx, &opened);
                self.accounts[self.programs[key].account].raise_grant(granted);
            }
            Entry::Intent(intent) => self.replay_intent(cx, intent),
            Entry::Outcome(outcome) => self.replay_outcome(outcome),
            Entry::Turn(turn) => self.replay_turn(cx, turn),
            Entry::Granted(_) | Entry::Settled { .. } => self.replay_grant(&entry),
            Entry::Ended { program } => {
                if let Some(key) = self.index.get(&program) {
                    self.programs[*key].state = ProgramState::Ended;
                }
            }
        }
    }

    /// Replays the effect of an entry on its family's grant.
    fn replay_grant(&mut self, entry: &Entry) {
        let Some(key) = self.index.get(&entry.program()) else { return };
        let account = &mut self.accounts[self.programs[*key].account];

        match entry {
            Entry::Turn(turn) => account.raise_grant(turn.granted),
            Entry::Granted(grant) => account.raise_grant(grant.granted),
            Entry::Settled { spent, .. } => account.replay_settled(*spent),
            Entry::Opened(opened) => account.raise_grant(opened.granted),
            Entry::Intent(_) | Entry::Outcome(_) | Entry::Ended { .. } => {}
        }
    }

    /// Replays an intent.
    fn replay_intent(&mut self, cx: &mut StepContext<'_>, intent: IntentEntry) {
        let Some(key) = self.index.get(&intent.program) else { return };
        let program = &mut self.programs[*key];
        close_intent(program);
        program.open_intent = Some((intent.attempt, intent.call));
        program.deadline = cx.now + intent.left;
    }

    /// Replays the outcome of an intent.
    fn replay_outcome(&mut self, entry: OutcomeEntry) {
        let Some(key) = self.index.get(&entry.program) else { return };
        let program = &mut self.programs[*key];

        // An outcome whose intent was already closed by another entry changes nothing.
        let Some((_, call)) = program.open_intent.take_if(|(name, _)| *name == entry.attempt)
        else {
            return;
        };

        if let Some(outcome) = entry.outcome {
            program.append(call, outcome);
        }
    }

    /// Replays a finished call that may be repeated.
    fn replay_turn(&mut self, cx: &mut StepContext<'_>, turn: TurnEntry) {
        let Some(key) = self.index.get(&turn.program) else { return };
        let program = &mut self.programs[*key];
        close_intent(program);
        program.append(turn.call, turn.outcome);
        program.deadline = cx.now + turn.left;
        self.accounts[program.account].raise_grant(turn.granted);
    }

    /// Finishes a recovery and starts to serve the partition.
    fn finish_recovery(&mut self, cx: &mut StepContext<'_>, partition: PartitionId) {
        let Some(recovering) = self.recovering.remove(&partition) else { return };
        self.terms.insert(partition, recovering.term);
        self.compactions.insert(partition, recovering.compaction);

        let keys: Vec<_> = self
            .index
            .values()
            .copied()
            .filter(|key| self.programs[*key].partition == partition)
            .collect();

        for key in keys {
            self.finish_program_recovery(cx, key);
        }

        for parked in recovering.parked {
            self.serve(cx, IncomingRequest::unparked(parked));
        }
    }

    /// Prepares a program that was read from the journal.
    fn finish_program_recovery(&mut self, cx: &mut StepContext<'_>, key: ProgramKey) {
        let program = &mut self.programs[key];

        // The previous home host may have sent the call, or may still send it. The call is
        // recorded with an unknown outcome, because sending it again could repeat a deposit,
        // for example. If the previous host received the answer, the caller's sealed tail
        // supplies the outcome later.
        if let Some((_, call)) = program.open_intent.clone() {
            program.append(call, RecordedOutcome::Unknown);
        }

        program.stored = program.head();
        let account = &mut self.accounts[program.account];
        account.spend_whole_grant();

        let due = match program.state {
            ProgramState::Ended => {
                program.end_stored = true;
                let at = cx.now + ENDED_RETENTION;
                program.forget_at = Some(at);
                at
            }
            _ => program.deadline,
        };
        self.timers.set(due, Timer::Program(key));
    }

    /// Parks a request until its partition's journal has been read.
    pub(super) fn park(
        &mut self,
        cx: &mut StepContext<'_>,
        partition: PartitionId,
        incoming: IncomingRequest,
    ) {
        let Some(recovering) = self.recovering.get_mut(&partition) else { return };

        if recovering.parked.len() >= MAX_PARKED {
            return self.refuse(cx, incoming.origin, refusals::not_served(&incoming.request));
        }

        let until = cx.now + MAX_PARK_TIME;
        recovering.parked.push(ParkedRequest {
            origin: incoming.origin,
            tenant: incoming.tenant,
            key: incoming.key,
            request: incoming.request,
            until,
        });
        self.timers.set(until, Timer::Partition(partition));
    }

    /// Refuses parked requests that waited too long, and retries a failed read that is due.
    pub(super) fn recovery_due(&mut self, cx: &mut StepContext<'_>, partition: PartitionId) {
        let Some(recovering) = self.recovering.get_mut(&partition) else { return };
        let late: Vec<_> =
            recovering.parked.extract_if(.., |parked| parked.until <= cx.now).collect();
        let retry = recovering.retry_at.is_some_and(|at| at <= cx.now);

        for parked in late {
            self.refuse(cx, parked.origin, refusals::not_served(&parked.request));
        }

        if retry {
            self.read(cx, partition);
        }
    }
}

/// Records an intent without a journaled outcome as having an unknown outcome, because the
/// program continued after it.
fn close_intent(program: &mut Program) {
    if let Some((_, call)) = program.open_intent.take() {
        program.append(call, RecordedOutcome::Unknown);
    }
}
