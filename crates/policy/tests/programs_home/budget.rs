//! The budget of a family of programs.

use camphorwalk_core::calls::{CallRequest, Code, Executed, Refusal, Reply, Request, Usage};
use camphorwalk_core::ids::ProgramId;
use camphorwalk_core::units::Tokens;
use camphorwalk_policy::programs::ProgramEvent;
use camphorwalk_policy::shared_types::AttemptOutcome;

use crate::fixture::{
    BUDGET, Home, Mode, PARTITION, PROGRAM, Platform, call, call_request, lost, open_child,
};

/// Returns what a program may still spend.
fn left(home: &mut Home, platform: &mut Platform, program: ProgramId) -> u64 {
    let ticket = home.ask(platform, Request::View { program });

    match home.reply(ticket) {
        Reply::View(view) => view.budget_left_tokens.0,
        reply => panic!("the view was answered {reply:?}"),
    }
}

/// Returns the end of a turn that took this many tokens.
fn took(prompt: u64, output: u64) -> AttemptOutcome {
    let usage = Usage {
        prompt_tokens: Tokens(prompt),
        cached_tokens: Tokens(0),
        output_tokens: Tokens(output),
    };

    AttemptOutcome::Done { output: "\"text\"".into(), usage }
}

#[test]
fn a_turn_is_settled_with_what_it_took() {
    let platform = &mut Platform::new();
    let mut home = Home::with_program(platform, 1);

    home.ask(platform, call("model", "k1", 0));
    let reserved = left(&mut home, platform, PROGRAM);
    home.finish(platform, took(3, 20));

    assert_eq!(reserved, BUDGET - 2 - 100);
    assert_eq!(left(&mut home, platform, PROGRAM), BUDGET - 23);
}

/// Makes turns that take all that was reserved for them until one is refused. Returns that
/// refusal, how many ran and what they took.
fn turns_until_refused(home: &mut Home, platform: &mut Platform) -> (Refusal, u32, u64) {
    let (mut ran, mut spent) = (0, 0);

    loop {
        let ticket = home.ask(platform, call("model", &format!("k{ran}"), ran));

        if home.sent.len() as u32 == ran {
            return (home.refusal(ticket), ran, spent);
        }

        let place = home.placed.last().expect("a place was asked for");
        spent += place.prompt.0 + place.output.0;
        home.finish(platform, took(place.prompt.0, place.output.0));
        ran += 1;
    }
}

/// The caller is refused before anything runs. Its turns took nearly all of the budget, and
/// the next might take more than is left.
#[test]
fn a_turn_that_could_pass_the_budget_is_refused() {
    let platform = &mut Platform::new();
    let mut home = Home::with_program(platform, 1);

    let (refusal, _, spent) = turns_until_refused(&mut home, platform);

    assert_eq!((refusal.code, refusal.ran), (Code::BudgetExhausted, Executed::No));
    assert_eq!(left(&mut home, platform, PROGRAM), BUDGET - spent);
}

/// The caller sees the tokens of a lost turn as spent: the engine may have generated them.
#[test]
fn a_lost_attempt_counts_as_spent() {
    let platform = &mut Platform::new();
    let mut home = Home::with_program(platform, 1);

    home.ask(platform, call("model", "k1", 0));
    home.finish(platform, AttemptOutcome::Lost { streamed: true, crashed: false });

    assert_eq!(left(&mut home, platform, PROGRAM), BUDGET - 102);
}

/// A family cannot spend more than its parent's budget, however many sub-agents it opens.
#[test]
fn sub_agents_spend_their_parents_budget() {
    let platform = &mut Platform::new();
    let mut home = Home::with_program(platform, 1);
    let child = ProgramId(8);
    home.ask(platform, open_child(child, PROGRAM));

    let turn = CallRequest { program: child, ..call_request("model", "k1", 0) };
    home.ask(platform, Request::Call(turn));
    home.finish(platform, took(3, 20));

    assert_eq!(left(&mut home, platform, PROGRAM), BUDGET - 23);
    assert_eq!(left(&mut home, platform, child), BUDGET - 23);
}

