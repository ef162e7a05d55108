//! `limpethook job`.

use std::io::{Read, Write};
use std::path::Path;
use std::process::ExitCode;
use std::time::{Duration, Instant};

use errors::{Error, ErrorKind, Result};
use reqwest::Method;

use crate::cli::{JobCommand, SubmitArgs};
use crate::cmd::job_client::{Client, Reply};
use crate::cmd::{MAY_HAVE_RUN, NO_OUTCOME, block_on};

/// How often a waiting command asks for the outcome; each question is one read of the store.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Runs a subcommand of `job`.
pub(crate) fn run(command: JobCommand) -> Result<ExitCode> {
    match command {
        JobCommand::Submit(args) => block_on(submit(&args)),
        JobCommand::Status { caller, id } => {
            let client = Client::new(&caller)?;
            block_on(print_state(&client, Method::GET, &id))
        }
        JobCommand::Cancel { caller, id } => {
            let client = Client::new(&caller)?;
            block_on(print_state(&client, Method::DELETE, &id))
        }
        JobCommand::Result { caller, id, wait } => {
            let client = Client::new(&caller)?;
            block_on(print_result(&client, &id, wait.unwrap_or(0)))
        }
    }
}

async fn submit(args: &SubmitArgs) -> Result<ExitCode> {
    let client = Client::new(&args.caller)?;
    let body = read_body(args.body.as_deref())?;
    let path = format!("/v1/services/{}/jobs", args.service);
    let mut req = client.request(Method::POST, &path).body(body);
    for (name, value) in headers(args) {
        req = req.header(name, value);
    }
    let reply = client.send(req).await?;
    let id = reply.job_id()?;
    let Some(wait) = args.wait else {
        println!("{id}");
        return Ok(ExitCode::SUCCESS);
    };
    eprintln!("job {id}");
    print_result(&client, &id, wait).await
}

fn headers(args: &SubmitArgs) -> Vec<(&'static str, String)> {
    let text = |value: &Option<Box<str>>| value.as_ref().map(ToString::to_string);
    let optional = [
        ("limpethook-shape", text(&args.shape)),
        (
            "limpethook-idempotent",
            args.idempotent.map(|flag| flag.to_string()),
        ),
        (
            "limpethook-stoppable",
            args.stoppable.then(|| "true".into()),
        ),
        (
            "limpethook-timeout-ms",
            args.timeout_ms.map(|ms| ms.to_string()),
        ),
        (
            "limpethook-run-time-ms",
            args.run_time_ms.map(|ms| ms.to_string()),
        ),
        ("idempotency-key", text(&args.idempotency_key)),
    ];
    let given = optional.into_iter();
    given
        .filter_map(|(name, value)| Some((name, value?)))
        .collect()
}

fn read_body(file: Option<&Path>) -> Result<Vec<u8>> {
    let failed = |name: &str, e: std::io::Error| {
        Error::not_run(ErrorKind::InvalidRequest, format!("{name}: {e}")).report()
    };
    if let Some(file) = file {
        return std::fs::read(file).map_err(|e| failed(&file.display().to_string(), e));
    }
    let mut body = Vec::new();
    std::io::stdin()
        .read_to_end(&mut body)
        .map_err(|e| failed("standard input", e))?;
    Ok(body)
}

async fn print_state(client: &Client, method: Method, id: &str) -> Result<ExitCode> {
    let req = client.request(method, &format!("/v1/jobs/{id}"));
    let reply = client.send(req).await?;
    println!("{}", String::from_utf8_lossy(&reply.body));
    Ok(ExitCode::SUCCESS)
}

/// Prints the answer once it is there; the wait goes on while the entry or the store cannot be reached.
async fn print_result(client: &Client, id: &str, wait: u64) -> Result<ExitCode> {
    let deadline = Instant::now() + Duration::from_secs(wait);
    loop {
        let req = client.request(Method::GET, &format!("/v1/jobs/{id}/result"));
        let pending = match client.send(req).await {
            Ok(reply) if reply.is_answer() => return print_answer(&reply),
            Ok(reply) => reply.error(),
            Err(report) if is_temporary(report.current_context()) => {
                report.current_context().clone()
            }
            Err(report) => return Err(report),
        };
        let left = deadline.saturating_duration_since(Instant::now());
        if left.is_zero() {
            eprintln!("error: job {id}: {}", pending.message);
            return Ok(ExitCode::from(NO_OUTCOME));
        }
        tokio::time::sleep(POLL_INTERVAL.min(left)).await;
    }
}

/// Only errors that say when to try again are about the call and not about the job.
fn is_temporary(error: &Error) -> bool {
    error.retry_after.is_some()
}

/// An endpoint that answered with an error status did run the job.
fn print_answer(reply: &Reply) -> Result<ExitCode> {
    std::io::stdout()
        .write_all(&reply.body)
        .map_err(|e| Error::ran(ErrorKind::Internal, format!("standard output: {e}")).report())?;
    if reply.status.is_success() {
        return Ok(ExitCode::SUCCESS);
    }
    eprintln!("error: the endpoint answered {}", reply.status);
    Ok(ExitCode::from(MAY_HAVE_RUN))
}
