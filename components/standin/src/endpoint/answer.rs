//! What a request asks for and what the endpoint answers.

use std::time::Duration;

use salvo::Request;
use serde::{Deserialize, Serialize};

/// Bodies up to this size may hold the fields of [`Ask`]; larger ones are data.
const MAX_ASK_BYTES: usize = 4096;

/// What a request asks of the endpoint, as fields of a JSON body or as headers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Ask {
    /// The run time in milliseconds (header `Standin-Run-Ms`).
    pub run_ms: u64,
    /// The number of filler bytes in the answer (header `Standin-Answer-Bytes`).
    pub answer_bytes: usize,
    /// Whether the request fails with status 500 (header `Standin-Fail`).
    pub fail: bool,
}

impl Ask {
    /// Reads what a request asks for; headers go before the body.
    pub(crate) fn of(req: &Request, body: &[u8]) -> Self {
        let json = body.first() == Some(&b'{') && body.len() <= MAX_ASK_BYTES;
        let asked: Self = if json {
            serde_json::from_slice(body).unwrap_or_default()
        } else {
            Self::default()
        };
        Self {
            run_ms: req.header("standin-run-ms").unwrap_or(asked.run_ms),
            answer_bytes: req
                .header("standin-answer-bytes")
                .unwrap_or(asked.answer_bytes),
            fail: req.header("standin-fail").unwrap_or(asked.fail),
        }
    }

    pub(crate) fn run_time(self) -> Duration {
        Duration::from_millis(self.run_ms)
    }
}

/// The body of an answer, by which a test recognises the answer to its own request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Echo {
    /// The endpoint.
    pub endpoint: Box<str>,
    /// The request id from the header `Limpethook-Request-Id`.
    pub request: Box<str>,
    /// The BLAKE3 digest of the request body in hexadecimal.
    pub digest: Box<str>,
    /// As many `x` as the request asked for.
    pub filler: Box<str>,
}

impl Echo {
    /// Creates the answer to a request.
    pub fn new(endpoint: &str, request: &str, body: &[u8], filler: usize) -> Self {
        Self {
            endpoint: endpoint.into(),
            request: request.into(),
            digest: blake3::hash(body).to_hex().as_str().into(),
            filler: "x".repeat(filler).into(),
        }
    }

    /// Returns the answer to a request that nobody made.
    pub(crate) fn foreign(endpoint: &str) -> Self {
        Self::new(endpoint, "ffffffffffffffffffffffffffffffff", b"foreign", 0)
    }
}
