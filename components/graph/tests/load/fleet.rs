//! A fleet of simulated workers in virtual time, driven by the scheduler that the owner runs.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use fastrand::Rng;
use graph::{Scheduler, SchedulerSettings};
use indexmap::{IndexMap, IndexSet};
use model::{
    AcceptedJob, AgentId, CrashedRun, EndReport, Instructions, JobEnd, JobId, JobState,
    ResourceVector, RunEnd, RunNumber, RunReport, RunStatus, TaskRun, WorkerCrash, WorkerReport,
};

use crate::report::{JobOutcome, LoadReport, equivalents};

/// Time from a decision of the owner to its effect on a worker, or from an end to its report.
const LATENCY: Duration = Duration::from_millis(15);
/// Time until the other members of a gang end after one of them did.
const BREAK_DELAY: Duration = Duration::from_millis(150);
/// Interval of the reports of a worker on which nothing changes.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Interval of the decisions that depend only on time.
const TICK_INTERVAL: Duration = Duration::from_millis(200);
/// Time after which a failing worker ends what it starts.
const FAILURE_DELAY: Duration = Duration::from_millis(50);
/// Time after which a deadly task crashes its worker.
const CRASH_DELAY: Duration = Duration::from_millis(10);
/// Time until an agent knows that its worker has crashed.
const CRASH_DETECTION: Duration = Duration::from_millis(320);
/// Time until a crashed worker is back.
const DOWNTIME: Duration = Duration::from_secs(3);

pub(crate) const SETTINGS: SchedulerSettings = SchedulerSettings {
    max_lease: Duration::from_secs(10),
    max_stop_time: Duration::from_millis(900),
    restore_time: Duration::from_millis(600),
    slowdown: 3.0,
    store_outage_grace: Duration::from_secs(9),
};

/// Capacity of a worker: 64 cores, 256 GB and eight accelerators.
pub(crate) const WORKER_CAPACITY: ResourceVector = ResourceVector {
    accelerators: 8,
    millicores: 64_000,
    memory_mb: 262_144,
};

/// Workers that share a rack.
const RACK_SIZE: usize = 8;

/// A job that arrives at a time, with the run time of each of its tasks on a sound worker.
#[derive(Debug, Clone)]
pub(crate) struct Arrival {
    pub(crate) at: Duration,
    pub(crate) class: &'static str,
    pub(crate) job: AcceptedJob,
    pub(crate) work: Duration,
    /// Whether its first task crashes each worker that starts it.
    pub(crate) deadly: bool,
}

/// A change of the fleet or of the load during a run.
#[derive(Debug, Clone)]
pub(crate) enum Change {
    /// Workers join the fleet.
    Join(usize),
    /// Workers fail all runs that they start from now on.
    Fail(Vec<AgentId>),
    /// Workers drain and leave after the given time.
    Drain(Vec<AgentId>, Duration),
    /// All jobs of a class are cancelled.
    Cancel(&'static str),
}

#[derive(Debug)]
enum Event {
    Arrive(usize),
    Change(usize),
    Deliver(AgentId, Instructions),
    End(AgentId, TaskRun, RunEnd),
    Leave(AgentId),
    Crash(AgentId),
    CrashDetected(AgentId, WorkerCrash),
    Restart(AgentId),
    Report(AgentId),
    Tick,
}

/// A run on a simulated worker.
#[derive(Debug)]
struct SimulatedRun {
    started_at: Duration,
    /// The time that its work takes where it runs.
    work: Duration,
    /// Whether it counts as at work: alone, or with all members of its gang present.
    working_since: Option<Duration>,
    stopping: bool,
}

#[derive(Debug)]
struct SimulatedWorker {
    report: WorkerReport,
    runs: IndexMap<TaskRun, SimulatedRun>,
    next_end_sequence: u64,
    fails: bool,
    joined_at: Duration,
    first_run_at: Option<Duration>,
    is_down: bool,
}

/// Members of a gang that are present on their workers.
type Gang = (JobId, u32, u32, RunNumber);

pub(crate) struct Fleet {
    scheduler: Scheduler,
    workers: IndexMap<AgentId, SimulatedWorker>,
    arrivals: Vec<Arrival>,
    changes: Vec<Change>,
    gangs: IndexMap<Gang, Vec<(AgentId, TaskRun)>>,
    events: BinaryHeap<Reverse<(Duration, u64)>>,
    payloads: IndexMap<u64, Event>,
    next_event: u64,
    now: Duration,
    rng: Rng,
    outcomes: IndexMap<JobId, JobOutcome>,
    report: LoadReport,
}

impl Fleet {
    /// Creates a fleet of idle workers under one owner.
    pub(crate) fn new(workers: usize, seed: u64) -> Self {
        let mut scheduler = Scheduler::new(SETTINGS, 1, IndexSet::new(), Duration::ZERO);
        scheduler.try_end_recovery(Duration::ZERO);
        let mut fleet = Self {
            scheduler,
            workers: IndexMap::new(),
            arrivals: Vec::new(),
            changes: Vec::new(),
            gangs: IndexMap::new(),
            events: BinaryHeap::new(),
            payloads: IndexMap::new(),
            next_event: 0,
            now: Duration::ZERO,
            rng: Rng::with_seed(seed),
            outcomes: IndexMap::new(),
            report: LoadReport::default(),
        };
        fleet.join(workers);
        fleet.push(Duration::ZERO, Event::Tick);
        fleet
    }

