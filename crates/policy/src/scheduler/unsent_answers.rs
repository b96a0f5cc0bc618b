//! Sends answers again that could not be sent to the entry host that waits for them.
//!
//! A program's home may be unable to reach an entry host that can reach the home. If the home
//! dropped the answer, the entry host and its caller would wait until the deadline. So the home
//! sends the answer again until a connection can be made. After a while it stops: by then the entry
//! host has considered this home silent and has answered the request itself.

use std::time::Duration;

use camphorwalk_core::ids::HostId;
use camphorwalk_core::messages::{Body, PeerMessage};
use camphorwalk_core::time::Instant;

use super::{Action, Scheduler};

/// The interval between two sendings of one answer.
const RESEND_INTERVAL: Duration = Duration::from_millis(200);

/// How long the sending of an answer is retried.
const GIVE_UP_AFTER: Duration = Duration::from_secs(10);

/// An answer that could not be sent.
#[derive(Clone, Debug)]
pub(super) struct UnsentAnswer {
    to: HostId,
    message: PeerMessage,
    /// When it is next sent; `None` after a sending whose failure is not reported yet.
    due: Option<Instant>,
    /// When the answer is dropped.
    until: Instant,
}

impl Scheduler {
    /// Schedules an answer that was not sent to be sent again.
    pub(super) fn keep_unsent_answer(&mut self, now: Instant, to: HostId, message: PeerMessage) {
        let due = Some(now + RESEND_INTERVAL);

        match self
            .unsent_answers
            .iter_mut()
            .find(|unsent| unsent.to == to && is_same_answer(&unsent.message, &message))
        {
            Some(unsent) => unsent.due = due,
            None => self.unsent_answers.push(UnsentAnswer {
                to,
                message,
                due,
                until: now + GIVE_UP_AFTER,
            }),
        }
    }

    /// Sends the answers that are due.
    pub(super) fn send_unsent_answers(&mut self, now: Instant, out: &mut Vec<Action>) {
        self.unsent_answers.retain(|unsent| now < unsent.until);

        for unsent in
            self.unsent_answers.iter_mut().filter(|unsent| unsent.due.is_some_and(|at| at <= now))
        {
            unsent.due = None;
            out.push(Action::Send { to: unsent.to, message: unsent.message.clone() });
        }
    }

    /// Returns when the next answer is due.
    pub(super) fn next_resend(&self) -> Option<Instant> {
        self.unsent_answers.iter().filter_map(|unsent| unsent.due).min()
    }
}

/// Returns whether two messages answer the same request.
fn is_same_answer(a: &PeerMessage, b: &PeerMessage) -> bool {
    match (&a.body, &b.body) {
        (Some(Body::Answer(a)), Some(Body::Answer(b))) => a.request == b.request,
        _ => false,
    }
}
