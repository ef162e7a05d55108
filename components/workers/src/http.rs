//! HTTP/JSON client of workers.

use std::time::Duration;

use async_trait::async_trait;
use errors::{Error, ErrorKind, Result, Verdict};
use reqwest::redirect::Policy;
use reqwest::{Client, Method, RequestBuilder, StatusCode, Url};
use serde::de::DeserializeOwned;

use crate::platform::{RenewOutcome, StartTask, TaskId, Usage, WorkerPlatform};
use crate::wire::{RenewRequest, StartRequest, ThrottleRequest, UsageResponse, as_millis};

/// Address and timeouts of the client.
#[derive(Debug, Clone)]
pub struct HttpWorkersSettings {
    /// The base URL of the workers, such as `http://127.0.0.1:7100`.
    pub base_url: Box<str>,
    /// Timeout for opening a connection.
    pub connect_timeout: Duration,
    /// Timeout for one call.
    pub call_timeout: Duration,
}

impl HttpWorkersSettings {
    /// Creates settings with timeouts of 500 ms for a connection and 1 s for a call, which is half of the gang lease.
    pub fn new(base_url: impl Into<Box<str>>) -> Self {
        Self {
            base_url: base_url.into(),
            connect_timeout: Duration::from_millis(500),
            call_timeout: Duration::from_secs(1),
        }
    }
}

/// Workers that are reached over HTTP.
#[derive(Debug)]
pub struct HttpWorkers {
    client: Client,
    base: Url,
    call_timeout: Duration,
}

impl HttpWorkers {
    /// Creates the client; it connects on the first call.
    pub fn new(settings: &HttpWorkersSettings) -> Result<Self> {
        let base = Url::parse(&settings.base_url)
            .ok()
            .filter(|url| !url.cannot_be_a_base())
            .ok_or_else(|| {
                let message = format!("invalid workers URL {:?}", settings.base_url);
                Error::not_run(ErrorKind::InvalidRequest, message).report()
            })?;
        let client = Client::builder()
            .no_proxy()
            // What another server answers says nothing about the tasks of the worker, and a refused connection to it does not
            // prove that the worker did not receive the call.
            .redirect(Policy::none())
            .connect_timeout(settings.connect_timeout)
            .tcp_nodelay(true)
            .build()
            .map_err(|e| {
                let message = format!("cannot create the HTTP client: {e}");
                Error::not_run(ErrorKind::Internal, message).report()
            })?;
        Ok(Self {
            client,
            base,
            call_timeout: settings.call_timeout,
        })
    }

    fn request(&self, method: Method, worker: &str, path: &[&str]) -> RequestBuilder {
        let mut url = self.base.clone();
        // Fails only for a URL that cannot be a base, which the constructor rejects.
        if let Ok(mut segments) = url.path_segments_mut() {
            segments
                .clear()
                .extend(["v1", "workers", worker])
                .extend(path);
        }
        self.client.request(method, url).timeout(self.call_timeout)
    }
}

#[async_trait]
impl WorkerPlatform for HttpWorkers {
    async fn start_task(&self, worker: &str, task: &StartTask) -> Result<()> {
        let req = self.request(Method::POST, worker, &["tasks"]);
        send(req.json(&StartRequest::from(task)), Verdict::MayHaveRun)
            .await
            .map(drop)
    }

    async fn renew_tasks(
        &self,
        worker: &str,
        tasks: &[TaskId],
        lease: Duration,
    ) -> Result<RenewOutcome> {
        let body = RenewRequest {
            tasks: tasks.to_vec(),
            lease_ms: as_millis(lease),
        };
        let req = self.request(Method::POST, worker, &["renew"]).json(&body);
        parse_json(&send(req, Verdict::MayHaveRun).await?, Verdict::MayHaveRun)
    }

    async fn stop_task(&self, worker: &str, task: &str) -> Result<()> {
        let req = self.request(Method::DELETE, worker, &["tasks", task]);
        send(req, Verdict::MayHaveRun).await.map(drop)
    }

    async fn throttle_task(&self, worker: &str, task: &str, percent: u8) -> Result<()> {
        let req = self.request(Method::POST, worker, &["tasks", task, "throttle"]);
        send(req.json(&ThrottleRequest { percent }), Verdict::MayHaveRun)
            .await
            .map(drop)
    }

    async fn checkpoint_task(&self, worker: &str, task: &str) -> Result<()> {
        let req = self.request(Method::POST, worker, &["tasks", task, "checkpoint"]);
        send(req, Verdict::MayHaveRun).await.map(drop)
    }

    async fn usage(&self, worker: &str) -> Result<Usage> {
        let req = self.request(Method::GET, worker, &["usage"]);
        let body = send(req, Verdict::NotRun).await?;
        parse_json::<UsageResponse>(&body, Verdict::NotRun).map(Usage::from)
    }
}

/// Sends a request and reads the whole response; failures after the request was sent get `verdict_if_sent`.
async fn send(req: RequestBuilder, verdict_if_sent: Verdict) -> Result<Vec<u8>> {
    let res = req
        .send()
        .await
        .map_err(|e| transport_error(&e, verdict_if_sent))?;
    let status = res.status();
    let body = res
        .bytes()
        .await
        .map_err(|e| transport_error(&e, verdict_if_sent))?;
    if status.is_success() {
        return Ok(body.into());
    }
    Err(status_error(status, &body, verdict_if_sent).report())
}

fn status_error(status: StatusCode, body: &[u8], verdict_if_sent: Verdict) -> Error {
    let text = String::from_utf8_lossy(body);
    let message = format!("worker responded with {status}: {text}");
    match status {
        StatusCode::NOT_FOUND => Error::not_run(ErrorKind::NotFound, message),
        StatusCode::CONFLICT => Error::not_run(ErrorKind::Overloaded, message),
        StatusCode::GONE => Error::ran(ErrorKind::Conflict, message),
        StatusCode::SERVICE_UNAVAILABLE => Error::not_run(ErrorKind::Unavailable, message),
        StatusCode::INTERNAL_SERVER_ERROR => {
            Error::new(verdict_if_sent, ErrorKind::Failed, message)
        }
        _ if status.is_client_error() => Error::not_run(ErrorKind::InvalidRequest, message),
        _ => Error::new(verdict_if_sent, ErrorKind::Unavailable, message),
    }
}

fn transport_error(e: &reqwest::Error, verdict_if_sent: Verdict) -> error_stack::Report<Error> {
    let sent = !(e.is_connect() || e.is_builder());
    let verdict = if sent {
        verdict_if_sent
    } else {
        Verdict::NotRun
    };
    let mut message = format!("call to a worker failed: {e}");
    let mut source = std::error::Error::source(e);
    while let Some(inner) = source {
        message = format!("{message}: {inner}");
        source = inner.source();
    }
    Error::new(verdict, ErrorKind::Unavailable, message).report()
}

fn parse_json<T: DeserializeOwned>(body: &[u8], verdict: Verdict) -> Result<T> {
    serde_json::from_slice(body).map_err(|e| {
        let message = format!("malformed response from a worker: {e}");
        Error::new(verdict, ErrorKind::Corrupt, message).report()
    })
}
