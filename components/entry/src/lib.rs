//! The entry daemon: it takes callers' requests, admits and routes them, and returns the answers.

mod call;
mod context;
mod directory;
mod dispatch;
mod drain;
mod gang;
mod http;
mod limits;
mod metrics;
mod ready;
mod relay;
mod retry;
mod route;
mod run;
mod serve;
mod short;

pub use run::run;
