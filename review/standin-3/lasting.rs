//! Tasks that last, which have to be restarted however they end.

use std::time::Duration;

use crate::deployment::Deployment;
use crate::json::{Json, num, text};
use crate::record::Record;
use crate::{Case, Outcome, submit};

/// The rule holds for a task that lasts from 6 s after its last run, if 3 s and the 4 s before them are calm.
const AFTER_RUN: Duration = Duration::from_secs(6);
const STANDS: Duration = Duration::from_secs(3);
const CALM: Duration = Duration::from_secs(4);

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

/// Returns the times in which a task stood longer than the rule allows; `disrupted_at` is the time of the last disruption.
fn breaks(record: &Record, job: &str, disrupted_at: Duration) -> Vec<String> {
    let runs = record.runs_of(job);
    let mut breaks = Vec::new();
    for (index, run) in runs.iter().enumerate() {
        let Some((ended_at, how)) = run.ended else { continue };
        let next_at = runs.get(index + 1).map_or(record.now(), |next| next.started_at);
        let from = (ended_at + AFTER_RUN).max(disrupted_at + CALM);
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
    Ok(ids.iter().flat_map(|id| breaks(case.record, id, Duration::ZERO)).collect())
}

/// The leading machine and that of a task which lasts are lost for good at the same time.
pub fn play_lost(case: &Case<'_>) -> Outcome {
    let mut deployment = Deployment::start(case.program, case.dir, case.record, 3, 5)?;
    let mut client = deployment.client(0);
    let id = "00000000000000f3";
    submit(&deployment, &mut client, "prisms", id, &lasting_job(0, 0, None))?;
    // `contactMs`, with room to spare.
    std::thread::sleep(Duration::from_secs(8));
    let mut lost_at = Duration::ZERO;
    if case.trouble {
        let runs_it = |minion: &crate::minion::Minion| minion.running().iter().any(|(task, _)| task.starts_with(id));
        let side = deployment.minions.iter().position(runs_it).ok_or("the task does not run")?;
        let leader = deployment.store.leader().filter(|machine| *machine < 3).ok_or("no machine leads")?;
        case.record.line(&format!("edge-{leader}, which leads, and side-{side} with its minion are lost for good"));
        deployment.entries[leader].kill();
        deployment.minions[side].crash();
        deployment.agents[side].kill();
        lost_at = case.record.now();
    }
    std::thread::sleep(Duration::from_secs(40));
    Ok(breaks(case.record, id, lost_at))
}
