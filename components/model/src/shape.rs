//! The shape of a gang: its tasks, what each needs, and how close they must be.

use serde::{Deserialize, Serialize};

use crate::resources::Resources;

/// The widest part of the hierarchy that may hold all tasks of a gang.
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

/// The tasks of a gang and the adjacency they need.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Shape {
    /// Number of tasks.
    pub tasks: u32,
    /// Accelerators of each task.
    pub accelerators: u32,
    /// Processor cores of each task.
    pub cores: u32,
    /// Memory of each task in megabytes.
    pub memory_mb: u32,
    /// The widest part of the hierarchy that may hold the gang.
    pub adjacency: Adjacency,
}

impl Shape {
    /// The largest number of tasks in a gang.
    pub const MAX_TASKS: u32 = 128;

    /// Returns what one task needs.
    pub fn per_task(&self) -> Resources {
        Resources {
            accelerators: self.accelerators,
            cores: self.cores,
            memory_mb: self.memory_mb,
        }
    }

    /// Returns what the whole gang needs.
    pub fn total(&self) -> Resources {
        self.per_task().scaled(self.tasks)
    }

    /// Returns the reason why the shape is malformed, if it is.
    pub fn fault(&self) -> Option<&'static str> {
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
