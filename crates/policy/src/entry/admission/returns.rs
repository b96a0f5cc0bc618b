//! When refused programs may return, and which of them have waited as told.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use camphorwalk_core::time::Instant;

use super::refused::{ProgramHash, RefusedProgram};
use crate::entry::recent::RecentMap;

/// The time constant of the rate of admitted starts: twice the longest Retry-After, so that the rate
/// holds for as long as the times that are computed from it.
const START_RATE_TIME_CONSTANT: Duration = Duration::from_secs(2);

/// The lowest rate of admitted starts that is assumed, per second. A host that has admitted none
/// yet learns only from callers that return whether there is room.
const MIN_START_RATE: f64 = 0.5;

/// The shortest Retry-After: most of the time for which a turn holds its place.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(150);

/// The longest Retry-After. Callers give up a call after one or two retries, and have a few seconds
/// for the whole program.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The fraction by which a Retry-After varies, so that programs that were refused together do not
/// return together.
const JITTER: f64 = 0.15;

/// The largest part of the time left until its deadline that a program is told to wait, but at least
/// [`MIN_RETRY_AFTER`]. A caller returns once or twice, and so loses a fifth of the program's time at
/// most; programs that start later end late even if targets have room for them.
const MAX_TOLD_PART: f64 = 0.1;

/// A caller waits no longer than this fraction of the time that it has left.
const MAX_PART_OF_TIME_LEFT: f64 = 1.0 / 3.0;

/// A program that returns after this fraction of the time that it was told counts as having waited:
/// the report of its refusal reaches other hosts rounded, and callers' timers are inexact.
const WAITED_PART: f64 = 0.8;

/// The number of refused programs that are remembered is at least this, and less than twice as many.
const MIN_REMEMBERED: usize = 2_048;

/// The largest number of programs that are counted as told to return. More than a host can start
/// within [`MAX_RETRY_AFTER`].
const MAX_EXPECTED: usize = 4_096;

/// A refusal is reported to other hosts for this long: by then most callers have returned.
const REPORT_TIME: Duration = Duration::from_secs(1);

/// The largest number of refusals in a status update.
pub(super) const MAX_REPORTED: usize = 64;

/// A new program whose start is refused.
#[derive(Clone, Copy, Debug)]
pub struct Refusal {
    /// The program, if its caller named it.
    pub program: Option<ProgramHash>,
    /// The rank of its calls.
    pub rank: u32,
    /// The time left until the program's deadline, if it has one; zero if that has passed.
    pub time_left: Option<Duration>,
    /// A random number from 0 to 1.
    pub random: f64,
}

/// How a new program arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Arrival {
    /// It is not known to have been refused.
    First,
    /// It returns earlier than it was told.
    Early,
    /// It returns at the time that it was told, or later.
    AsTold,
}

impl Arrival {
    /// Returns the name of the kind for logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::First => "first",
            Self::Early => "early",
            Self::AsTold => "as_told",
        }
    }
}

/// The rate at which this host admits starts.
#[derive(Clone, Copy, Debug, Default)]
struct StartRate {
    per_second: f64,
    at: Instant,
}

impl StartRate {
    fn record(&mut self, now: Instant) {
        let per_second = self.at(now) + 1.0 / START_RATE_TIME_CONSTANT.as_secs_f64();
        *self = Self { per_second, at: now };
    }

    fn at(&self, now: Instant) -> f64 {
        let age = now.since(self.at).as_secs_f64();

        self.per_second * (-age / START_RATE_TIME_CONSTANT.as_secs_f64()).exp()
    }
}

/// The refused programs that are to return.
#[derive(Clone, Debug)]
pub(super) struct Returns {
    start_rate: StartRate,
    /// The rank of each program that this host has told to return, by the time of its return
    /// without jitter, and a number.
    expected: BTreeMap<(Instant, u64), u32>,
    next_number: u64,
    refused: RecentMap<ProgramHash, RefusedProgram>,
    /// The programs that have not been reported yet, and when they were refused.
    unreported: VecDeque<(Instant, RefusedProgram)>,
}

