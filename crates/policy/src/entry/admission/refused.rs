//! Programs whose start was refused, as hosts of a zone report them to each other.

use std::time::Duration;

use camphorwalk_core::hash::stable_hash;
use camphorwalk_core::time::Instant;

/// The unit of times in a report.
const TIME_UNIT: Duration = Duration::from_millis(10);

/// The bits of a report that hold the time until the return.
const TIME_BITS: u64 = 0x7f;

/// The bit of a report that tells whether the tenant was within its share.
const WITHIN_SHARE_BIT: u64 = 0x80;

/// The bits of a report that identify the program.
const PROGRAM_BITS: u64 = !(TIME_BITS | WITHIN_SHARE_BIT);

/// Identifies a program of a tenant. Two programs are confused once in 2^56 pairs, which would only
/// let one of them start earlier.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ProgramHash(u64);

impl ProgramHash {
    /// Returns the hash of a tenant's program.
    ///
    /// ```
    /// use camphorwalk_policy::entry::admission::ProgramHash;
    /// assert_ne!(ProgramHash::new("easel", "p-1"), ProgramHash::new("gesso", "p-1"));
    /// ```
    pub fn new(tenant: &str, program: &str) -> Self {
        Self(stable_hash(&[tenant.as_bytes(), program.as_bytes()]) & PROGRAM_BITS)
    }
}

/// A program whose start was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RefusedProgram {
    /// The program.
    pub program: ProgramHash,
    /// Whether its tenant used no more than its share.
    pub is_within_share: bool,
    /// From when on the program counts as returning at the time that it was told.
    pub returns_from: Instant,
}

impl RefusedProgram {
    /// Returns the report of the program as sent to other hosts now.
    ///
    /// ```
    /// use camphorwalk_core::time::Instant;
    /// use camphorwalk_policy::entry::admission::{ProgramHash, RefusedProgram};
    /// let refused = RefusedProgram {
    ///     program: ProgramHash::new("easel", "p-1"),
    ///     is_within_share: true,
    ///     returns_from: Instant::from_millis(1_500),
    /// };
    /// let report = refused.to_report(Instant::from_millis(1_000));
    /// assert_eq!(RefusedProgram::from_report(report, Instant::from_millis(1_000)), refused);
    /// ```
    pub fn to_report(self, now: Instant) -> u64 {
        let left = self.returns_from.since(now).as_micros() / TIME_UNIT.as_micros();
        let time = u64::try_from(left).unwrap_or(u64::MAX).min(TIME_BITS);
        let flag = if self.is_within_share { WITHIN_SHARE_BIT } else { 0 };

        self.program.0 | flag | time
    }

    /// Reads a report that another host sent at `sent_at`.
    pub fn from_report(report: u64, sent_at: Instant) -> Self {
        let units = u32::try_from(report & TIME_BITS).unwrap_or(0);

        Self {
            program: ProgramHash(report & PROGRAM_BITS),
            is_within_share: report & WITHIN_SHARE_BIT != 0,
            returns_from: sent_at + TIME_UNIT * units,
        }
    }
}
