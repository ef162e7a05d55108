//! Answers, which are stored in chunks that fit the value limit of the store.

use bytes::Bytes;
use errors::{Error, ErrorKind, Result};

use crate::lifecycle::Answered;

/// The chunk size in bytes, below the store's value limit of 1 MB.
pub const CHUNK_BYTES: usize = 900_000;
/// The maximum size of an answer in bytes; 32 chunks, which limits the number of store calls per job.
pub const MAX_ANSWER_BYTES: usize = 32 * CHUNK_BYTES;

/// Returns the number of chunks of a body; an empty body has none.
pub fn chunk_count(length: usize) -> u32 {
    u32::try_from(length.div_ceil(CHUNK_BYTES)).unwrap_or(u32::MAX)
}

/// Splits a body into chunks.
pub fn chunks(body: &Bytes) -> impl Iterator<Item = Bytes> {
    let offsets = (0..body.len()).step_by(CHUNK_BYTES);
    offsets.map(|offset| body.slice(offset..body.len().min(offset + CHUNK_BYTES)))
}

/// Verifies the length and the digest of a reassembled body.
pub fn verify_answer(answered: &Answered, body: Bytes) -> Result<Bytes> {
    if body.len() as u64 != answered.length || *blake3::hash(&body).as_bytes() != answered.digest {
        let message = "the stored answer does not match its recorded length and digest";
        return Err(Error::ran(ErrorKind::Corrupt, message).report());
    }
    Ok(body)
}
