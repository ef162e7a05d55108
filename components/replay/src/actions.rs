//! Applies the actions of the decision code to the simulated platform.

use std::sync::Arc;
use std::time::Duration;

use model::{GangId, JobOutcome};
use placement::{Action, StopReason};

use crate::engine::Replay;
use crate::event_queue::ScheduledEvent;
use crate::events::worker_ids;

impl Replay<'_> {
    pub(crate) fn apply_action(&mut self, action: &Action, at: Duration) {
        match action {
            Action::Reserve(gang) => {
                self.event_queue.schedule(
                    at + self.options.reserve_delay,
                    ScheduledEvent::ReservationReply(gang.id),
                );
                self.platform.reserve(Arc::clone(gang));
            }
            Action::Start(gang) => {
                self.jobs.record_start(gang.job, at);
                self.learner.record_start(
                    &self.board,
                    gang.job,
                    worker_ids(gang),
                    self.origin + at,
                );
                if let Some(job) = self.jobs.open.get(&gang.job) {
                    let id = gang.id;
                    let ends =
                        self.platform
                            .start(Arc::clone(gang), job.submit, job.checkpointed, at);
                    self.event_queue.schedule(ends, ScheduledEvent::GangEnd(id));
                }
            }
            Action::Release(gang) => self.platform.release(gang.id),
            Action::Stop { gang, reason } => self.stop_gang(gang.id, *reason, at),
            Action::Refuse { job, error } => {
                self.jobs
                    .close(*job, JobOutcome::Refused(error.clone()), at);
            }
            Action::Free { gang } => self.platform.free(*gang),
        }
    }

    fn stop_gang(&mut self, id: GangId, reason: StopReason, at: Duration) {
        if reason == StopReason::Reclaimed {
            self.jobs
                .mark_waiting_for_reclaim(&self.board.queue.load().queued);
        }
        let Some(run) = self.platform.stop(id, reason, at) else {
            return;
        };
        self.event_queue
            .schedule(run.ends, ScheduledEvent::GangEnd(id));
        if reason == StopReason::Reclaimed {
            let ran = at.saturating_sub(run.started);
            self.jobs.record_checkpoint(run.gang.job, ran);
        }
    }
}
