//! Data centres that an operator evacuates: their workers get no new tasks until the evacuation is taken back.
//!
//! What runs there goes on. A stop would lose work or time, and an evacuation does not say that the workers leave; those that do
//! drain, each with its own deadline. A task that ends or fails there starts again elsewhere.

use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use model::{AgentId, DataCentreId};

use crate::job::UnitKey;
use crate::placement::AnyPlacement;
use crate::scheduler::Scheduler;

/// How long a start that was ordered before an evacuation may stay without an answer. The attempts of an agent take 1.6 s; a
/// later one could come after the bound of the evacuation.
const UNANSWERED_START_TIME: Duration = Duration::from_millis(1800);

/// Workers that evacuations take away, for operators.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct EvacuationState {
    /// Number of evacuated workers.
    pub workers: usize,
    /// Accelerators that are guaranteed to client accounts beyond those of the other workers.
    pub missing_accelerators: u32,
}

impl Scheduler {
    /// Sets the evacuated data centres.
    pub fn set_evacuations(&mut self, data_centres: &IndexSet<DataCentreId>, now: Duration) {
        if data_centres.len() == self.evacuated.len()
            && data_centres
                .iter()
                .all(|name| self.evacuated.contains_key(name))
        {
            return;
        }
        let since = |name: &DataCentreId| self.evacuated.get(name).copied().unwrap_or(now);
        let evacuated: IndexMap<DataCentreId, Duration> = data_centres
            .iter()
            .map(|name| (name.clone(), since(name)))
            .collect();
        self.evacuated = evacuated;
        for worker in self.workers.values_mut() {
            worker.evacuated_since = self.evacuated.get(&worker.data_centre).copied();
        }
        self.plan_needed = true;
        self.withdraw_evacuated_starts(now);
        let state = self.evacuation_state();
        log::warn!(
            target: "limpethook",
            data_centres:? = self.evacuated.keys().collect::<Vec<_>>(), workers = state.workers,
            missing_accelerators = state.missing_accelerators;
            "evacuations_applied"
        );
    }

    /// Returns what the evacuations take away.
    pub fn evacuation_state(&self) -> EvacuationState {
        if self.evacuated.is_empty() {
            return EvacuationState::default();
        }
        let workers = self.workers.values();
        let is_evacuated = |worker: &&crate::worker::Worker| worker.evacuated_since.is_some();
        let evacuated = workers.clone().filter(is_evacuated).count();
        let others = workers.filter(|worker| worker.evacuated_since.is_none() && !worker.lost);
        let left = others.map(|worker| worker.capacity.accelerators);
        let left = left.fold(0, u32::saturating_add);
        let guaranteed = self.guarantees.values().copied();
        let guaranteed = guaranteed.fold(0, u32::saturating_add);
        EvacuationState {
            workers: evacuated,
            missing_accelerators: guaranteed.saturating_sub(left),
        }
    }

    /// Stops the units of starts on evacuated workers that were not ordered, or not answered for a while.
    pub(crate) fn withdraw_evacuated_starts(&mut self, now: Duration) {
        if self.evacuated.is_empty() {
            return;
        }
        let mut withdrawn: IndexMap<UnitKey, AgentId> = IndexMap::new();
        for worker in self.workers.values() {
            let Some(since) = worker.evacuated_since else {
                continue;
            };
            for placement in worker.placements.values() {
                let AnyPlacement::Starting(starting) = placement else {
                    continue;
                };
                let is_overdue = now >= since + UNANSWERED_START_TIME;
                if starting.state.sent_at.is_none() || is_overdue {
                    withdrawn.insert(placement.unit_key(), worker.agent.clone());
                }
            }
        }
        for ((job, unit), agent) in withdrawn {
            log::info!(
                target: "limpethook",
                job:% = format_args!("{job:016x}"), step = unit.step, first = unit.first, agent:% = agent;
                "evacuated_start_withdrawn"
            );
            self.stop_unit(job, unit);
        }
    }
}
