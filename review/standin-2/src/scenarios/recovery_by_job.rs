//! A machine is lost for good together with the entry that owns the cell, and tasks of the same job fail on sound machines.

use std::path::Path;
use std::thread::sleep;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use super::{Outcome, keep_logs};
use crate::deployment::Deployment;
use crate::record::unix_ms;

const MINIONS: usize = 6;
const TASKS: usize = 3;
const JOB: &str = "00000000000000dd";
/// Each task fails this long after its start, and is to be started again.
const RUN_MS: u64 = 12_000;
/// The machines are lost this long after the first starts.
const LOST_AFTER: Duration = Duration::from_secs(8);
/// The rule counts from 6 s after the last run of a task, for 3 s.
const LONGEST_GAP_MS: u64 = 9_000;
const WATCHED: Duration = Duration::from_secs(26);

/// Starts a job whose tasks last and fail now and then, removes the owner and the machine of one task, and checks how soon the
/// other tasks are started again, whose minions are sound.
pub fn run(record: &Path, trouble: bool) -> std::io::Result<Outcome> {
    let mut deployment = Deployment::start(record, 3, MINIONS)?;
    let outcome = play(&mut deployment, trouble);
    keep_logs(&deployment);
    outcome
}

fn play(deployment: &mut Deployment, trouble: bool) -> std::io::Result<Outcome> {
    let specification = format!("{{\"ms\":{RUN_MS},\"fails\":true}}");
    let body = json!({"specification": specification, "steps": [{"count": TASKS, "cpu": 1000,
        "memoryRequestMb": 1000, "gpu": 5, "estimatedMs": RUN_MS, "perpetual": true}]});
    let path = format!("/batch/{JOB}");
    let begun = Instant::now();
    if !matches!(
        deployment.request(0, "POST", &path, &body),
        Some((200..300, _))
    ) {
        return Err(std::io::Error::other("the job was not accepted"));
    }
    sleep(LOST_AFTER);
    let starts = events(deployment, "starts");
    if starts.len() != TASKS {
        return Err(std::io::Error::other("not all tasks have started once"));
    }
    let (_, victim, lost_task) = starts[0].clone();
    let owner = deployment.owner().unwrap_or(0);
    if trouble {
        deployment.record.line(format_args!(
            "edge-{owner} and side-{victim} with i-{victim:04} are lost for good; {lost_task} ran there"
        ));
        deployment.entries[owner] = None;
        deployment.agents[victim] = None;
        deployment.minions[victim] = None;
    }
    sleep((LOST_AFTER + WATCHED).saturating_sub(begun.elapsed()));
    deployment.request((owner + 1) % 3, "GET", &path, &Value::Null);
    let mut broken = false;
    for (_, _, task) in &starts[1..] {
        let gap = longest_gap(deployment, task);
        deployment
            .record
            .line(format_args!("{task} had no run for {gap} ms"));
        broken |= gap > LONGEST_GAP_MS;
    }
    if broken {
        deployment.record.line(
            "BROKEN: a task was not restarted within 9 s, although its minion and four others are sound",
        );
        return Ok(Outcome::Broken);
    }
    Ok(Outcome::Held)
}

/// Returns the time, the minion and the task of each start or end of the job.
fn events(deployment: &Deployment, verb: &str) -> Vec<(u64, usize, String)> {
    let recorded = deployment.recorded();
    let events = recorded.lines().filter_map(|line| {
        let mut words = line.split(' ');
        let at = words.next()?.parse().ok()?;
        let minion = words.next()?.strip_prefix("i-")?.parse().ok()?;
        let is_event = words.next()? == verb;
        let task = words
            .next()
            .filter(|task| is_event && task.starts_with(JOB))?;
        Some((at, minion, task.to_owned()))
    });
    events.collect()
}

/// Returns the longest time in milliseconds between an end of a task and its next start, or now.
fn longest_gap(deployment: &Deployment, task: &str) -> u64 {
    let starts = events(deployment, "starts");
    let ends = events(deployment, "ends").into_iter();
    let gaps = ends.filter(|(_, _, ended)| ended == task).map(|(at, ..)| {
        let mut later = starts
            .iter()
            .filter(|(start, _, started)| *start >= at && started == task);
        later.next().map_or_else(unix_ms, |(start, ..)| *start) - at
    });
    gaps.max().unwrap_or(0)
}
