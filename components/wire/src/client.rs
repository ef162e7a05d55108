//! Client for calls to other processes over shared connections.

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use arc_swap::{ArcSwap, ArcSwapOption};
use errors::{Error, ErrorKind, Result};
use indexmap::IndexMap;
use tokio::net::TcpStream;
use tokio::sync::{Mutex, mpsc, oneshot};
use tokio::time;

use crate::auth::Key;
use crate::connection::{OutgoingCall, run_connection};
use crate::frame::{FrameReader, FrameWriter, Side, encode, handshake};
use crate::messages::{Call, Reply};
use crate::traffic::{PeerBytes, TrafficCounters};

/// Timeout of a connection attempt, several times the latency between regions. A lost opening packet is sent again only after
/// a second, so a longer wait does not help.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
/// Maximum number of calls queued for the socket of a connection.
const CALL_QUEUE_CAPACITY: usize = 1024;

/// Connections of a process to its peers, one per shard and address.
#[derive(Clone)]
pub struct Peers {
    key: Key,
    peers: Arc<ArcSwap<PeerMap>>,
}

/// Shard and address; each shard has its own connections, so that a call wakes no other thread.
type PeerKey = (usize, SocketAddr);

type PeerMap = IndexMap<PeerKey, Arc<Peer>>;

#[derive(Default)]
struct Peer {
    connection: ArcSwapOption<Connection>,
    traffic: Arc<TrafficCounters>,
    connect_lock: Mutex<()>,
}

struct Connection {
    tx: mpsc::Sender<OutgoingCall>,
    next_id: AtomicU64,
}

impl fmt::Debug for Peers {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Peers")
    }
}

impl Peers {
    /// Creates an empty set of connections.
    pub fn new(key: Key) -> Self {
        Self {
            key,
            peers: Arc::default(),
        }
    }

    /// Calls a peer and returns its reply; `Reply::Failed` is returned as an error.
    pub async fn call(&self, addr: SocketAddr, call: &Call, timeout: Duration) -> Result<Reply> {
        match self.exchange(addr, call, timeout).await? {
            Reply::Failed(error) => Err(error.report()),
            reply => Ok(reply),
        }
    }

    /// Calls a peer and returns its reply, including `Reply::Failed`; an error means that the connection failed.
    pub async fn exchange(
        &self,
        addr: SocketAddr,
        call: &Call,
        timeout: Duration,
    ) -> Result<Reply> {
        let connection = self.connect(addr).await?;
        connection.call(call, timeout).await
    }

    /// Returns whether the host of a peer refuses connections to it, which proves that its process has ended. A timeout or a
    /// lost connection proves nothing.
    pub async fn is_refused(&self, addr: SocketAddr) -> bool {
        let opened = time::timeout(CONNECT_TIMEOUT, TcpStream::connect(addr)).await;
        matches!(opened, Ok(Err(e)) if e.kind() == io::ErrorKind::ConnectionRefused)
    }

    /// Removes the connections to a peer; calls in progress still receive their replies.
    pub fn remove(&self, addr: SocketAddr) {
        self.peers.rcu(|peers| {
            let mut peers = IndexMap::clone(peers);
            peers.retain(|(_, known), _| *known != addr);
            peers
        });
    }

    /// Records whether a peer is in another region.
    pub fn set_remote(&self, addr: SocketAddr, remote: bool) {
        self.peer(addr).traffic.set_remote(remote);
    }

    /// Returns whether a peer is known to be in another region.
    pub fn is_remote(&self, addr: SocketAddr) -> bool {
        let peers = self.peers.load();
        traffic_counters(&peers, addr).is_some_and(|traffic| traffic.is_remote())
    }

    /// Returns the bytes of all connections so far, except those of removed peers.
    pub fn bytes(&self) -> PeerBytes {
        let peers = self.peers.load();
        // All shards share the counters of a peer, so count each address once.
        let by_addr: IndexMap<SocketAddr, &TrafficCounters> = peers
            .iter()
            .map(|((_, addr), peer)| (*addr, &*peer.traffic))
            .collect();
        let mut sum = PeerBytes::default();
        by_addr.into_values().for_each(|traffic| sum.add(traffic));
        sum
    }

