//! What an engine stand-in tells of itself late: its load and the changes of its cache.
//! No I/O.

use std::collections::VecDeque;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use super::cache::CacheChange;

/// The most events that are kept; older ones are forgotten.
const MAX_EVENTS: usize = 4096;

/// What an event tells.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EventKind {
    /// This much of a program is held now.
    Held,
    /// Nothing of a program is held any more; this much went.
    Evicted,
}

/// A change of the cache, as told.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// Its number; the first is 1. A gap in the numbers shows that events were lost.
    pub number: u64,
    /// What it tells.
    pub kind: EventKind,
    /// The program.
    pub program: Box<str>,
    /// The tokens.
    pub tokens: u64,
}

/// The changes of the cache, told late and with gaps.
#[derive(Debug)]
pub(crate) struct EventLog {
    /// How long after it happened an event shows.
    delay: Duration,
    /// Every event whose number is a multiple of this is lost; none if zero.
    loss: u64,
    /// The number of the last event.
    last: u64,
    /// The events with the time from which each shows.
    events: VecDeque<(Instant, Event)>,
}

impl EventLog {
    /// Makes an empty log.
    pub(crate) fn new(delay: Duration, loss: u64) -> Self {
        Self { delay, loss, last: 0, events: VecDeque::new() }
    }

    /// Adds changes of the cache that happen now.
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

    /// Returns the events after this number that show now.
    pub(crate) fn after(&self, now: Instant, number: u64) -> Vec<Event> {
        let shown = self.events.iter().take_while(|(from, _)| *from <= now);

        shown.filter(|(_, event)| event.number > number).map(|(_, event)| event.clone()).collect()
    }
}

/// Makes the event of a change.
fn event(number: u64, change: CacheChange) -> Event {
    let (kind, held) = match change {
        CacheChange::Held(held) => (EventKind::Held, held),
        CacheChange::Evicted(held) => (EventKind::Evicted, held),
    };

    Event { number, kind, program: held.program, tokens: held.tokens }
}

/// The load of an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Requests in the batch.
    pub running: u32,
    /// Requests that wait for the batch.
    pub waiting: u32,
    /// Tokens in the cache.
    pub held_tokens: u64,
    /// The most tokens that stay in the cache.
    pub cache_tokens: u64,
}

/// The load of an engine over time, told with a lag.
#[derive(Debug)]
pub(crate) struct LoadLog {
    /// The lag.
    lag: Duration,
    /// The loads with the time from which each shows, in that order; never empty.
    loads: VecDeque<(Instant, Load)>,
}

impl LoadLog {
    /// Makes a log in which `load` shows at once.
    pub(crate) fn new(now: Instant, lag: Duration, load: Load) -> Self {
        Self { lag, loads: VecDeque::from([(now, load)]) }
    }

    /// Adds the load that holds from now on.
    pub(crate) fn record(&mut self, now: Instant, load: Load) {
        self.forget(now);
        self.loads.push_back((now + self.lag, load));
    }

    /// Returns the load that shows now.
    pub(crate) fn shown(&mut self, now: Instant) -> Load {
        self.forget(now);

        self.loads.front().map(|(_, load)| *load).unwrap_or_default()
    }

    /// Forgets the loads that a later one has replaced.
    fn forget(&mut self, now: Instant) {
        while self.loads.get(1).is_some_and(|(from, _)| *from <= now) {
            self.loads.pop_front();
        }
    }
}
