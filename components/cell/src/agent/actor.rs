//! Event loop of an agent.

use std::sync::Arc;
use std::time::Duration;

use errors::Result;
use indexmap::IndexMap;
use model::{Epoch, Incarnation, Instructions, JobId, TaskRun};
use tokio::sync::{Semaphore, mpsc};

use crate::agent::WorkerNotice;
use crate::agent::link::Link;
use crate::agent::orders::StartOutcome;
use crate::agent::polls::{PollKind, Probes};
use crate::agent::state::State;
use crate::agent::worker_client::{PollReply, WorkerClient};
use crate::clock::boot_now;
use crate::dependency::Dependency;
use crate::settings::AgentSettings;
use crate::supervise;

/// Delay after a failed report.
const REPORT_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Delay between reports while the worker has not confirmed the epoch of the owner.
const UNCONFIRMED_REPORT_DELAY: Duration = Duration::from_millis(250);
/// Maximum number of reports in flight: one waits at the owner while another delivers changes.
const MAX_REPORTS_IN_FLIGHT: u32 = 2;
/// Maximum number of starts, and of stops, that are sent to the worker at the same time; each may open a connection.
const MAX_ORDER_CALLS: usize = 16;
const EVENT_QUEUE_CAPACITY: usize = 256;
/// Delay after an entry reported no newer owner, or did not answer.
const OWNER_FOLLOW_DELAY: Duration = Duration::from_millis(200);

/// An event to be handled by the agent.
pub(super) enum Event {
    Polled {
        result: Result<PollReply>,
        epoch: Epoch,
        requested_at: Duration,
        kind: PollKind,
    },
    Started(TaskRun, StartOutcome),
    Stopped {
        run: TaskRun,
        /// Incarnation of the worker when the stop was sent.
        sent_to: Option<Incarnation>,
        result: Result<()>,
    },
    InstructionsReceived {
        result: Result<Instructions>,
        /// Value of `owner_changes` when the report was sent.
        owner_changes: u64,
    },
    OwnerChanged,
    PollDue,
    ProbeDue,
    /// The leases may have lapsed, unless the worker answers.
    LapseDue,
    /// The probation of a run on trial is over if the worker still answers.
    TrialDue,
    ReportDue,
}

/// The agent of one worker.
pub(crate) struct Actor {
    pub(super) state: State,
    pub(super) client: Arc<dyn WorkerClient>,
    link: Arc<Link>,
    pub(super) tx: mpsc::Sender<Event>,
    rx: mpsc::Receiver<Event>,
    reports_in_flight: u32,
    /// Number of owner changes that an entry reported. Replies to reports from before the latest one
    /// are ignored.
    owner_changes: u64,
    /// Whether the worker answers polls.
    pub(super) worker_availability: Dependency,
    pub(super) probes: Probes,
    /// Starts that are sent to the worker at the same time.
    pub(super) start_calls: Arc<Semaphore>,
    /// Stops that are sent to the worker at the same time.
    pub(super) stop_calls: Arc<Semaphore>,
    /// Whether the end of the leases is being awaited.
    pub(super) lapse_awaited: bool,
    pub(super) report_due: bool,
}

impl Actor {
    pub(crate) fn new(
        settings: AgentSettings,
        client: Arc<dyn WorkerClient>,
        link: Arc<Link>,
    ) -> Self {
        let (tx, rx) = mpsc::channel(EVENT_QUEUE_CAPACITY);
        Self {
            state: State::new(settings, boot_now()),
            client,
            link,
            tx,
            rx,
            reports_in_flight: 0,
            owner_changes: 0,
            worker_availability: Dependency::new(false),
            probes: Probes::default(),
            start_calls: Arc::new(Semaphore::new(MAX_ORDER_CALLS)),
            stop_calls: Arc::new(Semaphore::new(MAX_ORDER_CALLS)),
            lapse_awaited: false,
            report_due: false,
        }
    }

    /// Runs until the task is cancelled or all handles are dropped.
    pub(crate) async fn run(mut self, notices: &mut mpsc::Receiver<WorkerNotice>) {
        self.poll_regularly();
        self.await_lapse(boot_now());
        self.report();
        let (link, tx) = (Arc::clone(&self.link), self.tx.clone());
        supervise::spawn("owner_changes", move || {
            follow_owner(Arc::clone(&link), tx.clone())
        });
        loop {
            tokio::select! {
                notice = notices.recv() => match notice {
                    Some(notice) => self.handle_notice(notice),
                    None => return,
                },
                Some(event) = self.rx.recv() => self.handle_event(event),
            }
            while let Ok(event) = self.rx.try_recv() {
                self.handle_event(event);
            }
            if self.report_due {
                self.report();
            }
        }
    }

