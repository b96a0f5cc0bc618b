//! A fleet of real processes on loopback, for the tests of the daemons.

#![allow(dead_code, reason = "each test file uses a part of the fixtures")]

use std::io::{BufRead as _, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use camphorwalk::client::{Answer, Client};
use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};
use sha2::{Digest as _, Sha256};
use tempfile::TempDir;

/// The key that operators present.
pub const OPERATOR_KEY: &str = "test-operator-key";

/// The tenants of the test configuration; each presents `test-NAME-key`.
pub const TENANTS: [&str; 2] = ["red", "blue"];

/// How often a condition is looked at, and how many times before the test gives up.
const WAIT: (Duration, u32) = (Duration::from_millis(50), 600);

/// A child process that is killed when the test is over.
pub struct Process {
    child: Child,
    /// The first line it printed.
    pub ready: Value,
}

impl Process {
    /// Starts a program and waits for the JSON line that says it is ready.
    pub fn start(program: &str, args: &[&str]) -> Self {
        let mut child = Command::new(program)
            .args(args)
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .expect("the program starts");
        let stdout = child.stdout.take().expect("its output is piped");
        let mut line = String::new();
        BufReader::new(stdout).read_line(&mut line).expect("it says that it is ready");
        let ready = serde_json::from_str(&line).expect("the first line is JSON");

        Self { child, ready }
    }

    /// Returns an address that the process printed.
    pub fn address(&self, name: &str) -> SocketAddr {
        self.ready[name].as_str().expect("the line has it").parse().expect("it is an address")
    }

    /// Sends a signal.
    pub fn signal(&self, signal: Signal) {
        let pid = Pid::from_child(&self.child);
        kill_process(pid, signal).expect("the process is there");
    }

    /// Kills the process and waits until it is gone.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Returns whether the process has ended by itself and well.
    pub fn has_ended_well(&mut self) -> bool {
        self.child.try_wait().expect("it can be asked").is_some_and(|status| status.success())
    }

