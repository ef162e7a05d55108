//! Calls on jobs at an entry.

use std::time::Duration;

use errors::{Error, ErrorKind, Result, Verdict};
use reqwest::header::RETRY_AFTER;
use reqwest::{Method, RequestBuilder, StatusCode};
use serde_json::Value;

use crate::cli::CallerArgs;

/// The environment variable with the token; an argument would be visible to other users of the machine.
const TOKEN_VARIABLE: &str = "LIMPETHOOK_TOKEN";
/// Time for one call, with an answer of 29 MB over a link of 30 Mbit/s.
const CALL_TIMEOUT: Duration = Duration::from_secs(30);
/// When a call that did not reach the entry may be repeated.
const UNREACHABLE_RETRY_AFTER: Duration = Duration::from_secs(1);

/// A caller of one entry.
pub(crate) struct Client {
    http: reqwest::Client,
    base: Box<str>,
    credentials: String,
}

/// What the entry answered.
pub(crate) struct Reply {
    pub(crate) status: StatusCode,
    pub(crate) body: Vec<u8>,
    ran: bool,
    retry_after: Option<Duration>,
}

impl Client {
    /// Creates a caller with the token from the file or the environment.
    pub(crate) fn new(args: &CallerArgs) -> Result<Self> {
        let http = reqwest::Client::builder()
            .no_proxy()
            .timeout(CALL_TIMEOUT)
            .build()
            .map_err(|e| {
                Error::not_run(ErrorKind::Internal, format!("HTTP client: {e}")).report()
            })?;
        Ok(Self {
            http,
            base: args.entry.trim_end_matches('/').into(),
            credentials: format!("Bearer {}:{}", args.account, token(args)?),
        })
    }

    /// Returns a request with the credentials.
    pub(crate) fn request(&self, method: Method, path: &str) -> RequestBuilder {
        self.http
            .request(method, format!("{}{path}", self.base))
            .header("authorization", &self.credentials)
    }

    /// Sends a request; an error of the entry becomes the error, but for "there is no outcome yet".
    pub(crate) async fn send(&self, req: RequestBuilder) -> Result<Reply> {
        let res = req.send().await.map_err(|e| unreachable(&e))?;
        let header = |name: &str| res.headers().get(name).and_then(|v| v.to_str().ok());
        let ran = header("limpethook-verdict").is_some();
        let retry_after = header(RETRY_AFTER.as_str()).and_then(|v| v.parse().ok());
        let status = res.status();
        let body = res.bytes().await.map_err(|e| unreachable(&e))?.to_vec();
        let reply = Reply {
            status,
            body,
            ran,
            retry_after: retry_after.map(Duration::from_secs),
        };
        if reply.ran || status.is_success() || status == StatusCode::TOO_EARLY {
            return Ok(reply);
        }
        Err(reply.error().report())
    }
}

impl Reply {
    /// Returns whether this is the answer of an endpoint.
    pub(crate) fn is_answer(&self) -> bool {
        self.ran
    }

    /// Returns the id of a submitted job.
    pub(crate) fn job_id(&self) -> Result<Box<str>> {
        let body: Value = serde_json::from_slice(&self.body).unwrap_or_default();
        body["id"].as_str().map(Into::into).ok_or_else(|| {
            Error::may_have_run(ErrorKind::Corrupt, "the entry answered no job id").report()
        })
    }

    /// Reads the error body.
    pub(crate) fn error(&self) -> Error {
        let body: Value = serde_json::from_slice(&self.body).unwrap_or_default();
        let field = |name: &str| body["error"][name].clone();
        let verdict = serde_json::from_value(field("verdict")).unwrap_or(Verdict::MayHaveRun);
        let kind = serde_json::from_value(field("kind")).unwrap_or(ErrorKind::Failed);
        let message = match field("message") {
            Value::String(message) => message,
            _ => format!("the entry answered {}", self.status),
        };
        Error {
            retry_after: self.retry_after,
            ..Error::new(verdict, kind, message)
        }
    }
}

fn token(args: &CallerArgs) -> Result<String> {
    let invalid = |message: String| Error::not_run(ErrorKind::InvalidRequest, message).report();
    let text = match &args.token_file {
        Some(file) => std::fs::read_to_string(file)
            .map_err(|e| invalid(format!("{}: {e}", file.display())))?,
        None => std::env::var(TOKEN_VARIABLE)
            .map_err(|_| invalid(format!("set {TOKEN_VARIABLE} or give --token-file")))?,
    };
    Ok(text.trim_end().to_owned())
}

fn unreachable(e: &reqwest::Error) -> error_stack::Report<Error> {
    let message = format!("the call to the entry failed: {e}");
    let error = if e.is_connect() {
        Error::not_run(ErrorKind::Unavailable, message)
    } else {
        Error::may_have_run(ErrorKind::Unavailable, message)
    };
    error.retry_after(UNREACHABLE_RETRY_AFTER).report()
}
