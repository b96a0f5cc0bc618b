//! A simulated platform, home hosts and requests for the scenario tests.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use camphorwalk_core::calls::{
    CallRequest, CompletedCall, HistoryCall, OpenRequest, Refusal, Reply, Request, Usage,
};
use camphorwalk_core::config::Config;
use camphorwalk_core::hash::digest;
use camphorwalk_core::ids::{
    Epoch, HostId, KeyId, PartitionId, ProgramId, RequestId, RequestOrigin, TargetId, TenantId,
};
use camphorwalk_core::platform::{
    ObjectName, PlatformOp, PlatformReply, Row, RowKey, RowVersion, Transaction,
};
use camphorwalk_core::time::Instant;
use camphorwalk_core::units::Tokens;
use camphorwalk_policy::programs::{
    ProgramAction, ProgramEvent, ProgramOp, ProgramOptions, Programs,
};
use camphorwalk_policy::shared_types::{AttemptOutcome, CallId, Dispatch, PlaceRequest, Verdict};

/// The partition of all programs in these tests.
pub const PARTITION: PartitionId = PartitionId(0);

/// The program that most tests use.
pub const PROGRAM: ProgramId = ProgramId(7);

/// The token budget of tenant `inkwick`.
pub const BUDGET: u64 = 4_000;

/// The token budget of tenant `inzira`.
pub const SMALL_BUDGET: u64 = 400;

/// Returns the configuration that all tests use.
pub fn config() -> Arc<Config> {
    let tenant = |name: &str, budget: u64| {
        serde_json::json!({
            "name": name, "rate_per_second": 1.0, "burst": 5, "budget_tokens": budget, "keys": [],
            "assistants": [{"template": "planner", "class": "normal"}],
        })
    };
    let cfg = serde_json::json!({
        "fleet": {"name": "test", "zones": [], "classes": [], "partitions": 2},
        "targets": [],
        "templates": [{
            "name": "planner", "max_calls": 40, "max_depth": 1, "max_output_tokens": 100,
            "max_deadline_ms": 600_000,
            "targets": [
                {"name": "model", "pool": "engines", "idempotent": true},
                {"name": "deposit", "pool": "booking", "operation": "deposit"},
                {"name": "look", "pool": "booking", "operation": "look", "idempotent": true},
            ],
        }],
        "tenants": [tenant("inkwick", BUDGET), tenant("inzira", SMALL_BUDGET)],
    });

    Arc::new(serde_json::from_value(cfg).expect("the test configuration must be valid"))
}

/// Returns the id of a tenant.
pub fn tenant(name: &str) -> TenantId {
    TenantId::from_name(name)
}

/// How the simulated platform treats operations.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// Operations succeed.
    Normal,
    /// Operations are rejected without effect.
    Unavailable,
    /// Transactions take effect, but their answers are lost.
    DropAnswers,
    /// Transactions are lost, and the caller cannot tell.
    DropRequests,
    /// Operations neither take effect nor return until [`HomeHost::release`].
    Hang,
}

/// An in-memory platform with versioned rows.
#[derive(Debug)]
pub struct Platform {
    pub rows: BTreeMap<RowKey, (u64, Box<str>)>,
    pub objects: BTreeMap<ObjectName, Box<[u8]>>,
    pub version: u64,
    pub mode: Mode,
    /// Whether writes of objects hang until [`HomeHost::release`].
    pub hold_objects: bool,
}

impl Platform {
    pub fn new() -> Self {
        Self {
            rows: BTreeMap::new(),
            objects: BTreeMap::new(),
            version: 0,
            mode: Mode::Normal,
            hold_objects: false,
        }
    }

    /// Moves a partition's lease to the next holder.
    pub fn take_lease(&mut self, partition: PartitionId) -> (Epoch, RowVersion) {
        self.version += 1;
        let key = RowKey::new("lease", format!("partition/{:04x}", partition.0));
        self.rows.insert(key, (self.version, "{}".into()));

        (Epoch(self.version), RowVersion(self.version))
    }

