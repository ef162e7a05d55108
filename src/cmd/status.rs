//! `limpethook status`.

use std::process::ExitCode;
use std::time::Duration;

use errors::{Error, ErrorKind, Result};

use crate::cmd::block_on;

const TIMEOUT: Duration = Duration::from_secs(5);

/// Prints the status of an entry.
pub(crate) fn run(entry: &str) -> Result<ExitCode> {
    let text = block_on(fetch(entry))?;
    println!("{text}");
    Ok(ExitCode::SUCCESS)
}

async fn fetch(entry: &str) -> Result<String> {
    let url = format!("{}/v1/status", entry.trim_end_matches('/'));
    let failed =
        |e: reqwest::Error| Error::not_run(ErrorKind::Unavailable, format!("{url}: {e}")).report();
    let client = reqwest::Client::builder()
        .no_proxy()
        .timeout(TIMEOUT)
        .build()
        .map_err(failed)?;
    let status: serde_json::Value = client
        .get(&url)
        .send()
        .await
        .map_err(failed)?
        .json()
        .await
        .map_err(failed)?;
    Ok(serde_json::to_string_pretty(&status).unwrap_or_default())
}
