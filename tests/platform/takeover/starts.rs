//! Times between the starts of jobs.

use std::time::{Duration, Instant, SystemTime};

use platform_standin::{Result, RunRecord};

/// Runs of a case in the order of their starts.
pub(super) struct Starts {
    runs: Vec<RunRecord>,
    lost_worker: Option<String>,
    workers: usize,
}

impl Starts {
    pub(super) fn new(runs: Vec<RunRecord>, lost_worker: Option<String>, workers: usize) -> Self {
        Self {
            runs,
            lost_worker,
            workers,
        }
    }

    /// Returns the longest time without a start of any job.
    pub(super) fn longest_gap(&self) -> Duration {
        longest_gap(self.runs.iter())
    }

    /// Returns the longest time between two consecutive starts of a job.
    pub(super) fn longest_gap_of(&self, job: &str) -> Duration {
        longest_gap(self.runs_of(job))
    }

    /// Returns whether a run of the job was going on at a time on the worker that was lost.
    pub(super) fn was_on_lost_worker(&self, job: &str, at: Instant) -> bool {
        let mut runs = self.runs_of(job);
        runs.any(|run| self.is_on_lost_worker(run) && run.is_active_at(at))
    }

    /// Returns how long a worker that is not lost was free while a job waited for its next start after `since`.
    pub(super) fn wait_for_free_worker_since(
        &self,
        job: &str,
        since: SystemTime,
    ) -> Result<Duration> {
        let elapsed = SystemTime::now().duration_since(since)?;
        let since = Instant::now().checked_sub(elapsed);
        let since = since.ok_or("the time is before the start of the machine")?;
        let Some(next) = self.runs_of(job).find(|run| run.started_at > since) else {
            return Ok(Duration::ZERO);
        };
        let earlier = self
            .runs_of(job)
            .filter(|run| run.started_at < next.started_at);
        let turn = earlier.filter_map(|run| run.ended.map(|(at, _)| at)).max();
        let from = turn.map_or(since, |turn| turn.max(since));
        Ok(self.time_with_free_worker(from, next.started_at))
    }

    fn runs_of(&self, job: &str) -> impl Iterator<Item = &RunRecord> {
        self.runs.iter().filter(move |run| run.job() == job)
    }

    fn is_on_lost_worker(&self, run: &RunRecord) -> bool {
        self.lost_worker.as_deref() == Some(&*run.worker)
    }

    fn time_with_free_worker(&self, from: Instant, to: Instant) -> Duration {
        let usable = self.workers - usize::from(self.lost_worker.is_some());
        let ends = self
            .runs
            .iter()
            .filter_map(|run| run.ended.map(|(at, _)| at));
        let starts = self.runs.iter().map(|run| run.started_at);
        let mut times: Vec<Instant> = starts
            .chain(ends)
            .filter(|at| (from..to).contains(at))
            .collect();
        times.extend([from, to]);
        times.sort();
        let is_free = |at: Instant| {
            let runs = self.runs.iter().filter(|run| !self.is_on_lost_worker(run));
            runs.filter(|run| run.is_active_at(at)).count() < usable
        };
        let spans = times.windows(2).filter(|span| is_free(span[0]));
        spans.map(|span| span[1] - span[0]).sum()
    }
}

fn longest_gap<'a>(runs: impl Iterator<Item = &'a RunRecord>) -> Duration {
    let starts: Vec<Instant> = runs.map(|run| run.started_at).collect();
    let gaps = starts.windows(2).map(|pair| pair[1] - pair[0]);
    gaps.max().unwrap_or_default()
}
