//! A running entry host.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use camphorwalk_core::entry::{CallHead, EntrySettings};
use camphorwalk_core::hash::Map;
use camphorwalk_core::ids::HostId;
use camphorwalk_core::time::Instant;
use camphorwalk_policy::entry::budgets::{Budgets, ProgramKey, RunId};
use camphorwalk_policy::entry::crashes::Crashes;
use camphorwalk_policy::entry::isolation::{self, Surroundings};
use camphorwalk_policy::entry::placement::Targets;
use camphorwalk_policy::entry::rates::Rates;
use camphorwalk_policy::entry::recent::RecentMap;
use camphorwalk_policy::entry::routes::RouteTable;
use camphorwalk_policy::entry::shares::{self, GrantHistory, HISTORY_COMPLETE_AFTER};
use camphorwalk_policy::entry::target_table::TargetTable;
use camphorwalk_policy::entry::turns::TurnCache;
use camphorwalk_store::{Client, ClientOptions, RetryOptions, ShareOptions};
use rand::RngCore as _;
use tokio::sync::Mutex;
use tokio::time::{Instant as TokioInstant, sleep, timeout_at};
use tracing::info;

use crate::asks::Asks;
use crate::connections::Connections;
use crate::errors::Result;
use crate::fleet::Fleet;
use crate::manifests::Manifests;
use crate::metrics::Metrics;
use crate::places::Places;
use crate::store::Store;
use crate::stories::Stories;
use crate::{callers, clock, fleet, news, probes, registry, retention, store, watch};

/// The longest that one try of a call to the store may take. Its answers come within some
/// milliseconds, and within a third of a second when it is slow.
const STORE_DEADLINE: Duration = Duration::from_millis(500);

/// The least time of one try: some times the usual time of a transaction.
const STORE_LEAST_DEADLINE: Duration = Duration::from_millis(80);

/// For how long an operation is tried again. A caller's whole program takes a second or two.
const STORE_RETRY_WINDOW: Duration = Duration::from_millis(400);

/// The part of the store's rates that one host may use: no host needs more, and a host in
/// disorder leaves the others the rest.
const STORE_SHARE: f64 = 0.25;

/// The part of the process's memory that turns at hand may take.
const TURN_CACHE_PART: u64 = 6;

/// Of how many lines of turns a host remembers where the last turn was: those of some seconds, in
/// which lines go on.
const LINES_REMEMBERED: usize = 16_384;

/// How long a leaving host stays after the last call, so that the balancer, which asks each
/// second and believes the second answer, has sent its new connections elsewhere.
const BALANCER_DELAY: Duration = Duration::from_millis(2_500);

/// How long the store must have answered all hosts before each writes grants by itself again. In
/// this time the grants that were made without it are written.
const SETTLED: Duration = Duration::from_secs(3);

/// Within how long each host that is heard has told whether it grants tokens without the store: longer
/// than its news count as heard.
const ALL_TOLD: Duration = Duration::from_secs(1);

/// When a caller that cannot be served behind a cut is told to come back. The balancer asks each
/// second and believes the second answer, so it sends new connections elsewhere two seconds
/// after a cut is noticed at the latest; callers come back two or three times within that.
const MOVE_RETRY: Duration = Duration::from_millis(800);

/// How long a leaving host takes calls. The balancer has sent its new connections elsewhere by then,
/// unless less than half of the zone's hosts are left; a call that came later might still be
/// under way when the host ends.
const LAST_CALLS: Duration = Duration::from_millis(3_500);

/// The part of the grace period that this time is at most, so that what was taken can end.
const LAST_CALLS_PART: f64 = 0.45;

/// How long before the end of the grace period a leaving host ends, whatever still runs.
const GRACE_MARGIN: Duration = Duration::from_millis(500);

