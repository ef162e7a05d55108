//! Run times and attained service of the client accounts, learned from finished runs.

use std::collections::VecDeque;
use std::hash::Hash;
use std::time::{Duration, Instant};

use board::{Board, History, RunTimeEstimate};
use indexmap::{Equivalent, IndexMap};
use model::{AccountId, Request, ServiceId, Shape};

/// Number of recent runs for the percentiles of an estimate; older runs say little about a service that has changed.
const RECENT_RUNS: u8 = 50;

/// Minimum number of runs before an estimate is used; with fewer, its percentiles are mostly chance and the declared
/// run time is used.
const MIN_RUNS: u32 = 5;

/// Run time that is assumed if neither the caller nor the history provides one; most jobs run for hours.
const DEFAULT_RUN_TIME: Duration = Duration::from_hours(1);

/// Maximum number of estimates, one per account and service; the least recently updated one is evicted.
pub const MAX_ESTIMATES: usize = 1024;

/// Maximum number of accounts with attained service; the one with the least is evicted.
pub const MAX_ATTAINED: usize = 1024;

/// Half-life of attained service; a shorter one would discount a job of several hours while it still runs.
const ATTAINED_HALF_LIFE: Duration = Duration::from_hours(24);

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunEnd {
    /// The run completed.
    Answered,
    /// The run failed; its length says nothing about a complete run.
    Failed,
    /// The run was stopped; a complete run takes longer.
    Stopped,
}

/// A finished run.
#[derive(Debug, Clone)]
pub struct Run {
    /// The client account.
    pub account: AccountId,
    /// The service.
    pub service: ServiceId,
    /// The shape of the gang.
    pub shape: Shape,
    /// The run time that the caller declared.
    pub declared: Option<Duration>,
    /// The measured run time.
    pub actual: Duration,
    /// How it ended.
    pub end: RunEnd,
}

/// Writes the history section.
#[derive(Debug, Default)]
pub struct HistoryController {
    samples: IndexMap<(AccountId, ServiceId), RunSamples>,
    /// Number of run times added so far, used to order the samples by their last update.
    observed: u64,
    last_decay: Option<Instant>,
}

impl HistoryController {
    /// Adds finished runs to the history; each batch copies the section once.
    pub fn observe_runs(&mut self, board: &Board, runs: &[Run], now: Instant) {
        if runs.is_empty() {
            return;
        }
        board.history.update(|history| {
            self.decay(history, now);
            for run in runs {
                add_attained(history, run);
                self.add_run_time(history, run);
            }
        });
    }

    /// Decays all accounts by the same factor, so that their order does not depend on when they are read.
    fn decay(&mut self, history: &mut History, now: Instant) {
        let since = self.last_decay.replace(now).unwrap_or(now);
        let elapsed = now.saturating_duration_since(since);
        let factor = 0.5_f64.powf(elapsed.as_secs_f64() / ATTAINED_HALF_LIFE.as_secs_f64());
        for attained in history.attained_service.values_mut() {
            *attained *= factor;
        }
    }

    fn add_run_time(&mut self, history: &mut History, run: &Run) {
        let key = (run.account.clone(), run.service.clone());
        let known = history.estimates.get(&key);
        let beyond_known = known.is_some_and(|estimate| run.actual > estimate.p90);
        // A stopped run is a lower bound of the complete run, so it adds information only beyond the known run times.
        let informative =
            run.end == RunEnd::Answered || (run.end == RunEnd::Stopped && beyond_known);
        if !informative {
            return;
        }
        self.observed += 1;
        let samples = self.samples.entry(key.clone()).or_default();
        samples.last_observed = self.observed;
        samples.add(run);
        history.estimates.insert(key, samples.estimate());
        self.evict_oldest(history);
    }

