//! Refusing jobs that no set of workers can ever hold.

use board::Fleet;
use model::Shape;

use crate::fit::first_fit;
use crate::layout::{Layout, idle};

/// Returns why the idle fleet cannot hold the shape, if it cannot.
pub fn infeasible_reason(fleet: &Fleet, shape: &Shape) -> Option<Box<str>> {
    reason(fleet, &Layout::of(fleet), shape)
}

/// Does the same with a layout at hand.
pub(crate) fn reason(fleet: &Fleet, layout: &Layout, shape: &Shape) -> Option<Box<str>> {
    if let Some(fault) = shape.fault() {
        return Some(fault.into());
    }
    if first_fit(layout, &idle(fleet), shape).is_some() {
        return None;
    }
    Some("no set of workers can hold the shape, even when idle".into())
}
