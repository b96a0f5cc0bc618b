//! A platform, homes and requests for the stories.

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

/// The partition that all programs of the stories are in.
pub const PARTITION: PartitionId = PartitionId(0);

/// The program of most stories.
pub const PROGRAM: ProgramId = ProgramId(7);

/// The budget of the usual tenant.
pub const BUDGET: u64 = 4_000;

/// The budget of the other tenant.
pub const SMALL_BUDGET: u64 = 400;

/// Returns the configuration of the stories.
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

    Arc::new(serde_json::from_value(cfg).expect("the configuration is well formed"))
}

/// Returns a tenant of the configuration.
pub fn tenant(name: &str) -> TenantId {
    TenantId::from_name(name)
}

/// What the platform does with a transaction.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// Answers.
    Up,
    /// Refuses; nothing is done.
    Away,
    /// Takes effect, and the answer is lost.
    AnswersLost,
    /// Does nothing, and the caller cannot know.
    RequestsLost,
    /// Neither acts nor answers until it is released.
    Hang,
}

/// Tables with versions.
#[derive(Debug)]
pub struct Platform {
    pub rows: BTreeMap<RowKey, (u64, Box<str>)>,
    pub objects: BTreeMap<ObjectName, Box<[u8]>>,
    pub version: u64,
    pub mode: Mode,
    /// Objects are not stored before they are released.
    pub hold_objects: bool,
}

impl Platform {
    pub fn new() -> Self {
        Self {
            rows: BTreeMap::new(),
            objects: BTreeMap::new(),
            version: 0,
            mode: Mode::Up,
            hold_objects: false,
        }
    }

    /// Gives the lease of a partition to the next holder.
    pub fn take_lease(&mut self, partition: PartitionId) -> (Epoch, RowVersion) {
        self.version += 1;
        let key = RowKey::new("lease", format!("partition/{:04x}", partition.0));
        self.rows.insert(key, (self.version, "{}".into()));

        (Epoch(self.version), RowVersion(self.version))
    }

