//! The load of the soak: programs with stored turns, programs that use up a token budget, and calls
//! that must run at most once.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng as _, SeedableRng as _};

use crate::ledger::{AnsweredTurn, BUDGET, Ledger, MAX_TURN_TOKENS};
use crate::support::caller::{Call, CallResult};
use crate::support::target::EVENTS_PER_STREAM;

/// The state that all caller tasks share.
#[derive(Clone)]
pub struct Callers {
    /// The callers' addresses of all hosts.
    pub hosts: Rc<Vec<SocketAddr>>,
    /// What callers sent and received.
    pub ledger: Rc<RefCell<Ledger>>,
    /// Whether the caller tasks must stop.
    pub stop: Rc<std::cell::Cell<bool>>,
}

/// The pause of a caller task between two calls.
const PAUSE: Duration = Duration::from_millis(15);

/// How long a caller waits for a complete answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(6);

/// The length of the answers that callers read slowly, in bytes. Some of it is left over when the
/// buffers of a connection are full.
const LONG_ANSWER_BYTES: usize = 6 << 20;

/// The length of the requests of callers that read slowly, in bytes.
const SLOW_BODY_BYTES: usize = 8_000;

/// The number of turns after which a task starts a new program.
const TURNS_PER_PROGRAM: usize = 6;

impl Callers {
    /// Starts `each` caller tasks of every kind.
    pub fn start(&self, seed: u64, each: u64) -> Vec<tokio::task::JoinHandle<()>> {
        let mut tasks = Vec::new();

        for i in 0..each {
            let rng = |kind: u64| StdRng::seed_from_u64(seed * 1_000 + kind * 100 + i);
            tasks.push(tokio::task::spawn_local(
                self.clone().run_conversations(rng(1), format!("p{i}")),
            ));
            tasks.push(tokio::task::spawn_local(self.clone().run_budgets(rng(2), format!("l{i}"))));
            tasks
                .push(tokio::task::spawn_local(self.clone().run_deposits(rng(3), format!("d{i}"))));
            tasks.push(tokio::task::spawn_local(self.clone().run_streams(rng(4), format!("s{i}"))));
            tasks.push(tokio::task::spawn_local(
                self.clone().run_slow_readers(rng(5), format!("r{i}")),
            ));
        }
        tasks
    }

    /// Sends programs with stored turns. Each turn continues a random earlier turn of its program.
    async fn run_conversations(self, mut rng: StdRng, name: String) {
        for program in 0.. {
            let mut answered = Vec::<AnsweredTurn>::new();
            for turn in 0..TURNS_PER_PROGRAM {
                if self.stop.get() {
                    return;
                }
                let id = format!("{name}-{program}-{turn}");
                let previous = match answered.len() {
                    0 => None,
                    count => Some(answered[rng.random_range(0..count)].clone()),
                };
                self.send_turn(&mut rng, &id, previous, &mut answered).await;
                tokio::time::sleep(PAUSE).await;
            }
        }
    }

    /// Sends one stored turn, and records it if it was answered completely.
    async fn send_turn(
        &self,
        rng: &mut StdRng,
        id: &str,
        previous: Option<AnsweredTurn>,
        answered: &mut Vec<AnsweredTurn>,
    ) {
        let input = format!("<{id}>");
        let transcript = previous.as_ref().map_or("", |turn| &turn.transcript);
        let prompt = format!("{transcript}{input}");
        self.ledger.borrow_mut().prompts.insert(id.into(), prompt.clone());
        let call = Call::new("/kept/")
            .with_request_id(id)
            .with_previous_turn(previous.as_ref().map_or("", |turn| &turn.id))
            .body(input);

        let Some(result) = self.send(rng, id, &call).await else { return };
        if [404, 410].contains(&result.status) {
            self.record_fault(format!(
                "{id} got status {} for previous turn {previous:?}",
                result.status
            ));
        }
        if result.is_served() {
            let lines: String = (1..=EVENTS_PER_STREAM).map(|i| format!("word-{i}\n")).collect();
            let turn = AnsweredTurn { id: id.into(), transcript: prompt + &lines };
            self.ledger.borrow_mut().answered.push(turn.clone());
            answered.push(turn);
        }
    }

    /// Sends programs whose turns use up their token budget, and continues past that point. Counts
    /// the events that callers receive.
    async fn run_budgets(self, mut rng: StdRng, name: String) {
        for program in 0.. {
            let program = format!("{name}-{program}");
            for turn in 0..25 {
                if self.stop.get() {
                    return;
                }
                let id = format!("{program}-{turn}");
                let call = Call::new("/stream/").with_request_id(&id).with_program(
                    &program,
                    BUDGET,
                    MAX_TURN_TOKENS,
                );
                if let Some(result) = self.send(&mut rng, &id, &call).await {
                    let events = result.text().matches("id:").count() as u64;
                    *self.ledger.borrow_mut().events.entry(program.clone()).or_default() += events;
                }
                tokio::time::sleep(PAUSE).await;
            }
        }
    }

    /// Sends calls that must run at most once.
    async fn run_deposits(self, mut rng: StdRng, name: String) {
        for i in 0.. {
            if self.stop.get() {
                return;
            }
            let id = format!("{name}-{i}");
            let call = Call::new("/once/").with_request_id(&id).body("deposit");
            self.send(&mut rng, &id, &call).await;
            tokio::time::sleep(PAUSE).await;
        }
    }

