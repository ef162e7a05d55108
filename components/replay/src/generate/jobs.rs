//! Draws one job.

use fastrand::Rng;
use model::{Adjacency, Shape, WorkerId};

use super::Deployment;
use super::fleet::{capacity, names, shape};
use crate::trace::{Behaviour, Submit};

/// A class of jobs by size.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Class {
    /// Processors and memory only.
    Processors,
    Small,
    Medium,
    Large,
    Huge,
    /// More than any set of adjacent workers has.
    Impossible,
}

/// Jobs of each class among a hundred.
const MIX: [(Class, u32); 6] = [
    (Class::Processors, 8),
    (Class::Small, 57),
    (Class::Medium, 24),
    (Class::Large, 6),
    (Class::Huge, 3),
    (Class::Impossible, 2),
];
/// Bursts of large jobs draw from this mix.
const LARGE_MIX: [(Class, u32); 3] = [(Class::Medium, 50), (Class::Large, 35), (Class::Huge, 15)];
/// Gangs of a larger fleet grow up to this factor, which keeps them below 128 tasks.
const MAX_GROWTH: u32 = 10;
/// Requests of each account among ten; the first two accounts are large.
const ACCOUNT_MIX: [(usize, u32); 4] = [(0, 4), (1, 3), (2, 2), (3, 1)];

/// Draws a job; `failing` is the worker that some jobs fail on.
pub(super) fn draw(
    deployment: Deployment,
    number: u64,
    large: bool,
    failing: &WorkerId,
    tens_of_workers: u32,
    rng: &mut Rng,
) -> Submit {
    let class = if large {
        pick(&LARGE_MIX, rng)
    } else {
        pick(&MIX, rng)
    };
    let names = names(deployment);
    let service = names.services[rng.usize(..names.services.len())];
    let (idempotent, stoppable) = draw_modes(class, service, rng);
    let true_ms = draw_run_time(class, rng);
    Submit {
        job: number,
        account: names.accounts[pick(&ACCOUNT_MIX, rng)].into(),
        service: service.into(),
        shape: draw_shape(deployment, class, tens_of_workers.min(MAX_GROWTH), rng),
        idempotent,
        stoppable,
        declared_ms: draw_declared(true_ms, rng),
        true_ms,
        behaviour: draw_behaviour(failing, rng),
        expect: None,
    }
}

/// Returns whether the shape of a drawn job is one that no workers can hold.
pub(super) fn impossible(deployment: Deployment, shape: &Shape) -> bool {
    let worker = capacity(deployment);
    shape.validation_error().is_some() || worker.fit_count(shape.per_task()) == 0
}

fn pick<T: Copy>(mix: &[(T, u32)], rng: &mut Rng) -> T {
    let total: u32 = mix.iter().map(|(_, weight)| weight).sum();
    let mut at = rng.u32(..total);
    for (value, weight) in mix {
        if at < *weight {
            return *value;
        }
        at -= weight;
    }
    mix[0].0
}

/// Draws a number whose logarithm is uniform.
fn log_uniform(low: f64, high: f64, rng: &mut Rng) -> f64 {
    low * (high / low).powf(rng.f64())
}

fn draw_run_time(class: Class, rng: &mut Rng) -> u64 {
    let (low, high) = match class {
        Class::Processors | Class::Impossible => (5.0, 300.0),
        Class::Small => (5.0, 900.0),
        Class::Medium => (60.0, 1_800.0),
        Class::Large => (300.0, 2_400.0),
        Class::Huge => (600.0, 2_400.0),
    };
    milliseconds(log_uniform(low, high, rng))
}

/// Returns a declared run time that is a tenth to ten times the true one, or none.
fn draw_declared(true_ms: u64, rng: &mut Rng) -> Option<u64> {
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

/// Draws idempotent and stoppable.
///
/// Large work can always be interrupted: capacity outside of every guarantee may never suffice for it.
fn draw_modes(class: Class, service: &str, rng: &mut Rng) -> (bool, bool) {
    let fixed_percent = match class {
        Class::Processors | Class::Small | Class::Impossible => 35,
        Class::Medium => 15,
        Class::Large | Class::Huge => 0,
    };
    let drawn = rng.u32(..100);
    if service == "schedule" {
        return (false, drawn >= 2 * fixed_percent);
    }
    if drawn < fixed_percent {
        return (false, false);
    }
    let idempotent = rng.u32(..4) != 0;
    (idempotent, !idempotent || rng.bool())
}

fn draw_behaviour(failing: &WorkerId, rng: &mut Rng) -> Behaviour {
    match rng.u32(..100) {
        0..2 => Behaviour::FailsAlways,
        2..4 => Behaviour::FailsOn(vec![failing.clone()]),
        _ => Behaviour::EndsWell,
    }
}

fn draw_shape(deployment: Deployment, class: Class, growth: u32, rng: &mut Rng) -> Shape {
    let near = Adjacency::DataCentre;
    let gang = |tasks, accelerators, adjacency| shape(deployment, tasks, accelerators, adjacency);
    match class {
        Class::Processors => Shape {
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
            1 => gang(4 * growth, 4, near),
            _ => gang(12 * growth, 1, near),
        },
        Class::Huge => match rng.u32(..3) {
            0 => gang(3, 8, Adjacency::Rack),
            1 => gang(6 * growth, 4, near),
            _ => gang(4 * growth, 8, near),
        },
        Class::Impossible => match rng.u32(..3) {
            0 => gang(1, 9, Adjacency::Any),
            1 => gang(129, 1, Adjacency::Any),
            _ => Shape {
                cores: 1_000,
                ..gang(1, 1, Adjacency::Any)
            },
        },
    }
}
