//! Authenticated datagrams over UDP.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{SystemTime, UNIX_EPOCH};

use indexmap::IndexMap;
use model::Incarnation;
use serde::{Deserialize, Serialize};
use telemetry::traffic;
use tokio::net::UdpSocket;

use crate::auth::{Key, TAG_LEN};
use crate::messages::Packet;

/// Number of latest incarnations of each sender whose datagrams are recognised as repeated.
const MAX_INCARNATIONS: usize = 8;

/// Maximum size of a datagram in bytes, below the usual path MTU so that datagrams are not fragmented.
const MAX_DATAGRAM_BYTES: usize = 1400;

#[derive(Serialize, Deserialize)]
struct Envelope {
    sender: u64,
    incarnation: Incarnation,
    sequence: u64,
    packet: Packet,
}

/// Counters of sent, accepted and dropped datagrams.
#[derive(Debug, Default)]
pub struct DatagramCounters {
    sent: AtomicU64,
    sent_bytes: AtomicU64,
    received: AtomicU64,
    foreign: AtomicU64,
    repeated: AtomicU64,
}

impl DatagramCounters {
    /// Returns the number of datagrams sent.
    pub fn sent(&self) -> u64 {
        self.sent.load(Ordering::Relaxed)
    }

    /// Returns the number of bytes sent.
    pub fn sent_bytes(&self) -> u64 {
        self.sent_bytes.load(Ordering::Relaxed)
    }

    /// Returns the number of datagrams accepted.
    pub fn received(&self) -> u64 {
        self.received.load(Ordering::Relaxed)
    }

    /// Returns the number of datagrams dropped because the authentication tag or the format was invalid.
    pub fn foreign(&self) -> u64 {
        self.foreign.load(Ordering::Relaxed)
    }

    /// Returns the number of datagrams dropped because the sequence number did not increase.
    pub fn repeated(&self) -> u64 {
        self.repeated.load(Ordering::Relaxed)
    }
}

impl DatagramCounters {
    /// Returns the counters with their metric labels.
    pub fn by_outcome(&self) -> [(&'static str, u64); 5] {
        [
            ("sent", self.sent()),
            ("sent_bytes", self.sent_bytes()),
            ("received", self.received()),
            ("foreign", self.foreign()),
            ("repeated", self.repeated()),
        ]
    }
}

/// A socket for datagrams between the processes of a deployment.
#[derive(Debug)]
pub struct DatagramSocket {
    socket: UdpSocket,
    key: Key,
    sender: u64,
    incarnation: Incarnation,
    next_sequence: AtomicU64,
    /// Latest accepted sequence number of each process of a sender, in the order in which the processes were first heard.
    ///
    /// Incarnations are not compared: they come from a clock of day, and a process that starts while its clock is back would
    /// not be heard until the clock has caught up. A packet that concerns one process names its incarnation.
    latest: Mutex<IndexMap<u64, IndexMap<Incarnation, u64>>>,
    counts: DatagramCounters,
}

impl DatagramSocket {
    /// Binds a socket; `sender` is the name of this process.
    pub async fn bind(addr: SocketAddr, key: Key, sender: &str) -> std::io::Result<Self> {
        let socket = UdpSocket::bind(addr).await?;
        let mut id = [0; 8];
        id.copy_from_slice(&blake3::hash(sender.as_bytes()).as_bytes()[..8]);
        Ok(Self {
            socket,
            key,
            sender: u64::from_le_bytes(id),
            incarnation: incarnation_now(),
            next_sequence: AtomicU64::new(1),
            latest: Mutex::default(),
            counts: DatagramCounters::default(),
        })
    }

    /// Returns the incarnation of this process, which is when it bound the socket.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Returns the address of the socket.
    pub fn local_addr(&self) -> std::io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    /// Returns the counters of this socket.
    pub fn counts(&self) -> &DatagramCounters {
        &self.counts
    }

    /// Sends a datagram without reporting errors or losses.
    pub async fn send(&self, addr: SocketAddr, packet: Packet) {
        let sequence = self.next_sequence.fetch_add(1, Ordering::Relaxed);
        let envelope = Envelope {
            sender: self.sender,
            incarnation: self.incarnation,
            sequence,
            packet,
        };
        let Ok(mut message) = postcard::to_extend(&envelope, Vec::with_capacity(128)) else {
            return;
        };
        let tag = self.key.tag(sequence, &message);
        message.extend_from_slice(&tag);
        if self.socket.send_to(&message, addr).await.is_ok() {
            traffic::DATAGRAMS.count_sent(message.len());
            self.counts.sent.fetch_add(1, Ordering::Relaxed);
            self.counts
                .sent_bytes
                .fetch_add(message.len() as u64, Ordering::Relaxed);
        }
    }

    /// Receives the next datagram that is authentic and not a replay.
    pub async fn recv(&self) -> (SocketAddr, Packet) {
        let mut buf = [0; MAX_DATAGRAM_BYTES];
        loop {
            // The operating system reports an earlier send to a closed port as an error of `recv_from`.
            let Ok((len, addr)) = self.socket.recv_from(&mut buf).await else {
                continue;
            };
            traffic::DATAGRAMS.count_received(len);
            let Some(envelope) = self.authenticate(&buf[..len]) else {
                self.counts.foreign.fetch_add(1, Ordering::Relaxed);
                continue;
            };
            if !self.record_sequence(&envelope) {
                self.counts.repeated.fetch_add(1, Ordering::Relaxed);
                continue;
            }
            self.counts.received.fetch_add(1, Ordering::Relaxed);
            return (addr, envelope.packet);
        }
    }

    fn authenticate(&self, datagram: &[u8]) -> Option<Envelope> {
        let split = datagram.len().checked_sub(TAG_LEN)?;
        let (message, tag) = datagram.split_at(split);
        let envelope: Envelope = postcard::from_bytes(message).ok()?;
        self.key
            .verify(envelope.sequence, message, tag)
            .then_some(envelope)
    }

    /// Records the sequence number of a datagram; returns false if it is not newer than the latest one of its process.
    fn record_sequence(&self, envelope: &Envelope) -> bool {
        let mut latest = self
            .latest
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner);
        let processes = latest.entry(envelope.sender).or_default();
        if let Some(last) = processes.get_mut(&envelope.incarnation) {
            let is_newer = envelope.sequence > *last;
            *last = envelope.sequence.max(*last);
            return is_newer;
        }
        if processes.len() >= MAX_INCARNATIONS {
            processes.shift_remove_index(0);
        }
        processes.insert(envelope.incarnation, envelope.sequence);
        true
    }
}

/// Returns the current time in milliseconds since the Unix epoch.
fn incarnation_now() -> Incarnation {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
