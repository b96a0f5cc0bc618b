//! A slice at its owner: here, or lent.

use camphorwalk_core::ids::HostId;
use camphorwalk_core::time::Instant;

use super::bucket::{Bucket, Share};

/// A run of a borrower's process. A restarted borrower does not know its former loans, and
/// its former run may only be paused: their loans are never mixed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Borrower {
    pub(super) host: HostId,
    pub(super) session: u64,
}

/// An owned column.
#[derive(Clone, Copy, Debug)]
pub(super) struct Column {
    /// Ownership ends here.
    pub(super) until: Instant,
    /// Loans of this ownership have higher numbers.
    pub(super) since: u64,
    /// Loans of former owners are over from here on.
    pub(super) usable_from: Instant,
    /// Whether no host ever owned it and its slices are still to be made: they begin full.
    pub(super) begins_full: bool,
}

/// A slice of an owned column.
#[derive(Debug)]
pub(super) struct Slice {
    pub(super) share: Share,
    pub(super) place: Place,
    /// A former owner's loan may run until here.
    pub(super) usable_from: Instant,
}

/// Who may use a slice.
#[derive(Debug)]
pub(super) enum Place {
    /// This host.
    Here(Bucket),
    /// The borrower.
    Lent(Lent),
}

/// A loan of a slice.
#[derive(Debug)]
pub(super) struct Lent {
    pub(super) borrower: Borrower,
    /// The grant that lent it.
    pub(super) grant: u64,
    /// The bucket as it was lent, in case that the grant is lost.
    pub(super) bucket: Bucket,
    /// The share that the borrower was told last.
    pub(super) told: Share,
    /// The grant that told it.
    pub(super) told_by: u64,
}

impl Slice {
    pub(super) fn set_share(&mut self, share: Share, now: Instant) {
        self.share = share;

        // A borrower goes on with the old share until it takes in the grant that tells it.
        match &mut self.place {
            Place::Here(bucket) => bucket.change(share, now),
            Place::Lent(lent) => lent.bucket.change(share, now),
        }
    }

    /// Makes a slice that is here.
    pub(super) fn new(share: Share, level: u64, usable_from: Instant) -> Self {
        let place = Place::Here(Bucket::new(share, level, usable_from));

        Self { share, place, usable_from }
    }

    /// Takes the slice back with what is left in it. Zero is also said of a loan that its
    /// borrower did not have: then a former owner's loan may still run elsewhere.
    pub(super) fn take_back(&mut self, level: u64, now: Instant) {
        if level > 0 {
            self.usable_from = self.usable_from.min(now);
        }

        let from = self.usable_from.max(now);
        self.place = Place::Here(Bucket::new(self.share, level, from));
    }

    /// Lends the slice; `bucket` is what comes back if the grant is lost.
    pub(super) fn lend(&mut self, borrower: Borrower, bucket: Bucket, grant: u64) {
        let (told, told_by) = (self.share, grant);

        self.place = Place::Lent(Lent { borrower, grant, bucket, told, told_by });
    }

    /// Returns the bucket if this host may use or lend it, given the end of its ownership.
    pub(super) fn usable(&self, column: &Column, now: Instant) -> Option<&Bucket> {
        match &self.place {
            Place::Here(bucket) if self.usable_from <= now && now < column.until => Some(bucket),
            _ => None,
        }
    }

    /// Returns whether a former owner's loan of it may go on as this host's.
    pub(super) fn is_claimable(&self, now: Instant) -> bool {
        matches!(self.place, Place::Here(_)) && now < self.usable_from
    }

    /// Returns whether its tenant is withdrawn.
    pub(super) fn is_withdrawn(&self) -> bool {
        self.share == Share::default()
    }

    /// Returns whether its tenant is withdrawn and nobody uses it.
    pub(super) fn is_over(&self) -> bool {
        self.is_withdrawn() && matches!(self.place, Place::Here(_))
    }

    /// Returns the host whose next request this slice waits for, given its pool host.
    pub(super) fn waits_for(&self, pool: HostId) -> Option<HostId> {
        match &self.place {
            Place::Here(_) => Some(pool),
            Place::Lent(lent) if lent.borrower.host != pool || lent.told != self.share => {
                Some(lent.borrower.host)
            }
            Place::Lent(_) => None,
        }
    }
}