    /// Runs an operation according to the mode; returns `None` if it hangs.
    pub fn run(&mut self, op: &PlatformOp) -> Option<PlatformReply> {
        match (self.mode, op) {
            (Mode::Hang, _) => None,
            (_, PlatformOp::PutObject(_)) if self.hold_objects => None,
            (Mode::Unavailable, _) => Some(PlatformReply::Unavailable),
            (Mode::DropAnswers, PlatformOp::Commit(tx)) => {
                self.commit(tx);
                Some(PlatformReply::Unknown)
            }
            (Mode::DropRequests, PlatformOp::Commit(_)) => Some(PlatformReply::Unknown),
            (_, PlatformOp::Commit(tx)) => Some(self.commit(tx)),
            (_, PlatformOp::Snapshot { .. } | PlatformOp::Changes { .. }) => {
                unreachable!("programs never issue these operations")
            }
            (_, PlatformOp::Scan { table, prefix, after, limit }) => {
                Some(self.scan(table, prefix, after, *limit))
            }
            (_, PlatformOp::Read(keys)) => {
                Some(PlatformReply::Rows(keys.iter().filter_map(|key| self.row(key)).collect()))
            }
            (_, PlatformOp::PutObject(content)) => {
                let name = ObjectName::of(content);
                self.objects.insert(name.clone(), content.clone());
                Some(PlatformReply::Stored(name))
            }
            (_, PlatformOp::GetObject(name)) => {
                Some(PlatformReply::Object(self.objects.get(name).cloned()))
            }
        }
    }

    fn row(&self, key: &RowKey) -> Option<Row> {
        let (version, value) = self.rows.get(key)?;

        Some(Row { key: key.clone(), version: RowVersion(*version), value: value.clone() })
    }

    fn scan(&self, table: &str, prefix: &str, after: &str, limit: u32) -> PlatformReply {
        let rows = self.rows.keys().filter(|k| &*k.table == table && k.key.starts_with(prefix));
        let rows = rows.filter(|k| &*k.key > after).take(limit as usize);

        PlatformReply::Rows(rows.filter_map(|key| self.row(key)).collect())
    }

    pub fn commit(&mut self, tx: &Transaction) -> PlatformReply {
        let version = |key| self.rows.get(key).map_or(0, |(version, _)| *version);
        let failed: Vec<_> = tx.checks.iter().filter(|c| version(&c.key) != c.version.0).collect();

        if !failed.is_empty() {
            let rows = failed.into_iter().filter_map(|check| self.row(&check.key));
            return PlatformReply::Conflict(rows.collect());
        }

        self.version += 1;

        for write in &tx.writes {
            match &write.value {
                Some(value) => {
                    self.rows.insert(write.key.clone(), (self.version, value.clone()));
                }
                None => {
                    self.rows.remove(&write.key);
                }
            }
        }

        PlatformReply::Committed(RowVersion(self.version))
    }
}

/// A host under test. Rate checks and requests for places succeed unless a test holds them
/// back.
#[derive(Debug)]
pub struct HomeHost {
    pub programs: Programs,
    pub now: Instant,
    pub answers: Vec<(RequestOrigin, Reply)>,
    pub dispatches: Vec<Dispatch>,
    pub cancelled: usize,
    pub ended: Vec<ProgramId>,
    pub quarantined: Vec<[u8; 32]>,
    pub fenced: usize,
    pub placed: Vec<PlaceRequest>,
    pub released: Vec<CallId>,
    pub hanging: Vec<(ProgramOp, PlatformOp)>,
    /// All operations sent to the platform.
    pub requests: Vec<PlatformOp>,
    /// While set, rate checks and requests for places are not answered.
    pub hold_places: bool,
    /// The target of all places; without it each is at another target.
    pub only_target: Option<TargetId>,
    /// The epoch and row version of the partition's lease.
    pub lease: (Epoch, RowVersion),
    host: HostId,
    requests_made: u64,
}

