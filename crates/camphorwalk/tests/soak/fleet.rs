//! Hosts as processes of their own, before stand-ins of store and targets, with proxies between.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use rustix::process::{Pid, Signal, kill_process};
use tempfile::TempDir;

use crate::proxy::Proxy;
use crate::support::store::Store;
use crate::support::target::Target;
use crate::support::{
    HostPorts, SETTINGS_VARIABLE, TEST_TIMEOUT, caller, default_routes, settings_text,
};

/// The zones, with the hosts of each.
const ZONES: [(&str, usize); 3] = [("a", 2), ("b", 2), ("c", 2)];

/// How many targets there are of each service, spread over the zones.
const TARGETS: usize = 3;

/// The ports that each host has on an address of its own.
const CALLERS_PORT: u16 = 7001;
const READY_PORT: u16 = 7002;
const PEERS_PORT: u16 = 7003;
const METRICS_PORT: u16 = 7004;

/// A host.
pub struct Host {
    pub name: String,
    pub zone: &'static str,
    ip: IpAddr,
    /// Between it and the store.
    pub to_store: Proxy,
    /// Between the other hosts and it.
    pub from_peers: Proxy,
    process: Option<Child>,
}

impl Host {
    /// Returns where callers reach it.
    pub fn callers(&self) -> SocketAddr {
        SocketAddr::new(self.ip, CALLERS_PORT)
    }

    /// Returns whether it says that it is ready.
    pub async fn is_ready(&self) -> bool {
        let ready = SocketAddr::new(self.ip, READY_PORT);

        match tokio::net::TcpStream::connect(ready).await {
            Ok(_) => caller::is_ready(ready).await,
            Err(_) => false,
        }
    }

    /// Sends a signal, if its process runs.
    pub fn signal(&self, signal: Signal) {
        if let Some(child) = &self.process {
            // It may have ended by itself; whoever waits for it finds out.
            let _ = kill_process(Pid::from_child(child), signal);
        }
    }

    /// Kills its process.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.process.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Returns whether its process has ended by itself; one that was killed has not.
    fn has_ended(&mut self) -> bool {
        let ended = |child: &mut Child| child.try_wait().expect("it can be asked").is_some();

        self.process.as_mut().is_some_and(ended)
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.kill();
    }
}

/// All of a deployment.
pub struct Fleet {
    folder: TempDir,
    pub store: Store,
    pub hosts: Vec<Host>,
    pub engines: Vec<Target>,
    pub desks: Vec<Target>,
    /// Before the targets, engines first.
    pub to_targets: Vec<Proxy>,
}

impl Fleet {
    /// Starts a deployment and waits until all hosts are ready.
    pub async fn start() -> Self {
        let store = Store::start().await;
        store.put_manifest(1, &default_routes());
        let mut fleet = Self {
            folder: tempfile::tempdir().expect("a folder can be made"),
            store,
            hosts: Vec::new(),
            engines: Vec::new(),
            desks: Vec::new(),
            to_targets: Vec::new(),
        };

        for service in ["engines", "desk"] {
            for i in 0..TARGETS {
                let target = Target::start(&format!("{service}-{i}")).await;
                let proxy = Proxy::start(target.address).await;
                let zone = ZONES[i % ZONES.len()].0;
                fleet.store.put_target_at(&target, proxy.address, service, zone);
                fleet.to_targets.push(proxy);
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

    async fn add_host(&mut self, zone: &'static str, i: usize) {
        let ip = own_ip(self.hosts.len());
        let peers = SocketAddr::new(ip, PEERS_PORT);
        let from_peers = Proxy::start(peers).await;
        self.store.set_address_alias(peers, from_peers.address);

        self.hosts.push(Host {
            name: format!("host-{zone}-{i}"),
            zone,
            ip,
            to_store: Proxy::start(self.store.address).await,
            from_peers,
            process: None,
        });
    }

    /// Starts the process of a host that has none.
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
        let store = host.to_store.address;
        let settings = settings_text(&host.name, host.zone, ports, store, is_first_start);
        std::fs::write(&path, settings).expect("the folder takes files");

        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(path.with_extension("log"))
            .expect("the folder takes files");
        let child = Command::new(env!("CARGO_BIN_EXE_camphorwalkd"))
            .env(SETTINGS_VARIABLE, &path)
            .stdout(Stdio::from(log))
            .stderr(Stdio::inherit())
            .spawn()
            .expect("the program starts");
        host.process = Some(child);
    }

    /// Waits until all hosts say that they are ready. One that ends meanwhile, since it was asked
    /// to leave, is started again.
    pub async fn wait_ready(&mut self) {
        let all_ready = async {
            while !self.are_ready().await {
                self.start_those_that_ended();
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        };
        tokio::time::timeout(TEST_TIMEOUT, all_ready).await.expect("all hosts are ready again");

        // They hear each other.
        tokio::time::sleep(Duration::from_millis(1_500)).await;
    }

    async fn are_ready(&self) -> bool {
        for host in &self.hosts {
            if !host.is_ready().await {
                return false;
            }
        }

        true
    }

    /// Starts hosts whose processes have ended, as the platform does.
    pub fn start_those_that_ended(&mut self) {
        for i in 0..self.hosts.len() {
            if self.hosts[i].has_ended() {
                self.hosts[i].kill();
                self.start_host(i, false);
            }
        }
    }

    /// Keeps the logs of all hosts for whoever looks into a failure; returns where they are.
    pub fn keep_logs(self) -> std::path::PathBuf {
        let Self { folder, .. } = self;

        folder.keep()
    }
}

/// Returns an address of the loopback range that no other test process uses at this time.
fn own_ip(host: usize) -> IpAddr {
    let process = std::process::id();
    let parts = [1 + process / 250 % 250, 1 + process % 250, 10 + host as u32];
    let [second, third, fourth] = parts.map(|part| u8::try_from(part).unwrap_or(1));

    IpAddr::V4(Ipv4Addr::new(127, second, third, fourth))
}
