//! An owner: the shipped scheduler, driven as the owner of a cell drives it.

use std::time::Duration;

use fastrand::Rng;
use graph::{LoadedJob, Scheduler};
use indexmap::{IndexMap, IndexSet};
use model::{AgentId, Epoch, Instructions, JobId, WorkerReport};

use crate::settings;
use crate::store::{PendingWrite, Store, Write};

/// How long a report waits for orders.
const REPORT_WAIT: Duration = Duration::from_secs(1);
/// Records per write.
const BATCH: usize = 15;
const MAX_PLACEMENT_WRITES: usize = 8;
const MAX_END_WRITES: usize = 8;

/// Whether an owner records placements.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Recording {
    /// It is of a version that keeps no records.
    Never,
    /// The records of placements have not been complete yet.
    Incomplete,
    Complete,
}

#[derive(Debug)]
pub(crate) struct Owner {
    pub(crate) scheduler: Scheduler,
    pub(crate) epoch: Epoch,
    pub(crate) began_at: Duration,
    /// Whether it answers agents.
    pub(crate) is_acting: bool,
    /// Whether it is on the side of a network partition that cannot reach the store and new owners.
    pub(crate) is_cut: bool,
    /// When its lease in the store lapses at the latest, by its own clock.
    pub(crate) valid_until: Duration,
    pub(crate) renews_at: Duration,
    /// When it learns that no earlier owner renews leases.
    pub(crate) previous_ended_at: Option<Duration>,
    pub(crate) recording: Recording,
    /// Whether no earlier owner renews leases, as far as it knows.
    have_earlier_ended: bool,
    /// Agents that are certainly in the stored roster.
    roster: IndexSet<AgentId>,
    awaiting_roster: Vec<WorkerReport>,
    pending_reports: IndexMap<AgentId, (Duration, Duration)>,
    writes: Vec<PendingWrite>,
    known_jobs: IndexSet<JobId>,
}

impl Owner {
    /// Creates an owner from the records in the store.
    pub(crate) fn load(store: &Store, epoch: Epoch, now: Duration) -> Self {
        let mut scheduler = Scheduler::new(settings(), epoch, store.roster.clone(), now);
        for (id, job) in &store.jobs {
            if let Some(end) = job.end {
                scheduler.load_ended(*id, end);
                continue;
            }
            let loaded = LoadedJob {
                id: *id,
                spec: job.spec.clone(),
                progress: job.progress.clone(),
                cancelled: false,
            };
            scheduler.load(loaded, now, now);
            let agents = store.placements.get(id).cloned();
            scheduler.load_placements(*id, agents.unwrap_or_default());
        }
        if !store.lacks_records {
            scheduler.rely_on_records();
        }
        scheduler.try_end_recovery(now);
        Self {
            scheduler,
            epoch,
            began_at: now,
            is_acting: true,
            is_cut: false,
            valid_until: now,
            renews_at: now,
            previous_ended_at: None,
            recording: Recording::Incomplete,
            have_earlier_ended: false,
            roster: store.roster.clone(),
            awaiting_roster: Vec::new(),
            pending_reports: IndexMap::new(),
            writes: Vec::new(),
            known_jobs: store.jobs.keys().copied().collect(),
        }
    }

    /// Handles a report; returns the instructions that are due at once.
    pub(crate) fn receive(
        &mut self,
        report: WorkerReport,
        now: Duration,
    ) -> Vec<(AgentId, Instructions)> {
        if !self.roster.contains(&report.agent) {
            self.awaiting_roster.push(report);
            return Vec::new();
        }
        self.scheduler.report(&report, now);
        let pending = (report.sent_at, now);
        let previous = self.pending_reports.insert(report.agent.clone(), pending);
        let mut replies = Vec::new();
        if let Some((sent_at, _)) = previous {
            replies.push(self.instruct(&report.agent, sent_at, now));
        }
        if report.confirmed_epoch < self.epoch {
            self.pending_reports.swap_remove(&report.agent);
            replies.push(self.instruct(&report.agent, report.sent_at, now));
        }
        replies
    }

    fn instruct(
        &mut self,
        agent: &AgentId,
        sent_at: Duration,
        now: Duration,
    ) -> (AgentId, Instructions) {
        let may_start = now < self.valid_until;
        let instructions = self.scheduler.instructions(agent, sent_at, may_start, now);
        (agent.clone(), instructions)
    }

    /// Decides, starts writes and answers the reports that are due.
    pub(crate) fn step(
        &mut self,
        store: &mut Store,
        rng: &mut Rng,
        now: Duration,
    ) -> Vec<(AgentId, Instructions)> {
        let mut replies = self.progress_writes(store, now);
        if self.previous_ended_at.is_some_and(|at| now >= at) {
            self.have_earlier_ended = true;
            self.previous_ended_at = None;
            self.scheduler.previous_ended(now);
        }
        if store.epoch == self.epoch && !self.is_cut {
            self.accept_jobs(store, now);
        }
        self.scheduler.expire_leases(now);
        self.scheduler.try_end_recovery(now);
        if now < self.valid_until {
            self.scheduler.plan(now, now);
        }
        let scheduler = &self.scheduler;
        let is_due = |(agent, (_, received_at)): &(&AgentId, &(Duration, Duration))| {
            now >= *received_at + REPORT_WAIT || scheduler.has_orders(agent, now)
        };
        let due = self.pending_reports.iter().filter(is_due);
        let due: Vec<AgentId> = due.map(|(agent, _)| agent.clone()).collect();
        for agent in due {
            if let Some((sent_at, _)) = self.pending_reports.swap_remove(&agent) {
                replies.push(self.instruct(&agent, sent_at, now));
            }
        }
        self.write_recording(store, rng, now);
        self.start_writes(store.loses_answers, rng, now);
        self.scheduler.compact_ended_jobs();
        replies
    }

