//! A snapshot under read-copy-update.

use std::sync::Arc;

use arc_swap::{ArcSwap, Guard};
use tokio::sync::watch;

/// One section of the board.
///
/// Readers take the current snapshot without a lock. The controller that owns the section publishes a changed copy.
#[derive(Debug)]
pub struct Section<T> {
    current: ArcSwap<T>,
    version: watch::Sender<u64>,
}

impl<T: Default> Default for Section<T> {
    fn default() -> Self {
        Self {
            current: ArcSwap::from_pointee(T::default()),
            version: watch::Sender::new(0),
        }
    }
}

impl<T> Section<T> {
    /// Returns the current snapshot for a short read.
    pub fn load(&self) -> Guard<Arc<T>> {
        self.current.load()
    }

    /// Returns the current snapshot to keep.
    pub fn snapshot(&self) -> Arc<T> {
        self.current.load_full()
    }

    /// Replaces the snapshot and wakes those that wait for a change.
    pub fn publish(&self, value: T) {
        self.current.store(Arc::new(value));
        self.version.send_modify(|version| *version += 1);
    }

    /// Returns a receiver that wakes at each change.
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.version.subscribe()
    }
}

impl<T: Clone> Section<T> {
    /// Changes a copy of the snapshot and publishes it.
    ///
    /// Only the controller that owns the section may call this; two concurrent calls lose one change.
    pub fn update<R>(&self, change: impl FnOnce(&mut T) -> R) -> R {
        let mut copy = T::clone(&self.current.load());
        let result = change(&mut copy);
        self.publish(copy);
        result
    }
}
