//! Faults of real processes: kill -9, SIGSTOP and SIGCONT, SIGTERM, and a platform that is
//! away or drops its answers.

mod support;

use std::time::Duration;

use camphorwalk::client::Answer;
use http::Method;
use rustix::process::Signal;
use serde_json::json;
use support::{Fleet, Process, call_body, caller, operator, until};

/// How long the service takes for an operation, where a test must act while one runs.
const SLOW_MS: u64 = 1_500;

async fn slow_service(fleet: &Fleet) {
    let service = fleet.service.address("address");
    let body = json!({ "mode": "slow", "delay_ms": SLOW_MS });
    let answer = operator().post(service, "/control/mode", &body).await.unwrap();

    assert!(answer.status.is_success(), "{}", answer.body);
}

/// Makes a call without coming back when told to.
async fn call_once(fleet: &Fleet, host: usize, program: &str, key: &str, after: u32) -> Answer {
    let path = format!("{program}/calls");
    let body = call_body(after, "deposit");
    let client = caller(0);

    client.send(Method::POST, fleet.callers(host), &path, Some(key), Some(&body)).await.unwrap()
}

/// Opens a program whose home is this host, and returns its path.
async fn open_at(fleet: &Fleet, home: usize) -> String {
    for i in 0.. {
        let program = fleet.open(home, &format!("open-{i}")).await;
        if fleet.home_of(&program, home).await == Some(home) {
            return program;
        }
    }
    unreachable!("some program gets its home there")
}

/// The caller's deposit runs at the service when the program's home is killed. Through
/// another host the caller repeats it, again and again, until a new home has read the journal:
/// that one finds the intent without an outcome and says that it may have run. It is never
/// run a second time, because an intent is durable before anything is sent.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_home_killed_between_send_and_outcome() {
    let mut fleet = Fleet::start(&["a1", "a2", "b1"]).await;
    slow_service(&fleet).await;
    let program = open_at(&fleet, 0).await;

    let first = call_once(&fleet, 1, &program, "deposit-1", 0);
    let kill = async {
        until("the service got it", async || sent(&fleet).await > 0).await;
    };
    let (first, ()) = tokio::join!(first, async {
        kill.await;
        fleet.hosts[0].signal(Signal::KILL);
    });
    fleet.hosts[0].kill();
    let repeat = fleet.call(1, &program, "deposit-1", 0, "deposit").await;
    let next = fleet.call(2, &program, "deposit-2", 1, "deposit").await;

    assert_ne!(first.body["error"]["ran"], "no", "{}", first.body);
    assert_eq!(repeat.body["error"]["code"], "outcome_unknown", "{}", repeat.body);
    assert_eq!(repeat.body["error"]["ran"], "maybe", "{}", repeat.body);
    assert_eq!(next.body["call"], 2, "{}", next.body);
    assert_eq!(fleet.runs("deposit-1").await, 1);
    assert_eq!(fleet.runs("deposit-2").await, 1);
}

async fn sent(fleet: &Fleet) -> usize {
    let service = fleet.service.address("address");
    let answer = operator().get(service, "/control/requests").await.unwrap();

    answer.body.to_string().matches("take-deposit").count()
}

/// The home is frozen while the caller's deposit runs, and its lease goes to another host.
/// The caller repeats the deposit there; then the frozen home wakes up and goes on as if
/// nothing had been. The journal's epoch keeps it from writing, and the intent that both have
/// read keeps either from sending again.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_home_frozen_past_its_lease() {
    let fleet = Fleet::start(&["a1", "a2", "b1"]).await;
    slow_service(&fleet).await;
    let program = open_at(&fleet, 0).await;

    let first = call_once(&fleet, 1, &program, "deposit-1", 0);
    let (first, repeat) = tokio::join!(first, async {
        until("the service got it", async || sent(&fleet).await > 0).await;
        fleet.hosts[0].signal(Signal::STOP);
        let repeat = fleet.call(2, &program, "deposit-1", 0, "deposit").await;
        fleet.hosts[0].signal(Signal::CONT);
        repeat
    });
    let late = fleet.call(0, &program, "deposit-1", 0, "deposit").await;

    assert_ne!(first.body["error"]["ran"], "no", "{}", first.body);
    assert_eq!(repeat.body["error"]["ran"], "maybe", "{}", repeat.body);
    assert_ne!(late.body["error"]["ran"], "no", "{}", late.body);
    assert_eq!(fleet.runs("deposit-1").await, 1);
}

