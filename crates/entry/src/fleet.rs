//! The other hosts: who they are, by their rows in the store, and what they tell of themselves.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use camphorwalk_core::hash::{Map, Set, rendezvous_order};
use camphorwalk_core::ids::HostId;
use camphorwalk_core::messages::{Body, PeerMessage};
use camphorwalk_core::platform::{
    Check, PlatformOp, PlatformReply, Row, RowKey, RowVersion, Transaction, Write,
};
use camphorwalk_core::time::Instant;
use camphorwalk_peer::{Inbound, PeerOptions, Peers, Secret};
use camphorwalk_policy::entry::host_rows::{HostRows, Presence};
use camphorwalk_policy::entry::isolation::Contact;
use rand::RngCore as _;
use rand::seq::IteratorRandom as _;
use serde::{Deserialize, Serialize};
use tokio::sync::mpsc;
use tokio::time::sleep;
use tracing::{info, warn};

use crate::host::Shared;
use crate::{asks, clock, news, store, watch};

/// The table of hosts, each under its name.
const HOSTS_TABLE: &str = "hosts";

/// The table of what the fleet shares.
const FLEET_TABLE: &str = "fleet";

/// How often a host writes its row, and reads those of the others.
const BEAT_PERIOD: Duration = Duration::from_secs(5);

/// So many rounds after the start are short.
const FIRST_BEATS: u64 = 4;

/// A host that told nothing for this long has nothing in flight that counts.
const SILENT: Duration = Duration::from_secs(2);

/// What a host told within this time still holds.
const FRESH: Duration = Duration::from_millis(700);

/// The pause after a failed question to the store.
const FAILED_PAUSE: Duration = Duration::from_millis(500);

/// How many messages of other hosts wait.
const INBOUND_BUFFER: usize = 1_024;

/// A host's row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct HostRow {
    /// Where its peers reach it.
    peers: SocketAddr,
    zone: Box<str>,
    /// The run of its process.
    run: u64,
    /// Counts up with each write.
    beat: u64,
}

/// Another host, as its row shows it.
struct Known {
    address: SocketAddr,
    zone: Box<str>,
}

/// What is known of the fleet.
pub(crate) struct Fleet {
    name: Box<str>,
    zone: Box<str>,
    own: HostId,
    rows: RefCell<HostRows>,
    known: RefCell<Map<HostId, Known>>,
    heard: RefCell<Map<HostId, Heard>>,
    peers: RefCell<Option<Peers>>,
}

/// What another host told last of itself.
#[derive(Clone, Copy)]
pub(crate) struct Heard {
    pub(crate) at: Instant,
    /// Whether the store answers it.
    pub(crate) store_answers: bool,
    /// The run of its process.
    pub(crate) run: u64,
    /// The version of the manifest in force there; 0 for none.
    pub(crate) manifest_version: u64,
    /// Whether it knows of all that was granted to programs without the store.
    pub(crate) remembers: bool,
    /// Whether it knows that there were such grants to programs that may still return.
    pub(crate) knows_of_loose: bool,
}

impl Heard {
    fn is_fresh(&self, now: Instant) -> bool {
        now.since(self.at) < FRESH
    }
}

impl Fleet {
    /// Begins with no other hosts.
    pub(crate) fn new(name: &str, zone: &str) -> Self {
        Self {
            name: name.into(),
            zone: zone.into(),
            own: HostId::from_name(name),
            rows: RefCell::default(),
            known: RefCell::default(),
            heard: RefCell::default(),
            peers: RefCell::default(),
        }
    }

    /// Returns how many hosts there are, this one included.
    pub(crate) fn size(&self) -> usize {
        self.known.borrow().len() + 1
    }

    /// Returns whether a host told its news of late.
    fn is_heard(&self, host: HostId) -> bool {
        self.heard.borrow().get(&host).is_some_and(|heard| heard.is_fresh(clock::now()))
    }

    /// Returns the hosts that told their news of late, and what they told.
    fn fresh(&self) -> Vec<(HostId, Heard)> {
        let now = clock::now();
        let heard = self.heard.borrow();

        heard.iter().filter(|(_, h)| h.is_fresh(now)).map(|(host, h)| (*host, *h)).collect()
    }

