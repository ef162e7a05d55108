//! The life cycle of a run on a worker: starting, running, stopping.

use std::time::Duration;

use model::{JobId, ResourceVector, TaskRun};

use crate::crashes::PROBATION;
use crate::job::{UnitId, UnitKey};

/// Progress from which the pace of a run tells when it will end.
const MIN_PERCENT_FOR_PACE: u32 = 10;

/// A run placed on a worker, in state `S` of its life cycle.
///
/// The placement is removed when the end of the run is reported, or when the worker can no longer be executing it.
#[derive(Debug, Clone)]
pub(crate) struct Placement<S> {
    pub(crate) job: JobId,
    /// The unit that the task belongs to.
    pub(crate) unit: UnitId,
    /// The task and the number of the run.
    pub(crate) task_run: TaskRun,
    /// Resources that the run occupies on the worker until it has ended.
    pub(crate) resources: ResourceVector,
    /// When the run was placed.
    pub(crate) placed_at: Duration,
    /// Whether the unit was a suspect when the run was placed.
    pub(crate) trial: bool,
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
    /// Progress of the first report: a run that resumes from a checkpoint does not begin at zero.
    pub(crate) first_percent: u32,
    /// Progress from 0 to 100.
    pub(crate) percent: u32,
    /// When the percentage last changed.
    pub(crate) progressed_at: Duration,
    /// When a new checkpoint was last reported.
    pub(crate) checkpointed_at: Option<Duration>,
    /// How long the run is known to have lived.
    pub(crate) survived: Duration,
}

impl Running {
    /// Returns the progress since the first report, in percentage points.
    fn gained(&self) -> u32 {
        self.percent.saturating_sub(self.first_percent)
    }

    /// Returns the time that a percentage point has taken so far; zero before any progress.
    pub(crate) fn time_per_percent(&self) -> Duration {
        let worked = self.progressed_at.saturating_sub(self.started_at);
        worked.checked_div(self.gained()).unwrap_or_default()
    }
}

/// The run is being stopped; its resources stay occupied until its end is known.
#[derive(Debug, Clone)]
pub(crate) struct Stopping {
    /// When the stop order was last sent.
    pub(crate) sent_at: Option<Duration>,
    /// Whether the worker had reported the run.
    pub(crate) was_reported: bool,
}

impl<S> Placement<S> {
    fn with_state<T>(self, state: T) -> Placement<T> {
        Placement {
            job: self.job,
            unit: self.unit,
            task_run: self.task_run,
            resources: self.resources,
            placed_at: self.placed_at,
            trial: self.trial,
            state,
        }
    }

    fn into_stopping(self, was_reported: bool) -> Placement<Stopping> {
        self.with_state(Stopping {
            sent_at: None,
            was_reported,
        })
    }
}

impl Placement<Starting> {
    fn into_running(self, now: Duration, percent: u32) -> Placement<Running> {
        self.with_state(Running {
            started_at: now,
            first_percent: percent,
            percent,
            progressed_at: now,
            checkpointed_at: None,
            survived: Duration::ZERO,
        })
    }
}

/// A placement in any state.
#[derive(Debug, Clone)]
pub(crate) enum AnyPlacement {
    /// Not reported by the worker yet.
    Starting(Placement<Starting>),
    /// Reported by the worker.
    Running(Placement<Running>),
    /// Being stopped.
    Stopping(Placement<Stopping>),
}

impl AnyPlacement {
    /// Creates the placement of a run whose start order has not been sent.
    pub(crate) fn new(
        job: JobId,
        unit: UnitId,
        task_run: TaskRun,
        resources: ResourceVector,
        now: Duration,
    ) -> Self {
        Self::Starting(Placement {
            job,
            unit,
            task_run,
            resources,
            placed_at: now,
            trial: false,
            state: Starting { sent_at: None },
        })
    }

    /// Marks the run, which was just placed, as a trial if `trial` is set.
    pub(crate) fn with_trial(mut self, trial: bool) -> Self {
        if let Self::Starting(placement) = &mut self {
            placement.trial = trial;
        }
        self
    }

    /// Records that an earlier owner sent the start order, so that it counts as repeated when it is sent again.
    pub(crate) fn with_start_sent(mut self, now: Duration) -> Self {
        if let Self::Starting(placement) = &mut self {
            placement.state.sent_at = Some(now);
        }
        self
    }

    /// Returns whether the run is the trial of a suspect.
    pub(crate) fn is_trial(&self) -> bool {
        match self {
            Self::Starting(placement) => placement.trial,
            Self::Running(placement) => placement.trial,
            Self::Stopping(placement) => placement.trial,
        }
    }

    /// Returns whether the run is on probation: a crash of its worker would point to its unit. A run that is being stopped
    /// starts nothing any more.
    pub(crate) fn is_on_probation(&self) -> bool {
        match self {
            Self::Starting(_) => true,
            Self::Running(placement) => placement.state.survived < PROBATION,
            Self::Stopping(_) => false,
        }
    }

