//! Faults of separate processes: SIGKILL, SIGSTOP and SIGCONT, SIGTERM, and a platform that is
//! unavailable or whose answers are lost. The home of a program is the host that holds its state.
//! Before the home sends a call that must not run twice, it writes an intent to the journal, and
//! afterwards the outcome.

mod support;

use std::time::Duration;

use camphorwalk::client::Answer;
use http::Method;
use rustix::process::Signal;
use serde_json::json;
use support::{Fleet, Process, call_body, caller, operator, wait_until};

/// The duration of an operation of the slow service. It is long enough for a test to act while the
/// operation runs.
const SERVICE_DELAY_MS: u64 = 1_500;

/// Makes the service take [`SERVICE_DELAY_MS`] for each operation.
async fn make_service_slow(fleet: &Fleet) {
    let service = fleet.service.address("address");
    let body = json!({ "mode": "slow", "delay_ms": SERVICE_DELAY_MS });
    let answer = operator().post(service, "/control/mode", &body).await.unwrap();

    assert!(answer.status.is_success(), "{}", answer.body);
}

/// Calls the deposit operation once, without retries.
async fn call_once(fleet: &Fleet, host: usize, program: &str, key: &str, after: u32) -> Answer {
    let path = format!("{program}/calls");
    let body = call_body(after, "deposit");
    let client = caller(0);

    client.send(Method::POST, fleet.callers(host), &path, Some(key), Some(&body)).await.unwrap()
}

/// Opens programs until one has this host as its home, and returns the path of that one.
async fn open_with_home(fleet: &Fleet, home: usize) -> String {
    for i in 0.. {
        let program = fleet.open(home, &format!("open-{i}")).await;
        if fleet.home_of(&program, home).await == Some(home) {
            return program;
        }
    }
    unreachable!("the loop has no end")
}

/// The home of a program is killed while a deposit runs at the service. The caller retries the
/// deposit through another host until a new home has read the journal. The new home finds an intent
/// without an outcome, so it must answer that the deposit may have run. It must not run the deposit
/// again; this holds because the intent is stored before the operation is sent.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_home_killed_between_send_and_outcome() {
    let mut fleet = Fleet::start(&["a1", "a2", "b1"]).await;
    make_service_slow(&fleet).await;
    let program = open_with_home(&fleet, 0).await;

    let first = call_once(&fleet, 1, &program, "deposit-1", 0);
    let deposit_sent = async {
        wait_until("the service got it", async || count_sent_deposits(&fleet).await > 0).await;
    };
    let (first, ()) = tokio::join!(first, async {
        deposit_sent.await;
        fleet.hosts[0].signal(Signal::KILL);
    });
    fleet.hosts[0].kill();
    let repeat = fleet.call(1, &program, "deposit-1", 0, "deposit").await;
    let next = fleet.call(2, &program, "deposit-2", 1, "deposit").await;

    assert_ne!(first.body["error"]["ran"], "no", "{}", first.body);
    assert_eq!(repeat.body["error"]["code"], "outcome_unknown", "{}", repeat.body);
    assert_eq!(repeat.body["error"]["ran"], "maybe", "{}", repeat.body);
    assert_eq!(next.body["call"], 2, "{}", next.body);
    assert_eq!(fleet.run_count("deposit-1").await, 1);
    assert_eq!(fleet.run_count("deposit-2").await, 1);
}

/// Returns the number of deposits that the service has received.
async fn count_sent_deposits(fleet: &Fleet) -> usize {
    let service = fleet.service.address("address");
    let answer = operator().get(service, "/control/requests").await.unwrap();

    answer.body.to_string().matches("take-deposit").count()
}