    /// Begins streams, leaves each after some events, and resumes it at a random host. All events
    /// of a stream must come from targets of one version.
    async fn run_streams(self, mut rng: StdRng, name: String) {
        for i in 0.. {
            if self.stop.get() {
                return;
            }
            let (id, again) = (format!("{name}-{i}"), format!("{name}-{i}-again"));
            let host = self.hosts[rng.random_range(0..self.hosts.len())];
            let events = rng.random_range(1..EVENTS_PER_STREAM as usize);
            let call = Call::new("/resume/").with_request_id(&id).body(id.clone());
            let first = call.try_send_for_events(host, events);
            let first = tokio::time::timeout(ANSWER_TIMEOUT, first).await.ok().flatten();
            let last = first.as_ref().and_then(|first| first.event_ids().last().copied());
            if let (Some(first), Some(last)) = (first, last) {
                let call = call.with_request_id(&again).resuming(&id, last);
                let second = self.send(&mut rng, &again, &call).await;
                self.check_stream(&id, &first, second);
            }
            tokio::time::sleep(PAUSE).await;
        }
    }

    /// Sends calls that must run at most once and have long answers, and reads these slowly, or leaves
    /// before the end.
    async fn run_slow_readers(self, mut rng: StdRng, name: String) {
        for i in 0.. {
            if self.stop.get() {
                return;
            }
            let id = format!("{name}-{i}");
            // The first host has a bound. At any one host the calls of all others are too few to
            // reach it.
            let host = self.hosts[0];
            let path = if rng.random_bool(0.5) { "/once/" } else { "/stream/" };
            let call = Call::new(path)
                .with_request_id(&id)
                .header("answer-bytes", &LONG_ANSWER_BYTES.to_string())
                .body(vec![b'x'; SLOW_BODY_BYTES])
                .reading_slowly(Duration::from_millis(rng.random_range(1..30)));
            let patience = Duration::from_millis(rng.random_range(200..4_000));
            let result = tokio::time::timeout(patience, call.try_send(host)).await.ok().flatten();
            if let Some(result) = result {
                self.record_slow(&id, &result);
            }
            tokio::time::sleep(PAUSE).await;
        }
    }

    /// Records and checks the answer of a caller that read slowly.
    fn record_slow(&self, id: &str, result: &CallResult) {
        let mut ledger = self.ledger.borrow_mut();

        if [408, 421, 429, 503].contains(&result.status) {
            ledger.refused.push((id.into(), result.status));
        }
        ledger.slow_served += usize::from(result.is_served());
        if result.is_served() && result.body.len() != LONG_ANSWER_BYTES {
            ledger.faults.push(format!("{id} got {} bytes", result.body.len()));
        }
    }

    /// Checks the events that a caller has of a stream, which it resumed with a second call.
    fn check_stream(&self, id: &str, first: &CallResult, second: Option<CallResult>) {
        let mut ids = first.event_ids();
        let mut versions = first.versions();
        if let Some(second) = &second {
            ids.extend(second.event_ids());
            versions.extend(second.versions());
            let mut ledger = self.ledger.borrow_mut();
            ledger.resumed += usize::from(second.is_served());
            ledger.not_resumed += usize::from(!second.is_served());
        }
        let in_order = ids.iter().copied().eq(1..=ids.len() as u64);
        if versions.len() > 1 || !in_order {
            self.record_fault(format!("{id} has events {ids:?} of versions {versions:?}"));
        }
    }

    /// Sends a call to a random host and records and checks the answer. Returns `None` if there was
    /// no complete answer.
    async fn send(&self, rng: &mut StdRng, id: &str, call: &Call) -> Option<CallResult> {
        let host = self.hosts[rng.random_range(0..self.hosts.len())];
        let result = tokio::time::timeout(ANSWER_TIMEOUT, call.try_send(host)).await.ok().flatten();
        let mut ledger = self.ledger.borrow_mut();

        match &result {
            Some(result) if result.is_served() => ledger.served += 1,
            _ => ledger.failed += 1,
        }
        let result = result?;
        if [408, 421, 429, 503].contains(&result.status) {
            ledger.refused.push((id.into(), result.status));
        }
        if result.is_served() {
            check_complete(id, &result, &mut ledger);
        }
        Some(result)
    }

    fn record_fault(&self, text: String) {
        self.ledger.borrow_mut().faults.push(text);
    }
}

/// Checks that a successful answer has the target's signature, belongs to this call, and contains
/// all events if it is a stream.
fn check_complete(id: &str, result: &CallResult, ledger: &mut Ledger) {
    if !result.is_signed() || result.request_id() != Some(id) {
        ledger.faults.push(format!(
            "{id} got an answer without a signature or to another call: {:?}",
            result.headers
        ));
    }
    let events = result.event_ids();
    // A call that resumes a stream gets only the last events.
    let missing = EVENTS_PER_STREAM - events.len() as u64;
    let is_whole = missing == 0 || id.ends_with("-again");
    if !events.is_empty() && (!is_whole || events.into_iter().ne(missing + 1..=EVENTS_PER_STREAM)) {
        ledger.faults.push(format!("{id} got events {:?}", result.event_ids()));
    }
}
