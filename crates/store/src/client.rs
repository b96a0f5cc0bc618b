//! The client: attempts, retries, and the reply that results from them.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use camphorwalk_core::platform::{HostListing, PlatformOp, PlatformReply};
use http::StatusCode;
use rand::rngs::SmallRng;
use rand::{Rng as _, SeedableRng as _};

use crate::attempt_log::{AttemptEnd, AttemptLog};
use crate::errors::{Error, Result};
use crate::limits::{Access, AttemptTimeouts, Quota, RetryBudget};
use crate::metrics::Metrics;
use crate::operations::{self, EarlierAttempts, OnLostResponse};
use crate::options::{ClientOptions, RetryOptions};
use crate::protocol::{StoreProtocol, StoreRequest};
use crate::transport::{Attempt, Rejection, Transport};

/// The metric label of the operation that lists the hosts.
const LIST_HOSTS: &str = "hosts";

/// A client of the platform. Clones share the connections, the host's quota and the retry
/// budget.
#[derive(Clone, Debug)]
pub struct Client {
    /// The state shared by all clones.
    inner: Arc<Inner>,
}

/// The state shared by all clones of a client.
#[derive(Debug)]
struct Inner {
    /// The HTTP connections.
    transport: Transport,
    /// The protocol that encodes requests and decodes responses.
    protocol: StoreProtocol,
    /// Limits on retries.
    retry: RetryOptions,
    /// The remaining quota and retry budget, and the attempt timeouts.
    limits: Mutex<Limits>,
    /// The client's metrics.
    metrics: Metrics,
}

/// What limits further requests of the client.
#[derive(Debug)]
struct Limits {
    /// The host's request quota.
    quota: Quota,
    /// The retry budget.
    budget: RetryBudget,
    /// How long an attempt waits for its response.
    timeouts: AttemptTimeouts,
    /// The source of the jitter between attempts.
    rng: SmallRng,
    /// The attempts that are not logged yet.
    attempts: AttemptLog,
}

/// Whether an attempt that the platform rejected because of its rate is repeated. Other rejections
/// are repeated in any case.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OnRateLimit {
    /// Retry, within the limits of all retries.
    Retry,
    /// Give up: the operation can wait, and another attempt would take the rate from others.
    GiveUp,
}

/// The reply to an operation, and whether the platform's rate was exceeded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Report {
    /// The reply.
    pub reply: PlatformReply,
    /// How many attempts the platform rejected because of its rate.
    pub rate_limited_attempts: u32,
    /// Whether a write was not executed because of the platform's rate. Reads are reported as
    /// unavailable: a platform that rejects them turns this host away.
    pub is_rate_limited: bool,
}

impl Report {
    /// Creates the report on an operation that was not sent.
    fn not_executed() -> Self {
        Self { reply: PlatformReply::Unavailable, rate_limited_attempts: 0, is_rate_limited: false }
    }
}

/// What the attempts of an operation depend on.
struct Operation<'a> {
    /// The metric label.
    name: &'static str,
    /// The table, for the logs.
    table: &'a str,
    access: Access,
    on_lost_response: OnLostResponse,
    on_rate_limit: OnRateLimit,
}

/// The result of all attempts of an operation.
enum Outcome {
    /// The platform answered.
    Answered {
        /// The response's status.
        status: StatusCode,
        /// The response's body.
        body: Bytes,
        /// What is known about the attempts before the answered one.
        earlier: EarlierAttempts,
    },
    /// No attempt was answered.
    Unanswered {
        /// Whether the response to any attempt was lost; if not, the platform did nothing.
        lost: bool,
        /// Why the platform did not execute the last attempt.
        rejection: Option<Rejection>,
    },
    /// No attempt was made because the quota was used up.
    OverQuota,
}

impl Outcome {
    /// Returns whether the operation was not executed because of the platform's rate.
    fn is_rate_limited(&self) -> bool {
        matches!(self, Self::Unanswered { lost: false, rejection: Some(Rejection::RateLimited) })
    }
}

