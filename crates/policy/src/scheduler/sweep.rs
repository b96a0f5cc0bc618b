//! Frees what engines hold for programs that have ended.
//!
//! A program's home orders the engines to free the program when it ends, but the order can be lost
//! and the home can fail. So the host that runs an engine's queue also periodically compares the
//! programs that the engine lists with the programs that their homes know to have ended. That host
//! repeats the order to free a program for as long as the engine lists the program. Cache events
//! are not relied on, because they can be late or missing.

use std::collections::BTreeMap;

use camphorwalk_core::config::TargetKind;
use camphorwalk_core::ids::{HostId, PoolId, ProgramId, TargetId, ZoneId};
use camphorwalk_core::messages::ended_programs::{EndedPrograms, EndedQuery};
use camphorwalk_core::messages::{Body, PeerMessage};

use super::{Action, Scheduler};

/// The maximum number of an engine's programs that are checked each time its list is read, to bound
/// the size of messages. A longer list is checked in several passes.
const MAX_PROGRAMS_PER_QUERY: usize = 64;

impl Scheduler {
    /// Updates the set of engines that the runtime watches, if it has changed.
    pub(super) fn update_watched(&mut self, out: &mut Vec<Action>) {
        let watched = self.engines_queued_here();

        if watched != self.watched {
            self.watched.clone_from(&watched);
            out.push(Action::WatchEngines(watched));
        }
    }

    /// Returns the engines of this zone that belong to a pool whose queue this host runs.
    fn engines_queued_here(&self) -> Vec<TargetId> {
        let Some(config) = &self.state.config else {
            return Vec::new();
        };

        config
            .targets
            .iter()
            .filter(|t| t.kind == TargetKind::Engine)
            .filter(|t| ZoneId::from_name(&t.zone) == self.state.zone)
            .filter(|t| self.state.queue_host(PoolId::from_name(&t.pool)) == self.state.this_host)
            .map(|t| TargetId::from_name(&t.name))
            .collect()
    }

    /// Handles an engine's list of the programs that it holds data for.
    pub(super) fn on_held_programs(
        &mut self,
        target: TargetId,
        mut programs: Vec<ProgramId>,
        out: &mut Vec<Action>,
    ) {
        programs.sort_unstable();
        let position = self.sweep_positions.entry(target).or_insert(0);
        let start = if *position < programs.len() { *position } else { 0 };
        let checked: Vec<_> =
            programs.into_iter().skip(start).take(MAX_PROGRAMS_PER_QUERY).collect();
        *position = start + checked.len();

        // Each home gets one message. Programs whose home is not known now are checked in a later
        // pass.
        let mut by_home = BTreeMap::<HostId, Vec<ProgramId>>::new();
        for program in checked {
            let partition = program.partition(self.state.partitions());
            if let Some(home) = self.home_of(partition) {
                by_home.entry(home).or_default().push(program);
            }
        }
        for (home, programs) in by_home {
            if home == self.state.this_host {
                let ended = self.ended_programs(programs);
                self.free_ended(target, ended, out);
            } else {
                let query = EndedQuery { target: target.0, programs: to_bytes(&programs) };
                out.push(Action::Send { to: home, message: Body::EndedQuery(query).into() });
            }
        }
    }

    /// Answers another host's query about which programs have ended.
    pub(super) fn on_ended_query(
        &mut self,
        from: HostId,
        query: &EndedQuery,
        out: &mut Vec<Action>,
    ) {
        let ended = self.ended_programs(from_bytes(&query.programs));
        if ended.is_empty() {
            return;
        }

        let ended = EndedPrograms { target: query.target, programs: to_bytes(&ended) };
        let message: PeerMessage = Body::EndedPrograms(ended).into();
        out.push(Action::Send { to: from, message });
    }

    /// Orders an engine to free programs that have ended.
    pub(super) fn free_ended(
        &mut self,
        target: TargetId,
        programs: Vec<ProgramId>,
        out: &mut Vec<Action>,
    ) {
        out.extend(programs.into_iter().map(|program| Action::FreeProgramAt { target, program }));
    }

    /// Returns those of the programs that this host, as their home, knows to have ended.
    ///
    /// Programs of a partition whose journal has not been read completely are left out: such a
    /// program may be open although it has not been found yet.
    fn ended_programs(&self, mut programs: Vec<ProgramId>) -> Vec<ProgramId> {
        programs.retain(|program| self.programs.is_open(*program) == Some(false));

        programs
    }
}

fn to_bytes(programs: &[ProgramId]) -> Vec<Vec<u8>> {
    programs.iter().map(|program| program.0.to_be_bytes().to_vec()).collect()
}

/// Decodes program ids; malformed ones are skipped.
pub(super) fn from_bytes(programs: &[Vec<u8>]) -> Vec<ProgramId> {
    let read = |bytes: &Vec<u8>| <[u8; 16]>::try_from(bytes.as_slice()).ok();

    programs.iter().filter_map(read).map(|bytes| ProgramId(u128::from_be_bytes(bytes))).collect()
}
