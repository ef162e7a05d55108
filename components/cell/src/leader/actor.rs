//! The loop of the owner: takes events, decides, answers the agents and hands changes to the writer.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use graph::Scheduler;
use indexmap::{IndexMap, IndexSet};
use model::{AgentId, Epoch, Instructions, JobId, Revision, WorkerReport};
use tokio::sync::{mpsc, oneshot};

use crate::board::JobStates;
use crate::clock::{boot_now, wall_now};
use crate::entry::Entry;
use crate::leader::load::Loaded;
use crate::leader::writer::{ENDS_BATCH, JobEntry, Lane, PROGRESS_BATCH, StoredJob, Write, Writer};
use crate::leader::{Event, LeaderHandle};

/// How long a report waits for something to do; agents extend the leases of their workers with each reply.
const POLL_WAIT: Duration = Duration::from_secs(1);
/// Interval at which time alone changes decisions: leases that lapse, times that are due, tasks that hang.
const TICK: Duration = Duration::from_millis(200);
/// Writes of ends on their way at once: while the store is slow, 7 ends each in 200 ms carry 280 ends a second.
const ENDS_AT_ONCE: usize = 8;

/// A report that waits for instructions.
struct Poll {
    echo: Duration,
    since: Duration,
    tx: oneshot::Sender<Instructions>,
}

/// Writes without an answer so far.
#[derive(Debug, Default)]
struct UnderWay {
    ends: usize,
    progress: bool,
    roster: bool,
}

/// The owner.
pub(crate) struct Actor {
    entry: Arc<Entry>,
    handle: LeaderHandle,
    scheduler: Scheduler,
    writer: Arc<Writer>,
    under_way: UnderWay,
    polls: IndexMap<AgentId, Poll>,
    entries: IndexMap<JobId, JobEntry>,
    roster: IndexSet<AgentId>,
    roster_revision: Revision,
    unlisted: Vec<(WorkerReport, oneshot::Sender<Instructions>)>,
    configured: u64,
    /// The number of the states that were published last.
    published: Option<u64>,
}

impl Actor {
    /// Creates the owner from what the store has.
    pub(crate) fn new(
        entry: Arc<Entry>,
        handle: LeaderHandle,
        epoch: Epoch,
        loaded: Loaded,
    ) -> Self {
        let now = boot_now();
        let wall = wall_now();
        let limits = entry.settings.limits;
        let mut scheduler = Scheduler::new(limits, epoch, loaded.roster.clone(), now);
        let mut entries = IndexMap::new();
        log::info!(
            target: "limpethook",
            epoch = epoch, jobs = loaded.jobs.len(), ended = loaded.ended.len(), agents = loaded.roster.len();
            "owner_starts"
        );
        for (id, (job, revision)) in loaded.jobs {
            let stored = JobEntry {
                queue: job.spec.queue.clone(),
                record: revision,
                progress: loaded.progress.get(&id).copied().unwrap_or(0),
            };
            entries.insert(id, stored);
            scheduler.load(job, now, wall);
        }
        for (id, (_, end)) in loaded.ended {
            scheduler.load_ended(id, end);
        }
        scheduler.end_adoption(now);
        Self {
            writer: Writer::new(Arc::clone(&entry), handle.clone()),
            entry,
            handle,
            scheduler,
            under_way: UnderWay::default(),
            polls: IndexMap::new(),
            entries,
            roster: loaded.roster,
            roster_revision: loaded.roster_revision,
            unlisted: Vec::new(),
            configured: 0,
            published: None,
        }
    }

    /// Runs until the owner ends.
    pub(crate) async fn run(mut self, mut rx: mpsc::Receiver<Event>) {
        let mut ticks = self.entry.timer.subscribe_every(TICK);
        let end = self.handle.end.clone();
        loop {
            self.step();
            tokio::select! {
                event = rx.recv() => match event {
                    Some(event) => self.take(event),
                    None => break,
                },
                _ = ticks.recv() => {}
                () = end.cancelled() => break,
            }
            while let Ok(event) = rx.try_recv() {
                self.take(event);
            }
        }
        self.entry.board.states.publish(JobStates::default());
    }

    fn take(&mut self, event: Event) {
        let now = boot_now();
        let events = &self.entry.metrics.owner;
        events.with_label_values(&[event.name()]).inc();
        match event {
            Event::Report { report, tx } => self.take_report(report, tx, now),
            Event::Stored { id, job, revision } => {
                self.entries.entry(id).or_insert_with(|| JobEntry {
                    queue: job.queue.clone(),
                    record: revision,
                    progress: 0,
                });
                self.scheduler.accept(id, job, now, wall_now());
            }
            Event::PreviousEnded => self.scheduler.previous_ended(now),
            Event::Forgotten(id) => {
                self.scheduler.forget_where(|ended| ended == id);
                self.entries.swap_remove(&id);
            }
            Event::Kept(jobs) => self.scheduler.forget_where(|ended| !jobs.contains(&ended)),
            Event::Cancelled(id) => self.scheduler.cancel(id),
            Event::Approved {
                step,
                approved,
                asked_at,
            } => {
                let validity = approved.validity;
                self.scheduler
                    .record_approvals(step, &approved.tickets, asked_at, validity);
            }
            Event::Written { lane, jobs } => self.take_written(lane, jobs),
            Event::RosterWritten { agents, revision } => {
                self.under_way.roster = false;
                self.roster = agents;
                self.roster_revision = revision;
                let listed = std::mem::take(&mut self.unlisted);
                for (report, tx) in listed {
                    self.take_report(report, tx, now);
                }
            }
        }
    }

