//! Rates and bursts over the whole fleet, cut into slices that one host at a time uses.

mod borrower;
mod bucket;
mod lender;
mod pools;
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

use borrower::Borrower;
use lender::Lender;
use pools::Pools;
use takes::Takes;

pub use bucket::{Bucket, Share, TOKEN, Taken, take};
pub use split::{column_zones, rate_of, slice_share, split};

/// A question whether a tenant may make one more call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TakeId(pub u64);

/// A column: the slice with this number of every tenant. The unit of ownership.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ColumnId(pub u16);

/// A host as slices see it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SliceHost {
    /// The host.
    pub host: HostId,
    /// Its availability zone.
    pub zone: ZoneId,
}

/// Something that happened, as far as slices mind.
#[derive(Clone, Debug)]
pub enum SliceEvent {
    /// This configuration is in force from now on.
    Config(Arc<Config>),
    /// These hosts, this one included, are alive and can be reached, as far as it is known.
    Hosts(Vec<SliceHost>),
    /// This host owns a column until an instant of its own clock, unless renewed.
    ///
    /// The instant already leaves out the margin for drifting clocks. `fresh` says that the
    /// column came from another owner (or this host's own past): its slices begin at level
    /// zero and may still be lent out by the former owner for one more loan's lifetime.
    Owned {
        /// The column.
        column: ColumnId,
        /// Until when.
        until: Instant,
        /// Whether ownership is new, not a renewal.
        fresh: bool,
    },
    /// This host owns a column that no host ever owned before: its slices begin full.
    FirstOwned {
        /// The column.
        column: ColumnId,
        /// Until when, as with `Owned`.
        until: Instant,
    },
    /// This host no longer owns a column.
    Lost {
        /// The column.
        column: ColumnId,
    },
    /// A call wants one token of its tenant.
    Take {
        /// The question.
        take: TakeId,
        /// The tenant.
        tenant: TenantId,
    },
    /// A message from the same part of another host.
    Message {
        /// The sender.
        from: HostId,
        /// What it says.
        message: SliceMessage,
    },
    /// Time has passed; see [`Slices::wake_at`].
    Wake,
}

/// What to do next for slices.
#[derive(Clone, Debug, PartialEq)]
pub enum SliceAction {
    /// The answer to a question. Each question is answered once, also when the tenant's
    /// pool host is silent.
    Verdict {
        /// The question.
        take: TakeId,
        /// The answer.
        verdict: Verdict,
    },
    /// Send a message to the same part of another host; it may be lost.
    Send {
        /// The receiver.
        to: HostId,
        /// What to say.
        message: SliceMessage,
    },
}

/// Settings of [`Slices`].
#[derive(Clone, Debug)]
pub struct SliceOptions {
    /// The host this runs on.
    pub host: HostId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// A random number of this run of its process, as in gossip.
    pub session: u64,
    /// How long things last; the same on all hosts of a fleet.
    pub times: SliceTimes,
}

/// How long loans and questions last. The same on all hosts of a fleet: the owner of a
/// column waits out the loans that its former owner made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SliceTimes {
    /// The time from one renewal of a borrower's loans to the next.
    pub renewal: Duration,
    /// How long a loan lasts, from the sending of the request that it answers.
    pub lifetime: Duration,
    /// What a lender adds to the lifetime, for clocks that run at different speeds.
    pub drift_margin: Duration,
    /// The time after which a message without an answer is sent again.
    pub retry: Duration,
    /// The longest time between two events in a process that runs; a longer one is a pause.
    pub longest_gap: Duration,
    /// How long to wait for the pool host's answer.
    pub take_timeout: Duration,
    /// The time after which a question to the pool host is sent once more.
    pub take_repeat: Duration,
}

impl Default for SliceTimes {
    fn default() -> Self {
        Self {
            renewal: Duration::from_secs(1),
            lifetime: Duration::from_secs(3),
            drift_margin: Duration::from_millis(100),
            retry: Duration::from_millis(250),
            longest_gap: Duration::from_millis(2_500),
            take_timeout: Duration::from_millis(250),
            take_repeat: Duration::from_millis(100),
        }
    }
}

impl SliceTimes {
    /// Returns how long a lender counts a loan from its own sending.
    ///
    /// ```
    /// use camphorwalk_policy::slices::SliceTimes;
    /// let times = SliceTimes::default();
    /// assert!(times.lent_for() > times.lifetime);
    /// ```
    pub fn lent_for(&self) -> Duration {
        self.lifetime + self.drift_margin
    }
}

