//! Symmetry of the takeover model: states that differ only in the numbers of the agents are explored once.

use crate::placements::owner::Owner;
use crate::placements::{AGENTS, AgentIndex, AgentSet, Late, State};

/// The new number of each agent.
type Permutation = [AgentIndex; AGENTS];

const PERMUTATIONS: [Permutation; 6] = [
    [0, 1, 2],
    [0, 2, 1],
    [1, 0, 2],
    [1, 2, 0],
    [2, 0, 1],
    [2, 1, 0],
];

fn permute_set(set: AgentSet, permutation: &Permutation) -> AgentSet {
    (0..AGENTS)
        .filter(|agent| set & (1 << agent) != 0)
        .map(|agent| 1 << permutation[agent])
        .sum()
}

fn permute_array<T: Clone>(items: &[T; AGENTS], permutation: &Permutation) -> [T; AGENTS] {
    let mut permuted = items.clone();
    for (agent, item) in items.iter().enumerate() {
        permuted[permutation[agent]] = item.clone();
    }
    permuted
}

impl State {
    /// Returns the representative of the states that differ from this one only in the numbers of the agents: the least of
    /// those in which the agents are in order.
    pub(crate) fn canonical(self) -> Self {
        let mut orders = PERMUTATIONS
            .iter()
            .filter(|to| self.is_ordered_by(to))
            .map(|to| self.permuted(to));
        let first = orders.next();
        first.map_or(self.clone(), |first| orders.fold(first, Ord::min))
    }

    fn is_ordered_by(&self, to: &Permutation) -> bool {
        let mut agents = [&self.agents[0]; AGENTS];
        for (agent, state) in self.agents.iter().enumerate() {
            agents[to[agent]] = state;
        }
        agents.is_sorted()
    }

    fn permuted(&self, to: &Permutation) -> Self {
        let mut next = self.clone();
        next.agents = permute_array(&self.agents, to);
        next.store.sets = self.store.sets.map(|set| permute_set(set, to));
        for owner in &mut next.owners {
            owner.permute(to);
        }
        let late = self.late.iter().cloned();
        next.late = late.map(|late| late.permuted(to)).collect();
        next
    }
}

impl Late {
    fn permuted(self, to: &Permutation) -> Self {
        match self {
            Self::Write {
                epoch,
                job,
                set,
                is_current,
            } => Self::Write {
                epoch,
                job,
                set: permute_set(set, to),
                is_current,
            },
            Self::Instruction(agent, epoch, start) => Self::Instruction(to[agent], epoch, start),
            Self::Report(epoch, agent, report) => Self::Report(epoch, to[agent], report),
        }
    }
}

impl Owner {
    fn permute(&mut self, to: &Permutation) {
        self.heard = permute_set(self.heard, to);
        self.lives = permute_array(&self.lives, to);
        for view in &mut self.jobs {
            view.stored = permute_set(view.stored, to);
            view.submitted = view.submitted.map(|set| permute_set(set, to));
            if let Some(placement) = &mut view.placement {
                placement.agent = to[placement.agent];
            }
        }
    }
}
