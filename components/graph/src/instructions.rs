//! Start and stop orders for agents.

use std::time::Duration;

use indexmap::IndexMap;
use model::{AgentId, Instructions, JobId, RunNumber, StartOrder};

use crate::approvals::StepId;
use crate::job::{Job, Phase, UnitId};
use crate::placement::AnyPlacement;
use crate::scheduler::Scheduler;
use crate::worker::Worker;

/// An order whose effect has not been reported is sent again after this time, a few times the latency between regions.
const RESEND_AFTER: Duration = Duration::from_millis(600);

impl Scheduler {
    /// Returns whether there are orders or acknowledgements that should be sent to an agent without delay.
    pub fn has_orders(&self, agent: &str, now: Duration) -> bool {
        let Some(worker) = self.workers.get(agent) else {
            return false;
        };
        let unsent = |placement: &AnyPlacement| match placement {
            AnyPlacement::Starting(placement) => {
                needs_sending(placement.state.sent_at, now)
                    && is_recorded(&self.jobs, placement.job, &worker.agent)
            }
            AnyPlacement::Stopping(placement) => needs_sending(placement.state.sent_at, now),
            AnyPlacement::Running(_) => false,
        };
        worker.confirmed
            && (worker.placements.values().any(unsent)
                || worker
                    .orphan_runs
                    .values()
                    .any(|orphan| needs_sending(orphan.sent_at, now))
                || acknowledgeable_sequence(worker) > worker.acknowledged_sequence)
    }

    /// Returns the orders for an agent and records that they were sent.
    ///
    /// They are part of the reply to the report sent at `report_sent_at`, with which the agent may renew the lease of
    /// its worker. They name a time of zero if it may not. `may_start` is false while the owner cannot renew its own lease,
    /// so that no task is started.
    pub fn instructions(
        &mut self,
        agent: &AgentId,
        report_sent_at: Duration,
        may_start: bool,
        now: Duration,
    ) -> Instructions {
        let renews = self.renews_lease(agent, now);
        let mut instructions = Instructions {
            epoch: self.epoch,
            report_sent_at: if renews {
                report_sent_at
            } else {
                Duration::ZERO
            },
            incarnation: None,
            acknowledged: 0,
            bodies: Vec::new(),
            starts: Vec::new(),
            stops: Vec::new(),
            stored_crashes: Vec::new(),
        };
        if let Some(worker) = self.workers.get(agent) {
            instructions.stored_crashes = self.stored_crashes(worker);
        }
        let Some(worker) = self.workers.get_mut(agent) else {
            return instructions;
        };
        if renews {
            worker.last_renewed_at = now;
        }
        instructions.incarnation = worker.incarnation;
        if !worker.confirmed {
            return instructions;
        }
        worker.acknowledged_sequence = acknowledgeable_sequence(worker);
        instructions.acknowledged = worker.acknowledged_sequence;
        let mut starting = Vec::new();
        for placement in worker.placements.values_mut() {
            match placement {
                AnyPlacement::Starting(placement)
                    if may_start
                        && needs_sending(placement.state.sent_at, now)
                        && is_recorded(&self.jobs, placement.job, agent) =>
                {
                    let repeated = placement.state.sent_at.replace(now).is_some();
                    let (id, unit, trial) = (placement.job, placement.unit, placement.trial);
                    starting.push((placement.task_run, (id, unit), repeated, trial));
                }
                AnyPlacement::Stopping(placement)
                    if needs_sending(placement.state.sent_at, now) =>
                {
                    placement.state.sent_at = Some(now);
                    instructions.stops.push(placement.task_run);
                }
                _ => {}
            }
        }
        for (run, orphan) in &mut worker.orphan_runs {
            if needs_sending(orphan.sent_at, now) {
                orphan.sent_at = Some(now);
                instructions.stops.push(*run);
            }
        }
        let mut bodies: IndexMap<JobId, Box<str>> = IndexMap::new();
        for (run, (id, unit), repeated, trial) in starting {
            let Some((body, checkpoint)) = self.start_payload(id, unit, run.run) else {
                continue;
            };
            bodies.entry(id).or_insert(body);
            let worker = self.workers.get(agent);
            let step = StepId::of(id, unit);
            let approval = worker.and_then(|worker| self.ticket(step, worker, now));
            instructions.starts.push(StartOrder {
                run,
                checkpoint,
                approval,
                repeated,
                trial,
            });
        }
        instructions.bodies = bodies.into_iter().collect();
        instructions
    }

    /// Returns the job body and the checkpoint that a run of a unit starts with.
    fn start_payload(
        &self,
        id: JobId,
        unit: UnitId,
        run: RunNumber,
    ) -> Option<(Box<str>, Box<str>)> {
        let job = self.jobs.get(&id)?;
        let unit = job.units.get(&unit)?;
        let is_active = unit.phase() == Phase::Active;
        is_active.then(|| {
            let checkpoint = unit.start_checkpoint_of(run).into();
            (job.spec.graph.body.clone(), checkpoint)
        })
    }
}

/// Returns whether the next owner would learn from the store that an agent may have runs of a job.
pub(crate) fn is_recorded(jobs: &IndexMap<JobId, Job>, job: JobId, agent: &AgentId) -> bool {
    jobs.get(&job).is_none_or(|job| job.record.contains(agent))
}

fn needs_sending(sent_at: Option<Duration>, now: Duration) -> bool {
    sent_at.is_none_or(|sent_at| now >= sent_at + RESEND_AFTER)
}

/// Returns the sequence number of the last end before the first unstored one.
fn acknowledgeable_sequence(worker: &Worker) -> u64 {
    let first = worker
        .unstored_ends
        .iter()
        .map(|(sequence, ..)| *sequence)
        .min();
    first.map_or(worker.last_end_sequence, |first| first - 1)
}
