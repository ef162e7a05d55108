//! Choosing which queued jobs get a gang.

use std::sync::Arc;
use std::time::Instant;

use board::{Fleet, Membership, Queue};
use model::{AgentId, EndpointId, Gang, Job, Planned, Queued, gang_id};

use crate::actions::Action;
use crate::fit::fit_gang;
use crate::fleet::take;

/// How queued jobs are chosen; daemons use `Guarded`, the others serve as baselines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Strategy {
    /// First come, first served; the oldest job blocks all later ones.
    FirstFit,
    /// Any job that fits runs, without a reservation for blocked ones.
    Backfill,
    /// Guarantees, inferred urgency, reservation and reclaim.
    Guarded,
}

/// Plans gangs for queued jobs, oldest first.
pub(crate) fn schedule(
    fleet: &mut Fleet,
    queue: &mut Queue,
    membership: &Membership,
    strategy: Strategy,
    now: Instant,
) -> Vec<Action> {
    let mut actions = Vec::new();
    let waiting: Vec<Arc<Job<Queued>>> = queue.queued.values().cloned().collect();
    for job in waiting {
        match plan(fleet, membership, &job, now) {
            Some(gang) => actions.push(reserve(fleet, queue, &job, gang)),
            None if strategy == Strategy::FirstFit => break,
            None => {}
        }
    }
    actions
}

fn plan(
    fleet: &Fleet,
    membership: &Membership,
    job: &Job<Queued>,
    now: Instant,
) -> Option<Gang<Planned>> {
    let members = fit_gang(fleet, &fleet.free, job.request.shape.as_ref()?)?;
    let (endpoint, endpoint_agent) = choose_endpoint(fleet, membership, job)?;
    Some(Gang {
        id: gang_id(job.id(), job.attempt),
        job: job.id(),
        attempt: job.attempt,
        members,
        endpoint_agent,
        endpoint,
        state: Planned { at: now },
    })
}

/// Returns the endpoint of the service with the most slots that no gang uses.
fn choose_endpoint(
    fleet: &Fleet,
    membership: &Membership,
    job: &Job<Queued>,
) -> Option<(EndpointId, AgentId)> {
    membership
        .serving
        .values()
        .filter(|endpoint| endpoint.service == job.request.service)
        .map(|endpoint| {
            (
                endpoint
                    .slots
                    .saturating_sub(slots_used(fleet, &endpoint.id)),
                endpoint,
            )
        })
        .filter(|(free, _)| *free > 0)
        .max_by_key(|(free, _)| *free)
        .map(|(_, endpoint)| (endpoint.id.clone(), endpoint.agent.clone()))
}

fn slots_used(fleet: &Fleet, endpoint: &EndpointId) -> u32 {
    let planned = fleet
        .planned
        .values()
        .filter(|gang| gang.endpoint == *endpoint)
        .count();
    let running = fleet
        .running
        .values()
        .filter(|gang| gang.endpoint == *endpoint)
        .count();
    u32::try_from(planned + running).unwrap_or(u32::MAX)
}

fn reserve(
    fleet: &mut Fleet,
    queue: &mut Queue,
    job: &Arc<Job<Queued>>,
    gang: Gang<Planned>,
) -> Action {
    for member in &gang.members {
        take(fleet, member);
    }
    let gang = Arc::new(gang);
    fleet.planned.insert(gang.id, Arc::clone(&gang));
    queue.queued.shift_remove(&job.id());
    queue
        .placed
        .insert(job.id(), Arc::new(Job::clone(job).place(gang.id)));
    Action::Reserve(gang)
}
