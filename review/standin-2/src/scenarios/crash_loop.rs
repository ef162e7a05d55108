//! A minion goes down and up by turns while a job fits nowhere else.

use std::path::Path;
use std::thread::sleep;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use super::{Outcome, keep_logs};
use crate::deployment::Deployment;

/// Minions; one of them is a tenth.
const MINIONS: usize = 10;
/// How long the minion is up and down by turns, and for how long in all.
const UP: Duration = Duration::from_millis(450);
const DOWN: Duration = Duration::from_millis(950);
const TROUBLE: Duration = Duration::from_millis(6500);
const JOB: &str = "/batch/00000000000000aa";

/// Submits a job that needs a whole minion while the others are partly in use, and crashes the only minion with room for it by
/// turns. The job has no failed run, so that it must not be shown as failed.
pub fn run(record: &Path, trouble: bool) -> std::io::Result<Outcome> {
    let mut deployment = Deployment::start(record, 2, MINIONS)?;
    let outcome = play(&mut deployment, trouble);
    keep_logs(&deployment);
    outcome
}

fn play(deployment: &mut Deployment, trouble: bool) -> std::io::Result<Outcome> {
    // One job of nine tasks leaves each of nine minions partly in use.
    let beside = json!({"specification": "{\"ms\":60000}", "steps": [{"count": MINIONS - 1, "cpu": 1000,
        "memoryRequestMb": 1000, "gpu": 5, "estimatedMs": 60_000}]});
    submit(deployment, "/urgent/00000000000000bb", &beside)?;
    sleep(Duration::from_secs(2));
    let job = json!({"specification": "{\"ms\":3000}", "steps": [{"count": 1, "cpu": 1000,
        "memoryRequestMb": 1000, "gpu": 8, "estimatedMs": 3000}]});
    submit(deployment, JOB, &job)?;
    let started = Instant::now();
    let victim = await_start(deployment)?;
    if trouble {
        sleep(Duration::from_millis(300));
        let begun = Instant::now();
        while begun.elapsed() + DOWN + UP <= TROUBLE {
            deployment
                .record
                .line(format_args!("i-{victim:04} is killed"));
            if let Some(minion) = deployment.minions[victim].as_mut() {
                minion.kill();
            }
            sleep(DOWN);
            deployment.start_minion(victim)?;
            sleep(UP);
        }
        deployment.record.line("the disruption has ended");
    }
    while started.elapsed() < Duration::from_secs(45) {
        let state = state(deployment);
        match state.as_deref() {
            Some("completed") => return Ok(Outcome::Held),
            Some("failed") => {
                deployment
                    .record
                    .line("BROKEN: the job is shown as failed, and no run of it has ended failed");
                return Ok(Outcome::Broken);
            }
            _ => sleep(Duration::from_millis(500)),
        }
    }
    Err(std::io::Error::other("the job has not ended in time"))
}

fn submit(deployment: &Deployment, path: &str, body: &Value) -> std::io::Result<()> {
    match deployment.request(0, "POST", path, body) {
        Some((200..300, _)) => Ok(()),
        _ => Err(std::io::Error::other("a job was not accepted")),
    }
}

/// Returns the minion on which the job has started.
fn await_start(deployment: &Deployment) -> std::io::Result<usize> {
    for _ in 0..200 {
        let text = deployment.recorded();
        let mut lines = text.lines();
        let started = lines.find(|line| line.contains("starts 00000000000000aa."));
        let name =
            started.and_then(|line| line.split(' ').nth(1)?.strip_prefix("i-")?.parse().ok());
        if let Some(index) = name {
            return Ok(index);
        }
        sleep(Duration::from_millis(25));
    }
    Err(std::io::Error::other("the job has not started"))
}

fn state(deployment: &Deployment) -> Option<String> {
    let (status, body) = deployment.request(1, "GET", JOB, &Value::Null)?;
    let state = body["state"].as_str().filter(|_| status == 200);
    state.map(str::to_owned)
}
