//! The slices of the columns that this host owns, and their loans.
//!
//! A slice has one user at a time: this host, or the borrower it is lent to. Each request of a
//! borrower shows exactly which loans the borrower holds. A borrower applies a grant only if the
//! grant answers its latest request. If a request does not acknowledge a grant, the borrower has
//! therefore not applied the loans in that grant, and never will.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use camphorwalk_core::config::Config;
use camphorwalk_core::ids::{HostId, TenantId};
use camphorwalk_core::messages::slices::{
    Loan, LoanAdoption, LoanChange, LoanClaim, LoanGrant, LoanOffer, LoanRequest, LoanReturn,
};
use camphorwalk_core::time::Instant;

use super::admission_hosts::AdmissionHosts;
use super::bucket::{Bucket, Share};
use super::slice::{BorrowerRun, OwnedColumn, Slice, SliceHolder};
use super::{ColumnId, SliceTimes, split};

/// The loans to one borrower.
#[derive(Debug, Default)]
struct BorrowerAccount {
    /// The number of the latest request that was answered.
    last_request: u64,
    /// When all loans expire unless they are renewed.
    expires_at: Instant,
    /// The lent slices by loan number.
    loans: BTreeMap<u64, (TenantId, ColumnId)>,
}

/// The slices of all owned columns.
#[derive(Debug)]
pub(super) struct Lender {
    session: u64,
    times: SliceTimes,
    columns: BTreeMap<ColumnId, OwnedColumn>,
    /// Columns that this process owns or has owned.
    previously_owned: BTreeSet<ColumnId>,
    slices: BTreeMap<(TenantId, ColumnId), Slice>,
    accounts: BTreeMap<BorrowerRun, BorrowerAccount>,
    /// The earliest time of the next offer to each host that was sent one recently.
    next_offer_to: BTreeMap<HostId, Instant>,
    /// When [`Lender::due_offers`] next examines all slices.
    next_offers_at: Instant,
    /// The last number given to a grant, loan or ownership.
    last_number: u64,
}

impl Lender {
    pub(super) fn new(session: u64, times: SliceTimes) -> Self {
        Self {
            session,
            times,
            columns: BTreeMap::new(),
            previously_owned: BTreeSet::new(),
            slices: BTreeMap::new(),
            accounts: BTreeMap::new(),
            next_offer_to: BTreeMap::new(),
            next_offers_at: Instant(0),
            last_number: 0,
        }
    }

    /// Sets the share of each owned slice according to `config`.
    pub(super) fn configure(&mut self, config: &Config, now: Instant) {
        let mut shares = BTreeMap::new();

        for tenant in &config.tenants {
            for column in self.columns.keys() {
                let key = (TenantId::from_name(&tenant.name), *column);
                shares.insert(key, split::slice_share(tenant, config.fleet.slices, *column));
            }
        }

        for (key, slice) in &mut self.slices {
            slice.set_share(shares.remove(key).unwrap_or_default(), now);
        }

        // A tenant that has no slices here yet may have been removed from the configuration a
        // moment ago, after it had used its burst, and added again. Its slices therefore start
        // empty.
        for (key, share) in shares {
            let column = self.columns[&key.1];
            let level = if column.starts_full { share.burst } else { 0 };
            let from = column.usable_from.max(now);
            self.slices.insert(key, Slice::new(share, level, from));
        }
        self.columns.values_mut().for_each(|column| column.starts_full = false);

        self.next_offers_at = now;
    }

    /// Records a new or renewed ownership of a column. Returns whether it is new.
    pub(super) fn acquire(
        &mut self,
        column: ColumnId,
        until: Instant,
        fresh: bool,
        now: Instant,
    ) -> bool {
        if let Some(owned) = self.columns.get_mut(&column)
            && !fresh
        {
            owned.until = until;
            return false;
        }

        // The former owner may have lent slices just before it stopped. Until those loans have
        // expired, a slice that is used or lent here could have two users.
        let usable_from = now + self.times.lender_lifetime();

        self.remove_column(column);
        self.insert(
            column,
            OwnedColumn { until, acquired_number: 0, usable_from, starts_full: false },
            now,
        );
        true
    }

