//! Jobs that can never run, and jobs that run once homes of guarantees move.

mod common;

use std::sync::Arc;
use std::time::Duration;

use common::{Cell, placed, shape};
use errors::{ErrorKind, Verdict};
use model::Adjacency;
use placement::{Action, Event, GangEnd};

fn refusals(actions: &[Action]) -> Vec<(u128, Verdict, ErrorKind)> {
    let refusal = |action: &Action| match action {
        Action::Refuse { job, error } => Some((*job, error.verdict, error.kind)),
        _ => None,
    };
    actions.iter().filter_map(refusal).collect()
}

// Guards against a job that waits for ever because only guaranteed capacity of others could hold it.
#[test]
fn submit_firm_job_beyond_guarantees() {
    let mut cell = Cell::new(3);
    let pair = shape(2, 8, Adjacency::Rack);
    cell.guarantee("faro", &[pair]);
    let firm = cell.request("plot", pair);
    let expected = (firm.id, Verdict::NotRun, ErrorKind::Infeasible);
    assert_eq!(refusals(&cell.submit(firm)), [expected]);
    let mut stoppable = cell.request("plot", pair);
    stoppable.idempotent = true;
    assert_eq!(placed(&cell.submit(stoppable)).len(), 1);
    let own = cell.request("faro", pair);
    assert!(refusals(&cell.submit(own)).is_empty());
}

// Guards against a false refusal by a new owner that no agent has reported to yet.
#[test]
fn submit_before_first_worker() {
    let mut cell = Cell::new(0);
    let possible = cell.request("plot", shape(1, 8, Adjacency::Worker));
    let impossible = cell.request("plot", shape(1, 9, Adjacency::Worker));
    let refused = (impossible.id, Verdict::NotRun, ErrorKind::Infeasible);
    let expected = possible.id;
    let events = [possible, impossible].map(|r| Event::Submitted(Arc::new(r)));
    assert!(cell.step(events.into()).is_empty());
    let actions = cell.set_workers(&[0]);
    assert_eq!(refusals(&actions), [refused]);
    assert_eq!(placed(&actions), [expected]);
}

// Guards against an unbounded wait in a cell whose workers never come.
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

// Guards against a job kept out by an unused home that could as well lie elsewhere.
#[test]
fn borrow_moves_unused_home() {
    let mut cell = Cell::new(0);
    cell.set_workers(&[3]);
    let whole = shape(1, 8, Adjacency::Worker);
    let request = cell.request("plot", whole);
    let blocker = cell.run(request);
    cell.set_workers(&[0, 1, 3]);
    cell.guarantee("faro", &[whole]);
    cell.end(blocker.id, GangEnd::Answered);
    let pair = cell.request("plot", shape(2, 8, Adjacency::Rack));
    assert_eq!(placed(&cell.submit(pair)).len(), 1);
}

// Guards against a refusal of work that was stopped for guarantees as if it had failed itself.
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
