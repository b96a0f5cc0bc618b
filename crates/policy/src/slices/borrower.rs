//! The slices that this host has borrowed from the owners of their columns, its lenders.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use camphorwalk_core::ids::{HostId, TenantId};
use camphorwalk_core::messages::slices::{
    LoanAdoption, LoanClaim, LoanGrant, LoanOffer, LoanRequest, LoanReturn,
};
use camphorwalk_core::time::Instant;

use super::admission_hosts::AdmissionHosts;
use super::bucket::{Bucket, Share};
use super::{ColumnId, SliceTimes};

/// Identifies a slice by its tenant and column.
pub(super) type SliceKey = (TenantId, ColumnId);

/// A request that has not been answered yet.
#[derive(Clone, Copy, Debug)]
struct PendingRequest {
    number: u64,
    sent_at: Instant,
    /// The number of returns in the request.
    returns: usize,
}

/// The loans from one lender.
#[derive(Debug, Default)]
struct LenderAccount {
    /// The session of the lender's process.
    lender_session: u64,
    /// The number of the last grant that was applied.
    acknowledged_grant: u64,
    /// The buckets of the borrowed slices.
    buckets: BTreeMap<SliceKey, Bucket>,
    /// The borrowed slices by loan number.
    loans: BTreeMap<u64, SliceKey>,
    /// When the loans of each column expire.
    expiries: BTreeMap<ColumnId, Instant>,
    /// Columns that the lender took over from another owner. In its next request, this host claims
    /// its running loans in these columns.
    columns_to_claim: BTreeSet<ColumnId>,
    /// Returned loans that the lender may not know about yet.
    pending_returns: Vec<LoanReturn>,
    pending_request: Option<PendingRequest>,
    /// Whether a request must be sent without waiting for the next renewal.
    send_now: bool,
    next_request_at: Instant,
    /// When to stop sending requests to a lender that sends no grant and has no loans to this host.
    give_up_at: Instant,
}

/// All borrowed slices, by lender.
#[derive(Debug)]
pub(super) struct Borrower {
    session: u64,
    times: SliceTimes,
    accounts: BTreeMap<HostId, LenderAccount>,
    /// The number of the last request.
    last_request: u64,
}

impl Borrower {
    pub(super) fn new(session: u64, times: SliceTimes) -> Self {
        Self { session, times, accounts: BTreeMap::new(), last_request: 0 }
    }

    /// Handles an offer, which invites a request.
    pub(super) fn handle_offer(&mut self, lender: HostId, offer: &LoanOffer) {
        let account = self.accounts.entry(lender).or_default();

        account.send_now = true;
        account.columns_to_claim.extend(offer.columns.iter().map(|column| column_of(*column)));
    }

    /// Applies a lender's grant if it answers the latest request.
    pub(super) fn handle_grant(&mut self, lender: HostId, grant: &LoanGrant, now: Instant) {
        let Some(account) = self.accounts.get_mut(&lender) else { return };
        let Some(request) = account.pending_request else { return };

        // The lender takes back loans that a later request does not acknowledge. A grant for an
        // earlier request must therefore not be applied any more, or the slice would have two
        // users.
        if grant.session != self.session || grant.request != request.number {
            return;
        }

        // The borrower counts the lifetime from when it sent the request. The lender counts it
        // from when it sent the grant, which is later, so the loan ends here first.
        let until = request.sent_at + Duration::from_millis(u64::from(grant.lifetime_ms));

        if until <= now {
            return;
        }

        let adopted = self.release_claimed(&grant.adoptions);
        let account = self.accounts.entry(lender).or_default();

        account.pending_request = None;
        account.columns_to_claim.clear();
        account.pending_returns.drain(..request.returns);
        account.give_up_at = now + self.times.loan_lifetime * 2;

        if account.lender_session != grant.lender {
            account.clear();
            account.lender_session = grant.lender;
        }

        account.acknowledged_grant = grant.number;
        account.renew_columns(grant, until);
        account.apply_share_changes(grant, now);
        account.return_recalled(grant, now);
        account.add_loans(grant, now);
        account.add_adopted_loans(&grant.adoptions, adopted, now);
    }

