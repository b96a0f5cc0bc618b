//! The baselines: first-in-first-out queues with round-robin or least-loaded target selection.
//!
//! They use the same window (the maximum number of calls in flight at a target) as the queues they
//! are compared with, refuse nothing, and ignore tenants, classes and cached prefixes.

use std::collections::{BTreeMap, VecDeque};

use camphorwalk_core::ids::TargetId;
use camphorwalk_policy::queue::{QueueAction, QueueEvent};
use camphorwalk_policy::shared_types::PlaceRequestId;

/// How a baseline selects a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetSelection {
    /// Each target in turn.
    RoundRobin,
    /// The target with the fewest calls in flight.
    LeastLoaded,
}

/// A first-in-first-out queue in front of several targets.
#[derive(Debug)]
pub struct Fifo {
    selection: TargetSelection,
    window: u32,
    targets: Vec<(TargetId, u32)>,
    next_index: usize,
    waiting: VecDeque<PlaceRequestId>,
    granted: BTreeMap<PlaceRequestId, usize>,
}

impl Fifo {
    /// Creates an empty queue in front of these targets.
    pub fn new(selection: TargetSelection, window: u32, targets: &[TargetId]) -> Self {
        Self {
            selection,
            window,
            targets: targets.iter().map(|target| (*target, 0)).collect(),
            next_index: 0,
            waiting: VecDeque::new(),
            granted: BTreeMap::new(),
        }
    }

    /// Processes an event and appends the resulting actions to `out`.
    pub fn step(&mut self, event: &QueueEvent, out: &mut Vec<QueueAction>) {
        match event {
            QueueEvent::Request { request_id, .. } => self.waiting.push_back(*request_id),
            QueueEvent::Release { request_id, .. } => self.release(*request_id),
            _ => return,
        }

        while let Some((request_id, at)) = self.next_grant() {
            self.targets[at].1 += 1;
            self.granted.insert(request_id, at);
            out.push(QueueAction::Grant { request_id, target: self.targets[at].0 });
        }
    }

    fn release(&mut self, request_id: PlaceRequestId) {
        match self.granted.remove(&request_id) {
            Some(at) => self.targets[at].1 -= 1,
            None => self.waiting.retain(|waiting| *waiting != request_id),
        }
    }

    fn next_grant(&mut self) -> Option<(PlaceRequestId, usize)> {
        let at = match self.selection {
            TargetSelection::RoundRobin => self.next_in_turn()?,
            TargetSelection::LeastLoaded => self.least_loaded()?,
        };
        let request_id = self.waiting.pop_front()?;
        self.next_index = at + 1;

        Some((request_id, at))
    }

    fn next_in_turn(&self) -> Option<usize> {
        let count = self.targets.len();

        (0..count).map(|step| (self.next_index + step) % count).find(|at| self.has_room(*at))
    }

    fn least_loaded(&self) -> Option<usize> {
        let free = (0..self.targets.len()).filter(|at| self.has_room(*at));

        free.min_by_key(|at| self.targets[*at].1)
    }

    fn has_room(&self, at: usize) -> bool {
        self.targets[at].1 < self.window
    }
}
