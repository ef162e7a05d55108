//! `limpethook status`.

use std::process::ExitCode;

use errors::Result;
use serde_json::Value;

use crate::cmd::block_on;
use crate::cmd::fetch::get_json;

/// Prints the status of an entry.
pub(crate) fn run(entry: &str) -> Result<ExitCode> {
    let status: Value = block_on(get_json(entry, "/v1/status"))?;
    println!(
        "{}",
        serde_json::to_string_pretty(&status).unwrap_or_default()
    );
    Ok(ExitCode::SUCCESS)
}
