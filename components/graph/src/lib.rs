//! Decides which tasks of job graphs run where.
//!
//! [`Scheduler`] is a function of events and the time passed in: it does no I/O and reads no clock. Times are
//! durations on the boot clock of the owner, which also counts while the machine is suspended.

mod adoption;
mod approvals;
mod changes;
mod claims;
mod ends;
mod estimates;
mod fit;
mod hang;
mod instructions;
mod job;
mod order;
mod placement;
mod plan;
mod preempt;
mod progress;
mod reports;
mod reserve;
mod scheduler;
mod worker;

pub use approvals::{ApprovalRequest, StepId};
pub use changes::{Change, Content};
pub use progress::{Progress, UnitProgress};
pub use scheduler::{Limits, LoadedJob, Scheduler, lapse_after};
