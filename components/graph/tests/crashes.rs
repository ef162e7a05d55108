//! Crashes of workers: tasks that cause them are given up, and the others are not.

mod common;

use common::{TASK_RESOURCES, TestCell, gang, job, ms, step, task, worker};
use graph::{Content, PROBATION};
use indexmap::IndexMap;
use model::{AgentId, JobEnd, JobState, ResourceVector, RunStatus, Step, TaskId};

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
                let run = self.cell.run_number(deadly);
                self.cell.crash(&agent);
                self.break_gang(deadly, run);
            }
        }
    }

    /// Ends the other members of the gang run that a task belongs to.
    fn break_gang(&mut self, lost: TaskId, run: Option<u64>) {
        let runs = self.cell.workers.values();
        let runs = runs.flat_map(|worker| &worker.report.runs);
        let is_member = |found: &model::TaskRun| {
            found.task.job == lost.job && Some(found.run) == run && found.task != lost
        };
        let members = runs.map(|report| report.run).filter(is_member);
        let members: Vec<TaskId> = members.map(|run| run.task).collect();
        for member in members {
            self.cell.end_run(member, model::RunEnd::Broken);
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

/// Guards against losing count of the crashes with each owner: every crash comes just before the owner is lost, and only
/// what was stored and what the agents still report reaches the next one.
#[test]
fn load_gives_up_task_across_owners() {
    let deadly = task(7, 0, 0);
    let mut workers: Vec<_> = (0..6)
        .map(|index| worker(&format!("w{index}"), "r1"))
        .collect();
    let mut progress = None;
    let mut starts = 0;
    for epoch in 1..20 {
        let mut cell = TestCell::without_reports(epoch, workers, &[]);
        cell.load(7, job(1, vec![step(1)]), progress.take());
        for agent in cell.agents() {
            cell.report(&agent);
        }
        let stored = cell.store_changes();
        if let Some((_, Content::Ended(end))) = stored.last() {
            assert_eq!(*end, JobEnd::Failed);
            assert!(starts <= 3, "{starts} starts");
            return;
        }
        if let Some((_, Content::Progress(stored))) = stored.last() {
            progress = Some(stored.clone());
        }
        cell.plan_and_start();
        if let Some(agent) = cell.agent_of(deadly) {
            starts += 1;
            cell.workers[&agent].crash();
            cell.workers[&agent].restart();
        }
        workers = cell.workers.into_values().collect();
    }
    panic!("not given up after {starts} starts");
}

/// Guards against a start of a suspect that the next owner would not know of, because the crash is not stored.
#[test]
fn plan_waits_until_crash_is_stored() {
    let mut cell = TestCell::new(1, vec![worker("w1", "r1"), worker("w2", "r1")]);
    cell.accept(7, job(1, vec![step(1)]));
    cell.plan_and_start();
    let agent = cell.agent_of(task(7, 0, 0)).expect("the task runs");
    cell.crash(&agent);
    cell.plan_and_start();
    assert_eq!(cell.agent_of(task(7, 0, 0)), None);
    cell.store_changes();
    cell.plan_and_start();
    assert!(cell.agent_of(task(7, 0, 0)).is_some());
}

/// Guards against an agent that forgets a crash before it is stored.
#[test]
fn instructions_confirm_only_stored_crashes() {
    let mut cell = TestCell::new(1, vec![worker("w1", "r1")]);
    cell.accept(7, job(1, vec![step(1)]));
    cell.plan_and_start();
    cell.crash("w1");
    assert_eq!(cell.instructions("w1").stored_crashes, Vec::<u64>::new());
    cell.store_changes();
    assert_eq!(cell.instructions("w1").stored_crashes, vec![1]);
}

/// Guards against a gang whose deadly member takes down a worker with each start of the gang.
#[test]
fn report_gives_up_gang_with_deadly_member() {
    let deadly = task(7, 0, 2);
    let mut fleet = Fleet::new(6, vec![deadly]);
    fleet.cell.accept(7, job(1, vec![gang(6)]));
    fleet.cell.accept(8, job(1, vec![gang(6)]));
    fleet.run_for(60_000);
    assert_eq!(fleet.cell.state(7), Some(JobState::Ended(JobEnd::Failed)));
    let other = fleet.cell.state(8);
    assert_eq!(other, Some(JobState::Ended(JobEnd::Completed)));
    assert!(fleet.starts[&deadly] <= 3, "{:?}", fleet.starts);
}

/// Guards against giving up a task because its workers crash for another cause, each time after it has run for a while.
#[test]
fn report_keeps_task_on_workers_that_crash_later() {
    let mut cell = TestCell::new(1, vec![worker("w1", "r1"), worker("w2", "r1")]);
    cell.accept(7, job(1, vec![step(1)]));
    for _ in 0..4 {
        cell.plan_and_start();
        let agent = cell.agent_of(task(7, 0, 0)).expect("the task runs");
        cell.advance(ms(900));
        cell.report(&agent);
        cell.crash(&agent);
        cell.store_changes();
        cell.restart(&agent);
    }
    cell.plan_and_start();
    cell.end_run(task(7, 0, 0), model::RunEnd::Done);
    cell.store_changes();
    let state = cell.state(7);
    assert_eq!(state, Some(JobState::Ended(JobEnd::Completed)));
}

/// Guards against giving up a suspect that has meanwhile lived: its earlier crashes had other causes.
#[test]
fn report_clears_suspect_that_survives_its_trial() {
    let mut cell = TestCell::new(1, vec![worker("w1", "r1"), worker("w2", "r1")]);
    cell.accept(7, job(1, vec![step(1)]));
    for _ in 0..4 {
        // The worker crashes during the probation of the task, and the next one runs it for longer.
        cell.plan_and_start();
        let agent = cell.agent_of(task(7, 0, 0)).expect("the task runs");
        cell.crash(&agent);
        cell.store_changes();
        cell.restart(&agent);
        cell.plan_and_start();
        let agent = cell.agent_of(task(7, 0, 0)).expect("the task runs");
        cell.advance(PROBATION);
        cell.report(&agent);
        cell.end_run(task(7, 0, 0), model::RunEnd::Stopped);
        cell.store_changes();
        cell.plan_and_start();
        cell.end_run(task(7, 0, 0), model::RunEnd::Stopped);
    }
    let state = cell.state(7);
    assert_eq!(state, Some(JobState::Running));
}

/// Guards against starts beside a suspect, which would be lost with it and would share the blame, and against workers
/// that get no tasks after its trial.
#[test]
fn plan_starts_nothing_beside_trial() {
    let mut cell = TestCell::new(1, vec![worker("w1", "r1")]);
    cell.accept(7, job(1, vec![step(1)]));
    cell.plan_and_start();
    cell.crash("w1");
    cell.store_changes();
    cell.restart("w1");
    cell.plan_and_start();
    cell.accept(8, job(1, vec![step(1)]));
    cell.plan_and_start();
    assert_eq!(cell.agent_of(task(8, 0, 0)), None);
    cell.advance(PROBATION);
    cell.report("w1");
    cell.plan_and_start();
    assert!(cell.agent_of(task(8, 0, 0)).is_some());
}

/// Guards against reservations that bypass a trial: an urgent unit would start on the reserved worker beside a suspect.
#[test]
fn plan_uses_no_reservation_beside_trial() {
    let mut cell = TestCell::new(1, vec![worker("w1", "r1")]);
    let whole = Step {
        resources: ResourceVector {
            accelerators: 3,
            ..TASK_RESOURCES
        },
        ..step(1)
    };
    cell.accept(9, job(1, vec![whole.clone()]));
    cell.plan_and_start();
    cell.accept(7, job(0, vec![step(1)]));
    cell.plan_and_start();
    cell.crash("w1");
    cell.store_changes();
    cell.restart("w1");
    cell.plan_and_start();
    let is_trial = |cell: &TestCell, id| cell.agent_of(task(id, 0, 0)).is_some();
    let on_trial = u32::from(is_trial(&cell, 7)) + u32::from(is_trial(&cell, 9));
    assert_eq!(on_trial, 1, "one suspect at a time");
    cell.accept(8, job(0, vec![whole]));
    cell.plan_and_start();
    assert_eq!(cell.agent_of(task(8, 0, 0)), None);
}

/// Guards against a trial that a new owner ends early, because it does not know that the adopted run is one.
#[test]
fn adopt_run_keeps_trial() {
    let mut cell = TestCell::new(1, vec![worker("w1", "r1")]);
    cell.accept(7, job(1, vec![step(1)]));
    cell.plan_and_start();
    cell.crash("w1");
    let stored = cell.store_changes();
    let Some((_, Content::Progress(progress))) = stored.into_iter().last() else {
        panic!("the crash is stored");
    };
    cell.restart("w1");
    cell.plan_and_start();
    assert!(cell.agent_of(task(7, 0, 0)).is_some());
    let workers: Vec<_> = cell.workers.into_values().collect();
    let mut next = TestCell::without_reports(2, workers, &["w1"]);
    next.load(7, job(1, vec![step(1)]), Some(progress));
    next.report("w1");
    next.accept(8, job(1, vec![step(1)]));
    next.plan_and_start();
    assert!(next.agent_of(task(7, 0, 0)).is_some());
    assert_eq!(next.agent_of(task(8, 0, 0)), None);
}

/// Guards against a task that crashes its workers before they answer the start, which is weaker evidence.
#[test]
fn report_gives_up_task_whose_starts_are_unanswered() {
    let mut cell = TestCell::new(1, vec![worker("w1", "r1"), worker("w2", "r1")]);
    cell.accept(7, job(1, vec![step(1)]));
    for _ in 0..4 {
        cell.plan_and_start();
        let agent = cell.agent_of(task(7, 0, 0)).expect("the task is started");
        for report in &mut cell.workers[&agent].report.runs {
            report.status = RunStatus::Starting;
        }
        cell.crash(&agent);
        cell.store_changes();
        cell.restart(&agent);
    }
    let state = cell.state(7);
    assert_eq!(state, Some(JobState::Ended(JobEnd::Failed)));
}

/// Guards against a next owner that does not hear of a crash, and against one that waits for an agent that is gone although
/// its crash is stored.
#[test]
fn roster_has_agent_until_crash_is_stored() {
    let mut cell = TestCell::new(1, vec![worker("w1", "r1")]);
    cell.accept(7, job(1, vec![step(1)]));
    cell.plan_and_start();
    cell.crash("w1");
    assert!(cell.scheduler.roster().contains("w1"));
    cell.store_changes();
    assert!(!cell.scheduler.roster().contains("w1"));
}

/// Guards against giving up a task because others crash its workers, each soon after its start. Found by soak seed 408.
#[test]
fn report_blames_no_survivor_beside_suspect() {
    let mut cell = TestCell::new(1, vec![worker("w1", "r1")]);
    cell.accept(7, job(1, vec![step(1)]));
    for other in 20..26 {
        cell.plan_and_start();
        cell.advance(ms(900));
        cell.report("w1");
        cell.accept(other, job(1, vec![step(1)]));
        cell.plan_and_start();
        assert!(cell.agent_of(task(other, 0, 0)).is_some());
        cell.crash("w1");
        cell.scheduler.cancel(other);
        cell.store_changes();
        cell.restart("w1");
    }
    assert_eq!(cell.state(7), Some(JobState::Running));
}
