//! A timer service that parts of a process subscribe to.
//!
//! One task holds all timers in a delay queue and sleeps until the next one is due.

use std::time::{Duration, Instant};

use tokio::sync::mpsc;
use tokio_util::time::DelayQueue;

/// A tick that finds its subscriber busy is dropped, so that ticks never pile up.
const TICK_BUFFER: usize = 1;

struct Subscription {
    tx: mpsc::Sender<Instant>,
    period: Option<Duration>,
}

struct Subscribe {
    after: Duration,
    subscription: Subscription,
}

/// A handle to the timer service.
#[derive(Debug, Clone)]
pub struct Timer {
    tx: mpsc::UnboundedSender<Subscribe>,
}

impl Timer {
    /// Starts the service on the current runtime; it ends with its last handle and subscription.
    pub fn start() -> Self {
        let (tx, rx) = mpsc::unbounded_channel();
        tokio::spawn(run(rx));
        Self { tx }
    }

    /// Returns a receiver that gets a tick every `period`, the first one after one period.
    pub fn subscribe_every(&self, period: Duration) -> mpsc::Receiver<Instant> {
        self.subscribe(period, Some(period))
    }

    /// Returns a receiver that gets one tick at `at`.
    pub fn subscribe_at(&self, at: Instant) -> mpsc::Receiver<Instant> {
        self.subscribe(at.saturating_duration_since(now()), None)
    }

    /// Returns a receiver that gets one tick after `delay`.
    pub fn subscribe_after(&self, delay: Duration) -> mpsc::Receiver<Instant> {
        self.subscribe(delay, None)
    }

    fn subscribe(&self, after: Duration, period: Option<Duration>) -> mpsc::Receiver<Instant> {
        let (tx, rx) = mpsc::channel(TICK_BUFFER);
        // The send fails only while the runtime shuts down; the receiver then ends at once.
        let _ = self.tx.send(Subscribe {
            after,
            subscription: Subscription { tx, period },
        });
        rx
    }
}

/// Returns the current time of the runtime, which tests can pause.
pub fn now() -> Instant {
    tokio::time::Instant::now().into_std()
}

async fn run(mut rx: mpsc::UnboundedReceiver<Subscribe>) {
    let mut queue = DelayQueue::new();
    let mut open = true;
    while open || !queue.is_empty() {
        tokio::select! {
            new = rx.recv(), if open => match new {
                Some(Subscribe { after, subscription }) => {
                    queue.insert(subscription, after);
                }
                None => open = false,
            },
            Some(expired) = std::future::poll_fn(|cx| queue.poll_expired(cx)), if !queue.is_empty() => {
                deliver(&mut queue, expired.into_inner());
            }
        }
    }
}

fn deliver(queue: &mut DelayQueue<Subscription>, subscription: Subscription) {
    let sent = subscription.tx.try_send(now());
    if matches!(sent, Err(mpsc::error::TrySendError::Closed(_))) {
        return;
    }
    if let Some(period) = subscription.period {
        queue.insert(subscription, period);
    }
}
