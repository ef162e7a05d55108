//! A machine with a task that lasts is lost for good together with the entry that owns the cell.

use std::path::Path;
use std::thread::sleep;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use super::{Outcome, keep_logs};
use crate::deployment::Deployment;

const MINIONS: usize = 6;
const TASKS: usize = 3;
const JOB: &str = "00000000000000cc";
/// The rule counts from 6 s after the last run of a task, for 3 s.
const LONGEST_GAP: Duration = Duration::from_secs(9);
const WATCHED: Duration = Duration::from_secs(30);

/// Starts a job whose tasks last on a fleet that is mostly idle, and removes two machines at once: the entry that owns the cell
/// and a machine with one of the tasks.
pub fn run(record: &Path, trouble: bool) -> std::io::Result<Outcome> {
    let mut deployment = Deployment::start(record, 3, MINIONS)?;
    let outcome = play(&mut deployment, trouble);
    keep_logs(&deployment);
    outcome
}

fn play(deployment: &mut Deployment, trouble: bool) -> std::io::Result<Outcome> {
    let body = json!({"specification": "{\"ms\":3600000}", "steps": [{"count": TASKS, "cpu": 1000,
        "memoryRequestMb": 1000, "gpu": 5, "estimatedMs": 60_000, "perpetual": true}]});
    let path = format!("/batch/{JOB}");
    if !matches!(
        deployment.request(0, "POST", &path, &body),
        Some((200..300, _))
    ) {
        return Err(std::io::Error::other("the job was not accepted"));
    }
    sleep(Duration::from_secs(6));
    let starts = starts(deployment);
    let Some((victim, task)) = starts.first().cloned().filter(|_| starts.len() == TASKS) else {
        return Err(std::io::Error::other("not all tasks have started"));
    };
    let owner = deployment.owner().unwrap_or(0);
    if trouble {
        deployment.record.line(format_args!(
            "edge-{owner} and side-{victim} with i-{victim:04} are lost for good; {task} ran there"
        ));
        deployment.entries[owner] = None;
        deployment.agents[victim] = None;
        deployment.minions[victim] = None;
    }
    let lost_at = Instant::now();
    let asked = (owner + 1) % 3;
    while trouble && lost_at.elapsed() < WATCHED {
        sleep(Duration::from_millis(50));
        if starts_of(deployment, &task) > 1 {
            break;
        }
    }
    let gap = lost_at.elapsed();
    deployment.request(asked, "GET", &path, &Value::Null);
    if !trouble {
        sleep(WATCHED);
        return Ok(if self::starts(deployment).len() == TASKS {
            Outcome::Held
        } else {
            Outcome::Broken
        });
    }
    deployment
        .record
        .line(format_args!("{task} had no run for {} ms", gap.as_millis()));
    if gap > LONGEST_GAP {
        deployment.record.line(format_args!(
            "BROKEN: {task} was not restarted within 9 s, although five minions were idle enough"
        ));
        return Ok(Outcome::Broken);
    }
    Ok(Outcome::Held)
}

/// Returns the minions and tasks of all starts of the job.
fn starts(deployment: &Deployment) -> Vec<(usize, String)> {
    let recorded = deployment.recorded();
    let starts = recorded.lines().filter_map(|line| {
        let mut words = line.split(' ').skip(1);
        let minion = words.next()?.strip_prefix("i-")?.parse().ok()?;
        let is_start = words.next()? == "starts";
        let task = words
            .next()
            .filter(|task| is_start && task.starts_with(JOB))?;
        Some((minion, task.to_owned()))
    });
    starts.collect()
}

fn starts_of(deployment: &Deployment, task: &str) -> usize {
    let starts = starts(deployment).into_iter();
    starts.filter(|(_, started)| started == task).count()
}
