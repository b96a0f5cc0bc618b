//! Reading a partition's journal on its new home.
//!
//! Clocks of two hosts cannot be compared, so entries hold the time left. A new home counts
//! it from the moment it reads the entry: the time between the last entry and the change of
//! home is not counted, and a program may live that much longer than its caller waits.

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

/// The rows read at once.
const PAGE_ROWS: u32 = 256;

/// The wait before something is asked for again.
const READ_RETRY: Duration = Duration::from_millis(200);

/// How long a request waits for the journal to be read.
const PARK_WAIT: Duration = Duration::from_secs(2);

/// The most requests that wait for one partition.
const MAX_PARKED: usize = 256;

impl Programs {
    /// This host holds a partition's lease.
    pub(super) fn acquired(
        &mut self,
        cx: &mut Cx<'_>,
        partition: PartitionId,
        epoch: Epoch,
        lease: RowVersion,
    ) {
        let reading = self.recovering.get_mut(&partition).map(|r| &mut r.tenure);
        let held = self.tenures.get_mut(&partition).or(reading);

        // The same lease, renewed: its row has a new version.
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

    /// Forgets a partition that this host still holds, and reads it anew.
    pub(super) fn read_again(&mut self, cx: &mut Cx<'_>, partition: PartitionId) {
        if let Some(Tenure { epoch, lease, .. }) = self.tenures.get(&partition).copied() {
            self.lost(cx, partition);
            self.acquired(cx, partition, epoch, lease);
        }
    }

    /// Begins to read the journals that this host itself does not write to any more.
    ///
    /// A lease can be lost and found again with the same version. A transaction of before,
    /// whose answer was lost, could then take effect after the journal was read: the row
    /// would be missing here, and what is written next would contradict it.
    pub(super) fn read_unblocked(&mut self, cx: &mut Cx<'_>) {
        // Without a configuration nobody knows what is in which partition.
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

    /// Asks for what is read next of a partition.
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

    /// Goes on to the journal's rows.
    fn read_rows(&mut self, cx: &mut Cx<'_>, partition: PartitionId) {
        if let Some(recovering) = self.recovering.get_mut(&partition) {
            recovering.reading = Reading::Rows;
            self.read(cx, partition);
        }
    }

    /// A part of a partition came in.
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

    /// Asks again later: the platform is away, or has something that cannot be read. A
    /// partition that is not read in full is not served, as calls of it would be lost.
    fn stall(&mut self, cx: &mut Cx<'_>, partition: PartitionId) {
        let at = cx.now + READ_RETRY;

        if let Some(recovering) = self.recovering.get_mut(&partition) {
            recovering.retry_at = Some(at);
            self.timers.set(at, Timer::Partition(partition));
        }
    }

    /// A partition's checkpoint row came in, if there is one.
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

    /// Takes in the image of a program.
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

        // Its parent's image counts this opening already.
        if let Some(parent) = parent {
            self.programs[parent].openings -= 1;
        }
    }

    /// Rows of a journal came in.
    fn on_rows(&mut self, cx: &mut Cx<'_>, partition: PartitionId, rows: Vec<Row>) {
        let whole = rows.len() < PAGE_ROWS as usize;

        for row in rows {
            if self.on_row(cx, partition, row).is_none() {
                return self.stall(cx, partition);
            }
        }

        if whole { self.recovered(cx, partition) } else { self.read(cx, partition) }
    }

    /// Takes in a row of a journal; `None` if it cannot be read.
    fn on_row(&mut self, cx: &mut Cx<'_>, partition: PartitionId, row: Row) -> Option<()> {
        let sequence = sequence_of(&row.key)?;
        let content: JournalRow = serde_json::from_str(&row.value).ok()?;
        let recovering = self.recovering.get_mut(&partition)?;
        recovering.after = row.key.key;
        recovering.compaction.first = recovering.compaction.first.min(sequence);

        // The checkpoint holds it; it was not deleted yet.
        if sequence <= recovering.upto {
            return Some(());
        }

        recovering.compaction.since += row.value.len();
        recovering.tenure.next = sequence + 1;

        for entry in content.entries {
            let known = self.index.get(&entry.program()).map(|key| self.programs[*key].upto);

            // An image that was made later than this row holds the entry. What it grants
            // counts all the same: the family's other rows may have settled it meanwhile.
            match known {
                Some(upto) if upto >= sequence => self.replay_grant(&entry),
                _ => self.replay(cx, entry),
            }
        }

        Some(())
    }

    /// Takes in one entry of a journal.
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

    /// Takes in what an entry says of its family's grant.
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

    /// Takes in an intent.
    fn replay_intent(&mut self, cx: &mut Cx<'_>, intent: IntentEntry) {
        let Some(key) = self.index.get(&intent.program) else { return };
        let program = &mut self.programs[*key];
        close_intent(program);
        program.open_intent = Some((intent.attempt, intent.call));
        program.deadline = cx.now + intent.left;
    }

    /// Takes in what became of an intent.
    fn replay_outcome(&mut self, entry: OutcomeEntry) {
        let Some(key) = self.index.get(&entry.program) else { return };
        let program = &mut self.programs[*key];

        // The outcome of an intent that was given up long ago says nothing new.
        let Some((_, call)) = program.open_intent.take_if(|(name, _)| *name == entry.attempt)
        else {
            return;
        };

        if let Some(outcome) = entry.outcome {
            program.append(call, outcome);
        }
    }

    /// Takes in a finished repeatable call.
    fn replay_turn(&mut self, cx: &mut Cx<'_>, turn: TurnEntry) {
        let Some(key) = self.index.get(&turn.program) else { return };
        let program = &mut self.programs[*key];
        close_intent(program);
        program.append(turn.call, turn.outcome);
        program.deadline = cx.now + turn.left;
        self.accounts[program.account].granted(turn.granted);
    }

    /// A journal is read: its programs are served from now on.
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

    /// Makes a program ready that was read from a journal.
    fn recovered_program(&mut self, cx: &mut Cx<'_>, key: ProgramKey) {
        let program = &mut self.programs[key];

        // The former home may have sent the call, and may yet. It counts as run with an
        // unknown outcome; sending it again could take a second deposit. Should the former
        // home have seen the answer, its sealed tail settles the matter.
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

    /// Lets a request wait until its partition's journal is read.
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

    /// Something is due for a partition whose journal is being read.
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

/// Takes an intent whose outcome never came for one with an unknown outcome, because the
/// program went on after it.
fn close_intent(program: &mut Program) {
    if let Some((_, call)) = program.open_intent.take() {
        program.append(call, Recorded::Unknown);
    }
}
