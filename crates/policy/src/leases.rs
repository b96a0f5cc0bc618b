//! Leases on partitions and on columns of slices, kept as rows in the platform.
//!
//! A host keeps one row alive, its *session*, by renewing it. A lease row names the session
//! that holds it and an epoch. A lease is free when the session it names is gone; a session
//! that was not renewed for its lifetime is ended by whichever host notices first, by
//! deleting its row. So one renewal covers all that a host holds, and renewals are counted
//! per host, not per lease.
//!
//! Who should hold a lease is a rendezvous hash over the live sessions, which all hosts read
//! from the same table; it only steers. What grants a lease is the transaction that writes
//! its row.

mod observer;
pub mod rows;
mod session;
mod tables;

use std::time::Duration;

use camphorwalk_core::hash::{Map, Set, stable_hash};
use camphorwalk_core::ids::{Epoch, HostId, PartitionId, ZoneId};
use camphorwalk_core::platform::{PlatformOp, PlatformReply, Row, RowKey, RowVersion, Transaction};
use camphorwalk_core::time::Instant;

use self::observer::{Candidate, Observer};
use self::rows::{LeaseRow, SessionRow};
use self::session::{Session, SessionStep};
use crate::slices::ColumnId;

/// The most rows that one scan returns: above the sizes that the capacity page works with.
const SCAN_LIMIT: u32 = 10_000;

/// How long a leaving host waits for the platform to take in what it does not have yet.
const UNSTORED_LIMIT: Duration = Duration::from_secs(60);

/// The time between settling a partition and giving it back.
const SETTLE_TIME: Duration = Duration::from_millis(100);

/// How much longer than its lifetime a session must stand unrenewed before it is ended, as
/// a divisor of the lifetime: covers clocks that drift apart by up to an eighth.
const MARGIN_DIVISOR: u32 = 8;

/// What a lease is on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum LeaseName {
    /// A partition of the programs.
    Partition(PartitionId),
    /// A column of slices.
    Column(ColumnId),
}

impl LeaseName {
    /// Returns the key of its row.
    ///
    /// ```
    /// use camphorwalk_core::ids::PartitionId;
    /// use camphorwalk_policy::leases::LeaseName;
    /// assert_eq!(&*LeaseName::Partition(PartitionId(10)).row().key, "partition/000a");
    /// ```
    pub fn row(self) -> RowKey {
        match self {
            Self::Partition(p) => RowKey::new(rows::LEASES, format!("partition/{:04x}", p.0)),
            Self::Column(c) => RowKey::new(rows::LEASES, format!("column/{:04x}", c.0)),
        }
    }

    /// Returns the name whose row has this key.
    pub fn from_key(key: &str) -> Option<Self> {
        let (kind, number) = key.split_once('/')?;
        let number = u16::from_str_radix(number, 16).ok()?;

        match kind {
            "partition" => Some(Self::Partition(PartitionId(number))),
            "column" => Some(Self::Column(ColumnId(number))),
            _ => None,
        }
    }

    /// Returns the number that the rendezvous hash spreads it by.
    fn item(self) -> u64 {
        match self {
            Self::Partition(p) => stable_hash(&[b"partition", &p.0.to_be_bytes()]),
            Self::Column(c) => stable_hash(&[b"column", &c.0.to_be_bytes()]),
        }
    }
}

/// A lease that this host should see to, and the zone whose hosts alone may hold it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Wanted {
    /// The lease.
    pub name: LeaseName,
    /// The zone, or `None` if any host may hold it.
    pub zone: Option<ZoneId>,
}

/// A platform operation that the leases wait for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LeaseOp(pub u64);

/// Something that happened, as far as leases mind.
#[derive(Clone, Debug)]
pub enum LeaseEvent {
    /// These leases exist; told again when the configuration changes.
    Wanted(Vec<Wanted>),
    /// The platform answered.
    Platform {
        /// The operation.
        op: LeaseOp,
        /// The answer.
        reply: PlatformReply,
    },
    /// What is under way at this host.
    Busy(Busy),
    /// The host is leaving: what it holds is given back as soon as it is not busy.
    Leave,
    /// A holder may be gone: look at the tables soon.
    Suspect,
    /// Time has passed; see [`Leases::wake_at`].
    Wake,
}

/// What is under way at a host.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Busy {
    /// The partitions that have calls under way, or entries that the platform does not have;
    /// they are not to be given back now.
    pub partitions: Set<PartitionId>,
    /// Whether any call is under way.
    pub calls: bool,
}

