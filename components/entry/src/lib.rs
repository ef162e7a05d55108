//! The entry daemon: accepts requests over HTTP, admits and routes them, and returns the answers.

mod call;
mod claim;
mod context;
mod direct;
mod directory;
mod dispatch;
mod drain;
mod gang;
mod headers;
mod http;
mod idempotency;
mod jobs;
mod limits;
mod metrics;
mod recovery;
mod relay;
mod retry;
mod route;
mod run;
mod sent;
mod serve;
mod silent;
mod takeover;

pub use run::run;