    fn accept_jobs(&mut self, store: &Store, now: Duration) {
        for (id, job) in &store.jobs {
            if self.known_jobs.insert(*id) {
                self.scheduler.accept(*id, job.spec.clone(), now, now);
            }
        }
    }

    fn start_writes(&mut self, loses_answers: bool, rng: &mut Rng, now: Duration) {
        self.write_roster(loses_answers, rng, now);
        while self.count(|write| matches!(write, Write::Placements(_))) < MAX_PLACEMENT_WRITES {
            let changes = self.scheduler.take_placements(BATCH);
            if changes.is_empty() {
                break;
            }
            if self.recording == Recording::Never {
                let jobs: Vec<JobId> = changes.iter().map(|change| change.job).collect();
                self.scheduler.mark_placements_stored(&jobs, now);
                continue;
            }
            self.start_write(Write::Placements(changes), loses_answers, rng, now);
        }
        while self.count(|write| matches!(write, Write::Jobs(_))) < MAX_END_WRITES {
            let mut changes = self.scheduler.take_ended(BATCH);
            if changes.is_empty() {
                changes = self.scheduler.take_progress(BATCH);
            }
            if changes.is_empty() {
                break;
            }
            self.start_write(Write::Jobs(changes), loses_answers, rng, now);
        }
    }

    fn write_roster(&mut self, loses_answers: bool, rng: &mut Rng, now: Duration) {
        if self.count(|write| matches!(write, Write::Roster(_))) > 0 {
            return;
        }
        let mut agents = self.scheduler.roster();
        agents.extend(
            self.awaiting_roster
                .iter()
                .map(|report| report.agent.clone()),
        );
        if agents == self.roster {
            return;
        }
        self.roster.retain(|agent| agents.contains(agent));
        self.start_write(Write::Roster(agents), loses_answers, rng, now);
    }

    /// Lists the owner as recording once its records are complete and no earlier owner renews leases.
    fn write_recording(&mut self, store: &Store, rng: &mut Rng, now: Duration) {
        if self.recording == Recording::Incomplete && self.scheduler.are_records_complete() {
            self.recording = Recording::Complete;
        }
        let is_due = self.recording == Recording::Complete && self.have_earlier_ended;
        let is_pending = self.count(|write| matches!(write, Write::Recording)) > 0;
        if is_due && store.lacks_records && !is_pending {
            self.start_write(Write::Recording, store.loses_answers, rng, now);
        }
    }

    fn count(&self, is_counted: impl Fn(&Write) -> bool) -> usize {
        let writes = self.writes.iter();
        writes.filter(|pending| is_counted(&pending.write)).count()
    }

    fn start_write(&mut self, write: Write, loses_answers: bool, rng: &mut Rng, now: Duration) {
        let lands_at = now + Duration::from_millis(rng.u64(2..25));
        // The answer to the first attempt may be lost.
        let answer = if loses_answers && rng.u8(..) < 8 {
            300..600
        } else {
            2..25
        };
        self.writes.push(PendingWrite {
            write,
            lands_at,
            lands_in_stall: rng.bool(),
            answered_at: lands_at + Duration::from_millis(rng.u64(answer)),
            has_landed: false,
        });
    }

    /// Carries out the writes that are due and handles the answers.
    fn progress_writes(
        &mut self,
        store: &mut Store,
        now: Duration,
    ) -> Vec<(AgentId, Instructions)> {
        let is_stalled = store.is_stalled(now);
        for pending in &mut self.writes {
            let may_land = now >= pending.lands_at && (!is_stalled || pending.lands_in_stall);
            // An attempt that was sent before the owner was cut off may arrive.
            let arrives = !self.is_cut || pending.lands_in_stall;
            if !pending.has_landed && may_land && arrives && store.epoch == self.epoch {
                store.apply(&pending.write, now);
                pending.has_landed = true;
            }
        }
        if is_stalled || self.is_cut {
            return Vec::new();
        }
        let writes = std::mem::take(&mut self.writes);
        let is_answered = |pending: &PendingWrite| pending.has_landed && now >= pending.answered_at;
        let (answered, pending) = writes.into_iter().partition(is_answered);
        self.writes = pending;
        let mut replies = Vec::new();
        for PendingWrite { write, .. } in answered {
            match write {
                Write::Jobs(changes) => {
                    for change in changes {
                        self.scheduler.mark_stored(change.job, change.version);
                    }
                }
                Write::Placements(changes) => {
                    let jobs: Vec<JobId> = changes.iter().map(|change| change.job).collect();
                    self.scheduler.mark_placements_stored(&jobs, now);
                }
                Write::Recording => {}
                Write::Roster(agents) => {
                    self.roster = agents;
                    for report in std::mem::take(&mut self.awaiting_roster) {
                        replies.extend(self.receive(report, now));
                    }
                }
            }
        }
        replies
    }
}
