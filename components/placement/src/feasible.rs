//! Refusing jobs that no set of workers can ever hold.

use board::Fleet;
use model::{Resources, Shape};

use crate::fit::fit_gang;

/// Returns why the idle fleet cannot hold the shape, if it cannot.
pub fn infeasible_reason(fleet: &Fleet, shape: &Shape) -> Option<Box<str>> {
    if let Some(fault) = shape.fault() {
        return Some(fault.into());
    }
    let idle: Vec<Resources> = fleet
        .workers
        .values()
        .map(|worker| worker.capacity)
        .collect();
    match fit_gang(fleet, &idle, shape) {
        Some(_) => None,
        None => Some("no set of workers can hold the shape, even when idle".into()),
    }
}
