//! Hosts, platform and targets as the fuzz runs them, with what the oracle needs to know.

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
use crate::oracle::{self, Sent};
use crate::targets::{Fate, done, key_of, prompt_tokens, tag};

/// The hosts.
pub const HOSTS: usize = 3;

/// The programs: two families in two partitions, the first with a sub-agent.
pub const PROGRAMS: [ProgramId; 3] = [ProgramId(7), ProgramId(8), ProgramId((1 << 112) | 9)];

/// The targets in turn; a key always goes to the same one.
const TARGETS: [&str; 3] = ["deposit", "model", "deposit"];

/// The deadline of each program.
const DEADLINE: Duration = Duration::from_secs(600);

/// Journal bytes after which a checkpoint is made: few, so that many are.
const CHECKPOINT_BYTES: usize = 250;

/// How the platform treats transactions besides its modes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Weather {
    Mode(Mode),
    /// The answer is lost and the transaction lands later.
    Late,
}

/// A host; it handles its mailbox when it is run.
#[derive(Debug)]
struct Host {
    programs: Programs,
    session: u64,
    mailbox: VecDeque<ProgramEvent>,
    paused: bool,
    /// Questions for places that are not vacated.
    places: BTreeSet<CallId>,
}

/// All of it.
#[derive(Debug)]
pub struct World {
    hosts: Vec<Host>,
    pub platform: Platform,
    weather: Weather,
    late: Vec<Transaction>,
    now: Instant,
    sessions: u64,
    /// Attempts whose bytes are on their way, with the host and session that sent them.
    air: Vec<(usize, u64, Dispatch)>,
    /// Whether the next question for a rate or place is refused.
    deny: bool,
    pub sent: BTreeMap<u64, Sent>,
    /// Calls that ran at the plain service, and at the engine.
    pub ledger: Vec<(ProgramId, Box<str>)>,
    pub turns: Vec<(ProgramId, Box<str>)>,
    /// Tokens that the engine took and gave, for each family.
    pub tokens: BTreeMap<PartitionId, u64>,
    /// The host that took each partition last, its session and the lease.
    holders: [(usize, u64, Epoch, RowVersion); 2],
    /// Whether the holder of each partition has been told so.
    told: [bool; 2],
    /// The last call and tail that a program's caller has seen.
    seen: BTreeMap<ProgramId, (u32, Option<Box<str>>)>,
}

