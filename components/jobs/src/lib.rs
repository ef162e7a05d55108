//! Asynchronous jobs: the record in the store, its life cycle, and the outcomes that an agent keeps.

mod keys;
mod outcomes;
mod record;
mod results;
mod stored;
mod write;

pub use keys::{
    JOBS_PREFIX, job_key, job_prefix, key_claim, parse_public_id, public_id, result_key,
};
pub use outcomes::{Outcome, Outcomes};
pub use record::{
    Accepted, Answered, Cancelling, Head, Job, MAX_ATTEMPTS, MAX_BODY_BYTES, Next, Refused, Run,
    Running, fingerprint,
};
pub use results::{CHUNK_BYTES, MAX_ANSWER_BYTES, check_answer, chunk_count, chunks};
pub use stored::{Stored, decode, encode};
pub use write::{Written, read, replace, submit};
