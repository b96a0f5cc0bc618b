//! Status updates, which hosts send each other several times a second: calls in flight, tenants'
//! demand, prompts and crashes, and whether the store answers.
//!
//! Hosts of the same availability zone are updated more often than the others. A call mostly goes
//! to a target of its own zone, where the load changes within the duration of a call. Updating all
//! hosts as often would take most of the processor time of a small host.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use camphorwalk_core::hash::{Map, Set};
use camphorwalk_core::ids::HostId;
use camphorwalk_core::messages::entry::{
    CrashReport, Demand, EntryStatus, InFlight, SentPrompts, WaitingCalls,
};
use camphorwalk_core::messages::{Body, PeerMessage};
use camphorwalk_core::time::Instant;
use camphorwalk_peer::Peers;
use camphorwalk_policy::entry::grant_leases::PartitionSet;
use camphorwalk_policy::entry::prompts::CachedPart;
use camphorwalk_policy::entry::rates::{ReservedShare, TenantStatus};
use tokio::time::sleep;
use tracing::info;

use crate::fleet::{HostStatus, drop_silent_hosts};
use crate::host::Shared;
use crate::{clock, manifests, places};

/// The shortest period of status updates. A call takes about a fifth of a second, so the other
/// hosts know of it while it still runs, and do not take a full target for an idle one.
const MIN_PERIOD: Duration = Duration::from_millis(100);

/// The period is at least this long for each receiver, so that a host sends no more than a few
/// hundred messages a second in a fleet of any size.
const PERIOD_PER_HOST: Duration = Duration::from_millis(5);

/// How often the demand of all tenants is sent instead of only the changes. Lost updates are
/// repaired after this time at the latest. A host that was silent or has just started gets the
/// demand of all tenants at once.
const ALL_DEMAND_PERIOD: Duration = Duration::from_secs(10);

/// Returns the period of status updates to this many hosts.
fn period(hosts: usize) -> Duration {
    let hosts = u32::try_from(hosts).unwrap_or(u32::MAX);

    MIN_PERIOD.max(PERIOD_PER_HOST.saturating_mul(hosts))
}

/// What has changed since the last status update. The rest of an update is the current state.
#[derive(Clone, Default)]
struct Changes {
    /// The last part of each prompt that was sent to a target, by target.
    prompts: Map<Box<str>, Vec<CachedPart>>,
    demand: Map<Box<str>, TenantStatus>,
    crashes: Vec<CrashReport>,
}

impl Changes {
    /// Takes the changes at this host since the previous call.
    fn take(shared: &Shared) -> Self {
        Self {
            prompts: shared.targets.borrow_mut().take_updates().into_iter().collect(),
            demand: shared.rates.borrow_mut().take_updates(false).into_iter().collect(),
            crashes: shared.crashes.borrow_mut().take_updates(),
        }
    }

    /// Adds changes that came later.
    fn add(&mut self, later: Changes) {
        for (target, parts) in later.prompts {
            self.prompts.entry(target).or_default().extend(parts);
        }
        self.demand.extend(later.demand);
        self.crashes.extend(later.crashes);
    }
}

/// The other hosts that have received the demand of all tenants within the current
/// [`ALL_DEMAND_PERIOD`], and have not been silent or restarted since.
#[derive(Default)]
pub(crate) struct FullDemandReceivers(RefCell<Set<HostId>>);

impl FullDemandReceivers {
    /// Removes a host that may have missed earlier updates.
    fn remove(&self, host: HostId) {
        self.0.borrow_mut().remove(&host);
    }

    /// Splits hosts into those that have received the demand of all tenants, and the others.
    fn split(&self, hosts: Vec<HostId>) -> (Vec<HostId>, Vec<HostId>) {
        let informed = self.0.borrow();

        hosts.into_iter().partition(|host| informed.contains(host))
    }
}

/// Periodically sends status updates to the other hosts.
pub(crate) async fn broadcast(shared: Rc<Shared>, peers: Peers) {
    let mut all_demand_sent_at = Instant(0);
    let mut far_sent_at = Instant(0);
    let mut far_changes = Changes::default();

    loop {
        let (near, far) = shared.fleet.split_by_zone();
        sleep(period(near.len())).await;
        shared.rates.borrow_mut().tick(clock::now());
        drop_silent_hosts(&shared);

        let now = clock::now();
        let is_far_due = now.since(far_sent_at) + MIN_PERIOD / 2 >= period(near.len() + far.len());
        if is_far_due && now.since(all_demand_sent_at) >= ALL_DEMAND_PERIOD {
            all_demand_sent_at = now;
            shared.full_demand_receivers.0.borrow_mut().clear();
        }

        let changes = Changes::take(&shared);
        far_changes.add(changes.clone());
        send(&shared, &peers, near, &changes);
        if is_far_due {
            far_sent_at = now;
            send(&shared, &peers, far, &std::mem::take(&mut far_changes));
        }
    }
}

