//! The return of refused programs: when they are told to, and that they go first when they do.

use std::time::Duration;

use camphorwalk_core::hash::Map;
use camphorwalk_core::ids::HostId;
use camphorwalk_core::time::Instant;
use camphorwalk_policy::entry::admission::{
    AdmissionChanges, Arrival, LimitTerms, ProgramHash, Refusal, RefusedProgram, StartAdmission,
    TurnCounts,
};
use camphorwalk_policy::entry::status_exchange::{Merge as _, Round, UnsentChanges};
use camphorwalk_policy::entry::waiting::{Urgency, WaitQueue, WaiterId};
use proptest::prelude::*;
use rand::rngs::SmallRng;
use rand::{Rng as _, SeedableRng as _};

const NOW: Instant = Instant(10_000_000);

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn program(number: u64) -> ProgramHash {
    ProgramHash::new("easel", &format!("program-{number}"))
}

fn refusal(number: u64, rank: u32) -> Refusal {
    Refusal { program: Some(program(number)), rank, time_left: None, random: 0.5 }
}

/// Returns the state of a host that has started this many programs per second for a while.
fn host_with_starts(per_second: u64) -> StartAdmission {
    let mut admission = StartAdmission::default();
    let period = 1_000_000 / per_second;
    let starts = per_second * 8;
    (0..starts).for_each(|i| admission.record_start(Instant(NOW.0 - (starts - i) * period)));

    admission
}

#[test]
fn programs_return_as_fast_as_the_host_starts_them() {
    // Guards against callers that are told one and the same time, whatever the load: some return in
    // vain, and use up their attempts.
    let mut admission = host_with_starts(20);

    let told: Vec<_> = (0..12).map(|i| admission.refuse(NOW, None, refusal(i, 1))).collect();

    assert_eq!(told[0], told[1], "nobody returns before the shortest time");
    assert!(told.iter().all(|after| (ms(150)..=ms(1_000)).contains(after)), "{told:?}");
    let last = told[11].as_secs_f64();
    assert!((0.5..0.7).contains(&last), "the twelfth returns after {last} s");
}

#[test]
fn lower_ranks_do_not_delay_the_return_of_higher_ones() {
    // Guards against a program of the first rank that is told to wait behind many others.
    let mut admission = host_with_starts(20);
    (0..100).for_each(|i| {
        admission.refuse(NOW, None, refusal(i, 1));
    });

    let first_rank = admission.refuse(NOW, None, refusal(100, 0));
    let second_rank = admission.refuse(NOW, None, refusal(101, 1));

    assert!(first_rank < ms(200) && second_rank > ms(800), "{first_rank:?}, {second_rank:?}");
}

#[test]
fn programs_that_are_refused_together_return_spread() {
    // Guards against a second burst made of the refused programs of the first: with one and the same
    // time for all, they return within a quarter of a second.
    let mut rng = SmallRng::seed_from_u64(1);
    let mut admission = host_with_starts(25);

    let told = (0..20).map(|i| {
        let refusal = Refusal { random: rng.random(), ..refusal(i, 1) };
        admission.refuse(NOW, None, refusal)
    });
    let mut counts = [0u32; 10];
    told.for_each(|after| counts[(after.as_millis() / 100) as usize] += 1);

    let mean = 20.0 / 8.0;
    assert!(counts.iter().all(|count| f64::from(*count) <= 2.0 * mean), "{counts:?}");
}

#[test]
fn a_program_whose_deadline_has_passed_returns_last() {
    // Guards against late programs that take the room of those that can still finish in time.
    let mut admission = host_with_starts(20);

    let late = Refusal { time_left: Some(Duration::ZERO), ..refusal(1, 0) };
    let told = admission.refuse(NOW, None, late);
    let next = admission.refuse(NOW, None, refusal(2, 0));

    assert_eq!(told, ms(1_000));
    assert!(next < ms(200), "{next:?}");
}

#[test]
fn a_program_that_returns_as_told_is_known_at_the_other_hosts_of_its_zone() {
    // Guards against a caller that waits as told, returns to another host, and is treated there
    // like one that has not waited.
    let mut here = host_with_starts(2);
    let told = here.refuse(NOW, None, refusal(1, 1));
    let mut there = StartAdmission::default();
    let sent_at = NOW + ms(70);
    for refused in here.take_changes(sent_at).refused {
        there.record_remote_refusal(
            sent_at,
            RefusedProgram::from_report(refused.to_report(sent_at), sent_at),
        );
    }

    for host in [&here, &there] {
        let arrival = |after, number| host.arrival(NOW + after, Some(program(number)));
        assert_eq!(arrival(told.mul_f64(0.75), 1), Arrival::Early);
        assert_eq!(arrival(told.mul_f64(0.82), 1), Arrival::AsTold);
        assert_eq!(arrival(told, 2), Arrival::First);
        assert_eq!(host.arrival(NOW + told, None), Arrival::First);
    }
}

#[test]
fn a_program_is_not_told_to_wait_until_it_is_late() {
    // Guards against programs that start when there is room, but too late to end in time.
    let mut admission = host_with_starts(1);
    let with_time = |number, left| Refusal { time_left: Some(ms(left)), ..refusal(number, 1) };

    let told =
        [500, 3_000, 5_000, 60_000].map(|left| admission.refuse(NOW, None, with_time(left, left)));

    assert!(told[0] >= ms(150) && told[0] < ms(200), "{told:?}");
    assert_eq!((told[1], told[2]), (ms(300), ms(500)));
    assert!(told[3] > ms(800), "{told:?}");
}

