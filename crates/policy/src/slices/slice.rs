//! The state of a slice at its owner.

use camphorwalk_core::ids::HostId;
use camphorwalk_core::time::Instant;

use super::bucket::{Bucket, Share};

/// A run of a borrower's process. A restarted borrower does not know its earlier loans, while its
/// earlier process may only be paused. The loans of different runs are kept apart therefore.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct BorrowerRun {
    pub(super) host: HostId,
    pub(super) session: u64,
}

/// An owned column.
#[derive(Clone, Copy, Debug)]
pub(super) struct OwnedColumn {
    /// When the ownership ends.
    pub(super) until: Instant,
    /// Loans of this ownership have higher numbers than this.
    pub(super) acquired_number: u64,
    /// When all loans of former owners have expired.
    pub(super) usable_from: Instant,
    /// Whether no host owned the column before and its slices have not been created yet. They
    /// start full.
    pub(super) starts_full: bool,
}

/// A slice of an owned column.
#[derive(Debug)]
pub(super) struct Slice {
    pub(super) share: Share,
    pub(super) holder: SliceHolder,
    /// Loans of former owners may run until this time.
    pub(super) usable_from: Instant,
}

/// Who may use a slice.
#[derive(Debug)]
pub(super) enum SliceHolder {
    /// The owner uses it.
    Owner(Bucket),
    /// A borrower uses it.
    Borrower(LentSlice),
}

/// A slice that is on loan.
#[derive(Debug)]
pub(super) struct LentSlice {
    pub(super) borrower: BorrowerRun,
    /// The number of the grant that contained the loan.
    pub(super) grant: u64,
    /// The bucket at the time of the loan. The owner restores it if the grant is lost.
    pub(super) bucket: Bucket,
    /// The share that was last sent to the borrower.
    pub(super) reported_share: Share,
    /// The number of the grant that contained this share.
    pub(super) reported_in: u64,
}

impl Slice {
    pub(super) fn set_share(&mut self, share: Share, now: Instant) {
        self.share = share;

        // A borrower uses the old share until it applies the grant with the new one.
        match &mut self.holder {
            SliceHolder::Owner(bucket) => bucket.set_share(share, now),
            SliceHolder::Borrower(lent) => lent.bucket.set_share(share, now),
        }
    }

    /// Creates a slice that its owner uses.
    pub(super) fn new(share: Share, level: u64, usable_from: Instant) -> Self {
        let holder = SliceHolder::Owner(Bucket::new(share, level, usable_from));

        Self { share, holder, usable_from }
    }

    /// Takes the slice back with the tokens left in it. A level of zero is also reported for a
    /// loan that the borrower did not have. In that case a former owner's loan may still be
    /// running elsewhere.
    pub(super) fn accept_return(&mut self, level: u64, now: Instant) {
        if level > 0 {
            self.usable_from = self.usable_from.min(now);
        }

        let from = self.usable_from.max(now);
        self.holder = SliceHolder::Owner(Bucket::new(self.share, level, from));
    }

    /// Lends the slice. The owner restores `bucket` if the grant is lost.
    pub(super) fn lend(&mut self, borrower: BorrowerRun, bucket: Bucket, grant: u64) {
        let (reported_share, reported_in) = (self.share, grant);

        self.holder = SliceHolder::Borrower(LentSlice {
            borrower,
            grant,
            bucket,
            reported_share,
            reported_in,
        });
    }

    /// Returns the bucket if this host may use or lend it while it owns `column`.
    pub(super) fn usable(&self, column: &OwnedColumn, now: Instant) -> Option<&Bucket> {
        match &self.holder {
            SliceHolder::Owner(bucket) if self.usable_from <= now && now < column.until => {
                Some(bucket)
            }
            _ => None,
        }
    }

    /// Returns whether a former owner's loan of this slice may be continued.
    pub(super) fn is_claimable(&self, now: Instant) -> bool {
        matches!(self.holder, SliceHolder::Owner(_)) && now < self.usable_from
    }

    /// Returns whether the tenant was removed from the configuration, or has no rate and no burst.
    pub(super) fn is_tenant_removed(&self) -> bool {
        self.share == Share::default()
    }

    /// Returns whether the tenant was removed and no borrower uses the slice.
    pub(super) fn is_removable(&self) -> bool {
        self.is_tenant_removed() && matches!(self.holder, SliceHolder::Owner(_))
    }

    /// Returns the host that should send a loan request, so that this slice can be lent to it,
    /// recalled from it, or given its new share there. `admission_host` is that of the tenant.
    pub(super) fn pending_host(&self, admission_host: HostId) -> Option<HostId> {
        match &self.holder {
            SliceHolder::Owner(_) => Some(admission_host),
            SliceHolder::Borrower(lent)
                if lent.borrower.host != admission_host || lent.reported_share != self.share =>
            {
                Some(lent.borrower.host)
            }
            SliceHolder::Borrower(_) => None,
        }
    }
}
