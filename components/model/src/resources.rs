//! Amounts of accelerators, processors and memory.

use serde::{Deserialize, Serialize};

/// An amount of each resource of a worker.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Resources {
    /// Number of accelerators; an accelerator is never shared.
    pub accelerators: u32,
    /// Number of processor cores.
    pub cores: u32,
    /// Memory in megabytes.
    pub memory_mb: u32,
}

impl Resources {
    /// Returns how many times `unit` fits; a zero unit fits any number of times.
    pub fn times(self, unit: Self) -> u32 {
        let ratio = |have: u32, need: u32| have.checked_div(need).unwrap_or(u32::MAX);
        ratio(self.accelerators, unit.accelerators)
            .min(ratio(self.cores, unit.cores))
            .min(ratio(self.memory_mb, unit.memory_mb))
    }

    /// Returns this amount `count` times.
    #[must_use]
    pub fn scaled(self, count: u32) -> Self {
        Self {
            accelerators: self.accelerators.saturating_mul(count),
            cores: self.cores.saturating_mul(count),
            memory_mb: self.memory_mb.saturating_mul(count),
        }
    }

    /// Returns the sum of two amounts.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        Self {
            accelerators: self.accelerators.saturating_add(other.accelerators),
            cores: self.cores.saturating_add(other.cores),
            memory_mb: self.memory_mb.saturating_add(other.memory_mb),
        }
    }

    /// Returns what is left after `other` is taken, or nothing if it does not fit.
    pub fn checked_minus(self, other: Self) -> Option<Self> {
        Some(Self {
            accelerators: self.accelerators.checked_sub(other.accelerators)?,
            cores: self.cores.checked_sub(other.cores)?,
            memory_mb: self.memory_mb.checked_sub(other.memory_mb)?,
        })
    }

    /// Returns what is left after `other` is taken, with nothing below zero.
    #[must_use]
    pub fn saturating_minus(self, other: Self) -> Self {
        Self {
            accelerators: self.accelerators.saturating_sub(other.accelerators),
            cores: self.cores.saturating_sub(other.cores),
            memory_mb: self.memory_mb.saturating_sub(other.memory_mb),
        }
    }

    /// Returns the smaller amount of each resource.
    #[must_use]
    pub fn min(self, other: Self) -> Self {
        Self {
            accelerators: self.accelerators.min(other.accelerators),
            cores: self.cores.min(other.cores),
            memory_mb: self.memory_mb.min(other.memory_mb),
        }
    }

    /// Returns the larger amount of each resource.
    #[must_use]
    pub fn max(self, other: Self) -> Self {
        Self {
            accelerators: self.accelerators.max(other.accelerators),
            cores: self.cores.max(other.cores),
            memory_mb: self.memory_mb.max(other.memory_mb),
        }
    }
}
