//! The other hosts of the fleet: which exist, according to their rows in the store, and their
//! latest status updates.

use std::cell::{Cell, RefCell};
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
use camphorwalk_policy::entry::budgets::RunId;
use camphorwalk_policy::entry::grant_leases::{HostSeen, Partition, PartitionSet};
use camphorwalk_policy::entry::host_rows::{HostRows, Presence};
use camphorwalk_policy::entry::isolation::Contact;
use camphorwalk_policy::entry::status_exchange::{Forwarding, Member, mean_delay};
use rand::RngCore as _;
use rand::seq::IteratorRandom as _;
use serde::{Deserialize, Serialize};
use tokio::sync::mpsc;
use tokio::time::sleep;
use tracing::{info, warn};

use crate::host::Shared;
use crate::{clock, preferred, queries, status_updates, store, watch};

/// The table of hosts. Each host's row is stored under its name.
pub(crate) const HOSTS_TABLE: &str = "hosts";

/// The table of settings that all hosts share.
const FLEET_TABLE: &str = "fleet";

/// The pause between two rounds in which a host writes its own row and reads the rows of the
/// others.
const HEARTBEAT_PERIOD: Duration = Duration::from_secs(5);

/// The number of heartbeats after the start that are only a short pause apart.
const FAST_HEARTBEATS: u64 = 4;

/// The in-flight and waiting calls of a host no longer count after this long without a status
/// update of it. A connection to another host that owes an answer for this long is closed.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(2);

/// How often a connection to another host is checked while messages are sent on it. In a large
/// fleet there are many connections with few messages each.
const KEEPALIVE: Duration = Duration::from_secs(1);

/// How long a status update is valid. A host is live while its latest one is valid.
const STATUS_VALID_FOR: Duration = Duration::from_millis(700);

/// The pause after a failed operation on the store, and between the first heartbeats of a process.
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// How many times a heartbeat tries to write this host's row if another version of it is stored.
const OWN_ROW_ATTEMPTS: u32 = 2;

/// The number of host rows that are read with one operation.
const ROWS_PER_READ: u32 = 500;

/// How many received messages may wait to be processed.
const INBOUND_BUFFER: usize = 1_024;

/// A host's row in the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct HostRow {
    /// The address at which other hosts connect to it.
    peers: SocketAddr,
    zone: Box<str>,
    /// The id of this run of its process.
    run: u64,
    /// Incremented by each write, so that the row's version changes.
    beat: u64,
    /// The processor time that it may use, in thousandths of a core; 0 from an older build.
    #[serde(default)]
    processor_millis: u32,
}

/// Another host, according to its row in the store.
struct KnownHost {
    address: SocketAddr,
    zone: Box<str>,
    processor_millis: u32,
}

/// The hosts of the fleet, as this host knows them.
pub(crate) struct Fleet {
    name: Box<str>,
    zone: Box<str>,
    own_id: HostId,
    rows: RefCell<HostRows>,
    known: RefCell<Map<HostId, KnownHost>>,
    seen: RefCell<Map<HostId, HostSeen>>,
    /// The version of this host's own row in the store, as last seen.
    own_row_version: Cell<RowVersion>,
    statuses: RefCell<Map<HostId, HostStatus>>,
    /// The hosts that were heard, and then sent no status update for [`SILENCE_TIMEOUT`].
    silent: RefCell<Set<HostId>>,
    peers: RefCell<Option<Peers>>,
}

/// The latest status update of another host.
#[derive(Clone, Copy)]
pub(crate) struct HostStatus {
    pub(crate) received_at: Instant,
    /// Whether the store answers the sender.
    pub(crate) store_answers: bool,
    /// The id of the run of the sender's process.
    pub(crate) run: u64,
    /// The version of the manifest in force at the sender; 0 for none.
    pub(crate) manifest_version: u64,
    /// The partitions whose grant lease the sender holds.
    pub(crate) grant_leases: PartitionSet,
    /// Whether the sender acquires vacant leases.
    pub(crate) claims_leases: bool,
    /// Whether the sender forwards status updates within its zone.
    pub(crate) forwards: bool,
}

impl HostStatus {
    fn is_valid(&self, now: Instant) -> bool {
        now.since(self.received_at) < STATUS_VALID_FOR
    }
}

