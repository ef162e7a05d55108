//! Small integer ticks instead of instants, so that equal situations are equal states.

use std::sync::OnceLock;
use std::time::{Duration, Instant};

/// Half of `RUN_TERM`: the coarsest tick in which every term of the gang protocol is a whole number.
pub const TICK: Duration = Duration::from_millis(500);

/// Counts ticks from the origin of the exploration.
pub type Tick = u32;

/// Returns the instant of a tick; the origin is one instant for the whole process.
pub fn at(tick: Tick) -> Instant {
    static ORIGIN: OnceLock<Instant> = OnceLock::new();
    *ORIGIN.get_or_init(Instant::now) + TICK * tick
}

/// Returns the number of ticks in a term.
pub fn ticks(term: Duration) -> Tick {
    let ticks = term.as_millis() / TICK.as_millis();
    Tick::try_from(ticks).unwrap_or(Tick::MAX)
}
