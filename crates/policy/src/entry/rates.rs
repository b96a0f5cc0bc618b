//! Fleet-wide rate limits of tenants. Each host keeps one token bucket per tenant.
//!
//! Several times a second each host sends the others a status update with the number of calls it
//! has admitted for each tenant, and subtracts their calls from its own buckets. All hosts
//! therefore share one level, apart from status updates in transit, and admission never waits for
//! another host, whichever host the load balancer picks.
//!
//! The calls that a silent host admits are estimated: it is assumed to keep using the share of the
//! rate that it had at its last status update. Both sides of a network partition compute the shares
//! from the demand at that moment, which both knew, so the shares add up to the whole rate and no
//! more.

mod estimates;
mod silent_hosts;
mod usage;

use std::collections::VecDeque;
use std::time::Duration;

use camphorwalk_core::entry::TenantSpec;
use camphorwalk_core::hash::{Map, Set};
use camphorwalk_core::ids::HostId;
use camphorwalk_core::time::Instant;

use self::estimates::OtherHosts;
use self::silent_hosts::SilentHosts;
use self::usage::{Usage, UsageSums};

pub use self::usage::TenantUse;

/// How long a silent host is assumed to keep admitting calls within its share. During a network
/// partition it does; if the others took over its share at once, both sides together would exceed
/// the rate. This is about the time after which a host whose row does not change stops counting as
/// part of the fleet.
const SILENT_SHARE_LIFETIME: Duration = Duration::from_secs(15);

/// A host that has sent no status update for this long is silent. In a small fleet status updates
/// arrive every 100 ms.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(700);

/// How long samples of the demand are kept: the time until a host is known to be silent, plus one
/// tick. The share of a silent host is computed from the sample taken at its last status update.
const SAMPLES_KEPT: Duration = Duration::from_secs(1);

/// The shortest delay of a status update: its period plus the latency between two zones.
const MIN_UPDATE_DELAY: Duration = Duration::from_millis(130);

/// The fraction of the burst that a new process starts with, until it receives another host's
/// level. With a full burst, a fleet that restarts could admit the burst twice within one window.
const INITIAL_LEVEL: f64 = 0.3;

/// How long a new process adopts a lower level from any other host. If it did so for longer, one
/// host's estimate that is too low would spread to all hosts and persist.
const STARTUP_PERIOD: Duration = Duration::from_secs(2);

/// The fraction of the burst that new programs may not use. If one call of a running program is
/// refused, the whole program fails and its work is lost; a new program has lost nothing yet.
const RUNNING_PROGRAMS_RESERVE: f64 = 0.35;

/// The time constant of the demand average. A program's calls come in bursts of about a second; an
/// average that followed them would give a silent host the share of its last burst for a whole
/// partition.
const DEMAND_TIME_CONSTANT: Duration = Duration::from_secs(3);

/// How long a call of a running program may wait for tokens. If it were refused, its caller would
/// retry after about as long, with one of its two or three attempts used up, and a program fails as
/// a whole when the caller gives up on one call.
const MAX_WAIT: Duration = Duration::from_millis(200);

/// How long the first call of a new program may wait for tokens: a quarter of [`MAX_WAIT`]. After
/// that it is better to tell the caller to come back later.
const MAX_WAIT_NEW: Duration = Duration::from_millis(50);

/// A tenant's demand is sent again when it has changed by this fraction, and by at least this many
/// calls per second. The other hosts use the demand only for estimates: the reserve for status
/// updates in transit, and the shares of silent hosts.
const DEMAND_CHANGE: f64 = 0.1;
const MIN_DEMAND_CHANGE: f64 = 0.3;

/// The reserved share is sent again when it has changed by this fraction of the rate.
const RESERVED_CHANGE: f64 = 0.01;

/// The decision on a call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Admission {
    /// The call is within its tenant's rate.
    Admitted,
    /// A token will be available after this short time; the call should ask again then.
    Wait(Duration),
    /// The call exceeds the rate; tokens will be available after this time.
    Refused(Duration),
}

/// The values that determine whether a tenant's calls are admitted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateState {
    /// The number of tokens in the bucket.
    pub level: f64,
    /// The tenant's rate, in calls per second.
    pub rate: f64,
    /// The demand at this host, in calls per second.
    pub demand: f64,
    /// The demand at the other hosts, reported or estimated, in calls per second.
    pub others_demand: f64,
    /// The fraction of the rate that is set aside for hosts that are not live.
    pub reserved: f64,
}

/// The fraction of a tenant's rate that a host reserves for hosts that have gone silent.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ReservedShare {
    /// The fraction, from 0 to 1.
    pub share: f64,
    /// The remaining validity, counted from the last status update of the host that went silent
    /// last.
    pub expires_in: Duration,
}

