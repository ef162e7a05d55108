//! Retries: which failures may be retried, the retry budget of an account, and the delay before a retry.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering::Relaxed;
use std::time::{Duration, Instant};

use board::{AccountQuota, AccountUsage, RETRY_WINDOW_SLOTS};
use errors::Verdict;
use fastrand::Rng;

/// Minimum number of retries within the window, for accounts with few requests.
const MIN_RETRIES: u64 = 3;

/// Delay before the first retry, about the time that a busy endpoint needs to free a slot.
const FIRST_DELAY: Duration = Duration::from_millis(10);

/// Maximum delay; a longer one would exceed the interval of the heartbeats that report free slots.
const MAX_DELAY: Duration = Duration::from_secs(1);

/// A slot of the window packs a second with the numbers of its requests and retries. The second wraps after 194 days.
const COUNT_BITS: u32 = 20;
const COUNT_MASK: u64 = (1 << COUNT_BITS) - 1;
const SECOND_BITS: u32 = 24;
const SECOND_MASK: u64 = (1 << SECOND_BITS) - 1;

/// Modulo the wrap, a slot that is ahead of the current second by this much or more is an old one.
const MAX_LAG_SECONDS: u64 = 3600;

#[derive(Clone, Copy)]
struct Slot {
    second: u64,
    requests: u64,
    retries: u64,
}

impl Slot {
    fn unpack(packed: u64) -> Self {
        Self {
            second: packed >> (2 * COUNT_BITS),
            requests: (packed >> COUNT_BITS) & COUNT_MASK,
            retries: packed & COUNT_MASK,
        }
    }

    /// Counts saturate at their largest value, which can only reduce the number of retries.
    fn pack(self) -> u64 {
        let requests = self.requests.min(COUNT_MASK);
        let retries = self.retries.min(COUNT_MASK);
        (self.second << (2 * COUNT_BITS)) | (requests << COUNT_BITS) | retries
    }

    /// Returns the slot to count `second` in, cleared if it holds an older second.
    ///
    /// A thread with an older clock reading counts in the newer second of other threads, to preserve their counts.
    fn for_second(self, second: u64) -> Self {
        if age(second, self.second) < MAX_LAG_SECONDS {
            return self;
        }
        Self {
            second,
            requests: 0,
            retries: 0,
        }
    }
}

/// Returns whether a failed attempt may be retried now; if so, deducts the retry from the budget.
pub fn may_retry(
    verdict: Verdict,
    idempotent: bool,
    budget: &AccountQuota,
    remaining: Duration,
    now: Instant,
) -> bool {
    let safe = match verdict {
        Verdict::NotRun => true,
        Verdict::MayHaveRun => idempotent,
        Verdict::Ran => false,
    };
    safe && !remaining.is_zero() && deduct_retry(budget, now)
}

/// Returns the delay before retry number `retry`, starting at 1, or `None` if it would reach the deadline.
///
/// The delay doubles with each retry. Half of it is random, so that callers that failed together retry apart.
pub fn retry_delay(retry: u32, remaining: Duration, rng: &mut Rng) -> Option<Duration> {
    let doublings = retry.saturating_sub(1).min(16);
    let full = FIRST_DELAY.saturating_mul(1 << doublings).min(MAX_DELAY);
    let delay = full.mul_f64(0.5 + 0.5 * rng.f64());
    (delay < remaining).then_some(delay)
}

pub(crate) fn record_request(usage: &AccountUsage, now: Instant) {
    let second = second(usage, now);
    let count = |packed| {
        let mut slot = Slot::unpack(packed).for_second(second);
        slot.requests += 1;
        Some(slot.pack())
    };
    let _ = slot_of(usage, second).fetch_update(Relaxed, Relaxed, count);
}

/// Counts a retry if the budget allows it.
///
/// One compare-and-exchange on the current slot checks and counts, so that threads in the same second cannot exceed the
/// budget together.
fn deduct_retry(budget: &AccountQuota, now: Instant) -> bool {
    let usage = &budget.usage;
    let second = second(usage, now);
    let (requests, retries) = earlier_counts(usage, second);
    let percent = u64::from(budget.limits.retry_percent);
    let count = |packed| {
        let mut slot = Slot::unpack(packed).for_second(second);
        slot.retries += 1;
        let allowed = allowed_retries(requests + slot.requests, percent);
        (retries + slot.retries <= allowed).then(|| slot.pack())
    };
    let deducted = slot_of(usage, second).fetch_update(Relaxed, Relaxed, count);
    deducted.is_ok()
}

/// Returns the number of retries allowed within the window; an account with a share of 0 may not retry at all.
fn allowed_retries(requests: u64, percent: u64) -> u64 {
    if percent == 0 {
        return 0;
    }
    (requests * percent / 100).max(MIN_RETRIES)
}

/// Returns the numbers of requests and retries in the part of the window before `second`.
fn earlier_counts(usage: &AccountUsage, second: u64) -> (u64, u64) {
    let slots = usage
        .window
        .iter()
        .map(|slot| Slot::unpack(slot.load(Relaxed)));
    let recent = slots.filter(|slot| {
        let age = age(slot.second, second);
        age > 0 && age < RETRY_WINDOW_SLOTS as u64
    });
    recent.fold((0, 0), |sum, slot| {
        (sum.0 + slot.requests, sum.1 + slot.retries)
    })
}

fn second(usage: &AccountUsage, now: Instant) -> u64 {
    now.saturating_duration_since(usage.window_start).as_secs() & SECOND_MASK
}

/// Returns the seconds from `earlier` to `later`, modulo the range of a slot.
fn age(earlier: u64, later: u64) -> u64 {
    later.wrapping_sub(earlier) & SECOND_MASK
}

fn slot_of(usage: &AccountUsage, second: u64) -> &AtomicU64 {
    let slots = RETRY_WINDOW_SLOTS as u64;
    // The remainder is below the number of slots, so the conversion is exact.
    #[allow(clippy::cast_possible_truncation)]
    let index = (second % slots) as usize;
    &usage.window[index]
}
