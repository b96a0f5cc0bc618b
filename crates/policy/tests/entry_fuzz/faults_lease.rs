//! Step-by-step cases of leases that change hands.

use std::time::Duration;

use crate::store::Mode;
use crate::world::{Fleet, HOSTS, MAX_TOKENS, partition_of};

const SEED: u64 = 1;

/// Index of the program with the largest budget.
const MANY_TURNS: usize = 2;

/// The used tokens of turns that together need exactly the store's share of the largest budget.
const STORE_SHARE: [u64; 11] = [140, 286, 286, 286, 286, 286, 286, 286, 286, 286, 286];

/// Returns the host that holds the lease of a program, if there is one.
fn lease_holder(fleet: &Fleet, index: usize) -> Option<usize> {
    let partition = partition_of(fleet.world.program(index).key);
    let alive = fleet.world.alive();
    let holder = alive.iter().find(|host| host.leases.borrow().reported().contains(partition));

    holder.map(|host| host.name)
}

#[test]
fn a_consent_ends_with_the_lease_under_which_it_was_given() {
    // Guards against a write of more than the store's share that takes effect after the holder who
    // consented has released its lease, and its successor has granted the other share.
    let mut fleet = Fleet::new(SEED);
    fleet.run(Duration::from_secs(5));
    let holder = lease_holder(&fleet, MANY_TURNS).expect("all leases are held");
    let writer = (holder + 1) % HOSTS;
    for used in STORE_SHARE {
        fleet.turn(writer, MANY_TURNS, used, Duration::from_millis(1));
        fleet.run(Duration::from_millis(1_200));
    }
    // The successor knows nothing of the program.
    for host in (0..HOSTS).filter(|host| ![holder, writer].contains(host)) {
        fleet.kill(host);
        fleet.start(host);
    }
    fleet.run(Duration::from_secs(8));

    // The writer stops between the consent and the write.
    fleet.turn(writer, MANY_TURNS, MAX_TOKENS, Duration::from_millis(1));
    fleet.run(Duration::from_millis(1));
    fleet.freeze(writer, Duration::from_secs(20));
    fleet.run(Duration::from_millis(100));
    fleet.cut(|from| from == writer, |_| true);
    fleet.cut(|_| true, |to| to == writer);
    fleet.shut_down(holder);
    fleet.run(Duration::from_secs(4));
    let successor = lease_holder(&fleet, MANY_TURNS).expect("the lease is held again");
    (0..HOSTS).filter(|host| *host != writer).for_each(|host| fleet.store(Some(host), Mode::Down));
    fleet.run(Duration::from_secs(2));
    for _ in 0..4 {
        fleet.first_turn(successor, MANY_TURNS, MAX_TOKENS, Duration::from_millis(1));
        fleet.run(Duration::from_millis(1_200));
    }
    let before = fleet.world.program(MANY_TURNS).spent;
    fleet.run(Duration::from_secs(15));

    let program = fleet.world.program(MANY_TURNS);
    let used_before = STORE_SHARE.iter().sum::<u64>() + 4 * MAX_TOKENS;
    assert_eq!(before, used_before, "both shares are used");
    assert!(program.spent <= program.budget + MAX_TOKENS, "{} are spent", program.spent);
}
