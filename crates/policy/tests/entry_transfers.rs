//! How a manifest spreads over hosts that the store rejects, in virtual time.

use camphorwalk_core::ids::HostId;
use camphorwalk_core::time::Instant;
use camphorwalk_policy::entry::transfers::{Backoff, Decision, MAX_TRANSFERS, Transfers};

/// The version that spreads.
const VERSION: u64 = 2;

/// The size of a manifest, and what a host's link carries in a step of [`STEP`] milliseconds, in
/// bytes.
const MANIFEST: u64 = 1_050_000;
const LINK: u64 = 37_500;
const STEP: u64 = 10;

/// The delay of a host's status updates, in milliseconds.
const UPDATE_DELAY: u64 = 100;

fn at(millis: u64) -> Instant {
    Instant::from_millis(millis)
}

/// A copy being received: the sending host, and the number of bytes still missing.
#[derive(Clone, Copy)]
struct Receiving {
    from: usize,
    left: u64,
}

#[derive(Default)]
struct Host {
    /// When the host received the manifest.
    has_since: Option<u64>,
    receiving: Option<Receiving>,
    transfers: Transfers,
    backoff: Backoff,
}

impl Host {
    /// Returns whether other hosts know at `now` that this one has the manifest.
    fn is_known_to_have(&self, now: u64) -> bool {
        self.has_since.is_some_and(|since| now >= since + UPDATE_DELAY)
    }
}

/// The hosts of a zone, of which the first has the manifest.
struct Zone {
    hosts: Vec<Host>,
    max_at_once: usize,
}

impl Zone {
    fn new(size: usize) -> Self {
        let mut hosts: Vec<_> = (0..size).map(|_| Host::default()).collect();
        hosts[0].has_since = Some(0);

        Self { hosts, max_at_once: 0 }
    }

    /// Lets a host request the manifest from one that has it.
    fn ask(&mut self, now: u64, host: usize) {
        let may_ask = |i: &usize| {
            let backoff = &self.hosts[host].backoff;
            self.hosts[*i].is_known_to_have(now) && backoff.may_request(at(now), HostId(*i as u64))
        };
        let able: Vec<_> = (0..self.hosts.len()).filter(may_ask).collect();
        // Any choice that differs between hosts and times is sufficient.
        let Some(from) = able.get((host * 7 + now as usize / 10) % able.len().max(1)) else {
            return;
        };

        match self.hosts[*from].transfers.request(at(now), HostId(host as u64), VERSION) {
            Decision::Send => {
                self.hosts[host].receiving = Some(Receiving { from: *from, left: MANIFEST });
            }
            Decision::Refuse => {
                self.hosts[host].backoff.record_refusal(at(now), HostId(*from as u64))
            }
        }
    }

    /// Advances all copies by one step; each link is shared evenly by its copies.
    fn advance(&mut self, now: u64) {
        let mut sending = vec![0; self.hosts.len()];
        self.hosts.iter().filter_map(|h| h.receiving).for_each(|copy| sending[copy.from] += 1);
        self.max_at_once = self.max_at_once.max(sending.iter().copied().max().unwrap() as usize);

        for host in &mut self.hosts {
            let Some(copy) = &mut host.receiving else { continue };
            copy.left = copy.left.saturating_sub(LINK / sending[copy.from]);
            if copy.left == 0 {
                host.receiving = None;
                host.has_since = Some(now);
            }
        }
    }

    /// Lets the hosts learn which others have the manifest now.
    fn exchange_updates(&mut self, now: u64) {
        let holders: Vec<_> =
            (0..self.hosts.len()).filter(|i| self.hosts[*i].is_known_to_have(now)).collect();

        for host in &mut self.hosts {
            holders.iter().for_each(|i| host.transfers.acknowledge(HostId(*i as u64), VERSION));
        }
    }

    /// Returns the number of milliseconds until all hosts have the manifest.
    fn run(&mut self) -> u64 {
        let mut now = 0;

        while self.hosts.iter().any(|host| host.has_since.is_none()) {
            assert!(now < 20_000, "some hosts never receive the manifest");
            self.exchange_updates(now);
            for i in 0..self.hosts.len() {
                if self.hosts[i].has_since.is_none() && self.hosts[i].receiving.is_none() {
                    self.ask(now, i);
                }
            }
            self.advance(now);
            now += STEP;
        }
        now
    }
}

/// Guards against one host sending to all others at once, which fills up its link and memory.
#[test]
fn a_zone_that_asks_one_host_gets_the_manifest_from_many() {
    let mut zone = Zone::new(20);
    let from_one_host = 19 * MANIFEST / LINK * STEP;

    let took = zone.run();

    assert!(zone.max_at_once <= MAX_TRANSFERS, "{} copies at once", zone.max_at_once);
    assert!(took <= 2_000, "{took} ms; from one host alone {from_one_host} ms");
}

/// Guards against a transfer slot being lost when the receiving host never reports its copy.
#[test]
fn a_transfer_that_never_arrives_expires() {
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
fn an_update_with_an_older_version_does_not_end_a_transfer() {
    let mut transfers = Transfers::default();
    transfers.request(at(0), HostId(1), VERSION);

    transfers.acknowledge(HostId(1), VERSION - 1);
    assert_eq!(transfers.len(), 1);
    transfers.acknowledge(HostId(1), VERSION + 1);
    assert!(transfers.is_empty());
}

/// Guards against refusing a host whose copy was lost, at the only host that has the manifest.
#[test]
fn a_repeated_request_replaces_the_previous_one() {
    let mut transfers = Transfers::default();
    (0..MAX_TRANSFERS as u64).for_each(|host| {
        transfers.request(at(0), HostId(host), VERSION);
    });

    assert_eq!(transfers.request(at(1_000), HostId(0), VERSION), Decision::Send);
    assert_eq!(transfers.len(), MAX_TRANSFERS);
}

#[test]
fn a_failed_transfer_is_not_counted() {
    let mut transfers = Transfers::default();
    transfers.request(at(0), HostId(1), VERSION);

    transfers.send_failed(HostId(1));

    assert!(transfers.is_empty());
}
