//! Asynchronous jobs through separate processes.

mod attach;
mod cluster;
mod failures;
mod submit;
