//! Test harness: a scheduler with simulated workers whose reports the tests control.
#![allow(dead_code, reason = "each test file uses a part")]

use std::sync::Arc;
use std::time::Duration;

use graph::{Content, LoadedJob, Progress, Scheduler, SchedulerSettings};
use indexmap::{IndexMap, IndexSet};
use model::{
    AcceptedJob, AgentId, CrashedRun, EndReport, Instructions, JobGraph, JobId, JobState,
    QueuePolicy, Refusal, ResourceVector, RunEnd, RunReport, RunStatus, Step, TaskId, TaskRun,
    WorkerCrash, WorkerReport,
};

/// Resources of one task.
pub(crate) const TASK_RESOURCES: ResourceVector = ResourceVector {
    accelerators: 1,
    millicores: 1_000,
    memory_mb: 1_000,
};
/// Capacity of one worker: four tasks.
pub(crate) const WORKER_CAPACITY: ResourceVector = ResourceVector {
    accelerators: 4,
    millicores: 4_000,
    memory_mb: 4_000,
};

/// A simulated worker with the next report of its agent.
#[derive(Debug, Clone)]
pub(crate) struct TestWorker {
    pub(crate) report: WorkerReport,
    next_end_sequence: u64,
    /// When each run was first reported.
    started_at: IndexMap<TaskRun, Duration>,
}

/// A scheduler with simulated workers and a simulated clock.
pub(crate) struct TestCell {
    pub(crate) scheduler: Scheduler,
    pub(crate) workers: IndexMap<AgentId, TestWorker>,
    pub(crate) now: Duration,
    /// What the store has of the jobs that have not ended.
    pub(crate) stored: IndexMap<JobId, StoredJob>,
}

/// What the store has of a job.
#[derive(Debug, Clone)]
pub(crate) struct StoredJob {
    pub(crate) job: AcceptedJob,
    pub(crate) progress: Option<Progress>,
    /// The agents on which it may have runs.
    pub(crate) placements: IndexSet<AgentId>,
}

/// Returns the run number that the owner with an epoch assigns to its run with a sequence number: the epoch is stored
/// from bit 20 up.
pub(crate) const fn owner_run_number(epoch: u64, sequence: u64) -> u64 {
    (epoch << 20) + sequence
}

pub(crate) fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

