//! The client: tries, retries, and what they come to.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use camphorwalk_core::platform::{HostListing, PlatformOp, PlatformReply};
use http::StatusCode;
use rand::rngs::SmallRng;
use rand::{Rng as _, SeedableRng as _};

use crate::errors::{Error, Result};
use crate::limits::{Access, Patience, RetryBudget, Share};
use crate::metrics::Metrics;
use crate::operations::{self, Earlier, OnLoss};
use crate::options::{ClientOptions, RetryOptions};
use crate::protocol::{StoreProtocol, StoreRequest};
use crate::transport::{Attempt, Transport};

/// The name of listing the hosts in metrics.
const HOSTS: &str = "hosts";

/// A client of the platform. Clones share the connections, the host's share and the budget
/// of retries.
#[derive(Clone, Debug)]
pub struct Client {
    /// What all clones share.
    inner: Arc<Inner>,
}

/// What all clones of a client share.
#[derive(Debug)]
struct Inner {
    /// The connections.
    transport: Transport,
    /// How operations are put to the platform.
    protocol: StoreProtocol,
    /// When an operation is tried again.
    retry: RetryOptions,
    /// What is left to be asked.
    limits: Mutex<Limits>,
    /// What the client tells of itself.
    metrics: Metrics,
}

/// What is left to be asked.
#[derive(Debug)]
struct Limits {
    /// The host's share.
    share: Share,
    /// The budget of retries.
    budget: RetryBudget,
    /// How long tries wait for their answers.
    patience: Patience,
    /// The jitter between tries.
    rng: SmallRng,
}

/// What the tries of an operation came to.
enum Outcome {
    /// The platform answered.
    Answered {
        /// The answer's status.
        status: StatusCode,
        /// The answer's body.
        body: Bytes,
        /// What became of the tries before.
        earlier: Earlier,
    },
    /// No try was answered.
    Unanswered {
        /// Whether the answer to any try was lost; else nothing was done.
        lost: bool,
    },
    /// Nothing was tried, for want of share.
    OverShare,
}

