//! Routes events to the controllers and turns their actions into events for other controllers and
//! actions for the runtime.

use std::time::Duration;

use camphorwalk_core::calls::{Code, Executed, Refusal, Reply};
use camphorwalk_core::config::Config;
use camphorwalk_core::ids::{Epoch, PartitionId, RequestId, RequestOrigin};
use camphorwalk_core::messages::forward::Answer;
use camphorwalk_core::messages::{Body, PeerMessage};
use camphorwalk_core::time::Instant;

use super::{Action, Event, OpId, Scheduler, WaitingRequest};
use crate::configs::{ConfigAction, ConfigEvent};
use crate::leases::rows::SessionRow;
use crate::leases::{Busy, Holder, LeaseAction, LeaseEvent, LeaseName, RequiredLease};
use crate::membership::{Member, MembershipAction};
use crate::programs::{ProgramAction, ProgramEvent};
use crate::queue::{QueueAction, QueueEvent};
use crate::slices::{self, SliceAction, SliceEvent, SliceHost, TakeId};

/// An event for one controller.
#[derive(Clone, Debug)]
pub(super) enum ControllerEvent {
    Lease(LeaseEvent),
    Config(ConfigEvent),
    Program(ProgramEvent),
    Queue(QueueEvent),
    Slice(SliceEvent),
}

