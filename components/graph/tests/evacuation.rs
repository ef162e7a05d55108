//! Tests of the evacuation of data centres.

mod common;

use std::time::Duration;

use common::{TestCell, TestWorker, gang, job, ms, policy, running, step, task, worker};
use graph::WaitReason;
use indexmap::{IndexMap, IndexSet};
use model::{JobId, RunEnd, Step, TaskRun};

const JOB: JobId = 7;

fn worker_in(name: &str, data_centre: &str) -> TestWorker {
    let mut worker = worker(name, "r1");
    worker.report.data_centre = data_centre.into();
    worker
}

/// Returns a cell with a worker of four tasks in each of two data centres.
fn cell() -> TestCell {
    TestCell::new(1, vec![worker_in("e1", "east"), worker_in("w1", "west")])
}

fn evacuate(cell: &mut TestCell, data_centres: &[&str]) {
    let names: IndexSet<Box<str>> = data_centres.iter().map(|name| (*name).into()).collect();
    cell.scheduler.set_evacuations(&names, cell.now);
}

fn tasks_on(cell: &TestCell, agent: &str) -> usize {
    cell.workers[agent].report.runs.len()
}

/// Lets time pass while all agents report and the owner plans.
fn pass(cell: &mut TestCell, time: Duration) {
    let end = cell.now + time;
    while cell.now < end {
        cell.advance(ms(200));
        cell.report_all();
        cell.plan_and_start();
    }
}

/// Guards against a start in an evacuated data centre, and against tasks that are not placed once the evacuation is taken back.
#[test]
fn plan_uses_evacuated_workers_only_after_withdrawal() {
    let mut cell = cell();
    evacuate(&mut cell, &["east"]);
    cell.accept(JOB, job(1, vec![step(6)]));
    pass(&mut cell, ms(2_000));
    assert_eq!((tasks_on(&cell, "e1"), tasks_on(&cell, "w1")), (0, 4));
    let reasons: Vec<_> = cell.scheduler.waits().map(|wait| wait.reason).collect();
    assert_eq!(reasons, [WaitReason::Evacuated]);
    evacuate(&mut cell, &[]);
    pass(&mut cell, ms(200));
    assert_eq!(tasks_on(&cell, "e1"), 2);
}

/// Guards against starts while all data centres are evacuated.
#[test]
fn plan_starts_nothing_while_all_are_evacuated() {
    let mut cell = cell();
    evacuate(&mut cell, &["east", "west"]);
    for (id, priority) in [(JOB, 0), (8, 1)] {
        cell.accept(id, job(priority, vec![gang(2), step(1)]));
    }
    pass(&mut cell, ms(8_000));
    assert_eq!((tasks_on(&cell, "e1"), tasks_on(&cell, "w1")), (0, 0));
    evacuate(&mut cell, &["east"]);
    pass(&mut cell, ms(200));
    assert!(tasks_on(&cell, "w1") > 0);
}

/// Guards against an order that is sent although the evacuation came between the placement and the order.
#[test]
fn evacuate_withdraws_starts_that_were_not_ordered() {
    let mut cell = cell();
    cell.accept(JOB, job(1, vec![gang(8)]));
    cell.scheduler.plan(cell.now, ms(1_000));
    evacuate(&mut cell, &["east"]);
    for agent in cell.agents() {
        assert!(cell.instructions(&agent).starts.is_empty(), "{agent}");
    }
}

/// Guards against an order that is repeated until the worker carries it out after the bound of the evacuation.
#[test]
fn evacuate_withdraws_unanswered_starts() {
    let mut cell = cell();
    cell.accept(JOB, job(1, vec![step(8)]));
    cell.scheduler.plan(cell.now, ms(1_000));
    let ordered = cell.instructions("e1").starts;
    assert!(!ordered.is_empty());
    evacuate(&mut cell, &["east"]);
    for _ in 0..8 {
        cell.advance(ms(200));
        cell.report("e1");
        cell.scheduler.plan(cell.now, ms(1_000));
        assert!(cell.instructions("e1").starts.is_empty());
    }
    cell.advance(ms(400));
    cell.scheduler.plan(cell.now, ms(1_000));
    assert_eq!(cell.instructions("e1").stops.len(), ordered.len());
}

