//! Status updates, which hosts send each other several times a second: calls in flight, tenants'
//! demand, prompts and crashes, and whether the store answers.
//!
//! Who gets which update is decided by `camphorwalk_policy::entry::status_exchange`.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use camphorwalk_core::hash::{Map, Set};
use camphorwalk_core::ids::HostId;
use camphorwalk_core::messages::entry::{
    CrashUpdates, Demand, EntryStatus, ForwardedStatus, ForwardedStatuses, InFlight, SentPrompts,
    StatusRequest, TurnCounts as TurnCountsMessage, WaitingCalls,
};
use camphorwalk_core::messages::{Body, PeerMessage};
use camphorwalk_core::time::Instant;
use camphorwalk_peer::Peers;
use camphorwalk_policy::entry::admission::{AdmissionChanges, RefusedProgram, TurnCounts};
use camphorwalk_policy::entry::grant_leases::PartitionSet;
use camphorwalk_policy::entry::prompts::CachedPart;
use camphorwalk_policy::entry::rates::{Baseline, ReservedShare, TenantStatus};
use camphorwalk_policy::entry::status_exchange::{
    Freshness, Merge, Round, Stamp, UnsentChanges, round_period,
};
use camphorwalk_policy::entry::target_profiles::UnsentWork;
use prost::Message as _;
use tokio::time::sleep;
use tracing::{info, warn};

use crate::fleet::{HostStatus, drop_silent_hosts};
use crate::host::Shared;
use crate::{admission, clock, manifests, places, preferred, target_paces};

/// How often the demand of all tenants is sent instead of only the changes. Lost updates are
/// repaired after this time at the latest. A host that was silent or has just started gets the
/// demand of all tenants at once.
const ALL_DEMAND_PERIOD: Duration = Duration::from_secs(10);

/// What has changed since the last status update. The rest of an update is the current state.
#[derive(Clone, Default)]
struct Changes {
    /// The last part of each prompt that was sent to a target, by target.
    prompts: Map<Box<str>, Vec<CachedPart>>,
    demand: Map<Box<str>, TenantStatus>,
    crashes: CrashUpdates,
    admission: AdmissionChanges,
    /// The events that targets sent.
    work: UnsentWork,
}

impl Changes {
    /// Takes the changes at this host since the previous call.
    fn take(shared: &Shared) -> Self {
        // The borrows of the other fields last until all of them are evaluated.
        let work = target_paces::take_work(shared);

        Self {
            prompts: shared.targets.borrow_mut().take_updates().into_iter().collect(),
            demand: shared.rates.borrow_mut().take_updates(false).into_iter().collect(),
            crashes: shared.crashes.borrow_mut().take_updates(clock::now()),
            admission: shared.admission.borrow_mut().take_changes(clock::now()),
            work,
        }
    }
}

impl Merge for Changes {
    fn merge(&mut self, later: Self) {
        for (target, parts) in later.prompts {
            self.prompts.entry(target).or_default().extend(parts);
        }
        self.demand.extend(later.demand);
        self.crashes.crashes.extend(later.crashes.crashes);
        self.crashes.cleared.extend(later.crashes.cleared);
        self.admission.merge(later.admission);
        self.work.merge(later.work);
    }