impl Client {
    /// Creates a client, which connects on its first request.
    pub fn new(options: ClientOptions) -> Result<Self> {
        let limits = Limits {
            quota: Quota::new(options.quota, Instant::now()),
            budget: RetryBudget::new(options.retry),
            timeouts: AttemptTimeouts::new(options.min_deadline, options.deadline),
            rng: SmallRng::seed_from_u64(options.seed),
            attempts: AttemptLog::new(Instant::now()),
        };
        let inner = Inner {
            transport: Transport::new(&options)?,
            protocol: options.protocol,
            retry: options.retry,
            limits: Mutex::new(limits),
            metrics: Metrics::new()?,
        };

        Ok(Self { inner: Arc::new(inner) })
    }

    /// Registers the client's metrics.
    pub fn register(&self, registry: &prometheus::Registry) -> Result<()> {
        Ok(self.inner.metrics.register(registry)?)
    }

    /// Runs an operation and returns its reply, with as many attempts as the retry options allow.
    /// An attempt is abandoned when the response head, or the next piece of the body, does not
    /// arrive within the deadline. A body that keeps arriving may take longer in total.
    ///
    /// Replies `Unavailable` at once if the host's quota is used up. If the future of a write is
    /// dropped, the write's outcome is unknown, as after a lost response.
    pub async fn run(&self, op: PlatformOp) -> PlatformReply {
        self.run_with_progress(op, &|_| ()).await
    }

    /// Runs an operation like [`run`](Self::run), and calls `on_piece` for each piece of a response
    /// body with the number of bytes received so far. The count restarts with each attempt.
    ///
    /// ```
    /// use camphorwalk_core::platform::{PlatformOp, PlatformReply};
    /// use camphorwalk_store::{Client, ClientOptions};
    /// # tokio::runtime::Runtime::new().unwrap().block_on(async {
    /// let nobody = "127.0.0.1:1".parse().unwrap();
    /// let client = Client::new(ClientOptions::new(nobody, "a")).unwrap();
    /// let bytes = std::sync::atomic::AtomicUsize::new(0);
    /// let watch = |so_far| bytes.store(so_far, std::sync::atomic::Ordering::Relaxed);
    /// let reply = client.run_with_progress(PlatformOp::Read(vec![]), &watch).await;
    /// assert_eq!((reply, bytes.into_inner()), (PlatformReply::Unavailable, 0));
    /// # });
    /// ```
    pub async fn run_with_progress(
        &self,
        op: PlatformOp,
        on_piece: &impl Fn(usize),
    ) -> PlatformReply {
        self.run_reported(op, OnRateLimit::Retry, on_piece).await.reply
    }

    /// Runs an operation like [`run_with_progress`](Self::run_with_progress), and also reports
    /// whether the platform rejected it, or some of its attempts, because of its rate.
    ///
    /// ```
    /// use camphorwalk_core::platform::PlatformOp;
    /// use camphorwalk_store::{Client, ClientOptions, OnRateLimit};
    /// # tokio::runtime::Runtime::new().unwrap().block_on(async {
    /// let nobody = "127.0.0.1:1".parse().unwrap();
    /// let client = Client::new(ClientOptions::new(nobody, "a")).unwrap();
    /// let op = PlatformOp::Read(vec![]);
    /// let report = client.run_reported(op, OnRateLimit::GiveUp, &|_| ()).await;
    /// assert!(!report.is_rate_limited);
    /// # });
    /// ```
    pub async fn run_reported(
        &self,
        op: PlatformOp,
        on_rate_limit: OnRateLimit,
        on_piece: &impl Fn(usize),
    ) -> Report {
        let name = operations::name(&op);
        let started = Instant::now();
        let Some(request) = (self.inner.protocol.encode_request)(&op) else {
            tracing::error!(
                operation = name,
                "platform: operation not supported by the store protocol"
            );
            return Report::not_executed();
        };
        let operation = Operation {
            name,
            table: operations::table(&op),
            access: operations::access(&op),
            on_lost_response: operations::on_lost_response(&op),
            on_rate_limit,
        };

        let mut report = Report::not_executed();
        let outcome = self
            .send_with_retries(&operation, &request, on_piece, &mut report.rate_limited_attempts)
            .await;
        report.is_rate_limited = operation.access == Access::Write && outcome.is_rate_limited();
        report.reply = match outcome {
            Outcome::OverQuota => {
                self.inner.metrics.record_over_quota(name);
                return report;
            }
            Outcome::Unanswered { lost, .. } => operations::reply_without_response(&op, lost),
            Outcome::Answered { status, body, earlier } => {
                match (self.inner.protocol.decode_response)(&op, status, &body) {
                    Some(response) => operations::reply(&op, earlier, response),
                    None => undecodable_response_reply(&op, earlier, status),
                }
            }
        };

        self.inner.metrics.record_operation(name, outcome_name(&report.reply), started.elapsed());
        report
    }

