//! The simulated hosts, platform and targets of the randomized test, and the records that the
//! oracle checks.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use camphorwalk_core::calls::{CallRequest, HistoryCall, OpenRequest, Reply, Request};
use camphorwalk_core::hash::digest;
use camphorwalk_core::ids::{
    Epoch, HostId, KeyId, PartitionId, ProgramId, RequestId, RequestOrigin, TargetId,
};
use camphorwalk_core::platform::{PlatformOp, PlatformReply, RowVersion, Transaction};
use camphorwalk_core::time::Instant;
use camphorwalk_policy::programs::{ProgramAction, ProgramEvent, ProgramOptions, Programs};
use camphorwalk_policy::shared_types::{AttemptOutcome, AttemptPayload, CallId, Dispatch, Verdict};

use crate::fixture::{Mode, Platform, config, tenant};
use crate::oracle::{self, SentRequest};
use crate::targets::{SimulatedOutcome, done, key_of, prompt_tokens, tag};

/// The number of hosts.
pub const HOSTS: usize = 3;

/// Two families in two partitions; the first one has a sub-agent.
pub const PROGRAMS: [ProgramId; 3] = [ProgramId(7), ProgramId(8), ProgramId((1 << 112) | 9)];

/// Targets by key number; a key always uses the same target.
const TARGETS: [&str; 3] = ["deposit", "model", "deposit"];

/// The deadline of each program.
const DEADLINE: Duration = Duration::from_secs(600);

/// Journal bytes after which a checkpoint is made: low, so that every case makes many.
const CHECKPOINT_THRESHOLD: usize = 250;

/// How the platform treats transactions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlatformMode {
    Mode(Mode),
    /// The answer is lost, and the transaction takes effect later.
    Late,
}

/// A host, which processes the events in its mailbox when it is scheduled.
#[derive(Debug)]
struct Host {
    programs: Programs,
    session: u64,
    mailbox: VecDeque<ProgramEvent>,
    paused: bool,
    /// Places, and requests for places, that have not been released.
    places: BTreeSet<CallId>,
}

/// The complete state of a test case.
#[derive(Debug)]
pub struct World {
    hosts: Vec<Host>,
    pub platform: Platform,
    platform_mode: PlatformMode,
    late_commits: Vec<Transaction>,
    now: Instant,
    sessions: u64,
    /// Attempts on their way to a target, with the host and session that sent them.
    in_transit: Vec<(usize, u64, Dispatch)>,
    /// Whether the next rate check or request for a place is refused.
    deny_next: bool,
    pub requests: BTreeMap<u64, SentRequest>,
    /// Calls that ran at the service (`ledger`) and at the engine (`turns`).
    pub ledger: Vec<(ProgramId, Box<str>)>,
    pub turns: Vec<(ProgramId, Box<str>)>,
    /// Tokens that the engine processed and generated, for each family.
    pub tokens: BTreeMap<PartitionId, u64>,
    /// The most recent lease holder of each partition, with its session and lease.
    holders: [(usize, u64, Epoch, RowVersion); 2],
    /// Whether each partition's holder has processed its acquisition.
    notified: [bool; 2],
    /// The last call number and tail that the caller of each program has seen.
    seen: BTreeMap<ProgramId, (u32, Option<Box<str>>)>,
}

impl World {
    pub fn new() -> Self {
        let mut world = Self {
            hosts: Vec::new(),
            platform: Platform::new(),
            platform_mode: PlatformMode::Mode(Mode::Normal),
            late_commits: Vec::new(),
            now: Instant::from_millis(1_000),
            sessions: 0,
            in_transit: Vec::new(),
            deny_next: false,
            requests: BTreeMap::new(),
            ledger: Vec::new(),
            turns: Vec::new(),
            tokens: BTreeMap::new(),
            holders: [(0, 0, Epoch(0), RowVersion(0)); 2],
            notified: [false; 2],
            seen: BTreeMap::new(),
        };

        for _ in 0..HOSTS {
            let host = world.start_host();
            world.hosts.push(host);
        }

        world
    }

    fn start_host(&mut self) -> Host {
        self.sessions += 1;
        let options = ProgramOptions {
            host: HostId(self.sessions),
            session: self.sessions,
            seal_key: [9; 32],
            commit_interval: Duration::from_millis(10),
        };
        let mailbox = VecDeque::from([ProgramEvent::Config(config())]);
        let mut programs = Programs::new(options);
        programs.set_checkpoint_threshold(CHECKPOINT_THRESHOLD);

        Host { programs, session: self.sessions, mailbox, paused: false, places: BTreeSet::new() }
    }