impl World {
    pub fn new() -> Self {
        let mut world = Self {
            hosts: Vec::new(),
            platform: Platform::new(),
            weather: Weather::Mode(Mode::Up),
            late: Vec::new(),
            now: Instant::from_millis(1_000),
            sessions: 0,
            air: Vec::new(),
            deny: false,
            sent: BTreeMap::new(),
            ledger: Vec::new(),
            turns: Vec::new(),
            tokens: BTreeMap::new(),
            holders: [(0, 0, Epoch(0), RowVersion(0)); 2],
            told: [false; 2],
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
        programs.set_checkpoint_bytes(CHECKPOINT_BYTES);

        Host { programs, session: self.sessions, mailbox, paused: false, places: BTreeSet::new() }
    }

    /// A process dies and another takes its place. What it sent is on its way still.
    pub fn die(&mut self, host: usize) {
        self.hosts[host] = self.start_host();
    }

    pub fn pause(&mut self, host: usize, paused: bool) {
        self.hosts[host].paused = paused;
    }

    /// Returns the host that took a program's partition last.
    pub fn holder(&self, program: usize) -> usize {
        self.holders[usize::from(PROGRAMS[program].partition(2).0)].0
    }

    pub fn set_weather(&mut self, weather: Weather) {
        self.weather = weather;
    }

    pub fn deny(&mut self) {
        self.deny = true;
    }

    /// A transaction whose answer was lost takes effect now, if it still can.
    pub fn land(&mut self) {
        if !self.late.is_empty() {
            let transaction = self.late.remove(0);
            self.platform.commit(&transaction);
        }
    }

    /// A host takes a partition's lease; its former holder is told nothing.
    pub fn take_over(&mut self, host: usize, partition: u16) {
        let (epoch, lease) = self.platform.take_lease(PartitionId(partition));
        let session = self.hosts[host].session;
        self.holders[usize::from(partition)] = (host, session, epoch, lease);
        self.told[usize::from(partition)] = false;
        self.acquired(partition);
    }

    /// The holder of a lease finds that it holds it still, after its clock said otherwise.
    pub fn regain(&mut self, partition: u16) {
        let (host, session, ..) = self.holders[usize::from(partition)];

        if self.hosts[host].session == session {
            self.expire(host, partition);
            self.acquired(partition);
        }
    }

    /// The holder of a partition is about to give it back.
    pub fn settle_grants(&mut self, partition: u16) {
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

    /// A host's own clock tells it that a lease is over.
    pub fn expire(&mut self, host: usize, partition: u16) {
        let event = ProgramEvent::Lost { partition: PartitionId(partition) };
        self.hosts[host].mailbox.push_back(event);
    }

    /// Sends a request to a host.
    pub fn ask(&mut self, host: usize, program: ProgramId, request: Request) -> u64 {
        let number = self.sent.len() as u64 + 1;
        let key = match &request {
            Request::Call(call) => Some(call.key.clone()),
            _ => None,
        };
        let ticket = RequestOrigin { entry: HostId(0), request: RequestId(number) };
        let event = ProgramEvent::Request {
            ticket,
            tenant: tenant("inzira"),
            key: KeyId(number % 4),
            request,
        };
        let session = self.hosts[host].session;
        let sent = Sent { program, key, host, session, reply: None, gone: false };
        self.sent.insert(number, sent);
        self.hosts[host].mailbox.push_back(event);

        number
    }

    /// Opens a program.
    pub fn open(&mut self, host: usize, program: usize) {
        let request = Request::Open(OpenRequest {
            program: PROGRAMS[program],
            template: "planner".into(),
            deadline: DEADLINE,
            parent: (program == 1).then_some(PROGRAMS[0]),
            repeatable: true,
        });
        self.ask(host, PROGRAMS[program], request);
    }

    /// Makes a call after what the program's caller has seen, or after something older.
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
        self.ask(host, program, request);
    }

    /// A caller hangs up.
    pub fn hang_up(&mut self, index: usize) {
        let open: Vec<_> = self.sent.iter().filter(|(_, sent)| sent.reply.is_none()).collect();

        if open.is_empty() {
            return;
        }

        let number = *open[index % open.len()].0;
        let ticket = RequestOrigin { entry: HostId(0), request: RequestId(number) };
        let Some(sent) = self.sent.get_mut(&number) else { return };
        sent.gone = true;
        let host = &mut self.hosts[sent.host];

        if host.session == sent.session {
            host.mailbox.push_back(ProgramEvent::CallerGone { ticket });
        }
    }

    /// A key is withdrawn at a host.
    pub fn withdraw(&mut self, host: usize, key: u64) {
        self.hosts[host].mailbox.push_back(ProgramEvent::KeyWithdrawn(KeyId(key)));
    }

    /// Time passes for all.
    pub fn pass(&mut self, millis: u64) {
        self.now = self.now + Duration::from_millis(millis);

        for host in 0..HOSTS {
            if self.hosts[host].programs.wake_at().is_some_and(|at| at <= self.now) {
                self.hosts[host].mailbox.push_back(ProgramEvent::Wake);
            }
        }
    }

    /// A host handles up to `count` events.
    pub fn run(&mut self, host: usize, count: usize) {
        for _ in 0..count {
            if self.hosts[host].paused {
                return;
            }

            let Some(event) = self.hosts[host].mailbox.pop_front() else { return };
            let mut out = Vec::new();

            if let ProgramEvent::Acquired { partition, epoch, .. } = &event {
                let at = usize::from(partition.0);
                self.told[at] |= self.holders[at].2 == *epoch;
            }

            // A question may be withdrawn while its refusal is on the way.
            if let ProgramEvent::Unplaced { call, .. } = &event {
                self.hosts[host].places.remove(call);
            }

            self.hosts[host].programs.step(self.now, event, &mut out);

            for next in out {
                self.next(host, next);
            }
        }
    }

    fn next(&mut self, host: usize, next: ProgramAction) {
        match next {
            ProgramAction::Answer { ticket, reply } => self.answered(ticket.request.0, reply),
            ProgramAction::Admit { call, .. } => {
                let retry_after = Duration::from_secs(1);
                let verdict = match std::mem::take(&mut self.deny) {
                    true => Verdict::Refused { retry_after },
                    false => Verdict::Admitted,
                };
                self.hosts[host].mailbox.push_back(ProgramEvent::Verdict { call, verdict });
            }
            ProgramAction::Place { call, .. } => self.place(host, call),
            ProgramAction::ReleasePlace { call, .. } => {
                assert!(self.hosts[host].places.remove(&call), "a place was vacated twice");
            }
            ProgramAction::Platform { op, request } => {
                let reply = self.platform_reply(&request);
                self.hosts[host].mailbox.push_back(ProgramEvent::Platform { op, reply });
            }
            ProgramAction::Dispatch(dispatch) => {
                let session = self.hosts[host].session;
                self.air.push((host, session, dispatch));
            }
            ProgramAction::Cancel { .. }
            | ProgramAction::ProgramEnded { .. }
            | ProgramAction::Quarantine { .. }
            | ProgramAction::Fenced { .. } => {}
        }
    }

    fn place(&mut self, host: usize, call: CallId) {
        let denied = std::mem::take(&mut self.deny);
        let host = &mut self.hosts[host];

        assert!(host.places.insert(call), "a place was asked for twice");

        if denied {
            let retry_after = Duration::from_secs(1);
            host.mailbox.push_back(ProgramEvent::Unplaced { call, retry_after });
        } else {
            host.mailbox.push_back(ProgramEvent::Placed { call, target: TargetId(1) });
        }
    }

    fn platform_reply(&mut self, request: &PlatformOp) -> PlatformReply {
        match (self.weather, request) {
            (Weather::Late, PlatformOp::Commit(transaction)) => {
                self.late.push(transaction.clone());
                return PlatformReply::Unknown;
            }
            (Weather::Late, _) => self.platform.mode = Mode::Up,
            (Weather::Mode(mode), _) => self.platform.mode = mode,
        }

        self.platform.run(request).unwrap_or(PlatformReply::Unknown)
    }

    fn answered(&mut self, number: u64, reply: Reply) {
        let sent = self.sent.get_mut(&number).expect("an answer belongs to a request");
        assert!(sent.reply.is_none(), "a request was answered twice");
        let partition = usize::from(sent.program.partition(2).0);
        let (host, session, ..) = self.holders[partition];
        let holder = self.told[partition] && (host, session) == (sent.host, sent.session);

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

    /// An attempt reaches its target, or does not, and its end is told to who sent it.
    pub fn reach(&mut self, index: usize, fate: Fate) {
        if self.air.is_empty() {
            return;
        }

        let (host, session, dispatch) = self.air.remove(index % self.air.len());
        let outcome = match fate {
            Fate::NotSent => AttemptOutcome::NotSent,
            Fate::Refused => AttemptOutcome::Refused { message: "full".into() },
            Fate::Failed => {
                self.work(&dispatch, || AttemptOutcome::Failed { message: "no".into() })
            }
            Fate::Lost => {
                self.work(&dispatch, || AttemptOutcome::Lost { streamed: false, crashed: false })
            }
            Fate::Crashed => {
                self.work(&dispatch, || AttemptOutcome::Lost { streamed: false, crashed: true })
            }
            Fate::Done => {
                let prompt = prompt_tokens(&dispatch);
                self.work(&dispatch, || done(&dispatch, prompt))
            }
        };

        if self.hosts[host].session == session {
            let event = ProgramEvent::Ended { attempt: dispatch.attempt, outcome };
            self.hosts[host].mailbox.push_back(event);
        }
    }

    /// The target runs an attempt.
    fn work(
        &mut self,
        dispatch: &Dispatch,
        end: impl FnOnce() -> AttemptOutcome,
    ) -> AttemptOutcome {
        let program = dispatch.program;

        match &dispatch.payload {
            AttemptPayload::Operation { key, .. } => self.ledger.push((program, key.clone())),
            AttemptPayload::Generate { prompt, max_tokens } => {
                let own = program.to_string();
                assert!(prompt.iter().all(|part| part.contains(&own)), "a prompt was mixed");
                let tokens = prompt_tokens(dispatch) + u64::from(*max_tokens);
                *self.tokens.entry(program.partition(2)).or_default() += tokens;
                let input = prompt.last().expect("a prompt has an input");
                self.turns.push((program, key_of(input)));
            }
        }

        end()
    }

    /// Lets everything settle on one fresh host and returns the histories there.
    pub fn settle(&mut self) -> BTreeMap<ProgramId, Vec<HistoryCall>> {
        self.weather = Weather::Mode(Mode::Up);
        self.deny = false;

        for host in 0..HOSTS {
            self.pause(host, false);
        }

        self.quiesce();
        self.die(0);
        self.take_over(0, 0);
        self.take_over(0, 1);
        self.quiesce();
        let asked = PROGRAMS
            .map(|program| (program, self.ask(0, program, Request::History { program, from: 1 })));
        self.quiesce();

        asked
            .into_iter()
            .filter_map(|(program, number)| match self.sent[&number].reply.clone() {
                Some(Reply::History { calls }) => Some((program, calls)),
                _ => None,
            })
            .collect()
    }

    /// Runs all until nothing is left to do.
    fn quiesce(&mut self) {
        for _ in 0..60 {
            for host in 0..HOSTS {
                self.run(host, usize::MAX);
            }

            while !self.air.is_empty() {
                self.reach(0, Fate::Done);
            }

            self.land();
            self.pass(100);
        }
    }

    /// Checks that every request to a host that lived on was answered, and that every place
    /// was given back.
    pub fn check_answers(&self) {
        for (number, sent) in &self.sent {
            let alive = self.hosts[sent.host].session == sent.session;
            assert!(sent.reply.is_some() || sent.gone || !alive, "{number}: {sent:?}");
        }

        for host in &self.hosts {
            assert!(host.places.is_empty(), "a place is still held");
        }
    }
}
