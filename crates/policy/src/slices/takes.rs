//! Take requests to admission hosts, and the answers to those of other hosts.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use camphorwalk_core::hash::Map;
use camphorwalk_core::ids::{HostId, TenantId};
use camphorwalk_core::messages::slices::{TakeAnswer, TakeRequest};
use camphorwalk_core::time::Instant;

use super::{SliceTimes, TakeId};
use crate::shared_types::Verdict;

/// How long answers are stored for repeated requests, as a multiple of the take timeout.
///
/// The requester gives up after one timeout. A repeat that arrives after this time takes a token
/// that nobody uses.
const ANSWER_RETENTION_TIMEOUTS: u32 = 4;

/// A take request that waits for its answer.
#[derive(Clone, Copy, Debug)]
pub(super) struct PendingTake {
    pub(super) take: TakeId,
    pub(super) tenant: TenantId,
    admission_host: HostId,
    times_out_at: Instant,
    resend_at: Option<Instant>,
}

/// Identifies a take request by its host, the session of the host's process, and the request
/// number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct TakeKey {
    host: HostId,
    session: u64,
    number: u64,
}

/// The take requests that were sent, and the answers to received ones.
#[derive(Debug)]
pub(super) struct TakeRequests {
    session: u64,
    times: SliceTimes,
    pending: BTreeMap<u64, PendingTake>,
    /// The number of the last request.
    last_number: u64,
    answers: Map<TakeKey, TakeAnswer>,
    /// The expiry and key of each stored answer, oldest first.
    answer_expiries: VecDeque<(Instant, TakeKey)>,
}

impl TakeRequests {
    pub(super) fn new(session: u64, times: SliceTimes) -> Self {
        Self {
            session,
            times,
            pending: BTreeMap::new(),
            last_number: 0,
            answers: Map::default(),
            answer_expiries: VecDeque::new(),
        }
    }

    /// Creates a take request to a tenant's admission host.
    pub(super) fn start(
        &mut self,
        now: Instant,
        take: TakeId,
        tenant: TenantId,
        admission_host: HostId,
    ) -> TakeRequest {
        self.last_number += 1;

        let times_out_at = now + self.times.take_timeout;
        let resend_at = Some(now + self.times.take_resend_after);
        self.pending.insert(
            self.last_number,
            PendingTake { take, tenant, admission_host, times_out_at, resend_at },
        );

        self.request(self.last_number, tenant)
    }

    /// Returns and removes the request that an answer belongs to, unless it has already ended.
    pub(super) fn accept_answer(
        &mut self,
        from: HostId,
        answer: &TakeAnswer,
    ) -> Option<PendingTake> {
        let pending = self.pending.get(&answer.number)?;

        if answer.session != self.session || pending.admission_host != from {
            return None;
        }

        self.pending.remove(&answer.number)
    }

    /// Removes and returns the requests that timed out, and removes expired answers.
    pub(super) fn expire(&mut self, now: Instant) -> Vec<PendingTake> {
        while let Some((_, key)) = self.answer_expiries.pop_front_if(|(end, _)| *end <= now) {
            self.answers.remove(&key);
        }

        // Requests time out in the order in which they were sent.
        let mut timed_out = Vec::new();

        while let Some(first) = self.pending.first_entry()
            && first.get().times_out_at <= now
        {
            timed_out.push(first.remove());
        }

        timed_out
    }

    /// Returns the requests to send a second time, each with its admission host.
    pub(super) fn due_resends(&mut self, now: Instant) -> Vec<(HostId, TakeRequest)> {
        let mut due = Vec::new();

        for (number, pending) in &mut self.pending {
            if pending.resend_at.take_if(|at| *at <= now).is_some() {
                due.push((*number, pending.tenant, pending.admission_host));
            }
        }

        due.into_iter()
            .map(|(n, tenant, admission_host)| (admission_host, self.request(n, tenant)))
            .collect()
    }

    /// Returns the answer that was already given to a request.
    pub(super) fn previous_answer(
        &self,
        from: HostId,
        request: &TakeRequest,
    ) -> Option<TakeAnswer> {
        self.answers.get(&TakeKey::new(from, request)).copied()
    }

    /// Stores the answer to a request, so that a repeated request takes no second token.
    pub(super) fn record_answer(
        &mut self,
        now: Instant,
        from: HostId,
        request: &TakeRequest,
        verdict: Verdict,
    ) -> TakeAnswer {
        let (admitted, retry_after) = match verdict {
            Verdict::Admitted => (true, Duration::ZERO),
            Verdict::Refused { retry_after } => (false, retry_after),
        };
        let retry_after_us = u64::try_from(retry_after.as_micros()).unwrap_or(u64::MAX);
        let answer = TakeAnswer {
            session: request.session,
            number: request.number,
            admitted,
            retry_after_us,
        };

        let key = TakeKey::new(from, request);
        self.answers.insert(key, answer);
        self.answer_expiries
            .push_back((now + self.times.take_timeout * ANSWER_RETENTION_TIMEOUTS, key));

        answer
    }

    /// Returns when the next timeout or repetition is due.
    pub(super) fn wake_at(&self) -> Option<Instant> {
        let first = self.pending.values().next()?.times_out_at;
        let resends = self.pending.values().filter_map(|pending| pending.resend_at);

        resends.chain([first]).min()
    }

    fn request(&self, number: u64, tenant: TenantId) -> TakeRequest {
        TakeRequest { session: self.session, number, tenant: tenant.0 }
    }
}

impl TakeKey {
    fn new(host: HostId, request: &TakeRequest) -> Self {
        Self { host, session: request.session, number: request.number }
    }
}