/// What to do next for leases.
#[derive(Clone, Debug, PartialEq)]
pub enum LeaseAction {
    /// Run an operation on the platform.
    Platform {
        /// The number to answer with.
        op: LeaseOp,
        /// The operation.
        request: PlatformOp,
    },
    /// This host now holds a lease.
    Acquired {
        /// The lease.
        name: LeaseName,
        /// Its epoch.
        epoch: Epoch,
        /// The version of its row, to be checked by all that it fences.
        version: RowVersion,
    },
    /// This host no longer holds a lease.
    Lost {
        /// The lease.
        name: LeaseName,
    },
    /// What is held is held until this instant at least.
    Renewed {
        /// The end of the lifetime, the margin for drifting clocks left out.
        until: Instant,
    },
    /// The tables were read: who holds what, and which hosts have a live session.
    Seen {
        /// The holders.
        routes: Vec<(LeaseName, Holder)>,
        /// The hosts.
        hosts: Vec<SessionRow>,
    },
    /// A partition is about to be given back: its programs settle what they can.
    Settle {
        /// The partition.
        partition: PartitionId,
    },
    /// All that was held is given back and the session is ended.
    Left,
}

/// Who holds a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Holder {
    /// The host.
    pub host: HostId,
    /// The epoch of the lease.
    pub epoch: Epoch,
}

/// Settings of [`Leases`].
#[derive(Clone, Debug)]
pub struct LeaseOptions {
    /// The host's name.
    pub host: Box<str>,
    /// Its availability zone's name.
    pub zone: Box<str>,
    /// Where its peers reach it.
    pub peer_address: std::net::SocketAddr,
    /// A random number of this run of the process.
    pub session: u64,
    /// The lifetime of a session without a renewal.
    pub lifetime: Duration,
    /// How often the session is renewed.
    pub renewal: Duration,
    /// How often the tables are read.
    pub poll: Duration,
}

/// A lease that this host holds.
#[derive(Clone, Copy, Debug)]
struct Held {
    /// Its epoch.
    epoch: Epoch,
    /// The version of its row.
    version: RowVersion,
}

/// Where a round over the tables stands. One runs at a time, so that what a scan shows is
/// never older than what this host wrote before it.
#[derive(Clone, Debug, PartialEq)]
enum Round {
    /// None runs.
    Idle,
    /// The sessions are being read.
    Sessions(LeaseOp),
    /// The leases are being read.
    Leases(LeaseOp),
    /// Leases are being taken.
    Taking(LeaseOp),
    /// Leases are being given back.
    Returning(LeaseOp),
    /// An overdue session is being ended.
    Ending(LeaseOp),
}

/// The leases of one host.
#[derive(Debug)]
pub struct Leases {
    options: LeaseOptions,
    me: HostId,
    session: Session,
    observer: Observer,
    wanted: Vec<Wanted>,
    held: Map<LeaseName, Held>,
    busy: Busy,
    /// The partitions whose programs were told to settle before they are given back.
    settling: Set<PartitionId>,
    round: Round,
    /// The rows of the last complete scan of the leases.
    rows: Vec<Row>,
    /// The hosts that may hold leases, as of the last scan. Worked out once for all leases:
    /// for each lease anew it took most of the control thread's time with many hosts.
    candidates: Vec<Candidate>,
    next_poll: Instant,
    next_op: u64,
    /// Until when what is held is surely held.
    until: Instant,
    /// Until when this host has promised to end no session.
    promised: Instant,
    /// Whether the answer to the ending of a session may have been lost.
    ending_in_doubt: bool,
    /// Since when the host is leaving.
    leaving_since: Option<Instant>,
    left: bool,
}

impl Leases {
    /// Makes a host that holds nothing and has no session yet.
    pub fn new(options: LeaseOptions) -> Self {
        Self {
            session: Session::new(&options),
            me: HostId::from_name(&options.host),
            observer: Observer::default(),
            options,
            wanted: Vec::new(),
            held: Map::default(),
            busy: Busy::default(),
            settling: Set::default(),
            round: Round::Idle,
            rows: Vec::new(),
            candidates: Vec::new(),
            next_poll: Instant::default(),
            next_op: 0,
            until: Instant::default(),
            promised: Instant::default(),
            ending_in_doubt: false,
            leaving_since: None,
            left: false,
        }
    }

    /// Takes in an event and appends what to do next to `out`.
    pub fn step(&mut self, now: Instant, event: LeaseEvent, out: &mut Vec<LeaseAction>) {
        match event {
            LeaseEvent::Wanted(wanted) => self.wanted = wanted,
            LeaseEvent::Busy(busy) => self.busy = busy,
            LeaseEvent::Suspect => self.next_poll = now,
            LeaseEvent::Leave => {
                self.leaving_since.get_or_insert(now);
                self.next_poll = now;
            }
            LeaseEvent::Platform { op, reply } => self.on_platform(now, op, reply, out),
            LeaseEvent::Wake => {}
        }

        self.start_due(now, out);
    }

