//! A running entry host: its shared state, startup and shutdown.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use camphorwalk_core::entry::{CallHead, EntrySettings};
use camphorwalk_core::hash::Map;
use camphorwalk_core::ids::HostId;
use camphorwalk_core::messages::entry::ForwardedStatus;
use camphorwalk_core::time::Instant;
use camphorwalk_policy::entry::admission::StartAdmission;
use camphorwalk_policy::entry::budgets::{Budgets, ProgramKey, RunId};
use camphorwalk_policy::entry::crashes::Crashes;
use camphorwalk_policy::entry::evacuations::Evacuations;
use camphorwalk_policy::entry::grant_leases::{GrantLeases, Holder};
use camphorwalk_policy::entry::isolation::{self, Surroundings};
use camphorwalk_policy::entry::placement::Targets;
use camphorwalk_policy::entry::rates::Rates;
use camphorwalk_policy::entry::recent::RecentMap;
use camphorwalk_policy::entry::retention::Retention;
use camphorwalk_policy::entry::routes::RouteTable;
use camphorwalk_policy::entry::shutdown::{self, GRACE_MARGIN};
use camphorwalk_policy::entry::status_exchange::StatusExchange;
use camphorwalk_policy::entry::stream_origins::StreamOrigins;
use camphorwalk_policy::entry::target_table::TargetTable;
use camphorwalk_policy::entry::turns::TurnCache;
use camphorwalk_store::{Client, ClientOptions, QuotaOptions, RetryOptions};
use rand::RngCore as _;
use tokio::sync::Mutex;
use tokio::time::{Instant as TokioInstant, sleep, timeout_at};
use tracing::info;

use crate::connections::Connections;
use crate::crash_watch::CrashChecks;
use crate::errors::Result;
use crate::fleet::Fleet;
use crate::held_bytes::Account;
use crate::log_sampler::LogSampler;
use crate::manifests::Manifests;
use crate::metrics::Metrics;
use crate::places::Places;
use crate::queries::PendingQueries;
use crate::store::Store;
use crate::{
    callers, clock, fleet, grant_leases, preferred, probes, registry, retention, status_updates,
    store, target_paces, watch,
};

/// The longest time-out of one attempt of a store operation. The store answers within some
/// milliseconds, and within a third of a second when it is slow.
const STORE_MAX_TIMEOUT: Duration = Duration::from_millis(500);

/// The shortest time-out of one attempt of a store operation: several times the usual duration of a
/// transaction.
const STORE_MIN_TIMEOUT: Duration = Duration::from_millis(80);

/// How long after its start a store operation is still retried. A program takes only a second or
/// two in all, so longer retries would delay it more than a refusal.
const STORE_RETRY_WINDOW: Duration = Duration::from_millis(400);

/// The fraction of the store's rate limits that this host may use. No host needs more, and a
/// malfunctioning host leaves the rest to the others.
const STORE_SHARE: f64 = 0.25;

/// The cache of turns may use the process's memory divided by this number.
const TURN_CACHE_PART: u64 = 6;

/// For at least how many conversations a host remembers which other host last forwarded a turn.
/// This covers some seconds, within which a conversation usually continues.
const CONVERSATION_HOSTS_KEPT: usize = 16_384;

/// The minimum time for which a host keeps serving after its shutdown began. The load balancer
/// checks readiness every second and acts on the second failed check, so by then it sends new
/// connections elsewhere.
const BALANCER_DELAY: Duration = Duration::from_millis(2_500);

/// How long the store must have been neither slow nor unavailable for any host before each host
/// writes grants by itself again. Within this time the hosts write the unstored grants back.
const SETTLE_TIME: Duration = Duration::from_secs(3);

/// Retry-After of a caller that an isolated host cannot serve. The load balancer checks readiness
/// every second and acts on the second failed check, so it moves new connections at most two
/// seconds after the host notices that it is isolated. Callers retry two or three times within that
/// time.
const MOVE_RETRY_AFTER: Duration = Duration::from_millis(800);

/// How long a host that shuts down may take to release its leases.
const MAX_RELEASE_TIME: Duration = Duration::from_secs(1);