/// The home is stopped while a deposit runs, and its lease passes to another host. The caller
/// retries the deposit there. Then the old home resumes and does not know that it lost the lease.
/// The journal's epoch rejects its writes, and neither home may send the deposit again, because
/// both know its intent.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_home_frozen_past_its_lease() {
    let fleet = Fleet::start(&["a1", "a2", "b1"]).await;
    make_service_slow(&fleet).await;
    let program = open_with_home(&fleet, 0).await;

    let first = call_once(&fleet, 1, &program, "deposit-1", 0);
    let (first, repeat) = tokio::join!(first, async {
        wait_until("the service got it", async || count_sent_deposits(&fleet).await > 0).await;
        fleet.hosts[0].signal(Signal::STOP);
        let repeat = fleet.call(2, &program, "deposit-1", 0, "deposit").await;
        fleet.hosts[0].signal(Signal::CONT);
        repeat
    });
    let late = fleet.call(0, &program, "deposit-1", 0, "deposit").await;

    assert_ne!(first.body["error"]["ran"], "no", "{}", first.body);
    assert_eq!(repeat.body["error"]["ran"], "maybe", "{}", repeat.body);
    assert_ne!(late.body["error"]["ran"], "no", "{}", late.body);
    assert_eq!(fleet.run_count("deposit-1").await, 1);
}

/// While the platform is unavailable, the intent of a deposit cannot be stored, so the deposit must
/// be refused at once as not run, with a time for a retry. A model turn still runs: its answer is
/// marked as not stored and carries a sealed tail, a copy of the turn that the caller cannot alter.
/// After the outage, the caller sends that tail with the next call of the program, which succeeds.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_platform_is_unavailable() {
    let fleet = Fleet::start(&["a1", "b1"]).await;
    let program = open_with_home(&fleet, 0).await;

    fleet.set_platform_mode("refuse").await;
    let refused = call_once(&fleet, 0, &program, "deposit-1", 0).await;
    let turn = fleet.call(1, &program, "turn-1", 0, "model").await;
    let path = format!("{program}/history");
    let history = caller(0).get(fleet.callers(1), &path).await.unwrap();
    fleet.set_platform_mode("ok").await;
    let mut body = call_body(1, "deposit");
    body["tail"] = turn.body["tail"].clone();
    let path = format!("{program}/calls");
    let after = caller(0).call(fleet.callers(1), &path, "deposit-2", &body).await.unwrap();

    assert_eq!(refused.body["error"]["code"], "platform_unavailable", "{}", refused.body);
    assert_eq!(refused.body["error"]["ran"], "no", "{}", refused.body);
    assert!(refused.body["error"]["retry_after_ms"].is_u64(), "{}", refused.body);
    assert_eq!(turn.body["stored"], false, "{}", turn.body);
    assert!(turn.body["tail"].is_string(), "{}", turn.body);
    assert_eq!(history.body["calls"][0]["stored"], false, "{}", history.body);
    assert_eq!(after.body["call"], 2, "{}", after.body);
    assert_eq!(fleet.run_count("deposit-1").await, 0);
    assert_eq!(fleet.run_count("deposit-2").await, 1);
}

/// A turn is answered while the platform is unavailable, and its home is killed before it can store
/// the turn. The caller sends the sealed tail with its next call through another host. The new home
/// must verify the tail and restore the turn from it, so the turn is not lost with the old home.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_home_dies_during_an_outage() {
    let mut fleet = Fleet::start(&["a1", "a2", "b1"]).await;
    let program = open_with_home(&fleet, 0).await;

    fleet.set_platform_mode("refuse").await;
    let turn = fleet.call(1, &program, "turn-1", 0, "model").await;
    fleet.hosts[0].kill();
    fleet.set_platform_mode("ok").await;
    let mut body = call_body(1, "deposit");
    body["tail"] = turn.body["tail"].clone();
    let path = format!("{program}/calls");
    let after = caller(0).call(fleet.callers(1), &path, "deposit-1", &body).await.unwrap();
    let history = caller(0).get(fleet.callers(2), &format!("{program}/history")).await.unwrap();

    assert_eq!(turn.body["stored"], false, "{}", turn.body);
    assert_eq!(after.body["call"], 2, "{}", after.body);
    assert_eq!(history.body["calls"].as_array().map(Vec::len), Some(2), "{}", history.body);
    assert_eq!(history.body["calls"][0]["output"], turn.body["output"], "{}", history.body);
}

