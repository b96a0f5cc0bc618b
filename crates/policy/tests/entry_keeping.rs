//! Keeping a turn whose stream has ended, while the store and the other hosts are in trouble.

use std::time::Duration;

use camphorwalk_policy::entry::keeping::{Keeping, Next};

/// How much longer a caller waits, from the end of its turn on.
const PATIENCE: Duration = Duration::from_secs(3);

/// What came of tries, and when.
#[derive(Debug, PartialEq, Eq)]
enum End {
    Kept(Duration),
    BrokenOff(Duration),
}

/// Plays tries that take `each` and do not keep the turn until `kept_at`. Returns what came of them
/// and how many there were in vain.
fn play(each: Duration, kept_at: Duration) -> (End, u32) {
    let mut keeping = Keeping::default();
    let mut now = Duration::ZERO;

    loop {
        now += each;
        if now >= kept_at {
            return (End::Kept(now), keeping.misses());
        }
        match keeping.missed(PATIENCE.saturating_sub(now), false) {
            Next::TryAgain(pause) => now += pause,
            Next::BreakOff => return (End::BrokenOff(now), keeping.misses()),
        }
    }
}

#[test]
fn a_turn_is_kept_soon_after_it_can_be() {
    // Guards against a stream that is broken off although the store is back within its caller's time.
    for kept_at in [200, 900, 2_000].map(Duration::from_millis) {
        let (end, _) = play(Duration::from_millis(160), kept_at);

        let End::Kept(at) = end else { panic!("{end:?} for {kept_at:?}") };
        assert!(at < kept_at + Duration::from_millis(600), "{at:?} for {kept_at:?}");
    }
}

#[test]
fn a_turn_that_nobody_takes_is_broken_off_within_its_callers_time() {
    // Guards against an answer that is held after its caller has gone.
    let (end, _) = play(Duration::from_millis(160), Duration::MAX);

    assert!(matches!(end, End::BrokenOff(at) if at <= PATIENCE), "{end:?}");
}

#[test]
fn a_store_in_trouble_is_asked_a_few_times_for_a_turn() {
    // Guards against a store that stays in trouble by the calls of what waits for it.
    let (_, misses) = play(Duration::from_millis(1), Duration::MAX);

    assert!(misses <= 12, "{misses}");
}

#[test]
fn a_host_behind_a_cut_breaks_off_at_once() {
    // Guards against callers who wait in vain at a host that may promise nothing.
    assert_eq!(Keeping::default().missed(PATIENCE, true), Next::BreakOff);
}