#[test]
fn a_caller_with_little_time_returns_as_told() {
    // Guards against callers that wait for a third of their time, the longest that they can, and
    // are treated as if they had not waited.
    let mut admission = host_with_starts(1);
    let short = Refusal { time_left: Some(ms(300)), ..refusal(1, 1) };

    let told = admission.refuse(NOW, None, short);

    assert!(told >= ms(150), "{told:?}");
    assert_eq!(admission.arrival(NOW + ms(100), Some(program(1))), Arrival::AsTold);
}

#[test]
fn a_program_that_has_waited_has_higher_limits_and_goes_first() {
    // Guards against a queue in which programs that come for the first time overtake those that
    // have waited, whose callers have fewer attempts left; and against a tenant beyond its share
    // whose many programs that return are admitted as if it were not.
    let limits = |excess, has_waited| LimitTerms { excess, lateness: 0.1, has_waited }.limits(1);
    let (waited, first) = (limits(0.0, true), limits(0.0, false));
    let beyond_share = LimitTerms { excess: 0.1, lateness: 0.0, has_waited: true };
    let of = |rank, has_waited, ms| {
        let deadline = Instant::from_millis(ms);
        let usual = Urgency { is_late: false, is_new: true, rank, deadline };
        usual.by_return(has_waited)
    };
    let mut waiting = WaitQueue::default();
    waiting.push("engines", of(1, false, 10), WaiterId(1));
    waiting.push("engines", of(1, true, 30), WaiterId(2));
    waiting.push("engines", of(0, false, 40), WaiterId(3));

    let mut order = Vec::new();
    while let Some((urgency, id)) = waiting.next("engines", None) {
        order.push(id.0);
        waiting.remove("engines", urgency, id);
    }

    assert!((waited.service - first.service - 0.05).abs() < 1e-9, "{waited:?}, {first:?}");
    assert!((waited.target - first.target - 0.05).abs() < 1e-9, "{waited:?}, {first:?}");
    assert_eq!(LimitTerms { has_waited: false, ..beyond_share }.limits(1), beyond_share.limits(1));
    assert_eq!(order, [3, 2, 1]);
}

#[test]
fn the_record_of_refused_programs_is_bounded() {
    // Guards against memory and status updates that grow with the refusals.
    let mut admission = host_with_starts(20);
    let early = NOW - ms(1_500);
    (0..40).for_each(|i| {
        admission.refuse(early, None, refusal(i, 1));
    });
    let first = admission.take_changes(NOW).refused;
    (100..10_100).for_each(|i| {
        admission.refuse(NOW, None, refusal(i, 1));
    });
    let second = admission.take_changes(NOW).refused;

    assert_eq!(first, [], "refused more than a second ago");
    assert_eq!((second.len(), second[0].program), (64, program(10_099)));
    let later = NOW + ms(1_000);
    let known = |i| admission.arrival(later, Some(program(i))) != Arrival::First;
    let remembered = (100..10_100).filter(|i| known(*i)).count();
    assert!((2_048..=4_096).contains(&remembered) && known(10_099), "{remembered}");
}

#[test]
fn changes_are_sent_once_on_each_way() {
    // Guards against turns that are counted twice, since updates through forwarders repeat the
    // changes of the one before, and against turns that are lost between two updates to other zones.
    let turns = |turns| AdmissionChanges {
        turns: Map::from_iter([(Box::from("engines"), TurnCounts { turns, late: 1 })]),
        refused: Vec::new(),
    };
    let sum = |changes: &[AdmissionChanges]| -> u32 {
        changes.iter().flat_map(|c| c.turns.values()).map(|counts| counts.turns).sum()
    };
    let forwarders = |is_due: bool| Round {
        is_forwarded: true,
        forwarders: if is_due { vec![HostId(1)] } else { Vec::new() },
        ..Round::default()
    };
    let far = |is_due: bool| Round {
        far: if is_due { vec![HostId(1)] } else { Vec::new() },
        ..Round::default()
    };

    let mut unsent = UnsentChanges::default();
    let forwarded = [true, false, true, true]
        .map(|is_due| unsent.split(&forwarders(is_due), turns(10)).forwarded);
    let mut unsent = UnsentChanges::default();
    let direct = [true, false, false, true].map(|is_due| unsent.split(&far(is_due), turns(10)).far);

    assert_eq!((sum(&forwarded), sum(&direct)), (40, 40));
    assert_eq!(turns(1).into_repeatable(), AdmissionChanges::default());
}

proptest! {
    /// Guards against times that callers cannot wait for, or that make them return at once.
    #[test]
    fn retry_after_stays_within_its_bounds(
        starts in 1u64..200, refused in 1u64..400, rank in 0u32..3, random in 0.0..=1.0f64,
    ) {
        let mut admission = host_with_starts(starts);

        for i in 0..refused {
            let refusal = Refusal { random, ..refusal(i, rank) };
            let after = admission.refuse(NOW + ms(i), None, refusal);
            prop_assert!((ms(149)..=ms(1_001)).contains(&after), "{:?}", after);
        }
    }
}