/// The platform stores an intent, but its answer is lost. The home sends the same transaction again
/// and finds that the first one took effect. The deposit must run exactly once.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_answer_to_an_intent_is_lost() {
    let fleet = Fleet::start(&["a1", "b1"]).await;
    let program = open_with_home(&fleet, 0).await;

    fleet.set_platform_mode("drop_answers").await;
    let first = call_once(&fleet, 1, &program, "deposit-1", 0).await;
    fleet.set_platform_mode("ok").await;
    let repeat = fleet.call(0, &program, "deposit-1", 0, "deposit").await;

    assert_eq!(repeat.body["call"], 1, "{} then {}", first.body, repeat.body);
    assert_eq!(fleet.run_count("deposit-1").await, 1);
}

/// The home that sent a program's turn to an engine is killed. The program is then ended at a new
/// home, which does not know which engine ran the turn. The engine's cache must be freed
/// nevertheless: the host that watches the engine compares its cache with the open programs.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn engines_are_freed_after_their_home_died() {
    let mut fleet = Fleet::start(&["a1", "a2", "b1"]).await;
    let program = open_with_home(&fleet, 0).await;
    let turn = fleet.call(1, &program, "turn-1", 0, "model").await;
    let held = fleet.held_prefixes().await;

    fleet.hosts[0].kill();
    wait_until("the program is ended", async || {
        let client = caller(0);
        let ended = client.send(Method::DELETE, fleet.callers(1), &program, None, None).await;
        ended.is_ok_and(|answer| answer.status == 200)
    })
    .await;
    wait_until("the engines hold nothing", async || fleet.held_prefixes().await == 0).await;

    assert_eq!(turn.body["call"], 1, "{}", turn.body);
    assert_eq!(held, 1);
}

/// An engine's process has ended and its port refuses connections at once, so the engine always
/// looks idle. The queue must avoid it after the first refused connection. Otherwise it would send
/// each call there first, and calls would fail once their retries are used up.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_engine_that_refuses_connections_is_avoided() {
    let mut fleet = Fleet::start(&["a1", "b1"]).await;
    let program = open_with_home(&fleet, 0).await;
    let path = format!("{program}/calls");
    fleet.engines[0].kill();

    let mut served = 0;
    for after in 0..25 {
        let body = call_body(after, "model");
        let key = format!("turn-{after}");
        let client = caller(0);
        let answer =
            client.send(Method::POST, fleet.callers(0), &path, Some(&key), Some(&body)).await;
        served += u32::from(answer.unwrap().status == 200);
    }

    assert_eq!(served, 25);
}

/// A host receives SIGTERM while it serves a stream and a deposit. Both callers must get their
/// complete answers, the host must return its leases and exit, and another host must serve the
/// next call of the program.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_host_leaves_under_load() {
    let mut fleet = Fleet::start_with(&["a1", "b1"], &["--token-interval-ms", "60"]).await;
    make_service_slow(&fleet).await;
    let (streamed, paid) = (open_with_home(&fleet, 0).await, fleet.open(0, "another").await);

    let mut body = call_body(0, "model");
    body["stream"] = json!(true);
    let path = format!("{streamed}/calls");
    let client = caller(0);
    let stream = client.call(fleet.callers(0), &path, "turn-1", &body);
    let deposit = fleet.call(0, &paid, "deposit-1", 0, "deposit");
    let (stream, deposit, ()) = tokio::join!(stream, deposit, async {
        wait_until("the service got it", async || count_sent_deposits(&fleet).await > 0).await;
        fleet.hosts[0].signal(Signal::TERM);
    });
    let succeeded = fleet.hosts[0].wait_for_success();
    let next = fleet.call(1, &streamed, "turn-2", 1, "model").await;

    let text = stream.unwrap().body.to_string();
    assert!(text.contains("event: done"), "{text}");
    assert_eq!(deposit.body["call"], 1, "{}", deposit.body);
    assert!(succeeded);
    assert_eq!(next.body["call"], 2, "{}", next.body);
    assert_eq!(fleet.run_count("deposit-1").await, 1);
}

