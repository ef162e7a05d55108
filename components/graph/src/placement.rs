//! The life cycle of a run on a worker: ordered, running, stopping.

use std::time::Duration;

use model::{JobId, Room, TaskRun};

use crate::job::UnitId;

/// A run in one state of its life cycle; it ends when the worker lists its end or cannot hold it any more.
#[derive(Debug, Clone)]
pub(crate) struct Run<S> {
    /// The job.
    pub(crate) job: JobId,
    /// The unit that the task belongs to.
    pub(crate) unit: UnitId,
    /// The task and the number of the run.
    pub(crate) id: TaskRun,
    /// What it takes of the worker until it has ended.
    pub(crate) resources: Room,
    /// When the order was decided.
    pub(crate) placed_at: Duration,
    /// What is known in this state.
    pub(crate) state: S,
}

/// The start was decided; the worker may or may not have begun.
#[derive(Debug, Clone)]
pub(crate) struct Starting {
    /// When the order was last sent.
    pub(crate) sent_at: Option<Duration>,
}

/// The worker lists the run.
#[derive(Debug, Clone)]
pub(crate) struct Running {
    /// When the run was first listed.
    pub(crate) started_at: Duration,
    /// Progress from 0 to 100.
    pub(crate) percent: u32,
    /// When the progress last changed.
    pub(crate) progressed_at: Duration,
    /// When the newest checkpoint was taken.
    pub(crate) checkpointed_at: Option<Duration>,
}

/// The run is to stop; the room stays taken until its end is known.
#[derive(Debug, Clone)]
pub(crate) struct Stopping {
    /// When the stop was last sent.
    pub(crate) sent_at: Option<Duration>,
    /// Whether the worker listed the run before.
    pub(crate) was_listed: bool,
}

impl<S> Run<S> {
    fn with<T>(self, state: T) -> Run<T> {
        Run {
            job: self.job,
            unit: self.unit,
            id: self.id,
            resources: self.resources,
            placed_at: self.placed_at,
            state,
        }
    }

    fn into_stopping(self, listed: bool) -> Run<Stopping> {
        self.with(Stopping {
            sent_at: None,
            was_listed: listed,
        })
    }
}

impl Run<Starting> {
    fn into_running(self, now: Duration) -> Run<Running> {
        self.with(Running {
            started_at: now,
            percent: 0,
            progressed_at: now,
            checkpointed_at: None,
        })
    }
}

/// A run in any state.
#[derive(Debug, Clone)]
pub(crate) enum Placement {
    /// Decided, not listed yet.
    Starting(Run<Starting>),
    /// Listed by the worker.
    Running(Run<Running>),
    /// To be stopped.
    Stopping(Run<Stopping>),
}

impl Placement {
    /// Creates a run that has to be started.
    pub(crate) fn new(job: JobId, unit: UnitId, run: TaskRun, room: Room, now: Duration) -> Self {
        Self::Starting(Run {
            job,
            unit,
            id: run,
            resources: room,
            placed_at: now,
            state: Starting { sent_at: None },
        })
    }

    /// Returns the run.
    pub(crate) fn run(&self) -> TaskRun {
        match self {
            Self::Starting(run) => run.id,
            Self::Running(run) => run.id,
            Self::Stopping(run) => run.id,
        }
    }

    /// Returns the job and the unit that the run belongs to.
    pub(crate) fn unit_key(&self) -> (JobId, UnitId) {
        match self {
            Self::Starting(run) => (run.job, run.unit),
            Self::Running(run) => (run.job, run.unit),
            Self::Stopping(run) => (run.job, run.unit),
        }
    }

    /// Returns what the run takes of its worker.
    pub(crate) fn resources(&self) -> Room {
        match self {
            Self::Starting(run) => run.resources,
            Self::Running(run) => run.resources,
            Self::Stopping(run) => run.resources,
        }
    }

    /// Returns whether the run is to stop.
    pub(crate) fn is_stopping(&self) -> bool {
        matches!(self, Self::Stopping(_))
    }

    /// Returns whether the worker has listed the run.
    pub(crate) fn was_listed(&self) -> bool {
        match self {
            Self::Starting(_) => false,
            Self::Running(_) => true,
            Self::Stopping(run) => run.state.was_listed,
        }
    }

    /// Returns the run, to be stopped, as if it had not been asked to stop before.
    pub(crate) fn into_unsent_stop(self) -> Self {
        match self {
            Self::Stopping(run) => {
                let listed = run.state.was_listed;
                Self::Stopping(run.into_stopping(listed))
            }
            other => other.into_stopping(),
        }
    }

    /// Returns the run, to be stopped.
    pub(crate) fn into_stopping(self) -> Self {
        match self {
            Self::Starting(run) => Self::Stopping(run.into_stopping(false)),
            Self::Running(run) => Self::Stopping(run.into_stopping(true)),
            stopping @ Self::Stopping(_) => stopping,
        }
    }

    /// Returns the run after the worker listed it.
    pub(crate) fn with_progress(self, now: Duration, percent: u32, saved: bool) -> Self {
        let mut run = match self {
            Self::Starting(run) => run.into_running(now),
            Self::Running(run) => run,
            stopping @ Self::Stopping(_) => return stopping,
        };
        if run.state.percent != percent {
            run.state.percent = percent;
            run.state.progressed_at = now;
        }
        if saved {
            run.state.checkpointed_at = Some(now);
        }
        Self::Running(run)
    }

    /// Returns how long the run would have to repeat if it was stopped now.
    pub(crate) fn time_since_checkpoint(&self, now: Duration) -> Duration {
        match self {
            Self::Running(run) => {
                now.saturating_sub(run.state.checkpointed_at.unwrap_or(run.state.started_at))
            }
            Self::Starting(_) | Self::Stopping(_) => Duration::ZERO,
        }
    }
}
