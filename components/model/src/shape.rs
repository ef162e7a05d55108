//! The shape of a gang: its number of tasks, their resources and their adjacency.

use serde::{Deserialize, Serialize};

use crate::resources::Resources;

/// The topology domain within which all tasks of a gang must be placed.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Adjacency {
    /// All tasks on one worker.
    Worker,
    /// All tasks in one rack.
    Rack,
    /// All tasks in one data centre.
    #[default]
    DataCentre,
    /// All tasks in one region.
    Region,
    /// No restriction.
    Any,
}

/// The tasks of a gang and their adjacency constraint.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Shape {
    /// Number of tasks.
    pub tasks: u32,
    /// Accelerators per task.
    pub accelerators: u32,
    /// Processor cores per task.
    pub cores: u32,
    /// Memory per task in megabytes.
    pub memory_mb: u32,
    /// Topology domain within which the gang must be placed.
    pub adjacency: Adjacency,
}

impl Shape {
    /// Maximum number of tasks in a gang.
    pub const MAX_TASKS: u32 = 128;

    /// Returns the resources that each task requires.
    pub fn per_task(&self) -> Resources {
        Resources {
            accelerators: self.accelerators,
            cores: self.cores,
            memory_mb: self.memory_mb,
        }
    }

    /// Returns the resources that the gang requires in total.
    pub fn total(&self) -> Resources {
        self.per_task().saturating_mul(self.tasks)
    }

    /// Returns why the shape is invalid, or `None` if it is valid.
    pub fn validation_error(&self) -> Option<&'static str> {
        if self.tasks == 0 {
            return Some("tasks must be at least 1");
        }
        if self.tasks > Self::MAX_TASKS {
            return Some("tasks must be at most 128");
        }
        if self.per_task() == Resources::default() {
            return Some("a task must need accelerators, cores or memory_mb");
        }
        None
    }
}
