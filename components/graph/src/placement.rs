//! The life cycle of a run on a worker: starting, running, stopping.

use std::time::Duration;

use model::{JobId, ResourceVector, TaskRun};

use crate::job::{UnitId, UnitKey};

/// A run in state `S` of its life cycle. It ends when its worker reports the end or can no longer be running it.
#[derive(Debug, Clone)]
pub(crate) struct Run<S> {
    pub(crate) job: JobId,
    /// The unit that the task belongs to.
    pub(crate) unit: UnitId,
    /// The task and the number of the run.
    pub(crate) id: TaskRun,
    /// Resources it occupies on the worker until it has ended.
    pub(crate) resources: ResourceVector,
    /// When the run was placed.
    pub(crate) placed_at: Duration,
    /// Data of the state.
    pub(crate) state: S,
}

/// The run was placed but not reported as running; the worker may have started it.
#[derive(Debug, Clone)]
pub(crate) struct Starting {
    /// When the start order was last sent.
    pub(crate) sent_at: Option<Duration>,
}

/// The worker reported the run.
#[derive(Debug, Clone)]
pub(crate) struct Running {
    /// When the run was first reported.
    pub(crate) started_at: Duration,
    /// Progress from 0 to 100.
    pub(crate) percent: u32,
    /// When the percentage last changed.
    pub(crate) progressed_at: Duration,
    /// When a new checkpoint was last reported.
    pub(crate) checkpointed_at: Option<Duration>,
}

/// The run is being stopped; its resources stay occupied until its end is known.
#[derive(Debug, Clone)]
pub(crate) struct Stopping {
    /// When the stop order was last sent.
    pub(crate) sent_at: Option<Duration>,
    /// Whether the worker had reported the run.
    pub(crate) was_reported: bool,
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
            was_reported: listed,
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
    /// Placed, not reported by the worker yet.
    Starting(Run<Starting>),
    /// Reported by the worker.
    Running(Run<Running>),
    /// Being stopped.
    Stopping(Run<Stopping>),
}

impl Placement {
    /// Creates a run whose start order has not been sent.
    pub(crate) fn new(
        job: JobId,
        unit: UnitId,
        run: TaskRun,
        resources: ResourceVector,
        now: Duration,
    ) -> Self {
        Self::Starting(Run {
            job,
            unit,
            id: run,
            resources,
            placed_at: now,
            state: Starting { sent_at: None },
        })
    }

    /// Returns the task and the run number.
    pub(crate) fn run(&self) -> TaskRun {
        match self {
            Self::Starting(run) => run.id,
            Self::Running(run) => run.id,
            Self::Stopping(run) => run.id,
        }
    }

    /// Returns the key of the unit that the run belongs to.
    pub(crate) fn unit_key(&self) -> UnitKey {
        match self {
            Self::Starting(run) => (run.job, run.unit),
            Self::Running(run) => (run.job, run.unit),
            Self::Stopping(run) => (run.job, run.unit),
        }
    }

    /// Returns the resources that the run occupies on its worker.
    pub(crate) fn resources(&self) -> ResourceVector {
        match self {
            Self::Starting(run) => run.resources,
            Self::Running(run) => run.resources,
            Self::Stopping(run) => run.resources,
        }
    }

    /// Returns whether the run is being stopped.
    pub(crate) fn is_stopping(&self) -> bool {
        matches!(self, Self::Stopping(_))
    }

    /// Returns whether the worker has ever reported the run.
    pub(crate) fn was_reported(&self) -> bool {
        match self {
            Self::Starting(_) => false,
            Self::Running(_) => true,
            Self::Stopping(run) => run.state.was_reported,
        }
    }

    /// Marks the run for stopping and forgets stop orders sent before, so that the stop is sent at once.
    pub(crate) fn into_unsent_stop(self) -> Self {
        match self {
            Self::Stopping(run) => {
                let listed = run.state.was_reported;
                Self::Stopping(run.into_stopping(listed))
            }
            other => other.into_stopping(),
        }
    }

    /// Marks the run for stopping.
    pub(crate) fn into_stopping(self) -> Self {
        match self {
            Self::Starting(run) => Self::Stopping(run.into_stopping(false)),
            Self::Running(run) => Self::Stopping(run.into_stopping(true)),
            stopping @ Self::Stopping(_) => stopping,
        }
    }

    /// Applies progress reported by the worker; `checkpointed` tells whether the report has a new checkpoint.
    pub(crate) fn with_progress(self, now: Duration, percent: u32, checkpointed: bool) -> Self {
        let mut run = match self {
            Self::Starting(run) => run.into_running(now),
            Self::Running(run) => run,
            stopping @ Self::Stopping(_) => return stopping,
        };
        if run.state.percent != percent {
            run.state.percent = percent;
            run.state.progressed_at = now;
        }
        if checkpointed {
            run.state.checkpointed_at = Some(now);
        }
        Self::Running(run)
    }

    /// Returns the run time since the last checkpoint, which would be repeated if the run was killed now.
    pub(crate) fn time_since_checkpoint(&self, now: Duration) -> Duration {
        match self {
            Self::Running(run) => {
                now.saturating_sub(run.state.checkpointed_at.unwrap_or(run.state.started_at))
            }
            Self::Starting(_) | Self::Stopping(_) => Duration::ZERO,
        }
    }
}
