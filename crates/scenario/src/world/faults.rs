//! Faults of hosts: kills, restarts and pauses, also at an exact step of a call.

use std::time::Duration;

use camphorwalk_core::platform::PlatformOp;
use camphorwalk_core::time::Instant;
use camphorwalk_policy::scheduler::{Action, Event};

use super::network::PEER_TIMEOUT;
pub use super::network::PLATFORM;
pub use super::platform::Mode as PlatformMode;
pub use super::targets::{Mode as TargetMode, POISON};
use super::{ProcessState, World, scheduler};

/// A step of a non-idempotent call at which a fault can be injected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectionPoint {
    /// The host writes the call's intent to the journal, before it sends the call.
    Intent,
    /// The host sends the call to its target.
    Send,
    /// The host writes the call's outcome to the journal, after the target has answered.
    Outcome,
}

/// What happens to a host that reaches an injection point.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostFault {
    /// The process is killed.
    Kill,
    /// The process is stopped for this long.
    Pause(Duration),
}

/// A fault for the next host that reaches an injection point.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FaultInjection {
    /// The step of a call.
    pub point: InjectionPoint,
    /// Whether the fault follows the step. Otherwise it precedes the step: a paused host then
    /// executes the step when it resumes, and a killed host never does.
    pub after: bool,
    /// The fault to inject.
    pub fault: HostFault,
}

impl InjectionPoint {
    fn matches(self, action: &Action) -> bool {
        let writes = |word: &str| match action {
            Action::Platform { request: PlatformOp::Commit(tx), .. } => tx.writes.iter().any(|w| {
                &*w.key.table == "journal" && w.value.as_ref().is_some_and(|v| v.contains(word))
            }),
            _ => false,
        };

        match self {
            Self::Intent => writes("\"entry\":\"intent\""),
            Self::Outcome => writes("\"entry\":\"outcome\""),
            Self::Send => matches!(action, Action::Dispatch(_)),
        }
    }
}

impl World {
    /// Injects a fault into the next host that reaches its point.
    pub fn inject_fault(&mut self, injection: FaultInjection) {
        self.injections.push(injection);
    }

    /// Removes all injected faults that have not been triggered.
    pub fn clear_injected_faults(&mut self) {
        self.injections.clear();
    }

    pub(super) fn take_matching_injection(
        &mut self,
        _: usize,
        action: &Action,
        after: bool,
    ) -> Option<FaultInjection> {
        let index =
            self.injections.iter().position(|i| i.after == after && i.point.matches(action))?;

        Some(self.injections.remove(index))
    }

    /// Triggers a fault that matches an action, and returns whether there was one.
    pub(super) fn trigger_matching(&mut self, host: usize, action: &Action, after: bool) -> bool {
        let injection = self.take_matching_injection(host, action, after);
        if let Some(injection) = injection {
            self.trigger(host, injection);
        }

        injection.is_some()
    }

    pub(super) fn trigger(&mut self, host: usize, injection: FaultInjection) {
        match injection.fault {
            HostFault::Kill => self.kill(host),
            HostFault::Pause(time) => self.pause(host, Some(time)),
        }
    }

    /// Kills a host's process: its callers, connections and memory are lost.
    pub fn kill(&mut self, host: usize) {
        if self.hosts[host].state == ProcessState::Down {
            return;
        }
        let state = &mut self.hosts[host];
        state.state = ProcessState::Down;
        state.session = 0;
        state.buffered_events.clear();
        state.pending_actions.clear();

        for submission in self.record.submissions.values_mut() {
            if submission.host == host && submission.answers.is_empty() {
                submission.abandoned = true;
            }
        }
        self.notify_peer_down(host);
    }

    /// Restarts a host with a higher session.
    pub fn restart(&mut self, host: usize) {
        self.kill(host);
        self.last_session += 1 << 32;
        let session = self.last_session;
        let state = &mut self.hosts[host];
        state.scheduler = scheduler(host, &state.name, &state.zone, session);
        state.session = session;
        state.state = ProcessState::Up;
        state.wake_at = Instant::default();
        state.accepted_keys.clear();
        state.withdrawn_keys.clear();
        state.shutdown_ready = false;

        self.record.started.push((self.now, host, session));
        self.send_host_list(host);
    }

    /// Stops a host's process. With `resume_after` it resumes after that time.
    pub fn pause(&mut self, host: usize, resume_after: Option<Duration>) {
        if self.hosts[host].state != ProcessState::Up {
            return;
        }
        self.hosts[host].state = ProcessState::Paused;
        self.hosts[host].stopped_at = self.now;
        let session = self.hosts[host].session;

        // Peers close the connections after the timeout; the host notices when it resumes.
        if resume_after.is_none_or(|time| time > PEER_TIMEOUT) {
            let id = self.hosts[host].id;
            for other in (0..self.hosts.len()).filter(|other| *other != host) {
                self.schedule_host_event(self.now + PEER_TIMEOUT, other, Event::PeerDown(id));
            }
        }
        if let Some(time) = resume_after {
            self.schedule_event(self.now + time, super::ScheduledEvent::Resume { host, session });
        }
    }

    /// Resumes a stopped process. It first executes its remaining actions, then receives the
    /// buffered events.
    pub fn resume(&mut self, host: usize) {
        if self.hosts[host].state != ProcessState::Paused {
            return;
        }
        let state = &mut self.hosts[host];
        state.state = ProcessState::Up;
        let pending_actions = std::mem::take(&mut state.pending_actions);
        let buffered_events = std::mem::take(&mut state.buffered_events);

        self.execute_all(host, pending_actions);
        for event in buffered_events {
            self.deliver(host, event);
        }
        if self.now - self.hosts[host].stopped_at > PEER_TIMEOUT {
            for other in (0..self.hosts.len()).filter(|other| *other != host) {
                self.deliver(host, Event::PeerDown(self.hosts[other].id));
            }
        }
    }

    /// Asks a host to shut down gracefully.
    pub fn drain(&mut self, host: usize) {
        self.deliver(host, Event::Drain);
    }
}
