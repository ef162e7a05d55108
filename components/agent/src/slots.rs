//! The slots of the endpoint and the bounded queue of requests that wait for one.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use errors::{Error, ErrorKind, Result};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::timeout;

/// When a refused caller may retry; about the time in which a busy endpoint frees some slots.
const BUSY_RETRY_AFTER: Duration = Duration::from_millis(200);

/// Counts the free slots and the queued requests.
#[derive(Debug)]
pub(crate) struct Slots {
    permits: Arc<Semaphore>,
    total: u32,
    queued: AtomicU32,
    backlog: u32,
}

/// A slot in use; it is released when this is dropped.
pub(crate) type Slot = OwnedSemaphorePermit;

impl Slots {
    /// Creates `total` free slots and a queue for up to `backlog` requests.
    pub(crate) fn new(total: u32, backlog: u32) -> Self {
        let permits = Arc::new(Semaphore::new(total as usize));
        Self {
            permits,
            total,
            queued: AtomicU32::new(0),
            backlog,
        }
    }

    /// Returns the number of free slots.
    pub(crate) fn free(&self) -> u32 {
        u32::try_from(self.permits.available_permits()).unwrap_or(u32::MAX)
    }

    /// Returns the number of slots.
    pub(crate) fn total(&self) -> u32 {
        self.total
    }

    /// Returns the number of slots in use.
    pub(crate) fn used(&self) -> u32 {
        self.total.saturating_sub(self.free())
    }

    /// Returns the number of requests that wait for a slot.
    pub(crate) fn queued(&self) -> u32 {
        self.queued.load(Ordering::Relaxed)
    }

    /// Acquires a slot if one is free.
    pub(crate) fn try_acquire(&self) -> Option<Slot> {
        Arc::clone(&self.permits).try_acquire_owned().ok()
    }

    /// Acquires a slot, waiting in the bounded queue for at most `max_wait`.
    pub(crate) async fn acquire(&self, max_wait: Duration) -> Result<Slot> {
        if let Some(slot) = self.try_acquire() {
            return Ok(slot);
        }
        let _entry = self.enter_queue()?;
        let Ok(Ok(slot)) = timeout(max_wait, Arc::clone(&self.permits).acquire_owned()).await
        else {
            let message = "the deadline passed while the request was queued for the endpoint";
            return Err(Error::not_run(ErrorKind::Timeout, message).report());
        };
        Ok(slot)
    }

    fn enter_queue(&self) -> Result<QueueEntry<'_>> {
        let entry = QueueEntry(&self.queued);
        if self.queued.fetch_add(1, Ordering::AcqRel) >= self.backlog {
            let error = Error::not_run(ErrorKind::Overloaded, "the queue of the endpoint is full");
            return Err(error.retry_after(BUSY_RETRY_AFTER).report());
        }
        Ok(entry)
    }
}

/// A request in the queue; it leaves the queue when this is dropped.
struct QueueEntry<'a>(&'a AtomicU32);

impl Drop for QueueEntry<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}
