//! Authenticated datagrams over UDP.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{SystemTime, UNIX_EPOCH};

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use telemetry::traffic;
use tokio::net::UdpSocket;

use crate::auth::{Key, TAG_LEN};
use crate::messages::Packet;

/// The largest datagram in bytes, below the usual limit of a path without fragmentation.
const MAX_DATAGRAM_BYTES: usize = 1400;

#[derive(Serialize, Deserialize)]
struct Sealed {
    sender: u64,
    incarnation: u64,
    sequence: u64,
    packet: Packet,
}

/// Datagrams by fate.
#[derive(Debug, Default)]
pub struct DatagramCounts {
    sent: AtomicU64,
    sent_bytes: AtomicU64,
    received: AtomicU64,
    foreign: AtomicU64,
    repeated: AtomicU64,
}

impl DatagramCounts {
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

    /// Returns the number of datagrams dropped because the key or the format was wrong.
    pub fn foreign(&self) -> u64 {
        self.foreign.load(Ordering::Relaxed)
    }

    /// Returns the number of datagrams dropped because the sequence number did not rise.
    pub fn repeated(&self) -> u64 {
        self.repeated.load(Ordering::Relaxed)
    }
}

impl DatagramCounts {
    /// Returns the counts with their names.
    pub fn by_fate(&self) -> [(&'static str, u64); 5] {
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
pub struct Datagrams {
    socket: UdpSocket,
    key: Key,
    sender: u64,
    incarnation: u64,
    next: AtomicU64,
    highest: Mutex<IndexMap<u64, (u64, u64)>>,
    counts: DatagramCounts,
}

impl Datagrams {
    /// Binds a socket; `sender` names the process.
    pub async fn bind(addr: SocketAddr, key: Key, sender: &str) -> std::io::Result<Self> {
        let socket = UdpSocket::bind(addr).await?;
        let mut id = [0; 8];
        id.copy_from_slice(&blake3::hash(sender.as_bytes()).as_bytes()[..8]);
        Ok(Self {
            socket,
            key,
            sender: u64::from_le_bytes(id),
            incarnation: incarnation_now(),
            next: AtomicU64::new(1),
            highest: Mutex::default(),
            counts: DatagramCounts::default(),
        })
    }

    /// Returns when this process bound the socket, in milliseconds since 1970.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Returns the address of the socket.
    pub fn local_addr(&self) -> std::io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    /// Returns the counters.
    pub fn counts(&self) -> &DatagramCounts {
        &self.counts
    }

    /// Sends a datagram; a loss is not reported.
    pub async fn send(&self, addr: SocketAddr, packet: Packet) {
        let sequence = self.next.fetch_add(1, Ordering::Relaxed);
        let sealed = Sealed {
            sender: self.sender,
            incarnation: self.incarnation,
            sequence,
            packet,
        };
        let Ok(mut message) = postcard::to_extend(&sealed, Vec::with_capacity(128)) else {
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

    /// Returns the next datagram that passes its checks.
    pub async fn recv(&self) -> (SocketAddr, Packet) {
        let mut buf = [0; MAX_DATAGRAM_BYTES];
        loop {
            // An error here reports an earlier send to a closed port.
            let Ok((len, addr)) = self.socket.recv_from(&mut buf).await else {
                continue;
            };
            traffic::DATAGRAMS.count_received(len);
            let Some(sealed) = self.open(&buf[..len]) else {
                self.counts.foreign.fetch_add(1, Ordering::Relaxed);
                continue;
            };
            if !self.is_new(&sealed) {
                self.counts.repeated.fetch_add(1, Ordering::Relaxed);
                continue;
            }
            self.counts.received.fetch_add(1, Ordering::Relaxed);
            return (addr, sealed.packet);
        }
    }

    fn open(&self, datagram: &[u8]) -> Option<Sealed> {
        let split = datagram.len().checked_sub(TAG_LEN)?;
        let (message, tag) = datagram.split_at(split);
        let sealed: Sealed = postcard::from_bytes(message).ok()?;
        self.key
            .verify(sealed.sequence, message, tag)
            .then_some(sealed)
    }

    fn is_new(&self, sealed: &Sealed) -> bool {
        let mut highest = self
            .highest
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner);
        let last = highest.entry(sealed.sender).or_insert((0, 0));
        let this = (sealed.incarnation, sealed.sequence);
        let new = this > *last;
        if new {
            *last = this;
        }
        new
    }
}

/// Returns the current time in milliseconds since 1970.
fn incarnation_now() -> u64 {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
