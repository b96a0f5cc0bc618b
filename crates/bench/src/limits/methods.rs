//! The ways of limiting that are compared: lent slices, a static split, a leased counter.

use std::collections::BTreeMap;

use camphorwalk_core::messages::slices::{SliceBody, SliceMessage, TakeAnswer, TakeRequest};
use rand::rngs::SmallRng;
use rand::{Rng as _, SeedableRng as _};
use serde::Serialize;

use super::bucket::ExactBucket;
use super::fleet::{Fleet, SECOND, Traffic};
use super::scenario::{Call, LEAVING, NOTICED, Plan, RESTART, Scenario, WARM_UP};

/// The lease of a leased counter, as long as that of a column.
const LEASE: u64 = 4 * SECOND;

/// A way of limiting.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Method {
    /// Lent slices, as the product does.
    Slices,
    /// Each host has an equal part of each rate and burst.
    StaticSplit,
    /// One host has each tenant's counter, under a lease of the platform.
    LeasedCounter,
}

/// What came of a plan.
#[derive(Clone, Debug, Default)]
pub(super) struct Outcome {
    /// When tokens were taken, by the tenant's place in the configuration.
    pub(super) taken: BTreeMap<usize, Vec<u64>>,
    /// When callers heard that they were admitted.
    pub(super) admitted: BTreeMap<usize, Vec<u64>>,
    /// What all hosts sent and received since the first call.
    pub(super) traffic: Traffic,
}

impl Method {
    /// Returns the methods that a scenario is run with.
    ///
    /// ```
    /// use camphorwalk_bench::limits::{Method, Scenario};
    /// assert_eq!(Method::of(Scenario::ZoneCut).len(), 3);
    /// ```
    pub fn of(scenario: Scenario) -> &'static [Self] {
        match scenario {
            Scenario::RollingRestart => &[Self::Slices],
            _ => &[Self::Slices, Self::StaticSplit, Self::LeasedCounter],
        }
    }
}

/// Runs a plan.
pub(super) fn run(method: Method, plan: &Plan) -> Outcome {
    match method {
        Method::Slices => slices(plan),
        Method::StaticSplit => static_split(plan),
        Method::LeasedCounter => leased_counter(plan),
    }
}

/// Admits what one exact bucket for each tenant admits: the measure of wrongful refusals.
pub(super) fn exact(plan: &Plan) -> BTreeMap<usize, Vec<u64>> {
    let whole = |call: &Call| {
        let tenant = &plan.cfg.tenants[call.tenant];
        Part { key: 0, rate: tenant.rate_per_second, burst: tenant.burst, empty_at: None }
    };

    take_each(&plan.calls, whole)
}

/// The bucket that a call draws on.
#[derive(Clone, Copy, Debug)]
struct Part {
    /// Which one of its tenant's.
    key: usize,
    rate: f64,
    burst: u32,
    /// When it was empty, if it was not full at the start.
    empty_at: Option<u64>,
}

/// Draws each call on its bucket. Returns when tokens were taken.
fn take_each(calls: &[Call], part: impl Fn(&Call) -> Part) -> BTreeMap<usize, Vec<u64>> {
    let mut buckets = BTreeMap::new();
    let mut taken: BTreeMap<usize, Vec<u64>> = BTreeMap::new();

    for call in calls {
        let Part { key, rate, burst, empty_at } = part(call);
        let bucket = buckets.entry((call.tenant, key)).or_insert_with(|| {
            empty_at.map_or_else(|| ExactBucket::full(burst), ExactBucket::empty)
        });

        if bucket.take(call.at, rate, burst) {
            taken.entry(call.tenant).or_default().push(call.at);
        }
    }

    taken
}

fn slices(plan: &Plan) -> Outcome {
    let mut fleet = Fleet::new(plan.cfg.clone(), plan.hosts, plan.seed);
    fleet.run(WARM_UP);
    let before = fleet.traffic();
    let mut faults = faults(plan);
    faults.sort_by_key(|(at, _)| *at);
    let mut faults = faults.into_iter().peekable();

    for call in &plan.calls {
        while let Some((at, fault)) = faults.next_if(|(at, _)| *at <= call.at) {
            fleet.run(at - fleet.now);
            apply(&mut fleet, plan, fault);
        }

        fleet.run(call.at - fleet.now);
        fleet.take(call.host, &plan.cfg.tenants[call.tenant].name);
    }

    fleet.run(SECOND);
    let after = fleet.traffic();
    let by_place = |calls: &BTreeMap<_, Vec<u64>>| {
        let tenants = plan.cfg.tenants.iter().enumerate();
        let id = |name: &str| camphorwalk_core::ids::TenantId::from_name(name);
        tenants.map(|(i, t)| (i, calls.get(&id(&t.name)).cloned().unwrap_or_default())).collect()
    };

    Outcome {
        taken: by_place(fleet.taken()),
        admitted: by_place(&fleet.admitted),
        traffic: Traffic {
            messages: after.messages - before.messages,
            bytes: after.bytes - before.bytes,
        },
    }
}

