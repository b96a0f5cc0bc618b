//! [`Peers`], the public interface to the connections with other hosts.

use std::net::SocketAddr;
use std::sync::atomic::AtomicU64;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use bytes::Bytes;
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
use crate::incoming::{self, ActiveConnection};
use crate::log_dedup::LogDedup;
use crate::metrics::Metrics;
use crate::options::PeerOptions;
use crate::outgoing::{self, PeerHandle, QueueItem};

/// An event from the connections with other hosts.
#[derive(Clone, Debug, PartialEq)]
pub enum Inbound {
    /// A host has connected to this one.
    Up {
        /// The host.
        host: HostId,
        /// Its name.
        name: Box<str>,
        /// Its availability zone.
        zone: Box<str>,
        /// The random number that identifies this run of its process.
        session: u64,
    },
    /// A message. Messages of a host are delivered only between its `Up` and its `Down`.
    Message {
        /// The host that sent it.
        from: HostId,
        /// The message.
        message: PeerMessage,
    },
    /// A host's connection to this one ended: the host stopped, is unreachable, or reconnects.
    Down {
        /// The host.
        host: HostId,
    },
    /// A queued message was not sent and will not be.
    SendFailed {
        /// The host that it was addressed to.
        to: HostId,
        /// The message.
        message: PeerMessage,
    },
    /// The connection to a host broke. The latest messages, which the host had not confirmed, may
    /// or may not have arrived.
    ConnectionLost {
        /// The host.
        host: HostId,
    },
}

/// The connections to and from the other hosts.
///
/// Clones share the connections, which are closed when the last clone is dropped.
#[derive(Clone)]
pub struct Peers {
    /// The state shared with the connections' tasks.
    shared: Arc<Shared>,
    /// The address that this host listens on.
    local_address: SocketAddr,
    /// Stops the tasks when the last clone is dropped.
    _guard: Arc<DropGuard>,
}

/// The state shared by all tasks of this crate.
pub(crate) struct Shared {
    /// The options.
    pub(crate) options: PeerOptions,
    /// The identity that this host presents in handshakes.
    pub(crate) identity: Identity,
    /// The channel that receives events and messages.
    pub(crate) inbound: Sender<Inbound>,
    /// The metrics.
    pub(crate) metrics: Metrics,
    /// The connection failures that were already logged.
    pub(crate) log_dedup: LogDedup,
    /// Stops all tasks.
    pub(crate) stop: CancellationToken,
    /// The send queue and controls of each known peer.
    handles: Mutex<Map<HostId, PeerHandle>>,
    /// The incoming connection of each host that delivers messages at present.
    active: Mutex<Map<HostId, ActiveConnection>>,
    /// The number of the next incoming connection.
    pub(crate) next_connection: AtomicU64,
}

impl Shared {
    /// Locks the map of active incoming connections.
    pub(crate) fn lock_active(&self) -> MutexGuard<'_, Map<HostId, ActiveConnection>> {
        self.active.lock().expect("no holder of this lock panics")
    }

    /// Locks the map of known peers.
    fn lock_handles(&self) -> MutexGuard<'_, Map<HostId, PeerHandle>> {
        self.handles.lock().expect("no holder of this lock panics")
    }
}