    /// Removes claimed loans from the accounts of their former lenders.
    ///
    /// A claim can be outdated because the loan has ended or another owner has already adopted
    /// it. The loan is removed only if it is still where it was when it was claimed. Otherwise
    /// two owners would regard it as their own loan.
    fn release_claimed(&mut self, adoptions: &[LoanAdoption]) -> Vec<Option<Bucket>> {
        let mut release = |claim: &LoanClaim| {
            let key = (TenantId(claim.tenant), column_of(claim.column));
            let account = self.accounts.get_mut(&HostId(claim.lender))?;

            if account.loans.get(&claim.loan) != Some(&key) {
                return None;
            }

            account.loans.remove(&claim.loan);
            account.buckets.remove(&key)
        };

        adoptions.iter().map(|adoption| release(&adoption.claim)).collect()
    }

    /// Removes all slices of a column from their lenders' accounts, because this host owns the
    /// column now.
    pub(super) fn release_column(&mut self, column: ColumnId) -> Vec<(SliceKey, Bucket)> {
        let mut released = Vec::new();

        for account in self.accounts.values_mut() {
            account.loans.retain(|_, key| key.1 != column);
            released.extend(account.buckets.extract_if(.., |key, _| key.1 == column));
        }

        released
    }

    /// Returns claims for all running loans in the given columns, from any lender.
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

    /// Ends expired loans.
    pub(super) fn expire(&mut self, now: Instant) {
        for account in self.accounts.values_mut() {
            if account.expiries.values().all(|until| now < *until) {
                continue;
            }

            account.expiries.retain(|_, until| now < *until);
            let columns = std::mem::take(&mut account.expiries);
            account.end_loans(|_, column| !columns.contains_key(&column));
            account.expiries = columns;
        }
    }

    /// Ends all loans after a pause of this process.
    pub(super) fn end_all_loans(&mut self) {
        for account in self.accounts.values_mut() {
            account.expiries.clear();
            account.end_loans(|_, _| true);
            account.send_now = true;
        }
    }

    /// Returns the requests that are due, each with its lender.
    pub(super) fn due_requests(&mut self, now: Instant) -> Vec<(HostId, LoanRequest)> {
        let due = |account: &LenderAccount| {
            account.next_request_time(&self.times).is_some_and(|at| at <= now)
        };
        let accounts = self.accounts.iter().filter(|(_, account)| due(account));
        let lenders: Vec<(HostId, Vec<LoanClaim>)> = accounts
            .map(|(lender, account)| (*lender, self.claims(&account.columns_to_claim)))
            .collect();
        let mut requests = Vec::new();

        for (lender, claims) in lenders {
            let Some(account) = self.accounts.get_mut(&lender) else { continue };

            self.last_request += 1;
            let request = account.build_request(self.session, self.last_request, &self.times, now);
            requests.push((lender, LoanRequest { claims, ..request }));
        }

        requests
    }

    /// Removes unreachable lenders that have neither loans nor pending returns.
    pub(super) fn remove_gone_lenders(&mut self, admission_hosts: &AdmissionHosts) {
        self.accounts.retain(|lender, account| {
            admission_hosts.is_reachable(*lender)
                || !account.loans.is_empty()
                || !account.pending_returns.is_empty()
        });
    }

    /// Returns the borrowed buckets of a tenant.
    pub(super) fn usable_buckets(&mut self, tenant: TenantId) -> impl Iterator<Item = &mut Bucket> {
        let all = (tenant, ColumnId(0))..=(tenant, ColumnId(u16::MAX));

        self.accounts
            .values_mut()
            .flat_map(move |account| account.buckets.range_mut(all.clone()))
            .map(|(_, bucket)| bucket)
    }

    /// Returns the borrowed slices that have not expired.
    pub(super) fn usable_slices(&self, now: Instant) -> impl Iterator<Item = SliceKey> {
        self.accounts.values().flat_map(move |account| {
            let keys = account.buckets.keys().copied();

            keys.filter(move |(_, column)| account.expiries.get(column).is_some_and(|u| now < *u))
        })
    }

    /// Returns when the next request or expiry is due.
    pub(super) fn wake_at(&self) -> Option<Instant> {
        let requests = self.accounts.values().filter_map(|a| a.next_request_time(&self.times));
        let ends = self.accounts.values().flat_map(|account| account.expiries.values().copied());

        requests.chain(ends).min()
    }
}

impl LenderAccount {
    /// Returns when the next request is due.
    fn next_request_time(&self, times: &SliceTimes) -> Option<Instant> {
        let idle = self.loans.is_empty() && self.pending_returns.is_empty();

        // Requests to a lender that does not answer stop at some point. A lender that comes back
        // sends an offer.
        let gave_up = self.loans.is_empty() && self.give_up_at <= self.next_request_at;

        let at = match (self.send_now, self.pending_request) {
            (false, _) if idle || gave_up => return None,
            (true, None) => Instant(0),
            (false, None) => self.next_request_at,
            (_, Some(request)) => request.sent_at + times.resend_after,
        };

        Some(at)
    }