    /// Records the ownership of a column that no host has owned before.
    ///
    /// Nobody can have used or borrowed its slices, so they start full and are usable at once.
    /// Otherwise a new fleet would refuse calls within the tenants' rates for several seconds.
    pub(super) fn acquire_first(&mut self, column: ColumnId, until: Instant, now: Instant) {
        // A column is reported as first owned until another host takes it. This host may lose it
        // and get it back before that, and must not fill the slices a second time.
        if self.previously_owned.contains(&column) {
            self.acquire(column, until, true, now);
            return;
        }

        let first = OwnedColumn { until, acquired_number: 0, usable_from: now, starts_full: true };

        self.insert(column, first, now);
    }

    fn insert(&mut self, column: ColumnId, owned: OwnedColumn, now: Instant) {
        self.last_number += 1;
        self.previously_owned.insert(column);
        self.columns.insert(column, OwnedColumn { acquired_number: self.last_number, ..owned });
        self.next_offers_at = now;
    }

    /// Removes a column. Its loans are not renewed any more and expire.
    pub(super) fn remove_column(&mut self, column: ColumnId) {
        self.columns.remove(&column);
        self.slices.retain(|(_, other), _| *other != column);

        for account in self.accounts.values_mut() {
            account.loans.retain(|_, (_, other)| *other != column);
        }
    }

    /// Makes the next [`Lender::due_offers`] examine all slices, because the set of reachable
    /// hosts changed.
    pub(super) fn hosts_changed(&mut self, now: Instant) {
        self.next_offers_at = now;
    }

    /// Ends ownerships and loans that have expired.
    pub(super) fn expire(&mut self, now: Instant) {
        let expired: Vec<ColumnId> =
            self.columns.iter().filter(|(_, c)| c.until <= now).map(|(id, _)| *id).collect();

        for column in expired {
            self.remove_column(column);
        }

        let slices = &mut self.slices;
        let next_offers_at = &mut self.next_offers_at;

        self.accounts.retain(|_, account| {
            if now < account.expires_at {
                return true;
            }

            // It is unknown how many tokens the borrower took before the expiry, so the slices
            // restart empty.
            for key in account.loans.values() {
                if let Some(slice) = slices.get_mut(key) {
                    slice.accept_return(0, account.expires_at);
                }
            }

            *next_offers_at = now;
            false
        });
    }

    /// Answers a borrower's request, or returns `None` if a later request was already answered.
    pub(super) fn handle_request(
        &mut self,
        from: HostId,
        request: &LoanRequest,
        admission_hosts: &mut AdmissionHosts,
        now: Instant,
    ) -> Option<LoanGrant> {
        let borrower = BorrowerRun { host: from, session: request.session };
        let account = self.accounts.entry(borrower).or_default();

        if request.number <= account.last_request {
            return None;
        }

        account.last_request = request.number;
        account.expires_at = now + self.times.lender_lifetime();

        // Acknowledgements and returns that refer to an earlier run of this process are ignored.
        let is_current_run = request.lender == self.session;
        let acknowledged = if is_current_run { request.acknowledged } else { 0 };
        let returns = if is_current_run { &*request.returns } else { &[] };

        self.accept_returns(borrower, returns, now);
        self.revert_unacknowledged(borrower, acknowledged);

        Some(self.build_grant(borrower, request, acknowledged, admission_hosts, now))
    }

    /// Accepts the loans that the borrower returns.
    fn accept_returns(&mut self, borrower: BorrowerRun, returns: &[LoanReturn], now: Instant) {
        let Some(account) = self.accounts.get_mut(&borrower) else { return };

        for returned in returns {
            // A return is repeated until it is answered. The loan number distinguishes a repeated
            // return from the return of a later loan.
            let Some(key) = account.loans.remove(&returned.loan) else { continue };
            let Some(slice) = self.slices.get_mut(&key) else { continue };

            slice.accept_return(returned.level, now);
            self.next_offers_at = now;
        }
    }

    /// Takes back loans in grants that the borrower never applied.
    ///
    /// Otherwise the loans of a lost grant would be renewed forever for a borrower that does not
    /// know about them.
    fn revert_unacknowledged(&mut self, borrower: BorrowerRun, acknowledged: u64) {
        let Some(account) = self.accounts.get_mut(&borrower) else { return };
        let slices = &mut self.slices;

        account.loans.retain(|_, key| {
            let Some(slice) = slices.get_mut(key) else { return false };
            let SliceHolder::Borrower(lent) = &slice.holder else { return false };

            if lent.grant <= acknowledged {
                return true;
            }

            slice.holder = SliceHolder::Owner(lent.bucket);
            false
        });
    }

