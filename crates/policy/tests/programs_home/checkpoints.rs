//! Checkpoints, which keep journals short.

use camphorwalk_core::calls::{CallRequest, Request};
use camphorwalk_core::ids::ProgramId;
use camphorwalk_core::platform::{PlatformOp, RowKey};

use crate::fixture::{HomeHost, PROGRAM, Platform, call, call_request, call_with_tail, done, open};

/// Returns all keys of a table.
fn keys(platform: &Platform, table: &str) -> Vec<RowKey> {
    platform.rows.keys().filter(|key| &*key.table == table).cloned().collect()
}

#[test]
fn a_checkpoint_replaces_journal_rows() {
    let platform = &mut Platform::new();
    let mut home = HomeHost::with_program(platform, 1);
    home.programs.set_checkpoint_threshold(4_000);

    for number in 0..30 {
        home.run_call(platform, call("look", &format!("k{number}"), number), "\"seen\"");
    }

    let history = home.history(platform);
    let mut new = HomeHost::new(platform, 2);
    assert_eq!(new.history(platform), history);
    assert_eq!(history.len(), 30);
    assert!(keys(platform, "journal").len() < 20);
}

/// Images of two programs are made at different times, and a call of the second program is
/// journaled in between. That row follows the row number in the checkpoint but is already part
/// of the image. Applying it again would record the call twice on the next home host.
#[test]
fn a_row_that_an_image_covers_is_not_applied_again() {
    let platform = &mut Platform::new();
    let mut home = HomeHost::with_program(platform, 1);
    let other = ProgramId(8);
    let ask = |key, after| CallRequest { program: other, ..call_request("look", key, after) };
    home.send(platform, open(other));
    home.programs.set_checkpoint_threshold(1);
    platform.hold_objects = true;

    home.run_call(platform, call("look", "k1", 0), "\"seen\"");
    home.run_call(platform, Request::Call(ask("k1", 0)), "\"seen\"");
    platform.hold_objects = false;
    home.release(platform);
    home.advance(platform, 1_000);
    let mut new = HomeHost::new(platform, 2);
    let next = new.run_call(platform, Request::Call(ask("k2", 1)), "\"seen\"");

    assert_eq!(keys(platform, "checkpoint").len(), 1);
    assert_eq!(next.call, 2);
}

/// A delayed copy of an older checkpoint's transaction reaches the platform after a newer
/// checkpoint whose journal rows were deleted. If it took effect, the next home host would miss
/// those rows.
#[test]
fn a_late_copy_of_an_old_checkpoint_changes_nothing() {
    let platform = &mut Platform::new();
    let mut home = HomeHost::with_program(platform, 1);
    home.programs.set_checkpoint_threshold(1);
    let moves = |request: &PlatformOp| match request {
        PlatformOp::Commit(tx) if tx.writes.iter().any(|w| &*w.key.table == "checkpoint") => {
            Some(tx.clone())
        }
        _ => None,
    };

    home.run_call(platform, call("look", "k1", 0), "\"seen\"");
    let first = home.requests.iter().find_map(moves).expect("a checkpoint must have been written");
    home.run_call(platform, call("look", "k2", 1), "\"seen\"");
    home.send(platform, call("look", "k3", 2));
    home.end_attempt(platform, done("\"seen\""));
    home.advance(platform, 1_000);
    platform.commit(&first);
    let mut new = HomeHost::new(platform, 2);

    assert_eq!(new.history(platform).len(), 3);
    assert_eq!(new.programs.open_programs().collect::<Vec<_>>(), [PROGRAM]);
}

/// The home host read an incomplete journal because the platform's read lagged. Its next write
/// conflicts with a row it does not know, after which it must read the journal again instead of
/// treating the partition as lost.
#[test]
fn a_home_that_missed_a_row_reads_again() {
    let platform = &mut Platform::new();
    let mut home = HomeHost::with_program(platform, 1);
    let row = r#"{"witness": "other", "entries": []}"#;
    platform.rows.insert(RowKey::new("journal", "0000/000000000002"), (9, row.into()));

    let first = home.run_call(platform, call("look", "k1", 0), "\"seen\"");
    let request = call_with_tail("look", "k2", 1, first.tail);
    let second = home.run_call(platform, request, "\"seen\"");

    assert!(!first.stored && second.stored);
    assert_eq!((second.call, home.fenced), (2, 0));
}
