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
use super::compaction::{Compaction, images, parts_of};
use super::entries::{
    Entry, IntentEntry, JOURNAL, JournalRow, OutcomeEntry, Recorded, TurnEntry, journal_prefix,
    sequence_of,
};
use super::journal::Tenure;
use super::lifecycle::REMEMBERED;
use super::requests::Asked;
use super::state::{Parked, Program, ProgramKey, ProgramState, Reading, Recovering};
use super::timers::Timer;
use super::{Cx, ProgramOp, Programs, answers};

/// The number of rows read at once.
const PAGE_ROWS: u32 = 256;

/// The wait before a failed read is repeated.
const READ_RETRY: Duration = Duration::from_millis(200);

/// How long a request waits for the journal to be read.
const PARK_WAIT: Duration = Duration::from_secs(2);

/// The maximum number of requests that wait for one partition.
const MAX_PARKED: usize = 256;

impl Programs {
    /// Handles a lease that this host acquired or renewed.
    pub(super) fn acquired(
        &mut self,
        cx: &mut Cx<'_>,
        partition: PartitionId,
        epoch: Epoch,
        lease: RowVersion,
    ) {
        let reading = self.recovering.get_mut(&partition).map(|r| &mut r.tenure);
        let held = self.tenures.get_mut(&partition).or(reading);

        // After a renewal only the version of the lease row changes.
        if let Some(tenure) = held.filter(|tenure| tenure.epoch == epoch) {
            tenure.lease = lease;
            return;
        }

        self.lost(cx, partition);
        self.last_tenure += 1;
        let tenure = Tenure { id: self.last_tenure, epoch, lease, next: 1 };
        let recovering = Recovering {
            tenure,
            reading: Reading::Checkpoint,
            compaction: Compaction::default(),
            upto: 0,
            after: "".into(),
            parked: Vec::new(),
            retry_at: None,
            blocked: true,
        };
        self.recovering.insert(partition, recovering);
        self.read_unblocked(cx);
    }

    /// Drops a partition that this host still holds and reads it again.
    pub(super) fn read_again(&mut self, cx: &mut Cx<'_>, partition: PartitionId) {
        if let Some(Tenure { epoch, lease, .. }) = self.tenures.get(&partition).copied() {
            self.lost(cx, partition);
            self.acquired(cx, partition, epoch, lease);
        }
    }

