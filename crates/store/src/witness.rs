//! Finding out whether a transaction whose answer was lost took effect.
//!
//! A *witness* is a row that the transaction checks as absent and writes, with a content
//! that names its writer, such as the id of an attempt or of a session. A transaction with
//! a witness is sent again when its answer is lost. If that conflicts, the rows of the
//! conflict tell what became of the first sending ([`explain`]).
//!
//! Why sending twice runs the transaction at most once, also when the first sending was
//! only delayed and reaches the platform after the second: the platform runs transactions
//! one after the other. Whichever sending comes first and commits puts the witness there,
//! and from then on the other one fails its absent-check.
//!
//! Both this and the explanation need that a witness stays as it is for as long as a
//! sending may be under way and the client may still ask. The client asks for no longer
//! than [`RetryOptions::retry_window`](crate::RetryOptions); a host that was paused for longer
//! gets no explanation. Whoever deletes or changes witnesses has to wait longer than that.

use camphorwalk_core::platform::{Check, Row, RowVersion, Transaction, Write};

/// What a conflict with a repeated transaction tells of its earlier sendings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Explanation {
    /// One of them took effect with this version.
    Committed(RowVersion),
    /// None of them took effect, and none will.
    NotCommitted,
    /// It does not tell.
    Unclear,
}

/// Tells whether a transaction writes a row that can witness that it took effect.
pub(crate) fn has_witness(tx: &Transaction) -> bool {
    checked_writes(tx).any(|(check, _)| check.version == RowVersion::ABSENT)
}

/// Explains a conflict with a transaction that was sent before.
pub(crate) fn explain(tx: &Transaction, conflict: &[Row]) -> Explanation {
    let own = |write: &Write| {
        let row = conflict.iter().find(|row| row.key == write.key);
        row.filter(|row| Some(&row.value) == write.value.as_ref())
    };

    // One row alone does not do. A host that took lease 1 by a transaction of unknown
    // outcome and now takes leases 1 and 2 by another, finds lease 1 as it wanted to write
    // it, and would think that it has lease 2 as well. A transaction gives one version to
    // all that it writes, so that rows of two are told apart.
    let mut versions = checked_writes(tx).map(|(_, write)| own(write).map(|row| row.version));

    if let Some(Some(version)) = versions.next()
        && versions.all(|other| other == Some(version))
    {
        return Explanation::Committed(version);
    }

    let witnesses = checked_writes(tx).filter(|(check, _)| check.version == RowVersion::ABSENT);

    if witnesses.map(|(_, write)| own(write)).any(|row| row.is_some()) {
        return Explanation::Unclear;
    }

    if is_final(tx, conflict) { Explanation::NotCommitted } else { Explanation::Unclear }
}

/// Tells whether a sending that is still under way is bound to conflict as well.
///
/// It is if a row has left the version that was expected, for no version comes back; such
/// a row is listed, or the list is empty because it was deleted. It is if a witness is
/// another's, for witnesses stay. A row that must be absent and is not written, however,
/// may be deleted before the delayed sending comes, which would then take effect.
fn is_final(tx: &Transaction, conflict: &[Row]) -> bool {
    let lasting = |check: &Check| {
        check.version != RowVersion::ABSENT
            || checked_writes(tx).any(|(witness, _)| witness.key == check.key)
    };
    let listed = |check: &Check| conflict.iter().any(|row| row.key == check.key);

    conflict.is_empty() || tx.checks.iter().any(|check| listed(check) && lasting(check))
}

/// Returns the writes of `tx` that leave a row and whose row it checks, each with the check.
fn checked_writes(tx: &Transaction) -> impl Iterator<Item = (&Check, &Write)> {
    let writes = tx.writes.iter().filter(|write| write.value.is_some());

    writes.filter_map(|write| {
        let check = tx.checks.iter().find(|check| check.key == write.key);
        check.map(|check| (check, write))
    })
}
