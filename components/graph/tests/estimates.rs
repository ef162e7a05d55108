//! Run time estimates learned from completed runs.

mod common;

use std::time::Duration;

use common::{TestCell, WORKER_CAPACITY, job, ms, owner_run_number, running, step, task, worker};
use indexmap::IndexMap;
use model::{AcceptedJob, JobId, RunEnd, TaskRun};

/// Number of completed runs from which the run time of the queue is learned.
const COMPLETED_RUNS: JobId = 8;

/// Returns an urgent job with one task, outside of guarantees.
fn urgent(declared_ms: u64) -> AcceptedJob {
    let mut single = step(1);
    single.expected = ms(declared_ms);
    job(0, vec![single])
}

/// Returns whether an urgent job that occupies the whole worker is expected to be late: another one that is in time is then
/// placed first.
fn is_expected_late(cell: &mut TestCell, declared_ms: u64) -> bool {
    let accept = |cell: &mut TestCell, id, mut wide: AcceptedJob| {
        wide.graph.steps[0].resources = WORKER_CAPACITY;
        wide.policy.stretch = 0.0;
        wide.policy.target = ms(5_000);
        cell.accept(id, wide);
    };
    accept(cell, 80, urgent(declared_ms));
    let mut other = urgent(3_000);
    other.queue = "other".into();
    accept(cell, 90, other);
    cell.plan_and_start();
    cell.run_number(task(90, 0, 0)).is_some()
}

/// Guards against urgent jobs that are taken for in time because their clients declare a tenth of the actual run time.
#[test]
fn plan_learns_run_times_of_queue() {
    let mut cell = TestCell::new(1, vec![worker("w1", "r1")]);
    for id in 0..COMPLETED_RUNS {
        cell.accept(id, urgent(400));
        cell.plan_and_start();
        cell.advance(ms(8_000));
        cell.end_run(task(id, 0, 0), RunEnd::Done);
    }
    assert!(is_expected_late(&mut cell, 400));
}

/// Guards against an estimate other than the declared run time before any run of the queue has completed.
#[test]
fn plan_uses_declared_run_time_first() {
    let mut cell = TestCell::new(1, vec![worker("w1", "r1")]);
    assert!(!is_expected_late(&mut cell, 400));
}

/// Guards against estimates that are too low because a new owner measures only the last part of adopted runs.
#[test]
fn record_run_time_ignores_adopted_runs() {
    let mut cell = TestCell::without_reports(2, vec![worker("w1", "r1")], &["w1"]);
    let run_of = |id: JobId| TaskRun::new(task(id, 0, 0), owner_run_number(1, 1));
    for id in 0..4 {
        cell.load(id, urgent(8_000), None);
        cell.workers["w1"].report.runs.push(running(run_of(id), 90));
    }
    cell.report("w1");
    for id in 0..4 {
        cell.advance(ms(10));
        cell.end_run(task(id, 0, 0), RunEnd::Done);
    }
    cell.scheduler.configure(IndexMap::new(), IndexMap::new());
    assert!(is_expected_late(&mut cell, 8_000));
}

/// Guards against an overflow that crashes the owner: a client declares a thousand years in a queue whose runs take
/// a hundred thousand times as long as declared.
#[test]
fn plan_bounds_learned_run_times() {
    const SLOWDOWN: u64 = 100_000;
    let mut cell = TestCell::new(1, vec![worker("w1", "r1")]);
    for (id, declared_ms) in (0..40).zip([10, 100, 1_000, 10_000].into_iter().cycle()) {
        cell.accept(id, urgent(declared_ms));
        cell.plan_and_start();
        cell.advance(ms(declared_ms * SLOWDOWN));
        cell.report("w1");
        cell.end_run(task(id, 0, 0), RunEnd::Done);
    }
    let mut long = job(0, vec![step(1); 100]);
    for step in &mut long.graph.steps {
        step.expected = Duration::from_secs(32_000_000_000);
    }
    long.policy.stretch = 1_000.0;
    cell.accept(90, long);
    cell.plan_and_start();
    assert!(cell.run_number(task(90, 0, 0)).is_some());
}