    /// Builds a request.
    fn build_request(
        &mut self,
        session: u64,
        number: u64,
        times: &SliceTimes,
        now: Instant,
    ) -> LoanRequest {
        self.send_now = false;
        self.next_request_at = now + times.renewal_interval;
        self.pending_request =
            Some(PendingRequest { number, sent_at: now, returns: self.pending_returns.len() });

        LoanRequest {
            session,
            number,
            lender: self.lender_session,
            acknowledged: self.acknowledged_grant,
            returns: self.pending_returns.clone(),
            claims: Vec::new(),
        }
    }

    /// Ends all loans without returning them. They were made by an earlier run of the lender's
    /// process, and the current run does not know about them.
    fn clear(&mut self) {
        self.expiries.clear();
        self.end_loans(|_, _| true);
        self.pending_returns.clear();
    }

    /// Renews the loans in the columns that the grant lists. Loans in other columns keep their
    /// expiry, because the lender no longer owns these columns. Loans from the lender's former
    /// ownership of a column end at once.
    fn renew_columns(&mut self, grant: &LoanGrant, until: Instant) {
        for (column, since) in grant.columns.iter().zip(&grant.since) {
            self.end_loans(|loan, other| other == column_of(*column) && loan < *since);
        }

        for column in &grant.columns {
            self.expiries.insert(column_of(*column), until);
        }
    }

    /// Applies changed shares.
    fn apply_share_changes(&mut self, grant: &LoanGrant, now: Instant) {
        for change in &grant.changes {
            let Some(key) = self.loans.get(&change.loan) else { continue };
            let Some(bucket) = self.buckets.get_mut(key) else { continue };

            bucket.set_share(Share { rate: change.rate, burst: change.burst }, now);
        }
    }

    /// Returns the loans that the grant recalls.
    fn return_recalled(&mut self, grant: &LoanGrant, now: Instant) {
        for loan in &grant.recalls {
            let Some(key) = self.loans.remove(loan) else { continue };
            let Some(mut bucket) = self.buckets.remove(&key) else { continue };

            let level = bucket.level(now);
            self.pending_returns.push(LoanReturn { loan: *loan, level });
            self.send_now = true;
        }
    }

    /// Adds the new loans in the grant.
    fn add_loans(&mut self, grant: &LoanGrant, now: Instant) {
        for loan in &grant.loans {
            let key = (TenantId(loan.tenant), column_of(loan.column));
            let share = Share { rate: loan.rate, burst: loan.burst };
            let bucket = Bucket::new(share, loan.level, now);

            self.buckets.insert(key, bucket);
            self.loans.insert(loan.loan, key);
        }
    }

    /// Adds claimed loans as loans of this lender and keeps their buckets. Loans that this host
    /// no longer has are returned.
    fn add_adopted_loans(
        &mut self,
        adoptions: &[LoanAdoption],
        adopted: Vec<Option<Bucket>>,
        now: Instant,
    ) {
        for (adoption, bucket) in adoptions.iter().zip(adopted) {
            let LoanAdoption { claim, loan, rate, burst } = *adoption;

            let Some(mut bucket) = bucket else {
                self.pending_returns.push(LoanReturn { loan, level: 0 });
                self.send_now = true;
                continue;
            };

            let key = (TenantId(claim.tenant), column_of(claim.column));
            bucket.set_share(Share { rate, burst }, now);
            self.buckets.insert(key, bucket);
            self.loans.insert(loan, key);
        }
    }

    /// Ends the loans that match `predicate`. Their remaining tokens are lost.
    fn end_loans(&mut self, predicate: impl Fn(u64, ColumnId) -> bool) {
        let Self { buckets, loans, pending_returns, .. } = self;

        loans.retain(|loan, key| {
            if !predicate(*loan, key.1) {
                return true;
            }

            buckets.remove(key);

            // The lender may have renewed the loan in a grant that was lost. The return tells it
            // that the loan has ended, so it need not wait for the expiry.
            pending_returns.push(LoanReturn { loan: *loan, level: 0 });
            false
        });
    }
}

fn column_of(column: u32) -> ColumnId {
    ColumnId(u16::try_from(column).unwrap_or(u16::MAX))
}
