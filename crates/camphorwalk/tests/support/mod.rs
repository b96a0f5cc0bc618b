//! A fleet of separate processes on loopback, for tests of `camphorwalkd` and `camphorwalk`.

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

/// The API key of operators.
pub const OPERATOR_KEY: &str = "test-operator-key";

/// The names of the tenants. The callers of tenant NAME use the key `test-NAME-key`.
pub const TENANTS: [&str; 2] = ["red", "blue"];

/// The interval at which a condition is polled, and the maximum number of polls before the test
/// fails.
const POLL: (Duration, u32) = (Duration::from_millis(50), 600);

/// A child process that is killed when this is dropped.
pub struct Process {
    child: Child,
    /// The JSON line that it printed when it was ready.
    pub ready: Value,
}

impl Process {
    /// Starts a program and waits for the JSON line that it prints when it is ready.
    pub fn start(program: &str, args: &[&str]) -> Self {
        let mut child = Command::new(program)
            .args(args)
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .expect("the program starts");
        let stdout = child.stdout.take().expect("its output is piped");
        let mut line = String::new();
        BufReader::new(stdout).read_line(&mut line).expect("the readiness line is read");
        let ready = serde_json::from_str(&line).expect("the first line is JSON");

        Self { child, ready }
    }

    /// Returns an address from the readiness line.
    pub fn address(&self, name: &str) -> SocketAddr {
        self.ready[name]
            .as_str()
            .expect("the readiness line contains the address")
            .parse()
            .expect("the address is valid")
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: Signal) {
        let pid = Pid::from_child(&self.child);
        kill_process(pid, signal).expect("the process exists");
    }

    /// Kills the process and waits until it has ended.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Returns whether the process has already exited successfully.
    pub fn has_exited_successfully(&mut self) -> bool {
        self.child
            .try_wait()
            .expect("the status of the process is readable")
            .is_some_and(|status| status.success())
    }

