//! Preferred targets: which hosts share them, load notices to those hosts, and silent zones.

use std::cell::RefCell;
use std::rc::Rc;

use camphorwalk_core::ids::HostId;
use camphorwalk_core::messages::entry::{InFlight, LoadNotice};
use camphorwalk_core::messages::{Body, PeerMessage};
use camphorwalk_core::time::Instant;
use camphorwalk_peer::Peers;
use camphorwalk_policy::entry::load_notices::{LoadNotices, period};
use camphorwalk_policy::entry::placement::{PlacementRequest, TargetKey};
use camphorwalk_policy::entry::zone_contact::ZoneContact;
use tokio::time::sleep;
use tracing::info;

use crate::host::Shared;
use crate::{clock, places, status_updates};

/// What a host with preferred targets knows of other hosts.
#[derive(Default)]
pub(crate) struct Neighbours {
    notices: RefCell<LoadNotices>,
    zones: RefCell<ZoneContact>,
}

/// Returns whether the host prefers some targets to others.
fn is_active(shared: &Shared) -> bool {
    shared.settings.features.preferred_targets.is_some()
}

/// Lets a host prefer as many targets as its settings say.
pub(crate) fn configure(shared: &Shared) {
    if let Some(wanted) = shared.settings.features.preferred_targets {
        shared.targets.borrow_mut().prefer_targets(wanted, shared.fleet.own_id());
    }
}

/// Starts to send load notices, and to watch for silent zones.
pub(crate) fn start(shared: &Rc<Shared>, peers: Peers) {
    if is_active(shared) {
        tokio::task::spawn_local(run(Rc::clone(shared), peers));
    }
}

async fn run(shared: Rc<Shared>, peers: Peers) {
    let mut last = LoadNotice { run: shared.run.0, ..LoadNotice::default() };

    loop {
        let receivers = shared.targets.borrow().notice_receivers().len();
        sleep(period(receivers)).await;
        log_group_changes(&shared);
        update_silent_zones(&shared);
        send_notice(&shared, &peers, &mut last);
    }
}

fn log_group_changes(shared: &Shared) {
    for (service, group) in shared.targets.borrow_mut().take_group_changes() {
        info!(
            service = &*service,
            group = group.index,
            groups = group.groups,
            preferred = group.preferred,
            targets = group.targets,
            hosts = group.hosts,
            fingerprint = format!("{:016x}", group.fingerprint),
            "place: preferred targets changed"
        );
    }
}

fn update_silent_zones(shared: &Rc<Shared>) {
    let mut zones = shared.neighbours.zones.borrow_mut();
    let Some(silent) = zones.update(clock::now()) else { return };
    info!(?silent, "place: silent zones changed");
    shared.targets.borrow_mut().set_silent_zones(silent.clone());
    drop(zones);

    places::assign_all_places(shared);
}

/// Sends the load of this host to the live hosts of its groups, unless it is the same as in the
/// `last` notice.
fn send_notice(shared: &Shared, peers: &Peers, last: &mut LoadNotice) {
    let targets = shared.targets.borrow();
    let receivers = targets.notice_receivers();
    if receivers.is_empty() {
        return;
    }
    let calls = targets.in_flight();
    let in_flight: Vec<_> =
        calls.map(|(target, calls)| InFlight { target: target.into(), calls }).collect();
    let waiting = status_updates::waiting_calls(shared);
    if (&in_flight, &waiting) == (&last.in_flight, &last.waiting) {
        return;
    }

    *last = LoadNotice { run: last.run, sequence: last.sequence + 1, in_flight, waiting };
    let is_live = |host: &HostId| shared.fleet.is_live(*host);
    let live: Vec<_> = receivers.iter().copied().filter(is_live).collect();
    let message = PeerMessage::from(Body::LoadNotice(last.clone()));
    let sent = peers.send_to_all(&live, &message).len();
    shared.metrics.load_notices.with_label_values(&["sent"]).inc_by(sent as u64);
}

/// Handles a load notice of another host.
pub(crate) fn receive(shared: &Rc<Shared>, from: HostId, notice: LoadNotice) {
    if !is_active(shared) {
        return;
    }
    let LoadNotice { run, sequence, in_flight, waiting } = notice;
    let run_of_status = shared.fleet.run_of(from);
    let mut notices = shared.neighbours.notices.borrow_mut();
    let is_new = notices.record(clock::now(), from, run, sequence, run_of_status);
    drop(notices);
    let outcome = if is_new { "applied" } else { "ignored" };
    shared.metrics.load_notices.with_label_values(&[outcome]).inc();

    if is_new {
        status_updates::apply_load(shared, from, in_flight, waiting);
        places::assign_all_places(shared);
    }
}

/// Returns whether the load in a status update counts that another host sent at `sent_at`.
pub(crate) fn permits_load(shared: &Shared, from: HostId, run: u64, sent_at: Instant) -> bool {
    shared.neighbours.notices.borrow().permits_status(sent_at, from, run)
}

/// Records that another host sent a status update at `sent_at`.
pub(crate) fn record_heard(shared: &Shared, from: HostId, sent_at: Instant) {
    if !is_active(shared) {
        return;
    }
    if let Some(zone) = shared.fleet.zone_of(from) {
        shared.neighbours.zones.borrow_mut().record_heard(&zone, sent_at);
    }
}

/// Applies the known hosts, after their rows were read.
pub(crate) fn apply_known_hosts(shared: &Shared) {
    if !is_active(shared) {
        return;
    }
    shared.targets.borrow_mut().set_zone_hosts(shared.fleet.zone_hosts());
    shared.neighbours.notices.borrow_mut().retain(|host| shared.fleet.zone_of(host).is_some());
    shared.fleet.with_members(|members| {
        let zones = members.iter().map(|member| member.zone);
        let others = zones.filter(|zone| **zone != *shared.settings.zone);
        shared.neighbours.zones.borrow_mut().set_known(clock::now(), others);
    });
}

/// Counts a place that a call takes, by why its target was chosen.
pub(crate) fn count_placement(shared: &Shared, key: TargetKey, placement: &PlacementRequest) {
    if let Some(kind) = shared.targets.borrow().placement_kind(key, placement) {
        shared.metrics.placements.with_label_values(&[kind.name()]).inc();
    }
}
