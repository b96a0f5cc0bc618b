//! This host's own session and its renewals.

use std::time::Duration;

use camphorwalk_core::platform::{
    Check, PlatformOp, PlatformReply, RowKey, RowVersion, Transaction, Write,
};
use camphorwalk_core::time::Instant;

use super::rows::{SESSIONS, SessionRow};
use super::{LeaseOp, LeaseOptions, MARGIN_DIVISOR};

/// What came of an answer to a renewal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SessionStep {
    /// Nothing for now; it is tried again.
    Nothing,
    /// The session stands until this instant at least.
    Renewed {
        /// The end of its lifetime, by this host's clock.
        until: Instant,
    },
    /// Another host ended the session.
    Lost,
    /// This host ended its session.
    Left,
}

/// What the session waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Waiting {
    /// A renewal, or the first write, sent at this instant.
    Renewal { sent: Instant },
    /// A reading of the row, after an answer that was lost.
    ReadBack,
    /// The deletion of the row.
    Leaving,
}

/// The session of this host.
#[derive(Debug)]
pub(super) struct Session {
    row: SessionRow,
    /// The random number of this run of the process.
    run: u64,
    /// Counts the sessions of this run: a lost one is followed by a new one.
    number: u32,
    /// The version of the row; [`RowVersion::ABSENT`] before the first write.
    version: RowVersion,
    waiting: Option<(LeaseOp, Waiting)>,
    /// Whether the last write's answer was lost.
    in_doubt: bool,
    /// Whether the platform did not answer the last operation.
    failing: bool,
    leaving: bool,
    renewal: Duration,
    next: Instant,
}

impl Session {
    pub fn new(options: &LeaseOptions) -> Self {
        Self {
            row: SessionRow {
                host: options.host.clone(),
                zone: options.zone.clone(),
                peer_address: options.peer_address,
                renewal: 0,
                lifetime: options.lifetime,
                leaving: false,
            },
            run: options.session,
            number: 0,
            version: RowVersion::ABSENT,
            waiting: None,
            in_doubt: false,
            failing: false,
            leaving: false,
            renewal: options.renewal,
            next: Instant::default(),
        }
    }

    /// Returns the key of this session's row.
    pub fn key(&self) -> Box<str> {
        format!("{}/{:016x}-{}", self.row.host, self.run, self.number).into()
    }

    /// Returns whether the row was written.
    pub fn is_live(&self) -> bool {
        self.version != RowVersion::ABSENT
    }

    /// Returns whether the platform did not answer the last renewal.
    pub fn is_failing(&self) -> bool {
        self.failing
    }

    pub fn due(&self, now: Instant) -> bool {
        self.waiting.is_none() && now >= self.next
    }

    pub fn wake_at(&self) -> Option<Instant> {
        self.waiting.is_none().then_some(self.next)
    }

    pub fn waits_for(&self, op: LeaseOp) -> bool {
        self.waiting.is_some_and(|(waiting, _)| waiting == op)
    }

    /// Ends the session with its next write.
    pub fn leave(&mut self, now: Instant) {
        self.leaving = true;
        self.next = now;
    }

    /// Starts the operation that is due.
    pub fn start(&mut self, now: Instant, op: LeaseOp) -> PlatformOp {
        self.next = now + self.renewal;
        let key = RowKey::new(SESSIONS, self.key());

        // A lost answer is resolved by reading, before anything else is written.
        if self.in_doubt {
            self.waiting = Some((op, Waiting::ReadBack));
            return PlatformOp::Read(vec![key]);
        }

        let value = if self.leaving {
            self.waiting = Some((op, Waiting::Leaving));
            None
        } else {
            self.row.renewal += 1;
            self.waiting = Some((op, Waiting::Renewal { sent: now }));
            Some(self.row.to_json())
        };

        PlatformOp::Commit(Transaction {
            checks: vec![Check { key: key.clone(), version: self.version }],
            writes: vec![Write { key, value }],
        })
    }

    /// Takes in the answer to the operation that was started last.
    pub fn on_reply(&mut self, now: Instant, reply: PlatformReply) -> SessionStep {
        let Some((_, waiting)) = self.waiting.take() else {
            return SessionStep::Nothing;
        };
        self.failing = matches!(reply, PlatformReply::Unavailable | PlatformReply::Unknown);

        match (waiting, reply) {
            (Waiting::Renewal { sent }, PlatformReply::Committed(version)) => {
                self.version = version;
                SessionStep::Renewed { until: self.until(sent) }
            }
            (Waiting::Leaving, PlatformReply::Committed(_) | PlatformReply::Conflict(_)) => {
                SessionStep::Left
            }
            (Waiting::Renewal { .. }, PlatformReply::Conflict(_)) => self.on_conflict(now),
            (Waiting::ReadBack, PlatformReply::Rows(rows)) => {
                self.in_doubt = false;
                self.next = now;
                match rows.first() {
                    Some(row) => self.version = row.version,
                    // Never written: the first write is tried again.
                    None if !self.is_live() => {}
                    None if self.leaving => return SessionStep::Left,
                    None => return self.restart(now),
                }
                SessionStep::Nothing
            }
            (Waiting::Renewal { .. } | Waiting::Leaving, PlatformReply::Unknown) => {
                self.in_doubt = true;
                SessionStep::Nothing
            }
            _ => SessionStep::Nothing,
        }
    }

    /// A check failed: the row is gone, or a write whose answer was lost came after all.
    fn on_conflict(&mut self, now: Instant) -> SessionStep {
        self.in_doubt = true;
        self.next = now;

        SessionStep::Nothing
    }

    /// Begins a new session after another host ended this one.
    fn restart(&mut self, now: Instant) -> SessionStep {
        self.number += 1;
        self.version = RowVersion::ABSENT;
        self.next = now;

        SessionStep::Lost
    }

    /// Returns until when a renewal sent at `sent` surely holds, by this host's clock.
    fn until(&self, sent: Instant) -> Instant {
        sent + (self.row.lifetime - self.row.lifetime / MARGIN_DIVISOR)
    }
}
