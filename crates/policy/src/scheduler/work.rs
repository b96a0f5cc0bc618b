//! Hands events to the controllers and turns what they want into events and actions.

use std::time::Duration;

use camphorwalk_core::calls::{Code, Executed, Refusal, Reply};
use camphorwalk_core::config::Config;
use camphorwalk_core::ids::{Epoch, PartitionId, RequestId, RequestOrigin};
use camphorwalk_core::messages::forward::Answer;
use camphorwalk_core::messages::{Body, PeerMessage};
use camphorwalk_core::time::Instant;

use super::{Action, Event, OpId, Scheduler, Waiting};
use crate::configs::{ConfigAction, ConfigEvent};
use crate::leases::rows::SessionRow;
use crate::leases::{Busy, Holder, LeaseAction, LeaseEvent, LeaseName, Wanted};
use crate::membership::{Member, MembershipAction};
use crate::programs::{ProgramAction, ProgramEvent};
use crate::queue::{QueueAction, QueueEvent};
use crate::slices::{self, SliceAction, SliceEvent, SliceHost, TakeId};

/// An event for one controller.
#[derive(Clone, Debug)]
pub(super) enum Work {
    Lease(LeaseEvent),
    Config(ConfigEvent),
    Program(ProgramEvent),
    Queue(QueueEvent),
    Slice(SliceEvent),
}

