//! Finding out whether a transaction whose answer was lost took effect.
//!
//! A *witness* is a row that the transaction checks as absent and writes with a content
//! that no other transaction writes, for it holds the attempt's unique id.
//!
//! Why sending such a transaction twice runs it at most once, also when the first sending
//! was only delayed and reaches the platform after the second:
//!
//! - The platform runs transactions one after the other. Whichever sending comes first and
//!   commits puts the witness there. From then on the other one fails its absent-check.
//! - So the two together commit at most once as long as the witness stays. Who deletes
//!   witnesses must leave them for longer than a request can be under way; the version of
//!   some other checked row mostly protects even then, since versions never come back.
//! - After a conflict the witness tells: only this transaction can have written its
//!   content, so if that stands there, it took effect, and the row's version is its own.
//! - If the witness is missing or differs, nothing took effect before the second sending
//!   was checked. The first one can no longer take effect later either: the row that
//!   failed the check has moved past the version that both expect, or is there where both
//!   expect none. (The latter holds as long as that row stays, as for witnesses.)

use camphorwalk_core::platform::{Check, Row, RowVersion, Transaction, Write};

/// Tells whether a transaction writes a row that can witness that it took effect.
pub(crate) fn has_witness(tx: &Transaction) -> bool {
    witnesses(tx).next().is_some()
}

/// Returns the version with which `tx` took effect, if one of its witnesses stands among
/// the rows of a conflict.
pub(crate) fn witnessed(tx: &Transaction, conflict: &[Row]) -> Option<RowVersion> {
    let found = witnesses(tx).find_map(|write| {
        conflict.iter().find(|row| row.key == write.key && Some(&row.value) == write.value.as_ref())
    });

    found.map(|row| row.version)
}

/// Returns the writes of `tx` whose row it checks as absent.
fn witnesses(tx: &Transaction) -> impl Iterator<Item = &Write> {
    tx.writes.iter().filter(|write| {
        let absent = |check: &Check| check.key == write.key && check.version == RowVersion::ABSENT;

        write.value.is_some() && tx.checks.iter().any(absent)
    })
}