/// The slices that this host owns or has borrowed.
///
/// What may be admitted: each slice is one token bucket with one user at any instant, and
/// all slices of a tenant together are exactly its rate R and burst B. So no more than
/// B + R t calls of the tenant are admitted in any time t, over all hosts. While hosts go
/// over from one R and B to another, each slice has its old or its new share; shares never
/// shrink when R or B grows, so the larger R and the larger B bound the sum.
///
/// Level zero: a slice begins empty whenever it is not known what was taken from it: after
/// a loan that was not returned, and after a change of owner, unless a running loan of the
/// former owner goes on. The other choice, full slices, would let a tenant take its burst
/// once more whenever hosts are replaced. Only columns that no host ever owned begin full.
///
/// A zone cut off from the others goes on with the slices of its own columns. If these
/// hold less than one token together (a burst below `slices / columns of the zone`), it
/// admits no call of that tenant.
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
    me: HostId,
    times: SliceTimes,
    cfg: Option<Arc<Config>>,
    pools: Pools,
    lender: Lender,
    borrower: Borrower,
    takes: Takes,
    /// When the last step was.
    last: Option<Instant>,
}

impl Slices {
    /// Makes a host with no slices.
    pub fn new(options: SliceOptions) -> Self {
        let SliceOptions { host, session, times, .. } = options;

        Self {
            me: host,
            times,
            cfg: None,
            pools: Pools::new(host),
            lender: Lender::new(session, times),
            borrower: Borrower::new(session, times),
            takes: Takes::new(session, times),
            last: None,
        }
    }

    /// Takes in an event and appends what to do next to `out`.
    pub fn step(&mut self, now: Instant, event: SliceEvent, out: &mut Vec<SliceAction>) {
        let now = self.notice_pause(now);

        self.lender.expire(now);
        self.borrower.expire(now);
        self.handle(now, event, out);
        self.end_takes(now, out);
        self.send_loan_messages(now, out);
    }

    /// Returns when [`SliceEvent::Wake`] is due.
    pub fn wake_at(&self) -> Option<Instant> {
        let parts = [self.lender.wake_at(), self.borrower.wake_at(), self.takes.wake_at()];

        parts.into_iter().flatten().min()
    }

    /// Returns the slices that this host may use at `now`, for status pages and checks.
    pub fn usable_slices(&self, now: Instant) -> Vec<(TenantId, ColumnId)> {
        let mut slices: Vec<_> = self.lender.usable_slices(now).collect();

        if !self.is_gap(now) {
            slices.extend(self.borrower.usable_slices(now));
        }

        slices.sort_unstable();
        slices
    }

    /// Returns whether so much time passed since the last step that this process was paused.
    fn is_gap(&self, now: Instant) -> bool {
        self.last.is_some_and(|last| self.times.longest_gap < now.since(last))
    }

    /// Ends all borrowed loans if this process was paused; returns the time to go by.
    ///
    /// What a paused process believes to hold may be in use elsewhere. Loans are over by the
    /// clock as well; the gap also covers a clock that stood still for a part of the pause.
    fn notice_pause(&mut self, now: Instant) -> Instant {
        let now = now.max(self.last.unwrap_or(now));

        if self.is_gap(now) {
            self.borrower.drop_all();
        }

        self.last = Some(now);
        now
    }

    fn handle(&mut self, now: Instant, event: SliceEvent, out: &mut Vec<SliceAction>) {
        match event {
            SliceEvent::Config(cfg) => {
                self.cfg = Some(cfg);
                self.configure(now);
            }
            SliceEvent::Hosts(hosts) => {
                self.pools.set_hosts(hosts.into_iter().map(|host| host.host).collect());
                self.borrower.forget_gone(&self.pools);
                self.lender.hosts_changed(now);
            }
            SliceEvent::FirstOwned { column, until } => {
                self.lender.own_first(column, until, now);
                self.configure(now);
                self.take_over(now, column);
            }
            SliceEvent::Owned { column, until, fresh } => {
                if self.lender.own(column, until, fresh, now) {
                    self.configure(now);
                    self.take_over(now, column);
                }
            }
            SliceEvent::Lost { column } => self.lender.lose(column),
            SliceEvent::Take { take, tenant } => self.take(now, take, tenant, out),
            SliceEvent::Message { from, message } => self.message(now, from, message, out),
            SliceEvent::Wake => {}
        }
    }

