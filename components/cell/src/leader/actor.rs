//! Event loop of the owner: handles events, makes decisions, answers agents and passes changes to
//! the writer.

use std::sync::Arc;
use std::time::Duration;

use board::Section;
use graph::{MIN_WAIT, PlacementChange, Scheduler, WaitReason};
use indexmap::{IndexMap, IndexSet};
use model::{AcceptedJob, AgentId, Epoch, Instructions, JobId, Revision, WorkerReport};
use tokio::sync::{mpsc, oneshot};

use crate::clock::{boot_now, wall_now};
use crate::configuration::Configuration;
use crate::entry::Entry;
use crate::leader::load::StoredRecords;
use crate::leader::writer::{
    ENDS_BATCH, JobRevisions, PLACEMENTS_BATCH, PROGRESS_BATCH, StoredJob, Write, WriteKind, Writer,
};
use crate::leader::{Event, JobStates, LeaderHandle, OwnerBoard};
use crate::metrics::OwnerMetrics;

/// How long a report waits for instructions. Agents renew the leases of their workers with each
/// reply.
const REPORT_WAIT: Duration = Duration::from_secs(1);
/// Interval of decisions that depend only on time: expired leases, due schedules and hanging tasks.
const TICK_INTERVAL: Duration = Duration::from_millis(200);
/// Maximum number of concurrent writes of ends. With a slow store, 6 ends per write and 200 ms per
/// write give 240 ends per second.
const MAX_END_WRITES: usize = 8;
/// Maximum number of concurrent writes of placements, which starts wait for. With a slow store, 15 jobs per
/// write and 200 ms per write give 600 jobs per second.
const MAX_PLACEMENT_WRITES: usize = 8;

/// A report that waits for instructions.
struct PendingReport {
    report_sent_at: Duration,
    received_at: Duration,
    tx: oneshot::Sender<Instructions>,
}

/// Writes that have not been answered yet.
#[derive(Debug, Default)]
struct InFlightWrites {
    ends: usize,
    placements: usize,
    progress: bool,
    roster: bool,
}

pub(crate) struct Actor {
    entry: Arc<Entry>,
    handle: LeaderHandle,
    board: Arc<OwnerBoard>,
    scheduler: Scheduler,
    writer: Arc<Writer>,
    in_flight: InFlightWrites,
    pending_reports: IndexMap<AgentId, PendingReport>,
    job_revisions: IndexMap<JobId, JobRevisions>,
    /// Revisions of the stored records of placements.
    placement_revisions: IndexMap<JobId, Revision>,
    /// Whether the stored records name all agents on which jobs may have runs.
    is_recorded: bool,
    /// Agents that are certainly in the stored roster.
    roster: IndexSet<AgentId>,
    roster_revision: Revision,
    awaiting_roster: Vec<(WorkerReport, oneshot::Sender<Instructions>)>,
    configuration: Arc<Configuration>,
    /// When this owner started, on the boot clock.
    started_at: Duration,
    /// Version of the job states that were last published.
    published_version: u64,
}

