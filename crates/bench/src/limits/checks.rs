//! Invariants of token grants and answers to take requests. A take request asks for a token for one
//! call. The host at which the call enters answers it itself, or forwards it to the tenant's
//! admission host, to which other hosts lend the tenant's slices.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use camphorwalk_core::config::Config;
use camphorwalk_core::ids::TenantId;
use camphorwalk_core::messages::slices::{SliceBody, TakeAnswer, TakeRequest};
use camphorwalk_policy::shared_types::Verdict;
use camphorwalk_policy::slices::{SliceAction, SliceEvent, TakeId};

use super::bucket::ExactBucket;
use super::fleet::SECOND;

/// The maximum clock drift of simulated hosts. Rates are only as exact as the clocks.
pub(super) const DRIFT_PPM: i64 = 5_000;

/// The drift that the oracle tolerates: slightly more, because clocks are rounded to microseconds.
const RATE_PPM: f64 = DRIFT_PPM as f64 + 10.0;

/// How long a slice may be used with a former rate and burst, in microseconds. Running hosts
/// receive a new configuration at once, but a loan keeps the former share until it expires.
const CHANGE_SLACK: u64 = 3 * SECOND + SECOND / 5;

/// A take request at its entry host, the host at which the call entered.
#[derive(Clone, Copy, Debug)]
struct PendingTake {
    host: usize,
    tenant: TenantId,
}

/// Identifies a take request sent to an admission host: session and number.
type TakeKey = (u64, u64);

/// The oracle: one exact bucket for each tenant, and one answer for each take request.
///
/// A token counts at the time and host where it is taken. Its answer may reach the entry host
/// later, or never.
#[derive(Debug)]
pub(super) struct Checks {
    cfg: Arc<Config>,
    /// Former configurations, each with the time at which it was replaced.
    former_configs: Vec<(u64, Arc<Config>)>,
    pending: BTreeMap<TakeId, PendingTake>,
    answered: BTreeSet<TakeId>,
    requests: BTreeMap<TakeKey, (TakeId, TenantId)>,
    /// Take requests for which an admission host took a token.
    granted: BTreeSet<TakeKey>,
    buckets: BTreeMap<TenantId, ExactBucket>,
    /// When tokens were taken, by tenant.
    pub(super) taken: BTreeMap<TenantId, Vec<u64>>,
}

impl Checks {
    pub(super) fn new(cfg: Arc<Config>) -> Self {
        Self {
            cfg,
            former_configs: vec![],
            pending: BTreeMap::new(),
            answered: BTreeSet::new(),
            requests: BTreeMap::new(),
            granted: BTreeSet::new(),
            buckets: BTreeMap::new(),
            taken: BTreeMap::new(),
        }
    }

    /// Records a new configuration.
    pub(super) fn record_config(&mut self, now: u64, cfg: Arc<Config>) {
        let former = std::mem::replace(&mut self.cfg, cfg);
        self.former_configs.push((now, former));
    }

    /// Records a call that enters at a host.
    pub(super) fn record_call(&mut self, take: TakeId, host: usize, tenant: TenantId) {
        self.pending.insert(take, PendingTake { host, tenant });
    }

    /// Discards the open take requests of a host that died, as its callers are gone.
    pub(super) fn discard_pending(&mut self, host: usize) {
        self.pending.retain(|_, pending| pending.host != host);
    }

    /// Checks the actions of a host after an event. Returns the tenants of the take requests that
    /// it answered, each with whether the call was admitted.
    pub(super) fn record_actions(
        &mut self,
        now: u64,
        event: &SliceEvent,
        out: &[SliceAction],
    ) -> Vec<(TenantId, bool)> {
        let mut verdicts = Vec::new();

        for action in out {
            match action {
                SliceAction::Send { message, .. } => self.record_message(now, event, &message.body),
                SliceAction::Verdict { take, verdict } => {
                    let admitted = *verdict == Verdict::Admitted;
                    let tenant = self.record_verdict(now, event, *take, admitted);
                    verdicts.extend(tenant.map(|tenant| (tenant, admitted)));
                }
            }
        }

        verdicts
    }