impl Scheduler {
    /// Puts an event of the outside where it belongs.
    pub(super) fn take_in(&mut self, now: Instant, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Request { request, tenant, key, body } => {
                self.on_request(now, request, tenant, key, body, out);
            }
            Event::CallerGone(request) => self.on_caller_gone(request, out),
            Event::Peer { from, message } => self.on_peer(now, from, message, out),
            Event::SendFailed { to, message } => self.on_unsent(now, to, message, out),
            Event::PeerDown(host) => self.on_peer_down(host, out),
            Event::Platform { op, reply } => self.work.push_back(match op {
                OpId::Lease(op) => Work::Lease(LeaseEvent::Platform { op, reply }),
                OpId::Config(op) => Work::Config(ConfigEvent::Platform { op, reply }),
                OpId::Program(op) => Work::Program(ProgramEvent::Platform { op, reply }),
            }),
            Event::HostList(hosts) => {
                let mut next = Vec::new();
                for host in hosts {
                    let (name, zone) = (&host.name, &host.zone);
                    self.membership.learn(name, zone, host.peer_address, host.leaving, &mut next);
                }
                self.on_membership(now, next, out);
            }
            Event::AttemptEnded { attempt, outcome } => {
                self.work.push_back(Work::Program(ProgramEvent::Ended { attempt, outcome }));
            }
            Event::Load { target, report } => {
                self.work.push_back(Work::Queue(QueueEvent::Load { target, report }));
            }
            Event::Evicted { target, program } => {
                self.work.push_back(Work::Queue(QueueEvent::Evicted { target, program }));
            }
            Event::HeldPrograms { target, programs } => self.on_held(target, programs, out),
            Event::Operator { request_id, request } => {
                self.on_operator(now, request_id, request, out)
            }
            Event::Drain => self.drain(),
            Event::Wake => {}
        }
    }

    /// Starts leaving.
    pub(super) fn drain(&mut self) {
        self.state.leaving = true;
        self.membership.leave();
        self.work.push_back(Work::Lease(LeaseEvent::Leave));
    }

    /// Wakes the controllers whose time has come.
    pub(super) fn wake_controllers(&mut self, now: Instant, out: &mut Vec<Action>) {
        let mut next = Vec::new();
        self.membership.wake(now, &mut next);
        self.on_membership(now, next, out);
        self.repeat_asks(now, out);
        self.send_late_answers(now, out);
        self.extend_columns(now);

        let due = |at: Option<Instant>| at.is_some_and(|at| at <= now);
        if due(self.leases.wake_at()) {
            self.work.push_back(Work::Lease(LeaseEvent::Wake));
        }
        if due(self.configs.wake_at()) {
            self.work.push_back(Work::Config(ConfigEvent::Wake));
        }
        if due(self.programs.wake_at()) {
            self.work.push_back(Work::Program(ProgramEvent::Wake));
        }
        if due(self.queues.wake_at()) {
            self.work.push_back(Work::Queue(QueueEvent::Wake));
        }
        if due(self.slices.wake_at()) {
            self.work.push_back(Work::Slice(SliceEvent::Wake));
        }
    }

    /// Runs the controllers until none has anything left for another.
    pub(super) fn finish_work(&mut self, now: Instant, out: &mut Vec<Action>) {
        while let Some(work) = self.work.pop_front() {
            match work {
                Work::Lease(event) => {
                    // What is busy is looked up just before each step, not at some earlier
                    // wake: a partition given back under a running call would cut that call.
                    let mut next = Vec::new();
                    let busy = Busy {
                        partitions: self.programs.busy_partitions(),
                        calls: self.programs.has_calls(),
                    };
                    self.leases.step(now, LeaseEvent::Busy(busy), &mut next);
                    self.leases.step(now, event, &mut next);
                    next.into_iter().for_each(|next| self.on_lease(now, next, out));
                }
                Work::Config(event) => {
                    let mut next = Vec::new();
                    self.configs.step(now, event, &mut next);
                    next.into_iter().for_each(|next| self.on_config(now, next, out));
                }
                Work::Program(event) => {
                    let mut next = Vec::new();
                    self.programs.step(now, event, &mut next);
                    next.into_iter().for_each(|next| self.on_program(now, next, out));
                }
                Work::Queue(event) => {
                    let mut next = Vec::new();
                    self.queues.step(now, event, &mut next);
                    next.into_iter().for_each(|next| self.on_queue(next, out));
                }
                Work::Slice(event) => {
                    let mut next = Vec::new();
                    self.slices.step(now, event, &mut next);
                    next.into_iter().for_each(|next| self.on_slice(next, out));
                }
            }
        }
    }

    fn on_lease(&mut self, now: Instant, next: LeaseAction, out: &mut Vec<Action>) {
        match next {
            LeaseAction::Platform { op, request } => {
                out.push(Action::Platform { op: OpId::Lease(op), request });
            }
            LeaseAction::Acquired { name: LeaseName::Partition(partition), epoch, version } => {
                self.state.held_partitions.insert(partition);
                let event = ProgramEvent::Acquired { partition, epoch, lease: version };
                self.work.push_back(Work::Program(event));
                self.tell_homes(out);
            }
            LeaseAction::Acquired { name: LeaseName::Column(column), epoch, .. } => {
                let until = self.state.leases_valid_until;
                let event = if epoch == Epoch::FIRST {
                    SliceEvent::FirstOwned { column, until }
                } else {
                    SliceEvent::Owned { column, until, fresh: true }
                };
                self.work.push_back(Work::Slice(event));
            }
            LeaseAction::Lost { name: LeaseName::Partition(partition) } => {
                self.state.held_partitions.remove(&partition);
                self.work.push_back(Work::Program(ProgramEvent::Lost { partition }));
            }
            LeaseAction::Lost { name: LeaseName::Column(column) } => {
                self.work.push_back(Work::Slice(SliceEvent::Lost { column }));
            }
            LeaseAction::Renewed { until } => {
                self.state.leases_valid_until = until;
                for column in self.leases.columns() {
                    let event = SliceEvent::Owned { column, until, fresh: false };
                    self.work.push_back(Work::Slice(event));
                }
            }
            LeaseAction::Seen { routes, hosts } => self.on_tables(now, routes, hosts, out),
            LeaseAction::Settle { partition } => {
                self.work.push_back(Work::Program(ProgramEvent::ReleaseGrants { partition }));
            }
            LeaseAction::Left => out.push(Action::ShutdownReady),
        }
    }

    fn on_tables(
        &mut self,
        now: Instant,
        routes: Vec<(LeaseName, Holder)>,
        hosts: Vec<SessionRow>,
        out: &mut Vec<Action>,
    ) {
        for (name, holder) in routes {
            if let LeaseName::Partition(partition) = name {
                self.state.learn_route(partition, holder);
            }
        }

        let mut next = Vec::new();
        for host in &hosts {
            let (name, zone) = (&host.host, &host.zone);
            self.membership.learn(name, zone, host.peer_address, host.leaving, &mut next);
        }
        self.state.sessions = hosts;
        self.on_membership(now, next, out);
    }

    fn on_config(&mut self, now: Instant, next: ConfigAction, out: &mut Vec<Action>) {
        match next {
            ConfigAction::Platform { op, request } => {
                out.push(Action::Platform { op: OpId::Config(op), request });
            }
            ConfigAction::Adopted(config) => {
                self.adopted_at = now;
                // A key that is taken out of the declarations is withdrawn like one that is named:
                // what waits or streams under it ends.
                for key in self.state.adopt(&config) {
                    self.work.push_back(Work::Program(ProgramEvent::KeyWithdrawn(key)));
                }
                self.work.push_back(Work::Lease(LeaseEvent::Wanted(wanted(&config))));
                self.work.push_back(Work::Program(ProgramEvent::Config(config.clone())));
                self.work.push_back(Work::Queue(QueueEvent::Config(config.clone())));
                self.work.push_back(Work::Slice(SliceEvent::Config(config.clone())));
                out.push(Action::Adopted(config));
                self.update_watched(out);
            }
            ConfigAction::KeyWithdrawn(key) => {
                self.work.push_back(Work::Program(ProgramEvent::KeyWithdrawn(key)));
                out.push(Action::KeyWithdrawn(key));
            }
            ConfigAction::Published { request_id, answer } => {
                self.on_published(request_id, answer, out)
            }
        }
    }

    fn on_program(&mut self, now: Instant, next: ProgramAction, out: &mut Vec<Action>) {
        match next {
            ProgramAction::Answer { ticket, reply } => self.answer(ticket, reply, out),
            ProgramAction::Admit { call, tenant } => {
                self.next_take += 1;
                let take = TakeId(self.next_take);
                self.takes.insert(take, call);
                self.work.push_back(Work::Slice(SliceEvent::Take { take, tenant }));
            }
            ProgramAction::Place { call, request } => self.ask(now, call, request, out),
            ProgramAction::ReleasePlace { call, end } => self.vacate(call, end, out),
            ProgramAction::Dispatch(dispatch) => out.push(Action::Dispatch(Box::new(dispatch))),
            ProgramAction::Cancel { attempt } => out.push(Action::Cancel(attempt)),
            ProgramAction::Platform { op, request } => {
                out.push(Action::Platform { op: OpId::Program(op), request });
            }
            ProgramAction::ProgramEnded { program } => out.push(Action::FreeProgram(program)),
            ProgramAction::Quarantine { digest } => self.quarantine(digest),
            // The tables say who holds it now; what is left is to look.
            ProgramAction::Fenced { .. } => self.work.push_back(Work::Lease(LeaseEvent::Suspect)),
        }
    }

    fn on_queue(&mut self, next: QueueAction, out: &mut Vec<Action>) {
        match next {
            QueueAction::Grant { request_id, target } => self.grant(request_id, target, out),
            QueueAction::Refuse { request_id, retry_after } => {
                self.refuse_ask(request_id, retry_after, out)
            }
        }
    }

    fn on_slice(&mut self, next: SliceAction, out: &mut Vec<Action>) {
        match next {
            SliceAction::Verdict { take, verdict } => {
                if let Some(call) = self.takes.remove(&take) {
                    self.work.push_back(Work::Program(ProgramEvent::Verdict { call, verdict }));
                }
            }
            SliceAction::Send { to, message } => {
                out.push(Action::Send { to, message: Body::Slices(message).into() });
            }
        }
    }

    pub(super) fn on_membership(
        &mut self,
        now: Instant,
        next: Vec<MembershipAction>,
        out: &mut Vec<Action>,
    ) {
        for item in next {
            match item {
                MembershipAction::Address { host, address } => {
                    out.push(Action::SetPeerAddress { host, address });
                }
                MembershipAction::Gossip { to, news } => self.gossip(now, to, news, out),
                MembershipAction::Changed => self.on_alive_changed(out),
                MembershipAction::Gone(host) => self.on_gone(now, host, out),
            }
        }
    }

    fn on_alive_changed(&mut self, out: &mut Vec<Action>) {
        let stays = |m: &&&Member| !m.leaving;
        let alive = self.membership.alive();
        self.state.live_hosts = alive.iter().filter(stays).map(|m| (m.host, m.zone)).collect();

        let me = SliceHost { host: self.state.me, zone: self.state.zone };
        // A leaving host pools no tenant: its slices are asked back, level included, while it
        // is still there to return them.
        let others = self.state.live_hosts.iter();
        let mut hosts: Vec<_> =
            others.map(|(host, zone)| SliceHost { host: *host, zone: *zone }).collect();
        hosts.extend((!self.state.leaving).then_some(me));
        hosts.sort_unstable_by_key(|h| h.host);
        self.work.push_back(Work::Slice(SliceEvent::Hosts(hosts)));
        self.update_watched(out);
    }

    /// Answers a request, on this host or through the host that it came from.
    pub(super) fn answer(&mut self, ticket: RequestOrigin, reply: Reply, out: &mut Vec<Action>) {
        if ticket.entry == self.state.me {
            self.answer_here(ticket.request, reply, out);
            return;
        }

        let body = serde_json::to_vec(&reply).expect("a reply is plain data").into();
        let answer = Answer { request: ticket.request.0, chunks: 0, body };
        let message: PeerMessage = Body::Answer(answer).into();
        out.push(Action::Send { to: ticket.entry, message });
    }

    /// Answers a caller of this host, once.
    pub(super) fn answer_here(&mut self, request: RequestId, reply: Reply, out: &mut Vec<Action>) {
        if self.waiting.remove(&request).is_some() {
            out.push(Action::Answer { request, reply: Box::new(reply) });
        }
    }

    /// Notes that a caller waits for a host.
    pub(super) fn wait_for(&mut self, request: RequestId, waiting: Waiting) {
        self.waiting.insert(request, waiting);
    }
}

/// Returns the leases that a configuration calls for.
fn wanted(config: &Config) -> Vec<Wanted> {
    let partitions = (0..config.fleet.partitions)
        .map(|p| Wanted { name: LeaseName::Partition(PartitionId(p)), zone: None });
    let columns = slices::column_zones(config)
        .into_iter()
        .map(|(column, zone)| Wanted { name: LeaseName::Column(column), zone: Some(zone) });

    partitions.chain(columns).collect()
}

/// Makes the refusal of a request whose home cannot be reached now.
///
/// Only the home knows whether an earlier submission of a call's idempotency key ran, so of a
/// call "not run" cannot be said here: a caller whose deposit was taken by a home that just
/// died would take it for a promise.
pub(super) fn no_home(is_call: bool, message: &'static str, retry_after: Duration) -> Reply {
    let ran = if is_call { Executed::Maybe } else { Executed::No };

    Reply::Refused(Refusal::not_run(Code::Leaving, message).ran(ran).retry_after(retry_after))
}
