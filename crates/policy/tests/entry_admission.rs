//! The limits up to which new programs start, by their tenant's use and the lateness of running
//! programs.

use std::time::Duration;

use camphorwalk_core::entry::TenantSpec;
use camphorwalk_core::hash::Map;
use camphorwalk_core::ids::HostId;
use camphorwalk_core::time::Instant;
use camphorwalk_policy::entry::admission::{
    LimitTerms, Refusal, StartAdmission, Term, TurnCounts, excess,
};
use camphorwalk_policy::entry::placement::StartLimits;
use camphorwalk_policy::entry::rates::{Rates, TenantUse};
use proptest::prelude::*;

const SERVICE: &str = "engines";
const TICK: Duration = Duration::from_millis(100);
const NOW: Instant = Instant(1_000_000);

fn tenant(name: &str, rate: f64) -> TenantSpec {
    TenantSpec { name: name.into(), rate: Some(rate), burst: 1_000.0, rank: None }
}

/// Hosts that exchange status updates at each tick.
struct Fleet {
    now: Instant,
    hosts: Vec<Rates>,
    /// Whether hosts with even and odd numbers do not hear each other.
    is_partitioned: bool,
}

impl Fleet {
    fn new(hosts: u64, tenants: &[TenantSpec]) -> Self {
        let ids: Vec<_> = (0..hosts).map(HostId).collect();
        let rates = |own: &HostId| {
            let mut rates = Rates::default();
            rates.set_peers(ids.iter().copied().filter(|other| other != own).collect());
            rates.configure(NOW, tenants);
            rates.tick(NOW);
            rates
        };

        Self { now: NOW, hosts: ids.iter().map(rates).collect(), is_partitioned: false }
    }

    /// Runs one tick in which each host admits `calls[i]` calls of the i-th tenant. Each status
    /// update arrives twice.
    fn tick(&mut self, tenants: &[TenantSpec], calls: &[u32]) {
        self.tick_with(tenants, |_| calls.to_vec());
    }

    /// Runs one tick in which host `i` admits the calls `calls(i)`.
    fn tick_with(&mut self, tenants: &[TenantSpec], calls: impl Fn(usize) -> Vec<u32>) {
        self.now = self.now + TICK;
        for (i, host) in self.hosts.iter_mut().enumerate() {
            for (tenant, calls) in tenants.iter().zip(calls(i)) {
                for _ in 0..calls {
                    host.admit(self.now, &tenant.name, false, Duration::ZERO);
                }
            }
        }
        for from in 0..self.hosts.len() {
            self.hosts[from].tick(self.now);
            let updates = self.hosts[from].take_updates(true);
            let is_heard = |to: &usize| !self.is_partitioned || to % 2 == from % 2;
            let receivers = (0..self.hosts.len()).filter(|to| *to != from);
            for to in receivers.filter(is_heard).collect::<Vec<_>>() {
                let id = HostId(from as u64);
                for _ in 0..2 {
                    self.hosts[to].apply_update(self.now, id, 1, true, updates.clone());
                }
            }
        }
    }
}

/// Lets turns arrive for a time, of which some in a hundred are late.
fn run_turns(
    admission: &mut StartAdmission,
    from: Instant,
    time: Duration,
    late_percent: u32,
) -> Instant {
    let mut now = from;
    while now.since(from) < time {
        now = now + TICK;
        let counts = TurnCounts { turns: 100, late: late_percent };
        admission.record_remote_turns(SERVICE, counts);
        admission.tick(now);
    }
    now
}

fn lateness(admission: &StartAdmission, now: Instant) -> f64 {
    admission.terms(now, SERVICE, None, None).lateness
}

#[test]
fn all_hosts_agree_on_the_use_of_a_tenant() {
    // Guards against a tenant whose excess is invisible because its calls reach many hosts, and
    // against calls that count twice because a status update arrives twice.
    let tenants = [tenant("large", 300.0), tenant("small", 100.0)];
    let mut fleet = Fleet::new(4, &tenants);

    (0..40).for_each(|_| fleet.tick(&tenants, &[1, 3]));

    for host in &fleet.hosts {
        let [large, small] = ["large", "small"].map(|name| host.tenant_use(name).unwrap());
        assert!((large.part - 0.25).abs() < 0.05 && (small.part - 0.75).abs() < 0.05, "{small:?}");
        assert!((large.share - 0.75).abs() < 1e-9 && (small.share - 0.25).abs() < 1e-9);
        assert_eq!((excess(large), excess(small)), (0.0, 0.4));
    }
}

