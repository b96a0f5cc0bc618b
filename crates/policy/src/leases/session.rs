//! This host's own session and its renewals.

use std::time::Duration;

use camphorwalk_core::platform::{
    Check, PlatformOp, PlatformReply, RowKey, RowVersion, Transaction, Write,
};
use camphorwalk_core::time::Instant;

use super::rows::{SESSION_TABLE, SessionRow};
use super::{LeaseOp, LeaseOptions, MARGIN_DIVISOR};

/// The result of an answer from the platform to an operation on the session.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SessionOutcome {
    /// No change; the operation is retried if it failed.
    Unchanged,
    /// The session is valid at least until this instant.
    Renewed {
        /// The end of the session's lifetime minus the drift margin, by this host's clock.
        until: Instant,
    },
    /// Another host ended the session; a new one is started.
    Lost,
    /// This host ended its session.
    Ended,
}

/// The operation on the session's row that is in progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PendingOp {
    /// A renewal or the first write of the row, and when it was sent.
    Renewal { sent: Instant },
    /// A read of the row, because the outcome of the last write is unknown.
    ReadBack,
    /// The deletion of the row.
    Deletion,
}

/// The session of this host.
#[derive(Debug)]
pub(super) struct Session {
    row: SessionRow,
    /// The number that identifies this run of the process.
    run: u64,
    /// The number of this session within the run: after a session is lost, a new one is started.
    number: u32,
    /// The version of the row; [`RowVersion::ABSENT`] before the first write.
    version: RowVersion,
    pending: Option<(LeaseOp, PendingOp)>,
    /// Whether the outcome of the last write is unknown, so that the row has to be read first.
    in_doubt: bool,
    /// Whether the last operation failed because the platform was unavailable or its answer was
    /// lost.
    renewal_failing: bool,
    leaving: bool,
    renewal_interval: Duration,
    next_op_at: Instant,
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
            pending: None,
            in_doubt: false,
            renewal_failing: false,
            leaving: false,
            renewal_interval: options.renewal_interval,
            next_op_at: Instant::default(),
        }
    }

    /// Returns the key of this session's row.
    pub fn key(&self) -> Box<str> {
        format!("{}/{:016x}-{}", self.row.host, self.run, self.number).into()
    }

    /// Returns whether the session's row exists, as far as this host knows.
    pub fn is_live(&self) -> bool {
        self.version != RowVersion::ABSENT
    }

    /// Returns whether the platform failed to answer the last operation on the session.
    pub fn is_renewal_failing(&self) -> bool {
        self.renewal_failing
    }

    pub fn is_due(&self, now: Instant) -> bool {
        self.pending.is_none() && now >= self.next_op_at
    }

    pub fn wake_at(&self) -> Option<Instant> {
        self.pending.is_none().then_some(self.next_op_at)
    }

    pub fn is_pending(&self, op: LeaseOp) -> bool {
        self.pending.is_some_and(|(pending, _)| pending == op)
    }

    /// Ends the session: the next write deletes its row.
    pub fn end_with_next_write(&mut self, now: Instant) {
        self.leaving = true;
        self.next_op_at = now;
    }

    /// Returns the operation that is due and records it as in progress.
    pub fn start_due(&mut self, now: Instant, op: LeaseOp) -> PlatformOp {
        self.next_op_at = now + self.renewal_interval;
        let key = RowKey::new(SESSION_TABLE, self.key());

        // If the outcome of a write is unknown, the row is read before anything else is written.
        if self.in_doubt {
            self.pending = Some((op, PendingOp::ReadBack));
            return PlatformOp::Read(vec![key]);
        }

        let value = if self.leaving {
            self.pending = Some((op, PendingOp::Deletion));
            None
        } else {
            self.row.renewal += 1;
            self.pending = Some((op, PendingOp::Renewal { sent: now }));
            Some(self.row.to_json())
        };

        PlatformOp::Commit(Transaction {
            checks: vec![Check { key: key.clone(), version: self.version }],
            writes: vec![Write { key, value }],
        })
    }

    /// Handles the answer to the operation that is in progress.
    pub fn on_reply(&mut self, now: Instant, reply: PlatformReply) -> SessionOutcome {
        let Some((_, pending)) = self.pending.take() else {
            return SessionOutcome::Unchanged;
        };
        self.renewal_failing = matches!(reply, PlatformReply::Unavailable | PlatformReply::Unknown);

        match (pending, reply) {
            (PendingOp::Renewal { sent }, PlatformReply::Committed(version)) => {
                self.version = version;
                SessionOutcome::Renewed { until: self.valid_until(sent) }
            }
            (PendingOp::Deletion, PlatformReply::Committed(_) | PlatformReply::Conflict(_)) => {
                SessionOutcome::Ended
            }
            (PendingOp::Renewal { .. }, PlatformReply::Conflict(_)) => self.on_conflict(now),
            (PendingOp::ReadBack, PlatformReply::Rows(rows)) => {
                self.in_doubt = false;
                self.next_op_at = now;
                match rows.first() {
                    Some(row) => self.version = row.version,
                    // The row was never written: the first write is retried.
                    None if !self.is_live() => {}
                    None if self.leaving => return SessionOutcome::Ended,
                    None => return self.start_new(now),
                }
                SessionOutcome::Unchanged
            }
            (PendingOp::Renewal { .. } | PendingOp::Deletion, PlatformReply::Unknown) => {
                self.in_doubt = true;
                SessionOutcome::Unchanged
            }
            _ => SessionOutcome::Unchanged,
        }
    }

    /// The version check failed: either another host deleted the row, or an earlier write whose
    /// answer was lost took effect after all. Reading the row tells which.
    fn on_conflict(&mut self, now: Instant) -> SessionOutcome {
        self.in_doubt = true;
        self.next_op_at = now;

        SessionOutcome::Unchanged
    }

    /// Starts a new session after another host ended this one.
    fn start_new(&mut self, now: Instant) -> SessionOutcome {
        self.number += 1;
        self.version = RowVersion::ABSENT;
        self.next_op_at = now;

        SessionOutcome::Lost
    }

    /// Returns the instant until which a renewal sent at `sent` is guaranteed to be valid, by this
    /// host's clock.
    fn valid_until(&self, sent: Instant) -> Instant {
        sent + (self.row.lifetime - self.row.lifetime / MARGIN_DIVISOR)
    }
}
