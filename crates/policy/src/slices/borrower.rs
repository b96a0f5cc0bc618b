//! The slices that this host borrowed.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use camphorwalk_core::ids::{HostId, TenantId};
use camphorwalk_core::messages::slices::{
    LoanAdoption, LoanClaim, LoanGrant, LoanOffer, LoanRequest, LoanReturn,
};
use camphorwalk_core::time::Instant;

use super::bucket::{Bucket, Share};
use super::pools::Pools;
use super::{ColumnId, SliceTimes};

/// A slice: of a tenant, in a column.
pub(super) type SliceKey = (TenantId, ColumnId);

/// A request under way.
#[derive(Clone, Copy, Debug)]
struct Outstanding {
    number: u64,
    sent: Instant,
    /// The number of returns it lists.
    returns: usize,
}

/// What is between this host and one lender.
#[derive(Debug, Default)]
struct Account {
    /// The session of the lender.
    lender: u64,
    /// The last grant that was taken in.
    acknowledged: u64,
    /// The slices that it lends to this host.
    held: BTreeMap<SliceKey, Bucket>,
    /// The same by the loan's number.
    loans: BTreeMap<u64, SliceKey>,
    /// When the loans of each column are over.
    until: BTreeMap<ColumnId, Instant>,
    /// Columns that came to the lender from another owner: running loans are claimed.
    claim: BTreeSet<ColumnId>,
    /// Loans not used any more that the lender may not know of yet.
    returns: Vec<LoanReturn>,
    outstanding: Option<Outstanding>,
    /// Whether there is something to say, or to hear, at once.
    urgent: bool,
    next_request: Instant,
    /// Without news of the lender, requests stop here.
    give_up: Instant,
}

/// The slices that are borrowed, and from whom.
#[derive(Debug)]
pub(super) struct Borrower {
    session: u64,
    times: SliceTimes,
    accounts: BTreeMap<HostId, Account>,
    /// The last number given to a request.
    number: u64,
}

impl Borrower {
    pub(super) fn new(session: u64, times: SliceTimes) -> Self {
        Self { session, times, accounts: BTreeMap::new(), number: 0 }
    }

    /// Takes in that a lender has something to say.
    pub(super) fn offer(&mut self, lender: HostId, offer: &LoanOffer) {
        let account = self.accounts.entry(lender).or_default();

        account.urgent = true;
        account.claim.extend(offer.columns.iter().map(|column| column_of(*column)));
    }

    /// Takes in a lender's grant, if it answers the latest request.
    pub(super) fn grant(&mut self, lender: HostId, grant: &LoanGrant, now: Instant) {
        let Some(account) = self.accounts.get_mut(&lender) else { return };
        let Some(request) = account.outstanding else { return };

        // The lender counts a loan as not taken in once a later request does not
        // acknowledge it. A grant for an earlier request must not be taken in after that.
        if grant.session != self.session || grant.request != request.number {
            return;
        }

        // The lender counts the lifetime from its sending, which was later.
        let until = request.sent + Duration::from_millis(u64::from(grant.lifetime_ms));

        if until <= now {
            return;
        }

        let adopted = self.release_claimed(&grant.adoptions);
        let account = self.accounts.entry(lender).or_default();

        account.outstanding = None;
        account.claim.clear();
        account.returns.drain(..request.returns);
        account.give_up = now + self.times.lifetime * 2;

        if account.lender != grant.lender {
            account.forget();
            account.lender = grant.lender;
        }

        account.acknowledged = grant.number;
        account.renew(grant, until);
        account.change(grant, now);
        account.recall(grant, now);
        account.borrow(grant, now);
        account.adopt(&grant.adoptions, adopted, now);
    }

    /// Takes claimed loans out of their former lenders' accounts.
    ///
    /// A claim may be overtaken: the loan ended, or another owner has taken it on. It is
    /// taken out only where it was when it was claimed, else two owners would believe that
    /// it is theirs.
    fn release_claimed(&mut self, adoptions: &[LoanAdoption]) -> Vec<Option<Bucket>> {
        let mut release = |claim: &LoanClaim| {
            let key = (TenantId(claim.tenant), column_of(claim.column));
            let account = self.accounts.get_mut(&HostId(claim.lender))?;

            if account.loans.get(&claim.loan) != Some(&key) {
                return None;
            }

            account.loans.remove(&claim.loan);
            account.held.remove(&key)
        };

        adoptions.iter().map(|adoption| release(&adoption.claim)).collect()
    }