impl Peers {
    /// Starts to listen for other hosts, and delivers their messages to `inbound`.
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
            log_dedup: LogDedup::default(),
            stop: stop.clone(),
            handles: Mutex::default(),
            active: Mutex::default(),
            next_connection: AtomicU64::new(0),
        });
        tokio::spawn(incoming::listen(Arc::clone(&shared), listener));

        Ok(Self { shared, local_address, _guard: Arc::new(stop.drop_guard()) })
    }

    /// Returns the address that this host listens on.
    pub fn local_address(&self) -> SocketAddr {
        self.local_address
    }

    /// Adds a peer or updates its address. Must be called within a `tokio` runtime.
    ///
    /// A connection to the peer's old address is closed; the next message connects to the new one.
    pub fn set_address(&self, host: HostId, address: SocketAddr) {
        let mut handles = self.shared.lock_handles();

        match handles.get(&host) {
            Some(handle) => {
                handle.address.send_if_modified(|old| std::mem::replace(old, address) != address);
            }
            None => {
                let handle = outgoing::start(Arc::clone(&self.shared), host, address);
                handles.insert(host, handle);
            }
        }
    }

    /// Removes a peer: closes the connection to it and drops its queued messages.
    pub fn remove(&self, host: HostId) {
        if let Some(handle) = self.shared.lock_handles().remove(&host) {
            handle.stop.cancel();
        }
    }

    /// Queues a message for a peer without blocking.
    ///
    /// Returns false if the message will not be sent: the peer is unknown, its queue is full, or
    /// the message is too large. A queued message may still be lost, which
    /// [`Inbound::SendFailed`] or [`Inbound::ConnectionLost`] reports.
    pub fn send(&self, host: HostId, message: PeerMessage) -> bool {
        let refused = match self.try_send(host, message) {
            Ok(()) => return true,
            Err(reason) => reason,
        };

        self.shared.metrics.record_dropped(refused, 1);
        false
    }

    /// Queues a message for several peers without blocking. It is encoded once. Returns the peers
    /// for which it was queued.
    ///
    /// A queued message may still be lost. Unlike with [`Peers::send`] there is no
    /// [`Inbound::SendFailed`] then.
    pub fn send_to_all(&self, hosts: &[HostId], message: &PeerMessage) -> Vec<HostId> {
        let encoded = Bytes::from(message.encode_to_vec());
        let queue = |host: &HostId| {
            self.try_queue(*host, encoded.len(), QueueItem::Encoded(encoded.clone()))
        };

        let (queued, refused): (Vec<_>, Vec<_>) =
            hosts.iter().map(|host| (*host, queue(host))).partition(|(_, queued)| queued.is_ok());
        for reason in refused.into_iter().filter_map(|(_, queued)| queued.err()) {
            self.shared.metrics.record_dropped(reason, 1);
        }
        queued.into_iter().map(|(host, _)| host).collect()
    }

    /// Queues a message, or returns the metric label of the reason why it could not.
    fn try_send(
        &self,
        host: HostId,
        message: PeerMessage,
    ) -> std::result::Result<(), &'static str> {
        self.try_queue(host, message.encoded_len(), QueueItem::Message(Box::new(message)))
    }

    /// Queues a message of this encoded length.
    fn try_queue(
        &self,
        host: HostId,
        encoded_len: usize,
        item: QueueItem,
    ) -> std::result::Result<(), &'static str> {
        if encoded_len > self.shared.options.max_frame_bytes {
            return Err("too_large");
        }

        let handles = self.shared.lock_handles();
        let handle = handles.get(&host).ok_or("unknown")?;
        handle.tx.try_send(item).map_err(|error| match error {
            TrySendError::Full(_) => "queue_full",
            TrySendError::Closed(_) => "unknown",
        })
    }

    /// Waits until the peers have confirmed all queued messages, for at most `limit`.
    ///
    /// Returns the number of peers that did not confirm. Messages that were reported as
    /// failed or lost before this call do not prolong the wait. A host calls this last when it
    /// shuts down, because messages in a socket's send buffer may be lost when the process exits.
    pub async fn flush(&self, limit: Duration) -> usize {
        let queues: Vec<_> = self.shared.lock_handles().values().map(|l| l.tx.clone()).collect();
        let flushes = queues.into_iter().map(|tx| timeout(limit, flush(tx)));

        let confirmed = futures::future::join_all(flushes).await;
        confirmed.into_iter().filter(|c| !matches!(c, Ok(true))).count()
    }

    /// Registers the metrics.
    pub fn register(&self, registry: &Registry) -> prometheus::Result<()> {
        self.shared.metrics.register(registry)
    }
}

/// Waits until a peer has confirmed all queued messages; false if it cannot.
async fn flush(tx: mpsc::Sender<QueueItem>) -> bool {
    let (done, flushed) = oneshot::channel();

    tx.send(QueueItem::Flush(done)).await.is_ok() && flushed.await.is_ok()
}
