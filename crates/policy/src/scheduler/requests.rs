//! Handles requests of callers on their entry host: forwards them to the program's home and returns
//! the answers.

use std::time::Duration;

use camphorwalk_core::calls::{Code, Executed, Refusal, Reply, Request};
use camphorwalk_core::config::Tenant;
use camphorwalk_core::hash::stable_hash;
use camphorwalk_core::ids::{
    HostId, KeyId, PartitionId, ProgramId, RequestId, RequestOrigin, TargetId, TenantId,
};
use camphorwalk_core::messages::forward::{CallerGone, Forward};
use camphorwalk_core::messages::{Body, PeerMessage};
use camphorwalk_core::time::Instant;

use super::controllers::{ControllerEvent, home_unavailable};
use super::{Action, Scheduler, WaitingRequest};
use crate::leases::LeaseEvent;
use crate::programs::ProgramEvent;
use crate::queue::QueueEvent;
use crate::slices::SliceEvent;

/// The retry delay while a program's home is moving: roughly the time until the lease of a failed
/// host is taken over.
const RETRY_HOME_MOVING: Duration = Duration::from_secs(2);

/// The retry delay after an answer was lost: the connection is re-established by then.
const RETRY_ANSWER_LOST: Duration = Duration::from_millis(500);

impl Scheduler {
    /// Handles a request of a caller of this host.
    pub(super) fn on_request(
        &mut self,
        now: Instant,
        request: RequestId,
        tenant: TenantId,
        key: KeyId,
        mut body: Request,
        out: &mut Vec<Action>,
    ) {
        let may_run = matches!(body, Request::Open(_) | Request::Call(_) | Request::End { .. });
        let is_call = matches!(body, Request::Call(_));
        self.record_waiting(
            request,
            WaitingRequest { home: self.state.this_host, may_run, is_call },
        );

        if self.state.config.is_none() {
            let reply =
                home_unavailable(is_call, "this host has no configuration yet", RETRY_HOME_MOVING);
            return self.answer_caller(request, reply, out);
        }
        if self.is_refused_while_isolated(now, tenant) {
            let reply = home_unavailable(is_call, "this zone is cut off", RETRY_HOME_MOVING);
            return self.answer_caller(request, reply, out);
        }
        self.assign_program_id(&mut body);

        let partition = body.program().partition(self.state.partitions());
        match self.home_of(partition) {
            Some(home) if home == self.state.this_host => {
                let origin = RequestOrigin { entry: self.state.this_host, request };
                let event = ProgramEvent::Request { origin, tenant, key, request: body };
                self.events.push_back(ControllerEvent::Program(event));
            }
            Some(home) => {
                self.record_waiting(request, WaitingRequest { home, may_run, is_call });
                let body = serde_json::to_vec(&body).expect("a request is plain data").into();
                let forward = Forward { request: request.0, tenant: tenant.0, key: key.0, body };
                out.push(Action::Send { to: home, message: Body::Forward(forward).into() });
            }
            None => {
                let reply =
                    home_unavailable(is_call, "the program's home is moving", RETRY_HOME_MOVING);
                self.answer_caller(request, reply, out);
            }
        }
    }

    /// Returns whether this zone is isolated, that is, reaches neither the platform nor any other
    /// zone, and the tenant's configuration forbids serving it in such a zone.
    ///
    /// An isolated zone does not learn that a key was withdrawn. By default it still serves all
    /// tenants; a tenant for which using a withdrawn key is worse than a refusal opts out.
    fn is_refused_while_isolated(&self, now: Instant, tenant: TenantId) -> bool {
        let Some(config) = self.state.config.as_ref().filter(|_| self.is_zone_isolated(now)) else {
            return false;
        };
        let declared = |t: &&Tenant| TenantId::from_name(&t.name) == tenant;

        config.tenants.iter().find(declared).is_some_and(|t| !t.serve_when_cut_off)
    }

