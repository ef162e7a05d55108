//! Random courses of jobs with and without copies, against the rules TWICE and BUDGET.

mod common;

use std::time::Duration;

use common::{TestCell, job, ms, running, step, worker};
use fastrand::Rng;
use graph::CopyEvent;
use indexmap::IndexMap;
use model::{
    AgentId, JobEnd, JobId, JobState, Refusal, RunEnd, RunReport, RunStatus, Step, TaskId, TaskRun,
};

/// Number of courses; `COPIES_SEEDS` sets another one.
const SEEDS: u64 = 600;
const ROUNDS: u32 = 250;
/// Time after the acknowledgement of an end, or after its job was shown as completed, until which a copy may start.
const MAX_LATE_START: Duration = Duration::from_secs(1);
/// A job with an odd number allows copies.
const JOBS: JobId = 6;
const TASKS: u32 = 6;

/// Returns the attempts of the tasks of a job.
fn max_attempts(job: JobId) -> u32 {
    if job <= 2 { 2 } else { 3 }
}

fn is_speculative(job: JobId) -> bool {
    job % 2 == 1
}

/// What has happened to a task.
#[derive(Debug, Default)]
struct TaskHistory {
    failures: u32,
    is_done: bool,
    acknowledged_at: Option<Duration>,
}

/// A start order that an agent has not carried out, or a stop that its worker has not.
#[derive(Debug)]
struct PendingOrder {
    agent: AgentId,
    run: TaskRun,
    is_stop: bool,
    due: Duration,
}

struct Simulation {
    cell: TestCell,
    rng: Rng,
    epoch: u64,
    pending: Vec<PendingOrder>,
    /// When each run began, and how long it takes.
    works: IndexMap<TaskRun, (Duration, Duration)>,
    tasks: IndexMap<TaskId, TaskHistory>,
    copies: usize,
    /// Until when each agent has no contact with the owner.
    cut_until: IndexMap<AgentId, Duration>,
}

impl Simulation {
    fn new(seed: u64) -> Self {
        let mut rng = Rng::with_seed(seed);
        let names: Vec<String> = (0..8).map(|index| format!("w{index}")).collect();
        let workers = names.iter().map(|name| worker(name, "r1")).collect();
        let mut cell = TestCell::new(1, workers);
        for id in 1..=JOBS {
            let mut accepted = job(
                rng.u32(0..3),
                vec![Step {
                    speculative: is_speculative(id),
                    ..step(rng.u32(2..=TASKS))
                }],
            );
            accepted.policy.max_attempts = max_attempts(id);
            accepted.queue = "queue".into();
            cell.accept(id, accepted);
        }
        Self {
            cell,
            rng,
            epoch: 1,
            pending: Vec::new(),
            works: IndexMap::new(),
            tasks: IndexMap::new(),
            copies: 0,
            cut_until: IndexMap::new(),
        }
    }

    fn is_cut(&self, agent: &AgentId) -> bool {
        let until = self.cut_until.get(agent);
        until.is_some_and(|until| self.cell.now < *until)
    }

    fn chance(&mut self, one_in: u32) -> bool {
        self.rng.u32(0..one_in) == 0
    }

    fn run(&mut self) {
        for _ in 0..ROUNDS {
            self.cell.advance(ms(self.rng.u64(20..250)));
            self.carry_out_orders();
            self.progress();
            self.disturb();
            for agent in self.cell.agents() {
                // Reports are late at times.
                if !self.chance(4) && !self.is_cut(&agent) {
                    self.cell.report(&agent);
                }
            }
            self.cell.scheduler.plan(self.cell.now, ms(1_000));
            if !self.chance(3) {
                self.cell.store_changes();
            }
            self.send_orders();
            let events = self.cell.scheduler.take_copy_events();
            self.copies += events.get(&CopyEvent::Started).copied().unwrap_or(0);
            self.record_shown_ends();
        }
    }

