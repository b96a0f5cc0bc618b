use std::net::{IpAddr, Ipv4Addr};

use super::{LogDedup, MAX_ENTRIES};

#[test]
fn each_failure_is_logged_once() {
    let log_dedup = LogDedup::default();
    let [one, two] = [1, 2].map(|last| IpAddr::from([127, 0, 0, last]));

    let found = [("timeout", one), ("timeout", one), ("oversized", one), ("timeout", two)]
        .map(|(reason, address)| log_dedup.should_log(reason, address));

    assert_eq!(found, [true, false, true, true]);
}

// Guards against unbounded memory use when a client connects from ever new addresses. Beyond the
// limit, nothing more is remembered or logged.
#[test]
fn new_addresses_do_not_fill_the_memory() {
    let log_dedup = LogDedup::default();
    let addresses = (0..2 * MAX_ENTRIES as u32).map(|n| IpAddr::from(Ipv4Addr::from(n)));

    let logged = addresses.filter(|address| log_dedup.should_log("timeout", *address)).count();

    assert_eq!(logged, MAX_ENTRIES);
}
