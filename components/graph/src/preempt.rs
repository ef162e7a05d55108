//! Stops runs to free room and to leave workers that drain.

use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use model::{AgentId, JobId, Room};

use crate::claims::{PlacementOptions, ResourcesByWorker};
use crate::fit::{Candidate, racks_to_try};
use crate::job::{Job, UnitId};
use crate::order::{GUARANTEED_PRIORITY, WaitingUnit};
use crate::placement::Placement;
use crate::scheduler::{Reservation, Scheduler};

/// Added to the longest stop before a claim on freed room ends.
const RESERVATION_MARGIN: Duration = Duration::from_secs(2);
/// Cores that count as much as an accelerator when lost work is compared.
const MILLICORES_PER_ACCELERATOR: f64 = 8_000.0;
/// Added to the cost of stopping a unit of the first priority, in accelerator seconds, so that it is stopped only where no
/// work of lower priorities can be: a run that has just started loses no work, but its job misses its objective.
const URGENT_STOP_COST: f64 = 1e6;
/// Time that a stop, its report and a new start take, added to the longest stop before a worker leaves.
const DRAIN_STOP_MARGIN: Duration = Duration::from_millis(500);

/// A unit that could be stopped, with the work that its stop loses.
#[derive(Debug, Clone, Copy)]
struct Victim {
    unit: (JobId, UnitId),
    cost: f64,
}

/// Room that stops on one worker would free.
#[derive(Debug, Clone)]
struct PreemptionOption {
    agent: AgentId,
    slots: u32,
    victims: Vec<Victim>,
}

impl PreemptionOption {
    fn cost(&self) -> f64 {
        self.victims.iter().map(|victim| victim.cost).sum()
    }
}

impl Scheduler {
    /// Keeps room for a unit where the least work is in its way, and stops that work if the unit may preempt it.
    ///
    /// Returns whether room is kept.
    pub(crate) fn reserve_resources(
        &mut self,
        waiting: WaitingUnit,
        outlook: &PlacementOptions,
        free: &ResourcesByWorker,
        now: Duration,
    ) -> bool {
        let key = (waiting.job, waiting.unit);
        if self
            .reservations
            .get(&key)
            .is_some_and(|claim| claim.preempts)
        {
            return true;
        }
        let Some(offers) = self.cheapest_options(waiting, outlook, free, now) else {
            return false;
        };
        let lost: f64 = offers.iter().map(|(offer, _)| offer.cost()).sum();
        let frees = waiting.guaranteed || lost <= self.unit_work(waiting);
        let slots = offers
            .iter()
            .map(|(offer, tasks)| (offer.agent.clone(), *tasks));
        let claim = Reservation {
            assignment: slots.collect(),
            preempts: frees,
            guaranteed: waiting.guaranteed,
            task_resources: outlook.task_resources,
            expires_at: now + self.limits.max_stop_time + RESERVATION_MARGIN,
        };
        if frees {
            self.stop_victims(waiting, &offers, lost);
        }
        self.reservations.insert(key, claim);
        true
    }

    fn stop_victims(
        &mut self,
        waiting: WaitingUnit,
        offers: &[(PreemptionOption, u32)],
        lost: f64,
    ) {
        let victims: IndexSet<(JobId, UnitId)> = offers
            .iter()
            .flat_map(|(offer, _)| offer.victims.iter().map(|victim| victim.unit))
            .collect();
        let workers: Vec<&AgentId> = offers.iter().map(|(offer, _)| &offer.agent).collect();
        log::info!(
            target: "limpethook",
            job:% = format_args!("{:016x}", waiting.job), step = waiting.unit.step, victims = victims.len(), lost = lost,
            guaranteed = waiting.guaranteed, workers:? = workers;
            "units_preempted"
        );
        for (job, unit) in victims {
            self.stop_unit(job, unit);
        }
    }

