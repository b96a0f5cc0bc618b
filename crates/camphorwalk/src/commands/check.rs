//! `camphorwalk check`: validates a folder of declarations.

use std::path::PathBuf;

use argh::FromArgs;
use camphorwalk_declare::{Fault, load};
use serde_json::json;

use crate::exit::Exit;
use crate::output;

/// Checks a deployment's folder, without any network, and prints each fault with its file,
/// JSON path and reason. Exit codes: 0 no fault, 1 faults, 2 usage.
#[derive(FromArgs, Debug)]
#[argh(
    subcommand,
    name = "check",
    example = "Check an example:\n  {command_name} deployments/inkwick"
)]
pub struct Check {
    /// the deployment's folder
    #[argh(positional)]
    dir: PathBuf,

    /// print JSON: {{"faults": [{{"file", "path", "reason"}}]}}
    #[argh(switch)]
    json: bool,
}

impl Check {
    /// Runs the command and returns its exit code.
    pub fn run(&self) -> Exit {
        let faults = match load(&self.dir) {
            Ok(_) => Vec::new(),
            Err(faults) => faults.into_vec(),
        };

        print_faults(&faults, self.json);
        if faults.is_empty() { Exit::Done } else { Exit::Refused }
    }
}

/// Prints faults, one per line or as a JSON object.
pub(crate) fn print_faults(faults: &[Fault], json: bool) {
    if json {
        return output::line(json!({ "faults": faults }));
    }

    faults.iter().for_each(output::line);
    if faults.is_empty() {
        output::line("no faults");
    }
}
