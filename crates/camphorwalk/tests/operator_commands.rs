//! The operators' commands against a fleet of processes.

mod support;

use std::fs;
use std::path::Path;
use std::process::Command;

use serde_json::{Value, json};
use support::{Fleet, OPERATOR_KEY, call_body, caller, until};
use tempfile::TempDir;

/// A fleet, and the folder that its operators keep.
struct Desk {
    fleet: Fleet,
    folder: TempDir,
}

/// Starts a fleet of two zones and writes its declarations into a folder.
async fn desk() -> Desk {
    let fleet = Fleet::start(&["a1", "a2", "b1"]).await;
    let folder = tempfile::tempdir().unwrap();
    fs::write(folder.path().join("key"), OPERATOR_KEY).unwrap();
    let desk = Desk { fleet, folder };

    let config = desk.fleet.config(&["a".to_owned(), "b".to_owned()]);
    desk.write("fleet.json", &config["fleet"]);
    desk.write("targets.json", &json!({ "targets": config["targets"] }));
    desk.write("templates/assistant.json", &config["templates"][0]);
    for tenant in config["tenants"].as_array().unwrap() {
        desk.write(&format!("tenants/{}.json", tenant["name"].as_str().unwrap()), tenant);
    }
    desk
}

impl Desk {
    /// Returns the folder with the declarations.
    fn dir(&self) -> String {
        self.folder.path().join("declarations").to_str().unwrap().to_owned()
    }

    /// Writes a file of the declarations.
    fn write(&self, file: &str, content: &Value) {
        let path = Path::new(&self.dir()).join(file);
        fs::create_dir_all(path.parent().unwrap()).unwrap();

        fs::write(path, content.to_string()).unwrap();
    }

    /// Changes a field of a file.
    fn set(&self, file: &str, field: &str, value: impl Into<Value>) {
        let path = Path::new(&self.dir()).join(file);
        let mut content: Value = serde_json::from_slice(&fs::read(&path).unwrap()).unwrap();
        content[field] = value.into();

        self.write(file, &content);
    }

    /// Runs a command against the first host; returns its exit code and JSON output.
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
    let desk = desk().await;
    desk.set("tenants/red.json", "burst", 60);

    let (diff_code, compared) = desk.run(&["diff", &desk.dir()]);
    let (code, applied) = desk.run(&["apply", &desk.dir(), "--wait", "30s"]);
    let (again_code, again) = desk.run(&["apply", &desk.dir()]);

    assert_eq!((diff_code, code, again_code), (0, 0, 0), "{applied}");
    assert_eq!(compared["changes"][0]["path"], "$.tenants[\"red\"].burst");
    assert_eq!(applied["changes"], compared["changes"]);
    assert_eq!(applied["unconfirmed_zones"], json!([]), "{applied}");
    assert_eq!(applied["hosts"].as_array().map(Vec::len), Some(3), "{applied}");
    assert_eq!(again["version"], applied["version"]);
}

// Two operators change the same version. The second one's change would undo the first's
// without a word; with the version that it was made from, it is a conflict that shows what
// is in force.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_racing_change_is_a_conflict() {
    let desk = desk().await;
    let (_, before) = desk.run(&["status"]);
    let base = before["version"].to_string();
    desk.set("tenants/red.json", "burst", 60);
    let (first_code, _) = desk.run(&["apply", &desk.dir(), "--base", &base]);

    desk.set("tenants/red.json", "burst", 70);
    let (code, refused) = desk.run(&["apply", &desk.dir(), "--base", &base]);

    assert_eq!((first_code, code), (0, 1), "{refused}");
    let current = &refused["current"];
    assert!(current["version"].as_u64() > before["version"].as_u64(), "{refused}");
    let tenants = current["config"]["tenants"].as_array().unwrap();
    assert!(tenants.iter().any(|tenant| tenant["name"] == "red" && tenant["burst"] == 60));
}

// The platform is away. The command says so by its exit code, and nothing is published;
// the same command works when the platform is back.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_change_without_the_platform_is_not_published() {
    let desk = desk().await;
    let (_, before) = desk.run(&["status"]);
    desk.set("tenants/red.json", "burst", 60);

    desk.fleet.platform_mode("refuse").await;
    let (away_code, _) = desk.run(&["apply", &desk.dir()]);
    let (_, away) = desk.run(&["status"]);
    desk.fleet.platform_mode("ok").await;
    let (code, applied) = desk.run(&["apply", &desk.dir()]);

    assert_eq!((away_code, code), (3, 0), "{applied}");
    assert_eq!(away["version"], before["version"]);
    let one_later = before["version"].as_u64().map(|version| version + 1);
    assert_eq!(applied["version"].as_u64(), one_later, "{applied}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn what_is_fixed_for_life_is_refused_by_command_and_host() {
    let desk = desk().await;
    let fleet = &desk.fleet;
    let mut config = fleet.config(&["a".to_owned(), "b".to_owned()]);
    config["fleet"]["partitions"] = json!(32);
    desk.write("fleet.json", &config["fleet"]);

    let (code, refused) = desk.run(&["apply", &desk.dir()]);
    let body = json!({ "base": 1, "config": config });
    let host = fleet.hosts[0].address("operators");
    let answer = support::operator().post(host, "/v1/config", &body).await.unwrap();

    assert_eq!(code, 1, "{refused}");
    assert_eq!(refused["faults"][0]["path"], "$.fleet.partitions");
    assert_eq!(answer.status, 400, "{}", answer.body);
    assert_eq!(answer.body["faults"][0]["path"], "$.fleet.partitions");
}

// An operator withdraws a key while its caller is connected to another host. Within
// seconds that host refuses it as if it had never been; the other tenant is still served.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_withdrawn_key_stops_working_at_all_hosts() {
    let desk = desk().await;
    let program = desk.fleet.open(2, "open-1").await;
    let before = desk.fleet.call(2, &program, "one", 0, "look-up").await;

    let (code, _) = desk.run(&["withdraw", "red-1"]);
    let (unknown_code, _) = desk.run(&["withdraw", "no-such-key"]);

    assert_eq!(before.status, 200, "{}", before.body);
    assert_eq!((code, unknown_code), (0, 1));
    let path = format!("{program}/calls");
    until("the key is refused", async || {
        let body = call_body(1, "look-up");
        let host = desk.fleet.callers(2);
        let answer = caller(0).call(host, &path, "two", &body).await.unwrap();
        answer.status == 401
    })
    .await;
    let open = json!({ "template": "assistant", "deadline_ms": 1_000 });
    let other = caller(1).call(desk.fleet.callers(2), "/v1/programs", "o", &open).await.unwrap();
    assert_eq!(other.status, 201, "{}", other.body);
}

// An operator has a host leave by asking another one. The message reaches it as a peer's;
// it goes the same way as on a signal, from its health to the end of its process.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_host_is_drained_through_another() {
    let mut desk = desk().await;

    let (code, told) = desk.run(&["drain", "b1"]);
    let (unknown_code, _) = desk.run(&["drain", "no-such-host"]);

    assert_eq!((code, unknown_code), (0, 1), "{told}");
    until("the host ends", async || desk.fleet.hosts[2].has_ended_well()).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_wrong_operator_key_is_refused() {
    let desk = desk().await;
    fs::write(desk.folder.path().join("key"), "wrong").unwrap();

    for args in [vec!["status"], vec!["withdraw", "red-1"], vec!["drain", "a2"]] {
        assert_eq!(desk.run(&args).0, 1, "{args:?}");
    }
}
