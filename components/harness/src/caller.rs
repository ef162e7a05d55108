//! A client that submits requests to entries and classifies their outcomes.

use std::time::{Duration, Instant};

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::Result;

/// A request to submit.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Submission {
    /// The name shown in reports.
    pub name: Box<str>,
    /// The service.
    pub service: Box<str>,
    /// The client account.
    pub account: Box<str>,
    /// The token of the client account.
    pub token: Box<str>,
    /// The shape, as JSON.
    pub shape: Option<Value>,
    /// Whether the request may run more than once.
    pub idempotent: Option<bool>,
    /// Whether the request supports checkpoints.
    pub stoppable: Option<bool>,
    /// The timeout in milliseconds.
    pub timeout_ms: Option<u64>,
    /// The idempotency key.
    pub idempotency_key: Option<Box<str>>,
    /// The trace context, as a W3C `traceparent` header.
    pub traceparent: Option<Box<str>>,
    /// The request body.
    pub body: Value,
}

/// The outcome of a request as seen by its caller.
#[derive(Debug, Clone)]
pub struct Outcome {
    /// The HTTP status; 0 if there is no complete response.
    pub status: u16,
    /// `ran`, `not_run`, `may_have_run`, or `unknown` if the response is incomplete or has no verdict.
    pub verdict: Box<str>,
    /// `answered`, or the kind of the error.
    pub kind: Box<str>,
    /// The id of the request, if known.
    pub request: Box<str>,
    /// The response body.
    pub body: Bytes,
    /// Time from the submission to the response or error.
    pub elapsed: Duration,
}

impl Outcome {
    /// Returns whether the response comes from the endpoint.
    pub fn is_answered(&self) -> bool {
        &*self.kind == "answered"
    }
}

/// A client with its own connection pool.
#[derive(Debug, Clone)]
pub struct Caller {
    http: reqwest::Client,
}

impl Caller {
    /// Creates a caller with an empty connection pool.
    pub fn new() -> Result<Self> {
        Ok(Self {
            http: reqwest::Client::builder()
                .no_proxy()
                .tcp_nodelay(true)
                .build()?,
        })
    }

    /// Submits a synchronous request to an entry.
    pub async fn submit(&self, entry_url: &str, submission: &Submission) -> Outcome {
        let started = Instant::now();
        let url = format!("{entry_url}/v1/services/{}/requests", submission.service);
        match self.request(&url, submission).send().await {
            Ok(res) => read_outcome(res, started).await,
            // Without a connection nothing was sent, so the entry cannot have accepted the request.
            Err(e) if e.is_connect() => connection_failure("not_connected", started),
            Err(_) => connection_failure("connection_broke", started),
        }
    }

    /// Builds the HTTP request with all headers of a submission.
    pub fn request(&self, url: &str, submission: &Submission) -> reqwest::RequestBuilder {
        let mut req = self
            .http
            .post(url)
            .header(
                "authorization",
                format!("Bearer {}:{}", submission.account, submission.token),
            )
            .body(submission.body.to_string());
        let optional = [
            (
                "limpethook-shape",
                submission.shape.as_ref().map(ToString::to_string),
            ),
            (
                "limpethook-idempotent",
                submission.idempotent.as_ref().map(ToString::to_string),
            ),
            (
                "limpethook-stoppable",
                submission.stoppable.as_ref().map(ToString::to_string),
            ),
            (
                "limpethook-timeout-ms",
                submission.timeout_ms.as_ref().map(ToString::to_string),
            ),
            (
                "idempotency-key",
                submission.idempotency_key.as_ref().map(ToString::to_string),
            ),
            (
                "traceparent",
                submission.traceparent.as_ref().map(ToString::to_string),
            ),
        ];
        for (name, value) in optional {
            if let Some(value) = value {
                req = req.header(name, value);
            }
        }
        req
    }

    /// Returns the HTTP client.
    pub fn http(&self) -> &reqwest::Client {
        &self.http
    }
}

async fn read_outcome(res: reqwest::Response, started: Instant) -> Outcome {
    let status = res.status().as_u16();
    let header = |name: &str| {
        res.headers()
            .get(name)
            .and_then(|v| v.to_str().ok())
            .unwrap_or_default()
            .into()
    };
    let request = header("limpethook-request-id");
    let endpoint_verdict: Box<str> = header("limpethook-verdict");
    let Ok(body) = res.bytes().await else {
        return connection_failure("connection_broke", started);
    };
    let (verdict, kind) = if endpoint_verdict.is_empty() {
        parse_error(&body)
    } else {
        (endpoint_verdict, "answered".into())
    };
    Outcome {
        status,
        verdict,
        kind,
        request,
        body,
        elapsed: started.elapsed(),
    }
}

fn parse_error(body: &[u8]) -> (Box<str>, Box<str>) {
    let value: Value = serde_json::from_slice(body).unwrap_or_default();
    let field = |name: &str| value["error"][name].as_str().unwrap_or("unknown").into();
    (field("verdict"), field("kind"))
}

fn connection_failure(kind: &str, started: Instant) -> Outcome {
    Outcome {
        status: 0,
        verdict: "unknown".into(),
        kind: kind.into(),
        request: "".into(),
        body: Bytes::new(),
        elapsed: started.elapsed(),
    }
}
