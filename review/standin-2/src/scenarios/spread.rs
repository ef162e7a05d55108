//! Tasks of which one may run on each minion are started again on a full fleet.

use std::collections::BTreeMap;
use std::path::Path;
use std::thread::sleep;
use std::time::Duration;

use serde_json::{Value, json};

use super::{Outcome, keep_logs};
use crate::deployment::Deployment;
use crate::record::unix_ms;

const MINIONS: usize = 11;
/// Pauses after the large jobs of two tasks each, in milliseconds: four within 4 s, and one later. The first three take the other
/// minions, the last two wait.
const PAUSES_MS: [u64; 5] = [1250, 1250, 1250, 2250, 5000];
const JOB: &str = "00000000000000aa";
const TASKS: usize = 5;
/// Tasks of the step that may run on one minion.
const MAX_PER_MINION: usize = 1;

/// Submits an urgent job whose tasks must run on different minions, and then large jobs that fill the fleet. The first runs of the
/// urgent job fail at the same time.
pub fn run(record: &Path, trouble: bool) -> std::io::Result<Outcome> {
    let deployment = Deployment::start(record, 3, MINIONS)?;
    let outcome = play(&deployment, trouble);
    keep_logs(&deployment);
    outcome
}

fn play(deployment: &Deployment, trouble: bool) -> std::io::Result<Outcome> {
    // What ends in the next ten seconds fails by its own fault, which are the first runs.
    let specification = json!({"ms": 8000, "failsUntilMs": unix_ms() + 10_000}).to_string();
    let job = json!({"specification": specification, "steps": [{"count": TASKS, "cpu": 15_000,
        "memoryRequestMb": 8000, "gpu": 2, "estimatedMs": 8000, "maxPerServer": MAX_PER_MINION}]});
    submit(deployment, &format!("/urgent/{JOB}"), &job)?;
    let large = json!({"specification": "{\"ms\":8500}", "steps": [{"count": 2, "cpu": 52_000,
        "memoryRequestMb": 200_000, "gpu": 8, "estimatedMs": 8500}]});
    for (number, pause) in (0xb0..).zip(PAUSES_MS) {
        if trouble {
            submit(deployment, &format!("/batch/{number:016x}"), &large)?;
        }
        sleep(Duration::from_millis(pause));
    }
    sleep(Duration::from_secs(9));
    let path = format!("/urgent/{JOB}");
    deployment.request(1, "GET", &path, &Value::Null);
    let recorded = deployment.recorded();
    let (starts, most) = most_on_one_minion(&recorded);
    if starts < TASKS {
        return Err(std::io::Error::other("not all tasks have started"));
    }
    if most > MAX_PER_MINION {
        deployment.record.line(format_args!(
            "BROKEN: {most} tasks of the step ran on one minion at once, and the job allows {MAX_PER_MINION}"
        ));
        return Ok(Outcome::Broken);
    }
    Ok(Outcome::Held)
}

fn submit(deployment: &Deployment, path: &str, body: &Value) -> std::io::Result<()> {
    match deployment.request(0, "POST", path, body) {
        Some((200..300, _)) => Ok(()),
        _ => Err(std::io::Error::other("a job was not accepted")),
    }
}

/// Returns the number of starts of the job, and how many of its tasks were on one minion at once.
fn most_on_one_minion(recorded: &str) -> (usize, usize) {
    let mut running: BTreeMap<&str, usize> = BTreeMap::new();
    let (mut starts, mut most) = (0, 0);
    for line in recorded.lines() {
        let mut words = line.split(' ').skip(1);
        let (Some(minion), Some(what), Some(task)) = (words.next(), words.next(), words.next())
        else {
            continue;
        };
        if !task.starts_with(JOB) {
            continue;
        }
        let count = running.entry(minion).or_default();
        match what {
            "starts" => {
                starts += 1;
                *count += 1;
                most = most.max(*count);
            }
            "ends" => *count = count.saturating_sub(1),
            _ => {}
        }
    }
    (starts, most)
}
