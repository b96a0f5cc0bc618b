//! Detects calls that crash each target that runs them.
//!
//! When a target's process crashes, each call that was in flight there is a suspect, and mostly one
//! of them is the cause. A call is blocked, together with its retries, after it was a suspect in
//! [`MAX_CRASHES`] crashes. A crash is identified by the process that ended, so that it counts once,
//! however many calls and hosts saw it and however often it is reported.
//!
//! Suspects that are not the cause are told apart by what else happens:
//!
//! - A call that was answered completely after a crash did not cause it.
//! - If another call was in flight in all crashes of a suspect and in more, that call explains them.
//! - If processes of a release crash before they answer anything, whichever calls they get, the
//!   release explains it.

use std::time::Duration;

use camphorwalk_core::entry::TargetEntry;
use camphorwalk_core::hash::{Map, stable_hash};
use camphorwalk_core::messages::entry::{CrashReport, CrashUpdates};
use camphorwalk_core::time::Instant;

use crate::entry::recent::RecentMap;

/// The number of crashes, seen by any host, after which a call and its retries are sent to no more
/// targets.
pub const MAX_CRASHES: usize = 3;

/// The same for calls with the same input whose conversations differ. That such a call is the same
/// one is less certain, and it may be tried a few times more.
const MAX_INPUT_CRASHES: usize = 5;

/// How long a call is blocked after its last crash. One that still crashes targets is then blocked
/// again by a single further crash.
pub const BLOCK_TIME: Duration = Duration::from_secs(120);

/// How long a crash is remembered.
const CRASH_MEMORY: Duration = Duration::from_secs(300);

/// The maximum number of crashes that are remembered. The oldest are forgotten.
const MAX_REMEMBERED: usize = 512;

/// The number of calls that were answered last and are remembered at the least. A crash may be
/// reported some seconds after the call's retry was answered.
const COMPLETED_KEPT: usize = 1_024;

/// The number of different calls that it takes to explain the crashes of a release, from which on
/// the release is the more likely cause.
const MIN_CAUSES_OF_RELEASE: usize = 4;

/// A hash of a call's method, path, tenant and body, which identifies the call when it is retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Fingerprint(pub u64);

/// What a target gets of a call, which is the same when the call is retried, whatever its id and
/// program.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallContent {
    /// Identifies all of the content.
    whole: Fingerprint,
    /// Identifies the content without the earlier turns of the conversation, if there are any.
    input: Option<Fingerprint>,
}

impl CallContent {
    /// Returns the content of a call that begins a conversation or belongs to none.
    pub fn new(call: Fingerprint) -> Self {
        Self { whole: call, input: None }
    }

    /// Returns the content of a call that continues a conversation. Its own body is only the new
    /// input, which calls of many conversations share; the prompt also contains the earlier turns.
    ///
    /// ```
    /// use camphorwalk_policy::entry::crashes::{CallContent, Fingerprint};
    /// let call = Fingerprint(1);
    /// assert_ne!(CallContent::continuing(call, b"a go on"), CallContent::continuing(call, b"b go on"));
    /// ```
    pub fn continuing(call: Fingerprint, prompt: &[u8]) -> Self {
        let call = call.0.to_be_bytes();

        Self {
            whole: Fingerprint(stable_hash(&[b"continued", &call, prompt])),
            input: Some(Fingerprint(stable_hash(&[b"input", &call]))),
        }
    }

    /// Returns the content as reported by another host.
    fn from_report(whole: u64, input: u64) -> Self {
        Self { whole: Fingerprint(whole), input: (input != 0).then_some(Fingerprint(input)) }
    }

    fn fingerprints(self) -> impl Iterator<Item = Fingerprint> {
        [Some(self.whole), self.input].into_iter().flatten()
    }

    fn has(self, call: Fingerprint) -> bool {
        self.whole == call || self.input == Some(call)
    }
}

/// Identifies a crash: a hash of the id and the start of the process that ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct CrashId(pub u64);

/// A process that crashed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CrashedProcess {
    /// The crash.
    pub id: CrashId,
    /// A hash of the process's service and version.
    pub release: u64,
    /// Whether it had answered a call.
    pub has_answered: bool,
}

impl CrashedProcess {
    /// Returns the process that registered an entry.
    pub fn new(entry: &TargetEntry, has_answered: bool) -> Self {
        let version = entry.version.as_deref().unwrap_or_default();

        Self {
            id: CrashId(stable_hash(&[entry.id.as_bytes(), &entry.born.to_be_bytes()])),
            release: stable_hash(&[entry.service.as_bytes(), version.as_bytes()]),
            has_answered,
        }
    }
}

/// A crash, as known to this host.
#[derive(Clone, Debug)]
struct Crash {
    at: Instant,
    release: u64,
    /// Whether the process had answered a call, as far as the hosts know that saw the crash.
    has_answered: bool,
    /// The calls that were in flight, as far as they may have caused the crash.
    suspects: Vec<CallContent>,
    /// Whether this host saw the crash.
    is_own: bool,
}

