//! Writing answers.

use std::io;
use std::time::Duration;

use bytes::Bytes;
use salvo::http::{HeaderValue, ResBody, StatusCode, header};
use salvo::{Request, Response};
use serde::Serialize;
use serde::de::DeserializeOwned;
use store::ErrorAnswer;

/// The largest request body; a service allows 8 MiB unless the operators say otherwise.
const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;

/// Answers with a JSON body.
pub(crate) fn json(res: &mut Response, status: StatusCode, body: &impl Serialize) {
    // The bodies hold only text, numbers and maps with text keys, so they always encode.
    let body = serde_json::to_vec(body).unwrap_or_default();
    raw(res, status, "application/json", body.into());
}

/// Answers with bytes.
pub(crate) fn raw(res: &mut Response, status: StatusCode, kind: &'static str, body: Bytes) {
    res.status_code(status);
    res.headers_mut()
        .insert(header::CONTENT_TYPE, HeaderValue::from_static(kind));
    res.body(ResBody::Once(body));
}

/// Answers with an error text.
pub(crate) fn refuse(res: &mut Response, status: StatusCode, error: &str) {
    json(
        res,
        status,
        &ErrorAnswer {
            error: error.into(),
        },
    );
}

/// Closes the connection without an answer.
///
/// The body fails before the head is flushed, so the client receives nothing.
pub(crate) fn close(res: &mut Response) {
    let (mut tx, body) = ResBody::channel();
    tx.send_error(io::Error::other("the connection is to close"));
    res.status_code(StatusCode::OK);
    res.body(body);
}

/// Reads the whole request body.
pub(crate) async fn body(req: &mut Request) -> Option<Bytes> {
    req.payload_with_max_size(MAX_BODY_BYTES)
        .await
        .ok()
        .cloned()
}

/// Reads the request body as JSON.
pub(crate) async fn parse<T: DeserializeOwned>(req: &mut Request) -> Result<T, String> {
    let body = body(req).await.ok_or("the body could not be read")?;
    serde_json::from_slice(&body).map_err(|e| e.to_string())
}

/// Decodes a percent-encoded path segment; nothing if it is malformed.
pub(crate) fn decode_segment(segment: &str) -> Option<String> {
    let mut parts = segment.split('%');
    let mut bytes = parts.next()?.as_bytes().to_vec();
    for part in parts {
        bytes.push(u8::from_str_radix(part.get(..2)?, 16).ok()?);
        bytes.extend_from_slice(&part.as_bytes()[2..]);
    }
    String::from_utf8(bytes).ok()
}

/// Waits on the timer service.
pub(crate) async fn pause(timer: &timer::Timer, delay: Duration) {
    if !delay.is_zero() {
        timer.subscribe_after(delay).recv().await;
    }
}
