//! Fleet-wide rate limits. Each tenant's rate and burst are split into slices, and each slice is
//! used by one host at a time.
//!
//! The slices with the same number of all tenants form a column. One host owns a column at a time,
//! by a lease. The owner lends each slice for a limited time (a loan) to the tenant's admission
//! host, which decides on the tenant's calls. The other hosts send the admission host a take
//! request, that is, a request for one token, for each call.

mod admission_hosts;
mod borrower;
mod bucket;
mod lender;
mod slice;
mod split;
mod takes;

use std::sync::Arc;
use std::time::Duration;

use camphorwalk_core::config::Config;
use camphorwalk_core::ids::{HostId, TenantId, ZoneId};
use camphorwalk_core::messages::slices::{SliceBody, SliceMessage, TakeAnswer, TakeRequest};
use camphorwalk_core::time::Instant;

use crate::shared_types::Verdict;

use admission_hosts::AdmissionHosts;
use borrower::Borrower;
use lender::Lender;
use takes::TakeRequests;

pub use bucket::{Bucket, MILLIONTHS_PER_TOKEN, Share, TakeOutcome, take_token};
pub use split::{column_zones, rate_in_millionths, slice_share, split};

/// Identifies a request for one token, which admits one call of a tenant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TakeId(pub u64);

/// A column consists of the slice with this number of every tenant. Hosts own whole columns.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ColumnId(pub u16);

/// A host that takes part in rate limiting.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SliceHost {
    /// The host.
    pub host: HostId,
    /// The host's availability zone.
    pub zone: ZoneId,
}

/// An input event for [`Slices`].
#[derive(Clone, Debug)]
pub enum SliceEvent {
    /// A new configuration is in force.
    Config(Arc<Config>),
    /// The hosts that are live and not leaving, including this one unless it is leaving.
    Hosts(Vec<SliceHost>),
    /// This host owns a column until a time on its own clock, unless the ownership is renewed.
    ///
    /// The margin for clock drift is already subtracted from that time. If the ownership is
    /// `fresh`, another host, an earlier process of this host, or this process before it lost the
    /// lease was the former owner. The slices then start empty, and may still be on loan from the
    /// former owner for up to one loan lifetime.
    Owned {
        /// The column.
        column: ColumnId,
        /// When the ownership ends.
        until: Instant,
        /// Whether the ownership is new rather than renewed.
        fresh: bool,
    },
    /// This host owns a column that no host has owned before, so its slices start full.
    FirstOwned {
        /// The column.
        column: ColumnId,
        /// When the ownership ends, as for `Owned`.
        until: Instant,
    },
    /// This host no longer owns a column.
    Lost {
        /// The column.
        column: ColumnId,
    },
    /// A call needs a token of its tenant.
    Take {
        /// Identifies the request in [`SliceAction::Verdict`].
        take: TakeId,
        /// The tenant.
        tenant: TenantId,
    },
    /// A message from the rate limiter of another host.
    Message {
        /// The sender.
        from: HostId,
        /// The content.
        message: SliceMessage,
    },
    /// Time has passed; due at [`Slices::wake_at`].
    Wake,
}

/// An action that [`Slices::step`] requests.
#[derive(Clone, Debug, PartialEq)]
pub enum SliceAction {
    /// The answer to a [`SliceEvent::Take`]. Each one is answered exactly once, even if the
    /// tenant's admission host does not respond.
    Verdict {
        /// Identifies the request.
        take: TakeId,
        /// Whether the call is admitted.
        verdict: Verdict,
    },
    /// Send a message to the rate limiter of another host. The message may be lost.
    Send {
        /// The receiver.
        to: HostId,
        /// The content.
        message: SliceMessage,
    },
}

/// Settings of [`Slices`].
#[derive(Clone, Debug)]
pub struct SliceOptions {
    /// The host that this process runs on.
    pub host: HostId,
    /// The host's availability zone.
    pub zone: ZoneId,
    /// The number that identifies this run of the process, as in gossip.
    pub session: u64,
    /// Durations of loans and requests; must be the same on all hosts of a fleet.
    pub times: SliceTimes,
}

