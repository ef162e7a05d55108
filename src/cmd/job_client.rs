//! Client for the job API of an entry.

use std::time::Duration;

use errors::{Error, ErrorKind, Result, Verdict};
use reqwest::header::RETRY_AFTER;
use reqwest::{Method, RequestBuilder, StatusCode};
use serde_json::Value;

use crate::cli::CallerArgs;

/// Environment variable with the token. A command line argument would be visible to other users of the machine.
const TOKEN_VARIABLE: &str = "LIMPETHOOK_TOKEN";
/// Timeout of a call; allows for the transfer of the largest result (29 MB) over a 30 Mbit/s link.
const CALL_TIMEOUT: Duration = Duration::from_secs(30);
/// Retry delay after a transport error.
const UNREACHABLE_RETRY_AFTER: Duration = Duration::from_secs(1);

/// A client of the job API of one entry.
pub(crate) struct JobClient {
    http: reqwest::Client,
    base: Box<str>,
    credentials: String,
}

/// A response of the job API.
pub(crate) struct JobResponse {
    pub(crate) status: StatusCode,
    pub(crate) body: Vec<u8>,
    from_endpoint: bool,
    retry_after: Option<Duration>,
}

impl JobClient {
    /// Creates a client with the token from the token file or the environment.
    pub(crate) fn new(args: &CallerArgs) -> Result<Self> {
        let http = reqwest::Client::builder()
            .no_proxy()
            .timeout(CALL_TIMEOUT)
            .build()
            .map_err(|e| {
                Error::not_run(
                    ErrorKind::Internal,
                    format!("cannot create the HTTP client: {e}"),
                )
                .report()
            })?;
        Ok(Self {
            http,
            base: args.entry.trim_end_matches('/').into(),
            credentials: format!("Bearer {}:{}", args.account, read_token(args)?),
        })
    }

    /// Creates a request with the credentials.
    pub(crate) fn request(&self, method: Method, path: &str) -> RequestBuilder {
        self.http
            .request(method, format!("{}{path}", self.base))
            .header("authorization", &self.credentials)
    }

    /// Sends a request. Error responses of the entry are returned as errors, except status 425, which means that the
    /// job has no outcome yet.
    pub(crate) async fn send(&self, req: RequestBuilder) -> Result<JobResponse> {
        let res = req.send().await.map_err(|e| transport_error(&e))?;
        let header = |name: &str| res.headers().get(name).and_then(|v| v.to_str().ok());
        let from_endpoint = header("limpethook-verdict").is_some();
        let retry_after = header(RETRY_AFTER.as_str()).and_then(|v| v.parse().ok());
        let status = res.status();
        let body = res.bytes().await.map_err(|e| transport_error(&e))?.to_vec();
        let response = JobResponse {
            status,
            body,
            from_endpoint,
            retry_after: retry_after.map(Duration::from_secs),
        };
        if response.from_endpoint || status.is_success() || status == StatusCode::TOO_EARLY {
            return Ok(response);
        }
        Err(response.error().report())
    }
}

impl JobResponse {
    /// Returns whether the response was produced by an endpoint.
    pub(crate) fn is_from_endpoint(&self) -> bool {
        self.from_endpoint
    }

    /// Returns the id of the submitted job.
    pub(crate) fn job_id(&self) -> Result<Box<str>> {
        let body: Value = serde_json::from_slice(&self.body).unwrap_or_default();
        body["id"].as_str().map(Into::into).ok_or_else(|| {
            Error::may_have_run(
                ErrorKind::Corrupt,
                "the response of the entry has no job id",
            )
            .report()
        })
    }

    /// Parses the error in the response body.
    pub(crate) fn error(&self) -> Error {
        let body: Value = serde_json::from_slice(&self.body).unwrap_or_default();
        let field = |name: &str| body["error"][name].clone();
        let verdict = serde_json::from_value(field("verdict")).unwrap_or(Verdict::MayHaveRun);
        let kind = serde_json::from_value(field("kind")).unwrap_or(ErrorKind::Failed);
        let message = match field("message") {
            Value::String(message) => message,
            _ => format!("the entry returned status {}", self.status),
        };
        Error {
            retry_after: self.retry_after,
            ..Error::new(verdict, kind, message)
        }
    }
}

fn read_token(args: &CallerArgs) -> Result<String> {
    let invalid = |message: String| Error::not_run(ErrorKind::InvalidRequest, message).report();
    let text = match &args.token_file {
        Some(file) => std::fs::read_to_string(file)
            .map_err(|e| invalid(format!("cannot read {}: {e}", file.display())))?,
        None => std::env::var(TOKEN_VARIABLE).map_err(|_| {
            invalid(format!(
                "no token: set {TOKEN_VARIABLE} or pass --token-file"
            ))
        })?,
    };
    Ok(text.trim_end().to_owned())
}

fn transport_error(e: &reqwest::Error) -> error_stack::Report<Error> {
    let message = format!("request to the entry failed: {e}");
    let error = if e.is_connect() {
        Error::not_run(ErrorKind::Unavailable, message)
    } else {
        Error::may_have_run(ErrorKind::Unavailable, message)
    };
    error.retry_after(UNREACHABLE_RETRY_AFTER).report()
}
