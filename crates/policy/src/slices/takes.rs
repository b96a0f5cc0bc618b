//! Questions to the pool hosts of tenants, and answers to those of other hosts.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use camphorwalk_core::hash::Map;
use camphorwalk_core::ids::{HostId, TenantId};
use camphorwalk_core::messages::slices::{TakeAnswer, TakeRequest};
use camphorwalk_core::time::Instant;

use super::{SliceTimes, TakeId};
use crate::shared_types::Verdict;

/// How long answers are kept for repeated questions, in timeouts of a question.
///
/// The asker gives up after one timeout; a repeat that comes later still takes a token
/// that nobody uses.
const REMEMBERED_TIMEOUTS: u32 = 4;

/// A question that waits for its answer.
#[derive(Clone, Copy, Debug)]
pub(super) struct Asked {
    pub(super) take: TakeId,
    pub(super) tenant: TenantId,
    pool: HostId,
    until: Instant,
    repeat_at: Option<Instant>,
}

/// A question of a host, by its process's session and the question's number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Asker {
    host: HostId,
    session: u64,
    number: u64,
}

/// The questions under way in both directions.
#[derive(Debug)]
pub(super) struct Takes {
    session: u64,
    times: SliceTimes,
    asked: BTreeMap<u64, Asked>,
    /// The last number given to a question.
    number: u64,
    answers: Map<Asker, TakeAnswer>,
    /// The keys of `answers`, oldest first, each with the end of its time.
    ends: VecDeque<(Instant, Asker)>,
}

impl Takes {
    pub(super) fn new(session: u64, times: SliceTimes) -> Self {
        Self {
            session,
            times,
            asked: BTreeMap::new(),
            number: 0,
            answers: Map::default(),
            ends: VecDeque::new(),
        }
    }

    /// Makes a question to a tenant's pool host.
    pub(super) fn ask(
        &mut self,
        now: Instant,
        take: TakeId,
        tenant: TenantId,
        pool: HostId,
    ) -> TakeRequest {
        self.number += 1;

        let until = now + self.times.take_timeout;
        let repeat_at = Some(now + self.times.take_repeat);
        self.asked.insert(self.number, Asked { take, tenant, pool, until, repeat_at });

        self.request(self.number, tenant)
    }

    /// Ends the question that a pool host answers, unless it is over already.
    pub(super) fn take_answer(&mut self, from: HostId, answer: &TakeAnswer) -> Option<Asked> {
        let asked = self.asked.get(&answer.number)?;

        if answer.session != self.session || asked.pool != from {
            return None;
        }

        self.asked.remove(&answer.number)
    }

    /// Ends and returns the questions whose time is over, and forgets old answers.
    pub(super) fn expire(&mut self, now: Instant) -> Vec<Asked> {
        while let Some((_, asker)) = self.ends.pop_front_if(|(end, _)| *end <= now) {
            self.answers.remove(&asker);
        }

        // Questions end in the order in which they were asked.
        let mut over = Vec::new();

        while let Some(first) = self.asked.first_entry()
            && first.get().until <= now
        {
            over.push(first.remove());
        }

        over
    }

    /// Returns the questions to be sent once more, each with its pool host.
    pub(super) fn repeats(&mut self, now: Instant) -> Vec<(HostId, TakeRequest)> {
        let mut due = Vec::new();

        for (number, asked) in &mut self.asked {
            if asked.repeat_at.take_if(|at| *at <= now).is_some() {
                due.push((*number, asked.tenant, asked.pool));
            }
        }

        due.into_iter().map(|(n, tenant, pool)| (pool, self.request(n, tenant))).collect()
    }

    /// Returns the answer that a question got before.
    pub(super) fn answered(&self, from: HostId, req: &TakeRequest) -> Option<TakeAnswer> {
        self.answers.get(&Asker::new(from, req)).copied()
    }

    /// Keeps the answer to a question, so that its repeat takes no second token.
    pub(super) fn remember(
        &mut self,
        now: Instant,
        from: HostId,
        req: &TakeRequest,
        verdict: Verdict,
    ) -> TakeAnswer {
        let (admitted, retry_after) = match verdict {
            Verdict::Admitted => (true, Duration::ZERO),
            Verdict::Refused { retry_after } => (false, retry_after),
        };
        let retry_after_us = u64::try_from(retry_after.as_micros()).unwrap_or(u64::MAX);
        let answer =
            TakeAnswer { session: req.session, number: req.number, admitted, retry_after_us };

        let asker = Asker::new(from, req);
        self.answers.insert(asker, answer);
        self.ends.push_back((now + self.times.take_timeout * REMEMBERED_TIMEOUTS, asker));

        answer
    }

    /// Returns when something is due.
    pub(super) fn wake_at(&self) -> Option<Instant> {
        let first = self.asked.values().next()?.until;
        let repeats = self.asked.values().filter_map(|asked| asked.repeat_at);

        repeats.chain([first]).min()
    }

    fn request(&self, number: u64, tenant: TenantId) -> TakeRequest {
        TakeRequest { session: self.session, number, tenant: tenant.0 }
    }
}

impl Asker {
    fn new(host: HostId, req: &TakeRequest) -> Self {
        Self { host, session: req.session, number: req.number }
    }
}
