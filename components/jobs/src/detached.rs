//! Detached attempts of an agent, whose outcomes are kept until an owner has read them.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use model::{Attempt, RequestId};

/// Identifies a detached attempt.
type AttemptKey = (RequestId, Attempt);

/// The status of a detached attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AttemptStatus<T> {
    /// The attempt is queued or running.
    Running,
    /// The attempt ended with this outcome.
    Ended(T),
    /// The attempt ended, but its outcome was evicted to stay within the limits.
    Evicted,
}

/// Detached attempts with limits on the age and total size of their outcomes; the oldest outcomes are evicted first.
#[derive(Debug)]
pub struct DetachedAttempts<T> {
    attempts: IndexMap<AttemptKey, AttemptStatus<T>>,
    /// Available outcomes with their end time and size, oldest first.
    outcomes: VecDeque<(Instant, AttemptKey, usize)>,
    /// Evicted outcomes with the time of the eviction, oldest first.
    evicted: VecDeque<(Instant, AttemptKey)>,
    outcome_bytes: usize,
    max_bytes: usize,
    retention: Duration,
}

impl<T> DetachedAttempts<T> {
    /// Creates an empty collection.
    pub fn new(max_bytes: usize, retention: Duration) -> Self {
        Self {
            attempts: IndexMap::new(),
            outcomes: VecDeque::new(),
            evicted: VecDeque::new(),
            outcome_bytes: 0,
            max_bytes,
            retention,
        }
    }

    /// Records an attempt that is about to run; returns false if it is already recorded and must not run again.
    pub fn start(&mut self, request: RequestId, attempt: Attempt) -> bool {
        let key = (request, attempt);
        if self.attempts.contains_key(&key) {
            return false;
        }
        self.attempts.insert(key, AttemptStatus::Running);
        true
    }

    /// Records the outcome of an attempt. An attempt that has not started counts as ended and cannot start any more.
    pub fn end(&mut self, key: (RequestId, Attempt), outcome: T, bytes: usize, now: Instant) {
        self.attempts.insert(key, AttemptStatus::Ended(outcome));
        self.outcomes.push_back((now, key, bytes));
        self.outcome_bytes += bytes;
        self.evict(now);
    }

    /// Returns the status of an attempt.
    pub fn get(&self, request: RequestId, attempt: Attempt) -> Option<&AttemptStatus<T>> {
        self.attempts.get(&(request, attempt))
    }

    /// Evicts outcomes that exceed the limits; a single outcome is kept whatever its size.
    ///
    /// The status of an evicted attempt is kept for another retention period, so that it is not mistaken for an attempt
    /// that never ran.
    pub fn evict(&mut self, now: Instant) {
        while let Some((ended_at, key, bytes)) = self.outcomes.front().copied() {
            let too_large = self.outcome_bytes > self.max_bytes && self.outcomes.len() > 1;
            if !too_large && now.saturating_duration_since(ended_at) < self.retention {
                break;
            }
            self.outcomes.pop_front();
            self.outcome_bytes -= bytes;
            self.attempts.insert(key, AttemptStatus::Evicted);
            self.evicted.push_back((now, key));
        }
        while let Some((evicted_at, key)) = self.evicted.front().copied() {
            if now.saturating_duration_since(evicted_at) < self.retention {
                break;
            }
            self.evicted.pop_front();
            self.attempts.swap_remove(&key);
        }
    }
}
