//! Faults of hosts: killed, restarted, stopped and gone on, also at an exact step.

use std::time::Duration;

use camphorwalk_core::platform::PlatformOp;
use camphorwalk_core::time::Instant;
use camphorwalk_policy::scheduler::{Action, Event};

pub use super::network::PLATFORM;
use super::network::SILENCE;
pub use super::platform::Mode as PlatformMode;
pub use super::targets::{Mode as TargetMode, POISON};
use super::{State, World, scheduler};

/// A step of a call that must not be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Point {
    /// Its intent is written.
    Intent,
    /// It is sent to its target.
    Send,
    /// Its outcome is written.
    Outcome,
}

/// What happens to a host that reaches a point.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Harm {
    /// Its process dies.
    Kill,
    /// Its process is stopped for this long.
    Pause(Duration),
}

/// Harms the next host that reaches a point.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Trap {
    /// The point.
    pub point: Point,
    /// Whether the step is still made: the bytes are out, and no answer is read.
    pub after: bool,
    /// What happens.
    pub harm: Harm,
}

impl Point {
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
    /// Sets a trap for the next host that comes by.
    pub fn set_trap(&mut self, trap: Trap) {
        self.traps.push(trap);
    }

    /// Takes all traps away.
    pub fn forget_traps(&mut self) {
        self.traps.clear();
    }

    pub(super) fn trap_for(&mut self, _: usize, action: &Action, after: bool) -> Option<Trap> {
        let index = self.traps.iter().position(|t| t.after == after && t.point.matches(action))?;

        Some(self.traps.remove(index))
    }

    /// Springs a trap before an action; returns whether there was one.
    pub(super) fn spring(&mut self, host: usize, action: &Action, after: bool) -> bool {
        let trap = self.trap_for(host, action, after);
        if let Some(trap) = trap {
            self.spring_trap(host, trap);
        }

        trap.is_some()
    }

    pub(super) fn spring_trap(&mut self, host: usize, trap: Trap) {
        match trap.harm {
            Harm::Kill => self.kill(host),
            Harm::Pause(time) => self.pause(host, Some(time)),
        }
    }

    /// Kills a host: its callers, connections and memory are gone.
    pub fn kill(&mut self, host: usize) {
        if self.hosts[host].state == State::Down {
            return;
        }
        let state = &mut self.hosts[host];
        state.state = State::Down;
        state.session = 0;
        state.inbox.clear();
        state.undone.clear();

        for submission in self.record.submissions.values_mut() {
            if submission.host == host && submission.answers.is_empty() {
                submission.cut = true;
            }
        }
        self.peer_down(host);
    }

    /// Starts a killed host anew, with a higher session.
    pub fn restart(&mut self, host: usize) {
        self.kill(host);
        self.next_session += 1 << 32;
        let session = self.next_session;
        let state = &mut self.hosts[host];
        state.scheduler = scheduler(host, &state.name, &state.zone, session);
        state.session = session;
        state.state = State::Up;
        state.wake = Instant::default();
        state.good_keys.clear();
        state.withdrawn.clear();
        state.left = false;

        self.record.started.push((self.now, host, session));
        self.tell_hosts(host);
    }

    /// Stops a host's process; `resume_after` says when it goes on by itself.
    pub fn pause(&mut self, host: usize, resume_after: Option<Duration>) {
        if self.hosts[host].state != State::Up {
            return;
        }
        self.hosts[host].state = State::Paused;
        self.hosts[host].stopped_at = self.now;
        let session = self.hosts[host].session;

        // Others give up its connections; it finds that out when it goes on.
        if resume_after.is_none_or(|time| time > SILENCE) {
            let id = self.hosts[host].id;
            for other in (0..self.hosts.len()).filter(|other| *other != host) {
                self.add_event(self.now + SILENCE, other, Event::PeerDown(id));
            }
        }
        if let Some(time) = resume_after {
            self.add(self.now + time, super::Item::Resume { host, session });
        }
    }

    /// Lets a stopped process go on: first what it was about to do, then what waited.
    pub fn resume(&mut self, host: usize) {
        if self.hosts[host].state != State::Paused {
            return;
        }
        let state = &mut self.hosts[host];
        state.state = State::Up;
        let undone = std::mem::take(&mut state.undone);
        let inbox = std::mem::take(&mut state.inbox);

        self.carry_out_all(host, undone);
        for event in inbox {
            self.deliver(host, event);
        }
        if self.now - self.hosts[host].stopped_at > SILENCE {
            for other in (0..self.hosts.len()).filter(|other| *other != host) {
                self.deliver(host, Event::PeerDown(self.hosts[other].id));
            }
        }
    }

    /// Tells a host to leave.
    pub fn drain(&mut self, host: usize) {
        self.deliver(host, Event::Drain);
    }
}
