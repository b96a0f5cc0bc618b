//! Handling of callers that disconnected and of API keys that were withdrawn.

use camphorwalk_core::calls::Executed;
use camphorwalk_core::ids::{KeyId, RequestOrigin};

use super::state::{Stage, WorkKind};
use super::{Programs, StepContext, refusals};
use crate::shared_types::CallId;

impl Programs {
    /// Handles a caller that disconnected.
    pub(super) fn caller_gone(&mut self, cx: &mut StepContext<'_>, origin: RequestOrigin) {
        for recovering in self.recovering.values_mut() {
            recovering.parked.retain(|parked| parked.origin != origin);
        }

        let Some(id) = self.calls_by_origin.remove(&origin) else { return };
        let Some(call) = self.calls.get_mut(id) else { return };
        call.callers.retain(|caller| caller.origin != origin);

        self.caller_left(cx, id);
    }

    /// Ends the calls of an API key that was withdrawn, as far as they can be ended.
    pub(super) fn key_withdrawn(&mut self, cx: &mut StepContext<'_>, key: KeyId) {
        self.refuse_parked(cx, key);

        let calls: Vec<_> = self
            .calls
            .iter()
            .filter(|(_, call)| call.callers.iter().any(|caller| caller.key == key))
            .map(|(id, _)| id)
            .collect();

        for id in calls {
            self.refuse_callers_of_key(cx, id, key);
        }
    }

    /// Refuses the parked requests of an API key.
    fn refuse_parked(&mut self, cx: &mut StepContext<'_>, key: KeyId) {
        let mut withdrawn = Vec::new();

        for recovering in self.recovering.values_mut() {
            withdrawn.extend(recovering.parked.extract_if(.., |parked| parked.key == key));
        }

        for parked in withdrawn {
            let ran = refusals::ran_if_not_looked_up(&parked.request);
            self.refuse(cx, parked.origin, refusals::unauthorized(ran));
        }
    }

    /// Refuses those callers of a call that use this API key. The call continues for its other
    /// callers; if there are none, it ends if it can be ended.
    fn refuse_callers_of_key(&mut self, cx: &mut StepContext<'_>, id: CallId, key: KeyId) {
        let call = &mut self.calls[id];
        let gone: Vec<_> = call.callers.extract_if(.., |caller| caller.key == key).collect();
        let unsent = call.callers.is_empty()
            && !call.may_have_run
            && !matches!(call.stage, Stage::Running | Stage::JournalingOutcome);
        let ran = if unsent { Executed::No } else { Executed::Maybe };

        for caller in gone {
            self.refuse(cx, caller.origin, refusals::unauthorized(ran));
        }

        self.caller_left(cx, id);
    }

    /// Ends a call that has no callers left, if it can be ended.
    fn caller_left(&mut self, cx: &mut StepContext<'_>, id: CallId) {
        let call = &mut self.calls[id];

        // The call continues under the API key of a remaining caller.
        if let Some(caller) = call.callers.first() {
            call.key = caller.key;
            return;
        }

        match call.stage {
            // Only model turns are cancelled. Service operations run to their end, so that the
            // outcome of one that must not be repeated is recorded.
            Stage::Running if matches!(call.kind, WorkKind::Turn { .. }) => {
                self.cancel_unwanted(cx, id);
            }
            Stage::Running | Stage::JournalingOutcome => {}
            _ => self.abandon_call(cx, id, refusals::home_moving()),
        }
    }
}
