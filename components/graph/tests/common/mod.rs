//! A scheduler with workers whose reports a test makes by hand.
#![allow(dead_code, reason = "each test file uses a part")]

use std::sync::Arc;
use std::time::Duration;

use graph::{Content, Limits, LoadedJob, Progress, Scheduler};
use indexmap::{IndexMap, IndexSet};
use model::{
    AcceptedJob, AgentId, EndReport, Instructions, JobGraph, JobId, JobState, QueuePolicy, Refusal,
    Room, RunEnd, RunReport, RunStatus, Step, TaskId, TaskRun, WorkerReport,
};

/// What a task of the tests needs.
pub(crate) const TASK_ROOM: Room = Room {
    accelerators: 1,
    millicores: 1_000,
    memory_mb: 1_000,
};
/// What a worker of the tests holds: four tasks.
pub(crate) const WORKER_ROOM: Room = Room {
    accelerators: 4,
    millicores: 4_000,
    memory_mb: 4_000,
};

/// A worker as its agent would report it.
#[derive(Debug, Clone)]
pub(crate) struct Side {
    pub(crate) report: WorkerReport,
    next_end: u64,
}

/// A scheduler with its workers.
pub(crate) struct Cell {
    pub(crate) scheduler: Scheduler,
    pub(crate) sides: IndexMap<AgentId, Side>,
    pub(crate) now: Duration,
}

pub(crate) fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

pub(crate) fn limits() -> Limits {
    Limits {
        max_lease: ms(6_000),
        max_stop_time: ms(900),
        restore_time: ms(500),
        slowdown: 3.0,
        store_outage_grace: ms(9_000),
    }
}

pub(crate) fn policy(priority: u32) -> QueuePolicy {
    QueuePolicy {
        service: "optics".into(),
        priority,
        max_attempts: 3,
        stretch: 3.0,
        target: ms(1_000),
        needs_approval: false,
    }
}

pub(crate) fn step(tasks: u32) -> Step {
    Step {
        tasks,
        room: TASK_ROOM,
        expected: ms(2_000),
        ..Step::default()
    }
}

pub(crate) fn gang(tasks: u32) -> Step {
    Step {
        gang: true,
        ..step(tasks)
    }
}

pub(crate) fn job(priority: u32, steps: Vec<Step>) -> AcceptedJob {
    AcceptedJob {
        account: "faro".into(),
        queue: format!("queue-{priority}").into(),
        policy: policy(priority),
        graph: JobGraph {
            body: "body".into(),
            steps,
            recurrence: None,
        },
        accepted: Duration::ZERO,
    }
}

pub(crate) fn task(job: JobId, step: u32, index: u32) -> TaskId {
    TaskId {
        job,
        occurrence: 0,
        step,
        index,
    }
}

pub(crate) fn side(name: &str, rack: &str) -> Side {
    Side {
        report: WorkerReport {
            agent: name.into(),
            name: format!("worker-{name}").into(),
            service: "optics".into(),
            incarnation: Some(1),
            room: WORKER_ROOM,
            labels: vec!["a".into(), rack.into()],
            draining: None,
            absent: false,
            fenced: 0,
            followed: 0,
            complete: false,
            runs: Vec::new(),
            ends: Vec::new(),
            sent_at: Duration::ZERO,
        },
        next_end: 1,
    }
}

impl Cell {
    /// Creates an owner that has heard these workers.
    pub(crate) fn with(epoch: u64, sides: Vec<Side>) -> Self {
        let mut cell = Self::silent(epoch, sides, &[]);
        for agent in cell.agents() {
            cell.report(&agent);
        }
        cell
    }

    /// Creates an owner that has heard none of these workers.
    pub(crate) fn silent(epoch: u64, sides: Vec<Side>, roster: &[&str]) -> Self {
        let now = ms(100_000);
        let roster: IndexSet<AgentId> = roster.iter().map(|agent| (*agent).into()).collect();
        let mut scheduler = Scheduler::new(limits(), epoch, roster, now);
        scheduler.end_adoption(now);
        let mut cell = Self {
            scheduler,
            sides: IndexMap::new(),
            now,
        };
        for mut side in sides {
            side.report.fenced = epoch;
            cell.sides.insert(side.report.agent.clone(), side);
        }
        cell
    }

    pub(crate) fn agents(&self) -> Vec<AgentId> {
        self.sides.keys().cloned().collect()
    }