/// Guards against stopping work that may end where it runs.
#[test]
fn evacuate_lets_runs_end() {
    let mut cell = cell();
    cell.accept(JOB, job(1, vec![step(8)]));
    cell.plan_and_start();
    evacuate(&mut cell, &["east"]);
    pass(&mut cell, ms(3_000));
    assert_eq!(tasks_on(&cell, "e1"), 4);
    let run = cell.workers["e1"].report.runs[0].run.task;
    cell.end_run(run, RunEnd::Done);
    pass(&mut cell, ms(200));
    assert_eq!(tasks_on(&cell, "e1"), 3);
}

/// Guards against a task that lasts and starts again where it may not, and against one that waits although there is room.
#[test]
fn evacuate_moves_lasting_task_with_its_next_run() {
    let mut cell = cell();
    let lasting = Step {
        long_running: true,
        ..step(2)
    };
    cell.accept(JOB, job(1, vec![lasting]));
    cell.plan_and_start();
    let agent = cell.agent_of(task(JOB, 0, 0)).expect("the task runs");
    let data_centre = cell.workers[&agent].report.data_centre.clone();
    evacuate(&mut cell, &[&data_centre]);
    cell.end_run(task(JOB, 0, 0), RunEnd::Failed);
    pass(&mut cell, ms(600));
    let next = cell.agent_of(task(JOB, 0, 0)).expect("the task runs");
    assert_ne!(next, agent);
}

/// Guards against reserved room in an evacuated data centre that is used once it is free.
#[test]
fn evacuate_drops_reservations() {
    let mut cell = TestCell::new(1, vec![worker_in("e1", "east")]);
    cell.accept(JOB, job(2, vec![step(4)]));
    cell.plan_and_start();
    cell.accept(8, job(0, vec![gang(2)]));
    cell.scheduler.plan(cell.now, ms(1_000));
    let stops = cell.instructions("e1").stops;
    assert_eq!(stops.len(), 2, "room is made for the urgent gang");
    evacuate(&mut cell, &["east"]);
    for stop in stops {
        cell.end_run(stop.task, RunEnd::Stopped);
    }
    pass(&mut cell, ms(2_000));
    assert_eq!(cell.run_number(task(8, 0, 0)), None);
}

/// Guards against a start on a worker that joins, or comes back, in an evacuated data centre.
#[test]
fn evacuate_covers_workers_that_join() {
    let mut cell = cell();
    evacuate(&mut cell, &["east"]);
    cell.accept(JOB, job(1, vec![step(8)]));
    cell.workers.insert("e2".into(), worker_in("e2", "east"));
    cell.workers["e2"].report.confirmed_epoch = 1;
    cell.crash("e1");
    cell.restart("e1");
    pass(&mut cell, ms(2_000));
    assert_eq!((tasks_on(&cell, "e1"), tasks_on(&cell, "e2")), (0, 0));
}

/// Guards against a new owner that starts tasks where an earlier one may not, or stops what it adopts there.
#[test]
fn takeover_keeps_runs_of_evacuated_workers() {
    let mut cell = cell();
    cell.accept(JOB, job(1, vec![step(8)]));
    cell.plan_and_start();
    evacuate(&mut cell, &["east"]);
    let mut cell = cell.take_over(2, &[]);
    evacuate(&mut cell, &["east"]);
    cell.report_all();
    cell.accept(8, job(0, vec![step(1)]));
    pass(&mut cell, ms(600));
    assert_eq!(tasks_on(&cell, "e1"), 4);
    assert_eq!(cell.agent_of(task(8, 0, 0)), None);
}

