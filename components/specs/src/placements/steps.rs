//! The steps of the takeover model.

use crate::placements::owner::{Owner, Recovery};
use crate::placements::{AGENTS, AgentIndex, Bound, Epoch, Late, Mutant, State};

impl State {
    /// Returns all states that are reachable in one step.
    pub fn successors(&self, bound: &Bound) -> Vec<Self> {
        let mut next = Vec::new();
        if self.store.owner < bound.owners {
            next.push(self.with_change(|next| next.take_over(bound)));
        }
        for owner in self.owners.iter().filter(|owner| owner.is_acting) {
            self.add_owner_steps(owner, bound, &mut next);
        }
        for agent in 0..AGENTS {
            self.add_agent_steps(agent, bound, &mut next);
        }
        for late in &self.late {
            next.push(self.with_change(|next| {
                next.late.remove(late);
                next.apply_late(late, bound.mutant);
            }));
        }
        next.into_iter().map(State::canonical).collect()
    }

    fn take_over(&mut self, bound: &Bound) {
        let mutant = bound.mutant;
        for owner in &mut self.owners {
            if mutant == Mutant::StartWithoutLease {
                owner.is_leased = false;
            } else {
                owner.end_lease();
            }
        }
        self.late.retain(|late| {
            matches!(late, Late::Instruction(..)) || mutant == Mutant::StartWithoutLease
        });
        self.store.owner += 1;
        let epoch = self.store.owner;
        let is_recording = self.store.is_recording || mutant == Mutant::RelyWithoutRecords;
        self.store.is_recording &= epoch != bound.unrecording;
        let recovery = if is_recording && epoch != bound.unrecording {
            Recovery::Recorded
        } else {
            Recovery::Unrecorded
        };
        self.owners.push(Owner::new(self.store, recovery));
    }

    pub(crate) fn owner(&mut self, epoch: Epoch) -> &mut Owner {
        &mut self.owners[usize::from(epoch) - 1]
    }

    fn add_owner_steps(&self, owner: &Owner, bound: &Bound, next: &mut Vec<Self>) {
        let epoch = owner.epoch;
        let is_latest = self.store.owner == epoch;
        if is_latest && owner.recovery != Recovery::Ended {
            next.push(self.with_change(|next| next.pass_deadline(epoch)));
        }
        for agent in 0..AGENTS {
            self.add_instructions(owner, agent, bound, next);
            if is_latest
                && owner.has_heard(agent)
                && (0..bound.jobs).any(|job| owner.is_placed(job, agent))
            {
                next.push(self.with_change(|next| next.expire(epoch, agent)));
            }
        }
        if is_latest {
            next.push(self.with_change(|next| next.end_earlier(epoch)));
            self.add_recording(owner, bound, next);
        }
        if is_latest && epoch != bound.unrecording {
            for job in 0..bound.jobs {
                self.add_writes(owner, job, bound, next);
            }
        }
    }

    /// Adds instructions that arrive at once, and late ones.
    fn add_instructions(
        &self,
        owner: &Owner,
        agent: AgentIndex,
        bound: &Bound,
        next: &mut Vec<Self>,
    ) {
        let may_be_late = self.used.late < bound.late;
        let epoch = owner.epoch;
        let mut heard = self.agents[agent].clone();
        heard.follow(epoch);
        if heard != self.agents[agent] {
            next.push(self.with_change(|next| next.agents[agent] = heard));
            if may_be_late {
                let late = Late::Instruction(agent, epoch, None);
                next.push(self.with_change(|next| next.insert_late(late)));
            }
        }
        if owner.last_run >= bound.runs {
            return;
        }
        for job in 0..bound.jobs {
            if !owner.may_order(job, agent, bound) {
                continue;
            }
            let mut ordered = self.clone();
            let start = Some(ordered.owner(epoch).order(job, agent));
            let late = Late::Instruction(agent, epoch, start);
            next.push(ordered.with_change(|next| next.apply_late(&late, bound.mutant)));
            if may_be_late {
                next.push(ordered.with_change(|next| next.insert_late(late)));
            }
            next.push(ordered);
        }
    }

    /// Ends the owners before one, which let agents renew leases no longer.
    fn end_earlier(&mut self, epoch: Epoch) {
        for owner in &mut self.owners {
            owner.is_acting &= owner.epoch >= epoch;
        }
    }

    /// Passes the deadline of an owner: earlier owners have ended, and the leases of the agents that it has not heard have
    /// lapsed, with what was sent under them.
    fn pass_deadline(&mut self, epoch: Epoch) {
        self.end_earlier(epoch);
        self.late.retain(|late| late.epoch() >= epoch);
        let owner = self.owner(epoch);
        owner.recovery = Recovery::Ended;
        let heard = owner.heard;
        for (index, agent) in self.agents.iter_mut().enumerate() {
            if heard & (1 << index) == 0 && agent.confirmed <= epoch {
                agent.lapse();
            }
        }
    }

    /// Ends the leases of an agent that an owner has heard, with what was sent to it under them.
    fn expire(&mut self, epoch: Epoch, index: AgentIndex) {
        self.owner(epoch).expire(index);
        self.late
            .retain(|late| late.epoch() > epoch || late.agent() != Some(index));
        let agent = &mut self.agents[index];
        if agent.confirmed <= epoch {
            agent.lapse();
        }
    }
}
