//! Quarantines and their probes.

use std::collections::HashSet;
use std::time::{Duration, Instant};

use board::Quarantine;
use indexmap::IndexSet;
use model::{JobId, WorkerId};

use super::{BlameController, Observation};

/// Time from the start of a quarantine to its first probe; it doubles with each failed probe.
const FIRST_PROBE: Duration = Duration::from_secs(30);

/// The longest time between probes, so that a repaired worker returns within the hour.
const MAX_PROBE_SPACING: Duration = Duration::from_hours(1);

/// Jobs that are kept as evidence against one worker.
const MAX_EVIDENCE: usize = 16;

/// What the controller knows about a quarantine beyond what the board shows.
#[derive(Debug)]
pub(crate) struct Record {
    /// The jobs whose failures show that the worker is at fault.
    pub(crate) evidence: IndexSet<JobId>,
    /// The probe that runs; failures of tasks from before the quarantine are no probes.
    probe: Option<JobId>,
    failed_probes: u32,
}

impl Record {
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
            next_probe: now + self.spacing(),
        }
    }

    fn spacing(&self) -> Duration {
        let doublings = self.failed_probes.min(16);
        let spacing = FIRST_PROBE.saturating_mul(1 << doublings);
        spacing.min(MAX_PROBE_SPACING)
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
            let Some(record) = self.records.get_mut(worker) else {
                continue;
            };
            record.probe = Some(observation.job);
            let spacing = record.spacing();
            self.delay_probe(worker, now + spacing);
        }
    }

    /// Records a failure on those of the workers that are in quarantine.
    pub(super) fn fail_probes(&mut self, job: JobId, workers: &[WorkerId], now: Instant) {
        for worker in workers {
            let Some(record) = self.records.get_mut(worker) else {
                continue;
            };
            if record.add_failure(job) {
                let spacing = record.spacing();
                self.delay_probe(worker, now + spacing);
            }
        }
    }

    /// Ends the quarantine of workers that stayed away for longer than the longest probe spacing.
    pub(super) fn forget_absent(&mut self, present: &HashSet<&str>, now: Instant) {
        let gone = self.blame.quarantined.iter().filter(|(worker, q)| {
            !present.contains(&***worker) && now >= q.next_probe + MAX_PROBE_SPACING
        });
        let gone: Vec<WorkerId> = gone.map(|(worker, _)| worker.clone()).collect();
        for worker in gone {
            self.ledger.forget_worker(&worker);
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