    /// Returns when [`LeaseEvent::Wake`] is due.
    pub fn wake_at(&self) -> Option<Instant> {
        if self.left {
            return None;
        }

        let polls = self.round == Round::Idle && self.session.is_live();
        let poll = polls.then_some(self.next_poll);

        [poll, self.session.wake_at()].into_iter().flatten().min()
    }

    /// Promises to end no session until an instant, if this host cannot renew its own now.
    /// Returns whether it does.
    ///
    /// It does not while the ending of some session may still take effect.
    pub fn promise(&mut self, until: Instant) -> bool {
        if !self.session.is_failing() || self.ending_in_doubt {
            return false;
        }

        self.promised = self.promised.max(until);
        true
    }

    /// Returns whether the platform did not answer the last renewal of this host's session.
    pub fn is_failing(&self) -> bool {
        self.session.is_failing()
    }

    /// Returns the partitions that this host holds, in order.
    pub fn partitions(&self) -> Vec<PartitionId> {
        let mut all: Vec<_> = self
            .held
            .keys()
            .filter_map(|name| match name {
                LeaseName::Partition(p) => Some(*p),
                LeaseName::Column(_) => None,
            })
            .collect();
        all.sort_unstable();

        all
    }

    /// Returns the epoch of a partition's lease that this host holds.
    pub fn epoch(&self, partition: PartitionId) -> Option<Epoch> {
        self.held.get(&LeaseName::Partition(partition)).map(|held| held.epoch)
    }

    /// Returns the columns that this host holds, in order.
    pub fn columns(&self) -> Vec<ColumnId> {
        let mut all: Vec<_> = self
            .held
            .keys()
            .filter_map(|name| match name {
                LeaseName::Partition(_) => None,
                LeaseName::Column(c) => Some(*c),
            })
            .collect();
        all.sort_unstable();

        all
    }

    /// Starts a renewal and a round over the tables, whichever is due.
    fn start_due(&mut self, now: Instant, out: &mut Vec<LeaseAction>) {
        if self.left {
            return;
        }

        if self.may_just_end(now) {
            self.left = true;
            out.push(LeaseAction::Left);
            return;
        }

        // The renewal goes beside the round: a slow round must not cost the session.
        if self.session.due(now) {
            let op = self.number();
            let request = self.session.start(now, op);
            out.push(LeaseAction::Platform { op, request });
        }

        if self.round == Round::Idle && now >= self.next_poll && self.session.is_live() {
            self.next_poll = now + self.options.poll;
            let op = self.scan(rows::SESSIONS, out);
            self.round = Round::Sessions(op);
        }
    }

    /// Returns whether a leaving host may end without handing anything back.
    ///
    /// With the platform away nothing can be handed back. Once no call runs here and the
    /// session has run out by itself, others can take all of it over without being told;
    /// waiting on would keep the process from ever ending. Entries that are not stored are
    /// given some time more: callers hold those turns as sealed tails.
    fn may_just_end(&self, now: Instant) -> bool {
        let Some(since) = self.leaving_since else {
            return false;
        };
        let stored = self.busy.partitions.is_empty() || now.since(since) > UNSTORED_LIMIT;

        !self.busy.calls && stored && now > self.until
    }

    fn number(&mut self) -> LeaseOp {
        self.next_op += 1;

        LeaseOp(self.next_op)
    }

    fn scan(&mut self, table: &str, out: &mut Vec<LeaseAction>) -> LeaseOp {
        let op = self.number();
        let request = PlatformOp::Scan {
            table: table.into(),
            prefix: "".into(),
            after: "".into(),
            limit: SCAN_LIMIT,
        };
        out.push(LeaseAction::Platform { op, request });

        op
    }

    fn commit(&mut self, transaction: Transaction, out: &mut Vec<LeaseAction>) -> LeaseOp {
        let op = self.number();
        out.push(LeaseAction::Platform { op, request: PlatformOp::Commit(transaction) });

        op
    }

    fn on_platform(
        &mut self,
        now: Instant,
        op: LeaseOp,
        reply: PlatformReply,
        out: &mut Vec<LeaseAction>,
    ) {
        if self.session.waits_for(op) {
            self.on_session(now, reply, out);
            return;
        }

        match (self.round.clone(), reply) {
            (Round::Sessions(waiting), PlatformReply::Rows(rows)) if waiting == op => {
                let longest_gap = self.options.lifetime / 2 + self.options.poll;
                self.observer.saw(now, &rows, longest_gap);
                let op = self.scan(rows::LEASES, out);
                self.round = Round::Leases(op);
            }
            (Round::Leases(waiting), PlatformReply::Rows(rows)) if waiting == op => {
                self.rows = rows;
                self.on_tables(now, out);
            }
            (Round::Taking(waiting), PlatformReply::Committed(_)) if waiting == op => {
                // The next scan shows the rows with their versions, under this session.
                self.next_poll = now;
                self.round = Round::Idle;
            }
            (
                Round::Ending(waiting),
                PlatformReply::Committed(_)
                | PlatformReply::Conflict(_)
                | PlatformReply::Unavailable,
            ) if waiting == op => {
                self.ending_in_doubt = false;
                self.round = Round::Idle;
            }
            (
                Round::Sessions(waiting)
                | Round::Leases(waiting)
                | Round::Taking(waiting)
                | Round::Returning(waiting)
                | Round::Ending(waiting),
                _,
            ) if waiting == op => {
                // Whatever else came back, the next round reads what really stands.
                self.round = Round::Idle;
            }
            // An answer to a round that a lost session cut short.
            _ => {}
        }
    }

