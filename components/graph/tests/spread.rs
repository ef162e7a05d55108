//! Tests of the limit of tasks of a step on one worker, on fleets without free room.

mod common;

use std::time::Duration;

use common::{TestCell, gang, job, ms, step, task, worker};
use model::{JobId, RunEnd, Step, TaskId};

const LIMITED: JobId = 8;

fn limited_step(tasks: u32, limit: u32) -> Step {
    Step {
        max_tasks_per_worker: Some(limit),
        ..step(tasks)
    }
}

/// Returns a cell of full workers.
fn full_cell(names: &[&str]) -> TestCell {
    let workers: Vec<_> = names.iter().map(|name| worker(name, "r1")).collect();
    let tasks = 4 * u32::try_from(names.len()).expect("there are few workers");
    let mut cell = TestCell::new(1, workers);
    cell.accept(7, job(2, vec![step(tasks)]));
    cell.plan_and_start();
    cell
}

/// Returns the largest number of tasks of a job on one worker.
fn most_tasks(cell: &TestCell, id: JobId) -> usize {
    let counts = cell.workers.values().map(|worker| {
        let runs = worker.report.runs.iter();
        runs.filter(|run| run.run.task.job == id).count()
    });
    counts.max().unwrap_or(0)
}

/// Carries out all stop orders, plans and starts.
fn follow_orders(cell: &mut TestCell) {
    for agent in cell.agents() {
        for stop in cell.instructions(&agent).stops {
            if cell.run_number(stop.task) == Some(stop.run) {
                cell.end_run(stop.task, RunEnd::Stopped);
            }
        }
    }
    cell.plan_and_start();
}

// Guards against two units of a step that reserve room on one worker and both start there.
#[test]
fn reserve_respects_spread_limit() {
    let mut cell = full_cell(&["w1", "w2", "w3"]);
    cell.accept(LIMITED, job(0, vec![limited_step(3, 1)]));
    for _ in 0..12 {
        follow_orders(&mut cell);
        cell.advance(ms(300));
        assert!(most_tasks(&cell, LIMITED) <= 1);
    }
    let starts = [0, 1, 2].map(|index| cell.run_number(task(LIMITED, 0, index)));
    assert!(
        starts.iter().all(Option::is_some),
        "every task has a worker"
    );
}

// Guards against a gang that reserves more room on a worker than its limit.
#[test]
fn reserve_for_gang_respects_spread_limit() {
    let mut cell = full_cell(&["w1", "w2"]);
    let limited = Step {
        max_tasks_per_worker: Some(2),
        ..gang(4)
    };
    cell.accept(LIMITED, job(0, vec![limited]));
    for _ in 0..12 {
        follow_orders(&mut cell);
        cell.advance(ms(300));
    }
    assert_eq!(most_tasks(&cell, LIMITED), 2);
    assert!(cell.run_number(task(LIMITED, 0, 0)).is_some());
}

// Guards against any order of starts, ends, failures and reservations that brings a worker over the limit.
#[test]
fn plan_respects_spread_limit_in_random_orders() {
    for seed in 0..40 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut cell = full_cell(&["w1", "w2", "w3", "w4"]);
        for id in 10..16 {
            let priority = rng.u32(0..2);
            let limited = limited_step(rng.u32(2..5), 1);
            cell.accept(id, job(priority, vec![limited]));
        }
        for round in 0..60 {
            follow_orders(&mut cell);
            for id in 10..16 {
                assert!(
                    most_tasks(&cell, id) <= 1,
                    "seed {seed}, round {round}, job {id}"
                );
            }
            end_random_run(&mut cell, &mut rng);
            cell.advance(Duration::from_millis(rng.u64(20..600)));
            cell.report_all();
        }
    }
}

fn end_random_run(cell: &mut TestCell, rng: &mut fastrand::Rng) {
    let workers = cell.workers.values();
    let tasks = workers.flat_map(|worker| worker.report.runs.iter().map(|run| run.run.task));
    let tasks: Vec<TaskId> = tasks.collect();
    if !tasks.is_empty() {
        let ends = [RunEnd::Done, RunEnd::Failed, RunEnd::Stopped];
        cell.end_run(tasks[rng.usize(0..tasks.len())], ends[rng.usize(0..3)]);
        cell.store_changes();
    }
}
