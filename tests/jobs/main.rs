//! Asynchronous jobs in deployments of separate processes.

mod attach;
mod failures;
mod submit;