    fn on_session(&mut self, now: Instant, reply: PlatformReply, out: &mut Vec<LeaseAction>) {
        match self.session.on_reply(now, reply) {
            SessionStep::Nothing => {}
            SessionStep::Renewed { until } => {
                self.until = until;
                out.push(LeaseAction::Renewed { until });
            }
            SessionStep::Lost => {
                // Another host ended the session: all that it held may be held by others.
                let mut names: Vec<_> = self.held.drain().map(|(name, _)| name).collect();
                names.sort_unstable();
                self.settling.clear();
                out.extend(names.into_iter().map(|name| LeaseAction::Lost { name }));
                self.round = Round::Idle;
            }
            SessionStep::Left => {
                self.left = true;
                out.push(LeaseAction::Left);
            }
        }
    }

    fn forget(&mut self, name: LeaseName) {
        self.held.remove(&name);
        if let LeaseName::Partition(partition) = name {
            self.settling.remove(&partition);
        }
    }

    /// Compares what the tables say with what is held and wanted, and starts the next step.
    fn on_tables(&mut self, now: Instant, out: &mut Vec<LeaseAction>) {
        let rows = self.parse_rows();
        self.candidates = self.observer.candidates();
        self.adopt(&rows, out);
        self.report(&rows, out);
        self.round = Round::Idle;

        if let Some(end) = self.end_overdue(now) {
            self.ending_in_doubt = true;
            self.round = Round::Ending(self.commit(end, out));
        } else if let Some(take) = self.take(&rows) {
            self.round = Round::Taking(self.commit(take, out));
        } else if let Some(give_back) = self.give_back(now, &rows, out) {
            self.round = Round::Returning(self.commit(give_back, out));
        } else if self.leaving_since.is_some() && self.held.is_empty() {
            self.session.leave(now);
        }
    }

    fn parse_rows(&self) -> Map<LeaseName, (LeaseRow, RowVersion)> {
        let parse = |row: &Row| {
            let name = LeaseName::from_key(&row.key.key)?;
            let lease = serde_json::from_str(&row.value).ok()?;
            Some((name, (lease, row.version)))
        };

        self.rows.iter().filter_map(parse).collect()
    }

    /// Takes over into `held` what the rows say of this session, and nothing else.
    fn adopt(&mut self, rows: &Map<LeaseName, (LeaseRow, RowVersion)>, out: &mut Vec<LeaseAction>) {
        let mine = self.session.key();
        let is_mine = |name: &LeaseName| rows.get(name).is_some_and(|(row, _)| row.session == mine);

        // Held according to memory, but not according to the table.
        let mut lost: Vec<_> = self.held.keys().copied().filter(|name| !is_mine(name)).collect();
        lost.sort_unstable();
        for name in lost {
            self.forget(name);
            out.push(LeaseAction::Lost { name });
        }

        // Held according to the table, but not according to memory: also after a taking
        // whose answer was lost.
        let mut gained: Vec<_> = rows.keys().copied().filter(|name| is_mine(name)).collect();
        gained.retain(|name| !self.held.contains_key(name));
        gained.sort_unstable();
        for name in gained {
            let (row, version) = &rows[&name];
            self.held.insert(name, Held { epoch: row.epoch, version: *version });
            out.push(LeaseAction::Acquired { name, epoch: row.epoch, version: *version });
        }
    }

    fn report(&self, rows: &Map<LeaseName, (LeaseRow, RowVersion)>, out: &mut Vec<LeaseAction>) {
        let live = |row: &LeaseRow| self.observer.session(&row.session);
        let mut routes: Vec<_> = rows
            .iter()
            .filter_map(|(name, (row, _))| {
                let session = live(row)?;
                let host = HostId::from_name(&session.host);
                Some((*name, Holder { host, epoch: row.epoch }))
            })
            .collect();
        routes.sort_unstable_by_key(|(name, _)| *name);

        out.push(LeaseAction::Seen { routes, hosts: self.observer.sessions() });
    }
}

/// Returns how long a session must stand unrenewed before it is ended.
pub(crate) fn overdue_after(lifetime: Duration) -> Duration {
    lifetime + lifetime / MARGIN_DIVISOR
}
