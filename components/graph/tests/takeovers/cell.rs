//! A cell in virtual time: machines, owners that replace each other, a store, and the checks.

use std::sync::Arc;
use std::time::Duration;

use fastrand::Rng;
use graph::lapse_after;
use indexmap::{IndexMap, IndexSet};
use model::{
    AcceptedJob, AgentId, Epoch, Instructions, JobId, RunEnd, TaskId, TaskRun, WorkerReport,
};

use crate::machine::{Machine, Run, SLOTS};
use crate::owner::{Owner, Recording};
use crate::settings;
use crate::store::{Store, StoredJob};

/// Time between two steps of the simulation.
const TICK: Duration = Duration::from_millis(20);
/// Lease of the owner in the store.
const OWNER_LEASE: Duration = Duration::from_secs(2);
/// An owner orders no starts this long before its lease can lapse.
const SAFETY_MARGIN: Duration = Duration::from_millis(200);
const RENEWAL_INTERVAL: Duration = Duration::from_millis(500);
/// An agent looks for the owner if a report is not answered in this time.
const REPORT_TIMEOUT: Duration = Duration::from_millis(1_600);
/// How long the first member of a gang waits for the others.
const GANG_WAIT: Duration = Duration::from_secs(3);

#[derive(Debug)]
enum Message {
    Report(Epoch, WorkerReport),
    /// Instructions for a process of an agent.
    Instructions(AgentId, u64, Order),
}

/// Instructions, and when they were sent.
#[derive(Debug)]
struct Order {
    sent_at: Duration,
    instructions: Instructions,
}

/// A simulated cell.
pub(crate) struct Cell {
    pub(crate) now: Duration,
    pub(crate) rng: Rng,
    pub(crate) store: Store,
    pub(crate) owners: Vec<Owner>,
    pub(crate) machines: IndexMap<AgentId, Machine>,
    /// Run times of the tasks of each job.
    work: IndexMap<JobId, Duration>,
    messages: Vec<(Duration, Message)>,
    /// When the lease of the owner in the store lapses.
    owner_lapses_at: Duration,
    /// When an entry takes the cell over.
    takes_over_at: Option<Duration>,
    /// Members of each gang that have started.
    gangs: IndexMap<(JobId, u32, u64), IndexMap<TaskRun, AgentId>>,
    /// Owners of versions that keep no records of placements.
    pub(crate) unrecording: IndexSet<Epoch>,
    /// Mean number of ticks until the entries of earlier owners are restarted and answer.
    pub(crate) entry_restart_ticks: u32,
}

impl Cell {
    /// Creates a cell of idle machines without an owner, in which all owners record placements.
    pub(crate) fn new(machines: usize, rng: Rng) -> Self {
        let machines = (0..machines).map(|index| {
            let agent: AgentId = format!("a{index}").into();
            let rack = format!("r{}", index % 2).into();
            (agent.clone(), Machine::new(agent, rack))
        });
        Self {
            now: Duration::ZERO,
            rng,
            store: Store::default(),
            owners: Vec::new(),
            machines: machines.collect(),
            work: IndexMap::new(),
            messages: Vec::new(),
            owner_lapses_at: Duration::ZERO,
            takes_over_at: None,
            gangs: IndexMap::new(),
            unrecording: IndexSet::new(),
            entry_restart_ticks: 500,
        }
    }

    /// Stores a job whose tasks take some time.
    pub(crate) fn submit(&mut self, id: JobId, spec: AcceptedJob, work: Duration) {
        let spec = Arc::new(AcceptedJob {
            accepted_at: self.now,
            ..spec
        });
        let job = StoredJob {
            spec,
            progress: None,
            end: None,
        };
        self.store.jobs.insert(id, job);
        self.work.insert(id, work);
    }

    /// Ends the process of the owner.
    pub(crate) fn kill_owner(&mut self) {
        if let Some(owner) = self.owners.last_mut() {
            owner.is_acting = false;
        }
    }

    /// Moves the owner and some machines to the side of a partition that cannot reach the store and new owners.
    pub(crate) fn cut(&mut self, agents: &[AgentId]) {
        if let Some(owner) = self.owners.last_mut() {
            owner.is_cut = true;
        }
        for agent in agents {
            self.machines[agent].is_cut = true;
        }
    }

