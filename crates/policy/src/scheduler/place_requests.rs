//! Requests for places, from a program's home to the host that runs a pool's queue. A place is the
//! right to have one call in flight at a target.

use std::time::Duration;

use camphorwalk_core::hash::Map;
use camphorwalk_core::ids::{ClassId, HostId, PoolId, ProgramId, TargetId, TenantId};
use camphorwalk_core::messages::queue::{
    Grant, QueueBody, QueueMessage, RefusePlace, ReleasePlace, RequestPlace,
};
use camphorwalk_core::messages::{Body, PeerMessage};
use camphorwalk_core::time::Instant;
use camphorwalk_core::units::Tokens;

use super::controllers::ControllerEvent;
use super::{Action, Scheduler};
use crate::programs::ProgramEvent;
use crate::queue::QueueEvent;
use crate::shared_types::{CallId, PlaceOutcome, PlaceRelease, PlaceRequest, PlaceRequestId};

/// The time after which an unanswered request is first sent again. Messages may be lost, and the
/// queue recognises a repeated request by its number.
const RESEND_AFTER: Duration = Duration::from_secs(1);

/// The maximum interval between two sendings of a queued request: with many calls waiting, one
/// sending of each per second would take most of the bandwidth of control messages.
const MAX_RESEND_INTERVAL: Duration = Duration::from_secs(8);

/// A request for a place that is waiting or whose place is in use.
#[derive(Clone, Copy, Debug)]
struct PendingPlace {
    call: CallId,
    queue_host: HostId,
    request: PlaceRequest,
    /// When it was created.
    requested_at: Instant,
    /// When it is next sent again.
    resend_at: Instant,
    /// The interval between sendings, which doubles each time.
    interval: Duration,
    granted: bool,
}

/// The place requests of this host's programs that are waiting or whose places are in use.
#[derive(Debug, Default)]
pub(super) struct PlaceRequests {
    pending: Map<u64, PendingPlace>,
    numbers: Map<CallId, u64>,
    last_number: u64,
    /// The earliest time at which an unanswered request is sent again.
    resend_at: Option<Instant>,
}

impl PlaceRequests {
    pub fn wake_at(&self) -> Option<Instant> {
        self.resend_at
    }
}

impl Scheduler {
    /// Requests a place for a call.
    pub(super) fn request_place(
        &mut self,
        now: Instant,
        call: CallId,
        request: PlaceRequest,
        out: &mut Vec<Action>,
    ) {
        self.place_requests.last_number += 1;
        let number = self.place_requests.last_number;
        let queue_host = self.state.queue_host(request.pool);
        let resend_at = now + RESEND_AFTER;
        let pending = PendingPlace {
            call,
            queue_host,
            request,
            requested_at: now,
            resend_at,
            interval: RESEND_AFTER,
            granted: false,
        };

        self.place_requests.pending.insert(number, pending);
        self.place_requests.numbers.insert(call, number);
        self.place_requests.resend_at =
            Some(self.place_requests.resend_at.map_or(resend_at, |at| at.min(resend_at)));
        self.send_place_request(number, out);
    }

    fn send_place_request(&mut self, number: u64, out: &mut Vec<Action>) {
        let PendingPlace { queue_host, request, .. } = self.place_requests.pending[&number];
        if queue_host == self.state.this_host {
            let request_id = PlaceRequestId { host: self.state.this_host, number };
            self.events
                .push_back(ControllerEvent::Queue(QueueEvent::Request { request_id, request }));
            return;
        }

        out.push(send(queue_host, QueueBody::RequestPlace(request_message(number, &request))));
    }

    /// Releases the place of a call, or withdraws its request for one.
    pub(super) fn release_place(
        &mut self,
        call: CallId,
        release: PlaceRelease,
        out: &mut Vec<Action>,
    ) {
        let Some(number) = self.place_requests.numbers.remove(&call) else {
            return;
        };
        let Some(pending) = self.place_requests.pending.remove(&number) else {
            return;
        };

        if pending.queue_host == self.state.this_host {
            let request_id = PlaceRequestId { host: self.state.this_host, number };
            self.events
                .push_back(ControllerEvent::Queue(QueueEvent::Release { request_id, release }));
            return;
        }
        out.push(send(
            pending.queue_host,
            QueueBody::ReleasePlace(release_message(number, &release)),
        ));
    }

    /// Sends overdue requests again, to another host if the one that ran the queue is no longer
    /// live.
    pub(super) fn resend_place_requests(&mut self, now: Instant, out: &mut Vec<Action>) {
        if self.place_requests.resend_at.is_none_or(|at| at > now) {
            return;
        }

        let open = |q: &PendingPlace| !q.granted;
        let mut due: Vec<_> = Vec::new();
        let mut next: Option<Instant> = None;
        for (number, pending) in self.place_requests.pending.iter_mut().filter(|(_, q)| open(q)) {
            if pending.resend_at <= now {
                pending.interval = (pending.interval * 2).min(MAX_RESEND_INTERVAL);
                pending.resend_at = now + pending.interval;
                due.push(*number);
            }
            let at = pending.resend_at;
            next = Some(next.map_or(at, |n| n.min(at)));
        }
        self.place_requests.resend_at = next;

        due.sort_unstable();
        for number in due {
            let queue_host = self.place_requests.pending[&number].queue_host;
            if queue_host == self.state.this_host || self.membership.is_live(queue_host) {
                self.send_place_request(number, out);
            } else {
                self.request_elsewhere(now, number, out);
            }
        }
    }

