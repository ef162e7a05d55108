//! JSON requests to an entry.

use std::time::Duration;

use errors::{Error, ErrorKind, Result};
use serde::de::DeserializeOwned;

const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

/// Fetches a JSON resource of an entry, such as `/v1/status`.
pub(crate) async fn get_json<T: DeserializeOwned>(entry: &str, path: &str) -> Result<T> {
    let url = format!("{}{path}", entry.trim_end_matches('/'));
    let request_error =
        |e: reqwest::Error| Error::not_run(ErrorKind::Unavailable, format!("{url}: {e}")).report();
    let client = reqwest::Client::builder()
        .no_proxy()
        .timeout(REQUEST_TIMEOUT)
        .build()
        .map_err(request_error)?;
    let response = client.get(&url).send().await.map_err(request_error)?;
    let response = response.error_for_status().map_err(request_error)?;
    response.json().await.map_err(request_error)
}
