//! The outcomes of detached attempts that an agent keeps until an owner has read them.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use model::{Attempt, RequestId};

/// Names a detached attempt.
type Key = (RequestId, Attempt);

/// What is known of a detached attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome<T> {
    /// It waits or runs.
    Running,
    /// It ended.
    Ended(T),
    /// It ended and its outcome was dropped to stay within the bounds.
    Dropped,
}

/// Detached attempts, bounded by time and size; the oldest outcomes are dropped first.
#[derive(Debug)]
pub struct Outcomes<T> {
    known: IndexMap<Key, Outcome<T>>,
    kept: VecDeque<(Instant, Key, usize)>,
    dropped: VecDeque<(Instant, Key)>,
    bytes: usize,
    max_bytes: usize,
    retention: Duration,
}

impl<T> Outcomes<T> {
    /// Starts with no attempts.
    pub fn new(max_bytes: usize, retention: Duration) -> Self {
        Self {
            known: IndexMap::new(),
            kept: VecDeque::new(),
            dropped: VecDeque::new(),
            bytes: 0,
            max_bytes,
            retention,
        }
    }

    /// Records an attempt that is about to run; false if it is known already and must not run again.
    pub fn start(&mut self, request: RequestId, attempt: Attempt) -> bool {
        let key = (request, attempt);
        if self.known.contains_key(&key) {
            return false;
        }
        self.known.insert(key, Outcome::Running);
        true
    }

    /// Records the end of an attempt, or refuses one that never started.
    pub fn end(&mut self, key: (RequestId, Attempt), outcome: T, bytes: usize, now: Instant) {
        self.known.insert(key, Outcome::Ended(outcome));
        self.kept.push_back((now, key, bytes));
        self.bytes += bytes;
        self.expire(now);
    }

    /// Returns what is known of an attempt.
    pub fn get(&self, request: RequestId, attempt: Attempt) -> Option<&Outcome<T>> {
        self.known.get(&(request, attempt))
    }

    /// Drops what exceeds the bounds; the newest outcome stays whatever its size.
    ///
    /// A dropped outcome leaves a mark for a further retention, so that its attempt is not taken for one that never ran.
    pub fn expire(&mut self, now: Instant) {
        while let Some((ended, key, bytes)) = self.kept.front().copied() {
            let too_large = self.bytes > self.max_bytes && self.kept.len() > 1;
            if !too_large && now.saturating_duration_since(ended) < self.retention {
                break;
            }
            self.kept.pop_front();
            self.bytes -= bytes;
            self.known.insert(key, Outcome::Dropped);
            self.dropped.push_back((now, key));
        }
        while let Some((at, key)) = self.dropped.front().copied() {
            if now.saturating_duration_since(at) < self.retention {
                break;
            }
            self.dropped.pop_front();
            self.known.swap_remove(&key);
        }
    }
}
