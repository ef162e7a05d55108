//! The keys of jobs in the store and the ids that callers see.

use model::{Attempt, CellId, JobId};

/// The prefix of all job records.
pub const JOBS_PREFIX: &str = "jobs/";

/// Returns the prefix of the records of one cell.
pub fn job_prefix(cell: &str) -> String {
    format!("{JOBS_PREFIX}{cell}/")
}

/// Returns the key of a record.
pub fn job_key(cell: &str, id: JobId) -> String {
    format!("{JOBS_PREFIX}{cell}/{id:032x}")
}

/// Returns the key of one chunk of an answer.
///
/// It names the attempt, so that a late write of an earlier attempt cannot replace the answer of a later one.
pub fn result_key(cell: &str, id: JobId, attempt: Attempt, chunk: u32) -> String {
    format!("results/{cell}/{id:032x}/{attempt}.{chunk}")
}

/// Returns the key that names the cell of a job with an idempotency key.
pub fn key_claim(id: JobId) -> String {
    format!("job-keys/{id:032x}")
}

/// Returns the id that callers see; it names the cell, so that every entry finds the record with one read.
pub fn public_id(cell: &str, id: JobId) -> String {
    format!("{cell}.{id:032x}")
}

/// Reads an id that callers see.
pub fn parse_public_id(text: &str) -> Option<(CellId, JobId)> {
    let (cell, id) = text.rsplit_once('.')?;
    let well_formed = !cell.is_empty() && !cell.contains('/') && id.len() == 32;
    let lower_hex = id
        .bytes()
        .all(|b| b.is_ascii_digit() || (b'a'..=b'f').contains(&b));
    if !(well_formed && lower_hex) {
        return None;
    }
    Some((cell.into(), JobId::from_str_radix(id, 16).ok()?))
}