/// After a change of home the caller sees one chunk of the budget gone at most: what the
/// journal let the former home spend, which may still be running there.
#[test]
fn the_next_home_takes_the_grant_for_spent() {
    let platform = &mut Platform::new();
    let mut old = Home::with_program(platform, 1);
    old.ask(platform, call("model", "k1", 0));
    old.finish(platform, took(3, 20));
    old.ask(platform, call("model", "k2", 1));

    let mut new = Home::new(platform, 2);

    assert_eq!(left(&mut new, platform, PROGRAM), BUDGET - 23 - BUDGET / 8);
}

/// The caller's turns go on while the platform is away, but not past what the journal lets
/// the family spend: a next home would not know of the rest.
#[test]
fn turns_stop_at_the_grant_while_the_platform_is_away() {
    let platform = &mut Platform::new();
    let mut home = Home::with_program(platform, 1);
    platform.mode = Mode::Away;

    let (refusal, ran, spent) = turns_until_refused(&mut home, platform);

    assert_eq!((refusal.code, refusal.ran), (Code::PlatformUnavailable, Executed::No));
    assert_eq!(ran, 2);
    assert!(spent <= BUDGET / 8);
}

#[test]
fn a_program_has_a_limit_of_calls() {
    let platform = &mut Platform::new();
    let mut home = Home::with_program(platform, 1);

    for number in 0..40 {
        home.run(platform, call("look", &format!("k{number}"), number), "\"seen\"");
    }

    let refused = home.ask(platform, call("look", "k40", 40));
    assert_eq!(home.refusal(refused).code, Code::BudgetExhausted);
}

/// A retry is reserved like a first try, so a turn that fails again and again is stopped by
/// the budget at the latest.
#[test]
fn each_retry_is_paid_for() {
    let platform = &mut Platform::new();
    let mut home = Home::with_program(platform, 1);

    home.ask(platform, call("model", "k1", 0));
    home.finish(platform, lost(false));

    assert_eq!(home.sent.len(), 2);
    assert_eq!(left(&mut home, platform, PROGRAM), BUDGET - 2 * 102);
}

/// A planned restart costs the caller nothing: the home journals what it was granted and has
/// not spent as free before it gives the partition back. A call that still comes is granted
/// tokens again, and settled after.
#[test]
fn a_planned_change_of_home_costs_nothing() {
    let platform = &mut Platform::new();
    let mut old = Home::with_program(platform, 1);
    old.ask(platform, call("model", "k1", 0));
    old.finish(platform, took(3, 20));

    platform.mode = Mode::Hang;
    old.event(platform, ProgramEvent::ReleaseGrants { partition: PARTITION });
    old.pass(platform, 100);
    let busy = old.programs.busy_partitions().len();
    platform.mode = Mode::Up;
    old.release(platform);
    old.ask(platform, call("model", "k2", 1));
    old.finish(platform, took(30, 20));
    old.pass(platform, 100);
    let idle = old.programs.busy_partitions().len();
    let mut new = Home::new(platform, 2);

    assert_eq!((busy, idle), (1, 0));
    assert_eq!(left(&mut new, platform, PROGRAM), BUDGET - 23 - 50);
}

/// The caller's running turn counts as spent on the next home, though the former one was
/// about to give the partition back: the turn may go on there.
#[test]
fn a_running_turn_is_not_settled() {
    let platform = &mut Platform::new();
    let mut old = Home::with_program(platform, 1);
    old.ask(platform, call("model", "k1", 0));

    old.event(platform, ProgramEvent::ReleaseGrants { partition: PARTITION });
    old.pass(platform, 100);
    let mut new = Home::new(platform, 2);

    assert_eq!(left(&mut new, platform, PROGRAM), BUDGET - BUDGET / 8);
}
