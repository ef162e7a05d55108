//! Stored progress of a job that has not ended.

use model::RunNumber;
use serde::{Deserialize, Serialize};

use crate::crashes::RunCrash;

/// The units of a job that differ from their initial state.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
    /// The changed units.
    pub units: Vec<UnitProgress>,
    /// The units under which workers crashed. Records of earlier versions end before this field.
    pub crashes: Vec<UnitCrashes>,
}

/// The stored state of a unit: a single task, or all tasks of a gang.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnitProgress {
    /// The occurrence of the job, from 0.
    pub occurrence: u32,
    /// The step, from 0.
    pub step: u32,
    /// Index of the first task of the unit within its step.
    pub first: u32,
    /// Whether the work of the unit is complete.
    pub done: bool,
    /// Numbers of the failed runs, so that a failure reported again counts once.
    pub failed_runs: Vec<RunNumber>,
    /// The latest checkpoint, empty if there is none.
    pub checkpoint: Box<str>,
}

/// The runs of a unit under which workers crashed, so that a task that crashes workers is given up across owners.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnitCrashes {
    /// The occurrence of the job, from 0.
    pub occurrence: u32,
    /// The step, from 0.
    pub step: u32,
    /// Index of the first task of the unit within its step.
    pub first: u32,
    /// The runs.
    pub crashes: Vec<RunCrash>,
}
