//! Which hosts are considered live when many hosts gossip at the same times.

use std::time::Duration;

use camphorwalk_core::ids::HostId;
use camphorwalk_core::time::Instant;
use camphorwalk_policy::membership::{Membership, MembershipAction, MembershipOptions};

/// The interval between rounds of gossip.
const PERIOD_MS: u64 = 500;

/// The number of rounds after which every host has received a heartbeat of all others.
const CONVERGED: u64 = 20;

/// The number of rounds checked after that.
const CHECKED: u64 = 40;

fn name(host: usize) -> String {
    format!("h{host}")
}

/// Creates hosts in three zones, each of which knows the addresses of all others.
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
                gossip_interval: Duration::from_millis(PERIOD_MS),
                fanout: 3,
                suspect_after: Duration::from_millis(5 * PERIOD_MS),
            });
            for other in 0..hosts {
                let mut out = Vec::new();
                membership.add_listed(&name(other), &zone(other), address, false, &mut out);
            }
            membership
        })
        .collect()
}

/// Runs one round in which all hosts except `silent` gossip at the same time.
fn round(fleet: &mut [Membership], now: Instant, silent: Option<usize>) {
    let mut messages = Vec::new();
    for (host, membership) in fleet.iter_mut().enumerate().filter(|(h, _)| Some(*h) != silent) {
        let mut out = Vec::new();
        membership.wake(now, &mut out);
        let sent = out.into_iter().filter_map(|next| match next {
            MembershipAction::Gossip { to, updates } => Some((host, to, updates)),
            _ => None,
        });
        messages.extend(sent);
    }

    for (_, to, updates) in messages {
        let receiver = (0..fleet.len()).find(|h| HostId::from_name(&name(*h)) == to);
        if let Some(host) = receiver.filter(|host| Some(*host) != silent) {
            fleet[host].apply_gossip(now, &updates.full, &updates.heartbeats, &mut Vec::new());
        }
    }
}

/// Forty live hosts gossip at the same times. When all of them walked the same list from its start,
/// they sent gossip to the same three hosts at a time and the others received nothing for seconds.
/// Each host then considered only two in five of the others live, and callers were refused for
/// programs whose home was working.
#[test]
fn hosts_that_gossip_at_the_same_times_are_all_live() {
    let mut fleet = fleet(40);

    let mut live = 0;
    for i in 1..=CONVERGED + CHECKED {
        round(&mut fleet, Instant::from_millis(i * PERIOD_MS), None);
        if i > CONVERGED {
            live += fleet.iter().map(|m| m.live_members().len()).sum::<usize>();
        }
    }

    let all = 40 * 39 * CHECKED as usize;
    assert!(live * 1_000 >= all * 995, "{live} of {all} times");
}

/// All hosts notice a silent host within the suspicion timeout and some rounds, and still consider
/// each other live.
#[test]
fn all_hosts_notice_a_silent_host() {
    let mut fleet = fleet(12);
    let silent_host = HostId::from_name(&name(5));

    for i in 1..=CONVERGED {
        round(&mut fleet, Instant::from_millis(i * PERIOD_MS), None);
    }
    for i in CONVERGED + 1..=CONVERGED + 12 {
        round(&mut fleet, Instant::from_millis(i * PERIOD_MS), Some(5));
    }

    for (host, membership) in fleet.iter().enumerate().filter(|(host, _)| *host != 5) {
        assert!(!membership.is_live(silent_host), "host {host} still considers it live");
        assert_eq!(membership.live_members().len(), 10, "host {host}");
    }
}