/// A host's status update about one tenant, as sent to the other hosts.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TenantStatus {
    /// The number of calls that the sender has admitted since its process started.
    pub admitted: u64,
    /// The demand at the sender, in calls per second.
    pub demand: f64,
    /// The level of the sender's bucket.
    pub level: f64,
    /// The share that the sender reserves for silent hosts. A host that started after they went
    /// silent has received no status updates from them, and uses this share.
    pub reserved: ReservedShare,
    /// Whether the sender's level contains only reported calls and no estimates.
    pub is_level_exact: bool,
}

/// The known state of a tenant at one point in time.
#[derive(Clone, Copy, Debug)]
struct Sample {
    at: Instant,
    /// The demand at all hosts, in calls per second.
    demand: f64,
    /// The number of calls known to have been admitted, here or elsewhere.
    spent: f64,
}

/// The token bucket of one tenant at this host.
#[derive(Clone, Debug)]
struct Account {
    rate: f64,
    burst: f64,
    /// The tokens in the bucket; negative if other hosts admitted calls before their status updates
    /// arrived.
    level: f64,
    at: Instant,
    /// Until when a lower level of another host replaces this one.
    startup_until: Instant,
    admitted: u64,
    /// The number of calls since the last tick.
    arrived: u32,
    /// The smoothed demand at this host, in calls per second.
    demand: f64,
    /// The demand at the other hosts, in calls per second.
    others_demand: f64,
    /// The sum of the demands that counted hosts reported (see [`HostReport::is_counted`]), in calls
    /// per second.
    reported_demand: f64,
    /// No share that another host reserves for silent hosts is valid at or after this time.
    peers_reserved_until: Instant,
    /// The hosts that are silent, or were when the tenant's calls there were last reported.
    silent: SilentHosts,
    /// The number of calls admitted here, plus those that other hosts reported.
    spent: f64,
    /// The average of these calls per second.
    usage: Usage,
    /// Recent samples, reaching back to the last status update of a host that is only now found
    /// silent.
    samples: VecDeque<Sample>,
    /// The share reserved for silent hosts, as sent to the other hosts.
    reserved: ReservedShare,
    /// The fraction of the rate that is charged for hosts that are not live.
    non_live_share: f64,
    /// Whether a live host charges such a fraction and needs this host's level to correct its
    /// estimate.
    peers_need_level: bool,
    /// The last status update sent to the other hosts.
    last_sent: Option<TenantStatus>,
}

impl Account {
    fn status(&self) -> TenantStatus {
        let Self { admitted, demand, level, reserved, .. } = *self;
        let is_level_exact = self.is_level_exact();

        TenantStatus { admitted, demand, level, reserved, is_level_exact }
    }

    /// Returns whether to send a status update: the values that other hosts use have changed, or
    /// other hosts need this host's level to correct their estimates.
    fn has_update(&self) -> bool {
        let Some(last) = self.last_sent else { return self.admitted > 0 || self.arrived > 0 };
        let demand_change = (last.demand * DEMAND_CHANGE).max(MIN_DEMAND_CHANGE);
        let reserved_change = (self.reserved.share - last.reserved.share).abs();

        (self.peers_need_level && self.is_level_exact())
            || self.admitted != last.admitted
            || (self.demand - last.demand).abs() > demand_change
            || reserved_change > RESERVED_CHANGE
    }
}

/// The status updates received from one other host.
#[derive(Clone, Debug, Default)]
struct HostReport {
    received_at: Instant,
    /// The time up to which the host's admitted calls have been reported or estimated.
    counted_until: Instant,
    /// The run of its process from which a full status update has arrived. Before that, it is not
    /// known which of the calls it reports were already counted.
    baseline_run: Option<u64>,
    /// Whether its demand is part of the accounts' sums: it belongs to the fleet, and is live or
    /// silent.
    is_counted: bool,
    tenants: Map<Box<str>, TenantReport>,
}

