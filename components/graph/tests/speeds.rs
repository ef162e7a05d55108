//! Tests of the speeds of workers that the owner learns, and of the placements that depend on them.

#![allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "percentages and a few workers"
)]

mod common;

use std::time::Duration;

use common::{TestCell, gang, job, ms, running, step, task, worker};
use graph::{SpeedCounts, WaitReason};
use model::{AgentId, JobId, RunEnd, Step};

/// Agents of the workers of a cell, two on each of three racks, and their speeds.
const SPEEDS: [(&str, f64); 6] = [
    ("slow-1", 0.6),
    ("slow-2", 0.6),
    ("even-1", 1.0),
    ("even-2", 1.0),
    ("fast-1", 1.6),
    ("fast-2", 1.6),
];
const RACKS: [&str; 6] = ["r1", "r1", "r2", "r2", "r3", "r3"];
/// Rounds after which the speeds of all workers are known.
const ROUNDS: JobId = 30;
/// Interval of the reports of a round.
const INTERVAL: Duration = Duration::from_millis(200);
/// Id of the job that a test places after the rounds.
const JOB: JobId = 1_000_000;

fn cell() -> TestCell {
    let workers = SPEEDS.iter().zip(RACKS);
    TestCell::new(
        1,
        workers
            .map(|((agent, _), rack)| worker(agent, rack))
            .collect(),
    )
}

/// Runs a task of two seconds on each worker, at its speed, until all have ended. Members of a gang wait at 100 percent for the
/// slowest one, and end with it.
fn run_round(cell: &mut TestCell, id: JobId, step: Step, speeds: [f64; 6]) {
    let is_gang = step.gang;
    let spread = Step {
        max_tasks_per_worker: Some(1),
        ..step
    };
    cell.accept(id, job(2, vec![spread]));
    cell.plan_and_start();
    let slowest = speeds.into_iter().fold(f64::MAX, f64::min);
    let mut running_agents = SPEEDS.map(|(agent, _)| agent).to_vec();
    let mut share = 0.0;
    while !running_agents.is_empty() {
        cell.advance(INTERVAL);
        share += INTERVAL.as_secs_f64() / 2.0;
        for ((agent, _), speed) in SPEEDS.iter().zip(speeds) {
            if !running_agents.contains(agent) {
                continue;
            }
            let run = cell.workers[*agent].report.runs[0].run;
            if share * if is_gang { slowest } else { speed } >= 1.0 {
                let is_done = !is_gang || speed <= slowest;
                let end = if is_done {
                    RunEnd::Done
                } else {
                    RunEnd::Broken
                };
                cell.end_run(run.task, end);
                running_agents.retain(|running| running != agent);
            } else {
                let percent = (share * speed * 100.0).min(100.0) as u32;
                cell.workers[*agent].report.runs = vec![running(run, percent)];
            }
        }
        cell.report_all();
        cell.scheduler.plan(cell.now, Duration::from_secs(1));
    }
    cell.store_changes();
    cell.plan_and_start();
    cell.scheduler.compact_ended_jobs();
}

/// Creates a cell that has learned the speeds of its workers.
fn taught_cell() -> TestCell {
    let mut cell = cell();
    for round in 0..ROUNDS {
        run_round(&mut cell, round, step(6), SPEEDS.map(|(_, speed)| speed));
    }
    cell
}

/// Occupies the workers of racks.
fn occupy(cell: &mut TestCell, racks: &[&str]) {
    for (id, rack) in (JOB + 1..).zip(racks) {
        let whole = Step {
            required_label: Some((*rack).into()),
            ..whole_workers(step(2))
        };
        cell.accept(id, job(0, vec![whole]));
    }
    cell.plan_and_start();
}

fn counts(cell: &mut TestCell) -> [usize; 4] {
    cell.advance(ms(1_500));
    cell.report_all();
    cell.scheduler.plan(cell.now, Duration::from_secs(1));
    let counts: SpeedCounts = cell.scheduler.take_speed_counts().expect("determined");
    ["slow", "even", "fast", "unknown"].map(|class| counts[class])
}

