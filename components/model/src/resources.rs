//! Resources of workers and tasks with whole processor cores.

use serde::{Deserialize, Serialize};

/// Resources of a worker, or required by a task.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Resources {
    /// Number of accelerators, which tasks never share.
    pub accelerators: u32,
    /// Number of processor cores.
    pub cores: u32,
    /// Memory in megabytes.
    pub memory_mb: u32,
}

impl Resources {
    /// Returns how many times `unit` fits into these resources; `u32::MAX` if `unit` is zero.
    pub fn fit_count(self, unit: Self) -> u32 {
        let ratio = |have: u32, need: u32| have.checked_div(need).unwrap_or(u32::MAX);
        ratio(self.accelerators, unit.accelerators)
            .min(ratio(self.cores, unit.cores))
            .min(ratio(self.memory_mb, unit.memory_mb))
    }

    /// Multiplies each component by `count`, saturating at `u32::MAX`.
    #[must_use]
    pub fn saturating_mul(self, count: u32) -> Self {
        Self {
            accelerators: self.accelerators.saturating_mul(count),
            cores: self.cores.saturating_mul(count),
            memory_mb: self.memory_mb.saturating_mul(count),
        }
    }

    /// Adds each component, saturating at `u32::MAX`.
    #[must_use]
    pub fn saturating_add(self, other: Self) -> Self {
        Self {
            accelerators: self.accelerators.saturating_add(other.accelerators),
            cores: self.cores.saturating_add(other.cores),
            memory_mb: self.memory_mb.saturating_add(other.memory_mb),
        }
    }

    /// Subtracts each component; `None` if `other` does not fit.
    pub fn checked_sub(self, other: Self) -> Option<Self> {
        Some(Self {
            accelerators: self.accelerators.checked_sub(other.accelerators)?,
            cores: self.cores.checked_sub(other.cores)?,
            memory_mb: self.memory_mb.checked_sub(other.memory_mb)?,
        })
    }

    /// Subtracts each component, saturating at zero.
    #[must_use]
    pub fn saturating_sub(self, other: Self) -> Self {
        Self {
            accelerators: self.accelerators.saturating_sub(other.accelerators),
            cores: self.cores.saturating_sub(other.cores),
            memory_mb: self.memory_mb.saturating_sub(other.memory_mb),
        }
    }

    /// Returns the minimum of each component.
    #[must_use]
    pub fn min(self, other: Self) -> Self {
        Self {
            accelerators: self.accelerators.min(other.accelerators),
            cores: self.cores.min(other.cores),
            memory_mb: self.memory_mb.min(other.memory_mb),
        }
    }

    /// Returns the maximum of each component.
    #[must_use]
    pub fn max(self, other: Self) -> Self {
        Self {
            accelerators: self.accelerators.max(other.accelerators),
            cores: self.cores.max(other.cores),
            memory_mb: self.memory_mb.max(other.memory_mb),
        }
    }
}