    pub(crate) fn scheduler(&mut self) -> &mut Scheduler {
        &mut self.scheduler
    }

    pub(crate) fn arrive(&mut self, arrivals: Vec<Arrival>) {
        for arrival in arrivals {
            self.push(arrival.at, Event::Arrive(self.arrivals.len()));
            self.arrivals.push(arrival);
        }
    }

    pub(crate) fn change(&mut self, at: Duration, change: Change) {
        self.push(at, Event::Change(self.changes.len()));
        self.changes.push(change);
    }

    /// Runs until the given time and returns what was measured.
    pub(crate) fn run(mut self, until: Duration) -> LoadReport {
        while let Some(Reverse((at, id))) = self.events.pop() {
            if at > until {
                break;
            }
            self.now = at;
            if let Some(event) = self.payloads.swap_remove(&id) {
                self.handle(event);
            }
            let next_at = self.events.peek().map(|Reverse((at, _))| *at);
            if next_at != Some(at) {
                self.decide();
            }
        }
        self.finish()
    }

    fn push(&mut self, at: Duration, event: Event) {
        self.next_event += 1;
        self.payloads.insert(self.next_event, event);
        self.events.push(Reverse((at, self.next_event)));
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(index) => self.accept(index),
            Event::Change(index) => self.apply_change(index),
            Event::Deliver(agent, instructions) => self.deliver(&agent, &instructions),
            Event::End(agent, run, end) => self.end(&agent, run, end),
            Event::Leave(agent) => self.leave(&agent),
            Event::Crash(agent) => self.crash(&agent),
            Event::CrashDetected(agent, crash) => {
                let report = &mut self.workers[&agent].report;
                report.absent = true;
                report.crashes.push(crash);
                self.send_report(&agent);
            }
            Event::Restart(agent) => self.restart(&agent),
            Event::Report(agent) => {
                self.send_report(&agent);
                if self.workers.contains_key(&agent) {
                    // The reply renews the lease of the worker.
                    let orders = self
                        .scheduler
                        .instructions(&agent, self.now, true, self.now);
                    self.push(self.now + LATENCY, Event::Deliver(agent.clone(), orders));
                    self.push(self.now + REPORT_INTERVAL, Event::Report(agent));
                }
            }
            Event::Tick => {
                self.sample_idle_accelerators();
                self.push(self.now + TICK_INTERVAL, Event::Tick);
            }
        }
    }

    fn accept(&mut self, index: usize) {
        let arrival = self.arrivals[index].clone();
        let id = index as JobId + 1;
        let outcome = JobOutcome::new(&arrival, self.now);
        self.outcomes.insert(id, outcome);
        let mut job = arrival.job;
        job.accepted_at = self.now;
        self.scheduler.accept(id, Arc::new(job), self.now, self.now);
    }