    pub(crate) fn pass(&mut self, time: Duration) {
        self.now += time;
    }

    pub(crate) fn accept(&mut self, id: JobId, job: AcceptedJob) {
        self.scheduler
            .accept(id, Arc::new(job), self.now, Duration::from_secs(1));
    }

    pub(crate) fn load(&mut self, id: JobId, job: AcceptedJob, progress: Option<Progress>) {
        let loaded = LoadedJob {
            id,
            spec: Arc::new(job),
            progress,
            cancelled: false,
        };
        self.scheduler
            .load(loaded, self.now, Duration::from_secs(1));
    }

    /// Lets an agent report.
    pub(crate) fn report(&mut self, agent: &str) {
        self.now += ms(1);
        let side = &mut self.sides[agent];
        side.report.sent_at = self.now;
        self.scheduler.report(&side.report, self.now);
    }

    /// Plans, and lets every worker begin what it is told to.
    pub(crate) fn run(&mut self) {
        self.scheduler.plan(self.now, Duration::from_secs(1));
        for agent in self.agents() {
            let instructions = self.instructions(&agent);
            let side = &mut self.sides[&agent];
            for start in instructions.starts {
                side.report.runs.push(running(start.run, 0));
            }
            let acknowledged = instructions.acknowledged;
            side.report.ends.retain(|end| end.sequence > acknowledged);
            self.report(&agent);
        }
    }

    /// Plans, and returns the first start with the agent that is told to.
    pub(crate) fn first_start(&mut self) -> (AgentId, TaskRun) {
        self.scheduler.plan(self.now, Duration::from_secs(1));
        let start = self.agents().into_iter().find_map(|agent| {
            let starts = self.instructions(&agent).starts;
            starts.first().map(|start| (agent, start.run))
        });
        start.expect("a task is started")
    }

    pub(crate) fn instructions(&mut self, agent: &str) -> Instructions {
        self.scheduler
            .instructions(&agent.into(), self.now, true, self.now)
    }

    /// Ends a run on the worker that has it, and lets its agent report.
    pub(crate) fn end(&mut self, task: TaskId, end: RunEnd) {
        let agent = self.place_of(task).expect("the task runs");
        let side = &mut self.sides[&agent];
        let index = side
            .report
            .runs
            .iter()
            .position(|run| run.run.task == task)
            .expect("the task is listed");
        let run = side.report.runs.remove(index).run;
        side.report.ends.push(EndReport {
            sequence: side.next_end,
            run,
            end,
            checkpoint: Box::default(),
        });
        side.next_end += 1;
        self.report(&agent);
    }

    /// Returns the agent whose worker lists a task.
    pub(crate) fn place_of(&self, task: TaskId) -> Option<AgentId> {
        let lists = |side: &&Side| side.report.runs.iter().any(|run| run.run.task == task);
        self.sides
            .values()
            .find(lists)
            .map(|side| side.report.agent.clone())
    }

    pub(crate) fn run_of(&self, task: TaskId) -> Option<u64> {
        let mut runs = self.sides.values().flat_map(|side| &side.report.runs);
        runs.find(|run| run.run.task == task).map(|run| run.run.run)
    }

    /// Stores all changes.
    pub(crate) fn store(&mut self) -> Vec<(JobId, Content)> {
        let mut changes = self.scheduler.take_ended(100);
        changes.extend(self.scheduler.take_progress(100));
        for change in &changes {
            self.scheduler.mark_stored(change.job, change.version);
        }
        changes
            .into_iter()
            .map(|change| (change.job, change.content))
            .collect()
    }

    pub(crate) fn state(&self, id: JobId) -> Option<JobState> {
        self.scheduler.state(id)
    }
}

pub(crate) fn running(run: TaskRun, percent: u32) -> RunReport {
    RunReport {
        run,
        status: RunStatus::Running {
            percent,
            checkpoint: Box::default(),
        },
    }
}

pub(crate) fn refused(run: TaskRun, refusal: Refusal) -> RunReport {
    RunReport {
        run,
        status: RunStatus::Refused(refusal),
    }
}

pub(crate) fn ended(sequence: u64, run: TaskRun, end: RunEnd) -> EndReport {
    EndReport {
        sequence,
        run,
        end,
        checkpoint: Box::default(),
    }
}
