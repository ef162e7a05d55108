//! The leading machine is killed while many jobs wait.

use std::time::Duration;

use crate::deployment::Deployment;
use crate::json::{Json, num, text};
use crate::record::RunRecord;
use crate::{Case, Outcome, headers, submit};

const JOBS: u64 = 450;
/// Link of an `edge` machine of textolien-qc-grown, for the answers of the store alone.
const LINK_MBIT_PER_S: f64 = 10.0;
/// The longest specification that clients may send.
const SPECIFICATION_BYTES: usize = 4000;
const TASK_MS: u64 = 4000;
/// `recoveryS`, which is longer than `finish_s` and `contactMs`.
const RECOVERY: Duration = Duration::from_secs(15);
/// How long the jobs are watched after that; they may stand for 3 s.
const WATCHED: Duration = Duration::from_secs(45);

pub fn play(case: &Case<'_>) -> Outcome {
    let link = Some(LINK_MBIT_PER_S);
    let mut deployment = Deployment::start_with_links(case.program, case.dir, case.record, 3, 4, link)?;
    let mut clients: Vec<_> = (0..3).map(|entry| deployment.client(entry)).collect();
    // Spaces make the specification as long as clients may.
    let specification = format!("{TASK_MS:<SPECIFICATION_BYTES$}");
    let step = Json::obj([
        ("count", num(1)),
        ("cpu", num(8000)),
        ("memoryRequestMb", num(1000)),
        ("gpu", num(8)),
        ("estimatedMs", num(TASK_MS)),
    ]);
    let body = Json::obj([("specification", text(specification)), ("steps", Json::Arr(vec![step]))]);
    let id = |number: u64| format!("{:016x}", 0xb1000 + number);
    for number in 0..JOBS {
        submit(&deployment, &mut clients[number as usize % 3], "prisms", &id(number), &body)?;
    }
    case.record.line("the traffic ends");
    std::thread::sleep(Duration::from_secs(8));
    if case.trouble {
        let leader = deployment.store.leader().filter(|machine| *machine < 3).ok_or("no machine leads")?;
        case.record.line(&format!("edge-{leader} is killed, which leads"));
        deployment.entries[leader].kill();
        std::thread::sleep(Duration::from_secs(1));
        deployment.launch_entry(leader)?;
    }
    std::thread::sleep(RECOVERY);
    let from = case.record.now();
    std::thread::sleep(WATCHED);
    let until = case.record.now();
    for entry in 0..3 {
        let mut client = deployment.client(entry);
        for path in ["/prisms/".to_owned(), format!("/prisms/{}", id(JOBS - 1))] {
            let answer = client.call("GET", &path, &headers(), None);
            let answer = answer.map_or("no answer".into(), |(status, body)| format!("{status} {body}"));
            case.record.line(&format!("edge-{entry} answers GET {path} with {answer}"));
        }
    }
    let runs: Vec<Vec<RunRecord>> = (0..JOBS).map(|number| case.record.runs_of(&id(number))).collect();
    let is_within = |run: &&RunRecord| run.started_at < until && run.ended.is_none_or(|(at, _)| at > from);
    let at_work = runs.iter().flatten().filter(is_within).count();
    let is_done = |run: &RunRecord| run.ended.is_some_and(|(_, how)| how == "done");
    let open = runs.iter().filter(|runs| !runs.iter().any(is_done)).count();
    case.record.line(&format!("{at_work} tasks were at work in these {} s; {open} jobs are not done", WATCHED.as_secs()));
    if at_work > 0 || open == 0 {
        return Ok(Vec::new());
    }
    Ok(vec![format!(
        "from {:.1} to {:.1} s nothing runs on the four minions, and {open} of {JOBS} accepted jobs are not done",
        from.as_secs_f64(),
        until.as_secs_f64()
    )])
}
