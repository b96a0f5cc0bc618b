//! Leases on partitions of programs and on columns of rate-limit slices, stored as rows in the
//! platform. A column consists of the slice with the same number of every tenant.
//!
//! A host has one *session* row, which it renews periodically. A lease row names the session that
//! holds the lease, and an epoch. A lease is free when its session's row no longer exists. If a
//! session is not renewed within its lifetime, the first host to notice deletes the row. One
//! renewal therefore covers all leases of a host, and the number of renewals grows with the hosts
//! rather than with the leases.
//!
//! Rendezvous hashing over the live sessions, which all hosts read from the same table, decides
//! which host should take a lease. This is only a preference: a lease is granted by the transaction
//! that writes its row.

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
use self::session::{Session, SessionOutcome};
use crate::slices::ColumnId;

/// The maximum number of rows that one scan returns; larger than any fleet size that the capacity
/// documentation covers.
const SCAN_LIMIT: u32 = 10_000;

/// The maximum time that a host waits, from when it began to leave, for the platform to store its
/// remaining journal entries.
const MAX_STORAGE_WAIT: Duration = Duration::from_secs(60);

/// The delay between asking the programs of a partition to release unused budget grants and the
/// next read of the tables, which may release the partition's lease. A grant is the total that
/// programs may spend; the next home of the programs has to treat all of it as spent.
const GRANT_RELEASE_DELAY: Duration = Duration::from_millis(100);

/// The margin for clock drift, as a divisor of a session's lifetime. The session's owner relies on
/// its leases only until this much before the end of the lifetime, and other hosts end the session
/// only this much after it. So each host's clock may run up to one eighth too fast or too slow.
const MARGIN_DIVISOR: u32 = 8;

/// What a lease protects.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum LeaseName {
    /// A partition of the programs: the holder is the home of its programs.
    Partition(PartitionId),
    /// A column of rate-limit slices.
    Column(ColumnId),
}

impl LeaseName {
    /// Returns the key of the lease's row.
    ///
    /// ```
    /// use camphorwalk_core::ids::PartitionId;
    /// use camphorwalk_policy::leases::LeaseName;
    /// assert_eq!(&*LeaseName::Partition(PartitionId(10)).row_key().key, "partition/000a");
    /// ```
    pub fn row_key(self) -> RowKey {
        match self {
            Self::Partition(p) => RowKey::new(rows::LEASE_TABLE, format!("partition/{:04x}", p.0)),
            Self::Column(c) => RowKey::new(rows::LEASE_TABLE, format!("column/{:04x}", c.0)),
        }
    }

    /// Parses the key of a lease row; returns `None` if it is not the key of a lease.
    pub fn from_key(key: &str) -> Option<Self> {
        let (kind, number) = key.split_once('/')?;
        let number = u16::from_str_radix(number, 16).ok()?;

        match kind {
            "partition" => Some(Self::Partition(PartitionId(number))),
            "column" => Some(Self::Column(ColumnId(number))),
            _ => None,
        }
    }

    /// Returns the input of the rendezvous hash for this lease.
    fn rendezvous_item(self) -> u64 {
        match self {
            Self::Partition(p) => stable_hash(&[b"partition", &p.0.to_be_bytes()]),
            Self::Column(c) => stable_hash(&[b"column", &c.0.to_be_bytes()]),
        }
    }
}

/// A lease that some host has to hold, and the zone whose hosts are allowed to hold it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequiredLease {
    /// The lease.
    pub name: LeaseName,
    /// The zone, or `None` if a host of any zone may hold it.
    pub zone: Option<ZoneId>,
}

/// Identifies a platform operation that was requested by [`Leases`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LeaseOp(pub u64);

/// An input of [`Leases::step`].
#[derive(Clone, Debug)]
pub enum LeaseEvent {
    /// The complete set of leases that hosts have to hold; sent whenever the configuration changes.
    Required(Vec<RequiredLease>),
    /// The platform answered an operation.
    Platform {
        /// The operation.
        op: LeaseOp,
        /// The answer.
        reply: PlatformReply,
    },
    /// What is in progress at this host.
    Busy(Busy),
    /// The host is leaving: it releases its leases as soon as they are not in use.
    Leave,
    /// The holder of some lease may have failed: [`Leases`] reads the sessions and leases now
    /// instead of at the next poll.
    HolderSuspected,
    /// The time returned by [`Leases::wake_at`] was reached.
    Wake,
}

/// What is in progress at a host.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Busy {
    /// The partitions with calls in progress or with journal entries that the platform has not
    /// stored yet. Their leases must not be released now.
    pub partitions: Set<PartitionId>,
    /// Whether any call is in progress.
    pub has_calls: bool,
}