impl Client {
    /// Makes a client; it connects when it is used.
    pub fn new(options: ClientOptions) -> Result<Self> {
        let limits = Limits {
            share: Share::new(options.quota, Instant::now()),
            budget: RetryBudget::new(options.retry),
            patience: Patience::new(options.min_deadline, options.deadline),
            rng: SmallRng::seed_from_u64(options.seed),
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

    /// Runs an operation to its reply. It takes at most the tries of the retry options and the
    /// pauses between them. A try ends when the answer's head, or a further piece of the answer,
    /// is not there within the deadline; an answer that goes on coming may take longer.
    ///
    /// Over the host's share the reply is `Unavailable` at once. Dropping the future of a
    /// write leaves it as unknown as a lost answer does.
    pub async fn run(&self, op: PlatformOp) -> PlatformReply {
        self.run_with_progress(op, &|_| ()).await
    }

    /// Runs an operation as [`run`](Self::run) does, and calls `on_piece` with each piece of an
    /// answer's body, with the bytes of that body so far. A further try begins again with few.
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
        let name = operations::name(&op);
        let started = Instant::now();
        let Some(call) = (self.inner.protocol.encode_request)(&op) else {
            tracing::error!(operation = name, "platform: the dialect has no such operation");
            return PlatformReply::Unavailable;
        };
        let (access, on_loss) = (operations::access(&op), operations::on_loss(&op));

        let reply = match self.try_call(name, access, on_loss, &call, on_piece).await {
            Outcome::OverShare => {
                self.inner.metrics.over_share(name);
                return PlatformReply::Unavailable;
            }
            Outcome::Unanswered { lost } => operations::unanswered(&op, lost),
            Outcome::Answered { status, body, earlier } => {
                match (self.inner.protocol.decode_response)(&op, status, &body) {
                    Some(answer) => operations::reply(&op, earlier, answer),
                    None => senseless(&op, earlier, status),
                }
            }
        };

        self.inner.metrics.finished(name, outcome_name(&reply), started.elapsed());
        reply
    }

    /// Lists the hosts as the platform knows them; the list lags.
    pub async fn hosts(&self) -> Result<Vec<HostListing>> {
        let started = Instant::now();
        let call = operations::hosts_call();

        let outcome = self.try_call(HOSTS, Access::Read, OnLoss::SendAgain, &call, &|_| ());
        let hosts = match outcome.await {
            Outcome::OverShare => {
                self.inner.metrics.over_share(HOSTS);
                return Err(Error::OverQuota);
            }
            Outcome::Unanswered { .. } => None,
            Outcome::Answered { status, body, .. } => operations::read_hosts(status, &body),
        };

        let outcome = if hosts.is_some() { "ok" } else { "unavailable" };
        self.inner.metrics.finished(HOSTS, outcome, started.elapsed());
        hosts.ok_or(Error::Unavailable)
    }

    /// Tries a call until it is answered, or may not or need not be tried again.
    async fn try_call(
        &self,
        name: &str,
        access: Access,
        on_loss: OnLoss,
        call: &StoreRequest,
        on_piece: &impl Fn(usize),
    ) -> Outcome {
        if !self.limits().share.take(access, Instant::now()) {
            return Outcome::OverShare;
        }

        self.limits().budget.first_try();
        let started = Instant::now();
        let mut lost = false;
        let mut tries = 1;
        let mut lost_tries = 0;

        loop {
            let patience = self.limits().patience.next(lost_tries);
            let attempt = self.inner.transport.send(call, patience, on_piece).await;
            self.learn_patience(&attempt, call);

            match attempt {
                Attempt::Answered { status, body, .. } => {
                    let earlier = self.earlier(lost, started);
                    return Outcome::Answered { status, body, earlier };
                }
                Attempt::NotDone => {}
                Attempt::Lost { .. } => {
                    lost = true;
                    lost_tries += 1;
                }
            }

            if lost && on_loss == OnLoss::GiveUp {
                return Outcome::Unanswered { lost };
            }

            let Some(pause) = self.next_pause(tries, started, access) else {
                return Outcome::Unanswered { lost };
            };

            self.inner.metrics.retried(name);
            tokio::time::sleep(pause).await;
            tries += 1;
        }
    }

    /// Takes in how long the head of an answer took, or its loss. Questions that wait for changes
    /// say nothing.
    fn learn_patience(&self, attempt: &Attempt, call: &StoreRequest) {
        if !call.wait.is_zero() {
            return;
        }

        match attempt {
            Attempt::Answered { head_after, .. } => self.limits().patience.answered(*head_after),
            Attempt::Lost { waited } => self.limits().patience.lost(*waited),
            Attempt::NotDone => {}
        }
    }

    /// Returns what became of the tries before the one that was just answered.
    ///
    /// A host that was paused meanwhile may find that others have tidied up the rows that
    /// would have told, so that the window is looked at after the answer came.
    fn earlier(&self, lost: bool, started: Instant) -> Earlier {
        match lost {
            false => Earlier::NotDone,
            true if started.elapsed() > self.inner.retry.retry_window => Earlier::LongLost,
            true => Earlier::Lost,
        }
    }

    /// Returns how long to wait before a further try, or none if there is to be none.
    fn next_pause(&self, tries: u32, started: Instant, access: Access) -> Option<Duration> {
        let retry = self.inner.retry;
        let mut limits = self.limits();

        if tries >= retry.max_attempts
            || started.elapsed() > retry.retry_window
            || !limits.budget.take()
            || !limits.share.take(access, Instant::now())
        {
            return None;
        }

        // Jitter keeps the hosts that failed together from coming back together.
        let jitter = limits.rng.random_range(0.5..1.5);

        Some(retry.base_backoff.mul_f64(f64::from(1 << (tries - 1).min(10)) * jitter))
    }

    /// Locks the limits; they are plain numbers, which a panic leaves usable.
    fn limits(&self) -> MutexGuard<'_, Limits> {
        self.inner.limits.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the reply to an answer that makes no sense.
fn senseless(op: &PlatformOp, earlier: Earlier, status: StatusCode) -> PlatformReply {
    tracing::warn!(%status, operation = operations::name(op), "platform: senseless answer");

    // A success that cannot be read may well have taken effect.
    operations::unanswered(op, earlier != Earlier::NotDone || status.is_success())
}

/// Returns the name of a reply in metrics.
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
