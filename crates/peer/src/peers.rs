//! The front of this crate.

use std::net::SocketAddr;
use std::sync::atomic::AtomicU64;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use camphorwalk_core::hash::Map;
use camphorwalk_core::ids::HostId;
use camphorwalk_core::messages::PeerMessage;
use prometheus::Registry;
use prost::Message as _;
use tokio::net::TcpListener;
use tokio::sync::mpsc::error::TrySendError;
use tokio::sync::mpsc::{self, Sender};
use tokio::sync::oneshot;
use tokio::time::timeout;
use tokio_util::sync::{CancellationToken, DropGuard};
use tracing::info;

use crate::errors::{Error, Result};
use crate::handshake::Identity;
use crate::incoming::{self, Current};
use crate::metrics::Metrics;
use crate::notices::Notices;
use crate::options::PeerOptions;
use crate::outgoing::{self, Item, Link};

/// What comes in from other hosts.
#[derive(Clone, Debug, PartialEq)]
pub enum Inbound {
    /// A host's connection to this one is made.
    Up {
        /// The host.
        host: HostId,
        /// Its name.
        name: Box<str>,
        /// Its availability zone.
        zone: Box<str>,
        /// The random number of this run of its process.
        session: u64,
    },
    /// A message. For each host, messages come between an `Up` and a `Down`.
    Message {
        /// The host that sent it.
        from: HostId,
        /// The message.
        message: PeerMessage,
    },
    /// A host's connection to this one ended: it is gone, cut off, or connects anew.
    Down {
        /// The host.
        host: HostId,
    },
    /// A message that was queued was not sent, and never will be.
    SendFailed {
        /// The host that it was for.
        to: HostId,
        /// The message.
        message: PeerMessage,
    },
    /// The connection to a host broke. The messages that it did not confirm, the latest ones,
    /// may or may not have arrived.
    ConnectionLost {
        /// The host.
        host: HostId,
    },
}

/// The connections to and from the other hosts.
///
/// Clones share the connections; they end when the last clone is dropped.
#[derive(Clone)]
pub struct Peers {
    /// What the tasks share.
    shared: Arc<Shared>,
    /// Where this host listens.
    local_address: SocketAddr,
    /// Stops the tasks with the last clone.
    _guard: Arc<DropGuard>,
}

/// What the tasks of this part share.
pub(crate) struct Shared {
    /// The options.
    pub(crate) options: PeerOptions,
    /// What this host says of itself.
    pub(crate) identity: Identity,
    /// Where what comes in is delivered.
    pub(crate) inbound: Sender<Inbound>,
    /// The counters.
    pub(crate) metrics: Metrics,
    /// What was logged.
    pub(crate) notices: Notices,
    /// Stops all tasks.
    pub(crate) stop: CancellationToken,
    /// The sending side of each known peer.
    links: Mutex<Map<HostId, Link>>,
    /// The delivering connection of each host.
    current: Mutex<Map<HostId, Current>>,
    /// The number of the next delivering connection.
    pub(crate) next_connection: AtomicU64,
}

impl Shared {
    /// Gets the delivering connections.
    pub(crate) fn lock_current(&self) -> MutexGuard<'_, Map<HostId, Current>> {
        self.current.lock().expect("no panic holds this lock")
    }

    /// Gets the sending sides.
    fn lock_links(&self) -> MutexGuard<'_, Map<HostId, Link>> {
        self.links.lock().expect("no panic holds this lock")
    }
}