/// Durations of loans and requests. They must be the same on all hosts of a fleet, because a
/// column's new owner waits until the loans made by the former owner have expired.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SliceTimes {
    /// The interval at which a borrower renews its loans.
    pub renewal_interval: Duration,
    /// How long a loan lasts, counted from when the borrower sent the request for it.
    pub loan_lifetime: Duration,
    /// Added to the lifetime by the lender, because clocks run at different speeds.
    pub drift_margin: Duration,
    /// Time after which an unanswered loan request or offer is sent again.
    pub resend_after: Duration,
    /// The maximum time between two events in a running process. After a longer gap the process
    /// is assumed to have been paused.
    pub max_step_gap: Duration,
    /// How long a host waits for the answer of an admission host before it decides on the call with
    /// the slices that it holds itself.
    pub take_timeout: Duration,
    /// Time after which an unanswered take request is sent a second time.
    pub take_resend_after: Duration,
}

impl Default for SliceTimes {
    fn default() -> Self {
        Self {
            renewal_interval: Duration::from_secs(1),
            loan_lifetime: Duration::from_secs(3),
            drift_margin: Duration::from_millis(100),
            resend_after: Duration::from_millis(250),
            max_step_gap: Duration::from_millis(2_500),
            take_timeout: Duration::from_millis(250),
            take_resend_after: Duration::from_millis(100),
        }
    }
}

impl SliceTimes {
    /// Returns how long a lender regards a slice as lent, counted from when it sent the grant.
    ///
    /// ```
    /// use camphorwalk_policy::slices::SliceTimes;
    /// let times = SliceTimes::default();
    /// assert!(times.lender_lifetime() > times.loan_lifetime);
    /// ```
    pub fn lender_lifetime(&self) -> Duration {
        self.loan_lifetime + self.drift_margin
    }
}

/// The slices that this host owns or has borrowed.
///
/// **Bound.** Each slice is a token bucket with one user at a time, and all slices of a tenant
/// add up to exactly its rate R and burst B. All hosts together therefore admit at most B + R t
/// calls of the tenant in any period of length t. While hosts change to a new R and B, each slice
/// has either its old or its new share. Shares never shrink when R or B grows, so the larger R
/// and the larger B bound the sum.
///
/// **Start level.** A slice starts empty whenever it is unknown how many tokens were taken from
/// it: after a loan that was not returned, and after a change of owner, unless a running loan of
/// the former owner is continued. If slices started full instead, a tenant could use its burst
/// again whenever hosts are replaced. Only columns that no host has owned before start full.
///
/// **Network partitions.** A zone that is partitioned from the others continues with the slices
/// of its own columns. If their bursts add up to less than one token (the tenant's burst is below
/// `slices / columns of the zone`), the zone admits no calls of that tenant.
///
/// ```
/// use std::sync::Arc;
/// use camphorwalk_core::ids::{HostId, TenantId, ZoneId};
/// use camphorwalk_core::time::Instant;
/// use camphorwalk_policy::slices::*;
/// use camphorwalk_policy::shared_types::Verdict;
/// let host = HostId::from_name("a1");
/// let zone = ZoneId::from_name("a");
/// let times = SliceTimes::default();
/// let mut slices = Slices::new(SliceOptions { host, zone, session: 7, times });
/// let mut out = Vec::new();
///
/// // Without a column there is no token.
/// let take = SliceEvent::Take { take: TakeId(1), tenant: TenantId::from_name("inkwick") };
/// slices.step(Instant(0), take, &mut out);
/// assert!(matches!(out[0], SliceAction::Verdict { verdict: Verdict::Refused { .. }, .. }));
/// ```
#[derive(Debug)]
pub struct Slices {
    local_host: HostId,
    times: SliceTimes,
    config: Option<Arc<Config>>,
    admission_hosts: AdmissionHosts,
    lender: Lender,
    borrower: Borrower,
    takes: TakeRequests,
    /// The time of the last step.
    last_step: Option<Instant>,
}

impl Slices {
    /// Creates the state of a host without any slices.
    pub fn new(options: SliceOptions) -> Self {
        let SliceOptions { host, session, times, .. } = options;

        Self {
            local_host: host,
            times,
            config: None,
            admission_hosts: AdmissionHosts::new(host),
            lender: Lender::new(session, times),
            borrower: Borrower::new(session, times),
            takes: TakeRequests::new(session, times),
            last_step: None,
        }
    }

