//! Schedules the tasks of job graphs on workers.
//!
//! [`Scheduler`] is a state machine driven by events and by the time passed in: it does no I/O and reads no clock.
//!
//! # Terms
//!
//! - A job consists of steps, and a step of identical tasks. A unit is a single task, or all tasks of a gang; its tasks
//!   are placed and restarted together.
//! - A run is one execution of a task on a worker, identified by the task and a run number that increases with each
//!   restart. A placement is the owner's record of a run that has not ended.
//! - The owner of a cell has the only active scheduler. Each owner has a higher epoch than the one before, and workers
//!   that have confirmed an epoch refuse orders of lower ones.
//! - An agent runs beside each worker. It sends reports about the worker to the owner and passes on the orders in the
//!   replies.
//! - Recovery is the first phase of an owner: jobs of earlier owners are not placed until the runs of all agents in the
//!   roster are known, or the leases of the others have lapsed. A run that an earlier owner started is adopted if its
//!   unit still needs it.
//! - A run is on probation until it has lived for a while. A unit that may have crashed a worker during its probation is
//!   a suspect, and its next run gets a trial: no other unit starts on its workers during its probation.
//! - A worker is unconfirmed until it has confirmed the epoch of this owner, absent if its agent reports that nothing
//!   runs on it, and lost if it is absent or its lease has lapsed.
//!
//! # Times
//!
//! Times are durations on the boot clock of the owner, which also advances while the machine is suspended. The
//! exceptions are the times of jobs in the store and parameters named `unix_time`, which count from the Unix epoch, and
//! the `sent_at` of reports, which is on the boot clock of the agent.

mod approvals;
mod changes;
mod cost;
mod crashes;
mod drain;
mod eligibility;
mod ends;
mod estimates;
mod evacuation;
mod fit;
mod hang;
mod headroom;
mod instructions;
mod job;
mod order;
mod placement;
mod plan;
mod preempt;
mod progress;
mod ready;
mod records;
mod recovery;
mod removals;
mod reports;
mod reservations;
mod room;
mod scheduler;
mod speed_choice;
mod speeds;
mod trust;
mod victims;
mod wait_reasons;
mod waits;
mod worker;

pub use approvals::{ApprovalRequest, StepId};
pub use changes::{Change, Content};
pub use cost::{ENDED_JOB_BYTES, JobUsage, job_bytes, storing_bytes};
pub use crashes::{CrashEvidence, PROBATION, RunCrash};
pub use evacuation::EvacuationState;
pub use progress::{Progress, UnitCrashes, UnitProgress};
pub use records::PlacementChange;
pub use recovery::RecoveryState;
pub use removals::RemovalReason;
pub use scheduler::{LoadedJob, Scheduler, SchedulerSettings, lapse_after};
pub use speeds::SpeedCounts;
pub use waits::{MIN_WAIT, Wait, WaitReason};
