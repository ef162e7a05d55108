//! Draws when jobs arrive, which are cancelled, what happens to workers, and which outcomes are certain.

use errors::{ErrorKind, Verdict};
use fastrand::Rng;
use indexmap::IndexSet;
use model::{Adjacency, Worker, WorkerId};

use super::fleet::{capacity, worker_id};
use super::jobs::{draw, impossible, milliseconds};
use super::{Deployment, Scale};
use crate::trace::{Behaviour, Expect, Line, Submit, TraceEvent};

const BURSTS: u64 = 8;
const BURST_MS: u64 = 90_000;
const CANCEL_WAVES: u64 = 3;
/// A wave cancels jobs that were submitted within this time before it.
const WAVE_REACH_MS: u64 = 900_000;
/// The data centre of the worker that fails every task.
const FAILING_CENTRE: usize = 2;

/// What happens to workers, in hundredths of the time of the trace.
struct Incidents {
    failing: WorkerId,
    fails: u64,
    repaired: u64,
    /// Worker, loss and return; never two at a time, so that every drawn shape stays possible. The losses follow bursts
    /// closely, so that they meet work that cannot be interrupted.
    losses: [(WorkerId, u64, u64); 3],
}

fn incidents(deployment: Deployment) -> Incidents {
    Incidents {
        failing: worker_id(deployment, FAILING_CENTRE, 0),
        fails: 35,
        repaired: 60,
        losses: [
            (worker_id(deployment, 0, 0), 18, 28),
            (worker_id(deployment, 1, 0), 65, 73),
            (worker_id(deployment, 0, 1), 77, 78),
        ],
    }
}

pub(super) fn lines(
    deployment: Deployment,
    scale: &Scale,
    workers: &[Worker],
    rng: &mut Rng,
) -> Vec<Line> {
    let incidents = incidents(deployment);
    let total_ms = u64::from(scale.hours) * 3_600_000;
    let mut submits: Vec<(u64, Submit)> = (0..u64::from(scale.jobs))
        .map(|number| {
            let (at_ms, large) = draw_arrival(total_ms, number, rng);
            let job = draw(
                deployment,
                number + 1,
                large,
                &incidents.failing,
                scale.tens_of_workers,
                rng,
            );
            (at_ms, job)
        })
        .collect();
    submits.sort_by_key(|(at_ms, _)| *at_ms);
    let at_once = draw_cancelled_at_once(&submits, rng);
    let mut cancels = draw_cancels(&submits, total_ms, rng);
    cancels.retain(|(_, job)| !at_once.contains(job));
    let cancelled: IndexSet<u64> = cancels.iter().map(|(_, job)| *job).collect();
    set_load(deployment, scale, workers, &cancelled, &mut submits);
    let certain = Certain {
        deployment,
        room: room(workers, &incidents.failing),
        repaired_ms: total_ms * incidents.repaired / 100,
        stable_ms: total_ms * incidents.losses[2].2 / 100,
    };
    for (at_ms, job) in &mut submits {
        if at_once.contains(&job.job) {
            // A job that may be infeasible is refused before its cancellation takes effect.
            let feasible = certain.beside_guarantees(job);
            job.expect = feasible.then(|| refused(ErrorKind::Cancelled));
            cancels.push((*at_ms, job.job));
        } else if !cancelled.contains(&job.job) {
            job.expect = certain.outcome(*at_ms, job);
        }
        if impossible(deployment, &job.shape) {
            job.expect = Some(refused(ErrorKind::Infeasible));
        }
    }
    merge(submits, &cancels, &incidents, total_ms)
}

/// Draws an arrival: three of five jobs at any time, the others in bursts; every second burst has large jobs.
fn draw_arrival(total_ms: u64, number: u64, rng: &mut Rng) -> (u64, bool) {
    if number % 5 < 3 {
        return (rng.u64(..total_ms), false);
    }
    let burst = rng.u64(..BURSTS);
    let start = total_ms * (2 * burst + 1) / (2 * BURSTS + 1);
    let large = burst % 2 == 1 && rng.u32(..3) == 0;
    (start + rng.u64(..BURST_MS), large)
}

/// Draws jobs that are cancelled in the same millisecond, before any scheduler can start them.
fn draw_cancelled_at_once(submits: &[(u64, Submit)], rng: &mut Rng) -> IndexSet<u64> {
    let drawn = submits.iter().filter(|_| rng.u32(..100) == 0);
    drawn.map(|(_, job)| job.job).collect()
}

/// Draws cancellations in waves and single ones.
fn draw_cancels(submits: &[(u64, Submit)], total_ms: u64, rng: &mut Rng) -> Vec<(u64, u64)> {
    let mut cancels = Vec::new();
    for (at_ms, job) in submits {
        let wave = (1..=CANCEL_WAVES)
            .map(|wave| total_ms * wave / (CANCEL_WAVES + 1))
            .find(|wave| wave > at_ms && wave - at_ms < WAVE_REACH_MS);
        let drawn = rng.u32(..100);
        let single = at_ms + 1_000 + rng.u64(..600_000);
        match wave {
            Some(wave) if drawn < 50 => cancels.push((wave, job.job)),
            None if drawn < 2 => cancels.push((single, job.job)),
            _ => {}
        }
    }
    cancels
}

