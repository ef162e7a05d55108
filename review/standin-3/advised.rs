//! A burst of jobs comes to a queue with advice.

use std::time::{Duration, Instant};

use crate::deployment::{ADVISED, Deployment};
use crate::record::RunRecord;
use crate::{Case, Outcome, job, submit};

/// Usual traffic, which takes two thirds of the time of the service at `advice`: 200 ms for each of these jobs.
const JOBS_PER_S: f64 = 3.3;
/// Burst of a day of faro-lente: x = 2.4, for_s = 6.0.
const BURST: f64 = 2.4;
const BURST_FOR: Duration = Duration::from_secs(6);
const USUAL_FOR: Duration = Duration::from_secs(8);
const TASK_MS: u64 = 1000;
/// `finish_s`.
const FINISH: Duration = Duration::from_secs(14);
/// How long a job may stand.
const STANDS: Duration = Duration::from_secs(3);
/// Accelerators of the five minions.
const ACCELERATORS: usize = 40;

pub fn play(case: &Case<'_>) -> Outcome {
    let deployment = Deployment::start(case.program, case.dir, case.record, 3, 5)?;
    let mut client = deployment.client(0);
    std::thread::sleep(Duration::from_secs(3));
    let mut ids = Vec::new();
    let burst = if case.trouble { BURST } else { 1.0 };
    for (length, factor) in [(USUAL_FOR, 1.0), (BURST_FOR, burst), (USUAL_FOR, 1.0)] {
        let gap = Duration::from_secs_f64(1.0 / (JOBS_PER_S * factor));
        case.record.line(&format!("{:.1} jobs a second come", JOBS_PER_S * factor));
        let from = Instant::now();
        let mut next = from;
        while next < from + length {
            std::thread::sleep(next.saturating_duration_since(Instant::now()));
            let id = format!("{:016x}", 0xad000 + ids.len());
            submit(&deployment, &mut client, ADVISED, &id, &job(1, 1, TASK_MS))?;
            ids.push(id);
            next += gap;
        }
    }
    case.record.line("the traffic ends");
    std::thread::sleep(FINISH);
    let from = case.record.now();
    std::thread::sleep(STANDS + Duration::from_secs(1));
    let until = case.record.now();
    let is_within = |run: &RunRecord| run.started_at < until && run.ended.is_none_or(|(at, _)| at > from);
    let runs: Vec<Vec<RunRecord>> = ids.iter().map(|id| case.record.runs_of(id)).collect();
    // Each task needs one accelerator.
    let in_use = runs.iter().flatten().filter(|run| is_within(run)).count();
    case.record.line(&format!("{in_use} tasks were at work in the last {:.1} s", (until - from).as_secs_f64()));
    if in_use * 2 >= ACCELERATORS {
        return Err("half of the capacity is in use".into());
    }
    let is_done = |runs: &[RunRecord]| runs.iter().any(|run| run.ended.is_some_and(|(_, how)| how == "done"));
    let stands = |runs: &[RunRecord]| !is_done(runs) && !runs.iter().any(is_within);
    let standing = ids.iter().zip(&runs).filter(|(_, runs)| stands(runs));
    let standing: Vec<&str> = standing.map(|(id, _)| id.as_str()).collect();
    if standing.is_empty() {
        return Ok(Vec::new());
    }
    Ok(vec![format!(
        "{} of {} accepted jobs have nothing running from {:.1} to {:.1} s, {} s after the last was handed in: {}",
        standing.len(),
        ids.len(),
        from.as_secs_f64(),
        until.as_secs_f64(),
        FINISH.as_secs(),
        standing.join(" ")
    )])
}
