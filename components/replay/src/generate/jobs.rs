//! Draws random jobs.

use fastrand::Rng;
use model::{Adjacency, Shape, WorkerId};

use super::Deployment;
use super::fleet::{capacity, names, shape};
use crate::trace::{Behaviour, Submit};

/// A class of jobs by size.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Class {
    /// Needs processors and memory, but no accelerators.
    CpuOnly,
    Small,
    Medium,
    Large,
    Huge,
    /// Needs more than any set of adjacent workers has.
    Infeasible,
}

/// Number of jobs of each class, per hundred jobs.
const CLASS_WEIGHTS: [(Class, u32); 6] = [
    (Class::CpuOnly, 8),
    (Class::Small, 57),
    (Class::Medium, 24),
    (Class::Large, 6),
    (Class::Huge, 3),
    (Class::Infeasible, 2),
];
/// Number of jobs of each class in bursts of large jobs, per hundred jobs.
const LARGE_BURST_CLASS_WEIGHTS: [(Class, u32); 3] =
    [(Class::Medium, 50), (Class::Large, 35), (Class::Huge, 15)];
/// Maximum factor by which gangs grow with the fleet; it keeps them below 128 tasks.
const MAX_GANG_GROWTH: u32 = 10;
/// Number of jobs of each account, per ten jobs; the first two accounts are large.
const ACCOUNT_WEIGHTS: [(usize, u32); 4] = [(0, 4), (1, 3), (2, 2), (3, 1)];

/// Draws a job; some jobs fail on `failing_worker`.
pub(super) fn draw_job(
    deployment: Deployment,
    number: u64,
    large: bool,
    failing_worker: &WorkerId,
    tens_of_workers: u32,
    rng: &mut Rng,
) -> Submit {
    let class = if large {
        weighted_choice(&LARGE_BURST_CLASS_WEIGHTS, rng)
    } else {
        weighted_choice(&CLASS_WEIGHTS, rng)
    };
    let names = names(deployment);
    let service = names.services[rng.usize(..names.services.len())];
    let (idempotent, stoppable) = draw_flags(class, service, rng);
    let true_ms = draw_run_time(class, rng);
    Submit {
        job: number,
        account: names.accounts[weighted_choice(&ACCOUNT_WEIGHTS, rng)].into(),
        service: service.into(),
        shape: draw_shape(deployment, class, tens_of_workers.min(MAX_GANG_GROWTH), rng),
        idempotent,
        stoppable,
        declared_ms: draw_declared_run_time(true_ms, rng),
        true_ms,
        behaviour: draw_behaviour(failing_worker, rng),
        expect: None,
    }
}

/// Returns whether no set of workers can hold the shape of a drawn job.
pub(super) fn is_infeasible(deployment: Deployment, shape: &Shape) -> bool {
    let worker = capacity(deployment);
    shape.validation_error().is_some() || worker.fit_count(shape.per_task()) == 0
}

fn weighted_choice<T: Copy>(weights: &[(T, u32)], rng: &mut Rng) -> T {
    let total: u32 = weights.iter().map(|(_, weight)| weight).sum();
    let mut remaining = rng.u32(..total);
    for (value, weight) in weights {
        if remaining < *weight {
            return *value;
        }
        remaining -= weight;
    }
    weights[0].0
}

/// Draws a number from a log-uniform distribution.
fn log_uniform(low: f64, high: f64, rng: &mut Rng) -> f64 {
    low * (high / low).powf(rng.f64())
}

fn draw_run_time(class: Class, rng: &mut Rng) -> u64 {
    let (low, high) = match class {
        Class::CpuOnly | Class::Infeasible => (5.0, 300.0),
        Class::Small => (5.0, 900.0),
        Class::Medium => (60.0, 1_800.0),
        Class::Large => (300.0, 2_400.0),
        Class::Huge => (600.0, 2_400.0),
    };
    milliseconds(log_uniform(low, high, rng))
}

/// Draws a declared run time of a tenth to ten times the true one; one job in ten has none.
fn draw_declared_run_time(true_ms: u64, rng: &mut Rng) -> Option<u64> {
    if rng.u32(..10) == 0 {
        return None;
    }
    #[expect(
        clippy::cast_precision_loss,
        reason = "run times are far below 2^52 ms"
    )]
    let seconds = true_ms as f64 / 1_000.0;
    Some(milliseconds(seconds * log_uniform(0.1, 10.0, rng)))
}

pub(super) fn milliseconds(seconds: f64) -> u64 {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "drawn times are positive and small"
    )]
    let ms = (seconds * 1_000.0) as u64;
    ms
}

/// Draws whether a job is idempotent and whether it is stoppable.
///
/// Large jobs are always at least one of the two, because the capacity outside of all guarantees may never suffice for
/// a large job that is neither.
fn draw_flags(class: Class, service: &str, rng: &mut Rng) -> (bool, bool) {
    let neither_percent = match class {
        Class::CpuOnly | Class::Small | Class::Infeasible => 35,
        Class::Medium => 15,
        Class::Large | Class::Huge => 0,
    };
    let drawn = rng.u32(..100);
    if service == "schedule" {
        return (false, drawn >= 2 * neither_percent);
    }
    if drawn < neither_percent {
        return (false, false);
    }
    let idempotent = rng.u32(..4) != 0;
    (idempotent, !idempotent || rng.bool())
}

fn draw_behaviour(failing_worker: &WorkerId, rng: &mut Rng) -> Behaviour {
    match rng.u32(..100) {
        0..2 => Behaviour::FailsAlways,
        2..4 => Behaviour::FailsOn(vec![failing_worker.clone()]),
        _ => Behaviour::EndsWell,
    }
}

fn draw_shape(deployment: Deployment, class: Class, growth: u32, rng: &mut Rng) -> Shape {
    let gang = |tasks, accelerators, adjacency| shape(deployment, tasks, accelerators, adjacency);
    match class {
        Class::CpuOnly => Shape {
            tasks: rng.u32(1..=3),
            cores: capacity(deployment).cores / 16,
            memory_mb: 2_048,
            adjacency: Adjacency::Region,
            ..Shape::default()
        },
        Class::Small => gang(1, rng.u32(1..=2), Adjacency::Any),
        Class::Medium => match rng.u32(..4) {
            0 => gang(4, 1, Adjacency::Worker),
            1 => gang(4, 1, Adjacency::Rack),
            2 => gang(2, 4, Adjacency::Rack),
            _ => gang(1, 8, Adjacency::Worker),
        },
        Class::Large => match rng.u32(..3) {
            0 => gang(2, 8, Adjacency::Rack),
            1 => gang(4 * growth, 4, Adjacency::DataCentre),
            _ => gang(12 * growth, 1, Adjacency::DataCentre),
        },
        Class::Huge => match rng.u32(..3) {
            0 => gang(3, 8, Adjacency::Rack),
            1 => gang(6 * growth, 4, Adjacency::DataCentre),
            _ => gang(4 * growth, 8, Adjacency::DataCentre),
        },
        Class::Infeasible => match rng.u32(..3) {
            0 => gang(1, 9, Adjacency::Any),
            1 => gang(129, 1, Adjacency::Any),
            _ => Shape {
                cores: 1_000,
                ..gang(1, 1, Adjacency::Any)
            },
        },
    }
}
