//! Delays of the simulated platform in virtual time.

use std::time::Duration;

/// Fixed delays for a replay.
#[derive(Debug, Clone)]
pub struct Options {
    /// Time from the placement of a gang to the report that all members are reserved.
    pub reserve_delay: Duration,
    /// Time from the stop of a gang to the report that it ended.
    pub stop_delay: Duration,
    /// Time from the start of a failing task to its failure.
    pub failure_delay: Duration,
    /// Time from the loss of a worker to the end of its gangs.
    pub gang_lease_term: Duration,
    /// Time from the loss of a worker to its removal from the membership.
    pub detection_delay: Duration,
    /// Time until an unanswered reservation request on a lost worker expires.
    pub reservation_term: Duration,
    /// Interval between ticks while jobs wait.
    pub tick_interval: Duration,
    /// Ticks stop this long after the last other event, so that a replay ends if queued jobs are never placed.
    pub stall_timeout: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            // One round trip over the link between regions (2 x 12 ms) and the processing time of the agents.
            reserve_delay: Duration::from_millis(30),
            // The maximum stop time of work that may borrow guaranteed capacity.
            stop_delay: Duration::from_millis(500),
            failure_delay: Duration::from_secs(5),
            gang_lease_term: Duration::from_secs(2),
            detection_delay: Duration::from_secs(3),
            reservation_term: Duration::from_secs(2),
            tick_interval: Duration::from_secs(1),
            stall_timeout: Duration::from_hours(1),
        }
    }
}
