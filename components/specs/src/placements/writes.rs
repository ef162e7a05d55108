//! Writes of an owner of the takeover model to the store.

use crate::placements::owner::Owner;
use crate::placements::{AGENTS, AgentSet, Bound, Epoch, JobIndex, Late, State};

impl State {
    /// Adds writes of the set of a job. Each is repeated until it is answered.
    pub(crate) fn add_writes(
        &self,
        owner: &Owner,
        job: JobIndex,
        bound: &Bound,
        next: &mut Vec<Self>,
    ) {
        let epoch = owner.epoch;
        let view = owner.jobs[job];
        let Some(set) = view.submitted else {
            let is_due =
                |agent: &usize| owner.has_heard(*agent) && view.stored & (1 << *agent) == 0;
            if self.used.writes < bound.writes {
                for agent in (0..AGENTS).filter(is_due) {
                    next.push(self.with_change(|next| {
                        next.used.writes += 1;
                        next.owner(epoch).submit(job, agent, bound.mutant);
                    }));
                }
            }
            return;
        };
        if self.used.late < bound.late {
            let late = Late::Write {
                epoch,
                job,
                set,
                is_current: view.is_current,
            };
            next.push(self.with_change(|next| next.insert_late(late)));
        }
        if !view.is_current {
            // The store refuses the write and tells the revision.
            next.push(self.with_change(|next| next.owner(epoch).jobs[job].is_current = true));
            return;
        }
        let written = self.with_change(|next| next.write_set(epoch, job, set));
        next.push(written.with_change(|next| {
            let view = &mut next.owner(epoch).jobs[job];
            view.stored = set;
            view.submitted = None;
            view.is_current = true;
        }));
        next.push(written);
    }

    /// Replaces the set in the store, without an answer to the owner.
    pub(crate) fn write_set(&mut self, epoch: Epoch, job: JobIndex, set: AgentSet) {
        self.store.sets[job] = set;
        self.owner(epoch).jobs[job].is_current = false;
        let late = std::mem::take(&mut self.late);
        self.late = late
            .into_iter()
            .map(|late| match late {
                Late::Write {
                    epoch,
                    job: of,
                    set,
                    ..
                } if of == job => Late::Write {
                    epoch,
                    job,
                    set,
                    is_current: false,
                },
                other => other,
            })
            .collect();
    }

    /// Adds the steps by which an owner counts itself as recording: it finds its sets complete, and writes this once no
    /// earlier owner lets agents renew leases.
    pub(crate) fn add_recording(&self, owner: &Owner, bound: &Bound, next: &mut Vec<Self>) {
        let epoch = owner.epoch;
        if self.store.is_recording || epoch <= bound.unrecording {
            return;
        }
        if !owner.is_recorded && owner.are_records_complete(bound.mutant) {
            next.push(self.with_change(|next| next.owner(epoch).is_recorded = true));
        }
        let mut earlier = self.owners.iter().filter(|earlier| earlier.epoch < epoch);
        if owner.is_recorded && !earlier.any(|earlier| earlier.is_acting) {
            next.push(self.with_change(|next| next.store.is_recording = true));
        }
    }
}
