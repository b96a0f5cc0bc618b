//! The operators' manifest: routes, services, tenants and limits.

use std::time::Duration;

use super::super::hash::Map;

/// Whether a call may be sent again when its answer did not arrive.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryPolicy {
    /// The call may run any number of times.
    Idempotent,
    /// The call runs at most once for each request of a caller.
    AtMostOnce,
    /// The answer is a stream of events. A broken stream continues at another target after its
    /// last event if `resumable` is set; otherwise the call runs at most once.
    Stream {
        /// Whether another target can continue the stream.
        resumable: bool,
    },
}

impl RetryPolicy {
    /// Returns whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }

    /// Returns whether the answer is a stream that another target can continue.
    pub fn is_resumable(self) -> bool {
        self == Self::Stream { resumable: true }
    }
}

/// A service that a route sends calls to, with its share of the traffic.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WeightedService {
    /// Name of the service.
    pub service: Box<str>,
    /// Its share of the route's calls, relative to the weights of the other services.
    pub weight: u32,
}

/// A route: the calls with one host name and path prefix, and how they are handled.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name for logs and metrics.
    pub name: Box<str>,
    /// The host name that calls must be addressed to.
    pub hostname: Box<str>,
    /// The path prefix that calls must have.
    pub prefix: Box<str>,
    /// The services that take its calls, by weight.
    pub services: Box<[WeightedService]>,
    /// Whether calls may be sent again after a lost answer.
    pub retry_policy: RetryPolicy,
    /// Maximum number of targets that may run one call; those that refuse it do not count.
    pub max_targets: u32,
    /// Maximum duration of a call, unless its caller sets a shorter deadline.
    pub timeout: Option<Duration>,
    /// Latency objective for the answer, or for the first event of a stream.
    pub latency_objective: Duration,
    /// Priority of its calls; rank 0 is served first.
    pub rank: u32,
    /// Whether calls need no API key.
    pub public: bool,
    /// Whether calls with the same affinity key should go to the same target, which is then
    /// faster.
    pub sticky: bool,
    /// Whether the route is stateful: its turns are stored, and each turn carries only its new input.
    pub stores_turns: bool,
    /// How long after the end of a turn its program may return, and the turn can be continued if it
    /// is stored.
    pub retention: Option<Duration>,
}

/// Capacity of one engine of a service that generates tokens.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineSpec {
    /// Number of generations that run concurrently.
    pub slots: u32,
    /// Number of tokens that fit into the engine's KV cache. Entry hosts do not use it.
    pub memory_tokens: u64,
    /// Number of generated tokens that one event of a stream counts for.
    pub tokens_per_event: u32,
}

/// How a service's targets have to be treated while they are cold.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdSpec {
    /// The calls per second, over all hosts, that a cold target takes.
    pub rate: f64,
    /// How long a target is cold after its start.
    pub duration: Duration,
}

/// A service: a set of interchangeable targets.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceSpec {
    /// Its name, which routes and target entries refer to.
    pub name: Box<str>,
    /// Upper limit of the connections of one target, over all hosts. Entry hosts do not apply it.
    pub max_connections: Option<u32>,
    /// Capacity of an engine, if the service generates tokens.
    pub engine: Option<EngineSpec>,
    /// Set if the service's targets take only a limited rate of calls while they are cold.
    pub cold: Option<ColdSpec>,
}

/// A tenant and its rate limit.
#[derive(Clone, Debug, PartialEq)]
pub struct TenantSpec {
    /// Its name, which targets receive with each call.
    pub name: Box<str>,
    /// Rate limit in calls per second over all hosts; `None` for no limit.
    pub rate: Option<f64>,
    /// Size of its token bucket: how many calls may come at once.
    pub burst: f64,
    /// Priority of its calls, meant to take precedence over the rank of the route. Entry hosts do
    /// not apply it yet.
    pub rank: Option<u32>,
}

/// Limits on the size and duration of requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallLimits {
    /// Maximum size of a request's headers, in bytes.
    pub head_bytes: usize,
    /// Maximum size of a request's body, in bytes.
    pub body_bytes: usize,
    /// Time within which the headers of a request must arrive.
    pub head_timeout: Duration,
    /// Time after which an idle connection is closed.
    pub idle_timeout: Duration,
}

/// A parsed manifest.
#[derive(Clone, Debug, PartialEq)]
pub struct Routing {
    /// Version number; a host adopts only a manifest with a higher one than its own.
    pub version: u64,
    /// The routes, in the order of the manifest.
    pub routes: Vec<Route>,
    /// The services, by name.
    pub services: Map<Box<str>, ServiceSpec>,
    /// The tenants; `keys` refers to them by index.
    pub tenants: Vec<TenantSpec>,
    /// For each API key, the index in `tenants` of its owner.
    pub keys: Map<Box<str>, usize>,
    /// Limits on callers' requests.
    pub limits: CallLimits,
}
