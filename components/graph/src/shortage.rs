//! Services with too little room for the work that is ready, and the bound on how long the ordering makes a job wait there.

use std::fmt;
use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use model::{AccountId, JobId, ResourceVector, ServiceId};

use crate::fit::resources_per_task;
use crate::job::{Job, UnitKey};
use crate::order::ReadyJob;
use crate::scheduler::Scheduler;
use crate::stakes::{Prospect, Stake, accelerator_equivalents};

/// How long a worthless job waits before it is overdue.
const OVERDUE_WAIT: Duration = Duration::from_secs(10);
/// How long the turn of an overdue job lasts at most, in which runs end and free what it reserves.
const TURN_TIME: Duration = Duration::from_secs(30);
/// Maximum number of units of an overdue job that a plan places.
const MAX_OVERDUE_UNITS: u32 = 64;
/// Share of the capacity of a service that the overdue job whose turn it is may use in addition to its first unit.
const OVERDUE_SHARE: f64 = 0.05;

/// A decision about units for which there is too little room, by reason.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ShortageDecision {
    /// Runs were stopped for a guaranteed unit.
    PreemptedForGuarantee,
    /// Runs were stopped because the later end of an urgent job would cost its caller more.
    PreemptedForValue,
    /// No runs were stopped for an urgent unit, because that would cost callers more than its later end.
    NotWorthPreempting,
    /// A run that is in the way of an urgent unit was not stopped, because it is about to end.
    EndingNotStopped,
    /// A waiting job is placed after others of its priority, because it does not end within its objective any more.
    LateDeferred,
    /// A waiting job is placed after all others, because it can't end before it is worthless to its caller.
    WorthlessDeferred,
    /// An overdue job is placed before all but guaranteed ones.
    OverduePreferred,
    /// An overdue unit reserves resources until runs end.
    OverdueAwaitsEnds,
}

impl ShortageDecision {
    /// Returns whether it stops runs.
    pub(crate) fn stops_runs(self) -> bool {
        matches!(self, Self::PreemptedForGuarantee | Self::PreemptedForValue)
    }
}

impl fmt::Display for ShortageDecision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::PreemptedForGuarantee => "preempted_for_guarantee",
            Self::PreemptedForValue => "preempted_for_value",
            Self::NotWorthPreempting => "not_worth_preempting",
            Self::EndingNotStopped => "ending_not_stopped",
            Self::LateDeferred => "late_deferred",
            Self::WorthlessDeferred => "worthless_deferred",
            Self::OverduePreferred => "overdue_preferred",
            Self::OverdueAwaitsEnds => "overdue_awaits_ends",
        })
    }
}

/// The services in which the units that are ready need more than the free resources.
#[derive(Debug, Default)]
pub(crate) struct Shortage {
    services: IndexSet<ServiceId>,
    /// The overdue job of each service whose turn it is, and since when.
    turns: IndexMap<ServiceId, (JobId, Duration)>,
    /// The jobs that have not ended and that had a turn.
    had_turn: IndexSet<JobId>,
    /// The accounts with overdue jobs, in the order of their latest turns.
    served_accounts: IndexSet<AccountId>,
    /// The waiting jobs that can't end in time, with what was last logged.
    deferred: IndexMap<JobId, Prospect>,
    /// The urgent units for which runs were not worth stopping and that reserve nothing, and when that was last determined.
    pub(crate) declined: IndexMap<UnitKey, Duration>,
    /// Number of decisions, collected for the metrics.
    decisions: IndexMap<ShortageDecision, usize>,
}

impl Shortage {
    /// Returns whether a service has too little room.
    pub(crate) fn is_in(&self, service: &ServiceId) -> bool {
        self.services.contains(service)
    }

    /// Counts decisions.
    pub(crate) fn count(&mut self, decision: ShortageDecision, count: usize) {
        *self.decisions.entry(decision).or_default() += count;
    }

    /// Returns whether a job is the overdue one whose turn it is.
    fn has_turn(&self, job: &Job) -> bool {
        let turn = self.turns.get(&job.policy.service);
        turn.is_some_and(|(id, _)| *id == job.id)
    }