impl Fleet {
    /// Creates a fleet without other hosts.
    pub(crate) fn new(name: &str, zone: &str) -> Self {
        Self {
            name: name.into(),
            zone: zone.into(),
            own_id: HostId::from_name(name),
            rows: RefCell::default(),
            known: RefCell::default(),
            seen: RefCell::default(),
            own_row_version: Cell::new(RowVersion::ABSENT),
            statuses: RefCell::default(),
            silent: RefCell::default(),
            peers: RefCell::default(),
        }
    }

    /// Returns the number of known hosts, including this one.
    pub(crate) fn size(&self) -> usize {
        self.known.borrow().len() + 1
    }

    /// Returns whether another host is live, like [`Fleet::is_live`].
    fn has_recent_status(&self, host: HostId) -> bool {
        self.statuses.borrow().get(&host).is_some_and(|status| status.is_valid(clock::now()))
    }

    /// Returns the other live hosts with their latest status, also those whose row is not known.
    fn live_hosts(&self) -> Vec<(HostId, HostStatus)> {
        let now = clock::now();
        let statuses = self.statuses.borrow();

        statuses.iter().filter(|(_, s)| s.is_valid(now)).map(|(host, s)| (*host, *s)).collect()
    }

    /// Returns a random other live host that the store answers, according to its latest status.
    /// Hosts of this host's availability zone are preferred: updates of other zones may be forwarded
    /// to this host although it cannot reach their senders.
    pub(crate) fn live_peer_with_store(&self) -> Option<HostId> {
        let reaching = self.live_hosts().into_iter().filter(|(_, status)| status.store_answers);

        self.choose_near(reaching.map(|(host, _)| host))
    }

    /// Returns a random one of some hosts, if possible of this host's availability zone.
    fn choose_near(&self, hosts: impl Iterator<Item = HostId>) -> Option<HostId> {
        let known = self.known.borrow();
        let is_near = |host: &HostId| known.get(host).is_some_and(|k| k.zone == self.zone);
        let (near, far): (Vec<_>, Vec<_>) = hosts.partition(is_near);

        near.into_iter()
            .choose(&mut rand::rng())
            .or_else(|| far.into_iter().choose(&mut rand::rng()))
    }

    /// Returns the other live host whose process has this run id.
    pub(crate) fn live_host_of_run(&self, run: u64) -> Option<HostId> {
        self.live_hosts().into_iter().find(|(_, status)| status.run == run).map(|(host, _)| host)
    }

    /// Returns a random other live host that has a newer manifest than `version` and that `may_ask`
    /// accepts. Hosts of this host's availability zone are preferred, since a manifest may be far
    /// longer than all other messages.
    pub(crate) fn live_peer_with_manifest(
        &self,
        version: u64,
        may_ask: impl Fn(&HostId) -> bool,
    ) -> Option<HostId> {
        let live = self.live_hosts().into_iter().filter(|(_, s)| s.manifest_version > version);

        self.choose_near(live.map(|(host, _)| host).filter(may_ask))
    }

    /// Returns a random other live host, like [`Fleet::live_peer_with_store`].
    pub(crate) fn any_live_peer(&self) -> Option<HostId> {
        self.choose_near(self.live_hosts().into_iter().map(|(host, _)| host))
    }

    /// Returns another host that holds the grant lease of a partition and is not silent. In a large
    /// fleet status updates are too rare for hosts to be live all the time.
    pub(crate) fn lease_holder(&self, partition: Partition) -> Option<HostId> {
        let statuses = self.statuses.borrow();
        let holds = |status: &HostStatus| status.grant_leases.contains(partition);
        let holders = statuses.iter().filter(|(_, status)| holds(status));

        holders.max_by_key(|(_, status)| status.received_at).map(|(host, _)| *host)
    }

    /// Returns the partitions whose grant lease some other host holds that is not silent.
    pub(crate) fn leases_held_elsewhere(&self) -> PartitionSet {
        let statuses = self.statuses.borrow();
        let held = statuses.values().map(|status| status.grant_leases);

        held.fold(PartitionSet::default(), PartitionSet::union)
    }

    /// Returns the hosts that acquire leases, this one included, as far as they are not silent.
    pub(crate) fn lease_claimants(&self) -> Vec<HostId> {
        let statuses = self.statuses.borrow();
        let claimants = statuses.iter().filter(|(_, status)| status.claims_leases);

        claimants.map(|(host, _)| *host).chain([self.own_id]).collect()
    }

