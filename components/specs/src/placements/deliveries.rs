//! Steps of agents of the takeover model, and late deliveries.

use crate::placements::{AgentIndex, Bound, Epoch, Late, Mutant, State};

impl State {
    pub(crate) fn add_agent_steps(&self, index: AgentIndex, bound: &Bound, next: &mut Vec<Self>) {
        let agent = &self.agents[index];
        for owner in self.owners.iter().filter(|owner| owner.is_acting) {
            let is_early = bound.mutant == Mutant::UnconfirmedReportCounts;
            let reaches = agent.epoch == owner.epoch || is_early && agent.epoch < owner.epoch;
            if !reaches || !owner.is_leased && bound.mutant != Mutant::StartWithoutLease {
                continue;
            }
            let mut informed = owner.clone();
            informed.apply_report(index, agent, bound.mutant);
            if informed != *owner {
                let epoch = owner.epoch;
                next.push(self.with_change(|next| *next.owner(epoch) = informed));
            }
            if self.used.late < bound.late {
                let late = Late::Report(owner.epoch, index, agent.clone());
                next.push(self.with_change(|next| {
                    next.insert_late(late);
                }));
            }
        }
        if self.used.ends < bound.ends {
            for job in (0..bound.jobs).filter(|job| agent.runs[*job].is_some()) {
                next.push(self.with_change(|next| {
                    next.used.ends += 1;
                    next.agents[index].end(job);
                }));
            }
        }
        if self.used.restarts < bound.restarts {
            next.push(self.with_change(|next| {
                next.used.restarts += 1;
                next.agents[index].restart();
                next.close_connections(index);
            }));
        }
        if self.used.reboots < bound.reboots {
            next.push(self.with_change(|next| {
                next.used.reboots += 1;
                next.agents[index].reboot();
                next.close_connections(index);
            }));
        }
    }

    /// Drops the instructions that are on their way to a process that has ended.
    fn close_connections(&mut self, index: AgentIndex) {
        self.late
            .retain(|late| !matches!(late, Late::Instruction(agent, ..) if *agent == index));
    }

    pub(crate) fn insert_late(&mut self, late: Late) {
        self.used.late += 1;
        self.late.insert(late);
    }

    pub(crate) fn apply_late(&mut self, late: &Late, mutant: Mutant) {
        match late {
            Late::Write {
                epoch,
                job,
                set,
                is_current,
            } => {
                let is_unchanged = *is_current || mutant == Mutant::NoRevisionCheck;
                if self.store.owner == *epoch && is_unchanged {
                    self.write_set(*epoch, *job, *set);
                }
            }
            Late::Instruction(index, epoch, start) => {
                let agent = &mut self.agents[*index];
                if agent.follow(*epoch)
                    && let Some((job, run, life)) = *start
                {
                    agent.start(job, run, life);
                }
            }
            Late::Report(epoch, index, agent) => {
                self.owner(*epoch).apply_report(*index, agent, mutant);
            }
        }
    }
}

impl Late {
    pub(crate) fn epoch(&self) -> Epoch {
        match self {
            Self::Write { epoch, .. }
            | Self::Report(epoch, ..)
            | Self::Instruction(_, epoch, _) => *epoch,
        }
    }

    pub(crate) fn agent(&self) -> Option<AgentIndex> {
        match self {
            Self::Write { .. } => None,
            Self::Report(_, agent, _) | Self::Instruction(agent, ..) => Some(*agent),
        }
    }
}
