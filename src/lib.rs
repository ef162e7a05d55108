//! Schedules gang jobs on adjacent accelerators under client account guarantees.
//!
//! This crate lists what is public. Embedders use the decision code without the daemons: `board` holds the shared
//! snapshots, and `placement`, `policy` and `membership` decide from them.

pub use board;
pub use config;
pub use errors;
pub use membership;
pub use model;
pub use placement;
pub use policy;
pub use replay;
pub use timer;
