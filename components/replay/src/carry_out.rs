//! Carries out the actions of the decision code.

use std::sync::Arc;
use std::time::Duration;

use model::{GangId, JobOutcome};
use placement::{Action, StopReason};

use crate::engine::Replay;
use crate::occurrences::workers;
use crate::timeline::Due;

impl Replay<'_> {
    pub(crate) fn act(&mut self, action: &Action, at: Duration) {
        match action {
            Action::Reserve(gang) => {
                self.timeline
                    .add(at + self.options.reserve_delay, Due::Reservation(gang.id));
                self.platform.reserve(Arc::clone(gang));
            }
            Action::Start(gang) => {
                self.jobs.start(gang.job, at);
                self.learner
                    .started(&self.board, gang.job, workers(gang), self.origin + at);
                if let Some(job) = self.jobs.open.get(&gang.job) {
                    let id = gang.id;
                    let ends = self
                        .platform
                        .start(Arc::clone(gang), job.submit, job.done, at);
                    self.timeline.add(ends, Due::End(id));
                }
            }
            Action::Release(gang) => self.platform.release(gang.id),
            Action::Stop { gang, reason } => self.stop(gang.id, *reason, at),
            Action::Refuse { job, error } => {
                self.jobs
                    .close(*job, JobOutcome::Refused(error.clone()), at);
            }
            Action::Free { gang } => self.platform.free(*gang),
        }
    }

    fn stop(&mut self, id: GangId, reason: StopReason, at: Duration) {
        if reason == StopReason::Reclaimed {
            self.jobs.mark_reclaim(&self.board.queue.load().queued);
        }
        let Some(run) = self.platform.stop(id, reason, at) else {
            return;
        };
        self.timeline.add(run.ends, Due::End(id));
        if reason == StopReason::Reclaimed {
            let ran = at.saturating_sub(run.started);
            self.jobs.checkpoint(run.gang.job, ran);
        }
    }
}
