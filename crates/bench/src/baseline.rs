//! The baselines: first in, first out, with round robin or the least loaded target.
//!
//! They keep the same windows as the queues that they are compared with, refuse nothing, and
//! know neither tenants, classes nor prefixes.

use std::collections::{BTreeMap, VecDeque};

use camphorwalk_core::ids::TargetId;
use camphorwalk_policy::queue::{QueueAction, QueueEvent};
use camphorwalk_policy::wire::Asker;

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
    calls: VecDeque<Asker>,
    places: BTreeMap<Asker, usize>,
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
            QueueEvent::Ask { asker, .. } => self.calls.push_back(*asker),
            QueueEvent::Vacate { asker, .. } => self.vacate(*asker),
            _ => return,
        }

        while let Some((asker, at)) = self.next() {
            self.targets[at].1 += 1;
            self.places.insert(asker, at);
            out.push(QueueAction::Grant { asker, target: self.targets[at].0 });
        }
    }

    fn vacate(&mut self, asker: Asker) {
        match self.places.remove(&asker) {
            Some(at) => self.targets[at].1 -= 1,
            None => self.calls.retain(|waiting| *waiting != asker),
        }
    }

    fn next(&mut self) -> Option<(Asker, usize)> {
        let at = match self.choice {
            Choice::RoundRobin => self.next_in_turn()?,
            Choice::LeastLoaded => self.least_loaded()?,
        };
        let asker = self.calls.pop_front()?;
        self.turn = at + 1;

        Some((asker, at))
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
