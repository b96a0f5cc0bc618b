//! Many hosts write their backlogs to a store with a limited rate.

use camphorwalk_policy::entry::write_back::{NextRound, RoundOutcome, WriteBack};

/// A store that accepts a fixed number of writes per tenth of a second and refuses the excess.
struct Store {
    left: usize,
    asked: usize,
}

impl Store {
    const RATE: usize = 120;

    fn write(&mut self) -> bool {
        self.asked += 1;
        let taken = self.left > 0;
        self.left = self.left.saturating_sub(1);
        taken
    }
}

/// A host with rows to write.
struct Host {
    pace: WriteBack,
    due: usize,
    /// The tenth of a second at which its next round starts.
    next: usize,
}

impl Host {
    /// Makes the writes of a round, eight at a time.
    fn round(&mut self, store: &mut Store) -> RoundOutcome {
        const AT_ONCE: usize = 8;
        let mut left = self.pace.max_writes().min(self.due);
        if left == 0 {
            return RoundOutcome::Nothing;
        }

        while left > 0 {
            let at_once = left.min(AT_ONCE);
            let taken = (0..at_once).filter(|_| store.write()).count();
            self.due -= taken;
            left -= at_once;
            if taken < at_once {
                return RoundOutcome::Refused;
            }
        }
        if self.due > 0 { RoundOutcome::Partial } else { RoundOutcome::All }
    }
}

#[test]
fn a_fleet_does_not_keep_the_store_above_its_rate_after_an_outage() {
    // Guards against a backlog that keeps the store overloaded. Seventy hosts hold a hundred rows
    // each when the store recovers, which accepts 1,200 writes a second. When each host wrote all
    // its rows in each round, the store got 14,000 calls a second and refused nine of ten,
    // including those of new programs, until the end of the run.
    let mut hosts: Vec<_> =
        (0..70).map(|i| Host { pace: WriteBack::default(), due: 100, next: i % 5 }).collect();
    let mut store = Store { left: 0, asked: 0 };
    let mut tenths = 0;

    while hosts.iter().any(|host| host.due > 0) {
        store.left = Store::RATE;
        for host in hosts.iter_mut().filter(|host| host.next <= tenths) {
            loop {
                let round = host.round(&mut store);
                if host.pace.round_ended(round) == NextRound::Later {
                    break;
                }
            }
            host.next = tenths + 5;
        }
        tenths += 1;
        assert!(tenths < 600, "rows are still unwritten after a minute");
    }

    let least_tenths = 70 * 100 / Store::RATE;
    assert!(tenths <= 3 * least_tenths, "{tenths} tenths of a second, {least_tenths} at the least");
    assert!(store.asked <= 2 * 70 * 100, "{} calls for 7,000 rows", store.asked);
}

#[test]
fn a_single_host_writes_its_whole_backlog_at_once() {
    // Guards against rows that stay unstored longer than necessary: power may be lost a second
    // after the store has recovered.
    let mut host = Host { pace: WriteBack::default(), due: 500, next: 0 };
    let mut store = Store { left: 1_000, asked: 0 };

    loop {
        let round = host.round(&mut store);
        if host.pace.round_ended(round) == NextRound::Later {
            break;
        }
    }

    assert_eq!((host.due, store.asked), (0, 500));
}
