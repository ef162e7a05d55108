//! Counters of the bytes that the process exchanges with its peers and with the key-value service.

use std::fmt::Write;
use std::sync::atomic::{AtomicU64, Ordering};

/// Byte counters of one kind of traffic.
#[derive(Debug)]
pub struct Traffic {
    sent: AtomicU64,
    received: AtomicU64,
}

/// Calls between limpethook processes, without TCP and IP headers.
pub static CALLS: Traffic = Traffic::new();
/// Datagrams between limpethook processes, without UDP and IP headers.
pub static DATAGRAMS: Traffic = Traffic::new();
/// Calls of the key-value service with their HTTP headers, without TCP and IP headers.
pub static STORE: Traffic = Traffic::new();

impl Traffic {
    const fn new() -> Self {
        Self {
            sent: AtomicU64::new(0),
            received: AtomicU64::new(0),
        }
    }

    /// Adds to the number of bytes sent.
    pub fn count_sent(&self, bytes: usize) {
        self.sent.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Adds to the number of bytes received.
    pub fn count_received(&self, bytes: usize) {
        self.received.fetch_add(bytes as u64, Ordering::Relaxed);
    }
}

/// Returns the counters in the Prometheus text format.
pub(crate) fn traffic_text() -> String {
    let mut text = String::from("# TYPE limpethook_traffic_bytes_total counter\n");
    for (kind, traffic) in [
        ("calls", &CALLS),
        ("datagrams", &DATAGRAMS),
        ("store", &STORE),
    ] {
        for (direction, bytes) in [("sent", &traffic.sent), ("received", &traffic.received)] {
            let bytes = bytes.load(Ordering::Relaxed);
            // Writing to a string cannot fail.
            let _ = writeln!(
                text,
                "limpethook_traffic_bytes_total{{kind=\"{kind}\",direction=\"{direction}\"}} {bytes}"
            );
        }
    }
    text
}
