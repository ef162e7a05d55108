//! The entry daemon: it takes callers' requests, admits and routes them, and returns the answers.

mod call;
mod claim;
mod context;
mod directory;
mod dispatch;
mod drain;
mod gang;
mod headers;
mod http;
mod jobs;
mod keyed;
mod limits;
mod metrics;
mod ready;
mod relay;
mod retry;
mod route;
mod run;
mod sent;
mod serve;
mod short;
mod takeover;

pub use run::run;
