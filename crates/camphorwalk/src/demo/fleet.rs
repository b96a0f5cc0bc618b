//! The fleet of the demo: all servers in one process, on free ports of loopback.

use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::time::Duration;

use anyhow::{Result, ensure};
use camphorwalk_core::config::Config;
use camphorwalk_core::platform::HostListing;
use camphorwalk_node::host::Phase;
use camphorwalk_node::settings::{Limits, LogSettings, PlatformSettings};
use camphorwalk_node::{Host, Secrets, Settings};
use camphorwalk_standin::{
    Engine, EngineOptions, Platform, PlatformOptions, Service, ServiceOptions,
};
use serde_json::{Value, json};
use sha2::{Digest as _, Sha256};

use crate::client::Client;

/// The API key of operators in the demo.
const OPERATOR_KEY: &str = "demo-operator-key";

/// The names of the hosts, each with its availability zone.
const HOSTS: [(&str, &str); 3] = [("a1", "a"), ("a2", "a"), ("b1", "b")];

/// The names of the tenants. The callers of tenant NAME use the key `demo-NAME-key`.
const TENANTS: [&str; 2] = ["easel", "ramp"];

/// The name of the template of the demo's programs.
pub const TEMPLATE: &str = "assistant";

/// An operation that is declared as not idempotent, so it must not be sent twice.
pub const DEPOSIT_OPERATION: &str = "take-deposit";

/// All servers that the demo runs. They stop when this is dropped.
pub struct Fleet {
    platform: Platform,
    /// The engines, one in each zone.
    pub engines: Vec<Engine>,
    /// The service. Its ledger lists each operation that it ran.
    pub service: Service,
    /// The hosts.
    pub hosts: Vec<Host>,
}

impl Fleet {
    /// Starts all servers, publishes the configuration and waits until all hosts serve.
    pub async fn start() -> Result<Self> {
        let platform = Platform::start(any_port(), PlatformOptions::default()).await?;
        let mut engines = Vec::new();
        for _ in 0..2 {
            engines.push(Engine::start(any_port(), EngineOptions::default()).await?);
        }
        let service = Service::start(any_port(), ServiceOptions::default()).await?;

        let mut hosts = Vec::new();
        for (name, zone) in HOSTS {
            hosts.push(Host::start(settings(name, zone, platform.address()), secrets()).await?);
        }
        set_host_list(&platform, &hosts);

        let fleet = Self { platform, engines, service, hosts };
        fleet.publish().await?;
        for host in &fleet.hosts {
            host.wait_for_phase(Phase::Serving).await;
        }

        Ok(fleet)
    }

    /// Returns the API key of a tenant's callers.
    pub fn key(tenant: &str) -> String {
        format!("demo-{tenant}-key")
    }

    /// Returns the name of the tenant whose key the demo's caller uses.
    pub fn tenant(&self) -> &'static str {
        TENANTS[0]
    }

    /// Returns the addresses of all servers and the keys of operators and tenants as a JSON object.
    pub fn addresses(&self) -> Value {
        let url = |address: SocketAddr| format!("http://{address}");
        let callers: Vec<_> = self.hosts.iter().map(|h| url(h.caller_address())).collect();
        let operators: Vec<_> = self.hosts.iter().map(|h| url(h.operator_address())).collect();
        let tenants: Vec<_> =
            TENANTS.iter().map(|name| json!({ "name": name, "key": Self::key(name) })).collect();
        let ledger = format!("{}/ledger", url(self.service.address()));

        json!({
            "callers": callers,
            "operators": operators,
            "operator_key": OPERATOR_KEY,
            "tenants": tenants,
            "services": [{ "name": "deposit", "operation": DEPOSIT_OPERATION, "ledger": ledger }],
            "template": TEMPLATE,
            "platform": url(self.platform.address()),
        })
    }

    async fn publish(&self) -> Result<()> {
        let operator = Client::new(OPERATOR_KEY);
        let body = json!({ "base": 0, "config": self.config()? });
        let host = self.hosts[0].operator_address();
        let answer = operator.post(host, "/v1/config", &body).await?;
        ensure!(answer.status.is_success(), "the configuration was refused: {}", answer.body);

        Ok(())
    }

    fn config(&self) -> Result<Config> {
        let engine = |(engine, zone): (&Engine, &str)| {
            json!({
                "name": format!("model-{zone}"), "pool": "model", "kind": "engine", "zone": zone,
                "address": engine.address(), "window": 8, "cache_tokens": 65_536,
                "checks_fencing": true,
            })
        };
        let mut targets: Vec<_> = self.engines.iter().zip(["a", "b"]).map(engine).collect();
        targets.push(json!({
            "name": "payments-1", "pool": "payments", "kind": "service", "zone": "a",
            "address": self.service.address(), "window": 8,
        }));

        Ok(serde_json::from_value(json!({
            "fleet": {
                "name": "demo",
                "zones": [{ "name": "a", "region": "r" }, { "name": "b", "region": "r" }],
                "classes": [{ "name": "chat", "rank": 0 }],
                "partitions": 16,
                "slices": 16,
            },
            "targets": targets,
            "templates": [template()],
            "tenants": TENANTS.iter().map(|name| tenant(name)).collect::<Vec<_>>(),
        }))?)
    }
}

fn template() -> Value {
    json!({
        "name": TEMPLATE,
        "targets": [
            { "name": "model", "pool": "model", "idempotent": true },
            { "name": "look-up", "pool": "payments", "operation": "look-up", "idempotent": true },
            { "name": "deposit", "pool": "payments", "operation": DEPOSIT_OPERATION,
                "idempotent": false },
        ],
        "max_calls": 50,
        "max_depth": 2,
        "max_output_tokens": 64,
        "max_deadline_ms": 300_000,
    })
}

fn tenant(name: &str) -> Value {
    json!({
        "name": name,
        "assistants": [{ "template": TEMPLATE, "class": "chat" }],
        "rate_per_second": 50.0,
        "burst": 50,
        "budget_tokens": 20_000,
        "keys": [{
            "id": format!("{name}-1"),
            "sha256": hex::encode(Sha256::digest(Fleet::key(name).as_bytes())),
        }],
    })
}

fn settings(name: &str, zone: &str, platform: SocketAddr) -> Settings {
    Settings {
        name: name.into(),
        zone: zone.into(),
        callers_address: any_port(),
        operators_address: any_port(),
        operator_key_file: PathBuf::new(),
        peers_address: any_port(),
        fleet_secret_file: PathBuf::new(),
        platform: PlatformSettings {
            address: platform,
            request_timeout: Duration::from_secs(1),
            reads_per_second: 100.0,
            writes_per_second: 40.0,
        },
        limits: Limits::default(),
        times: camphorwalk_policy::scheduler::SchedulerTimes::default(),
        drain_delay: Duration::from_millis(100),
        traffic_threads: 2,
        log: LogSettings::default(),
    }
}

fn secrets() -> Secrets {
    Secrets { fleet: [7; 32], operator_key: OPERATOR_KEY.into() }
}

/// Sets the host list of the platform stand-in. Hosts do not register themselves: the users'
/// platform keeps the list.
fn set_host_list(platform: &Platform, hosts: &[Host]) {
    let listing = |((name, zone), host): (&(&str, &str), &Host)| HostListing {
        name: (*name).into(),
        zone: (*zone).into(),
        peer_address: host.peer_address(),
        leaving: false,
    };

    platform.set_hosts(HOSTS.iter().zip(hosts).map(listing).collect(), Duration::ZERO);
}

fn any_port() -> SocketAddr {
    (Ipv4Addr::LOCALHOST, 0).into()
}
