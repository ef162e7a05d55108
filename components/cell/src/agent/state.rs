//! State of a worker as known to its agent, and the reports built from it.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use graph::{PROBATION, lapse_after};
use indexmap::{IndexMap, IndexSet};
use model::{
    EndReport, Epoch, Incarnation, Refusal, ResourceVector, ServiceId, StartOrder, TaskRun,
    WorkerCrash,
};
use tokio_util::sync::CancellationToken;

use crate::agent::StartReply;
use crate::agent::candidates::Candidates;
use crate::agent::sightings::Sightings;
use crate::agent::worker_client::ListedRun;
use crate::settings::AgentSettings;

/// How long the outcome of an order is kept in case the order is repeated.
pub(super) const OUTCOME_RETENTION: Duration = Duration::from_mins(1);

/// Maximum number of crashes that are kept for the owner. Without an owner nothing is started, so that workers crash
/// seldom.
const MAX_UNSTORED_CRASHES: usize = 16;

/// State of an order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum OrderState {
    /// The start was sent but not answered yet.
    Starting,
    /// No attempt to send the start was answered; it may still be carried out.
    Unanswered,
    /// The worker started the run.
    Started,
    /// The worker refused the start.
    Refused(Refusal),
    /// The stop was sent but not answered yet.
    Stopping,
    /// Since this time, the run can no longer begin; the next poll shows whether it ended on the
    /// worker.
    Stopped(Duration),
    /// The run was stopped before it began, or it ended long ago.
    Gone,
}

/// A start that waits for a poll.
#[derive(Debug)]
pub(crate) struct DeferredStart {
    pub(super) order: StartOrder,
    /// Body of the job.
    pub(super) body: Arc<str>,
    pub(super) received_at: Duration,
    /// When the order is no longer valid.
    pub(super) expires_at: Duration,
}

#[derive(Debug)]
pub(crate) struct State {
    pub(super) settings: AgentSettings,
    pub(crate) name: Box<str>,
    pub(crate) incarnation: Option<Incarnation>,
    pub(super) sequence: u64,
    /// Names that the present process has rejected as not its own.
    pub(super) rejected_names: IndexSet<Box<str>>,
    pub(super) service: ServiceId,
    pub(super) capacity: ResourceVector,
    pub(super) labels: Vec<Box<str>>,
    /// Until when the worker runs slower than usual because it has just started.
    pub(super) cold_until: Duration,
    /// When the worker leaves, if it is draining.
    pub(super) leaves_at: Option<Duration>,
    /// Highest epoch of an owner.
    pub(crate) epoch: Epoch,
    /// Highest epoch that the worker has confirmed.
    pub(crate) confirmed_epoch: Epoch,
    /// When this process started tracking the worker.
    pub(super) started_at: Duration,
    /// When the latest accepted poll of this incarnation was sent.
    pub(super) last_poll_at: Option<Duration>,
    /// Leases may be renewed until this time.
    pub(crate) renewable_until: Duration,
    /// Clock of the worker and boot clock, read at the same moment.
    pub(super) clock_sample: Option<(Duration, Duration)>,
    /// All leases have expired by this time.
    pub(super) leases_expire_at: Duration,
    /// When the latest accepted reply to a poll was received.
    pub(super) last_reply_at: Duration,
    /// Clock of the worker in the latest lists of this incarnation, and when they were received.
    pub(super) newest_list: Option<(Duration, Duration)>,
    /// Number of regular polls in a row that were refused.
    pub(super) refused_connections: u32,
    /// Since when nothing can be running on the worker, until it answers a later poll.
    pub(super) absent_since: Option<Duration>,
    pub(crate) acknowledged: u64,
    pub(crate) orders: IndexMap<TaskRun, (OrderState, Duration)>,
    /// Starts that are still being sent, whatever the state of their orders; cancelling a token
    /// stops further attempts.
    pub(super) start_retries: IndexMap<TaskRun, CancellationToken>,
    /// Runs with a start attempt that was not answered, and when that was known. The attempt may still be carried out,
    /// also by a later incarnation.
    pub(super) unanswered_starts: IndexMap<TaskRun, Duration>,
    /// Runs that the current incarnation has to reject, because an attempt to start them in an earlier one may still
    /// arrive.
    pub(super) stray_starts: Vec<TaskRun>,
    /// Starts that wait for a poll.
    pub(super) deferred_starts: IndexMap<TaskRun, DeferredStart>,
    /// Announcements of incarnations that no poll has named.
    pub(super) candidates: Candidates,
    /// Since when a poll is needed, beside those that candidates ask for.
    pub(super) probe_requested_at: Option<Duration>,
    /// Services that were announced in place of the configured one, and were logged.
    pub(super) unknown_services: IndexSet<ServiceId>,
    /// When a poll last failed.
    pub(super) poll_failed_at: Duration,
    pub(super) listed: Vec<ListedRun>,
    pub(super) ends: Vec<EndReport>,
    /// Whether the latest lists hold all runs and ends.
    pub(super) lists_complete: bool,
    pub(super) leaving: bool,
    /// What the current incarnation is known to have run.
    pub(super) sightings: Sightings,
    /// Whether the current incarnation has crashed.
    pub(super) crashed: bool,
    /// Crashes that no owner has stored yet, oldest first.
    pub(super) crashes: VecDeque<WorkerCrash>,
    /// Runs of which the owner waits to learn that they have survived their probation.
    pub(super) trials: IndexSet<TaskRun>,
}

