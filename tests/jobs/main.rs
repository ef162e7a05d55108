//! Asynchronous jobs through separate processes.

mod attach;
mod failures;
mod submit;