    /// Returns a host that the store answers, by its last news.
    pub(crate) fn store_peer(&self) -> Option<HostId> {
        let reaching = self.fresh().into_iter().filter(|(_, heard)| heard.store_answers);

        reaching.map(|(host, _)| host).choose(&mut rand::rng())
    }

    /// Returns the host that a run of a process is on, if it is heard.
    pub(crate) fn host_of_run(&self, run: u64) -> Option<HostId> {
        self.fresh().into_iter().find(|(_, heard)| heard.run == run).map(|(host, _)| host)
    }

    /// Returns a host that is heard, has a newer manifest than `version` and is one that `may_ask`
    /// picks, of this host's own availability zone if there is one: a manifest may be far longer
    /// than all other news.
    pub(crate) fn manifest_peer(
        &self,
        version: u64,
        may_ask: impl Fn(&HostId) -> bool,
    ) -> Option<HostId> {
        let known = self.known.borrow();
        let is_near = |host: &HostId| known.get(host).is_some_and(|k| k.zone == self.zone);
        let fresh = self.fresh().into_iter().filter(|(_, h)| h.manifest_version > version);
        let (near, far): (Vec<_>, Vec<_>) =
            fresh.map(|(host, _)| host).filter(may_ask).partition(|host| is_near(host));

        near.into_iter()
            .choose(&mut rand::rng())
            .or_else(|| far.into_iter().choose(&mut rand::rng()))
    }

    /// Returns a host that is heard.
    pub(crate) fn any_peer(&self) -> Option<HostId> {
        self.fresh().into_iter().map(|(host, _)| host).choose(&mut rand::rng())
    }

    /// Returns whether this host hears more than half of all hosts, itself included. Of two
    /// groups of hosts that are cut from each other, at most one does.
    pub(crate) fn is_majority(&self) -> bool {
        let known = self.known.borrow();
        let there = self.fresh().into_iter().filter(|(host, _)| known.contains_key(host));

        (there.count() + 1) * 2 > known.len() + 1
    }

    /// Returns what the other known hosts that are heard told last.
    pub(crate) fn fresh_news(&self) -> Vec<Heard> {
        let known = self.known.borrow();
        let fresh = self.fresh().into_iter().filter(|(host, _)| known.contains_key(host));

        fresh.map(|(_, heard)| heard).collect()
    }

    /// Returns the hosts that are heard, this one included, in the fixed order of an item.
    pub(crate) fn order(&self, item: u64) -> Vec<HostId> {
        let fresh = self.fresh().into_iter().map(|(host, _)| host.0);

        rendezvous_order(item, fresh.chain([self.own.0])).into_iter().map(HostId).collect()
    }

    /// Returns the hosts of other zones that are heard, in the fixed order of an item; with one
    /// zone only, the other hosts that are heard.
    ///
    /// What is told to one of them and acknowledged is known outside of this host's zone, and so
    /// no cut of the zone had begun. A belief about the cut would come most of a second late.
    pub(crate) fn witnesses(&self, item: u64) -> Vec<HostId> {
        let witnesses = self.known_witnesses();

        self.order(item).into_iter().filter(|host| witnesses.contains(host)).collect()
    }

    /// Returns the known hosts that may be witnesses, heard or not.
    fn known_witnesses(&self) -> Set<HostId> {
        let known = self.known.borrow();
        let has_other_zones = known.values().any(|known| known.zone != self.zone);
        let witnesses =
            known.iter().filter(|(_, known)| !has_other_zones || known.zone != self.zone);

        witnesses.map(|(host, _)| *host).collect()
    }

    /// Returns when a host told its news last.
    pub(crate) fn heard_at(&self, host: HostId) -> Option<Instant> {
        self.heard.borrow().get(&host).map(|heard| heard.at)
    }

    /// Returns whether a host told its news of late.
    pub(crate) fn hears(&self, host: HostId) -> bool {
        self.heard.borrow().get(&host).is_some_and(|heard| heard.is_fresh(clock::now()))
    }

    /// Returns whether a run of a process told its news of late.
    pub(crate) fn hears_run(&self, run: u64) -> bool {
        self.host_of_run(run).is_some()
    }

    /// Returns whether another host knows of all that was granted to programs without the store, by
    /// its last news.
    pub(crate) fn remembers(&self, host: HostId) -> bool {
        self.heard.borrow().get(&host).is_some_and(|heard| heard.remembers)
    }

