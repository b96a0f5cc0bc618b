//! Injects random, overlapping faults from outside the host processes.

use std::time::Duration;

use rand::Rng as _;
use rand::rngs::StdRng;
use rustix::process::Signal;

use crate::fleet::Fleet;
use crate::proxy::LinkFault;
use crate::support::default_routes;
use crate::support::store::Mode;
use crate::support::target::Behavior;

/// Starts random faults, and keeps track of how and when to end them.
#[derive(Default)]
pub struct FaultInjector {
    /// The pending recoveries, each with the step at which it is due.
    recoveries: Vec<(u32, Recovery)>,
    /// The number of manifests that were published after the first one.
    manifest_updates: u64,
}

/// An action that ends a fault. Hosts are numbered by index, and targets by the index of their
/// proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Recovery {
    RestoreStore,
    StartHost(usize),
    ResumeHost(usize),
    RestoreStoreLink(usize),
    RestorePeerLink(usize),
    RestoreTargetLink(usize),
    RestoreTarget(usize),
    RejoinZone(&'static str),
}

/// The duration of a step.
pub const STEP: Duration = Duration::from_millis(100);

impl FaultInjector {
    /// Runs one step: ends the faults that are due, and starts a new one with a chance of 1 in 4.
    pub fn step(&mut self, now: u32, rng: &mut StdRng, fleet: &mut Fleet) {
        fleet.restart_ended_hosts();
        let (due, pending) = self.recoveries.drain(..).partition(|(at, _)| *at <= now);
        self.recoveries = pending;
        for (_, recovery) in due {
            recover(recovery, fleet);
        }

        if rng.random_bool(0.25) {
            let until = now + rng.random_range(3..25);
            if let Some(recovery) = self.start_random(rng, fleet) {
                self.recoveries.push((until, recovery));
            }
        }
    }

    /// Ends all faults at once.
    pub fn recover_all(&mut self, fleet: &mut Fleet) {
        for (_, recovery) in std::mem::take(&mut self.recoveries) {
            recover(recovery, fleet);
        }
        for i in 0..fleet.hosts.len() {
            fleet.hosts[i].signal(Signal::CONT);
        }
    }

    /// Starts a random fault. Returns the action that ends it, or `None` if none is needed.
    fn start_random(&mut self, rng: &mut StdRng, fleet: &mut Fleet) -> Option<Recovery> {
        let host = rng.random_range(0..fleet.hosts.len());
        let target_index = rng.random_range(0..fleet.target_proxies.len());
        let fault = match rng.random_range(0..5) {
            0 => LinkFault::Delay(Duration::from_millis(rng.random_range(20..200))),
            1 => LinkFault::Stall,
            2 => LinkFault::StallReplies,
            3 => LinkFault::SlowRequests,
            _ => LinkFault::Reset,
        };

        match rng.random_range(0..11) {
            0 => self.kill(host, fleet),
            1 => {
                fleet.hosts[host].signal(Signal::STOP);
                Some(Recovery::ResumeHost(host))
            }
            2 => {
                fleet.hosts[host].signal(Signal::TERM);
                None
            }
            3 => {
                fleet.hosts[host].signal(Signal::HUP);
                None
            }
            4 => {
                let modes = [Mode::Unavailable, Mode::DropAnswers];
                fleet.store.set_mode(modes[rng.random_range(0..modes.len())]);
                Some(Recovery::RestoreStore)
            }
            5 => {
                fleet.hosts[host].store_proxy.set(fault);
                Some(Recovery::RestoreStoreLink(host))
            }
            6 => {
                fleet.hosts[host].peer_proxy.set(fault);
                Some(Recovery::RestorePeerLink(host))
            }
            7 => {
                fleet.target_proxies[target_index].set(fault);
                Some(Recovery::RestoreTargetLink(target_index))
            }
            8 => {
                let behaviors = [
                    Behavior::Full,
                    Behavior::DropConnection,
                    Behavior::WrongRequestId,
                    Behavior::TruncateStream,
                ];
                target(fleet, target_index)
                    .set_behavior(behaviors[rng.random_range(0..behaviors.len())]);
                Some(Recovery::RestoreTarget(target_index))
            }
            9 => {
                self.manifest_updates += 1;
                fleet.store.put_manifest(1 + self.manifest_updates, &default_routes());
                None
            }
            _ => {
                let zone = fleet.hosts[host].zone;
                set_zone_links(fleet, zone, LinkFault::Stall);
                Some(Recovery::RejoinZone(zone))
            }
        }
    }

    /// Kills a host, unless another killed host is still down. Turns that the store could not take
    /// are held by three hosts, and at most two of these may be lost at the same time.
    fn kill(&self, host: usize, fleet: &mut Fleet) -> Option<Recovery> {
        if self.recoveries.iter().any(|(_, recovery)| matches!(recovery, Recovery::StartHost(_))) {
            return None;
        }

        fleet.hosts[host].kill();
        Some(Recovery::StartHost(host))
    }
}

/// Returns a target by the index of its proxy.
fn target(fleet: &Fleet, target_index: usize) -> &crate::support::target::Target {
    match target_index.checked_sub(fleet.engines.len()) {
        None => &fleet.engines[target_index],
        Some(desk) => &fleet.desks[desk],
    }
}

/// Sets a fault on the connections that a zone's hosts open to the store, and on those that other
/// hosts, also of the same zone, open to them.
fn set_zone_links(fleet: &Fleet, zone: &str, fault: LinkFault) {
    for host in fleet.hosts.iter().filter(|host| host.zone == zone) {
        host.store_proxy.set(fault);
        host.peer_proxy.set(fault);
    }
}

/// Ends a fault.
fn recover(recovery: Recovery, fleet: &mut Fleet) {
    match recovery {
        Recovery::RestoreStore => fleet.store.set_mode(Mode::Normal),
        Recovery::StartHost(host) => fleet.start_host(host, false),
        Recovery::ResumeHost(host) => fleet.hosts[host].signal(Signal::CONT),
        Recovery::RestoreStoreLink(host) => fleet.hosts[host].store_proxy.set(LinkFault::None),
        Recovery::RestorePeerLink(host) => fleet.hosts[host].peer_proxy.set(LinkFault::None),
        Recovery::RestoreTargetLink(target_index) => {
            fleet.target_proxies[target_index].set(LinkFault::None)
        }
        Recovery::RestoreTarget(target_index) => {
            target(fleet, target_index).set_behavior(Behavior::Normal)
        }
        Recovery::RejoinZone(zone) => set_zone_links(fleet, zone, LinkFault::None),
    }
}
