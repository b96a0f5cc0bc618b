//! Notices of a host's load to the hosts that prefer the same targets.
//!
//! Status updates arrive about as late as a call is long. Hosts that share targets therefore send
//! each other their calls in flight far more often, as long as they change. A lost notice does no
//! harm, since status updates with the same content continue.

use std::time::Duration;

use camphorwalk_core::hash::Map;
use camphorwalk_core::ids::HostId;
use camphorwalk_core::time::Instant;

/// The shortest period of notices. With the time that they take to arrive, hosts know each other's
/// load within 50 ms, a fifth of a turn.
const MIN_PERIOD: Duration = Duration::from_millis(30);

/// The period is at least this long for each receiver, so that no host sends more than 330 notices a
/// second.
const PERIOD_PER_RECEIVER: Duration = Duration::from_millis(3);

/// For this long after a notice, the load in status updates of the same host does not count, since
/// an update may have been on the way for longer than the notice.
const PRECEDENCE: Duration = Duration::from_millis(150);

/// Returns the pause between two notices to this many hosts.
///
/// ```
/// use std::time::Duration;
/// use camphorwalk_policy::entry::load_notices::period;
/// assert_eq!(period(9), Duration::from_millis(30));
/// assert_eq!(period(20), Duration::from_millis(60));
/// ```
pub fn period(receivers: usize) -> Duration {
    let receivers = u32::try_from(receivers).unwrap_or(u32::MAX);

    MIN_PERIOD.max(PERIOD_PER_RECEIVER.saturating_mul(receivers))
}

/// The last notice of another host that was applied.
#[derive(Clone, Copy, Debug)]
struct Last {
    run: u64,
    sequence: u64,
    at: Instant,
}

/// The notices that have arrived from other hosts.
#[derive(Clone, Debug, Default)]
pub struct LoadNotices {
    last: Map<HostId, Last>,
}

impl LoadNotices {
    /// Records a notice of another host whose latest status update is of `run_of_status`. Returns
    /// whether its load replaces what is known: it does not if it is of another run of the host's
    /// process, or older than one that was applied.
    ///
    /// ```
    /// use camphorwalk_core::ids::HostId;
    /// use camphorwalk_core::time::Instant;
    /// use camphorwalk_policy::entry::load_notices::LoadNotices;
    /// let mut notices = LoadNotices::default();
    /// let mut record = |run, sequence| notices.record(Instant(1), HostId(1), run, sequence, Some(7));
    /// assert_eq!([record(7, 2), record(7, 1), record(6, 3)], [true, false, false]);
    /// ```
    pub fn record(
        &mut self,
        now: Instant,
        host: HostId,
        run: u64,
        sequence: u64,
        run_of_status: Option<u64>,
    ) -> bool {
        let last = self.last.get(&host).filter(|last| last.run == run);
        if run_of_status != Some(run) || last.is_some_and(|last| sequence <= last.sequence) {
            return false;
        }

        self.last.insert(host, Last { run, sequence, at: now });
        true
    }

    /// Returns whether the load in a status update counts that another host sent at `sent_at`, as
    /// far as that is known.
    ///
    /// ```
    /// use camphorwalk_core::ids::HostId;
    /// use camphorwalk_core::time::Instant;
    /// use camphorwalk_policy::entry::load_notices::LoadNotices;
    /// let mut notices = LoadNotices::default();
    /// let at = Instant::from_millis;
    /// notices.record(at(1_000), HostId(1), 7, 1, Some(7));
    /// assert!(!notices.permits_status(at(1_100), HostId(1), 7));
    /// assert!(notices.permits_status(at(1_200), HostId(1), 7));
    /// assert!(notices.permits_status(at(1_100), HostId(1), 8));
    /// ```
    pub fn permits_status(&self, sent_at: Instant, host: HostId, run: u64) -> bool {
        let last = self.last.get(&host).filter(|last| last.run == run);

        last.is_none_or(|last| sent_at >= last.at + PRECEDENCE)
    }

    /// Forgets the hosts that no longer belong to the fleet.
    pub fn retain(&mut self, is_member: impl Fn(HostId) -> bool) {
        self.last.retain(|host, _| is_member(*host));
    }
}
