//! Logs of the engine stand-in's cache events and load, which clients see with a delay. Performs no
//! I/O.

use std::collections::VecDeque;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use super::cache::CacheChange;

/// The maximum number of stored events. The oldest ones are dropped first.
const MAX_EVENTS: usize = 4096;

/// The kind of an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EventKind {
    /// The cache now holds a prefix of the program.
    Held,
    /// The program was evicted.
    Evicted,
}

/// A change of the cache, as reported to clients.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// The number of the event, starting at 1. A gap in the numbers means that events were lost.
    pub number: u64,
    /// The kind of change.
    pub kind: EventKind,
    /// The program.
    pub program: Box<str>,
    /// The length of the held or evicted prefix in tokens.
    pub tokens: u64,
}

/// The cache events, which become visible with a delay. Some are lost on purpose.
#[derive(Debug)]
pub(crate) struct EventLog {
    /// The delay after which an event is visible.
    delay: Duration,
    /// Events whose number is a multiple of this are lost. With 0, no events are lost.
    loss: u64,
    /// The number of the last event.
    last: u64,
    /// The events, each with the time from which it is visible.
    events: VecDeque<(Instant, Event)>,
}

impl EventLog {
    /// Creates an empty log.
    pub(crate) fn new(delay: Duration, loss: u64) -> Self {
        Self { delay, loss, last: 0, events: VecDeque::new() }
    }

    /// Adds changes of the cache that happened at `now`.
    pub(crate) fn record(&mut self, now: Instant, changes: Vec<CacheChange>) {
        for change in changes {
            self.last += 1;

            if self.loss != 0 && self.last.is_multiple_of(self.loss) {
                continue;
            }

            if self.events.len() == MAX_EVENTS {
                self.events.pop_front();
            }

            self.events.push_back((now + self.delay, event(self.last, change)));
        }
    }

    /// Returns the events with a number above `number` that are visible at `now`.
    pub(crate) fn after(&self, now: Instant, number: u64) -> Vec<Event> {
        let visible = self.events.iter().take_while(|(from, _)| *from <= now);

        visible.filter(|(_, event)| event.number > number).map(|(_, event)| event.clone()).collect()
    }
}

/// Creates the event of a change.
fn event(number: u64, change: CacheChange) -> Event {
    let (kind, held) = match change {
        CacheChange::Held(held) => (EventKind::Held, held),
        CacheChange::Evicted(held) => (EventKind::Evicted, held),
    };

    Event { number, kind, program: held.program, tokens: held.tokens }
}

/// The load of an engine at one time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// The number of requests in the batch.
    pub running: u32,
    /// The number of requests that wait for a slot in the batch.
    pub waiting: u32,
    /// The number of tokens in the cache.
    pub held_tokens: u64,
    /// The capacity of the cache in tokens.
    pub cache_tokens: u64,
}

/// The load of an engine over time, which becomes visible with a lag.
#[derive(Debug)]
pub(crate) struct LoadLog {
    /// The time after which a load is visible.
    lag: Duration,
    /// The loads, each with the time from which it is visible, in the order of that time. Never
    /// empty.
    loads: VecDeque<(Instant, Load)>,
}

impl LoadLog {
    /// Creates a log in which `load` is visible at once.
    pub(crate) fn new(now: Instant, lag: Duration, load: Load) -> Self {
        Self { lag, loads: VecDeque::from([(now, load)]) }
    }

    /// Adds the load from `now` on.
    pub(crate) fn record(&mut self, now: Instant, load: Load) {
        self.drop_replaced(now);
        self.loads.push_back((now + self.lag, load));
    }

    /// Returns the load that is visible at `now`.
    pub(crate) fn visible(&mut self, now: Instant) -> Load {
        self.drop_replaced(now);

        self.loads.front().map(|(_, load)| *load).unwrap_or_default()
    }

    /// Drops all loads before the last one that is visible at `now`.
    fn drop_replaced(&mut self, now: Instant) {
        while self.loads.get(1).is_some_and(|(from, _)| *from <= now) {
            self.loads.pop_front();
        }
    }
}