    /// Returns whether the run is known to have survived its probation.
    pub(crate) fn has_survived_probation(&self) -> bool {
        matches!(self, Self::Running(placement) if placement.state.survived >= PROBATION)
    }

    /// Applies how long the run is reported to have lived; returns whether it has just survived its probation.
    pub(crate) fn record_survived(&mut self, survived: Duration) -> bool {
        let Self::Running(placement) = self else {
            return false;
        };
        let before = placement.state.survived;
        placement.state.survived = before.max(survived);
        before < PROBATION && survived >= PROBATION
    }

    /// Returns the task and the run number.
    pub(crate) fn task_run(&self) -> TaskRun {
        match self {
            Self::Starting(placement) => placement.task_run,
            Self::Running(placement) => placement.task_run,
            Self::Stopping(placement) => placement.task_run,
        }
    }

    /// Returns the key of the unit that the run belongs to.
    pub(crate) fn unit_key(&self) -> UnitKey {
        match self {
            Self::Starting(placement) => (placement.job, placement.unit),
            Self::Running(placement) => (placement.job, placement.unit),
            Self::Stopping(placement) => (placement.job, placement.unit),
        }
    }

    /// Returns the resources that the run occupies on its worker.
    pub(crate) fn resources(&self) -> ResourceVector {
        match self {
            Self::Starting(placement) => placement.resources,
            Self::Running(placement) => placement.resources,
            Self::Stopping(placement) => placement.resources,
        }
    }

    /// Returns when the run was placed.
    pub(crate) fn placed_at(&self) -> Duration {
        match self {
            Self::Starting(placement) => placement.placed_at,
            Self::Running(placement) => placement.placed_at,
            Self::Stopping(placement) => placement.placed_at,
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
            Self::Stopping(placement) => placement.state.was_reported,
        }
    }

    /// Returns whether the worker may still start the run: its start was ordered and not answered, or may have been.
    pub(crate) fn may_still_start(&self) -> bool {
        match self {
            Self::Starting(placement) => placement.state.sent_at.is_some(),
            Self::Running(_) => false,
            Self::Stopping(placement) => !placement.state.was_reported,
        }
    }

    /// Marks the run for stopping. If it is already being stopped, the time of the last stop order is cleared, so that
    /// the order is sent again at once.
    pub(crate) fn into_unsent_stopping(self) -> Self {
        match self {
            Self::Stopping(placement) => {
                let was_reported = placement.state.was_reported;
                Self::Stopping(placement.into_stopping(was_reported))
            }
            other => other.into_stopping(),
        }
    }

    /// Marks the run for stopping.
    pub(crate) fn into_stopping(self) -> Self {
        match self {
            Self::Starting(placement) => Self::Stopping(placement.into_stopping(false)),
            Self::Running(placement) => Self::Stopping(placement.into_stopping(true)),
            stopping @ Self::Stopping(_) => stopping,
        }
    }

    /// Records that the worker left the run out of its list, so that it may have made progress.
    pub(crate) fn record_left_out(&mut self, now: Duration) {
        if let Self::Running(placement) = self {
            placement.state.progressed_at = now;
        }
    }

    /// Applies progress reported by the worker; `checkpointed` tells whether the report has a new checkpoint.
    pub(crate) fn with_progress(self, now: Duration, percent: u32, checkpointed: bool) -> Self {
        let mut placement = match self {
            Self::Starting(placement) => placement.into_running(now, percent),
            Self::Running(placement) => placement,
            stopping @ Self::Stopping(_) => return stopping,
        };
        if placement.state.percent != percent {
            placement.state.percent = percent;
            placement.state.progressed_at = now;
        }
        if checkpointed {
            placement.state.checkpointed_at = Some(now);
        }
        Self::Running(placement)
    }

    /// Returns the time that the run is expected to need until it ends: by its progress, or by the expected run time while it
    /// has made little.
    pub(crate) fn remaining_time(&self, expected: Duration, now: Duration) -> Duration {
        let elapsed = now.saturating_sub(self.placed_at());
        match self {
            Self::Running(placement) if placement.state.gained() >= MIN_PERCENT_FOR_PACE => {
                let state = &placement.state;
                let left = 100_u32.saturating_sub(state.percent);
                let since_progress = now.saturating_sub(state.progressed_at);
                (state.time_per_percent() * left).saturating_sub(since_progress)
            }
            _ => expected.saturating_sub(elapsed),
        }
    }

    /// Returns the run time since the last checkpoint, which would be repeated if the run was killed now.
    pub(crate) fn time_since_checkpoint(&self, now: Duration) -> Duration {
        match self {
            Self::Running(placement) => {
                let state = &placement.state;
                now.saturating_sub(state.checkpointed_at.unwrap_or(state.started_at))
            }
            Self::Starting(_) | Self::Stopping(_) => Duration::ZERO,
        }
    }
}
