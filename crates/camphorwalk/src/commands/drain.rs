//! `camphorwalk drain`: shuts down a host gracefully.

use std::net::SocketAddr;
use std::path::PathBuf;

use argh::FromArgs;
use serde_json::json;

use super::report_error;
use crate::arguments::address;
use crate::exit::Exit;
use crate::operator::{Operator, Result};
use crate::output;

/// Has a host leave: it takes no new callers, finishes what runs, hands back what it holds
/// and ends. Exit codes: 0 it was told, 1 refused, 2 usage, 3 could not reach the host.
#[derive(FromArgs, Debug)]
#[argh(
    subcommand,
    name = "drain",
    example = "{command_name} entry-3 --host 127.0.0.1:7201 --operator-key-file key"
)]
pub struct Drain {
    /// the name of the host that is to leave
    #[argh(positional)]
    leaving: String,

    /// the operator API of any host, as IP:PORT
    #[argh(option, from_str_fn(address))]
    host: SocketAddr,

    /// the file with the operators' key
    #[argh(option)]
    operator_key_file: PathBuf,

    /// print JSON
    #[argh(switch)]
    json: bool,
}

impl Drain {
    /// Runs the command and returns its exit code.
    pub async fn run(&self) -> Exit {
        if let Err(error) = self.drain().await {
            return report_error("drain", &error, self.json);
        }

        if self.json {
            output::line(json!({ "leaving": self.leaving }));
        } else {
            output::line(format!("{} was told to leave", self.leaving));
        }
        Exit::Done
    }

    /// Asks the host to shut down.
    async fn drain(&self) -> Result<()> {
        Operator::new(self.host, &self.operator_key_file)?.drain(&self.leaving).await
    }
}
