//! The options of [`Peers`](crate::Peers).

use std::net::SocketAddr;
use std::time::Duration;

use camphorwalk_core::ids::HostId;

use crate::errors::{Error, Result};
use crate::handshake::Identity;
use crate::keepalive::KeepaliveTimes;
use crate::secret::Secret;

/// The longest name of a host or zone, in bytes. Two such names fit into a handshake message.
pub const MAX_NAME_BYTES: usize = 256;

/// The shortest allowed interval between keepalives.
const MIN_KEEPALIVE: Duration = Duration::from_millis(2);

/// The options of [`Peers`](crate::Peers).
#[derive(Clone, Debug)]
pub struct PeerOptions {
    /// The address to listen on; port 0 selects a free port.
    pub listen: SocketAddr,
    /// This host's id, derived from `name`.
    pub host: HostId,
    /// This host's name.
    pub name: Box<str>,
    /// Its availability zone.
    pub zone: Box<str>,
    /// The random number that identifies this run of the process.
    pub session: u64,
    /// The fleet's secret.
    pub secret: Secret,
    /// The longest message, in bytes. Must be the same on all hosts.
    pub max_frame_bytes: usize,
    /// The capacity of the send queue of each peer, in messages.
    pub send_queue: usize,
    /// How long a connect and its handshake may take.
    pub connect_timeout: Duration,
    /// How long after the previous keepalive the next one is sent, if there were messages since.
    /// Its reply confirms those messages.
    pub keepalive: Duration,
    /// The interval between keepalives on a connection that sends nothing else. Must be the same
    /// on all hosts.
    pub idle_keepalive: Duration,
    /// How long the peer may leave a keepalive without a reply, or a write blocked, before the
    /// connection is closed.
    pub silence_limit: Duration,
    /// The pause after the first failed connect.
    pub min_backoff: Duration,
    /// The longest pause between failed connects.
    pub max_backoff: Duration,
    /// The maximum number of incoming connections that have not completed their handshake.
    pub max_handshakes: usize,
}

impl PeerOptions {
    /// Creates the options of the host with this name, with default limits.
    ///
    /// ```
    /// use camphorwalk_peer::{PeerOptions, Secret};
    /// let listen = "127.0.0.1:0".parse().unwrap();
    /// let options = PeerOptions::new(listen, "host-1", "zone-a", 7, Secret::new([1; 32]));
    /// assert_eq!(options.max_frame_bytes, 4 << 20);
    /// ```
    pub fn new(listen: SocketAddr, name: &str, zone: &str, session: u64, secret: Secret) -> Self {
        Self {
            listen,
            host: HostId::from_name(name),
            name: name.into(),
            zone: zone.into(),
            session,
            secret,
            max_frame_bytes: 4 << 20,
            send_queue: 1024,
            connect_timeout: Duration::from_secs(2),
            keepalive: Duration::from_secs(2),
            idle_keepalive: Duration::from_secs(20),
            silence_limit: Duration::from_secs(6),
            min_backoff: Duration::from_millis(50),
            max_backoff: Duration::from_secs(1),
            max_handshakes: 128,
        }
    }

    /// Returns this host's identity.
    pub(crate) fn identity(&self) -> Identity {
        Identity::new(&self.name, &self.zone, self.session)
    }

    /// Returns the keepalive times of outgoing connections.
    pub(crate) fn keepalive_times(&self) -> KeepaliveTimes {
        let Self { keepalive, idle_keepalive, silence_limit, .. } = *self;

        KeepaliveTimes { keepalive, idle_keepalive, silence_limit }
    }

    /// Checks that the options are valid and consistent.
    pub(crate) fn check(&self) -> Result<()> {
        if self.host != HostId::from_name(&self.name) {
            return Err(Error::BadOptions("host is not the id of name"));
        }
        if self.name.len() > MAX_NAME_BYTES || self.zone.len() > MAX_NAME_BYTES {
            return Err(Error::BadOptions("name or zone is longer than 256 bytes"));
        }
        if self.send_queue == 0 || self.max_frame_bytes == 0 || self.max_handshakes == 0 {
            return Err(Error::BadOptions("a limit is zero"));
        }
        if self.keepalive < MIN_KEEPALIVE || self.idle_keepalive < self.keepalive {
            return Err(Error::BadOptions("keepalive or idle_keepalive is too short"));
        }

        Ok(())
    }
}
