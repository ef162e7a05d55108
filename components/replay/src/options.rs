//! Delays of the platform in virtual time.

use std::time::Duration;

/// Fixed delays that a replay assumes.
#[derive(Debug, Clone)]
pub struct Options {
    /// From the plan of a gang to the report that every member is reserved.
    pub reserve_delay: Duration,
    /// From the stop of a gang to the report that it ended.
    pub stop_delay: Duration,
    /// From the start of a task that fails to its failure.
    pub failure_delay: Duration,
    /// From the loss of a worker to the end of its gangs.
    pub gang_lease_term: Duration,
    /// From the loss of a worker to the change of the membership.
    pub detection_delay: Duration,
    /// How long a reservation on a lost worker stays unanswered.
    pub reservation_term: Duration,
    /// Time between two ticks while jobs wait.
    pub tick: Duration,
    /// Ticks end this long after the last other event, so that a stuck queue ends the run.
    pub stall_limit: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            // One round trip over the region link (2 x 12 ms) and the work of the agents.
            reserve_delay: Duration::from_millis(30),
            // The longest stop of work that may borrow guaranteed capacity.
            stop_delay: Duration::from_millis(500),
            failure_delay: Duration::from_secs(5),
            gang_lease_term: Duration::from_secs(2),
            detection_delay: Duration::from_secs(3),
            reservation_term: Duration::from_secs(2),
            tick: Duration::from_secs(1),
            stall_limit: Duration::from_hours(1),
        }
    }
}
