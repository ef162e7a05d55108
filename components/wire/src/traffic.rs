//! Traffic counters of the connections to peers, separate for the own region and other regions.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

/// Byte counters of the connections to one peer.
#[derive(Debug, Default)]
pub(crate) struct TrafficCounters {
    sent: AtomicU64,
    received: AtomicU64,
    /// Whether the peer is in another region.
    remote: AtomicBool,
}

impl TrafficCounters {
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

/// Bytes transferred over all connections that this process opened to peers.
///
/// Only the process that opened a connection counts its bytes, in both directions, so that the sum over all processes
/// counts each byte once.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PeerBytes {
    /// Bytes sent to peers in the same region or in an unknown region.
    pub sent_local: u64,
    /// Bytes received from peers in the same region or in an unknown region.
    pub received_local: u64,
    /// Bytes sent to peers in other regions.
    pub sent_remote: u64,
    /// Bytes received from peers in other regions.
    pub received_remote: u64,
}

impl PeerBytes {
    /// Returns the counters with their metric labels.
    pub fn by_direction(&self) -> [(&'static str, u64); 4] {
        [
            ("sent_local", self.sent_local),
            ("received_local", self.received_local),
            ("sent_remote", self.sent_remote),
            ("received_remote", self.received_remote),
        ]
    }

    pub(crate) fn add(&mut self, traffic: &TrafficCounters) {
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