    /// Returns whether it is or was the turn of a job. Its runs are stopped only for guaranteed units, since it would otherwise
    /// wait without a bound.
    pub(crate) fn had_turn(&self, job: JobId) -> bool {
        self.had_turn.contains(&job)
    }
}

/// Whether an overdue job had a turn, the position of its account among those that had one, and when it was accepted.
type OverdueRank = (bool, Option<usize>, Duration);

/// Accelerators, thousandths of cores and megabytes.
type Totals = [u64; 3];

impl Scheduler {
    /// Takes the numbers of decisions under a shortage since the last call.
    pub fn take_shortage_decisions(&mut self) -> IndexMap<ShortageDecision, usize> {
        std::mem::take(&mut self.shortage.decisions)
    }

    /// Logs and counts the waiting jobs that the ordering defers because they can't end in time, once for each prospect.
    pub(crate) fn record_deferred(&mut self, ready_jobs: &[ReadyJob], now: Duration) {
        let ready_ids: IndexSet<JobId> = ready_jobs.iter().map(|ready| ready.job).collect();
        let declined = &mut self.shortage.declined;
        declined.retain(|(job, _), _| ready_ids.contains(job));
        let before = std::mem::take(&mut self.shortage.deferred);
        for ready in ready_jobs {
            let decision = match ready.prospect {
                _ if ready.guaranteed || ready.overdue_units.is_some() => continue,
                Prospect::InTime => continue,
                Prospect::Late => ShortageDecision::LateDeferred,
                Prospect::Worthless => ShortageDecision::WorthlessDeferred,
            };
            self.shortage.deferred.insert(ready.job, ready.prospect);
            let Some(job) = self.jobs.get(&ready.job) else {
                continue;
            };
            if before.get(&ready.job) == Some(&ready.prospect) {
                continue;
            }
            log::info!(
                target: "limpethook",
                decision:% = decision, job:% = format_args!("{:016x}", job.id), account:% = job.spec.account,
                queue:% = job.spec.queue, waited_ms = now.saturating_sub(job.accepted_at).as_millis(),
                objective_ms = job.objective().as_millis(), remaining_ms = job.remaining_time().as_millis(),
                waiting_work = job.waiting_work(), value_per_work = ready.value_per_work;
                "job_deferred"
            );
            self.shortage.count(decision, 1);
        }
    }

    /// Determines the services in which the ready units need more resources than are free.
    pub(crate) fn update_shortage(&mut self, ready_jobs: &[ReadyJob], now: Duration) {
        if ready_jobs.is_empty() {
            self.shortage.services.clear();
            return;
        }
        let mut totals: IndexMap<&ServiceId, (Totals, Totals)> = IndexMap::new();
        let jobs = ready_jobs
            .iter()
            .filter_map(|ready| self.jobs.get(&ready.job));
        for job in jobs {
            let (demand, _) = totals.entry(&job.policy.service).or_default();
            for step in job.ready.steps() {
                let resources = resources_per_task(&job.spec.graph.steps[step as usize]);
                add(demand, resources, job.ready_tasks(step));
            }
        }
        let workers = self.workers.values();
        for worker in workers.filter(|worker| worker.accepts_tasks(now)) {
            if let Some((_, free)) = totals.get_mut(&worker.service) {
                add(free, worker.free_resources(), 1);
            }
        }
        let is_short =
            |(demand, free): &(Totals, Totals)| demand.iter().zip(free).any(|(d, f)| d > f);
        let short = totals.iter().filter(|(_, totals)| is_short(totals));
        let services = short.map(|(service, _)| (*service).clone()).collect();
        self.shortage.services = services;
    }