    /// Takes all slices of a column out of their lenders' accounts: this host owns it now.
    pub(super) fn release_column(&mut self, column: ColumnId) -> Vec<(SliceKey, Bucket)> {
        let mut released = Vec::new();

        for account in self.accounts.values_mut() {
            account.loans.retain(|_, key| key.1 != column);
            released.extend(account.held.extract_if(.., |key, _| key.1 == column));
        }

        released
    }

    /// Returns the claims of all running loans in some columns.
    fn claims(&self, columns: &BTreeSet<ColumnId>) -> Vec<LoanClaim> {
        let mut claims = Vec::new();

        for (lender, account) in &self.accounts {
            for (loan, (tenant, column)) in &account.loans {
                if columns.contains(column) {
                    claims.push(LoanClaim {
                        tenant: tenant.0,
                        column: u32::from(column.0),
                        lender: lender.0,
                        loan: *loan,
                    });
                }
            }
        }

        claims
    }

    /// Ends loans whose time is over.
    pub(super) fn expire(&mut self, now: Instant) {
        for account in self.accounts.values_mut() {
            if account.until.values().all(|until| now < *until) {
                continue;
            }

            account.until.retain(|_, until| now < *until);
            let columns = std::mem::take(&mut account.until);
            account.drop_loans(|_, column| !columns.contains_key(&column));
            account.until = columns;
        }
    }

    /// Ends all loans, after a pause of this process.
    pub(super) fn drop_all(&mut self) {
        for account in self.accounts.values_mut() {
            account.until.clear();
            account.drop_loans(|_, _| true);
            account.urgent = true;
        }
    }

    /// Returns the requests to be sent now, each with its lender.
    pub(super) fn requests(&mut self, now: Instant) -> Vec<(HostId, LoanRequest)> {
        let due = |account: &Account| account.request_at(&self.times).is_some_and(|at| at <= now);
        let accounts = self.accounts.iter().filter(|(_, account)| due(account));
        let lenders: Vec<(HostId, Vec<LoanClaim>)> =
            accounts.map(|(lender, account)| (*lender, self.claims(&account.claim))).collect();
        let mut requests = Vec::new();

        for (lender, claims) in lenders {
            let Some(account) = self.accounts.get_mut(&lender) else { continue };

            self.number += 1;
            let req = account.request(self.session, self.number, &self.times, now);
            requests.push((lender, LoanRequest { claims, ..req }));
        }

        requests
    }

    /// Forgets lenders that are gone and have nothing out.
    pub(super) fn forget_gone(&mut self, pools: &Pools) {
        self.accounts.retain(|lender, account| {
            pools.reaches(*lender) || !account.loans.is_empty() || !account.returns.is_empty()
        });
    }

    /// Returns the borrowed buckets of a tenant.
    pub(super) fn usable(&mut self, tenant: TenantId) -> impl Iterator<Item = &mut Bucket> {
        let all = (tenant, ColumnId(0))..=(tenant, ColumnId(u16::MAX));

        self.accounts
            .values_mut()
            .flat_map(move |account| account.held.range_mut(all.clone()))
            .map(|(_, bucket)| bucket)
    }

    /// Returns the borrowed slices.
    pub(super) fn usable_slices(&self, now: Instant) -> impl Iterator<Item = SliceKey> {
        self.accounts.values().flat_map(move |account| {
            let keys = account.held.keys().copied();

            keys.filter(move |(_, column)| account.until.get(column).is_some_and(|u| now < *u))
        })
    }

    /// Returns when something is due.
    pub(super) fn wake_at(&self) -> Option<Instant> {
        let requests = self.accounts.values().filter_map(|a| a.request_at(&self.times));
        let ends = self.accounts.values().flat_map(|account| account.until.values().copied());

        requests.chain(ends).min()
    }
}