/// The state that all parts of a host share.
pub(crate) struct Shared {
    pub(crate) settings: EntrySettings,
    pub(crate) run: RunId,
    started_at: Instant,
    /// The same by the time of day, in milliseconds since the Unix epoch.
    pub(crate) started_ms: u64,
    pub(crate) store: Store,
    pub(crate) pending_queries: PendingQueries,
    pub(crate) routes: RefCell<Option<RouteTable>>,
    /// The text of the manifest in force, which is sent to hosts that cannot get it from the store.
    pub(crate) manifest_text: RefCell<Box<str>>,
    pub(crate) manifests: Manifests,
    pub(crate) rates: RefCell<Rates>,
    pub(crate) full_demand_receivers: status_updates::FullDemandReceivers,
    pub(crate) status_exchange: RefCell<StatusExchange<ForwardedStatus>>,
    /// The entries under which targets have registered themselves.
    pub(crate) target_table: RefCell<TargetTable>,
    pub(crate) targets: RefCell<Targets>,
    pub(crate) published_paces: target_paces::Published,
    /// The evacuated zones.
    pub(crate) evacuations: RefCell<Evacuations>,
    pub(crate) places: Places,
    /// What the admission of new programs depends on; used only with `Features::fair_admission`.
    pub(crate) admission: RefCell<StartAdmission>,
    pub(crate) connections: Connections,
    /// The bytes held for slow readers, if they have a bound.
    pub(crate) held_bytes: Option<Account>,
    pub(crate) budgets: RefCell<Budgets>,
    pub(crate) grant_leases: RefCell<GrantLeases>,
    /// The lock of each program, which is held while tokens of its budget are requested.
    pub(crate) budget_locks: RefCell<Map<ProgramKey, Rc<Mutex<()>>>>,
    pub(crate) turns: RefCell<TurnCache>,
    /// The other host that last reported a turn of a conversation, by the id of the conversation's
    /// prompt part.
    pub(crate) conversation_hosts: RefCell<RecentMap<u64, HostId>>,
    pub(crate) stream_origins: RefCell<StreamOrigins>,
    pub(crate) retention: RefCell<Retention>,
    pub(crate) written_turns: RefCell<retention::WrittenTurns>,
    pub(crate) crashes: RefCell<Crashes>,
    pub(crate) crash_checks: CrashChecks,
    pub(crate) fleet: Fleet,
    pub(crate) neighbours: preferred::Neighbours,
    pub(crate) metrics: Metrics,
    pub(crate) log_sampler: LogSampler,
    /// When the shutdown began.
    shutdown_began: Cell<Option<Instant>>,
    /// When a check first found that the host is isolated; `None` if it was not at the last check.
    isolated_since: Cell<Option<Instant>>,
    /// The number of requests that were received and are not answered yet.
    open_requests: Cell<usize>,
}

impl Shared {
    /// Returns whether the host accepts new callers.
    pub(crate) fn is_ready(&self) -> bool {
        !self.is_shutting_down() && self.routes.borrow().is_some() && !self.is_isolated()
    }

    /// Returns whether the host is isolated: it reaches the store neither directly nor through
    /// another host, and no host of another zone is live. In a fleet with a single zone, no other
    /// host at all is live.
    pub(crate) fn is_isolated(&self) -> bool {
        // This runs for each answer, so the live hosts are only looked at if the store or a part of
        // it does not answer.
        let isolated =
            !self.store.is_fully_available() && isolation::is_isolated(self.reachability());

        if self.isolated_since.get().is_some() != isolated {
            self.isolated_since.set(isolated.then(clock::now));
            self.metrics.isolated.set(i64::from(isolated));
            info!(isolated, around = ?self.reachability(), "host: cut off, or no longer");
        }
        isolated
    }

    /// Returns for how long the host has been isolated, if it is.
    pub(crate) fn isolated_for(&self) -> Option<Duration> {
        let is_isolated = self.is_isolated();

        self.isolated_since.get().filter(|_| is_isolated).map(|since| clock::now().since(since))
    }

    /// Returns the other host that last reported a turn of a call's conversation, or of its
    /// parent's, if that host is live.
    pub(crate) fn last_host_of_conversation(&self, head: &CallHead) -> Option<HostId> {
        let conversation_hosts = self.conversation_hosts.borrow();
        // A sub-agent continues the conversation of its parent, whose prompt part precedes its own.
        let host = head.prefix.iter().rev().find_map(|part| conversation_hosts.get(&part.id))?;

        self.fleet.is_live(host).then_some(host)
    }

    /// Returns the version of the manifest in force; 0 for none.
    pub(crate) fn manifest_version(&self) -> u64 {
        self.routes.borrow().as_ref().map_or(0, |table| table.routing().version)
    }

    /// Returns whether the store answers this host or a live peer.
    pub(crate) fn reaches_store(&self) -> bool {
        self.store.is_available() || self.fleet.live_peer_with_store().is_some()
    }

    /// Returns what this host can reach: the store, other zones, and other hosts.
    fn reachability(&self) -> Surroundings {
        Surroundings {
            store_in_reach: self.store.is_fully_available()
                || self.fleet.live_peer_with_store().is_some(),
            other_zones: self.fleet.contact_elsewhere(),
            others: self.fleet.contact_anywhere(),
        }
    }

