//! When checkpoints are made, and their construction in parts.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use camphorwalk_core::ids::{PartitionId, ProgramId};
use camphorwalk_core::platform::{ObjectName, PlatformOp, PlatformReply, RowVersion};
use camphorwalk_core::time::Instant;

use super::checkpoint::{CheckpointRow, ImageCall, Maintenance, ProgramImage};
use super::entries::{CallText, OpenedEntry};
use super::state::{Program, ProgramKey, ProgramState, Stage, WorkKind};
use super::{ProgramOp, Programs, StepContext};

/// The default number of journal bytes after which a partition gets a new checkpoint. If the last
/// checkpoint was larger, its size is the threshold instead, so that checkpoints at most double the
/// bytes written.
pub(super) const DEFAULT_CHECKPOINT_THRESHOLD: usize = 1024 * 1024;

/// Once the images in an object have this many bytes, no more are added to it.
const PART_BYTES: usize = 256 * 1024;

/// The wait before the next checkpoint after the platform failed to store an object.
const CHECKPOINT_RETRY_DELAY: Duration = Duration::from_secs(5);

/// How much a partition's journal has grown, and the checkpoint in progress.
#[derive(Debug, Default)]
pub(super) struct Compaction {
    /// Bytes of the journal rows that the last checkpoint does not cover.
    pub bytes_since_checkpoint: usize,
    /// Bytes of the last checkpoint.
    pub last_checkpoint_bytes: usize,
    /// The first journal row that may still exist.
    pub first_row: u64,
    /// The current version of the checkpoint row.
    pub version: RowVersion,
    /// The earliest time to start the next checkpoint.
    not_before: Instant,
    /// The checkpoint in progress.
    build: Option<CheckpointBuild>,
}

/// A checkpoint in progress.
#[derive(Debug)]
struct CheckpointBuild {
    /// Programs whose images are not written yet, parents before their children.
    programs: VecDeque<ProgramId>,
    /// The checkpoint row, completed as objects are stored.
    row: CheckpointRow,
    /// Journal bytes that the checkpoint will cover.
    covered_bytes: usize,
    /// The object write in progress.
    op: Option<ProgramOp>,
}

impl Programs {
    /// Sets after how many journal bytes a partition gets a new checkpoint; the default is 1 MiB.
    ///
    /// A threshold that is smaller than the usual size of a checkpoint's objects also limits that
    /// size.
    ///
    /// ```
    /// # use camphorwalk_core::ids::HostId;
    /// # use camphorwalk_policy::programs::{ProgramOptions, Programs};
    /// # let options = ProgramOptions {
    /// #     host: HostId::from_name("a1"),
    /// #     session: 1,
    /// #     seal_key: [7; 32],
    /// #     commit_interval: std::time::Duration::from_millis(10),
    /// # };
    /// let mut programs = Programs::new(options);
    /// programs.set_checkpoint_threshold(64 * 1024);
    /// ```
    pub fn set_checkpoint_threshold(&mut self, bytes: usize) {
        self.checkpoint_threshold = bytes;
    }

    /// Counts rows appended to a journal and starts a checkpoint if they exceed the threshold.
    pub(super) fn journal_grew(
        &mut self,
        cx: &mut StepContext<'_>,
        partition: PartitionId,
        bytes: usize,
    ) {
        let Some(term) = self.terms.get(&partition) else { return };
        let compaction = self.compactions.entry(partition).or_default();
        compaction.bytes_since_checkpoint += bytes;
        let due = compaction.bytes_since_checkpoint
            > compaction.last_checkpoint_bytes.max(self.checkpoint_threshold);

        if !due || compaction.build.is_some() || cx.now < compaction.not_before {
            return;
        }

        let upto = term.next_row - 1;
        let programs = self.parents_first(partition);
        let compaction = self.compactions.entry(partition).or_default();
        compaction.build = Some(CheckpointBuild {
            programs,
            row: CheckpointRow { upto, ..CheckpointRow::default() },
            covered_bytes: compaction.bytes_since_checkpoint,
            op: None,
        });
        self.write_next_part(cx, partition);
    }

    /// Returns the programs of a partition, parents before their children.
    fn parents_first(&self, partition: PartitionId) -> VecDeque<ProgramId> {
        let programs = self.index.values().map(|key| &self.programs[*key]);
        let mut ids: Vec<_> =
            programs.filter(|p| p.partition == partition).map(|p| (p.depth, p.id)).collect();
        ids.sort_unstable();

        ids.into_iter().map(|(_, id)| id).collect()
    }

    /// Writes the next object of images, or updates the checkpoint row after the last one.
    fn write_next_part(&mut self, cx: &mut StepContext<'_>, partition: PartitionId) {
        let Some(content) = self.next_part_content(cx, partition) else {
            return self.finish_checkpoint(partition);
        };

        let bytes = content.len();
        let op = self.platform(cx, PlatformOp::PutObject(content.into()));
        self.object_writes.insert(op, partition);

        if let Some(build) = self.compactions.get_mut(&partition).and_then(|c| c.build.as_mut()) {
            build.op = Some(op);
            build.row.bytes += bytes;
        }
    }