/// What the parts of a host share.
pub(crate) struct Shared {
    pub(crate) settings: EntrySettings,
    pub(crate) run: RunId,
    began: Instant,
    pub(crate) store: Store,
    pub(crate) asks: Asks,
    pub(crate) routes: RefCell<Option<RouteTable>>,
    /// The text of the manifest in force, for hosts that cannot reach the store.
    pub(crate) manifest_text: RefCell<Box<str>>,
    pub(crate) manifests: Manifests,
    pub(crate) rates: RefCell<Rates>,
    pub(crate) told_all: news::ToldAll,
    /// What is known of the entries under which targets register themselves.
    pub(crate) target_table: RefCell<TargetTable>,
    pub(crate) targets: RefCell<Targets>,
    pub(crate) places: Places,
    pub(crate) connections: Connections,
    pub(crate) budgets: RefCell<Budgets>,
    memory: RefCell<GrantHistory>,
    /// When a host last granted tokens without the store, or held such grants.
    pub(crate) loose_at: Cell<Option<Instant>>,
    /// Taken while a program's budget is asked for.
    pub(crate) budget_locks: RefCell<Map<ProgramKey, Rc<Mutex<()>>>>,
    pub(crate) turns: RefCell<TurnCache>,
    /// The hosts that had the last turn of a line, by the id of the line's prompt part.
    pub(crate) line_hosts: RefCell<RecentMap<u64, HostId>>,
    pub(crate) written: RefCell<retention::Written>,
    pub(crate) crashes: RefCell<Crashes>,
    pub(crate) fleet: Fleet,
    pub(crate) metrics: Metrics,
    pub(crate) stories: Stories,
    /// Since when the host leaves.
    leaving: Cell<Option<Instant>>,
    /// Since when the host is cut off, as far as that was asked.
    isolated_since: Cell<Option<Instant>>,
    /// Requests that were read and are not answered.
    open_requests: Cell<usize>,
}

impl Shared {
    /// Returns whether the host takes new callers.
    pub(crate) fn is_ready(&self) -> bool {
        !self.is_leaving() && self.routes.borrow().is_some() && !self.is_isolated()
    }

    /// Returns whether the host is cut off from all that could keep what it promises.
    pub(crate) fn is_isolated(&self) -> bool {
        // Asked at each answer: whom the host hears matters only if the store does not answer.
        let isolated = !self.store.answers_whole() && isolation::is_isolated(self.surroundings());

        if self.isolated_since.get().is_some() != isolated {
            self.isolated_since.set(isolated.then(clock::now));
            self.metrics.isolated.set(i64::from(isolated));
            info!(isolated, around = ?self.surroundings(), "host: cut off, or no longer");
        }
        isolated
    }

    /// Returns for how long the host has been cut off, if it is.
    pub(crate) fn isolated_for(&self) -> Option<Duration> {
        let is_isolated = self.is_isolated();

        self.isolated_since.get().filter(|_| is_isolated).map(|since| clock::now().since(since))
    }

    /// Returns the host that had the last turn of a call's line, or of its parent's, if that is another
    /// one and is heard.
    pub(crate) fn host_before(&self, head: &CallHead) -> Option<HostId> {
        let line_hosts = self.line_hosts.borrow();
        // A sub-agent continues the line of its parent, whose part comes before its own.
        let host = head.prefix.iter().rev().find_map(|part| line_hosts.get(&part.id))?;

        self.fleet.hears(host).then_some(host)
    }

    /// Returns the version of the manifest in force; 0 for none.
    pub(crate) fn manifest_version(&self) -> u64 {
        self.routes.borrow().as_ref().map_or(0, |table| table.routing().version)
    }

    /// Returns whether the store answers this host or one that it hears.
    pub(crate) fn reaches_store(&self) -> bool {
        self.store.answers() || self.fleet.store_peer().is_some()
    }

    fn surroundings(&self) -> Surroundings {
        Surroundings {
            store_in_reach: self.store.answers_whole() || self.fleet.store_peer().is_some(),
            other_zones: self.fleet.contact_elsewhere(),
            others: self.fleet.contact_anywhere(),
        }
    }