    /// Returns the changes without turns and events, which the receivers add up.
    fn into_repeatable(self) -> Self {
        let admission = self.admission.into_repeatable();
        let work = self.work.into_repeatable();

        Self { admission, work, ..self }
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
    fn split(&self, hosts: &[HostId]) -> (Vec<HostId>, Vec<HostId>) {
        let informed = self.0.borrow();

        hosts.iter().partition(|host| informed.contains(host))
    }
}

/// Periodically sends status updates to the other hosts.
pub(crate) async fn broadcast(shared: Rc<Shared>, peers: Peers) {
    let mut all_demand_sent_at = Instant(0);
    let mut unsent = UnsentChanges::<Changes>::default();

    loop {
        let (near, far) = shared.fleet.sizes();
        sleep(round_period(near, far)).await;
        let now = clock::now();
        shared.rates.borrow_mut().tick(now);
        admission::tick(&shared, now);
        drop_silent_hosts(&shared);
        if now.since(all_demand_sent_at) >= ALL_DEMAND_PERIOD {
            all_demand_sent_at = now;
            shared.full_demand_receivers.0.borrow_mut().clear();
        }

        let round = shared.fleet.with_members(|members| {
            shared.status_exchange.borrow_mut().begin_round(now, &shared.settings.zone, members)
        });
        let mut changes = unsent.split(&round, Changes::take(&shared));
        changes.far.admission = changes.far.admission.for_other_zones();
        send(&shared, &peers, &round.near, &changes.near);
        send(&shared, &peers, &round.far, &changes.far);
        send_to_forwarders(&shared, &peers, &round, changes.forwarded);
        forward(&shared, &peers);
        let incomplete = shared.status_exchange.borrow_mut().take_requests(now);
        if !incomplete.is_empty() {
            info!(hosts = incomplete.len(), "fleet: changes missed, all demand requested");
        }
        peers.send_to_all(&incomplete, &PeerMessage::from(Body::StatusRequest(StatusRequest {})));
    }
}

/// Sends a status update to the hosts that forward it.
fn send_to_forwarders(shared: &Shared, peers: &Peers, round: &Round, mut changes: Changes) {
    if round.forwarders.is_empty() {
        return;
    }
    if round.is_full {
        changes.demand = shared.rates.borrow().all_statuses().into_iter().collect();
        changes.crashes.crashes = shared.crashes.borrow().own_reports(clock::now());
    }
    let near_zone = shared.fleet.zone_hosts();
    let own_id = shared.fleet.own_id();
    let (near, far): (Vec<_>, Vec<_>) =
        round.forwarders.iter().partition(|host| **host == own_id || near_zone.contains(host));
    let mut far_changes = changes.clone();
    far_changes.admission = far_changes.admission.for_other_zones();
    let is_same = changes.admission.refused.is_empty();
    let for_near = forwarded_update(shared, changes, round);
    let for_far = match is_same {
        true => for_near.clone(),
        false => forwarded_update(shared, far_changes, round),
    };

    let others: Vec<_> = near.iter().copied().filter(|host| *host != own_id).collect();
    if others.len() < near.len() {
        shared.status_exchange.borrow_mut().queue_own(for_near.clone());
    }
    peers.send_to_all(&others, &PeerMessage::from(Body::ForwardedStatus(for_near)));
    peers.send_to_all(&far, &PeerMessage::from(Body::ForwardedStatus(for_far)));
}

fn forwarded_update(shared: &Shared, changes: Changes, round: &Round) -> ForwardedStatus {
    let mut update = status_update(shared, changes, round.is_full);
    update.changes_since = round.changes_since;

    ForwardedStatus {
        host: shared.fleet.own_id().0,
        run: update.run,
        sequence: update.sequence,
        changes_since: update.changes_since,
        all_demand: update.all_demand,
        sent_us: clock::now().0,
        status: update.encode_to_vec().into(),
        started_ms: shared.started_ms,
    }
}

/// Forwards the updates of other hosts within this host's zone.
fn forward(shared: &Shared, peers: &Peers) {
    let updates = shared.status_exchange.borrow_mut().take_queue();
    if updates.is_empty() {
        return;
    }
    let message = PeerMessage::from(Body::ForwardedStatuses(ForwardedStatuses { updates }));

    peers.send_to_all(&shared.fleet.zone_hosts(), &message);
}

/// Sends a host the demand of all tenants, which it has requested.
pub(crate) fn send_all(shared: &Shared, to: HostId) {
    let demand = shared.rates.borrow().all_statuses();
    let crashes = shared.crashes.borrow().own_reports(clock::now());
    let crashes = CrashUpdates { crashes, ..CrashUpdates::default() };
    let changes = Changes { demand: demand.into_iter().collect(), crashes, ..Changes::default() };

    shared.fleet.send(to, Body::EntryStatus(status_update(shared, changes, true)));
}

/// Sends a status update to some hosts, with the demand of all tenants to those that may not know
/// it.
fn send(shared: &Shared, peers: &Peers, hosts: &[HostId], changes: &Changes) {
    let (informed, uninformed) = shared.full_demand_receivers.split(hosts);
    // The current state is sent again in the next round. The changes in an update that cannot be
    // sent are lost. That is harmless: a target may process a prompt again, and admitted calls are
    // counted as a running total.
    let send_to = |hosts: &[HostId], update: EntryStatus| {
        peers.send_to_all(hosts, &PeerMessage::from(Body::EntryStatus(update)))
    };

    if !informed.is_empty() {
        send_to(&informed, status_update(shared, changes.clone(), false));
    }
    if !uninformed.is_empty() {
        let mut all = changes.clone();
        all.demand = shared.rates.borrow_mut().take_updates(true).into_iter().collect();
        all.crashes.crashes = shared.crashes.borrow().own_reports(clock::now());
        let informed = send_to(&uninformed, status_update(shared, all, true));
        shared.full_demand_receivers.0.borrow_mut().extend(informed);
    }
}

fn status_update(shared: &Shared, changes: Changes, all_demand: bool) -> EntryStatus {
    let targets = shared.targets.borrow();
    let in_flight = targets.in_flight();
    let refused = changes.admission.refused.into_iter();
    let now = clock::now();

    EntryStatus {
        run: shared.run.0,
        all_demand,
        demand: changes.demand.into_iter().map(demand).collect(),
        in_flight: in_flight
            .map(|(target, calls)| InFlight { target: target.into(), calls })
            .collect(),
        manifest_version: shared.manifest_version(),
        crashes: Some(changes.crashes).filter(|c| *c != CrashUpdates::default()).map(Box::new),
        store_answers: shared.store.is_available(),
        store_away: shared.store.reports_trouble(),
        grant_leases: shared.grant_leases.borrow().reported().numbers().collect(),
        claims_leases: shared.grant_leases.borrow().can_claim(clock::now()),
        waiting: waiting_calls(shared),
        prompts: changes.prompts.into_iter().map(prompts).collect(),
        sequence: shared.status_exchange.borrow().sequence(),
        changes_since: 0,
        turns: changes.admission.turns.into_iter().map(turns).collect(),
        refused_programs: refused.map(|program| program.to_report(now)).collect(),
        target_events: target_paces::target_events(changes.work),
    }
}

/// Returns how many calls at this host wait for a place, by service.
pub(crate) fn waiting_calls(shared: &Shared) -> Vec<WaitingCalls> {
    let waiting = shared.places.waiting().into_iter();

    waiting.map(|(service, calls)| WaitingCalls { service: service.into(), calls }).collect()
}

fn demand((tenant, update): (Box<str>, TenantStatus)) -> Demand {
    let TenantStatus { admitted, programs, demand, level, reserved, is_level_exact } = update;

    Demand {
        tenant: tenant.into(),
        per_second: demand,
        admitted,
        level,
        withheld: reserved.share,
        withheld_ms: u32::try_from(reserved.expires_in.as_millis()).unwrap_or(u32::MAX),
        hears_all: is_level_exact,
        programs,
    }
}

fn turns((service, counts): (Box<str>, TurnCounts)) -> TurnCountsMessage {
    let TurnCounts { turns, late } = counts;

    TurnCountsMessage { service: service.into(), turns, late }
}

fn prompts((target, parts): (Box<str>, Vec<CachedPart>)) -> SentPrompts {
    let (parts, tokens) = parts.into_iter().unzip();

    SentPrompts { target: target.into(), parts, tokens }
}

/// Handles a status update that another host has sent to this one.
pub(crate) fn receive(shared: &Rc<Shared>, from: HostId, update: EntryStatus) {
    let stamp = Stamp {
        run: update.run,
        sequence: update.sequence,
        changes_since: update.changes_since,
        is_full: update.all_demand,
        started_ms: 0,
        sent_at: None,
    };
    let now = clock::now();
    let freshness = shared.status_exchange.borrow_mut().record_direct(now, from, stamp);

    if freshness != Freshness::Old {
        apply_update(shared, from, update, now);
        places::assign_all_places(shared);
    }
}

/// Handles status updates that another host forwards.
pub(crate) fn receive_forwarded(shared: &Rc<Shared>, statuses: ForwardedStatuses) {
    for update in statuses.updates {
        let (now, host) = (clock::now(), HostId(update.host));
        let mut exchange = shared.status_exchange.borrow_mut();
        let freshness = exchange.record_forwarded(now, host, stamp_of(&update));
        drop(exchange);
        if let Freshness::New(age) = freshness {
            apply_forwarded(shared, &update, now - age);
        }
    }
    places::assign_all_places(shared);
}

/// Handles a status update that another host has sent to be forwarded within this host's zone.
pub(crate) fn receive_for_zone(shared: &Rc<Shared>, from: HostId, update: ForwardedStatus) {
    if update.host != from.0 {
        warn!(from = from.0, host = update.host, "fleet: status of a third host dropped");
        return;
    }
    let (now, stamp) = (clock::now(), stamp_of(&update));
    let mut exchange = shared.status_exchange.borrow_mut();
    let freshness = exchange.record_for_zone(now, from, stamp, update.clone());
    drop(exchange);

    if let Freshness::New(age) = freshness {
        apply_forwarded(shared, &update, now - age);
        places::assign_all_places(shared);
    }
}

fn stamp_of(update: &ForwardedStatus) -> Stamp {
    Stamp {
        run: update.run,
        sequence: update.sequence,
        changes_since: update.changes_since,
        is_full: update.all_demand,
        started_ms: update.started_ms,
        sent_at: Some(Instant(update.sent_us)),
    }
}

/// Applies a status update that has been forwarded, which was sent at `sent_at`.
fn apply_forwarded(shared: &Rc<Shared>, update: &ForwardedStatus, sent_at: Instant) {
    let host = HostId(update.host);

    match EntryStatus::decode(update.status.clone()) {
        Ok(status) => apply_update(shared, host, status, sent_at),
        Err(e) => warn!(host = host.0, error = %e, "fleet: unreadable status update dropped"),
    }
}

/// Applies a status update of another host, which it sent at `sent_at`.
fn apply_update(shared: &Rc<Shared>, from: HostId, update: EntryStatus, sent_at: Instant) {
    let now = clock::now();
    let status = HostStatus {
        received_at: sent_at,
        store_answers: update.store_answers,
        run: update.run,
        manifest_version: update.manifest_version,
        grant_leases: PartitionSet::from_numbers(&update.grant_leases),
        claims_leases: update.claims_leases,
        forwards: update.sequence > 0,
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
        let status = TenantStatus {
            admitted: d.admitted,
            programs: d.programs,
            demand: d.per_second,
            level: d.level,
            reserved,
            is_level_exact: d.hears_all,
        };
        (d.tenant.into(), status)
    });
    let baseline = shared.rates.borrow_mut().apply_update(
        sent_at,
        from,
        update.run,
        update.all_demand,
        tenants,
    );
    if baseline == Baseline::Missing && update.sequence > 0 {
        shared.status_exchange.borrow_mut().want_all(from);
    }
    preferred::record_heard(shared, from, sent_at);
    if preferred::permits_load(shared, from, update.run, sent_at) {
        apply_load(shared, from, update.in_flight, update.waiting);
    }
    apply_prompts(shared, from, update.prompts);
    target_paces::apply(shared, now, update.target_events);
    if let Some(crashes) = update.crashes {
        apply_crashes(shared, &crashes, sent_at);
    }
    if shared.settings.features.fair_admission {
        apply_admission(shared, update.turns, update.refused_programs, sent_at);
    }