impl HostReport {
    fn is_silent(&self, now: Instant) -> bool {
        now.since(self.received_at) > SILENCE_TIMEOUT
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct TenantReport {
    status: TenantStatus,
    /// Until when the share that the host reserves for silent hosts is valid.
    reserved_until: Instant,
}

/// The state of another host, judged by the age of its last status update.
enum Liveness {
    /// It has never sent a status update to this process.
    Unknown,
    Live,
    /// It is assumed to keep admitting calls within its share.
    Silent,
    /// It is assumed to admit no calls any more.
    Gone,
}

fn liveness(now: Instant, report: Option<&HostReport>) -> Liveness {
    match report {
        None => Liveness::Unknown,
        Some(report) if !report.is_silent(now) => Liveness::Live,
        Some(report) if now.since(report.received_at) <= SILENT_SHARE_LIFETIME => Liveness::Silent,
        Some(_) => Liveness::Gone,
    }
}

/// The rate limits of all tenants at this host.
#[derive(Clone, Debug, Default)]
pub struct Rates {
    accounts: Map<Box<str>, Account>,
    reports: Map<HostId, HostReport>,
    /// The other hosts of the fleet, live or not.
    others: Vec<HostId>,
    /// The hosts that were silent at the last tick. The accounts look at each of them only when
    /// `silent_changes` has changed, and otherwise charge for them as a whole.
    silent: Set<HostId>,
    /// The number of changes of `silent`.
    silent_changes: u64,
    /// How long it takes on average until a host knows of a call that another host has admitted.
    update_delay: Duration,
    /// The use and the rates of all tenants, as of the last tick.
    usage: UsageSums,
    ticked: Option<Instant>,
}

/// Whether a status update can be accounted for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Baseline {
    /// It was accounted for.
    Known,
    /// It was not, because no update of all tenants has arrived from this run of the host's process.
    Missing,
}

impl Rates {
    /// Applies the tenants of a manifest. Existing buckets keep their levels.
    pub fn configure(&mut self, now: Instant, tenants: &[TenantSpec]) {
        let mut accounts = Map::default();

        for tenant in tenants {
            let Some(rate) = tenant.rate else { continue };
            let mut account = self.accounts.remove(&tenant.name).unwrap_or_else(|| Account {
                rate,
                burst: tenant.burst,
                level: tenant.burst * INITIAL_LEVEL,
                at: now,
                startup_until: now + STARTUP_PERIOD,
                admitted: 0,
                arrived: 0,
                demand: 0.0,
                others_demand: 0.0,
                reported_demand: 0.0,
                peers_reserved_until: Instant(0),
                silent: SilentHosts::default(),
                spent: 0.0,
                usage: Usage::default(),
                samples: VecDeque::new(),
                reserved: ReservedShare::default(),
                non_live_share: 0.0,
                peers_need_level: false,
                last_sent: None,
            });
            account.refill(now);
            account.rate = rate;
            account.burst = tenant.burst;
            account.level = account.level.min(account.capacity());
            accounts.insert(tenant.name.clone(), account);
        }

        self.accounts = accounts;
        self.sum_reports();
    }

    /// Sets the other hosts of the fleet.
    pub fn set_peers(&mut self, others: Vec<HostId>) {
        let members: Set<HostId> = others.iter().copied().collect();
        self.reports.retain(|host, _| members.contains(host));
        for account in self.accounts.values_mut() {
            account.silent.retain(|host| members.contains(&host));
        }
        self.others = others;
        self.sum_reports();
    }

    /// Sets how long it takes on average until a host knows of a call that another host has
    /// admitted.
    pub fn set_update_delay(&mut self, delay: Duration) {
        self.update_delay = delay;
    }

    /// Computes the sums over the reports of all hosts anew.
    fn sum_reports(&mut self) {
        for account in self.accounts.values_mut() {
            account.reported_demand = 0.0;
            account.peers_reserved_until = Instant(0);
        }
        for report in self.reports.values() {
            for (tenant, report_of_tenant) in &report.tenants {
                let Some(account) = self.accounts.get_mut(tenant) else { continue };
                account.expect_reserved_until(report_of_tenant.reserved_until);
                if report.is_counted {
                    account.reported_demand += report_of_tenant.status.demand;
                }
            }
        }
    }

    /// Determines which hosts are live, silent or unknown, and whose demand counts.
    fn classify_hosts(&mut self, now: Instant, elapsed: Duration) -> OtherHosts {
        let others = OtherHosts::new(now, elapsed, &self.others, &self.reports);

        for (host, is_counted) in others.counted() {
            let Some(report) = self.reports.get_mut(&host) else { continue };
            if std::mem::replace(&mut report.is_counted, is_counted) == is_counted {
                continue;
            }
            let sign = if is_counted { 1.0 } else { -1.0 };
            for (tenant, report_of_tenant) in &report.tenants {
                if let Some(account) = self.accounts.get_mut(tenant) {
                    account.reported_demand += sign * report_of_tenant.status.demand;
                }
            }
        }
        if self.silent != others.silent {
            self.silent.clone_from(&others.silent);
            self.silent_changes += 1;
        }

        others
    }

