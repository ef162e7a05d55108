//! Compressed answers for the link between regions.

use bytes::Bytes;
use errors::{Error, ErrorKind, Result};

use crate::messages::Answer;

/// Smallest body that is compressed. For JSON of 1 KB, compression and its reversal took 17 us and saved 190 us of a link
/// with 30 Mbit/s; at 256 bytes they took 18 us for 35 us (`examples/compress.rs`, release build).
const MIN_BYTES: usize = 1024;
/// A body that does not shrink to seven eighths is sent as it is.
const MIN_SAVING: usize = 8;
/// Level 1 shrank JSON of 64 KB to 13 KB in 0.2 ms; `lz4_flex` left 27 KB in 0.1 ms, which the link outweighs.
const LEVEL: i32 = 1;
/// Bodies above this are compressed outside the threads that serve requests; they take more than 0.2 ms.
const BLOCKING_BYTES: usize = 64 * 1024;
/// The largest body that is unpacked, equal to the largest answer of an endpoint.
const MAX_BYTES: u64 = 64 * 1024 * 1024;

/// Compresses the body of an answer if that pays.
pub async fn pack_answer(answer: Answer) -> Answer {
    if answer.body.len() < MIN_BYTES {
        return answer;
    }
    let body = answer.body.clone();
    let packed = move || zstd::bulk::compress(&body, LEVEL).ok();
    let packed = if answer.body.len() > BLOCKING_BYTES {
        tokio::task::spawn_blocking(packed).await.ok().flatten()
    } else {
        packed()
    };
    let limit = answer.body.len() - answer.body.len() / MIN_SAVING;
    match packed.filter(|packed| packed.len() <= limit) {
        Some(packed) => Answer {
            body: packed.into(),
            packed: true,
            ..answer
        },
        None => answer,
    }
}

/// Restores the body of an answer; its digest is checked by the receiver.
pub async fn unpack_answer(answer: Answer) -> Result<Answer> {
    if !answer.packed {
        return Ok(answer);
    }
    let length = usize::try_from(answer.length.min(MAX_BYTES)).unwrap_or_default();
    let body = answer.body.clone();
    let plain = move || zstd::bulk::decompress(&body, length).ok();
    let plain = if length > BLOCKING_BYTES {
        tokio::task::spawn_blocking(plain).await.ok().flatten()
    } else {
        plain()
    };
    let plain: Bytes = plain.ok_or_else(corrupt)?.into();
    Ok(Answer {
        body: plain,
        packed: false,
        ..answer
    })
}

fn corrupt() -> error_stack::Report<Error> {
    let message = "the compressed answer cannot be restored";
    Error::ran(ErrorKind::Corrupt, message).report()
}