    /// Processes an event and appends the resulting actions to `out`.
    pub fn step(&mut self, now: Instant, event: SliceEvent, out: &mut Vec<SliceAction>) {
        let now = self.end_loans_after_pause(now);

        self.lender.expire(now);
        self.borrower.expire(now);
        self.handle_event(now, event, out);
        self.process_pending_takes(now, out);
        self.send_loan_messages(now, out);
    }

    /// Returns when the next [`SliceEvent::Wake`] is due.
    pub fn wake_at(&self) -> Option<Instant> {
        let parts = [self.lender.wake_at(), self.borrower.wake_at(), self.takes.wake_at()];

        parts.into_iter().flatten().min()
    }

    /// Returns the slices that this host may use at `now`, for status pages and tests.
    pub fn usable_slices(&self, now: Instant) -> Vec<(TenantId, ColumnId)> {
        let mut slices: Vec<_> = self.lender.usable_slices(now).collect();

        if !self.is_gap(now) {
            slices.extend(self.borrower.usable_slices(now));
        }

        slices.sort_unstable();
        slices
    }

    /// Returns whether the time since the last step is so long that this process must have been
    /// paused.
    fn is_gap(&self, now: Instant) -> bool {
        self.last_step.is_some_and(|last| self.times.max_step_gap < now.since(last))
    }

    /// Ends all borrowed loans if this process was paused. Returns the time to use for the step,
    /// which never goes backwards.
    ///
    /// A slice that this process held before a pause may now be used by another host. Loans also
    /// expire by the clock, but the clock may have stood still for a part of the pause. Ending
    /// all loans after a gap covers that case.
    fn end_loans_after_pause(&mut self, now: Instant) -> Instant {
        let now = now.max(self.last_step.unwrap_or(now));

        if self.is_gap(now) {
            self.borrower.end_all_loans();
        }

        self.last_step = Some(now);
        now
    }

    fn handle_event(&mut self, now: Instant, event: SliceEvent, out: &mut Vec<SliceAction>) {
        match event {
            SliceEvent::Config(config) => {
                self.config = Some(config);
                self.configure(now);
            }
            SliceEvent::Hosts(hosts) => {
                self.admission_hosts.set_hosts(hosts.into_iter().map(|host| host.host).collect());
                self.borrower.remove_gone_lenders(&self.admission_hosts);
                self.lender.hosts_changed(now);
            }
            SliceEvent::FirstOwned { column, until } => {
                self.lender.acquire_first(column, until, now);
                self.configure(now);
                self.adopt_own_loans(now, column);
            }
            SliceEvent::Owned { column, until, fresh } => {
                if self.lender.acquire(column, until, fresh, now) {
                    self.configure(now);
                    self.adopt_own_loans(now, column);
                }
            }
            SliceEvent::Lost { column } => self.lender.remove_column(column),
            SliceEvent::Take { take, tenant } => self.handle_take(now, take, tenant, out),
            SliceEvent::Message { from, message } => self.handle_message(now, from, message, out),
            SliceEvent::Wake => {}
        }
    }

    /// Continues to use slices of a newly owned column that this host had borrowed from the
    /// former owner.
    fn adopt_own_loans(&mut self, now: Instant, column: ColumnId) {
        for (key, bucket) in self.borrower.release_column(column) {
            self.lender.adopt_own_loan(key, bucket, now);
        }
    }

    fn configure(&mut self, now: Instant) {
        if let Some(config) = &self.config {
            self.lender.configure(config, now);
        }
    }

    fn handle_message(
        &mut self,
        now: Instant,
        from: HostId,
        message: SliceMessage,
        out: &mut Vec<SliceAction>,
    ) {
        match message.body {
            Some(SliceBody::Offer(offer)) => self.borrower.handle_offer(from, &offer),
            Some(SliceBody::Request(request)) => {
                let grant =
                    self.lender.handle_request(from, &request, &mut self.admission_hosts, now);
                out.extend(grant.map(|grant| send(from, SliceBody::Grant(grant))));
            }
            Some(SliceBody::Grant(grant)) => self.borrower.handle_grant(from, &grant, now),
            Some(SliceBody::Take(request)) => {
                let answer = self.takes.previous_answer(from, &request);
                let answer = answer.unwrap_or_else(|| self.answer_take(now, from, &request));
                out.push(send(from, SliceBody::Answer(answer)));
            }
            Some(SliceBody::Answer(answer)) => {
                if let Some(pending) = self.takes.accept_answer(from, &answer) {
                    let verdict = match verdict_of(&answer) {
                        Verdict::Admitted => Verdict::Admitted,
                        refused => {
                            self.take_local_token_after_refusal(now, pending.tenant, refused)
                        }
                    };
                    out.push(SliceAction::Verdict { take: pending.take, verdict });
                }
            }
            None => {}
        }
    }