    fn apply_change(&mut self, index: usize) {
        match self.changes[index].clone() {
            Change::Join(count) => self.join(count),
            Change::Fail(agents) => {
                for agent in agents {
                    self.workers[&agent].fails = true;
                }
            }
            Change::Drain(agents, remaining) => {
                for agent in agents {
                    self.workers[&agent].report.draining = Some(remaining);
                    self.send_report(&agent);
                    self.push(self.now + remaining, Event::Leave(agent));
                }
            }
            Change::Cancel(class) => {
                let cancelled: Vec<JobId> = self
                    .outcomes
                    .iter()
                    .filter(|(_, outcome)| outcome.class == class)
                    .map(|(id, _)| *id)
                    .collect();
                for id in cancelled {
                    self.scheduler.cancel(id);
                    self.outcomes.shift_remove(&id);
                }
            }
        }
    }

    fn join(&mut self, count: usize) {
        for _ in 0..count {
            let index = self.workers.len();
            let agent: AgentId = format!("agent-{index}").into();
            let report = WorkerReport {
                agent: agent.clone(),
                name: format!("worker-{index}").into(),
                service: "optics".into(),
                incarnation: Some(1),
                capacity: WORKER_CAPACITY,
                labels: vec!["a".into(), format!("rack-{}", index / RACK_SIZE).into()],
                draining: None,
                absent: false,
                confirmed_epoch: 1,
                owner_epoch: 1,
                complete: false,
                lists_complete: true,
                runs: Vec::new(),
                ends: Vec::new(),
                crashes: Vec::new(),
                sent_at: Duration::ZERO,
            };
            let worker = SimulatedWorker {
                report,
                runs: IndexMap::new(),
                next_end_sequence: 1,
                fails: false,
                joined_at: self.now,
                first_run_at: None,
                is_down: false,
            };
            self.workers.insert(agent.clone(), worker);
            // Reports of a fleet are spread over the interval.
            let offset = REPORT_INTERVAL.mul_f64(self.rng.f64());
            self.send_report(&agent);
            self.push(self.now + offset, Event::Report(agent));
        }
    }

    fn deliver(&mut self, agent: &AgentId, instructions: &Instructions) {
        let Some(worker) = self.workers.get_mut(agent) else {
            return;
        };
        let acknowledged = instructions.acknowledged;
        worker.report.ends.retain(|end| end.sequence > acknowledged);
        let stored = &instructions.stored_crashes;
        let is_unstored = |crash: &WorkerCrash| !stored.contains(&crash.incarnation);
        worker.report.crashes.retain(is_unstored);
        if worker.is_down {
            return;
        }
        for start in &instructions.starts {
            self.start(agent, start.run);
        }
        for run in &instructions.stops {
            self.stop(agent, *run);
        }
        self.send_report(agent);
    }

    fn start(&mut self, agent: &AgentId, run: TaskRun) {
        let now = self.now;
        let worker = &mut self.workers[agent];
        if worker.runs.contains_key(&run) {
            return;
        }
        worker.first_run_at.get_or_insert(now);
        let fails = worker.fails;
        let arrival = &self.arrivals[(run.task.job - 1) as usize];
        let step = &arrival.job.graph.steps[run.task.step as usize];
        let (work, tasks, is_gang) = (arrival.work, step.tasks, step.gang);
        worker.runs.insert(
            run,
            SimulatedRun {
                started_at: now,
                work,
                working_since: None,
                stopping: false,
            },
        );
        if arrival.deadly && run.task.index == 0 {
            let starts = self.report.deadly_starts.entry(run.task.job);
            *starts.or_default() += 1;
            self.push(now + CRASH_DELAY, Event::Crash(agent.clone()));
        }
        if fails {
            self.push(
                now + FAILURE_DELAY,
                Event::End(agent.clone(), run, RunEnd::Failed),
            );
        }
        let gang = gang_of(run, is_gang);
        let members = self.gangs.entry(gang).or_default();
        members.push((agent.clone(), run));
        if is_gang && members.len() < tasks as usize {
            return;
        }
        let members = members.clone();
        let work = if self.is_slowed_down(run, &members) {
            work.mul_f64(SETTINGS.slowdown)
        } else {
            work
        };
        for (agent, run) in members {
            if let Some(running) = self
                .workers
                .get_mut(&agent)
                .and_then(|w| w.runs.get_mut(&run))
            {
                running.working_since = Some(now);
                running.work = work;
            }
            self.push(now + work, Event::End(agent, run, RunEnd::Done));
        }
    }