    fn handle_notice(&mut self, notice: WorkerNotice) {
        match notice {
            WorkerNotice::Announced(announcement) => {
                self.report_due |= self.state.apply_announcement(announcement, boot_now());
                self.probe_if_needed();
            }
            WorkerNotice::Leaving(name) => {
                log::info!(target: "limpethook", worker:% = name; "worker_leaving");
                self.state.mark_leaving(&name, boot_now());
                self.probe_if_needed();
                self.report_due = true;
            }
        }
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Polled {
                result,
                epoch,
                requested_at,
                kind,
            } => self.handle_poll_result(result, epoch, requested_at, kind),
            Event::Started(run, outcome) => self.handle_start_outcome(run, outcome),
            Event::Stopped {
                run,
                sent_to,
                result,
            } => self.handle_stop_result(run, sent_to, result),
            Event::InstructionsReceived {
                result,
                owner_changes,
            } => {
                if owner_changes == self.owner_changes {
                    self.handle_instructions(result);
                }
            }
            Event::OwnerChanged => {
                // Reports to the previous owner may stay unanswered until they time out.
                self.owner_changes += 1;
                self.reports_in_flight = 0;
                self.report();
            }
            Event::PollDue => self.poll_regularly(),
            Event::ProbeDue => self.handle_probe_due(),
            Event::LapseDue => self.handle_lapse_due(),
            Event::TrialDue => self.poll_extra(),
            Event::ReportDue => {
                if self.reports_in_flight == 0 {
                    self.report();
                }
            }
        }
    }

    pub(super) fn send_after(&self, delay: Duration, event: Event) {
        let tx = self.tx.clone();
        tokio::spawn(async move {
            tokio::time::sleep(delay).await;
            // The send fails only if the agent has ended.
            let _ = tx.send(event).await;
        });
    }

    fn report(&mut self) {
        if self.reports_in_flight >= MAX_REPORTS_IN_FLIGHT {
            return;
        }
        self.report_due = false;
        self.reports_in_flight += 1;
        let report = self.state.report(boot_now());
        let link = Arc::clone(&self.link);
        let epoch = self.state.epoch;
        let owner_changes = self.owner_changes;
        let tx = self.tx.clone();
        tokio::spawn(async move {
            let report = supervise::catch_panic("report", link.report(report, epoch)).await;
            let event = Event::InstructionsReceived {
                result: report.flatten(),
                owner_changes,
            };
            // The send fails only if the agent has ended.
            let _ = tx.send(event).await;
        });
    }

    fn handle_instructions(&mut self, instructions: Result<Instructions>) {
        self.reports_in_flight -= 1;
        match instructions {
            Ok(instructions) => {
                self.apply_instructions(instructions);
                if self.reports_in_flight > 0 {
                    return;
                }
                if self.state.confirmed_epoch == self.state.epoch {
                    self.report();
                } else {
                    self.send_after(UNCONFIRMED_REPORT_DELAY, Event::ReportDue);
                }
            }
            Err(report) => {
                log::debug!(target: "limpethook", error:% = report.current_context(); "report_failed");
                if self.reports_in_flight == 0 {
                    self.send_after(REPORT_RETRY_DELAY, Event::ReportDue);
                }
            }
        }
    }

    fn apply_instructions(&mut self, instructions: Instructions) {
        if instructions.epoch < self.state.epoch {
            return;
        }
        self.state.forget_crashes(&instructions.stored_crashes);
        if instructions.epoch > self.state.epoch {
            log::info!(target: "limpethook", epoch = instructions.epoch, before = self.state.epoch; "owner_epoch_adopted");
            self.state.adopt_epoch(instructions.epoch);
            self.poll_extra();
        }
        let renewable_until = instructions.report_sent_at + self.state.max_lease();
        self.state.renewable_until = self.state.renewable_until.max(renewable_until);
        if instructions.incarnation != self.state.incarnation {
            return;
        }
        self.state.acknowledged = self.state.acknowledged.max(instructions.acknowledged);
        // All starts of a job share its body.
        let bodies = instructions.bodies.into_iter();
        let bodies: IndexMap<JobId, Arc<str>> =
            bodies.map(|(job, body)| (job, body.into())).collect();
        let expires_at = self.state.orders_expire_at(instructions.report_sent_at);
        let is_late = boot_now() > expires_at;
        if is_late && !instructions.starts.is_empty() {
            log::warn!(
                target: "limpethook",
                starts = instructions.starts.len(), report_sent_ms = instructions.report_sent_at.as_millis();
                "late_starts_dropped"
            );
        }
        let starts = instructions.starts.into_iter();
        for order in starts.filter(|_| !is_late) {
            let body = bodies.get(&order.run.task.job).cloned();
            self.start(order, body.unwrap_or_else(|| Arc::from("")), expires_at);
        }
        for run in instructions.stops {
            self.stop(run);
        }
    }
}

/// Notifies the agent of each new owner, so that it does not wait for a reply of the previous one.
async fn follow_owner(link: Arc<Link>, tx: mpsc::Sender<Event>) {
    while !tx.is_closed() {
        if link.wait_for_newer_owner().await {
            // The send fails only if the agent has ended.
            let _ = tx.send(Event::OwnerChanged).await;
        } else {
            tokio::time::sleep(OWNER_FOLLOW_DELAY).await;
        }
    }
}
