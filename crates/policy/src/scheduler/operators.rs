//! Handles the requests of operators.

use std::sync::Arc;

use camphorwalk_core::config::Config;
use camphorwalk_core::ids::{HostId, KeyId};
use camphorwalk_core::messages::Body;
use camphorwalk_core::messages::forward::Drain;
use camphorwalk_core::time::Instant;
use camphorwalk_core::units::ConfigVersion;
use serde::{Deserialize, Serialize};

use super::controllers::ControllerEvent;
use super::{Action, Scheduler};
use crate::configs::{ConfigEvent, OperatorRequestId, Published};

/// A request of an operator.
#[derive(Clone, Debug, PartialEq)]
pub enum OperatorRequest {
    /// Get the state of the fleet as this host sees it.
    Status,
    /// Get the configuration in force on this host.
    Config,
    /// Publish a configuration made from version `base`.
    Publish {
        /// The version that the operator started from; 0 if there was none.
        base: ConfigVersion,
        /// The new configuration.
        config: Box<Config>,
    },
    /// Withdraw a key.
    Withdraw {
        /// The public id of the key.
        key: Box<str>,
    },
    /// Make a host leave the fleet.
    Drain {
        /// The host's name.
        host: Box<str>,
    },
}

/// The answer to an operator.
#[derive(Clone, Debug, PartialEq)]
pub enum OperatorReply {
    /// The state of the fleet as this host sees it.
    Status(Status),
    /// The configuration in force on this host.
    Config(Option<Arc<Config>>),
    /// The result of a publication.
    Published(Published),
    /// The request was accepted.
    Accepted,
    /// The key is not in the configuration in force, or the host is not live.
    Unknown,
}

/// The state of the fleet as one host sees it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// The host that reports this status.
    pub host: Box<str>,
    /// The configuration version in force on that host.
    pub version: ConfigVersion,
    /// The number of withdrawals that are not confirmed to be stored by the platform.
    pub unstored_withdrawals: usize,
    /// The number of milliseconds for which that host's leases are still guaranteed to be valid.
    pub leases_hold_ms: u64,
    /// All hosts that it knows, live or not, including itself.
    pub hosts: Vec<HostStatus>,
    /// Digests of requests that crash targets, in hexadecimal.
    pub quarantined: Vec<Box<str>>,
}

/// A host of the fleet as another one sees it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HostStatus {
    /// Its name.
    pub name: Box<str>,
    /// Its availability zone's name.
    pub zone: Box<str>,
    /// Whether it is live: a heartbeat of it arrived recently.
    pub reachable: bool,
    /// Whether it is leaving.
    pub leaving: bool,
    /// The configuration version that it last reported to be in force.
    pub version: ConfigVersion,
    /// The partitions it holds, with their epochs.
    pub partitions: Vec<(u16, u64)>,
}

impl Scheduler {
    pub(super) fn on_operator_request(
        &mut self,
        now: Instant,
        request_id: OperatorRequestId,
        request: OperatorRequest,
        out: &mut Vec<Action>,
    ) {
        let reply = match request {
            OperatorRequest::Status => OperatorReply::Status(self.status(now)),
            OperatorRequest::Config => OperatorReply::Config(self.state.config.clone()),
            OperatorRequest::Publish { base, config } => {
                let event = ConfigEvent::Publish { request_id, base, config };
                return self.events.push_back(ControllerEvent::Config(event));
            }
            OperatorRequest::Withdraw { key } => self.withdraw(&key),
            OperatorRequest::Drain { host } => self.drain_host(&host, out),
        };

        out.push(Action::OperatorAnswer { request_id, reply: Box::new(reply) });
    }

    pub(super) fn on_published(
        &mut self,
        request_id: OperatorRequestId,
        answer: Published,
        out: &mut Vec<Action>,
    ) {
        let reply = Box::new(OperatorReply::Published(answer));
        out.push(Action::OperatorAnswer { request_id, reply });
    }

    fn withdraw(&mut self, name: &str) -> OperatorReply {
        let named = |cfg: &Arc<Config>| {
            cfg.tenants.iter().flat_map(|t| &t.keys).any(|key| &*key.id == name)
        };
        if !self.state.config.as_ref().is_some_and(named) {
            return OperatorReply::Unknown;
        }

        let key = KeyId::from_name(name);
        self.events.push_back(ControllerEvent::Config(ConfigEvent::Withdraw { key }));

        OperatorReply::Accepted
    }

    fn drain_host(&mut self, name: &str, out: &mut Vec<Action>) -> OperatorReply {
        let host = HostId::from_name(name);
        if host == self.state.this_host {
            self.drain();
            return OperatorReply::Accepted;
        }
        if !self.membership.is_live(host) {
            return OperatorReply::Unknown;
        }

        out.push(Action::Send { to: host, message: Body::Drain(Drain {}).into() });

        OperatorReply::Accepted
    }

    fn status(&self, now: Instant) -> Status {
        let version = self.configs.pointer().map_or(ConfigVersion(0), |p| p.version);
        let mut hosts = vec![HostStatus {
            name: self.state.name.clone(),
            zone: self.state.zone_name.clone(),
            reachable: true,
            leaving: self.state.leaving,
            version,
            partitions: self.partitions_of(self.state.this_host),
        }];

        for member in self.membership.members() {
            hosts.push(HostStatus {
                name: member.name.clone(),
                zone: member.zone_name.clone(),
                reachable: self.membership.is_live(member.host),
                leaving: member.leaving,
                version: self.state.config_versions.get(&member.host).copied().unwrap_or_default(),
                partitions: self.partitions_of(member.host),
            });
        }
        hosts.sort_unstable_by(|a, b| a.name.cmp(&b.name));

        let mut quarantined: Vec<Box<str>> =
            self.quarantined.iter().map(|d| hex::encode(d).into()).collect();
        quarantined.sort_unstable();

        Status {
            host: self.state.name.clone(),
            version,
            unstored_withdrawals: self.configs.unstored_tombstones(),
            leases_hold_ms: self.state.leases_valid_until.since(now).as_millis() as u64,
            hosts,
            quarantined,
        }
    }

    fn partitions_of(&self, host: HostId) -> Vec<(u16, u64)> {
        let held = self.state.holders.iter().filter(|(_, holder)| holder.host == host);
        let mut all: Vec<_> = held.map(|(p, holder)| (p.0, holder.epoch.0)).collect();
        all.sort_unstable();

        all
    }
}
