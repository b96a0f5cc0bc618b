//! The slices of the columns that this host owns, and whom it lent them to.
//!
//! A slice has one user at any instant: this host, or the one borrower it is lent to. What
//! a borrower holds is known exactly whenever a request of it arrives: it takes in a grant
//! only as the answer to its latest request, so a loan in a grant that the request does not
//! acknowledge was not taken in and never will be.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use camphorwalk_core::config::Config;
use camphorwalk_core::ids::{HostId, TenantId};
use camphorwalk_core::messages::slices::{
    Loan, LoanAdoption, LoanChange, LoanClaim, LoanGrant, LoanOffer, LoanRequest, LoanReturn,
};
use camphorwalk_core::time::Instant;

use super::bucket::{Bucket, Share};
use super::pools::Pools;
use super::slice::{Borrower, Column, Place, Slice};
use super::{ColumnId, SliceTimes, split};

/// What is lent to one borrower.
#[derive(Debug, Default)]
struct Account {
    /// The highest request that was answered.
    request: u64,
    /// When all its loans are over, unless renewed.
    until: Instant,
    /// Its loans.
    loans: BTreeMap<u64, (TenantId, ColumnId)>,
}

/// The slices of owned columns.
#[derive(Debug)]
pub(super) struct Lender {
    session: u64,
    times: SliceTimes,
    columns: BTreeMap<ColumnId, Column>,
    /// Columns that this process has owned.
    known: BTreeSet<ColumnId>,
    slices: BTreeMap<(TenantId, ColumnId), Slice>,
    accounts: BTreeMap<Borrower, Account>,
    offered: BTreeMap<HostId, Instant>,
    next_offers: Instant,
    /// The last number given to a grant or a loan.
    number: u64,
}

impl Lender {
    pub(super) fn new(session: u64, times: SliceTimes) -> Self {
        Self {
            session,
            times,
            columns: BTreeMap::new(),
            known: BTreeSet::new(),
            slices: BTreeMap::new(),
            accounts: BTreeMap::new(),
            offered: BTreeMap::new(),
            next_offers: Instant(0),
            number: 0,
        }
    }

    /// Gives each owned slice the share that `cfg` says.
    pub(super) fn configure(&mut self, cfg: &Config, now: Instant) {
        let mut shares = BTreeMap::new();

        for tenant in &cfg.tenants {
            for column in self.columns.keys() {
                let key = (TenantId::from_name(&tenant.name), *column);
                shares.insert(key, split::slice_share(tenant, cfg.fleet.slices, *column));
            }
        }

        for (key, slice) in &mut self.slices {
            slice.set_share(shares.remove(key).unwrap_or_default(), now);
        }

        // A tenant that is new here may be one that was withdrawn a moment ago and used its
        // burst: slices begin at level zero.
        for (key, share) in shares {
            let column = self.columns[&key.1];
            let level = if column.begins_full { share.burst } else { 0 };
            let from = column.usable_from.max(now);
            self.slices.insert(key, Slice::new(share, level, from));
        }
        self.columns.values_mut().for_each(|column| column.begins_full = false);

        self.next_offers = now;
    }

    /// Takes in ownership of a column, new or renewed. Returns whether it is new.
    pub(super) fn own(
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

        // A former owner may have lent slices just before it stopped; until those loans are
        // over, a slice used or lent here would have two users.
        let usable_from = now + self.times.lent_for();

        self.lose(column);
        self.insert(column, Column { until, since: 0, usable_from, begins_full: false }, now);
        true
    }

    /// Takes in ownership of a column that no host ever owned.
    ///
    /// Nobody can have used or been lent its slices, so they begin full and at once. Without
    /// this a new fleet refuses for seconds what its tenants send within their rate.
    pub(super) fn own_first(&mut self, column: ColumnId, until: Instant, now: Instant) {
        // The first epoch lasts until another host takes the column. This one may give it up
        // and get it back before that, and must not fill the slices once more.
        if self.known.contains(&column) {
            self.own(column, until, true, now);
            return;
        }

        let first = Column { until, since: 0, usable_from: now, begins_full: true };

        self.insert(column, first, now);
    }

    fn insert(&mut self, column: ColumnId, owned: Column, now: Instant) {
        self.number += 1;
        self.known.insert(column);
        self.columns.insert(column, Column { since: self.number, ..owned });
        self.next_offers = now;
    }

    /// Forgets a column. Loans of it are renewed no more, and end by themselves.
    pub(super) fn lose(&mut self, column: ColumnId) {
        self.columns.remove(&column);
        self.slices.retain(|(_, other), _| *other != column);

        for account in self.accounts.values_mut() {
            account.loans.retain(|_, (_, other)| *other != column);
        }
    }

    /// Looks again at who should have which slice.
    pub(super) fn hosts_changed(&mut self, now: Instant) {
        self.next_offers = now;
    }

