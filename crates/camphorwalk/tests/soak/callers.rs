//! Callers: programs of kept turns, loops that spend a budget, and calls that may run once.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng as _, SeedableRng as _};

use crate::ledger::{Answered, BUDGET, Ledger, MOST};
use crate::support::caller::{Call, CallResult};
use crate::support::target::EVENTS_PER_STREAM;

/// What all callers share.
#[derive(Clone)]
pub struct Callers {
    pub hosts: Rc<Vec<SocketAddr>>,
    pub ledger: Rc<RefCell<Ledger>>,
    /// Set when callers are to stop.
    pub stop: Rc<std::cell::Cell<bool>>,
}

/// The pause of a caller between two calls.
const PAUSE: Duration = Duration::from_millis(15);

/// The longest that a caller waits for an answer.
const PATIENCE: Duration = Duration::from_secs(6);

/// After so many turns a program begins anew.
const TURNS: usize = 6;

impl Callers {
    /// Starts callers of all kinds.
    pub fn start(&self, seed: u64, each: u64) -> Vec<tokio::task::JoinHandle<()>> {
        let mut tasks = Vec::new();

        for i in 0..each {
            let rng = |kind: u64| StdRng::seed_from_u64(seed * 1_000 + kind * 100 + i);
            tasks.push(tokio::task::spawn_local(self.clone().programs(rng(1), format!("p{i}"))));
            tasks.push(tokio::task::spawn_local(self.clone().loops(rng(2), format!("l{i}"))));
            tasks.push(tokio::task::spawn_local(self.clone().deposits(rng(3), format!("d{i}"))));
        }
        tasks
    }

    /// Programs of kept turns, each of which continues an earlier one.
    async fn programs(self, mut rng: StdRng, name: String) {
        for program in 0.. {
            let mut said = Vec::<Answered>::new();
            for turn in 0..TURNS {
                if self.stop.get() {
                    return;
                }
                let id = format!("{name}-{program}-{turn}");
                let previous = match said.len() {
                    0 => None,
                    count => Some(said[rng.random_range(0..count)].clone()),
                };
                self.turn(&mut rng, &id, previous, &mut said).await;
                tokio::time::sleep(PAUSE).await;
            }
        }
    }

    async fn turn(
        &self,
        rng: &mut StdRng,
        id: &str,
        previous: Option<Answered>,
        said: &mut Vec<Answered>,
    ) {
        let input = format!("<{id}>");
        let before = previous.as_ref().map_or("", |turn| &turn.said);
        let prompt = format!("{before}{input}");
        self.ledger.borrow_mut().prompts.insert(id.into(), prompt.clone());
        let call = Call::new("/kept/")
            .with_request_id(id)
            .with_previous_turn(previous.as_ref().map_or("", |turn| &turn.id))
            .body(input);

        let Some(got) = self.send(rng, id, &call).await else { return };
        if [404, 410].contains(&got.status) {
            self.fault(format!("{id} was told {} of {previous:?}", got.status));
        }
        if got.is_served() {
            let lines: String = (1..=EVENTS_PER_STREAM).map(|i| format!("word-{i}\n")).collect();
            let turn = Answered { id: id.into(), said: prompt + &lines };
            self.ledger.borrow_mut().answered.push(turn.clone());
            said.push(turn);
        }
    }

    /// Programs that send turns until their budget is spent, and go on after that.
    async fn loops(self, mut rng: StdRng, name: String) {
        for program in 0.. {
            let program = format!("{name}-{program}");
            for turn in 0..25 {
                if self.stop.get() {
                    return;
                }
                let id = format!("{program}-{turn}");
                let call =
                    Call::new("/stream/").with_request_id(&id).with_program(&program, BUDGET, MOST);
                if let Some(got) = self.send(&mut rng, &id, &call).await {
                    let events = got.text().matches("id:").count() as u64;
                    *self.ledger.borrow_mut().events.entry(program.clone()).or_default() += events;
                }
                tokio::time::sleep(PAUSE).await;
            }
        }
    }

    /// Calls that may run once.
    async fn deposits(self, mut rng: StdRng, name: String) {
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

    /// Sends a call to any host; `None` if no answer came.
    async fn send(&self, rng: &mut StdRng, id: &str, call: &Call) -> Option<CallResult> {
        let host = self.hosts[rng.random_range(0..self.hosts.len())];
        let got = tokio::time::timeout(PATIENCE, call.try_send(host)).await.ok().flatten();
        let mut ledger = self.ledger.borrow_mut();

        match &got {
            Some(got) if got.is_served() => ledger.served += 1,
            _ => ledger.failed += 1,
        }
        let got = got?;
        if [408, 421, 429, 503].contains(&got.status) {
            ledger.refused.push((id.into(), got.status));
        }
        if got.is_served() {
            check_whole(id, &got, &mut ledger);
        }
        Some(got)
    }

    fn fault(&self, text: String) {
        self.ledger.borrow_mut().faults.push(text);
    }
}

/// A success must bear its target's signature, be to this call, and have all of its events.
fn check_whole(id: &str, got: &CallResult, ledger: &mut Ledger) {
    if !got.is_signed() || got.request_id() != Some(id) {
        ledger.faults.push(format!("{id} got an answer that is not its own: {:?}", got.headers));
    }
    let events: Vec<_> = got.text().lines().filter_map(|line| line.strip_prefix("id: ")).collect();
    let all: Vec<_> = (1..=EVENTS_PER_STREAM).map(|i| i.to_string()).collect();
    if !events.is_empty() && events != all {
        ledger.faults.push(format!("{id} got events {events:?}"));
    }
}
