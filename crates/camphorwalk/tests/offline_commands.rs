//! Commands that need no fleet, and the exit codes of commands that fail before they reach one.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

use serde_json::Value;

/// Runs the `camphorwalk` command.
fn run(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_camphorwalk")).args(args).output().unwrap()
}

/// Runs the command and returns its exit code and standard output.
fn run_to_exit(args: &[&str]) -> (i32, String) {
    let output = run(args);

    (output.status.code().unwrap(), String::from_utf8(output.stdout).unwrap())
}

/// Returns the folder of an example deployment.
fn example(name: &str) -> String {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deployments").join(name);

    folder.to_str().unwrap().to_owned()
}

/// Copies the Inkwick example into a folder and replaces a text in one file. Returns the folder.
fn modified_example(folder: &Path, file: &str, from: &str, to: &str) -> String {
    let copy_all = |from: PathBuf, to: PathBuf| {
        std::fs::create_dir_all(&to).unwrap();
        for entry in std::fs::read_dir(from).unwrap().map(Result::unwrap) {
            if entry.file_type().unwrap().is_file() {
                std::fs::copy(entry.path(), to.join(entry.file_name())).unwrap();
            }
        }
    };
    for part in ["", "templates", "tenants"] {
        copy_all(Path::new(&example("inkwick")).join(part), folder.join(part));
    }

    let path = folder.join(file);
    let text = std::fs::read_to_string(&path).unwrap();
    assert!(text.contains(from));
    std::fs::write(path, text.replace(from, to)).unwrap();
    folder.to_str().unwrap().to_owned()
}

#[test]
fn check_passes_the_examples() {
    for name in ["inkwick", "inzira"] {
        assert_eq!(run_to_exit(&["check", &example(name)]), (0, "no faults\n".to_owned()));
    }
}

#[test]
fn check_reports_file_path_and_reason() {
    let folder = tempfile::tempdir().unwrap();
    let dir = modified_example(
        folder.path(),
        "tenants/floor-artists.json",
        "\"burst\": 24",
        "\"burst\": 0",
    );

    let (code, text) = run_to_exit(&["check", &dir]);
    let (json_code, json) = run_to_exit(&["check", &dir, "--json"]);

    assert_eq!((code, json_code), (1, 1));
    assert_eq!(text, "tenants/floor-artists.json: $.burst: must be at least 1\n");
    let json: Value = serde_json::from_str(&json).unwrap();
    assert_eq!(json["faults"][0]["file"], "tenants/floor-artists.json");
    assert_eq!(json["faults"][0]["path"], "$.burst");
    assert_eq!(json["faults"][0]["reason"], "must be at least 1");
}

#[test]
fn diff_of_two_folders() {
    let folder = tempfile::tempdir().unwrap();
    let dir = modified_example(
        folder.path(),
        "tenants/floor-artists.json",
        "\"burst\": 24",
        "\"burst\": 30",
    );

    let (code, text) = run_to_exit(&["diff", &dir, "--against", &example("inkwick")]);

    assert_eq!((code, &*text), (0, "~ $.tenants[\"floor-artists\"].burst: 24 -> 30\n"));
}

#[test]
fn usage_errors_exit_with_two() {
    let cases: [&[&str]; 6] = [
        &[],
        &["no-such-command"],
        &["check"],
        &["check", "x", "--no-such-option"],
        &["diff", "x"],
        &["status", "--host", "not-an-address", "--operator-key-file", "x"],
    ];

    for args in cases {
        assert_eq!(run(args).status.code(), Some(2), "{args:?}");
    }
    let daemon = Command::new(env!("CARGO_BIN_EXE_camphorwalkd")).output().unwrap();
    assert_eq!(daemon.status.code(), Some(2));
}

#[test]
fn help_has_examples_and_exits_with_zero() {
    for command in ["apply", "check", "diff", "drain", "status", "withdraw"] {
        let (code, text) = run_to_exit(&[command, "--help"]);

        assert_eq!(code, 0, "{command}");
        assert!(text.contains("Examples:"), "{command}: {text}");
    }
}

#[test]
fn an_unreachable_host_exits_with_three() {
    let folder = tempfile::tempdir().unwrap();
    let key = folder.path().join("key");
    std::fs::write(&key, "k").unwrap();
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    drop(listener);

    let key = key.to_str().unwrap();
    let reach = ["--host", &address, "--operator-key-file", key];
    let dir = example("inkwick");

    for args in [vec!["status"], vec!["withdraw", "k"], vec!["drain", "h"], vec!["apply", &dir]] {
        let args = [&args[..], &reach].concat();
        assert_eq!(run(&args).status.code(), Some(3), "{args:?}");
    }
}

#[test]
fn a_missing_key_file_exits_with_two() {
    let args = ["status", "--host", "127.0.0.1:1", "--operator-key-file", "no/such/file"];

    assert_eq!(run(&args).status.code(), Some(2));
}

#[test]
fn explain_puts_a_requests_lines_of_several_hosts_in_order() {
    // Two hosts have logged lines about the same request. The logs also contain lines about other
    // requests, lines that are not JSON, and a truncated line.
    let folder = tempfile::tempdir().unwrap();
    let file = |name: &str, lines: &[&str]| {
        let path = folder.path().join(name);
        std::fs::write(&path, lines.join("\n")).unwrap();
        path.to_str().unwrap().to_owned()
    };
    let a = file(
        "a.log",
        &[
            r#"{"timestamp":"2026-01-01T00:00:03Z","message":"call: refused","request":"r-1"}"#,
            r#"{"timestamp":"2026-01-01T00:00:01Z","message":"budget: spent","request":"r-1"}"#,
            "not json",
            r#"{"timestamp":"2026-01-01T00:00:01Z","mess"#,
        ],
    );
    let b = file(
        "b.log",
        &[
            r#"host-b {"timestamp":"2026-01-01T00:00:02Z","message":"x","request":"r-1"}"#,
            r#"{"timestamp":"2026-01-01T00:00:02Z","message":"y","request":"r-2"}"#,
        ],
    );

    let (code, text) = run_to_exit(&["explain", "r-1", &a, &b]);
    let (nothing, _) = run_to_exit(&["explain", "r-9", &a, &b]);
    let (missing, _) = run_to_exit(&["explain", "r-1", "no-such-file"]);

    assert_eq!((code, nothing, missing), (0, 1, 1));
    let seconds: Vec<_> = text.lines().map(|line| line.find("00:00:0").unwrap()).collect();
    assert_eq!(seconds.len(), 3);
    let order: Vec<_> = ["budget: spent", "\"x\"", "call: refused"]
        .iter()
        .map(|part| text.find(part).unwrap())
        .collect();
    assert!(order.is_sorted(), "{text}");
}