/// With the platform away, a deposit cannot be made durable: the caller is told at once that
/// it did not run and when to come back. A model turn goes on, says that it is not stored and
/// hands out its sealed tail. When the platform is back, both go on from there.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_platform_is_away() {
    let fleet = Fleet::start(&["a1", "b1"]).await;
    let program = open_at(&fleet, 0).await;

    fleet.platform_mode("refuse").await;
    let refused = call_once(&fleet, 0, &program, "deposit-1", 0).await;
    let turn = fleet.call(1, &program, "turn-1", 0, "model").await;
    let path = format!("{program}/history");
    let history = caller(0).get(fleet.callers(1), &path).await.unwrap();
    fleet.platform_mode("ok").await;
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
    assert_eq!(fleet.runs("deposit-1").await, 0);
    assert_eq!(fleet.runs("deposit-2").await, 1);
}

/// A turn was answered while the platform was away, and its home dies before it could store
/// it. The caller hands the sealed tail to another host: the new home checks it and takes the
/// turn over, so the only copy was not the dead host's memory.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_home_dies_during_an_outage() {
    let mut fleet = Fleet::start(&["a1", "a2", "b1"]).await;
    let program = open_at(&fleet, 0).await;

    fleet.platform_mode("refuse").await;
    let turn = fleet.call(1, &program, "turn-1", 0, "model").await;
    fleet.hosts[0].kill();
    fleet.platform_mode("ok").await;
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

/// The platform takes the intent in but its answer is lost. The home sends the same
/// transaction again, which shows that the first one took effect; the deposit runs once.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_answer_to_an_intent_is_lost() {
    let fleet = Fleet::start(&["a1", "b1"]).await;
    let program = open_at(&fleet, 0).await;

    fleet.platform_mode("drop_answers").await;
    let first = call_once(&fleet, 1, &program, "deposit-1", 0).await;
    fleet.platform_mode("ok").await;
    let repeat = fleet.call(0, &program, "deposit-1", 0, "deposit").await;

    assert_eq!(repeat.body["call"], 1, "{} then {}", first.body, repeat.body);
    assert_eq!(fleet.runs("deposit-1").await, 1);
}

/// The home that sent a program's turns to an engine is killed, and the program is ended at
/// its new home, which does not know where those turns ran. The engine's memory is freed all
/// the same: the host that watches the engine compares what it holds with what is open.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn engines_are_freed_after_their_home_died() {
    let mut fleet = Fleet::start(&["a1", "a2", "b1"]).await;
    let program = open_at(&fleet, 0).await;
    let turn = fleet.call(1, &program, "turn-1", 0, "model").await;
    let held = fleet.held().await;

    fleet.hosts[0].kill();
    until("the program is ended", async || {
        let client = caller(0);
        let ended = client.send(Method::DELETE, fleet.callers(1), &program, None, None).await;
        ended.is_ok_and(|answer| answer.status == 200)
    })
    .await;
    until("the engines hold nothing", async || fleet.held().await == 0).await;

    assert_eq!(turn.body["call"], 1, "{}", turn.body);
    assert_eq!(held, 1);
}

/// An engine's process is gone and its port refuses connections at once, so it always looks
/// idle. Callers go on with turn after turn: the queue leaves it alone after the first refused
/// connection, instead of sending each call there first until no retry is left.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_engine_that_refuses_connections_is_left_alone() {
    let mut fleet = Fleet::start(&["a1", "b1"]).await;
    let program = open_at(&fleet, 0).await;
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

