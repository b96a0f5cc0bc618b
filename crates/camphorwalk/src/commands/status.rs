//! `camphorwalk status`: prints the status of the fleet.

use std::net::SocketAddr;
use std::path::PathBuf;

use argh::FromArgs;
use camphorwalk_policy::scheduler::{HostStatus, Status as FleetStatus};
use serde_json::json;

use super::report_error;
use crate::arguments::address;
use crate::exit::Exit;
use crate::operator::{Operator, Result};
use crate::output;

/// Prints how the fleet looks from a host: hosts, leases with their epochs, configuration
/// versions and quarantined requests. Exit codes: 0 done, 1 refused, 2 usage, 3 could not
/// reach the host.
#[derive(FromArgs, Debug)]
#[argh(
    subcommand,
    name = "status",
    example = "{command_name} --host 127.0.0.1:7201 --operator-key-file key"
)]
pub struct Status {
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

impl Status {
    /// Runs the command and returns its exit code.
    pub async fn run(&self) -> Exit {
        match self.status().await {
            Ok(status) if self.json => output::line(json!(status)),
            Ok(status) => print(&status),
            Err(error) => return report_error("status", &error, self.json),
        }

        Exit::Done
    }

    /// Fetches the status of the fleet.
    async fn status(&self) -> Result<FleetStatus> {
        Operator::new(self.host, &self.operator_key_file)?.status().await
    }
}

/// Prints the status as text.
fn print(status: &FleetStatus) {
    output::line(format!("as {} sees it:", status.host));
    output::line(format!("configuration version {}", status.version.0));
    output::line(format!("leases hold for {} ms", status.leases_hold_ms));
    output::line(format!("withdrawals not stored yet: {}", status.unstored_withdrawals));

    status.hosts.iter().for_each(print_host);
    for digest in &status.quarantined {
        output::line(format!("quarantined {digest}"));
    }
}

/// Prints the status of one host on one line.
fn print_host(host: &HostStatus) {
    let reach = if host.reachable { "in reach" } else { "out of reach" };
    let leaving = if host.leaving { ", leaving" } else { "" };
    let leases: Vec<_> =
        host.partitions.iter().map(|(partition, epoch)| format!("{partition}@{epoch}")).collect();

    output::line(format!(
        "host {} ({}): {reach}{leaving}, version {}, partitions@epochs: {}",
        host.name,
        host.zone,
        host.version.0,
        leases.join(" ")
    ));
}
