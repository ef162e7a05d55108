//! Discrete time in integer ticks, so that equivalent situations are equal states.

use std::sync::OnceLock;
use std::time::{Duration, Instant};

/// The length of a tick: half of `RUN_TERM`, so that all terms of the gang protocol are whole numbers of ticks.
pub const TICK: Duration = Duration::from_millis(500);

/// The number of ticks since the origin of the exploration.
pub type Tick = u32;

/// Returns the instant of a tick; all explorations in a process share one origin.
pub fn instant(tick: Tick) -> Instant {
    static ORIGIN: OnceLock<Instant> = OnceLock::new();
    *ORIGIN.get_or_init(Instant::now) + TICK * tick
}

/// Returns the number of ticks in a term.
pub fn ticks(term: Duration) -> Tick {
    let ticks = term.as_millis() / TICK.as_millis();
    Tick::try_from(ticks).unwrap_or(Tick::MAX)
}