    /// Applies a status update from the process run `run` of a host. If `all` is set, the update
    /// covers all tenants that had calls at that host, and otherwise those with changes.
    pub fn apply_update(
        &mut self,
        now: Instant,
        host: HostId,
        run: u64,
        all: bool,
        updates: impl IntoIterator<Item = (Box<str>, TenantStatus)>,
    ) -> Baseline {
        let report = self.reports.entry(host).or_default();
        let is_new = report.baseline_run.is_none();
        let same_run = report.baseline_run == Some(run);
        if report.is_silent(now) {
            self.accounts.values_mut().for_each(|account| account.silent.end_silence(host));
            // It may be silent again before the next tick.
            self.silent_changes += 1;
        }
        report.received_at = now;
        report.counted_until = now;

        if !same_run && !all {
            return Baseline::Missing;
        }
        report.baseline_run = Some(run);
        let is_counted = report.is_counted;
        // A new run counts from zero; tenants missing from its full status update have no demand
        // there.
        let mut corrections = Vec::new();
        if !same_run {
            let previous_run = std::mem::take(&mut report.tenants);
            for (tenant, report_of_tenant) in previous_run.iter().filter(|_| is_counted) {
                if let Some(account) = self.accounts.get_mut(tenant) {
                    account.reported_demand -= report_of_tenant.status.demand;
                }
            }
        }

        for (tenant, status) in updates {
            let reserved_until = now + status.reserved.expires_in;
            let new = TenantReport { status, reserved_until };
            let before = report.tenants.insert(tenant.clone(), new).unwrap_or_default();
            let Some(account) = self.accounts.get_mut(&tenant) else { continue };
            account.refill(now);
            account.expect_reserved_until(reserved_until);
            if is_counted {
                account.reported_demand += status.demand - before.status.demand;
            }
            let estimated = account.silent.take_estimate(host);
            let admitted = status.admitted as f64 - before.status.admitted as f64;
            let charged = match (is_new, same_run) {
                // The level already includes what the host admitted before its first status update
                // arrived.
                (true, _) => 0.0,
                (false, true) => admitted - estimated,
                // What the previous run admitted while it was silent will never be reported; its
                // estimate is kept.
                (false, false) => (admitted - estimated).max(0.0),
            };
            account.level -= charged;
            account.spent += if is_new { 0.0 } else { admitted };

            let excess = (account.level - status.level).max(0.0);
            // A new process adopts the lower level of any host.
            if now < account.startup_until {
                account.level -= excess;
            } else if status.is_level_exact && !account.is_level_exact() {
                // A host whose level contains estimates adopts the lower level of one whose level
                // contains none.
                account.level -= excess;
                corrections.push((tenant, excess));
            }
        }
        if !same_run {
            self.accounts.values_mut().for_each(|account| account.silent.remove(host));
        }
        // The silent hosts admitted more than estimated, which the lower level of a host in contact
        // with them has shown.
        for (tenant, excess) in corrections {
            if let Some(account) = self.accounts.get_mut(&tenant) {
                account.silent.add_calls(excess);
            }
        }

        Baseline::Known
    }

    /// Returns the status updates for the other hosts and records them as sent. With `all`, covers
    /// every tenant that had calls here, for hosts that missed status updates; otherwise only
    /// tenants with changes.
    pub fn take_updates(&mut self, all: bool) -> Vec<(Box<str>, TenantStatus)> {
        let mut updates = Vec::new();

        for (name, account) in &mut self.accounts {
            if !(account.has_update() || (all && account.last_sent.is_some())) {
                continue;
            }
            let status = account.status();
            account.last_sent = Some(status);
            updates.push((name.clone(), status));
        }
        updates
    }

    /// Returns the status of every tenant that had calls here, without recording it as sent.
    pub fn all_statuses(&self) -> Vec<(Box<str>, TenantStatus)> {
        let active = self.accounts.iter().filter(|(_, account)| account.last_sent.is_some());

        active.map(|(name, account)| (name.clone(), account.status())).collect()
    }

    /// Updates the demand with the calls since the last tick, and charges the estimated calls of
    /// hosts that are not live. Called several times a second.
    pub fn tick(&mut self, now: Instant) {
        let elapsed = self.ticked.map_or(Duration::ZERO, |t| now.since(t));
        self.ticked = Some(now);

        if elapsed.is_zero() {
            return;
        }

        let others = self.classify_hosts(now, elapsed);
        self.usage = UsageSums::default();
        for (name, account) in &mut self.accounts {
            account.refill(now);
            account.smooth(elapsed);
            self.usage.add(account, elapsed);
            others.charge_non_live(name, account, &self.reports, self.silent_changes);
        }
        for report in self.reports.values_mut().filter(|report| report.is_silent(now)) {
            report.counted_until = now;
        }
    }

