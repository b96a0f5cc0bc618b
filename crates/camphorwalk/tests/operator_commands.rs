//! The operators' commands against a fleet of separate processes.

mod support;

use std::fs;
use std::path::Path;
use std::process::Command;

use serde_json::{Value, json};
use support::{Fleet, OPERATOR_KEY, call_body, caller, wait_until};
use tempfile::TempDir;

/// A fleet, and a folder with its declarations and the operators' key.
struct OperatorFixture {
    fleet: Fleet,
    folder: TempDir,
}

/// Starts a fleet of two zones and writes its declarations into a folder.
async fn start_fixture() -> OperatorFixture {
    let fleet = Fleet::start(&["a1", "a2", "b1"]).await;
    let folder = tempfile::tempdir().unwrap();
    fs::write(folder.path().join("key"), OPERATOR_KEY).unwrap();
    let fixture = OperatorFixture { fleet, folder };

    let config = fixture.fleet.config(&["a".to_owned(), "b".to_owned()]);
    fixture.write("fleet.json", &config["fleet"]);
    fixture.write("targets.json", &json!({ "targets": config["targets"] }));
    fixture.write("templates/assistant.json", &config["templates"][0]);
    for tenant in config["tenants"].as_array().unwrap() {
        fixture.write(&format!("tenants/{}.json", tenant["name"].as_str().unwrap()), tenant);
    }
    fixture
}

impl OperatorFixture {
    /// Returns the folder with the declarations.
    fn dir(&self) -> String {
        self.folder.path().join("declarations").to_str().unwrap().to_owned()
    }

    /// Writes one file of the declarations.
    fn write(&self, file: &str, content: &Value) {
        let path = Path::new(&self.dir()).join(file);
        fs::create_dir_all(path.parent().unwrap()).unwrap();

        fs::write(path, content.to_string()).unwrap();
    }

    /// Changes one field in a file of the declarations.
    fn set(&self, file: &str, field: &str, value: impl Into<Value>) {
        let path = Path::new(&self.dir()).join(file);
        let mut content: Value = serde_json::from_slice(&fs::read(&path).unwrap()).unwrap();
        content[field] = value.into();

        self.write(file, &content);
    }

    /// Runs a command against the first host. Returns its exit code and JSON output.
    fn run(&self, args: &[&str]) -> (i32, Value) {
        let host = self.fleet.hosts[0].address("operators").to_string();
        let output = Command::new(env!("CARGO_BIN_EXE_camphorwalk"))
            .args(args)
            .args(["--json", "--host", &host, "--operator-key-file"])
            .arg(self.folder.path().join("key"))
            .output()
            .unwrap();

        (output.status.code().unwrap(), serde_json::from_slice(&output.stdout).unwrap())
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_change_is_applied_and_confirmed() {
    let fixture = start_fixture().await;
    fixture.set("tenants/red.json", "burst", 60);

    let (diff_code, compared) = fixture.run(&["diff", &fixture.dir()]);
    let (code, applied) = fixture.run(&["apply", &fixture.dir(), "--wait", "30s"]);
    let (repeated_code, repeated) = fixture.run(&["apply", &fixture.dir()]);

    assert_eq!((diff_code, code, repeated_code), (0, 0, 0), "{applied}");
    assert_eq!(compared["changes"][0]["path"], "$.tenants[\"red\"].burst");
    assert_eq!(applied["changes"], compared["changes"]);
    assert_eq!(applied["unconfirmed_zones"], json!([]), "{applied}");
    assert_eq!(applied["hosts"].as_array().map(Vec::len), Some(3), "{applied}");
    assert_eq!(repeated["version"], applied["version"]);
}

// Two operators change the same version. Without a check, the second change would silently undo
// the first. With `--base`, the second command must fail with a conflict that contains the
// configuration in force.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_racing_change_is_a_conflict() {
    let fixture = start_fixture().await;
    let (_, before) = fixture.run(&["status"]);
    let base = before["version"].to_string();
    fixture.set("tenants/red.json", "burst", 60);
    let (first_code, _) = fixture.run(&["apply", &fixture.dir(), "--base", &base]);

    fixture.set("tenants/red.json", "burst", 70);
    let (code, refused) = fixture.run(&["apply", &fixture.dir(), "--base", &base]);

    assert_eq!((first_code, code), (0, 1), "{refused}");
    let current = &refused["current"];
    assert!(current["version"].as_u64() > before["version"].as_u64(), "{refused}");
    let tenants = current["config"]["tenants"].as_array().unwrap();
    assert!(tenants.iter().any(|tenant| tenant["name"] == "red" && tenant["burst"] == 60));
}

// While the platform is unavailable, `apply` must fail with exit code 3 and publish nothing. The
// same command must succeed after the outage.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_change_without_the_platform_is_not_published() {
    let fixture = start_fixture().await;
    let (_, before) = fixture.run(&["status"]);
    fixture.set("tenants/red.json", "burst", 60);

