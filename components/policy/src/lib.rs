//! Decisions on admission, retries, history, blame and routing; they do no I/O and receive the current time.
//!
//! Functions on the path of a request read one snapshot of the board and write only to atomic counters. Each controller
//! is the only writer of its section.

pub mod blame;
pub mod history;
pub mod limits;
pub mod retry;
pub mod routing;
