//! The baselines: first in, first out, with round robin or the least loaded target.
//!
//! They keep the same windows as the queues that they are compared with, refuse nothing, and
//! know neither tenants, classes nor prefixes.

use std::collections::{BTreeMap, VecDeque};

use camphorwalk_core::ids::TargetId;
use camphorwalk_policy::queue::{QueueAction, QueueEvent};
use camphorwalk_policy::shared_types::PlaceRequestId;

/// How a baseline chooses a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Choice {
    /// Each target in turn.
    RoundRobin,
    /// The target with the fewest calls in flight.
    LeastLoaded,
}

/// A first-in-first-out queue before several targets.
#[derive(Debug)]
pub struct Fifo {
    choice: Choice,
    window: u32,
    targets: Vec<(TargetId, u32)>,
    turn: usize,
    calls: VecDeque<PlaceRequestId>,
    places: BTreeMap<PlaceRequestId, usize>,
}

impl Fifo {
    /// Makes an empty queue before these targets.
    pub fn new(choice: Choice, window: u32, targets: &[TargetId]) -> Self {
        Self {
            choice,
            window,
            targets: targets.iter().map(|target| (*target, 0)).collect(),
            turn: 0,
            calls: VecDeque::new(),
            places: BTreeMap::new(),
        }
    }

    /// Takes in an event and appends what to do next to `out`.
    pub fn step(&mut self, event: &QueueEvent, out: &mut Vec<QueueAction>) {
        match event {
            QueueEvent::Request { request_id, .. } => self.calls.push_back(*request_id),
            QueueEvent::Release { request_id, .. } => self.vacate(*request_id),
            _ => return,
        }

        while let Some((request_id, at)) = self.next() {
            self.targets[at].1 += 1;
            self.places.insert(request_id, at);
            out.push(QueueAction::Grant { request_id, target: self.targets[at].0 });
        }
    }

    fn vacate(&mut self, request_id: PlaceRequestId) {
        match self.places.remove(&request_id) {
            Some(at) => self.targets[at].1 -= 1,
            None => self.calls.retain(|waiting| *waiting != request_id),
        }
    }

    fn next(&mut self) -> Option<(PlaceRequestId, usize)> {
        let at = match self.choice {
            Choice::RoundRobin => self.next_in_turn()?,
            Choice::LeastLoaded => self.least_loaded()?,
        };
        let request_id = self.calls.pop_front()?;
        self.turn = at + 1;

        Some((request_id, at))
    }

    fn next_in_turn(&self) -> Option<usize> {
        let count = self.targets.len();

        (0..count).map(|step| (self.turn + step) % count).find(|at| self.has_room(*at))
    }

    fn least_loaded(&self) -> Option<usize> {
        let free = (0..self.targets.len()).filter(|at| self.has_room(*at));

        free.min_by_key(|at| self.targets[*at].1)
    }

    fn has_room(&self, at: usize) -> bool {
        self.targets[at].1 < self.window
    }
}