    fn send_orders(&mut self) {
        for agent in self.cell.agents() {
            let is_absent = self.cell.workers[&agent].report.absent;
            if self.chance(4) || is_absent || self.is_cut(&agent) {
                continue;
            }
            let orders = self.cell.instructions(&agent);
            let now = self.cell.now;
            let report = &mut self.cell.workers[&agent].report;
            for end in &report.ends {
                if end.sequence <= orders.acknowledged && end.end == RunEnd::Done {
                    let task = self.tasks.entry(end.run.task).or_default();
                    task.acknowledged_at.get_or_insert(now);
                }
            }
            report.ends.retain(|end| end.sequence > orders.acknowledged);
            let stored = &orders.stored_crashes;
            report
                .crashes
                .retain(|crash| !stored.contains(&crash.incarnation));
            report.runs.retain(|run| {
                !matches!(
                    run.status,
                    RunStatus::Refused(_) | RunStatus::StoppedBeforeStart
                )
            });
            let starts = orders.starts.iter().map(|start| (start.run, false));
            for (run, is_stop) in starts.chain(orders.stops.iter().map(|run| (*run, true))) {
                let is_known = report.runs.iter().any(|known| known.run == run);
                if !is_stop && !is_known {
                    let status = RunStatus::Starting;
                    report.runs.push(RunReport { run, status });
                }
                let delay = if self.rng.u32(0..4) == 0 { 3_000 } else { 100 };
                self.pending.push(PendingOrder {
                    agent: agent.clone(),
                    run,
                    is_stop,
                    due: now + ms(self.rng.u64(0..delay)),
                });
            }
        }
    }

    fn carry_out_orders(&mut self) {
        let now = self.cell.now;
        let (due, pending) = std::mem::take(&mut self.pending)
            .into_iter()
            .partition(|order| order.due <= now);
        self.pending = pending;
        let due: Vec<PendingOrder> = due;
        for order in due {
            let runs = &self.cell.workers[&order.agent].report.runs;
            let status = runs.iter().find(|run| run.run == order.run);
            match status.map(|run| run.status.clone()) {
                Some(RunStatus::Starting) if order.is_stop => {
                    self.set_status(&order, RunStatus::StoppedBeforeStart);
                }
                None if order.is_stop => {
                    let status = RunStatus::StoppedBeforeStart;
                    let runs = &mut self.cell.workers[&order.agent].report.runs;
                    runs.push(RunReport {
                        run: order.run,
                        status,
                    });
                }
                Some(RunStatus::Running { .. }) if order.is_stop => {
                    self.end(&order.agent.clone(), order.run, RunEnd::Stopped);
                }
                Some(RunStatus::Starting) if self.chance(20) => {
                    self.set_status(&order, RunStatus::Refused(Refusal::NoRoom));
                }
                Some(RunStatus::Starting) => self.start(&order),
                _ => {}
            }
        }
    }

    fn set_status(&mut self, order: &PendingOrder, status: RunStatus) {
        let runs = &mut self.cell.workers[&order.agent].report.runs;
        let run = runs.iter_mut().find(|run| run.run == order.run);
        run.expect("the run is listed").status = status;
    }

    fn start(&mut self, order: &PendingOrder) {
        let (run, now) = (order.run, self.cell.now);
        self.check_start(run);
        let RunReport { status, .. } = running(run, 0);
        self.set_status(order, status);
        let factor = if self.chance(3) { 7 } else { 1 };
        self.works.insert(run, (now, ms(1_500) * factor));
    }

    /// Checks the rules for a start.
    fn check_start(&self, run: TaskRun) {
        let now = self.cell.now;
        let runs = self.cell.workers.values().flat_map(|w| &w.report.runs);
        let others = runs.filter(|other| {
            other.run.task == run.task
                && other.run != run
                && matches!(other.status, RunStatus::Running { .. })
        });
        let others = others.count();
        let speculative = is_speculative(run.task.job);
        assert!(
            others == 0 || speculative,
            "TWICE: {run:?} beside another run"
        );
        assert!(others < 2, "three runs: {run:?}");
        let Some(history) = self.tasks.get(&run.task) else {
            return;
        };
        assert!(
            history.failures < max_attempts(run.task.job),
            "BUDGET: {run:?}"
        );
        assert!(
            !history.is_done || speculative,
            "TWICE: {run:?} after its end"
        );
        let ended_at = history.acknowledged_at.unwrap_or(now);
        assert!(
            now <= ended_at + MAX_LATE_START,
            "TWICE: {run:?} long after its end"
        );
    }

