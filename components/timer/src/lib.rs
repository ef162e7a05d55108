//! A timer service shared by the parts of a process.
//!
//! A single task keeps all timers in a delay queue and sleeps until the next one expires.

use std::time::{Duration, Instant};

use tokio::sync::mpsc;
use tokio_util::time::DelayQueue;

/// Buffered ticks per subscription; further ticks are dropped, so that they do not accumulate while a subscriber is
/// busy.
const TICK_BUFFER: usize = 1;

struct Subscription {
    tx: mpsc::Sender<Instant>,
    period: Option<Duration>,
}

struct NewSubscription {
    delay: Duration,
    subscription: Subscription,
}

/// A handle to the timer service.
#[derive(Debug, Clone)]
pub struct Timer {
    tx: mpsc::UnboundedSender<NewSubscription>,
}

impl Timer {
    /// Starts the service on the current runtime; it stops when all handles and subscriptions are dropped.
    pub fn start() -> Self {
        let (tx, rx) = mpsc::unbounded_channel();
        tokio::spawn(run(rx));
        Self { tx }
    }

    /// Returns a receiver of ticks every `period`, the first of them after one period.
    pub fn subscribe_every(&self, period: Duration) -> mpsc::Receiver<Instant> {
        self.subscribe(period, Some(period))
    }

    /// Returns a receiver of one tick at `at`.
    pub fn subscribe_at(&self, at: Instant) -> mpsc::Receiver<Instant> {
        self.subscribe(at.saturating_duration_since(now()), None)
    }

    /// Returns a receiver of one tick after `delay`.
    pub fn subscribe_after(&self, delay: Duration) -> mpsc::Receiver<Instant> {
        self.subscribe(delay, None)
    }

    fn subscribe(&self, delay: Duration, period: Option<Duration>) -> mpsc::Receiver<Instant> {
        let (tx, rx) = mpsc::channel(TICK_BUFFER);
        // Sending fails only while the runtime shuts down, and then the receiver is closed at once.
        let _ = self.tx.send(NewSubscription {
            delay,
            subscription: Subscription { tx, period },
        });
        rx
    }
}

/// Returns the current time of the runtime, which tests can pause.
pub fn now() -> Instant {
    tokio::time::Instant::now().into_std()
}

async fn run(mut rx: mpsc::UnboundedReceiver<NewSubscription>) {
    let mut queue = DelayQueue::new();
    let mut accepting = true;
    while accepting || !queue.is_empty() {
        tokio::select! {
            received = rx.recv(), if accepting => match received {
                Some(NewSubscription { delay, subscription }) => {
                    queue.insert(subscription, delay);
                }
                None => accepting = false,
            },
            Some(expired) = std::future::poll_fn(|cx| queue.poll_expired(cx)), if !queue.is_empty() => {
                send_tick(&mut queue, expired.into_inner());
            }
        }
    }
}

/// Sends a tick, and schedules the next one of a periodic subscription unless its receiver is dropped.
fn send_tick(queue: &mut DelayQueue<Subscription>, subscription: Subscription) {
    let sent = subscription.tx.try_send(now());
    if matches!(sent, Err(mpsc::error::TrySendError::Closed(_))) {
        return;
    }
    if let Some(period) = subscription.period {
        queue.insert(subscription, period);
    }
}