impl Actor {
    /// Creates the owner from the records in the store.
    pub(crate) fn new(
        entry: Arc<Entry>,
        handle: LeaderHandle,
        epoch: Epoch,
        relies_on_records: bool,
        loaded: StoredRecords,
        metrics: OwnerMetrics,
    ) -> Self {
        let now = boot_now();
        let wall = wall_now();
        let settings = entry.settings.scheduler;
        let mut scheduler = Scheduler::new(settings, epoch, loaded.roster.clone(), now);
        let mut job_revisions = IndexMap::new();
        let (jobs, ended) = (loaded.jobs.len(), loaded.ended.len());
        for (id, (job, revision)) in loaded.jobs {
            let revisions = JobRevisions {
                queue: job.spec.queue.clone(),
                record: revision,
                progress: loaded.progress.get(&id).copied().unwrap_or(0),
            };
            job_revisions.insert(id, revisions);
            scheduler.load(job, now, wall);
        }
        let mut placement_revisions = IndexMap::new();
        for (id, (agents, revision)) in loaded.placements {
            placement_revisions.insert(id, revision);
            scheduler.load_placements(id, agents);
        }
        for (id, (_, end)) in loaded.ended {
            scheduler.load_ended(id, end);
        }
        if relies_on_records {
            scheduler.rely_on_records();
        }
        scheduler.try_end_recovery(now);
        let recovery = scheduler.recovery_state();
        let board = OwnerBoard {
            states: Section::new(job_states(&scheduler)),
            usage: Section::new(scheduler.usage().clone()),
            waits: Section::new(None),
            metrics,
        };
        log::info!(
            target: "limpethook",
            epoch = epoch, jobs = jobs, ended = ended, agents = loaded.roster.len(), waiting_jobs = recovery.jobs,
            pending_agents = recovery.agents, records_reliable = relies_on_records;
            "owner_starts"
        );
        // What is known of the evacuations may be older than this owner.
        entry.check_requested.notify_one();
        let writer = Writer::new(Arc::clone(&entry), handle.clone());
        writer.delete_placements(&loaded.stale_placements);
        let actor = Self {
            writer,
            entry,
            handle,
            board: Arc::new(board),
            published_version: scheduler.status_version(),
            scheduler,
            in_flight: InFlightWrites::default(),
            pending_reports: IndexMap::new(),
            job_revisions,
            placement_revisions,
            is_recorded: false,
            roster: loaded.roster,
            roster_revision: loaded.roster_revision,
            awaiting_roster: Vec::new(),
            configuration: Arc::default(),
            started_at: now,
        };
        actor.record_usage();
        actor.record_recovery();
        actor
    }

    /// Returns the board that this owner writes.
    pub(crate) fn board(&self) -> Arc<OwnerBoard> {
        Arc::clone(&self.board)
    }

    /// Runs until the owner ends.
    pub(crate) async fn run(mut self, mut rx: mpsc::Receiver<Event>) {
        let mut ticks = self.entry.timer.subscribe_every(TICK_INTERVAL);
        let end = self.handle.end.clone();
        loop {
            self.run_cycle();
            tokio::select! {
                event = rx.recv() => match event {
                    Some(event) => self.handle_event(event),
                    None => break,
                },
                _ = ticks.recv() => {}
                () = end.cancelled() => break,
            }
            while let Ok(event) = rx.try_recv() {
                self.handle_event(event);
            }
        }
    }

    fn handle_event(&mut self, event: Event) {
        let now = boot_now();
        let events = &self.entry.metrics.owner;
        events.with_label_values(&[event.name()]).inc();
        match event {
            Event::Report { report, tx } => self.handle_report(report, tx, now),
            Event::JobStored {
                id,
                job,
                revision,
                admission,
            } => {
                self.job_revisions
                    .entry(id)
                    .or_insert_with(|| JobRevisions {
                        queue: job.queue.clone(),
                        record: revision,
                        progress: 0,
                    });
                self.compare_policy(&job);
                self.scheduler.accept(id, job, now, wall_now());
                // The room is given back only after the job counts as part of the usage.
                self.publish_usage();
                drop(admission);
                self.entry.admissions.settle(id);
            }
            Event::JobAsked { id, tx } => {
                // The asking entry may have given up.
                let _ = tx.send(self.scheduler.state(id).is_some());
            }
            Event::JobEnded(id, end) => self.scheduler.record_ended(id, end),
            Event::PreviousEnded => self.scheduler.previous_ended(now),
            Event::JobDeleted(id) => {
                self.scheduler.remove_deleted_jobs(|ended| ended == id);
                self.job_revisions.swap_remove(&id);
                self.placement_revisions.swap_remove(&id);
            }
            Event::JobsListed(jobs) => self
                .scheduler
                .remove_deleted_jobs(|ended| !jobs.contains(&ended)),
            Event::JobCancelled(id) => self.scheduler.cancel(id),
            Event::StepApproved {
                step,
                approval,
                requested_at,
            } => {
                let validity = approval.validity;
                self.scheduler
                    .record_approvals(step, &approval.tickets, requested_at, validity);
            }
            Event::JobsWritten { kind, jobs } => self.handle_written(kind, jobs),
            Event::PlacementsWritten { jobs, revision } => {
                self.in_flight.placements -= 1;
                self.scheduler.mark_placements_stored(&jobs, now);
                let revisions = jobs.into_iter().map(|job| (job, revision));
                self.placement_revisions.extend(revisions);
            }
            Event::RosterWritten { agents, revision } => {
                self.in_flight.roster = false;
                self.roster = agents;
                self.roster_revision = revision;
                let reports = std::mem::take(&mut self.awaiting_roster);
                for (report, tx) in reports {
                    self.handle_report(report, tx, now);
                }
            }
        }
    }