impl Account {
    /// Returns when the next request is due.
    fn request_at(&self, times: &SliceTimes) -> Option<Instant> {
        let idle = self.loans.is_empty() && self.returns.is_empty();

        // A lender that is gone gets no requests for good; one that is back sends an offer.
        let gone = self.loans.is_empty() && self.give_up <= self.next_request;

        let at = match (self.urgent, self.outstanding) {
            (false, _) if idle || gone => return None,
            (true, None) => Instant(0),
            (false, None) => self.next_request,
            (_, Some(request)) => request.sent + times.retry,
        };

        Some(at)
    }

    /// Makes a request.
    fn request(
        &mut self,
        session: u64,
        number: u64,
        times: &SliceTimes,
        now: Instant,
    ) -> LoanRequest {
        self.urgent = false;
        self.next_request = now + times.renewal;
        self.outstanding = Some(Outstanding { number, sent: now, returns: self.returns.len() });

        LoanRequest {
            session,
            number,
            lender: self.lender,
            acknowledged: self.acknowledged,
            returns: self.returns.clone(),
            claims: Vec::new(),
        }
    }

    /// Forgets all loans: they were a former run's of the lender, which knows of none now.
    fn forget(&mut self) {
        self.until.clear();
        self.drop_loans(|_, _| true);
        self.returns.clear();
    }

    /// Renews the columns that the grant names. The others end when they would have: the
    /// lender owns them no more. Loans of a former ownership of the lender end at once.
    fn renew(&mut self, grant: &LoanGrant, until: Instant) {
        for (column, since) in grant.columns.iter().zip(&grant.since) {
            self.drop_loans(|loan, other| other == column_of(*column) && loan < *since);
        }

        for column in &grant.columns {
            self.until.insert(column_of(*column), until);
        }
    }

    /// Takes in new shares.
    fn change(&mut self, grant: &LoanGrant, now: Instant) {
        for change in &grant.changes {
            let Some(key) = self.loans.get(&change.loan) else { continue };
            let Some(bucket) = self.held.get_mut(key) else { continue };

            bucket.change(Share { rate: change.rate, burst: change.burst }, now);
        }
    }

    /// Returns the loans that the grant asks back.
    fn recall(&mut self, grant: &LoanGrant, now: Instant) {
        for loan in &grant.recalls {
            let Some(key) = self.loans.remove(loan) else { continue };
            let Some(mut bucket) = self.held.remove(&key) else { continue };

            let level = bucket.level(now);
            self.returns.push(LoanReturn { loan: *loan, level });
            self.urgent = true;
        }
    }

    /// Takes up new loans.
    fn borrow(&mut self, grant: &LoanGrant, now: Instant) {
        for loan in &grant.loans {
            let key = (TenantId(loan.tenant), column_of(loan.column));
            let share = Share { rate: loan.rate, burst: loan.burst };
            let bucket = Bucket::new(share, loan.level, now);

            self.held.insert(key, bucket);
            self.loans.insert(loan.loan, key);
        }
    }

    /// Takes up claimed loans as the lender's own, with the buckets as they were. Those that
    /// are no longer here are returned.
    fn adopt(&mut self, adoptions: &[LoanAdoption], adopted: Vec<Option<Bucket>>, now: Instant) {
        for (adoption, bucket) in adoptions.iter().zip(adopted) {
            let LoanAdoption { claim, loan, rate, burst } = *adoption;

            let Some(mut bucket) = bucket else {
                self.returns.push(LoanReturn { loan, level: 0 });
                self.urgent = true;
                continue;
            };

            let key = (TenantId(claim.tenant), column_of(claim.column));
            bucket.change(Share { rate, burst }, now);
            self.held.insert(key, bucket);
            self.loans.insert(loan, key);
        }
    }

    /// Ends some loans. What was left in them is lost.
    fn drop_loans(&mut self, over: impl Fn(u64, ColumnId) -> bool) {
        let Self { held, loans, returns, .. } = self;

        loans.retain(|loan, key| {
            if !over(*loan, key.1) {
                return true;
            }

            held.remove(key);

            // The lender may have renewed it in a grant that was lost; told that it is over,
            // it need not wait.
            returns.push(LoanReturn { loan: *loan, level: 0 });
            false
        });
    }
}

fn column_of(column: u32) -> ColumnId {
    ColumnId(u16::try_from(column).unwrap_or(u16::MAX))
}