    /// Replaces a crashed process by a new one. Attempts that it sent remain on their way.
    pub fn crash(&mut self, host: usize) {
        self.hosts[host] = self.start_host();
    }

    pub fn pause(&mut self, host: usize, paused: bool) {
        self.hosts[host].paused = paused;
    }

    /// Returns the most recent lease holder of a program's partition.
    pub fn holder(&self, program: usize) -> usize {
        self.holders[usize::from(PROGRAMS[program].partition(2).0)].0
    }

    pub fn set_platform_mode(&mut self, platform_mode: PlatformMode) {
        self.platform_mode = platform_mode;
    }

    pub fn deny_next(&mut self) {
        self.deny_next = true;
    }

    /// Applies the oldest transaction whose answer was lost, if it does not conflict by now.
    pub fn apply_late_commit(&mut self) {
        if !self.late_commits.is_empty() {
            let transaction = self.late_commits.remove(0);
            self.platform.commit(&transaction);
        }
    }

    /// Moves a partition's lease to a host, without notice to the previous holder.
    pub fn take_over(&mut self, host: usize, partition: u16) {
        let (epoch, lease) = self.platform.take_lease(PartitionId(partition));
        let session = self.hosts[host].session;
        self.holders[usize::from(partition)] = (host, session, epoch, lease);
        self.notified[usize::from(partition)] = false;
        self.acquired(partition);
    }

    /// Lets a lease expire by its holder's clock, after which the holder finds that it still
    /// has it.
    pub fn reacquire(&mut self, partition: u16) {
        let (host, session, ..) = self.holders[usize::from(partition)];

        if self.hosts[host].session == session {
            self.expire(host, partition);
            self.acquired(partition);
        }
    }

    /// Announces to the holder of a partition that it is about to release it.
    pub fn release_grants(&mut self, partition: u16) {
        let (host, ..) = self.holders[usize::from(partition)];
        let event = ProgramEvent::ReleaseGrants { partition: PartitionId(partition) };
        self.hosts[host].mailbox.push_back(event);
    }

    fn acquired(&mut self, partition: u16) {
        let (host, _, epoch, lease) = self.holders[usize::from(partition)];
        let partition = PartitionId(partition);
        let event = ProgramEvent::Acquired { partition, epoch, lease };
        self.hosts[host].mailbox.push_back(event);
    }

    /// Lets a lease expire by a host's own clock.
    pub fn expire(&mut self, host: usize, partition: u16) {
        let event = ProgramEvent::Lost { partition: PartitionId(partition) };
        self.hosts[host].mailbox.push_back(event);
    }

    /// Sends a request to a host and returns its number.
    pub fn send(&mut self, host: usize, program: ProgramId, request: Request) -> u64 {
        let number = self.requests.len() as u64 + 1;
        let key = match &request {
            Request::Call(call) => Some(call.key.clone()),
            _ => None,
        };
        let origin = RequestOrigin { entry: HostId(0), request: RequestId(number) };
        let event = ProgramEvent::Request {
            origin,
            tenant: tenant("inzira"),
            key: KeyId(number % 4),
            request,
        };
        let session = self.hosts[host].session;
        let sent = SentRequest { program, key, host, session, reply: None, disconnected: false };
        self.requests.insert(number, sent);
        self.hosts[host].mailbox.push_back(event);

        number
    }

    /// Sends a request that opens a program.
    pub fn open(&mut self, host: usize, program: usize) {
        let request = Request::Open(OpenRequest {
            program: PROGRAMS[program],
            template: "planner".into(),
            deadline: DEADLINE,
            parent: (program == 1).then_some(PROGRAMS[0]),
            repeatable: true,
        });
        self.send(host, PROGRAMS[program], request);
    }

    /// Sends a call that follows the last one its caller has seen, or an older one if `lag` is
    /// not zero.
    pub fn call(&mut self, host: usize, program: usize, key: usize, lag: u32, with_tail: bool) {
        let program = PROGRAMS[program];
        let (after, tail) = self.seen.get(&program).cloned().unwrap_or_default();
        let target = TARGETS[key % TARGETS.len()];
        let key: Box<str> = format!("k{key}").into();
        let request = Request::Call(CallRequest {
            program,
            key: key.clone(),
            after: after.saturating_sub(lag),
            target: target.into(),
            input: tag(program, &key),
            max_tokens: None,
            stream: lag == 1,
            tail: tail.filter(|_| with_tail),
            body: digest(&[key.as_bytes()]),
        });
        self.send(host, program, request);
    }

