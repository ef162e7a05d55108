//! Retries: what may be retried, the retry budget of an account, and the delay before a retry.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering::Relaxed;
use std::time::{Duration, Instant};

use board::{Allowance, RETRY_WINDOW_SLOTS, Usage};
use errors::Verdict;
use fastrand::Rng;

/// Retries that an account with few requests may still make within the window.
const MIN_RETRIES: u64 = 3;

/// The delay before the first retry, about the time a busy endpoint needs to free a slot.
const FIRST_DELAY: Duration = Duration::from_millis(10);

/// The longest delay; a longer one would outlast the heartbeat that reports free slots.
const MAX_DELAY: Duration = Duration::from_secs(1);

/// A slot of the window packs the second it counts, its requests and its retries. The second wraps after 194 days.
const COUNT_BITS: u32 = 20;
const COUNT_MASK: u64 = (1 << COUNT_BITS) - 1;
const SECOND_BITS: u32 = 24;
const SECOND_MASK: u64 = (1 << SECOND_BITS) - 1;

/// A second that is ahead by more than this is an old one from before the wrap.
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

    /// A count that no longer fits stays at its largest value, which only makes retries rarer.
    fn pack(self) -> u64 {
        let requests = self.requests.min(COUNT_MASK);
        let retries = self.retries.min(COUNT_MASK);
        (self.second << (2 * COUNT_BITS)) | (requests << COUNT_BITS) | retries
    }

    /// Returns the slot for counting in `second`, empty if it held an older second.
    ///
    /// A thread that read its clock before others counts in their newer second instead of discarding their counts.
    fn at(self, second: u64) -> Self {
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

/// Returns whether a failed try may be repeated now, and takes the retry from the budget if so.
pub fn may_retry(
    verdict: Verdict,
    idempotent: bool,
    budget: &Allowance,
    remaining: Duration,
    now: Instant,
) -> bool {
    let safe = match verdict {
        Verdict::NotRun => true,
        Verdict::MayHaveRun => idempotent,
        Verdict::Ran => false,
    };
    safe && !remaining.is_zero() && take_retry(budget, now)
}

/// Returns the delay before retry number `retry` (from 1), or nothing if it would reach the deadline.
///
/// The delay doubles with each retry; the random half of it keeps callers that failed together apart.
pub fn retry_delay(retry: u32, remaining: Duration, rng: &mut Rng) -> Option<Duration> {
    let doublings = retry.saturating_sub(1).min(16);
    let full = FIRST_DELAY.saturating_mul(1 << doublings).min(MAX_DELAY);
    let delay = full.mul_f64(0.5 + 0.5 * rng.f64());
    (delay < remaining).then_some(delay)
}

pub(crate) fn record_request(usage: &Usage, now: Instant) {
    let second = second(usage, now);
    let count = |packed| {
        let mut slot = Slot::unpack(packed).at(second);
        slot.requests += 1;
        Some(slot.pack())
    };
    let _ = slot_of(usage, second).fetch_update(Relaxed, Relaxed, count);
}

/// The check and the count are one exchange on the current slot, so threads of one second cannot overdraw together.
fn take_retry(budget: &Allowance, now: Instant) -> bool {
    let usage = &budget.usage;
    let second = second(usage, now);
    let (requests, retries) = earlier_counts(usage, second);
    let percent = u64::from(budget.limits.retry_percent);
    let count = |packed| {
        let mut slot = Slot::unpack(packed).at(second);
        slot.retries += 1;
        let allowed = allowed_retries(requests + slot.requests, percent);
        (retries + slot.retries <= allowed).then(|| slot.pack())
    };
    let taken = slot_of(usage, second).fetch_update(Relaxed, Relaxed, count);
    taken.is_ok()
}

/// An account whose share is 0 makes no retries at all.
fn allowed_retries(requests: u64, percent: u64) -> u64 {
    if percent == 0 {
        return 0;
    }
    (requests * percent / 100).max(MIN_RETRIES)
}

/// Sums the requests and retries of the window before `second`.
fn earlier_counts(usage: &Usage, second: u64) -> (u64, u64) {
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

fn second(usage: &Usage, now: Instant) -> u64 {
    now.saturating_duration_since(usage.since).as_secs() & SECOND_MASK
}

/// Returns the seconds from `earlier` to `later` under wrapping.
fn age(earlier: u64, later: u64) -> u64 {
    later.wrapping_sub(earlier) & SECOND_MASK
}

fn slot_of(usage: &Usage, second: u64) -> &AtomicU64 {
    let slots = RETRY_WINDOW_SLOTS as u64;
    // The remainder is below the number of slots, so the conversion is exact.
    #[allow(clippy::cast_possible_truncation)]
    let index = (second % slots) as usize;
    &usage.window[index]
}
