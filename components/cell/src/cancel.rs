//! Job cancellation.

use std::sync::Arc;
use std::time::Duration;

use errors::Result;
use graph::ENDED_JOB_BYTES;
use model::{AccountId, JobEnd, JobId, QueueId};
use store::{CommitOutcome, Transaction};
use wire::{Call, Cancellation, Reply};

use crate::clock::boot_now;
use crate::entry::Entry;
use crate::keys;
use crate::notify::notify_owner;
use crate::records::{self, JobRecord};
use crate::submit::{
    RETRY_DELAY, STORE_TIMEOUT, unexpected_reply, with_timeout, write_with_timeout,
};

impl Entry {
    /// Cancels a job and returns whether it was known. Cancelling an unknown job also prevents a
    /// submission that arrives later from running.
    pub async fn cancel(
        self: &Arc<Self>,
        id: JobId,
        account: &AccountId,
        queue: &QueueId,
        timeout: Duration,
    ) -> Result<bool> {
        let cancellation = Cancellation {
            id,
            account: account.clone(),
            queue: queue.clone(),
        };
        let deadline = boot_now() + timeout;
        let _permit = self.begin_client_call().await?;
        loop {
            let result = store_cancellation(self, &cancellation).await;
            let Err(report) = result else {
                return result;
            };
            for addr in self.responsive_entries() {
                let call = Call::CancelJob(cancellation.clone());
                if let Ok(Reply::JobKnown(known)) = self.call(addr, &call, STORE_TIMEOUT).await {
                    return Ok(known);
                }
            }
            if boot_now() + RETRY_DELAY >= deadline {
                return Err(report);
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }
}

/// Stores a cancellation that another entry relayed.
pub(crate) async fn store_relayed(entry: &Arc<Entry>, cancellation: &Cancellation) -> Result<bool> {
    let _permit = entry.begin_client_call().await?;
    store_cancellation(entry, cancellation).await
}

/// Stores a cancellation and returns whether the job was known. For an unknown job, stores an ended
/// record, so that a late submission finds it and does not run.
async fn store_cancellation(entry: &Arc<Entry>, cancellation: &Cancellation) -> Result<bool> {
    let id = cancellation.id;
    let key = keys::job(id);
    let mut admission = None;
    loop {
        let found = with_timeout(entry.store.get(&key)).await?;
        let known = found.is_some();
        if !known && admission.is_none() {
            // The record stays as long as that of a job that has ended.
            let admitted = entry.ask_owner_to_admit(id, &cancellation.account, ENDED_JOB_BYTES);
            admission = Some(admitted.await?);
        }
        let transaction = match &found {
            Some(found) => {
                let record: JobRecord = records::decode(&key, &found.value)?;
                if matches!(record, JobRecord::Ended { .. }) {
                    return Ok(true);
                }
                Transaction {
                    preconditions: vec![(key.clone(), found.revision)],
                    puts: vec![(keys::cancellation(id), bytes::Bytes::new(), None)],
                    deletes: Vec::new(),
                }
            }
            None => unknown_job_transaction(entry, cancellation).await?,
        };
        match write_with_timeout(entry.store.commit(&transaction)).await? {
            CommitOutcome::Written { .. } => {
                if known {
                    notify_owner(entry, Call::JobCancelled(id));
                }
                if let Some(admission) = admission {
                    entry.keep_for_a_while(admission);
                }
                return Ok(known);
            }
            // The job was created or has ended in the meantime; read it again.
            CommitOutcome::Conflict { .. } => {}
            CommitOutcome::LeaseExpired => return Err(unexpected_reply()),
        }
    }
}

async fn unknown_job_transaction(
    entry: &Entry,
    cancellation: &Cancellation,
) -> Result<Transaction> {
    let record = JobRecord::Ended {
        queue: cancellation.queue.clone(),
        end: JobEnd::Cancelled,
    };
    let lease = with_timeout(entry.store.grant_lease(entry.settings.retention)).await?;
    let key = keys::job(cancellation.id);
    Ok(Transaction {
        preconditions: vec![(key.clone(), 0)],
        puts: vec![(key, records::encode(&record)?, Some(lease))],
        deletes: Vec::new(),
    })
}