/// A step of a scenario.
#[derive(Clone, Copy, Debug)]
enum Fault {
    Cut(bool),
    Kill(usize),
    /// A host begins to leave; all notice.
    Leave(usize),
    /// It gives up its columns and ends.
    End(usize),
    Start(usize),
    /// All hosts notice who can be reached.
    Notice,
}

fn faults(plan: &Plan) -> Vec<(u64, Fault)> {
    let (from, to) = plan.cut;

    match (plan.scenario, plan.killed()) {
        (Scenario::ZoneCut, _) => vec![
            (from, Fault::Cut(true)),
            (from + NOTICED, Fault::Notice),
            (to, Fault::Cut(false)),
            (to + NOTICED, Fault::Notice),
        ],
        (Scenario::RollingRestart, _) => (0..plan.hosts)
            .flat_map(|host| {
                let at = plan.leaves_at(host);
                let end = at + LEAVING;
                [
                    (at, Fault::Leave(host)),
                    (end, Fault::End(host)),
                    (end + RESTART, Fault::Start(host)),
                ]
            })
            .collect(),
        (_, Some((host, at))) => vec![(at, Fault::Kill(host)), (at + NOTICED, Fault::Notice)],
        _ => vec![],
    }
}

fn apply(fleet: &mut Fleet, plan: &Plan, fault: Fault) {
    match fault {
        Fault::Cut(cut) => {
            fleet.partition_side =
                (0..plan.hosts).map(|host| u8::from(cut && plan.is_cut(host))).collect();
        }
        Fault::Kill(host) => fleet.kill(host),
        Fault::Leave(host) => fleet.leave(host),
        Fault::End(host) => {
            fleet.give_up_columns(host);
            fleet.kill(host);
        }
        Fault::Start(host) => {
            fleet.start(host);
            fleet.update_visible_hosts();
        }
        Fault::Notice => fleet.update_visible_hosts(),
    }
}

fn static_split(plan: &Plan) -> Outcome {
    let taken = take_each(&plan.calls, |call| {
        let tenant = &plan.cfg.tenants[call.tenant];
        let rate = tenant.rate_per_second / plan.hosts as f64;

        // Whole tokens only: the burst that does not divide goes to the first hosts.
        let hosts = plan.hosts as u32;
        let burst = tenant.burst / hosts + u32::from((call.host as u32) < tenant.burst % hosts);

        Part { key: call.host, rate, burst, empty_at: None }
    });

    Outcome { admitted: taken.clone(), taken, traffic: Traffic::default() }
}

fn leased_counter(plan: &Plan) -> Outcome {
    let mut rng = SmallRng::seed_from_u64(plan.seed);
    let mut traffic = Traffic::default();
    let mut asked = Vec::new();

    for call in &plan.calls {
        let Some(holder) = holder(plan, call) else { continue };

        if holder == call.host {
            asked.push(*call);
            continue;
        }

        // Ask and answer, each sent and received.
        traffic.messages += 4;
        traffic.bytes += 2 * question_bytes();
        asked.push(Call { at: call.at + rng.random_range(300..1_500), ..*call });
    }

    asked.sort_by_key(|call| call.at);

    let taken = take_each(&asked, |call| {
        let tenant = &plan.cfg.tenants[call.tenant];

        // What the former holder admitted is unknown: a counter that moved begins at zero.
        let empty_at = moved_at(plan, call.tenant).filter(|moved| *moved <= call.at);
        let key = usize::from(empty_at.is_some());

        Part { key, rate: tenant.rate_per_second, burst: tenant.burst, empty_at }
    });

    Outcome { admitted: taken.clone(), taken, traffic }
}

/// Returns when a tenant's counter moves to another host, if it does.
fn moved_at(plan: &Plan, tenant: usize) -> Option<u64> {
    let first = plan.pool_of(tenant, |_| true);
    let lost = plan.is_cut(first) || plan.killed().is_some_and(|(dead, _)| dead == first);

    lost.then_some(plan.cut.0 + LEASE)
}

/// Returns the host that answers for a call's counter, if it can be reached.
fn holder(plan: &Plan, call: &Call) -> Option<usize> {
    let first = plan.pool_of(call.tenant, |_| true);
    let cut = plan.cut.0 <= call.at && call.at < plan.cut.1;

    let holder = match moved_at(plan, call.tenant) {
        Some(moved) if moved <= call.at => {
            let dead = plan.killed().map(|(dead, _)| dead);
            plan.pool_of(call.tenant, |host| !plan.is_cut(host) && Some(host) != dead)
        }
        // The holder is dead; its lease is not over yet.
        Some(_) if plan.killed().is_some_and(|(_, at)| at <= call.at) => return None,
        _ => first,
    };

    (!cut || plan.is_cut(holder) == plan.is_cut(call.host)).then_some(holder)
}

fn question_bytes() -> u64 {
    let session = u64::MAX / 2;
    let ask = TakeRequest { session, number: 1_000, tenant: session };
    let answer = TakeAnswer { session, number: 1_000, admitted: true, retry_after_us: 0 };
    let bytes = |body| SliceMessage::from(body).encoded_bytes() as u64;

    bytes(SliceBody::Take(ask)) + bytes(SliceBody::Answer(answer))
}
