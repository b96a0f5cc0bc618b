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
    CrashNews, Demand, EntryNews, InFlight, Prompts, WaitingCalls,
};
use camphorwalk_core::messages::{Body, PeerMessage};
use camphorwalk_core::time::Instant;
use camphorwalk_peer::Peers;
use camphorwalk_policy::entry::prompts::Part;
use camphorwalk_policy::entry::rates::{TenantNews, Withheld};
use tokio::time::sleep;
use tracing::info;

use crate::fleet::{Heard, forget_silent};
use crate::host::Shared;
use crate::{clock, manifests, places};

/// The shortest period of status updates. A call takes about a fifth of a second, so no host can
/// fill a target within this period while the others still think it idle.
const LEAST_PERIOD: Duration = Duration::from_millis(100);

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

    LEAST_PERIOD.max(PERIOD_PER_HOST.saturating_mul(hosts))
}

/// What has changed since the last status update. The rest of an update is the current state.
#[derive(Clone, Default)]
struct Changes {
    /// The last part of each prompt that was sent to a target, by target.
    prompts: Map<Box<str>, Vec<Part>>,
    demand: Map<Box<str>, TenantNews>,
    crashes: Vec<CrashNews>,
}

impl Changes {
    /// Takes the changes at this host since the previous call.
    fn take(shared: &Shared) -> Self {
        Self {
            prompts: shared.targets.borrow_mut().take_news().into_iter().collect(),
            demand: shared.rates.borrow_mut().take_news(false).into_iter().collect(),
            crashes: shared.crashes.borrow_mut().take_news(),
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

/// The hosts that have received the demand of all tenants, and have not been silent or restarted
/// since.
#[derive(Default)]
pub(crate) struct ToldAll(RefCell<Set<HostId>>);

impl ToldAll {
    /// Removes a host that may have missed earlier updates.
    fn forget(&self, host: HostId) {
        self.0.borrow_mut().remove(&host);
    }

    /// Splits hosts into those that have received the demand of all tenants, and the others.
    fn part(&self, hosts: Vec<HostId>) -> (Vec<HostId>, Vec<HostId>) {
        let told = self.0.borrow();

        hosts.into_iter().partition(|host| told.contains(host))
    }
}

/// Periodically sends status updates to the other hosts.
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

/// Sends a status update to some hosts, with the demand of all tenants to those that may not know
/// it.
fn send(shared: &Shared, peers: &Peers, hosts: Vec<HostId>, changes: &Changes) {
    let (told, untold) = shared.told_all.part(hosts);
    let to_all = |hosts: &[HostId], news: EntryNews| {
        // The current state is sent again in the next round. The changes in an update that cannot
        // be sent are lost. That is harmless: a target may process a prompt again, and admitted
        // calls are counted as a running total.
        hosts
            .iter()
            .filter(|h| peers.send(**h, PeerMessage::from(Body::EntryNews(news.clone()))))
            .copied()
            .collect::<Vec<_>>()
    };

    if !told.is_empty() {
        to_all(&told, news(shared, changes.clone(), false));
    }
    if !untold.is_empty() {
        let mut all = changes.clone();
        all.demand = shared.rates.borrow_mut().take_news(true).into_iter().collect();
        let told = to_all(&untold, news(shared, all, true));
        shared.told_all.0.borrow_mut().extend(told);
    }
}

fn news(shared: &Shared, changes: Changes, all_demand: bool) -> EntryNews {
    let targets = shared.targets.borrow();
    let waiting = shared.places.waiting().into_iter();
    let in_flight = targets.in_flight();

    EntryNews {
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

fn demand((tenant, news): (Box<str>, TenantNews)) -> Demand {
    let TenantNews { admitted, demand, level, withheld, hears_all } = news;

    Demand {
        tenant: tenant.into(),
        per_second: demand,
        admitted,
        level,
        withheld: withheld.share,
        withheld_ms: u32::try_from(withheld.left.as_millis()).unwrap_or(u32::MAX),
        hears_all,
    }
}

fn prompts((target, parts): (Box<str>, Vec<Part>)) -> Prompts {
    let (parts, tokens) = parts.into_iter().unzip();

    Prompts { target: target.into(), parts, tokens }
}

/// Applies a status update of another host.
pub(crate) fn take_in(shared: &Rc<Shared>, from: HostId, news: EntryNews) {
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
        let withheld =
            Withheld { share: d.withheld, left: Duration::from_millis(u64::from(d.withheld_ms)) };
        let (admitted, demand, level) = (d.admitted, d.per_second, d.level);
        let hears_all = d.hears_all;
        (d.tenant.into(), TenantNews { admitted, demand, level, withheld, hears_all })
    });
    shared.rates.borrow_mut().hear(now, from, news.run, news.all_demand, tenants);
    let in_flight = news.in_flight.into_iter().map(|f| (f.target.into(), f.calls)).collect();
    let waiting = news.waiting.into_iter().map(|w| (w.service.into(), w.calls)).collect();
    shared.targets.borrow_mut().hear(from, in_flight, waiting);
    take_in_prompts(shared, from, news.prompts);
    for crash in news.crashes {
        shared.crashes.borrow_mut().hear(now, crash);
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
        targets.learn(&target, &parts);
    }
}