    fn is_zone_isolated(&self, now: Instant) -> bool {
        let lapsed = self.leases.is_renewal_failing() && now > self.state.leases_valid_until;

        lapsed && self.state.live_hosts.values().all(|zone| *zone == self.state.zone)
    }

    /// Returns the home of a partition, if it is known and live.
    pub(super) fn home_of(&self, partition: PartitionId) -> Option<HostId> {
        if self.state.held_partitions.contains(&partition) {
            return Some(self.state.this_host);
        }

        let holder = self.state.holders.get(&partition)?;
        self.membership.is_live(holder.host).then_some(holder.host)
    }

    /// Assigns the program id of a request to open a program; a sub-agent gets one in its parent's
    /// partition.
    fn assign_program_id(&mut self, body: &mut Request) {
        let Request::Open(open) = body else {
            return;
        };

        if !open.repeatable {
            self.opened_programs += 1;
            open.program = self.new_program_id();
        }
        if let Some(parent) = open.parent {
            open.program = open.program.in_partition(parent.partition(self.state.partitions()));
        }
    }

    /// Generates an id that no other host and no other run of this host generates. If this host
    /// holds any partitions, the id is in one of them, so that the program's calls are not
    /// forwarded.
    fn new_program_id(&self) -> ProgramId {
        let parts = [self.session.to_be_bytes(), self.opened_programs.to_be_bytes()];
        let half = |salt: &[u8]| u128::from(stable_hash(&[salt, &parts[0], &parts[1]]));
        let program = ProgramId((half(b"high") << 64) | half(b"low"));

        let mut partitions: Vec<_> = self.state.held_partitions.iter().copied().collect();
        partitions.sort_unstable();
        match partitions.len() {
            0 => program,
            count => program.in_partition(partitions[self.opened_programs as usize % count]),
        }
    }

    /// Handles the disconnection of a caller of this host.
    pub(super) fn on_caller_gone(&mut self, request: RequestId, out: &mut Vec<Action>) {
        let Some(waiting) = self.waiting_requests.remove(&request) else {
            return;
        };

        if waiting.home == self.state.this_host {
            let origin = RequestOrigin { entry: self.state.this_host, request };
            self.events.push_back(ControllerEvent::Program(ProgramEvent::CallerGone { origin }));
        } else {
            let gone = CallerGone { request: request.0 };
            out.push(Action::Send { to: waiting.home, message: Body::CallerGone(gone).into() });
        }
    }

    /// Handles a message from another host.
    pub(super) fn on_peer(
        &mut self,
        now: Instant,
        from: HostId,
        message: PeerMessage,
        out: &mut Vec<Action>,
    ) {
        match message.body {
            Some(Body::Forward(forward)) => self.on_forward(from, &forward, out),
            Some(Body::Answer(answer)) => {
                // Only the host that the request was forwarded to may answer it.
                let request = RequestId(answer.request);
                let expected = self.waiting_requests.get(&request).is_some_and(|w| w.home == from);
                if let (true, Ok(reply)) = (expected, serde_json::from_slice(&answer.body)) {
                    self.answer_caller(request, reply, out);
                }
            }
            Some(Body::CallerGone(gone)) => {
                let origin = RequestOrigin { entry: from, request: RequestId(gone.request) };
                self.events
                    .push_back(ControllerEvent::Program(ProgramEvent::CallerGone { origin }));
            }
            Some(Body::Gossip(gossip)) => self.on_gossip(now, from, gossip, out),
            Some(Body::Slices(message)) => {
                let event = SliceEvent::Message { from, message };
                self.events.push_back(ControllerEvent::Slice(event));
            }
            Some(Body::Queue(message)) => self.on_queue_message(from, message, out),
            Some(Body::Drain(_)) => self.drain(),
            Some(Body::EndedQuery(query)) => self.on_ended_query(from, &query, out),
            Some(Body::EndedPrograms(ended)) => {
                let programs = super::sweep::from_bytes(&ended.programs);
                self.free_ended(TargetId(ended.target), programs, out);
            }
            // Chunks go from the connection directly to the caller's stream. The other messages are
            // for hosts that forward calls and have no programs of their own.
            Some(
                Body::Chunk(_)
                | Body::EntryStatus(_)
                | Body::Manifest(_)
                | Body::PeerQuery(_)
                | Body::PeerQueryReply(_)
                | Body::ForwardedStatus(_)
                | Body::ForwardedStatuses(_)
                | Body::LoadNotice(_)
                | Body::StatusRequest(_),
            )
            | None => {}
        }
    }