impl State {
    /// Creates the state of an agent that has not been in contact with its worker yet.
    pub(crate) fn new(settings: AgentSettings, now: Duration) -> Self {
        Self {
            started_at: now,
            last_poll_at: None,
            service: settings.service.clone(),
            settings,
            name: Box::default(),
            incarnation: None,
            sequence: 0,
            rejected_names: IndexSet::new(),
            capacity: ResourceVector::default(),
            labels: Vec::new(),
            cold_until: Duration::ZERO,
            leaves_at: None,
            epoch: 0,
            confirmed_epoch: 0,
            renewable_until: Duration::ZERO,
            clock_sample: None,
            leases_expire_at: Duration::ZERO,
            last_reply_at: Duration::ZERO,
            newest_list: None,
            refused_connections: 0,
            absent_since: None,
            acknowledged: 0,
            orders: IndexMap::new(),
            start_retries: IndexMap::new(),
            unanswered_starts: IndexMap::new(),
            stray_starts: Vec::new(),
            deferred_starts: IndexMap::new(),
            candidates: Candidates::default(),
            probe_requested_at: None,
            unknown_services: IndexSet::new(),
            poll_failed_at: Duration::ZERO,
            listed: Vec::new(),
            ends: Vec::new(),
            lists_complete: false,
            leaving: false,
            sightings: Sightings::default(),
            crashed: false,
            crashes: VecDeque::new(),
            trials: IndexSet::new(),
        }
    }

    /// Returns the longest lease that the worker grants.
    pub(crate) fn max_lease(&self) -> Duration {
        self.settings.max_lease
    }

    /// Returns when the orders are no longer valid that answer the report sent at a time. What an order says may be withdrawn
    /// later, as by the evacuation of the data centre. A time of zero stands for a report that renewed no lease.
    pub(crate) fn orders_expire_at(&self, report_sent_at: Duration) -> Duration {
        match self.settings.order_validity {
            Some(validity) if !report_sent_at.is_zero() => report_sent_at + validity,
            _ => Duration::MAX,
        }
    }

    /// Returns whether the worker accepts no new tasks.
    pub(crate) fn is_draining(&self) -> bool {
        self.leaves_at.is_some() || self.leaving
    }

    /// Marks the worker as leaving if it has announced under this name that it drains. Any other departure only asks for a
    /// poll: it may be of an earlier process with the same name, or have another sender.
    pub(crate) fn mark_leaving(&mut self, name: &str, now: Duration) {
        if *self.name == *name && self.leaves_at.is_some() {
            self.leaving = true;
        } else {
            self.request_probe(now);
        }
    }

    /// Records that the current incarnation of the worker has crashed, with everything that ran on it, which does not
    /// include the runs `found` on the next incarnation. A worker that was draining has ended as planned, and the runs of one
    /// that is absent have lapsed.
    pub(super) fn record_crash(&mut self, found: &[TaskRun]) {
        let Some(incarnation) = self
            .incarnation
            .filter(|_| !self.crashed && self.absent_since.is_none())
        else {
            return;
        };
        self.crashed = true;
        if self.is_draining() {
            return;
        }
        let may_have_started = |order: &OrderState| {
            matches!(
                order,
                OrderState::Starting | OrderState::Unanswered | OrderState::Stopping
            )
        };
        let unanswered = self.orders.iter();
        let unanswered = unanswered.filter(|(_, (order, _))| may_have_started(order));
        let unanswered: Vec<TaskRun> = unanswered.map(|(run, _)| *run).collect();
        let mut runs = self.sightings.crashed_runs(&unanswered);
        runs.retain(|crashed| !found.contains(&crashed.run));
        let crash = WorkerCrash { incarnation, runs };
        log::warn!(
            target: "limpethook",
            incarnation = incarnation, runs = crash.runs.len(), survived:% = SurvivalTimes(&crash);
            "worker_crashed"
        );
        if crash.runs.is_empty() {
            return;
        }
        if self.crashes.len() >= MAX_UNSTORED_CRASHES {
            self.crashes.pop_front();
        }
        self.crashes.push_back(crash);
    }

