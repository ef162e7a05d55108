//! Finding out whether a write whose answer was lost took effect.

use std::time::Duration;

use bytes::Bytes;
use errors::{Error, Result, Verdict};
use model::Revision;

use crate::kv::{Change, Entry, Expect, Key, KvStore, LeaseId, PutOutcome, Watched};

/// A write whose value, together with its lease, identifies the writer.
///
/// The read-back compares value and lease. Two writers that store the same bytes cannot be told apart, so a value that
/// claims something holds the id of its claimant.
#[derive(Debug, Clone)]
pub struct PutRequest {
    /// The key.
    pub key: Key,
    /// The value.
    pub value: Bytes,
    /// The state in which the write must find the key.
    pub expect: Expect,
    /// The lease of the key.
    pub lease: Option<LeaseId>,
    /// A revision of the store before the write, from a listing, a watch or an earlier write; 0 if none is known.
    ///
    /// The later it is, the more likely the history still reaches back to it.
    pub since: Revision,
}

/// What is known about a write after the read-back.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Confirmed {
    /// The write took effect.
    Written {
        /// The revision of the write.
        revision: Revision,
    },
    /// The write did not take effect and the key is in another state.
    Conflict {
        /// The revision of the key, or nothing if it does not exist.
        current: Option<Revision>,
    },
    /// The write may have taken effect or may still do so.
    Unknown(Error),
}

impl From<PutOutcome> for Confirmed {
    fn from(outcome: PutOutcome) -> Self {
        match outcome {
            PutOutcome::Written { revision } => Self::Written { revision },
            PutOutcome::Conflict { current } => Self::Conflict { current },
        }
    }
}

/// Writes a key and, if the answer is lost, reads back what became of the write.
///
/// A read-back that finds the key unchanged repeats a conditional write once: only one of the two can take effect. An
/// unconditional write is not repeated, because it could undo a later write of another caller.
pub async fn put_confirmed(store: &dyn KvStore, req: &PutRequest) -> Result<Confirmed> {
    let lost = match put(store, req).await? {
        Sent::Answered(outcome) => return Ok(outcome.into()),
        Sent::Lost(error) => error,
    };
    match read_back(store, req).await {
        ReadBack::Known(known) => return Ok(known),
        ReadBack::Unchanged if req.expect != Expect::Any => {}
        ReadBack::Unchanged | ReadBack::Unclear => return Ok(Confirmed::Unknown(lost)),
    }
    match put(store, req).await {
        Ok(Sent::Answered(PutOutcome::Written { revision })) => Ok(Confirmed::Written { revision }),
        // The first write may have arrived in between, so a conflict is read back, too.
        Ok(Sent::Answered(PutOutcome::Conflict { .. }) | Sent::Lost(_)) => {
            Ok(match read_back(store, req).await {
                ReadBack::Known(known) => known,
                ReadBack::Unchanged | ReadBack::Unclear => Confirmed::Unknown(lost),
            })
        }
        // The repetition did not run, which says nothing about the first write.
        Err(_) => Ok(Confirmed::Unknown(lost)),
    }
}

enum Sent {
    Answered(PutOutcome),
    Lost(Error),
}

async fn put(store: &dyn KvStore, req: &PutRequest) -> Result<Sent> {
    let sent = store
        .put(&req.key, req.value.clone(), req.expect, req.lease)
        .await;
    match sent {
        Ok(outcome) => Ok(Sent::Answered(outcome)),
        Err(report) if report.current_context().verdict == Verdict::MayHaveRun => {
            Ok(Sent::Lost(report.current_context().clone()))
        }
        Err(report) => Err(report),
    }
}

enum ReadBack {
    Known(Confirmed),
    /// The key is in the expected state; the write may still arrive.
    Unchanged,
    Unclear,
}

async fn read_back(store: &dyn KvStore, req: &PutRequest) -> ReadBack {
    let Ok(current) = store.get(&req.key).await else {
        return ReadBack::Unclear;
    };
    if let Some(entry) = current.as_ref().filter(|entry| is_own(entry, req)) {
        let revision = entry.revision;
        return ReadBack::Known(Confirmed::Written { revision });
    }
    let current = current.map(|entry| entry.revision);
    let unchanged = match req.expect {
        Expect::Any => true,
        Expect::Absent => current.is_none(),
        Expect::Revision(expected) => current == Some(expected),
    };
    if unchanged {
        return ReadBack::Unchanged;
    }
    search_history(store, req, current).await
}

/// Looks for the write among the changes since it was sent: another writer may have replaced it already.
async fn search_history(
    store: &dyn KvStore,
    req: &PutRequest,
    current: Option<Revision>,
) -> ReadBack {
    let after = sent_after(req);
    let Ok(Watched::Changes { changes, .. }) = store.watch(&req.key, after, Duration::ZERO).await
    else {
        return ReadBack::Unclear;
    };
    let own = changes.iter().find_map(|change| match change {
        Change::Put(entry) if is_own(entry, req) => Some(entry.revision),
        _ => None,
    });
    ReadBack::Known(match own {
        Some(revision) => Confirmed::Written { revision },
        None => Confirmed::Conflict { current },
    })
}

fn is_own(entry: &Entry, req: &PutRequest) -> bool {
    let newer = entry.revision > sent_after(req);
    newer && entry.key == req.key && entry.value == req.value && entry.lease == req.lease
}

/// Returns the latest revision that is known to lie before the write.
fn sent_after(req: &PutRequest) -> Revision {
    match req.expect {
        Expect::Revision(expected) => expected.max(req.since),
        Expect::Any | Expect::Absent => req.since,
    }
}