    fn record_message(&mut self, now: u64, event: &SliceEvent, body: &Option<SliceBody>) {
        match (event, body) {
            (SliceEvent::Take { take, tenant }, Some(SliceBody::Take(req))) => {
                let TakeRequest { session, number, .. } = *req;
                self.requests.entry((session, number)).or_insert((*take, *tenant));
            }
            (_, Some(SliceBody::Answer(answer))) if answer.admitted => {
                let key = key_of(answer);

                if let Some((_, tenant)) = self.requests.get(&key).copied()
                    && self.granted.insert(key)
                {
                    self.take_token(now, tenant);
                }
            }
            _ => {}
        }
    }

    fn record_verdict(
        &mut self,
        now: u64,
        event: &SliceEvent,
        take: TakeId,
        admitted: bool,
    ) -> Option<TenantId> {
        let pending = self.pending.remove(&take);
        assert!(self.answered.insert(take), "{take:?} was answered twice");
        let tenant = pending?.tenant;

        // The token behind the answer of an admission host was counted when that host took it.
        let granted = key_of_granted(event).and_then(|key| self.requests.get(&key));

        if admitted && granted.is_none_or(|(granted, _)| *granted != take) {
            self.take_token(now, tenant);
        }

        Some(tenant)
    }

    /// Asserts that each take request was answered if the process of its entry host runs.
    pub(super) fn assert_all_answered(&self, runs: impl Fn(usize) -> bool) {
        let open: Vec<_> = self.pending.values().filter(|pending| runs(pending.host)).collect();

        assert!(open.is_empty(), "take requests without an answer: {open:?}");
    }

    /// Takes a token from the tenant's exact bucket, and asserts that the bucket had one.
    ///
    /// For some time after a configuration change, slices may have their old or their new share.
    /// The bucket then has the larger of both rates and of both bursts.
    fn take_token(&mut self, now: u64, tenant: TenantId) {
        self.taken.entry(tenant).or_default().push(now);

        let (_, burst) = self.max_rate_and_burst(tenant, 0);
        let mut bucket = self.buckets.remove(&tenant).unwrap_or(ExactBucket::full(burst));

        let ends = self.former_configs.iter().map(|(end, _)| *end);
        let mut changes: Vec<u64> = ends.flat_map(|end| [end, end + CHANGE_SLACK]).collect();
        changes.retain(|at| bucket.at() < *at && *at < now);
        changes.sort_unstable();

        for at in changes {
            let (rate, burst) = self.max_rate_and_burst(tenant, bucket.at());
            bucket.refill(at, rate, burst);
        }

        let (rate, burst) = self.max_rate_and_burst(tenant, bucket.at());
        assert!(
            bucket.take(now, rate, burst),
            "more than {rate}/s and a burst of {burst} at {now}"
        );
        self.buckets.insert(tenant, bucket);
    }

    /// Returns the largest rate and burst of a tenant that may be in use at a time.
    fn max_rate_and_burst(&self, tenant: TenantId, at: u64) -> (f64, u32) {
        let last = (u64::MAX - CHANGE_SLACK, self.cfg.clone());
        let mut start = 0;
        let (mut rate, mut burst) = (0.0_f64, 0);

        for (end, cfg) in self.former_configs.iter().chain([&last]) {
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

fn key_of(answer: &TakeAnswer) -> TakeKey {
    (answer.session, answer.number)
}

/// Returns the take request that an event answers with a token.
fn key_of_granted(event: &SliceEvent) -> Option<TakeKey> {
    match event {
        SliceEvent::Message { message, .. } => match &message.body {
            Some(SliceBody::Answer(answer)) if answer.admitted => Some(key_of(answer)),
            _ => None,
        },
        _ => None,
    }
}
