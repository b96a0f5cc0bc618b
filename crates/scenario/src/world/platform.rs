//! A simulated platform. For the hosts of each zone it can be unavailable, be slow or lose answers.

use std::collections::BTreeMap;
use std::time::Duration;

use camphorwalk_core::platform::{PlatformOp, PlatformReply};
use camphorwalk_policy::scheduler::{Event, OpId};
use camphorwalk_standin::Store;

use super::network::PLATFORM;
use super::{ScheduledEvent, World};

/// The round-trip time of an operation.
const ROUND_TRIP: Duration = Duration::from_millis(4);

/// How long a client waits for an answer.
const CLIENT_TIMEOUT: Duration = Duration::from_millis(500);

/// How the platform treats the hosts of a zone.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Mode {
    /// It answers normally.
    #[default]
    Normal,
    /// It refuses each operation at once without executing it.
    Refuse,
    /// It executes an operation after this time, and answers then.
    Slow(Duration),
    /// Transactions are executed after this time, and their answers are lost. Other operations are
    /// answered normally.
    LoseAnswers(Duration),
}

/// The stored data, and the mode for each zone.
#[derive(Default)]
pub(super) struct Platform {
    store: Store,
    modes: BTreeMap<Box<str>, Mode>,
}

/// An operation on its way to the platform.
#[derive(Debug)]
pub(super) struct PlatformArrival {
    host: usize,
    session: u64,
    op: OpId,
    request: PlatformOp,
    /// Whether the answer arrives before the client's timeout.
    answered: bool,
}

impl World {
    /// Sets how the platform treats the hosts of a zone from now on.
    pub fn set_platform(&mut self, zone: &str, mode: Mode) {
        self.platform.modes.insert(zone.into(), mode);
    }

    pub(super) fn send_to_platform(&mut self, host: usize, op: OpId, request: PlatformOp) {
        let zone = &self.hosts[host].zone;
        let mode = self.platform.modes.get(zone).copied().unwrap_or_default();
        let writes = matches!(request, PlatformOp::Commit(_) | PlatformOp::PutObject(_));
        let no_answer = if writes { PlatformReply::Unknown } else { PlatformReply::Unavailable };

        if !self.network.can_reach(zone, PLATFORM) {
            return self.schedule_host_event(
                self.now + CLIENT_TIMEOUT,
                host,
                Event::Platform { op, reply: no_answer },
            );
        }
        let (after, answered) = match mode {
            Mode::Refuse => {
                let reply = PlatformReply::Unavailable;
                return self.schedule_host_event(
                    self.now + ROUND_TRIP,
                    host,
                    Event::Platform { op, reply },
                );
            }
            Mode::Slow(time) => (time, time + ROUND_TRIP < CLIENT_TIMEOUT),
            Mode::LoseAnswers(time) if matches!(request, PlatformOp::Commit(_)) => {
                (time.max(ROUND_TRIP / 2), false)
            }
            Mode::Normal | Mode::LoseAnswers(_) => (ROUND_TRIP / 2, true),
        };

        if !answered {
            self.schedule_host_event(
                self.now + CLIENT_TIMEOUT,
                host,
                Event::Platform { op, reply: no_answer },
            );
        }
        let session = self.hosts[host].session;
        let arrival = PlatformArrival { host, session, op, request, answered };
        self.schedule_event(self.now + after, ScheduledEvent::Platform(arrival));
    }

    /// Executes an operation, even if its sender has died since.
    pub(super) fn on_platform_arrival(&mut self, arrival: PlatformArrival) {
        let reply = self.platform.store.run(arrival.request);

        if arrival.answered && self.hosts[arrival.host].session == arrival.session {
            let event = Event::Platform { op: arrival.op, reply };
            self.schedule_host_event(self.now + ROUND_TRIP / 2, arrival.host, event);
        }
    }
}