/// A key is withdrawn at one host during an outage of the platform, while its caller uses another
/// host. All hosts must refuse the key within seconds, because hosts report withdrawals to each
/// other directly.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_key_is_withdrawn_with_the_platform_away() {
    let fleet = Fleet::start(&["a1", "b1"]).await;
    let program = fleet.open(0, "open-1").await;

    fleet.set_platform_mode("refuse").await;
    let body = json!({ "key": "red-1" });
    let path = "/v1/keys/withdraw";
    let accepted = operator().post(fleet.hosts[0].address("operators"), path, &body).await.unwrap();
    wait_until("the other host refuses the key", async || {
        caller(0).get(fleet.callers(1), &program).await.unwrap().status == 401
    })
    .await;
    let other = caller(1).get(fleet.callers(1), &program).await.unwrap();

    assert_eq!(accepted.status, 200, "{}", accepted.body);
    assert_eq!(other.body["error"]["code"], "not_found", "{}", other.body);
    assert_eq!(caller(0).get(fleet.callers(0), &program).await.unwrap().status, 401);
}

/// Two operators publish changes of the same version at the same time. One must succeed, and the
/// other must get a conflict. A host that is killed and restarted afterwards must have the
/// successful change in force.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn operators_race() {
    let mut fleet = Fleet::start(&["a1", "b1"]).await;
    let zones = ["a".to_owned(), "b".to_owned()];
    let mut configs = [fleet.config(&zones), fleet.config(&zones)];
    configs[0]["tenants"][0]["burst"] = json!(11);
    configs[1]["tenants"][0]["burst"] = json!(22);
    let publish = async |host: &Process, config: &serde_json::Value| {
        let body = json!({ "base": 1, "config": config });
        operator().post(host.address("operators"), "/v1/config", &body).await.unwrap()
    };

    let (one, two) =
        tokio::join!(publish(&fleet.hosts[0], &configs[0]), publish(&fleet.hosts[1], &configs[1]));
    fleet.hosts[1].kill();
    fleet.hosts[1] = fleet.start_host("b1", "b");
    fleet.set_host_list().await;
    fleet.wait_ready(1).await;
    let seen = operator().get(fleet.hosts[1].address("operators"), "/v1/config").await.unwrap();

    let mut statuses = [one.status.as_u16(), two.status.as_u16()];
    let winner = usize::from(one.status != 200);
    statuses.sort_unstable();
    assert_eq!(statuses, [200, 409], "{} and {}", one.body, two.body);
    assert_eq!(seen.body["version"], 2, "{}", seen.body);
    assert_eq!(seen.body["config"]["tenants"][0]["burst"], configs[winner]["tenants"][0]["burst"]);
}

/// The caller closes its connection in the middle of a stream. The request at the engine must be
/// cancelled, so that the engine does not finish work that nobody reads.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_caller_disconnects() {
    let fleet = Fleet::start_with(&["a1", "b1"], &["--token-interval-ms", "300"]).await;
    let program = open_with_home(&fleet, 0).await;
    let mut body = call_body(0, "model");
    body["stream"] = json!(true);
    let path = format!("{program}/calls");

    let client = caller(0);
    let call = client.send(Method::POST, fleet.callers(1), &path, Some("turn-1"), Some(&body));
    let gone = tokio::time::timeout(Duration::from_millis(700), call).await;
    wait_until("no engine runs anything", async || count_running_requests(&fleet).await == 0).await;

    assert!(gone.is_err(), "the stream ended before its caller went away");
}

/// Returns the number of requests that run at all engines.
async fn count_running_requests(fleet: &Fleet) -> u64 {
    let mut count = 0;
    for engine in &fleet.engines {
        let load = operator().get(engine.address("address"), "/v1/load").await.unwrap().body;
        count += load["running"].as_u64().unwrap_or(0);
    }

    count
}