    /// Returns the Retry-After of a call that cannot be served now: [`MOVE_RETRY_AFTER`] if the
    /// host is isolated, so that the caller retries until the load balancer has moved it to another
    /// zone, and `usual` otherwise.
    pub(crate) fn retry_after_unless_isolated(&self, usual: Duration) -> Duration {
        match self.is_isolated() {
            true => MOVE_RETRY_AFTER,
            false => usual,
        }
    }

    /// Returns whether callers must reconnect after their answer, so that the load balancer can
    /// assign them to another host.
    pub(crate) fn closes_connections(&self) -> bool {
        self.is_shutting_down() || self.is_isolated()
    }

    /// Returns whether an empty read of the store proves that there was no such turn within the
    /// last `retention`. It does not if the store was slow or unavailable for any host in that
    /// time. Nor does it if the process has run for less than that, since an earlier run may have
    /// known of the turn, except at the first start of a deployment.
    pub(crate) fn can_prove_turn_absent(&self, retention: Duration) -> bool {
        let is_old = clock::now().since(self.started_at) > retention;

        (is_old || self.settings.is_first_start) && self.store.was_available_for(retention)
    }

    /// Returns whether the store is settled: for a while it was neither slow nor unavailable for
    /// any host, as far as status updates show. This is false for a process that has just
    /// started and received none, except at the first start of a deployment.
    pub(crate) fn is_settled(&self) -> bool {
        self.had_time_for_reports() && self.store.was_available_for(SETTLE_TIME)
    }

    /// Returns whether the process has run for long enough to have received reports of trouble from
    /// the other hosts. At the first start of a deployment there is no earlier trouble to report.
    fn had_time_for_reports(&self) -> bool {
        self.settings.is_first_start || clock::now().since(self.started_at) > SETTLE_TIME
    }

    /// Returns whether a run is that of this process, or of a live host.
    pub(crate) fn is_run_live(&self, run: RunId) -> bool {
        run == self.run || self.fleet.is_run_live(run.0)
    }

    /// Returns whether the shutdown has begun.
    pub(crate) fn is_shutting_down(&self) -> bool {
        self.shutdown_began.get().is_some()
    }

    /// Returns whether the shutdown began so long ago that a call that arrives now might still be
    /// running when the process ends.
    pub(crate) fn refuses_new_calls(&self) -> bool {
        let grace = self.settings.shutdown_grace;

        self.leaving_for().is_some_and(|leaving_for| !shutdown::accepts_calls(leaving_for, grace))
    }

    /// Returns whether a call with this deadline might still be running when the process ends.
    pub(crate) fn refuses_call_until(&self, deadline: Instant) -> bool {
        let (grace, left) = (self.settings.shutdown_grace, clock::until(deadline));

        self.leaving_for()
            .is_some_and(|leaving_for| !shutdown::accepts_call(leaving_for, grace, left))
    }

    /// Returns how long ago the shutdown began.
    fn leaving_for(&self) -> Option<Duration> {
        self.shutdown_began.get().map(|began| clock::now().since(began))
    }

    /// Counts a request as open until the guard is dropped.
    pub(crate) fn track_request(self: &Rc<Self>) -> OpenRequest {
        self.open_requests.set(self.open_requests.get() + 1);

        OpenRequest(Rc::clone(self))
    }
}

/// Counts a request as open until dropped: it was received and is not answered yet.
pub(crate) struct OpenRequest(Rc<Shared>);

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.0.open_requests.set(self.0.open_requests.get() - 1);
    }
}

/// A running entry host.
pub struct Host {
    shared: Rc<Shared>,
    callers: SocketAddr,
    ready: SocketAddr,
}

