//! Cases in which the bounds on grants must not withhold a budget.

use std::time::Duration;

use crate::store::Mode;
use crate::world::{Fleet, HOSTS, MAX_TOKENS};

const SEED: u64 = 1;

/// Index of the program whose budget covers five turns.
const FIVE_TURNS: usize = 1;

/// Within this time after its holder is gone for good, a lease is taken over and its quarantine is
/// over.
const RECOVERY_TIME: Duration = Duration::from_secs(150);

/// Runs five successive turns, each on the next running host.
fn five_turns(fleet: &mut Fleet) {
    let hosts: Vec<_> = fleet.world.alive().iter().map(|host| host.name).collect();

    for host in hosts.iter().cycle().take(5) {
        fleet.turn(*host, FIVE_TURNS, MAX_TOKENS, Duration::from_millis(1));
        fleet.run(Duration::from_millis(300));
    }
}

/// Lets the current program end, so that another one takes its place.
fn end_program(fleet: &mut Fleet) {
    fleet.run(Duration::from_secs(61));
}

fn assert_all_spent(fleet: &Fleet) {
    let program = fleet.world.program(FIVE_TURNS);

    assert_eq!(program.spent, program.budget);
}

/// Shuts all hosts down in turn and starts them again.
fn restart_in_turn(fleet: &mut Fleet) {
    for host in 0..HOSTS {
        fleet.shut_down(host);
        fleet.run(Duration::from_secs(1));
        fleet.start(host);
        fleet.run(Duration::from_secs(6));
    }
}

#[test]
fn a_calm_fleet_grants_the_whole_budget() {
    // Guards against a program that is refused although its budget is not spent.
    let mut fleet = Fleet::new(SEED);

    five_turns(&mut fleet);

    assert_all_spent(&fleet);
}

#[test]
fn hosts_that_were_shut_down_in_turn_grant_the_whole_budget() {
    // Guards against budgets that are restricted for minutes after each release of the software.
    let mut fleet = Fleet::new(SEED);
    restart_in_turn(&mut fleet);

    five_turns(&mut fleet);

    assert_all_spent(&fleet);
}

#[test]
fn a_program_that_runs_while_hosts_are_shut_down_in_turn_gets_its_whole_budget() {
    // Guards against a running program that loses the rest of its budget in a release.
    let mut fleet = Fleet::new(SEED);
    fleet.turn(0, FIVE_TURNS, MAX_TOKENS, Duration::from_millis(1));
    fleet.run(Duration::from_secs(1));
    restart_in_turn(&mut fleet);

    for host in [1, 2, 3, 4] {
        fleet.turn(host, FIVE_TURNS, MAX_TOKENS, Duration::from_millis(1));
        fleet.run(Duration::from_millis(300));
    }

    assert_all_spent(&fleet);
}

#[test]
fn a_fleet_without_two_of_its_hosts_grants_the_whole_budget() {
    // Guards against leases that stay with hosts that are gone for good.
    let mut fleet = Fleet::new(SEED);
    fleet.kill(0);
    fleet.kill(3);
    fleet.run(RECOVERY_TIME);

    five_turns(&mut fleet);

    assert_all_spent(&fleet);
}

#[test]
fn a_fleet_whose_hosts_were_all_killed_grants_the_whole_budget_of_later_programs() {
    // Guards against a quarantine that never ends.
    let mut fleet = Fleet::new(SEED);
    five_turns(&mut fleet);
    fleet.kill_all();
    fleet.run(RECOVERY_TIME);

    five_turns(&mut fleet);

    assert_all_spent(&fleet);
}

#[test]
fn a_program_that_begins_in_an_outage_is_granted_turns() {
    // Guards against an outage of the store that stops all programs with a budget.
    let mut fleet = Fleet::new(SEED);
    fleet.store(None, Mode::Down);
    fleet.run(Duration::from_secs(2));

    five_turns(&mut fleet);

    assert!(fleet.world.program(FIVE_TURNS).spent >= 2 * MAX_TOKENS);
}

#[test]
fn a_program_that_begins_in_an_outage_after_a_release_is_granted_turns() {
    // Guards against hosts that, once restarted, grant nothing without the store.
    let mut fleet = Fleet::new(SEED);
    restart_in_turn(&mut fleet);
    fleet.store(None, Mode::Down);
    fleet.run(Duration::from_secs(2));

    five_turns(&mut fleet);

    assert!(fleet.world.program(FIVE_TURNS).spent >= 2 * MAX_TOKENS);
}

#[test]
fn a_second_outage_is_served_like_the_first() {
    // Guards against leases that are not renewed after an outage.
    let mut fleet = Fleet::new(SEED);
    fleet.store(None, Mode::Down);
    fleet.run(Duration::from_secs(40));
    fleet.store(None, Mode::Up);
    end_program(&mut fleet);
    fleet.store(None, Mode::Down);
    fleet.run(Duration::from_secs(2));

    five_turns(&mut fleet);

    assert!(fleet.world.program(FIVE_TURNS).spent >= 2 * MAX_TOKENS);
}