    /// Ends ownership and loans whose time is over.
    pub(super) fn expire(&mut self, now: Instant) {
        let over: Vec<ColumnId> =
            self.columns.iter().filter(|(_, c)| c.until <= now).map(|(id, _)| *id).collect();

        for column in over {
            self.lose(column);
        }

        let slices = &mut self.slices;
        let next_offers = &mut self.next_offers;

        self.accounts.retain(|_, account| {
            if now < account.until {
                return true;
            }

            // What the borrower took until then is unknown: the slices go on from zero.
            for key in account.loans.values() {
                if let Some(slice) = slices.get_mut(key) {
                    slice.take_back(0, account.until);
                }
            }

            *next_offers = now;
            false
        });
    }

    /// Answers a borrower's request. None for one that was overtaken by a later one.
    pub(super) fn request(
        &mut self,
        from: HostId,
        req: &LoanRequest,
        pools: &mut Pools,
        now: Instant,
    ) -> Option<LoanGrant> {
        let borrower = Borrower { host: from, session: req.session };
        let account = self.accounts.entry(borrower).or_default();

        if req.number <= account.request {
            return None;
        }

        account.request = req.number;
        account.until = now + self.times.lent_for();

        // What it says of a former run of this process means nothing here.
        let ours = req.lender == self.session;
        let acknowledged = if ours { req.acknowledged } else { 0 };
        let returns = if ours { &*req.returns } else { &[] };

        self.take_back(borrower, returns, now);
        self.undo_lost(borrower, acknowledged);

        Some(self.grant(borrower, req, acknowledged, pools, now))
    }

    /// Takes back what the borrower returns.
    fn take_back(&mut self, borrower: Borrower, returns: &[LoanReturn], now: Instant) {
        let Some(account) = self.accounts.get_mut(&borrower) else { return };

        for back in returns {
            // A return is repeated until it is answered; the loan's number tells a repeat
            // from the return of a later loan.
            let Some(key) = account.loans.remove(&back.loan) else { continue };
            let Some(slice) = self.slices.get_mut(&key) else { continue };

            slice.take_back(back.level, now);
            self.next_offers = now;
        }
    }

    /// Takes back loans in grants that the borrower never took in.
    ///
    /// Without this a lost grant would leave its loans with a borrower that does not know of
    /// them, renewed for good.
    fn undo_lost(&mut self, borrower: Borrower, acknowledged: u64) {
        let Some(account) = self.accounts.get_mut(&borrower) else { return };
        let slices = &mut self.slices;

        account.loans.retain(|_, key| {
            let Some(slice) = slices.get_mut(key) else { return false };
            let Place::Lent(lent) = &slice.place else { return false };

            if lent.grant <= acknowledged {
                return true;
            }

            slice.place = Place::Here(lent.bucket);
            false
        });
    }

    /// Makes the grant that answers a request.
    fn grant(
        &mut self,
        borrower: Borrower,
        req: &LoanRequest,
        acknowledged: u64,
        pools: &mut Pools,
        now: Instant,
    ) -> LoanGrant {
        self.number += 1;

        let mut grant = LoanGrant {
            session: borrower.session,
            request: req.number,
            lender: self.session,
            number: self.number,
            lifetime_ms: u32::try_from(self.times.lifetime.as_millis()).unwrap_or(u32::MAX),
            ..LoanGrant::default()
        };

        self.review(borrower, acknowledged, pools, &mut grant);
        self.lend(borrower, pools, now, &mut grant);
        self.adopt(borrower, &req.claims, now, &mut grant);

        self.renew(borrower, now, &mut grant);

        grant
    }

    /// Renews the columns of the borrower's loans.
    fn renew(&self, borrower: Borrower, now: Instant, grant: &mut LoanGrant) {
        let Some(account) = self.accounts.get(&borrower) else { return };
        let columns: BTreeSet<ColumnId> = account.loans.values().map(|(_, id)| *id).collect();
        let owned = |id: &ColumnId| self.columns[id];

        grant.columns = columns.iter().map(|id| u32::from(id.0)).collect();

        // Loans that this host made before it lost a column and got it again are not known
        // here. Renewed with the column, they would run on beside its new loans.
        if columns.iter().any(|id| now < owned(id).usable_from) {
            grant.since = columns.iter().map(|id| owned(id).since).collect();
        }
    }

