//! The command `limpethook job` with a deployment.

use std::io::Write;
use std::process::{Command, Output, Stdio};

use harness::fixtures::{TOKEN, one_region};
use harness::{Deployment, Programs, Result};

fn run_job_command(url: &str, args: &[&str], body: &str) -> Result<Output> {
    let mut child = Command::new(Programs::locate()?.limpethook)
        .args(["job", args[0], "--entry", url, "--account", "faro"])
        .args(&args[1..])
        .env("LIMPETHOOK_TOKEN", TOKEN)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()?;
    if let Some(mut stdin) = child.stdin.take() {
        // The write fails if the command exits without reading its standard input.
        let _ = stdin.write_all(body.as_bytes());
    }
    Ok(child.wait_with_output()?)
}

/// Guards against exit codes and output that do not match the outcome of the job.
#[tokio::test(flavor = "multi_thread")]
async fn job_reports_outcomes_by_exit_code() -> Result<()> {
    let deployment = Deployment::start(&one_region(1, 1), &Programs::locate()?).await?;
    let url = &deployment.entry_urls[0];
    let submit = ["submit", "--service", "workshop"];
    let submit_with = |extra: &[&'static str]| [&submit[..], extra].concat();
    let exit_code = |output: &Output| output.status.code();

    let done = run_job_command(url, &submit_with(&["--wait", "20"]), r#"{"run_ms": 50}"#)?;
    assert_eq!(exit_code(&done), Some(0), "{done:?}");
    assert!(
        String::from_utf8_lossy(&done.stdout).contains("\"endpoint\""),
        "{done:?}"
    );

    let slow = run_job_command(url, &submit, r#"{"run_ms": 20000}"#)?;
    let id = String::from_utf8_lossy(&slow.stdout).trim().to_owned();
    assert_eq!(exit_code(&slow), Some(0), "{slow:?}");
    let early = run_job_command(url, &["result", &id, "--wait", "1"], "")?;
    assert_eq!(exit_code(&early), Some(5), "{early:?}");
    assert_eq!(
        exit_code(&run_job_command(url, &["cancel", &id], "")?),
        Some(0)
    );
    let cancelled = run_job_command(url, &["result", &id, "--wait", "20"], "")?;
    assert!(
        matches!(exit_code(&cancelled), Some(1 | 3)),
        "{cancelled:?}"
    );
    let state = run_job_command(url, &["status", &id], "")?;
    assert!(
        String::from_utf8_lossy(&state.stdout).contains("\"refused\""),
        "{state:?}"
    );

    let failed = run_job_command(url, &submit_with(&["--wait", "20"]), r#"{"fail": true}"#)?;
    assert_eq!(
        exit_code(&failed),
        Some(3),
        "exit code of a job that ran and failed: {failed:?}"
    );
    let refused = run_job_command(url, &submit_with(&["--shape", "{\"tasks\": 0}"]), "{}")?;
    assert_eq!(exit_code(&refused), Some(1), "{refused:?}");
    Ok(())
}
