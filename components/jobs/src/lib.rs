//! Asynchronous jobs: the record in the store, its life cycle and encoding, and the detached attempts of an agent.

mod access;
mod detached;
mod keys;
mod lifecycle;
mod results;
mod stored;

pub use access::{Written, read, replace, submit};
pub use detached::{Outcome, Outcomes};
pub use keys::{
    JOBS_PREFIX, job_key, job_prefix, key_claim, parse_public_id, public_id, result_key,
};
pub use lifecycle::{
    Accepted, Answered, Cancelling, Head, Job, MAX_ATTEMPTS, MAX_BODY_BYTES, Next, Refused, Run,
    Running, fingerprint,
};
pub use results::{CHUNK_BYTES, MAX_ANSWER_BYTES, check_answer, chunk_count, chunks};
pub use stored::{Stored, decode, encode};
