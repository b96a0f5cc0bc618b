//! What a host knows of one target, and what a call would cost there.

use std::time::Duration;

use camphorwalk_core::entry::{TargetEntry, TargetState};
use camphorwalk_core::hash::{rendezvous_weight, stable_hash};
use camphorwalk_core::time::Instant;

use super::PlacementRequest;
use crate::entry::call_stats::CallStats;
use crate::entry::cold_targets::ColdState;
use crate::entry::prompts::{CachedPart, Prompts};
use crate::entry::target_profiles::Profile;

/// The weight of a target without free slots in the random draw, relative to one with a single free
/// slot.
const FULL_TARGET_WEIGHT: f64 = 0.05;

/// How many calls of this host must fail at a target, with none answered in between, until the
/// target is ejected: this host sends it no calls for a while.
const FAILURES_TO_EJECT: u32 = 2;

/// The duration of the first ejection of a target, and the maximum. It doubles with each further
/// ejection until a call is answered. A target that crashed is back after some seconds.
const FIRST_EJECTION: Duration = Duration::from_millis(500);
const MAX_EJECTION: Duration = Duration::from_secs(4);

/// The fraction of its time that a call saves at a target that recently handled the same object.
const SAVING_FOR_KNOWN_OBJECT: f64 = 0.5;

/// A target, as known to this host.
#[derive(Clone, Debug)]
pub struct Target {
    /// The entry that the target registered.
    pub entry: TargetEntry,
    /// A hash of its id.
    pub(super) id_hash: u64,
    /// Whether the target is draining. It then gets no new calls.
    pub leaving: bool,
    /// Whether its availability zone is evacuated. It then gets no calls at all.
    pub(super) is_evacuated: bool,
    /// Whether this host prefers the target to others of the zone.
    pub(super) is_preferred: bool,
    /// What limits the calls that this host sends there while the target is cold.
    pub(super) cold: ColdState,
    /// The number of calls that this host has in flight there.
    pub(super) own_calls: u32,
    /// The number of calls that the other hosts have in flight there, by their last status updates.
    pub(super) others_calls: u32,
    /// Whether it has answered a call of this host.
    pub(super) has_answered: bool,
    /// The failed calls of this host since the last answered one.
    pub(super) failures: u32,
    /// The ejections since the last answered call of this host.
    pub(super) ejections: u32,
    pub(super) ejected_until: Option<Instant>,
    pub(super) prompts: Prompts,
    /// The last parts of the prompts that this host sent there, not yet reported to the other
    /// hosts.
    pub(super) unreported_parts: Vec<CachedPart>,
    /// What is known of its speed.
    pub(super) profile: Profile,
}

impl Target {
    /// Creates a target without any calls of this host.
    pub(super) fn new(entry: TargetEntry, is_evacuated: bool, others_calls: u32) -> Self {
        Self {
            id_hash: stable_hash(&[entry.id.as_bytes()]),
            leaving: entry.state == TargetState::Draining,
            entry,
            is_evacuated,
            is_preferred: false,
            cold: ColdState::default(),
            own_calls: 0,
            others_calls,
            has_answered: false,
            failures: 0,
            ejections: 0,
            ejected_until: None,
            prompts: Prompts::default(),
            unreported_parts: Vec::new(),
            profile: Profile::default(),
        }
    }

    /// Returns whether new calls may be sent to the target at all.
    pub(super) fn takes_calls(&self) -> bool {
        !self.leaving && !self.is_evacuated
    }

    /// Returns the number of calls in flight, over all hosts.
    pub fn load(&self) -> u32 {
        self.own_calls + self.others_calls
    }

    /// Returns whether it has answered a call of this host.
    pub fn has_answered(&self) -> bool {
        self.has_answered
    }

    pub(super) fn has_room(&self, request: &PlacementRequest) -> bool {
        self.load() < request.limit(self.entry.slots)
    }

    /// Returns whether the target recently handled the call's object, or caches more of its prompt
    /// than the first part, which all calls of a kind share.
    pub(super) fn holds_prompt_or_object(&self, request: &PlacementRequest) -> bool {
        let own = request.parts.iter().skip(1).map(|(id, _)| *id);

        own.chain(request.object).any(|id| self.prompts.contains(id))
    }

    /// Returns the target's position in the random draw; the lowest is drawn first. It is a random
    /// number derived from the target's id, scaled so that more free slots and a faster target make a
    /// low position more likely.
    pub(super) fn draw_position(&self, seed: u64, request: &PlacementRequest) -> f64 {
        let free =
            request.limit(self.entry.slots).min(self.entry.slots).saturating_sub(self.load());
        let weight = f64::from(free).max(FULL_TARGET_WEIGHT) / self.profile.effective_pace();
        let random = (rendezvous_weight(seed, self.id_hash).0 >> 11) as f64 / (1u64 << 53) as f64;

        -random.max(f64::MIN_POSITIVE).ln() / weight
    }

    pub(super) fn is_ejected(&self, now: Instant) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// Returns the cost of a call at this target in milliseconds, beyond the time that it takes
    /// at a target of the mean speed: the wait for a slot, the time to read its prompt, the delay
    /// that neighbouring calls cause, the delay that they suffer while its prompt is read, and the
    /// additional time of its work if the target is slower.
    pub(super) fn cost(&self, stats: &CallStats, request: &PlacementRequest) -> f64 {
        let slots = self.entry.slots.max(1);
        let load = self.load();
        let running = f64::from(load.min(slots));

        let prompt = stats.prompt_ms(self.prompts.missing_tokens(&request.parts));
        let waiting = f64::from((load + 1).saturating_sub(slots));
        let wait = waiting * stats.slot_ms() / f64::from(slots);
        let knows_object = request.object.is_some_and(|object| self.prompts.contains(object));
        let saved = if knows_object { stats.slot_ms() * SAVING_FOR_KNOWN_OBJECT } else { 0.0 };

        let pace = self.profile.effective_pace();
        let additional = stats.slot_ms() * (pace - 1.0);

        prompt * (1.0 + running * pace) + stats.interference_ms() * running * pace - saved
            + wait * pace
            + additional
    }

    pub(super) fn record_failure(&mut self, now: Instant) -> bool {
        self.failures += 1;

        if self.failures < FAILURES_TO_EJECT || self.is_ejected(now) {
            return false;
        }

        let ejection = FIRST_EJECTION * 2u32.saturating_pow(self.ejections);
        self.ejections += 1;
        self.ejected_until = Some(now + ejection.min(MAX_EJECTION));
        true
    }
}
