//! Estimates of the calls admitted by hosts that are not live. A host is not live if it is silent,
//! or has never sent a status update to this process.

use std::time::Duration;

use camphorwalk_core::hash::{Map, Set};
use camphorwalk_core::ids::HostId;
use camphorwalk_core::time::Instant;

use super::ReservedShare;
use super::account::Account;
use super::reports::{HostReport, Liveness, SILENT_SHARE_LIFETIME, TenantReport, liveness};
use super::silent_hosts::SilentHost;

/// The fraction of an even share that each host gets without any demand when shares are estimated.
const DEMAND_FLOOR: f64 = 0.25;

/// The other hosts during one tick, grouped by the age of their last status update.
pub(super) struct OtherHosts {
    now: Instant,
    /// The time since the last tick.
    elapsed: Duration,
    /// The number of hosts, this one included.
    fleet_size: f64,
    live: Vec<HostId>,
    pub(super) silent: Set<HostId>,
    gone: Vec<HostId>,
    /// The time until the share of the host that went silent last expires.
    silent_share_expires_in: Duration,
    /// The number of hosts that have never sent a status update to this process.
    unknown: f64,
}

impl OtherHosts {
    pub(super) fn new(
        now: Instant,
        elapsed: Duration,
        hosts: &[HostId],
        reports: &Map<HostId, HostReport>,
    ) -> Self {
        let fleet_size = (hosts.len() + 1) as f64;
        let mut others = Self {
            now,
            elapsed,
            fleet_size,
            live: Vec::with_capacity(hosts.len()),
            silent: Set::default(),
            gone: Vec::new(),
            silent_share_expires_in: Duration::ZERO,
            unknown: 0.0,
        };

        for host in hosts {
            let report = reports.get(host);
            match liveness(now, report) {
                Liveness::Unknown => others.unknown += 1.0,
                Liveness::Live => others.live.push(*host),
                Liveness::Silent => {
                    others.silent.insert(*host);
                    let expiry = report.map(|r| r.received_at + SILENT_SHARE_LIFETIME);
                    let remaining = expiry.map_or(Duration::ZERO, |expiry| expiry.since(now));
                    others.silent_share_expires_in = others.silent_share_expires_in.max(remaining);
                }
                Liveness::Gone => others.gone.push(*host),
            }
        }
        others
    }

    /// Returns the hosts that sent status updates, and whether their demand counts.
    pub(super) fn counted(&self) -> impl Iterator<Item = (HostId, bool)> {
        let counted = self.live.iter().chain(&self.silent).map(|host| (*host, true));

        counted.chain(self.gone.iter().map(|host| (*host, false)))
    }

    /// Subtracts from a tenant's bucket the calls admitted by hosts that are not live, within their
    /// shares. `silent_changes` is the number of changes of the set of silent hosts.
    pub(super) fn charge_non_live(
        &self,
        tenant: &str,
        account: &mut Account,
        reports: &Map<HostId, HostReport>,
        silent_changes: u64,
    ) {
        account.others_demand = account.reported_demand.max(0.0) + self.unknown * account.demand;
        account.record_sample(self.now);
        account.peers_need_level = self.peers_need_level(tenant, account, reports);
        account.reserved = ReservedShare::default();
        account.non_live_share = 0.0;
        let is_changed = account.silent.update_version(silent_changes);
        if is_changed {
            account.silent.end_except(&self.silent);
        }
        if self.silent.is_empty() && self.unknown <= 0.0 {
            return;
        }

        let newly_silent = match is_changed {
            true => self.newly_silent(tenant, account, reports),
            false => Vec::new(),
        };
        let newly_silent_share: f64 = newly_silent.iter().map(|(_, share)| share).sum();
        let silent = account.silent.share() + newly_silent_share;
        let unknown = self.unknown * self.even_share(account);
        let non_live = silent + unknown;
        account.reserved = self.reserved_share(tenant, silent, account, reports);
        account.non_live_share =
            non_live.max(account.reserved.share).min(self.max_non_live_share());

        // The estimate of each silent host, and that of all unknown ones, is recorded, and corrected
        // when the hosts report their admitted calls.
        let scale = (account.non_live_share / non_live.max(f64::MIN_POSITIVE)).min(1.0);
        let refilled = account.rate * self.elapsed.as_secs_f64();
        let unrecorded = account.non_live_share - silent * scale;
        let mut charged = refilled * unrecorded;
        charged += account.silent.charge_per_share(refilled * scale);
        for (host, share) in newly_silent {
            let Some(report) = reports.get(&host) else { continue };
            let estimated = self.estimate_since_update(account, report, share * scale);
            account.silent.begin_silence(host, SilentHost { share, estimated });
            charged += estimated;
        }
        let before = account.level;
        account.level = (before - charged).max(-account.capacity());
        account.unknown.add((refilled * unknown * scale).min((before - account.level).max(0.0)));
    }

