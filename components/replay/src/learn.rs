//! Feeding the history and blame controllers of `policy` with the runs of a replay.

use std::time::{Duration, Instant};

use board::Board;
use model::{JobId, Request, WorkerId};
use policy::blame::{BlameController, Observation, TaskEvent};
use policy::history::{HistoryController, Run, RunEnd as HistoryEnd};

/// How a run ended, as far as history and blame need to know.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RunEnd {
    /// The job answered.
    Answered,
    /// A task failed on this worker.
    Failed(WorkerId),
    /// The run was stopped or lost a member.
    Interrupted,
}

/// A run of a gang that ended.
#[derive(Debug, Clone)]
pub struct FinishedRun<'a> {
    /// The request of the job.
    pub request: &'a Request,
    /// The workers of the gang.
    pub workers: Vec<WorkerId>,
    /// How long the gang ran.
    pub ran: Duration,
    /// How it ended.
    pub end: RunEnd,
}

/// Both controllers.
#[derive(Debug, Default)]
pub struct Learner {
    history: HistoryController,
    blame: BlameController,
}

impl Learner {
    /// Tells the blame controller that the tasks of a gang started.
    pub fn started(&mut self, board: &Board, job: JobId, workers: Vec<WorkerId>, now: Instant) {
        let started = Observation {
            job,
            workers,
            event: TaskEvent::Started,
        };
        self.blame.observe(board, &[started], now);
    }

    /// Updates the history and blame sections after a run.
    pub fn record(&mut self, board: &Board, run: FinishedRun<'_>, now: Instant) {
        if let Some(finished) = history_run(&run) {
            self.history.observe_runs(board, &[finished], now);
        }
        let event = match run.end {
            RunEnd::Answered => TaskEvent::Succeeded,
            RunEnd::Failed(worker) => TaskEvent::Failed {
                failed_worker: Some(worker),
            },
            RunEnd::Interrupted => return,
        };
        let observation = Observation {
            job: run.request.id,
            workers: run.workers,
            event,
        };
        self.blame.observe(board, &[observation], now);
    }

    /// Forgets workers that left the membership.
    pub fn membership_changed(&mut self, board: &Board, now: Instant) {
        self.blame.retain_members(board, now);
    }
}

fn history_run(run: &FinishedRun<'_>) -> Option<Run> {
    Some(Run {
        account: run.request.account.clone(),
        service: run.request.service.clone(),
        shape: run.request.shape?,
        declared: run.request.declared_run_time,
        actual: run.ran,
        end: match run.end {
            RunEnd::Answered => HistoryEnd::Answered,
            RunEnd::Failed(_) => HistoryEnd::Failed,
            RunEnd::Interrupted => HistoryEnd::Stopped,
        },
    })
}
