//! Helpers that read HTTP requests and write HTTP responses.

use std::io;
use std::time::Duration;

use bytes::Bytes;
use salvo::http::{HeaderValue, ResBody, StatusCode, header};
use salvo::{Request, Response};
use serde::Serialize;
use serde::de::DeserializeOwned;
use store::ErrorAnswer;

/// The maximum size of a request body: twice the default limit of a service (8 MiB), which operators can change.
const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;

/// Responds with a JSON body.
pub(crate) fn send_json(res: &mut Response, status: StatusCode, body: &impl Serialize) {
    // Bodies contain only strings, numbers and maps with string keys, so serialization cannot fail.
    let body = serde_json::to_vec(body).unwrap_or_default();
    send_bytes(res, status, "application/json", body.into());
}

/// Responds with bytes of a content type.
pub(crate) fn send_bytes(
    res: &mut Response,
    status: StatusCode,
    content_type: &'static str,
    body: Bytes,
) {
    res.status_code(status);
    res.headers_mut()
        .insert(header::CONTENT_TYPE, HeaderValue::from_static(content_type));
    res.body(ResBody::Once(body));
}

/// Responds with an error message as JSON.
pub(crate) fn send_error(res: &mut Response, status: StatusCode, error: &str) {
    send_json(
        res,
        status,
        &ErrorAnswer {
            error: error.into(),
        },
    );
}

/// Closes the connection without sending a response.
///
/// The body fails before the response head is flushed, so the client receives nothing.
pub(crate) fn abort_connection(res: &mut Response) {
    let (mut tx, body) = ResBody::channel();
    tx.send_error(io::Error::other("connection closed on request of the test"));
    res.status_code(StatusCode::OK);
    res.body(body);
}

/// Reads the whole request body.
pub(crate) async fn read_body(req: &mut Request) -> Option<Bytes> {
    req.payload_with_max_size(MAX_BODY_BYTES)
        .await
        .ok()
        .cloned()
}

/// Reads the request body as JSON.
pub(crate) async fn read_json<T: DeserializeOwned>(req: &mut Request) -> Result<T, String> {
    let body = read_body(req).await.ok_or("the body could not be read")?;
    serde_json::from_slice(&body).map_err(|e| e.to_string())
}

/// Decodes a percent-encoded path segment; returns `None` if it is malformed.
pub(crate) fn percent_decode(segment: &str) -> Option<String> {
    let mut parts = segment.split('%');
    let mut bytes = parts.next()?.as_bytes().to_vec();
    for part in parts {
        bytes.push(u8::from_str_radix(part.get(..2)?, 16).ok()?);
        bytes.extend_from_slice(&part.as_bytes()[2..]);
    }
    String::from_utf8(bytes).ok()
}

/// Waits for a duration on the shared timer.
pub(crate) async fn delay(timer: &timer::Timer, duration: Duration) {
    if !duration.is_zero() {
        timer.subscribe_after(duration).recv().await;
    }
}
