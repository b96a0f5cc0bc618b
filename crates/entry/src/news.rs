//! What hosts tell each other several times a second: what they have under way, what came of it,
//! and what they believe of the store.
//!
//! Hosts of an availability zone tell each other more often than those of others. The next call
//! mostly goes to a target of its own zone, and what is in flight there changes within the time
//! of a call; news to all hosts as often would take most of a small host's processor.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use camphorwalk_core::hash::{Map, Set};
use camphorwalk_core::ids::HostId;
use camphorwalk_core::messages::entry::{
    CrashReport, Demand, EntryStatus, InFlight, Prompts, WaitingCalls,
};
use camphorwalk_core::messages::{Body, PeerMessage};
use camphorwalk_core::time::Instant;
use camphorwalk_peer::Peers;
use camphorwalk_policy::entry::prompts::Part;
use camphorwalk_policy::entry::rates::{ReservedShare, TenantStatus};
use tokio::time::sleep;
use tracing::info;

use crate::fleet::{Heard, forget_silent};
use crate::host::Shared;
use crate::{clock, manifests, places};

/// How often a host tells its news to few others. Calls take a fifth of a second; within this time
/// no host can fill a target that others think idle.
const LEAST_PERIOD: Duration = Duration::from_millis(100);

/// What each host that is told adds to that period, so that a host's messages stay under a few
/// hundred a second at any size.
const PERIOD_PER_HOST: Duration = Duration::from_millis(5);

/// How often hosts tell each other of all tenants, not only of those of which something has
/// changed: news that were lost are made up for after this time at the latest. A host that was away
/// or has just started is told of all at once.
const ALL_DEMAND_PERIOD: Duration = Duration::from_secs(10);

/// Returns how often so many hosts are told.
fn period(hosts: usize) -> Duration {
    let hosts = u32::try_from(hosts).unwrap_or(u32::MAX);

    LEAST_PERIOD.max(PERIOD_PER_HOST.saturating_mul(hosts))
}

/// What came up since hosts were told last. All else in the news is as it stands.
#[derive(Clone, Default)]
struct Changes {
    /// The last parts of the prompts that were sent to each target.
    prompts: Map<Box<str>, Vec<Part>>,
    demand: Map<Box<str>, TenantStatus>,
    crashes: Vec<CrashReport>,
}

impl Changes {
    /// Takes what came up at this host since this was called last.
    fn take(shared: &Shared) -> Self {
        Self {
            prompts: shared.targets.borrow_mut().take_updates().into_iter().collect(),
            demand: shared.rates.borrow_mut().take_updates(false).into_iter().collect(),
            crashes: shared.crashes.borrow_mut().take_updates(),
        }
    }

    /// Adds what came up later.
    fn add(&mut self, later: Changes) {
        for (target, parts) in later.prompts {
            self.prompts.entry(target).or_default().extend(parts);
        }
        self.demand.extend(later.demand);
        self.crashes.extend(later.crashes);
    }
}

/// The hosts that were told of all tenants, and have not been silent or started again since.
#[derive(Default)]
pub(crate) struct ToldAll(RefCell<Set<HostId>>);

impl ToldAll {
    /// Takes in that a host may not know what it was told.
    fn forget(&self, host: HostId) {
        self.0.borrow_mut().remove(&host);
    }

    /// Parts hosts into those that were told of all tenants and the others.
    fn part(&self, hosts: Vec<HostId>) -> (Vec<HostId>, Vec<HostId>) {
        let told = self.0.borrow();

        hosts.into_iter().partition(|host| told.contains(host))
    }
}

/// Tells the other hosts what is under way, again and again.
pub(crate) async fn tell(shared: Rc<Shared>, peers: Peers) {
    let mut told_all_demand = Instant(0);
    let mut told_far = Instant(0);
    let mut for_far = Changes::default();

    loop {
        let (near, far) = shared.fleet.by_distance();
        sleep(period(near.len())).await;
        shared.rates.borrow_mut().tick(clock::now());
        forget_silent(&shared);

        let now = clock::now();
        let is_far_due = now.since(told_far) + LEAST_PERIOD / 2 >= period(near.len() + far.len());
        if is_far_due && now.since(told_all_demand) >= ALL_DEMAND_PERIOD {
            told_all_demand = now;
            shared.told_all.0.borrow_mut().clear();
        }

        let changes = Changes::take(&shared);
        for_far.add(changes.clone());
        send(&shared, &peers, near, &changes);
        if is_far_due {
            told_far = now;
            send(&shared, &peers, far, &std::mem::take(&mut for_far));
        }
    }
}

