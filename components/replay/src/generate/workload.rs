//! Generates the events of a trace: submissions with expected outcomes, cancellations and worker failures.

use errors::{ErrorKind, Verdict};
use fastrand::Rng;
use indexmap::IndexSet;
use model::{Adjacency, Worker, WorkerId};

use super::fleet::{capacity, worker_id};
use super::jobs::{draw_job, is_infeasible, milliseconds};
use super::{Deployment, Scale};
use crate::trace::{Behaviour, ExpectedOutcome, Line, Submit, TraceEvent};

const BURSTS: u64 = 8;
const BURST_MS: u64 = 90_000;
const CANCEL_WAVES: u64 = 3;
/// A wave of cancellations includes jobs that were submitted at most this long before it.
const CANCEL_WAVE_WINDOW_MS: u64 = 900_000;
/// Index of the data centre of the failing worker.
const FAILING_DATA_CENTRE: usize = 2;

/// Failures of workers; times are in percent of the length of the trace.
struct WorkerFailures {
    /// The worker that fails every task for some time.
    failing_worker: WorkerId,
    failure_percent: u64,
    repair_percent: u64,
    /// Worker, time of its loss and time of its return.
    ///
    /// At most one worker is lost at a time, so that all feasible shapes stay feasible. The losses occur shortly after
    /// bursts, so that they affect work that cannot be interrupted.
    losses: [(WorkerId, u64, u64); 3],
}

fn worker_failures(deployment: Deployment) -> WorkerFailures {
    WorkerFailures {
        failing_worker: worker_id(deployment, FAILING_DATA_CENTRE, 0),
        failure_percent: 35,
        repair_percent: 60,
        losses: [
            (worker_id(deployment, 0, 0), 18, 28),
            (worker_id(deployment, 1, 0), 65, 73),
            (worker_id(deployment, 0, 1), 77, 78),
        ],
    }
}

pub(super) fn generate_lines(
    deployment: Deployment,
    scale: &Scale,
    workers: &[Worker],
    rng: &mut Rng,
) -> Vec<Line> {
    let failures = worker_failures(deployment);
    let total_ms = u64::from(scale.hours) * 3_600_000;
    let mut submits: Vec<(u64, Submit)> = (0..u64::from(scale.jobs))
        .map(|number| {
            let (at_ms, large) = draw_arrival(total_ms, number, rng);
            let job = draw_job(
                deployment,
                number + 1,
                large,
                &failures.failing_worker,
                scale.tens_of_workers,
                rng,
            );
            (at_ms, job)
        })
        .collect();
    submits.sort_by_key(|(at_ms, _)| *at_ms);
    let cancelled_on_submit = draw_cancelled_on_submit(&submits, rng);
    let mut cancels = draw_cancels(&submits, total_ms, rng);
    cancels.retain(|(_, job)| !cancelled_on_submit.contains(job));
    let cancelled: IndexSet<u64> = cancels.iter().map(|(_, job)| *job).collect();
    set_load(deployment, scale, workers, &cancelled, &mut submits);
    let expected = ExpectedOutcomes {
        deployment,
        failing_data_centre_accelerators: data_centre_accelerators(
            workers,
            &failures.failing_worker,
        ),
        repaired_ms: total_ms * failures.repair_percent / 100,
        last_return_ms: total_ms * failures.losses[2].2 / 100,
    };
    for (at_ms, job) in &mut submits {
        if cancelled_on_submit.contains(&job.job) {
            // A job that may be infeasible can be refused before its cancellation takes effect.
            let feasible = expected.feasible_beside_guarantees(job);
            job.expect = feasible.then(|| refused(ErrorKind::Cancelled));
            cancels.push((*at_ms, job.job));
        } else if !cancelled.contains(&job.job) {
            job.expect = expected.outcome(*at_ms, job);
        }
        if is_infeasible(deployment, &job.shape) {
            job.expect = Some(refused(ErrorKind::Infeasible));
        }
    }
    merge(submits, &cancels, &failures, total_ms)
}

/// Draws the time of an arrival and whether the job belongs to a burst of large jobs.
///
/// Of five jobs, three arrive at any time and two in bursts. In every second burst, some of the jobs are large.
fn draw_arrival(total_ms: u64, number: u64, rng: &mut Rng) -> (u64, bool) {
    if number % 5 < 3 {
        return (rng.u64(..total_ms), false);
    }
    let burst = rng.u64(..BURSTS);
    let start = total_ms * (2 * burst + 1) / (2 * BURSTS + 1);
    let large = burst % 2 == 1 && rng.u32(..3) == 0;
    (start + rng.u64(..BURST_MS), large)
}

/// Draws the jobs that are cancelled in the millisecond of their submission, before any scheduler can start them.
fn draw_cancelled_on_submit(submits: &[(u64, Submit)], rng: &mut Rng) -> IndexSet<u64> {
    let drawn = submits.iter().filter(|_| rng.u32(..100) == 0);
    drawn.map(|(_, job)| job.job).collect()
}

/// Draws cancellations, as pairs of time and job: some in waves, the others individually.
fn draw_cancels(submits: &[(u64, Submit)], total_ms: u64, rng: &mut Rng) -> Vec<(u64, u64)> {
    let mut cancels = Vec::new();
    for (at_ms, job) in submits {
        let wave = (1..=CANCEL_WAVES)
            .map(|wave| total_ms * wave / (CANCEL_WAVES + 1))
            .find(|wave| wave > at_ms && wave - at_ms < CANCEL_WAVE_WINDOW_MS);
        let drawn = rng.u32(..100);
        let individual = at_ms + 1_000 + rng.u64(..600_000);
        match wave {
            Some(wave) if drawn < 50 => cancels.push((wave, job.job)),
            None if drawn < 2 => cancels.push((individual, job.job)),
            _ => {}
        }
    }
    cancels
}