    /// Returns whether a rack-sensitive gang runs across racks.
    fn is_slowed_down(&self, run: TaskRun, members: &[(AgentId, TaskRun)]) -> bool {
        let arrival = &self.arrivals[(run.task.job - 1) as usize];
        let step = &arrival.job.graph.steps[run.task.step as usize];
        let rack = |agent: &AgentId| self.workers.get(agent).map(|w| w.report.labels[1].clone());
        let racks: IndexSet<_> = members.iter().map(|(agent, _)| rack(agent)).collect();
        step.gang && step.rack_sensitive && racks.len() > 1
    }

    fn stop(&mut self, agent: &AgentId, run: TaskRun) {
        let time = SETTINGS.max_stop_time.mul_f64(0.35 + 0.65 * self.rng.f64());
        let running = self.workers[agent].runs.get_mut(&run);
        let Some(running) = running.filter(|running| !running.stopping) else {
            return;
        };
        running.stopping = true;
        self.push(
            self.now + time,
            Event::End(agent.clone(), run, RunEnd::Stopped),
        );
    }

    fn end(&mut self, agent: &AgentId, run: TaskRun, end: RunEnd) {
        let Some(worker) = self.workers.get_mut(agent) else {
            return;
        };
        let Some(running) = worker.runs.get(&run) else {
            return;
        };
        if end == RunEnd::Done && (running.stopping || running.working_since.is_none()) {
            return;
        }
        let running = worker.runs.shift_remove(&run);
        worker.report.ends.push(EndReport {
            sequence: worker.next_end_sequence,
            run,
            end,
            checkpoint: Box::default(),
        });
        worker.next_end_sequence += 1;
        let arrival = &self.arrivals[(run.task.job - 1) as usize];
        let step = &arrival.job.graph.steps[run.task.step as usize];
        if let Some(running) = running.filter(|_| end != RunEnd::Done) {
            let wasted = self.now.saturating_sub(running.started_at);
            self.report.thrown_away += wasted.as_secs_f64() * equivalents(step.resources);
        }
        if end == RunEnd::Done {
            self.gangs.swap_remove(&gang_of(run, step.gang));
        } else {
            self.break_gang(run);
        }
        let at = self.now + LATENCY;
        self.push(at, Event::Deliver(agent.clone(), no_orders()));
    }

    /// Takes a worker down, with everything that runs on it.
    fn crash(&mut self, agent: &AgentId) {
        let now = self.now;
        let worker = &mut self.workers[agent];
        if std::mem::replace(&mut worker.is_down, true) {
            return;
        }
        let runs = std::mem::take(&mut worker.runs);
        worker.report.ends.clear();
        let crashed = runs.iter().map(|(run, running)| CrashedRun {
            run: *run,
            survived: Some(now.saturating_sub(running.started_at)),
        });
        let crash = WorkerCrash {
            incarnation: worker.report.incarnation.unwrap_or_default(),
            runs: crashed.collect(),
        };
        for run in runs.keys() {
            self.break_gang(*run);
        }
        let detected = Event::CrashDetected(agent.clone(), crash);
        self.push(now + CRASH_DETECTION, detected);
        self.push(now + DOWNTIME, Event::Restart(agent.clone()));
    }

    /// Ends the other members of the gang of a run that has ended.
    fn break_gang(&mut self, run: TaskRun) {
        let arrival = &self.arrivals[(run.task.job - 1) as usize];
        let step = &arrival.job.graph.steps[run.task.step as usize];
        let gang = gang_of(run, step.gang);
        for (agent, member) in self.gangs.swap_remove(&gang).unwrap_or_default() {
            if member != run {
                let at = self.now + BREAK_DELAY;
                self.push(at, Event::End(agent, member, RunEnd::Broken));
            }
        }
    }

    fn restart(&mut self, agent: &AgentId) {
        let worker = &mut self.workers[agent];
        worker.is_down = false;
        worker.next_end_sequence = 1;
        worker.report.absent = false;
        worker.report.incarnation = worker.report.incarnation.map(|last| last + 1);
        self.send_report(agent);
    }

    fn leave(&mut self, agent: &AgentId) {
        if let Some(worker) = self.workers.get_mut(agent) {
            worker.runs.clear();
            worker.report.absent = true;
        }
        self.send_report(agent);
        self.workers.shift_remove(agent);
    }

