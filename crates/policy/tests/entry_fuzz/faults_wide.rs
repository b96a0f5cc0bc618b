//! Step-by-step cases of the faults in `fuzz_wide`.

use std::time::Duration;

use crate::store::Mode;
use crate::world::{Fleet, MAX_TOKENS};

const SEED: u64 = 1;

/// Index of the program with the largest budget.
const MANY_TURNS: usize = 2;

/// Cuts hosts off from the store and from the other hosts.
fn cut_off(fleet: &mut Fleet, hosts: &[usize]) {
    hosts.iter().for_each(|host| fleet.store(Some(*host), Mode::Down));
    fleet.cut(|from| hosts.contains(&from), |to| !hosts.contains(&to));
    fleet.cut(|from| !hosts.contains(&from), |to| hosts.contains(&to));
}

/// Runs successive turns on a host, each of which uses `used` tokens.
fn turns(fleet: &mut Fleet, host: usize, index: usize, used: u64, count: usize, pause: Duration) {
    for _ in 0..count {
        fleet.turn(host, index, used, Duration::from_millis(1));
        fleet.run(pause);
    }
}

#[test]
fn the_row_of_a_program_is_not_deleted_while_it_runs_on_hosts_that_cannot_refresh_it() {
    // Guards against granting a budget again. Other hosts delete the row as idle, while the program
    // spends stored grants on two hosts that are cut off from them and from the store.
    let mut fleet = Fleet::new(SEED);
    turns(&mut fleet, 2, MANY_TURNS, MAX_TOKENS, 5, Duration::from_secs(1));
    cut_off(&mut fleet, &[2, 4]);

    turns(&mut fleet, 2, MANY_TURNS, 0, 6, Duration::from_secs(20));
    turns(&mut fleet, 0, MANY_TURNS, MAX_TOKENS, 14, Duration::from_secs(1));

    let program = fleet.world.program(MANY_TURNS);
    assert!(program.spent <= program.budget + MAX_TOKENS, "{} are spent", program.spent);
}
