//! Schedules gang jobs on adjacent accelerators under client account guarantees.
//!
//! This crate re-exports the public API. Embedders can use the scheduling code without the daemons: `board` holds the
//! shared snapshots, on which the decisions of `placement`, `policy` and `membership` are based.

pub use board;
pub use config;
pub use errors;
pub use membership;
pub use model;
pub use placement;
pub use policy;
pub use replay;
pub use timer;