    /// Returns whether the store answers another host, by its last news.
    pub(crate) fn store_answers(&self, host: HostId) -> bool {
        self.heard.borrow().get(&host).is_some_and(|heard| heard.store_answers)
    }

    /// Returns the id of this host.
    pub(crate) fn own(&self) -> HostId {
        self.own
    }

    /// Returns all other hosts that are known, heard or not.
    pub(crate) fn known_hosts(&self) -> Vec<HostId> {
        self.known.borrow().keys().copied().collect()
    }

    /// Returns whether a host of a zone told its news of late.
    pub(crate) fn hears_zone(&self, zone: &str) -> bool {
        self.contact(|known| *known.zone == *zone) == Contact::Heard
    }

    /// Returns whom this host hears in other zones.
    pub(crate) fn contact_elsewhere(&self) -> Contact {
        self.contact(|known| known.zone != self.zone)
    }

    /// Returns whom this host hears at all.
    pub(crate) fn contact_anywhere(&self) -> Contact {
        self.contact(|_| true)
    }

    /// Returns whom this host hears of the known hosts that `which` picks.
    fn contact(&self, which: impl Fn(&Known) -> bool) -> Contact {
        let known = self.known.borrow();
        let is_picked = |host: &HostId| known.get(host).is_some_and(&which);

        if self.fresh().iter().any(|(host, _)| is_picked(host)) {
            return Contact::Heard;
        }
        match known.values().any(&which) {
            true => Contact::Silent,
            false => Contact::NoneKnown,
        }
    }

    /// Sends a message to another host. Returns false if it cannot be sent; a message that is
    /// sent may still be lost.
    pub(crate) fn send(&self, host: HostId, body: Body) -> bool {
        let peers = self.peers.borrow();

        peers.as_ref().is_some_and(|peers| peers.send(host, PeerMessage::from(body)))
    }

    /// Returns the hosts of this host's own availability zone, without itself, and all others.
    pub(crate) fn by_distance(&self) -> (Vec<HostId>, Vec<HostId>) {
        let known = self.known.borrow();

        known.keys().partition(|host| known[*host].zone == self.zone)
    }

    /// Takes in that another host told its news. Returns whether it was silent before or is another
    /// run of its process.
    pub(crate) fn heard(&self, host: HostId, heard: Heard) -> bool {
        let before = self.heard.borrow_mut().insert(host, heard);

        before.is_none_or(|before| before.run != heard.run)
    }
}

/// Starts to know the other hosts and to talk with them.
pub(crate) fn start(shared: &Rc<Shared>) {
    tokio::task::spawn_local(run(Rc::clone(shared)));
}

async fn run(shared: Rc<Shared>) {
    let secret = secret(&shared).await;
    let (tx, rx) = mpsc::channel(INBOUND_BUFFER);
    let settings = &shared.settings;
    let options = PeerOptions {
        keepalive: Duration::from_millis(500),
        silence_limit: SILENT,
        connect_timeout: Duration::from_millis(500),
        max_backoff: Duration::from_millis(400),
        ..PeerOptions::new(
            settings.peers_address,
            &settings.name,
            &settings.zone,
            shared.run.0,
            secret,
        )
    };
    let peers = match Peers::start(options, tx).await {
        Ok(peers) => peers,
        Err(e) => {
            warn!(error = %e, "fleet: cannot listen for other hosts, goes on alone");
            return;
        }
    };

    *shared.fleet.peers.borrow_mut() = Some(peers.clone());
    tokio::task::spawn_local(beat(Rc::clone(&shared), peers.clone()));
    tokio::task::spawn_local(hear(Rc::clone(&shared), rx));
    news::tell(shared, peers).await;
}

/// Gets the secret by which the hosts know each other. The first host of a fleet writes it.
async fn secret(shared: &Rc<Shared>) -> Secret {
    let key = RowKey::new(FLEET_TABLE, "secret");

    loop {
        let mut bytes = [0; 32];
        rand::rng().fill_bytes(&mut bytes);
        let text: String = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
        let reply = match store::probe(shared, PlatformOp::Read(vec![key.clone()])).await {
            PlatformReply::Rows(rows) if rows.is_empty() => {
                let tx = Transaction {
                    checks: vec![Check { key: key.clone(), version: RowVersion::ABSENT }],
                    writes: vec![Write { key: key.clone(), value: Some(text.into()) }],
                };
                store::probe(shared, PlatformOp::Commit(tx)).await;
                continue;
            }
            reply => reply,
        };

        if let PlatformReply::Rows(rows) = reply
            && let Some(secret) = rows.first().and_then(|row| Secret::from_hex(&row.value).ok())
        {
            return secret;
        }
        sleep(FAILED_PAUSE).await;
    }
}

