//! Determines whether a transaction took effect when its response was lost.
//!
//! A *witness* is a row that a transaction both writes and requires to be absent before. Its
//! value identifies the writer, for example by the id of an attempt or a session. If the response
//! to a transaction with a witness is lost, the client sends the transaction again. If the
//! second request conflicts, the conflicting rows show whether the first one took effect (see
//! [`explain`]).
//!
//! The transaction takes effect at most once, even if the first request was only delayed and
//! arrives after the second. The platform runs transactions serially: the request that commits
//! first writes the witness, and the other one then fails its check that the row is absent.
//!
//! This requires that a witness stays unchanged while a request may still be in flight or a
//! conflict may still be explained. The client does neither after
//! [`RetryOptions::retry_window`](crate::RetryOptions), even if its process was paused for longer.
//! Code that deletes or changes witnesses has to wait longer than that window.

use camphorwalk_core::platform::{Check, Row, RowVersion, Transaction, Write};

/// The outcome of the earlier requests of a transaction, as shown by a conflict.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Explanation {
    /// One of them committed with this version.
    Committed(RowVersion),
    /// None of them took effect, and none will.
    NotCommitted,
    /// The conflict does not show the outcome.
    Undetermined,
}

/// Returns whether a transaction writes a witness.
pub(crate) fn has_witness(tx: &Transaction) -> bool {
    checked_writes(tx).any(|(check, _)| check.version == RowVersion::ABSENT)
}

/// Determines the outcome of the earlier requests of a transaction from a conflict.
pub(crate) fn explain(tx: &Transaction, conflict: &[Row]) -> Explanation {
    let own = |write: &Write| {
        let row = conflict.iter().find(|row| row.key == write.key);
        row.filter(|row| Some(&row.value) == write.value.as_ref())
    };

    // All rows must match, with the same version. Suppose a host took lease 1 in a transaction
    // with an unknown outcome, and now takes leases 1 and 2 in another. It finds lease 1 with
    // the value that it wants to write, and would wrongly assume that it holds lease 2 as well.
    // A transaction writes all its rows with one version, so different versions reveal this.
    let mut versions = checked_writes(tx).map(|(_, write)| own(write).map(|row| row.version));

    if let Some(Some(version)) = versions.next()
        && versions.all(|other| other == Some(version))
    {
        return Explanation::Committed(version);
    }

    let witnesses = checked_writes(tx).filter(|(check, _)| check.version == RowVersion::ABSENT);

    if witnesses.map(|(_, write)| own(write)).any(|row| row.is_some()) {
        return Explanation::Undetermined;
    }

    if is_final(tx, conflict) { Explanation::NotCommitted } else { Explanation::Undetermined }
}

/// Returns whether a request that is still in flight is certain to conflict as well.
///
/// This holds if a row no longer has the expected version, because versions are never reused.
/// Such a row is in `conflict`, or `conflict` is empty because the row was deleted. It also
/// holds if another writer's witness exists, because no host deletes a witness while the request
/// may be in flight. It does not hold for a row that must be absent and that `tx` does not write:
/// that row may be deleted before the delayed request arrives, which would then commit.
fn is_final(tx: &Transaction, conflict: &[Row]) -> bool {
    let is_permanent = |check: &Check| {
        check.version != RowVersion::ABSENT
            || checked_writes(tx).any(|(witness, _)| witness.key == check.key)
    };
    let in_conflict = |check: &Check| conflict.iter().any(|row| row.key == check.key);

    conflict.is_empty() || tx.checks.iter().any(|check| in_conflict(check) && is_permanent(check))
}

/// Returns the writes of `tx` that do not delete and whose row it also checks, with the checks.
fn checked_writes(tx: &Transaction) -> impl Iterator<Item = (&Check, &Write)> {
    let writes = tx.writes.iter().filter(|write| write.value.is_some());

    writes.filter_map(|write| {
        let check = tx.checks.iter().find(|check| check.key == write.key);
        check.map(|check| (check, write))
    })
}
