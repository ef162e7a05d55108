//! The HTTP/JSON adapter of the worker interface.

use std::time::Duration;

use async_trait::async_trait;
use errors::{Error, ErrorKind, Result, Verdict};
use reqwest::{Client, Method, RequestBuilder, StatusCode, Url};
use serde::de::DeserializeOwned;

use crate::platform::{Renewed, StartTask, TaskId, Usage, WorkerPlatform};
use crate::wire::{RenewRequest, StartRequest, ThrottleRequest, UsageAnswer, millis};

/// Where the workers are and how long calls may take.
#[derive(Debug, Clone)]
pub struct HttpWorkersSettings {
    /// The base address of the platform's worker interface, such as `http://127.0.0.1:7100`.
    pub base: Box<str>,
    /// The time for a new connection.
    pub connect_timeout: Duration,
    /// The time for one call.
    pub call_timeout: Duration,
}

impl HttpWorkersSettings {
    /// Creates settings with 500 ms for a connection and 1 s for a call, which is half of the gang lease.
    pub fn new(base: impl Into<Box<str>>) -> Self {
        Self {
            base: base.into(),
            connect_timeout: Duration::from_millis(500),
            call_timeout: Duration::from_secs(1),
        }
    }
}

/// Calls workers over HTTP.
#[derive(Debug)]
pub struct HttpWorkers {
    client: Client,
    base: Url,
    call_timeout: Duration,
}

impl HttpWorkers {
    /// Creates the adapter; it connects with the first call.
    pub fn new(settings: &HttpWorkersSettings) -> Result<Self> {
        let base = Url::parse(&settings.base)
            .ok()
            .filter(|url| !url.cannot_be_a_base())
            .ok_or_else(|| {
                let message = format!("workers address {:?} is not a URL", settings.base);
                Error::not_run(ErrorKind::InvalidRequest, message).report()
            })?;
        let client = Client::builder()
            .no_proxy()
            .connect_timeout(settings.connect_timeout)
            .tcp_nodelay(true)
            .build()
            .map_err(|e| {
                let message = format!("HTTP client: {e}");
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
        // Only an address that cannot be a base has no path, and the constructor refuses it.
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
    ) -> Result<Renewed> {
        let body = RenewRequest {
            tasks: tasks.to_vec(),
            lease_ms: millis(lease),
        };
        let req = self.request(Method::POST, worker, &["renew"]).json(&body);
        parse(&send(req, Verdict::MayHaveRun).await?, Verdict::MayHaveRun)
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
        parse::<UsageAnswer>(&body, Verdict::NotRun).map(Usage::from)
    }
}

/// Sends a request; `lost` is the verdict when it was sent and no whole answer came back.
async fn send(req: RequestBuilder, lost: Verdict) -> Result<Vec<u8>> {
    let answer = req.send().await.map_err(|e| failed(&e, lost))?;
    let status = answer.status();
    let body = answer.bytes().await.map_err(|e| failed(&e, lost))?;
    if status.is_success() {
        return Ok(body.into());
    }
    Err(refused(status, &body, lost).report())
}

fn refused(status: StatusCode, body: &[u8], lost: Verdict) -> Error {
    let text = String::from_utf8_lossy(body);
    let message = format!("worker answered {status}: {text}");
    match status {
        StatusCode::NOT_FOUND => Error::not_run(ErrorKind::NotFound, message),
        StatusCode::CONFLICT => Error::not_run(ErrorKind::Overloaded, message),
        StatusCode::GONE => Error::ran(ErrorKind::Conflict, message),
        StatusCode::SERVICE_UNAVAILABLE => Error::not_run(ErrorKind::Unavailable, message),
        StatusCode::INTERNAL_SERVER_ERROR => Error::new(lost, ErrorKind::Failed, message),
        _ if status.is_client_error() => Error::not_run(ErrorKind::InvalidRequest, message),
        _ => Error::new(lost, ErrorKind::Unavailable, message),
    }
}

fn failed(e: &reqwest::Error, lost: Verdict) -> error_stack::Report<Error> {
    let sent = !(e.is_connect() || e.is_builder());
    let verdict = if sent { lost } else { Verdict::NotRun };
    let mut message = format!("call to a worker failed: {e}");
    let mut cause = std::error::Error::source(e);
    while let Some(inner) = cause {
        message = format!("{message}: {inner}");
        cause = inner.source();
    }
    Error::new(verdict, ErrorKind::Unavailable, message).report()
}

fn parse<T: DeserializeOwned>(body: &[u8], verdict: Verdict) -> Result<T> {
    serde_json::from_slice(body).map_err(|e| {
        let message = format!("answer of a worker: {e}");
        Error::new(verdict, ErrorKind::Corrupt, message).report()
    })
}
