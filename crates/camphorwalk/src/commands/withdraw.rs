//! `camphorwalk withdraw`: withdraws a caller's key.

use std::net::SocketAddr;
use std::path::PathBuf;

use argh::FromArgs;
use serde_json::json;

use super::report_error;
use crate::arguments::address;
use crate::exit::Exit;
use crate::operator::{Operator, Result};
use crate::output;

/// Withdraws a caller's key for good. It stops working within seconds, also while the
/// platform is away. Exit codes: 0 done, 1 refused, 2 usage, 3 could not reach the host.
#[derive(FromArgs, Debug)]
#[argh(
    subcommand,
    name = "withdraw",
    example = "{command_name} floor-artists-1 --host 127.0.0.1:7201 --operator-key-file key",
    note = "Remove the key from the declarations too. Its id cannot be used again: give a new
key a new id."
)]
pub struct Withdraw {
    /// the key's id, as the declarations have it
    #[argh(positional)]
    key: String,

    /// the operator API of a host, as IP:PORT
    #[argh(option, from_str_fn(address))]
    host: SocketAddr,

    /// the file with the operators' key
    #[argh(option)]
    operator_key_file: PathBuf,

    /// print JSON
    #[argh(switch)]
    json: bool,
}

impl Withdraw {
    /// Runs the command and returns its exit code.
    pub async fn run(&self) -> Exit {
        if let Err(error) = self.withdraw().await {
            return report_error("withdraw", &error, self.json);
        }

        if self.json {
            output::line(json!({ "withdrawn": self.key }));
        } else {
            output::line(format!("{} is withdrawn", self.key));
        }
        Exit::Done
    }

    /// Sends the withdrawal to the host.
    async fn withdraw(&self) -> Result<()> {
        Operator::new(self.host, &self.operator_key_file)?.withdraw(&self.key).await
    }
}
