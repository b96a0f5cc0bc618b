//! The subcommands of `camphorwalk`, one module each.

pub mod apply;
pub mod bench;
pub mod check;
pub mod demo;
pub mod diff;
pub mod drain;
pub mod explain;
pub mod status;
pub mod withdraw;

use serde_json::{Value, json};

use crate::exit::Exit;
use crate::operator::Error;
use crate::output;

/// Prints the error of a failed command, as JSON on standard output or as text on standard
/// error, and returns the exit code for it.
fn report_error(command: &str, error: &Error, json: bool) -> Exit {
    if json {
        output::line(error_to_json(error));
    } else {
        if let Error::Faults(faults) = error {
            check::print_faults(faults, false);
        }
        eprintln!("{command}: {error}");
    }

    error.exit()
}

/// Converts an error to JSON. Includes the faults of the declarations, or the configuration in
/// force after a conflict.
fn error_to_json(error: &Error) -> Value {
    let text = error.to_string();

    match error {
        Error::Faults(faults) => json!({ "error": text, "faults": faults }),
        Error::Conflict(in_force) => json!({ "error": text, "current": in_force }),
        _ => json!({ "error": text }),
    }
}
