//! Schedules the tasks of job graphs on workers.
//!
//! [`Scheduler`] is a state machine driven by events and by the time passed in: it does no I/O and reads no clock.
//! Times are durations on the boot clock of the owner, which also advances while the machine is suspended.

mod adoption;
mod approvals;
mod changes;
mod ends;
mod estimates;
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
mod reports;
mod reservations;
mod scheduler;
mod worker;

pub use approvals::{ApprovalRequest, StepId};
pub use changes::{Change, Content};
pub use progress::{Progress, UnitProgress};
pub use scheduler::{Limits, LoadedJob, Scheduler, lapse_after};