    /// Builds the content of the next object, with one image per line; returns `None` if no image
    /// is left to write.
    fn next_part_content(
        &mut self,
        cx: &StepContext<'_>,
        partition: PartitionId,
    ) -> Option<Vec<u8>> {
        let upto = self.terms.get(&partition)?.next_row - 1;
        let mut content = Vec::new();

        while content.len() < PART_BYTES.min(self.checkpoint_threshold) {
            let build = self.compactions.get_mut(&partition)?.build.as_mut()?;
            let Some(id) = build.programs.pop_front() else { break };

            // A program that was removed meanwhile needs no image. One that was opened later is
            // covered by journal rows that the checkpoint keeps.
            if let Some(image) = self.index.get(&id).and_then(|key| self.image(cx, *key, upto)) {
                serde_json::to_writer(&mut content, &image)
                    .expect("a program image serializes to JSON");
                content.push(b'\n');
            }
        }

        (!content.is_empty()).then_some(content)
    }

    /// Builds the image of a program from what the journal holds of it, without entries that
    /// are not durable yet.
    fn image(&self, cx: &StepContext<'_>, key: ProgramKey, upto: u64) -> Option<ProgramImage> {
        let program = &self.programs[key];

        if program.state == ProgramState::Opening {
            return None;
        }

        let account = self.accounts[program.account];
        // An open intent was counted as a call with an unknown outcome when this host recovered
        // the program; the journal does not hold that outcome.
        let unstored_intents = u32::from(program.open_intent.is_some());
        let calls = program.calls.iter().take((program.stored - unstored_intents) as usize);

        Some(ProgramImage {
            upto,
            opened: OpenedEntry {
                program: program.id,
                tenant: program.tenant.0,
                template: program.template.clone(),
                class: program.class.0,
                parent: program.parent,
                root: program.root,
                depth: program.depth,
                body: program.parameters_digest,
                repeatable: program.repeatable,
                budget: account.budget,
                granted: account.granted,
                left: program.time_left(cx.now),
            },
            openings: program.openings,
            calls: calls
                .map(|r| ImageCall { call: r.call.clone(), outcome: r.outcome.clone() })
                .collect(),
            intent: self.stored_intent(program),
            ended: program.state == ProgramState::Ended,
        })
    }

    /// Returns the program's intent whose outcome the journal does not hold, if there is one.
    fn stored_intent(&self, program: &Program) -> Option<(Box<str>, CallText)> {
        if program.open_intent.is_some() {
            return program.open_intent.clone();
        }

        // The call finished, but its outcome is not durable yet.
        if let Some(record) = program.calls.get(program.stored as usize) {
            return record.attempt.clone().map(|attempt| (attempt, record.call.clone()));
        }

        let call = self.calls.get(program.running?)?;
        let sent = call.stage == Stage::Running && matches!(call.kind, WorkKind::NonIdempotent(_));

        call.attempt.filter(|_| sent).map(|a| (a.to_string().into(), call.text.clone()))
    }

    /// Handles the reply to the write of an object.
    pub(super) fn on_put(&mut self, cx: &mut StepContext<'_>, op: ProgramOp, reply: PlatformReply) {
        let Some(partition) = self.object_writes.remove(&op) else { return };
        let Some(compaction) = self.compactions.get_mut(&partition) else { return };
        let Some(build) = compaction.build.as_mut().filter(|build| build.op == Some(op)) else {
            return;
        };

        // A checkpoint is not urgent: it is started again after a pause.
        let PlatformReply::Stored(name) = reply else {
            compaction.build = None;
            compaction.not_before = cx.now + CHECKPOINT_RETRY_DELAY;
            return;
        };

        build.op = None;
        build.row.parts.push(name);
        self.write_next_part(cx, partition);
    }

    /// Queues the update of the checkpoint row after all objects are stored.
    fn finish_checkpoint(&mut self, partition: PartitionId) {
        let Some(term) = self.terms.get(&partition) else { return };
        let Some(compaction) = self.compactions.get_mut(&partition) else { return };
        let Some(build) = &compaction.build else { return };

        self.journal.push_maintenance(Maintenance::Checkpoint {
            partition,
            term: term.id,
            row: Arc::new(build.row.clone()),
            version: compaction.version,
        });
    }

    /// Handles maintenance that completed: an updated checkpoint row or deleted journal rows.
    pub(super) fn maintenance_done(&mut self, maintenance: &Maintenance, version: RowVersion) {
        let partition = maintenance.partition();
        let current = self.terms.get(&partition).is_some_and(|t| t.id == maintenance.term());
        let Some(compaction) = self.compactions.get_mut(&partition).filter(|_| current) else {
            return;
        };

        if let Some(rest) = maintenance.rest() {
            return self.journal.push_maintenance(rest);
        }

        let Maintenance::Checkpoint { row, term, .. } = maintenance else { return };
        let Some(build) = compaction.build.take() else { return };
        let (from, upto) = (compaction.first_row, row.upto);
        compaction.version = version;
        compaction.bytes_since_checkpoint -= build.covered_bytes;
        compaction.last_checkpoint_bytes = row.bytes;
        compaction.first_row = upto + 1;

        if from <= upto {
            self.journal.push_maintenance(Maintenance::Trim { partition, term: *term, from, upto });
        }
    }
}

/// Parses the images in an object; returns `None` if the content is invalid.
pub(super) fn parse_images(content: &[u8]) -> Option<Vec<ProgramImage>> {
    let lines = content.split(|byte| *byte == b'\n').filter(|line| !line.is_empty());

    lines.map(|line| serde_json::from_slice(line).ok()).collect()
}

/// Parses a checkpoint row and returns the names of its objects with it.
pub(super) fn parse_checkpoint(value: &str) -> Option<(VecDeque<ObjectName>, CheckpointRow)> {
    let row: CheckpointRow = serde_json::from_str(value).ok()?;

    Some((row.parts.iter().cloned().collect(), row))
}