    /// Lists the hosts that the platform knows; the list may be out of date.
    pub async fn hosts(&self) -> Result<Vec<HostListing>> {
        let started = Instant::now();
        let request = operations::hosts_request();
        let operation = Operation {
            name: LIST_HOSTS,
            table: LIST_HOSTS,
            access: Access::Read,
            on_lost_response: OnLostResponse::Resend,
            on_rate_limit: OnRateLimit::Retry,
        };

        let hosts = match self.send_with_retries(&operation, &request, &|_| (), &mut 0).await {
            Outcome::OverQuota => {
                self.inner.metrics.record_over_quota(LIST_HOSTS);
                return Err(Error::OverQuota);
            }
            Outcome::Unanswered { .. } => None,
            Outcome::Answered { status, body, .. } => operations::read_hosts(status, &body),
        };

        let outcome = if hosts.is_some() { "ok" } else { "unavailable" };
        self.inner.metrics.record_operation(LIST_HOSTS, outcome, started.elapsed());
        hosts.ok_or(Error::Unavailable)
    }

    /// Sends a request until it is answered or no further attempt is allowed. Adds the attempts that
    /// the platform rejected because of its rate to `rate_limited_attempts`.
    async fn send_with_retries(
        &self,
        operation: &Operation<'_>,
        request: &StoreRequest,
        on_piece: &impl Fn(usize),
        rate_limited_attempts: &mut u32,
    ) -> Outcome {
        let access = operation.access;
        if !self.limits().quota.take(access, Instant::now()) {
            self.record_attempt(operation, AttemptEnd::OverQuota);
            return Outcome::OverQuota;
        }

        self.limits().budget.record_first_attempt();
        let started = Instant::now();
        let mut lost = false;
        let mut attempts = 1;
        let mut lost_attempts = 0;

        loop {
            let head_timeout = self.limits().timeouts.next(lost_attempts);
            let attempt = self.inner.transport.send(request, head_timeout, on_piece).await;
            self.update_timeouts(&attempt, request);
            self.record_attempt(operation, AttemptEnd::of(&attempt));

            let rejection = match attempt {
                Attempt::Answered { status, body, .. } => {
                    let earlier = self.earlier_attempts(lost, started);
                    return Outcome::Answered { status, body, earlier };
                }
                Attempt::NotExecuted(rejection) => Some(rejection),
                Attempt::Lost { .. } => {
                    lost = true;
                    lost_attempts += 1;
                    None
                }
            };
            let is_rate_limited = rejection == Some(Rejection::RateLimited);
            *rate_limited_attempts += u32::from(is_rate_limited);

            if lost && operation.on_lost_response == OnLostResponse::GiveUp
                || is_rate_limited && operation.on_rate_limit == OnRateLimit::GiveUp
            {
                return Outcome::Unanswered { lost, rejection };
            }

            let Some(pause) = self.take_retry(attempts, started, access) else {
                return Outcome::Unanswered { lost, rejection };
            };

            self.inner.metrics.record_retry(operation.name);
            tokio::time::sleep(pause).await;
            attempts += 1;
        }
    }

