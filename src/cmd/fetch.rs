//! Reading JSON pages of an entry.

use std::time::Duration;

use errors::{Error, ErrorKind, Result};
use serde::de::DeserializeOwned;

const TIMEOUT: Duration = Duration::from_secs(5);

/// Reads a page of an entry, such as `/v1/status`.
pub(crate) async fn get_json<T: DeserializeOwned>(entry: &str, path: &str) -> Result<T> {
    let url = format!("{}{path}", entry.trim_end_matches('/'));
    let failed =
        |e: reqwest::Error| Error::not_run(ErrorKind::Unavailable, format!("{url}: {e}")).report();
    let client = reqwest::Client::builder()
        .no_proxy()
        .timeout(TIMEOUT)
        .build()
        .map_err(failed)?;
    let answer = client.get(&url).send().await.map_err(failed)?;
    let answer = answer.error_for_status().map_err(failed)?;
    answer.json().await.map_err(failed)
}