    /// Runs an operation as the mode says; `None` if it hangs.
    pub fn run(&mut self, op: &PlatformOp) -> Option<PlatformReply> {
        match (self.mode, op) {
            (Mode::Hang, _) => None,
            (_, PlatformOp::PutObject(_)) if self.hold_objects => None,
            (Mode::Away, _) => Some(PlatformReply::Unavailable),
            (Mode::AnswersLost, PlatformOp::Commit(tx)) => {
                self.commit(tx);
                Some(PlatformReply::Unknown)
            }
            (Mode::RequestsLost, PlatformOp::Commit(_)) => Some(PlatformReply::Unknown),
            (_, PlatformOp::Commit(tx)) => Some(self.commit(tx)),
            (_, PlatformOp::Snapshot { .. } | PlatformOp::Changes { .. }) => {
                unreachable!("a home never asks for changes")
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

/// A host, with a tenant's rate and places for all unless told otherwise.
#[derive(Debug)]
pub struct Home {
    pub programs: Programs,
    pub now: Instant,
    pub answers: Vec<(RequestOrigin, Reply)>,
    pub sent: Vec<Dispatch>,
    pub cancelled: usize,
    pub over: Vec<ProgramId>,
    pub quarantined: Vec<[u8; 32]>,
    pub fenced: usize,
    pub placed: Vec<PlaceRequest>,
    pub vacated: Vec<CallId>,
    pub hanging: Vec<(ProgramOp, PlatformOp)>,
    /// What the platform was asked.
    pub requests: Vec<PlatformOp>,
    /// Questions for a rate or a place stay unanswered while this is set.
    pub hold_places: bool,
    /// The lease of the partition.
    pub lease: (Epoch, RowVersion),
    host: HostId,
    tickets: u64,
}

impl Home {
    /// Makes a host of the partition, with its journal read.
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
            sent: Vec::new(),
            cancelled: 0,
            over: Vec::new(),
            quarantined: Vec::new(),
            fenced: 0,
            placed: Vec::new(),
            vacated: Vec::new(),
            hanging: Vec::new(),
            requests: Vec::new(),
            hold_places: false,
            lease: (Epoch(0), RowVersion(0)),
            host,
            tickets: 0,
        };

        home.event(platform, ProgramEvent::Config(config()));
        home.acquire(platform);
        home
    }

    /// Makes a host of the partition on which the program is open.
    pub fn with_program(platform: &mut Platform, session: u64) -> Self {
        let mut home = Self::new(platform, session);
        home.ask(platform, open(PROGRAM));

        home
    }

    /// Takes the partition over.
    pub fn acquire(&mut self, platform: &mut Platform) {
        self.lease = platform.take_lease(PARTITION);
        self.regain(platform);
    }

    /// Is told that it holds the partition.
    pub fn regain(&mut self, platform: &mut Platform) {
        let (epoch, lease) = self.lease;
        self.event(platform, ProgramEvent::Acquired { partition: PARTITION, epoch, lease });
    }

    /// Takes in an event and all that follows at once.
    pub fn event(&mut self, platform: &mut Platform, event: ProgramEvent) {
        let mut events = vec![event];

        while let Some(event) = events.pop() {
            let mut out = Vec::new();
            self.programs.step(self.now, event, &mut out);
            let new: Vec<_> =
                out.into_iter().filter_map(|next| self.next(platform, next)).collect();
            events.extend(new.into_iter().rev());
        }
    }

    fn next(&mut self, platform: &mut Platform, next: ProgramAction) -> Option<ProgramEvent> {
        match next {
            ProgramAction::Answer { ticket, reply } => self.answers.push((ticket, reply)),
            ProgramAction::Admit { call, .. } if !self.hold_places => {
                return Some(ProgramEvent::Verdict { call, verdict: Verdict::Admitted });
            }
            ProgramAction::Place { call, request } => {
                self.placed.push(request);
                let target = TargetId(self.placed.len() as u64);
                return (!self.hold_places).then_some(ProgramEvent::Placed { call, target });
            }
            ProgramAction::Platform { op, request } => {
                self.requests.push(request.clone());

                match platform.run(&request) {
                    Some(reply) => return Some(ProgramEvent::Platform { op, reply }),
                    None => self.hanging.push((op, request)),
                }
            }
            ProgramAction::Dispatch(dispatch) => self.sent.push(dispatch),
            ProgramAction::Cancel { .. } => self.cancelled += 1,
            ProgramAction::ProgramEnded { program } => self.over.push(program),
            ProgramAction::Quarantine { digest } => self.quarantined.push(digest),
            ProgramAction::Fenced { .. } => self.fenced += 1,
            ProgramAction::ReleasePlace { call, .. } => self.vacated.push(call),
            ProgramAction::Admit { .. } => {}
        }

        None
    }

    /// Lets the platform answer what hangs there.
    pub fn release(&mut self, platform: &mut Platform) {
        for (op, request) in std::mem::take(&mut self.hanging) {
            let reply = platform.run(&request).expect("the platform answers");
            self.event(platform, ProgramEvent::Platform { op, reply });
        }
    }

    /// Lets time pass.
    pub fn pass(&mut self, platform: &mut Platform, millis: u64) {
        let until = self.now + Duration::from_millis(millis);

        while let Some(at) = self.programs.wake_at().filter(|at| *at <= until) {
            self.now = self.now.max(at);
            self.event(platform, ProgramEvent::Wake);
        }

        self.now = until;
    }

    /// Sends a request of a tenant with a key and returns its ticket.
    pub fn ask_as(
        &mut self,
        platform: &mut Platform,
        who: (&str, u64),
        request: Request,
    ) -> RequestOrigin {
        self.tickets += 1;
        let ticket = RequestOrigin { entry: self.host, request: RequestId(self.tickets) };
        let (tenant, key) = (tenant(who.0), KeyId(who.1));
        self.event(platform, ProgramEvent::Request { ticket, tenant, key, request });
        self.pass(platform, 10);

        ticket
    }

    /// Sends a request of the usual tenant and returns its ticket.
    pub fn ask(&mut self, platform: &mut Platform, request: Request) -> RequestOrigin {
        self.ask_as(platform, ("inkwick", 1), request)
    }

    /// Ends the attempt that was sent last.
    pub fn finish(&mut self, platform: &mut Platform, outcome: AttemptOutcome) {
        let attempt = self.sent.last().expect("an attempt was sent").attempt;
        self.event(platform, ProgramEvent::Ended { attempt, outcome });
        self.pass(platform, 10);
    }

    /// Makes a call that the target answers with `output`.
    pub fn run(
        &mut self,
        platform: &mut Platform,
        request: Request,
        output: &str,
    ) -> CompletedCall {
        let ticket = self.ask(platform, request);
        self.finish(platform, done(output));

        self.called(ticket)
    }

    /// Returns the answer to a request.
    pub fn reply(&self, ticket: RequestOrigin) -> &Reply {
        let mut replies = self.answers.iter().filter(|(to, _)| *to == ticket);
        let (_, reply) = replies.next().expect("the request was answered");
        assert!(replies.next().is_none(), "the request was answered twice");

        reply
    }

    /// Returns the refusal of a request.
    pub fn refusal(&self, ticket: RequestOrigin) -> Refusal {
        match self.reply(ticket) {
            Reply::Refused(refusal) => refusal.clone(),
            reply => panic!("the request was answered {reply:?}"),
        }
    }

    /// Returns the answer to a call that ran.
    pub fn called(&self, ticket: RequestOrigin) -> CompletedCall {
        match self.reply(ticket) {
            Reply::Called(called) => called.clone(),
            reply => panic!("the call was answered {reply:?}"),
        }
    }

    /// Returns the history of the program.
    pub fn history(&mut self, platform: &mut Platform) -> Vec<HistoryCall> {
        let ticket = self.ask(platform, Request::History { program: PROGRAM, from: 1 });

        match self.reply(ticket) {
            Reply::History { calls } => calls.clone(),
            reply => panic!("the history was answered {reply:?}"),
        }
    }
}

/// Returns the opening of a program.
pub fn open(program: ProgramId) -> Request {
    Request::Open(OpenRequest {
        program,
        template: "planner".into(),
        deadline: Duration::from_secs(60),
        parent: None,
        repeatable: true,
    })
}

/// Returns a call of the program.
pub fn call(target: &str, key: &str, after: u32) -> Request {
    Request::Call(call_request(target, key, after))
}

/// Returns a call of the program with a tail.
pub fn call_with_tail(target: &str, key: &str, after: u32, tail: Option<Box<str>>) -> Request {
    Request::Call(CallRequest { tail, ..call_request(target, key, after) })
}

/// Returns a call of the program.
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

/// Returns the end of an attempt that was answered in full.
pub fn done(output: &str) -> AttemptOutcome {
    let usage = Usage { prompt_tokens: Tokens(10), output_tokens: Tokens(20), ..Usage::default() };

    AttemptOutcome::Done { output: output.into(), usage }
}

/// Returns the opening of a sub-agent.
pub fn open_child(child: ProgramId, parent: ProgramId) -> Request {
    let Request::Open(request) = open(child) else { unreachable!("it is an opening") };

    Request::Open(OpenRequest { parent: Some(parent), ..request })
}

/// Returns the end of an attempt whose connection broke.
pub fn lost(crashed: bool) -> AttemptOutcome {
    AttemptOutcome::Lost { streamed: false, crashed }
}
