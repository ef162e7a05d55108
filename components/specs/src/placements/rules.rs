//! What an owner of the takeover model may order and write.

use crate::placements::agent::Run;
use crate::placements::owner::{JobView, Owner, Placement, Recovery};
use crate::placements::{AGENTS, AgentIndex, AgentSet, Bound, JobIndex, Mutant};

impl Owner {
    /// Drops the placements on an agent whose leases have lapsed.
    pub(crate) fn expire(&mut self, agent: AgentIndex) {
        for view in &mut self.jobs {
            if view.placement.is_some_and(|placed| placed.agent == agent) {
                view.placement = None;
            }
        }
    }

    /// Returns whether no agent that was not heard can have a run of the job.
    pub(crate) fn may_place(&self, job: JobIndex, mutant: Mutant) -> bool {
        match self.recovery {
            Recovery::Recorded if mutant != Mutant::WaitForAll => {
                self.jobs[job].stored & !self.heard == 0
            }
            Recovery::Unrecorded | Recovery::Recorded => false,
            Recovery::Ended => true,
        }
    }

    /// Returns whether a start of the job may be ordered on an agent.
    pub(crate) fn may_order(&self, job: JobIndex, agent: AgentIndex, bound: &Bound) -> bool {
        let view = &self.jobs[job];
        let is_recorded = view.stored & (1 << agent) != 0
            || self.epoch == bound.unrecording
            || bound.mutant == Mutant::StartBeforeRecord;
        self.is_acting
            && (self.is_leased || bound.mutant == Mutant::StartWithoutLease)
            && self.has_heard(agent)
            && view.placement.is_none()
            && self.may_place(job, bound.mutant)
            && is_recorded
    }

    /// Places the job on an agent and returns the order.
    pub(crate) fn order(&mut self, job: JobIndex, agent: AgentIndex) -> (JobIndex, Run, u8) {
        self.last_run += 1;
        let (run, life) = ((self.epoch, self.last_run), self.lives[agent]);
        self.jobs[job].placement = Some(Placement { agent, run, life });
        (job, run, life)
    }

    /// Submits a set that names an agent that the stored set lacks, and otherwise only agents on which the job may have runs.
    ///
    /// Any agent that was heard may be needed, because jobs have several tasks.
    pub(crate) fn submit(&mut self, job: JobIndex, agent: AgentIndex, mutant: Mutant) {
        let kept = (0..AGENTS).filter(|agent| self.may_have_run(job, *agent, mutant));
        let kept: AgentSet = kept.map(|agent| 1 << agent).sum();
        let view = &mut self.jobs[job];
        view.submitted = Some(view.stored & kept | 1 << agent);
        if mutant != Mutant::UnansweredShrinkIgnored {
            view.stored &= kept;
        }
    }

    fn may_have_run(&self, job: JobIndex, agent: AgentIndex, mutant: Mutant) -> bool {
        let is_pending = self.recovery != Recovery::Ended && !self.has_heard(agent);
        mutant != Mutant::ShrinkBeforeEnd && (is_pending || self.is_placed(job, agent))
    }

    pub(crate) fn is_placed(&self, job: JobIndex, agent: AgentIndex) -> bool {
        let placement = self.jobs[job].placement;
        placement.is_some_and(|placed| placed.agent == agent)
    }

    /// Returns whether the stored sets name all agents on which jobs may have runs.
    pub(crate) fn are_records_complete(&self, mutant: Mutant) -> bool {
        let is_recorded = |view: &JobView| {
            let placed = view.placement.map_or(0, |placed| 1 << placed.agent);
            view.stored & placed == placed
        };
        let is_recovered =
            self.recovery != Recovery::Unrecorded || mutant == Mutant::RecordingBeforeRecovery;
        let are_recorded = self.jobs.iter().all(is_recorded);
        is_recovered && (are_recorded || mutant == Mutant::RecordingBeforeAdoptedStored)
    }
}