    fn end(&mut self, agent: &AgentId, run: TaskRun, end: RunEnd) {
        let history = self.tasks.entry(run.task).or_default();
        match end {
            RunEnd::Done => history.is_done = true,
            RunEnd::Failed => history.failures += 1,
            _ => {}
        }
        self.cell.end_run_on(agent, run.task, end);
    }

    /// Lets runs make progress, complete and fail.
    fn progress(&mut self) {
        let now = self.cell.now;
        let mut ends = Vec::new();
        for (agent, worker) in &mut self.cell.workers {
            for report in &mut worker.report.runs {
                let RunStatus::Running { percent, .. } = &mut report.status else {
                    continue;
                };
                let (started_at, work) = self.works[&report.run];
                let share = now.saturating_sub(started_at).as_millis() * 100 / work.as_millis();
                *percent = u32::try_from(share.min(100)).unwrap_or(100);
                // A run may also complete sooner than its pace tells.
                if share >= 100 || self.rng.u32(0..40) == 0 {
                    ends.push((agent.clone(), report.run, RunEnd::Done));
                } else if self.rng.u32(0..100) == 0 {
                    ends.push((agent.clone(), report.run, RunEnd::Failed));
                }
            }
        }
        for (agent, run, end) in ends {
            self.end(&agent, run, end);
        }
    }

    /// Crashes, restarts and drains workers, cancels jobs and replaces the owner.
    fn disturb(&mut self) {
        let agents = self.cell.agents();
        let agent = agents[self.rng.usize(0..agents.len())].clone();
        if self.cell.workers[&agent].report.absent {
            if self.chance(4) {
                self.cell.workers[&agent].report.draining = None;
                self.cell.restart(&agent);
            }
        } else if self.cell.workers[&agent].report.ends.is_empty() && self.chance(30) {
            // Ends that are not stored would be lost with a worker and an owner that are lost at the same time.
            self.pending.retain(|order| order.agent != agent);
            let report = &mut self.cell.workers[&agent].report;
            report
                .runs
                .retain(|run| matches!(run.status, RunStatus::Running { .. }));
            self.cell.crash(&agent);
        } else if self.chance(40) {
            self.cell.workers[&agent].report.draining = Some(ms(3_000));
        }
        if self.chance(10) {
            // For less than a lease.
            let until = self.cell.now + ms(self.rng.u64(0..4_000));
            self.cut_until.insert(agent, until);
        }
        if self.chance(200) {
            self.cell.scheduler.cancel(JobId::from(self.rng.u32(1..=6)));
        }
        if self.chance(100) {
            self.take_over();
        }
    }

    /// Replaces the owner. The workers refuse the pending orders of the earlier one.
    fn take_over(&mut self) {
        self.epoch += 1;
        self.pending.clear();
        for worker in self.cell.workers.values_mut() {
            let runs = &mut worker.report.runs;
            runs.retain(|run| matches!(run.status, RunStatus::Running { .. }));
        }
        let empty = TestCell::new(1, Vec::new());
        let cell = std::mem::replace(&mut self.cell, empty);
        self.cell = cell.take_over(self.epoch, &[]);
    }

    fn record_shown_ends(&mut self) {
        for id in 1..=JOBS {
            if self.cell.state(id) != Some(JobState::Ended(JobEnd::Completed)) {
                continue;
            }
            for (task, history) in &mut self.tasks {
                if task.job == id {
                    history.acknowledged_at.get_or_insert(self.cell.now);
                }
            }
        }
    }
}

// Guards against two runs of a task without copies, more failed runs than attempts, and starts after a successful end.
#[test]
fn random_courses_keep_rules() {
    let mut copies = 0;
    let seeds = std::env::var("COPIES_SEEDS").ok();
    let seeds = seeds.and_then(|seeds| seeds.parse().ok()).unwrap_or(SEEDS);
    for seed in 0..seeds {
        let result = std::panic::catch_unwind(|| {
            let mut simulation = Simulation::new(seed);
            simulation.run();
            simulation.copies
        });
        copies += result.unwrap_or_else(|_| panic!("seed {seed}"));
    }
    println!("{copies} copies in {seeds} courses");
    assert!(copies > 100, "{copies} copies");
}
