//! Requests where they enter the fleet, on their way to a program's home and back.

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

use super::work::{Work, no_home};
use super::{Action, Scheduler, Waiting};
use crate::leases::LeaseEvent;
use crate::programs::ProgramEvent;
use crate::queue::QueueEvent;
use crate::slices::SliceEvent;

/// When to come back while a program's home moves: about the time until the lease of a
/// host that died is taken over.
const HOME_MOVES: Duration = Duration::from_secs(2);

/// When to repeat a request whose answer was lost: the new connection stands by then.
const ANSWER_LOST: Duration = Duration::from_millis(500);

impl Scheduler {
    /// Takes in a request of a caller of this host.
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
        self.wait_for(request, Waiting { home: self.state.me, may_run, is_call });

        if self.state.config.is_none() {
            let reply = no_home(is_call, "this host has no configuration yet", HOME_MOVES);
            return self.answer_here(request, reply, out);
        }
        if self.must_not_serve(now, tenant) {
            let reply = no_home(is_call, "this zone is cut off", HOME_MOVES);
            return self.answer_here(request, reply, out);
        }
        self.choose_program(&mut body);

        let partition = body.program().partition(self.state.partitions());
        match self.home_of(partition) {
            Some(home) if home == self.state.me => {
                let ticket = RequestOrigin { entry: self.state.me, request };
                let event = ProgramEvent::Request { ticket, tenant, key, request: body };
                self.work.push_back(Work::Program(event));
            }
            Some(home) => {
                self.wait_for(request, Waiting { home, may_run, is_call });
                let body = serde_json::to_vec(&body).expect("a request is plain data").into();
                let forward = Forward { request: request.0, tenant: tenant.0, key: key.0, body };
                out.push(Action::Send { to: home, message: Body::Forward(forward).into() });
            }
            None => {
                let reply = no_home(is_call, "the program's home is moving", HOME_MOVES);
                self.answer_here(request, reply, out);
            }
        }
    }

    /// Returns whether a tenant is declared not to be served by a zone that is cut off from the
    /// platform and from all other zones, and this one is.
    ///
    /// Such a zone cannot hear that a key was withdrawn. By default it serves all the same; a
    /// tenant for whom a withdrawn key is worse than a refusal declares otherwise.
    fn must_not_serve(&self, now: Instant, tenant: TenantId) -> bool {
        let Some(config) = self.state.config.as_ref().filter(|_| self.is_cut_off(now)) else {
            return false;
        };
        let declared = |t: &&Tenant| TenantId::from_name(&t.name) == tenant;

        config.tenants.iter().find(declared).is_some_and(|t| !t.serve_when_cut_off)
    }

    fn is_cut_off(&self, now: Instant) -> bool {
        let lapsed = self.leases.is_failing() && now > self.state.leases_valid_until;

        lapsed && self.state.live_hosts.values().all(|zone| *zone == self.state.zone)
    }

    /// Returns the home of a partition, if it is known and can be reached.
    pub(super) fn home_of(&self, partition: PartitionId) -> Option<HostId> {
        if self.state.held_partitions.contains(&partition) {
            return Some(self.state.me);
        }

        let holder = self.state.routes.get(&partition)?;
        self.membership.is_alive(holder.host).then_some(holder.host)
    }

    /// Gives an opening its program id, and a sub-agent one in its parent's partition.
    fn choose_program(&mut self, body: &mut Request) {
        let Request::Open(open) = body else {
            return;
        };

        if !open.repeatable {
            self.opened += 1;
            open.program = self.fresh_program();
        }
        if let Some(parent) = open.parent {
            open.program = open.program.in_partition(parent.partition(self.state.partitions()));
        }
    }

    /// Makes an id that no other host and no other run of this one makes, in a partition
    /// that is at home here if there is one, so that its calls need no second hop.
    fn fresh_program(&self) -> ProgramId {
        let parts = [self.session.to_be_bytes(), self.opened.to_be_bytes()];
        let half = |salt: &[u8]| u128::from(stable_hash(&[salt, &parts[0], &parts[1]]));
        let program = ProgramId((half(b"high") << 64) | half(b"low"));

        let mut homes: Vec<_> = self.state.held_partitions.iter().copied().collect();
        homes.sort_unstable();
        match homes.len() {
            0 => program,
            count => program.in_partition(homes[self.opened as usize % count]),
        }
    }

    /// The caller of a request of this host is gone.
    pub(super) fn on_caller_gone(&mut self, request: RequestId, out: &mut Vec<Action>) {
        let Some(waiting) = self.waiting.remove(&request) else {
            return;
        };

        if waiting.home == self.state.me {
            let ticket = RequestOrigin { entry: self.state.me, request };
            self.work.push_back(Work::Program(ProgramEvent::CallerGone { ticket }));
        } else {
            let gone = CallerGone { request: request.0 };
            out.push(Action::Send { to: waiting.home, message: Body::CallerGone(gone).into() });
        }
    }

    /// Takes in a message from another host.
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
                // Only the home that the request was passed on to may answer it.
                let request = RequestId(answer.request);
                let expected = self.waiting.get(&request).is_some_and(|w| w.home == from);
                if let (true, Ok(reply)) = (expected, serde_json::from_slice(&answer.body)) {
                    self.answer_here(request, reply, out);
                }
            }
            Some(Body::CallerGone(gone)) => {
                let ticket = RequestOrigin { entry: from, request: RequestId(gone.request) };
                self.work.push_back(Work::Program(ProgramEvent::CallerGone { ticket }));
            }
            Some(Body::Gossip(gossip)) => self.on_gossip(now, from, gossip, out),
            Some(Body::Slices(message)) => {
                let event = SliceEvent::Message { from, message };
                self.work.push_back(Work::Slice(event));
            }
            Some(Body::Queue(message)) => self.on_queue_message(from, message, out),
            Some(Body::Drain(_)) => self.drain(),
            Some(Body::EndedQuery(ask)) => self.on_ask_live(from, &ask, out),
            Some(Body::EndedPrograms(over)) => {
                let programs = super::sweep::from_bytes(&over.programs);
                self.on_over(TargetId(over.target), programs, out);
            }
            // Chunks go from the connection straight to the caller's stream; the others are for
            // hosts that forward calls and have no programs of their own.
            Some(
                Body::Chunk(_)
                | Body::EntryStatus(_)
                | Body::Manifest(_)
                | Body::PeerQuery(_)
                | Body::PeerQueryReply(_),
            )
            | None => {}
        }
    }

    fn on_forward(&mut self, from: HostId, forward: &Forward, out: &mut Vec<Action>) {
        let ticket = RequestOrigin { entry: from, request: RequestId(forward.request) };
        let key = KeyId(forward.key);
        let Ok(request) = serde_json::from_slice::<Request>(&forward.body) else {
            let refusal = Refusal::not_run(Code::BadRequest, "the request cannot be read here");
            return self.answer(ticket, Reply::Refused(refusal), out);
        };

        // The entry host may not have heard of a withdrawal, or of a configuration, yet.
        if self.configs.is_withdrawn(key) || self.state.removed_keys.contains(&key) {
            let refusal = Refusal::not_run(Code::Unauthorized, "the key is not accepted");
            return self.answer(ticket, Reply::Refused(refusal), out);
        }

        let tenant = TenantId(forward.tenant);
        self.work.push_back(Work::Program(ProgramEvent::Request { ticket, tenant, key, request }));
    }

    /// A message was not sent, and never will be.
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
                let is_call = self.waiting.get(&request).is_some_and(|w| w.is_call);
                let reply = no_home(is_call, "the program's home cannot be reached", HOME_MOVES);
                self.answer_here(request, reply, out);
                self.work.push_back(Work::Lease(LeaseEvent::Suspect));
            }
            Some(Body::Answer(_)) => self.keep_answer(now, to, message),
            // What else hosts say is said again, or is not missed.
            _ => {}
        }
    }

    /// The connection to a host broke: requests passed on to it may or may not have arrived.
    pub(super) fn on_peer_down(&mut self, host: HostId, out: &mut Vec<Action>) {
        let lost = |w: &Waiting| w.home == host;
        let mut requests: Vec<_> = self
            .waiting
            .iter()
            .filter(|(_, w)| lost(w))
            .map(|(request, w)| (*request, *w))
            .collect();
        requests.sort_unstable_by_key(|(request, _)| *request);

        for (request, waiting) in requests {
            let reply = if waiting.may_run {
                let message = "the program's home went away; repeat with the same key";
                let refusal = Refusal::not_run(Code::OutcomeUnknown, message);
                Reply::Refused(refusal.ran(Executed::Maybe).retry_after(ANSWER_LOST))
            } else {
                no_home(false, "the program's home went away", ANSWER_LOST)
            };
            self.answer_here(request, reply, out);
        }
    }

    /// A host has gone silent.
    pub(super) fn on_gone(&mut self, now: Instant, host: HostId, out: &mut Vec<Action>) {
        self.work.push_back(Work::Lease(LeaseEvent::Suspect));
        self.work.push_back(Work::Queue(QueueEvent::HostGone(host)));
        self.on_peer_down(host, out);
        self.ask_again(now, host, out);
    }
}
