//! Encoding of list and watch responses: for each key, a header as a line of JSON, followed by the raw value.

use bytes::{Buf, Bytes};
use errors::{Error, ErrorKind, Result};
use model::Revision;
use serde::{Deserialize, Serialize};

use crate::kv::{Change, Key, KvPair, LeaseId};

/// The header of a frame, encoded as a line of JSON.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FrameHeader {
    /// The key.
    pub key: Key,
    /// The revision of the last change to the key.
    pub revision: Revision,
    /// The lease that the key is attached to.
    pub lease: Option<LeaseId>,
    /// The length of the value in bytes; `None` for a deletion.
    pub length: Option<usize>,
}

/// Encodes changes in the given order.
pub fn encode_frames<'a>(changes: impl IntoIterator<Item = &'a Change>) -> Bytes {
    let mut buf = Vec::new();
    for change in changes {
        let (header, value) = split_change(change);
        // Cannot fail: the header holds only strings and integers, and the writer is a vector.
        let _ = serde_json::to_writer(&mut buf, &header);
        buf.push(b'\n');
        buf.extend_from_slice(value);
    }
    buf.into()
}

fn split_change(change: &Change) -> (FrameHeader, &[u8]) {
    match change {
        Change::Put(pair) => {
            let header = FrameHeader {
                key: pair.key.clone(),
                revision: pair.revision,
                lease: pair.lease,
                length: Some(pair.value.len()),
            };
            (header, &pair.value)
        }
        Change::Deleted { key, revision } => {
            let header = FrameHeader {
                key: key.clone(),
                revision: *revision,
                lease: None,
                length: None,
            };
            (header, &[])
        }
    }
}

/// Decodes the body of a list or watch response.
pub fn decode_frames(mut body: Bytes) -> Result<Vec<Change>> {
    let mut changes = Vec::new();
    while !body.is_empty() {
        changes.push(decode_frame(&mut body)?);
    }
    Ok(changes)
}

fn decode_frame(body: &mut Bytes) -> Result<Change> {
    let end = body
        .iter()
        .position(|byte| *byte == b'\n')
        .ok_or_else(|| corrupt("frame header does not end with a line feed").report())?;
    let header: FrameHeader = serde_json::from_slice(&body[..end])
        .map_err(|e| corrupt(&format!("frame header: {e}")).report())?;
    body.advance(end + 1);
    let Some(length) = header.length else {
        return Ok(Change::Deleted {
            key: header.key,
            revision: header.revision,
        });
    };
    if length > body.len() {
        return Err(corrupt("value is shorter than its frame header says").report());
    }
    Ok(Change::Put(KvPair {
        key: header.key,
        value: body.split_to(length),
        revision: header.revision,
        lease: header.lease,
    }))
}

fn corrupt(message: &str) -> Error {
    Error::not_run(
        ErrorKind::Corrupt,
        format!("malformed response from the key-value service: {message}"),
    )
}
