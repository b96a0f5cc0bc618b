//! The budget of a family of programs.

use camphorwalk_core::calls::{CallRequest, Code, Executed, Refusal, Reply, Request, Usage};
use camphorwalk_core::ids::ProgramId;
use camphorwalk_core::units::Tokens;
use camphorwalk_policy::programs::ProgramEvent;
use camphorwalk_policy::shared_types::AttemptOutcome;

use crate::fixture::{
    BUDGET, HomeHost, Mode, PARTITION, PROGRAM, Platform, call, call_request, connection_lost,
    open_child,
};

/// Returns the tokens that a program may still spend.
fn left(home: &mut HomeHost, platform: &mut Platform, program: ProgramId) -> u64 {
    let origin = home.send(platform, Request::View { program });

    match home.reply(origin) {
        Reply::View(view) => view.budget_left_tokens.0,
        reply => panic!("expected a view, got {reply:?}"),
    }
}

/// Returns the end of a turn that used this many tokens.
fn used(prompt: u64, output: u64) -> AttemptOutcome {
    let usage = Usage {
        prompt_tokens: Tokens(prompt),
        cached_tokens: Tokens(0),
        output_tokens: Tokens(output),
    };

    AttemptOutcome::Done { output: "\"text\"".into(), usage }
}

#[test]
fn a_finished_turn_is_charged_its_actual_usage() {
    let platform = &mut Platform::new();
    let mut home = HomeHost::with_program(platform, 1);

    home.send(platform, call("model", "k1", 0));
    let reserved = left(&mut home, platform, PROGRAM);
    home.end_attempt(platform, used(3, 20));

    assert_eq!(reserved, BUDGET - 2 - 100);
    assert_eq!(left(&mut home, platform, PROGRAM), BUDGET - 23);
}

/// Runs turns that use all their reserved tokens until one is refused. Returns the refusal, the
/// number of turns that ran and the tokens they used.
fn turns_until_refused(home: &mut HomeHost, platform: &mut Platform) -> (Refusal, u32, u64) {
    let (mut ran, mut spent) = (0, 0);

    loop {
        let origin = home.send(platform, call("model", &format!("k{ran}"), ran));

        if home.dispatches.len() as u32 == ran {
            return (home.refusal(origin), ran, spent);
        }

        let place = home.placed.last().expect("the call must have requested a place");
        spent += place.prompt.0 + place.output.0;
        home.end_attempt(platform, used(place.prompt.0, place.output.0));
        ran += 1;
    }
}

/// A turn whose reservation exceeds the rest of the budget is refused before anything runs; its
/// actual use could overspend the budget.
#[test]
fn a_turn_that_could_pass_the_budget_is_refused() {
    let platform = &mut Platform::new();
    let mut home = HomeHost::with_program(platform, 1);

    let (refusal, _, spent) = turns_until_refused(&mut home, platform);

    assert_eq!((refusal.code, refusal.ran), (Code::BudgetExhausted, Executed::No));
    assert_eq!(left(&mut home, platform, PROGRAM), BUDGET - spent);
}

/// The tokens of a lost attempt count as spent, because the engine may have generated them.
#[test]
fn a_lost_attempt_counts_as_spent() {
    let platform = &mut Platform::new();
    let mut home = HomeHost::with_program(platform, 1);

    home.send(platform, call("model", "k1", 0));
    home.end_attempt(platform, AttemptOutcome::Lost { streamed: true, crashed: false });

    assert_eq!(left(&mut home, platform, PROGRAM), BUDGET - 102);
}

/// A whole family shares the root's budget, so opening sub-agents does not raise the limit.
#[test]
fn sub_agents_spend_their_parents_budget() {
    let platform = &mut Platform::new();
    let mut home = HomeHost::with_program(platform, 1);
    let child = ProgramId(8);
    home.send(platform, open_child(child, PROGRAM));

    let turn = CallRequest { program: child, ..call_request("model", "k1", 0) };
    home.send(platform, Request::Call(turn));
    home.end_attempt(platform, used(3, 20));

    assert_eq!(left(&mut home, platform, PROGRAM), BUDGET - 23);
    assert_eq!(left(&mut home, platform, child), BUDGET - 23);
}

