//! The platform between hosts: away, slow, or losing its answers, for each zone.

use std::collections::BTreeMap;
use std::time::Duration;

use camphorwalk_core::platform::{PlatformOp, PlatformReply};
use camphorwalk_policy::scheduler::{Event, OpId};
use camphorwalk_standin::Store;

use super::network::PLATFORM;
use super::{Item, World};

/// How long the platform takes, there and back.
const TIME: Duration = Duration::from_millis(4);

/// How long a client waits for an answer.
const DEADLINE: Duration = Duration::from_millis(500);

/// How the platform treats the hosts of a zone.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Mode {
    /// It answers.
    #[default]
    Ok,
    /// It refuses at once and does nothing.
    Refuse,
    /// It takes this long, both to take effect and to answer.
    Slow(Duration),
    /// Transactions take effect after this time, and their answers are lost.
    Lost(Duration),
}

/// The platform.
#[derive(Default)]
pub(super) struct Platform {
    store: Store,
    modes: BTreeMap<Box<str>, Mode>,
}

/// An operation on its way.
#[derive(Debug)]
pub(super) struct Arrival {
    host: usize,
    session: u64,
    op: OpId,
    request: PlatformOp,
    /// Whether the answer still finds its client waiting.
    heard: bool,
}

impl World {
    /// Sets how the platform treats a zone from now on.
    pub fn set_platform(&mut self, zone: &str, mode: Mode) {
        self.platform.modes.insert(zone.into(), mode);
    }

    pub(super) fn ask_platform(&mut self, host: usize, op: OpId, request: PlatformOp) {
        let zone = &self.hosts[host].zone;
        let mode = self.platform.modes.get(zone).copied().unwrap_or_default();
        let writes = matches!(request, PlatformOp::Commit(_) | PlatformOp::PutObject(_));
        let lost = if writes { PlatformReply::Unknown } else { PlatformReply::Unavailable };

        if !self.network.reaches(zone, PLATFORM) {
            return self.add_event(self.now + DEADLINE, host, Event::Platform { op, reply: lost });
        }
        let (after, heard) = match mode {
            Mode::Refuse => {
                let reply = PlatformReply::Unavailable;
                return self.add_event(self.now + TIME, host, Event::Platform { op, reply });
            }
            Mode::Slow(time) => (time, time + TIME < DEADLINE),
            Mode::Lost(time) if matches!(request, PlatformOp::Commit(_)) => {
                (time.max(TIME / 2), false)
            }
            Mode::Ok | Mode::Lost(_) => (TIME / 2, true),
        };

        if !heard {
            self.add_event(self.now + DEADLINE, host, Event::Platform { op, reply: lost });
        }
        let session = self.hosts[host].session;
        let arrival = Arrival { host, session, op, request, heard };
        self.add(self.now + after, Item::Platform(arrival));
    }

    /// Runs an operation, also if its sender is gone by now.
    pub(super) fn on_platform(&mut self, arrival: Arrival) {
        let reply = self.platform.store.run(arrival.request);

        if arrival.heard && self.hosts[arrival.host].session == arrival.session {
            let event = Event::Platform { op: arrival.op, reply };
            self.add_event(self.now + TIME / 2, arrival.host, event);
        }
    }
}
