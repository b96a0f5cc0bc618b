//! The invariants, checked against the store's order of changes and its clock. The bounds are those
//! of the project's rules.

use std::time::Duration;

use camphorwalk_core::entry::TargetState;
use camphorwalk_core::hash::{Map, Set};
use camphorwalk_core::platform::RowVersion;
use camphorwalk_core::time::Instant;
use camphorwalk_policy::entry::target_table::EntryRow;

use crate::host::Host;
use crate::targets::{REWRITE_TIMEOUT, TargetRun};
use crate::world::{HOSTS, Link, Mode, World};

/// How long a target may get calls after the store's rows have stopped naming it as ready.
const DRAIN_BOUND: Duration = Duration::from_secs(2);

/// How long a host must be without faults until it is in contact, and the store until it is stable.
const CONTACT: Duration = Duration::from_secs(3);

/// The versions that one run of a host has reached; they never decrease.
#[derive(Default)]
struct ReachedVersions {
    run: u64,
    as_of: Option<RowVersion>,
    rows: Map<Box<str>, RowVersion>,
}

#[derive(Default)]
pub struct Oracle {
    /// Since when each host has run without a fault of its own.
    fault_free_since: [Option<Instant>; HOSTS],
    /// Since when the store has answered each host.
    answered_since: [Option<Instant>; HOSTS],
    /// Since when the store has been available; `None` during an outage for all.
    available_since: Option<Instant>,
    /// The targets that each run of a host used when the last outage for all started.
    used_at_outage: [(u64, Set<TargetRun>); HOSTS],
    reached: [ReachedVersions; HOSTS],
}

impl Oracle {
    /// Records that faults started or ended.
    pub fn record_faults(&mut self, world: &World, started: Option<usize>) {
        let is_available = world.outage.is_none();
        if !is_available && self.available_since.is_some() {
            self.record_used_targets(world);
        }
        update_since(&mut self.available_since, world.now, is_available);

        for host in 0..HOSTS {
            let is_fault_free = world.hosts[host].is_some() && world.links[host] == Link::Good;
            let is_answered = is_fault_free && is_available && world.modes[host] == Mode::Up;
            if started == Some(host) {
                (self.fault_free_since[host], self.answered_since[host]) = (None, None);
            }
            update_since(&mut self.fault_free_since[host], world.now, is_fault_free);
            update_since(&mut self.answered_since[host], world.now, is_answered);
        }
    }

    /// Checks the targets that the hosts use from the world's current time until `until`.
    pub fn check_until(&self, world: &World, until: Instant) {
        for (name, host) in world.hosts.iter().enumerate() {
            let Some(host) = host else { continue };

            if self.is_in_contact(name, until) {
                self.check_left_targets_unused(world, name, host, until);
            }
            self.check_running_targets_used(world, name, host, until);
        }
    }

    /// Checks that the version of a host's copy never decreases.
    pub fn check_never_decreases(&mut self, world: &World, name: usize) {
        let Some(host) = &world.hosts[name] else { return };
        let reached = &mut self.reached[name];
        if reached.run != host.run {
            *reached = ReachedVersions { run: host.run, ..ReachedVersions::default() };
        }

        let as_of = host.table.as_of();
        assert!(
            as_of >= reached.as_of,
            "the copy of host {name} went back from {:?} to {as_of:?}",
            reached.as_of
        );
        reached.as_of = as_of;
        for row in rows(world, host) {
            let before = reached.rows.insert(row.id.clone(), row.version);
            assert!(
                before <= Some(row.version),
                "the copy of host {name} went back from {before:?} to {row:?}"
            );
        }
    }

    /// Checks that all copies equal the store's rows, and that the hosts use exactly the targets in
    /// them.
    pub fn check_converged(&self, world: &World) {
        let stored = world.store.rows();
        let named = stored.iter().filter_map(|row| row.entry.clone());
        let named: Vec<_> = named.collect();

        for (name, host) in world.hosts.iter().enumerate() {
            let Some(host) = host else { continue };
            let copy = host.table.copy_for(world.now, RowVersion::default());
            let lapsed = copy.map(|copy| copy.lapsed).unwrap_or_default();
            let mut in_use: Vec<_> = host.in_use.values().cloned().collect();
            in_use.sort_by(|a, b| a.id.cmp(&b.id));

            assert_eq!(rows(world, host), stored, "host {name} differs from the store");
            assert_eq!(lapsed, [], "host {name} still has lapsed targets");
            assert_eq!(in_use, named, "host {name} uses other targets than those in the store");
        }
    }

    fn is_in_contact(&self, host: usize, at: Instant) -> bool {
        let lasts = |since: Option<Instant>| since.is_some_and(|since| at.since(since) > CONTACT);

        lasts(self.available_since)
            && lasts(self.fault_free_since[host])
            && self.answered_since.iter().any(|one| lasts(*one))
    }

    /// Checks that no target is still in use too long after it has left.
    fn check_left_targets_unused(&self, world: &World, name: usize, host: &Host, until: Instant) {
        let ready = host.in_use.values().filter(|entry| entry.state == TargetState::Ready);
        // The bound applies only from when the store has been stable.
        let stable_at = self.available_since.map_or(until, |since| since + CONTACT);

        for entry in ready {
            let ended = world.targets.ended(&(entry.id.clone(), entry.born));
            let late = ended.map(|at| until.since(at.max(stable_at)));
            assert!(
                late.is_none_or(|late| late <= DRAIN_BOUND),
                "host {name} uses {} of {}, which left {late:?} ago, at {until:?}",
                entry.id,
                entry.born,
            );
        }
    }

    /// Checks that running targets stay in use while their rows are missing because of an outage.
    fn check_running_targets_used(&self, world: &World, name: usize, host: &Host, until: Instant) {
        let is_in_time =
            self.available_since.is_none_or(|since| until.since(since) <= REWRITE_TIMEOUT);
        let (run, known) = &self.used_at_outage[name];
        if !is_in_time || *run != host.run {
            return;
        }

        for target_run in world.targets.expired().filter(|target_run| known.contains(*target_run)) {
            let is_used =
                host.in_use.get(&target_run.0).is_some_and(|entry| entry.born == target_run.1);
            assert!(is_used, "host {name} dropped {target_run:?}, which still runs, at {until:?}");
        }
    }

    /// Records the targets that hosts use when an outage starts.
    fn record_used_targets(&mut self, world: &World) {
        for (known, host) in self.used_at_outage.iter_mut().zip(&world.hosts) {
            let Some(host) = host else { continue };
            let target_runs = host.in_use.values().map(|entry| (entry.id.clone(), entry.born));

            *known = (host.run, target_runs.collect());
        }
    }
}

/// Returns the rows of a host's copy in the order of their keys.
fn rows(world: &World, host: &Host) -> Vec<EntryRow> {
    let copy = host.table.copy_for(world.now, RowVersion::default());
    let mut rows = copy.and_then(|copy| copy.rows).unwrap_or_default();
    rows.sort_by(|a, b| a.id.cmp(&b.id));

    rows
}

/// Updates the time since which a condition has held.
fn update_since(since: &mut Option<Instant>, now: Instant, holds: bool) {
    match holds {
        true => drop(since.get_or_insert(now)),
        false => *since = None,
    }
}
