//! The account of the bytes that a host holds for slow readers.

use std::time::Duration;

use camphorwalk_core::time::Instant;
use camphorwalk_policy::entry::held_bytes::{
    Direction, HeldBytes, HoldDecision, ReadDecision, ReservationKey, decide_read,
};
use proptest::prelude::*;

const MEMORY: u64 = 88 << 20;
const ANSWER: u64 = 64 << 10;

/// Returns an account of a host with 88 MB, of which it may hold a third besides the turn cache.
fn account() -> HeldBytes {
    HeldBytes::new(MEMORY, 0.5)
}

/// Reserves bytes, giving up the answers that the account names. Returns whether they are held.
fn hold(account: &mut HeldBytes, now: Instant, key: ReservationKey, bytes: u64) -> bool {
    loop {
        match account.reserve(now, key, bytes) {
            HoldDecision::Hold => return true,
            HoldDecision::HoldAfterDropping(victim) => account.release(victim),
            HoldDecision::Refuse => return false,
        }
    }
}

/// Opens a reservation of a tenant and reserves bytes for it, without giving up any answer.
fn open(
    account: &mut HeldBytes,
    now: Instant,
    tenant: &str,
    direction: Direction,
    bytes: u64,
) -> (ReservationKey, HoldDecision) {
    let key = account.open(tenant, direction);
    account.deliver(now, key);
    let decision = account.reserve(now, key, bytes);

    (key, decision)
}

/// Fills the account with answers of a tenant of which nothing is read, up to what it admits.
fn fill(account: &mut HeldBytes, now: Instant, tenant: &str) -> Vec<ReservationKey> {
    let mut keys = Vec::new();

    loop {
        match open(account, now, tenant, Direction::Answer, ANSWER) {
            (key, HoldDecision::Hold) => keys.push(key),
            (key, _) => {
                account.release(key);
                return keys;
            }
        }
    }
}

/// A step in the life of reservations; numbers choose among those that exist.
#[derive(Clone, Debug)]
enum Step {
    Open { tenant: u8, is_answer: bool },
    Reserve { index: usize, bytes: u64 },
    Take { index: usize, bytes: u64 },
    Release { index: usize },
    Pause { millis: u64 },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => (0..6_u8, any::<bool>())
            .prop_map(|(tenant, is_answer)| Step::Open { tenant, is_answer }),
        6 => (any::<usize>(), 0..400_u64)
            .prop_map(|(index, bytes)| Step::Reserve { index, bytes }),
        3 => (any::<usize>(), 0..400_u64).prop_map(|(index, bytes)| Step::Take { index, bytes }),
        1 => any::<usize>().prop_map(|index| Step::Release { index }),
        1 => (0..3_000_u64).prop_map(|millis| Step::Pause { millis }),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(512) })]

    /// Guards against an account that exceeds its bound, and against bytes that stay counted after
    /// their reservation is gone, in any order of steps.
    #[test]
    fn the_bound_is_kept_and_nothing_leaks(steps in prop::collection::vec(step(), 1..200)) {
        let mut account = HeldBytes::new(4_000, 0.5);
        let mut now = Instant::from_millis(0);
        let mut open: Vec<(ReservationKey, u64)> = Vec::new();

        for step in steps {
            let count = open.len().max(1);
            match step {
                Step::Open { tenant, is_answer } => {
                    let direction =
                        if is_answer { Direction::Answer } else { Direction::Request };
                    open.push((account.open(&tenant.to_string(), direction), 0));
                }
                Step::Reserve { index, bytes } if !open.is_empty() => loop {
                    let (key, held) = &mut open[index % count];
                    match account.reserve(now, *key, bytes) {
                        HoldDecision::Hold => {
                            *held += bytes;
                            break;
                        }
                        HoldDecision::HoldAfterDropping(victim) => {
                            prop_assert!(victim != *key);
                            account.release(victim);
                            open.iter_mut().filter(|(key, _)| *key == victim).for_each(|o| o.1 = 0);
                            // A reservation that was given up stays open for its owner, which
                            // releases it later once more.
                        }
                        HoldDecision::Refuse => break,
                    }
                },
                Step::Take { index, bytes } if !open.is_empty() => {
                    let (key, held) = &mut open[index % count];
                    account.take(now, *key, bytes);
                    *held -= bytes.min(*held);
                }
                Step::Release { index } if !open.is_empty() => {
                    account.release(open.swap_remove(index % count).0);
                }
                Step::Pause { millis } => now = now + Duration::from_millis(millis),
                _ => {}
            }

            let expected: u64 = open.iter().map(|(_, held)| held).sum();
            prop_assert_eq!(account.held(), expected);
            prop_assert!(account.held() <= account.room());
            prop_assert!(account.held() + account.turn_cache_bytes() <= 2_000);
        }

        open.iter().for_each(|(key, _)| account.release(*key));
        prop_assert_eq!((account.held(), account.reservations(), account.tenants()), (0, 0, 0));
    }
}

