//! Answers in chunks that fit one value of the store.

use bytes::Bytes;
use errors::{Error, ErrorKind, Result};

use crate::record::Answered;

/// The size of a chunk in bytes, below the 1 MB of one value.
pub const CHUNK_BYTES: usize = 900_000;
/// The largest answer in bytes: 32 chunks, so that the store calls of one job stay bounded.
pub const MAX_ANSWER_BYTES: usize = 32 * CHUNK_BYTES;

/// Returns the number of chunks of a body; an empty one has none.
pub fn chunk_count(length: usize) -> u32 {
    u32::try_from(length.div_ceil(CHUNK_BYTES)).unwrap_or(u32::MAX)
}

/// Returns the chunks of a body.
pub fn chunks(body: &Bytes) -> impl Iterator<Item = Bytes> {
    let starts = (0..body.len()).step_by(CHUNK_BYTES);
    starts.map(|start| body.slice(start..body.len().min(start + CHUNK_BYTES)))
}

/// Checks length and digest of a whole answer.
pub fn check_answer(answered: &Answered, body: Bytes) -> Result<Bytes> {
    if body.len() as u64 != answered.length || *blake3::hash(&body).as_bytes() != answered.digest {
        let message = "the stored answer failed its check of length and digest";
        return Err(Error::ran(ErrorKind::Corrupt, message).report());
    }
    Ok(body)
}
