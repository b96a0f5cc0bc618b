//! Writes lines to standard output.

use std::fmt::Display;
use std::io::Write as _;

/// Prints a line to standard output and ignores write errors.
///
/// `println!` would panic when the reader has closed the pipe, as `head` does after its last
/// line. Nobody reads the remaining output in that case, so dropping it is harmless.
pub fn line(text: impl Display) {
    let _ = writeln!(std::io::stdout().lock(), "{text}");
}
