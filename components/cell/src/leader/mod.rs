//! The owner of the cell: schedules all workers while it holds the lease.

mod actor;
mod job_watch;
mod load;
mod published;
mod writer;

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use errors::{Error, ErrorKind, Result};
use graph::StepId;
use indexmap::IndexSet;
use model::{AcceptedJob, AgentId, Epoch, Instructions, JobEnd, JobId, Revision, WorkerReport};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::JoinHandle;
use tokio_util::sync::{CancellationToken, DropGuard};
use wire::Leader;

use crate::admission::Admission;
use crate::advisor::Approval;
use crate::clock::boot_now;
use crate::entry::Entry;
use crate::leader::writer::{StoredJob, WriteKind};
use crate::metrics::OwnerMetrics;
use crate::serve::not_owner_error;
use crate::supervise;

pub use published::JobStates;

pub(crate) use load::read_progress;
pub(crate) use published::{Leading, Loading, Owner, OwnerBoard};

/// Capacity of the event queue; senders wait while it is full.
const EVENT_QUEUE_CAPACITY: usize = 1024;
/// How long an attempt to renew the lease that the store left unanswered tells that this process was not paused. In an outage, two
/// attempts end at most 1.5 s after each other.
const ATTEMPT_VALIDITY: Duration = Duration::from_secs(2);

/// An event to be handled by the owner.
#[derive(Debug)]
pub(crate) enum Event {
    /// An agent reported.
    Report {
        report: WorkerReport,
        /// Receives the instructions.
        tx: oneshot::Sender<Instructions>,
    },
    /// The record of a job was stored.
    JobStored {
        id: JobId,
        job: Arc<AcceptedJob>,
        /// Revision of the record.
        revision: Revision,
        /// Room that is reserved for the job until its owner counts it.
        admission: Option<Admission>,
    },
    /// An entry asks whether a job is known, before it refuses it.
    JobAsked {
        id: JobId,
        /// Receives the answer.
        tx: oneshot::Sender<bool>,
    },
    /// The record of an ended job was stored, by this owner or for a job that was cancelled before it was submitted.
    JobEnded(JobId, JobEnd),
    /// The record of a job was deleted from the store.
    JobDeleted(JobId),
    /// The store has records of these jobs only; earlier changes were missed.
    JobsListed(IndexSet<JobId>),
    /// The cancellation of a job was stored.
    JobCancelled(JobId),
    /// The earlier owners have ended or have stepped down.
    PreviousEnded,
    /// The advisor answered a request for approval.
    StepApproved {
        step: StepId,
        approval: Approval,
        /// When the advisor was asked, on the boot clock.
        requested_at: Duration,
    },
    /// These versions of jobs were stored.
    JobsWritten {
        /// Kind of the write that finished.
        kind: WriteKind,
        jobs: Vec<StoredJob>,
    },
    /// The agents on which these jobs may have runs were stored.
    PlacementsWritten {
        jobs: Vec<JobId>,
        /// Revision of the records.
        revision: Revision,
    },
    /// The roster was stored.
    RosterWritten {
        /// Agents on the roster.
        agents: IndexSet<AgentId>,
        /// Revision of the roster.
        revision: Revision,
    },
}

impl Event {
    /// Returns the name of the event in metrics.
    fn name(&self) -> &'static str {
        match self {
            Self::Report { .. } => "report",
            Self::JobStored { .. } => "job_stored",
            Self::JobAsked { .. } => "job_asked",
            Self::JobEnded(..) => "job_ended",
            Self::JobDeleted(_) => "job_forgotten",
            Self::JobsListed(_) => "jobs_listed",
            Self::JobCancelled(_) => "job_cancelled",
            Self::PreviousEnded => "previous_ended",
            Self::StepApproved { .. } => "step_approved",
            Self::JobsWritten { .. } => "jobs_written",
            Self::PlacementsWritten { .. } => "placements_written",
            Self::RosterWritten { .. } => "roster_written",
        }
    }
}

/// Handle to the owner in this process.
#[derive(Debug, Clone)]
pub(crate) struct LeaderHandle {
    tx: mpsc::Sender<Event>,
    pub(crate) epoch: Epoch,
    valid_until_ms: Arc<AtomicU64>,
    /// Until when this owner may state what it knows, in milliseconds on the boot clock.
    current_until_ms: Arc<AtomicU64>,
    /// Whether the stored records name all agents on which jobs may have runs.
    recorded: Arc<watch::Sender<bool>>,
    end: CancellationToken,
}

impl LeaderHandle {
    /// Sends an event to the owner.
    pub(crate) async fn send(&self, event: Event) -> Result<()> {
        self.tx.send(event).await.map_err(|_| not_owner_error())
    }

    /// Returns whether the owner knows a job, after all events that were sent before.
    pub(crate) async fn knows(&self, id: JobId) -> Result<bool> {
        let (tx, rx) = oneshot::channel();
        self.send(Event::JobAsked { id, tx }).await?;
        rx.await.map_err(|_| not_owner_error())
    }