/// Places a job of one step and returns the agents of its tasks.
fn place(cell: &mut TestCell, priority: u32, step: Step) -> Vec<AgentId> {
    let tasks = step.tasks;
    cell.accept(JOB, job(priority, vec![step]));
    cell.plan_and_start();
    let tasks = (0..tasks).map(|index| task(JOB, 0, index));
    let mut agents: Vec<AgentId> = tasks.filter_map(|task| cell.agent_of(task)).collect();
    agents.sort();
    agents
}

fn whole_workers(step: Step) -> Step {
    Step {
        resources: common::WORKER_CAPACITY,
        ..step
    }
}

// Guards against urgent work on slow workers while fast ones are free, and against gangs with a single slow member.
#[test]
fn plan_places_urgent_gang_on_fast_workers() {
    let mut cell = taught_cell();
    assert_eq!(counts(&mut cell), [2, 2, 2, 0]);
    let agents = place(&mut cell, 0, whole_workers(gang(2)));
    assert_eq!(agents, ["fast-1".into(), "fast-2".into()]);
}

// Guards against gangs that mix fast workers with even ones although enough even ones are free: the fast ones gain nothing.
#[test]
fn plan_places_gang_on_workers_of_like_speed() {
    let mut cell = taught_cell();
    let fast = place(&mut cell, 0, whole_workers(step(1)));
    assert!(fast[0].starts_with("fast"));
    cell.accept(JOB + 1, job(0, vec![whole_workers(gang(2))]));
    cell.plan_and_start();
    for index in 0..2 {
        let agent = cell
            .agent_of(task(JOB + 1, 0, index))
            .expect("it is placed");
        assert!(agent.starts_with("even"), "{agent}");
    }
}

// Guards against background work that takes the fast workers from urgent work.
#[test]
fn plan_places_background_on_slow_workers() {
    let mut cell = taught_cell();
    let agents = place(&mut cell, 2, step(1));
    assert!(agents[0].starts_with("slow"), "{agents:?}");
}

// Guards against background work that ends late on a slow worker although a faster one is free.
#[test]
fn plan_places_late_background_on_fast_worker() {
    let mut cell = taught_cell();
    let mut late = job(2, vec![step(1)]);
    late.policy.stretch = 1.0;
    late.policy.target = ms(100);
    cell.accept(JOB, late);
    cell.plan_and_start();
    let agent = cell.agent_of(task(JOB, 0, 0)).expect("it is placed");
    assert!(agent.starts_with("fast"), "{agent}");
}

// Guards against a gang that is spread over racks, where it takes three times as long, for the sake of faster workers.
#[test]
fn plan_prefers_rack_to_speed() {
    let mut cell = taught_cell();
    occupy(&mut cell, &["r2", "r3"]);
    let sensitive = Step {
        rack_sensitive: true,
        ..whole_workers(gang(2))
    };
    let agents = place(&mut cell, 0, sensitive);
    assert_eq!(agents, ["slow-1".into(), "slow-2".into()]);
}

// Guards against other placements than before where the speeds of workers don't differ: the fullest worker comes first.
#[test]
fn plan_packs_equal_workers_as_before() {
    let mut cell = cell();
    for round in 0..ROUNDS {
        // The work of the tasks varies by 30%, differently in each round.
        let variation = |index: usize| [0.75, 1.0, 1.3, 0.9, 1.1, 1.0, 1.2][index % 7];
        let speeds = [0, 2, 4, 6, 8, 10].map(|index| variation(round as usize * 3 + index));
        run_round(&mut cell, round, step(6), speeds);
    }
    assert_eq!(counts(&mut cell), [0, 6, 0, 0]);
    cell.accept(JOB + 1, job(2, vec![step(1)]));
    cell.plan_and_start();
    let fullest = cell.agent_of(task(JOB + 1, 0, 0)).expect("it is placed");
    assert_eq!(place(&mut cell, 0, gang(3)), vec![fullest; 3]);
}

// Guards against a worker that counts as slow because of a few stragglers, each of which takes seven times as long.
#[test]
fn learn_speeds_ignores_stragglers() {
    let mut cell = cell();
    for round in 0..ROUNDS {
        let mut speeds = [1.0; 6];
        if round % 10 == 9 {
            speeds[2] /= 7.0;
        }
        run_round(&mut cell, round, step(6), speeds);
    }
    assert_eq!(counts(&mut cell), [0, 6, 0, 0]);
}

