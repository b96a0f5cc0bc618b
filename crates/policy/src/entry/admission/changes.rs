//! What a host reports to the others about the programs that start and run there.

use camphorwalk_core::hash::Map;

use super::lateness::TurnCounts;
use super::refused::RefusedProgram;
use super::returns::MAX_REPORTED;
use crate::entry::status_exchange::Merge;

/// What has changed since the last status update.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AdmissionChanges {
    /// The turns of running programs, by service.
    pub turns: Map<Box<str>, TurnCounts>,
    /// The programs whose start was refused, the latest first.
    pub refused: Vec<RefusedProgram>,
}

impl AdmissionChanges {
    /// Returns the changes for hosts of other zones, to which refused programs do not return.
    pub fn for_other_zones(self) -> Self {
        Self { refused: Vec::new(), ..self }
    }
}

impl Merge for AdmissionChanges {
    fn merge(&mut self, later: Self) {
        for (service, counts) in later.turns {
            self.turns.entry(service).or_default().add(counts);
        }
        self.refused.splice(..0, later.refused);
        self.refused.truncate(MAX_REPORTED);
    }

    /// Returns nothing: receivers add up the turns, and the time until a program's return would be
    /// counted from the wrong moment.
    fn into_repeatable(self) -> Self {
        Self::default()
    }
}