    /// Sends a report and returns the instructions, as soon as there are any or after a limited
    /// wait.
    pub(crate) async fn report(&self, report: WorkerReport) -> Result<Instructions> {
        let (tx, rx) = oneshot::channel();
        self.send(Event::Report { report, tx }).await?;
        rx.await.map_err(|_| {
            Error::not_run(
                ErrorKind::StaleEpoch,
                "the ownership ended before the report was answered",
            )
            .report()
        })
    }

    /// Lets the owner give orders until this time on the boot clock.
    pub(crate) fn extend(&self, valid_until: Duration) {
        self.valid_until_ms
            .store(millis(valid_until), Ordering::Release);
        self.remain_current(valid_until);
    }

    /// Returns whether the lease of the owner can't have lapsed.
    pub(crate) fn is_valid(&self, now: Duration) -> bool {
        now < Duration::from_millis(self.valid_until_ms.load(Ordering::Acquire))
    }

    /// Records that the store has just left an attempt to renew the lease unanswered.
    pub(crate) fn record_unanswered(&self) {
        self.remain_current(boot_now() + ATTEMPT_VALIDITY);
    }

    fn remain_current(&self, until: Duration) {
        self.current_until_ms
            .fetch_max(millis(until), Ordering::AcqRel);
    }

    /// Returns whether this owner may state what it knows. Without an answer of the store it goes on beyond its lease, but a
    /// process that was paused first has to learn whether another owner has replaced it.
    pub(crate) fn is_current(&self, now: Duration) -> bool {
        let until = Duration::from_millis(self.current_until_ms.load(Ordering::Acquire));
        !self.has_ended() && now < until
    }

    /// Records that the stored records name all agents on which jobs may have runs.
    pub(crate) fn mark_recorded(&self) {
        self.recorded.send_replace(true);
    }

    /// Waits until the stored records name all agents on which jobs may have runs.
    pub(crate) async fn wait_until_recorded(&self) {
        // The sender lives as long as this handle.
        let _ = self
            .recorded
            .subscribe()
            .wait_for(|recorded| *recorded)
            .await;
    }

    /// Runs a future until the owner ends.
    pub(crate) fn until_ended<F: Future>(
        &self,
        future: F,
    ) -> impl Future<Output = Option<F::Output>> + use<F> {
        self.end.clone().run_until_cancelled_owned(future)
    }

    pub(crate) fn end(&self) {
        self.end.cancel();
    }

    /// Ends the owner when the returned value is dropped.
    pub(crate) fn end_on_drop(&self) -> DropGuard {
        self.end.clone().drop_guard()
    }

    pub(crate) fn has_ended(&self) -> bool {
        self.end.is_cancelled()
    }

    /// Waits until the owner has ended because another entry took over.
    pub(crate) async fn wait_until_ended(&self) {
        self.end.cancelled().await;
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

/// An owner that was started, and the task that runs it.
pub(crate) struct Started {
    pub(crate) owner: Owner<Loading>,
    pub(crate) scheduling: JoinHandle<()>,
}

/// Loads the records and starts the owner; `relies_on_records` tells whether all earlier owners kept records of placements.
pub(crate) async fn start(
    entry: &Arc<Entry>,
    leader: &Leader,
    relies_on_records: bool,
    valid_until: Duration,
) -> Result<Started> {
    let loaded = load::load(entry).await?;
    let metrics = OwnerMetrics::new()
        .map_err(|e| Error::not_run(ErrorKind::Internal, format!("metrics: {e}")).report())?;
    let (tx, rx) = mpsc::channel(EVENT_QUEUE_CAPACITY);
    let handle = LeaderHandle {
        tx,
        epoch: leader.epoch,
        valid_until_ms: Arc::new(AtomicU64::new(millis(valid_until))),
        current_until_ms: Arc::new(AtomicU64::new(millis(valid_until))),
        recorded: Arc::new(watch::Sender::new(false)),
        end: CancellationToken::new(),
    };
    let job_watch = job_watch::run(Arc::clone(entry), handle.clone(), loaded.revision);
    let (entry, epoch, running) = (Arc::clone(entry), leader.epoch, handle.clone());
    let (loaded_tx, loaded_rx) = oneshot::channel();
    let scheduling = async move {
        // The construction applies the records, so it is supervised as well.
        let actor = actor::Actor::new(entry, running, epoch, relies_on_records, loaded, metrics);
        // The ownership may have ended.
        let _ = loaded_tx.send(actor.board());
        actor.run(rx).await;
    };
    let scheduling = tokio::spawn(end_with(handle.clone(), "owner", scheduling));
    tokio::spawn(end_with(
        handle.clone(),
        "job_watch",
        handle.until_ended(job_watch),
    ));
    let state = Loading { loaded: loaded_rx };
    Ok(Started {
        owner: Owner { handle, state },
        scheduling,
    })
}

/// Runs a part of the owner. The ownership ends with it, so that another entry takes over if it panics.
async fn end_with<T>(handle: LeaderHandle, name: &str, part: impl Future<Output = T>) {
    // The panic has been logged.
    let _ = supervise::catch_panic(name, part).await;
    handle.end();
}
