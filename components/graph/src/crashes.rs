//! Crashes of workers, and the tasks that cause them.
//!
//! A task may crash each worker that starts it. A crash ends all runs on the worker without end reports, so the owner
//! infers the cause: a run is on probation until it has lived for [`PROBATION`], and a crash is attributed to the units on
//! probation. Each of them becomes a suspect. The next run of a suspect gets a trial: during its probation, no other
//! unit starts on its workers, so that another crash points to it alone. A suspect that survives its probation is
//! cleared. One that keeps crashing workers is given up, and its job fails.
//!
//! What is known of the crashes is part of the stored progress of the job, and a suspect is placed again only once its
//! latest crash is stored. Agents repeat their reports of a crash until then, so that a change of the owner loses none.

use std::time::Duration;

use indexmap::IndexMap;
use model::{
    AgentId, CrashedRun, Incarnation, JobEnd, JobId, RunNumber, WorkerCrash, WorkerReport,
};
use serde::{Deserialize, Serialize};

use crate::job::{Phase, Unit, UnitKey};
use crate::placement::AnyPlacement;
use crate::scheduler::Scheduler;
use crate::worker::Worker;

/// A run is on probation until it has lived this long. A task that crashes its worker at the start does so within tens of
/// milliseconds; the rest allows for slow workers.
pub const PROBATION: Duration = Duration::from_millis(500);
/// How long a suspect waits for workers on which no other unit is on probation. On a busy fleet there may be none.
const TRIAL_WAIT: Duration = Duration::from_secs(2);
/// Numbers of crashes, with this evidence or a stronger one, after which a unit is given up.
///
/// The last one bounds the damage of a task that crashes workers late. Long-running tasks have no such limit, because they
/// live long enough to meet unrelated crashes.
const MAX_CRASHES: [(CrashEvidence, usize); 4] = [
    (CrashEvidence::Sole, 2),
    (CrashEvidence::Shared, 3),
    (CrashEvidence::Unanswered, 4),
    (CrashEvidence::Survived, 5),
];

/// How strongly the crash of a worker points to a unit that ran on it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum CrashEvidence {
    /// It had survived its probation, and so had all others.
    Survived,
    /// Its start was not answered, so it may not have run.
    Unanswered,
    /// Other units were on probation, too.
    Shared,
    /// It was the only unit on probation.
    Sole,
}

/// A run of a unit under which a worker crashed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunCrash {
    /// The run.
    pub run: RunNumber,
    /// The strongest evidence against it, if several of its workers crashed.
    pub evidence: CrashEvidence,
}

impl Unit {
    /// Returns whether the unit may crash the workers that start it, so that its next run gets a trial.
    pub(crate) fn is_suspect(&self) -> bool {
        let mut crashes = self.crashes.iter();
        crashes.any(|crash| crash.evidence > CrashEvidence::Survived)
    }

    /// Returns whether the unit has crashed so many workers that it is not started any more.
    fn is_given_up(&self, long_running: bool) -> bool {
        MAX_CRASHES.iter().any(|(least, max)| {
            let crashes = self.crashes.iter();
            let count = crashes.filter(|crash| crash.evidence >= *least).count();
            let applies = *least > CrashEvidence::Survived || !long_running;
            applies && count >= *max
        })
    }

    /// Records that a worker crashed under a run; returns whether this is new.
    fn record_crash(&mut self, run: RunNumber, evidence: CrashEvidence) -> bool {
        let mut known = self.crashes.iter_mut();
        match known.find(|crash| crash.run == run) {
            Some(crash) if crash.evidence >= evidence => false,
            Some(crash) => {
                crash.evidence = evidence;
                true
            }
            None => {
                self.crashes.push(RunCrash { run, evidence });
                true
            }
        }
    }

    /// Drops the evidence that a new checkpoint refutes: the unit gets further than before the crashes.
    pub(crate) fn clear_survived_crashes(&mut self) {
        self.crashes
            .retain(|crash| crash.evidence > CrashEvidence::Survived);
    }
}