/// Scales the run times so that the jobs that end well need the wanted share of the accelerator time.
fn set_load(
    deployment: Deployment,
    scale: &Scale,
    workers: &[Worker],
    cancelled: &IndexSet<u64>,
    submits: &mut [(u64, Submit)],
) {
    let accelerators: u32 = workers.iter().map(|w| w.capacity.accelerators).sum();
    let wanted = f64::from(accelerators) * f64::from(scale.hours) * 3_600.0 * scale.load;
    let counted = submits.iter().map(|(_, job)| job).filter(|job| {
        job.behaviour != Behaviour::FailsAlways
            && !cancelled.contains(&job.job)
            && !impossible(deployment, &job.shape)
    });
    let work: f64 = counted
        .map(|job| f64::from(job.shape.total().accelerators) * job.true_run_time().as_secs_f64())
        .sum();
    let factor = wanted / work;
    let scaled = |time: std::time::Duration| milliseconds(time.as_secs_f64() * factor).max(1_000);
    for (_, job) in submits {
        job.true_ms = scaled(job.true_run_time());
        let declared = job.declared_ms.map(std::time::Duration::from_millis);
        job.declared_ms = declared.map(scaled);
    }
}

/// Returns the accelerators of the data centre of a worker.
fn room(workers: &[Worker], id: &WorkerId) -> u32 {
    let centre = workers.iter().find(|worker| worker.id == *id);
    let centre = centre.map(|worker| &worker.location.data_centre);
    workers
        .iter()
        .filter(|worker| Some(&worker.location.data_centre) == centre)
        .map(|worker| worker.capacity.accelerators)
        .sum()
}

/// Outcomes that every correct scheduler reaches.
struct Certain {
    deployment: Deployment,
    /// Accelerators of the data centre with the failing worker; a larger adjacent gang never meets that worker.
    room: u32,
    repaired_ms: u64,
    /// After this time no worker is lost.
    stable_ms: u64,
}

impl Certain {
    fn outcome(&self, at_ms: u64, job: &Submit) -> Option<Expect> {
        if impossible(self.deployment, &job.shape) {
            return Some(refused(ErrorKind::Infeasible));
        }
        match job.behaviour {
            Behaviour::FailsAlways => Some(Expect::Refused {
                verdict: None,
                kind: None,
            }),
            Behaviour::EndsWell if self.never_fails(at_ms, job) => Some(Expect::Answered),
            Behaviour::EndsWell | Behaviour::FailsOn(_) => None,
        }
    }

    /// Guarantees leave one whole worker; work that may not be stopped and needs more may be infeasible.
    fn beside_guarantees(&self, job: &Submit) -> bool {
        let worker = capacity(self.deployment).accelerators;
        job.idempotent || job.shape.total().accelerators <= worker
    }

    fn never_fails(&self, at_ms: u64, job: &Submit) -> bool {
        let adjacent = job.shape.adjacency <= Adjacency::DataCentre;
        let elsewhere = adjacent && job.shape.total().accelerators > self.room;
        // Only an idempotent job may run again after the loss of a worker.
        let survives_loss = job.idempotent || at_ms >= self.stable_ms;
        survives_loss && self.beside_guarantees(job) && (elsewhere || at_ms >= self.repaired_ms)
    }
}

fn refused(kind: ErrorKind) -> Expect {
    Expect::Refused {
        verdict: Some(Verdict::NotRun),
        kind: Some(kind),
    }
}

fn merge(
    submits: Vec<(u64, Submit)>,
    cancels: &[(u64, u64)],
    incidents: &Incidents,
    total_ms: u64,
) -> Vec<Line> {
    let at = |hundredth: u64| total_ms * hundredth / 100;
    let mut lines: Vec<Line> = submits
        .into_iter()
        .map(|(at_ms, job)| line(at_ms, TraceEvent::Submit(job)))
        .collect();
    let cancel = |(at_ms, job): &(u64, u64)| line(*at_ms, TraceEvent::Cancel { job: *job });
    lines.extend(cancels.iter().map(cancel));
    let worker = incidents.failing.clone();
    lines.push(line(
        at(incidents.fails),
        TraceEvent::WorkerFails { worker },
    ));
    let worker = incidents.failing.clone();
    lines.push(line(
        at(incidents.repaired),
        TraceEvent::WorkerBack { worker },
    ));
    for (id, lost, back) in &incidents.losses {
        let worker = id.clone();
        lines.push(line(at(*lost), TraceEvent::WorkerLost { worker }));
        let worker = id.clone();
        lines.push(line(at(*back), TraceEvent::WorkerBack { worker }));
    }
    // The sort keeps the order of lines with equal times, so a cancel follows its submit.
    lines.sort_by_key(|line| line.at_ms);
    lines
}

fn line(at_ms: u64, event: TraceEvent) -> Line {
    Line { at_ms, event }
}
