//! The reports that an agent sends to the owner.

use std::time::Duration;

use graph::lapse_after;
use model::{RunReport, RunStatus, TaskRun, WorkerReport};

use crate::agent::state::{OrderState, State};

impl State {
    /// Builds the report for the owner.
    pub(crate) fn report(&self, now: Duration) -> WorkerReport {
        WorkerReport {
            agent: self.settings.agent.clone(),
            name: self.name.clone(),
            service: self.service.clone(),
            incarnation: self.incarnation,
            capacity: self.capacity,
            labels: self.labels.clone(),
            draining: match self.leaves_at {
                Some(at) => Some(at.saturating_sub(now)),
                None => self.leaving.then_some(Duration::ZERO),
            },
            absent: self.is_absent(now),
            confirmed_epoch: self.confirmed_epoch,
            owner_epoch: self.epoch,
            complete: self.is_complete(),
            lists_complete: self.lists_complete,
            runs: self.run_reports(now),
            ends: self.ends.clone(),
            crashes: self.crashes.iter().cloned().collect(),
            sent_at: now,
            data_centre: self.settings.data_centre.clone(),
            cold_remaining: self.cold_until.saturating_sub(now),
        }
    }

    fn survived(&self, run: TaskRun) -> Duration {
        self.sightings.survived(run).unwrap_or_default()
    }

    /// Returns whether a poll was sent after every order of an earlier process of this agent had
    /// arrived or expired. The worker refuses orders that arrive after the end of their lease.
    fn is_complete(&self) -> bool {
        let orders_settled_at = self.started_at + lapse_after(self.settings.max_lease);
        self.last_poll_at.is_some_and(|at| at >= orders_settled_at)
    }

    fn run_reports(&self, now: Duration) -> Vec<RunReport> {
        let absent = self.is_absent(now);
        let mut reports: Vec<RunReport> = self
            .listed
            .iter()
            .map(|listed| RunReport {
                run: listed.run,
                status: RunStatus::Running {
                    percent: listed.percent,
                    checkpoint: listed.checkpoint.clone(),
                    survived: self.survived(listed.run),
                },
            })
            .collect();
        let (listed_runs, ended_runs) = (self.listed_runs(), self.ended_runs());
        for (run, (order, _)) in &self.orders {
            let (listed, ended) = (listed_runs.contains(run), ended_runs.contains(run));
            // An absent worker does not carry out starts that it left unanswered.
            let dropped = absent && *order == OrderState::Unanswered;
            if listed || ended || dropped {
                continue;
            }
            let status = match order {
                OrderState::Starting
                | OrderState::Unanswered
                | OrderState::Stopping
                | OrderState::Stopped(_) => RunStatus::Starting,
                OrderState::Started => RunStatus::Running {
                    percent: 0,
                    checkpoint: Box::default(),
                    survived: self.survived(*run),
                },
                OrderState::Refused(refusal) => RunStatus::Refused(*refusal),
                OrderState::Gone => RunStatus::StoppedBeforeStart,
            };
            reports.push(RunReport { run: *run, status });
        }
        reports
    }
}