    /// Returns the largest fraction of a rate that may be charged for hosts that are not live. Each
    /// live host, this one included, keeps at least [`DEMAND_FLOOR`] of an even share. Shares that
    /// were determined at different times could otherwise add up to more than the whole rate.
    fn max_non_live_share(&self) -> f64 {
        let live = self.live.len() as f64 + 1.0;

        1.0 - DEMAND_FLOOR * live / self.fleet_size
    }

    /// Returns the minimum demand, in calls per second, that is assumed for each host.
    fn demand_floor(&self, account: &Account) -> f64 {
        DEMAND_FLOOR * account.rate / self.fleet_size
    }

    /// Returns the share of a host that has never sent a status update. It is assumed to have the
    /// same demand as this host, so that hosts that cannot reach each other share evenly.
    fn even_share(&self, account: &Account) -> f64 {
        let total_demand = account.demand + account.others_demand + DEMAND_FLOOR * account.rate;

        (account.demand + self.demand_floor(account)) / total_demand
    }

    fn reports_of<'a>(
        &self,
        tenant: &str,
        reports: &'a Map<HostId, HostReport>,
    ) -> impl Iterator<Item = &'a TenantReport> {
        let live = self.live.iter().filter_map(|host| reports.get(host));

        live.filter_map(move |report| report.tenants.get(tenant))
    }

    /// Returns whether a live host reserves a share for silent ones.
    fn peers_need_level(
        &self,
        tenant: &str,
        account: &Account,
        reports: &Map<HostId, HostReport>,
    ) -> bool {
        account.peers_reserved_until > self.now
            && self.reports_of(tenant, reports).any(|t| t.reserved_until > self.now)
    }

    /// Returns the hosts that have just gone silent, with their shares. A share stays the same until
    /// the host is live again.
    fn newly_silent(
        &self,
        tenant: &str,
        account: &Account,
        reports: &Map<HostId, HostReport>,
    ) -> Vec<(HostId, f64)> {
        let hosts = self.silent.iter().filter(|host| !account.silent.contains(**host));

        hosts
            .filter_map(|host| {
                let report = reports.get(host)?;
                let total_demand =
                    account.sample_at(report.received_at).demand + DEMAND_FLOOR * account.rate;
                let demand = report.tenants.get(tenant).map_or(0.0, |t| t.status.demand);
                Some((*host, (demand + self.demand_floor(account)) / total_demand))
            })
            .collect()
    }

    /// Returns the share reserved for silent hosts, where `silent` is the sum of their shares. For
    /// a host that never sent a status update to this process, other hosts may know how much to
    /// reserve.
    fn reserved_share(
        &self,
        tenant: &str,
        silent: f64,
        account: &Account,
        reports: &Map<HostId, HostReport>,
    ) -> ReservedShare {
        let own = ReservedShare { share: silent, expires_in: self.silent_share_expires_in };
        if self.unknown <= 0.0 || account.peers_reserved_until <= self.now {
            return own;
        }

        let valid_reports =
            self.reports_of(tenant, reports).filter(|t| t.reserved_until > self.now);
        let theirs = valid_reports.map(|t| ReservedShare {
            share: t.status.reserved.share,
            expires_in: t.reserved_until.since(self.now),
        });
        theirs.chain([own]).max_by(|a, b| a.share.total_cmp(&b.share)).unwrap_or(own)
    }

    /// Estimates the calls that a host has admitted since its last status update, assuming that all
    /// hosts that are not live used their shares to the same degree as the live ones. Together the
    /// former had no more than a full bucket and its refill since then. At the least, the host is
    /// assumed to have used its share of the refill.
    fn estimate_since_update(&self, account: &Account, report: &HostReport, share: f64) -> f64 {
        let refilled = account.rate * self.now.since(report.counted_until).as_secs_f64();
        let admitted = account.spent - account.sample_at(report.received_at).spent;
        let proportional = admitted * share / (1.0 - account.non_live_share);
        let upper_bound = (account.capacity() + refilled) * share / account.non_live_share;

        proportional.min(upper_bound).max(refilled * share)
    }
}
