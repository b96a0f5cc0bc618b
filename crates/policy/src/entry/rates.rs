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

mod account;
mod estimates;
mod projection;
mod reports;
mod silent_hosts;
mod unknown_hosts;
mod usage;

use std::time::Duration;

use camphorwalk_core::entry::TenantSpec;
use camphorwalk_core::hash::{Map, Set};
use camphorwalk_core::ids::HostId;
use camphorwalk_core::time::Instant;

use self::account::Account;
use self::estimates::OtherHosts;
use self::reports::{HostReport, TenantReport};
use self::usage::UsageSums;

pub use self::projection::ProjectionState;
pub use self::usage::TenantUse;

/// The level that a host reports while its process has not determined one: no other host adopts it,
/// as only lower levels are adopted.
pub const UNKNOWN_LEVEL: f64 = f64::INFINITY;

/// The shortest delay of a status update: its period plus the latency between two zones.
const MIN_UPDATE_DELAY: Duration = Duration::from_millis(130);

/// How long a call of a running program may wait for tokens. If it were refused, its caller would
/// retry after about as long, with one of its two or three attempts used up, and a program fails as
/// a whole when the caller gives up on one call.
const MAX_WAIT: Duration = Duration::from_millis(200);

/// How long the first call of a new program may wait for tokens: a quarter of [`MAX_WAIT`]. After
/// that it is better to tell the caller to come back later.
const MAX_WAIT_NEW: Duration = Duration::from_millis(50);

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
    /// The projection by which new programs are admitted, if they are.
    pub projection: Option<ProjectionState>,
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
    /// The number of programs that the sender has started since its process started; 0 if it does
    /// not count them.
    pub programs: u64,
    /// The demand at the sender, in calls per second.
    pub demand: f64,
    /// The level of the sender's bucket, or [`UNKNOWN_LEVEL`] if its process has just started.
    pub level: f64,
    /// The share that the sender reserves for silent hosts. A host that started after they went
    /// silent has received no status updates from them, and uses this share.
    pub reserved: ReservedShare,
    /// Whether the sender's level contains only reported calls and no estimates.
    pub is_level_exact: bool,
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
    /// Whether new programs are admitted by the projected demand of running ones.
    projects: bool,
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
    /// Returns rates without tenants. `projects` tells whether new programs are admitted by the
    /// projected demand of running ones, instead of by a fixed reserve for these.
    ///
    /// ```
    /// use std::time::Duration;
    /// use camphorwalk_core::{entry::TenantSpec, time::Instant};
    /// use camphorwalk_policy::entry::rates::{Admission, Rates};
    ///
    /// let mut rates = Rates::with_projection(true);
    /// let tenant = TenantSpec { name: "easel".into(), rate: Some(300.0), burst: 300.0, rank: None };
    /// rates.configure(Instant(0), &[tenant]);
    /// let admission = rates.admit(Instant(0), "easel", true, Duration::ZERO);
    /// assert_eq!(admission, Admission::Admitted);
    /// ```
    pub fn with_projection(projects: bool) -> Self {
        Self { projects, ..Self::default() }
    }

    /// Applies the tenants of a manifest. Existing buckets keep their levels.
    pub fn configure(&mut self, now: Instant, tenants: &[TenantSpec]) {
        let mut accounts = Map::default();

        for tenant in tenants {
            let Some(rate) = tenant.rate else { continue };
            let mut account = self
                .accounts
                .remove(&tenant.name)
                .unwrap_or_else(|| Account::new(now, rate, tenant.burst, self.projects));
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
        let left = self.fraction_of_unknown(|host| !members.contains(&host));
        self.reports.retain(|host, _| members.contains(host));
        for account in self.accounts.values_mut() {
            account.silent.retain(|host| members.contains(&host));
            account.unknown.take(left);
        }
        self.others = others;
        self.sum_reports();
    }

    /// Sets how long it takes on average until a host knows of a call that another host has
    /// admitted.
    pub fn set_update_delay(&mut self, delay: Duration) {
        self.update_delay = delay;
    }

    /// Returns what fraction of the hosts that have not reported their calls are such hosts.
    fn fraction_of_unknown(&self, is_such: impl Fn(HostId) -> bool) -> f64 {
        let has_reported = |host| self.reports.get(host).is_some_and(HostReport::has_baseline);
        let unknown = || self.others.iter().filter(|host| !has_reported(host));
        let such = unknown().filter(|host| is_such(**host)).count();

        such as f64 / unknown().count().max(1) as f64
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
        let is_new = !self.reports.get(&host).is_some_and(HostReport::has_baseline);
        let part_of_unknown = match is_new && all {
            true => self.fraction_of_unknown(|other| other == host),
            false => 0.0,
        };
        let report = self.reports.entry(host).or_default();
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
                (true, _) => account.charge_first_update(now, &status, part_of_unknown),
                (false, true) => admitted - estimated,
                // What the previous run admitted while it was silent will never be reported; its
                // estimate is kept.
                (false, false) => (admitted - estimated).max(0.0),
            };
            account.level -= charged;
            if !is_new {
                let programs = status.programs as f64 - before.status.programs as f64;
                account.count(now, admitted, (status.programs > 0).then_some(programs));
            }

            let excess = (account.level - status.level).max(0.0);
            // A new process adopts the lower level of any host that has determined one.
            if account.is_starting(now) {
                account.is_confirmed |= status.level < UNKNOWN_LEVEL;
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
        if is_new {
            // Tenants missing from the update had no calls at the host.
            let none = TenantStatus { level: UNKNOWN_LEVEL, ..TenantStatus::default() };
            let missing = |name: &str| !report.tenants.contains_key(name);
            for (_, account) in self.accounts.iter_mut().filter(|(name, _)| missing(name)) {
                account.refill(now);
                account.level -= account.charge_first_update(now, &none, part_of_unknown);
            }
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
            let after = account.time_until_level(needed, is_new);
            let max_wait = if is_new { MAX_WAIT_NEW } else { MAX_WAIT };

            return match waited + after <= max_wait {
                true => Admission::Wait(after),
                false => Admission::Refused(after),
            };
        }

        account.level -= 1.0;
        account.admitted += 1;
        account.programs += u64::from(is_new && account.projection.is_some());
        account.count(now, 1.0, Some(f64::from(u8::from(is_new))));
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
            projection: account.project(account.at),
        })
    }

    /// Puts the token of a call that has not run and never will back into the tenant's bucket.
    pub fn refund(&mut self, tenant: &str) {
        if let Some(account) = self.accounts.get_mut(tenant) {
            account.level = (account.level + 1.0).min(account.capacity());
            account.admitted = account.admitted.saturating_sub(1);
            account.count(account.at, -1.0, Some(0.0));
        }
    }

    /// Withdraws a program of which [`Rates::admit`] admitted the first call, and which has not
    /// started or had started before.
    pub fn withdraw_program(&mut self, tenant: &str) {
        if let Some(account) = self.accounts.get_mut(tenant)
            && account.programs > 0
        {
            account.programs -= 1;
            account.count(account.at, 0.0, Some(-1.0));
        }
    }
}
