//! `camphorwalk diff`: compares a folder of declarations with another one or with a host.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use argh::FromArgs;
use camphorwalk_core::config::Config;
use camphorwalk_declare::{Change, diff, load};
use serde_json::json;

use super::report_error;
use crate::arguments::address;
use crate::exit::Exit;
use crate::operator::{Error, Operator, Result};
use crate::output;

/// Prints what a deployment's folder changes against another folder or against what is in
/// force. Exit codes: 0 compared, 1 refused, 2 usage, 3 could not reach the host.
#[derive(FromArgs, Debug)]
#[argh(
    subcommand,
    name = "diff",
    example = "Against another folder, without any network:\n  {command_name} new --against old",
    example = "Against what is in force:\n  {command_name} new --host 127.0.0.1:7201 --operator-key-file key"
)]
pub struct Diff {
    /// the folder with the new declarations
    #[argh(positional)]
    dir: PathBuf,

    /// the folder with the old declarations
    #[argh(option)]
    against: Option<PathBuf>,

    /// the operator API of a host, as IP:PORT
    #[argh(option, from_str_fn(address))]
    host: Option<SocketAddr>,

    /// the file with the operators' key
    #[argh(option)]
    operator_key_file: Option<PathBuf>,

    /// print JSON: {{"changes": [...]}}
    #[argh(switch)]
    json: bool,
}

impl Diff {
    /// Runs the command and returns its exit code.
    pub async fn run(&self) -> Exit {
        let compared = match (&self.against, self.host, &self.operator_key_file) {
            (Some(old), None, None) => self.against_folder(old),
            (None, Some(host), Some(key)) => self.against_host(host, key).await,
            _ => {
                eprintln!("diff: give either --against, or --host and --operator-key-file");
                return Exit::Usage;
            }
        };

        match compared {
            Ok(changes) => {
                print_changes(&changes, self.json);
                Exit::Done
            }
            Err(error) => report_error("diff", &error, self.json),
        }
    }

    /// Compares the folder with an older one.
    fn against_folder(&self, old: &Path) -> Result<Vec<Change>> {
        let old = load_folder(old)?;

        Ok(diff(&old, &load_folder(&self.dir)?))
    }

    /// Compares the folder with the configuration in force at a host.
    async fn against_host(&self, host: SocketAddr, key: &Path) -> Result<Vec<Change>> {
        let new = load_folder(&self.dir)?;
        let in_force = Operator::new(host, key)?.config().await?;

        match in_force.config {
            Some(old) => Ok(diff(&old, &new)),
            None => Err(Error::Refused("no configuration is in force yet".into())),
        }
    }
}

/// Reads and checks the declarations in a folder.
pub(crate) fn load_folder(dir: &Path) -> Result<Config> {
    load(dir).map_err(|faults| Error::Faults(faults.into_vec()))
}

/// Prints changes, one per line or as a JSON object.
fn print_changes(changes: &[Change], json: bool) {
    if json {
        return output::line(json!({ "changes": changes }));
    }

    changes.iter().for_each(output::line);
    if changes.is_empty() {
        output::line("no changes");
    }
}
