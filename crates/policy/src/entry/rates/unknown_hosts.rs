//! The calls that are charged for hosts which have not reported any calls to this process yet.
//!
//! After a restart of all hosts every host is in this state for every other, and the estimates for
//! all of them amount to nearly the whole rate. They are replaced by what each host reports first.

/// The estimated calls of one tenant at the hosts that have not reported their calls.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct UnknownHosts {
    estimated: f64,
}

impl UnknownHosts {
    /// Adds the calls estimated for all of these hosts.
    pub(super) fn add(&mut self, calls: f64) {
        self.estimated += calls;
    }

    /// Limits the estimate to the tokens that are missing from the bucket. Tokens that would not
    /// have fit into the bucket without the estimate must not be put back either.
    pub(super) fn limit(&mut self, missing: f64) {
        self.estimated = self.estimated.min(missing.max(0.0));
    }

    /// Removes and returns the estimate for some of these hosts. `part` is their fraction.
    pub(super) fn take(&mut self, part: f64) -> f64 {
        let taken = self.estimated * part;

        self.estimated -= taken;
        taken
    }
}