impl Crash {
    fn has_suspect(&self, call: Fingerprint) -> bool {
        self.suspects.iter().any(|suspect| suspect.has(call))
    }

    fn report(&self, now: Instant, id: CrashId) -> CrashReport {
        let age = now.since(self.at);

        CrashReport {
            process: id.0,
            release: self.release,
            has_answered: self.has_answered,
            age_ms: u32::try_from(age.as_millis()).unwrap_or(u32::MAX),
            calls: self.suspects.iter().map(|suspect| suspect.whole.0).collect(),
            inputs: self.suspects.iter().map(|s| s.input.map_or(0, |input| input.0)).collect(),
        }
    }
}

/// The crashes of targets, and the calls that may have caused them.
#[derive(Clone, Debug)]
pub struct Crashes {
    crashes: Map<CrashId, Crash>,
    /// The crashes of which a call is a suspect.
    by_call: Map<Fingerprint, Vec<CrashId>>,
    /// When calls were answered completely.
    completed: RecentMap<Fingerprint, Instant>,
    unreported: Vec<CrashId>,
    uncleared: Vec<u64>,
}

impl Default for Crashes {
    fn default() -> Self {
        Self {
            crashes: Map::default(),
            by_call: Map::default(),
            completed: RecentMap::new(COMPLETED_KEPT),
            unreported: Vec::new(),
            uncleared: Vec::new(),
        }
    }
}

impl Crashes {
    /// Records that a target's process crashed at `at`, and which calls were in flight there.
    ///
    /// ```
    /// use camphorwalk_core::time::Instant;
    /// use camphorwalk_policy::entry::crashes::{
    ///     CallContent, CrashId, CrashedProcess, Crashes, Fingerprint,
    /// };
    /// let (now, call) = (Instant(0), CallContent::new(Fingerprint(1)));
    /// let crash = |id| CrashedProcess { id: CrashId(id), release: 1, has_answered: true };
    /// let mut crashes = Crashes::default();
    /// for id in [7, 7, 7, 8] {
    ///     crashes.record(now, now, crash(id), &[call]);
    /// }
    /// assert!(!crashes.is_blocked(now, call));
    /// crashes.record(now, now, crash(9), &[call]);
    /// assert!(crashes.is_blocked(now, call));
    /// ```
    pub fn record(
        &mut self,
        now: Instant,
        at: Instant,
        process: CrashedProcess,
        calls: &[CallContent],
    ) {
        self.add(now, at, process, true, calls);
        self.unreported.push(process.id);
    }

    /// Records a crash that another host reported, which sent its report at `sent_at`.
    pub fn record_remote(&mut self, now: Instant, sent_at: Instant, report: &CrashReport) {
        let process = CrashedProcess {
            id: CrashId(report.process),
            release: report.release,
            has_answered: report.has_answered,
        };
        let at = sent_at - Duration::from_millis(u64::from(report.age_ms));
        let calls = report.calls.iter().zip(&report.inputs);
        let calls: Vec<_> = calls.map(|(w, i)| CallContent::from_report(*w, *i)).collect();

        self.add(now, at, process, false, &calls);
    }

    fn add(
        &mut self,
        now: Instant,
        at: Instant,
        process: CrashedProcess,
        is_own: bool,
        calls: &[CallContent],
    ) {
        self.forget_old(now);
        let CrashedProcess { id, release, has_answered } = process;
        let suspects = Vec::new();
        let new = Crash { at, release, has_answered, suspects, is_own };
        let crash = self.crashes.entry(id).or_insert(new);
        crash.has_answered |= has_answered;
        crash.is_own |= is_own;

        for call in calls {
            let is_innocent = self.completed.get(&call.whole).is_some_and(|done| done > crash.at);
            if is_innocent || crash.suspects.contains(call) {
                continue;
            }
            crash.suspects.push(*call);
            for fingerprint in call.fingerprints() {
                let ids = self.by_call.entry(fingerprint).or_default();
                if !ids.contains(&id) {
                    ids.push(id);
                }
            }
        }
    }

    fn forget_old(&mut self, now: Instant) {
        let is_old = |crash: &Crash| now.since(crash.at) >= CRASH_MEMORY;
        let has_old = self.crashes.values().any(is_old);
        if has_old {
            self.crashes.retain(|_, crash| !is_old(crash));
        }
        let has_excess = self.crashes.len() >= MAX_REMEMBERED;
        if has_excess && let Some(oldest) = self.crashes.iter().min_by_key(|(_, crash)| crash.at) {
            let oldest = *oldest.0;
            self.crashes.remove(&oldest);
        }

        if has_old || has_excess {
            let crashes = &self.crashes;
            self.by_call.retain(|_, ids| {
                ids.retain(|id| crashes.contains_key(id));
                !ids.is_empty()
            });
        }
    }

