//! Run times that are learned from ends.

mod common;

use std::time::Duration;

use common::{Cell, WORKER_ROOM, job, ms, running, side, step, task};
use indexmap::IndexMap;
use model::{AcceptedJob, JobId, RunEnd, TaskRun};

/// Runs that have ended before the run times of their queue count.
const RUNS: JobId = 8;

/// Returns an urgent job of one task, outside of guarantees.
fn urgent(declared_ms: u64) -> AcceptedJob {
    let mut only = step(1);
    only.expected = ms(declared_ms);
    job(0, vec![only])
}

/// Lets a task take all of the worker for a second, and returns whether an urgent job may stop it.
fn is_preempted(cell: &mut Cell, declared_ms: u64) -> bool {
    let mut wide = step(1);
    wide.room = WORKER_ROOM;
    cell.accept(80, job(1, vec![wide]));
    cell.run();
    let run = cell.sides["w1"].report.runs[0].run;
    cell.sides["w1"].report.runs = vec![running(run, 10)];
    cell.pass(ms(1_000));
    cell.report("w1");
    cell.accept(90, urgent(declared_ms));
    cell.scheduler.plan(cell.now, ms(1_000));
    !cell.instructions("w1").stops.is_empty()
}

/// Guards against urgent jobs that wait because their clients expect a tenth of the time that such jobs take.
#[test]
fn plan_learns_run_times_of_queue() {
    let mut cell = Cell::with(1, vec![side("w1", "r1")]);
    for id in 0..RUNS {
        cell.accept(id, urgent(400));
        cell.run();
        cell.pass(ms(8_000));
        cell.end(task(id, 0, 0), RunEnd::Done);
    }
    assert!(is_preempted(&mut cell, 400));
}

/// Guards against a queue that is trusted before one of its runs has ended.
#[test]
fn plan_uses_declared_run_time_first() {
    let mut cell = Cell::with(1, vec![side("w1", "r1")]);
    assert!(!is_preempted(&mut cell, 400));
}

/// Guards against run times that are too short because a new owner saw only the last part of its runs.
#[test]
fn learn_ignores_adopted_runs() {
    let mut cell = Cell::silent(2, vec![side("w1", "r1")], &["w1"]);
    let run_of = |id: JobId| TaskRun::new(task(id, 0, 0), (1 << 20) + 1);
    for id in 0..4 {
        cell.load(id, urgent(8_000), None);
        cell.sides["w1"].report.runs.push(running(run_of(id), 90));
    }
    cell.report("w1");
    for id in 0..4 {
        cell.pass(ms(10));
        cell.end(task(id, 0, 0), RunEnd::Done);
    }
    cell.scheduler.configure(IndexMap::new(), IndexMap::new());
    assert!(is_preempted(&mut cell, 8_000));
}

/// Guards against an owner that ends with an overflow because a client declares a thousand years in a queue whose runs take a
/// hundred thousand times as long as declared.
#[test]
fn plan_bounds_learned_run_times() {
    const SLOWER: u64 = 100_000;
    let mut cell = Cell::with(1, vec![side("w1", "r1")]);
    for (id, declared_ms) in (0..40).zip([10, 100, 1_000, 10_000].into_iter().cycle()) {
        cell.accept(id, urgent(declared_ms));
        cell.run();
        cell.pass(ms(declared_ms * SLOWER));
        cell.report("w1");
        cell.end(task(id, 0, 0), RunEnd::Done);
    }
    let mut long = job(0, vec![step(1); 100]);
    for step in &mut long.graph.steps {
        step.expected = Duration::from_secs(32_000_000_000);
    }
    long.policy.stretch = 1_000.0;
    cell.accept(90, long);
    cell.run();
    assert!(cell.run_of(task(90, 0, 0)).is_some());
}