    /// Forgets the crashes that the owner has stored.
    pub(crate) fn forget_crashes(&mut self, stored: &[Incarnation]) {
        self.crashes
            .retain(|crash| !stored.contains(&crash.incarnation));
    }

    /// Records that the owner waits to learn that a run has survived its probation.
    pub(crate) fn begin_trial(&mut self, run: TaskRun) {
        self.trials.insert(run);
    }

    /// Returns whether a run is on trial.
    pub(crate) fn is_on_trial(&self, run: TaskRun) -> bool {
        self.trials.contains(&run)
    }

    /// Ends the trials of the runs that have survived their probation, and of those that ended before; returns whether
    /// there are any.
    pub(super) fn end_trials(&mut self) -> bool {
        let before = self.trials.len();
        let (sightings, orders) = (&self.sightings, &self.orders);
        self.trials.retain(|run| match sightings.survived(*run) {
            Some(survived) => survived < PROBATION,
            None => matches!(orders.get(run), Some((OrderState::Starting, _))),
        });
        self.trials.len() < before
    }

    /// Adopts the epoch of a new owner. Starts that still wait were ordered by the previous one, and the new one does not
    /// know of them.
    pub(crate) fn adopt_epoch(&mut self, epoch: Epoch) {
        self.epoch = epoch;
        self.deferred_starts.clear();
    }

    /// Returns the end of a lease on the clock of the worker, if leases may be renewed and the
    /// clock is known.
    pub(crate) fn lease_end(&mut self, now: Duration) -> Option<Duration> {
        let (clock, at) = self.clock_sample?;
        let left = self.renewable_until.checked_sub(now)?;
        let left = left.min(self.settings.max_lease);
        if left.is_zero() {
            return None;
        }
        self.leases_expire_at = self.leases_expire_at.max(now + lapse_after(left));
        Some(clock + now.saturating_sub(at) + left)
    }

    /// Marks a start as being sent. Cancelling the returned token stops further attempts.
    pub(crate) fn begin_start(&mut self, run: TaskRun, now: Duration) -> CancellationToken {
        self.orders.insert(run, (OrderState::Starting, now));
        let retries_cancelled = CancellationToken::new();
        self.start_retries.insert(run, retries_cancelled.clone());
        retries_cancelled
    }

    /// Stops further attempts to send a start; the one in flight continues.
    pub(crate) fn cancel_start_retries(&self, run: TaskRun) {
        if let Some(retries_cancelled) = self.start_retries.get(&run) {
            retries_cancelled.cancel();
        }
    }

    /// Records the reply to a start, or that none of the attempts was answered.
    pub(crate) fn record_start_reply(
        &mut self,
        run: TaskRun,
        reply: Option<StartReply>,
        now: Duration,
    ) {
        self.start_retries.swap_remove(&run);
        if !matches!(self.orders.get(&run), Some((OrderState::Starting, _))) {
            return;
        }
        if reply.is_some() {
            self.sightings.record_answer(now);
            self.refused_connections = 0;
        }
        if reply == Some(StartReply::Yes) {
            self.sightings.record_start(run, now);
        }
        let order = match reply {
            Some(StartReply::Yes) => OrderState::Started,
            // Not carried out, but an earlier attempt may be; the owner sends the order again.
            Some(StartReply::Late | StartReply::Misdirected) | None => OrderState::Unanswered,
            // The run existed before: an earlier attempt was carried out, and the next poll shows
            // its end.
            Some(StartReply::Refused(Refusal::Outdated)) => OrderState::Stopped(now),
            Some(StartReply::Refused(refusal)) => OrderState::Refused(refusal),
        };
        self.orders.insert(run, (order, now));
    }

    /// Records that an attempt to start a run was not answered.
    pub(crate) fn record_unanswered_start(&mut self, run: TaskRun, now: Duration) {
        self.unanswered_starts
            .retain(|_, since| now < *since + OUTCOME_RETENTION);
        self.unanswered_starts.insert(run, now);
    }

    pub(super) fn listed_runs(&self) -> IndexSet<TaskRun> {
        self.listed.iter().map(|listed| listed.run).collect()
    }

    pub(super) fn ended_runs(&self) -> IndexSet<TaskRun> {
        self.ends.iter().map(|end| end.run).collect()
    }
}

/// Formats the runs of a crash for the log: how long each is known to have lived.
struct SurvivalTimes<'a>(&'a WorkerCrash);

impl std::fmt::Display for SurvivalTimes<'_> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        for (index, crashed) in self.0.runs.iter().enumerate() {
            let separator = if index == 0 { "" } else { "," };
            write!(f, "{separator}{}/{}:", crashed.run.task, crashed.run.run)?;
            match crashed.survived {
                Some(survived) => write!(f, "{}ms", survived.as_millis())?,
                None => write!(f, "unanswered")?,
            }
        }
        Ok(())
    }
}
