//! Admission control for new programs, for a deployment with `Features::fair_admission`.

use camphorwalk_core::time::Instant;
use camphorwalk_policy::entry::admission::{
    Arrival, LatenessChange, LimitTerms, ProgramHash, Refusal as Refused, TurnCounts,
};
use camphorwalk_policy::entry::placement::{Choice, PlacementRequest, StartLimits};
use camphorwalk_policy::entry::rates::TenantUse;
use camphorwalk_policy::entry::waiting::Urgency;
use rand::Rng as _;
use tracing::info;

use crate::answer::{Answer, Refusal};
use crate::call::Call;
use crate::host::Shared;
use crate::{clock, places};

/// Returns whether a call is subject to admission control, whether it starts a program or not.
fn is_enabled(call: &Call) -> bool {
    call.shared.settings.features.fair_admission
}

/// Returns the limits up to which a call's program may start; `None` for those of its rank.
pub(crate) fn start_limits(call: &Call) -> Option<StartLimits> {
    let rank = call.new_program_rank().filter(|_| is_enabled(call))?;
    let limits = terms(call, tenant_use(call)).limits(rank);
    let label = rank.min(MAX_RANK_LABEL).to_string();
    call.shared.metrics.start_limit.with_label_values(&[&label]).set(limits.service);

    Some(limits)
}

/// Ranks from this one on share one label, so that the number of metrics is bounded.
const MAX_RANK_LABEL: u32 = 4;

/// Returns the urgency of a call, given the one without admission control.
pub(crate) fn urgency(call: &Call, usual: Urgency) -> Urgency {
    if !is_enabled(call) {
        return usual;
    }
    let has_waited = usual.is_new && arrival(call) == Arrival::AsTold;

    usual.by_return(has_waited)
}

fn terms(call: &Call, tenant: Option<TenantUse>) -> LimitTerms {
    let admission = call.shared.admission.borrow();

    admission.terms(clock::now(), &call.service, tenant, program(call))
}

fn arrival(call: &Call) -> Arrival {
    call.shared.admission.borrow().arrival(clock::now(), program(call))
}

fn tenant_use(call: &Call) -> Option<TenantUse> {
    let tenant = call.tenant.as_deref()?;

    call.shared.rates.borrow().tenant_use(tenant)
}

fn program(call: &Call) -> Option<ProgramHash> {
    let tenant = call.tenant.as_deref().unwrap_or_default();

    call.head.program.as_deref().map(|program| ProgramHash::new(tenant, program))
}

/// Records the arrival of a turn: of a new program, or of a running one that has a deadline.
pub(crate) fn record_turn(call: &Call) {
    if !is_enabled(call) {
        return;
    }

    if call.new_program_rank().is_some() {
        call.shared.metrics.returns.with_label_values(&[arrival(call).name()]).inc();
    } else if call.head.program_deadline.is_some() {
        let is_late = call.urgency().is_late;
        call.shared.admission.borrow_mut().record_turn(&call.service, is_late);
    }
}

/// Updates the limits by the turns that arrived. Called with each round of status updates.
pub(crate) fn tick(shared: &Shared, now: Instant) {
    if !shared.settings.features.fair_admission {
        return;
    }
    for change in shared.admission.borrow_mut().tick(now) {
        let LatenessChange { service, counts: TurnCounts { turns, late }, reduction } = change;
        info!(%service, turns, late, reduction, "admission: programs are late, or no longer");
    }
}

/// Records the outcome of a turn. If it starts a program and was refused for lack of room, returns
/// the refusal with the time at which there will be room.
pub(crate) fn handle_outcome(
    call: &Call,
    outcome: Result<Answer, Refusal>,
) -> Result<Answer, Refusal> {
    let Some(rank) = call.new_program_rank().filter(|_| is_enabled(call)) else { return outcome };

    match outcome {
        Ok(answer) => {
            call.shared.admission.borrow_mut().record_start(clock::now());
            Ok(answer)
        }
        Err(refusal) if refusal.reason == places::FULL_REASON => Err(refuse(call, rank, refusal)),
        Err(refusal) => Err(refusal),
    }
}

fn refuse(call: &Call, rank: u32, refusal: Refusal) -> Refusal {
    let (now, tenant) = (clock::now(), tenant_use(call));
    let terms = terms(call, tenant);
    let request = call.placement_request();
    let targets = call.shared.targets.borrow();
    let is_refused = |limits| {
        let request = PlacementRequest { start_limits: Some(limits), ..request.clone() };
        targets.choose(now, &call.service, &request) == Choice::Full
    };
    let term = terms.refused_by(rank, is_refused).name();
    let (slots, load) = targets.capacity(now, &call.service);
    call.shared.metrics.refused_starts.with_label_values(&[term]).inc();

    let time_left = call.head.program_deadline;
    let refused = Refused {
        program: program(call),
        rank,
        time_left: time_left.map(|left| left.saturating_sub(now.since(call.received_at))),
        random: rand::rng().random(),
    };
    let mut admission = call.shared.admission.borrow_mut();
    let start_rate = admission.start_rate(now);
    let retry_after = admission.refuse(now, tenant, refused);
    let limits = terms.limits(rank);
    info!(
        request = %call.head.request_id, program = call.head.program.as_deref(),
        tenant = call.tenant.as_deref(), service = %call.service, rank, term,
        part = tenant.map(|tenant| tenant.part), share = tenant.map(|tenant| tenant.share),
        excess = terms.excess, lateness = terms.lateness, has_waited = terms.has_waited,
        limit = limits.service, target_limit = limits.target, slots, load, start_rate,
        retry_after_ms = retry_after.as_millis() as u64, "admission: start refused"
    );

    Refusal { retry_after: Some(retry_after), ..refusal }
}