/// Guards against one tenant whose callers do not read, and which takes the room of all others.
#[test]
fn a_thousand_slow_readers_of_a_tenant_leave_room_for_all_others() {
    let mut account = account();
    let mut refused_slow = 0;
    let mut running = Vec::new();

    for i in 0..3_000_u64 {
        let now = Instant::from_millis(i);
        // A slow reader arrives with each other call, and none of them ever reads.
        let slow = account.open("slow", Direction::Answer);
        match account.reserve(now, slow, ANSWER) {
            HoldDecision::Hold => {}
            HoldDecision::HoldAfterDropping(_) | HoldDecision::Refuse => {
                account.release(slow);
                refused_slow += 1;
            }
        }

        // Twenty others hold a request and an answer for 20 ms each.
        let tenant = (i % 20).to_string();
        let (request, decision) = open(&mut account, now, &tenant, Direction::Request, 8 << 10);
        assert_eq!(decision, HoldDecision::Hold, "request {i}");
        let (answer, decision) = open(&mut account, now, &tenant, Direction::Answer, ANSWER);
        assert_eq!(decision, HoldDecision::Hold, "answer {i}");
        running.push((request, answer));
        if running.len() > 20 {
            let (request, answer) = running.remove(0);
            account.release(request);
            account.take(now, answer, ANSWER);
            account.release(answer);
        }
    }

    assert!(refused_slow > 1_000, "{refused_slow} slow ones refused");
}

/// Guards against a host that reads the requests of a tenant whose callers hold most of the memory.
#[test]
fn a_request_of_a_tenant_over_its_part_is_refused_when_the_account_is_three_quarters_full() {
    let mut account = account();
    let now = Instant::from_millis(0);
    let answers = fill(&mut account, now, "slow");
    assert!(account.held() <= account.room() / 8 * 7);
    assert!(account.held() + ANSWER > account.room() / 8 * 7);

    let own = account.open("slow", Direction::Request);
    assert_eq!(account.check_new(now, own, ANSWER), HoldDecision::Refuse);
    let other = account.open("other", Direction::Request);
    assert_eq!(account.check_new(now, other, ANSWER), HoldDecision::Hold);

    // After a third of the answers are taken, the tenant's requests are read again.
    answers.iter().take(answers.len() / 3).for_each(|key| account.take(now, *key, ANSWER));
    assert_eq!(account.check_new(now, own, ANSWER), HoldDecision::Hold);
}

/// Guards against answers that are given up although their callers read, or that stay although
/// their callers do not.
#[test]
fn the_largest_answer_that_has_not_moved_for_two_seconds_is_given_up_first() {
    let mut account = HeldBytes::new(4_000, 0.5);
    let start = Instant::from_millis(0);
    let (small, _) = open(&mut account, start, "a", Direction::Answer, 200);
    let (large, _) = open(&mut account, start, "a", Direction::Answer, 300);
    let (read, _) = open(&mut account, start, "a", Direction::Answer, 400);
    let (request, _) = open(&mut account, start, "b", Direction::Request, 400);
    let wanted = account.open("c", Direction::Answer);

    // Nothing is given up before two seconds, nor what a caller reads, nor a request.
    let early = Instant::from_millis(2_000);
    account.take(early, read, 10);
    assert_eq!(account.reserve(early, wanted, 40), HoldDecision::Hold);
    assert_eq!(account.reserve(early, wanted, 100), HoldDecision::Refuse);
    let late = Instant::from_millis(2_001);
    assert_eq!(account.reserve(late, wanted, 100), HoldDecision::HoldAfterDropping(large));
    account.release(large);
    assert!(hold(&mut account, late, wanted, 100));
    assert_eq!(account.bytes(small), 200);
    assert_eq!(account.bytes(request), 400);
}