    /// Returns the work of a unit in accelerator seconds.
    fn unit_work(&self, waiting: WaitingUnit) -> f64 {
        let Some(job) = self.jobs.get(&waiting.job) else {
            return 0.0;
        };
        let step = job.step(waiting.unit);
        let tasks = job.units.get(&waiting.unit).map_or(0, |unit| unit.tasks);
        f64::from(tasks)
            * accelerator_equivalents(step.room)
            * job.expected_step_time(waiting.unit).as_secs_f64()
    }

    /// Returns the cheapest offers that make room for the whole unit.
    fn cheapest_options(
        &self,
        waiting: WaitingUnit,
        outlook: &PlacementOptions,
        free: &ResourcesByWorker,
        now: Duration,
    ) -> Option<Vec<(PreemptionOption, u32)>> {
        let job = self.jobs.get(&waiting.job)?;
        let unit = job.units.get(&waiting.unit)?;
        let step = job.step(waiting.unit);
        let candidates = &outlook.candidates;
        let mut by_rack: IndexMap<Box<str>, Vec<PreemptionOption>> = IndexMap::new();
        for candidate in candidates {
            let future = self.projected_resources(candidate, free, &outlook.reserved_by_others);
            let offer =
                self.preemption_option(candidate, future, outlook.task_resources, waiting, now);
            by_rack
                .entry(candidate.rack.clone())
                .or_default()
                .push(offer);
        }
        let whole: Vec<PreemptionOption> = by_rack.values().flatten().cloned().collect();
        let one_rack = step.rack_sensitive && unit.tasks > 1;
        let groups: Vec<Vec<PreemptionOption>> = match &step.data_rack {
            Some(rack) => by_rack.get(rack).cloned().into_iter().collect(),
            None if one_rack => by_rack.into_values().collect(),
            None => Vec::new(),
        };
        let cost = |offers: &Vec<(PreemptionOption, u32)>| -> f64 {
            offers.iter().map(|(offer, _)| offer.cost()).sum()
        };
        let chosen = groups
            .into_iter()
            .filter_map(|group| select_options(group, unit.tasks));
        let within = chosen.min_by(|a, b| cost(a).total_cmp(&cost(b)));
        if within.is_some() {
            return within;
        }
        // A guaranteed job begins in time even where it runs slower; others wait for the better place.
        let patience = self.locality_wait(job, waiting.unit);
        let anywhere = racks_to_try(step, unit, candidates, patience, now);
        if waiting.guaranteed || anywhere.contains(&None) {
            return select_options(whole, unit.tasks);
        }
        None
    }

    /// Returns what will be free on a worker once all runs that stop have ended and all claims are met.
    fn projected_resources(
        &self,
        candidate: &Candidate,
        free: &ResourcesByWorker,
        claimed: &ResourcesByWorker,
    ) -> Room {
        let of =
            |rooms: &ResourcesByWorker| rooms.get(&candidate.agent).copied().unwrap_or_default();
        let stopping = self.stopping_resources(&candidate.agent);
        of(free).plus(stopping).minus(of(claimed))
    }

    /// Returns the room that the stops of lower ranks on a worker would free, the cheapest first.
    fn preemption_option(
        &self,
        candidate: &Candidate,
        mut free: Room,
        room: Room,
        waiting: WaitingUnit,
        now: Duration,
    ) -> PreemptionOption {
        let mut offer = PreemptionOption {
            agent: candidate.agent.clone(),
            slots: candidate.slots,
            victims: Vec::new(),
        };
        let Some(worker) = self.workers.get(&candidate.agent) else {
            return offer;
        };
        let mut rooms: IndexMap<(JobId, UnitId), Room> = IndexMap::new();
        for placement in worker.placements.values() {
            let owner = placement.unit_key();
            if !placement.is_stopping() && self.is_preemptible(owner.0, waiting) {
                let room = rooms.entry(owner).or_default();
                *room = room.plus(placement.resources());
            }
        }
        let mut victims: Vec<(Victim, Room)> = rooms
            .into_iter()
            .map(|(owner, room)| {
                let cost = self.stop_cost(owner, now) + self.urgency_cost(owner.0);
                (Victim { unit: owner, cost }, room)
            })
            .collect();
        victims.sort_by(|a, b| a.0.cost.total_cmp(&b.0.cost));
        offer.slots = free.times(room).min(candidate.max_slots);
        for (victim, freed) in victims {
            if offer.slots >= candidate.max_slots {
                break;
            }
            free = free.plus(freed);
            offer.victims.push(victim);
            offer.slots = free.times(room).min(candidate.max_slots);
        }
        offer
    }

