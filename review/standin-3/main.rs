//! Plays a case of the review: starts a deployment, plays the clients and the disruption, and checks the rule.
//!
//! `standin CASE PROGRAM DIR RECORD` exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.

mod advisor;
mod deployment;
mod http;
mod json;
mod minion;
mod record;
mod store;

mod advised;
mod backlog;
mod lasting;
mod unknown;
mod waiting;

use std::path::Path;
use std::time::{Duration, Instant};

use deployment::{Deployment, HOST, KEY};
use json::{Json, num, text};
use record::Record;

/// What came of a case: the rule's breaks, each as a line.
pub type Outcome = Result<Vec<String>, String>;

pub struct Case<'a> {
    pub program: &'a Path,
    pub dir: &'a Path,
    pub record: &'a Record,
    /// Whether the disruption is played.
    pub trouble: bool,
}

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let [_, name, program, dir, record] = &args[..] else {
        eprintln!("usage: standin CASE PROGRAM DIR RECORD");
        std::process::exit(2);
    };
    let record = match Record::create(Path::new(record)) {
        Ok(record) => record,
        Err(e) => {
            eprintln!("cannot write the record: {e}");
            std::process::exit(2);
        }
    };
    let case = Case {
        program: Path::new(program),
        dir: Path::new(dir),
        record: &record,
        trouble: std::env::var("TROUBLE").as_deref() != Ok("0"),
    };
    let outcome = match name.as_str() {
        "unknown" => unknown::play(&case),
        "waiting" => waiting::play(&case),
        "backlog" => backlog::play(&case),
        "advised" => advised::play(&case),
        "failing" => lasting::play_failing(&case),
        _ => Err(format!("no case {name}")),
    };
    let code = match outcome {
        Ok(breaks) if breaks.is_empty() => {
            record.line("the rule held");
            0
        }
        Ok(breaks) => {
            for line in &breaks {
                record.line(&format!("BROKEN: {line}"));
                eprintln!("{line}");
            }
            1
        }
        Err(e) => {
            record.line(&format!("could not run: {e}"));
            eprintln!("could not run: {e}");
            2
        }
    };
    std::process::exit(code);
}

/// Returns the headers of a client's request.
pub fn headers() -> String {
    format!("Host: {HOST}\r\nAuthorization: Bearer {KEY}\r\nX-Deadline-Milliseconds: 3000\r\n")
}

/// Returns a job of single tasks that take `ms` each and need `gpu` accelerators.
pub fn job(count: u64, gpu: u64, ms: u64) -> Json {
    let step = Json::obj([
        ("count", num(count)),
        ("cpu", num(8000)),
        ("memoryRequestMb", num(1000)),
        ("gpu", num(gpu)),
        ("estimatedMs", num(ms)),
    ]);
    Json::obj([("specification", text(ms.to_string())), ("steps", Json::Arr(vec![step]))])
}

/// Hands a job in, again after each refusal; returns an error if it is not accepted in time.
pub fn submit(deployment: &Deployment, client: &mut http::Client, queue: &str, id: &str, body: &Json) -> Result<(), String> {
    let deadline = Instant::now() + Duration::from_secs(15);
    while Instant::now() < deadline {
        let answer = client.call("POST", &format!("/{queue}/{id}"), &headers(), Some(body));
        let status = answer.map_or(0, |(status, _)| status);
        deployment.record.line(&format!("POST /{queue}/{id}: {status}"));
        if (200..300).contains(&status) {
            return Ok(());
        }
        std::thread::sleep(Duration::from_millis(300));
    }
    Err(format!("job {id} was not accepted"))
}