    /// Waits for the process to end by itself, and returns whether it ended well.
    pub fn ended_well(&mut self) -> bool {
        self.child.wait().expect("it can be waited for").success()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A platform, hosts, one engine for each zone and a service.
pub struct Fleet {
    folder: TempDir,
    /// The platform.
    pub platform: Process,
    /// The engines, in the order of the zones.
    pub engines: Vec<Process>,
    /// The service.
    pub service: Process,
    /// The hosts, in the order they were named.
    pub hosts: Vec<Process>,
    /// The hosts' names and zones.
    pub names: Vec<(String, String)>,
}

impl Fleet {
    /// Starts hosts named by zone and number, such as `a1`, and publishes a configuration.
    pub async fn start(hosts: &[&str]) -> Self {
        Self::start_with(hosts, &[]).await
    }

    /// Starts a fleet whose engines have these further arguments.
    pub async fn start_with(hosts: &[&str], engine_args: &[&str]) -> Self {
        let folder = tempfile::tempdir().expect("a folder can be made");
        let platform = standin(&["platform"]);
        let names: Vec<_> =
            hosts.iter().map(|name| (name.to_string(), name[..1].to_string())).collect();
        let mut zones: Vec<_> = names.iter().map(|(_, zone)| zone.clone()).collect();
        zones.dedup();
        let engine = |_: &String| standin(&[&["engine"], engine_args].concat());
        let engines = zones.iter().map(engine).collect();
        let service = standin(&["service"]);

        let mut fleet =
            Self { folder, platform, engines, service, hosts: Vec::new(), names: names.clone() };
        fleet.write_secrets();
        for (name, zone) in &names {
            let host = fleet.start_host(name, zone);
            fleet.hosts.push(host);
        }
        fleet.list_hosts().await;
        fleet.publish(&zones).await;
        for i in 0..fleet.hosts.len() {
            fleet.wait_ready(i).await;
        }

        fleet
    }

    fn write_secrets(&self) {
        std::fs::write(self.path("secret"), "07".repeat(32)).expect("the folder takes files");
        std::fs::write(self.path("operator-key"), OPERATOR_KEY).expect("the folder takes files");
    }

    fn path(&self, name: &str) -> PathBuf {
        self.folder.path().join(name)
    }

    /// Starts a host; a former one of the same name should be gone.
    pub fn start_host(&self, name: &str, zone: &str) -> Process {
        let path = self.path(&format!("{name}.json"));
        let settings = json!({
            "name": name, "zone": zone,
            "callers": "127.0.0.1:0", "operators": "127.0.0.1:0", "peers": "127.0.0.1:0",
            "operator_key_file": "operator-key", "fleet_secret_file": "secret",
            "platform": { "address": self.platform.address("address") },
            "drain_delay": "100ms",
        });
        std::fs::write(&path, settings.to_string()).expect("the folder takes files");

        daemon(&path)
    }

    /// Tells the platform which hosts there are: its business, not theirs.
    pub async fn list_hosts(&self) {
        let listing = |((name, zone), host): (&(String, String), &Process)| {
            json!({ "name": name, "zone": zone, "peer_address": host.address("peers"),
                "leaving": false })
        };
        let hosts: Vec<_> = self.names.iter().zip(&self.hosts).map(listing).collect();
        let body = json!({ "hosts": hosts, "lag_ms": 0 });

        self.control_platform("/control/hosts", &body).await;
    }

    /// Sends a control request to the platform.
    pub async fn control_platform(&self, path: &str, body: &Value) {
        let platform = self.platform.address("address");
        let answer = Client::new("").post(platform, path, body).await.expect("it answers");
        assert!(answer.status.is_success(), "{}", answer.body);
    }

    /// Sets how the platform treats requests.
    pub async fn platform_mode(&self, mode: &str) {
        self.control_platform("/control/mode", &json!({ "mode": mode })).await;
    }

    async fn publish(&self, zones: &[String]) {
        let body = json!({ "base": 0, "config": self.config(zones) });
        let host = self.hosts[0].address("operators");
        let answer = operator().post(host, "/v1/config", &body).await.expect("it answers");
        assert!(answer.status.is_success(), "{}", answer.body);
    }

    /// Returns the test configuration.
    pub fn config(&self, zones: &[String]) -> Value {
        let mut targets: Vec<_> = zones
            .iter()
            .zip(&self.engines)
            .map(|(zone, engine)| {
                json!({ "name": format!("model-{zone}"), "pool": "model", "kind": "engine",
                    "zone": zone, "address": engine.address("address"), "window": 8,
                    "cache_tokens": 65_536 })
            })
            .collect();
        targets.push(json!({ "name": "payments-1", "pool": "payments", "kind": "service",
            "zone": zones[0], "address": self.service.address("address"), "window": 8 }));
        let zone = |name: &String| json!({ "name": name, "region": "r" });

        json!({
            "fleet": {
                "name": "test", "partitions": 16, "slices": 16,
                "zones": zones.iter().map(zone).collect::<Vec<_>>(),
                "classes": [{ "name": "chat", "rank": 0 }],
            },
            "targets": targets,
            "templates": [{
                "name": "assistant",
                "targets": [
                    { "name": "model", "pool": "model", "idempotent": true },
                    { "name": "deposit", "pool": "payments", "operation": "take-deposit" },
                    { "name": "look-up", "pool": "payments", "operation": "look-up",
                        "idempotent": true },
                ],
                "max_calls": 50, "max_depth": 2, "max_output_tokens": 64,
                "max_deadline_ms": 300_000,
            }],
            "tenants": TENANTS.iter().map(|name| tenant(name)).collect::<Vec<_>>(),
        })
    }

    /// Waits until a host's health says that it serves.
    pub async fn wait_ready(&self, host: usize) {
        let address = self.hosts[host].address("operators");
        let client = Client::new("");

        until("a host serves", async || {
            client.get(address, "/health/ready").await.is_ok_and(|a| a.status.is_success())
        })
        .await;
    }

    /// Returns where callers reach a host.
    pub fn callers(&self, host: usize) -> SocketAddr {
        self.hosts[host].address("callers")
    }

    /// Opens a program of the first tenant and returns its path.
    pub async fn open(&self, host: usize, key: &str) -> String {
        let body = json!({ "template": "assistant", "deadline_ms": 120_000 });
        let answer = caller(0)
            .call(self.callers(host), "/v1/programs", key, &body)
            .await
            .expect("an answer");
        assert_eq!(answer.status, 201, "{}", answer.body);

        format!("/v1/programs/{}", answer.body["program"].as_str().expect("a program"))
    }

    /// Makes a call of the first tenant's program, again when told to come back.
    pub async fn call(
        &self,
        host: usize,
        program: &str,
        key: &str,
        after: u32,
        target: &str,
    ) -> Answer {
        let body = call_body(after, target);
        let path = format!("{program}/calls");
        let client = caller(0);

        client.call(self.callers(host), &path, key, &body).await.expect("an answer")
    }

    /// Returns what the service ran under a key.
    pub async fn runs(&self, key: &str) -> usize {
        let service = self.service.address("address");
        let answer = Client::new("").get(service, "/ledger").await.expect("an answer");
        let runs = answer.body["runs"].as_array().expect("a list").clone();

        runs.iter().filter(|run| run["key"] == key).count()
    }

    /// Returns how many prefixes the engines hold.
    pub async fn held(&self) -> usize {
        let mut count = 0;
        for engine in &self.engines {
            let address = engine.address("address");
            let answer = Client::new("").get(address, "/v1/held").await.expect("an answer");
            count += answer.body["programs"].as_array().expect("a list").len();
        }

        count
    }

    /// Returns the name of the host that is home of a program, as a host sees it.
    pub async fn home_of(&self, program: &str, seen_by: usize) -> Option<usize> {
        let digits = program.rsplit('p').next().expect("an id");
        let top = u16::from_str_radix(&digits[..4], 16).expect("hexadecimal digits");
        let partition = u64::from(top % 16);
        let address = self.hosts[seen_by].address("operators");
        let status = operator().get(address, "/v1/status").await.expect("an answer").body;

        let hosts = status["hosts"].as_array().expect("a list");
        let holds = |host: &&Value| {
            let partitions = host["partitions"].as_array().expect("a list");
            partitions.iter().any(|p| p[0] == partition)
        };
        let name = hosts.iter().find(holds)?["name"].as_str().expect("a name");
        self.names.iter().position(|(n, _)| n == name)
    }
}

fn tenant(name: &str) -> Value {
    json!({
        "name": name,
        "assistants": [{ "template": "assistant", "class": "chat" }],
        "rate_per_second": 50.0, "burst": 50, "budget_tokens": 20_000,
        "keys": [{ "id": format!("{name}-1"),
            "sha256": hex::encode(Sha256::digest(key_of(name).as_bytes())) }],
    })
}

fn key_of(tenant: &str) -> String {
    format!("test-{tenant}-key")
}

/// Returns a client that presents a tenant's key.
pub fn caller(tenant: usize) -> Client {
    Client::new(&key_of(TENANTS[tenant]))
}

/// Returns a client that presents the operators' key.
pub fn operator() -> Client {
    Client::new(OPERATOR_KEY)
}

/// Returns the body of a call.
pub fn call_body(after: u32, target: &str) -> Value {
    json!({ "after": after, "target": target, "input": format!("input after {after}"),
        "max_tokens": 8 })
}

/// Waits until a condition holds.
pub async fn until(what: &str, mut holds: impl AsyncFnMut() -> bool) {
    let (pause, times) = WAIT;

    for _ in 0..times {
        if holds().await {
            return;
        }
        tokio::time::sleep(pause).await;
    }
    panic!("it did not come about: {what}");
}

fn standin(args: &[&str]) -> Process {
    let args = [&["standin"], args, &["--listen", "127.0.0.1:0"]].concat();

    Process::start(env!("CARGO_BIN_EXE_camphorwalk"), &args)
}

fn daemon(settings: &Path) -> Process {
    let path = settings.to_str().expect("a plain path");

    Process::start(env!("CARGO_BIN_EXE_camphorwalkd"), &["--settings", path])
}
