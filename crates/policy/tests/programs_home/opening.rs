//! Opening and ending of programs, and families of sub-agents.

use camphorwalk_core::calls::{Code, Executed, Reply, Request};
use camphorwalk_core::ids::ProgramId;

use crate::fixture::{HomeHost, Mode, PROGRAM, Platform, call, done, open, open_child};

/// The first write of an opening is lost and the retry takes effect. The caller gets the answer
/// that the program may be open, and a repeat of the opening must find it.
#[test]
fn an_opening_in_doubt_is_found_by_a_repeat() {
    let platform = &mut Platform::new();
    let mut home = HomeHost::new(platform, 1);
    platform.mode = Mode::DropRequests;

    let first = home.send(platform, open(PROGRAM));
    platform.mode = Mode::Normal;
    home.advance(platform, 1_000);
    let repeat = home.send(platform, open(PROGRAM));

    let refusal = home.refusal(first);
    assert_eq!((refusal.code, refusal.ran), (Code::OutcomeUnknown, Executed::Maybe));
    assert!(matches!(home.reply(repeat), Reply::Opened(_)));
    assert_eq!(home.programs.open_programs().count(), 1);
}

#[test]
fn an_opening_is_refused_while_the_platform_is_unavailable() {
    let platform = &mut Platform::new();
    let mut home = HomeHost::new(platform, 1);
    platform.mode = Mode::Unavailable;

    let origin = home.send(platform, open(PROGRAM));

    let refusal = home.refusal(origin);
    assert_eq!((refusal.code, refusal.ran), (Code::PlatformUnavailable, Executed::No));
    assert_eq!(home.programs.open_programs().count(), 0);
}

#[test]
fn sub_agents_have_a_depth_limit_and_end_with_their_parent() {
    let platform = &mut Platform::new();
    let mut home = HomeHost::with_program(platform, 1);
    let (child, grandchild) = (ProgramId(8), ProgramId(9));

    let opened = home.send(platform, open_child(child, PROGRAM));
    let deeper = home.send(platform, open_child(grandchild, child));
    let end = home.send(platform, Request::End { program: PROGRAM });

    assert!(matches!(home.reply(opened), Reply::Opened(_)));
    assert_eq!(home.refusal(deeper).code, Code::BadRequest);
    assert_eq!(home.reply(end), &Reply::Ended);
    assert_eq!(home.ended, [child, PROGRAM]);
}

/// An ended program accepts no new calls, but answers repeats, also on the next home host. A
/// deposit that was running when the program ended is recorded.
#[test]
fn an_ended_program_accepts_no_calls_but_answers_repeats() {
    let platform = &mut Platform::new();
    let mut home = HomeHost::with_program(platform, 1);
    let deposit = home.send(platform, call("deposit", "k1", 0));

    home.send(platform, Request::End { program: PROGRAM });
    home.end_attempt(platform, done("\"paid\""));
    let repeat = home.send(platform, call("deposit", "k1", 0));
    let mut new = HomeHost::new(platform, 2);
    let moved = new.send(platform, call("deposit", "k1", 0));
    let other = new.send(platform, call("model", "k2", 1));

    assert_eq!(home.refusal(deposit).ran, Executed::Maybe);
    assert_eq!(home.called(repeat).call, 1);
    assert_eq!(&*new.called(moved).output, "\"paid\"");
    assert_eq!(new.refusal(other).code, Code::NotFound);
}

/// The program ends at its deadline and the caller is answered at that moment. A running
/// deposit may have run: its late outcome is recorded and returned to a repeat. The program is
/// removed after its retention.
#[test]
fn a_deadline_ends_the_program_and_a_late_answer_is_recorded() {
    let platform = &mut Platform::new();
    let mut home = HomeHost::with_program(platform, 1);
    let deposit = home.send(platform, call("deposit", "k1", 0));

    home.advance(platform, 60_000);
    home.end_attempt(platform, done("\"paid\""));
    let repeat = home.send(platform, call("deposit", "k1", 0));
    let late = home.send(platform, call("model", "k2", 1));
    home.advance(platform, 130_000);
    let forgotten = home.send(platform, call("deposit", "k1", 0));

    assert_eq!(
        (home.refusal(deposit).code, home.refusal(deposit).ran),
        (Code::Deadline, Executed::Maybe)
    );
    assert_eq!(home.called(repeat).call, 1);
    assert_eq!((home.refusal(late).code, home.refusal(late).ran), (Code::Deadline, Executed::No));
    assert_eq!(home.refusal(forgotten).code, Code::NotFound);
}

/// The end of a program is confirmed only once it is durable. Until then every request to end
/// it reports that the program may still exist.
#[test]
fn an_end_is_confirmed_once_it_is_durable() {
    let platform = &mut Platform::new();
    let mut home = HomeHost::with_program(platform, 1);
    platform.mode = Mode::Unavailable;

    let first = home.send(platform, Request::End { program: PROGRAM });
    let second = home.send(platform, Request::End { program: PROGRAM });
    platform.mode = Mode::Normal;
    home.advance(platform, 1_000);
    let third = home.send(platform, Request::End { program: PROGRAM });

    for refusal in [home.refusal(first), home.refusal(second)] {
        assert_eq!((refusal.code, refusal.ran), (Code::PlatformUnavailable, Executed::Maybe));
    }
    assert_eq!(home.reply(third), &Reply::Ended);
    assert_eq!(home.ended, [PROGRAM]);
}
