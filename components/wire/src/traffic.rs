//! Bytes on the connections to peers, apart by region.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

/// The bytes of the connections to one peer.
#[derive(Debug, Default)]
pub(crate) struct Traffic {
    sent: AtomicU64,
    received: AtomicU64,
    /// Whether the peer is in another region.
    remote: AtomicBool,
}

impl Traffic {
    pub(crate) fn add_sent(&self, bytes: usize) {
        self.sent.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    pub(crate) fn add_received(&self, bytes: usize) {
        self.received.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    pub(crate) fn is_remote(&self) -> bool {
        self.remote.load(Ordering::Relaxed)
    }

    pub(crate) fn set_remote(&self, remote: bool) {
        self.remote.store(remote, Ordering::Relaxed);
    }
}

/// Bytes of all connections that this process opened to peers.
///
/// The process that opened a connection counts both directions, so that the sum over processes counts each byte once.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PeerBytes {
    /// Sent within the region, or to peers whose region is not known.
    pub sent_local: u64,
    /// Received within the region, or from peers whose region is not known.
    pub received_local: u64,
    /// Sent to other regions.
    pub sent_remote: u64,
    /// Received from other regions.
    pub received_remote: u64,
}

impl PeerBytes {
    /// Returns the counts with their names.
    pub fn by_direction(&self) -> [(&'static str, u64); 4] {
        [
            ("sent_local", self.sent_local),
            ("received_local", self.received_local),
            ("sent_remote", self.sent_remote),
            ("received_remote", self.received_remote),
        ]
    }

    pub(crate) fn add(&mut self, traffic: &Traffic) {
        let sent = traffic.sent.load(Ordering::Relaxed);
        let received = traffic.received.load(Ordering::Relaxed);
        if traffic.is_remote() {
            self.sent_remote += sent;
            self.received_remote += received;
        } else {
            self.sent_local += sent;
            self.received_local += received;
        }
    }
}
