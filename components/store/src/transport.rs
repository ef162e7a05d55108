//! Sends requests to the service and maps failures to errors with a verdict.

use bytes::Bytes;
use error_stack::Report;
use errors::{Error, ErrorKind, Result, Verdict};
use reqwest::header::HeaderMap;
use reqwest::{RequestBuilder, Response, StatusCode};
use serde::de::DeserializeOwned;
use telemetry::traffic;

/// Sends a request and reads the whole response; failures after the request was sent get `verdict_if_sent`.
pub(crate) async fn send(
    req: RequestBuilder,
    verdict_if_sent: Verdict,
) -> Result<(StatusCode, HeaderMap, Bytes)> {
    let (client, req) = req.build_split();
    let req = req.map_err(|e| transport_error(&e, verdict_if_sent))?;
    let body = req.body().and_then(|body| body.as_bytes());
    let sent_bytes =
        body.map_or(0, <[u8]>::len) + header_bytes(req.headers()) + req.url().as_str().len();
    traffic::STORE.count_sent(sent_bytes);
    let mut res = client
        .execute(req)
        .await
        .map_err(|e| transport_error(&e, verdict_if_sent))?;
    let status = res.status();
    let headers = std::mem::take(res.headers_mut());
    traffic::STORE.count_received(header_bytes(&headers));
    if status.is_success() || is_handled_by_caller(status) {
        let body = res
            .bytes()
            .await
            .map_err(|e| transport_error(&e, verdict_if_sent))?;
        traffic::STORE.count_received(body.len());
        return Ok((status, headers, body));
    }
    Err(status_error(res, status, verdict_if_sent).await.report())
}

/// Returns the encoded size of headers, including separators.
fn header_bytes(headers: &HeaderMap) -> usize {
    let lines = headers.iter();
    lines
        .map(|(name, value)| name.as_str().len() + value.len() + ": \r\n".len())
        .sum()
}

fn is_handled_by_caller(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::NOT_FOUND | StatusCode::PRECONDITION_FAILED | StatusCode::GONE
    )
}

async fn status_error(res: Response, status: StatusCode, verdict_if_sent: Verdict) -> Error {
    // The body only adds detail to the message, so a failure to read it is ignored.
    let text = res.text().await.unwrap_or_default();
    let message = format!("key-value service responded with {status}: {text}");
    match status {
        StatusCode::PAYLOAD_TOO_LARGE => Error::not_run(ErrorKind::TooLarge, message),
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => {
            Error::not_run(ErrorKind::Unavailable, message)
        }
        _ if status.is_client_error() => Error::not_run(ErrorKind::InvalidRequest, message),
        _ => Error::new(verdict_if_sent, ErrorKind::Unavailable, message),
    }
}

fn transport_error(e: &reqwest::Error, verdict_if_sent: Verdict) -> Report<Error> {
    let sent = !(e.is_connect() || e.is_builder());
    let verdict = if sent {
        verdict_if_sent
    } else {
        Verdict::NotRun
    };
    let message = format!("call to the key-value service failed: {}", error_chain(e));
    Error::new(verdict, ErrorKind::Unavailable, message).report()
}

/// Formats an error with its sources, because the outermost error rarely names the cause.
fn error_chain(e: &dyn std::error::Error) -> String {
    let mut text = e.to_string();
    let mut source = e.source();
    while let Some(inner) = source {
        text = format!("{text}: {inner}");
        source = inner.source();
    }
    text
}

/// Parses a JSON response body; `verdict` is that of the error for a malformed body.
pub(crate) fn parse_json<T: DeserializeOwned>(body: &[u8], verdict: Verdict) -> Result<T> {
    serde_json::from_slice(body).map_err(|e| {
        let message = format!("malformed response from the key-value service: {e}");
        Error::new(verdict, ErrorKind::Corrupt, message).report()
    })
}