    /// Returns when a call that cannot be decided now is to come back: after `usual`, or if the
    /// host is cut off when the balancer has moved its caller to another zone.
    pub(crate) fn come_back(&self, usual: Duration) -> Duration {
        match self.is_isolated() {
            true => MOVE_RETRY,
            false => usual,
        }
    }

    /// Returns whether callers are to come back on a new connection, which may lead elsewhere.
    pub(crate) fn sends_callers_away(&self) -> bool {
        self.is_leaving() || self.is_isolated()
    }

    /// Returns whether an empty read of the store proves that there was no such turn within the last
    /// `retention`: not if the store was away, or if a former run of this process may have known more.
    pub(crate) fn knows_all_turns(&self, retention: Duration) -> bool {
        let is_old = clock::now().since(self.began) > retention;

        (is_old || self.settings.is_first_start) && self.store.was_there_for(retention)
    }

    /// Returns whether the store has answered all hosts for a while, as far as they told this one. A
    /// process that has just started was told nothing.
    pub(crate) fn is_settled(&self) -> bool {
        self.has_heard_of_trouble() && self.store.was_there_for(SETTLED)
    }

    /// Returns whether the process has run for long enough to have heard of trouble from the others.
    fn has_heard_of_trouble(&self) -> bool {
        self.settings.is_first_start || clock::now().since(self.began) > SETTLED
    }

    /// Returns whether this host grants tokens without the store, or did and the store does not have
    /// all of them yet.
    pub(crate) fn grants_loose(&self) -> bool {
        let is_heard = |run| self.hears_run(run);

        self.store.missed_any(ALL_TOLD)
            || self.budgets.borrow().is_responsible_for_unstored(is_heard)
    }

    /// Returns whether no host has granted tokens without the store for a while, as far as they told
    /// this one.
    fn is_all_stored(&self) -> bool {
        let now = clock::now();
        if self.grants_loose() {
            self.loose_at.set(Some(now));
        }

        self.has_heard_of_trouble() && self.loose_at.get().is_none_or(|at| now.since(at) > ALL_TOLD)
    }

    /// Returns whether a run of a process is this one or is heard.
    pub(crate) fn hears_run(&self, run: RunId) -> bool {
        run == self.run || self.fleet.hears_run(run.0)
    }

    /// Returns whether this host knows of grants without the store to programs that may return.
    pub(crate) fn knows_of_loose(&self) -> bool {
        self.loose_at.get().is_some_and(|at| clock::now().since(at) <= HISTORY_COMPLETE_AFTER)
    }

    /// Returns whether this process knows of all that was granted to programs without the store.
    pub(crate) fn remembers(&self) -> bool {
        let around = self.surroundings_without_itself();

        self.memory.borrow_mut().is_complete(clock::now(), around)
    }

    /// Returns what this host knows of the fleet that decides how much of budgets may be granted.
    pub(crate) fn budget_surroundings(&self) -> shares::FleetView {
        let others = self.surroundings_without_itself();

        others.including_self(self.remembers(), self.knows_of_loose())
    }

    fn surroundings_without_itself(&self) -> shares::FleetView {
        let heard = self.fleet.fresh_news();
        let remembering = heard.iter().filter(|heard| heard.remembers);
        let free_of_loose = remembering.clone().filter(|heard| !heard.knows_of_loose);

        shares::FleetView {
            is_all_stored: self.is_all_stored(),
            known_hosts: self.fleet.size(),
            live_hosts: heard.len() + 1,
            complete_histories: remembering.count(),
            without_unstored_grants: free_of_loose.count(),
        }
    }

    /// Returns whether the host was asked to end.
    pub(crate) fn is_leaving(&self) -> bool {
        self.leaving.get().is_some()
    }

    /// Returns whether a call that comes now might still be under way when the host ends.
    pub(crate) fn takes_no_more(&self) -> bool {
        let longest = LAST_CALLS.min(self.settings.shutdown_grace.mul_f64(LAST_CALLS_PART));

        self.leaving.get().is_some_and(|at| clock::now().since(at) > longest)
    }