    /// Handles a report. The first report of an agent waits until the stored roster contains the
    /// agent, unless its worker is absent.
    fn handle_report(
        &mut self,
        report: WorkerReport,
        tx: oneshot::Sender<Instructions>,
        now: Duration,
    ) {
        if !self.roster.contains(&report.agent) && !report.absent {
            self.awaiting_roster.push((report, tx));
            return;
        }
        self.scheduler.report(&report, now);
        let pending = PendingReport {
            report_sent_at: report.sent_at,
            received_at: now,
            tx,
        };
        let unconfirmed = report.confirmed_epoch < self.scheduler.epoch();
        let previous = self.pending_reports.insert(report.agent.clone(), pending);
        if let Some(previous) = previous {
            self.send_instructions(&report.agent, previous, now);
        }
        if unconfirmed && let Some(pending) = self.pending_reports.swap_remove(&report.agent) {
            self.send_instructions(&report.agent, pending, now);
        }
    }

    /// Returns whether this owner may start tasks: it is valid, and knows the evacuated data centres.
    fn may_start(&self, now: Duration) -> bool {
        self.handle.is_valid(now) && self.entry.evacuations_allow_starts(self.started_at, now)
    }

    fn send_instructions(&mut self, agent: &AgentId, pending: PendingReport, now: Duration) {
        let starts = self.may_start(now);
        let instructions = self
            .scheduler
            .instructions(agent, pending.report_sent_at, starts, now);
        // The agent may have given up on the call; it reports again.
        let _ = pending.tx.send(instructions);
    }

    fn run_cycle(&mut self) {
        let now = boot_now();
        self.apply_configuration();
        self.apply_evacuations(now);
        self.scheduler.expire_leases(now);
        self.scheduler.try_end_recovery(now);
        if self.may_start(now) {
            self.scheduler.plan(now, wall_now());
            self.ask_advisor(now);
        } else if self.handle.is_valid(now) {
            self.scheduler.stop_runs(now);
        }
        if !self.is_recorded && self.scheduler.are_records_complete() {
            self.is_recorded = true;
            self.handle.mark_recorded();
        }
        self.answer_due_reports(now);
        self.start_writes();
        for wait in self.scheduler.take_start_delays() {
            let seconds = &self.entry.metrics.start_seconds;
            seconds.observe(wait.as_secs_f64());
        }
        for delay in self.scheduler.take_record_delays() {
            let seconds = &self.entry.metrics.record_seconds;
            seconds.observe(delay.as_secs_f64());
        }
        for suspects in self.scheduler.take_crash_suspects() {
            let label = match suspects {
                0 => "none",
                1 => "one",
                _ => "several",
            };
            let crashes = &self.entry.metrics.worker_crashes;
            crashes.with_label_values(&[label]).inc();
        }
        for (reason, count) in self.scheduler.take_removed_runs() {
            let removed = &self.entry.metrics.runs_removed;
            let removed = removed.with_label_values(&[reason.to_string()]);
            removed.inc_by(u64::try_from(count).unwrap_or(u64::MAX));
        }
        // A younger owner has recorded no wait, even if jobs have waited for long.
        if self.scheduler.take_waits_changed() && now >= self.started_at + MIN_WAIT {
            self.publish_waits(now);
        }
        if let Some(counts) = self.scheduler.take_speed_counts() {
            let speeds = &self.board.metrics.worker_speeds;
            for (class, count) in counts {
                let workers = speeds.with_label_values(&[class]);
                workers.set(i64::try_from(count).unwrap_or(i64::MAX));
            }
        }
        if let Some(took) = self.scheduler.take_recovery_time() {
            let seconds = &self.entry.metrics.recovery_seconds;
            seconds.observe(took.as_secs_f64());
        }
        self.scheduler.compact_ended_jobs();
        self.publish_usage();
        self.record_recovery();
        if self.published_version != self.scheduler.status_version() {
            self.published_version = self.scheduler.status_version();
            self.board.states.publish(job_states(&self.scheduler));
        }
    }

