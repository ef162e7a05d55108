//! A machine: a worker with leases, and the agent beside it.

use std::time::Duration;

use graph::lapse_after;
use indexmap::IndexMap;
use model::{
    AgentId, EndReport, Epoch, Instructions, Refusal, ResourceVector, RunEnd, RunNumber, RunReport,
    RunStatus, StartOrder, TaskId, TaskRun, WorkerReport,
};

use crate::settings;

/// Resources of one task.
pub(crate) const TASK_RESOURCES: ResourceVector = ResourceVector {
    accelerators: 1,
    millicores: 1_000,
    memory_mb: 1_000,
};
/// Number of tasks that fit on a worker.
pub(crate) const SLOTS: usize = 6;
/// Resources of a worker.
const CAPACITY: ResourceVector = ResourceVector {
    accelerators: 6,
    millicores: 6_000,
    memory_mb: 6_000,
};
/// How long the outcome of an order is reported.
const OUTCOME_RETENTION: Duration = Duration::from_secs(5);

/// A run on a worker.
#[derive(Debug, Clone)]
pub(crate) struct Run {
    pub(crate) started_at: Duration,
    /// When its work is done; `None` while members of its gang are missing.
    pub(crate) done_at: Option<Duration>,
    /// When it ends because it was told to stop.
    pub(crate) stop_due: Option<Duration>,
}

/// A process of a worker.
#[derive(Debug)]
pub(crate) struct Worker {
    pub(crate) incarnation: u64,
    /// Highest epoch that it has seen.
    fence: Epoch,
    pub(crate) lease_until: Duration,
    pub(crate) runs: IndexMap<TaskRun, Run>,
    ends: Vec<EndReport>,
    next_end_sequence: u64,
    /// The highest run of each task that was stopped or has ended.
    latest: IndexMap<TaskId, RunNumber>,
}

/// A process of an agent.
#[derive(Debug)]
pub(crate) struct Agent {
    /// Tells processes of the agent apart.
    pub(crate) process: u64,
    started_at: Duration,
    /// Highest epoch of an owner.
    pub(crate) epoch: Epoch,
    confirmed_epoch: Epoch,
    renewable_until: Duration,
    /// The owner to which it reports.
    pub(crate) follows: Option<Epoch>,
    /// When the report that is not answered was sent.
    pub(crate) reported_at: Option<Duration>,
    pub(crate) report_due: bool,
    /// Starts that were refused or stopped, and when.
    refused: Vec<(RunReport, Duration)>,
    /// It takes no step before this time.
    pub(crate) paused_until: Duration,
}

/// A machine with a worker and its agent, either of which may be gone.
#[derive(Debug)]
pub(crate) struct Machine {
    pub(crate) agent_id: AgentId,
    rack: Box<str>,
    pub(crate) worker: Option<Worker>,
    pub(crate) agent: Option<Agent>,
    last_incarnation: u64,
    last_process: u64,
    /// Whether it is on the side of a network partition that cannot reach the store and new owners.
    pub(crate) is_cut: bool,
    /// When it learns of the latest owner.
    pub(crate) learns_at: Duration,
}

impl Worker {
    fn new(incarnation: u64) -> Self {
        Self {
            incarnation,
            fence: 0,
            lease_until: Duration::ZERO,
            runs: IndexMap::new(),
            ends: Vec::new(),
            next_end_sequence: 1,
            latest: IndexMap::new(),
        }
    }

    pub(crate) fn end(&mut self, run: TaskRun, end: RunEnd) {
        if self.runs.shift_remove(&run).is_none() {
            return;
        }
        self.retire(run);
        self.ends.push(EndReport {
            sequence: self.next_end_sequence,
            run,
            end,
            checkpoint: Box::default(),
        });
        self.next_end_sequence += 1;
    }

    fn retire(&mut self, run: TaskRun) {
        let latest = self.latest.entry(run.task).or_default();
        *latest = run.run.max(*latest);
    }

    fn start(&mut self, run: TaskRun, epoch: Epoch, now: Duration) -> Result<(), Refusal> {
        if epoch < self.fence {
            return Err(Refusal::Fenced);
        }
        if self
            .latest
            .get(&run.task)
            .is_some_and(|latest| *latest >= run.run)
        {
            return Err(Refusal::Outdated);
        }
        if self.runs.len() >= SLOTS {
            return Err(Refusal::NoRoom);
        }
        self.runs.entry(run).or_insert(Run {
            started_at: now,
            done_at: None,
            stop_due: None,
        });
        Ok(())
    }

    /// Ends what is due by itself; returns whether something has ended.
    fn run_until(&mut self, now: Duration) -> bool {
        let has_lapsed = now > self.lease_until;
        let due = self.runs.iter().filter_map(|(run, state)| {
            let is_due = |at: Option<Duration>| at.is_some_and(|at| now >= at);
            if has_lapsed {
                Some((*run, RunEnd::Lapsed))
            } else if is_due(state.stop_due) {
                Some((*run, RunEnd::Stopped))
            } else {
                is_due(state.done_at).then_some((*run, RunEnd::Done))
            }
        });
        let due: Vec<(TaskRun, RunEnd)> = due.collect();
        for (run, end) in &due {
            self.end(*run, *end);
        }
        !due.is_empty()
    }
}