    /// Starts to read the journals to which this host has no write in flight.
    ///
    /// A lease can be lost and acquired again with the same version. An earlier transaction of
    /// this host whose answer was lost could then take effect after the journal was read. The
    /// state here would lack that row, and later entries would contradict it.
    pub(super) fn read_unblocked(&mut self, cx: &mut Cx<'_>) {
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
    fn read(&mut self, cx: &mut Cx<'_>, partition: PartitionId) {
        let Some(recovering) = self.recovering.get_mut(&partition) else { return };
        recovering.retry_at = None;
        recovering.blocked = false;
        let tenure = recovering.tenure.id;

        let request = match &recovering.reading {
            Reading::Checkpoint => PlatformOp::Read(vec![checkpoint_key(partition)]),
            Reading::Parts(parts) => match parts.front() {
                Some(name) => PlatformOp::GetObject(name.clone()),
                None => return self.read_rows(cx, partition),
            },
            Reading::Rows => PlatformOp::Scan {
                table: JOURNAL.into(),
                prefix: journal_prefix(partition),
                after: recovering.after.clone(),
                limit: PAGE_ROWS,
            },
        };

        let op = self.platform(cx, request);
        self.scans.insert(op, (partition, tenure));
    }

    /// Continues with the journal rows after the last checkpoint object.
    fn read_rows(&mut self, cx: &mut Cx<'_>, partition: PartitionId) {
        if let Some(recovering) = self.recovering.get_mut(&partition) {
            recovering.reading = Reading::Rows;
            self.read(cx, partition);
        }
    }

    /// Handles the reply to a read.
    pub(super) fn on_read(&mut self, cx: &mut Cx<'_>, op: ProgramOp, reply: PlatformReply) {
        let Some((partition, tenure)) = self.scans.remove(&op) else { return };
        let Some(recovering) = self.recovering.get_mut(&partition) else { return };

        if recovering.tenure.id != tenure {
            return;
        }

        match (&mut recovering.reading, reply) {
            (Reading::Checkpoint, PlatformReply::Rows(rows)) => {
                self.on_checkpoint(cx, partition, rows.into_iter().next());
            }
            (Reading::Parts(parts), PlatformReply::Object(Some(content))) => {
                let Some(images) = images(&content) else { return self.stall(cx, partition) };
                parts.pop_front();
                images.into_iter().for_each(|image| self.load_image(cx, image));
                self.read(cx, partition);
            }
            (Reading::Rows, PlatformReply::Rows(rows)) => self.on_rows(cx, partition, rows),
            _ => self.stall(cx, partition),
        }
    }

    /// Schedules a retry: the platform is unavailable or returned data that cannot be read.
    /// Until the partition is read completely it is not served, because calls would be missing.
    fn stall(&mut self, cx: &mut Cx<'_>, partition: PartitionId) {
        let at = cx.now + READ_RETRY;

        if let Some(recovering) = self.recovering.get_mut(&partition) {
            recovering.retry_at = Some(at);
            self.timers.set(at, Timer::Partition(partition));
        }
    }

    /// Handles the checkpoint row, if the partition has one.
    fn on_checkpoint(&mut self, cx: &mut Cx<'_>, partition: PartitionId, row: Option<Row>) {
        let Some(recovering) = self.recovering.get_mut(&partition) else { return };
        recovering.reading = Reading::Rows;
        recovering.compaction.first = 1;

        if let Some(row) = &row {
            let Some((parts, checkpoint)) = parts_of(&row.value) else {
                recovering.reading = Reading::Checkpoint;
                return self.stall(cx, partition);
            };
            recovering.reading = Reading::Parts(parts);
            recovering.upto = checkpoint.upto;
            recovering.tenure.next = checkpoint.upto + 1;
            recovering.compaction.last = checkpoint.bytes;
            recovering.compaction.first = checkpoint.upto + 1;
        }

        recovering.compaction.version = row.map_or(RowVersion::ABSENT, |row| row.version);
        self.read(cx, partition);
    }

    /// Loads a program from its image.
    fn load_image(&mut self, cx: &mut Cx<'_>, image: ProgramImage) {
        let key = self.insert_program(cx, &image.opened);
        let parent = image.opened.parent.and_then(|id| self.index.get(&id).copied());
        let program = &mut self.programs[key];
        program.upto = image.upto;
        program.openings = image.openings;
        program.open_intent = image.intent;
        self.accounts[program.account].granted(image.opened.granted);

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
    fn on_rows(&mut self, cx: &mut Cx<'_>, partition: PartitionId, rows: Vec<Row>) {
        let whole = rows.len() < PAGE_ROWS as usize;

        for row in rows {
            if self.on_row(cx, partition, row).is_none() {
                return self.stall(cx, partition);
            }
        }

        if whole { self.recovered(cx, partition) } else { self.read(cx, partition) }
    }

    /// Replays one journal row; returns `None` if it cannot be parsed.
    fn on_row(&mut self, cx: &mut Cx<'_>, partition: PartitionId, row: Row) -> Option<()> {
        let sequence = sequence_of(&row.key)?;
        let content: JournalRow = serde_json::from_str(&row.value).ok()?;
        let recovering = self.recovering.get_mut(&partition)?;
        recovering.after = row.key.key;
        recovering.compaction.first = recovering.compaction.first.min(sequence);

        // The checkpoint covers this row, which has not been deleted yet.
        if sequence <= recovering.upto {
            return Some(());
        }

        recovering.compaction.since += row.value.len();
        recovering.tenure.next = sequence + 1;

        for entry in content.entries {
            let known = self.index.get(&entry.program()).map(|key| self.programs[*key].upto);

            // The program's image is newer than this row and covers the entry. Its grant is
            // replayed all the same: grants belong to the family, and a `Settled` entry in
            // another row may have lowered the grant in between.
            match known {
                Some(upto) if upto >= sequence => self.replay_grant(&entry),
                _ => self.replay(cx, entry),
            }
        }

        Some(())
    }

    /// Replays one journal entry.
    fn replay(&mut self, cx: &mut Cx<'_>, entry: Entry) {
        match entry {
            Entry::Opened(opened) => {
                let granted = opened.granted;
                let key = self.insert_program(cx, &opened);
                self.accounts[self.programs[key].account].granted(granted);
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
            Entry::Turn(turn) => account.granted(turn.granted),
            Entry::Granted(grant) => account.granted(grant.granted),
            Entry::Settled { spent, .. } => account.settled(*spent),
            Entry::Opened(opened) => account.granted(opened.granted),
            Entry::Intent(_) | Entry::Outcome(_) | Entry::Ended { .. } => {}
        }
    }

    /// Replays an intent.
    fn replay_intent(&mut self, cx: &mut Cx<'_>, intent: IntentEntry) {
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

        // An outcome that arrives after its intent was closed changes nothing.
        let Some((_, call)) = program.open_intent.take_if(|(name, _)| *name == entry.attempt)
        else {
            return;
        };

        if let Some(outcome) = entry.outcome {
            program.append(call, outcome);
        }
    }

    /// Replays a finished call that may be repeated.
    fn replay_turn(&mut self, cx: &mut Cx<'_>, turn: TurnEntry) {
        let Some(key) = self.index.get(&turn.program) else { return };
        let program = &mut self.programs[*key];
        close_intent(program);
        program.append(turn.call, turn.outcome);
        program.deadline = cx.now + turn.left;
        self.accounts[program.account].granted(turn.granted);
    }

    /// Finishes a recovery and starts to serve the partition.
    fn recovered(&mut self, cx: &mut Cx<'_>, partition: PartitionId) {
        let Some(recovering) = self.recovering.remove(&partition) else { return };
        self.tenures.insert(partition, recovering.tenure);
        self.compactions.insert(partition, recovering.compaction);

        let keys: Vec<_> = self
            .index
            .values()
            .copied()
            .filter(|key| self.programs[*key].partition == partition)
            .collect();

        for key in keys {
            self.recovered_program(cx, key);
        }

        for parked in recovering.parked {
            self.serve(cx, Asked::unparked(parked));
        }
    }

    /// Prepares a program that was read from the journal.
    fn recovered_program(&mut self, cx: &mut Cx<'_>, key: ProgramKey) {
        let program = &mut self.programs[key];

        // The previous home host may have sent the call, or may still send it. The call is
        // recorded with an unknown outcome, because sending it again could repeat a deposit,
        // for example. If the previous host received the answer, the caller's sealed tail
        // supplies the outcome later.
        if let Some((_, call)) = program.open_intent.clone() {
            program.append(call, Recorded::Unknown);
        }

        program.stored = program.head();
        let account = &mut self.accounts[program.account];
        account.recovered();

        let due = match program.state {
            ProgramState::Ended => {
                program.end_stored = true;
                let at = cx.now + REMEMBERED;
                program.forget_at = Some(at);
                at
            }
            _ => program.deadline,
        };
        self.timers.set(due, Timer::Program(key));
    }

    /// Parks a request until its partition's journal has been read.
    pub(super) fn park(&mut self, cx: &mut Cx<'_>, partition: PartitionId, asked: Asked) {
        let Some(recovering) = self.recovering.get_mut(&partition) else { return };

        if recovering.parked.len() >= MAX_PARKED {
            return self.refuse(cx, asked.ticket, answers::not_served(&asked.request));
        }

        let until = cx.now + PARK_WAIT;
        recovering.parked.push(Parked {
            ticket: asked.ticket,
            tenant: asked.tenant,
            key: asked.key,
            request: asked.request,
            until,
        });
        self.timers.set(until, Timer::Partition(partition));
    }

    /// Refuses parked requests that waited too long, and retries a failed read that is due.
    pub(super) fn recovery_due(&mut self, cx: &mut Cx<'_>, partition: PartitionId) {
        let Some(recovering) = self.recovering.get_mut(&partition) else { return };
        let late: Vec<_> =
            recovering.parked.extract_if(.., |parked| parked.until <= cx.now).collect();
        let retry = recovering.retry_at.is_some_and(|at| at <= cx.now);

        for parked in late {
            self.refuse(cx, parked.ticket, answers::not_served(&parked.request));
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
        program.append(call, Recorded::Unknown);
    }
}