/// A host gets SIGTERM while it serves a stream and a deposit. Neither is cut: both callers
/// get their whole answers, the host hands its leases back and ends by itself, and another
/// host goes on with the program at once.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_host_leaves_under_load() {
    let mut fleet = Fleet::start_with(&["a1", "b1"], &["--token-interval-ms", "60"]).await;
    slow_service(&fleet).await;
    let (streamed, paid) = (open_at(&fleet, 0).await, fleet.open(0, "another").await);

    let mut body = call_body(0, "model");
    body["stream"] = json!(true);
    let path = format!("{streamed}/calls");
    let client = caller(0);
    let stream = client.call(fleet.callers(0), &path, "turn-1", &body);
    let deposit = fleet.call(0, &paid, "deposit-1", 0, "deposit");
    let (stream, deposit, ()) = tokio::join!(stream, deposit, async {
        until("the service got it", async || sent(&fleet).await > 0).await;
        fleet.hosts[0].signal(Signal::TERM);
    });
    let ended_well = fleet.hosts[0].ended_well();
    let next = fleet.call(1, &streamed, "turn-2", 1, "model").await;

    let text = stream.unwrap().body.to_string();
    assert!(text.contains("event: done"), "{text}");
    assert_eq!(deposit.body["call"], 1, "{}", deposit.body);
    assert!(ended_well);
    assert_eq!(next.body["call"], 2, "{}", next.body);
    assert_eq!(fleet.runs("deposit-1").await, 1);
}

/// A key is withdrawn at one host while its caller goes on through another. Within seconds no
/// host takes it any more, although the platform is away: the hosts tell each other.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_key_is_withdrawn_with_the_platform_away() {
    let fleet = Fleet::start(&["a1", "b1"]).await;
    let program = fleet.open(0, "open-1").await;

    fleet.platform_mode("refuse").await;
    let body = json!({ "key": "red-1" });
    let path = "/v1/keys/withdraw";
    let accepted = operator().post(fleet.hosts[0].address("operators"), path, &body).await.unwrap();
    until("the other host refuses the key", async || {
        caller(0).get(fleet.callers(1), &program).await.unwrap().status == 401
    })
    .await;
    let other = caller(1).get(fleet.callers(1), &program).await.unwrap();

    assert_eq!(accepted.status, 200, "{}", accepted.body);
    assert_eq!(other.body["error"]["code"], "not_found", "{}", other.body);
    assert_eq!(caller(0).get(fleet.callers(0), &program).await.unwrap().status, 401);
}

/// Two operators publish from the same version. One wins; the other is told of a conflict and
/// shown what is in force. A host that was killed meanwhile and starts anew has the winner's.
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
    fleet.list_hosts().await;
    fleet.wait_ready(1).await;
    let seen = operator().get(fleet.hosts[1].address("operators"), "/v1/config").await.unwrap();

    let mut statuses = [one.status.as_u16(), two.status.as_u16()];
    let winner = usize::from(one.status != 200);
    statuses.sort_unstable();
    assert_eq!(statuses, [200, 409], "{} and {}", one.body, two.body);
    assert_eq!(seen.body["version"], 2, "{}", seen.body);
    assert_eq!(seen.body["config"]["tenants"][0]["burst"], configs[winner]["tenants"][0]["burst"]);
}

/// The caller of a stream goes away in the middle. The engine's work is cancelled instead of
/// running to its end for nobody.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_caller_goes_away() {
    let fleet = Fleet::start_with(&["a1", "b1"], &["--token-interval-ms", "300"]).await;
    let program = open_at(&fleet, 0).await;
    let mut body = call_body(0, "model");
    body["stream"] = json!(true);
    let path = format!("{program}/calls");

    let client = caller(0);
    let call = client.send(Method::POST, fleet.callers(1), &path, Some("turn-1"), Some(&body));
    let gone = tokio::time::timeout(Duration::from_millis(700), call).await;
    until("no engine runs anything", async || running(&fleet).await == 0).await;

    assert!(gone.is_err(), "the stream ended before its caller went away");
}

async fn running(fleet: &Fleet) -> u64 {
    let mut count = 0;
    for engine in &fleet.engines {
        let load = operator().get(engine.address("address"), "/v1/load").await.unwrap().body;
        count += load["running"].as_u64().unwrap_or(0);
    }

    count
}
