//! Questions of a program's home to the host that keeps a pool's queue.

use std::time::Duration;

use camphorwalk_core::hash::Map;
use camphorwalk_core::ids::{ClassId, HostId, PoolId, ProgramId, TargetId, TenantId};
use camphorwalk_core::messages::queue::{
    Grant, QueueBody, QueueMessage, RefusePlace, ReleasePlace, RequestPlace,
};
use camphorwalk_core::messages::{Body, PeerMessage};
use camphorwalk_core::time::Instant;
use camphorwalk_core::units::Tokens;

use super::work::Work;
use super::{Action, Scheduler};
use crate::programs::ProgramEvent;
use crate::queue::QueueEvent;
use crate::shared_types::{CallId, PlaceOutcome, PlaceRelease, PlaceRequest, PlaceRequestId};

/// How long a question stays unanswered before it is sent once more: messages may be lost,
/// and a repeated question is known by its number.
const REPEAT_AFTER: Duration = Duration::from_secs(1);

/// The longest time between two sendings of a question that waits its turn: with many calls
/// waiting, a sending of each every second would take most of the bytes for control.
const LONGEST_PAUSE: Duration = Duration::from_secs(8);

/// A question that is not over yet.
#[derive(Clone, Copy, Debug)]
struct Question {
    call: CallId,
    keeper: HostId,
    request: PlaceRequest,
    /// When it was asked first.
    asked: Instant,
    /// When it is sent once more.
    repeat_at: Instant,
    /// The time from one sending to the next; it doubles.
    pause: Duration,
    granted: bool,
}

/// The questions of this host.
#[derive(Debug, Default)]
pub(super) struct Asks {
    questions: Map<u64, Question>,
    numbers: Map<CallId, u64>,
    next: u64,
    /// When the first unanswered question is to be repeated, at the earliest.
    repeat_at: Option<Instant>,
}

impl Asks {
    pub fn wake_at(&self) -> Option<Instant> {
        self.repeat_at
    }
}

impl Scheduler {
    /// Asks for a place.
    pub(super) fn ask(
        &mut self,
        now: Instant,
        call: CallId,
        request: PlaceRequest,
        out: &mut Vec<Action>,
    ) {
        self.asks.next += 1;
        let number = self.asks.next;
        let keeper = self.state.keeper(request.pool);
        let repeat_at = now + REPEAT_AFTER;
        let question = Question {
            call,
            keeper,
            request,
            asked: now,
            repeat_at,
            pause: REPEAT_AFTER,
            granted: false,
        };

        self.asks.questions.insert(number, question);
        self.asks.numbers.insert(call, number);
        self.asks.repeat_at = Some(self.asks.repeat_at.map_or(repeat_at, |at| at.min(repeat_at)));
        self.send_question(number, out);
    }

    fn send_question(&mut self, number: u64, out: &mut Vec<Action>) {
        let Question { keeper, request, .. } = self.asks.questions[&number];
        if keeper == self.state.me {
            let request_id = PlaceRequestId { host: self.state.me, number };
            self.work.push_back(Work::Queue(QueueEvent::Request { request_id, request }));
            return;
        }

        out.push(send(keeper, QueueBody::RequestPlace(ask_message(number, &request))));
    }

    /// Gives a place back, or withdraws the question for one.
    pub(super) fn vacate(&mut self, call: CallId, end: PlaceRelease, out: &mut Vec<Action>) {
        let Some(number) = self.asks.numbers.remove(&call) else {
            return;
        };
        let Some(question) = self.asks.questions.remove(&number) else {
            return;
        };

        if question.keeper == self.state.me {
            let request_id = PlaceRequestId { host: self.state.me, number };
            self.work.push_back(Work::Queue(QueueEvent::Release { request_id, end }));
            return;
        }
        out.push(send(question.keeper, QueueBody::ReleasePlace(done_message(number, &end))));
    }