impl Scheduler {
    /// Routes an event from the runtime to its controller or handler.
    pub(super) fn route_event(&mut self, now: Instant, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Request { request, tenant, key, body } => {
                self.on_request(now, request, tenant, key, body, out);
            }
            Event::CallerGone(request) => self.on_caller_gone(request, out),
            Event::Peer { from, message } => self.on_peer(now, from, message, out),
            Event::SendFailed { to, message } => self.on_unsent(now, to, message, out),
            Event::PeerDown(host) => self.on_peer_down(host, out),
            Event::Platform { op, reply } => self.events.push_back(match op {
                OpId::Lease(op) => ControllerEvent::Lease(LeaseEvent::Platform { op, reply }),
                OpId::Config(op) => ControllerEvent::Config(ConfigEvent::Platform { op, reply }),
                OpId::Program(op) => ControllerEvent::Program(ProgramEvent::Platform { op, reply }),
            }),
            Event::HostList(hosts) => {
                let mut actions = Vec::new();
                for host in hosts {
                    let (name, zone) = (&host.name, &host.zone);
                    self.membership.add_listed(
                        name,
                        zone,
                        host.peer_address,
                        host.leaving,
                        &mut actions,
                    );
                }
                self.on_membership(now, actions, out);
            }
            Event::AttemptEnded { attempt, outcome } => {
                self.events
                    .push_back(ControllerEvent::Program(ProgramEvent::Ended { attempt, outcome }));
            }
            Event::Load { target, report } => {
                self.events.push_back(ControllerEvent::Queue(QueueEvent::Load { target, report }));
            }
            Event::Evicted { target, program } => {
                self.events
                    .push_back(ControllerEvent::Queue(QueueEvent::Evicted { target, program }));
            }
            Event::HeldPrograms { target, programs } => {
                self.on_held_programs(target, programs, out)
            }
            Event::Operator { request_id, request } => {
                self.on_operator_request(now, request_id, request, out)
            }
            Event::Drain => self.drain(),
            Event::Wake => {}
        }
    }

    /// Makes this host begin to leave.
    pub(super) fn drain(&mut self) {
        self.state.leaving = true;
        self.membership.start_leaving();
        self.events.push_back(ControllerEvent::Lease(LeaseEvent::Leave));
    }

    /// Wakes the controllers that are due.
    pub(super) fn wake_controllers(&mut self, now: Instant, out: &mut Vec<Action>) {
        let mut actions = Vec::new();
        self.membership.wake(now, &mut actions);
        self.on_membership(now, actions, out);
        self.resend_place_requests(now, out);
        self.send_unsent_answers(now, out);
        self.extend_columns(now);

        let due = |at: Option<Instant>| at.is_some_and(|at| at <= now);
        if due(self.leases.wake_at()) {
            self.events.push_back(ControllerEvent::Lease(LeaseEvent::Wake));
        }
        if due(self.configs.wake_at()) {
            self.events.push_back(ControllerEvent::Config(ConfigEvent::Wake));
        }
        if due(self.programs.wake_at()) {
            self.events.push_back(ControllerEvent::Program(ProgramEvent::Wake));
        }
        if due(self.queues.wake_at()) {
            self.events.push_back(ControllerEvent::Queue(QueueEvent::Wake));
        }
        if due(self.slices.wake_at()) {
            self.events.push_back(ControllerEvent::Slice(SliceEvent::Wake));
        }
    }

    /// Runs the controllers until no event for any of them is left.
    pub(super) fn run_controllers(&mut self, now: Instant, out: &mut Vec<Action>) {
        while let Some(event) = self.events.pop_front() {
            match event {
                ControllerEvent::Lease(event) => {
                    // The partitions in use are determined just before each step of the leases, not
                    // at an earlier wake-up: releasing a partition during a call would interrupt
                    // that call.
                    let mut actions = Vec::new();
                    let busy = Busy {
                        partitions: self.programs.busy_partitions(),
                        has_calls: self.programs.has_calls(),
                    };
                    self.leases.step(now, LeaseEvent::Busy(busy), &mut actions);
                    self.leases.step(now, event, &mut actions);
                    actions.into_iter().for_each(|action| self.on_lease(now, action, out));
                }
                ControllerEvent::Config(event) => {
                    let mut actions = Vec::new();
                    self.configs.step(now, event, &mut actions);
                    actions.into_iter().for_each(|action| self.on_config(now, action, out));
                }
                ControllerEvent::Program(event) => {
                    let mut actions = Vec::new();
                    self.programs.step(now, event, &mut actions);
                    actions.into_iter().for_each(|action| self.on_program(now, action, out));
                }
                ControllerEvent::Queue(event) => {
                    let mut actions = Vec::new();
                    self.queues.step(now, event, &mut actions);
                    actions.into_iter().for_each(|action| self.on_queue(action, out));
                }
                ControllerEvent::Slice(event) => {
                    let mut actions = Vec::new();
                    self.slices.step(now, event, &mut actions);
                    actions.into_iter().for_each(|action| self.on_slice(action, out));
                }
            }
        }
    }

    fn on_lease(&mut self, now: Instant, action: LeaseAction, out: &mut Vec<Action>) {
        match action {
            LeaseAction::Platform { op, request } => {
                out.push(Action::Platform { op: OpId::Lease(op), request });
            }
            LeaseAction::Acquired { name: LeaseName::Partition(partition), epoch, version } => {
                self.state.held_partitions.insert(partition);
                let event = ProgramEvent::Acquired { partition, epoch, lease: version };
                self.events.push_back(ControllerEvent::Program(event));
                self.broadcast_partitions(out);
            }
            LeaseAction::Acquired { name: LeaseName::Column(column), epoch, .. } => {
                let until = self.state.leases_valid_until;
                let event = if epoch == Epoch::FIRST {
                    SliceEvent::FirstOwned { column, until }
                } else {
                    SliceEvent::Owned { column, until, fresh: true }
                };
                self.events.push_back(ControllerEvent::Slice(event));
            }
            LeaseAction::Lost { name: LeaseName::Partition(partition) } => {
                self.state.held_partitions.remove(&partition);
                self.events.push_back(ControllerEvent::Program(ProgramEvent::Lost { partition }));
            }
            LeaseAction::Lost { name: LeaseName::Column(column) } => {
                self.events.push_back(ControllerEvent::Slice(SliceEvent::Lost { column }));
            }
            LeaseAction::Renewed { until } => {
                self.state.leases_valid_until = until;
                for column in self.leases.columns() {
                    let event = SliceEvent::Owned { column, until, fresh: false };
                    self.events.push_back(ControllerEvent::Slice(event));
                }
            }
            LeaseAction::TablesRead { holders, hosts } => {
                self.on_tables_read(now, holders, hosts, out)
            }
            LeaseAction::ReleaseGrants { partition } => {
                self.events
                    .push_back(ControllerEvent::Program(ProgramEvent::ReleaseGrants { partition }));
            }
            LeaseAction::ShutdownReady => out.push(Action::ShutdownReady),
        }
    }

    fn on_tables_read(
        &mut self,
        now: Instant,
        holders: Vec<(LeaseName, Holder)>,
        hosts: Vec<SessionRow>,
        out: &mut Vec<Action>,
    ) {
        for (name, holder) in holders {
            if let LeaseName::Partition(partition) = name {
                self.state.update_holder(partition, holder);
            }
        }

        let mut actions = Vec::new();
        for host in &hosts {
            let (name, zone) = (&host.host, &host.zone);
            self.membership.add_listed(name, zone, host.peer_address, host.leaving, &mut actions);
        }
        self.state.sessions = hosts;
        self.on_membership(now, actions, out);
    }

    fn on_config(&mut self, now: Instant, action: ConfigAction, out: &mut Vec<Action>) {
        match action {
            ConfigAction::Platform { op, request } => {
                out.push(Action::Platform { op: OpId::Config(op), request });
            }
            ConfigAction::Adopted(config) => {
                self.adopted_at = now;
                // A key that is removed from the configuration is handled like a withdrawn one: its
                // waiting and streaming calls end.
                for key in self.state.adopt_config(&config) {
                    self.events
                        .push_back(ControllerEvent::Program(ProgramEvent::KeyWithdrawn(key)));
                }
                self.events.push_back(ControllerEvent::Lease(LeaseEvent::Required(
                    required_leases(&config),
                )));
                self.events
                    .push_back(ControllerEvent::Program(ProgramEvent::Config(config.clone())));
                self.events.push_back(ControllerEvent::Queue(QueueEvent::Config(config.clone())));
                self.events.push_back(ControllerEvent::Slice(SliceEvent::Config(config.clone())));
                out.push(Action::Adopted(config));
                self.update_watched(out);
            }
            ConfigAction::KeyWithdrawn(key) => {
                self.events.push_back(ControllerEvent::Program(ProgramEvent::KeyWithdrawn(key)));
                out.push(Action::KeyWithdrawn(key));
            }
            ConfigAction::Published { request_id, answer } => {
                self.on_published(request_id, answer, out)
            }
        }
    }

    fn on_program(&mut self, now: Instant, action: ProgramAction, out: &mut Vec<Action>) {
        match action {
            ProgramAction::Answer { origin, reply } => self.answer(origin, reply, out),
            ProgramAction::Admit { call, tenant } => {
                self.next_take += 1;
                let take = TakeId(self.next_take);
                self.takes.insert(take, call);
                self.events.push_back(ControllerEvent::Slice(SliceEvent::Take { take, tenant }));
            }
            ProgramAction::Place { call, request } => self.request_place(now, call, request, out),
            ProgramAction::ReleasePlace { call, release } => self.release_place(call, release, out),
            ProgramAction::Dispatch(dispatch) => out.push(Action::Dispatch(Box::new(dispatch))),
            ProgramAction::Cancel { attempt } => out.push(Action::Cancel(attempt)),
            ProgramAction::Platform { op, request } => {
                out.push(Action::Platform { op: OpId::Program(op), request });
            }
            ProgramAction::ProgramEnded { program } => out.push(Action::FreeProgram(program)),
            ProgramAction::Quarantine { digest } => self.quarantine(digest),
            // Reading the tables shows who holds the partition now.
            ProgramAction::Fenced { .. } => {
                self.events.push_back(ControllerEvent::Lease(LeaseEvent::HolderSuspected))
            }
        }
    }

    fn on_queue(&mut self, action: QueueAction, out: &mut Vec<Action>) {
        match action {
            QueueAction::Grant { request_id, target } => self.send_grant(request_id, target, out),
            QueueAction::Refuse { request_id, retry_after } => {
                self.send_refusal(request_id, retry_after, out)
            }
        }
    }

    fn on_slice(&mut self, action: SliceAction, out: &mut Vec<Action>) {
        match action {
            SliceAction::Verdict { take, verdict } => {
                if let Some(call) = self.takes.remove(&take) {
                    self.events.push_back(ControllerEvent::Program(ProgramEvent::Verdict {
                        call,
                        verdict,
                    }));
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
        actions: Vec<MembershipAction>,
        out: &mut Vec<Action>,
    ) {
        for action in actions {
            match action {
                MembershipAction::SetPeerAddress { host, address } => {
                    out.push(Action::SetPeerAddress { host, address });
                }
                MembershipAction::Gossip { to, updates } => self.send_gossip(now, to, updates, out),
                MembershipAction::LiveHostsChanged => self.on_live_hosts_changed(out),
                MembershipAction::HostSilent(host) => self.on_host_silent(now, host, out),
            }
        }
    }

    fn on_live_hosts_changed(&mut self, out: &mut Vec<Action>) {
        let not_leaving = |m: &&&Member| !m.leaving;
        let live = self.membership.live_members();
        self.state.live_hosts = live.iter().filter(not_leaving).map(|m| (m.host, m.zone)).collect();

        let me = SliceHost { host: self.state.this_host, zone: self.state.zone };
        // A leaving host is not the admission host of any tenant. The owners therefore recall the
        // slices that it borrowed, while it can still return them with their remaining tokens.
        let others = self.state.live_hosts.iter();
        let mut hosts: Vec<_> =
            others.map(|(host, zone)| SliceHost { host: *host, zone: *zone }).collect();
        hosts.extend((!self.state.leaving).then_some(me));
        hosts.sort_unstable_by_key(|h| h.host);
        self.events.push_back(ControllerEvent::Slice(SliceEvent::Hosts(hosts)));
        self.update_watched(out);
    }

    /// Answers a request, either directly or through its entry host.
    pub(super) fn answer(&mut self, origin: RequestOrigin, reply: Reply, out: &mut Vec<Action>) {
        if origin.entry == self.state.this_host {
            self.answer_caller(origin.request, reply, out);
            return;
        }

        let body = serde_json::to_vec(&reply).expect("a reply is plain data").into();
        let answer = Answer { request: origin.request.0, chunks: 0, body };
        let message: PeerMessage = Body::Answer(answer).into();
        out.push(Action::Send { to: origin.entry, message });
    }

    /// Answers a caller of this host, unless its request was already answered.
    pub(super) fn answer_caller(
        &mut self,
        request: RequestId,
        reply: Reply,
        out: &mut Vec<Action>,
    ) {
        if self.waiting_requests.remove(&request).is_some() {
            out.push(Action::Answer { request, reply: Box::new(reply) });
        }
    }

    /// Records which host has to answer a caller's request.
    pub(super) fn record_waiting(&mut self, request: RequestId, waiting: WaitingRequest) {
        self.waiting_requests.insert(request, waiting);
    }
}

/// Returns the leases that hosts have to hold under a configuration.
fn required_leases(config: &Config) -> Vec<RequiredLease> {
    let partitions = (0..config.fleet.partitions)
        .map(|p| RequiredLease { name: LeaseName::Partition(PartitionId(p)), zone: None });
    let columns = slices::column_zones(config)
        .into_iter()
        .map(|(column, zone)| RequiredLease { name: LeaseName::Column(column), zone: Some(zone) });

    partitions.chain(columns).collect()
}

/// Builds the refusal of a request whose home cannot be reached now.
///
/// Only the home knows whether an earlier submission with a call's idempotency key ran, so this
/// host must not report a call as "not run". A caller would rely on such a report, although the
/// earlier submission (for example a deposit) may have run at a home that has failed since.
pub(super) fn home_unavailable(
    is_call: bool,
    message: &'static str,
    retry_after: Duration,
) -> Reply {
    let ran = if is_call { Executed::Maybe } else { Executed::No };

    Reply::Refused(Refusal::not_run(Code::Leaving, message).ran(ran).retry_after(retry_after))
}
