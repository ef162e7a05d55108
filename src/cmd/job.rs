//! `limpethook job`.

use std::io::{Read, Write};
use std::path::Path;
use std::process::ExitCode;
use std::time::{Duration, Instant};

use errors::{Error, ErrorKind, Result};
use reqwest::Method;

use crate::cli::{JobCommand, SubmitArgs};
use crate::cmd::job_client::{JobClient, JobResponse};
use crate::cmd::{EXIT_MAY_HAVE_RUN, EXIT_NO_OUTCOME, block_on};

/// Interval at which a waiting command polls for the outcome. Each poll costs one read of the store.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Runs a subcommand of `job`.
pub(crate) fn run(command: JobCommand) -> Result<ExitCode> {
    match command {
        JobCommand::Submit(args) => block_on(submit(&args)),
        JobCommand::Status { caller, id } => {
            let client = JobClient::new(&caller)?;
            block_on(print_state(&client, Method::GET, &id))
        }
        JobCommand::Cancel { caller, id } => {
            let client = JobClient::new(&caller)?;
            block_on(print_state(&client, Method::DELETE, &id))
        }
        JobCommand::Result { caller, id, wait } => {
            let client = JobClient::new(&caller)?;
            block_on(print_result(&client, &id, wait.unwrap_or(0)))
        }
    }
}

async fn submit(args: &SubmitArgs) -> Result<ExitCode> {
    let client = JobClient::new(&args.caller)?;
    let body = read_body(args.body.as_deref())?;
    let path = format!("/v1/services/{}/jobs", args.service);
    let mut req = client.request(Method::POST, &path).body(body);
    for (name, value) in submission_headers(args) {
        req = req.header(name, value);
    }
    let response = client.send(req).await?;
    let id = response.job_id()?;
    let Some(wait) = args.wait else {
        println!("{id}");
        return Ok(ExitCode::SUCCESS);
    };
    eprintln!("job {id}");
    print_result(&client, &id, wait).await
}

fn submission_headers(args: &SubmitArgs) -> Vec<(&'static str, String)> {
    let to_string = |value: &Option<Box<str>>| value.as_ref().map(ToString::to_string);
    let optional = [
        ("limpethook-shape", to_string(&args.shape)),
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
        ("idempotency-key", to_string(&args.idempotency_key)),
    ];
    optional
        .into_iter()
        .filter_map(|(name, value)| Some((name, value?)))
        .collect()
}

fn read_body(file: Option<&Path>) -> Result<Vec<u8>> {
    let read_error = |name: &str, e: std::io::Error| {
        Error::not_run(
            ErrorKind::InvalidRequest,
            format!("cannot read {name}: {e}"),
        )
        .report()
    };
    if let Some(file) = file {
        return std::fs::read(file).map_err(|e| read_error(&file.display().to_string(), e));
    }
    let mut body = Vec::new();
    std::io::stdin()
        .read_to_end(&mut body)
        .map_err(|e| read_error("standard input", e))?;
    Ok(body)
}

async fn print_state(client: &JobClient, method: Method, id: &str) -> Result<ExitCode> {
    let req = client.request(method, &format!("/v1/jobs/{id}"));
    let response = client.send(req).await?;
    println!("{}", String::from_utf8_lossy(&response.body));
    Ok(ExitCode::SUCCESS)
}

/// Polls for the result of a job for up to `wait` seconds and prints it. Retryable errors, such as an unreachable entry
/// or store, do not end the polling.
async fn print_result(client: &JobClient, id: &str, wait: u64) -> Result<ExitCode> {
    let deadline = Instant::now() + Duration::from_secs(wait);
    loop {
        let req = client.request(Method::GET, &format!("/v1/jobs/{id}/result"));
        let error = match client.send(req).await {
            Ok(response) if response.is_from_endpoint() => return print_response(&response),
            Ok(response) => response.error(),
            Err(report) if is_retryable(report.current_context()) => {
                report.current_context().clone()
            }
            Err(report) => return Err(report),
        };
        let remaining = deadline.saturating_duration_since(Instant::now());
        if remaining.is_zero() {
            eprintln!("error: job {id}: {}", error.message);
            return Ok(ExitCode::from(EXIT_NO_OUTCOME));
        }
        tokio::time::sleep(POLL_INTERVAL.min(remaining)).await;
    }
}

/// Returns whether an error is about the call and not about the job. Only such errors specify a retry delay.
fn is_retryable(error: &Error) -> bool {
    error.retry_after.is_some()
}

/// Prints the response of an endpoint. An error status also means that the job ran.
fn print_response(response: &JobResponse) -> Result<ExitCode> {
    std::io::stdout().write_all(&response.body).map_err(|e| {
        Error::ran(
            ErrorKind::Internal,
            format!("cannot write to standard output: {e}"),
        )
        .report()
    })?;
    if response.status.is_success() {
        return Ok(ExitCode::SUCCESS);
    }
    eprintln!("error: the endpoint returned status {}", response.status);
    Ok(ExitCode::from(EXIT_MAY_HAVE_RUN))
}