/// An action that [`Leases::step`] asks its caller to perform.
#[derive(Clone, Debug, PartialEq)]
pub enum LeaseAction {
    /// Run an operation on the platform.
    Platform {
        /// The number to return in [`LeaseEvent::Platform`].
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
        /// The version of the lease's row. Every write that the lease fences has to check this
        /// version.
        version: RowVersion,
    },
    /// This host no longer holds a lease.
    Lost {
        /// The lease.
        name: LeaseName,
    },
    /// The session was renewed: all leases of this host are valid at least until this instant.
    Renewed {
        /// The end of the session's lifetime, minus the margin for clock drift.
        until: Instant,
    },
    /// The tables were read: they show the holders of leases and the hosts with a live session.
    TablesRead {
        /// The leases with their holders.
        holders: Vec<(LeaseName, Holder)>,
        /// All sessions that the read found, including this host's own.
        hosts: Vec<SessionRow>,
    },
    /// This host is about to release a partition's lease: the partition's programs should release
    /// their unused budget grants first.
    ReleaseGrants {
        /// The partition.
        partition: PartitionId,
    },
    /// All leases are released and the session is ended, or the session expired; the process may
    /// exit.
    ShutdownReady,
}

/// The host that holds a lease.
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
    /// The number that identifies this run of the process.
    pub session: u64,
    /// The time after which a session expires if it is not renewed.
    pub lifetime: Duration,
    /// The interval between renewals of the session.
    pub renewal_interval: Duration,
    /// The interval between reads of the tables.
    pub poll_interval: Duration,
}

/// A lease that this host holds.
#[derive(Clone, Copy, Debug)]
struct HeldLease {
    /// Its epoch.
    epoch: Epoch,
    /// The version of its row.
    version: RowVersion,
}

/// The step of the current read of the tables and of the write that follows it. Only one runs at a
/// time, so that a scan never returns data older than this host's last write.
#[derive(Clone, Debug, PartialEq)]
enum PollStep {
    /// Nothing is in progress.
    Idle,
    /// The sessions are being read.
    ReadingSessions(LeaseOp),
    /// The leases are being read.
    ReadingLeases(LeaseOp),
    /// A transaction that takes leases is in progress.
    Taking(LeaseOp),
    /// A transaction that releases leases is in progress.
    Releasing(LeaseOp),
    /// A transaction that ends an expired session is in progress.
    EndingSession(LeaseOp),
}

/// The state machine that takes, renews and releases the leases of one host.
#[derive(Debug)]
pub struct Leases {
    options: LeaseOptions,
    this_host: HostId,
    session: Session,
    observer: Observer,
    required: Vec<RequiredLease>,
    held: Map<LeaseName, HeldLease>,
    busy: Busy,
    /// The partitions whose programs were asked to release unused grants before the lease is
    /// released.
    releasing_grants: Set<PartitionId>,
    poll_step: PollStep,
    /// The rows of the last complete scan of the leases.
    rows: Vec<Row>,
    /// The hosts that may hold leases, as of the last scan. Computed once per scan: computing it
    /// for every lease took most of the control thread's time in large fleets.
    candidates: Vec<Candidate>,
    next_poll: Instant,
    next_op: u64,
    /// The instant until which the held leases are guaranteed to be valid.
    valid_until: Instant,
    /// The instant until which this host has promised not to end another host's session.
    promised_until: Instant,
    /// Whether a transaction that ends another host's session is in progress or its answer was
    /// lost, so that it may still take effect.
    ending_in_doubt: bool,
    /// When the host began to leave.
    leaving_since: Option<Instant>,
    has_left: bool,
}

impl Leases {
    /// Creates the state of a host without leases and without a session.
    pub fn new(options: LeaseOptions) -> Self {
        Self {
            session: Session::new(&options),
            this_host: HostId::from_name(&options.host),
            observer: Observer::default(),
            options,
            required: Vec::new(),
            held: Map::default(),
            busy: Busy::default(),
            releasing_grants: Set::default(),
            poll_step: PollStep::Idle,
            rows: Vec::new(),
            candidates: Vec::new(),
            next_poll: Instant::default(),
            next_op: 0,
            valid_until: Instant::default(),
            promised_until: Instant::default(),
            ending_in_doubt: false,
            leaving_since: None,
            has_left: false,
        }
    }

    /// Handles an event and appends the resulting actions to `out`.
    pub fn step(&mut self, now: Instant, event: LeaseEvent, out: &mut Vec<LeaseAction>) {
        match event {
            LeaseEvent::Required(required) => self.required = required,
            LeaseEvent::Busy(busy) => self.busy = busy,
            LeaseEvent::HolderSuspected => self.next_poll = now,
            LeaseEvent::Leave => {
                self.leaving_since.get_or_insert(now);
                self.next_poll = now;
            }
            LeaseEvent::Platform { op, reply } => self.on_platform(now, op, reply, out),
            LeaseEvent::Wake => {}
        }

        self.start_due(now, out);
    }