    /// Decides a take request of this host if it is the tenant's admission host, and otherwise
    /// sends the request there.
    fn handle_take(
        &mut self,
        now: Instant,
        take: TakeId,
        tenant: TenantId,
        out: &mut Vec<SliceAction>,
    ) {
        let admission_host = self.admission_hosts.get(tenant);

        if admission_host == self.local_host {
            let verdict = self.take_local_token(now, tenant);
            out.push(SliceAction::Verdict { take, verdict });
            return;
        }

        let request = self.takes.start(now, take, tenant, admission_host);
        out.push(send(admission_host, SliceBody::Take(request)));
    }

    /// Answers a take request of another host.
    fn answer_take(&mut self, now: Instant, from: HostId, request: &TakeRequest) -> TakeAnswer {
        let verdict = self.take_local_token(now, TenantId(request.tenant));

        self.takes.record_answer(now, from, request, verdict)
    }

    /// Takes a token from the slices that this host may use.
    fn take_local_token(&mut self, now: Instant, tenant: TenantId) -> Verdict {
        let time_until_usable = self.lender.time_until_usable(now);
        let borrowed = self.borrower.usable_buckets(tenant);
        let mut buckets: Vec<&mut Bucket> =
            self.lender.usable_buckets(tenant, now).chain(borrowed).collect();

        match take_token(&mut buckets, now) {
            TakeOutcome::Taken => Verdict::Admitted,
            TakeOutcome::Insufficient(Some(wait)) => Verdict::Refused { retry_after: wait },

            // This host has no usable slices now. They become usable when the loans of a former
            // owner expire or after a change of hosts; both take about one loan lifetime.
            TakeOutcome::Insufficient(None) => Verdict::Refused {
                retry_after: time_until_usable.unwrap_or(self.times.loan_lifetime),
            },
        }
    }

    /// After a refusal by the admission host, tries the slices that this host holds itself. If
    /// these have no token either, returns the shorter of the two retry times.
    fn take_local_token_after_refusal(
        &mut self,
        now: Instant,
        tenant: TenantId,
        refused: Verdict,
    ) -> Verdict {
        match (self.take_local_token(now, tenant), refused) {
            (Verdict::Refused { retry_after: here }, Verdict::Refused { retry_after: there }) => {
                Verdict::Refused { retry_after: here.min(there) }
            }
            (verdict, _) => verdict,
        }
    }

    /// Uses the slices that this host holds itself to decide the take requests that timed out, and
    /// resends the others that are due.
    fn process_pending_takes(&mut self, now: Instant, out: &mut Vec<SliceAction>) {
        for pending in self.takes.expire(now) {
            let verdict = self.take_local_token(now, pending.tenant);
            out.push(SliceAction::Verdict { take: pending.take, verdict });
        }

        for (to, request) in self.takes.due_resends(now) {
            out.push(send(to, SliceBody::Take(request)));
        }
    }

    fn send_loan_messages(&mut self, now: Instant, out: &mut Vec<SliceAction>) {
        for (host, offer) in self.lender.due_offers(self.local_host, &mut self.admission_hosts, now)
        {
            out.push(send(host, SliceBody::Offer(offer)));
        }

        for (host, request) in self.borrower.due_requests(now) {
            out.push(send(host, SliceBody::Request(request)));
        }
    }
}

fn send(to: HostId, body: SliceBody) -> SliceAction {
    SliceAction::Send { to, message: body.into() }
}

fn verdict_of(answer: &TakeAnswer) -> Verdict {
    if answer.admitted {
        return Verdict::Admitted;
    }

    Verdict::Refused { retry_after: Duration::from_micros(answer.retry_after_us) }
}
