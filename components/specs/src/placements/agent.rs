//! An agent of the takeover model, together with its worker.

use crate::placements::{Epoch, JOBS, JobIndex};

/// A run of a job: the epoch of the owner that started it, and its number among the runs of that owner.
pub(crate) type Run = (Epoch, u8);

/// An agent and its worker.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) struct Agent {
    /// Epoch of the owner that this process of the agent follows.
    pub(crate) epoch: Epoch,
    /// Highest epoch that the worker has confirmed.
    pub(crate) confirmed: Epoch,
    /// Number of restarts of the machine.
    pub(crate) life: u8,
    pub(crate) runs: [Option<Run>; JOBS],
    /// The latest run of each job that has ended or was refused.
    pub(crate) ended: [Option<Run>; JOBS],
}

impl Agent {
    /// Creates an agent that follows an owner and runs nothing.
    pub(crate) fn following(epoch: Epoch) -> Self {
        Self {
            epoch,
            confirmed: epoch,
            life: 0,
            runs: [None; JOBS],
            ended: [None; JOBS],
        }
    }

    /// Follows the owner that sent instructions, unless this process knows of a later one.
    ///
    /// Returns whether the worker obeys its orders.
    pub(crate) fn follow(&mut self, epoch: Epoch) -> bool {
        if epoch < self.epoch {
            return false;
        }
        self.epoch = epoch;
        self.confirmed = self.confirmed.max(epoch);
        epoch == self.confirmed
    }

    /// Starts a run that was ordered for this life of the worker, unless it has ended before.
    pub(crate) fn start(&mut self, job: JobIndex, run: Run, life: u8) {
        if life == self.life && self.runs[job].is_none() && self.ended[job] < Some(run) {
            self.runs[job] = Some(run);
        }
    }

    pub(crate) fn end(&mut self, job: JobIndex) {
        if let Some(run) = self.runs[job].take() {
            self.ended[job] = Some(run);
        }
    }

    /// Ends all runs, as their leases have lapsed.
    pub(crate) fn lapse(&mut self) {
        for job in 0..JOBS {
            self.end(job);
        }
    }

    /// Restarts the process of the agent; the worker goes on.
    pub(crate) fn restart(&mut self) {
        self.epoch = 0;
    }

    /// Restarts the machine.
    pub(crate) fn reboot(&mut self) {
        *self = Self {
            life: self.life + 1,
            ..Self::following(0)
        };
    }
}