    /// Counts a request until the guard is dropped.
    pub(crate) fn open(self: &Rc<Self>) -> OpenRequest {
        self.open_requests.set(self.open_requests.get() + 1);

        OpenRequest(Rc::clone(self))
    }
}

/// A request that was read and is not answered.
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
    /// Returns an error if an address cannot be listened on.
    pub async fn start(settings: EntrySettings) -> Result<Self> {
        let metrics = Metrics::new()?;
        let run = RunId(rand::rng().next_u64());
        let store = Store::new(store_client(&settings, run, &metrics)?);
        let turn_bytes = usize::try_from(settings.memory_bytes / TURN_CACHE_PART).unwrap_or(0);
        info!(
            name = %settings.name, zone = %settings.zone, callers = %settings.callers_address,
            run = format!("{:016x}", run.0), "host: started"
        );

        let shared = Rc::new(Shared {
            began: clock::now(),
            run,
            store,
            asks: Asks::default(),
            routes: RefCell::default(),
            manifest_text: RefCell::default(),
            manifests: Manifests::default(),
            rates: RefCell::default(),
            told_all: news::ToldAll::default(),
            target_table: RefCell::new(TargetTable::new(settings.target_heartbeat)),
            targets: RefCell::new(Targets::new(&settings.zone)),
            places: Places::default(),
            connections: Connections::default(),
            budgets: RefCell::new(Budgets::new(run)),
            loose_at: Cell::new(None),
            memory: RefCell::new(GrantHistory::new(clock::now(), settings.is_first_start)),
            budget_locks: RefCell::default(),
            turns: RefCell::new(TurnCache::new(turn_bytes)),
            line_hosts: RefCell::new(RecentMap::new(LINES_REMEMBERED)),
            written: RefCell::default(),
            crashes: RefCell::default(),
            fleet: Fleet::new(&settings.name, &settings.zone),
            metrics,
            stories: Stories::new(),
            leaving: Cell::new(None),
            isolated_since: Cell::new(None),
            open_requests: Cell::new(0),
            settings,
        });

        let ready = probes::start(&shared).await?;
        let callers = callers::start(&shared).await?;
        watch::start(&shared);
        registry::start(&shared);
        fleet::start(&shared);
        store::start_write_back(&shared);
        retention::start_sweeper(&shared);

        Ok(Self { shared, callers, ready })
    }

    /// Returns where callers reach it.
    pub fn callers_address(&self) -> SocketAddr {
        self.callers
    }

    /// Returns where it is asked whether it is ready.
    pub fn readiness_address(&self) -> SocketAddr {
        self.ready
    }

    /// Takes in that the settings file was read anew. A process keeps its addresses; nothing
    /// else of the settings changes while it runs.
    pub fn on_settings_reloaded(&self, settings: &EntrySettings) {
        let same = *settings == self.shared.settings;
        info!(same, "host: settings read again");
    }

    /// Leaves: says that it is not ready, serves what comes until callers have moved on, and
    /// returns when nothing is open or the grace period is over.
    pub async fn shut_down(&self) {
        let shared = &self.shared;
        shared.leaving.set(Some(clock::now()));
        info!(open = shared.open_requests.get(), "host: leaving");

        let begun = TokioInstant::now();
        let end = begun + shared.settings.shutdown_grace.saturating_sub(GRACE_MARGIN);
        let done = async {
            sleep(BALANCER_DELAY).await;
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
        deadline: STORE_DEADLINE,
        least_deadline: STORE_LEAST_DEADLINE,
        retry: RetryOptions {
            most_tries: 4,
            saved: 50.0,
            ratio: 0.5,
            window: STORE_RETRY_WINDOW,
            ..RetryOptions::default()
        },
        share: ShareOptions {
            reads_per_second: limits.reads_per_second * STORE_SHARE,
            writes_per_second: limits.writes_per_second * STORE_SHARE,
            saved_seconds: 1.0,
        },
        seed: run.0,
        dialect: camphorwalk_adapter::store::dialect(),
        ..ClientOptions::new(settings.store_address, &settings.zone)
    })?;
    store.register(metrics.registry())?;

    Ok(store)
}
