//! The body of listings and watches: for each entry one line of JSON, then the raw value.

use bytes::{Buf, Bytes};
use errors::{Error, ErrorKind, Result};
use model::Revision;
use serde::{Deserialize, Serialize};

use crate::kv::{Change, Entry, Key, LeaseId};

/// The line of JSON in front of a value.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Frame {
    /// The key.
    pub key: Key,
    /// The revision of the change.
    pub revision: Revision,
    /// The lease of the key.
    pub lease: Option<LeaseId>,
    /// The length of the value in bytes; nothing for a deletion.
    pub length: Option<usize>,
}

/// Encodes changes in their order.
pub fn encode_frames<'a>(changes: impl IntoIterator<Item = &'a Change>) -> Bytes {
    let mut buf = Vec::new();
    for change in changes {
        let (frame, value) = frame_of(change);
        // A frame holds only text and numbers, and writing to memory does not fail.
        let _ = serde_json::to_writer(&mut buf, &frame);
        buf.push(b'\n');
        buf.extend_from_slice(value);
    }
    buf.into()
}

fn frame_of(change: &Change) -> (Frame, &[u8]) {
    match change {
        Change::Put(entry) => {
            let frame = Frame {
                key: entry.key.clone(),
                revision: entry.revision,
                lease: entry.lease,
                length: Some(entry.value.len()),
            };
            (frame, &entry.value)
        }
        Change::Deleted { key, revision } => {
            let frame = Frame {
                key: key.clone(),
                revision: *revision,
                lease: None,
                length: None,
            };
            (frame, &[])
        }
    }
}

/// Decodes the body of a listing or a watch.
pub fn decode_frames(mut body: Bytes) -> Result<Vec<Change>> {
    let mut changes = Vec::new();
    while !body.is_empty() {
        changes.push(decode_one(&mut body)?);
    }
    Ok(changes)
}

fn decode_one(body: &mut Bytes) -> Result<Change> {
    let end = body
        .iter()
        .position(|byte| *byte == b'\n')
        .ok_or_else(|| corrupt("a frame has no end of line").report())?;
    let frame: Frame = serde_json::from_slice(&body[..end])
        .map_err(|e| corrupt(&format!("a frame is not valid: {e}")).report())?;
    body.advance(end + 1);
    let Some(length) = frame.length else {
        return Ok(Change::Deleted {
            key: frame.key,
            revision: frame.revision,
        });
    };
    if length > body.len() {
        return Err(corrupt("a value is shorter than its frame says").report());
    }
    Ok(Change::Put(Entry {
        key: frame.key,
        value: body.split_to(length),
        revision: frame.revision,
        lease: frame.lease,
    }))
}

fn corrupt(message: &str) -> Error {
    Error::not_run(
        ErrorKind::Corrupt,
        format!("answer of the key-value service: {message}"),
    )
}