/// Scales the run times so that the jobs that can complete require the target share of the accelerator time.
fn set_load(
    deployment: Deployment,
    scale: &Scale,
    workers: &[Worker],
    cancelled: &IndexSet<u64>,
    submits: &mut [(u64, Submit)],
) {
    let accelerators: u32 = workers.iter().map(|w| w.capacity.accelerators).sum();
    let target = f64::from(accelerators) * f64::from(scale.hours) * 3_600.0 * scale.load;
    let counted = submits.iter().map(|(_, job)| job).filter(|job| {
        job.behaviour != Behaviour::FailsAlways
            && !cancelled.contains(&job.job)
            && !is_infeasible(deployment, &job.shape)
    });
    let work: f64 = counted
        .map(|job| f64::from(job.shape.total().accelerators) * job.true_run_time().as_secs_f64())
        .sum();
    let factor = target / work;
    let scaled = |time: std::time::Duration| milliseconds(time.as_secs_f64() * factor).max(1_000);
    for (_, job) in submits {
        job.true_ms = scaled(job.true_run_time());
        let declared = job.declared_ms.map(std::time::Duration::from_millis);
        job.declared_ms = declared.map(scaled);
    }
}

/// Returns the number of accelerators in the data centre of a worker.
fn data_centre_accelerators(workers: &[Worker], id: &WorkerId) -> u32 {
    let worker = workers.iter().find(|worker| worker.id == *id);
    let data_centre = worker.map(|worker| &worker.location.data_centre);
    workers
        .iter()
        .filter(|worker| Some(&worker.location.data_centre) == data_centre)
        .map(|worker| worker.capacity.accelerators)
        .sum()
}

/// Determines the outcomes that every correct scheduler reaches.
struct ExpectedOutcomes {
    deployment: Deployment,
    /// Accelerators in the data centre of the failing worker; a larger gang within one data centre cannot include it.
    failing_data_centre_accelerators: u32,
    /// Time of the repair of the failing worker.
    repaired_ms: u64,
    /// Time of the return of the last lost worker; no worker is lost later.
    last_return_ms: u64,
}

impl ExpectedOutcomes {
    fn outcome(&self, at_ms: u64, job: &Submit) -> Option<ExpectedOutcome> {
        if is_infeasible(self.deployment, &job.shape) {
            return Some(refused(ErrorKind::Infeasible));
        }
        match job.behaviour {
            Behaviour::FailsAlways => Some(ExpectedOutcome::Refused {
                verdict: None,
                kind: None,
            }),
            Behaviour::EndsWell if self.never_fails(at_ms, job) => Some(ExpectedOutcome::Answered),
            Behaviour::EndsWell | Behaviour::FailsOn(_) => None,
        }
    }

    /// Returns whether a job is feasible wherever the guarantees are packed.
    ///
    /// Guarantees leave one whole worker free, so a job that must not be stopped may be infeasible if it needs more.
    fn feasible_beside_guarantees(&self, job: &Submit) -> bool {
        let worker_accelerators = capacity(self.deployment).accelerators;
        job.idempotent || job.shape.total().accelerators <= worker_accelerators
    }

    fn never_fails(&self, at_ms: u64, job: &Submit) -> bool {
        let one_data_centre = job.shape.adjacency <= Adjacency::DataCentre;
        let avoids_failing_worker = one_data_centre
            && job.shape.total().accelerators > self.failing_data_centre_accelerators;
        // Only an idempotent job may run again after the loss of a worker.
        let survives_losses = job.idempotent || at_ms >= self.last_return_ms;
        survives_losses
            && self.feasible_beside_guarantees(job)
            && (avoids_failing_worker || at_ms >= self.repaired_ms)
    }
}

fn refused(kind: ErrorKind) -> ExpectedOutcome {
    ExpectedOutcome::Refused {
        verdict: Some(Verdict::NotRun),
        kind: Some(kind),
    }
}

fn merge(
    submits: Vec<(u64, Submit)>,
    cancels: &[(u64, u64)],
    failures: &WorkerFailures,
    total_ms: u64,
) -> Vec<Line> {
    let at = |percent: u64| total_ms * percent / 100;
    let mut lines: Vec<Line> = submits
        .into_iter()
        .map(|(at_ms, job)| line(at_ms, TraceEvent::Submit(job)))
        .collect();
    let cancel = |(at_ms, job): &(u64, u64)| line(*at_ms, TraceEvent::Cancel { job: *job });
    lines.extend(cancels.iter().map(cancel));
    let worker = failures.failing_worker.clone();
    lines.push(line(
        at(failures.failure_percent),
        TraceEvent::WorkerFails { worker },
    ));
    let worker = failures.failing_worker.clone();
    lines.push(line(
        at(failures.repair_percent),
        TraceEvent::WorkerBack { worker },
    ));
    for (id, lost, back) in &failures.losses {
        let worker = id.clone();
        lines.push(line(at(*lost), TraceEvent::WorkerLost { worker }));
        let worker = id.clone();
        lines.push(line(at(*back), TraceEvent::WorkerBack { worker }));
    }
    // The sort is stable, so that a cancellation in the same millisecond follows its submission.
    lines.sort_by_key(|line| line.at_ms);
    lines
}

fn line(at_ms: u64, event: TraceEvent) -> Line {
    Line { at_ms, event }
}
