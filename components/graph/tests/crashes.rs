//! Crashes of workers: tasks that cause them are given up, and the others are not.

mod common;

use common::{TestCell, job, ms, step, task, worker};
use indexmap::IndexMap;
use model::{AgentId, JobEnd, JobState, TaskId};

/// Time until a crashed worker is back.
const DOWNTIME_MS: u64 = 3_000;
/// Interval of the plans.
const INTERVAL_MS: u64 = 200;

/// A fleet on which the `deadly` tasks crash each worker that starts them, and other tasks complete after a second.
struct Fleet {
    cell: TestCell,
    deadly: Vec<TaskId>,
    /// Number of starts of each deadly task.
    starts: IndexMap<TaskId, u32>,
    /// When each crashed worker is back.
    back_at: IndexMap<AgentId, u64>,
    /// When each run of another task started.
    started_at: IndexMap<(TaskId, u64), u64>,
    now_ms: u64,
}

impl Fleet {
    fn new(workers: usize, deadly: Vec<TaskId>) -> Self {
        let workers = (0..workers).map(|index| worker(&format!("w{index}"), "r1"));
        Self {
            cell: TestCell::new(1, workers.collect()),
            deadly,
            starts: IndexMap::new(),
            back_at: IndexMap::new(),
            started_at: IndexMap::new(),
            now_ms: 0,
        }
    }

    fn run_for(&mut self, time_ms: u64) {
        let end = self.now_ms + time_ms;
        while self.now_ms < end {
            self.step();
        }
    }

    fn step(&mut self) {
        self.cell.store_changes();
        self.cell.plan_and_start();
        self.crash_workers();
        self.end_runs();
        self.now_ms += INTERVAL_MS;
        self.cell.advance(ms(INTERVAL_MS));
        let is_back = |at: &u64| *at <= self.now_ms;
        let back = self.back_at.iter().filter(|(_, at)| is_back(at));
        let back: Vec<AgentId> = back.map(|(agent, _)| agent.clone()).collect();
        for agent in back {
            self.back_at.swap_remove(&agent);
            self.cell.restart(&agent);
        }
        for agent in self.cell.agents() {
            if !self.back_at.contains_key(&agent) {
                self.cell.report(&agent);
            }
        }
    }

    fn crash_workers(&mut self) {
        for deadly in self.deadly.clone() {
            if let Some(agent) = self.cell.agent_of(deadly) {
                *self.starts.entry(deadly).or_default() += 1;
                self.back_at
                    .insert(agent.clone(), self.now_ms + DOWNTIME_MS);
                self.cell.crash(&agent);
            }
        }
    }

    fn end_runs(&mut self) {
        let runs = self.cell.workers.values();
        let runs = runs.flat_map(|worker| &worker.report.runs);
        let runs: Vec<(TaskId, u64)> = runs.map(|run| (run.run.task, run.run.run)).collect();
        for run in runs {
            let started_at = *self.started_at.entry(run).or_insert(self.now_ms);
            if self.now_ms >= started_at + 1_000 {
                self.cell.end_run(run.0, model::RunEnd::Done);
            }
        }
    }
}

/// Guards against a task that crashes worker after worker because nothing counts these crashes.
#[test]
fn report_gives_up_task_that_crashes_workers() {
    let deadly = task(7, 0, 0);
    let mut fleet = Fleet::new(6, vec![deadly]);
    fleet.cell.accept(7, job(1, vec![step(1)]));
    fleet.run_for(60_000);
    assert_eq!(
        fleet.cell.state(7),
        Some(JobState::Ended(JobEnd::Failed)),
        "{:?}",
        fleet.starts
    );
    assert!(fleet.starts[&deadly] <= 3, "{:?}", fleet.starts);
}

/// Guards against giving up the neighbours of a task that crashes workers: they are lost with the same workers, and are
/// placed together with it again.
#[test]
fn report_completes_neighbours_of_task_that_crashes_workers() {
    let deadly = task(7, 0, 0);
    let mut fleet = Fleet::new(3, vec![deadly]);
    fleet.cell.accept(7, job(1, vec![step(1)]));
    for id in 8..14 {
        fleet.cell.accept(id, job(1, vec![step(1)]));
    }
    fleet.run_for(60_000);
    assert_eq!(fleet.cell.state(7), Some(JobState::Ended(JobEnd::Failed)));
    for id in 8..14 {
        let state = fleet.cell.state(id);
        assert_eq!(
            state,
            Some(JobState::Ended(JobEnd::Completed)),
            "job {id}, {:?}",
            fleet.starts
        );
    }
    assert!(fleet.starts[&deadly] <= 5, "{:?}", fleet.starts);
}