    /// Repeats questions that were not answered for long, elsewhere if their host is gone.
    pub(super) fn repeat_asks(&mut self, now: Instant, out: &mut Vec<Action>) {
        if self.asks.repeat_at.is_none_or(|at| at > now) {
            return;
        }

        let open = |q: &Question| !q.granted;
        let mut due: Vec<_> = Vec::new();
        let mut next: Option<Instant> = None;
        for (number, question) in self.asks.questions.iter_mut().filter(|(_, q)| open(q)) {
            if question.repeat_at <= now {
                question.pause = (question.pause * 2).min(LONGEST_PAUSE);
                question.repeat_at = now + question.pause;
                due.push(*number);
            }
            let at = question.repeat_at;
            next = Some(next.map_or(at, |n| n.min(at)));
        }
        self.asks.repeat_at = next;

        due.sort_unstable();
        for number in due {
            let keeper = self.asks.questions[&number].keeper;
            if keeper == self.state.me || self.membership.is_alive(keeper) {
                self.send_question(number, out);
            } else {
                self.ask_elsewhere(now, number, out);
            }
        }
    }

    /// Asks the host that keeps the queue now. What is left until the deadline is told anew:
    /// with the time of the first question, a call would wait for a place past its deadline.
    fn ask_elsewhere(&mut self, now: Instant, number: u64, out: &mut Vec<Action>) {
        let Some(mut question) = self.asks.questions.remove(&number) else {
            return;
        };

        let passed = now.since(question.asked);
        let left = question.request.deadline_left.saturating_sub(passed);
        question.request.deadline_left = left;
        self.ask(now, question.call, question.request, out);
    }

    /// Asks elsewhere what the queue of a host that is gone did not answer.
    pub(super) fn ask_again(&mut self, now: Instant, gone: HostId, out: &mut Vec<Action>) {
        let lost = |q: &Question| q.keeper == gone && !q.granted;
        let mut numbers: Vec<_> =
            self.asks.questions.iter().filter(|(_, q)| lost(q)).map(|(n, _)| *n).collect();
        numbers.sort_unstable();

        numbers.into_iter().for_each(|number| self.ask_elsewhere(now, number, out));
    }

    /// Tells an asker of its place.
    pub(super) fn grant(
        &mut self,
        request_id: PlaceRequestId,
        target: TargetId,
        out: &mut Vec<Action>,
    ) {
        if request_id.host == self.state.me {
            self.on_grant(self.state.me, request_id.number, target, out);
            return;
        }

        let grant = Grant { number: request_id.number, target: target.0 };
        out.push(send(request_id.host, QueueBody::Grant(grant)));
    }

    /// Tells an asker that it cannot be served in time.
    pub(super) fn refuse_ask(
        &mut self,
        request_id: PlaceRequestId,
        retry_after: Duration,
        out: &mut Vec<Action>,
    ) {
        if request_id.host == self.state.me {
            self.on_refused(request_id.number, retry_after);
            return;
        }

        let retry_after_ms = u64::try_from(retry_after.as_millis()).unwrap_or(u64::MAX);
        let refuse = RefusePlace { number: request_id.number, retry_after_ms };
        out.push(send(request_id.host, QueueBody::RefusePlace(refuse)));
    }

    pub(super) fn on_queue_message(
        &mut self,
        from: HostId,
        message: QueueMessage,
        out: &mut Vec<Action>,
    ) {
        match message.body {
            Some(QueueBody::RequestPlace(ask)) => {
                let request_id = PlaceRequestId { host: from, number: ask.number };
                let request = place_request(&ask);
                self.work.push_back(Work::Queue(QueueEvent::Request { request_id, request }));
            }
            Some(QueueBody::ReleasePlace(done)) => {
                let request_id = PlaceRequestId { host: from, number: done.number };
                let end = place_end(&done);
                self.work.push_back(Work::Queue(QueueEvent::Release { request_id, end }));
            }
            Some(QueueBody::Grant(grant)) => {
                self.on_grant(from, grant.number, TargetId(grant.target), out);
            }
            Some(QueueBody::RefusePlace(refuse)) => {
                self.on_refused(refuse.number, Duration::from_millis(refuse.retry_after_ms));
            }
            None => {}
        }
    }

