//! One exchange with the service and the verdict of its failure.

use bytes::Bytes;
use error_stack::Report;
use errors::{Error, ErrorKind, Result, Verdict};
use reqwest::header::HeaderMap;
use reqwest::{RequestBuilder, Response, StatusCode};
use serde::de::DeserializeOwned;
use telemetry::traffic;

/// Sends a request; `lost` is the verdict when it was sent and no whole answer came back.
pub(crate) async fn send(
    req: RequestBuilder,
    lost: Verdict,
) -> Result<(StatusCode, HeaderMap, Bytes)> {
    let (client, req) = req.build_split();
    let req = req.map_err(|e| failed(&e, lost))?;
    let sent = req.body().and_then(|body| body.as_bytes());
    let sent = sent.map_or(0, <[u8]>::len) + size(req.headers()) + req.url().as_str().len();
    traffic::STORE.count_sent(sent);
    let mut answer = client.execute(req).await.map_err(|e| failed(&e, lost))?;
    let status = answer.status();
    let headers = std::mem::take(answer.headers_mut());
    traffic::STORE.count_received(size(&headers));
    if status.is_success() || is_outcome(status) {
        let body = answer.bytes().await.map_err(|e| failed(&e, lost))?;
        traffic::STORE.count_received(body.len());
        return Ok((status, headers, body));
    }
    Err(refused(answer, status, lost).await.report())
}

/// Returns the bytes of headers with their separators.
fn size(headers: &HeaderMap) -> usize {
    let lines = headers.iter();
    lines
        .map(|(name, value)| name.as_str().len() + value.len() + ": \r\n".len())
        .sum()
}

/// Returns whether the status is one of the answers that a caller handles.
fn is_outcome(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::NOT_FOUND | StatusCode::PRECONDITION_FAILED | StatusCode::GONE
    )
}

async fn refused(answer: Response, status: StatusCode, lost: Verdict) -> Error {
    // The status decides; the text only explains it.
    let text = answer.text().await.unwrap_or_default();
    let message = format!("key-value service answered {status}: {text}");
    match status {
        StatusCode::PAYLOAD_TOO_LARGE => Error::not_run(ErrorKind::TooLarge, message),
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => {
            Error::not_run(ErrorKind::Unavailable, message)
        }
        _ if status.is_client_error() => Error::not_run(ErrorKind::InvalidRequest, message),
        _ => Error::new(lost, ErrorKind::Unavailable, message),
    }
}

fn failed(e: &reqwest::Error, lost: Verdict) -> Report<Error> {
    let sent = !(e.is_connect() || e.is_builder());
    let verdict = if sent { lost } else { Verdict::NotRun };
    let message = format!("call to the key-value service failed: {}", causes(e));
    Error::new(verdict, ErrorKind::Unavailable, message).report()
}

/// Joins an error with its causes, because the outermost one seldom names the fault.
fn causes(e: &dyn std::error::Error) -> String {
    let mut text = e.to_string();
    let mut cause = e.source();
    while let Some(inner) = cause {
        text = format!("{text}: {inner}");
        cause = inner.source();
    }
    text
}

/// Reads a JSON answer; `verdict` applies when it is malformed.
pub(crate) fn parse<T: DeserializeOwned>(body: &[u8], verdict: Verdict) -> Result<T> {
    serde_json::from_slice(body).map_err(|e| {
        let message = format!("answer of the key-value service: {e}");
        Error::new(verdict, ErrorKind::Corrupt, message).report()
    })
}