    /// Ends the partition.
    pub(crate) fn heal(&mut self) {
        let now = self.now;
        for owner in &mut self.owners {
            owner.is_cut = false;
        }
        for machine in self.machines.values_mut().filter(|machine| machine.is_cut) {
            machine.is_cut = false;
            machine.learns_at = now + Duration::from_millis(self.rng.u64(50..400));
        }
    }

    pub(crate) fn run_for(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.step();
        }
    }

    /// Advances by one tick.
    pub(crate) fn step(&mut self) {
        self.now += TICK;
        self.step_ownership();
        for machine in self.machines.values_mut() {
            machine.step(self.now);
        }
        self.step_gangs();
        self.deliver();
        for index in 0..self.owners.len() {
            if !self.owners[index].is_acting {
                continue;
            }
            let owner = &mut self.owners[index];
            let replies = owner.step(&mut self.store, &mut self.rng, self.now);
            self.send_replies(index, replies);
        }
        self.send_reports();
        self.check_runs();
    }

    fn step_ownership(&mut self) {
        let now = self.now;
        for owner in self.owners.iter_mut().filter(|owner| owner.is_acting) {
            let is_replaced = owner.epoch < self.store.epoch;
            if owner.is_cut || now < owner.renews_at {
                // Without an answer of the store, an owner goes on for a while.
                owner.is_acting = now <= owner.valid_until + settings().store_outage_grace;
            } else if is_replaced {
                owner.is_acting = false;
            } else {
                owner.renews_at = now + RENEWAL_INTERVAL;
                owner.valid_until = now + OWNER_LEASE.saturating_sub(SAFETY_MARGIN);
                self.owner_lapses_at = now + OWNER_LEASE;
            }
        }
        let delay = Duration::from_millis(self.rng.u64(50..150));
        if now >= self.owner_lapses_at {
            let at = *self.takes_over_at.get_or_insert(now + delay);
            if now >= at {
                self.take_over();
            }
        }
        self.confirm_previous_ended();
    }

    fn take_over(&mut self) {
        let now = self.now;
        self.takes_over_at = None;
        self.store.epoch += 1;
        let mut owner = Owner::load(&self.store, self.store.epoch, now);
        if self.unrecording.contains(&self.store.epoch) {
            owner.recording = Recording::Never;
            self.store.lacks_records = true;
        }
        owner.valid_until = now + OWNER_LEASE.saturating_sub(SAFETY_MARGIN);
        owner.renews_at = now + RENEWAL_INTERVAL;
        self.owner_lapses_at = now + OWNER_LEASE;
        self.owners.push(owner);
        for machine in self.machines.values_mut() {
            machine.learns_at = now + Duration::from_millis(self.rng.u64(50..400));
        }
    }

    /// Tells the latest owner that the earlier ones have ended: after the time that they may take, or when their entries,
    /// which may have been restarted, answer.
    fn confirm_previous_ended(&mut self) {
        let Some((latest, earlier)) = self.owners.split_last_mut() else {
            return;
        };
        let has_ended = earlier.iter().all(|owner| !owner.is_acting);
        let limit = settings().store_outage_grace + OWNER_LEASE;
        let is_late = self.now >= latest.began_at + limit;
        let answers = self.rng.u32(..self.entry_restart_ticks) == 0;
        if has_ended && (is_late || answers) && latest.previous_ended_at.is_none() {
            latest.previous_ended_at = Some(self.now);
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let messages = std::mem::take(&mut self.messages);
        let (due, later): (Vec<_>, Vec<_>) = messages.into_iter().partition(|(at, _)| now >= *at);
        self.messages = later;
        for (at, message) in due {
            match message {
                Message::Report(epoch, report) => self.deliver_report(epoch, report),
                Message::Instructions(agent, process, order) => {
                    let machine = &mut self.machines[&agent];
                    let Some(running) = machine.agent.as_mut().filter(|a| a.process == process)
                    else {
                        continue;
                    };
                    if now < running.paused_until {
                        let message = Message::Instructions(agent, process, order);
                        self.messages.push((at, message));
                        continue;
                    }
                    self.deliver_order(&agent, order);
                }
            }
        }
    }

    fn deliver_report(&mut self, epoch: Epoch, report: WorkerReport) {
        let position = self.owners.iter().position(|owner| owner.epoch == epoch);
        let is_cut = self.machines[&report.agent].is_cut;
        let reaches = |owner: &Owner| owner.is_acting && owner.is_cut == is_cut;
        let Some(index) = position.filter(|index| reaches(&self.owners[*index])) else {
            return;
        };
        let replies = self.owners[index].receive(report, self.now);
        self.send_replies(index, replies);
    }

    fn deliver_order(&mut self, agent: &AgentId, order: Order) {
        let machine = &mut self.machines[agent];
        if let Some(process) = &mut machine.agent {
            process.reported_at = None;
        }
        let stop_time = Duration::from_millis(self.rng.u64(50..800));
        let epoch = order.instructions.epoch;
        let started = machine.apply(order.instructions, stop_time, self.now);
        for run in started {
            self.record_start(agent, run, (epoch, order.sent_at));
        }
    }

    /// Records that a worker has started a run. The owner that ordered it may have stored the end of the task since, because an
    /// earlier run that it had taken for lapsed was done in time; it cannot recall the order, and stops the run.
    fn record_start(&mut self, agent: &AgentId, run: TaskRun, order: (Epoch, Duration)) {
        assert!(
            self.store
                .done(run.task)
                .is_none_or(|done| done.0 == order.0 && done.1 > order.1),
            "{} is started on {agent} at {:?} by {order:?} after its end was stored by {:?}",
            run.task,
            self.now,
            self.store.done(run.task)
        );
        let task = run.task;
        let job = &self.store.jobs[&task.job];
        let step = &job.spec.graph.steps[task.step as usize];
        let is_gang = step.gang && step.tasks > 1;
        let tasks = step.tasks as usize;
        let done_at = self.now + self.work[&task.job];
        if !is_gang {
            self.with_run(agent, run, |state| state.done_at = Some(done_at));
            return;
        }
        let key = (task.job, task.step, run.run);
        let members = self.gangs.entry(key).or_default();
        members.insert(run, agent.clone());
        if members.len() == tasks {
            for (run, agent) in members.clone() {
                self.with_run(&agent, run, |state| state.done_at = Some(done_at));
            }
        }
    }

    fn with_run(&mut self, agent: &AgentId, run: TaskRun, change: impl FnOnce(&mut Run)) {
        let worker = self.machines[agent].worker.as_mut();
        if let Some(state) = worker.and_then(|worker| worker.runs.get_mut(&run)) {
            change(state);
        }
    }

    /// Ends the members of gangs that have waited for too long, or of which a member has ended otherwise.
    fn step_gangs(&mut self) {
        let now = self.now;
        let mut broken = Vec::new();
        self.gangs.retain(|(job, step, _), members| {
            let present: Vec<(TaskRun, AgentId, Duration, bool)> = members
                .iter()
                .filter_map(|(run, agent)| {
                    let worker = self.machines[agent].worker.as_ref()?;
                    let state = worker.runs.get(run)?;
                    Some((
                        *run,
                        agent.clone(),
                        state.started_at,
                        state.done_at.is_some(),
                    ))
                })
                .collect();
            let tasks = self.store.jobs[job].spec.graph.steps[*step as usize].tasks as usize;
            let is_partial = present.len() < tasks;
            let was_whole = present.iter().any(|(.., is_working)| *is_working);
            let is_late = present
                .iter()
                .any(|(_, _, started_at, _)| now > *started_at + GANG_WAIT);
            if is_partial && (was_whole || is_late) {
                broken.extend(present.iter().map(|(run, agent, ..)| (*run, agent.clone())));
                return false;
            }
            !present.is_empty() || members.len() < tasks
        });
        for (run, agent) in broken {
            let machine = &mut self.machines[&agent];
            if let Some(worker) = &mut machine.worker {
                worker.end(run, RunEnd::Broken);
            }
            if let Some(process) = &mut machine.agent {
                process.report_due = true;
            }
        }
    }

    fn send_replies(&mut self, owner: usize, replies: Vec<(AgentId, Instructions)>) {
        let is_cut = self.owners[owner].is_cut;
        for (agent, instructions) in replies {
            let at = self.now + self.latency();
            let machine = &self.machines[&agent];
            let Some(process) = &machine.agent else {
                continue;
            };
            if machine.is_cut == is_cut {
                let order = Order {
                    sent_at: self.now,
                    instructions,
                };
                let message = Message::Instructions(agent, process.process, order);
                self.messages.push((at, message));
            }
        }
    }

    fn latency(&mut self) -> Duration {
        // A message in a hundred is late.
        let range = if self.rng.u8(..100) == 0 {
            200..1_200
        } else {
            2..20
        };
        Duration::from_millis(self.rng.u64(range))
    }

    /// Sends the reports that are due, to the owner that each agent follows.
    fn send_reports(&mut self) {
        let now = self.now;
        let agents: Vec<AgentId> = self.machines.keys().cloned().collect();
        for agent in agents {
            let machine = &mut self.machines[&agent];
            let (is_cut, learns_at) = (machine.is_cut, machine.learns_at);
            let Some(process) = machine.active_agent(now) else {
                continue;
            };
            let known = process.epoch;
            let owners = self
                .owners
                .iter()
                .filter(|owner| owner.is_acting && owner.is_cut == is_cut && owner.epoch >= known);
            let reachable: Vec<Epoch> = owners.map(|owner| owner.epoch).collect();
            let newest = reachable.last().copied();
            let is_outdated = now >= learns_at && newest > process.follows;
            let has_timed_out = process
                .reported_at
                .is_some_and(|at| now >= at + REPORT_TIMEOUT);
            if process.follows.is_none() || is_outdated || has_timed_out {
                // An entry may not know of the latest owner yet.
                let is_stale = self.rng.u8(..10) == 0;
                let found = if is_stale {
                    reachable.first().copied()
                } else {
                    newest
                };
                process.follows = found;
                process.reported_at = None;
                process.report_due = true;
            }
            let Some(follows) = process.follows else {
                continue;
            };
            if !process.report_due || process.reported_at.is_some_and(|at| now < at + TICK * 5) {
                continue;
            }
            process.report_due = false;
            process.reported_at = Some(now);
            let Some(report) = self.machines[&agent].report(now) else {
                continue;
            };
            let at = now + self.latency();
            self.messages.push((at, Message::Report(follows, report)));
        }
    }

    /// Returns the runs of all workers.
    pub(crate) fn runs(&self) -> impl Iterator<Item = (&AgentId, TaskRun)> {
        self.machines.iter().flat_map(|(agent, machine)| {
            let workers = machine.worker.iter();
            workers.flat_map(move |worker| worker.runs.keys().map(move |run| (agent, *run)))
        })
    }

    fn check_runs(&self) {
        let mut running: IndexMap<TaskId, (&AgentId, TaskRun)> = IndexMap::new();
        for (agent, run) in self.runs() {
            if let Some((other, first)) = running.insert(run.task, (agent, run)) {
                panic!(
                    "{} runs twice at {:?}: {} on {other} and {} on {agent}",
                    run.task, self.now, first.run, run.run
                );
            }
            let job = run.task.job;
            let records = self.store.placements.get(&job);
            assert!(
                self.store.lacks_records
                    || self.store.jobs[&job].end.is_some()
                    || records.is_some_and(|agents| agents.contains(agent)),
                "{run:?} on {agent} at {:?} is not recorded: {records:?}",
                self.now
            );
        }
    }

    /// Returns the jobs that have not ended.
    pub(crate) fn open_jobs(&self) -> Vec<JobId> {
        let jobs = self.store.jobs.iter();
        let open = jobs.filter(|(_, job)| job.end.is_none());
        open.map(|(id, _)| *id).collect()
    }

    /// Returns the jobs that have a run.
    pub(crate) fn running_jobs(&self) -> IndexSet<JobId> {
        self.runs().map(|(_, run)| run.task.job).collect()
    }

    /// Returns how many more tasks fit on the machines that are not lost.
    pub(crate) fn free_slots(&self, lost: &[AgentId]) -> usize {
        let used = self.runs().filter(|(agent, _)| !lost.contains(agent));
        let machines = self.machines.len() - lost.len();
        (machines * SLOTS).saturating_sub(used.count())
    }

    /// Returns how long recovery may take when agents are lost.
    pub(crate) fn longest_recovery() -> Duration {
        settings().store_outage_grace + lapse_after(settings().max_lease)
    }
}
