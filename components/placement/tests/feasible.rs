//! Infeasible jobs, and jobs that are feasible only if allocations of claims move.

mod common;

use std::sync::Arc;
use std::time::Duration;

use common::{Cell, placed, shape};
use errors::{Error, ErrorKind, Verdict};
use model::Adjacency;
use placement::{Action, Event, GangEnd};

fn refusals(actions: &[Action]) -> Vec<(u128, Verdict, ErrorKind)> {
    let refusal = |action: &Action| match action {
        Action::Refuse { job, error } => Some((*job, error.verdict, error.kind)),
        _ => None,
    };
    actions.iter().filter_map(refusal).collect()
}

// Guards against a non-preemptible job that waits forever because it fits only on capacity guaranteed to other
// accounts.
#[test]
fn submit_non_preemptible_job_beyond_guarantees() {
    let mut cell = Cell::new(3);
    let two_workers = shape(2, 8, Adjacency::Rack);
    cell.guarantee("faro", &[two_workers]);
    let non_preemptible = cell.request("plot", two_workers);
    let expected = (non_preemptible.id, Verdict::NotRun, ErrorKind::Infeasible);
    assert_eq!(refusals(&cell.submit(non_preemptible)), [expected]);
    let mut preemptible = cell.request("plot", two_workers);
    preemptible.idempotent = true;
    assert_eq!(placed(&cell.submit(preemptible)).len(), 1);
    let own = cell.request("faro", two_workers);
    assert!(refusals(&cell.submit(own)).is_empty());
}

// Guards against a new owner that refuses feasible jobs before any agent has reported to it.
#[test]
fn submit_before_first_worker() {
    let mut cell = Cell::new(0);
    let feasible = cell.request("plot", shape(1, 8, Adjacency::Worker));
    let infeasible = cell.request("plot", shape(1, 9, Adjacency::Worker));
    let refused = (infeasible.id, Verdict::NotRun, ErrorKind::Infeasible);
    let expected = feasible.id;
    let events = [feasible, infeasible].map(|r| Event::Submitted(Arc::new(r)));
    assert!(cell.step(events.into()).is_empty());
    let actions = cell.set_workers(&[0]);
    assert_eq!(refusals(&actions), [refused]);
    assert_eq!(placed(&actions), [expected]);
}

// Guards against jobs that wait forever in a cell without workers.
#[test]
fn step_refuses_jobs_without_workers() {
    let mut cell = Cell::new(0);
    let request = cell.request("plot", shape(1, 8, Adjacency::Worker));
    let expected = (request.id, Verdict::NotRun, ErrorKind::Unavailable);
    cell.submit(request);
    cell.now += Duration::from_secs(29);
    assert!(cell.step(vec![Event::Tick]).is_empty());
    cell.now += Duration::from_secs(1);
    assert_eq!(refusals(&cell.step(vec![Event::Tick])), [expected]);
}

// Guards against a job that is blocked by an unused allocation that could move to another worker. Worker 3, in another
// rack, is in use when the guarantee is allocated, so the allocation is on worker 0 or 1. The job needs both of these.
#[test]
fn place_uncharged_moves_unused_allocation() {
    let mut cell = Cell::new(0);
    cell.set_workers(&[3]);
    let full_worker = shape(1, 8, Adjacency::Worker);
    let request = cell.request("plot", full_worker);
    let blocker = cell.run(request);
    cell.set_workers(&[0, 1, 3]);
    cell.guarantee("faro", &[full_worker]);
    cell.end(blocker.id, GangEnd::Answered);
    let two_workers = cell.request("plot", shape(2, 8, Adjacency::Rack));
    assert_eq!(placed(&cell.submit(two_workers)).len(), 1);
}

// Guards against a job that is refused because it was reclaimed more often than a failing job may run.
#[test]
fn requeue_after_many_reclaims() {
    let mut cell = Cell::new(1);
    let mut request = cell.request("plot", shape(1, 8, Adjacency::Worker));
    request.idempotent = true;
    let mut gang = cell.run(request).id;
    for _ in 0..20 {
        let actions = cell.end(gang, GangEnd::Stopped);
        assert!(refusals(&actions).is_empty());
        gang = common::reserved(&actions)[0];
        cell.confirm(&actions);
    }
}

/// Guards against refusing a job at its first failure because its earlier runs were stopped by reclaims.
#[test]
fn requeue_after_reclaims_counts_failures_only() {
    let mut cell = Cell::new(1);
    let mut request = cell.request("plot", shape(1, 8, Adjacency::Worker));
    request.idempotent = true;
    let mut gang = cell.run(request).id;
    let failure = || GangEnd::Failed(Error::may_have_run(ErrorKind::Unavailable, "a task failed"));
    let ends = (0..7)
        .map(|_| GangEnd::Stopped)
        .chain((0..7).map(|_| failure()));
    for end in ends {
        let actions = cell.end(gang, end);
        assert!(refusals(&actions).is_empty());
        gang = common::reserved(&actions)[0];
        cell.confirm(&actions);
    }
    assert_eq!(refusals(&cell.end(gang, failure())).len(), 1);
}
