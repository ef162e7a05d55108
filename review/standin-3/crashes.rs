//! A job whose minions crash, though none of its runs fails.

use std::time::{Duration, Instant};

use crate::deployment::Deployment;
use crate::{Case, Outcome, headers, job, submit};

const ID: &str = "00000000000000c5";

pub fn play(case: &Case<'_>) -> Outcome {
    let deployment = Deployment::start(case.program, case.dir, case.record, 3, 5)?;
    let mut client = deployment.client(0);
    // One task of 8.5 s, which saves nothing.
    submit(&deployment, &mut client, "prisms", ID, &job(1, 1, 8500))?;
    let deadline = Instant::now() + Duration::from_secs(100);
    let mut crashes = 0;
    let mut last = String::new();
    loop {
        if Instant::now() > deadline {
            return Err("the job did not end".into());
        }
        let answer = client.call("GET", &format!("/prisms/{ID}"), &headers(), None);
        let state = answer.map_or(String::new(), |(_, body)| body.get("state").str().to_owned());
        if state != last {
            case.record.line(&format!("GET /prisms/{ID}: {state}"));
            last.clone_from(&state);
        }
        if state == "completed" || state == "failed" || state == "cancelled" {
            break;
        }
        if case.trouble && crashes < 5 {
            for minion in &deployment.minions {
                let running = minion.running();
                if running.iter().any(|(task, ran)| task.starts_with(ID) && *ran > Duration::from_secs(2)) {
                    crashes += 1;
                    minion.crash();
                    std::thread::sleep(Duration::from_secs(1));
                    minion.start().map_err(|e| e.to_string())?;
                }
            }
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    let runs = case.record.runs_of(ID);
    let failed = runs.iter().filter(|run| run.ended.is_some_and(|(_, how)| how == "failed")).count();
    if last == "completed" {
        return Ok(Vec::new());
    }
    Ok(vec![format!(
        "the job is shown as {last}; {} of its {} runs ended failed, and its maxAttempts is 4",
        failed,
        runs.len()
    )])
}
