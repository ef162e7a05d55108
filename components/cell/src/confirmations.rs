//! When the configuration of an entry was last compared with a newer source.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// Source that was asked whether there is a newer configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Source {
    /// A read of the key in the store.
    StoreRead,
    /// A watch of the key in the store.
    StoreWatch,
    /// Another entry.
    Peer,
}

impl Source {
    pub(crate) const ALL: [Self; 3] = [Self::StoreRead, Self::StoreWatch, Self::Peer];

    /// Returns the name of the source in logs and metrics.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::StoreRead => "store_read",
            Self::StoreWatch => "store_watch",
            Self::Peer => "peer",
        }
    }
}

/// Times of the last answers by source, in milliseconds on the boot clock.
#[derive(Debug, Default)]
pub(crate) struct Confirmations([AtomicU64; Source::ALL.len()]);

impl Confirmations {
    /// Records an answer to a question that was asked at `asked_at`.
    pub(crate) fn record(&self, source: Source, asked_at: Duration) {
        let asked_at = u64::try_from(asked_at.as_millis()).unwrap_or(u64::MAX);
        self.0[source as usize].fetch_max(asked_at, Ordering::AcqRel);
    }

    /// Returns how long ago the source was last asked with success, or `None` if it never answered.
    pub(crate) fn age(&self, source: Source, now: Duration) -> Option<Duration> {
        let asked_at = self.0[source as usize].load(Ordering::Acquire);
        (asked_at > 0).then(|| now.saturating_sub(Duration::from_millis(asked_at)))
    }
}