    fn on_forward(&mut self, from: HostId, forward: &Forward, out: &mut Vec<Action>) {
        let origin = RequestOrigin { entry: from, request: RequestId(forward.request) };
        let key = KeyId(forward.key);
        let Ok(request) = serde_json::from_slice::<Request>(&forward.body) else {
            let refusal = Refusal::not_run(Code::BadRequest, "the request cannot be read here");
            return self.answer(origin, Reply::Refused(refusal), out);
        };

        // The entry host may not have received a withdrawal or a new configuration yet.
        if self.configs.is_withdrawn(key) || self.state.removed_keys.contains(&key) {
            let refusal = Refusal::not_run(Code::Unauthorized, "the key is not accepted");
            return self.answer(origin, Reply::Refused(refusal), out);
        }

        let tenant = TenantId(forward.tenant);
        self.events.push_back(ControllerEvent::Program(ProgramEvent::Request {
            origin,
            tenant,
            key,
            request,
        }));
    }

    /// Handles a message that the runtime could not queue for sending.
    pub(super) fn on_unsent(
        &mut self,
        now: Instant,
        to: HostId,
        message: PeerMessage,
        out: &mut Vec<Action>,
    ) {
        match &message.body {
            Some(Body::Forward(forward)) => {
                let request = RequestId(forward.request);
                let is_call = self.waiting_requests.get(&request).is_some_and(|w| w.is_call);
                let reply = home_unavailable(
                    is_call,
                    "the program's home cannot be reached",
                    RETRY_HOME_MOVING,
                );
                self.answer_caller(request, reply, out);
                self.events.push_back(ControllerEvent::Lease(LeaseEvent::HolderSuspected));
            }
            Some(Body::Answer(_)) => self.keep_unsent_answer(now, to, message),
            // All other messages are repeated anyway or are not needed.
            _ => {}
        }
    }

    /// Refuses the unanswered requests of this host's callers that were forwarded to a host whose
    /// connection broke or that became silent: they may or may not have arrived there.
    pub(super) fn on_peer_down(&mut self, host: HostId, out: &mut Vec<Action>) {
        let lost = |w: &WaitingRequest| w.home == host;
        let mut requests: Vec<_> = self
            .waiting_requests
            .iter()
            .filter(|(_, w)| lost(w))
            .map(|(request, w)| (*request, *w))
            .collect();
        requests.sort_unstable_by_key(|(request, _)| *request);

        for (request, waiting) in requests {
            let reply = if waiting.may_run {
                let message = "the program's home went away; repeat with the same key";
                let refusal = Refusal::not_run(Code::OutcomeUnknown, message);
                Reply::Refused(refusal.ran(Executed::Maybe).retry_after(RETRY_ANSWER_LOST))
            } else {
                home_unavailable(false, "the program's home went away", RETRY_ANSWER_LOST)
            };
            self.answer_caller(request, reply, out);
        }
    }

    /// Handles another host that has become silent.
    pub(super) fn on_host_silent(&mut self, now: Instant, host: HostId, out: &mut Vec<Action>) {
        self.events.push_back(ControllerEvent::Lease(LeaseEvent::HolderSuspected));
        self.events.push_back(ControllerEvent::Queue(QueueEvent::HostGone(host)));
        self.on_peer_down(host, out);
        self.move_requests_of(now, host, out);
    }
}
