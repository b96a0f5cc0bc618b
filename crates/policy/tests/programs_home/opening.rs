//! Opening and ending programs, and the family of sub-agents.

use camphorwalk_core::calls::{Code, Executed, Reply, Request};
use camphorwalk_core::ids::ProgramId;

use crate::fixture::{Home, Mode, PROGRAM, Platform, call, done, open, open_child};

/// The caller hears that its program may be open; its repeat finds it. The opening's first
/// sending is lost, the second takes effect.
#[test]
fn an_opening_in_doubt_is_found_by_a_repeat() {
    let platform = &mut Platform::new();
    let mut home = Home::new(platform, 1);
    platform.mode = Mode::RequestsLost;

    let first = home.ask(platform, open(PROGRAM));
    platform.mode = Mode::Up;
    home.pass(platform, 1_000);
    let repeat = home.ask(platform, open(PROGRAM));

    let refusal = home.refusal(first);
    assert_eq!((refusal.code, refusal.ran), (Code::OutcomeUnknown, Executed::Maybe));
    assert!(matches!(home.reply(repeat), Reply::Opened(_)));
    assert_eq!(home.programs.open_programs().count(), 1);
}

#[test]
fn an_opening_is_refused_while_the_platform_is_away() {
    let platform = &mut Platform::new();
    let mut home = Home::new(platform, 1);
    platform.mode = Mode::Away;

    let ticket = home.ask(platform, open(PROGRAM));

    let refusal = home.refusal(ticket);
    assert_eq!((refusal.code, refusal.ran), (Code::PlatformUnavailable, Executed::No));
    assert_eq!(home.programs.open_programs().count(), 0);
}

#[test]
fn sub_agents_have_a_depth_and_end_with_their_parent() {
    let platform = &mut Platform::new();
    let mut home = Home::with_program(platform, 1);
    let (child, grandchild) = (ProgramId(8), ProgramId(9));

    let opened = home.ask(platform, open_child(child, PROGRAM));
    let deeper = home.ask(platform, open_child(grandchild, child));
    let end = home.ask(platform, Request::End { program: PROGRAM });

    assert!(matches!(home.reply(opened), Reply::Opened(_)));
    assert_eq!(home.refusal(deeper).code, Code::BadRequest);
    assert_eq!(home.reply(end), &Reply::Ended);
    assert_eq!(home.over, [child, PROGRAM]);
}

/// The caller of an ended program sees none, also after its home moved. A deposit that ran
/// while the program ended is recorded.
#[test]
fn an_ended_program_takes_no_calls_but_answers_repeats() {
    let platform = &mut Platform::new();
    let mut home = Home::with_program(platform, 1);
    let deposit = home.ask(platform, call("deposit", "k1", 0));

    home.ask(platform, Request::End { program: PROGRAM });
    home.finish(platform, done("\"paid\""));
    let repeat = home.ask(platform, call("deposit", "k1", 0));
    let mut new = Home::new(platform, 2);
    let moved = new.ask(platform, call("deposit", "k1", 0));
    let other = new.ask(platform, call("model", "k2", 1));

    assert_eq!(home.refusal(deposit).ran, Executed::Maybe);
    assert_eq!(home.called(repeat).call, 1);
    assert_eq!(&*new.called(moved).output, "\"paid\"");
    assert_eq!(new.refusal(other).code, Code::NotFound);
}

/// The caller is told at the deadline, not later. A running deposit may have run; its late
/// answer is recorded and told to a repeat. An ended program is forgotten after a while.
#[test]
fn a_deadline_ends_the_program_and_a_late_answer_is_recorded() {
    let platform = &mut Platform::new();
    let mut home = Home::with_program(platform, 1);
    let deposit = home.ask(platform, call("deposit", "k1", 0));

    home.pass(platform, 60_000);
    home.finish(platform, done("\"paid\""));
    let repeat = home.ask(platform, call("deposit", "k1", 0));
    let late = home.ask(platform, call("model", "k2", 1));
    home.pass(platform, 130_000);
    let forgotten = home.ask(platform, call("deposit", "k1", 0));

    assert_eq!(
        (home.refusal(deposit).code, home.refusal(deposit).ran),
        (Code::Deadline, Executed::Maybe)
    );
    assert_eq!(home.called(repeat).call, 1);
    assert_eq!((home.refusal(late).code, home.refusal(late).ran), (Code::Deadline, Executed::No));
    assert_eq!(home.refusal(forgotten).code, Code::NotFound);
}

/// The caller hears that its program may still be there until the platform holds its end,
/// also when it asks again.
#[test]
fn an_end_is_confirmed_once_it_is_durable() {
    let platform = &mut Platform::new();
    let mut home = Home::with_program(platform, 1);
    platform.mode = Mode::Away;

    let first = home.ask(platform, Request::End { program: PROGRAM });
    let second = home.ask(platform, Request::End { program: PROGRAM });
    platform.mode = Mode::Up;
    home.pass(platform, 1_000);
    let third = home.ask(platform, Request::End { program: PROGRAM });

    for refusal in [home.refusal(first), home.refusal(second)] {
        assert_eq!((refusal.code, refusal.ran), (Code::PlatformUnavailable, Executed::Maybe));
    }
    assert_eq!(home.reply(third), &Reply::Ended);
    assert_eq!(home.over, [PROGRAM]);
}
