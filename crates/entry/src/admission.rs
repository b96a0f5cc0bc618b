//! Admission control for new programs, for a deployment with `Features::fair_admission`.

use camphorwalk_policy::entry::admission::LimitTerms;
use camphorwalk_policy::entry::placement::StartLimits;
use camphorwalk_policy::entry::rates::TenantUse;

use crate::answer::Refusal;
use crate::call::Call;
use crate::{clock, places};

/// Returns the limits up to which a call's program may start; `None` for those of its rank.
pub(crate) fn start_limits(call: &Call) -> Option<StartLimits> {
    let rank = call.new_program_rank().filter(|_| call.shared.settings.features.fair_admission)?;

    Some(terms(call, tenant_use(call)).limits(rank))
}

fn terms(call: &Call, tenant: Option<TenantUse>) -> LimitTerms {
    call.shared.admission.borrow().terms(clock::now(), &call.service, tenant)
}

fn tenant_use(call: &Call) -> Option<TenantUse> {
    let tenant = call.tenant.as_deref()?;

    call.shared.rates.borrow().tenant_use(tenant)
}

/// Counts a turn if it is one of a running program that has a deadline.
pub(crate) fn record_turn(call: &Call) {
    let is_enabled = call.shared.settings.features.fair_admission;

    if is_enabled && call.new_program_rank().is_none() && call.head.program_deadline.is_some() {
        let is_late = call.urgency().is_late;
        call.shared.admission.borrow_mut().record_turn(&call.service, is_late);
    }
}

/// Handles the refusal of a call, which starts a program if it was refused for lack of room.
pub(crate) fn handle_refusal(call: &Call, refusal: Refusal) -> Refusal {
    let is_enabled = call.shared.settings.features.fair_admission;
    if !is_enabled || call.new_program_rank().is_none() || refusal.reason != places::FULL_REASON {
        return refusal;
    }
    let (now, tenant) = (clock::now(), tenant_use(call));
    call.shared.admission.borrow_mut().record_refused(now, tenant);

    refusal
}