/// The previous home host may still be running attempts within its durable grant. The next one
/// must count the whole grant as spent, or the family could exceed its budget. This costs at
/// most one chunk.
#[test]
fn the_next_home_counts_the_whole_grant_as_spent() {
    let platform = &mut Platform::new();
    let mut old = HomeHost::with_program(platform, 1);
    old.send(platform, call("model", "k1", 0));
    old.end_attempt(platform, used(3, 20));
    old.send(platform, call("model", "k2", 1));

    let mut new = HomeHost::new(platform, 2);

    assert_eq!(left(&mut new, platform, PROGRAM), BUDGET - 23 - BUDGET / 8);
}

/// While the platform is unavailable turns continue only within the durable grant. Anything
/// spent beyond it would be unknown to the next home host.
#[test]
fn turns_stop_at_the_grant_while_the_platform_is_unavailable() {
    let platform = &mut Platform::new();
    let mut home = HomeHost::with_program(platform, 1);
    platform.mode = Mode::Unavailable;

    let (refusal, ran, spent) = turns_until_refused(&mut home, platform);

    assert_eq!((refusal.code, refusal.ran), (Code::PlatformUnavailable, Executed::No));
    assert_eq!(ran, 2);
    assert!(spent <= BUDGET / 8);
}

#[test]
fn the_number_of_calls_of_a_program_is_limited() {
    let platform = &mut Platform::new();
    let mut home = HomeHost::with_program(platform, 1);

    for number in 0..40 {
        home.run_call(platform, call("look", &format!("k{number}"), number), "\"seen\"");
    }

    let refused = home.send(platform, call("look", "k40", 40));
    assert_eq!(home.refusal(refused).code, Code::BudgetExhausted);
}

/// Every retry reserves tokens like a first attempt. Otherwise a turn that keeps failing could
/// exceed the budget.
#[test]
fn each_retry_reserves_tokens() {
    let platform = &mut Platform::new();
    let mut home = HomeHost::with_program(platform, 1);

    home.send(platform, call("model", "k1", 0));
    home.end_attempt(platform, connection_lost(false));

    assert_eq!(home.dispatches.len(), 2);
    assert_eq!(left(&mut home, platform, PROGRAM), BUDGET - 2 * 102);
}

/// Before a planned change of home the unspent grant is journaled as free, so it is not lost.
/// The partition stays busy until that entry is durable. A call that arrives meanwhile gets a
/// new grant, whose unspent part is journaled as free afterwards.
#[test]
fn a_planned_change_of_home_costs_nothing() {
    let platform = &mut Platform::new();
    let mut old = HomeHost::with_program(platform, 1);
    old.send(platform, call("model", "k1", 0));
    old.end_attempt(platform, used(3, 20));

    platform.mode = Mode::Hang;
    old.process(platform, ProgramEvent::ReleaseGrants { partition: PARTITION });
    old.advance(platform, 100);
    let busy = old.programs.busy_partitions().len();
    platform.mode = Mode::Normal;
    old.release(platform);
    old.send(platform, call("model", "k2", 1));
    old.end_attempt(platform, used(30, 20));
    old.advance(platform, 100);
    let idle = old.programs.busy_partitions().len();
    let mut new = HomeHost::new(platform, 2);

    assert_eq!((busy, idle), (1, 0));
    assert_eq!(left(&mut new, platform, PROGRAM), BUDGET - 23 - 50);
}

/// A running turn may continue after the partition was released, so its grant must not be
/// journaled as free; the next home host counts it as spent.
#[test]
fn the_grant_of_a_running_turn_is_not_released() {
    let platform = &mut Platform::new();
    let mut old = HomeHost::with_program(platform, 1);
    old.send(platform, call("model", "k1", 0));

    old.process(platform, ProgramEvent::ReleaseGrants { partition: PARTITION });
    old.advance(platform, 100);
    let mut new = HomeHost::new(platform, 2);

    assert_eq!(left(&mut new, platform, PROGRAM), BUDGET - BUDGET / 8);
}
