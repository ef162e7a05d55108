//! The options of a request and the body of a response.

use std::time::Duration;

use salvo::Request;
use serde::{Deserialize, Serialize};

/// The maximum size of a body that is parsed as [`RunOptions`]; larger bodies are treated as data.
const MAX_OPTIONS_BYTES: usize = 4096;

/// How the endpoint handles a request, as fields of a JSON body or as headers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct RunOptions {
    /// The run time in milliseconds (header `Standin-Run-Ms`).
    pub run_ms: u64,
    /// The number of filler bytes in the response (header `Standin-Answer-Bytes`).
    pub answer_bytes: usize,
    /// Whether the request fails with status 500 (header `Standin-Fail`).
    pub fail: bool,
}

impl RunOptions {
    /// Reads the options of a request; headers take precedence over the body.
    pub(crate) fn from_request(req: &Request, body: &[u8]) -> Self {
        let is_options = body.first() == Some(&b'{') && body.len() <= MAX_OPTIONS_BYTES;
        let options: Self = if is_options {
            serde_json::from_slice(body).unwrap_or_default()
        } else {
            Self::default()
        };
        Self {
            run_ms: req.header("standin-run-ms").unwrap_or(options.run_ms),
            answer_bytes: req
                .header("standin-answer-bytes")
                .unwrap_or(options.answer_bytes),
            fail: req.header("standin-fail").unwrap_or(options.fail),
        }
    }

    pub(crate) fn run_time(self) -> Duration {
        Duration::from_millis(self.run_ms)
    }
}

/// The body of a response, which lets a test match the response to its request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Echo {
    /// The id of the endpoint.
    pub endpoint: Box<str>,
    /// The request id, from the header `Limpethook-Request-Id`.
    pub request: Box<str>,
    /// The BLAKE3 digest of the request body, in hexadecimal.
    pub digest: Box<str>,
    /// `x`, repeated as often as the request asked for.
    pub filler: Box<str>,
}

impl Echo {
    /// Creates the response body for a request.
    pub fn new(endpoint: &str, request: &str, body: &[u8], filler_bytes: usize) -> Self {
        Self {
            endpoint: endpoint.into(),
            request: request.into(),
            digest: blake3::hash(body).to_hex().as_str().into(),
            filler: "x".repeat(filler_bytes).into(),
        }
    }

    /// Returns the response body for a request that was never sent.
    pub(crate) fn for_unknown_request(endpoint: &str) -> Self {
        Self::new(endpoint, "ffffffffffffffffffffffffffffffff", b"foreign", 0)
    }
}
