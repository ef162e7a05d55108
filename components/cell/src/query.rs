//! Client queries about jobs and queues.

use std::sync::Arc;
use std::time::Duration;

use errors::Result;
use model::{JobEnd, JobId, JobState, QueueId};
use wire::{Call, KnownState, Reply};

use crate::entry::Entry;
use crate::keys;
use crate::leader::read_progress;
use crate::records::{self, JobRecord};
use crate::submit::{unexpected_reply, with_timeout};

/// Timeout for asking the owner for a job state, after which the store is read.
const OWNER_TIMEOUT: Duration = Duration::from_millis(300);

impl Entry {
    /// Returns the state of a job, or `None` if there is no such job.
    pub async fn job_state(self: &Arc<Self>, id: JobId) -> Result<Option<JobState>> {
        let reply = self.call_leader(Call::JobState(id), OWNER_TIMEOUT).await;
        if let Ok(Reply::JobState(KnownState(Some(state)))) = reply {
            return Ok(Some(state));
        }
        // The owner is unreachable or does not know the job yet.
        let _permit = self.begin_client_call().await?;
        self.stored_state(id).await
    }

    async fn stored_state(&self, id: JobId) -> Result<Option<JobState>> {
        let key = keys::job(id);
        let Some(found) = with_timeout(self.store.get(&key)).await? else {
            return Ok(None);
        };
        let record: JobRecord = records::decode(&key, &found.value)?;
        if let JobRecord::Ended { end, .. } = record {
            return Ok(Some(JobState::Ended(end)));
        }
        if with_timeout(self.store.get(&keys::cancellation(id)))
            .await?
            .is_some()
        {
            return Ok(Some(JobState::Ended(JobEnd::Cancelled)));
        }
        let progress = with_timeout(self.store.get(&keys::progress(id))).await?;
        let started = progress.is_some_and(|found| !read_progress(&found).units.is_empty());
        Ok(Some(if started {
            JobState::Running
        } else {
            JobState::Queued
        }))
    }

    /// Returns the number of waiting jobs in a queue.
    pub async fn waiting(self: &Arc<Self>, queue: &QueueId) -> Result<u32> {
        let call = Call::QueueWaiting(queue.clone());
        match self.call_leader(call, OWNER_TIMEOUT * 2).await? {
            Reply::Count(count) => Ok(count),
            _ => Err(unexpected_reply()),
        }
    }
}
