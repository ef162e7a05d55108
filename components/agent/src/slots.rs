//! The slots of the endpoint and the bounded queue before them.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use errors::{Error, ErrorKind, Result};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::timeout;

/// When a refused caller may try again: about the time in which a busy endpoint frees some slots.
const BUSY_RETRY_AFTER: Duration = Duration::from_millis(200);

/// Counts the slots in use and the requests that wait for one.
#[derive(Debug)]
pub(crate) struct Slots {
    free: Arc<Semaphore>,
    total: u32,
    waiting: AtomicU32,
    backlog: u32,
}

/// A slot in use; it is free again when this is dropped.
pub(crate) type Slot = OwnedSemaphorePermit;

impl Slots {
    /// Creates free slots and a queue of `backlog` places.
    pub(crate) fn new(total: u32, backlog: u32) -> Self {
        let free = Arc::new(Semaphore::new(total as usize));
        Self {
            free,
            total,
            waiting: AtomicU32::new(0),
            backlog,
        }
    }

    /// Returns the number of free slots.
    pub(crate) fn free(&self) -> u32 {
        u32::try_from(self.free.available_permits()).unwrap_or(u32::MAX)
    }

    /// Returns the number of slots.
    pub(crate) fn total(&self) -> u32 {
        self.total
    }

    /// Returns the number of slots in use.
    pub(crate) fn used(&self) -> u32 {
        self.total.saturating_sub(self.free())
    }

    /// Returns the number of requests that wait.
    pub(crate) fn waiting(&self) -> u32 {
        self.waiting.load(Ordering::Relaxed)
    }

    /// Takes a slot if one is free.
    pub(crate) fn try_take(&self) -> Option<Slot> {
        Arc::clone(&self.free).try_acquire_owned().ok()
    }

    /// Takes a slot, waiting in the bounded queue for at most `limit`.
    pub(crate) async fn take(&self, limit: Duration) -> Result<Slot> {
        if let Some(slot) = self.try_take() {
            return Ok(slot);
        }
        let _place = self.queue()?;
        let Ok(Ok(slot)) = timeout(limit, Arc::clone(&self.free).acquire_owned()).await else {
            let message = "the deadline passed in the queue of the endpoint";
            return Err(Error::not_run(ErrorKind::Timeout, message).report());
        };
        Ok(slot)
    }

    fn queue(&self) -> Result<Place<'_>> {
        let place = Place(&self.waiting);
        if self.waiting.fetch_add(1, Ordering::AcqRel) >= self.backlog {
            let error = Error::not_run(ErrorKind::Overloaded, "the queue of the endpoint is full");
            return Err(error.retry_after(BUSY_RETRY_AFTER).report());
        }
        Ok(place)
    }
}

/// A place in the queue.
struct Place<'a>(&'a AtomicU32);

impl Drop for Place<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}