    /// Asks the advisor about the steps that need approval, in background tasks.
    fn ask_advisor(&mut self, now: Duration) {
        let Some(advisor) = &self.entry.advisor else {
            return;
        };
        for question in self.scheduler.take_approval_requests(now) {
            let advisor = Arc::clone(advisor);
            let handle = self.handle.clone();
            tokio::spawn(async move {
                match advisor.advise(&question).await {
                    Ok(approval) => {
                        let step = question.step;
                        let event = Event::StepApproved {
                            step,
                            approval,
                            requested_at: now,
                        };
                        // The send fails only if the owner has ended.
                        let _ = handle.send(event).await;
                    }
                    Err(report) => {
                        log::warn!(
                            target: "limpethook",
                            job:% = format_args!("{:016x}", question.step.job), step = question.step.step,
                            error:% = report.current_context();
                            "advisor_failed"
                        );
                    }
                }
            });
        }
    }

    fn apply_configuration(&mut self) {
        let configuration: Arc<Configuration> = Arc::clone(&self.entry.board.configuration.load());
        if Arc::ptr_eq(&configuration, &self.configuration) {
            return;
        }
        log::info!(
            target: "limpethook",
            epoch = self.scheduler.epoch(), version = configuration.version, before = self.configuration.version;
            "owner_configured"
        );
        self.scheduler
            .configure(configuration.policies(), configuration.guarantees());
        self.configuration = configuration;
    }

    fn apply_evacuations(&mut self, now: Duration) {
        let Some(data_centres) = self.entry.evacuated_data_centres(self.started_at) else {
            return;
        };
        self.scheduler.set_evacuations(&data_centres, now);
        let state = self.scheduler.evacuation_state();
        let metrics = &self.board.metrics;
        let workers = i64::try_from(state.workers).unwrap_or(i64::MAX);
        let unlabelled: [&str; 0] = [];
        let evacuated = metrics.evacuated_workers.with_label_values(&unlabelled);
        evacuated.set(workers);
        let missing = metrics.missing_guarantees.with_label_values(&unlabelled);
        missing.set(i64::from(state.missing_accelerators));
    }

    /// Asks for a check of the configuration if another entry accepted a job by a policy that this one does not know.
    fn compare_policy(&self, job: &AcceptedJob) {
        let mut routes = self.configuration.routes.iter();
        let route = routes.find(|route| route.queue == job.queue);
        if route.is_none_or(|route| route.policy != job.policy) {
            self.entry.check_requested.notify_one();
        }
    }

    fn answer_due_reports(&mut self, now: Duration) {
        let due: Vec<AgentId> = self
            .pending_reports
            .iter()
            .filter(|(agent, pending)| {
                now >= pending.received_at + REPORT_WAIT || self.scheduler.has_orders(agent, now)
            })
            .map(|(agent, _)| agent.clone())
            .collect();
        for agent in due {
            if let Some(pending) = self.pending_reports.swap_remove(&agent) {
                self.send_instructions(&agent, pending, now);
            }
        }
    }

    fn handle_written(&mut self, kind: WriteKind, jobs: Vec<StoredJob>) {
        match kind {
            WriteKind::Ends => self.in_flight.ends -= 1,
            WriteKind::Progress => self.in_flight.progress = false,
        }
        for stored in jobs {
            if kind == WriteKind::Ends {
                self.placement_revisions.swap_remove(&stored.job);
            }
            self.scheduler.mark_stored(stored.job, stored.version);
            self.job_revisions.insert(stored.job, stored.revisions);
        }
    }

