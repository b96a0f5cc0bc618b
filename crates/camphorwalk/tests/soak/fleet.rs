//! A deployment of host processes, with test doubles of the store and the targets. Connections to
//! the store, to the targets and between hosts go through proxies that can inject faults.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use camphorwalk_adapter::paths;
use rustix::process::{Pid, Signal, kill_process};
use tempfile::TempDir;

use crate::proxy::Proxy;
use crate::support::store::Store;
use crate::support::target::Target;
use crate::support::{
    HostPorts, SETTINGS_VARIABLE, TEST_TIMEOUT, caller, default_routes, settings_text,
};

/// The zones, with the number of hosts in each.
const ZONES: [(&str, usize); 3] = [("a", 2), ("b", 2), ("c", 2)];

/// The number of targets of each service, spread over the zones.
const TARGETS_PER_SERVICE: usize = 3;

/// The versions of the targets' software, which serve side by side.
const VERSIONS: [&str; 2] = ["v1", "v2"];

/// The fraction of their memory that every other host may hold for slow readers. It leaves room for
/// about two of the answers that callers read slowly.
const BOUND: f64 = 0.2;

/// The ports of each host. All hosts use the same ports, each on its own loopback address.
const CALLERS_PORT: u16 = 7001;
const READY_PORT: u16 = 7002;
const PEERS_PORT: u16 = 7003;
const METRICS_PORT: u16 = 7004;

/// A host and its process.
pub struct Host {
    /// The name of the host.
    pub name: String,
    /// The availability zone of the host.
    pub zone: &'static str,
    ip: IpAddr,
    /// The proxy for the host's connections to the store.
    pub store_proxy: Proxy,
    /// The proxy for connections from other hosts.
    pub peer_proxy: Proxy,
    /// The running process, or `None` while the host is down.
    process: Option<Child>,
}

impl Host {
    /// Returns the host's address for callers.
    pub fn callers(&self) -> SocketAddr {
        SocketAddr::new(self.ip, CALLERS_PORT)
    }

    /// Returns whether the host's readiness check succeeds.
    pub async fn is_ready(&self) -> bool {
        let ready = SocketAddr::new(self.ip, READY_PORT);

        match tokio::net::TcpStream::connect(ready).await {
            Ok(_) => caller::is_ready(ready).await,
            Err(_) => false,
        }
    }

    /// Returns whether the host holds no bytes for slow readers, as far as it counts them.
    pub async fn holds_nothing(&self) -> bool {
        let metrics = caller::Call::new(paths::METRICS);
        let address = SocketAddr::new(self.ip, METRICS_PORT);
        let Some(result) = metrics.try_send(address).await else { return false };
        let mut held = result.text().lines().filter(|l| l.starts_with("camphorwalk_held_bytes"));

        held.all(|line| line.ends_with(" 0"))
    }

    /// Sends a signal to the host's process, if there is one.
    pub fn signal(&self, signal: Signal) {
        if let Some(child) = &self.process {
            // The process may have ended by itself. `has_ended` detects that.
            let _ = kill_process(Pid::from_child(child), signal);
        }
    }