    fn on_grant(&mut self, from: HostId, number: u64, target: TargetId, out: &mut Vec<Action>) {
        let Some(question) = self.asks.questions.get_mut(&number) else {
            // Withdrawn meanwhile, or asked elsewhere: the place goes back at once.
            if from != self.state.me {
                out.push(send(from, QueueBody::ReleasePlace(done_message(number, &not_sent()))));
            }
            return;
        };

        // A repeated question may be granted twice: the place is the same one.
        if question.granted {
            return;
        }
        question.granted = true;
        let call = question.call;
        self.work.push_back(Work::Program(ProgramEvent::Placed { call, target }));
    }

    fn on_refused(&mut self, number: u64, retry_after: Duration) {
        if let Some(question) = self.asks.questions.remove(&number) {
            self.asks.numbers.remove(&question.call);
            let event = ProgramEvent::Unplaced { call: question.call, retry_after };
            self.work.push_back(Work::Program(event));
        }
    }
}

fn send(to: HostId, body: QueueBody) -> Action {
    let message: PeerMessage = Body::Queue(QueueMessage { body: Some(body) }).into();

    Action::Send { to, message }
}

fn not_sent() -> PlaceRelease {
    PlaceRelease {
        outcome: PlaceOutcome::NotSent,
        computed_prompt: Tokens(0),
        output: Tokens(0),
        program_ended: false,
    }
}

/// The numbers that stand for [`PlaceOutcome`] in a message.
const ENDS: [PlaceOutcome; 4] =
    [PlaceOutcome::NotSent, PlaceOutcome::Finished, PlaceOutcome::Failed, PlaceOutcome::Crashed];

fn done_message(number: u64, end: &PlaceRelease) -> ReleasePlace {
    let position = ENDS.iter().position(|outcome| *outcome == end.outcome).unwrap_or(0);

    ReleasePlace {
        number,
        end: position as u32,
        computed_tokens: end.computed_prompt.0,
        output_tokens: end.output.0,
        program_over: end.program_ended,
    }
}

fn place_end(done: &ReleasePlace) -> PlaceRelease {
    PlaceRelease {
        outcome: ENDS.get(done.end as usize).copied().unwrap_or(PlaceOutcome::Failed),
        computed_prompt: Tokens(done.computed_tokens),
        output: Tokens(done.output_tokens),
        program_ended: done.program_over,
    }
}

fn ask_message(number: u64, request: &PlaceRequest) -> RequestPlace {
    RequestPlace {
        number,
        pool: request.pool.0,
        tenant: request.tenant.0,
        class: request.class.0,
        program_high: (request.program.0 >> 64) as u64,
        program_low: request.program.0 as u64,
        attained_tokens: request.attained.0,
        prompt_tokens: request.prompt.0,
        output_tokens: u32::try_from(request.output.0).unwrap_or(u32::MAX),
        deadline_left_ms: u64::try_from(request.deadline_left.as_millis()).unwrap_or(u64::MAX),
        avoid: request.avoid.map_or(0, |target| target.0),
        suspect: request.suspect,
    }
}

fn place_request(ask: &RequestPlace) -> PlaceRequest {
    PlaceRequest {
        pool: PoolId(ask.pool),
        tenant: TenantId(ask.tenant),
        class: ClassId(ask.class),
        program: ProgramId((u128::from(ask.program_high) << 64) | u128::from(ask.program_low)),
        attained: Tokens(ask.attained_tokens),
        prompt: Tokens(ask.prompt_tokens),
        output: Tokens(u64::from(ask.output_tokens)),
        deadline_left: Duration::from_millis(ask.deadline_left_ms),
        avoid: (ask.avoid != 0).then_some(TargetId(ask.avoid)),
        suspect: ask.suspect,
    }
}
