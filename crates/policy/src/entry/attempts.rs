//! Tracks whether any target may have run a call.

/// The attempts of one call so far.
///
/// A refusal that promises "not run" refers to the call as a whole. A target that did not run it
/// can only say so about its own attempt: an earlier target whose answer was lost may have run it.
///
/// ```
/// use camphorwalk_policy::entry::attempts::Attempts;
/// let mut attempts = Attempts::default();
/// attempts.sent();
/// attempts.not_run();
/// assert!(!attempts.may_have_run());
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Attempts {
    /// Whether an attempt before the last one may have run.
    earlier: bool,
    /// Whether the last attempt may have run.
    last: bool,
}

impl Attempts {
    /// Records that the call is sent to a target.
    pub fn sent(&mut self) {
        self.earlier |= self.last;
        self.last = true;
    }

    /// Records that the last attempt certainly did not run: its target says so, or nothing of the
    /// call was sent.
    pub fn not_run(&mut self) {
        self.last = false;
    }

    /// Returns whether a target may have run the call.
    pub fn may_have_run(self) -> bool {
        self.earlier || self.last
    }
}
