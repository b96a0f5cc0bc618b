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

/// Prints why an operator's command failed, and returns how it ends.
fn fail(command: &str, error: &Error, json: bool) -> Exit {
    if json {
        output::line(describe(error));
    } else {
        if let Error::Faults(faults) = error {
            check::print_faults(faults, false);
        }
        eprintln!("{command}: {error}");
    }

    error.exit()
}

/// Returns an error as JSON.
fn describe(error: &Error) -> Value {
    let text = error.to_string();

    match error {
        Error::Faults(faults) => json!({ "error": text, "faults": faults }),
        Error::Conflict(in_force) => json!({ "error": text, "current": in_force }),
        _ => json!({ "error": text }),
    }
}