    /// Disconnects the caller of a request that was not answered.
    pub fn disconnect_caller(&mut self, index: usize) {
        let open: Vec<_> = self.requests.iter().filter(|(_, sent)| sent.reply.is_none()).collect();

        if open.is_empty() {
            return;
        }

        let number = *open[index % open.len()].0;
        let origin = RequestOrigin { entry: HostId(0), request: RequestId(number) };
        let Some(sent) = self.requests.get_mut(&number) else { return };
        sent.disconnected = true;
        let host = &mut self.hosts[sent.host];

        if host.session == sent.session {
            host.mailbox.push_back(ProgramEvent::CallerGone { origin });
        }
    }

    /// Withdraws an API key at a host.
    pub fn withdraw_key(&mut self, host: usize, key: u64) {
        self.hosts[host].mailbox.push_back(ProgramEvent::KeyWithdrawn(KeyId(key)));
    }

    /// Advances the time of all hosts.
    pub fn advance(&mut self, millis: u64) {
        self.now = self.now + Duration::from_millis(millis);

        for host in 0..HOSTS {
            if self.hosts[host].programs.wake_at().is_some_and(|at| at <= self.now) {
                self.hosts[host].mailbox.push_back(ProgramEvent::Wake);
            }
        }
    }

    /// Lets a host process up to `count` events.
    pub fn run(&mut self, host: usize, count: usize) {
        for _ in 0..count {
            if self.hosts[host].paused {
                return;
            }

            let Some(event) = self.hosts[host].mailbox.pop_front() else { return };
            let mut out = Vec::new();

            if let ProgramEvent::Acquired { partition, epoch, .. } = &event {
                let at = usize::from(partition.0);
                self.notified[at] |= self.holders[at].2 == *epoch;
            }

            // The call may be abandoned while this refusal is on its way, so its place is
            // removed here.
            if let ProgramEvent::Unplaced { call, .. } = &event {
                self.hosts[host].places.remove(call);
            }

            self.hosts[host].programs.step(self.now, event, &mut out);

            for action in out {
                self.execute(host, action);
            }
        }
    }

    fn execute(&mut self, host: usize, action: ProgramAction) {
        match action {
            ProgramAction::Answer { origin, reply } => self.record_answer(origin.request.0, reply),
            ProgramAction::Admit { call, .. } => {
                let retry_after = Duration::from_secs(1);
                let verdict = match std::mem::take(&mut self.deny_next) {
                    true => Verdict::Refused { retry_after },
                    false => Verdict::Admitted,
                };
                self.hosts[host].mailbox.push_back(ProgramEvent::Verdict { call, verdict });
            }
            ProgramAction::Place { call, .. } => self.place(host, call),
            ProgramAction::ReleasePlace { call, .. } => {
                assert!(
                    self.hosts[host].places.remove(&call),
                    "the place of a call was released twice"
                );
            }
            ProgramAction::Platform { op, request } => {
                let reply = self.platform_reply(&request);
                self.hosts[host].mailbox.push_back(ProgramEvent::Platform { op, reply });
            }
            ProgramAction::Dispatch(dispatch) => {
                let session = self.hosts[host].session;
                self.in_transit.push((host, session, dispatch));
            }
            ProgramAction::Cancel { .. }
            | ProgramAction::ProgramEnded { .. }
            | ProgramAction::Quarantine { .. }
            | ProgramAction::Fenced { .. } => {}
        }
    }

    fn place(&mut self, host: usize, call: CallId) {
        let denied = std::mem::take(&mut self.deny_next);
        let host = &mut self.hosts[host];

        assert!(host.places.insert(call), "a call requested a place twice");

        if denied {
            let retry_after = Duration::from_secs(1);
            host.mailbox.push_back(ProgramEvent::Unplaced { call, retry_after });
        } else {
            host.mailbox.push_back(ProgramEvent::Placed { call, target: TargetId(1) });
        }
    }

    fn platform_reply(&mut self, request: &PlatformOp) -> PlatformReply {
        match (self.platform_mode, request) {
            (PlatformMode::Late, PlatformOp::Commit(transaction)) => {
                self.late_commits.push(transaction.clone());
                return PlatformReply::Unknown;
            }
            (PlatformMode::Late, _) => self.platform.mode = Mode::Normal,
            (PlatformMode::Mode(mode), _) => self.platform.mode = mode,
        }

        self.platform.run(request).unwrap_or(PlatformReply::Unknown)
    }