    /// Returns whether a job has to make room: a guarantee goes before all jobs outside of guarantees.
    fn is_preemptible(&self, job: JobId, waiting: WaitingUnit) -> bool {
        if self.guaranteed.contains(&job) {
            return false;
        }
        let lower = |job: &Job| job.policy.priority > waiting.priority;
        waiting.guaranteed || self.jobs.get(&job).is_none_or(lower)
    }

    /// Returns what the stop of urgent work costs beside the work that it loses.
    fn urgency_cost(&self, job: JobId) -> f64 {
        let urgent = |job: &Job| job.policy.priority == GUARANTEED_PRIORITY;
        if self.jobs.get(&job).is_some_and(urgent) {
            URGENT_STOP_COST
        } else {
            0.0
        }
    }

    /// Returns the work in accelerator seconds, with a core counting as an eighth, that the stop of a unit loses.
    fn stop_cost(&self, owner: (JobId, UnitId), now: Duration) -> f64 {
        let checkpoints = self
            .jobs
            .get(&owner.0)
            .is_some_and(|job| job.step(owner.1).checkpoints);
        let lost = |placement: &Placement| {
            if checkpoints {
                // A stop takes a checkpoint; only the restore is lost.
                placement
                    .time_since_checkpoint(now)
                    .min(self.limits.restore_time)
            } else {
                placement.time_since_checkpoint(now)
            }
        };
        let placements = self.workers.values().flat_map(|w| w.placements.values());
        placements
            .filter(|placement| placement.unit_key() == owner)
            .map(|placement| {
                lost(placement).as_secs_f64() * accelerator_equivalents(placement.resources())
            })
            .sum()
    }

    /// Stops tasks on workers that leave before the tasks could be done, in time for a checkpoint.
    pub(crate) fn stop_runs_before_drain(&mut self, now: Duration) {
        let margin = self.limits.max_stop_time + DRAIN_STOP_MARGIN;
        let leaving: Vec<AgentId> = self
            .workers
            .values()
            .filter(|worker| worker.drain_deadline.is_some_and(|at| now + margin >= at))
            .map(|worker| worker.agent.clone())
            .collect();
        if !leaving.is_empty() {
            self.stop_where(|_, agent| leaving.contains(agent));
        }
    }
}

/// Returns how many accelerators an amount counts as: eight cores stand for one.
pub(crate) fn accelerator_equivalents(room: Room) -> f64 {
    f64::from(room.accelerators) + f64::from(room.millicores) / MILLICORES_PER_ACCELERATOR
}

/// Takes offers until all tasks have room, the cheapest for each task first.
fn select_options(
    mut offers: Vec<PreemptionOption>,
    tasks: u32,
) -> Option<Vec<(PreemptionOption, u32)>> {
    let price = |offer: &PreemptionOption| offer.cost() / f64::from(offer.slots.max(1));
    offers.retain(|offer| offer.slots > 0);
    offers.sort_by(|a, b| price(a).total_cmp(&price(b)));
    let mut left = tasks;
    let mut chosen = Vec::new();
    for offer in offers {
        if left == 0 {
            break;
        }
        let take = offer.slots.min(left);
        left -= take;
        chosen.push((offer, take));
    }
    (left == 0).then_some(chosen)
}