/// Tells hosts what changed, and those that may not know the rest of all tenants.
fn send(shared: &Shared, peers: &Peers, hosts: Vec<HostId>, changes: &Changes) {
    let (told, untold) = shared.told_all.part(hosts);
    let to_all = |hosts: &[HostId], news: EntryStatus| {
        // What is as it stands is told again in the next round. What came up is lost with news that
        // do not go out: prompts are read again, and admitted calls are told as a total.
        hosts
            .iter()
            .filter(|h| peers.send(**h, PeerMessage::from(Body::EntryStatus(news.clone()))))
            .copied()
            .collect::<Vec<_>>()
    };

    if !told.is_empty() {
        to_all(&told, news(shared, changes.clone(), false));
    }
    if !untold.is_empty() {
        let mut all = changes.clone();
        all.demand = shared.rates.borrow_mut().take_updates(true).into_iter().collect();
        let told = to_all(&untold, news(shared, all, true));
        shared.told_all.0.borrow_mut().extend(told);
    }
}

fn news(shared: &Shared, changes: Changes, all_demand: bool) -> EntryStatus {
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
        store_answers: shared.store.answers(),
        store_away: shared.store.is_in_trouble(),
        remembers: shared.remembers(),
        grants_loose: shared.grants_loose(),
        knows_of_loose: shared.knows_of_loose(),
        waiting: waiting
            .map(|(service, calls)| WaitingCalls { service: service.into(), calls })
            .collect(),
        prompts: changes.prompts.into_iter().map(prompts).collect(),
    }
}

fn demand((tenant, news): (Box<str>, TenantStatus)) -> Demand {
    let TenantStatus { admitted, demand, level, reserved, all_hosts_live } = news;

    Demand {
        tenant: tenant.into(),
        per_second: demand,
        admitted,
        level,
        withheld: reserved.share,
        withheld_ms: u32::try_from(reserved.expires_in.as_millis()).unwrap_or(u32::MAX),
        hears_all: all_hosts_live,
    }
}

fn prompts((target, parts): (Box<str>, Vec<Part>)) -> Prompts {
    let (parts, tokens) = parts.into_iter().unzip();

    Prompts { target: target.into(), parts, tokens }
}

/// Takes in the news of another host.
pub(crate) fn take_in(shared: &Rc<Shared>, from: HostId, news: EntryStatus) {
    let now = clock::now();
    let heard = Heard {
        at: now,
        store_answers: news.store_answers,
        run: news.run,
        manifest_version: news.manifest_version,
        remembers: news.remembers,
        knows_of_loose: news.knows_of_loose,
    };
    let has_returned = news.store_answers && !shared.fleet.store_answers(from);
    if shared.fleet.heard(from, heard) {
        shared.told_all.forget(from);
        info!(host = from.0, "fleet: host heard");
    }

    if news.store_away {
        shared.store.away_somewhere(now);
    }
    if has_returned {
        shared.store.returned_elsewhere();
    }

    if news.grants_loose {
        shared.loose_at.set(Some(now));
    }

    let tenants = news.demand.into_iter().map(|d| {
        let reserved = ReservedShare {
            share: d.withheld,
            expires_in: Duration::from_millis(u64::from(d.withheld_ms)),
        };
        let (admitted, demand, level) = (d.admitted, d.per_second, d.level);
        let all_hosts_live = d.hears_all;
        (d.tenant.into(), TenantStatus { admitted, demand, level, reserved, all_hosts_live })
    });
    shared.rates.borrow_mut().apply_update(now, from, news.run, news.all_demand, tenants);
    let in_flight = news.in_flight.into_iter().map(|f| (f.target.into(), f.calls)).collect();
    let waiting = news.waiting.into_iter().map(|w| (w.service.into(), w.calls)).collect();
    shared.targets.borrow_mut().set_remote_load(from, in_flight, waiting);
    take_in_prompts(shared, from, news.prompts);
    for crash in news.crashes {
        shared.crashes.borrow_mut().record_remote(now, crash);
    }

    manifests::heard_version(shared, from, news.manifest_version);
    places::wake_all(shared);
}

fn take_in_prompts(shared: &Shared, from: HostId, prompts: Vec<Prompts>) {
    let mut targets = shared.targets.borrow_mut();
    let mut line_hosts = shared.line_hosts.borrow_mut();

    for Prompts { target, parts, tokens } in prompts {
        parts.iter().for_each(|line| line_hosts.put(*line, from));
        let parts: Vec<Part> = parts.into_iter().zip(tokens).collect();
        targets.record_remote_prompts(&target, &parts);
    }
}