    /// Takes a report; the first one of an agent waits until the store names the agent, unless its worker is down.
    fn take_report(
        &mut self,
        report: WorkerReport,
        tx: oneshot::Sender<Instructions>,
        now: Duration,
    ) {
        if !self.roster.contains(&report.agent) && !report.absent {
            self.unlisted.push((report, tx));
            return;
        }
        self.scheduler.report(&report, now);
        let poll = Poll {
            echo: report.sent_at,
            since: now,
            tx,
        };
        let unfenced = report.fenced < self.scheduler.epoch();
        let earlier = self.polls.insert(report.agent.clone(), poll);
        if let Some(earlier) = earlier {
            self.answer(&report.agent, earlier, now);
        }
        if unfenced && let Some(poll) = self.polls.swap_remove(&report.agent) {
            self.answer(&report.agent, poll, now);
        }
    }

    fn is_valid(&self, now: Duration) -> bool {
        let until = self.handle.valid_until_ms.load(Ordering::Acquire);
        now < Duration::from_millis(until)
    }

    fn answer(&mut self, agent: &AgentId, poll: Poll, now: Duration) {
        let starts = self.is_valid(now);
        let instructions = self.scheduler.instructions(agent, poll.echo, starts, now);
        // The agent may have given up on the call; it reports again.
        let _ = poll.tx.send(instructions);
    }

    fn step(&mut self) {
        let now = boot_now();
        self.configure();
        self.scheduler.expire_leases(now);
        self.scheduler.end_adoption(now);
        if self.is_valid(now) {
            self.scheduler.plan(now, wall_now());
            self.ask_advisor(now);
        }
        self.answer_polls(now);
        self.hand_to_writer();
        for wait in self.scheduler.take_start_delays() {
            let seconds = &self.entry.metrics.start_seconds;
            seconds.observe(wait.as_secs_f64());
        }
        self.scheduler.forget_ended();
        if self.published != Some(self.scheduler.status_version()) {
            self.published = Some(self.scheduler.status_version());
            self.publish_states();
        }
    }

    /// Asks the advisor about the steps that need it, in the background.
    fn ask_advisor(&mut self, now: Duration) {
        let Some(advisor) = &self.entry.advisor else {
            return;
        };
        for question in self.scheduler.take_approval_requests(now) {
            let advisor = Arc::clone(advisor);
            let handle = self.handle.clone();
            tokio::spawn(async move {
                match advisor.advise(&question).await {
                    Ok(approved) => {
                        let step = question.step;
                        let event = Event::Approved {
                            step,
                            approved,
                            asked_at: now,
                        };
                        // The owner has ended if nobody takes the event.
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

    fn configure(&mut self) {
        let configuration = self.entry.board.configuration.snapshot();
        if configuration.version == self.configured {
            return;
        }
        self.configured = configuration.version;
        self.scheduler
            .configure(configuration.policies(), configuration.guarantees());
    }

    fn answer_polls(&mut self, now: Duration) {
        let due: Vec<AgentId> = self
            .polls
            .iter()
            .filter(|(agent, poll)| {
                now >= poll.since + POLL_WAIT || self.scheduler.has_orders(agent, now)
            })
            .map(|(agent, _)| agent.clone())
            .collect();
        for agent in due {
            if let Some(poll) = self.polls.swap_remove(&agent) {
                self.answer(&agent, poll, now);
            }
        }
    }

    fn take_written(&mut self, lane: Lane, jobs: Vec<StoredJob>) {
        match lane {
            Lane::Ends => self.under_way.ends -= 1,
            Lane::Progress => self.under_way.progress = false,
        }
        for stored in jobs {
            self.scheduler.mark_stored(stored.job, stored.version);
            self.entries.insert(stored.job, stored.entry);
        }
    }

    /// Hands changes to the writer; an end never waits for the progress of other jobs.
    fn hand_to_writer(&mut self) {
        self.write_roster();
        while self.under_way.ends < ENDS_AT_ONCE {
            let changes = self.scheduler.take_ended(ENDS_BATCH);
            if changes.is_empty() {
                break;
            }
            self.under_way.ends += 1;
            self.write_jobs(Lane::Ends, changes);
        }
        if !self.under_way.progress {
            let changes = self.scheduler.take_progress(PROGRESS_BATCH);
            if !changes.is_empty() {
                self.under_way.progress = true;
                self.write_jobs(Lane::Progress, changes);
            }
        }
    }

    fn write_jobs(&self, lane: Lane, changes: Vec<graph::Change>) {
        let with_entry = |change: graph::Change| {
            let entry = self.entries.get(&change.job).cloned();
            (change, entry.unwrap_or_default())
        };
        let changes = changes.into_iter().map(with_entry);
        self.writer.start(Write::Jobs(lane, changes.collect()));
    }

    /// Adds agents whose reports wait for it, or takes agents off the roster that hold nothing any more, so that the next
    /// owner does not wait for them.
    fn write_roster(&mut self) {
        if self.under_way.roster {
            return;
        }
        let mut agents = self.scheduler.roster();
        let unlisted = self.unlisted.iter();
        agents.extend(unlisted.map(|(report, _)| report.agent.clone()));
        let leaves = self.roster.iter().any(|agent| !agents.contains(agent));
        if self.unlisted.is_empty() && !leaves {
            return;
        }
        self.under_way.roster = true;
        self.writer
            .start(Write::Roster(agents, self.roster_revision));
    }

    fn publish_states(&self) {
        let states = self.scheduler.states();
        let waiting = self.scheduler.waiting_by_queue();
        self.entry.board.states.publish(JobStates {
            epoch: self.scheduler.epoch(),
            jobs: states,
            waiting,
        });
    }
}