    /// Moves a request to the host that runs the queue now. The time left until the deadline is
    /// recomputed: with the value of the original request, a call would wait for a place past its
    /// deadline.
    fn request_elsewhere(&mut self, now: Instant, number: u64, out: &mut Vec<Action>) {
        let Some(mut pending) = self.place_requests.pending.remove(&number) else {
            return;
        };

        let passed = now.since(pending.requested_at);
        let left = pending.request.deadline_left.saturating_sub(passed);
        pending.request.deadline_left = left;
        self.request_place(now, pending.call, pending.request, out);
    }

    /// Moves the requests that a silent host did not grant to the hosts that run their queues now.
    pub(super) fn move_requests_of(&mut self, now: Instant, silent: HostId, out: &mut Vec<Action>) {
        let lost = |q: &PendingPlace| q.queue_host == silent && !q.granted;
        let mut numbers: Vec<_> =
            self.place_requests.pending.iter().filter(|(_, q)| lost(q)).map(|(n, _)| *n).collect();
        numbers.sort_unstable();

        numbers.into_iter().for_each(|number| self.request_elsewhere(now, number, out));
    }

    /// Notifies the requesting host of a granted place.
    pub(super) fn send_grant(
        &mut self,
        request_id: PlaceRequestId,
        target: TargetId,
        out: &mut Vec<Action>,
    ) {
        if request_id.host == self.state.this_host {
            self.on_grant(self.state.this_host, request_id.number, target, out);
            return;
        }

        let grant = Grant { number: request_id.number, target: target.0 };
        out.push(send(request_id.host, QueueBody::Grant(grant)));
    }

    /// Notifies the requesting host that this host's queue refused its call.
    pub(super) fn send_refusal(
        &mut self,
        request_id: PlaceRequestId,
        retry_after: Duration,
        out: &mut Vec<Action>,
    ) {
        if request_id.host == self.state.this_host {
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
            Some(QueueBody::RequestPlace(message)) => {
                let request_id = PlaceRequestId { host: from, number: message.number };
                let request = place_request(&message);
                self.events
                    .push_back(ControllerEvent::Queue(QueueEvent::Request { request_id, request }));
            }
            Some(QueueBody::ReleasePlace(release)) => {
                let request_id = PlaceRequestId { host: from, number: release.number };
                let release = place_release(&release);
                self.events
                    .push_back(ControllerEvent::Queue(QueueEvent::Release { request_id, release }));
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
        let Some(pending) = self.place_requests.pending.get_mut(&number) else {
            // The request was withdrawn or moved to another host, so this host releases the place
            // at once.
            if from != self.state.this_host {
                out.push(send(from, QueueBody::ReleasePlace(release_message(number, &not_sent()))));
            }
            return;
        };

        // If the request was sent again, its grant may arrive twice; both are for the same place.
        if pending.granted {
            return;
        }
        pending.granted = true;
        let call = pending.call;
        self.events.push_back(ControllerEvent::Program(ProgramEvent::Placed { call, target }));
    }

    fn on_refused(&mut self, number: u64, retry_after: Duration) {
        if let Some(pending) = self.place_requests.pending.remove(&number) {
            self.place_requests.numbers.remove(&pending.call);
            let event = ProgramEvent::Unplaced { call: pending.call, retry_after };
            self.events.push_back(ControllerEvent::Program(event));
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

/// The encoding of [`PlaceOutcome`] in messages: its index in this list.
const OUTCOMES: [PlaceOutcome; 4] =
    [PlaceOutcome::NotSent, PlaceOutcome::Finished, PlaceOutcome::Failed, PlaceOutcome::Crashed];

fn release_message(number: u64, release: &PlaceRelease) -> ReleasePlace {
    let position = OUTCOMES.iter().position(|outcome| *outcome == release.outcome).unwrap_or(0);

    ReleasePlace {
        number,
        end: position as u32,
        computed_tokens: release.computed_prompt.0,
        output_tokens: release.output.0,
        program_over: release.program_ended,
    }
}

fn place_release(release: &ReleasePlace) -> PlaceRelease {
    PlaceRelease {
        outcome: OUTCOMES.get(release.end as usize).copied().unwrap_or(PlaceOutcome::Failed),
        computed_prompt: Tokens(release.computed_tokens),
        output: Tokens(release.output_tokens),
        program_ended: release.program_over,
    }
}

fn request_message(number: u64, request: &PlaceRequest) -> RequestPlace {
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

fn place_request(message: &RequestPlace) -> PlaceRequest {
    PlaceRequest {
        pool: PoolId(message.pool),
        tenant: TenantId(message.tenant),
        class: ClassId(message.class),
        program: ProgramId(
            (u128::from(message.program_high) << 64) | u128::from(message.program_low),
        ),
        attained: Tokens(message.attained_tokens),
        prompt: Tokens(message.prompt_tokens),
        output: Tokens(u64::from(message.output_tokens)),
        deadline_left: Duration::from_millis(message.deadline_left_ms),
        avoid: (message.avoid != 0).then_some(TargetId(message.avoid)),
        suspect: message.suspect,
    }
}
