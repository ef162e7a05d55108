//! The jobs controller: runs the asynchronous jobs of the cell while this process owns it.

mod attempt;
mod controller;
mod persist;
mod runner;
mod section;
mod sweep;
mod target;
mod watch;

pub(crate) use controller::run;
pub(crate) use section::Jobs;

use std::time::Duration;

use membership::liveness::SILENCE_LIMIT;

use std::ops::Deref;
use std::sync::Arc;

use crate::context::Context;
use crate::published::Ownership;

/// The context of an ownership, whose jobs the controller runs.
#[derive(Clone)]
pub(crate) struct OwnedContext {
    cx: Arc<Context>,
    ownership: Arc<Ownership>,
}

impl Deref for OwnedContext {
    type Target = Context;

    fn deref(&self) -> &Context {
        &self.cx
    }
}

impl OwnedContext {
    /// Returns whether a condition holds for the jobs of the cell; it does not while they are not known.
    fn jobs_satisfy(&self, condition: impl FnOnce(&Jobs) -> bool) -> bool {
        let jobs = self.ownership.jobs.load();
        jobs.as_ref().as_ref().is_some_and(condition)
    }

    /// Changes the jobs of the cell, which are known from then on.
    fn update_jobs(&self, change: impl FnOnce(&mut Jobs)) {
        let jobs = &self.ownership.jobs;
        jobs.update(|jobs| change(jobs.get_or_insert_default()));
    }
}

/// Time for the agents of the cell to find a new owner: the silence limit of the old one, then a pause and two calls.
const SETTLE_TIME: Duration = SILENCE_LIMIT.saturating_add(Duration::from_secs(3));

/// Returns why the idle fleet cannot hold the shape; `None` if it can, or if the fleet is not known yet.
pub(crate) fn infeasible_reason(
    cx: &Context,
    cell: &str,
    shape: &model::Shape,
) -> Option<Box<str>> {
    if *cx.settings.cell != *cell || !is_settled(cx) {
        return None;
    }
    placement::infeasible_reason(&cx.board.fleet.load(), shape)
}

/// Returns whether the agents have had time to announce themselves to this owner.
fn is_settled(cx: &Context) -> bool {
    let ownership = cx.ownership();
    ownership
        .is_some_and(|owned| timer::now().saturating_duration_since(owned.since) >= SETTLE_TIME)
}