    /// Returns whether a run is the last known one of another host, so that its process may run.
    pub(crate) fn may_run(&self, run: RunId) -> bool {
        self.seen.borrow().values().any(|seen| seen.run == run)
    }

    /// Records what a read of another host's row, which began at `began`, says about it.
    fn record_seen(&self, host: HostId, run: RunId, version: RowVersion, began: Instant) {
        let mut seen = self.seen.borrow_mut();
        let before = seen.get(&host).copied();

        seen.insert(host, HostSeen::after_read(before, run, version, began, clock::now()));
    }

    /// Returns what the last read of a host's row says about it.
    pub(crate) fn host_seen(&self, name: &str) -> Option<HostSeen> {
        self.seen.borrow().get(&HostId::from_name(name)).copied()
    }

    /// Returns the live hosts, including this one, in an order that is fixed for each item, such as
    /// a program (rendezvous hashing).
    pub(crate) fn live_hosts_in_order(&self, item: u64) -> Vec<HostId> {
        let live = self.live_hosts().into_iter().map(|(host, _)| host.0);

        rendezvous_order(item, live.chain([self.own_id.0])).into_iter().map(HostId).collect()
    }

    /// Returns the live hosts of other zones, in the fixed order of an item. In a fleet with a
    /// single zone it returns the other live hosts.
    ///
    /// If one of them acknowledges data, the data is known outside of this host's zone, so the zone
    /// was not partitioned off yet. The liveness of hosts would show the partition only after most
    /// of a second.
    pub(crate) fn live_replicas(&self, item: u64) -> Vec<HostId> {
        let candidates = self.replica_candidates();

        self.live_hosts_in_order(item)
            .into_iter()
            .filter(|host| candidates.contains(host))
            .collect()
    }

    /// Returns the known hosts that may hold replicas for this host, live or not: those of other
    /// zones, or in a fleet with a single zone all other hosts.
    fn replica_candidates(&self) -> Set<HostId> {
        let known = self.known.borrow();
        let has_other_zones = known.values().any(|known| known.zone != self.zone);
        let candidates =
            known.iter().filter(|(_, known)| !has_other_zones || known.zone != self.zone);

        candidates.map(|(host, _)| *host).collect()
    }

    /// Returns when the latest status update of another host arrived.
    pub(crate) fn last_status_at(&self, host: HostId) -> Option<Instant> {
        self.statuses.borrow().get(&host).map(|status| status.received_at)
    }

    /// Returns whether another host is live.
    pub(crate) fn is_live(&self, host: HostId) -> bool {
        self.statuses.borrow().get(&host).is_some_and(|status| status.is_valid(clock::now()))
    }

    /// Returns whether another host whose process has this run id is live.
    pub(crate) fn is_run_live(&self, run: u64) -> bool {
        self.live_host_of_run(run).is_some()
    }

    /// Returns whether the store answers another host, according to its latest status.
    pub(crate) fn store_answers(&self, host: HostId) -> bool {
        self.statuses.borrow().get(&host).is_some_and(|status| status.store_answers)
    }

    /// Returns the run of another host's process that sent its latest status update.
    pub(crate) fn run_of(&self, host: HostId) -> Option<u64> {
        self.statuses.borrow().get(&host).map(|status| status.run)
    }

    /// Returns the availability zone of another known host.
    pub(crate) fn zone_of(&self, host: HostId) -> Option<Box<str>> {
        self.known.borrow().get(&host).map(|known| known.zone.clone())
    }

    /// Returns the id of this host.
    pub(crate) fn own_id(&self) -> HostId {
        self.own_id
    }

    /// Returns all other known hosts, live or not.
    pub(crate) fn known_hosts(&self) -> Vec<HostId> {
        self.known.borrow().keys().copied().collect()
    }

    /// Returns whether any other host of a zone is live.
    pub(crate) fn is_zone_live(&self, zone: &str) -> bool {
        self.contact(|known| *known.zone == *zone) == Contact::Heard
    }

    /// Returns whether hosts of other zones are known, and whether any of them is live.
    pub(crate) fn contact_elsewhere(&self) -> Contact {
        self.contact(|known| known.zone != self.zone)
    }

