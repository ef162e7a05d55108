//! Tests of the detection of units without progress.

mod common;

use std::time::Duration;

use common::{TestCell, gang, job, ms, running, step, task, worker};
use model::{JobId, ResourceVector, RunEnd, RunStatus, Step, TaskId};

const JOB: JobId = 1;
/// Time after which a unit of two seconds counts as hanging, with the interval of the plans.
const HANG_TIME: Duration = Duration::from_millis(4_400);
/// Less than that time.
const SHORT_TIME: Duration = Duration::from_millis(3_600);

/// Creates a cell whose workers hold one task each.
fn cell(workers: usize) -> TestCell {
    let workers = (0..workers).map(|index| {
        let mut worker = worker(&format!("agent-{index}"), "r1");
        worker.report.capacity = common::TASK_RESOURCES;
        worker
    });
    TestCell::new(1, workers.collect())
}

fn set_percent(cell: &mut TestCell, task: TaskId, percent: u32) {
    set_progress(cell, task, percent, "");
}

fn set_progress(cell: &mut TestCell, task: TaskId, new_percent: u32, new_checkpoint: &str) {
    let agent = cell.agent_of(task).expect("the task runs");
    let mut runs = cell.workers[&agent].report.runs.iter_mut();
    let run = runs.find(|run| run.run.task == task);
    let RunStatus::Running {
        percent,
        checkpoint,
        ..
    } = &mut run.expect("the task is listed").status
    else {
        panic!("the task runs");
    };
    *percent = new_percent;
    *checkpoint = new_checkpoint.into();
    cell.report(&agent);
}

/// Lets time pass while all workers report and the owner plans; returns the agents that are told to stop a run.
fn stops_within(cell: &mut TestCell, time: Duration) -> Vec<Box<str>> {
    let end = cell.now + time;
    while cell.now < end {
        cell.advance(ms(200));
        cell.report_all();
        if let stopping @ [_, ..] = &*stops(cell) {
            return stopping.to_vec();
        }
    }
    Vec::new()
}

fn stops(cell: &mut TestCell) -> Vec<Box<str>> {
    cell.scheduler.plan(cell.now, Duration::from_secs(1));
    let mut agents = cell.agents();
    agents.retain(|agent| !cell.instructions(agent).stops.is_empty());
    agents
}

fn start_gang(cell: &mut TestCell, tasks: u32) {
    cell.accept(JOB, job(1, vec![gang(tasks)]));
    cell.plan_and_start();
}

// Guards against stopping gangs whose faster members have done their share and wait for the others.
#[test]
fn plan_keeps_gang_with_finished_member() {
    let mut cell = cell(2);
    start_gang(&mut cell, 2);
    set_percent(&mut cell, task(JOB, 0, 0), 100);
    for percent in 1..20 {
        set_percent(&mut cell, task(JOB, 0, 1), percent);
        assert!(
            stops_within(&mut cell, ms(1_000)).is_empty(),
            "at {percent} percent"
        );
    }
}

// Guards against gangs that stand for good once all of their members have done their share.
#[test]
fn plan_stops_gang_of_finished_members() {
    let mut cell = cell(2);
    start_gang(&mut cell, 2);
    set_percent(&mut cell, task(JOB, 0, 0), 100);
    set_percent(&mut cell, task(JOB, 0, 1), 100);
    assert!(stops_within(&mut cell, SHORT_TIME).is_empty());
    assert_eq!(stops_within(&mut cell, HANG_TIME).len(), 2);
    for index in 0..2 {
        cell.end_run(task(JOB, 0, index), RunEnd::Stopped);
    }
    cell.plan_and_start();
    assert!(
        cell.agent_of(task(JOB, 0, 0)).is_some(),
        "no worker is blamed, so that the gang is placed again"
    );
}

// Guards against overlooking a member that stands still while the others have finished, and against blaming their workers.
#[test]
fn plan_stops_gang_with_hanging_member() {
    let mut cell = cell(3);
    start_gang(&mut cell, 2);
    let slow = cell.agent_of(task(JOB, 0, 1)).expect("the task runs");
    set_percent(&mut cell, task(JOB, 0, 0), 100);
    set_percent(&mut cell, task(JOB, 0, 1), 20);
    assert!(stops_within(&mut cell, SHORT_TIME).is_empty());
    assert_eq!(stops_within(&mut cell, HANG_TIME).len(), 2);
    for index in 0..2 {
        cell.end_run(task(JOB, 0, index), RunEnd::Stopped);
    }
    cell.plan_and_start();
    let agents = [0, 1].map(|index| cell.agent_of(task(JOB, 0, index)));
    assert!(agents.iter().all(Option::is_some), "the gang runs again");
    assert!(
        !agents.contains(&Some(slow)),
        "the worker of the hanging member is quarantined"
    );
}