/// Guards against answers that are given up in vain, because they do not make enough room.
#[test]
fn no_answer_is_given_up_for_bytes_that_do_not_fit_anyway() {
    let mut account = HeldBytes::new(4_000, 0.5);
    let start = Instant::from_millis(0);
    let receiving = account.open("a", Direction::Answer);
    assert_eq!(account.reserve(start, receiving, 900), HoldDecision::Hold);
    let (stalled, _) = open(&mut account, start, "a", Direction::Answer, 50);

    // The room is 1,334 bytes: 56 are missing, and only 50 could be given up.
    let now = Instant::from_millis(5_000);
    let (_, decision) = open(&mut account, now, "b", Direction::Answer, 440);

    assert_eq!(decision, HoldDecision::Refuse);
    assert_eq!(account.bytes(stalled), 50);
}

/// Guards against a tenant over its part that displaces the answers of other tenants.
#[test]
fn a_tenant_over_its_part_displaces_only_its_own_answers() {
    let mut account = account();
    let start = Instant::from_millis(0);
    let (other, _) = open(&mut account, start, "other", Direction::Answer, 2 * ANSWER);
    fill(&mut account, start, "slow");
    let now = Instant::from_millis(2_500);

    let key = account.open("slow", Direction::Answer);
    assert!(hold(&mut account, now, key, ANSWER));
    assert_eq!(account.bytes(other), 2 * ANSWER);
    let request = account.open("slow", Direction::Request);
    assert_eq!(account.check_new(now, request, ANSWER), HoldDecision::Refuse);
}

/// Guards against a host that refuses all calls because its bound is smaller than the turn cache.
#[test]
fn a_small_fraction_leaves_room_besides_the_turn_cache() {
    let small = HeldBytes::new(MEMORY, 0.1);
    assert_eq!(small.turn_cache_bytes(), small.room());

    let large = HeldBytes::new(MEMORY, 0.5);
    assert_eq!(large.turn_cache_bytes(), MEMORY / 6);
    assert_eq!(large.room(), MEMORY / 2 - MEMORY / 6);
}

/// Guards against a caller that loses its answer because a slow target pauses within the body.
#[test]
fn an_answer_that_is_still_being_received_is_not_given_up() {
    let mut account = HeldBytes::new(4_000, 0.5);
    let receiving = account.open("a", Direction::Answer);
    assert_eq!(account.reserve(Instant::from_millis(0), receiving, 950), HoldDecision::Hold);
    let wanted = account.open("b", Direction::Answer);

    let now = Instant::from_millis(9_000);
    assert_eq!(account.reserve(now, wanted, 440), HoldDecision::Refuse);
    account.deliver(now, receiving);
    let now = Instant::from_millis(11_001);
    let given_up = HoldDecision::HoldAfterDropping(receiving);
    assert_eq!(account.reserve(now, wanted, 440), given_up);
}

/// Guards against a target that cuts off an answer because the host leaves it unread, and against a
/// host that reads all of an answer at once for a caller that does not.
#[test]
fn reading_pauses_for_at_most_a_second() {
    let limit = 256 << 10;

    assert_eq!(decide_read(limit - 1, Duration::from_secs(5)), ReadDecision::Read);
    let pause = ReadDecision::Pause(Duration::from_secs(1));
    assert_eq!(decide_read(limit, Duration::ZERO), pause);
    let pause = ReadDecision::Pause(Duration::from_millis(1));
    assert_eq!(decide_read(limit, Duration::from_millis(999)), pause);
    assert_eq!(decide_read(limit, Duration::from_secs(1)), ReadDecision::TakeOver);
}