    fn record_answer(&mut self, number: u64, reply: Reply) {
        let sent = self.requests.get_mut(&number).expect("every answer must belong to a request");
        assert!(sent.reply.is_none(), "a request was answered twice");
        let partition = usize::from(sent.program.partition(2).0);
        let (host, session, ..) = self.holders[partition];
        let holder = self.notified[partition] && (host, session) == (sent.host, sent.session);

        if holder {
            oracle::check_answer(&self.ledger, sent, &reply);
        }

        let seen = self.seen.entry(sent.program).or_default();

        match &reply {
            Reply::Called(called) if called.call >= seen.0 => {
                *seen = (called.call, called.tail.clone());
            }
            Reply::Refused(refusal) => {
                if let Some(head) = refusal.head {
                    *seen = (head, None);
                }
            }
            _ => {}
        }

        sent.reply = Some(reply);
    }

    /// Lets an attempt end in the given way and reports the end to the host that sent it.
    pub fn end_attempt(&mut self, index: usize, simulated: SimulatedOutcome) {
        if self.in_transit.is_empty() {
            return;
        }

        let (host, session, dispatch) = self.in_transit.remove(index % self.in_transit.len());
        let outcome =
            match simulated {
                SimulatedOutcome::NotSent => AttemptOutcome::NotSent,
                SimulatedOutcome::Refused => AttemptOutcome::Refused { message: "full".into() },
                SimulatedOutcome::Failed => self
                    .run_at_target(&dispatch, || AttemptOutcome::Failed { message: "no".into() }),
                SimulatedOutcome::Lost => self.run_at_target(&dispatch, || AttemptOutcome::Lost {
                    streamed: false,
                    crashed: false,
                }),
                SimulatedOutcome::Crashed => self.run_at_target(&dispatch, || {
                    AttemptOutcome::Lost { streamed: false, crashed: true }
                }),
                SimulatedOutcome::Done => {
                    let prompt = prompt_tokens(&dispatch);
                    self.run_at_target(&dispatch, || done(&dispatch, prompt))
                }
            };

        if self.hosts[host].session == session {
            let event = ProgramEvent::Ended { attempt: dispatch.attempt, outcome };
            self.hosts[host].mailbox.push_back(event);
        }
    }

    /// Runs an attempt at its target.
    fn run_at_target(
        &mut self,
        dispatch: &Dispatch,
        outcome: impl FnOnce() -> AttemptOutcome,
    ) -> AttemptOutcome {
        let program = dispatch.program;

        match &dispatch.payload {
            AttemptPayload::Operation { key, .. } => self.ledger.push((program, key.clone())),
            AttemptPayload::Generate { prompt, max_tokens } => {
                let own = program.to_string();
                assert!(
                    prompt.iter().all(|part| part.contains(&own)),
                    "a prompt contains text of another program"
                );
                let tokens = prompt_tokens(dispatch) + u64::from(*max_tokens);
                *self.tokens.entry(program.partition(2)).or_default() += tokens;
                let input = prompt.last().expect("every prompt ends with an input");
                self.turns.push((program, key_of(input)));
            }
        }

        outcome()
    }

    /// Lets all pending work finish, moves both partitions to a new host and returns the
    /// histories there.
    pub fn finish(&mut self) -> BTreeMap<ProgramId, Vec<HistoryCall>> {
        self.platform_mode = PlatformMode::Mode(Mode::Normal);
        self.deny_next = false;

        for host in 0..HOSTS {
            self.pause(host, false);
        }

        self.quiesce();
        self.crash(0);
        self.take_over(0, 0);
        self.take_over(0, 1);
        self.quiesce();
        let asked = PROGRAMS
            .map(|program| (program, self.send(0, program, Request::History { program, from: 1 })));
        self.quiesce();

        asked
            .into_iter()
            .filter_map(|(program, number)| match self.requests[&number].reply.clone() {
                Some(Reply::History { calls }) => Some((program, calls)),
                _ => None,
            })
            .collect()
    }

    /// Runs all hosts until no work is left.
    fn quiesce(&mut self) {
        for _ in 0..60 {
            for host in 0..HOSTS {
                self.run(host, usize::MAX);
            }

            while !self.in_transit.is_empty() {
                self.end_attempt(0, SimulatedOutcome::Done);
            }

            self.apply_late_commit();
            self.advance(100);
        }
    }

    /// Checks that every request was answered, unless its host crashed or its caller
    /// disconnected, and that every place was released.
    pub fn check_answers(&self) {
        for (number, sent) in &self.requests {
            let alive = self.hosts[sent.host].session == sent.session;
            assert!(
                sent.reply.is_some() || sent.disconnected || !alive,
                "request {number} was not answered: {sent:?}"
            );
        }

        for host in &self.hosts {
            assert!(host.places.is_empty(), "a place was not released");
        }
    }
}