    /// Kills the host's process and waits until it has ended.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.process.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Returns whether the host's process has ended by itself, for example after SIGTERM.
    fn has_ended(&mut self) -> bool {
        let ended = |child: &mut Child| {
            child.try_wait().expect("the status of the process is readable").is_some()
        };

        self.process.as_mut().is_some_and(ended)
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A running deployment.
pub struct Fleet {
    /// Holds the settings files and logs of the hosts.
    folder: TempDir,
    /// The test double of the store.
    pub store: Store,
    /// The hosts.
    pub hosts: Vec<Host>,
    /// The targets of the service `engines`.
    pub engines: Vec<Target>,
    /// The targets of the service `desk`.
    pub desks: Vec<Target>,
    /// The proxies of all targets, engines first.
    pub target_proxies: Vec<Proxy>,
}

impl Fleet {
    /// Starts a deployment and waits until all hosts are ready.
    pub async fn start() -> Self {
        let store = Store::start().await;
        store.put_manifest(1, &default_routes());
        let mut fleet = Self {
            folder: tempfile::tempdir().expect("the temporary folder is created"),
            store,
            hosts: Vec::new(),
            engines: Vec::new(),
            desks: Vec::new(),
            target_proxies: Vec::new(),
        };

        for service in ["engines", "desk"] {
            for i in 0..TARGETS_PER_SERVICE {
                let version = VERSIONS[i % VERSIONS.len()];
                let target = Target::start_version(&format!("{service}-{i}"), version).await;
                let proxy = Proxy::start(target.address).await;
                let zone = ZONES[i % ZONES.len()].0;
                fleet.store.put_target_at(&target, proxy.address, service, zone);
                fleet.target_proxies.push(proxy);
                match service {
                    "engines" => fleet.engines.push(target),
                    _ => fleet.desks.push(target),
                }
            }
        }
        for (zone, count) in ZONES {
            for i in 0..count {
                fleet.add_host(zone, i).await;
            }
        }
        for i in 0..fleet.hosts.len() {
            fleet.start_host(i, true);
        }
        fleet.wait_ready().await;

        fleet
    }

    /// Adds a host with its proxies, without starting its process.
    async fn add_host(&mut self, zone: &'static str, i: usize) {
        let ip = host_ip(self.hosts.len());
        let peers = SocketAddr::new(ip, PEERS_PORT);
        let peer_proxy = Proxy::start(peers).await;
        self.store.set_address_alias(peers, peer_proxy.address);

        self.hosts.push(Host {
            name: format!("host-{zone}-{i}"),
            zone,
            ip,
            store_proxy: Proxy::start(self.store.address).await,
            peer_proxy,
            process: None,
        });
    }

    /// Starts the process of a host that is down.
    pub fn start_host(&mut self, i: usize, is_first_start: bool) {
        let host = &mut self.hosts[i];
        let path = self.folder.path().join(&host.name);
        let ports = HostPorts {
            ip: host.ip,
            callers: CALLERS_PORT,
            ready: READY_PORT,
            peers: PEERS_PORT,
            metrics: METRICS_PORT,
        };
        let store = host.store_proxy.address;
        let mut settings = settings_text(&host.name, host.zone, ports, store, is_first_start);
        if i.is_multiple_of(2) {
            settings = format!(
                r#"{{"deployment": {settings}, "features": {{"held-bytes-fraction": {BOUND}}}}}"#
            );
        }
        std::fs::write(&path, settings).expect("the settings file is written");

        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(path.with_extension("log"))
            .expect("the log file is opened");
        let child = Command::new(env!("CARGO_BIN_EXE_camphorwalkd"))
            .env(SETTINGS_VARIABLE, &path)
            .stdout(Stdio::from(log))
            .stderr(Stdio::inherit())
            .spawn()
            .expect("the program starts");
        host.process = Some(child);
    }

    /// Waits until all hosts are ready, and then for some time in which they exchange status updates.
    /// A host that ends in the meantime, because it was asked to shut down, is started again.
    pub async fn wait_ready(&mut self) {
        let ready = async {
            while !self.all_ready().await {
                self.restart_ended_hosts();
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        };
        tokio::time::timeout(TEST_TIMEOUT, ready).await.expect("all hosts are ready again");

        // Give each host time to receive status updates from all others.
        tokio::time::sleep(Duration::from_millis(1_500)).await;
    }

    /// Returns whether all hosts are ready.
    async fn all_ready(&self) -> bool {
        for host in &self.hosts {
            if !host.is_ready().await {
                return false;
            }
        }

        true
    }

    /// Restarts hosts whose processes have ended, as the users' platform does.
    pub fn restart_ended_hosts(&mut self) {
        for i in 0..self.hosts.len() {
            if self.hosts[i].has_ended() {
                self.hosts[i].kill();
                self.start_host(i, false);
            }
        }
    }

    /// Returns the targets of a zone.
    pub fn targets_in(&self, zone: &str) -> impl Iterator<Item = &Target> {
        let is_in = move |i: usize| ZONES[i % ZONES.len()].0 == zone;
        let services = [&self.engines, &self.desks];

        services
            .into_iter()
            .flat_map(|targets| targets.iter().enumerate())
            .filter(move |(i, _)| is_in(*i))
            .map(|(_, target)| target)
    }

    /// Keeps the folder with the logs of all hosts, to examine a failure. Returns its path.
    pub fn keep_logs(self) -> std::path::PathBuf {
        let Self { folder, .. } = self;

        folder.keep()
    }
}

/// Returns the loopback address of a host. It is derived from the process id, so that test
/// processes that run at the same time do not share addresses.
fn host_ip(host: usize) -> IpAddr {
    let process = std::process::id();
    let parts = [1 + process / 250 % 250, 1 + process % 250, 10 + host as u32];
    let [second, third, fourth] = parts.map(|part| u8::try_from(part).unwrap_or(1));

    IpAddr::V4(Ipv4Addr::new(127, second, third, fourth))
}