    manifests::handle_reported_version(shared, from, update.manifest_version);
}

/// Applies the crashes that another host saw, and the suspects that it found to be innocent.
fn apply_crashes(shared: &Shared, updates: &CrashUpdates, sent_at: Instant) {
    let now = clock::now();
    let mut crashes = shared.crashes.borrow_mut();

    for report in &updates.crashes {
        crashes.record_remote(now, sent_at, report);
    }
    for call in &updates.cleared {
        crashes.record_remote_completed(now, *call);
    }
}

/// Applies what another host reports of running and of refused programs.
fn apply_admission(
    shared: &Shared,
    turns: Vec<TurnCountsMessage>,
    refused: Vec<u64>,
    sent_at: Instant,
) {
    let now = clock::now();
    let mut admission = shared.admission.borrow_mut();

    for TurnCountsMessage { service, turns, late } in turns {
        admission.record_remote_turns(&service, TurnCounts { turns, late });
    }
    for report in refused {
        admission.record_remote_refusal(now, RefusedProgram::from_report(report, sent_at));
    }
}

/// Applies the calls in flight and the waiting calls of another host.
pub(crate) fn apply_load(
    shared: &Shared,
    from: HostId,
    in_flight: Vec<InFlight>,
    waiting: Vec<WaitingCalls>,
) {
    let in_flight = in_flight.into_iter().map(|f| (f.target.into(), f.calls)).collect();
    let waiting = waiting.into_iter().map(|w| (w.service.into(), w.calls)).collect();

    shared.targets.borrow_mut().set_remote_load(from, in_flight, waiting);
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
