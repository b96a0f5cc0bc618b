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
}

impl ModeSetting {
    /// Makes the change to this mode for all requests.
    pub fn all(mode: Mode) -> Self {
        Self { mode, zone: None }
    }

    /// Makes the change to this mode for the requests of one availability zone.
    pub fn zone(mode: Mode, zone: &str) -> Self {
        Self { mode, zone: Some(zone.into()) }
    }
}

/// The modes that hold.
#[derive(Debug, Default)]
pub(crate) struct Modes {
    /// The mode for all availability zones that have none of their own.
    all: Mode,
    /// The modes of single availability zones.
    zones: Map<Box<str>, Mode>,
}

impl Modes {
    /// Makes a change.
    pub(crate) fn set(&mut self, setting: ModeSetting) {
        match setting.zone {
            Some(zone) => {
                self.zones.insert(zone, setting.mode);
            }
            None => {
                self.all = setting.mode;
                self.zones.clear();
            }
        }
    }

    /// Returns the mode for requests from `zone`.
    pub(crate) fn of(&self, zone: &str) -> Mode {
        self.zones.get(zone).copied().unwrap_or(self.all)
    }
}
