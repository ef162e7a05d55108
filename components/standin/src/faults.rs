//! Faults that tests set while requests read them.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use arc_swap::ArcSwap;
use serde::{Deserialize, Serialize};
use tokio::sync::watch;

/// Which requests a fault hits: the next `count`, or a share of all; every request if neither is given.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Selection {
    /// The number of requests to hit.
    pub count: Option<u64>,
    /// The share of requests to hit, from 0 to 1.
    pub share: Option<f64>,
    /// The seed of the choice by share.
    pub seed: u64,
}

/// A selection with its progress.
#[derive(Debug)]
pub(crate) struct Selector {
    left: Option<AtomicU64>,
    share: Option<(f64, Mutex<fastrand::Rng>)>,
}

impl Selector {
    pub(crate) fn new(selection: &Selection) -> Self {
        let rng = fastrand::Rng::with_seed(selection.seed);
        Self {
            left: selection.count.map(AtomicU64::new),
            share: selection.share.map(|share| (share, Mutex::new(rng))),
        }
    }

    /// Returns whether the fault hits this request.
    pub(crate) fn hit(&self) -> bool {
        let by_share = self.share.as_ref().is_none_or(|(share, rng)| {
            let mut rng = rng.lock().unwrap_or_else(PoisonError::into_inner);
            rng.f64() < *share
        });
        by_share && self.left.as_ref().is_none_or(take_one)
    }
}

fn take_one(left: &AtomicU64) -> bool {
    left.fetch_update(Ordering::AcqRel, Ordering::Acquire, |left| {
        left.checked_sub(1)
    })
    .is_ok()
}

/// The current faults; readers take a snapshot, and a change wakes those who wait for it.
pub(crate) struct Faults<T> {
    current: ArcSwap<T>,
    changed: watch::Sender<()>,
}

impl<T> Faults<T> {
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

    /// Waits until the faults satisfy a condition.
    pub(crate) async fn wait_until(&self, holds: impl Fn(&T) -> bool) -> Arc<T> {
        let mut changed = self.subscribe();
        loop {
            let faults = self.load();
            if holds(&faults) {
                return faults;
            }
            // The sender lives as long as `self`, so this does not fail.
            let _ = changed.changed().await;
        }
    }
}