impl HomeHost {
    /// Creates a host that holds the partition and has read its journal.
    pub fn new(platform: &mut Platform, session: u64) -> Self {
        let host = HostId(session);
        let options = ProgramOptions {
            host,
            session,
            seal_key: [9; 32],
            commit_interval: Duration::from_millis(10),
        };
        let mut home = Self {
            programs: Programs::new(options),
            now: Instant::from_millis(1_000),
            answers: Vec::new(),
            dispatches: Vec::new(),
            cancelled: 0,
            ended: Vec::new(),
            quarantined: Vec::new(),
            fenced: 0,
            placed: Vec::new(),
            released: Vec::new(),
            hanging: Vec::new(),
            requests: Vec::new(),
            hold_places: false,
            only_target: None,
            lease: (Epoch(0), RowVersion(0)),
            host,
            requests_made: 0,
        };

        home.process(platform, ProgramEvent::Config(config()));
        home.acquire(platform);
        home
    }

    /// Creates a host that holds the partition, with `PROGRAM` open.
    pub fn with_program(platform: &mut Platform, session: u64) -> Self {
        let mut home = Self::new(platform, session);
        home.send(platform, open(PROGRAM));

        home
    }

    /// Takes over the partition's lease.
    pub fn acquire(&mut self, platform: &mut Platform) {
        self.lease = platform.take_lease(PARTITION);
        self.reacquire(platform);
    }

    /// Reports the lease as acquired again, with the same epoch and version.
    pub fn reacquire(&mut self, platform: &mut Platform) {
        let (epoch, lease) = self.lease;
        self.process(platform, ProgramEvent::Acquired { partition: PARTITION, epoch, lease });
    }

    /// Processes an event and all events that follow from it immediately.
    pub fn process(&mut self, platform: &mut Platform, event: ProgramEvent) {
        let mut events = vec![event];

        while let Some(event) = events.pop() {
            let mut out = Vec::new();
            self.programs.step(self.now, event, &mut out);
            let new: Vec<_> =
                out.into_iter().filter_map(|action| self.execute(platform, action)).collect();
            events.extend(new.into_iter().rev());
        }
    }

    fn execute(&mut self, platform: &mut Platform, action: ProgramAction) -> Option<ProgramEvent> {
        match action {
            ProgramAction::Answer { origin, reply } => self.answers.push((origin, reply)),
            ProgramAction::Admit { call, .. } if !self.hold_places => {
                return Some(ProgramEvent::Verdict { call, verdict: Verdict::Admitted });
            }
            ProgramAction::Place { call, request } => {
                self.placed.push(request);
                let target = self.only_target.unwrap_or(TargetId(self.placed.len() as u64));
                return (!self.hold_places).then_some(ProgramEvent::Placed { call, target });
            }
            ProgramAction::Platform { op, request } => {
                self.requests.push(request.clone());

                match platform.run(&request) {
                    Some(reply) => return Some(ProgramEvent::Platform { op, reply }),
                    None => self.hanging.push((op, request)),
                }
            }
            ProgramAction::Dispatch(dispatch) => self.dispatches.push(dispatch),
            ProgramAction::Cancel { .. } => self.cancelled += 1,
            ProgramAction::ProgramEnded { program } => self.ended.push(program),
            ProgramAction::Quarantine { digest } => self.quarantined.push(digest),
            ProgramAction::Fenced { .. } => self.fenced += 1,
            ProgramAction::ReleasePlace { call, .. } => self.released.push(call),
            ProgramAction::Admit { .. } => {}
        }

        None
    }

    /// Runs the platform operations that hang and delivers their replies.
    pub fn release(&mut self, platform: &mut Platform) {
        for (op, request) in std::mem::take(&mut self.hanging) {
            let reply = platform
                .run(&request)
                .expect("the platform must not hang when its operations are released");
            self.process(platform, ProgramEvent::Platform { op, reply });
        }
    }

    /// Advances the time and fires all timers that become due.
    pub fn advance(&mut self, platform: &mut Platform, millis: u64) {
        let until = self.now + Duration::from_millis(millis);

        while let Some(at) = self.programs.wake_at().filter(|at| *at <= until) {
            self.now = self.now.max(at);
            self.process(platform, ProgramEvent::Wake);
        }

        self.now = until;
    }

    /// Sends a request with a tenant and API key, and returns its origin.
    pub fn send_as(
        &mut self,
        platform: &mut Platform,
        who: (&str, u64),
        request: Request,
    ) -> RequestOrigin {
        self.requests_made += 1;
        let origin = RequestOrigin { entry: self.host, request: RequestId(self.requests_made) };
        let (tenant, key) = (tenant(who.0), KeyId(who.1));
        self.process(platform, ProgramEvent::Request { origin, tenant, key, request });
        self.advance(platform, 10);

        origin
    }

