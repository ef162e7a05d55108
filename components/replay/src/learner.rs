//! Feeds the runs of a replay to the history and blame controllers of `policy`.

use std::time::{Duration, Instant};

use board::Board;
use model::{JobId, Request, WorkerId};
use policy::blame::{BlameController, Observation, TaskEvent};
use policy::history::{HistoryController, Run, RunEnd as HistoryEnd};

/// How a run ended, as far as the history and blame controllers distinguish it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RunEnd {
    /// The job was answered.
    Answered,
    /// A task failed on this worker.
    Failed(WorkerId),
    /// The run was stopped or lost a member.
    Interrupted,
}

/// A finished run of a gang.
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

/// The history and blame controllers of a replay.
#[derive(Debug, Default)]
pub struct Learner {
    history: HistoryController,
    blame: BlameController,
}

impl Learner {
    /// Reports to the blame controller that the tasks of a gang started.
    pub fn record_start(
        &mut self,
        board: &Board,
        job: JobId,
        workers: Vec<WorkerId>,
        now: Instant,
    ) {
        let observation = Observation {
            job,
            workers,
            event: TaskEvent::Started,
        };
        self.blame.observe(board, &[observation], now);
    }

    /// Updates the history and blame sections with a finished run.
    pub fn record(&mut self, board: &Board, run: FinishedRun<'_>, now: Instant) {
        if let Some(history_run) = history_run(&run) {
            self.history.observe_runs(board, &[history_run], now);
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

    /// Removes workers that are no longer members from the blame section.
    pub fn retain_members(&mut self, board: &Board, now: Instant) {
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
