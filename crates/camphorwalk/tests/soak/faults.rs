//! Faults from outside the processes, in series that overlap.

use std::time::Duration;

use rand::Rng as _;
use rand::rngs::StdRng;
use rustix::process::Signal;

use crate::fleet::Fleet;
use crate::proxy::Harm;
use crate::support::default_routes;
use crate::support::store::Mode;
use crate::support::target::Behavior;

/// What is harmed now, and until when, in steps.
#[derive(Default)]
pub struct Harmed {
    /// What ends at which step.
    ends: Vec<(u32, End)>,
    /// The version of the manifest in force.
    version: u64,
}

/// What ends a fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    Store,
    StartHost(usize),
    WakeHost(usize),
    HealStoreWay(usize),
    HealPeerWay(usize),
    HealTargetWay(usize),
    SoundTarget(usize),
    HealZone(&'static str),
}

/// The time of a step.
pub const STEP: Duration = Duration::from_millis(100);

impl Harmed {
    /// Lets a step pass: faults end, and new ones begin now and then.
    pub fn step(&mut self, now: u32, rng: &mut StdRng, fleet: &mut Fleet) {
        fleet.start_those_that_ended();
        let (due, left) = self.ends.drain(..).partition(|(at, _)| *at <= now);
        self.ends = left;
        for (_, end) in due {
            finish(end, fleet);
        }

        if rng.random_bool(0.25) {
            let until = now + rng.random_range(3..25);
            if let Some(end) = self.begin(rng, fleet) {
                self.ends.push((until, end));
            }
        }
    }

    /// Ends all faults.
    pub fn heal(&mut self, fleet: &mut Fleet) {
        for (_, end) in std::mem::take(&mut self.ends) {
            finish(end, fleet);
        }
        for i in 0..fleet.hosts.len() {
            fleet.hosts[i].signal(Signal::CONT);
        }
    }

    fn begin(&mut self, rng: &mut StdRng, fleet: &mut Fleet) -> Option<End> {
        let host = rng.random_range(0..fleet.hosts.len());
        let way = rng.random_range(0..fleet.to_targets.len());
        let harm = match rng.random_range(0..4) {
            0 => Harm::Delay(Duration::from_millis(rng.random_range(20..200))),
            1 => Harm::Silent,
            2 => Harm::OneWay,
            _ => Harm::Reset,
        };

        match rng.random_range(0..11) {
            0 => self.kill(host, fleet),
            1 => {
                fleet.hosts[host].signal(Signal::STOP);
                Some(End::WakeHost(host))
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
                Some(End::Store)
            }
            5 => {
                fleet.hosts[host].to_store.set(harm);
                Some(End::HealStoreWay(host))
            }
            6 => {
                fleet.hosts[host].from_peers.set(harm);
                Some(End::HealPeerWay(host))
            }
            7 => {
                fleet.to_targets[way].set(harm);
                Some(End::HealTargetWay(way))
            }
            8 => {
                let manners = [
                    Behavior::Full,
                    Behavior::DropConnection,
                    Behavior::WrongRequestId,
                    Behavior::TruncateStream,
                ];
                target(fleet, way).set_behavior(manners[rng.random_range(0..manners.len())]);
                Some(End::SoundTarget(way))
            }
            9 => {
                self.version += 1;
                fleet.store.put_manifest(1 + self.version, &default_routes());
                None
            }
            _ => {
                let zone = fleet.hosts[host].zone;
                set_zone(fleet, zone, Harm::Silent);
                Some(End::HealZone(zone))
            }
        }
    }

    /// Kills a host, unless one is down: turns that the store could not take are held by three
    /// hosts, and the loss of two of them at a time is borne.
    fn kill(&self, host: usize, fleet: &mut Fleet) -> Option<End> {
        if self.ends.iter().any(|(_, end)| matches!(end, End::StartHost(_))) {
            return None;
        }

        fleet.hosts[host].kill();
        Some(End::StartHost(host))
    }
}

/// Returns a target by the number of its proxy.
fn target(fleet: &Fleet, way: usize) -> &crate::support::target::Target {
    match way.checked_sub(fleet.engines.len()) {
        None => &fleet.engines[way],
        Some(desk) => &fleet.desks[desk],
    }
}

/// Harms all ways of a zone's hosts to the store and from other hosts.
fn set_zone(fleet: &Fleet, zone: &str, harm: Harm) {
    for host in fleet.hosts.iter().filter(|host| host.zone == zone) {
        host.to_store.set(harm);
        host.from_peers.set(harm);
    }
}

fn finish(end: End, fleet: &mut Fleet) {
    match end {
        End::Store => fleet.store.set_mode(Mode::Normal),
        End::StartHost(host) => fleet.start_host(host, false),
        End::WakeHost(host) => fleet.hosts[host].signal(Signal::CONT),
        End::HealStoreWay(host) => fleet.hosts[host].to_store.set(Harm::None),
        End::HealPeerWay(host) => fleet.hosts[host].from_peers.set(Harm::None),
        End::HealTargetWay(way) => fleet.to_targets[way].set(Harm::None),
        End::SoundTarget(way) => target(fleet, way).set_behavior(Behavior::Normal),
        End::HealZone(zone) => set_zone(fleet, zone, Harm::None),
    }
}
