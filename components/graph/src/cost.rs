//! What jobs cost the owner in memory.

use indexmap::IndexMap;
use model::{AcceptedJob, AccountId, JobEnd, Step};

/// A job without its steps: its record, its policy, its state in the published views, and its messages.
const JOB_BYTES: usize = 4 * 1024;
/// A step with its expected run time and the set of its ready units.
const STEP_BYTES: usize = 512;
/// A dependency, which both steps list.
const DEPENDENCY_BYTES: usize = 16;
/// State of a step within one occurrence.
const OCCURRENCE_BYTES: usize = 16;
/// A unit in the tables of its job, which may have room for twice as many.
const UNIT_BYTES: usize = 400;
/// Copies of a text while a job is stored.
const STORED_FORMS: usize = 8;
/// An ended job, whose state can still be queried.
pub const ENDED_JOB_BYTES: usize = 256;

/// Returns the memory that an entry takes to store a job: the decoded form, the record, its text form and the request that holds it.
/// Tasks and occurrences are not unfolded for that.
pub fn storing_bytes(job: &AcceptedJob) -> usize {
    let graph = &job.graph;
    let steps = graph.steps.iter();
    let steps = steps.map(|step| STEP_BYTES + texts(step) + step.after.len() * DEPENDENCY_BYTES);
    JOB_BYTES + STORED_FORMS * graph.body.len() + steps.sum::<usize>()
}

/// Returns the memory that a job takes at the owner at most, with all its occurrences.
pub fn job_bytes(job: &AcceptedJob) -> usize {
    let graph = &job.graph;
    let occurrences = usize::try_from(graph.occurrences()).unwrap_or(usize::MAX);
    let steps = graph.steps.iter();
    let steps = steps.map(|step| step_bytes(step, occurrences));
    JOB_BYTES + graph.body.len() + steps.fold(0, usize::saturating_add)
}

fn step_bytes(step: &Step, occurrences: usize) -> usize {
    let units = if step.gang { 1 } else { step.tasks };
    let units = usize::try_from(units).unwrap_or(usize::MAX);
    let units = units
        .saturating_mul(UNIT_BYTES)
        .saturating_add(OCCURRENCE_BYTES);
    units
        .saturating_mul(occurrences)
        .saturating_add(STEP_BYTES + texts(step) + step.after.len() * DEPENDENCY_BYTES)
}

/// Returns the length of the texts of a step.
fn texts(step: &Step) -> usize {
    let optional = [&step.required_label, &step.data_rack];
    let optional = optional.into_iter().flatten().map(|text| text.len());
    optional.sum::<usize>() + step.image.len()
}

/// Memory that the jobs of an owner take.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct JobUsage {
    /// Bytes of all jobs, with those that have ended.
    pub total: usize,
    /// Bytes by client account, without jobs that had ended when the owner started.
    pub accounts: IndexMap<AccountId, usize>,
}

impl JobUsage {
    /// Returns the bytes of the jobs of a client account.
    pub fn of_account(&self, account: &str) -> usize {
        self.accounts.get(account).copied().unwrap_or(0)
    }

    /// Adds bytes of a job.
    pub fn add(&mut self, account: &AccountId, bytes: usize) {
        self.total += bytes;
        *self.accounts.entry(account.clone()).or_default() += bytes;
    }

    /// Subtracts bytes of a job.
    pub fn subtract(&mut self, account: &AccountId, bytes: usize) {
        self.total = self.total.saturating_sub(bytes);
        if let Some(used) = self.accounts.get_mut(account) {
            *used = used.saturating_sub(bytes);
            if *used == 0 {
                self.accounts.swap_remove(account);
            }
        }
    }

    pub(crate) fn add_ended(&mut self, ended: &EndedJob) {
        match &ended.account {
            Some(account) => self.add(account, ENDED_JOB_BYTES),
            None => self.total += ENDED_JOB_BYTES,
        }
    }

    pub(crate) fn subtract_ended(&mut self, ended: &EndedJob) {
        match &ended.account {
            Some(account) => self.subtract(account, ENDED_JOB_BYTES),
            None => self.total = self.total.saturating_sub(ENDED_JOB_BYTES),
        }
    }
}

/// A job whose end is stored and that has no runs.
#[derive(Debug, Clone)]
pub(crate) struct EndedJob {
    pub(crate) end: JobEnd,
    /// Client account; `None` if the job ended under an earlier owner, because the record does not name it.
    pub(crate) account: Option<AccountId>,
}