    fixture.fleet.set_platform_mode("refuse").await;
    let (outage_code, _) = fixture.run(&["apply", &fixture.dir()]);
    let (_, during_outage) = fixture.run(&["status"]);
    fixture.fleet.set_platform_mode("ok").await;
    let (code, applied) = fixture.run(&["apply", &fixture.dir()]);

    assert_eq!((outage_code, code), (3, 0), "{applied}");
    assert_eq!(during_outage["version"], before["version"]);
    let one_later = before["version"].as_u64().map(|version| version + 1);
    assert_eq!(applied["version"].as_u64(), one_later, "{applied}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_change_of_immutable_settings_is_refused_by_command_and_host() {
    let fixture = start_fixture().await;
    let fleet = &fixture.fleet;
    let mut config = fleet.config(&["a".to_owned(), "b".to_owned()]);
    config["fleet"]["partitions"] = json!(32);
    fixture.write("fleet.json", &config["fleet"]);

    let (code, refused) = fixture.run(&["apply", &fixture.dir()]);
    let body = json!({ "base": 1, "config": config });
    let host = fleet.hosts[0].address("operators");
    let answer = support::operator().post(host, "/v1/config", &body).await.unwrap();

    assert_eq!(code, 1, "{refused}");
    assert_eq!(refused["faults"][0]["path"], "$.fleet.partitions");
    assert_eq!(answer.status, 400, "{}", answer.body);
    assert_eq!(answer.body["faults"][0]["path"], "$.fleet.partitions");
}

// An operator withdraws a key at one host while its caller uses another. That host must refuse the
// key within seconds like an unknown one, and must still serve the other tenant.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_withdrawn_key_stops_working_at_all_hosts() {
    let fixture = start_fixture().await;
    let program = fixture.fleet.open(2, "open-1").await;
    let before = fixture.fleet.call(2, &program, "one", 0, "look-up").await;

    let (code, _) = fixture.run(&["withdraw", "red-1"]);
    let (unknown_code, _) = fixture.run(&["withdraw", "no-such-key"]);

    assert_eq!(before.status, 200, "{}", before.body);
    assert_eq!((code, unknown_code), (0, 1));
    let path = format!("{program}/calls");
    wait_until("the key is refused", async || {
        let body = call_body(1, "look-up");
        let host = fixture.fleet.callers(2);
        let answer = caller(0).call(host, &path, "two", &body).await.unwrap();
        answer.status == 401
    })
    .await;
    let open = json!({ "template": "assistant", "deadline_ms": 1_000 });
    let other = caller(1).call(fixture.fleet.callers(2), "/v1/programs", "o", &open).await.unwrap();
    assert_eq!(other.status, 201, "{}", other.body);
}

// An operator drains a host through another host, which forwards the request. The drained host must
// shut down as it does after SIGTERM and exit successfully.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_host_is_drained_through_another() {
    let mut fixture = start_fixture().await;

    let (code, drained) = fixture.run(&["drain", "b1"]);
    let (unknown_code, _) = fixture.run(&["drain", "no-such-host"]);

    assert_eq!((code, unknown_code), (0, 1), "{drained}");
    wait_until("the host ends", async || fixture.fleet.hosts[2].has_exited_successfully()).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_wrong_operator_key_is_refused() {
    let fixture = start_fixture().await;
    fs::write(fixture.folder.path().join("key"), "wrong").unwrap();

    for args in [vec!["status"], vec!["withdraw", "red-1"], vec!["drain", "a2"]] {
        assert_eq!(fixture.run(&args).0, 1, "{args:?}");
    }
}
