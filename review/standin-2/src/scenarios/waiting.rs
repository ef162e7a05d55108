//! Counts of waiting jobs around a change of the owner.

use std::path::Path;
use std::thread::{scope, sleep};
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use super::{Outcome, keep_logs};
use crate::deployment::Deployment;

const ENTRIES: usize = 3;
const JOBS: u64 = 1000;
/// Clients that submit jobs at the same time, and those that ask for the count, each one question after the other.
const SUBMITTING: u64 = 10;
const ASKING: usize = 6;
/// How long the jobs have been accepted before the disruption: `visible_ms` and 2 s, and a second more.
const SETTLED: Duration = Duration::from_secs(6);
const WATCHED: Duration = Duration::from_secs(8);
const QUEUE: &str = "/batch/";

/// Submits jobs that no minion has room for, kills the entry that owns the cell, and asks the other entries for the count.
pub fn run(record: &Path, trouble: bool) -> std::io::Result<Outcome> {
    let mut deployment = Deployment::start(record, ENTRIES, 2)?;
    let outcome = play(&mut deployment, trouble);
    keep_logs(&deployment);
    outcome
}

fn play(deployment: &mut Deployment, trouble: bool) -> std::io::Result<Outcome> {
    submit_all(deployment)?;
    sleep(SETTLED);
    let owner = deployment.owner().unwrap_or(0);
    let others: Vec<usize> = (0..ENTRIES).filter(|index| *index != owner).collect();
    for asked in &others {
        deployment.request(*asked, "GET", QUEUE, &Value::Null);
    }
    if trouble {
        deployment
            .record
            .line(format_args!("edge-{owner}, the owner, is killed"));
        if let Some(entry) = deployment.entries[owner].as_mut() {
            entry.kill();
        }
    }
    let deployment = &*deployment;
    let counts = scope(|scope| {
        let asking: Vec<_> = (0..ASKING)
            .map(|number| {
                let asked = others[number % others.len()];
                scope.spawn(move || ask(deployment, asked))
            })
            .collect();
        let counts = asking.into_iter().map(|asking| asking.join());
        counts.collect::<Vec<_>>()
    });
    let (mut answers, mut wrong) = (0, 0);
    for (answered, below) in counts.into_iter().flatten() {
        answers += answered;
        wrong += below;
    }
    deployment.record.line(format_args!(
        "{answers} counts were answered, {wrong} of them under half of {JOBS}"
    ));
    if answers == 0 {
        return Err(std::io::Error::other("no count was answered"));
    }
    if wrong > 0 {
        deployment
            .record
            .line("BROKEN: machines in touch gave under half of the waiting jobs");
        return Ok(Outcome::Broken);
    }
    Ok(Outcome::Held)
}

fn submit_all(deployment: &Deployment) -> std::io::Result<()> {
    let accepted = scope(|scope| {
        let submitting: Vec<_> = (0..SUBMITTING)
            .map(|part| {
                let ids = (part..JOBS).step_by(10);
                scope.spawn(move || ids.filter(|id| submit(deployment, *id)).count())
            })
            .collect();
        let counts = submitting.into_iter().map(|part| part.join().unwrap_or(0));
        counts.sum::<usize>()
    });
    deployment
        .record
        .line(format_args!("{accepted} jobs were accepted"));
    if u64::try_from(accepted).is_ok_and(|accepted| accepted == JOBS) {
        return Ok(());
    }
    Err(std::io::Error::other("not all jobs were accepted"))
}

/// Submits a gang that needs more accelerators than there are.
fn submit(deployment: &Deployment, id: u64) -> bool {
    let job = json!({"specification": "{\"ms\":60000}", "steps": [{"count": 9, "cpu": 1000,
        "memoryRequestMb": 1000, "gpu": 8, "estimatedMs": 60_000, "gang": true}]});
    let path = format!("{QUEUE}{id:016x}");
    let entry = usize::try_from(id).unwrap_or(0) % ENTRIES;
    let answer = deployment.request(entry, "POST", &path, &job);
    matches!(answer, Some((200..300, _)))
}

/// Asks an entry again and again; returns how many counts it gave, and how many of them are under half of the jobs.
fn ask(deployment: &Deployment, entry: usize) -> (usize, usize) {
    let begun = Instant::now();
    let (mut answers, mut wrong) = (0, 0);
    while begun.elapsed() < WATCHED {
        let answer = deployment.request_unrecorded(entry, "GET", QUEUE, &Value::Null);
        let Some((200, body)) = answer else {
            continue;
        };
        answers += 1;
        if body["waiting"]
            .as_u64()
            .is_some_and(|count| count * 2 < JOBS)
        {
            wrong += 1;
            deployment.record.line(format_args!(
                "client GET {QUEUE} at edge-{entry}: 200 {body}"
            ));
        }
    }
    (answers, wrong)
}
