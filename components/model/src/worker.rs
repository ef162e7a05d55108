//! A worker as announced by its agent.

use serde::{Deserialize, Serialize};

use crate::ids::{AgentId, WorkerId};
use crate::location::Location;
use crate::resources::Resources;

/// A machine that runs tasks.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Worker {
    /// Id of the worker.
    pub id: WorkerId,
    /// Agent that reserves its resources.
    pub agent: AgentId,
    /// Location of the worker.
    #[serde(rename = "place")]
    pub location: Location,
    /// Total resources of the worker.
    pub capacity: Resources,
}
