//! Who counts as alive, with many hosts that gossip in step.

use std::time::Duration;

use camphorwalk_core::ids::HostId;
use camphorwalk_core::time::Instant;
use camphorwalk_policy::membership::{Membership, MembershipAction, MembershipOptions};

/// The time from one round of gossip to the next.
const PERIOD_MS: u64 = 500;

/// Rounds after which every host has heard of all others.
const SETTLED: u64 = 20;

/// Rounds that are looked at after that.
const LOOKED_AT: u64 = 40;

fn name(host: usize) -> String {
    format!("h{host}")
}

/// Makes hosts in three zones, each of which knows the addresses of all.
fn fleet(hosts: usize) -> Vec<Membership> {
    let address = "127.0.0.1:1".parse().expect("an address");
    let zone = |host: usize| format!("z{}", host % 3);

    (0..hosts)
        .map(|host| {
            let mut membership = Membership::new(MembershipOptions {
                name: name(host).into(),
                zone: zone(host).into(),
                peer_address: address,
                session: 1,
                period: Duration::from_millis(PERIOD_MS),
                fanout: 3,
                suspect_after: Duration::from_millis(5 * PERIOD_MS),
            });
            for other in 0..hosts {
                let mut out = Vec::new();
                membership.learn(&name(other), &zone(other), address, false, &mut out);
            }
            membership
        })
        .collect()
}

/// Lets all hosts but `silent` gossip once, at the same time.
fn round(fleet: &mut [Membership], now: Instant, silent: Option<usize>) {
    let mut messages = Vec::new();
    for (host, membership) in fleet.iter_mut().enumerate().filter(|(h, _)| Some(*h) != silent) {
        let mut out = Vec::new();
        membership.wake(now, &mut out);
        let told = out.into_iter().filter_map(|next| match next {
            MembershipAction::Gossip { to, news } => Some((host, to, news)),
            _ => None,
        });
        messages.extend(told);
    }

    for (_, to, news) in messages {
        let receiver = (0..fleet.len()).find(|h| HostId::from_name(&name(*h)) == to);
        if let Some(host) = receiver.filter(|host| Some(*host) != silent) {
            fleet[host].heard(now, &news.whole, &news.beats, &mut Vec::new());
        }
    }
}

/// Every host of forty is alive and gossips in step with all others. When all walked the same
/// list from its start, they told the same three at a time, the rest heard nothing for
/// seconds, and a host counted two in five of the others as alive: callers were refused for
/// programs whose home was well.
#[test]
fn hosts_that_gossip_in_step_all_count_as_alive() {
    let mut fleet = fleet(40);

    let mut alive = 0;
    for i in 1..=SETTLED + LOOKED_AT {
        round(&mut fleet, Instant::from_millis(i * PERIOD_MS), None);
        if i > SETTLED {
            alive += fleet.iter().map(|m| m.alive().len()).sum::<usize>();
        }
    }

    let all = 40 * 39 * LOOKED_AT as usize;
    assert!(alive * 1_000 >= all * 995, "{alive} of {all} times");
}

/// A host falls silent. All others notice within the time of suspicion and some rounds, and
/// keep each other.
#[test]
fn a_silent_host_is_gone_for_all() {
    let mut fleet = fleet(12);
    let gone = HostId::from_name(&name(5));

    for i in 1..=SETTLED {
        round(&mut fleet, Instant::from_millis(i * PERIOD_MS), None);
    }
    for i in SETTLED + 1..=SETTLED + 12 {
        round(&mut fleet, Instant::from_millis(i * PERIOD_MS), Some(5));
    }

    for (host, membership) in fleet.iter().enumerate().filter(|(host, _)| *host != 5) {
        assert!(!membership.is_alive(gone), "host {host} still counts it as alive");
        assert_eq!(membership.alive().len(), 10, "host {host}");
    }
}
