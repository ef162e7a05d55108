//! Writes that determine their outcome by reading the key back if the response is lost.

use std::time::Duration;

use bytes::Bytes;
use errors::{Error, Result, Verdict};
use model::Revision;

use crate::kv::{Change, Key, KvPair, KvStore, LeaseId, Precondition, WatchOutcome, WriteOutcome};

/// A put whose value, together with its lease, identifies the writer.
///
/// The write is recognized by its value and lease. Writers that store the same bytes under the same lease cannot be
/// told apart, so a value that claims ownership has to contain the id of the owner.
#[derive(Debug, Clone)]
pub struct PutRequest {
    /// The key.
    pub key: Key,
    /// The value.
    pub value: Bytes,
    /// The precondition of the write.
    pub precondition: Precondition,
    /// The lease to attach the key to.
    pub lease: Option<LeaseId>,
    /// A revision of the store before the write, from a listing, a watch or an earlier write; 0 if none is known.
    ///
    /// The history is searched from here, so a later revision is less likely to have been compacted.
    pub known_revision: Revision,
}

/// The outcome of a write after the key was read back.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ConfirmedOutcome {
    /// The write took effect.
    Written {
        /// The revision of the write.
        revision: Revision,
    },
    /// The write did not take effect, because the key did not meet the precondition.
    Conflict {
        /// The revision of the key, or `None` if it does not exist.
        current: Option<Revision>,
    },
    /// The write may have taken effect, or may still do so.
    Unknown(Error),
}

impl From<WriteOutcome> for ConfirmedOutcome {
    fn from(outcome: WriteOutcome) -> Self {
        match outcome {
            WriteOutcome::Written { revision } => Self::Written { revision },
            WriteOutcome::Conflict { current } => Self::Conflict { current },
        }
    }
}

/// Writes a key and, if the response is lost, reads the key back to determine the outcome.
///
/// If the key is unchanged, a conditional write is retried once, because only one of the two writes can take effect. An
/// unconditional write is not retried, because it could overwrite a later write of another client.
pub async fn put_confirmed(store: &dyn KvStore, req: &PutRequest) -> Result<ConfirmedOutcome> {
    let error = match try_put(store, req).await? {
        PutAttempt::Completed(outcome) => return Ok(outcome.into()),
        PutAttempt::ResponseLost(error) => error,
    };
    match read_back(store, req).await {
        ReadBack::Resolved(outcome) => return Ok(outcome),
        ReadBack::Unchanged if req.precondition != Precondition::Any => {}
        ReadBack::Unchanged | ReadBack::Inconclusive => {
            return Ok(ConfirmedOutcome::Unknown(error));
        }
    }
    match try_put(store, req).await {
        Ok(PutAttempt::Completed(WriteOutcome::Written { revision })) => {
            Ok(ConfirmedOutcome::Written { revision })
        }
        // The conflict may be with the first write, which may have taken effect in the meantime.
        Ok(PutAttempt::Completed(WriteOutcome::Conflict { .. }) | PutAttempt::ResponseLost(_)) => {
            Ok(match read_back(store, req).await {
                ReadBack::Resolved(outcome) => outcome,
                ReadBack::Unchanged | ReadBack::Inconclusive => ConfirmedOutcome::Unknown(error),
            })
        }
        // The retry did not run, so the outcome of the first write is still unknown.
        Err(_) => Ok(ConfirmedOutcome::Unknown(error)),
    }
}

enum PutAttempt {
    Completed(WriteOutcome),
    /// The request was sent, but no complete response arrived.
    ResponseLost(Error),
}

async fn try_put(store: &dyn KvStore, req: &PutRequest) -> Result<PutAttempt> {
    let result = store
        .put(&req.key, req.value.clone(), req.precondition, req.lease)
        .await;
    match result {
        Ok(outcome) => Ok(PutAttempt::Completed(outcome)),
        Err(report) if report.current_context().verdict == Verdict::MayHaveRun => {
            Ok(PutAttempt::ResponseLost(report.current_context().clone()))
        }
        Err(report) => Err(report),
    }
}

enum ReadBack {
    /// The outcome of the write is certain.
    Resolved(ConfirmedOutcome),
    /// The key still meets the precondition; the write may take effect later.
    Unchanged,
    /// The key or its history could not be read.
    Inconclusive,
}

async fn read_back(store: &dyn KvStore, req: &PutRequest) -> ReadBack {
    let Ok(current) = store.get(&req.key).await else {
        return ReadBack::Inconclusive;
    };
    if let Some(pair) = current.as_ref().filter(|pair| is_written_by(pair, req)) {
        let revision = pair.revision;
        return ReadBack::Resolved(ConfirmedOutcome::Written { revision });
    }
    let current = current.map(|pair| pair.revision);
    let unchanged = match req.precondition {
        Precondition::Any => true,
        Precondition::Absent => current.is_none(),
        Precondition::Revision(expected) => current == Some(expected),
    };
    if unchanged {
        return ReadBack::Unchanged;
    }
    search_history(store, req, current).await
}

/// Searches the changes since before the write, because another client may already have overwritten it.
async fn search_history(
    store: &dyn KvStore,
    req: &PutRequest,
    current: Option<Revision>,
) -> ReadBack {
    let after = revision_before(req);
    let Ok(WatchOutcome::Changes { changes, .. }) =
        store.watch(&req.key, after, Duration::ZERO).await
    else {
        return ReadBack::Inconclusive;
    };
    let written = changes.iter().find_map(|change| match change {
        Change::Put(pair) if is_written_by(pair, req) => Some(pair.revision),
        _ => None,
    });
    ReadBack::Resolved(match written {
        Some(revision) => ConfirmedOutcome::Written { revision },
        None => ConfirmedOutcome::Conflict { current },
    })
}

fn is_written_by(pair: &KvPair, req: &PutRequest) -> bool {
    let is_newer = pair.revision > revision_before(req);
    is_newer && pair.key == req.key && pair.value == req.value && pair.lease == req.lease
}

/// Returns the latest revision that is known to precede the write.
fn revision_before(req: &PutRequest) -> Revision {
    match req.precondition {
        Precondition::Revision(expected) => expected.max(req.known_revision),
        Precondition::Any | Precondition::Absent => req.known_revision,
    }
}
