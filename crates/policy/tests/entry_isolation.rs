//! When a host takes itself for cut off.

use camphorwalk_policy::entry::isolation::{Contact, Surroundings, is_isolated};

fn around(store_in_reach: bool, other_zones: Contact, others: Contact) -> bool {
    is_isolated(Surroundings { store_in_reach, other_zones, others })
}

#[test]
fn a_host_that_reaches_the_store_is_never_cut_off() {
    for contact in [Contact::NoneKnown, Contact::Silent, Contact::Heard] {
        assert!(!around(true, contact, contact));
    }
}

#[test]
fn a_zone_that_is_cut_off_is_while_its_hosts_hear_each_other() {
    assert!(around(false, Contact::Silent, Contact::Heard));
}

#[test]
fn an_outage_of_the_store_for_all_cuts_nobody_off() {
    // All zones hear each other. If their hosts said that they are not ready, nobody would be.
    assert!(!around(false, Contact::Heard, Contact::Heard));
}

#[test]
fn a_host_without_peers_goes_on_alone() {
    // A deployment of one host, or of one zone, has nobody to whom callers could go.
    assert!(!around(false, Contact::NoneKnown, Contact::NoneKnown));
    assert!(!around(false, Contact::NoneKnown, Contact::Heard));
    assert!(around(false, Contact::NoneKnown, Contact::Silent));
}