impl Peers {
    /// Listens for other hosts and delivers what they send to `inbound`.
    ///
    /// ```
    /// use camphorwalk_peer::{PeerOptions, Peers, Secret};
    ///
    /// # tokio::runtime::Runtime::new().unwrap().block_on(async {
    /// let listen = "127.0.0.1:0".parse().unwrap();
    /// let options = PeerOptions::new(listen, "host-1", "zone-a", 7, Secret::new([1; 32]));
    /// let (tx, _rx) = tokio::sync::mpsc::channel(16);
    /// let peers = Peers::start(options, tx).await.unwrap();
    /// assert_ne!(peers.local_address().port(), 0);
    /// # });
    /// ```
    pub async fn start(options: PeerOptions, inbound: Sender<Inbound>) -> Result<Self> {
        options.check()?;
        let listener = TcpListener::bind(options.listen).await.map_err(Error::Listen)?;
        let local_address = listener.local_addr().map_err(Error::Listen)?;
        info!("peer: listening on {local_address}");

        let stop = CancellationToken::new();
        let shared = Arc::new(Shared {
            identity: options.identity(),
            options,
            inbound,
            metrics: Metrics::new(),
            notices: Notices::default(),
            stop: stop.clone(),
            links: Mutex::default(),
            current: Mutex::default(),
            next_connection: AtomicU64::new(0),
        });
        tokio::spawn(incoming::listen(Arc::clone(&shared), listener));

        Ok(Self { shared, local_address, _guard: Arc::new(stop.drop_guard()) })
    }

    /// Returns where this host listens.
    pub fn local_address(&self) -> SocketAddr {
        self.local_address
    }

    /// Sets where a peer listens. Must be called within a `tokio` runtime.
    ///
    /// A connection to another address is closed; the next message dials the new one.
    pub fn set_address(&self, host: HostId, address: SocketAddr) {
        let mut links = self.shared.lock_links();

        match links.get(&host) {
            Some(link) => {
                link.address.send_if_modified(|old| std::mem::replace(old, address) != address);
            }
            None => {
                let link = outgoing::start(Arc::clone(&self.shared), host, address);
                links.insert(host, link);
            }
        }
    }

    /// Forgets a peer: its connection is closed and what waits for it is dropped.
    pub fn remove(&self, host: HostId) {
        if let Some(link) = self.shared.lock_links().remove(&host) {
            link.stop.cancel();
        }
    }

    /// Queues a message for a peer; never waits.
    ///
    /// Returns false if the message will not be sent: the peer is not known, its queue is
    /// full, or the message is over the limit. A message that was queued may still be lost:
    /// [`Inbound::SendFailed`] or [`Inbound::ConnectionLost`] tells.
    pub fn send(&self, host: HostId, message: PeerMessage) -> bool {
        let refused = match self.try_send(host, message) {
            Ok(()) => return true,
            Err(reason) => reason,
        };

        self.shared.metrics.drop_messages(refused, 1);
        false
    }

    /// Queues a message, or returns why not.
    fn try_send(
        &self,
        host: HostId,
        message: PeerMessage,
    ) -> std::result::Result<(), &'static str> {
        if message.encoded_len() > self.shared.options.max_frame_bytes {
            return Err("too_large");
        }

        let links = self.shared.lock_links();
        let link = links.get(&host).ok_or("unknown")?;
        link.tx.try_send(Item::Message(message)).map_err(|error| match error {
            TrySendError::Full(_) => "queue_full",
            TrySendError::Closed(_) => "unknown",
        })
    }

    /// Waits until all that is queued was taken in by the peers, or `limit` is over.
    ///
    /// Returns the number of peers of which that is not known. What was lost and counted
    /// before is not waited for. A host that shuts down
    /// calls this last: what stands in a socket's buffer may be lost when its process ends.
    pub async fn flush(&self, limit: Duration) -> usize {
        let queues: Vec<_> = self.shared.lock_links().values().map(|l| l.tx.clone()).collect();
        let flushes = queues.into_iter().map(|tx| timeout(limit, flush(tx)));

        let confirmed = futures::future::join_all(flushes).await;
        confirmed.into_iter().filter(|c| !matches!(c, Ok(true))).count()
    }

    /// Registers the counters.
    pub fn register(&self, registry: &Registry) -> prometheus::Result<()> {
        self.shared.metrics.register(registry)
    }
}

/// Waits until all in a queue was taken in; false if that cannot be known.
async fn flush(tx: mpsc::Sender<Item>) -> bool {
    let (done, flushed) = oneshot::channel();

    tx.send(Item::Flush(done)).await.is_ok() && flushed.await.is_ok()
}
