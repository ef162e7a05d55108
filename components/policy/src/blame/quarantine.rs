//! Quarantines of workers and the probes that end them.

use std::collections::HashSet;
use std::time::{Duration, Instant};

use board::Quarantine;
use indexmap::IndexSet;
use model::{JobId, WorkerId};

use super::{BlameController, Observation};

/// Delay from the start of a quarantine to its first probe; the interval doubles with each failed probe.
const FIRST_PROBE_DELAY: Duration = Duration::from_secs(30);

/// Maximum interval between probes, so that a repaired worker returns within an hour.
const MAX_PROBE_INTERVAL: Duration = Duration::from_hours(1);

/// Maximum number of jobs that are kept as evidence against one worker.
const MAX_EVIDENCE: usize = 16;

/// The state of a quarantine that is not published on the board.
#[derive(Debug)]
pub(crate) struct QuarantineRecord {
    /// The jobs whose failures are the evidence against the worker.
    pub(crate) evidence: IndexSet<JobId>,
    /// The running probe; failures of tasks that started before the quarantine are not failed probes.
    probe: Option<JobId>,
    failed_probes: u32,
}

impl QuarantineRecord {
    pub(crate) fn new(evidence: IndexSet<JobId>) -> Self {
        Self {
            evidence,
            probe: None,
            failed_probes: 0,
        }
    }

    pub(crate) fn begin(&self, now: Instant) -> Quarantine {
        Quarantine {
            since: now,
            next_probe: now + self.probe_interval(),
        }
    }

    fn probe_interval(&self) -> Duration {
        let doublings = self.failed_probes.min(16);
        let interval = FIRST_PROBE_DELAY.saturating_mul(1 << doublings);
        interval.min(MAX_PROBE_INTERVAL)
    }

    fn add_failure(&mut self, job: JobId) -> bool {
        if self.evidence.len() < MAX_EVIDENCE {
            self.evidence.insert(job);
        }
        let is_probe = self.probe == Some(job);
        if is_probe {
            self.probe = None;
            self.failed_probes = self.failed_probes.saturating_add(1);
        }
        is_probe
    }
}

impl BlameController {
    pub(super) fn start_probes(&mut self, observation: &Observation, now: Instant) {
        for worker in &observation.workers {
            let Some(record) = self.quarantines.get_mut(worker) else {
                continue;
            };
            record.probe = Some(observation.job);
            let interval = record.probe_interval();
            self.delay_probe(worker, now + interval);
        }
    }

    /// Records a failure on the workers that are in quarantine.
    pub(super) fn fail_probes(&mut self, job: JobId, workers: &[WorkerId], now: Instant) {
        for worker in workers {
            let Some(record) = self.quarantines.get_mut(worker) else {
                continue;
            };
            if record.add_failure(job) {
                let interval = record.probe_interval();
                self.delay_probe(worker, now + interval);
            }
        }
    }

    /// Ends the quarantines of absent workers whose next probe is overdue by more than the maximum interval.
    pub(super) fn end_absent_quarantines(&mut self, present: &HashSet<&str>, now: Instant) {
        let absent = self.blame.quarantined.iter().filter(|(worker, q)| {
            !present.contains(&***worker) && now >= q.next_probe + MAX_PROBE_INTERVAL
        });
        let absent: Vec<WorkerId> = absent.map(|(worker, _)| worker.clone()).collect();
        for worker in absent {
            self.failures.remove_worker(&worker);
            self.end_quarantine(&worker);
        }
    }

    fn delay_probe(&mut self, worker: &str, until: Instant) {
        if let Some(quarantine) = self.blame.quarantined.get_mut(worker) {
            quarantine.next_probe = until;
            self.changed = true;
        }
    }
}
