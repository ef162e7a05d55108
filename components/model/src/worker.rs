//! A worker as its agent announces it.

use serde::{Deserialize, Serialize};

use crate::ids::{AgentId, WorkerId};
use crate::place::Place;
use crate::resources::Resources;

/// A machine that runs tasks.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Worker {
    /// The id of the worker.
    pub id: WorkerId,
    /// The agent that reserves its resources.
    pub agent: AgentId,
    /// Where it stands.
    pub place: Place,
    /// Its resources when idle.
    pub capacity: Resources,
}
