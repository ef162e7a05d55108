//! A snapshot with read-copy-update.

use std::sync::Arc;

use arc_swap::{ArcSwap, Guard};
use tokio::sync::watch;

/// One section of the board.
///
/// Readers load the current snapshot without a lock. The controller that owns the section publishes modified copies.
#[derive(Debug)]
pub struct Section<T> {
    current: ArcSwap<T>,
    version: watch::Sender<u64>,
}

impl<T: Default> Default for Section<T> {
    fn default() -> Self {
        Self::new(T::default())
    }
}

impl<T> Section<T> {
    /// Creates a section with its first snapshot.
    pub fn new(value: T) -> Self {
        Self {
            current: ArcSwap::from_pointee(value),
            version: watch::Sender::new(0),
        }
    }

    /// Returns a guard of the current snapshot, for short reads.
    pub fn load(&self) -> Guard<Arc<T>> {
        self.current.load()
    }

    /// Returns the current snapshot, for reads that take longer.
    pub fn snapshot(&self) -> Arc<T> {
        self.current.load_full()
    }

    /// Replaces the snapshot and notifies the receivers of [`Section::changes`].
    pub fn publish(&self, value: T) {
        self.current.store(Arc::new(value));
        self.version.send_modify(|version| *version += 1);
    }

    /// Returns a receiver that is notified of each change.
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.version.subscribe()
    }
}

impl<T: Clone> Section<T> {
    /// Modifies a copy of the snapshot and publishes it.
    ///
    /// Only the controller that owns the section may call this, because concurrent calls would lose updates.
    pub fn update<R>(&self, change: impl FnOnce(&mut T) -> R) -> R {
        let mut copy = T::clone(&self.current.load());
        let result = change(&mut copy);
        self.publish(copy);
        result
    }
}