    /// Sends a request of tenant `inkwick` and returns its origin.
    pub fn send(&mut self, platform: &mut Platform, request: Request) -> RequestOrigin {
        self.send_as(platform, ("inkwick", 1), request)
    }

    /// Ends the most recent attempt.
    pub fn end_attempt(&mut self, platform: &mut Platform, outcome: AttemptOutcome) {
        let attempt = self.dispatches.last().expect("an attempt was sent").attempt;
        self.process(platform, ProgramEvent::Ended { attempt, outcome });
        self.advance(platform, 10);
    }

    /// Runs a call to its outcome; the target answers with `output`.
    pub fn run_call(
        &mut self,
        platform: &mut Platform,
        request: Request,
        output: &str,
    ) -> CompletedCall {
        let origin = self.send(platform, request);
        self.end_attempt(platform, done(output));

        self.called(origin)
    }

    /// Returns the reply to a request, and checks that there is exactly one.
    pub fn reply(&self, origin: RequestOrigin) -> &Reply {
        let mut replies = self.answers.iter().filter(|(to, _)| *to == origin);
        let (_, reply) = replies.next().expect("the request was answered");
        assert!(replies.next().is_none(), "the request was answered twice");

        reply
    }

    /// Returns the refusal of a request; panics on any other reply.
    pub fn refusal(&self, origin: RequestOrigin) -> Refusal {
        match self.reply(origin) {
            Reply::Refused(refusal) => refusal.clone(),
            reply => panic!("expected a refusal, got {reply:?}"),
        }
    }

    /// Returns the result of a call; panics on any other reply.
    pub fn called(&self, origin: RequestOrigin) -> CompletedCall {
        match self.reply(origin) {
            Reply::Called(called) => called.clone(),
            reply => panic!("expected the result of a call, got {reply:?}"),
        }
    }

    /// Returns the finished calls of `PROGRAM`.
    pub fn history(&mut self, platform: &mut Platform) -> Vec<HistoryCall> {
        let origin = self.send(platform, Request::History { program: PROGRAM, from: 1 });

        match self.reply(origin) {
            Reply::History { calls } => calls.clone(),
            reply => panic!("expected a history, got {reply:?}"),
        }
    }
}

/// Returns a request that opens a program.
pub fn open(program: ProgramId) -> Request {
    Request::Open(OpenRequest {
        program,
        template: "planner".into(),
        deadline: Duration::from_secs(60),
        parent: None,
        repeatable: true,
    })
}

/// Returns a request for a call of `PROGRAM`.
pub fn call(target: &str, key: &str, after: u32) -> Request {
    Request::Call(call_request(target, key, after))
}

/// Like [`call`], with a tail.
pub fn call_with_tail(target: &str, key: &str, after: u32, tail: Option<Box<str>>) -> Request {
    Request::Call(CallRequest { tail, ..call_request(target, key, after) })
}

/// Returns the body of [`call`].
pub fn call_request(target: &str, key: &str, after: u32) -> CallRequest {
    CallRequest {
        program: PROGRAM,
        key: key.into(),
        after,
        target: target.into(),
        input: format!("\"in {key}\"").into(),
        max_tokens: None,
        stream: false,
        tail: None,
        body: digest(&[target.as_bytes(), key.as_bytes()]),
    }
}

/// Returns the end of an attempt that was answered completely.
pub fn done(output: &str) -> AttemptOutcome {
    let usage = Usage { prompt_tokens: Tokens(10), output_tokens: Tokens(20), ..Usage::default() };

    AttemptOutcome::Done { output: output.into(), usage }
}

/// Returns a request that opens a sub-agent.
pub fn open_child(child: ProgramId, parent: ProgramId) -> Request {
    let Request::Open(request) = open(child) else { unreachable!("open() returns an opening") };

    Request::Open(OpenRequest { parent: Some(parent), ..request })
}

/// Returns the end of an attempt whose connection broke, with or without a crash of its target.
pub fn connection_lost(crashed: bool) -> AttemptOutcome {
    AttemptOutcome::Lost { streamed: false, crashed }
}
