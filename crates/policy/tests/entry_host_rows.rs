//! Which hosts count as gone, according to their rows in the store.

use camphorwalk_core::ids::HostId;
use camphorwalk_core::platform::RowVersion;
use camphorwalk_policy::entry::host_rows::{HostRows, Presence, UNCHANGED_READS_UNTIL_GONE};

const HOST: HostId = HostId(1);

/// Reads an unchanged row `times` times and returns the results.
fn read_unchanged(rows: &mut HostRows, version: u64, times: u32) -> Vec<Presence> {
    (0..times).map(|_| rows.record_read(HOST, RowVersion(version), true)).collect()
}

/// Guards against a replaced host that becomes known again with each later read, and so counts
/// toward the majority or gets a share of a rate limit.
#[test]
fn a_host_that_is_gone_stays_so_while_its_row_does_not_change() {
    let mut rows = HostRows::default();
    read_unchanged(&mut rows, 7, UNCHANGED_READS_UNTIL_GONE + 1);

    let later = read_unchanged(&mut rows, 7, 20);

    assert!(later.iter().all(|presence| *presence == Presence::Gone));
}

/// Guards against a host that stays unknown after it returns from a long network partition.
#[test]
fn a_host_that_is_gone_is_back_when_it_writes_its_row() {
    let mut rows = HostRows::default();
    read_unchanged(&mut rows, 7, 20);

    let back = rows.record_read(HOST, RowVersion(9), true);
    let after = rows.record_read(HOST, RowVersion(9), true);

    assert_eq!((back, after), (Presence::Updated, Presence::Silent));
}

/// Guards against a running host that counts as gone because it cannot write its row, although it
/// sends status updates.
#[test]
fn reads_that_are_not_due_do_not_count() {
    let mut rows = HostRows::default();

    let reads: Vec<_> = (0..20).map(|_| rows.record_read(HOST, RowVersion(7), false)).collect();

    assert!(!reads.contains(&Presence::Gone));
}
