//! Reading of request bodies with limits on size and duration.

use std::time::{Duration, Instant};

use bytes::Bytes;
use errors::{Error, ErrorKind, Result};
use futures::StreamExt;
use ingress::{BodyParts, Exchange, Serving};
use policy::limits::Admission;
use salvo::http::ReqBody;
use salvo::http::body::Frame;
use salvo::http::header::CONTENT_LENGTH;
use salvo::prelude::{Depot, Request};

/// Time that every body has to arrive, in addition to the time allowed by the minimum rate.
const GRACE_PERIOD: Duration = Duration::from_secs(5);
/// Minimum transfer rate after the grace period: a sixtieth of the bandwidth between regions.
const MIN_BYTES_PER_SECOND: u64 = 64 * 1024;

/// Delay after which a caller should repeat a request for which there was no memory.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// Reads a body of at most `limit` bytes, admitting each chunk before it is buffered.
///
/// Slow bodies are rejected, so that they do not occupy connections and admitted bytes.
pub(crate) async fn read_body(
    req: &mut Request,
    depot: &mut Depot,
    limit: u64,
    admission: &mut Admission,
) -> Result<(Bytes, Option<Exchange<Serving>>)> {
    if declared_length(req).is_some_and(|length| length > limit) {
        return Err(too_large(limit));
    }
    let started = timer::now();
    let mut body = req.take_body();
    let mut parts = BodyParts::new(depot);
    while let Some(chunk) = next_chunk(&mut body, started, parts.length() as u64).await? {
        if (parts.length() + chunk.len()) as u64 > limit {
            return Err(too_large(limit));
        }
        admission.extend(chunk.len() as u64)?;
        parts.append(&chunk, usize::try_from(limit).unwrap_or(usize::MAX))?;
    }
    let (body, mut exchange) = parts.join()?;
    // The message to the agent and the write buffer of the connection are copies of the body.
    if exchange
        .as_mut()
        .is_some_and(|exchange| !exchange.reserve(2 * body.len()))
    {
        let message = "requests in progress use up the memory for requests";
        let error = Error::not_run(ErrorKind::Overloaded, message);
        return Err(error.retry_after(RETRY_DELAY).report());
    }
    Ok((body.into(), exchange))
}

fn declared_length(req: &Request) -> Option<u64> {
    let value = req.headers().get(CONTENT_LENGTH)?;
    value.to_str().ok()?.parse().ok()
}

async fn next_chunk(body: &mut ReqBody, started: Instant, read: u64) -> Result<Option<Bytes>> {
    let deadline = started + GRACE_PERIOD + Duration::from_secs(read / MIN_BYTES_PER_SECOND);
    loop {
        let Ok(frame) = tokio::time::timeout_at(deadline.into(), body.next()).await else {
            let message = "the body was sent too slowly";
            return Err(Error::not_run(ErrorKind::Timeout, message).report());
        };
        match frame.map(|frame| frame.map(Frame::into_data)) {
            None => return Ok(None),
            Some(Ok(Ok(chunk))) => return Ok(Some(chunk)),
            // Trailers are not part of the body.
            Some(Ok(Err(_))) => {}
            Some(Err(e)) => {
                let message = format!("cannot read the body: {e}");
                return Err(Error::not_run(ErrorKind::InvalidRequest, message).report());
            }
        }
    }
}

fn too_large(limit: u64) -> error_stack::Report<Error> {
    let message = format!("the body is larger than {limit} bytes");
    Error::not_run(ErrorKind::TooLarge, message).report()
}