// Guards against stopping a member that waits for others that are not there yet.
#[test]
fn plan_keeps_gang_without_all_members() {
    let mut cell = cell(2);
    cell.accept(JOB, job(1, vec![gang(2)]));
    cell.scheduler.plan(cell.now, Duration::from_secs(1));
    let orders = [0, 1].map(|index| cell.instructions(&format!("agent-{index}")).starts[0].run);
    cell.workers["agent-0"]
        .report
        .runs
        .push(running(orders[0], 0));
    assert!(stops_within(&mut cell, HANG_TIME).is_empty());
    // The time of a gang begins with its last member.
    cell.workers["agent-1"]
        .report
        .runs
        .push(running(orders[1], 0));
    assert!(stops_within(&mut cell, SHORT_TIME).is_empty());
    assert_eq!(stops_within(&mut cell, HANG_TIME).len(), 2);
}

// Guards against stopping a run whose worker has become slower by a few times.
#[test]
fn plan_keeps_run_that_turned_slow() {
    let mut cell = cell(1);
    cell.accept(JOB, job(1, vec![step(1)]));
    cell.plan_and_start();
    for percent in 1..=6 {
        assert!(stops_within(&mut cell, ms(2_000)).is_empty());
        set_percent(&mut cell, task(JOB, 0, 0), percent);
    }
    for percent in 7..=10 {
        assert!(
            stops_within(&mut cell, ms(6_000)).is_empty(),
            "at {percent} percent"
        );
        set_percent(&mut cell, task(JOB, 0, 0), percent);
    }
}

// Guards against stopping a run while it restores its checkpoint, and against taking the restored progress for its pace.
#[test]
fn plan_keeps_run_that_restores_checkpoint() {
    let mut cell = cell(1);
    let checkpointing = Step {
        supports_checkpoints: true,
        ..step(1)
    };
    cell.accept(JOB, job(1, vec![checkpointing]));
    cell.plan_and_start();
    set_progress(&mut cell, task(JOB, 0, 0), 60, "saved");
    cell.end_run(task(JOB, 0, 0), RunEnd::Stopped);
    let (agent, run) = cell.first_start();
    cell.workers[&agent].report.runs.push(running(run, 60));
    cell.report(&agent);
    // The restore takes half a second, so that more than the usual time passes.
    assert!(stops_within(&mut cell, ms(4_300)).is_empty());
    set_percent(&mut cell, task(JOB, 0, 0), 61);
    for percent in 62..65 {
        assert!(stops_within(&mut cell, SHORT_TIME).is_empty());
        set_percent(&mut cell, task(JOB, 0, 0), percent);
    }
    assert!(
        stops_within(&mut cell, ms(10_000)).is_empty(),
        "four points take 14 s at its pace"
    );
}

// Guards against taking a worker that reports late for one whose run stands still.
#[test]
fn plan_keeps_run_of_late_reports() {
    let mut cell = cell(1);
    cell.accept(JOB, job(1, vec![step(1)]));
    cell.plan_and_start();
    cell.advance(ms(5_500));
    assert!(stops(&mut cell).is_empty());
}

/// Starts a task that uses only spare cores, beside another one that takes all of them if `busy` is set.
fn start_best_effort_task(busy: bool) -> TestCell {
    let mut cell = TestCell::new(1, vec![worker("agent-0", "r1")]);
    let resources = ResourceVector {
        accelerators: 1,
        millicores: if busy { 4_000 } else { 100 },
        memory_mb: 1_000,
    };
    let other = Step {
        resources,
        long_running: true,
        ..step(1)
    };
    let best_effort = Step {
        best_effort: true,
        ..step(1)
    };
    cell.accept(2, job(0, vec![other]));
    cell.accept(JOB, job(1, vec![best_effort]));
    cell.plan_and_start();
    set_percent(&mut cell, task(JOB, 0, 0), 10);
    cell
}

// Guards against stopping tasks that stand still because others use all cores.
#[test]
fn plan_keeps_best_effort_task_without_spare_cores() {
    let mut cell = start_best_effort_task(true);
    assert!(stops_within(&mut cell, ms(15_000)).is_empty());
    assert_eq!(stops_within(&mut cell, ms(3_000)).len(), 1);
}

// Guards against overlooking a standstill of such a task where there are enough cores.
#[test]
fn plan_stops_best_effort_task_with_spare_cores() {
    let mut cell = start_best_effort_task(false);
    assert_eq!(stops_within(&mut cell, HANG_TIME).len(), 1);
}
