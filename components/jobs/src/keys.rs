//! Keys of jobs in the store, and the job ids of the HTTP API.

use model::{Attempt, CellId, JobId};

/// The key prefix of all job records.
pub const JOBS_PREFIX: &str = "jobs/";

/// Returns the key prefix of the records of one cell.
pub fn job_prefix(cell: &str) -> String {
    format!("{JOBS_PREFIX}{cell}/")
}

/// Returns the key of a job record.
pub fn job_key(cell: &str, id: JobId) -> String {
    format!("{JOBS_PREFIX}{cell}/{id:032x}")
}

/// Returns the key of one chunk of an answer.
///
/// The key contains the attempt, so that a delayed write of an earlier attempt cannot overwrite the answer of a later
/// one.
pub fn result_key(cell: &str, id: JobId, attempt: Attempt, chunk: u32) -> String {
    format!("results/{cell}/{id:032x}/{attempt}.{chunk}")
}

/// Returns the key whose value is the cell of a job with an idempotency key.
pub fn job_cell_key(id: JobId) -> String {
    format!("job-keys/{id:032x}")
}

/// Returns the job id of the HTTP API, which contains the cell so that any entry can find the record with one read.
pub fn public_id(cell: &str, id: JobId) -> String {
    format!("{cell}.{id:032x}")
}

/// Parses a job id of the HTTP API.
pub fn parse_public_id(text: &str) -> Option<(CellId, JobId)> {
    let (cell, id) = text.rsplit_once('.')?;
    let is_well_formed = !cell.is_empty() && !cell.contains('/') && id.len() == 32;
    let is_lower_hex = id
        .bytes()
        .all(|b| b.is_ascii_digit() || (b'a'..=b'f').contains(&b));
    if !(is_well_formed && is_lower_hex) {
        return None;
    }
    Some((cell.into(), JobId::from_str_radix(id, 16).ok()?))
}
