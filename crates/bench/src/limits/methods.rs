//! The limiting methods that are compared: lent slices, a static split and a leased counter.

use std::collections::BTreeMap;

use camphorwalk_core::messages::slices::{SliceBody, SliceMessage, TakeAnswer, TakeRequest};
use rand::rngs::SmallRng;
use rand::{Rng as _, SeedableRng as _};
use serde::Serialize;

use super::bucket::ExactBucket;
use super::fleet::{Fleet, SECOND, Traffic};
use super::scenario::{
    Call, DETECTION_DELAY, Plan, RESTART_TIME, SHUTDOWN_TIME, Scenario, WARM_UP,
};

/// The duration of the lease of a counter, equal to that of the lease of a column.
const LEASE: u64 = 4 * SECOND;

/// A method of limiting the rate and burst of tenants.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Method {
    /// The product's method: each rate and burst is divided into slices, and each slice is lent to
    /// one host at a time.
    Slices,
    /// Each host has an equal share of each rate and burst.
    StaticSplit,
    /// For each tenant, one host has a counter, under a lease granted by the platform.
    LeasedCounter,
}

/// The result of running a plan.
#[derive(Clone, Debug, Default)]
pub(super) struct Outcome {
    /// When tokens were taken, by the tenant's index in the configuration.
    pub(super) taken: BTreeMap<usize, Vec<u64>>,
    /// When callers received the answer that their call was admitted, by the tenant's index.
    pub(super) admitted: BTreeMap<usize, Vec<u64>>,
    /// The messages that all hosts sent and received since the first call.
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

/// Runs a plan with a method.
pub(super) fn run(method: Method, plan: &Plan) -> Outcome {
    match method {
        Method::Slices => slices(plan),
        Method::StaticSplit => static_split(plan),
        Method::LeasedCounter => leased_counter(plan),
    }
}

/// Returns the calls that one exact bucket per tenant admits, as the reference for wrongful
/// refusals.
pub(super) fn exact(plan: &Plan) -> BTreeMap<usize, Vec<u64>> {
    let whole = |call: &Call| {
        let tenant = &plan.cfg.tenants[call.tenant];
        CallBucket { key: 0, rate: tenant.rate_per_second, burst: tenant.burst, empty_at: None }
    };

    take_tokens(&plan.calls, whole)
}

/// The bucket that a call takes its token from.
#[derive(Clone, Copy, Debug)]
struct CallBucket {
    /// The bucket's number among those of its tenant.
    key: usize,
    rate: f64,
    burst: u32,
    /// When the bucket was empty; `None` if it was full at the start.
    empty_at: Option<u64>,
}

/// Takes a token for each call from its bucket. Returns when tokens were taken.
fn take_tokens(
    calls: &[Call],
    bucket_of: impl Fn(&Call) -> CallBucket,
) -> BTreeMap<usize, Vec<u64>> {
    let mut buckets = BTreeMap::new();
    let mut taken: BTreeMap<usize, Vec<u64>> = BTreeMap::new();

    for call in calls {
        let CallBucket { key, rate, burst, empty_at } = bucket_of(call);
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
    let by_index = |calls: &BTreeMap<_, Vec<u64>>| {
        let tenants = plan.cfg.tenants.iter().enumerate();
        let id = |name: &str| camphorwalk_core::ids::TenantId::from_name(name);
        tenants.map(|(i, t)| (i, calls.get(&id(&t.name)).cloned().unwrap_or_default())).collect()
    };

    Outcome {
        taken: by_index(fleet.taken()),
        admitted: by_index(&fleet.admitted),
        traffic: Traffic {
            messages: after.messages - before.messages,
            bytes: after.bytes - before.bytes,
        },
    }
}

/// A fault or recovery step of a scenario.
#[derive(Clone, Copy, Debug)]
enum Fault {
    /// The isolated zone loses its connections, or regains them if false.
    Isolate(bool),
    /// The process of the host is killed.
    Kill(usize),
    /// The host starts its shutdown, and all hosts notice.
    StartShutdown(usize),
    /// The host gives up its columns and its process ends.
    EndProcess(usize),
    /// The process of the host starts again.
    Start(usize),
    /// All hosts update their lists of hosts that they can reach.
    UpdateHostLists,
}

fn faults(plan: &Plan) -> Vec<(u64, Fault)> {
    let (from, to) = plan.fault_window;

    match (plan.scenario, plan.killed_host()) {
        (Scenario::ZoneCut, _) => vec![
            (from, Fault::Isolate(true)),
            (from + DETECTION_DELAY, Fault::UpdateHostLists),
            (to, Fault::Isolate(false)),
            (to + DETECTION_DELAY, Fault::UpdateHostLists),
        ],
        (Scenario::RollingRestart, _) => (0..plan.hosts)
            .flat_map(|host| {
                let at = plan.shutdown_start(host);
                let end = at + SHUTDOWN_TIME;
                [
                    (at, Fault::StartShutdown(host)),
                    (end, Fault::EndProcess(host)),
                    (end + RESTART_TIME, Fault::Start(host)),
                ]
            })
            .collect(),
        (_, Some((host, at))) => {
            vec![(at, Fault::Kill(host)), (at + DETECTION_DELAY, Fault::UpdateHostLists)]
        }
        _ => vec![],
    }
}

fn apply(fleet: &mut Fleet, plan: &Plan, fault: Fault) {
    match fault {
        Fault::Isolate(isolated) => {
            fleet.partition_side =
                (0..plan.hosts).map(|host| u8::from(isolated && plan.is_isolated(host))).collect();
        }
        Fault::Kill(host) => fleet.kill(host),
        Fault::StartShutdown(host) => fleet.leave(host),
        Fault::EndProcess(host) => {
            fleet.give_up_columns(host);
            fleet.kill(host);
        }
        Fault::Start(host) => {
            fleet.start(host);
            fleet.update_visible_hosts();
        }
        Fault::UpdateHostLists => fleet.update_visible_hosts(),
    }
}

fn static_split(plan: &Plan) -> Outcome {
    let taken = take_tokens(&plan.calls, |call| {
        let tenant = &plan.cfg.tenants[call.tenant];
        let rate = tenant.rate_per_second / plan.hosts as f64;

        // Tokens are whole: the remainder of the burst goes to the first hosts.
        let hosts = plan.hosts as u32;
        let burst = tenant.burst / hosts + u32::from((call.host as u32) < tenant.burst % hosts);

        CallBucket { key: call.host, rate, burst, empty_at: None }
    });

    Outcome { admitted: taken.clone(), taken, traffic: Traffic::default() }
}

fn leased_counter(plan: &Plan) -> Outcome {
    let mut rng = SmallRng::seed_from_u64(plan.seed);
    let mut traffic = Traffic::default();
    let mut arrivals = Vec::new();

    for call in &plan.calls {
        let Some(holder) = counter_holder(plan, call) else { continue };

        if holder == call.host {
            arrivals.push(*call);
            continue;
        }

        // A request and an answer, each counted when sent and when received.
        traffic.messages += 4;
        traffic.bytes += 2 * request_and_answer_bytes();
        arrivals.push(Call { at: call.at + rng.random_range(300..1_500), ..*call });
    }

    arrivals.sort_by_key(|call| call.at);

    let taken = take_tokens(&arrivals, |call| {
        let tenant = &plan.cfg.tenants[call.tenant];

        // It is unknown how many calls the former holder admitted, so after a move the bucket
        // starts without tokens.
        let empty_at = moved_at(plan, call.tenant).filter(|moved| *moved <= call.at);
        let key = usize::from(empty_at.is_some());

        CallBucket { key, rate: tenant.rate_per_second, burst: tenant.burst, empty_at }
    });

    Outcome { admitted: taken.clone(), taken, traffic }
}

/// Returns when a tenant's counter moves to another host, if it does.
fn moved_at(plan: &Plan, tenant: usize) -> Option<u64> {
    let first = plan.admission_host(tenant, |_| true);
    let moves =
        plan.is_isolated(first) || plan.killed_host().is_some_and(|(dead, _)| dead == first);

    moves.then_some(plan.fault_window.0 + LEASE)
}

/// Returns the host that holds the counter for a call, if it can be reached.
fn counter_holder(plan: &Plan, call: &Call) -> Option<usize> {
    let first = plan.admission_host(call.tenant, |_| true);
    let during_partition = plan.fault_window.0 <= call.at && call.at < plan.fault_window.1;

    let holder = match moved_at(plan, call.tenant) {
        Some(moved) if moved <= call.at => {
            let dead = plan.killed_host().map(|(dead, _)| dead);
            plan.admission_host(call.tenant, |host| !plan.is_isolated(host) && Some(host) != dead)
        }
        // The holder is dead, but its lease has not expired.
        Some(_) if plan.killed_host().is_some_and(|(_, at)| at <= call.at) => return None,
        _ => first,
    };

    (!during_partition || plan.is_isolated(holder) == plan.is_isolated(call.host)).then_some(holder)
}

fn request_and_answer_bytes() -> u64 {
    let session = u64::MAX / 2;
    let request = TakeRequest { session, number: 1_000, tenant: session };
    let answer = TakeAnswer { session, number: 1_000, admitted: true, retry_after_us: 0 };
    let bytes = |body| SliceMessage::from(body).encoded_bytes() as u64;

    bytes(SliceBody::Take(request)) + bytes(SliceBody::Answer(answer))
}