// Guards against a worker that turned slow and still gets urgent work, and against avoiding it after it has recovered.
#[test]
fn learn_speeds_notices_and_forgives_slow_worker() {
    let mut cell = cell();
    let turned = [1.0, 1.0, 1.0, 1.0, 0.3, 1.0];
    for (rounds, speeds, slow) in [
        (0..30, [1.0; 6], 0),
        (30..38, turned, 1),
        (38..50, [1.0; 6], 0),
    ] {
        for round in rounds {
            run_round(&mut cell, round, step(6), speeds);
        }
        assert_eq!(counts(&mut cell)[0], slow);
    }
}

// Guards against a worker that is avoided for good, because it gets no runs that could show its present speed.
#[test]
fn learn_speeds_forgets_without_runs() {
    let mut cell = taught_cell();
    cell.advance(Duration::from_mins(10));
    assert_eq!(counts(&mut cell), [0, 0, 0, 6]);
}

// Guards against the speed of a machine that another one of another kind has taken the place of.
#[test]
fn learn_speeds_starts_anew_with_other_kind() {
    let mut cell = taught_cell();
    cell.workers["slow-1"].restart();
    cell.workers["slow-1"].report.labels[0] = "b".into();
    assert_eq!(counts(&mut cell), [1, 2, 2, 1]);
    cell.workers["slow-2"].restart();
    assert_eq!(counts(&mut cell), [1, 2, 2, 1], "the same kind keeps it");
}

// Guards against urgent work that tries a worker of unknown speed, and against background work that never does.
#[test]
fn plan_tries_unknown_worker_with_cheap_work() {
    let mut cell = taught_cell();
    for agent in ["slow-1", "slow-2"] {
        cell.workers[agent].restart();
        cell.workers[agent].report.labels[0] = "b".into();
    }
    assert_eq!(counts(&mut cell), [0, 2, 2, 2]);
    cell.accept(JOB + 1, job(2, vec![step(1)]));
    cell.plan_and_start();
    let cheap = cell.agent_of(task(JOB + 1, 0, 0)).expect("it is placed");
    assert!(cheap.starts_with("slow"), "{cheap}");
    let urgent = place(&mut cell, 0, whole_workers(gang(4)));
    assert!(urgent.iter().all(|agent| !agent.starts_with("slow")));
    assert_eq!(urgent.len(), 4);
}

// Guards against a new owner that keeps work from workers whose speeds it does not know.
#[test]
fn new_owner_counts_workers_as_equal() {
    let mut cell = taught_cell().take_over(2, &[]);
    cell.report_all();
    assert_eq!(counts(&mut cell), [0, 0, 0, 6]);
    assert_eq!(place(&mut cell, 0, whole_workers(gang(6))).len(), 6);
}

// Guards against a member of a gang that counts as slow because the time in which it waits at 100 percent for the others is
// taken for work, and against a slow one that isn't noticed because its run is only reported as broken.
#[test]
fn learn_speeds_compares_gang_members() {
    let mut cell = cell();
    for round in 0..ROUNDS {
        run_round(&mut cell, round, gang(6), SPEEDS.map(|(_, speed)| speed));
    }
    assert_eq!(counts(&mut cell), [2, 2, 2, 0]);
}

// Guards against a late end on a slow worker that is free while a fast one soon is, and against waiting longer than that would
// help.
#[test]
fn plan_bounds_wait_for_faster_workers() {
    let mut cell = taught_cell();
    occupy(&mut cell, &["r2", "r3"]);
    let mut tight = job(1, vec![step(1)]);
    // It has 3.0 s after its first second; the fast workers take 1.2 s, the slow ones 3.3 s.
    tight.policy.stretch = 1.0;
    tight.policy.target = ms(2_000);
    cell.accept(JOB, tight);
    let accepted_at = cell.now;
    let mut reason = None;
    while cell.agent_of(task(JOB, 0, 0)).is_none() {
        cell.advance(INTERVAL);
        cell.report_all();
        cell.plan_and_start();
        reason = cell
            .scheduler
            .waits()
            .next()
            .map(|wait| wait.reason)
            .or(reason);
    }
    assert_eq!(reason, Some(WaitReason::FasterWorkers));
    let waited = cell.now.saturating_sub(accepted_at);
    assert!(waited > ms(1_000) && waited < ms(2_000), "{waited:?}");
}