impl Worker {
    /// Returns whether a suspect is on trial on the worker, so that no other unit is started there.
    pub(crate) fn has_trial(&self) -> bool {
        let mut placements = self.placements.values();
        placements.any(|placement| placement.is_trial() && placement.is_on_probation())
    }

    /// Returns whether any run on the worker is on probation.
    pub(crate) fn has_probation(&self) -> bool {
        let mut placements = self.placements.values();
        placements.any(AnyPlacement::is_on_probation)
    }
}

impl Scheduler {
    /// Records the reported crashes that were not recorded before.
    pub(crate) fn apply_crashes(&mut self, report: &WorkerReport, now: Duration) {
        let agent = &report.agent;
        let Some(worker) = self.workers.get_mut(agent) else {
            return;
        };
        let is_reported = |crashed: &Incarnation| {
            let mut crashes = report.crashes.iter();
            crashes.any(|crash| crash.incarnation == *crashed)
        };
        worker
            .reported_crashes
            .retain(|crashed, _| is_reported(crashed));
        for crash in &report.crashes {
            let worker = self.workers.get(agent);
            if worker.is_some_and(|worker| worker.reported_crashes.contains_key(&crash.incarnation))
            {
                continue;
            }
            let versions = self.apply_crash(agent, crash, now);
            if let Some(worker) = self.workers.get_mut(agent) {
                worker.reported_crashes.insert(crash.incarnation, versions);
            }
        }
    }

    /// Attributes a crash to the units that ran on the worker. Returns the versions of the jobs that contain it.
    fn apply_crash(
        &mut self,
        agent: &AgentId,
        crash: &WorkerCrash,
        now: Duration,
    ) -> IndexMap<JobId, u64> {
        let units = self.crashed_units(&crash.runs);
        let suspects = units
            .iter()
            .filter(|(_, (_, evidence))| *evidence == CrashEvidence::Shared)
            .count();
        log::warn!(
            target: "limpethook",
            agent:% = agent, incarnation = crash.incarnation, runs = crash.runs.len(), suspects = suspects;
            "crash_recorded"
        );
        self.crash_suspects.push(suspects);
        // The units that had survived are innocent if the crash points to others.
        let strongest = units.values().map(|(_, evidence)| *evidence).max();
        let is_explained = strongest > Some(CrashEvidence::Survived);
        let mut versions = IndexMap::new();
        for (unit, (run, evidence)) in units {
            if is_explained && evidence == CrashEvidence::Survived {
                continue;
            }
            let evidence = match evidence {
                CrashEvidence::Shared if suspects == 1 => CrashEvidence::Sole,
                other => other,
            };
            if let Some(version) = self.record_unit_crash(unit, run, evidence, now) {
                versions.insert(unit.0, version);
            }
        }
        versions
    }

    /// Returns the known units that ran on a crashed worker, with the run and the evidence. A unit with several tasks there
    /// was on probation if any of them was.
    fn crashed_units(&self, runs: &[CrashedRun]) -> IndexMap<UnitKey, (RunNumber, CrashEvidence)> {
        let mut units: IndexMap<UnitKey, (RunNumber, CrashEvidence)> = IndexMap::new();
        for crashed in runs {
            let Some(unit) = self.unit_of(crashed.run.task) else {
                continue;
            };
            let evidence = match crashed.survived {
                None => CrashEvidence::Unanswered,
                Some(survived) if survived < PROBATION => CrashEvidence::Shared,
                Some(_) => CrashEvidence::Survived,
            };
            let found = (crashed.run.run, evidence);
            let known = units.entry((crashed.run.task.job, unit)).or_insert(found);
            *known = (*known).max(found);
        }
        units
    }

