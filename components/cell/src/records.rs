//! Values in the store.

use bytes::Bytes;
use error_stack::Report;
use errors::{Error, ErrorKind, Result};
use graph::Progress;
use indexmap::IndexSet;
use model::{AcceptedJob, AgentId, EntryId, JobEnd, QueueId};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;

use crate::configuration::Configuration;

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum JobRecord {
    /// The job was accepted and has not ended.
    Accepted(Arc<AcceptedJob>),
    /// The job ended. The record prevents late repeats of the submission from running the job
    /// again.
    Ended { queue: QueueId, end: JobEnd },
}

/// An entry that is registered.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct EntryRecord {
    /// Address on which the entry serves calls.
    pub(crate) addr: SocketAddr,
    /// Share of a core that its machine gives the entry.
    pub(crate) processor_share: f64,
    /// Memory that the entry has for jobs as the owner. Records of earlier versions end before this field.
    pub(crate) job_bytes: Option<u64>,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct OwnerRecord {
    /// Entry that owns the cell.
    pub(crate) entry: EntryId,
    /// Address on which the entry serves calls.
    pub(crate) addr: SocketAddr,
    /// Distinguishes the attempts of one entry, so that a write without an answer can be
    /// recognized.
    pub(crate) nonce: u64,
}

/// Owners that may still let agents renew leases.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct RecentOwners {
    /// The owners, newest last.
    pub(crate) owners: Vec<OwnerRecord>,
    /// Nonces of those after which the records of placements are complete. Records of earlier versions end before this
    /// field.
    pub(crate) recording: Vec<u64>,
}

impl RecentOwners {
    /// Returns whether the records of placements name all agents on which the owners may have placed runs.
    pub(crate) fn are_all_recording(&self) -> bool {
        let mut owners = self.owners.iter();
        owners.all(|owner| self.recording.contains(&owner.nonce))
    }
}

/// Agents that may hold runs.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Roster(pub(crate) IndexSet<AgentId>);

/// Agents on which a job may have runs.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Placements(pub(crate) IndexSet<AgentId>);

pub(crate) fn encode<T: Serialize>(value: &T) -> Result<Bytes> {
    let buf = postcard::to_stdvec(value).map_err(|e| {
        Error::not_run(ErrorKind::Internal, format!("cannot encode a record: {e}")).report()
    })?;
    Ok(buf.into())
}

/// Decodes a value; `key` identifies it in the error.
pub(crate) fn decode<T: DeserializeOwned>(key: &str, value: &[u8]) -> Result<T> {
    postcard::from_bytes(value).map_err(|e| unreadable(key, &e))
}

/// Decodes the progress of a job. Records of versions that stored no crashes end after the units.
pub(crate) fn decode_progress(key: &str, value: &[u8]) -> Result<Progress> {
    let (units, crashes) = decode_extended(key, value)?;
    Ok(Progress { units, crashes })
}

/// Decodes the record of an entry. Earlier versions end it after the share of a core.
pub(crate) fn decode_entry(key: &str, value: &[u8]) -> Result<EntryRecord> {
    let ((addr, processor_share), job_bytes) = decode_extended(key, value)?;
    Ok(EntryRecord {
        addr,
        processor_share,
        job_bytes,
    })
}

/// Decodes the recent owners. Records of versions that kept no records of placements end after the owners.
pub(crate) fn decode_recent_owners(key: &str, value: &[u8]) -> Result<RecentOwners> {
    let (owners, recording) = decode_extended(key, value)?;
    Ok(RecentOwners { owners, recording })
}

/// Decodes a configuration from a peer. Earlier versions end it after the size of bodies.
pub(crate) fn decode_configuration(key: &str, value: &[u8]) -> Result<Configuration> {
    let ((version, routes, accounts, max_body_bytes), request_limits) =
        decode_extended(key, value)?;
    Ok(Configuration {
        version,
        routes,
        accounts,
        max_body_bytes,
        request_limits,
    })
}

/// Decodes a record of two fields, the second of which earlier versions do not write.
fn decode_extended<A: DeserializeOwned, B: DeserializeOwned + Default>(
    key: &str,
    value: &[u8],
) -> Result<(A, B)> {
    let decoded = postcard::take_from_bytes(value).and_then(|(first, rest)| {
        let second = if rest.is_empty() {
            B::default()
        } else {
            postcard::from_bytes(rest)?
        };
        Ok((first, second))
    });
    decoded.map_err(|e| unreadable(key, &e))
}

fn unreadable(key: &str, e: &postcard::Error) -> Report<Error> {
    Error::not_run(
        ErrorKind::Corrupt,
        format!("cannot decode the record {key}: {e}"),
    )
    .report()
}