    /// Returns when the next [`LeaseEvent::Wake`] is due, or `None` after the host has left.
    pub fn wake_at(&self) -> Option<Instant> {
        if self.has_left {
            return None;
        }

        let polls = self.poll_step == PollStep::Idle && self.session.is_live();
        let poll = polls.then_some(self.next_poll);

        [poll, self.session.wake_at()].into_iter().flatten().min()
    }

    /// Promises not to end another host's session before `until`, provided that this host cannot
    /// renew its own session. Returns whether the promise was made.
    ///
    /// No promise is made while an earlier transaction that ends a session may still take effect.
    pub fn promise_to_keep_sessions(&mut self, until: Instant) -> bool {
        if !self.session.is_renewal_failing() || self.ending_in_doubt {
            return false;
        }

        self.promised_until = self.promised_until.max(until);
        true
    }

    /// Returns whether the platform failed to answer the last operation on this host's session.
    pub fn is_renewal_failing(&self) -> bool {
        self.session.is_renewal_failing()
    }

    /// Returns the partitions whose lease this host holds, sorted.
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

    /// Returns the epoch of a partition's lease, if this host holds it.
    pub fn epoch(&self, partition: PartitionId) -> Option<Epoch> {
        self.held.get(&LeaseName::Partition(partition)).map(|held| held.epoch)
    }

    /// Returns the columns whose lease this host holds, sorted.
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

    /// Starts a renewal of the session and a read of the tables if they are due.
    fn start_due(&mut self, now: Instant, out: &mut Vec<LeaseAction>) {
        if self.has_left {
            return;
        }

        if self.can_exit_without_release(now) {
            self.has_left = true;
            out.push(LeaseAction::ShutdownReady);
            return;
        }

        // The renewal does not wait for the read of the tables: a slow read must not let the
        // session expire.
        if self.session.is_due(now) {
            let op = self.new_op();
            let request = self.session.start_due(now, op);
            out.push(LeaseAction::Platform { op, request });
        }

        if self.poll_step == PollStep::Idle && now >= self.next_poll && self.session.is_live() {
            self.next_poll = now + self.options.poll_interval;
            let op = self.scan(rows::SESSION_TABLE, out);
            self.poll_step = PollStep::ReadingSessions(op);
        }
    }

    /// Returns whether a leaving host may exit without releasing its leases.
    ///
    /// While the platform is unavailable, leases cannot be released, and waiting for it could keep
    /// the process from ever exiting. Once no call runs here and the session has expired, other
    /// hosts can take the leases over anyway. For journal entries that are not stored, the host
    /// waits up to [`MAX_STORAGE_WAIT`]. After that, their turns survive only in the sealed copies
    /// (tails) that the callers received with the answers.
    fn can_exit_without_release(&self, now: Instant) -> bool {
        let Some(since) = self.leaving_since else {
            return false;
        };
        let stored = self.busy.partitions.is_empty() || now.since(since) > MAX_STORAGE_WAIT;

        !self.busy.has_calls && stored && now > self.valid_until
    }

    fn new_op(&mut self) -> LeaseOp {
        self.next_op += 1;

        LeaseOp(self.next_op)
    }

    fn scan(&mut self, table: &str, out: &mut Vec<LeaseAction>) -> LeaseOp {
        let op = self.new_op();
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
        let op = self.new_op();
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
        if self.session.is_pending(op) {
            self.on_session(now, reply, out);
            return;
        }

        match (self.poll_step.clone(), reply) {
            (PollStep::ReadingSessions(waiting), PlatformReply::Rows(rows)) if waiting == op => {
                let max_scan_gap = self.options.lifetime / 2 + self.options.poll_interval;
                self.observer.record_scan(now, &rows, max_scan_gap);
                let op = self.scan(rows::LEASE_TABLE, out);
                self.poll_step = PollStep::ReadingLeases(op);
            }
            (PollStep::ReadingLeases(waiting), PlatformReply::Rows(rows)) if waiting == op => {
                self.rows = rows;
                self.on_tables(now, out);
            }
            (PollStep::Taking(waiting), PlatformReply::Committed(_)) if waiting == op => {
                // The next scan returns the taken rows with their versions and adds them to the
                // held leases.
                self.next_poll = now;
                self.poll_step = PollStep::Idle;
            }
            (
                PollStep::EndingSession(waiting),
                PlatformReply::Committed(_)
                | PlatformReply::Conflict(_)
                | PlatformReply::Unavailable,
            ) if waiting == op => {
                self.ending_in_doubt = false;
                self.poll_step = PollStep::Idle;
            }
            (
                PollStep::ReadingSessions(waiting)
                | PollStep::ReadingLeases(waiting)
                | PollStep::Taking(waiting)
                | PollStep::Releasing(waiting)
                | PollStep::EndingSession(waiting),
                _,
            ) if waiting == op => {
                // For any other answer, the next scan shows the actual state.
                self.poll_step = PollStep::Idle;
            }
            // The answer belongs to an operation that was abandoned when the session was lost.
            _ => {}
        }
    }

