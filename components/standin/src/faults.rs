//! Fault settings that tests replace while request handlers read them.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use arc_swap::ArcSwap;
use serde::{Deserialize, Serialize};
use tokio::sync::watch;

/// Selects the requests that a fault applies to.
///
/// With neither field set, the fault applies to all requests. With both set, it applies to the first `count` requests
/// that fall into the share.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Selection {
    /// The number of requests that the fault applies to.
    pub count: Option<u64>,
    /// The fraction of requests that the fault applies to, from 0 to 1.
    pub share: Option<f64>,
    /// The seed of the random choice by `share`.
    pub seed: u64,
}

/// The state of a [`Selection`] in use.
#[derive(Debug)]
pub(crate) struct Selector {
    remaining: Option<AtomicU64>,
    share: Option<(f64, Mutex<fastrand::Rng>)>,
}

impl Selector {
    pub(crate) fn new(selection: &Selection) -> Self {
        let rng = fastrand::Rng::with_seed(selection.seed);
        Self {
            remaining: selection.count.map(AtomicU64::new),
            share: selection.share.map(|share| (share, Mutex::new(rng))),
        }
    }

    /// Decides whether the fault applies to the next request, and counts it if so.
    pub(crate) fn applies_to_next(&self) -> bool {
        let by_share = self.share.as_ref().is_none_or(|(share, rng)| {
            let mut rng = rng.lock().unwrap_or_else(PoisonError::into_inner);
            rng.f64() < *share
        });
        by_share && self.remaining.as_ref().is_none_or(decrement)
    }
}

fn decrement(remaining: &AtomicU64) -> bool {
    remaining
        .fetch_update(Ordering::AcqRel, Ordering::Acquire, |remaining| {
            remaining.checked_sub(1)
        })
        .is_ok()
}

/// The current faults. Readers take a snapshot without blocking; a change wakes tasks that wait for it.
pub(crate) struct FaultState<T> {
    current: ArcSwap<T>,
    changed: watch::Sender<()>,
}

impl<T> FaultState<T> {
    pub(crate) fn new(faults: T) -> Self {
        Self {
            current: ArcSwap::from_pointee(faults),
            changed: watch::Sender::new(()),
        }
    }

    pub(crate) fn load(&self) -> Arc<T> {
        self.current.load_full()
    }

    pub(crate) fn set(&self, faults: T) {
        self.current.store(Arc::new(faults));
        self.changed.send_replace(());
    }

    pub(crate) fn subscribe(&self) -> watch::Receiver<()> {
        self.changed.subscribe()
    }

    /// Waits until the faults satisfy a condition and returns them.
    pub(crate) async fn wait_until(&self, condition: impl Fn(&T) -> bool) -> Arc<T> {
        let mut changed = self.subscribe();
        loop {
            let faults = self.load();
            if condition(&faults) {
                return faults;
            }
            // The sender is a field of `self`, so the channel cannot be closed.
            let _ = changed.changed().await;
        }
    }
}
