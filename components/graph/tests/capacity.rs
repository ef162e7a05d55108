//! Workers whose capacity shrinks and grows while they run tasks.

mod common;

use common::{TASK_RESOURCES, TestCell, WORKER_CAPACITY, gang, job, step, task, worker};
use model::{ResourceVector, RunEnd, Step};

/// Capacity of a worker that has shrunk to two tasks.
const SHRUNKEN: ResourceVector = ResourceVector {
    accelerators: 2,
    ..WORKER_CAPACITY
};

fn shrink(cell: &mut TestCell, agent: &str, capacity: ResourceVector) {
    cell.workers[agent].report.capacity = capacity;
    cell.report(agent);
}

/// Guards against starts on a worker whose running tasks use all that is left of its capacity.
#[test]
fn plan_respects_shrunken_capacity() {
    let mut cell = TestCell::new(1, vec![worker("w1", "r1")]);
    cell.accept(7, job(1, vec![step(3)]));
    cell.plan_and_start();
    shrink(&mut cell, "w1", SHRUNKEN);
    cell.accept(8, job(1, vec![step(1)]));
    cell.plan_and_start();
    assert_eq!(cell.agent_of(task(8, 0, 0)), None);
    cell.end_run(task(7, 0, 0), RunEnd::Done);
    cell.plan_and_start();
    assert_eq!(cell.agent_of(task(8, 0, 0)), None);
    shrink(&mut cell, "w1", WORKER_CAPACITY);
    cell.plan_and_start();
    assert!(cell.agent_of(task(8, 0, 0)).is_some());
}

/// Guards against a start that was decided before the capacity shrank, and that reaches the worker long after: its agent
/// was cut off, and reports the new capacity when it is back.
#[test]
fn instructions_withdraw_start_beyond_shrunken_capacity() {
    let mut cell = TestCell::new(1, vec![worker("w1", "r1"), worker("w2", "r1")]);
    cell.accept(7, job(1, vec![step(1)]));
    cell.plan_and_start();
    let first = cell.agent_of(task(7, 0, 0)).expect("the task runs");
    cell.accept(8, job(1, vec![gang(2)]));
    cell.scheduler
        .plan(cell.now, std::time::Duration::from_secs(1));
    shrink(&mut cell, &first, SHRUNKEN);
    let instructions = cell.instructions(&first);
    assert!(instructions.starts.is_empty(), "{:?}", instructions.starts);
    assert_eq!(instructions.stops.len(), 2);
}

/// Guards against stopping what runs when the capacity of its worker shrinks.
#[test]
fn report_keeps_runs_beyond_shrunken_capacity() {
    let mut cell = TestCell::new(1, vec![worker("w1", "r1")]);
    cell.accept(7, job(1, vec![step(4)]));
    cell.plan_and_start();
    let capacity = ResourceVector {
        accelerators: 0,
        ..TASK_RESOURCES
    };
    shrink(&mut cell, "w1", capacity);
    assert!(cell.instructions("w1").stops.is_empty());
}

/// Guards against tasks without resources that fit on a worker without number, which its agent could not hold.
#[test]
fn plan_bounds_runs_of_worker() {
    let mut cell = TestCell::new(1, vec![worker("w1", "r1"), worker("w2", "r2")]);
    let tiny = Step {
        resources: ResourceVector::default(),
        ..step(5_000)
    };
    cell.accept(7, job(1, vec![tiny]));
    cell.plan_and_start();
    let placed = (0..5_000).filter(|index| cell.run_number(task(7, 0, *index)).is_some());
    assert_eq!(placed.count(), 2 * 1_024);
}
