//! Lines on standard output.

use std::fmt::Display;
use std::io::Write as _;

/// Prints a line.
///
/// `println!` panics when the reader is gone, as `head` is after its last line; nobody is
/// left then to miss the rest.
pub fn line(text: impl Display) {
    let _ = writeln!(std::io::stdout().lock(), "{text}");
}
