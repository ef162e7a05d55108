//! Decisions on admission, retries, history, blame and routing, without I/O and without a clock.
//!
//! Functions on the path of a request read one snapshot of the board and change only atomic counters. Each controller
//! is the only writer of its section.

pub mod blame;
pub mod history;
pub mod limits;
pub mod retry;
pub mod routing;