    /// Returns whether other hosts are known, and whether any of them is live.
    pub(crate) fn contact_anywhere(&self) -> Contact {
        self.contact(|_| true)
    }

    /// Returns whether hosts that `which` selects are known, and whether any of them is live.
    fn contact(&self, which: impl Fn(&KnownHost) -> bool) -> Contact {
        let known = self.known.borrow();
        let is_picked = |host: &HostId| known.get(host).is_some_and(&which);

        if self.live_hosts().iter().any(|(host, _)| is_picked(host)) {
            return Contact::Heard;
        }
        match known.values().any(&which) {
            true => Contact::Silent,
            false => Contact::NoneKnown,
        }
    }

    /// Queues a message to another host. Returns false if that is not possible. A queued message
    /// may still be lost.
    pub(crate) fn send(&self, host: HostId, body: Body) -> bool {
        let peers = self.peers.borrow();

        peers.as_ref().is_some_and(|peers| peers.send(host, PeerMessage::from(body)))
    }

    /// Returns the other known hosts that have not fallen silent, with their zones. A process that
    /// has just started has not heard of most of them yet.
    pub(crate) fn hosts_not_silent(&self) -> Vec<(HostId, Box<str>)> {
        let silent = self.silent.borrow();
        let known = self.known.borrow();
        let others = known.iter().filter(|(host, _)| !silent.contains(host));

        others.map(|(host, known)| (*host, known.zone.clone())).collect()
    }

    /// Returns the other known hosts of this host's availability zone.
    pub(crate) fn zone_hosts(&self) -> Vec<HostId> {
        let known = self.known.borrow();

        known.iter().filter(|(_, known)| known.zone == self.zone).map(|(host, _)| *host).collect()
    }

