//! How a manifest spreads over hosts that the store turns away, in virtual time.

use camphorwalk_core::ids::HostId;
use camphorwalk_core::time::Instant;
use camphorwalk_policy::entry::transfers::{Backoff, Decision, MAX_TRANSFERS, Transfers};

/// The version that spreads.
const VERSION: u64 = 2;

/// The bytes of a manifest, and of what a host's link carries in a step of [`STEP`] milliseconds.
const MANIFEST: u64 = 1_050_000;
const LINK: u64 = 37_500;
const STEP: u64 = 10;

/// How long it takes until news of a host come, in milliseconds.
const NEWS: u64 = 100;

fn at(millis: u64) -> Instant {
    Instant::from_millis(millis)
}

/// A copy that comes from a host, and how many bytes of it are left.
#[derive(Clone, Copy)]
struct Coming {
    from: usize,
    left: u64,
}

#[derive(Default)]
struct Host {
    /// When it got the manifest.
    has_since: Option<u64>,
    coming: Option<Coming>,
    transfers: Transfers,
    backoff: Backoff,
}

impl Host {
    /// Returns whether others know by now that it has the manifest.
    fn is_known_to_have(&self, now: u64) -> bool {
        self.has_since.is_some_and(|since| now >= since + NEWS)
    }
}

/// Hosts of a zone of which the first has the manifest.
struct Zone {
    hosts: Vec<Host>,
    most_at_once: usize,
}

impl Zone {
    fn new(size: usize) -> Self {
        let mut hosts: Vec<_> = (0..size).map(|_| Host::default()).collect();
        hosts[0].has_since = Some(0);

        Self { hosts, most_at_once: 0 }
    }

    /// Has a host ask one that has the manifest.
    fn ask(&mut self, now: u64, host: usize) {
        let may_ask = |i: &usize| {
            let backoff = &self.hosts[host].backoff;
            self.hosts[*i].is_known_to_have(now) && backoff.may_ask(at(now), HostId(*i as u64))
        };
        let able: Vec<_> = (0..self.hosts.len()).filter(may_ask).collect();
        // Any choice that differs between hosts and times will do.
        let Some(from) = able.get((host * 7 + now as usize / 10) % able.len().max(1)) else {
            return;
        };

        match self.hosts[*from].transfers.request(at(now), HostId(host as u64), VERSION) {
            Decision::Send => {
                self.hosts[host].coming = Some(Coming { from: *from, left: MANIFEST });
            }
            Decision::Refuse => {
                self.hosts[host].backoff.record_refusal(at(now), HostId(*from as u64))
            }
        }
    }

    /// Moves all copies on by one step; each link carries its copies evenly.
    fn carry(&mut self, now: u64) {
        let mut sending = vec![0; self.hosts.len()];
        self.hosts.iter().filter_map(|h| h.coming).for_each(|coming| sending[coming.from] += 1);
        self.most_at_once = self.most_at_once.max(sending.iter().copied().max().unwrap() as usize);

        for host in &mut self.hosts {
            let Some(coming) = &mut host.coming else { continue };
            coming.left = coming.left.saturating_sub(LINK / sending[coming.from]);
            if coming.left == 0 {
                host.coming = None;
                host.has_since = Some(now);
            }
        }
    }

    /// Has the hosts hear which others have the manifest now.
    fn tell(&mut self, now: u64) {
        let telling: Vec<_> =
            (0..self.hosts.len()).filter(|i| self.hosts[*i].is_known_to_have(now)).collect();

        for host in &mut self.hosts {
            telling.iter().for_each(|i| host.transfers.acknowledge(HostId(*i as u64), VERSION));
        }
    }

    /// Returns after how many milliseconds all have the manifest.
    fn play(&mut self) -> u64 {
        let mut now = 0;

        while self.hosts.iter().any(|host| host.has_since.is_none()) {
            assert!(now < 20_000, "some hosts do not get it");
            self.tell(now);
            for i in 0..self.hosts.len() {
                if self.hosts[i].has_since.is_none() && self.hosts[i].coming.is_none() {
                    self.ask(now, i);
                }
            }
            self.carry(now);
            now += STEP;
        }
        now
    }
}

/// Guards against one host sending to all others at once: its link and memory fill up.
#[test]
fn a_zone_that_asks_one_host_gets_the_manifest_from_many() {
    let mut zone = Zone::new(20);
    let from_one_host = 19 * MANIFEST / LINK * STEP;

    let took = zone.play();

    assert!(zone.most_at_once <= MAX_TRANSFERS, "{} copies at once", zone.most_at_once);
    assert!(took <= 2_000, "{took} ms; from one host alone {from_one_host} ms");
}

/// Guards against a host that never tells of its copy holding a place for good.
#[test]
fn a_copy_that_never_arrives_lapses() {
    let mut transfers = Transfers::default();
    let asked =
        |transfers: &mut Transfers, now, host| transfers.request(at(now), HostId(host), VERSION);

    (0..MAX_TRANSFERS as u64)
        .for_each(|host| assert_eq!(asked(&mut transfers, 0, host), Decision::Send));

    assert_eq!(asked(&mut transfers, 2_999, 9), Decision::Refuse);
    assert_eq!(asked(&mut transfers, 3_000, 9), Decision::Send);
    assert_eq!(transfers.len(), 1);
}

#[test]
fn news_of_an_older_version_do_not_end_a_copy() {
    let mut transfers = Transfers::default();
    transfers.request(at(0), HostId(1), VERSION);

    transfers.acknowledge(HostId(1), VERSION - 1);
    assert_eq!(transfers.len(), 1);
    transfers.acknowledge(HostId(1), VERSION + 1);
    assert!(transfers.is_empty());
}

/// Guards against a host whose copy was lost being refused by the only one that has it.
#[test]
fn a_host_that_asks_again_takes_its_own_place() {
    let mut transfers = Transfers::default();
    (0..MAX_TRANSFERS as u64).for_each(|host| {
        transfers.request(at(0), HostId(host), VERSION);
    });

    assert_eq!(transfers.request(at(1_000), HostId(0), VERSION), Decision::Send);
    assert_eq!(transfers.len(), MAX_TRANSFERS);
}

#[test]
fn a_copy_that_could_not_be_sent_takes_no_place() {
    let mut transfers = Transfers::default();
    transfers.request(at(0), HostId(1), VERSION);

    transfers.send_failed(HostId(1));

    assert!(transfers.is_empty());
}