    /// Builds the grant that answers a request.
    fn build_grant(
        &mut self,
        borrower: BorrowerRun,
        request: &LoanRequest,
        acknowledged: u64,
        admission_hosts: &mut AdmissionHosts,
        now: Instant,
    ) -> LoanGrant {
        self.last_number += 1;

        let mut grant = LoanGrant {
            session: borrower.session,
            request: request.number,
            lender: self.session,
            number: self.last_number,
            lifetime_ms: u32::try_from(self.times.loan_lifetime.as_millis()).unwrap_or(u32::MAX),
            ..LoanGrant::default()
        };

        self.add_recalls_and_changes(borrower, acknowledged, admission_hosts, &mut grant);
        self.add_loans(borrower, admission_hosts, now, &mut grant);
        self.add_adoptions(borrower, &request.claims, now, &mut grant);

        self.renew_loans(borrower, now, &mut grant);

        grant
    }

    /// Renews the borrower's loans from this host, by listing their columns.
    fn renew_loans(&self, borrower: BorrowerRun, now: Instant, grant: &mut LoanGrant) {
        let Some(account) = self.accounts.get(&borrower) else { return };
        let columns: BTreeSet<ColumnId> = account.loans.values().map(|(_, id)| *id).collect();
        let owned = |id: &ColumnId| self.columns[id];

        grant.columns = columns.iter().map(|id| u32::from(id.0)).collect();

        // This host does not know the loans that it made before it lost a column and got it
        // again. The borrower ends loans with numbers below `since`. Otherwise they would be
        // renewed with the column and continue beside the new loans.
        if columns.iter().any(|id| now < owned(id).usable_from) {
            grant.since = columns.iter().map(|id| owned(id).acquired_number).collect();
        }
    }

    /// Recalls the borrower's loans whose tenant has another admission host now or was removed, and
    /// reports changed shares of the other loans.
    fn add_recalls_and_changes(
        &mut self,
        borrower: BorrowerRun,
        acknowledged: u64,
        admission_hosts: &mut AdmissionHosts,
        grant: &mut LoanGrant,
    ) {
        let Some(account) = self.accounts.get(&borrower) else { return };

        for (loan, key) in &account.loans {
            let Some(slice) = self.slices.get_mut(key) else { continue };
            let is_tenant_removed = slice.is_tenant_removed();
            let SliceHolder::Borrower(lent) = &mut slice.holder else { continue };

            if admission_hosts.get(key.0) != borrower.host || is_tenant_removed {
                grant.recalls.push(*loan);
                continue;
            }

            if lent.reported_share == slice.share && lent.reported_in <= acknowledged {
                continue;
            }

            let Share { rate, burst } = slice.share;
            lent.reported_share = slice.share;
            lent.reported_in = grant.number;
            grant.changes.push(LoanChange { loan: *loan, rate, burst });
        }
    }

    /// Lends the borrower the usable slices of the tenants whose admission host the borrower is.
    fn add_loans(
        &mut self,
        borrower: BorrowerRun,
        admission_hosts: &mut AdmissionHosts,
        now: Instant,
        grant: &mut LoanGrant,
    ) {
        let Some(account) = self.accounts.get_mut(&borrower) else { return };

        for ((tenant, column), slice) in &mut self.slices {
            if admission_hosts.get(*tenant) != borrower.host || slice.is_tenant_removed() {
                continue;
            }

            let Some(mut bucket) = slice.usable(&self.columns[column], now).copied() else {
                continue;
            };

            self.last_number += 1;
            let loan = self.last_number;
            let level = bucket.level(now);
            let Share { rate, burst } = slice.share;
            let (tenant_id, column_number) = (tenant.0, u32::from(column.0));

            grant.loans.push(Loan {
                loan,
                tenant: tenant_id,
                column: column_number,
                level,
                rate,
                burst,
            });
            account.loans.insert(loan, (*tenant, *column));
            slice.lend(borrower, bucket, grant.number);
        }
    }