    /// Asks back loans that belong with another host now, and tells of changed shares.
    fn review(
        &mut self,
        borrower: Borrower,
        acknowledged: u64,
        pools: &mut Pools,
        grant: &mut LoanGrant,
    ) {
        let Some(account) = self.accounts.get(&borrower) else { return };

        for (loan, key) in &account.loans {
            let Some(slice) = self.slices.get_mut(key) else { continue };
            let withdrawn = slice.is_withdrawn();
            let Place::Lent(lent) = &mut slice.place else { continue };

            if pools.of(key.0) != borrower.host || withdrawn {
                grant.recalls.push(*loan);
                continue;
            }

            if lent.told == slice.share && lent.told_by <= acknowledged {
                continue;
            }

            let Share { rate, burst } = slice.share;
            lent.told = slice.share;
            lent.told_by = grant.number;
            grant.changes.push(LoanChange { loan: *loan, rate, burst });
        }
    }

    /// Lends what the borrower pools, as far as it is here.
    fn lend(&mut self, borrower: Borrower, pools: &mut Pools, now: Instant, grant: &mut LoanGrant) {
        let Some(account) = self.accounts.get_mut(&borrower) else { return };

        for ((tenant, column), slice) in &mut self.slices {
            if pools.of(*tenant) != borrower.host || slice.is_withdrawn() {
                continue;
            }

            let Some(mut bucket) = slice.usable(&self.columns[column], now).copied() else {
                continue;
            };

            self.number += 1;
            let loan = self.number;
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

    /// Lets claimed loans of a former owner go on as this host's, level included.
    ///
    /// The former owner lends no more, so whoever has a running loan now is the only user.
    /// That is checked where the loan is, once more: a claim may be older than this
    /// ownership.
    fn adopt(
        &mut self,
        borrower: Borrower,
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

            self.number += 1;
            let loan = self.number;
            let Share { rate, burst } = slice.share;

            grant.adoptions.push(LoanAdoption { claim: *claim, loan, rate, burst });
            account.loans.insert(loan, key);

            // Nothing is taken back if the grant is lost: the loan ends as the former owner's.
            let bucket = Bucket::new(slice.share, 0, slice.usable_from);
            slice.lend(borrower, bucket, grant.number);
        }
    }

    /// Takes over a loan that this host itself has from a former owner.
    pub(super) fn adopt_here(&mut self, key: (TenantId, ColumnId), bucket: Bucket, now: Instant) {
        if let Some(slice) = self.slices.get_mut(&key) {
            slice.place = Place::Here(bucket);
            slice.usable_from = now;
            slice.set_share(slice.share, now);
        }
    }

    /// Returns what to tell hosts that should send a request soon: slices here belong with
    /// them, loans with them are to be changed or returned, or they may have loans of a
    /// former owner.
    pub(super) fn offers(
        &mut self,
        me: HostId,
        pools: &mut Pools,
        now: Instant,
    ) -> Vec<(HostId, LoanOffer)> {
        if now < self.next_offers {
            return Vec::new();
        }

        self.next_offers = now + self.times.retry;
        self.slices.retain(|_, slice| !slice.is_over());
        self.offered.retain(|_, again| now < *again);
        let mut offers: BTreeMap<HostId, LoanOffer> = BTreeMap::new();

        for ((tenant, column), slice) in &self.slices {
            let Some(host) = slice.waits_for(pools.of(*tenant)) else { continue };

            if host == me || !pools.reaches(host) || self.offered.contains_key(&host) {
                continue;
            }

            let columns = &mut offers.entry(host).or_default().columns;
            let column = u32::from(column.0);

            if slice.is_claimable(now) && !columns.contains(&column) {
                columns.push(column);
            }
        }

        for (host, offer) in &offers {
            // Who has no loan of a former owner need not be asked again soon.
            let wait = if offer.columns.is_empty() { self.times.retry } else { self.times.renewal };
            self.offered.insert(*host, now + wait);
        }

        offers.into_iter().collect()
    }

    /// Returns the buckets of a tenant that this host may use itself.
    pub(super) fn usable(
        &mut self,
        tenant: TenantId,
        now: Instant,
    ) -> impl Iterator<Item = &mut Bucket> {
        let columns = &self.columns;
        let all = (tenant, ColumnId(0))..=(tenant, ColumnId(u16::MAX));

        self.slices.range_mut(all).filter_map(move |((_, column), slice)| {
            slice.usable(&columns[column], now)?;

            match &mut slice.place {
                Place::Here(bucket) => Some(bucket),
                Place::Lent(_) => None,
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

    /// Returns how long it takes until the first column is usable that is not yet.
    pub(super) fn usable_in(&self, now: Instant) -> Option<Duration> {
        let waiting = self.columns.values().filter(|column| now < column.usable_from);

        waiting.map(|column| column.usable_from - now).min()
    }

    /// Returns when something is due.
    pub(super) fn wake_at(&self) -> Option<Instant> {
        if self.columns.is_empty() && self.accounts.is_empty() {
            return None;
        }

        let columns = self.columns.values().map(|column| column.until);
        let accounts = self.accounts.values().map(|account| account.until);

        columns.chain(accounts).chain([self.next_offers]).min()
    }
}
