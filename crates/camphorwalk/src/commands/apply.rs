//! `camphorwalk apply`: publishes a folder of declarations and waits until hosts confirm it.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use argh::FromArgs;
use camphorwalk_core::config::Config;
use camphorwalk_core::units::ConfigVersion;
use camphorwalk_declare::{Change, check_change, diff};
use serde::Serialize;
use serde_json::json;
use tokio::time::{Instant, sleep};

use super::diff::load_folder;
use super::report_error;
use crate::arguments::{address, duration};
use crate::exit::Exit;
use crate::operator::{Confirmation, Error, InForce, Operator, Result};
use crate::output;

/// The interval at which a host is polled for the configuration in force and for confirmations.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Publishes a deployment's folder, and prints which hosts confirmed it and which
/// availability zones no host confirmed it in. Exit codes: 0 accepted, 1 refused (faults, or
/// another change came first), 2 usage, 3 could not reach the host or the platform.
#[derive(FromArgs, Debug)]
#[argh(
    subcommand,
    name = "apply",
    example = "{command_name} deployments/inkwick --host 127.0.0.1:7201 --operator-key-file key",
    note = "Without --base, the folder replaces what is in force now. Give the version that your
change was made from, and a change that came in between is a conflict instead of being undone.",
    note = "What was accepted never reverts, also where a zone could not be reached: its hosts
adopt it when they hear of it."
)]
pub struct Apply {
    /// the deployment's folder
    #[argh(positional)]
    dir: PathBuf,

    /// the version that the change was made from
    #[argh(option)]
    base: Option<u64>,

    /// the operator API of a host, as IP:PORT
    #[argh(option, from_str_fn(address))]
    host: SocketAddr,

    /// the file with the operators' key
    #[argh(option)]
    operator_key_file: PathBuf,

    /// how long to wait for the hosts' confirmations (default 10s)
    #[argh(option, default = "Duration::from_secs(10)", from_str_fn(duration))]
    wait: Duration,

    /// print JSON
    #[argh(switch)]
    json: bool,
}

/// The result of an accepted publication.
#[derive(Debug, Serialize)]
struct Applied {
    /// The version in force.
    version: ConfigVersion,
    /// The changes relative to the previous version.
    changes: Vec<Change>,
    /// The configuration version of each host.
    hosts: Vec<Confirmation>,
    /// The availability zones in which no host confirmed the version.
    unconfirmed_zones: Vec<Box<str>>,
}

impl Apply {
    /// Runs the command and returns its exit code.
    pub async fn run(&self) -> Exit {
        let error = match self.apply().await {
            Ok(applied) => {
                self.print(&applied);
                return Exit::Done;
            }
            Err(error) => error,
        };

        if let Error::Conflict(in_force) = &error {
            self.print_conflict(in_force);
        }
        report_error("apply", &error, self.json)
    }

    /// Publishes the folder and waits for confirmations.
    async fn apply(&self) -> Result<Applied> {
        let config = load_folder(&self.dir)?;
        let operator = Operator::new(self.host, &self.operator_key_file)?;
        let in_force = operator.config().await?;

        let changes = changes(&in_force, &config)?;
        let base = self.base.map_or(in_force.version, ConfigVersion);
        let is_in_force = in_force.config.is_some() && changes.is_empty();
        let version = if is_in_force && base == in_force.version {
            in_force.version
        } else {
            self.publish(&operator, base, &config).await?
        };

        let hosts = self.confirmations(&operator, version).await;
        let unconfirmed_zones = unconfirmed_zones(&config, &hosts, version);
        Ok(Applied { version, changes, hosts, unconfirmed_zones })
    }

    /// Publishes the configuration. If the response is lost, polls the configuration in force to
    /// find out whether the publication took effect.
    async fn publish(
        &self,
        operator: &Operator,
        base: ConfigVersion,
        config: &Config,
    ) -> Result<ConfigVersion> {
        let reason = match operator.publish(base, config).await {
            Err(Error::Unknown(reason)) => reason,
            result => return result,
        };

        // Publishing again could undo a change that another operator has made in the meantime.
        // Reading has no such risk.
        let deadline = Instant::now() + self.wait;
        while Instant::now() < deadline {
            match operator.config().await {
                Ok(in_force) if in_force.version > base && is_same(&in_force, config) => {
                    return Ok(in_force.version);
                }
                _ => sleep(POLL_INTERVAL).await,
            }
        }
        Err(Error::Unknown(reason))
    }

    /// Waits until all reachable hosts have confirmed a version, or until `self.wait` has passed.
    /// Returns the last known versions of all hosts.
    async fn confirmations(
        &self,
        operator: &Operator,
        version: ConfigVersion,
    ) -> Vec<Confirmation> {
        let deadline = Instant::now() + self.wait;

        loop {
            let hosts = operator.confirmations(version).await.unwrap_or_default();
            let is_confirmed = |host: &Confirmation| !host.reachable || host.version >= version;
            let timed_out = Instant::now() >= deadline;
            if timed_out || (!hosts.is_empty() && hosts.iter().all(is_confirmed)) {
                return hosts;
            }
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Prints the result.
    fn print(&self, applied: &Applied) {
        if self.json {
            return output::line(json!(applied));
        }

        applied.changes.iter().for_each(output::line);
        output::line(format!("version {} is in force", applied.version.0));
        for host in &applied.hosts {
            let state = match (host.version >= applied.version, host.reachable) {
                (true, _) => "confirmed".to_owned(),
                (false, true) => format!("has version {}", host.version.0),
                (false, false) => format!("not reached, had version {}", host.version.0),
            };
            output::line(format!("  {} ({}): {state}", host.name, host.zone));
        }
        for zone in &applied.unconfirmed_zones {
            output::line(format!("  zone {zone}: no host confirmed"));
        }
    }

    /// Prints how the version in force differs from the folder.
    fn print_conflict(&self, in_force: &InForce) {
        let (Ok(config), false) = (load_folder(&self.dir), self.json) else { return };

        if let Some(current) = &in_force.config {
            output::line(format!("version {} differs from the folder in:", in_force.version.0));
            diff(&config, current).iter().for_each(output::line);
        }
    }
}

/// Returns the changes from the configuration in force to the folder's. Fails if one of them is
/// not allowed.
fn changes(in_force: &InForce, config: &Config) -> Result<Vec<Change>> {
    let Some(old) = &in_force.config else { return Ok(Vec::new()) };
    let faults = check_change(old, config);

    if faults.is_empty() { Ok(diff(old, config)) } else { Err(Error::Faults(faults)) }
}

/// Returns whether a configuration equals the one in force.
fn is_same(in_force: &InForce, config: &Config) -> bool {
    in_force.config.as_ref().is_some_and(|current| diff(current, config).is_empty())
}

/// Returns the availability zones in which no host has the version in force.
fn unconfirmed_zones(
    config: &Config,
    hosts: &[Confirmation],
    version: ConfigVersion,
) -> Vec<Box<str>> {
    let up_to_date = hosts.iter().filter(|host| host.version >= version);
    let confirmed: BTreeSet<_> = up_to_date.map(|host| &host.zone).collect();
    let zones = config.fleet.zones.iter().map(|zone| &zone.name);

    zones.filter(|zone| !confirmed.contains(zone)).cloned().collect()
}