impl Default for Returns {
    fn default() -> Self {
        Self {
            start_rate: StartRate::default(),
            expected: BTreeMap::new(),
            next_number: 0,
            refused: RecentMap::new(MIN_REMEMBERED),
            unreported: VecDeque::new(),
        }
    }
}

impl Returns {
    pub(super) fn record_start(&mut self, now: Instant) {
        self.start_rate.record(now);
    }

    /// Returns how many programs this host starts per second.
    pub(super) fn start_rate(&self, now: Instant) -> f64 {
        self.start_rate.at(now).max(MIN_START_RATE)
    }

    /// Returns when a refused program is to return, and remembers the program.
    pub(super) fn refuse(
        &mut self,
        now: Instant,
        refusal: Refusal,
        is_within_share: bool,
    ) -> Duration {
        let is_late = refusal.time_left.is_some_and(|left| left.is_zero());
        let after = match is_late {
            true => MAX_RETRY_AFTER,
            false => self.expect(now, refusal),
        };

        if let Some(program) = refusal.program {
            let longest = refusal.time_left.filter(|left| !left.is_zero());
            let longest = longest.map_or(after, |left| left.mul_f64(MAX_PART_OF_TIME_LEFT));
            let returns_from = now + after.min(longest).mul_f64(WAITED_PART);
            let refused = RefusedProgram { program, is_within_share, returns_from };
            self.refused.put(program, refused);
            self.unreported.push_back((now, refused));
            if self.unreported.len() > MAX_REPORTED {
                self.unreported.pop_front();
            }
        }
        after
    }

    /// Returns the time after which this host will have started the programs that it has told to
    /// return before that time, and adds the refused one to them.
    fn expect(&mut self, now: Instant, refusal: Refusal) -> Duration {
        // The jitter is part of the bounds, so that programs at a bound are spread, too.
        let shortest = MIN_RETRY_AFTER.as_secs_f64() / (1.0 - JITTER);
        let longest = MAX_RETRY_AFTER.as_secs_f64() / (1.0 + JITTER);
        let affordable = refusal.time_left.map(|left| left.as_secs_f64() * MAX_TOLD_PART);
        let longest = affordable.unwrap_or(longest).clamp(shortest, longest);
        let per_second = self.start_rate(now);
        let time_after = |ahead: u32| {
            Duration::from_secs_f64((f64::from(ahead + 1) / per_second).clamp(shortest, longest))
        };

        self.expected = self.expected.split_off(&(now, 0));
        let mut ahead = 0;
        for ((returns_at, _), rank) in &self.expected {
            if *returns_at > now + time_after(ahead) {
                break;
            }
            ahead += u32::from(*rank <= refusal.rank);
        }
        let after = time_after(ahead);
        if self.expected.len() < MAX_EXPECTED {
            self.expected.insert((now + after, self.next_number), refusal.rank);
            self.next_number += 1;
        }

        after.mul_f64(1.0 + JITTER * (2.0 * refusal.random.clamp(0.0, 1.0) - 1.0))
    }

    pub(super) fn record_remote(&mut self, refused: RefusedProgram) {
        let known = self.refused.get(&refused.program);

        // A program that was refused again is to return later than this report says.
        if known.is_none_or(|known| known.returns_from < refused.returns_from) {
            self.refused.put(refused.program, refused);
        }
    }

    pub(super) fn arrival(&self, now: Instant, program: Option<ProgramHash>) -> Arrival {
        match program.and_then(|program| self.refused.get(&program)) {
            None => Arrival::First,
            Some(refused) if now < refused.returns_from => Arrival::Early,
            Some(_) => Arrival::AsTold,
        }
    }

    /// Takes the programs refused within [`REPORT_TIME`] that have not been reported to the other
    /// hosts yet, the latest first.
    pub(super) fn take_updates(&mut self, now: Instant) -> Vec<RefusedProgram> {
        let unreported = std::mem::take(&mut self.unreported).into_iter().rev();
        let recent = unreported.take_while(|(at, _)| now.since(*at) < REPORT_TIME);

        recent.map(|(_, refused)| refused).collect()
    }
}
