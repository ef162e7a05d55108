//! HTTP client for the endpoint.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use config::EndpointSettings;
use errors::{Error, ErrorKind, Result};
use model::WorkerId;
use reqwest::header::{CONTENT_TYPE, HeaderMap};
use reqwest::redirect::Policy;
use wire::{Answer, Dispatch};

/// Carries the request id; an endpoint that returns the header shows which request it answered.
const REQUEST_ID_HEADER: &str = "limpethook-request-id";
const ATTEMPT_HEADER: &str = "limpethook-attempt";
const ACCOUNT_HEADER: &str = "limpethook-account";
const WORKERS_HEADER: &str = "limpethook-workers";
const TRACEPARENT_HEADER: &str = "traceparent";

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum size of an answer; below the maximum size of a frame between processes.
const MAX_ANSWER_BYTES: u64 = 64 * 1024 * 1024;

/// HTTP client for the agent's endpoint.
#[derive(Debug, Clone)]
pub(crate) struct EndpointClient {
    /// One client per shard and one for the shared runtime, so that a call wakes no other thread.
    clients: Vec<reqwest::Client>,
    url: Box<str>,
}

impl EndpointClient {
    /// Creates a client for each shard; together the shards keep about the configured number of idle connections.
    pub(crate) fn new(settings: &EndpointSettings, shards: u32) -> Result<Self> {
        let connections = settings.connections.div_ceil(shards.max(1));
        let clients = (0..=shards).map(|_| build_client(connections as usize));
        let clients = clients.collect::<reqwest::Result<Vec<_>>>().map_err(|e| {
            Error::not_run(
                ErrorKind::Internal,
                format!("cannot create the HTTP client: {e}"),
            )
            .report()
        })?;
        Ok(Self {
            clients,
            url: settings.url.clone(),
        })
    }

    fn client(&self) -> &reqwest::Client {
        &self.clients[shards::current() % self.clients.len()]
    }

    /// Sends a request and returns the complete answer with its digest.
    pub(crate) async fn call(
        &self,
        dispatch: &Dispatch,
        workers: &[WorkerId],
        timeout: Duration,
    ) -> Result<Answer> {
        let mut req = self
            .client()
            .post(&*self.url)
            .timeout(timeout)
            .header(REQUEST_ID_HEADER, format!("{:032x}", dispatch.request.id))
            .header(ATTEMPT_HEADER, dispatch.attempt)
            .header(ACCOUNT_HEADER, &*dispatch.request.account)
            .body(dispatch.body.clone());
        if !workers.is_empty() {
            req = req.header(WORKERS_HEADER, workers.join(","));
        }
        if let Some(parent) = telemetry::current_trace_parent() {
            req = req.header(TRACEPARENT_HEADER, parent.header());
        }
        let mut res = req.send().await.map_err(|e| send_error(&e))?;
        check_request_id(res.headers(), dispatch)?;
        if res
            .content_length()
            .is_some_and(|length| length > MAX_ANSWER_BYTES)
        {
            return Err(too_large_error());
        }
        let status = res.status().as_u16();
        let content_type = content_type_or_default(res.headers());
        let body = read_answer(&mut res).await?;
        Ok(build_answer(dispatch, status, content_type, body))
    }
}

fn build_client(connections: usize) -> reqwest::Result<reqwest::Client> {
    reqwest::Client::builder()
        .no_proxy()
        // A redirect is the answer of the endpoint. If it were followed, a refused connection to its target would count as one
        // to the endpoint, which has received the request.
        .redirect(Policy::none())
        .connect_timeout(CONNECT_TIMEOUT)
        .pool_max_idle_per_host(connections)
        .tcp_nodelay(true)
        .build()
}

/// Reads the body of an answer, whose length need not be declared.
async fn read_answer(res: &mut reqwest::Response) -> Result<Bytes> {
    let declared = res.content_length().unwrap_or_default();
    let mut buf = BytesMut::with_capacity(usize::try_from(declared).unwrap_or_default());
    while let Some(chunk) = res.chunk().await.map_err(|e| body_error(&e))? {
        if (buf.len() + chunk.len()) as u64 > MAX_ANSWER_BYTES {
            return Err(too_large_error());
        }
        buf.extend_from_slice(&chunk);
    }
    Ok(buf.freeze())
}

fn too_large_error() -> error_stack::Report<Error> {
    Error::ran(ErrorKind::TooLarge, "the answer is larger than 64 MB").report()
}

fn build_answer(dispatch: &Dispatch, status: u16, content_type: Box<str>, body: Bytes) -> Answer {
    Answer {
        request: dispatch.request.id,
        attempt: dispatch.attempt,
        status,
        content_type,
        length: body.len() as u64,
        digest: *blake3::hash(&body).as_bytes(),
        compressed: false,
        body,
    }
}

fn content_type_or_default(headers: &HeaderMap) -> Box<str> {
    let value = headers
        .get(CONTENT_TYPE)
        .and_then(|value| value.to_str().ok());
    value.unwrap_or("application/octet-stream").into()
}

/// Rejects an answer that carries the id of another request.
fn check_request_id(headers: &HeaderMap, dispatch: &Dispatch) -> Result<()> {
    let Some(returned_id) = headers.get(REQUEST_ID_HEADER) else {
        return Ok(());
    };
    if returned_id.as_bytes() == format!("{:032x}", dispatch.request.id).as_bytes() {
        return Ok(());
    }
    Err(Error::may_have_run(
        ErrorKind::Corrupt,
        "the endpoint returned the id of another request",
    )
    .report())
}

fn send_error(e: &reqwest::Error) -> error_stack::Report<Error> {
    let error = if e.is_connect() {
        Error::not_run(
            ErrorKind::Unavailable,
            "the endpoint refused the connection",
        )
    } else if e.is_timeout() {
        Error::may_have_run(ErrorKind::Timeout, "the endpoint did not answer in time")
    } else {
        Error::may_have_run(ErrorKind::Failed, "the connection to the endpoint failed")
    };
    error.report()
}

fn body_error(e: &reqwest::Error) -> error_stack::Report<Error> {
    let error = if e.is_timeout() {
        Error::may_have_run(
            ErrorKind::Timeout,
            "the endpoint did not complete its answer in time",
        )
    } else {
        Error::may_have_run(
            ErrorKind::Corrupt,
            "the answer of the endpoint was truncated",
        )
    };
    error.report()
}