/// Writes this host's row and reads those of the others, again and again.
async fn beat(shared: Rc<Shared>, peers: Peers) {
    let mut beat = 0;

    loop {
        beat += 1;
        let row = HostRow {
            peers: peers.local_address(),
            zone: shared.settings.zone.clone(),
            run: shared.run.0,
            beat,
        };
        let key = RowKey::new(HOSTS_TABLE, shared.settings.name.clone());
        let value = serde_json::to_string(&row).ok().map(Into::into);
        let write = Transaction { checks: Vec::new(), writes: vec![Write { key, value }] };
        store::probe(&shared, PlatformOp::Commit(write)).await;

        let op = PlatformOp::Scan {
            table: HOSTS_TABLE.into(),
            prefix: "".into(),
            after: "".into(),
            limit: 500,
        };
        let answered = match store::probe(&shared, op).await {
            PlatformReply::Rows(rows) => {
                know(&shared, &peers, &rows, beat > FIRST_BEATS);
                true
            }
            _ => false,
        };

        // The first rounds are short: hosts start together, and each must know the others
        // before it knows its share of the rates.
        let pause = match answered {
            true if beat >= FIRST_BEATS => BEAT_PERIOD,
            _ => FAILED_PAUSE,
        };
        sleep(pause).await;
    }
}

/// Takes in the rows of all hosts. `is_period_over` tells that each has had the time to write
/// its row again since the last read.
fn know(shared: &Rc<Shared>, peers: &Peers, rows: &[Row], is_period_over: bool) {
    let fleet = &shared.fleet;
    let mut known = fleet.known.borrow_mut();

    for row in rows.iter().filter(|row| row.key.key != fleet.name) {
        let host = HostId::from_name(&row.key.key);
        let content: HostRow = match serde_json::from_str(&row.value) {
            Ok(content) => content,
            Err(e) => {
                warn!(host = %row.key.key, error = %e, "fleet: row passed over");
                continue;
            }
        };
        let is_due = is_period_over && !fleet.is_heard(host);
        let presence = fleet.rows.borrow_mut().record_read(host, row.version, is_due);

        match presence {
            Presence::Updated => {
                if known.get(&host).is_none_or(|known| known.address != content.peers) {
                    info!(host = %row.key.key, address = %content.peers, "fleet: host known");
                }
                known.insert(host, Known { address: content.peers, zone: content.zone });
                peers.set_address(host, content.peers);
            }
            Presence::Silent => {}
            Presence::Gone => {
                if let Some(known) = known.remove(&host) {
                    info!(host = %row.key.key, address = %known.address, "fleet: host gone");
                    peers.forget(host);
                }
            }
        }
    }

    shared.rates.borrow_mut().set_peers(known.keys().copied().collect());
}

/// What a silent host had in flight no longer counts.
pub(crate) fn forget_silent(shared: &Rc<Shared>) {
    let now = clock::now();
    let silent: Vec<_> = {
        let mut heard = shared.fleet.heard.borrow_mut();
        heard.extract_if(|_, heard| now.since(heard.at) > SILENT).map(|(host, _)| host).collect()
    };

    for host in silent {
        info!(host = host.0, "fleet: host silent");
        shared.targets.borrow_mut().set_remote_load(host, Map::default(), Map::default());
    }
}

/// Takes in what other hosts tell.
async fn hear(shared: Rc<Shared>, mut rx: mpsc::Receiver<Inbound>) {
    while let Some(inbound) = rx.recv().await {
        let Inbound::Message { from, message } = inbound else { continue };

        match message.body {
            Some(Body::EntryStatus(news)) => news::take_in(&shared, from, news),
            Some(Body::Manifest(manifest)) => watch::adopt(&shared, &manifest.text, "peer"),
            Some(Body::PeerQuery(ask)) => {
                tokio::task::spawn_local(asks::serve(Rc::clone(&shared), from, ask));
            }
            Some(Body::PeerQueryReply(reply)) => asks::take_in(&shared, &reply),
            _ => {}
        }
    }
}