    /// Gives one overdue job of each service its turn: it comes before all but guaranteed jobs while it waits, for a limited time.
    /// Accounts take turns, and within an account the job that was accepted first comes first, whatever its size. So an account
    /// waits at most until its first job is overdue, and then for one turn of each other account. A job that could not be placed
    /// in its turn comes after those that had none.
    ///
    /// An overdue job has no value any more, so that the ordering would make it wait as long as the shortage lasts.
    pub(crate) fn choose_overdue_jobs(&mut self, ready_jobs: &mut [ReadyJob], now: Duration) {
        let jobs = &self.jobs;
        let is_open = |id: &JobId| jobs.get(id).is_some_and(|job| job.end.is_none());
        self.shortage.had_turn.retain(is_open);
        let waits = |id: JobId| ready_jobs.iter().any(|ready| ready.job == id);
        let turns = &mut self.shortage.turns;
        turns.retain(|_, (id, since)| now < *since + TURN_TIME && waits(*id));
        let mut overdue: Vec<(OverdueRank, &Job)> = Vec::new();
        for ready in ready_jobs.iter() {
            let Some(job) = jobs.get(&ready.job) else {
                continue;
            };
            let service = &job.policy.service;
            if !ready.guaranteed
                && self.shortage.is_in(service)
                && !self.shortage.turns.contains_key(service)
                && self.is_overdue_job(job, now)
            {
                let had_turn = self.shortage.had_turn(job.id);
                let accounts = &self.shortage.served_accounts;
                let account_turn = accounts.get_index_of(&job.spec.account);
                overdue.push(((had_turn, account_turn, job.accepted_at), job));
            }
        }
        overdue.sort_by_key(|(rank, _)| *rank);
        for ((.., accepted_at), job) in overdue {
            let (service, account) = (&job.policy.service, &job.spec.account);
            let shortage = &mut self.shortage;
            if shortage.turns.contains_key(service) {
                continue;
            }
            shortage.turns.insert(service.clone(), (job.id, now));
            shortage.had_turn.insert(job.id);
            shortage.served_accounts.shift_remove(account);
            shortage.served_accounts.insert(account.clone());
            shortage.count(ShortageDecision::OverduePreferred, 1);
            log::info!(
                target: "limpethook",
                decision:% = ShortageDecision::OverduePreferred, job:% = format_args!("{:016x}", job.id), account:% = account,
                queue:% = job.spec.queue, waited_ms = now.saturating_sub(accepted_at).as_millis(),
                objective_ms = job.objective().as_millis();
                "overdue_job_preferred"
            );
        }
        for ready in ready_jobs {
            let job = self.jobs.get(&ready.job);
            let job = job.filter(|job| !ready.guaranteed && self.shortage.has_turn(job));
            ready.overdue_units = job
                .map(|job| self.overdue_units(job))
                .filter(|units| *units > 0);
        }
    }

    fn is_overdue_job(&self, job: &Job, now: Duration) -> bool {
        let stake = Stake::of(job, &self.queue_sizes);
        stake
            .worthless_at()
            .is_some_and(|at| now >= at + OVERDUE_WAIT)
    }

    /// Returns how many units of a job the share of an overdue job allows in addition to its runs: at least one if it has no
    /// runs.
    fn overdue_units(&self, job: &Job) -> u32 {
        let (mut capacity, mut used) = (0.0, 0.0);
        let service = &job.policy.service;
        for worker in self.workers.values().filter(|w| w.service == *service) {
            capacity += accelerator_equivalents(worker.capacity);
            let placements = worker.placements.values();
            let own = placements.filter(|placement| placement.unit_key().0 == job.id);
            used += own
                .map(|own| accelerator_equivalents(own.resources()))
                .sum::<f64>();
        }
        let steps = job.ready.steps();
        let largest = steps.map(|step| {
            let step = &job.spec.graph.steps[step as usize];
            let tasks = if step.gang { step.tasks } else { 1 };
            accelerator_equivalents(resources_per_task(step)) * f64::from(tasks)
        });
        let unit_size = largest.fold(0.0, f64::max);
        let mut units = u32::from(used <= 0.0);
        let mut total = used + unit_size * f64::from(units);
        while units < MAX_OVERDUE_UNITS && total + unit_size <= capacity * OVERDUE_SHARE {
            units += 1;
            total += unit_size;
        }
        units
    }
}

fn add(totals: &mut Totals, resources: ResourceVector, count: u32) {
    let added = [
        resources.accelerators,
        resources.millicores,
        resources.memory_mb,
    ];
    for (total, added) in totals.iter_mut().zip(added) {
        *total += u64::from(added) * u64::from(count);
    }
}
