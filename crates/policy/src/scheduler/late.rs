//! Answers that could not be sent to the host that waits for them.
//!
//! A home may be unable to reach an entry host that can reach it. That host waits for an
//! answer which was dropped here, and its caller until the deadline. So the answer is sent
//! again until the way is open; after a while the entry host has given the request up, since
//! it hears nothing of this one either.

use std::time::Duration;

use camphorwalk_core::ids::HostId;
use camphorwalk_core::messages::{Body, PeerMessage};
use camphorwalk_core::time::Instant;

use super::{Action, Scheduler};

/// The time from one sending to the next.
const PAUSE: Duration = Duration::from_millis(200);

/// How long an answer is sent again.
const GIVE_UP: Duration = Duration::from_secs(10);

/// An answer on its way.
#[derive(Clone, Debug)]
pub(super) struct LateAnswer {
    to: HostId,
    message: PeerMessage,
    /// When it is sent again; `None` once it was, until that fails too.
    due: Option<Instant>,
    /// When it is given up.
    until: Instant,
}

impl Scheduler {
    /// An answer was not sent: it is tried again.
    pub(super) fn keep_answer(&mut self, now: Instant, to: HostId, message: PeerMessage) {
        let due = Some(now + PAUSE);

        match self.late.iter_mut().find(|late| late.to == to && same(&late.message, &message)) {
            Some(late) => late.due = due,
            None => self.late.push(LateAnswer { to, message, due, until: now + GIVE_UP }),
        }
    }

    /// Sends the answers again whose time has come.
    pub(super) fn send_late_answers(&mut self, now: Instant, out: &mut Vec<Action>) {
        self.late.retain(|late| now < late.until);

        for late in self.late.iter_mut().filter(|late| late.due.is_some_and(|at| at <= now)) {
            late.due = None;
            out.push(Action::Send { to: late.to, message: late.message.clone() });
        }
    }

    /// Returns when the next answer is to be sent again.
    pub(super) fn late_at(&self) -> Option<Instant> {
        self.late.iter().filter_map(|late| late.due).min()
    }
}

/// Returns whether two messages answer the same request.
fn same(a: &PeerMessage, b: &PeerMessage) -> bool {
    match (&a.body, &b.body) {
        (Some(Body::Answer(a)), Some(Body::Answer(b))) => a.request == b.request,
        _ => false,
    }
}
