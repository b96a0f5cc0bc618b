//! How the platform stand-in handles requests, set for all availability zones or for single ones.

use std::time::Duration;

use camphorwalk_core::hash::Map;
use serde::Deserialize;
use serde_with::{DurationMilliSeconds, serde_as};

/// How requests are handled.
#[serde_as]
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(tag = "mode", rename_all = "snake_case")]
pub enum Mode {
    /// Requests are answered normally.
    #[default]
    Ok,
    /// Requests are refused with 503 at once and have no effect.
    Refuse,
    /// Requests take effect and are answered after a delay. They take effect even if the client
    /// disconnects in the meantime.
    Slow {
        /// The time before the request takes effect.
        #[serde_as(as = "DurationMilliSeconds<u64>")]
        #[serde(rename = "delay_ms")]
        delay: Duration,
    },
    /// Requests take effect, and then the connection is closed without an answer.
    DropAnswers,
    /// Requests have no effect and are never answered.
    Hang,
}

/// A request to change the mode.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct ModeSetting {
    /// The new mode.
    #[serde(flatten)]
    pub mode: Mode,
    /// The availability zone that the mode applies to. If absent, the mode applies to all zones,
    /// and the modes of single zones are removed.
    #[serde(default)]
    pub zone: Option<Box<str>>,
    /// The number of requests that the mode applies to. After them, the mode that was last set
    /// without `times` applies again. If absent, the mode applies until the next change.
    #[serde(default)]
    pub times: Option<u32>,
}

impl ModeSetting {
    /// Creates a change to this mode for all zones.
    pub fn all(mode: Mode) -> Self {
        Self { mode, zone: None, times: None }
    }

    /// Creates a change to this mode for the requests of one availability zone.
    pub fn zone(mode: Mode, zone: &str) -> Self {
        Self { zone: Some(zone.into()), ..Self::all(mode) }
    }

    /// Limits the change to this number of requests.
    pub fn times(mut self, times: u32) -> Self {
        self.times = Some(times);
        self
    }
}

/// The current mode, and a temporary one that takes precedence.
#[derive(Clone, Copy, Debug, Default)]
struct Current {
    /// The mode that applies once the temporary one has been used up.
    permanent: Mode,
    /// The mode of the next `remaining` requests.
    temporary: Mode,
    /// The number of requests that the temporary mode still applies to.
    remaining: u32,
}

impl Current {
    /// Changes the mode. `times` limits the change to a number of requests.
    fn set(&mut self, mode: Mode, times: Option<u32>) {
        match times {
            Some(times) => (self.temporary, self.remaining) = (mode, times),
            None => (self.permanent, self.remaining) = (mode, 0),
        }
    }

    /// Returns the mode of the next request, and counts the request.
    fn next(&mut self) -> Mode {
        if self.remaining == 0 {
            return self.permanent;
        }

        self.remaining -= 1;
        self.temporary
    }
}

/// The modes of all zones.
#[derive(Debug, Default)]
pub(crate) struct Modes {
    /// The mode of zones without an entry in `zones`.
    all: Current,
    /// The modes that were set for single zones.
    zones: Map<Box<str>, Current>,
}

impl Modes {
    /// Applies a change.
    pub(crate) fn set(&mut self, setting: ModeSetting) {
        let current = match setting.zone {
            Some(zone) => self.zones.entry(zone).or_insert(self.all),
            None => {
                self.zones.clear();
                &mut self.all
            }
        };

        current.set(setting.mode, setting.times);
    }

    /// Returns the mode of the next request from `zone`, and counts the request.
    pub(crate) fn next(&mut self, zone: &str) -> Mode {
        self.zones.get_mut(zone).unwrap_or(&mut self.all).next()
    }
}
