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

use crate::context::Context;

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
    let owned_since = cx.jobs.load().owned_since;
    owned_since.is_some_and(|since| timer::now().saturating_duration_since(since) >= SETTLE_TIME)
}
