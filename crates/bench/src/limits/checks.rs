//! What must hold of each token that is taken and each question that is answered.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use camphorwalk_core::config::Config;
use camphorwalk_core::ids::TenantId;
use camphorwalk_core::messages::slices::{SliceBody, TakeAnswer, TakeRequest};
use camphorwalk_policy::shared_types::Verdict;
use camphorwalk_policy::slices::{SliceAction, SliceEvent, TakeId};

use super::bucket::ExactBucket;
use super::fleet::SECOND;

/// How far clocks are off, at most. Rates are as exact as the clocks.
pub(super) const DRIFT_PPM: i64 = 5_000;

/// What the oracle allows for that: a little more, as clocks round to microseconds.
const RATE_PPM: f64 = DRIFT_PPM as f64 + 10.0;

/// How long a slice may go on with a former rate and burst, in microseconds: hosts of the
/// fleet hear of a configuration at once, and a loan ends by itself.
const CHANGE_SLACK: u64 = 3 * SECOND + SECOND / 5;

/// A question at its entry host.
#[derive(Clone, Copy, Debug)]
struct Asked {
    host: usize,
    tenant: TenantId,
}

/// A take request on its way to an admission host: session and number.
type Question = (u64, u64);

/// The oracle: one exact bucket for each tenant, and one answer for each question.
///
/// A token counts when it is taken, where it is taken; its answer may reach the entry host
/// later, or never.
#[derive(Debug)]
pub(super) struct Checks {
    cfg: Arc<Config>,
    /// Former configurations, each with its end.
    former: Vec<(u64, Arc<Config>)>,
    asked: BTreeMap<TakeId, Asked>,
    answered: BTreeSet<TakeId>,
    questions: BTreeMap<Question, (TakeId, TenantId)>,
    /// Take requests for which an admission host took a token.
    granted: BTreeSet<Question>,
    oracles: BTreeMap<TenantId, ExactBucket>,
    /// When tokens were taken.
    pub(super) taken: BTreeMap<TenantId, Vec<u64>>,
}

impl Checks {
    pub(super) fn new(cfg: Arc<Config>) -> Self {
        Self {
            cfg,
            former: vec![],
            asked: BTreeMap::new(),
            answered: BTreeSet::new(),
            questions: BTreeMap::new(),
            granted: BTreeSet::new(),
            oracles: BTreeMap::new(),
            taken: BTreeMap::new(),
        }
    }

    /// Notes another configuration.
    pub(super) fn configure(&mut self, now: u64, cfg: Arc<Config>) {
        let former = std::mem::replace(&mut self.cfg, cfg);
        self.former.push((now, former));
    }

    /// Notes a call that enters at a host.
    pub(super) fn ask(&mut self, take: TakeId, host: usize, tenant: TenantId) {
        self.asked.insert(take, Asked { host, tenant });
    }

    /// Forgets the callers of a host that died.
    pub(super) fn forget(&mut self, host: usize) {
        self.asked.retain(|_, asked| asked.host != host);
    }

    /// Notes what a host does next after an event. Returns the tenants of the questions that
    /// it answered, each with whether it was admitted.
    pub(super) fn note(
        &mut self,
        now: u64,
        event: &SliceEvent,
        out: &[SliceAction],
    ) -> Vec<(TenantId, bool)> {
        let mut verdicts = Vec::new();

        for next in out {
            match next {
                SliceAction::Send { message, .. } => self.note_message(now, event, &message.body),
                SliceAction::Verdict { take, verdict } => {
                    let admitted = *verdict == Verdict::Admitted;
                    let tenant = self.note_verdict(now, event, *take, admitted);
                    verdicts.extend(tenant.map(|tenant| (tenant, admitted)));
                }
            }
        }

        verdicts
    }

    fn note_message(&mut self, now: u64, event: &SliceEvent, body: &Option<SliceBody>) {
        match (event, body) {
            (SliceEvent::Take { take, tenant }, Some(SliceBody::Take(req))) => {
                let TakeRequest { session, number, .. } = *req;
                self.questions.entry((session, number)).or_insert((*take, *tenant));
            }
            (_, Some(SliceBody::Answer(answer))) if answer.admitted => {
                let question = question_of(answer);

                if let Some((_, tenant)) = self.questions.get(&question).copied()
                    && self.granted.insert(question)
                {
                    self.take_token(now, tenant);
                }
            }
            _ => {}
        }
    }

    fn note_verdict(
        &mut self,
        now: u64,
        event: &SliceEvent,
        take: TakeId,
        admitted: bool,
    ) -> Option<TenantId> {
        let asked = self.asked.remove(&take);
        assert!(self.answered.insert(take), "{take:?} was answered twice");
        let tenant = asked?.tenant;

        // The admission host's answer brings a token that was counted there.
        let granted = granted_by(event).and_then(|question| self.questions.get(&question));

        if admitted && granted.is_none_or(|(granted, _)| *granted != take) {
            self.take_token(now, tenant);
        }

        Some(tenant)
    }

    /// Asserts that each question was answered whose entry host runs.
    pub(super) fn assert_all_answered(&self, runs: impl Fn(usize) -> bool) {
        let open: Vec<_> = self.asked.values().filter(|asked| runs(asked.host)).collect();

        assert!(open.is_empty(), "questions without an answer: {open:?}");
    }

    /// Asserts that a token fits one bucket of the tenant's rate and burst.
    ///
    /// For a while after a change slices may have their old share or their new one: the
    /// bucket then has the larger rate and the larger burst.
    fn take_token(&mut self, now: u64, tenant: TenantId) {
        self.taken.entry(tenant).or_default().push(now);

        let (_, burst) = self.figures(tenant, 0);
        let mut oracle = self.oracles.remove(&tenant).unwrap_or(ExactBucket::full(burst));

        let ends = self.former.iter().map(|(end, _)| *end);
        let mut changes: Vec<u64> = ends.flat_map(|end| [end, end + CHANGE_SLACK]).collect();
        changes.retain(|at| oracle.at() < *at && *at < now);
        changes.sort_unstable();

        for at in changes {
            let (rate, burst) = self.figures(tenant, oracle.at());
            oracle.refill(at, rate, burst);
        }

        let (rate, burst) = self.figures(tenant, oracle.at());
        assert!(oracle.take(now, rate, burst), "over {rate}/s and {burst} at {now}");
        self.oracles.insert(tenant, oracle);
    }

    /// Returns the largest rate and burst of a tenant that may be in use at a time.
    fn figures(&self, tenant: TenantId, at: u64) -> (f64, u32) {
        let last = (u64::MAX - CHANGE_SLACK, self.cfg.clone());
        let mut start = 0;
        let (mut rate, mut burst) = (0.0_f64, 0);

        for (end, cfg) in self.former.iter().chain([&last]) {
            let in_use = start <= at && at < end + CHANGE_SLACK;
            let named = |name: &str| TenantId::from_name(name) == tenant;
            start = *end;

            for t in cfg.tenants.iter().filter(|t| in_use && named(&t.name)) {
                rate = rate.max(t.rate_per_second * (1.0 + RATE_PPM / 1e6));
                burst = burst.max(t.burst);
            }
        }

        (rate, burst)
    }
}

fn question_of(answer: &TakeAnswer) -> Question {
    (answer.session, answer.number)
}

/// Returns the question that an event answers with a token.
fn granted_by(event: &SliceEvent) -> Option<Question> {
    match event {
        SliceEvent::Message { message, .. } => match &message.body {
            Some(SliceBody::Answer(answer)) if answer.admitted => Some(question_of(answer)),
            _ => None,
        },
        _ => None,
    }
}