    /// Continues claimed loans of the former owner as loans of this host, with their current
    /// level.
    ///
    /// The former owner makes no more loans, so a host with a running loan is the only user of
    /// the slice. The borrower checks this again when it applies the grant, because a claim can
    /// be older than this ownership.
    fn add_adoptions(
        &mut self,
        borrower: BorrowerRun,
        claims: &[LoanClaim],
        now: Instant,
        grant: &mut LoanGrant,
    ) {
        let Some(account) = self.accounts.get_mut(&borrower) else { return };

        for claim in claims {
            let column = ColumnId(u16::try_from(claim.column).unwrap_or(u16::MAX));
            let key = (TenantId(claim.tenant), column);
            let Some(slice) = self.slices.get_mut(&key) else { continue };

            if !slice.is_claimable(now) {
                continue;
            }

            self.last_number += 1;
            let loan = self.last_number;
            let Share { rate, burst } = slice.share;

            grant.adoptions.push(LoanAdoption { claim: *claim, loan, rate, burst });
            account.loans.insert(loan, key);

            // If the grant is lost, this host takes the slice back with an empty bucket: the loan
            // goes on as one of the former owner until it expires.
            let bucket = Bucket::new(slice.share, 0, slice.usable_from);
            slice.lend(borrower, bucket, grant.number);
        }
    }

    /// Continues to use a slice that this host had borrowed from the former owner.
    pub(super) fn adopt_own_loan(
        &mut self,
        key: (TenantId, ColumnId),
        bucket: Bucket,
        now: Instant,
    ) {
        if let Some(slice) = self.slices.get_mut(&key) {
            slice.holder = SliceHolder::Owner(bucket);
            slice.usable_from = now;
            slice.set_share(slice.share, now);
        }
    }

    /// Returns offers for the hosts that should send a request soon: those that slices should be
    /// lent to, those with loans to change or recall, and those that may have loans from a former
    /// owner.
    pub(super) fn due_offers(
        &mut self,
        local_host: HostId,
        admission_hosts: &mut AdmissionHosts,
        now: Instant,
    ) -> Vec<(HostId, LoanOffer)> {
        if now < self.next_offers_at {
            return Vec::new();
        }

        self.next_offers_at = now + self.times.resend_after;
        self.slices.retain(|_, slice| !slice.is_removable());
        self.next_offer_to.retain(|_, again| now < *again);
        let mut offers: BTreeMap<HostId, LoanOffer> = BTreeMap::new();

        for ((tenant, column), slice) in &self.slices {
            let Some(host) = slice.pending_host(admission_hosts.get(*tenant)) else { continue };

            if host == local_host
                || !admission_hosts.is_reachable(host)
                || self.next_offer_to.contains_key(&host)
            {
                continue;
            }

            let columns = &mut offers.entry(host).or_default().columns;
            let column = u32::from(column.0);

            if slice.is_claimable(now) && !columns.contains(&column) {
                columns.push(column);
            }
        }

        for (host, offer) in &offers {
            // A host that does not claim a former owner's loan has none, so it is not asked again
            // for a while.
            let wait = if offer.columns.is_empty() {
                self.times.resend_after
            } else {
                self.times.renewal_interval
            };
            self.next_offer_to.insert(*host, now + wait);
        }

        offers.into_iter().collect()
    }

    /// Returns the buckets of a tenant that this host may use itself.
    pub(super) fn usable_buckets(
        &mut self,
        tenant: TenantId,
        now: Instant,
    ) -> impl Iterator<Item = &mut Bucket> {
        let columns = &self.columns;
        let all = (tenant, ColumnId(0))..=(tenant, ColumnId(u16::MAX));

        self.slices.range_mut(all).filter_map(move |((_, column), slice)| {
            slice.usable(&columns[column], now)?;

            match &mut slice.holder {
                SliceHolder::Owner(bucket) => Some(bucket),
                SliceHolder::Borrower(_) => None,
            }
        })
    }

    /// Returns the slices that this host may use itself.
    pub(super) fn usable_slices(&self, now: Instant) -> impl Iterator<Item = (TenantId, ColumnId)> {
        let slices = self.slices.iter();

        slices
            .filter(move |((_, column), slice)| slice.usable(&self.columns[column], now).is_some())
            .map(|(key, _)| *key)
    }

    /// Returns the time until the next owned column becomes usable, if any is not usable yet.
    pub(super) fn time_until_usable(&self, now: Instant) -> Option<Duration> {
        let waiting = self.columns.values().filter(|column| now < column.usable_from);

        waiting.map(|column| column.usable_from - now).min()
    }

    /// Returns when the next expiry or offer is due.
    pub(super) fn wake_at(&self) -> Option<Instant> {
        if self.columns.is_empty() && self.accounts.is_empty() {
            return None;
        }

        let columns = self.columns.values().map(|column| column.until);
        let accounts = self.accounts.values().map(|account| account.expires_at);

        columns.chain(accounts).chain([self.next_offers_at]).min()
    }
}
