use std::net::{IpAddr, Ipv4Addr};

use super::{MAX_NOTICES, Notices};

#[test]
fn each_cause_is_new_once() {
    let notices = Notices::default();
    let [one, two] = [1, 2].map(|last| IpAddr::from([127, 0, 0, last]));

    let found = [("timeout", one), ("timeout", one), ("oversized", one), ("timeout", two)]
        .map(|(reason, address)| notices.is_new(reason, address));

    assert_eq!(found, [true, false, true, true]);
}

// A stranger connects from ever new addresses: past the limit nothing more is remembered,
// and nothing more is logged.
#[test]
fn ever_new_addresses_do_not_fill_the_memory() {
    let notices = Notices::default();
    let addresses = (0..2 * MAX_NOTICES as u32).map(|n| IpAddr::from(Ipv4Addr::from(n)));

    let logged = addresses.filter(|address| notices.is_new("timeout", *address)).count();

    assert_eq!(logged, MAX_NOTICES);
}