    /// Passes changes to the writer. Ends of jobs never wait for the progress of other jobs.
    fn start_writes(&mut self) {
        self.write_roster();
        self.write_placements();
        while self.in_flight.ends < MAX_END_WRITES {
            let changes = self.scheduler.take_ended(ENDS_BATCH);
            if changes.is_empty() {
                break;
            }
            self.in_flight.ends += 1;
            self.write_jobs(WriteKind::Ends, changes);
        }
        if !self.in_flight.progress {
            let changes = self.scheduler.take_progress(PROGRESS_BATCH);
            if !changes.is_empty() {
                self.in_flight.progress = true;
                self.write_jobs(WriteKind::Progress, changes);
            }
        }
    }

    /// Stores on which agents jobs may have runs. The starts wait for that, so that full transactions need not be waited for.
    fn write_placements(&mut self) {
        while self.in_flight.placements < MAX_PLACEMENT_WRITES {
            let changes = self.scheduler.take_placements(PLACEMENTS_BATCH);
            if changes.is_empty() {
                break;
            }
            self.in_flight.placements += 1;
            let with_revision = |change: PlacementChange| {
                let revision = self.placement_revisions.get(&change.job).copied();
                (change, revision.unwrap_or(0))
            };
            let changes = changes.into_iter().map(with_revision);
            self.writer.start(Write::Placements(changes.collect()));
        }
    }

    fn write_jobs(&self, kind: WriteKind, changes: Vec<graph::Change>) {
        let with_revisions = |change: graph::Change| {
            let revisions = self.job_revisions.get(&change.job).cloned();
            (change, revisions.unwrap_or_default())
        };
        let changes = changes.into_iter().map(with_revisions);
        self.writer.start(Write::Jobs(kind, changes.collect()));
    }

    /// Adds agents whose reports wait for the roster, and removes agents that no longer hold
    /// anything, so that the next owner does not wait for them.
    fn write_roster(&mut self) {
        if self.in_flight.roster {
            return;
        }
        let mut agents = self.scheduler.roster();
        let awaiting_roster = self.awaiting_roster.iter();
        agents.extend(awaiting_roster.map(|(report, _)| report.agent.clone()));
        if agents == self.roster {
            return;
        }
        // The store may lack the agents that are removed from now on. Their next reports wait for the roster again.
        self.roster.retain(|agent| agents.contains(agent));
        self.in_flight.roster = true;
        self.writer
            .start(Write::Roster(agents, self.roster_revision));
    }

    /// Publishes the jobs that wait to the metrics and to operators.
    fn publish_waits(&self, now: Duration) {
        let counts = self.scheduler.wait_counts(now);
        let metrics = &self.board.metrics;
        for reason in WaitReason::ALL {
            let (count, longest) = counts.get(&reason).copied().unwrap_or_default();
            let jobs = metrics.waiting_jobs.with_label_values(&[reason.as_str()]);
            jobs.set(i64::try_from(count).unwrap_or(i64::MAX));
            let wait = metrics.longest_wait.with_label_values(&[reason.as_str()]);
            wait.set(longest.as_secs_f64());
        }
        let mut lines = String::new();
        for wait in self.scheduler.waits() {
            lines.push_str(&wait.to_line(now));
            lines.push('\n');
        }
        self.board.waits.publish(Some(lines.into()));
    }

    fn publish_usage(&self) {
        let usage = self.scheduler.usage();
        if **self.board.usage.load() != *usage {
            self.record_usage();
            self.board.usage.publish(usage.clone());
        }
    }

    /// Records the memory of the jobs in the metrics and in the account of the process.
    fn record_usage(&self) {
        let usage = self.scheduler.usage().total;
        let total = i64::try_from(usage).unwrap_or(i64::MAX);
        self.board.metrics.job_bytes.set(total);
        self.entry.clients.record_jobs(usage);
    }

    /// Records the jobs that wait for recovery in the metrics.
    fn record_recovery(&self) {
        let waiting = self.scheduler.recovery_state().jobs;
        let waiting = i64::try_from(waiting).unwrap_or(i64::MAX);
        self.board.metrics.recovering_jobs.set(waiting);
    }
}

fn job_states(scheduler: &Scheduler) -> JobStates {
    JobStates {
        jobs: scheduler.states(),
        waiting: scheduler.queued_job_counts(),
    }
}