    fn on_session(&mut self, now: Instant, reply: PlatformReply, out: &mut Vec<LeaseAction>) {
        match self.session.on_reply(now, reply) {
            SessionOutcome::Unchanged => {}
            SessionOutcome::Renewed { until } => {
                self.valid_until = until;
                out.push(LeaseAction::Renewed { until });
            }
            SessionOutcome::Lost => {
                // Another host ended the session, so other hosts may hold its leases by now.
                let mut names: Vec<_> = self.held.drain().map(|(name, _)| name).collect();
                names.sort_unstable();
                self.releasing_grants.clear();
                out.extend(names.into_iter().map(|name| LeaseAction::Lost { name }));
                self.poll_step = PollStep::Idle;
            }
            SessionOutcome::Ended => {
                self.has_left = true;
                out.push(LeaseAction::ShutdownReady);
            }
        }
    }

    fn remove_held(&mut self, name: LeaseName) {
        self.held.remove(&name);
        if let LeaseName::Partition(partition) = name {
            self.releasing_grants.remove(&partition);
        }
    }

    /// Compares the tables with the held and required leases, and starts the next transaction.
    fn on_tables(&mut self, now: Instant, out: &mut Vec<LeaseAction>) {
        let rows = self.parse_rows();
        self.candidates = self.observer.candidates();
        self.sync_held(&rows, out);
        self.report_tables(&rows, out);
        self.poll_step = PollStep::Idle;

        if let Some(end) = self.end_expired(now) {
            self.ending_in_doubt = true;
            self.poll_step = PollStep::EndingSession(self.commit(end, out));
        } else if let Some(taking) = self.take_free(&rows) {
            self.poll_step = PollStep::Taking(self.commit(taking, out));
        } else if let Some(release) = self.release(now, &rows, out) {
            self.poll_step = PollStep::Releasing(self.commit(release, out));
        } else if self.leaving_since.is_some() && self.held.is_empty() {
            self.session.end_with_next_write(now);
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

    /// Updates the held leases to exactly those that the rows assign to this session.
    fn sync_held(
        &mut self,
        rows: &Map<LeaseName, (LeaseRow, RowVersion)>,
        out: &mut Vec<LeaseAction>,
    ) {
        let mine = self.session.key();
        let is_mine = |name: &LeaseName| rows.get(name).is_some_and(|(row, _)| row.session == mine);

        // Held according to local state, but not according to the table.
        let mut lost: Vec<_> = self.held.keys().copied().filter(|name| !is_mine(name)).collect();
        lost.sort_unstable();
        for name in lost {
            self.remove_held(name);
            out.push(LeaseAction::Lost { name });
        }

        // Held according to the table, but not according to local state. This also covers a
        // transaction that took leases and whose answer was lost.
        let mut gained: Vec<_> = rows.keys().copied().filter(|name| is_mine(name)).collect();
        gained.retain(|name| !self.held.contains_key(name));
        gained.sort_unstable();
        for name in gained {
            let (row, version) = &rows[&name];
            self.held.insert(name, HeldLease { epoch: row.epoch, version: *version });
            out.push(LeaseAction::Acquired { name, epoch: row.epoch, version: *version });
        }
    }

    fn report_tables(
        &self,
        rows: &Map<LeaseName, (LeaseRow, RowVersion)>,
        out: &mut Vec<LeaseAction>,
    ) {
        let live = |row: &LeaseRow| self.observer.session(&row.session);
        let mut holders: Vec<_> = rows
            .iter()
            .filter_map(|(name, (row, _))| {
                let session = live(row)?;
                let host = HostId::from_name(&session.host);
                Some((*name, Holder { host, epoch: row.epoch }))
            })
            .collect();
        holders.sort_unstable_by_key(|(name, _)| *name);

        out.push(LeaseAction::TablesRead { holders, hosts: self.observer.sessions() });
    }
}

/// Returns how long a session must remain without renewal before it is ended.
pub(crate) fn session_expiry(lifetime: Duration) -> Duration {
    lifetime + lifetime / MARGIN_DIVISOR
}