/// Guards against a unit that waits for an evacuated data centre while another one is lost, although room is left elsewhere.
#[test]
fn evacuate_beside_lost_data_centre_uses_the_rest() {
    let workers = vec![
        worker_in("e1", "east"),
        worker_in("w1", "west"),
        worker_in("n1", "north"),
    ];
    let mut cell = TestCell::new(1, workers);
    cell.accept(JOB, job(1, vec![step(12)]));
    cell.plan_and_start();
    evacuate(&mut cell, &["east"]);
    let lost: Vec<TaskRun> = cell.workers["w1"]
        .report
        .runs
        .iter()
        .map(|r| r.run)
        .collect();
    cell.workers.shift_remove("w1");
    for _ in 0..40 {
        cell.advance(ms(200));
        cell.report_all();
        cell.scheduler.expire_leases(cell.now);
        cell.plan_and_start();
    }
    cell.end_run(cell.workers["n1"].report.runs[0].run.task, RunEnd::Done);
    pass(&mut cell, ms(600));
    let moved = lost.iter().filter(|run| cell.agent_of(run.task).is_some());
    assert_eq!(moved.count(), 1, "one place was free in the north");
    assert_eq!(tasks_on(&cell, "e1"), 4);
}

/// Guards against urgent gangs on workers that are slow after their start while others have room.
#[test]
fn plan_prefers_warm_workers() {
    let mut cell = TestCell::new(1, vec![worker_in("e1", "east"), worker_in("w1", "west")]);
    cell.workers["e1"].report.cold_remaining = ms(5_000);
    cell.report_all();
    cell.accept(JOB, job(0, vec![gang(4)]));
    cell.plan_and_start();
    assert_eq!(tasks_on(&cell, "w1"), 4);
    cell.accept(8, job(0, vec![gang(4)]));
    cell.plan_and_start();
    assert_eq!(tasks_on(&cell, "e1"), 4, "no other worker has room");
}

/// Guards against a shortage of guaranteed accelerators that no operator sees.
#[test]
fn evacuation_state_counts_missing_guarantees() {
    let mut cell = cell();
    let guarantees = IndexMap::from([("faro".into(), 6)]);
    cell.scheduler
        .configure(IndexMap::from([("queue-0".into(), policy(0))]), guarantees);
    assert_eq!(cell.scheduler.evacuation_state().missing_accelerators, 0);
    evacuate(&mut cell, &["east"]);
    let state = cell.scheduler.evacuation_state();
    assert_eq!((state.workers, state.missing_accelerators), (1, 2));
}

/// Guards against a report of an earlier run that makes an evacuated worker count as free for others.
#[test]
fn report_keeps_evacuation() {
    let mut cell = cell();
    evacuate(&mut cell, &["east"]);
    let unknown = TaskRun::new(task(99, 0, 0), 1);
    cell.workers["e1"].report.runs.push(running(unknown, 10));
    pass(&mut cell, ms(400));
    cell.workers["e1"].report.runs.clear();
    cell.accept(JOB, job(0, vec![step(8)]));
    pass(&mut cell, ms(600));
    assert_eq!(tasks_on(&cell, "e1"), 0);
}

/// Guards against a gang that is spread over racks, which triples its run time, to avoid a worker that is slow for a moment.
#[test]
fn plan_keeps_gang_on_one_rack_beside_cold_workers() {
    let half = |name: &str, rack: &str| {
        let mut half = worker(name, rack);
        half.report.data_centre = "east".into();
        half.report.capacity = common::TASK_RESOURCES.saturating_mul(2);
        half
    };
    let workers = vec![worker_in("e1", "east"), half("e2", "r2"), half("e3", "r3")];
    let mut cell = TestCell::new(1, workers);
    evacuate(&mut cell, &["east"]);
    let sensitive = Step {
        rack_sensitive: true,
        ..gang(4)
    };
    cell.accept(JOB, job(0, vec![sensitive]));
    pass(&mut cell, ms(60_000));
    evacuate(&mut cell, &[]);
    cell.workers["e1"].report.cold_remaining = ms(100);
    cell.report_all();
    cell.plan_and_start();
    assert_eq!(tasks_on(&cell, "e1"), 4);
}