#[test]
fn refused_calls_do_not_count_as_use() {
    // Guards against a tenant that is limited because its starts are refused and returned: its
    // refused starts would lower its own limit further.
    let tenants = [tenant("refused", 100.0), tenant("other", 100.0)];
    let mut fleet = Fleet::new(2, &tenants);

    for _ in 0..40 {
        fleet.tick(&tenants, &[10, 2]);
        for host in &mut fleet.hosts {
            (0..10).for_each(|_| host.refund("refused"));
        }
    }

    assert_eq!(excess(fleet.hosts[0].tenant_use("refused").unwrap()), 0.0);
}

#[test]
fn a_tenants_excess_follows_its_rate() {
    // Guards against a limit that outlives the manifest that it was computed from.
    let tenants = [tenant("a", 100.0), tenant("b", 100.0)];
    let mut fleet = Fleet::new(2, &tenants);
    (0..30).for_each(|_| fleet.tick(&tenants, &[3, 3]));
    let before = excess(fleet.hosts[0].tenant_use("a").unwrap());

    let changed = [tenant("a", 20.0), tenant("b", 180.0)];
    fleet.hosts.iter_mut().for_each(|host| host.configure(fleet.now, &changed));
    fleet.tick(&changed, &[3, 3]);
    let lowered = excess(fleet.hosts[0].tenant_use("a").unwrap());
    fleet.hosts.iter_mut().for_each(|host| host.configure(fleet.now, &changed[1..]));

    assert!(before < 0.02 && (0.38..=0.4).contains(&lowered), "{before}, then {lowered}");
    assert_eq!(fleet.hosts[0].tenant_use("a"), None);
}

#[test]
fn each_side_of_a_partition_counts_the_use_on_its_side() {
    // Guards against hosts that share the targets of their side by calls which the other side admits,
    // and against use that stays high when its updates no longer arrive.
    let tenants = [tenant("a", 100.0), tenant("b", 100.0)];
    let mut fleet = Fleet::new(4, &tenants);
    let calls = |host: usize| if host.is_multiple_of(2) { vec![4, 0] } else { vec![0, 4] };
    let part = |fleet: &Fleet, host: usize| fleet.hosts[host].tenant_use("a").unwrap().part;

    (0..30).for_each(|_| fleet.tick_with(&tenants, calls));
    let before = [0, 1].map(|host| part(&fleet, host));
    fleet.is_partitioned = true;
    (0..20).for_each(|_| fleet.tick_with(&tenants, calls));
    let during = [0, 1].map(|host| part(&fleet, host));
    fleet.is_partitioned = false;
    (0..40).for_each(|_| fleet.tick_with(&tenants, calls));
    let after = [0, 1].map(|host| part(&fleet, host));

    let both = |parts: [f64; 2]| parts.iter().all(|part| (part - 0.5).abs() < 0.05);
    assert!(both(before) && both(after), "{before:?}, {after:?}");
    assert!(during[0] > 0.85 && during[1] < 0.15, "{during:?}");
}

#[test]
fn a_host_that_has_just_started_applies_the_limits_of_the_rank() {
    // Guards against a host that refuses programs because it has heard of one tenant only.
    let tenants = [tenant("a", 100.0), tenant("b", 100.0)];
    let mut rates = Rates::default();
    rates.configure(NOW, &tenants);
    rates.tick(NOW);
    let admission = StartAdmission::default();

    let before_any_call = rates.tenant_use("a");
    rates.admit(NOW + TICK, "a", true, Duration::ZERO);
    rates.tick(NOW + TICK * 2);
    let alone = admission.terms(NOW + TICK * 2, SERVICE, rates.tenant_use("a"), None);

    assert_eq!(before_any_call, None);
    assert_eq!(alone.limits(1), StartLimits::of_rank(1));
}

#[test]
fn a_tenants_excess_counts_only_while_others_are_refused() {
    // Guards against capacity that lies idle because a tenant may not use more than its share, and
    // against capacity that is not reclaimed when others want it.
    let large = Some(TenantUse { part: 1.0, share: 0.1 });
    let small = Some(TenantUse { part: 0.0, share: 0.9 });
    let mut admission = StartAdmission::default();
    let limit =
        |admission: &StartAdmission, now| admission.terms(now, SERVICE, large, None).limits(1);
    let refusal = Refusal { program: None, rank: 1, time_left: None, random: 0.5 };

    admission.refuse(NOW, large, refusal);
    let alone = limit(&admission, NOW);
    admission.refuse(NOW, small, refusal);
    let reclaimed = limit(&admission, NOW);
    let others = admission.terms(NOW, SERVICE, small, None).limits(1);
    let lent_again = limit(&admission, NOW + Duration::from_secs(2));

    assert_eq!((alone, lent_again), (StartLimits::of_rank(1), StartLimits::of_rank(1)));
    assert!(reclaimed.service <= 0.4 + 1e-9 && reclaimed.target <= 0.45 + 1e-9, "{reclaimed:?}");
    assert_eq!(others, StartLimits::of_rank(1));
}

