//! Asynchronous jobs: the record in the store, its life cycle and encoding, and the detached attempts of an agent.

mod access;
mod detached;
mod keys;
mod lifecycle;
mod record;
mod results;

pub use access::{ReplaceOutcome, read_record, replace_record, submit};
pub use detached::{AttemptStatus, DetachedAttempts};
pub use keys::{
    JOBS_PREFIX, job_cell_key, job_key, job_prefix, parse_public_id, public_id, result_key,
};
pub use lifecycle::{
    Accepted, Answered, Cancelling, FailureOutcome, Job, JobHeader, MAX_ATTEMPTS, MAX_BODY_BYTES,
    Refused, Run, Running, fingerprint,
};
pub use record::{JobRecord, decode_record, encode_record};
pub use results::{CHUNK_BYTES, MAX_ANSWER_BYTES, chunk_count, chunks, verify_answer};