    /// Goes on with slices of a new column that this host has from its former owner.
    fn take_over(&mut self, now: Instant, column: ColumnId) {
        for (key, bucket) in self.borrower.release_column(column) {
            self.lender.adopt_here(key, bucket, now);
        }
    }

    fn configure(&mut self, now: Instant) {
        if let Some(cfg) = &self.cfg {
            self.lender.configure(cfg, now);
        }
    }

    fn message(
        &mut self,
        now: Instant,
        from: HostId,
        message: SliceMessage,
        out: &mut Vec<SliceAction>,
    ) {
        match message.body {
            Some(SliceBody::Offer(offer)) => self.borrower.offer(from, &offer),
            Some(SliceBody::Request(req)) => {
                let grant = self.lender.request(from, &req, &mut self.pools, now);
                out.extend(grant.map(|grant| send(from, SliceBody::Grant(grant))));
            }
            Some(SliceBody::Grant(grant)) => self.borrower.grant(from, &grant, now),
            Some(SliceBody::Take(req)) => {
                let answer = self.takes.answered(from, &req);
                let answer = answer.unwrap_or_else(|| self.answer(now, from, &req));
                out.push(send(from, SliceBody::Answer(answer)));
            }
            Some(SliceBody::Answer(answer)) => {
                if let Some(asked) = self.takes.take_answer(from, &answer) {
                    let verdict = match verdict_of(&answer) {
                        Verdict::Admitted => Verdict::Admitted,
                        refused => self.fall_back(now, asked.tenant, refused),
                    };
                    out.push(SliceAction::Verdict { take: asked.take, verdict });
                }
            }
            None => {}
        }
    }

    /// Decides a question of this host, or asks the tenant's pool host.
    fn take(&mut self, now: Instant, take: TakeId, tenant: TenantId, out: &mut Vec<SliceAction>) {
        let pool = self.pools.of(tenant);

        if pool == self.me {
            let verdict = self.decide(now, tenant);
            out.push(SliceAction::Verdict { take, verdict });
            return;
        }

        let req = self.takes.ask(now, take, tenant, pool);
        out.push(send(pool, SliceBody::Take(req)));
    }

    /// Answers another host's question.
    fn answer(&mut self, now: Instant, from: HostId, req: &TakeRequest) -> TakeAnswer {
        let verdict = self.decide(now, TenantId(req.tenant));

        self.takes.remember(now, from, req, verdict)
    }

    /// Takes a token from the slices that this host may use.
    fn decide(&mut self, now: Instant, tenant: TenantId) -> Verdict {
        let usable_in = self.lender.usable_in(now);
        let lent = self.borrower.usable(tenant);
        let mut buckets: Vec<&mut Bucket> = self.lender.usable(tenant, now).chain(lent).collect();

        match take(&mut buckets, now) {
            Taken::Token => Verdict::Admitted,
            Taken::Nothing(Some(wait)) => Verdict::Refused { retry_after: wait },

            // Slices come with the end of a former owner's loans, or with a change of hosts,
            // and both take about a loan's lifetime.
            Taken::Nothing(None) => {
                Verdict::Refused { retry_after: usable_in.unwrap_or(self.times.lifetime) }
            }
        }
    }

    /// Takes a token from slices that are here although the tenant's pool host is another,
    /// or gives the sooner of two times to come back.
    fn fall_back(&mut self, now: Instant, tenant: TenantId, refused: Verdict) -> Verdict {
        match (self.decide(now, tenant), refused) {
            (Verdict::Refused { retry_after: here }, Verdict::Refused { retry_after: there }) => {
                Verdict::Refused { retry_after: here.min(there) }
            }
            (verdict, _) => verdict,
        }
    }

    /// Ends questions that the pool host does not answer, and repeats the younger ones.
    fn end_takes(&mut self, now: Instant, out: &mut Vec<SliceAction>) {
        for asked in self.takes.expire(now) {
            let verdict = self.decide(now, asked.tenant);
            out.push(SliceAction::Verdict { take: asked.take, verdict });
        }

        for (to, req) in self.takes.repeats(now) {
            out.push(send(to, SliceBody::Take(req)));
        }
    }

    fn send_loan_messages(&mut self, now: Instant, out: &mut Vec<SliceAction>) {
        for (host, offer) in self.lender.offers(self.me, &mut self.pools, now) {
            out.push(send(host, SliceBody::Offer(offer)));
        }

        for (host, req) in self.borrower.requests(now) {
            out.push(send(host, SliceBody::Request(req)));
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