    /// Takes a token for a call of a tenant. Tenants without a rate are not limited. `is_new` tells
    /// whether the call starts a program, `waited` how long it has waited so far.
    pub fn admit(
        &mut self,
        now: Instant,
        tenant: &str,
        is_new: bool,
        waited: Duration,
    ) -> Admission {
        let Some(account) = self.accounts.get_mut(tenant) else { return Admission::Admitted };
        account.arrived += u32::from(waited.is_zero());
        account.refill(now);

        let needed = 1.0 + account.headroom(is_new, self.update_delay.max(MIN_UPDATE_DELAY));
        if account.level < needed {
            let after = account.time_until_level(needed);
            let max_wait = if is_new { MAX_WAIT_NEW } else { MAX_WAIT };

            return match waited + after <= max_wait {
                true => Admission::Wait(after),
                false => Admission::Refused(after),
            };
        }

        account.level -= 1.0;
        account.admitted += 1;
        account.spent += 1.0;
        Admission::Admitted
    }

    /// Returns the values that determine whether a tenant's calls are admitted, for logging.
    pub fn explain(&self, tenant: &str) -> Option<RateState> {
        let account = self.accounts.get(tenant)?;

        Some(RateState {
            level: account.level,
            rate: account.rate,
            demand: account.demand,
            others_demand: account.others_demand,
            reserved: account.non_live_share,
        })
    }

    /// Puts the token of a call that has not run and never will back into the tenant's bucket.
    pub fn refund(&mut self, tenant: &str) {
        if let Some(account) = self.accounts.get_mut(tenant) {
            account.level = (account.level + 1.0).min(account.capacity());
            account.admitted = account.admitted.saturating_sub(1);
            account.spent -= 1.0;
        }
    }
}

impl Account {
    /// Records a sample of the current state, for hosts that turn out to have gone silent at this
    /// time.
    fn record_sample(&mut self, now: Instant) {
        let demand = self.demand + self.others_demand;
        self.samples.push_back(Sample { at: now, demand, spent: self.spent });

        while self.samples.get(1).is_some_and(|second| now.since(second.at) > SAMPLES_KEPT) {
            self.samples.pop_front();
        }
    }

    /// Returns the first sample taken at or after a time, or the current state if there is none.
    fn sample_at(&self, at: Instant) -> Sample {
        let now =
            Sample { at: self.at, demand: self.demand + self.others_demand, spent: self.spent };

        self.samples.iter().find(|sample| sample.at >= at).copied().unwrap_or(now)
    }

    /// Records until when another host reserves a share for silent hosts.
    fn expect_reserved_until(&mut self, until: Instant) {
        self.peers_reserved_until = self.peers_reserved_until.max(until);
    }

    /// Returns whether the level contains only reported calls and no estimates.
    fn is_level_exact(&self) -> bool {
        self.non_live_share <= 0.0
    }

    /// Returns the capacity of the bucket.
    fn capacity(&self) -> f64 {
        self.burst.max(1.0)
    }

    fn refill(&mut self, now: Instant) {
        let elapsed = now.since(self.at).as_secs_f64();

        self.level = (self.level + elapsed * self.rate).min(self.capacity());
        self.at = self.at.max(now);
    }

    fn smooth(&mut self, elapsed: Duration) {
        let current = f64::from(std::mem::take(&mut self.arrived)) / elapsed.as_secs_f64();
        let weight = 1.0 - (-elapsed.as_secs_f64() / DEMAND_TIME_CONSTANT.as_secs_f64()).exp();

        self.demand += (current - self.demand) * weight;
    }

    /// Returns the number of tokens that must remain after a call is admitted.
    ///
    /// Other hosts may have admitted calls whose status updates are still in transit. Without this
    /// reserve, a tenant that sends many times its rate would exceed it, each time the bucket runs
    /// empty, by the calls that arrive within the delay of the updates. The demand counts for at most twice
    /// the rate, since the other hosts refuse what exceeds that.
    fn headroom(&self, is_new: bool, update_delay: Duration) -> f64 {
        let others = self.others_demand.min(2.0 * self.rate);
        let in_transit = (others * update_delay.as_secs_f64()).min(self.capacity() / 4.0);

        if is_new { in_transit.max(self.capacity() * RUNNING_PROGRAMS_RESERVE) } else { in_transit }
    }

    fn time_until_level(&self, needed: f64) -> Duration {
        let seconds = (needed - self.level) / self.rate.max(1e-3);

        Duration::from_secs_f64(seconds.clamp(0.01, 60.0))
    }
}