    fn evict_oldest(&mut self, history: &mut History) {
        if self.samples.len() <= MAX_ESTIMATES {
            return;
        }
        let oldest = self.samples.iter().min_by_key(|(_, s)| s.last_observed);
        let Some(key) = oldest.map(|(key, _)| key.clone()) else {
            return;
        };
        self.samples.swap_remove(&key);
        history.estimates.swap_remove(&key);
    }
}

fn add_attained(history: &mut History, run: &Run) {
    let accelerators = f64::from(run.shape.total().accelerators);
    let attained = history
        .attained_service
        .entry(run.account.clone())
        .or_default();
    *attained += accelerators * run.actual.as_secs_f64();
    if history.attained_service.len() <= MAX_ATTAINED {
        return;
    }
    let accounts = history.attained_service.iter();
    let least = accounts.min_by(|a, b| a.1.total_cmp(b.1));
    if let Some(account) = least.map(|(account, _)| account.clone()) {
        history.attained_service.swap_remove(&account);
    }
}

/// Returns the run time to use for planning.
///
/// The declared time is scaled by the mean ratio of actual to declared times and clamped to the range of recent run
/// times. Without a declared time the 90th percentile is used, because an estimate that is too short breaks a
/// reservation.
pub fn corrected_run_time(history: &History, request: &Request) -> Duration {
    let key = EstimateKey(&request.account, &request.service);
    let known = history.estimates.get(&key);
    let Some(estimate) = known.filter(|estimate| estimate.runs >= MIN_RUNS) else {
        return request.declared_run_time.unwrap_or(DEFAULT_RUN_TIME);
    };
    let Some(declared) = request.declared_run_time else {
        return estimate.p90;
    };
    let seconds = declared.as_secs_f64() * estimate.declared_ratio.unwrap_or(1.0);
    let corrected = Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX);
    corrected.max(estimate.p10).min(estimate.p90)
}

/// Borrowed key of an estimate, for lookups that do not clone the ids.
#[derive(Hash)]
struct EstimateKey<'a>(&'a str, &'a str);

impl Equivalent<(AccountId, ServiceId)> for EstimateKey<'_> {
    fn equivalent(&self, key: &(AccountId, ServiceId)) -> bool {
        *self.0 == *key.0 && *self.1 == *key.1
    }
}

#[derive(Debug, Default)]
struct RunSamples {
    recent: VecDeque<Duration>,
    runs: u32,
    mean: f64,
    declared_runs: u32,
    /// Mean logarithm of actual over declared run time.
    log_ratio: f64,
    last_observed: u64,
}

impl RunSamples {
    fn add(&mut self, run: &Run) {
        self.runs = self.runs.saturating_add(1);
        self.mean += (run.actual.as_secs_f64() - self.mean) / mean_divisor(self.runs);
        if self.recent.len() == usize::from(RECENT_RUNS) {
            self.recent.pop_front();
        }
        self.recent.push_back(run.actual);
        let Some(declared) = run.declared.filter(|declared| !declared.is_zero()) else {
            return;
        };
        self.declared_runs = self.declared_runs.saturating_add(1);
        let actual = run.actual.max(Duration::from_millis(1));
        let ratio = actual.as_secs_f64() / declared.as_secs_f64();
        self.log_ratio += (ratio.ln() - self.log_ratio) / mean_divisor(self.declared_runs);
    }

    fn estimate(&self) -> RunTimeEstimate {
        let mut sorted: Vec<_> = self.recent.iter().copied().collect();
        sorted.sort_unstable();
        let last = sorted.len() - 1;
        RunTimeEstimate {
            runs: self.runs,
            mean: Duration::from_secs_f64(self.mean),
            p10: sorted[last / 10],
            p90: sorted[last - last / 10],
            declared_ratio: (self.declared_runs > 0).then(|| self.log_ratio.exp()),
        }
    }
}

/// Returns the divisor of a streaming mean that adapts to changes over about `RECENT_RUNS` values.
fn mean_divisor(count: u32) -> f64 {
    f64::from(count).min(f64::from(RECENT_RUNS))
}