#[test]
fn fewer_programs_start_while_running_ones_are_late() {
    // Guards against starts that make all programs late, and against limits that stay low once the
    // programs are in time.
    let mut admission = StartAdmission::default();
    admission.tick(NOW);

    let now = run_turns(&mut admission, NOW, Duration::from_secs(1), 9);
    let after_a_second = lateness(&admission, now);
    let now = run_turns(&mut admission, now, Duration::from_secs(3), 9);
    let highest = lateness(&admission, now);
    let now = run_turns(&mut admission, now, Duration::from_secs(5), 6);
    let between = lateness(&admission, now);
    let now = run_turns(&mut admission, now, Duration::from_secs(4), 1);
    let in_time = lateness(&admission, now);

    assert!((after_a_second - 0.3).abs() < 0.03, "{after_a_second}");
    assert!((highest - 0.3).abs() < 1e-9 && (between - 0.3).abs() < 1e-9);
    assert_eq!(in_time, 0.0);
}

#[test]
fn few_turns_do_not_lower_the_limits() {
    // Guards against refused programs because of one late program at a quiet time.
    let mut admission = StartAdmission::default();
    admission.tick(NOW);

    for i in 1..30 {
        admission.record_turn(SERVICE, true);
        admission.tick(NOW + TICK * i);
    }

    assert_eq!(lateness(&admission, NOW), 0.0);
}

#[test]
fn lateness_is_forgotten_when_no_updates_arrive() {
    // Guards against limits that stay low at a host that hears no others.
    let mut admission = StartAdmission::default();
    admission.tick(NOW);
    let now = run_turns(&mut admission, NOW, Duration::from_secs(2), 50);

    let changes: Vec<_> = (1..=32).flat_map(|i| admission.tick(now + TICK * i)).collect();

    assert_eq!(lateness(&admission, now), 0.0);
    assert!(matches!(&changes[..], [change] if change.reduction == 0.0), "{changes:?}");
}

#[test]
fn each_turn_is_reported_once() {
    // Guards against proportions that count a turn again with each status update.
    let mut admission = StartAdmission::default();
    (0..3).for_each(|i| admission.record_turn(SERVICE, i == 0));
    admission.record_remote_turns(SERVICE, TurnCounts { turns: 5, late: 5 });

    let first = admission.take_changes(NOW);
    let second = admission.take_changes(NOW);

    let counted = Map::from_iter([(Box::from(SERVICE), TurnCounts { turns: 3, late: 1 })]);
    assert_eq!((first.turns, second.turns), (counted, Map::default()));
}

#[test]
fn a_refusal_names_the_term_that_caused_it() {
    // Guards against metrics that blame a tenant's excess for a service that is full.
    let terms = LimitTerms { excess: 0.2, lateness: 0.1, has_waited: false };
    let refused_at = |load: f64| terms.refused_by(1, |limits| load >= limits.service);

    assert_eq!([0.9, 0.7, 0.55].map(refused_at), [Term::Rank, Term::Excess, Term::Lateness]);
}

proptest! {
    /// Guards against limits that admit more programs than those of the rank, or none at all.
    #[test]
    fn limits_stay_between_the_lowest_and_those_of_the_rank(
        excess in 0.0..=0.4f64, lateness in 0.0..=0.3f64, has_waited: bool, rank in 0u32..4,
    ) {
        let limits = LimitTerms { excess, lateness, has_waited }.limits(rank);
        let own = StartLimits::of_rank(rank);

        prop_assert!((0.4..=own.target).contains(&limits.target));
        prop_assert!((0.4..=own.service).contains(&limits.service));
    }

    /// Guards against tenants that are limited although nobody else uses what they leave.
    #[test]
    fn the_excesses_of_all_tenants_sum_to_at_most_one(
        tenants in prop::collection::vec((1.0..500.0f64, 0u32..8, 0u32..8), 1..12),
    ) {
        let specs: Vec<_> = tenants.iter().enumerate()
            .map(|(i, (rate, _, _))| tenant(&format!("tenant-{i}"), *rate)).collect();
        let mut fleet = Fleet::new(2, &specs);
        let calls = |which: fn(&(f64, u32, u32)) -> u32| -> Vec<u32> {
            tenants.iter().map(which).collect()
        };
        (0..10).for_each(|_| fleet.tick(&specs, &calls(|t| t.1)));
        (0..10).for_each(|_| fleet.tick(&specs, &calls(|t| t.2)));

        for host in &fleet.hosts {
            let sum: f64 =
                specs.iter().filter_map(|spec| host.tenant_use(&spec.name)).map(excess).sum();
            prop_assert!(sum <= 1.0 + 1e-9);
        }
    }
}
