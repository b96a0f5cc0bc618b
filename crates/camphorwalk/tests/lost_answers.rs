//! `camphorwalk apply` when the host's answer to the publication is lost.

use std::io::{Read as _, Write as _};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::process::Command;
use std::sync::mpsc::{Receiver, channel};
use std::thread;

use camphorwalk_core::units::ConfigVersion;
use camphorwalk_declare::load;
use serde_json::{Value, json};

/// Starts a fake host that sends these answers, one per connection. Returns its address and the
/// request lines that it receives.
fn fake_host(answers: Vec<(u16, Value)>) -> (SocketAddr, Receiver<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (tx, rx) = channel();

    thread::spawn(move || {
        for (status, body) in answers {
            let (mut stream, _) = listener.accept().unwrap();
            let request = read_request(&mut stream);
            tx.send(request.lines().next().unwrap_or_default().to_owned()).unwrap();

            let body = body.to_string();
            let head = format!("HTTP/1.1 {status} X\r\nconnection: close\r\n");
            write!(stream, "{head}content-length: {}\r\n\r\n{body}", body.len()).unwrap();
        }
    });
    (address, rx)
}

/// Reads a request including its body.
fn read_request(stream: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    let mut buf = [0; 4096];

    loop {
        let text = String::from_utf8_lossy(&bytes).to_ascii_lowercase();
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let length = head.split("content-length: ").nth(1).map_or("0", |rest| rest);
            let length = length.lines().next().unwrap().parse::<usize>().unwrap();
            if body.len() >= length {
                return String::from_utf8(bytes).unwrap();
            }
        }
        let count = stream.read(&mut buf).unwrap();
        bytes.extend(&buf[..count]);
    }
}

/// Applies the Inkwick example at a host with this `--wait`. Returns the exit code and the JSON
/// output.
fn apply(host: SocketAddr, wait: &str) -> (i32, Value) {
    let folder = tempfile::tempdir().unwrap();
    std::fs::write(folder.path().join("key"), "k").unwrap();
    let output = Command::new(env!("CARGO_BIN_EXE_camphorwalk"))
        .args(["apply", &example(), "--json", "--wait", wait, "--host", &host.to_string()])
        .arg("--operator-key-file")
        .arg(folder.path().join("key"))
        .output()
        .unwrap();

    (output.status.code().unwrap(), serde_json::from_slice(&output.stdout).unwrap())
}

/// Returns the folder of the Inkwick example.
fn example() -> String {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deployments/inkwick");

    folder.to_str().unwrap().to_owned()
}

/// Returns the response of a host that has the example in force with this version and burst.
fn in_force(version: u64, burst: u32) -> Value {
    let mut config = load(example().as_ref()).unwrap();
    config.version = ConfigVersion(version);
    config.tenants[0].burst = burst;

    json!({ "version": version, "config": config })
}

// The host publishes the change, but the answer is lost. Publishing again could undo a change that
// another operator has made in the meantime, so the command must read the configuration in force
// instead, find its own change and report success.
#[test]
fn a_change_that_took_effect_is_found() {
    let burst = load(example().as_ref()).unwrap().tenants[0].burst;
    let lost = json!({ "error": "the platform's answer was lost" });
    let hosts = json!({ "hosts": [
        { "name": "m1", "zone": "midlands-a", "version": 5, "reachable": true },
    ] });
    let (host, requests) = fake_host(vec![
        (200, in_force(4, 1)),
        (502, lost),
        (200, in_force(4, 1)),
        (200, in_force(5, burst)),
        (200, hosts),
    ]);

    let (code, applied) = apply(host, "30s");

    assert_eq!((code, &applied["version"]), (0, &json!(5)), "{applied}");
    assert_eq!(applied["unconfirmed_zones"], json!(["midlands-b", "midlands-c"]));
    let posts = requests.iter().filter(|line| line.starts_with("POST")).count();
    assert_eq!(posts, 1);
}

// The answer is lost and the change is not in force within the wait time. It may still take effect
// later, so the command must report the outcome as unknown.
#[test]
fn a_change_that_is_not_found_is_unknown() {
    let lost = json!({ "message": "no answer in time" });
    let answers = [(200, in_force(4, 1)), (504, lost)];
    let still = std::iter::repeat_n((200, in_force(4, 1)), 20);
    let (host, requests) = fake_host(answers.into_iter().chain(still).collect());

    let (code, refused) = apply(host, "1s");

    assert_eq!(code, 3);
    assert_eq!(refused["error"], "not known whether it was done: no answer in time");
    let posts = requests.try_iter().filter(|line| line.starts_with("POST")).count();
    assert_eq!(posts, 1);
}
