//! The operators' manifest: which calls go to which services, for whom and how often.

use std::time::Duration;

use super::super::hash::Map;

/// What may be done with a call whose answer did not come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryPolicy {
    /// It may run any number of times.
    Idempotent,
    /// It runs at most once for each request of a caller.
    AtMostOnce,
    /// A stream of events. It may go on at another target from its last event if `resumable`,
    /// and else runs at most once.
    Stream {
        /// Whether it may go on elsewhere.
        resumable: bool,
    },
}

impl RetryPolicy {
    /// Returns whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// A service's part of a route's calls.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WeightedService {
    /// The service.
    pub service: Box<str>,
    /// Its weight among the route's services.
    pub weight: u32,
}

/// How a route keeps what its turns said.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TurnRetention {
    /// How long a turn can be continued after its end.
    pub retention: Duration,
}

/// A route.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Its name.
    pub name: Box<str>,
    /// The host name of its calls.
    pub hostname: Box<str>,
    /// What the path of its calls begins with.
    pub prefix: Box<str>,
    /// Where its calls go.
    pub services: Box<[WeightedService]>,
    /// What may be repeated.
    pub retry_policy: RetryPolicy,
    /// The most targets that one call may be sent to.
    pub max_targets: u32,
    /// The longest time that a call may be kept waiting.
    pub timeout: Option<Duration>,
    /// The time in which an answer is worth most; of a stream, its first event.
    pub latency_objective: Duration,
    /// Its rank: 0 goes first.
    pub rank: u32,
    /// Whether callers need no key.
    pub public: bool,
    /// Whether a target that has handled the same object or prompt is faster.
    pub sticky: bool,
    /// Whether turns carry only their new input, and how long they are kept.
    pub turn_retention: Option<TurnRetention>,
}

/// What an engine can hold, for a service that generates tokens.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineSpec {
    /// The generations that run together.
    pub slots: u32,
    /// The tokens that its memory holds.
    pub memory_tokens: u64,
    /// The tokens that each event of a stream stands for.
    pub tokens_per_event: u32,
}

/// A service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceSpec {
    /// Its name.
    pub name: Box<str>,
    /// The connections that one of its targets takes from all hosts together.
    pub max_connections: Option<u32>,
    /// Its engines, if it generates tokens.
    pub engine: Option<EngineSpec>,
}

/// A tenant.
#[derive(Clone, Debug, PartialEq)]
pub struct TenantSpec {
    /// Its name.
    pub name: Box<str>,
    /// Calls a second over all hosts; `None` for no limit.
    pub rate: Option<f64>,
    /// Calls at once on top of the rate.
    pub burst: f64,
    /// Its rank, which goes before that of the route.
    pub rank: Option<u32>,
}

/// What a caller may send and how long it may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallLimits {
    /// The most bytes of a request's head.
    pub head_bytes: usize,
    /// The most bytes of a request's body.
    pub body_bytes: usize,
    /// How long a head may take.
    pub head_timeout: Duration,
    /// How long a connection may stay unused.
    pub idle_timeout: Duration,
}

/// The manifest in full.
#[derive(Clone, Debug, PartialEq)]
pub struct Routing {
    /// Its version; a host adopts only higher ones.
    pub version: u64,
    /// The routes.
    pub routes: Vec<Route>,
    /// The services by name.
    pub services: Map<Box<str>, ServiceSpec>,
    /// The tenants.
    pub tenants: Vec<TenantSpec>,
    /// The index in `tenants` of the holder of each key.
    pub keys: Map<Box<str>, usize>,
    /// What callers may send.
    pub limits: CallLimits,
}
