//! Callers that are gone, and keys that are withdrawn.

use camphorwalk_core::calls::Executed;
use camphorwalk_core::ids::{KeyId, RequestOrigin};

use super::state::{Kind, Stage};
use super::{Cx, Programs, answers};
use crate::shared_types::CallId;

impl Programs {
    /// A caller is gone: nobody reads its answer.
    pub(super) fn caller_gone(&mut self, cx: &mut Cx<'_>, ticket: RequestOrigin) {
        for recovering in self.recovering.values_mut() {
            recovering.parked.retain(|parked| parked.ticket != ticket);
        }

        let Some(id) = self.tickets.remove(&ticket) else { return };
        let Some(call) = self.calls.get_mut(id) else { return };
        call.callers.retain(|caller| caller.ticket != ticket);

        self.caller_left(cx, id);
    }

    /// A key was withdrawn: its calls are ended as far as they can be.
    pub(super) fn key_withdrawn(&mut self, cx: &mut Cx<'_>, key: KeyId) {
        self.refuse_parked(cx, key);

        let calls: Vec<_> = self
            .calls
            .iter()
            .filter(|(_, call)| call.callers.iter().any(|caller| caller.key == key))
            .map(|(id, _)| id)
            .collect();

        for id in calls {
            self.withdraw(cx, id, key);
        }
    }

    /// Refuses the requests of a key that wait for their partition.
    fn refuse_parked(&mut self, cx: &mut Cx<'_>, key: KeyId) {
        let mut withdrawn = Vec::new();

        for recovering in self.recovering.values_mut() {
            withdrawn.extend(recovering.parked.extract_if(.., |parked| parked.key == key));
        }

        for parked in withdrawn {
            let ran = answers::ran_unseen(&parked.request);
            self.refuse(cx, parked.ticket, answers::unauthorized(ran));
        }
    }

    /// Answers a key's callers of a call, which goes on for others only.
    fn withdraw(&mut self, cx: &mut Cx<'_>, id: CallId, key: KeyId) {
        let call = &mut self.calls[id];
        let gone: Vec<_> = call.callers.extract_if(.., |caller| caller.key == key).collect();
        let unsent = call.callers.is_empty()
            && !call.may_have_run
            && !matches!(call.stage, Stage::Running | Stage::Recording);
        let ran = if unsent { Executed::No } else { Executed::Maybe };

        for caller in gone {
            self.refuse(cx, caller.ticket, answers::unauthorized(ran));
        }

        self.caller_left(cx, id);
    }

    /// Ends a call that nobody waits for any more, as far as it can be.
    fn caller_left(&mut self, cx: &mut Cx<'_>, id: CallId) {
        let call = &mut self.calls[id];

        // The call goes on under the key of one who still waits.
        if let Some(caller) = call.callers.first() {
            call.key = caller.key;
            return;
        }

        match call.stage {
            // What must not be repeated runs on, and is recorded.
            Stage::Running if matches!(call.kind, Kind::Turn { .. }) => {
                self.cancel_unwanted(cx, id);
            }
            Stage::Running | Stage::Recording => {}
            _ => self.drop_call(cx, id, answers::leaving()),
        }
    }
}