    /// Calls `f` with all other known hosts.
    pub(crate) fn with_members<T>(&self, f: impl FnOnce(&[Member<'_>]) -> T) -> T {
        let now = clock::now();
        let known = self.known.borrow();
        let statuses = self.statuses.borrow();
        let members: Vec<_> = known
            .iter()
            .map(|(host, known)| {
                let status = statuses.get(host);
                let forwarding = match status.map(|status| status.forwards) {
                    None => Forwarding::Unknown,
                    Some(true) => Forwarding::Supported,
                    Some(false) => Forwarding::Unsupported,
                };
                let age = status.map(|status| now.since(status.received_at));
                let KnownHost { zone, processor_millis, .. } = known;
                Member { host: *host, zone, age, forwarding, processor_millis: *processor_millis }
            })
            .collect();

        f(&members)
    }

    /// Returns the number of other known hosts of this host's availability zone, and of all other
    /// zones.
    pub(crate) fn sizes(&self) -> (usize, usize) {
        let known = self.known.borrow();
        let near = known.values().filter(|known| known.zone == self.zone).count();

        (near, known.len() - near)
    }

    /// Records the latest status of another host. Returns whether the previous one is missing (see
    /// [`drop_silent_hosts`]) or came from an earlier run of the host's process.
    pub(crate) fn record_status(&self, host: HostId, status: HostStatus) -> bool {
        let before = self.statuses.borrow_mut().insert(host, status);
        self.silent.borrow_mut().remove(&host);

        before.is_none_or(|before| before.run != status.run)
    }
}

/// Starts the exchange with the other hosts: listening, connecting and broadcasting.
pub(crate) fn start(shared: &Rc<Shared>) {
    tokio::task::spawn_local(run(Rc::clone(shared)));
}

async fn run(shared: Rc<Shared>) {
    let secret = load_secret(&shared).await;
    let (tx, rx) = mpsc::channel(INBOUND_BUFFER);
    let settings = &shared.settings;
    let options = PeerOptions {
        keepalive: KEEPALIVE,
        silence_limit: SILENCE_TIMEOUT,
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
            warn!(error = %e, "fleet: cannot listen for other hosts, runs without them");
            return;
        }
    };

    *shared.fleet.peers.borrow_mut() = Some(peers.clone());
    tokio::task::spawn_local(heartbeat(Rc::clone(&shared), peers.clone()));
    tokio::task::spawn_local(receive(Rc::clone(&shared), rx));
    preferred::start(&shared, peers.clone());
    status_updates::broadcast(shared, peers).await;
}

/// Loads the secret with which the hosts of a fleet authenticate each other. The first host creates
/// it.
async fn load_secret(shared: &Rc<Shared>) -> Secret {
    let key = RowKey::new(FLEET_TABLE, "secret");

    loop {
        let mut bytes = [0; 32];
        rand::rng().fill_bytes(&mut bytes);
        let text: String = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
        let reply =
            match store::run_direct_or_relayed(shared, PlatformOp::Read(vec![key.clone()])).await {
                PlatformReply::Rows(rows) if rows.is_empty() => {
                    let tx = Transaction {
                        checks: vec![Check { key: key.clone(), version: RowVersion::ABSENT }],
                        writes: vec![Write { key: key.clone(), value: Some(text.into()) }],
                    };
                    store::run_direct_or_relayed(shared, PlatformOp::Commit(tx)).await;
                    continue;
                }
                reply => reply,
            };

        if let PlatformReply::Rows(rows) = reply
            && let Some(secret) = rows.first().and_then(|row| Secret::from_hex(&row.value).ok())
        {
            return secret;
        }
        sleep(RETRY_PAUSE).await;
    }
}

/// Periodically writes this host's row and reads the rows of the others.
async fn heartbeat(shared: Rc<Shared>, peers: Peers) {
    let mut beat = 0;

    loop {
        beat += 1;
        let row = HostRow {
            peers: peers.local_address(),
            zone: shared.settings.zone.clone(),
            run: shared.run.0,
            beat,
            processor_millis: shared.settings.processor_millis,
        };
        write_own_row(&shared, &row).await;
        let answered = read_host_rows(&shared, &peers, beat > FAST_HEARTBEATS).await;

        // The first rounds are short, because hosts of a fleet start at the same time and each must
        // know the others to determine its share of the rates.
        let pause = match answered {
            true if beat >= FAST_HEARTBEATS => HEARTBEAT_PERIOD,
            _ => RETRY_PAUSE,
        };
        sleep(pause).await;
    }
}

/// Writes this host's row as a heartbeat, which renews its leases.
///
/// The write replaces the version that this host has last seen. Otherwise a late write of an earlier
/// process could replace the row of this one, and other hosts would take this process for ended.
async fn write_own_row(shared: &Rc<Shared>, row: &HostRow) {
    let key = RowKey::new(HOSTS_TABLE, shared.settings.name.clone());
    let value: Box<str> = match serde_json::to_string(row) {
        Ok(text) => text.into(),
        Err(e) => {
            warn!(error = %e, "fleet: own row cannot be serialized");
            return;
        }
    };

    for _ in 0..OWN_ROW_ATTEMPTS {
        let version = shared.fleet.own_row_version.get();
        let tx = Transaction {
            checks: vec![Check { key: key.clone(), version }],
            writes: vec![Write { key: key.clone(), value: Some(value.clone()) }],
        };
        let began = clock::now();
        match store::run_direct_or_relayed(shared, PlatformOp::Commit(tx)).await {
            PlatformReply::Committed(version) => {
                shared.fleet.own_row_version.set(version);
                shared.grant_leases.borrow_mut().record_heartbeat(began, clock::now());
                shared.targets.borrow_mut().record_own_row_written(clock::now(), began);
                return;
            }
            PlatformReply::Conflict(rows) => {
                let stored = rows.iter().find(|row| row.key == key);
                let version = stored.map_or(RowVersion::ABSENT, |row| row.version);
                shared.fleet.own_row_version.set(version);
            }
            reply => {
                info!(?reply, "fleet: own row not written");
                return;
            }
        }
    }
}

/// Reads the rows of all hosts outside of the heartbeat, so that the state of the holder of a lease
/// is known as of now.
pub(crate) async fn refresh_host_rows(shared: &Rc<Shared>) {
    let peers = shared.fleet.peers.borrow().clone();

    if let Some(peers) = peers {
        read_host_rows(shared, &peers, false).await;
    }
}

/// Reads the rows of all hosts. Returns whether the store answered.
async fn read_host_rows(shared: &Rc<Shared>, peers: &Peers, is_period_over: bool) -> bool {
    let began = clock::now();
    let mut after: Box<str> = "".into();

    loop {
        let op = PlatformOp::Scan {
            table: HOSTS_TABLE.into(),
            prefix: "".into(),
            after,
            limit: ROWS_PER_READ,
        };
        let PlatformReply::Rows(rows) = store::run_direct_or_relayed(shared, op).await else {
            return false;
        };
        apply_host_rows(shared, peers, &rows, began, is_period_over);
        match rows.last().filter(|_| rows.len() >= ROWS_PER_READ as usize) {
            Some(last) => after = last.key.key.clone(),
            None => break,
        }
    }
    shared.targets.borrow_mut().record_hosts(began, shared.fleet.known_hosts());
    preferred::apply_known_hosts(shared);
    true
}

/// Applies the rows of all hosts, whose read began at `began`. `is_period_over` tells whether each host has had time to write
/// its row again since the last read.
fn apply_host_rows(
    shared: &Rc<Shared>,
    peers: &Peers,
    rows: &[Row],
    began: Instant,
    is_period_over: bool,
) {
    let fleet = &shared.fleet;
    let mut known = fleet.known.borrow_mut();

    for row in rows.iter().filter(|row| row.key.key != fleet.name) {
        let host = HostId::from_name(&row.key.key);
        let content: HostRow = match serde_json::from_str(&row.value) {
            Ok(content) => content,
            Err(e) => {
                warn!(host = %row.key.key, error = %e, "fleet: unreadable host row skipped");
                continue;
            }
        };
        let is_due = is_period_over && !fleet.has_recent_status(host);
        let presence = fleet.rows.borrow_mut().record_read(host, row.version, is_due);
        fleet.record_seen(host, RunId(content.run), row.version, began);

        match presence {
            Presence::Updated => {
                if known.get(&host).is_none_or(|known| known.address != content.peers) {
                    info!(host = %row.key.key, address = %content.peers, "fleet: host known");
                }
                let HostRow { peers: address, zone, processor_millis, .. } = content;
                known.insert(host, KnownHost { address, zone, processor_millis });
                peers.set_address(host, address);
            }
            Presence::Silent => {}
            Presence::Gone => {
                if let Some(known) = known.remove(&host) {
                    info!(host = %row.key.key, address = %known.address, "fleet: host gone");
                    peers.remove(host);
                }
            }
        }
    }

    fleet.silent.borrow_mut().retain(|host| known.contains_key(host));
    shared.status_exchange.borrow_mut().retain(|host| known.contains_key(&host));
    let mut rates = shared.rates.borrow_mut();
    rates.set_peers(known.keys().copied().collect());
    drop(known);
    let (near, far) = fleet.sizes();
    rates.set_update_delay(mean_delay(near, far));
}

/// Drops the status of hosts that have been silent for [`SILENCE_TIMEOUT`], so that their in-flight
/// calls no longer count.
pub(crate) fn drop_silent_hosts(shared: &Rc<Shared>) {
    let now = clock::now();
    let silent: Vec<_> = {
        let mut statuses = shared.fleet.statuses.borrow_mut();
        statuses
            .extract_if(|_, status| now.since(status.received_at) > SILENCE_TIMEOUT)
            .map(|(host, _)| host)
            .collect()
    };

    for host in silent {
        info!(host = host.0, "fleet: host silent");
        shared.fleet.silent.borrow_mut().insert(host);
        shared.targets.borrow_mut().set_remote_load(host, Map::default(), Map::default());
    }
}

/// Processes the messages of other hosts.
async fn receive(shared: Rc<Shared>, mut rx: mpsc::Receiver<Inbound>) {
    while let Some(inbound) = rx.recv().await {
        let Inbound::Message { from, message } = inbound else { continue };

        match message.body {
            Some(Body::EntryStatus(update)) => status_updates::receive(&shared, from, update),
            Some(Body::ForwardedStatus(update)) => {
                status_updates::receive_for_zone(&shared, from, update);
            }
            Some(Body::ForwardedStatuses(statuses)) => {
                status_updates::receive_forwarded(&shared, statuses);
            }
            Some(Body::LoadNotice(notice)) => preferred::receive(&shared, from, notice),
            Some(Body::StatusRequest(_)) => status_updates::send_all(&shared, from),
            Some(Body::Manifest(manifest)) => watch::adopt(&shared, &manifest.text, "peer"),
            Some(Body::PeerQuery(query)) => {
                tokio::task::spawn_local(queries::serve(Rc::clone(&shared), from, query));
            }
            Some(Body::PeerQueryReply(reply)) => queries::handle_reply(&shared, &reply),
            _ => {}
        }
    }
}
