//! Tasks that last, which have to be restarted however they end.

use std::time::Duration;

use crate::deployment::Deployment;
use crate::json::{Json, num, text};
use crate::record::Record;
use crate::{Case, Outcome, submit};

/// The rule holds for a task that lasts from 6 s after its last run, if 3 s and the 4 s before them are calm;
/// here nothing else happens.
const AFTER_RUN: Duration = Duration::from_secs(6);
const STANDS: Duration = Duration::from_secs(3);

/// Returns a job of one task that lasts; its first `failing` runs fail after `ms`.
fn lasting_job(failing: u64, ms: u64, label: Option<&str>) -> Json {
    let mut step = vec![
        ("count", num(1)),
        ("cpu", num(2000)),
        ("memoryRequestMb", num(1000)),
        ("gpu", num(1)),
        ("perpetual", Json::Bool(true)),
    ];
    if let Some(label) = label {
        step.push(("requiredLabel", text(label)));
    }
    let step = step.into_iter().map(|(key, value)| (key.to_owned(), value)).collect();
    Json::obj([("specification", text(format!("lasts {failing} {ms}"))), ("steps", Json::Arr(vec![Json::Obj(step)]))])
}

/// Returns the times in which a task stood longer than the rule allows.
fn breaks(record: &Record, job: &str) -> Vec<String> {
    let runs = record.runs_of(job);
    let mut breaks = Vec::new();
    for (index, run) in runs.iter().enumerate() {
        let Some((ended_at, how)) = run.ended else { continue };
        let next_at = runs.get(index + 1).map_or(record.now(), |next| next.started_at);
        let from = ended_at + AFTER_RUN;
        if next_at > from + STANDS {
            breaks.push(format!(
                "{} stood for {:.1} s after its run {} ended {how} at {:.3} s",
                run.task,
                (next_at - ended_at).as_secs_f64(),
                run.run,
                ended_at.as_secs_f64()
            ));
        }
    }
    breaks
}

/// Tasks that last fail at times, as they may.
pub fn play_failing(case: &Case<'_>) -> Outcome {
    let deployment = Deployment::start(case.program, case.dir, case.record, 3, 5)?;
    let mut client = deployment.client(0);
    let failing = if case.trouble { 8 } else { 0 };
    // The rack r1 has two minions, on which nothing else runs.
    let ids = ["00000000000000f1", "00000000000000f2"];
    for id in ids {
        submit(&deployment, &mut client, "prisms", id, &lasting_job(failing, 3000, Some("r1")))?;
    }
    std::thread::sleep(Duration::from_secs(95));
    Ok(ids.iter().flat_map(|id| breaks(case.record, id)).collect())
}