impl Machine {
    pub(crate) fn new(agent_id: AgentId, rack: Box<str>) -> Self {
        let mut machine = Self {
            agent_id,
            rack,
            worker: None,
            agent: None,
            last_incarnation: 0,
            last_process: 0,
            is_cut: false,
            learns_at: Duration::ZERO,
        };
        machine.boot(Duration::ZERO);
        machine
    }

    /// Starts worker and agent again.
    pub(crate) fn boot(&mut self, now: Duration) {
        self.last_incarnation += 1;
        self.worker = Some(Worker::new(self.last_incarnation));
        self.start_agent(now);
    }

    pub(crate) fn start_agent(&mut self, now: Duration) {
        self.last_process += 1;
        self.agent = Some(Agent {
            process: self.last_process,
            started_at: now,
            epoch: 0,
            confirmed_epoch: 0,
            renewable_until: Duration::ZERO,
            follows: None,
            reported_at: None,
            report_due: true,
            refused: Vec::new(),
            paused_until: Duration::ZERO,
        });
    }

    /// Loses the machine with all that runs on it.
    pub(crate) fn lose(&mut self) {
        self.worker = None;
        self.agent = None;
    }

    /// Returns the agent if it takes steps.
    pub(crate) fn active_agent(&mut self, now: Duration) -> Option<&mut Agent> {
        self.agent
            .as_mut()
            .filter(|agent| now >= agent.paused_until)
    }

    /// Lets the worker go on and the agent poll it.
    pub(crate) fn step(&mut self, now: Duration) {
        let Some(worker) = &mut self.worker else {
            return;
        };
        let has_ended = worker.run_until(now);
        let agent = self.agent.as_mut();
        let Some(agent) = agent.filter(|agent| now >= agent.paused_until) else {
            return;
        };
        agent.report_due |= has_ended;
        agent
            .refused
            .retain(|(_, at)| now < *at + OUTCOME_RETENTION);
        if agent.epoch < worker.fence {
            return;
        }
        worker.fence = agent.epoch;
        if agent.confirmed_epoch < agent.epoch {
            agent.confirmed_epoch = agent.epoch;
            agent.report_due = true;
        }
        if agent.renewable_until > now {
            worker.lease_until = worker.lease_until.max(agent.renewable_until);
        }
    }

    /// Applies instructions that reach the agent; returns the starts that its worker carried out.
    pub(crate) fn apply(
        &mut self,
        instructions: Instructions,
        stop_time: Duration,
        now: Duration,
    ) -> Vec<TaskRun> {
        let (Some(agent), Some(worker)) = (&mut self.agent, &mut self.worker) else {
            return Vec::new();
        };
        if instructions.epoch < agent.epoch {
            return Vec::new();
        }
        agent.epoch = instructions.epoch;
        agent.report_due = true;
        let renewable_until = instructions.report_sent_at + settings().max_lease;
        agent.renewable_until = agent.renewable_until.max(renewable_until);
        if instructions.incarnation != Some(worker.incarnation) {
            return Vec::new();
        }
        let acknowledged = instructions.acknowledged;
        worker.ends.retain(|end| end.sequence > acknowledged);
        let mut started = Vec::new();
        if agent.renewable_until > now {
            for StartOrder { run, .. } in instructions.starts {
                if worker.runs.contains_key(&run) {
                    continue;
                }
                match worker.start(run, agent.epoch, now) {
                    Ok(()) => {
                        worker.lease_until = worker.lease_until.max(agent.renewable_until);
                        started.push(run);
                    }
                    Err(refusal) => {
                        let status = RunStatus::Refused(refusal);
                        agent.refused.push((RunReport { run, status }, now));
                    }
                }
            }
        }
        for run in instructions.stops {
            if let Some(running) = worker.runs.get_mut(&run) {
                running.stop_due.get_or_insert(now + stop_time);
                continue;
            }
            worker.retire(run);
            let status = RunStatus::StoppedBeforeStart;
            if !worker.ends.iter().any(|end| end.run == run) {
                agent.refused.push((RunReport { run, status }, now));
            }
        }
        started
    }

    /// Builds the report of the agent.
    pub(crate) fn report(&self, now: Duration) -> Option<WorkerReport> {
        let (agent, worker) = (self.agent.as_ref()?, self.worker.as_ref()?);
        let running = worker.runs.iter().map(|(run, state)| RunReport {
            run: *run,
            status: RunStatus::Running {
                percent: 1,
                checkpoint: Box::default(),
                survived: now.saturating_sub(state.started_at),
            },
        });
        let refused = agent.refused.iter().map(|(report, _)| report.clone());
        Some(WorkerReport {
            agent: self.agent_id.clone(),
            name: format!("worker-{}", self.agent_id).into(),
            service: "optics".into(),
            incarnation: Some(worker.incarnation),
            capacity: CAPACITY,
            labels: vec!["a".into(), self.rack.clone()],
            draining: None,
            absent: false,
            confirmed_epoch: agent.confirmed_epoch,
            owner_epoch: agent.epoch,
            complete: now >= agent.started_at + lapse_after(settings().max_lease),
            lists_complete: true,
            runs: running.chain(refused).collect(),
            ends: worker.ends.clone(),
            crashes: Vec::new(),
            sent_at: now,
            data_centre: Box::default(),
            cold_remaining: Duration::ZERO,
        })
    }
}
