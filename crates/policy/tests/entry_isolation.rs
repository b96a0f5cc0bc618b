//! When a host considers itself isolated.

use camphorwalk_policy::entry::isolation::{Contact, Surroundings, is_isolated};

fn isolated(store_in_reach: bool, other_zones: Contact, others: Contact) -> bool {
    is_isolated(Surroundings { store_in_reach, other_zones, others })
}

#[test]
fn a_host_that_reaches_the_store_is_never_isolated() {
    for contact in [Contact::NoneKnown, Contact::Silent, Contact::Heard] {
        assert!(!isolated(true, contact, contact));
    }
}

#[test]
fn a_partitioned_zone_is_isolated_even_if_its_hosts_are_live_to_each_other() {
    assert!(isolated(false, Contact::Silent, Contact::Heard));
}

#[test]
fn a_store_outage_for_all_hosts_isolates_none() {
    // Guards against a fleet without any ready host: all zones receive each other's status updates,
    // so no zone could serve the callers better.
    assert!(!isolated(false, Contact::Heard, Contact::Heard));
}

#[test]
fn a_host_without_peers_is_not_isolated() {
    // Guards against a deployment of one host or one zone that turns its callers away, although
    // they have nowhere else to go.
    assert!(!isolated(false, Contact::NoneKnown, Contact::NoneKnown));
    assert!(!isolated(false, Contact::NoneKnown, Contact::Heard));
    assert!(isolated(false, Contact::NoneKnown, Contact::Silent));
}