    /// Counts an attempt, and logs the attempts of each second in which some were not answered.
    fn record_attempt(&self, operation: &Operation<'_>, end: AttemptEnd) {
        let Operation { access, table, .. } = *operation;
        self.inner.metrics.record_attempt(access, table, end);
        let summary = self.limits().attempts.record(Instant::now(), access, table, end);

        if let Some(attempts) = summary {
            tracing::info!(%attempts, "platform: not all attempts of a second were answered");
        }
    }

    /// Updates the attempt timeouts from a response or a loss. Requests that wait for changes on
    /// the platform are left out, since their duration says nothing about its speed.
    fn update_timeouts(&self, attempt: &Attempt, request: &StoreRequest) {
        if !request.wait.is_zero() {
            return;
        }

        match attempt {
            Attempt::Answered { head_time, .. } => {
                self.limits().timeouts.record_response(*head_time)
            }
            Attempt::Lost { waited } => self.limits().timeouts.record_loss(*waited),
            Attempt::NotExecuted(_) => {}
        }
    }

    /// Returns what is known about the attempts before the one that was just answered.
    ///
    /// The retry window is checked after the response arrived: while this process was paused, other
    /// hosts may have deleted the rows that would show whether an earlier attempt took effect.
    fn earlier_attempts(&self, lost: bool, started: Instant) -> EarlierAttempts {
        match lost {
            false => EarlierAttempts::NotExecuted,
            true if started.elapsed() > self.inner.retry.retry_window => {
                EarlierAttempts::LostTooLongAgo
            }
            true => EarlierAttempts::ResponseLost,
        }
    }

    /// Takes a retry from the retry budget and from the host's quota, and returns the pause before
    /// it. Returns `None` if the operation may not be retried.
    fn take_retry(&self, attempts: u32, started: Instant, access: Access) -> Option<Duration> {
        let retry = self.inner.retry;
        let mut limits = self.limits();

        if attempts >= retry.max_attempts
            || started.elapsed() > retry.retry_window
            || !limits.budget.take()
            || !limits.quota.take(access, Instant::now())
        {
            return None;
        }

        // Jitter prevents hosts that failed at the same time from retrying at the same time.
        let jitter = limits.rng.random_range(0.5..1.5);

        Some(retry.base_backoff.mul_f64(f64::from(1 << (attempts - 1).min(10)) * jitter))
    }

    /// Locks the limits. A poisoned lock is ignored: the limits are plain numbers, which are valid
    /// even after a panic.
    fn limits(&self) -> MutexGuard<'_, Limits> {
        self.inner.limits.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the reply for a response that cannot be decoded.
fn undecodable_response_reply(
    op: &PlatformOp,
    earlier: EarlierAttempts,
    status: StatusCode,
) -> PlatformReply {
    tracing::warn!(%status, operation = operations::name(op), "platform: response not understood");

    // With a success status the operation may have taken effect, although the body is unreadable.
    operations::reply_without_response(
        op,
        earlier != EarlierAttempts::NotExecuted || status.is_success(),
    )
}

/// Returns the metric label of a reply.
fn outcome_name(reply: &PlatformReply) -> &'static str {
    match reply {
        PlatformReply::Committed(_) => "committed",
        PlatformReply::Conflict(_) => "conflict",
        PlatformReply::Rows(_)
        | PlatformReply::Changes(_)
        | PlatformReply::Stored(_)
        | PlatformReply::Object(_) => "ok",
        PlatformReply::HistoryGone => "history_gone",
        PlatformReply::Unavailable => "unavailable",
        PlatformReply::Unknown => "unknown",
    }
}