    /// Records a crash under a run of a unit, and fails the job if the unit is given up. Returns the version of the job that
    /// contains the crash, unless it changes nothing.
    fn record_unit_crash(
        &mut self,
        (id, unit_id): UnitKey,
        run: RunNumber,
        evidence: CrashEvidence,
        now: Duration,
    ) -> Option<u64> {
        let job = self.jobs.get_mut(&id)?;
        if job.end.is_some() {
            return Some(job.version);
        }
        let long_running = job.step(unit_id).long_running;
        let unit = job.units.get_mut(&unit_id)?;
        if unit.phase() == Phase::Done {
            return None;
        }
        let is_new = unit.record_crash(run, evidence);
        let crashes = unit.crashes.len();
        let is_given_up = unit.is_given_up(long_running);
        if is_new {
            job.mark_changed();
        }
        if is_new && evidence > CrashEvidence::Survived {
            job.await_crash_stored(unit_id);
        }
        log::warn!(
            target: "limpethook",
            job:% = format_args!("{id:016x}"), step = unit_id.step, first = unit_id.first, run = run,
            evidence:? = evidence, crashes = crashes, given_up = is_given_up;
            "worker_crashed_under_unit"
        );
        let version = job.version;
        if is_given_up {
            self.give_up(id, now);
        }
        Some(version)
    }

    fn give_up(&mut self, id: JobId, now: Duration) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        job.end = Some(JobEnd::Failed);
        job.mark_changed();
        self.status_version += 1;
        self.plan_needed = true;
        log::warn!(
            target: "limpethook",
            job:% = format_args!("{id:016x}"), queue:% = job.spec.queue,
            took_ms = now.saturating_sub(job.accepted_at).as_millis();
            "job_given_up"
        );
        self.stop_job(id);
    }

    /// Returns the incarnations of a worker whose crashes are stored.
    pub(crate) fn stored_crashes(&self, worker: &Worker) -> Vec<Incarnation> {
        let is_stored = |(id, version): (&JobId, &u64)| {
            let job = self.jobs.get(id);
            job.is_none_or(|job| job.stored_version >= *version)
        };
        let crashes = worker.reported_crashes.iter();
        let stored = crashes.filter(|(_, versions)| versions.iter().all(is_stored));
        stored.map(|(incarnation, _)| *incarnation).collect()
    }

    /// Returns whether a crash of a worker was reported that is not stored. The next owner has to hear its agent.
    pub(crate) fn has_unstored_crash(&self, worker: &Worker) -> bool {
        self.stored_crashes(worker).len() < worker.reported_crashes.len()
    }

    /// Clears a suspect whose run has survived its probation on all of its workers.
    pub(crate) fn clear_suspect(&mut self, (id, unit_id): UnitKey) {
        let placements = self.workers.values().flat_map(|w| w.placements.values());
        let mut of_unit = placements.filter(|placement| placement.unit_key() == (id, unit_id));
        if !of_unit.all(AnyPlacement::has_survived_probation) {
            return;
        }
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let Some(unit) = job.units.get_mut(&unit_id) else {
            return;
        };
        let is_complete = unit.phase() == Phase::Active && unit.active_runs == unit.tasks;
        if !unit.is_suspect() || !is_complete {
            return;
        }
        unit.crashes
            .retain(|crash| crash.evidence == CrashEvidence::Survived);
        job.mark_changed();
        log::info!(
            target: "limpethook",
            job:% = format_args!("{id:016x}"), step = unit_id.step, first = unit_id.first;
            "suspect_cleared"
        );
    }

    /// Takes the number of suspects of each crash that was recorded since the last call.
    pub fn take_crash_suspects(&mut self) -> Vec<usize> {
        std::mem::take(&mut self.crash_suspects)
    }
}

/// Returns whether a unit can't be started on a worker now because of a trial: another unit's on this worker, or its own,
/// for which no other unit may be on probation there.
pub(crate) fn is_blocked_by_trial(worker: &Worker, unit: &Unit, now: Duration) -> bool {
    let waited = now.saturating_sub(unit.ready_at.unwrap_or(now));
    let needs_trial = unit.is_suspect() && waited < TRIAL_WAIT;
    worker.has_trial() || (needs_trial && worker.has_probation())
}
