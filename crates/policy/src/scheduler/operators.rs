//! What operators ask of a host.

use std::sync::Arc;

use camphorwalk_core::config::Config;
use camphorwalk_core::ids::{HostId, KeyId};
use camphorwalk_core::messages::Body;
use camphorwalk_core::messages::forward::Drain;
use camphorwalk_core::time::Instant;
use camphorwalk_core::units::ConfigVersion;
use serde::{Deserialize, Serialize};

use super::work::Work;
use super::{Action, Scheduler};
use crate::configs::{ConfigEvent, OperatorRequestId, Published};

/// What an operator asks.
#[derive(Clone, Debug, PartialEq)]
pub enum OperatorRequest {
    /// How the fleet looks from this host.
    Status,
    /// The configuration in force here.
    Config,
    /// Publish a configuration made from version `base`.
    Publish {
        /// The version that the operator read; 0 for the first.
        base: ConfigVersion,
        /// The new configuration.
        config: Box<Config>,
    },
    /// Withdraw a key.
    Withdraw {
        /// The key's public name.
        key: Box<str>,
    },
    /// Have a host leave.
    Drain {
        /// The host's name.
        host: Box<str>,
    },
}

/// The answer to an operator.
#[derive(Clone, Debug, PartialEq)]
pub enum OperatorReply {
    /// How the fleet looks from this host.
    Status(Status),
    /// The configuration in force here.
    Config(Option<Arc<Config>>),
    /// What came of a publication.
    Published(Published),
    /// The request is accepted.
    Accepted,
    /// There is no such key or host.
    Unknown,
}

/// How the fleet looks from one host.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// The host that says so.
    pub host: Box<str>,
    /// The configuration version in force there.
    pub version: ConfigVersion,
    /// How many withdrawals the platform is not known to have.
    pub unstored_withdrawals: usize,
    /// How many milliseconds its leases surely hold for.
    pub leases_hold_ms: u64,
    /// All hosts that it knows.
    pub hosts: Vec<HostStatus>,
    /// Digests of requests that bring targets down, in hexadecimal.
    pub quarantined: Vec<Box<str>>,
}

/// A host as another one sees it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HostStatus {
    /// Its name.
    pub name: Box<str>,
    /// Its availability zone's name.
    pub zone: Box<str>,
    /// Whether it was heard of lately.
    pub reachable: bool,
    /// Whether it is leaving.
    pub leaving: bool,
    /// The configuration version it was last heard to have in force.
    pub version: ConfigVersion,
    /// The partitions it holds, with their epochs.
    pub partitions: Vec<(u16, u64)>,
}

impl Scheduler {
    pub(super) fn on_operator(
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
                return self.work.push_back(Work::Config(event));
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
        self.work.push_back(Work::Config(ConfigEvent::Withdraw { key }));

        OperatorReply::Accepted
    }

    fn drain_host(&mut self, name: &str, out: &mut Vec<Action>) -> OperatorReply {
        let host = HostId::from_name(name);
        if host == self.state.me {
            self.drain();
            return OperatorReply::Accepted;
        }
        if !self.membership.is_alive(host) {
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
            partitions: self.partitions_of(self.state.me),
        }];

        for member in self.membership.all() {
            hosts.push(HostStatus {
                name: member.name.clone(),
                zone: member.zone_name.clone(),
                reachable: self.membership.is_alive(member.host),
                leaving: member.leaving,
                version: self.state.versions.get(&member.host).copied().unwrap_or_default(),
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
            unstored_withdrawals: self.configs.unstored(),
            leases_hold_ms: self.state.leases_valid_until.since(now).as_millis() as u64,
            hosts,
            quarantined,
        }
    }

    fn partitions_of(&self, host: HostId) -> Vec<(u16, u64)> {
        let held = self.state.routes.iter().filter(|(_, holder)| holder.host == host);
        let mut all: Vec<_> = held.map(|(p, holder)| (p.0, holder.epoch.0)).collect();
        all.sort_unstable();

        all
    }
}