    /// Records that a target answered a call completely, which shows that the call does not crash
    /// targets. Returns whether it was a suspect.
    pub fn record_completed(&mut self, now: Instant, call: CallContent) -> bool {
        let mut was_suspect = false;

        for fingerprint in call.fingerprints() {
            self.completed.put(fingerprint, now);
            if self.clear(fingerprint) {
                self.uncleared.push(fingerprint.0);
                was_suspect = true;
            }
        }
        was_suspect
    }

    /// Records that another host reported a call as answered completely.
    pub fn record_remote_completed(&mut self, now: Instant, call: u64) {
        let call = Fingerprint(call);

        self.completed.put(call, now);
        self.clear(call);
    }

    /// Removes a call from the suspects. Returns whether it was one.
    fn clear(&mut self, call: Fingerprint) -> bool {
        let Some(ids) = self.by_call.remove(&call) else { return false };

        for id in ids {
            let Some(crash) = self.crashes.get_mut(&id) else { continue };
            crash.suspects.retain(|suspect| suspect.whole != call);
            for suspect in &mut crash.suspects {
                suspect.input = suspect.input.filter(|input| *input != call);
            }
        }
        true
    }

    /// Takes what has not been reported to the other hosts yet.
    pub fn take_updates(&mut self, now: Instant) -> CrashUpdates {
        let mut ids = std::mem::take(&mut self.unreported);
        ids.dedup();
        let crashes = ids.into_iter().filter_map(|id| Some((id, self.crashes.get(&id)?)));

        CrashUpdates {
            crashes: crashes.map(|(id, crash)| crash.report(now, id)).collect(),
            cleared: std::mem::take(&mut self.uncleared),
        }
    }

    /// Returns the crashes that this host saw and still remembers, for hosts that may not know of
    /// them.
    pub fn own_reports(&self, now: Instant) -> Vec<CrashReport> {
        let own = self.crashes.iter().filter(|(_, c)| c.is_own && !c.suspects.is_empty());

        own.map(|(id, crash)| crash.report(now, *id)).collect()
    }

    /// Returns whether any call may have caused a crash.
    pub fn has_suspects(&self) -> bool {
        !self.by_call.is_empty()
    }

    /// Returns the number of crashes of which a call is a suspect.
    pub fn count(&self, call: CallContent) -> usize {
        self.by_call.get(&call.whole).map_or(0, Vec::len)
    }

    /// Returns whether a call has crashed so many targets that it must not be sent to another one.
    pub fn is_blocked(&self, now: Instant, call: CallContent) -> bool {
        let blocks = |call, max| {
            let counted = self.counted(call);
            let last = counted.iter().map(|crash| crash.at).max();
            counted.len() >= max && last.is_some_and(|at| now.since(at) < BLOCK_TIME)
        };

        (blocks(call.whole, MAX_CRASHES) && !self.is_explained_by_another(call.whole))
            || call.input.is_some_and(|input| blocks(input, MAX_INPUT_CRASHES))
    }

    /// Returns the crashes that count against a call.
    fn counted(&self, call: Fingerprint) -> Vec<&Crash> {
        let Some(ids) = self.by_call.get(&call) else { return Vec::new() };
        let crashes = ids.iter().filter_map(|id| self.crashes.get(id));

        crashes.filter(|c| c.has_answered || !self.is_failing_without(c.release, call)).collect()
    }

    /// Returns whether another call was in flight in all crashes of a suspect, and in more.
    fn is_explained_by_another(&self, call: Fingerprint) -> bool {
        let Some(ids) = self.by_call.get(&call) else { return false };
        let Some(first) = ids.first().and_then(|id| self.crashes.get(id)) else { return false };

        first.suspects.iter().any(|other| {
            let others = self.by_call.get(&other.whole).map_or(&[][..], Vec::as_slice);
            others.len() > ids.len() && ids.iter().all(|id| others.contains(id))
        })
    }

    /// Returns whether processes of a release crash without having answered anything, without a
    /// given call and under so many different ones that the release must be the cause.
    fn is_failing_without(&self, release: u64, call: Fingerprint) -> bool {
        let is_unexplained =
            |c: &&Crash| c.release == release && !c.has_answered && !c.has_suspect(call);
        let mut unexplained: Vec<_> = self.crashes.values().filter(is_unexplained).collect();
        let mut causes = 0;

        // The fewest calls that explain all crashes are approximated: the call with the most
        // crashes comes first.
        while causes < MIN_CAUSES_OF_RELEASE {
            let mut crashes_by_call = Map::<Fingerprint, usize>::default();
            for suspect in unexplained.iter().flat_map(|crash| &crash.suspects) {
                *crashes_by_call.entry(suspect.whole).or_default() += 1;
            }
            let Some(most) = crashes_by_call.into_iter().max_by_key(|(call, n)| (*n, *call)) else {
                return false;
            };
            unexplained.retain(|crash| !crash.has_suspect(most.0));
            causes += 1;
        }
        true
    }
}