    fn send_report(&mut self, agent: &AgentId) {
        let now = self.now;
        let Some(worker) = self.workers.get_mut(agent) else {
            return;
        };
        worker.report.runs = worker
            .runs
            .iter()
            .map(|(run, running)| {
                let elapsed = running.working_since.map(|since| now.saturating_sub(since));
                let share = elapsed.unwrap_or_default().div_duration_f64(running.work);
                RunReport {
                    run: *run,
                    status: RunStatus::Running {
                        percent: (share * 100.0).clamp(0.0, 99.0) as u32,
                        checkpoint: Box::default(),
                        survived: elapsed.unwrap_or_default(),
                    },
                }
            })
            .collect();
        worker.report.sent_at = now;
        self.scheduler.report(&worker.report, now);
    }

    /// Plans and sends orders, as the owner does after each event.
    fn decide(&mut self) {
        let started = Instant::now();
        self.scheduler.expire_leases(self.now);
        self.scheduler.plan(self.now, self.now);
        let placements = self.scheduler.take_placements(usize::MAX);
        let placements: Vec<JobId> = placements.iter().map(|change| change.job).collect();
        self.scheduler.mark_placements_stored(&placements, self.now);
        let agents: Vec<AgentId> = self.workers.keys().cloned().collect();
        for agent in agents {
            if !self.scheduler.has_orders(&agent, self.now) {
                continue;
            }
            let instructions = self
                .scheduler
                .instructions(&agent, self.now, true, self.now);
            self.push(self.now + LATENCY, Event::Deliver(agent, instructions));
        }
        let mut changes = self.scheduler.take_ended(usize::MAX);
        changes.extend(self.scheduler.take_progress(usize::MAX));
        for change in &changes {
            self.scheduler.mark_stored(change.job, change.version);
        }
        self.report.decision_time += started.elapsed();
        self.report.decisions += 1;
        self.record_states();
        self.scheduler.compact_ended_jobs();
    }

    fn record_states(&mut self) {
        for (id, outcome) in &mut self.outcomes {
            if outcome.ended.is_some() {
                continue;
            }
            match self.scheduler.state(*id) {
                Some(JobState::Running) => {
                    outcome.started_at.get_or_insert(self.now);
                }
                Some(JobState::Ended(end)) => {
                    outcome.started_at.get_or_insert(self.now);
                    outcome.ended = Some((self.now, end == JobEnd::Completed));
                }
                _ => {}
            }
        }
    }

    fn sample_idle_accelerators(&mut self) {
        let waits = self
            .outcomes
            .values()
            .any(|outcome| outcome.started_at.is_none());
        if !waits {
            return;
        }
        let (mut used, mut total) = (0, 0);
        for worker in self.workers.values() {
            total += worker.report.capacity.accelerators;
            used += worker
                .runs
                .keys()
                .map(|run| {
                    let arrival = &self.arrivals[(run.task.job - 1) as usize];
                    let step = &arrival.job.graph.steps[run.task.step as usize];
                    step.resources.accelerators
                })
                .sum::<u32>();
        }
        let idle = f64::from(total.saturating_sub(used)) / f64::from(total.max(1));
        self.report.idle_while_waiting.push(idle);
    }

    fn finish(mut self) -> LoadReport {
        self.report.first_runs = self
            .workers
            .values()
            .map(|worker| {
                let waited = worker
                    .first_run_at
                    .map(|at| at.saturating_sub(worker.joined_at));
                (worker.joined_at, waited)
            })
            .collect();
        self.report.jobs = self.outcomes.into_values().collect();
        self.report
    }
}

fn gang_of(run: TaskRun, is_gang: bool) -> Gang {
    let task = run.task;
    // A task outside of a gang is a gang of its own.
    let member = if is_gang { u32::MAX } else { task.index };
    (task.job, task.step, member, run.run)
}

/// Instructions that only make the agent report.
fn no_orders() -> Instructions {
    Instructions {
        epoch: 1,
        report_sent_at: Duration::ZERO,
        incarnation: Some(1),
        acknowledged: 0,
        bodies: Vec::new(),
        starts: Vec::new(),
        stops: Vec::new(),
        stored_crashes: Vec::new(),
    }
}