impl Host {
    /// Starts a host. Must be called within a `LocalSet` of tokio's current-thread runtime.
    ///
    /// # Errors
    ///
    /// Returns an error if the host cannot listen on an address, or if the client of the store or
    /// the metrics cannot be set up.
    pub async fn start(settings: EntrySettings) -> Result<Self> {
        let metrics = Metrics::new()?;
        let run = RunId(rand::rng().next_u64());
        let store = Store::new(store_client(&settings, run, &metrics)?);
        let held_bytes = Account::from_settings(&settings, &metrics);
        let turn_bytes = held_bytes
            .as_ref()
            .map_or(settings.memory_bytes / TURN_CACHE_PART, Account::turn_cache_bytes);
        let turn_bytes = usize::try_from(turn_bytes).unwrap_or(0);
        info!(
            name = %settings.name, zone = %settings.zone, callers = %settings.callers_address,
            run = format!("{:016x}", run.0), "host: started"
        );

        let shared = Rc::new(Shared {
            started_at: clock::now(),
            started_ms: clock::unix_ms(),
            run,
            store,
            pending_queries: PendingQueries::default(),
            routes: RefCell::default(),
            manifest_text: RefCell::default(),
            manifests: Manifests::default(),
            rates: RefCell::new(Rates::with_projection(settings.features.rate_projection)),
            full_demand_receivers: status_updates::FullDemandReceivers::default(),
            status_exchange: RefCell::new(StatusExchange::new(
                HostId::from_name(&settings.name),
                settings.processor_millis,
                clock::now(),
            )),
            target_table: RefCell::new(TargetTable::new(settings.target_heartbeat)),
            targets: RefCell::new(Targets::new(&settings.zone, HostId::from_name(&settings.name))),
            published_paces: target_paces::Published::default(),
            evacuations: RefCell::default(),
            places: Places::default(),
            admission: RefCell::default(),
            connections: Connections::default(),
            held_bytes,
            budgets: RefCell::new(Budgets::new(run)),
            grant_leases: RefCell::new(GrantLeases::new(
                Holder { host: settings.name.clone(), run },
                settings.is_first_start,
            )),
            budget_locks: RefCell::default(),
            turns: RefCell::new(TurnCache::new(turn_bytes)),
            conversation_hosts: RefCell::new(RecentMap::new(CONVERSATION_HOSTS_KEPT)),
            stream_origins: RefCell::default(),
            retention: RefCell::default(),
            written_turns: RefCell::default(),
            crashes: RefCell::default(),
            crash_checks: CrashChecks::default(),
            fleet: Fleet::new(&settings.name, &settings.zone),
            neighbours: preferred::Neighbours::default(),
            metrics,
            log_sampler: LogSampler::new(),
            shutdown_began: Cell::new(None),
            isolated_since: Cell::new(None),
            open_requests: Cell::new(0),
            settings,
        });

        preferred::configure(&shared);
        let ready = probes::start(&shared).await?;
        let callers = callers::start(&shared).await?;
        watch::start(&shared);
        registry::start(&shared);
        fleet::start(&shared);
        store::start_write_back(&shared);
        retention::start_sweeper(&shared);
        grant_leases::start(&shared);

        Ok(Self { shared, callers, ready })
    }

    /// Returns the address that callers connect to.
    pub fn callers_address(&self) -> SocketAddr {
        self.callers
    }

    /// Returns the address of the readiness endpoint.
    pub fn readiness_address(&self) -> SocketAddr {
        self.ready
    }

    /// Logs that the settings file was read again. The settings of a running process, its addresses
    /// included, do not change.
    pub fn on_settings_reloaded(&self, settings: &EntrySettings) {
        let same = *settings == self.shared.settings;
        info!(same, "host: settings file read again");
    }

    /// Shuts down gracefully: reports not ready, serves calls until callers have moved to other
    /// hosts, and returns when no request is open or the grace period is nearly over.
    pub async fn shut_down(&self) {
        let shared = &self.shared;
        shared.shutdown_began.set(Some(clock::now()));
        info!(open = shared.open_requests.get(), "host: leaving");

        let begun = TokioInstant::now();
        let end = begun + shared.settings.shutdown_grace.saturating_sub(GRACE_MARGIN);
        let done = async {
            sleep(BALANCER_DELAY).await;
            // Calls that arrive meanwhile are still served.
            grant_leases::release(shared, MAX_RELEASE_TIME).await;
            while shared.open_requests.get() > 0 {
                sleep(Duration::from_millis(20)).await;
            }
        };
        let finished = timeout_at(end, done).await.is_ok();
        info!(finished, open = shared.open_requests.get(), "host: left");
    }
}

fn store_client(settings: &EntrySettings, run: RunId, metrics: &Metrics) -> Result<Client> {
    let limits = settings.store_limits;
    let store = Client::new(ClientOptions {
        deadline: STORE_MAX_TIMEOUT,
        min_deadline: STORE_MIN_TIMEOUT,
        retry: RetryOptions {
            max_attempts: 4,
            max_saved: 50.0,
            ratio: 0.5,
            retry_window: STORE_RETRY_WINDOW,
            ..RetryOptions::default()
        },
        quota: QuotaOptions {
            reads_per_second: limits.reads_per_second * STORE_SHARE,
            writes_per_second: limits.writes_per_second * STORE_SHARE,
            burst_seconds: 1.0,
        },
        seed: run.0,
        protocol: camphorwalk_adapter::store::protocol(),
        ..ClientOptions::new(settings.store_address, &settings.zone)
    })?;
    store.register(metrics.registry())?;

    Ok(store)
}
