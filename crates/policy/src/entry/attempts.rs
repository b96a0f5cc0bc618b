//! What is known of a call's attempts: whether any target may have run it.

/// The attempts of one call so far.
///
/// A refusal that promises "not run" speaks of the call as a whole. A target that has not run it
/// says so of its own attempt only: an earlier target, whose answer was lost, may have run it.
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
    /// Takes in that the call is sent to a target.
    pub fn sent(&mut self) {
        self.earlier |= self.last;
        self.last = true;
    }

    /// Takes in that the last attempt has certainly not run: its target says so, or nothing of it
    /// was sent.
    pub fn not_run(&mut self) {
        self.last = false;
    }

    /// Returns whether a target may have run the call.
    pub fn may_have_run(self) -> bool {
        self.earlier || self.last
    }
}
