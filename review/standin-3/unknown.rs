//! A client cancels a job that never reached a machine.

use std::time::Duration;

use crate::deployment::Deployment;
use crate::{Case, Outcome, headers, job};

const ID: &str = "00000000000000d1";

pub fn play(case: &Case<'_>) -> Outcome {
    let mut deployment = Deployment::start(case.program, case.dir, case.record, 3, 2)?;
    std::thread::sleep(Duration::from_secs(5));
    if case.trouble {
        case.record.line("edge-0 is killed");
        deployment.entries[0].kill();
    }
    let path = format!("/prisms/{ID}");
    let ask = |entry: usize, method: &str, body| {
        let answer = deployment.client(entry).call(method, &path, &headers(), body);
        let shown = answer.as_ref().map_or("no connection".into(), |(status, body)| format!("{status} {body}"));
        case.record.line(&format!("{method} {path} at edge-{entry}: {shown}"));
        answer
    };
    // No other attempt follows, and no process has read this one.
    let body = job(1, 1, 3000);
    let submitted = ask(0, "POST", Some(&body));
    if submitted.is_some() == case.trouble {
        return Err("the submission was not met as planned".into());
    }
    let cancelled = ask(1, "DELETE", None);
    std::thread::sleep(Duration::from_secs(4));
    let state = ask(2, "GET", None);
    let is_known = |answer: &Option<(u16, _)>| answer.as_ref().is_some_and(|(status, _)| *status == 200);
    if case.trouble && is_known(&state) {
        let cancelled = cancelled.map_or(0, |(status, _)| status);
        return Ok(vec![format!("a job that nobody submitted is shown; its DELETE was answered with {cancelled}")]);
    }
    if !case.trouble && !(is_known(&cancelled) && is_known(&state)) {
        return Ok(vec!["an accepted job is not known".into()]);
    }
    Ok(Vec::new())
}
