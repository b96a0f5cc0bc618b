//! How the platform stand-in treats requests, for all or for one availability zone.

use std::time::Duration;

use camphorwalk_core::hash::Map;
use serde::Deserialize;
use serde_with::{DurationMilliSeconds, serde_as};

/// How requests are treated.
#[serde_as]
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(tag = "mode", rename_all = "snake_case")]
pub enum Mode {
    /// They are answered.
    #[default]
    Ok,
    /// They are refused with 503 at once, and nothing is done.
    Refuse,
    /// They take effect and are answered after a delay; they take effect also if the
    /// client has gone by then.
    Slow {
        /// The delay.
        #[serde_as(as = "DurationMilliSeconds<u64>")]
        #[serde(rename = "delay_ms")]
        delay: Duration,
    },
    /// They take effect; then the connection is closed without an answer.
    DropAnswers,
    /// They do nothing and are never answered.
    Hang,
}

/// A change of mode.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct ModeSetting {
    /// The new mode.
    #[serde(flatten)]
    pub mode: Mode,
    /// The availability zone it holds for; if none, it holds for all and replaces what was
    /// set for single ones.
    #[serde(default)]
    pub zone: Option<Box<str>>,
    /// For how many requests it holds, after which it is as before; if none, for good.
    #[serde(default)]
    pub times: Option<u32>,
}

impl ModeSetting {
    /// Makes the change to this mode for all requests.
    pub fn all(mode: Mode) -> Self {
        Self { mode, zone: None, times: None }
    }

    /// Makes the change to this mode for the requests of one availability zone.
    pub fn zone(mode: Mode, zone: &str) -> Self {
        Self { zone: Some(zone.into()), ..Self::all(mode) }
    }

    /// Returns this change limited to the next requests.
    pub fn times(mut self, times: u32) -> Self {
        self.times = Some(times);
        self
    }
}

/// The mode that holds, and one that holds before it.
#[derive(Clone, Copy, Debug, Default)]
struct Current {
    /// The mode that holds for good.
    lasting: Mode,
    /// The mode that holds for the next requests.
    passing: Mode,
    /// For how many requests the passing mode still holds.
    left: u32,
}

impl Current {
    /// Makes a change.
    fn set(&mut self, mode: Mode, times: Option<u32>) {
        match times {
            Some(times) => (self.passing, self.left) = (mode, times),
            None => (self.lasting, self.left) = (mode, 0),
        }
    }

    /// Returns the mode for the next request.
    fn next(&mut self) -> Mode {
        if self.left == 0 {
            return self.lasting;
        }

        self.left -= 1;
        self.passing
    }
}

/// The modes that hold.
#[derive(Debug, Default)]
pub(crate) struct Modes {
    /// The mode for all availability zones that have none of their own.
    all: Current,
    /// The modes of single availability zones.
    zones: Map<Box<str>, Current>,
}

impl Modes {
    /// Makes a change.
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

    /// Returns the mode for the next request from `zone`.
    pub(crate) fn next(&mut self, zone: &str) -> Mode {
        self.zones.get_mut(zone).unwrap_or(&mut self.all).next()
    }
}