pub(crate) fn settings() -> SchedulerSettings {
    SchedulerSettings {
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
        resources: TASK_RESOURCES,
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
        accepted_at: Duration::ZERO,
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

pub(crate) fn worker(name: &str, rack: &str) -> TestWorker {
    TestWorker {
        report: WorkerReport {
            agent: name.into(),
            name: format!("worker-{name}").into(),
            service: "optics".into(),
            incarnation: Some(1),
            capacity: WORKER_CAPACITY,
            labels: vec!["a".into(), rack.into()],
            draining: None,
            absent: false,
            confirmed_epoch: 0,
            owner_epoch: 0,
            complete: false,
            lists_complete: true,
            runs: Vec::new(),
            ends: Vec::new(),
            crashes: Vec::new(),
            sent_at: Duration::ZERO,
        },
        next_end_sequence: 1,
        started_at: IndexMap::new(),
    }
}

impl TestCell {
    /// Creates an owner to which all the workers have reported.
    pub(crate) fn new(epoch: u64, workers: Vec<TestWorker>) -> Self {
        let mut cell = Self::without_reports(epoch, workers, &[]);
        for agent in cell.agents() {
            cell.report(&agent);
        }
        cell
    }

    /// Creates an owner to which none of the workers has reported yet; `roster` lists the agents that it has to wait
    /// for.
    pub(crate) fn without_reports(epoch: u64, workers: Vec<TestWorker>, roster: &[&str]) -> Self {
        let now = ms(100_000);
        let roster: IndexSet<AgentId> = roster.iter().map(|agent| (*agent).into()).collect();
        let mut scheduler = Scheduler::new(settings(), epoch, roster, now);
        // With an empty roster, recovery ends at once. The owner makes the same call when it starts.
        scheduler.try_end_recovery(now);
        let mut cell = Self {
            scheduler,
            workers: IndexMap::new(),
            now,
            stored: IndexMap::new(),
        };
        for mut worker in workers {
            worker.report.confirmed_epoch = epoch;
            cell.workers.insert(worker.report.agent.clone(), worker);
        }
        cell
    }

    pub(crate) fn agents(&self) -> Vec<AgentId> {
        self.workers.keys().cloned().collect()
    }

    pub(crate) fn advance(&mut self, time: Duration) {
        self.now += time;
    }

    /// Replaces the owner by another one, which has the records of the earlier one. The workers go on, except those of the
    /// `lost` agents, which are not heard any more. The agents follow the new owner with their next reports.
    pub(crate) fn take_over(self, epoch: u64, lost: &[&str]) -> Self {
        let mut cell = self.take_over_without_records(epoch, lost);
        cell.scheduler.rely_on_records();
        cell.scheduler.try_end_recovery(cell.now);
        cell
    }

    /// Does the same beside an earlier owner that may have kept no records of placements.
    pub(crate) fn take_over_without_records(self, epoch: u64, lost: &[&str]) -> Self {
        let roster: Vec<AgentId> = self.scheduler.roster().into_iter().collect();
        let roster: Vec<&str> = roster.iter().map(|agent| &**agent).collect();
        let mut cell = Self::without_reports(epoch, Vec::new(), &roster);
        cell.now = self.now;
        cell.scheduler = Scheduler::new(
            settings(),
            epoch,
            roster.iter().map(|agent| (*agent).into()).collect(),
            cell.now,
        );
        for (id, stored) in self.stored {
            cell.load(id, stored.job, stored.progress);
            cell.load_placements(id, stored.placements);
        }
        for (agent, mut worker) in self.workers {
            if !lost.contains(&&*agent) {
                worker.report.confirmed_epoch = epoch;
                worker.report.owner_epoch = epoch;
                cell.workers.insert(agent, worker);
            }
        }
        cell.scheduler.try_end_recovery(cell.now);
        cell
    }

    pub(crate) fn load_placements(&mut self, id: JobId, agents: IndexSet<AgentId>) {
        if let Some(stored) = self.stored.get_mut(&id) {
            stored.placements.clone_from(&agents);
        }
        self.scheduler.load_placements(id, agents);
    }

    /// Stores the pending records of placements and returns how many jobs they are of.
    pub(crate) fn store_placements(&mut self) -> usize {
        let changes = self.scheduler.take_placements(usize::MAX);
        for change in &changes {
            if let Some(stored) = self.stored.get_mut(&change.job) {
                stored.placements.clone_from(&change.agents);
            }
        }
        let jobs: Vec<JobId> = changes.iter().map(|change| change.job).collect();
        self.scheduler.mark_placements_stored(&jobs, self.now);
        jobs.len()
    }

    /// Delivers a report of each agent.
    pub(crate) fn report_all(&mut self) {
        for agent in self.agents() {
            self.report(&agent);
        }
    }

    pub(crate) fn accept(&mut self, id: JobId, job: AcceptedJob) {
        let stored = StoredJob {
            job: job.clone(),
            progress: None,
            placements: IndexSet::new(),
        };
        self.stored.insert(id, stored);
        self.scheduler
            .accept(id, Arc::new(job), self.now, Duration::from_secs(1));
    }

    pub(crate) fn load(&mut self, id: JobId, job: AcceptedJob, progress: Option<Progress>) {
        let stored = StoredJob {
            job: job.clone(),
            progress: progress.clone(),
            placements: IndexSet::new(),
        };
        self.stored.insert(id, stored);
        let loaded = LoadedJob {
            id,
            spec: Arc::new(job),
            progress,
            cancelled: false,
        };
        self.scheduler
            .load(loaded, self.now, Duration::from_secs(1));
    }

    /// Delivers a report of an agent.
    pub(crate) fn report(&mut self, agent: &str) {
        self.now += ms(1);
        let worker = &mut self.workers[agent];
        worker.report.sent_at = self.now;
        worker.update_survived(self.now);
        self.scheduler.report(&worker.report, self.now);
    }

    /// Plans, and simulates that every worker starts the tasks that it is ordered to start.
    pub(crate) fn plan_and_start(&mut self) {
        self.scheduler.plan(self.now, Duration::from_secs(1));
        for agent in self.agents() {
            let instructions = self.instructions(&agent);
            let worker = &mut self.workers[&agent];
            for start in instructions.starts {
                worker.report.runs.push(running(start.run, 0));
            }
            let acknowledged = instructions.acknowledged;
            worker.report.ends.retain(|end| end.sequence > acknowledged);
            let stored = instructions.stored_crashes;
            let is_unstored = |crash: &WorkerCrash| !stored.contains(&crash.incarnation);
            worker.report.crashes.retain(is_unstored);
            self.report(&agent);
        }
    }

    /// Plans, and returns the first start order with the agent that received it.
    pub(crate) fn first_start(&mut self) -> (AgentId, TaskRun) {
        self.scheduler.plan(self.now, Duration::from_secs(1));
        let start = self.agents().into_iter().find_map(|agent| {
            let starts = self.instructions(&agent).starts;
            starts.first().map(|start| (agent, start.run))
        });
        start.expect("a task is started")
    }

    /// Returns the instructions for an agent once the records of placements are stored.
    pub(crate) fn instructions(&mut self, agent: &str) -> Instructions {
        self.store_placements();
        self.unrecorded_instructions(agent)
    }

    /// Returns the instructions for an agent while the pending records of placements are not stored.
    pub(crate) fn unrecorded_instructions(&mut self, agent: &str) -> Instructions {
        self.scheduler
            .instructions(&agent.into(), self.now, true, self.now)
    }

    /// Ends the run of a task on its worker and delivers the report.
    pub(crate) fn end_run(&mut self, task: TaskId, end: RunEnd) {
        let agent = self.agent_of(task).expect("the task runs");
        self.end_run_on(&agent, task, end);
    }

    /// Ends the run of a task on a worker and delivers the report.
    pub(crate) fn end_run_on(&mut self, agent: &str, task: TaskId, end: RunEnd) {
        let worker = &mut self.workers[agent];
        let index = worker
            .report
            .runs
            .iter()
            .position(|run| run.run.task == task)
            .expect("the task is listed");
        let run = worker.report.runs.remove(index).run;
        worker.report.ends.push(EndReport {
            sequence: worker.next_end_sequence,
            run,
            end,
            checkpoint: Box::default(),
        });
        worker.next_end_sequence += 1;
        self.report(agent);
    }

    /// Crashes a worker. Its agent finds nothing at its address and reports that.
    pub(crate) fn crash(&mut self, agent: &str) {
        self.workers[agent].crash();
        self.report(agent);
    }

    /// Starts a crashed worker again.
    pub(crate) fn restart(&mut self, agent: &str) {
        self.workers[agent].restart();
        self.report(agent);
    }

    /// Returns the agent of the worker that runs a task.
    pub(crate) fn agent_of(&self, task: TaskId) -> Option<AgentId> {
        let runs_task =
            |worker: &&TestWorker| worker.report.runs.iter().any(|run| run.run.task == task);
        self.workers
            .values()
            .find(runs_task)
            .map(|worker| worker.report.agent.clone())
    }

    pub(crate) fn run_number(&self, task: TaskId) -> Option<u64> {
        let mut runs = self.workers.values().flat_map(|worker| &worker.report.runs);
        runs.find(|run| run.run.task == task).map(|run| run.run.run)
    }

    /// Marks all pending changes as stored and returns them.
    pub(crate) fn store_changes(&mut self) -> Vec<(JobId, Content)> {
        let mut changes = self.scheduler.take_ended(100);
        changes.extend(self.scheduler.take_progress(100));
        for change in &changes {
            self.scheduler.mark_stored(change.job, change.version);
            match &change.content {
                Content::Progress(progress) => {
                    if let Some(stored) = self.stored.get_mut(&change.job) {
                        stored.progress = Some(progress.clone());
                    }
                }
                Content::Ended(_) => {
                    self.stored.swap_remove(&change.job);
                }
            }
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

impl TestWorker {
    pub(crate) fn crash(&mut self) {
        self.report.absent = true;
        let runs = std::mem::take(&mut self.report.runs);
        let crashed = |report: RunReport| CrashedRun {
            run: report.run,
            survived: survived(&report),
        };
        self.report.crashes.push(WorkerCrash {
            incarnation: self.report.incarnation.expect("the worker has reported"),
            runs: runs.into_iter().map(crashed).collect(),
        });
        self.report.ends.clear();
    }

    pub(crate) fn restart(&mut self) {
        self.report.absent = false;
        self.report.incarnation = self.report.incarnation.map(|last| last + 1);
        self.next_end_sequence = 1;
    }

    fn update_survived(&mut self, now: Duration) {
        for report in &mut self.report.runs {
            let started_at = *self.started_at.entry(report.run).or_insert(now);
            if let RunStatus::Running { survived, .. } = &mut report.status {
                *survived = now.saturating_sub(started_at);
            }
        }
    }
}

fn survived(report: &RunReport) -> Option<Duration> {
    match report.status {
        RunStatus::Running { survived, .. } => Some(survived),
        _ => None,
    }
}

pub(crate) fn running(run: TaskRun, percent: u32) -> RunReport {
    RunReport {
        run,
        status: RunStatus::Running {
            percent,
            checkpoint: Box::default(),
            survived: Duration::ZERO,
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
