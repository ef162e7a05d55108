//! The number of waiting jobs that machines give while the leading machine is replaced.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::deployment::Deployment;
use crate::{Case, Outcome, headers, job, submit};

/// `visible_ms` + 2 s.
const ACCEPTED_BEFORE: Duration = Duration::from_millis(5000);
/// Longer than `contactMs`, so that all machines are in touch when the next one is killed.
const CALM: Duration = Duration::from_secs(8);
const ROUNDS: usize = 4;
const JOBS: u64 = 1000;
/// Time between two questions of a client.
const ASK_INTERVAL: Duration = Duration::from_millis(3);
/// How long a machine that was killed is away.
const AWAY: Duration = Duration::from_secs(1);
/// `contactMs`: a machine is in touch only if its processes ran for this long.
const CONTACT: Duration = Duration::from_millis(4000);
const ENTRIES: usize = 3;

pub fn play(case: &Case<'_>) -> Outcome {
    let mut deployment = Deployment::start(case.program, case.dir, case.record, ENTRIES, 2)?;
    let mut clients: Vec<_> = (0..ENTRIES).map(|entry| deployment.client(entry)).collect();
    for number in 0..JOBS {
        let client = &mut clients[number as usize % ENTRIES];
        submit(&deployment, client, "prisms", &format!("{:016x}", 0xa000 + number), &job(1, 8, 100_000))?;
    }
    std::thread::sleep(ACCEPTED_BEFORE.max(CALM));
    // Two minions run one job each at a time, and no run ends meanwhile.
    let least = (JOBS - 2) / 2;
    let asking = Arc::new(AtomicBool::new(true));
    let breaks: Arc<Mutex<Vec<String>>> = Arc::default();
    // From when each machine is in touch.
    let in_touch_from: Arc<Mutex<[Duration; ENTRIES]>> = Arc::default();
    let mut askers = Vec::new();
    for entry in 0..ENTRIES {
        let (mut client, asking, breaks) = (deployment.client(entry), Arc::clone(&asking), Arc::clone(&breaks));
        let (record, in_touch_from) = (case.record.clone(), Arc::clone(&in_touch_from));
        askers.push(std::thread::spawn(move || {
            let mut last = String::new();
            while asking.load(Ordering::SeqCst) {
                let asked_at = record.now();
                let answer = client.call("GET", "/prisms/", &headers(), None);
                let waiting = answer.as_ref().and_then(|(_, body)| body.get("waiting").u64());
                let shown = match (&answer, waiting) {
                    (Some((200, _)), Some(waiting)) => format!("200, {waiting} waiting"),
                    (Some((status, _)), _) => status.to_string(),
                    (None, _) => "no answer".into(),
                };
                if shown != last {
                    record.line(&format!("edge-{entry} answers GET /prisms/ with {shown}"));
                    last = shown;
                }
                let is_in_touch = asked_at >= in_touch_from.lock().unwrap()[entry];
                if is_in_touch && waiting.is_some_and(|waiting| waiting < least) {
                    let line = format!(
                        "asked at {:.3} s, edge-{entry} gave {} waiting jobs; at least {least} were due",
                        asked_at.as_secs_f64(),
                        waiting.unwrap_or(0)
                    );
                    breaks.lock().unwrap().push(line);
                }
                std::thread::sleep(ASK_INTERVAL);
            }
        }));
    }
    for _ in 0..ROUNDS {
        if case.trouble {
            let leader = deployment.store.leader().filter(|machine| *machine < ENTRIES);
            let leader = leader.ok_or("no edge machine leads")?;
            case.record.line(&format!("edge-{leader} is killed, which leads"));
            in_touch_from.lock().unwrap()[leader] = case.record.now() + AWAY + CONTACT;
            deployment.entries[leader].kill();
            std::thread::sleep(AWAY);
            deployment.launch_entry(leader)?;
        }
        std::thread::sleep(CALM);
    }
    asking.store(false, Ordering::SeqCst);
    for asker in askers {
        let _ = asker.join();
    }
    let breaks = breaks.lock().unwrap().clone();
    Ok(breaks)
}