    /// Waits until the process exits, and returns whether it exited successfully.
    pub fn wait_for_success(&mut self) -> bool {
        self.child.wait().expect("waiting for the process succeeds").success()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A platform stand-in, hosts, one engine per zone and a service, each in its own process.
pub struct Fleet {
    /// Holds the settings and key files of the hosts.
    folder: TempDir,
    /// The platform stand-in.
    pub platform: Process,
    /// The engines, in the order of the zones.
    pub engines: Vec<Process>,
    /// The service.
    pub service: Process,
    /// The hosts, in the order given to [`Fleet::start`].
    pub hosts: Vec<Process>,
    /// The names and zones of the hosts, in the same order.
    pub names: Vec<(String, String)>,
}

impl Fleet {
    /// Starts a fleet with these hosts, publishes a configuration and waits until all hosts serve.
    /// The first letter of a host's name, such as `a1`, is its zone.
    pub async fn start(hosts: &[&str]) -> Self {
        Self::start_with(hosts, &[]).await
    }

    /// Like [`Fleet::start`], with additional arguments for the engines.
    pub async fn start_with(hosts: &[&str], engine_args: &[&str]) -> Self {
        let folder = tempfile::tempdir().expect("the temporary folder is created");
        let platform = start_standin(&["platform"]);
        let names: Vec<_> =
            hosts.iter().map(|name| (name.to_string(), name[..1].to_string())).collect();
        let mut zones: Vec<_> = names.iter().map(|(_, zone)| zone.clone()).collect();
        zones.dedup();
        let engine = |_: &String| start_standin(&[&["engine"], engine_args].concat());
        let engines = zones.iter().map(engine).collect();
        let service = start_standin(&["service"]);

        let mut fleet =
            Self { folder, platform, engines, service, hosts: Vec::new(), names: names.clone() };
        fleet.write_secrets();
        for (name, zone) in &names {
            let host = fleet.start_host(name, zone);
            fleet.hosts.push(host);
        }
        fleet.set_host_list().await;
        fleet.publish(&zones).await;
        for i in 0..fleet.hosts.len() {
            fleet.wait_ready(i).await;
        }

        fleet
    }

    /// Writes the fleet secret and the operators' key.
    fn write_secrets(&self) {
        std::fs::write(self.path("secret"), "07".repeat(32)).expect("the secret is written");
        std::fs::write(self.path("operator-key"), OPERATOR_KEY).expect("the key is written");
    }

    /// Returns the path of a file in the fleet's folder.
    fn path(&self, name: &str) -> PathBuf {
        self.folder.path().join(name)
    }

    /// Starts a host. An earlier process of the same name must have ended.
    pub fn start_host(&self, name: &str, zone: &str) -> Process {
        let path = self.path(&format!("{name}.json"));
        let settings = json!({
            "name": name, "zone": zone,
            "callers": "127.0.0.1:0", "operators": "127.0.0.1:0", "peers": "127.0.0.1:0",
            "operator_key_file": "operator-key", "fleet_secret_file": "secret",
            "platform": { "address": self.platform.address("address") },
            "drain_delay": "100ms",
        });
        std::fs::write(&path, settings.to_string()).expect("the settings file is written");

        start_daemon(&path)
    }

    /// Sets the host list of the platform stand-in. Hosts do not register themselves: the users'
    /// platform keeps the list.
    pub async fn set_host_list(&self) {
        let listing = |((name, zone), host): (&(String, String), &Process)| {
            json!({ "name": name, "zone": zone, "peer_address": host.address("peers"),
                "leaving": false })
        };
        let hosts: Vec<_> = self.names.iter().zip(&self.hosts).map(listing).collect();
        let body = json!({ "hosts": hosts, "lag_ms": 0 });

        self.control_platform("/control/hosts", &body).await;
    }

    /// Sends a control request to the platform stand-in.
    pub async fn control_platform(&self, path: &str, body: &Value) {
        let platform = self.platform.address("address");
        let answer = Client::new("").post(platform, path, body).await.expect("it answers");
        assert!(answer.status.is_success(), "{}", answer.body);
    }

    /// Sets how the platform stand-in handles requests, such as `refuse`.
    pub async fn set_platform_mode(&self, mode: &str) {
        self.control_platform("/control/mode", &json!({ "mode": mode })).await;
    }

    /// Publishes the test configuration through the first host.
    async fn publish(&self, zones: &[String]) {
        let body = json!({ "base": 0, "config": self.config(zones) });
        let host = self.hosts[0].address("operators");
        let answer = operator().post(host, "/v1/config", &body).await.expect("it answers");
        assert!(answer.status.is_success(), "{}", answer.body);
    }

    /// Returns the test configuration for these zones.
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

    /// Waits until the readiness check of a host succeeds.
    pub async fn wait_ready(&self, host: usize) {
        let address = self.hosts[host].address("operators");
        let client = Client::new("");

        wait_until("a host serves", async || {
            client.get(address, "/health/ready").await.is_ok_and(|a| a.status.is_success())
        })
        .await;
    }

    /// Returns the callers' address of a host.
    pub fn callers(&self, host: usize) -> SocketAddr {
        self.hosts[host].address("callers")
    }

    /// Opens a program of the first tenant with an idempotency key and returns its path.
    pub async fn open(&self, host: usize, key: &str) -> String {
        let body = json!({ "template": "assistant", "deadline_ms": 120_000 });
        let answer = caller(0)
            .call(self.callers(host), "/v1/programs", key, &body)
            .await
            .expect("an answer");
        assert_eq!(answer.status, 201, "{}", answer.body);

        format!("/v1/programs/{}", answer.body["program"].as_str().expect("a program"))
    }

    /// Makes a call in a program of the first tenant. Retries it while the answer asks for that.
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

    /// Returns how often the service ran an operation with this key.
    pub async fn run_count(&self, key: &str) -> usize {
        let service = self.service.address("address");
        let answer = Client::new("").get(service, "/ledger").await.expect("an answer");
        let runs = answer.body["runs"].as_array().expect("a list").clone();

        runs.iter().filter(|run| run["key"] == key).count()
    }

    /// Returns the number of prefixes in the caches of all engines.
    pub async fn held_prefixes(&self) -> usize {
        let mut count = 0;
        for engine in &self.engines {
            let address = engine.address("address");
            let answer = Client::new("").get(address, "/v1/held").await.expect("an answer");
            count += answer.body["programs"].as_array().expect("a list").len();
        }

        count
    }

    /// Returns the index of the host that is the home of a program, according to the status of host
    /// `seen_by`. The first 4 hexadecimal digits of the program's id select its partition.
    pub async fn home_of(&self, program: &str, seen_by: usize) -> Option<usize> {
        let digits = program.rsplit('p').next().expect("an id");
        let top = u16::from_str_radix(&digits[..4], 16).expect("hexadecimal digits");
        let partition = u64::from(top % 16);
        let address = self.hosts[seen_by].address("operators");
        let status = operator().get(address, "/v1/status").await.expect("an answer").body;

        let hosts = status["hosts"].as_array().expect("a list");
        let holds_partition = |host: &&Value| {
            let partitions = host["partitions"].as_array().expect("a list");
            partitions.iter().any(|p| p[0] == partition)
        };
        let name = hosts.iter().find(holds_partition)?["name"].as_str().expect("a name");
        self.names.iter().position(|(n, _)| n == name)
    }
}

/// Returns the declaration of a tenant.
fn tenant(name: &str) -> Value {
    json!({
        "name": name,
        "assistants": [{ "template": "assistant", "class": "chat" }],
        "rate_per_second": 50.0, "burst": 50, "budget_tokens": 20_000,
        "keys": [{ "id": format!("{name}-1"),
            "sha256": hex::encode(Sha256::digest(key_of(name).as_bytes())) }],
    })
}

/// Returns the API key of a tenant's callers.
fn key_of(tenant: &str) -> String {
    format!("test-{tenant}-key")
}

/// Returns a client with the key of the tenant at this index of [`TENANTS`].
pub fn caller(tenant: usize) -> Client {
    Client::new(&key_of(TENANTS[tenant]))
}

/// Returns a client with the operators' key.
pub fn operator() -> Client {
    Client::new(OPERATOR_KEY)
}

/// Returns the body of a call that follows call number `after`.
pub fn call_body(after: u32, target: &str) -> Value {
    json!({ "after": after, "target": target, "input": format!("input after {after}"),
        "max_tokens": 8 })
}

/// Polls a condition until it holds. Fails the test if it does not hold in time.
pub async fn wait_until(what: &str, mut condition: impl AsyncFnMut() -> bool) {
    let (interval, attempts) = POLL;

    for _ in 0..attempts {
        if condition().await {
            return;
        }
        tokio::time::sleep(interval).await;
    }
    panic!("timed out waiting until {what}");
}

/// Starts a stand-in of the platform, an engine or a service.
fn start_standin(args: &[&str]) -> Process {
    let args = [&["standin"], args, &["--listen", "127.0.0.1:0"]].concat();

    Process::start(env!("CARGO_BIN_EXE_camphorwalk"), &args)
}

/// Starts a host with this settings file.
fn start_daemon(settings: &Path) -> Process {
    let path = settings.to_str().expect("the path is valid UTF-8");

    Process::start(env!("CARGO_BIN_EXE_camphorwalkd"), &["--settings", path])
}