    fn peer(&self, addr: SocketAddr) -> Arc<Peer> {
        let key = (shards::current(), addr);
        if let Some(peer) = self.peers.load().get(&key) {
            return Arc::clone(peer);
        }
        self.peers.rcu(|peers| {
            let mut peers = IndexMap::clone(peers);
            if !peers.contains_key(&key) {
                let traffic = traffic_counters(&peers, addr)
                    .map(Arc::clone)
                    .unwrap_or_default();
                peers.insert(
                    key,
                    Arc::new(Peer {
                        traffic,
                        ..Peer::default()
                    }),
                );
            }
            peers
        });
        self.peers
            .load()
            .get(&key)
            .map_or_else(Arc::default, Arc::clone)
    }

    async fn connect(&self, addr: SocketAddr) -> Result<Arc<Connection>> {
        let peer = self.peer(addr);
        if let Some(connection) = peer.live_connection() {
            return Ok(connection);
        }
        let _guard = peer.connect_lock.lock().await;
        if let Some(connection) = peer.live_connection() {
            return Ok(connection);
        }
        let connection = Arc::new(open(addr, &self.key, &peer.traffic).await?);
        peer.connection.store(Some(Arc::clone(&connection)));
        Ok(connection)
    }
}

/// Returns the counters of a peer, which the connections of all shards share.
fn traffic_counters(peers: &PeerMap, addr: SocketAddr) -> Option<&Arc<TrafficCounters>> {
    let own = peers.get(&(shards::current(), addr));
    let any = || {
        peers
            .iter()
            .find(|((_, known), _)| *known == addr)
            .map(|(_, peer)| peer)
    };
    own.or_else(any).map(|peer| &peer.traffic)
}

impl Peer {
    fn live_connection(&self) -> Option<Arc<Connection>> {
        self.connection
            .load_full()
            .filter(|connection| !connection.tx.is_closed())
    }
}

async fn open(addr: SocketAddr, key: &Key, traffic: &Arc<TrafficCounters>) -> Result<Connection> {
    let (reader, writer) = match time::timeout(CONNECT_TIMEOUT, connect(addr, key, traffic)).await {
        Ok(Ok(halves)) => halves,
        Ok(Err(e)) => return Err(unreachable(addr, &e).report()),
        Err(e) => return Err(unreachable(addr, &e).report()),
    };
    let (tx, rx) = mpsc::channel(CALL_QUEUE_CAPACITY);
    tokio::spawn(run_connection(rx, reader, writer));
    Ok(Connection {
        tx,
        next_id: AtomicU64::new(0),
    })
}

async fn connect(
    addr: SocketAddr,
    key: &Key,
    traffic: &Arc<TrafficCounters>,
) -> std::io::Result<(FrameReader, FrameWriter)> {
    let stream = TcpStream::connect(addr).await?;
    handshake(stream, key, Side::Client, traffic, None).await
}

fn unreachable(addr: SocketAddr, reason: &dyn fmt::Display) -> Error {
    Error::not_run(
        ErrorKind::Unavailable,
        format!("cannot reach {addr}: {reason}"),
    )
}

impl Connection {
    async fn call(&self, call: &Call, timeout: Duration) -> Result<Reply> {
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        let trace = telemetry::current_trace_parent().map(|parent| (parent.trace, parent.span));
        let message = encode(&(id, trace, call)).map_err(|e| {
            Error::not_run(ErrorKind::Internal, format!("cannot encode the call: {e}")).report()
        })?;
        let (reply_tx, reply_rx) = oneshot::channel();
        let outgoing = OutgoingCall {
            id,
            message,
            reply_tx,
        };
        if self.tx.send(outgoing).await.is_err() {
            let message = "the connection was closed before the call was sent";
            return Err(Error::not_run(ErrorKind::Unavailable, message).report());
        }
        match time::timeout(timeout, reply_rx).await {
            Ok(Ok(reply)) => Ok(reply),
            Ok(Err(_)) => {
                let message = "the connection was closed before the reply arrived";
                Err(Error::may_have_run(ErrorKind::Unavailable, message).report())
            }
            Err(_) => {
                let message = "no reply within the timeout";
                Err(Error::may_have_run(ErrorKind::Timeout, message).report())
            }
        }
    }
}
