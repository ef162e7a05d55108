//! What an owner publishes, and the owner as the rest of its process sees it.
//!
//! An owner publishes on a board of its own, which is created from the loaded records and is reached through the owner only. So
//! there is no state that reads as knowledge while nothing is known: before the records are loaded there is no board, and after
//! the ownership the board is gone.

use std::sync::Arc;

use board::Section;
use errors::Result;
use graph::JobUsage;
use indexmap::IndexMap;
use model::{JobId, JobState, QueueId};
use tokio::sync::oneshot;

use crate::clock::boot_now;
use crate::leader::LeaderHandle;
use crate::metrics::OwnerMetrics;
use crate::serve::not_owner_error;

/// Job states as last published by the owner.
#[derive(Debug, Clone)]
pub struct JobStates {
    /// State of each job.
    pub jobs: IndexMap<JobId, JobState>,
    /// Number of waiting jobs by queue.
    pub waiting: IndexMap<QueueId, u32>,
}

/// Blackboard of one ownership; its owner writes all sections.
#[derive(Debug)]
pub(crate) struct OwnerBoard {
    /// Job states.
    pub(crate) states: Section<JobStates>,
    /// Memory that the jobs take.
    pub(crate) usage: Section<JobUsage>,
    /// Jobs that wait, one line each, for operators; `None` until the owner has existed for as long as a recorded wait takes.
    pub(crate) waits: Section<Option<Box<str>>>,
    /// Gauges of the owner.
    pub(crate) metrics: OwnerMetrics,
}

/// State of an owner that has not applied its records yet.
#[derive(Debug)]
pub(crate) struct Loading {
    /// Receives the board once the records are applied.
    pub(crate) loaded: oneshot::Receiver<Arc<OwnerBoard>>,
}

/// State of an owner that knows its records.
#[derive(Debug)]
pub(crate) struct Leading {
    board: Arc<OwnerBoard>,
}

/// An owner in this process.
#[derive(Debug)]
pub(crate) struct Owner<S> {
    pub(crate) handle: LeaderHandle,
    pub(crate) state: S,
}

impl Owner<Loading> {
    /// Waits until the records are applied; returns `None` if the ownership ends before.
    pub(crate) async fn wait_until_loaded(self) -> Option<Owner<Leading>> {
        let board = self.state.loaded.await.ok()?;
        Some(Owner {
            handle: self.handle,
            state: Leading { board },
        })
    }
}

impl Owner<Leading> {
    /// Returns what the owner has published, or an error if another owner may have replaced it: it has ended, or the process was
    /// paused for longer than its lease and has not heard from the store since.
    pub(crate) fn published(&self) -> Result<&OwnerBoard> {
        if self.handle.is_current(boot_now()) {
            Ok(&self.state.board)
        } else {
            Err(not_owner_error())
        }
    }
}
