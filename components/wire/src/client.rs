//! Calls to other processes over shared connections.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use arc_swap::{ArcSwap, ArcSwapOption};
use errors::{Error, ErrorKind, Result};
use indexmap::IndexMap;
use tokio::net::TcpStream;
use tokio::sync::{Mutex, mpsc, oneshot};
use tokio::time::timeout;

use crate::auth::Key;
use crate::connection::{Outgoing, drive};
use crate::frame::{FrameReader, FrameWriter, Side, encode, handshake};
use crate::messages::{Call, Reply};
use crate::traffic::{PeerBytes, Traffic};

/// How long a connection attempt may take, several times the latency between regions.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Calls that wait for the socket of one connection.
const CALL_QUEUE: usize = 1024;

/// The connections of a process to its peers, one for each shard and address.
#[derive(Clone)]
pub struct Peers {
    key: Key,
    slots: Arc<ArcSwap<IndexMap<SlotKey, Arc<Slot>>>>,
}

/// A shard has connections of its own, so that a call wakes no other thread.
type SlotKey = (usize, SocketAddr);

#[derive(Default)]
struct Slot {
    current: ArcSwapOption<Connection>,
    traffic: Arc<Traffic>,
    opening: Mutex<()>,
}

struct Connection {
    tx: mpsc::Sender<Outgoing>,
    next: AtomicU64,
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
            slots: Arc::default(),
        }
    }

    /// Calls a peer and returns its reply; a `Failed` reply becomes the error.
    pub async fn call(&self, addr: SocketAddr, call: &Call, limit: Duration) -> Result<Reply> {
        match self.exchange(addr, call, limit).await? {
            Reply::Failed(error) => Err(error.report()),
            reply => Ok(reply),
        }
    }

    /// Calls a peer; an error is a fault of the connection, a `Failed` reply is the peer's own decision.
    pub async fn exchange(&self, addr: SocketAddr, call: &Call, limit: Duration) -> Result<Reply> {
        let connection = self.connect(addr).await?;
        connection.call(call, limit).await
    }

    /// Drops the connection to a peer that left; calls in progress still get their replies.
    pub fn forget(&self, addr: SocketAddr) {
        self.slots.rcu(|slots| {
            let mut slots = IndexMap::clone(slots);
            slots.retain(|(_, known), _| *known != addr);
            slots
        });
    }

    /// Records whether a peer is in another region.
    pub fn set_remote(&self, addr: SocketAddr, remote: bool) {
        self.slot(addr).traffic.set_remote(remote);
    }

    /// Returns whether a peer is known to be in another region.
    pub fn is_remote(&self, addr: SocketAddr) -> bool {
        let slots = self.slots.load();
        traffic(&slots, addr).is_some_and(|traffic| traffic.is_remote())
    }

    /// Returns the bytes of all connections so far; those of forgotten peers no longer count.
    pub fn bytes(&self) -> PeerBytes {
        let slots = self.slots.load();
        // The shards share the counters of a peer.
        let peers: IndexMap<SocketAddr, &Traffic> = slots
            .iter()
            .map(|((_, addr), slot)| (*addr, &*slot.traffic))
            .collect();
        let mut sum = PeerBytes::default();
        peers.into_values().for_each(|traffic| sum.add(traffic));
        sum
    }

    fn slot(&self, addr: SocketAddr) -> Arc<Slot> {
        let key = (shards::current(), addr);
        if let Some(slot) = self.slots.load().get(&key) {
            return Arc::clone(slot);
        }
        self.slots.rcu(|slots| {
            let mut slots = IndexMap::clone(slots);
            if !slots.contains_key(&key) {
                let traffic = traffic(&slots, addr).map(Arc::clone).unwrap_or_default();
                slots.insert(
                    key,
                    Arc::new(Slot {
                        traffic,
                        ..Slot::default()
                    }),
                );
            }
            slots
        });
        self.slots
            .load()
            .get(&key)
            .map_or_else(Arc::default, Arc::clone)
    }

    async fn connect(&self, addr: SocketAddr) -> Result<Arc<Connection>> {
        let slot = self.slot(addr);
        if let Some(connection) = slot.open_connection() {
            return Ok(connection);
        }
        let _one_at_a_time = slot.opening.lock().await;
        if let Some(connection) = slot.open_connection() {
            return Ok(connection);
        }
        let connection = Arc::new(open(addr, &self.key, &slot.traffic).await?);
        slot.current.store(Some(Arc::clone(&connection)));
        Ok(connection)
    }
}

/// Returns the counters of a peer, which its connections of all shards share.
fn traffic(slots: &IndexMap<SlotKey, Arc<Slot>>, addr: SocketAddr) -> Option<&Arc<Traffic>> {
    let own = slots.get(&(shards::current(), addr));
    let any = || {
        slots
            .iter()
            .find(|((_, known), _)| *known == addr)
            .map(|(_, slot)| slot)
    };
    own.or_else(any).map(|slot| &slot.traffic)
}

impl Slot {
    fn open_connection(&self) -> Option<Arc<Connection>> {
        self.current
            .load_full()
            .filter(|connection| !connection.tx.is_closed())
    }
}

async fn open(addr: SocketAddr, key: &Key, traffic: &Arc<Traffic>) -> Result<Connection> {
    let (reader, writer) = match timeout(CONNECT_TIMEOUT, connect(addr, key, traffic)).await {
        Ok(Ok(halves)) => halves,
        Ok(Err(e)) => return Err(unreachable(addr, &e).report()),
        Err(e) => return Err(unreachable(addr, &e).report()),
    };
    let (tx, rx) = mpsc::channel(CALL_QUEUE);
    tokio::spawn(drive(rx, reader, writer));
    Ok(Connection {
        tx,
        next: AtomicU64::new(0),
    })
}

async fn connect(
    addr: SocketAddr,
    key: &Key,
    traffic: &Arc<Traffic>,
) -> std::io::Result<(FrameReader, FrameWriter)> {
    let stream = TcpStream::connect(addr).await?;
    handshake(stream, key, Side::Client, traffic).await
}

fn unreachable(addr: SocketAddr, reason: &dyn fmt::Display) -> Error {
    Error::not_run(
        ErrorKind::Unavailable,
        format!("cannot reach {addr}: {reason}"),
    )
}

impl Connection {
    async fn call(&self, call: &Call, limit: Duration) -> Result<Reply> {
        let id = self.next.fetch_add(1, Ordering::Relaxed);
        let trace = telemetry::current_trace_parent().map(|parent| (parent.trace, parent.span));
        let message = encode(&(id, trace, call)).map_err(|e| {
            Error::not_run(ErrorKind::Internal, format!("cannot encode: {e}")).report()
        })?;
        let (tx, rx) = oneshot::channel();
        if self.tx.send(Outgoing { id, message, tx }).await.is_err() {
            let message = "the connection closed before the call was sent";
            return Err(Error::not_run(ErrorKind::Unavailable, message).report());
        }
        match timeout(limit, rx).await {
            Ok(Ok(reply)) => Ok(reply),
            Ok(Err(_)) => {
                let message = "the connection closed before the reply";
                Err(Error::may_have_run(ErrorKind::Unavailable, message).report())
            }
            Err(_) => {
                let message = "no reply within the time limit";
                Err(Error::may_have_run(ErrorKind::Timeout, message).report())
            }
        }
    }
}
