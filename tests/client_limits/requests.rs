//! Crowds whose requests are complete and within the documented limits.

use std::net::SocketAddr;
use std::time::Duration;

use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// How long a client waits for the server to take its bytes, or for an answer.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(3);
/// Steps of a job that nearly fills a body of 262,144 bytes.
const MANY_STEPS: usize = 21_000;
/// Steps of a job of which a crowd sends some hundred at once.
const SOME_STEPS: usize = 1_000;
/// Tasks of a job, as many as one may have.
const MANY_TASKS: usize = 65_536;
/// Size of a specification, which fills a body.
const SPECIFICATION_BYTES: usize = 250_000;
/// Tasks of a job with such a specification.
const SPECIFIED_TASKS: usize = 1_000;
/// Size of the largest specification within the documented limits.
const LEGAL_SPECIFICATION_BYTES: usize = 4_000;
/// Labels of an announcement, which nearly fill its 4 MiB.
const MANY_LABELS: usize = 1_000_000;

/// A request of a client, sent whole.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Request {
    /// A job of 21,000 steps.
    ManySteps,
    /// A job of 1,000 steps.
    SomeSteps,
    /// A job of 65,536 tasks.
    ManyTasks,
    /// A job of 65,536 occurrences that are all due.
    ManyOccurrences,
    /// A job of many tasks with a specification that fills a body.
    LargeSpecification,
    /// A job of one task that ends at once.
    SmallJob,
    /// A job of one task without resources that lasts longer than the test.
    LastingJob,
    /// A job of one task that no worker has room for, with the largest specification.
    WaitingJob,
    /// The cancellation of a job that was never submitted.
    Cancellation,
    /// A query of the state of a job that was never submitted.
    State,
    /// A query of a page that is longer than the request.
    Page,
    /// An announcement of a worker with a million labels.
    ManyLabels,
}

/// Returns a job of one step.
fn job(specification: &str, step: &Value) -> Value {
    json!({"specification": specification, "steps": [step]})
}

fn specification(run_ms: u64) -> String {
    json!({"ms": run_ms}).to_string()
}

impl Request {
    /// Returns the bytes of the request with this number.
    pub(crate) fn bytes(self, number: usize) -> Vec<u8> {
        let submit = format!("POST /batch/{number:016x}");
        match self {
            Self::Cancellation => message(&format!("DELETE /batch/{number:016x}"), ""),
            Self::State => message(&format!("GET /batch/{number:016x}"), ""),
            Self::Page => message("GET /metrics", ""),
            Self::ManyLabels => message("PUT /instances/worker-0", &announcement(MANY_LABELS)),
            _ => message(&submit, &self.job()),
        }
    }

    /// Returns the body of a job.
    pub(crate) fn job(self) -> String {
        let steps = |count: usize| {
            let steps = vec![r#"{"count":1}"#; count];
            format!(r#"{{"steps":[{}]}}"#, steps.join(","))
        };
        let job = match self {
            Self::ManySteps => return steps(MANY_STEPS),
            Self::SomeSteps => return steps(SOME_STEPS),
            Self::ManyTasks => job(&specification(1), &json!({"count": MANY_TASKS})),
            Self::ManyOccurrences => {
                let mut job = job(&specification(1), &json!({"count": 1}));
                job["repetitions"] = json!(MANY_TASKS);
                job
            }
            Self::LargeSpecification => job(
                &"x".repeat(SPECIFICATION_BYTES),
                &json!({"count": SPECIFIED_TASKS}),
            ),
            // Any number of such tasks fits on a worker.
            Self::LastingJob => job(&specification(600_000), &json!({"count": 1})),
            Self::WaitingJob => job(
                &"x".repeat(LEGAL_SPECIFICATION_BYTES),
                &json!({"count": 1, "gpu": 1_000}),
            ),
            _ => job(&specification(1), &json!({"count": 1, "cpu": 100})),
        };
        job.to_string()
    }
}

/// Returns an announcement of a worker with many labels.
fn announcement(labels: usize) -> String {
    let labels = vec![r#""a""#; labels].join(",");
    format!(
        r#"{{"service":"optics","address":"127.0.0.1:1","zone":"z","version":"v1","slots":8,"state":"ready","capacity":{{"cpu":1,"memoryRequestMb":1}},"labels":[{labels}],"sequence":1,"born":1}}"#
    )
}

/// Returns a whole HTTP message.
fn message(line: &str, body: &str) -> Vec<u8> {
    let length = body.len();
    let headers = "Host: queues.example\r\nAuthorization: Bearer token-faro\r\n";
    format!("{line} HTTP/1.1\r\n{headers}Content-Length: {length}\r\n\r\n{body}").into_bytes()
}

/// How a client sends its requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Manner {
    /// It reads each answer before it sends the next request.
    InTurn,
    /// It sends all requests and reads no answer.
    Unread,
}

/// Sends requests with these numbers on one connection until the server closes it, and returns the open connection.
pub(crate) async fn send_row(
    addr: SocketAddr,
    request: Request,
    manner: Manner,
    numbers: std::ops::Range<usize>,
) -> Option<TcpStream> {
    let mut stream = connect(addr).await?;
    for number in numbers {
        let bytes = request.bytes(number);
        match timeout(EXCHANGE_TIMEOUT, stream.write_all(&bytes)).await {
            Ok(Err(_)) => return None,
            // A server that stops reading is left alone.
            Err(_) => return Some(stream),
            Ok(Ok(())) => {}
        }
        if manner == Manner::InTurn && !read_answer(&mut stream).await {
            // Like an ordinary client, it goes on with another connection.
            stream = connect(addr).await?;
        }
    }
    Some(stream)
}

async fn connect(addr: SocketAddr) -> Option<TcpStream> {
    let connecting = timeout(EXCHANGE_TIMEOUT, TcpStream::connect(addr)).await;
    connecting.ok()?.ok()
}

/// Reads an answer; returns whether it arrived whole.
async fn read_answer(stream: &mut TcpStream) -> bool {
    let mut answer = Vec::new();
    let mut buf = [0; 4096];
    loop {
        match timeout(EXCHANGE_TIMEOUT, stream.read(&mut buf)).await {
            Ok(Ok(read)) if read > 0 => answer.extend_from_slice(&buf[..read]),
            _ => return false,
        }
        if is_whole(&answer) {
            return true;
        }
    }
}

fn is_whole(answer: &[u8]) -> bool {
    let text = String::from_utf8_lossy(answer).to_lowercase();
    let Some((head, body)) = text.split_once("\r\n\r\n") else {
        return false;
    };
    let length = head
        .lines()
        .find_map(|line| line.strip_prefix("content-length: "));
    let length: usize = length.and_then(|text| text.parse().ok()).unwrap_or(0);
    body.len() >= length
}
