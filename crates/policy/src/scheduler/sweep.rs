//! Frees what engines hold for programs that are over.
//!
//! The home orders it when a program ends, but that order can be lost, and the home itself can
//! die. So the host that keeps an engine's queue also compares, at a steady pace, what the
//! engine says it holds with what the homes say is open. An order to free is repeated for as
//! long as the engine's own list shows the program; no event is relied on, since events come
//! late and with gaps.

use std::collections::BTreeMap;

use camphorwalk_core::config::TargetKind;
use camphorwalk_core::ids::{HostId, PoolId, ProgramId, TargetId, ZoneId};
use camphorwalk_core::messages::ended_programs::{EndedPrograms, EndedQuery};
use camphorwalk_core::messages::{Body, PeerMessage};

use super::{Action, Scheduler};

/// The most programs of one engine that are asked about each time its list is read: bounds
/// the bytes. An engine that holds more is worked through in turns.
const MOST_ASKED: usize = 64;

impl Scheduler {
    /// Tells the runtime which engines this host watches, if that has changed.
    pub(super) fn update_watched(&mut self, out: &mut Vec<Action>) {
        let watched = self.engines_kept_here();

        if watched != self.watched {
            self.watched.clone_from(&watched);
            out.push(Action::WatchEngines(watched));
        }
    }

    /// Returns the engines of this zone whose pool's queue this host keeps.
    fn engines_kept_here(&self) -> Vec<TargetId> {
        let Some(config) = &self.state.config else {
            return Vec::new();
        };

        config
            .targets
            .iter()
            .filter(|t| t.kind == TargetKind::Engine)
            .filter(|t| ZoneId::from_name(&t.zone) == self.state.zone)
            .filter(|t| self.state.keeper(PoolId::from_name(&t.pool)) == self.state.me)
            .map(|t| TargetId::from_name(&t.name))
            .collect()
    }

    /// An engine says which programs it holds something for.
    pub(super) fn on_held(
        &mut self,
        target: TargetId,
        mut programs: Vec<ProgramId>,
        out: &mut Vec<Action>,
    ) {
        programs.sort_unstable();
        let turn = self.held_turns.entry(target).or_insert(0);
        let start = if *turn < programs.len() { *turn } else { 0 };
        let asked: Vec<_> = programs.into_iter().skip(start).take(MOST_ASKED).collect();
        *turn = start + asked.len();

        // One message for each home; a home that is not known now is asked next time.
        let mut by_home = BTreeMap::<HostId, Vec<ProgramId>>::new();
        for program in asked {
            let partition = program.partition(self.state.partitions());
            if let Some(home) = self.home_of(partition) {
                by_home.entry(home).or_default().push(program);
            }
        }
        for (home, programs) in by_home {
            if home == self.state.me {
                let over = self.over_of(programs);
                self.on_over(target, over, out);
            } else {
                let ask = EndedQuery { target: target.0, programs: to_bytes(&programs) };
                out.push(Action::Send { to: home, message: Body::EndedQuery(ask).into() });
            }
        }
    }

    /// Another host asks which programs are over.
    pub(super) fn on_ask_live(&mut self, from: HostId, ask: &EndedQuery, out: &mut Vec<Action>) {
        let over = self.over_of(from_bytes(&ask.programs));
        if over.is_empty() {
            return;
        }

        let over = EndedPrograms { target: ask.target, programs: to_bytes(&over) };
        let message: PeerMessage = Body::EndedPrograms(over).into();
        out.push(Action::Send { to: from, message });
    }

    /// These programs are over, and an engine still holds something for them.
    pub(super) fn on_over(
        &mut self,
        target: TargetId,
        programs: Vec<ProgramId>,
        out: &mut Vec<Action>,
    ) {
        out.extend(programs.into_iter().map(|program| Action::FreeProgramAt { target, program }));
    }

    /// Returns those of the programs that this host, as their home, knows to be over.
    ///
    /// About a partition whose journal is not read to its end it says nothing: a program that
    /// is not found there yet may well be open.
    fn over_of(&self, mut programs: Vec<ProgramId>) -> Vec<ProgramId> {
        programs.retain(|program| self.programs.is_open(*program) == Some(false));

        programs
    }
}

fn to_bytes(programs: &[ProgramId]) -> Vec<Vec<u8>> {
    programs.iter().map(|program| program.0.to_be_bytes().to_vec()).collect()
}

/// Reads program ids; what is not one is left out.
pub(super) fn from_bytes(programs: &[Vec<u8>]) -> Vec<ProgramId> {
    let read = |bytes: &Vec<u8>| <[u8; 16]>::try_from(bytes.as_slice()).ok();

    programs.iter().filter_map(read).map(|bytes| ProgramId(u128::from_be_bytes(bytes))).collect()
}