/// Sends a status update to some hosts, with the demand of all tenants to those that may not know
/// it.
fn send(shared: &Shared, peers: &Peers, hosts: Vec<HostId>, changes: &Changes) {
    let (informed, uninformed) = shared.full_demand_receivers.split(hosts);
    let send_to = |hosts: &[HostId], update: EntryStatus| {
        // The current state is sent again in the next round. The changes in an update that cannot
        // be sent are lost. That is harmless: a target may process a prompt again, and admitted
        // calls are counted as a running total.
        hosts
            .iter()
            .filter(|h| peers.send(**h, PeerMessage::from(Body::EntryStatus(update.clone()))))
            .copied()
            .collect::<Vec<_>>()
    };

    if !informed.is_empty() {
        send_to(&informed, status_update(shared, changes.clone(), false));
    }
    if !uninformed.is_empty() {
        let mut all = changes.clone();
        all.demand = shared.rates.borrow_mut().take_updates(true).into_iter().collect();
        let informed = send_to(&uninformed, status_update(shared, all, true));
        shared.full_demand_receivers.0.borrow_mut().extend(informed);
    }
}

fn status_update(shared: &Shared, changes: Changes, all_demand: bool) -> EntryStatus {
    let targets = shared.targets.borrow();
    let waiting = shared.places.waiting().into_iter();
    let in_flight = targets.in_flight();

    EntryStatus {
        run: shared.run.0,
        all_demand,
        demand: changes.demand.into_iter().map(demand).collect(),
        in_flight: in_flight
            .map(|(target, calls)| InFlight { target: target.into(), calls })
            .collect(),
        manifest_version: shared.manifest_version(),
        crashes: changes.crashes,
        store_answers: shared.store.is_available(),
        store_away: shared.store.reports_trouble(),
        grant_leases: shared.grant_leases.borrow().reported().numbers().collect(),
        claims_leases: shared.grant_leases.borrow().can_claim(clock::now()),
        waiting: waiting
            .map(|(service, calls)| WaitingCalls { service: service.into(), calls })
            .collect(),
        prompts: changes.prompts.into_iter().map(prompts).collect(),
    }
}

fn demand((tenant, update): (Box<str>, TenantStatus)) -> Demand {
    let TenantStatus { admitted, demand, level, reserved, is_level_exact } = update;

    Demand {
        tenant: tenant.into(),
        per_second: demand,
        admitted,
        level,
        withheld: reserved.share,
        withheld_ms: u32::try_from(reserved.expires_in.as_millis()).unwrap_or(u32::MAX),
        hears_all: is_level_exact,
    }
}

fn prompts((target, parts): (Box<str>, Vec<CachedPart>)) -> SentPrompts {
    let (parts, tokens) = parts.into_iter().unzip();

    SentPrompts { target: target.into(), parts, tokens }
}

/// Applies a status update of another host.
pub(crate) fn apply_update(shared: &Rc<Shared>, from: HostId, update: EntryStatus) {
    let now = clock::now();
    let status = HostStatus {
        received_at: now,
        store_answers: update.store_answers,
        run: update.run,
        manifest_version: update.manifest_version,
        grant_leases: PartitionSet::from_numbers(&update.grant_leases),
        claims_leases: update.claims_leases,
    };
    let has_recovered = update.store_answers && !shared.fleet.store_answers(from);
    if shared.fleet.record_status(from, status) {
        shared.full_demand_receivers.remove(from);
        info!(host = from.0, "fleet: host heard");
    }

    if update.store_away {
        shared.store.record_trouble(now);
    }
    if has_recovered {
        shared.store.record_recovery_elsewhere();
    }

    let tenants = update.demand.into_iter().map(|d| {
        let reserved = ReservedShare {
            share: d.withheld,
            expires_in: Duration::from_millis(u64::from(d.withheld_ms)),
        };
        let (admitted, demand, level) = (d.admitted, d.per_second, d.level);
        let is_level_exact = d.hears_all;
        (d.tenant.into(), TenantStatus { admitted, demand, level, reserved, is_level_exact })
    });
    shared.rates.borrow_mut().apply_update(now, from, update.run, update.all_demand, tenants);
    let in_flight = update.in_flight.into_iter().map(|f| (f.target.into(), f.calls)).collect();
    let waiting = update.waiting.into_iter().map(|w| (w.service.into(), w.calls)).collect();
    shared.targets.borrow_mut().set_remote_load(from, in_flight, waiting);
    apply_prompts(shared, from, update.prompts);
    for crash in update.crashes {
        shared.crashes.borrow_mut().record_remote(now, crash);
    }

    manifests::handle_reported_version(shared, from, update.manifest_version);
    places::assign_all_places(shared);
}

fn apply_prompts(shared: &Shared, from: HostId, prompts: Vec<SentPrompts>) {
    let mut targets = shared.targets.borrow_mut();
    let mut conversation_hosts = shared.conversation_hosts.borrow_mut();

    for SentPrompts { target, parts, tokens } in prompts {
        parts.iter().for_each(|part| conversation_hosts.put(*part, from));
        let parts: Vec<CachedPart> = parts.into_iter().zip(tokens).collect();
        targets.record_remote_prompts(&target, &parts);
    }
}
