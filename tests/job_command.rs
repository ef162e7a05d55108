//! `limpethook job` against a deployment.

use std::io::Write;
use std::process::{Command, Output, Stdio};

use harness::fixtures::{TOKEN, one_region};
use harness::{Deployment, Programs, Result};

fn job(url: &str, args: &[&str], body: &str) -> Result<Output> {
    let mut child = Command::new(Programs::locate()?.limpethook)
        .args(["job", args[0], "--entry", url, "--account", "faro"])
        .args(&args[1..])
        .env("LIMPETHOOK_TOKEN", TOKEN)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()?;
    if let Some(mut stdin) = child.stdin.take() {
        // A command that reads no body closes its input.
        let _ = stdin.write_all(body.as_bytes());
    }
    Ok(child.wait_with_output()?)
}

/// Guards against exit codes and outputs that a script cannot rely on.
#[tokio::test(flavor = "multi_thread")]
async fn job_reports_outcomes_by_exit_code() -> Result<()> {
    let deployment = Deployment::start(&one_region(1, 1), &Programs::locate()?).await?;
    let url = &deployment.entry_urls[0];
    let submit = ["submit", "--service", "workshop"];
    let with = |more: &[&'static str]| [&submit[..], more].concat();
    let code = |output: &Output| output.status.code();

    let done = job(url, &with(&["--wait", "20"]), r#"{"run_ms": 50}"#)?;
    assert_eq!(code(&done), Some(0), "{done:?}");
    assert!(
        String::from_utf8_lossy(&done.stdout).contains("\"endpoint\""),
        "{done:?}"
    );

    let slow = job(url, &submit, r#"{"run_ms": 20000}"#)?;
    let id = String::from_utf8_lossy(&slow.stdout).trim().to_owned();
    assert_eq!(code(&slow), Some(0), "{slow:?}");
    let early = job(url, &["result", &id, "--wait", "1"], "")?;
    assert_eq!(code(&early), Some(5), "{early:?}");
    assert_eq!(code(&job(url, &["cancel", &id], "")?), Some(0));
    let cancelled = job(url, &["result", &id, "--wait", "20"], "")?;
    assert!(matches!(code(&cancelled), Some(1 | 3)), "{cancelled:?}");
    let state = job(url, &["status", &id], "")?;
    assert!(
        String::from_utf8_lossy(&state.stdout).contains("\"refused\""),
        "{state:?}"
    );

    let failed = job(url, &with(&["--wait", "20"]), r#"{"fail": true}"#)?;
    assert_eq!(
        code(&failed),
        Some(3),
        "the endpoint ran it and failed: {failed:?}"
    );
    let refused = job(url, &with(&["--shape", "{\"tasks\": 0}"]), "{}")?;
    assert_eq!(code(&refused), Some(1), "{refused:?}");
    Ok(())
}
