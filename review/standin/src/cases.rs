//! The cases.

use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use reqwest::Method;
use serde_json::{Value, json};

use crate::Result;
use crate::deployment::{Deployment, PLOTSHARE, job};
use crate::record::Record;
use crate::worker::CLOCK_STEP_MS;

/// How long after the end of the traffic jobs are asked for (`finish_s`).
const FINISH: Duration = Duration::from_secs(14);
/// A task that lasts may be away for 6 s after its last run, and for 3 s more while there is room for it.
const AWAY: Duration = Duration::from_secs(9);

fn id(number: u64) -> String {
    format!("{:016x}", 0x5eed_0000_0000 + number)
}

async fn sleep_ms(ms: u64) {
    tokio::time::sleep(Duration::from_millis(ms)).await;
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

fn small_step(count: u32) -> Value {
    json!({"count": count, "cpu": 1000, "memoryRequestMb": 1000, "estimatedMs": 1000})
}

/// More ends wait on one worker than one list holds, because the slow store delays that they are taken note of.
pub(crate) async fn ends(record: &Record, trouble: bool) -> Result<()> {
    const JOBS: u64 = 16;
    const TASKS: u64 = 50;
    let deployment = Deployment::start(record, 2, 3, PLOTSHARE).await?;
    let client = deployment.client()?;
    let step = json!({"count": TASKS, "cpu": 150, "memoryRequestMb": 600, "estimatedMs": 5000});
    let began_at = Instant::now();
    for number in 0..JOBS {
        // The jobs end one after the other, 30 ms apart.
        let work = (5000 + 30 * number).saturating_sub(millis(began_at.elapsed()));
        let body = job(&json!({"ms": work}), &step);
        if !client.submit("render", &id(number), &body).await {
            return Err("a job was not accepted".into());
        }
    }
    sleep_ms(3000_u64.saturating_sub(millis(began_at.elapsed()))).await;
    if trouble {
        record.say("the store turns slow: 240 ms an answer");
        deployment.store.set_delay(Duration::from_millis(240));
    }
    sleep_ms(4500).await;
    deployment.store.set_delay(Duration::ZERO);
    record.say("the store is as before");
    for number in 0..JOBS {
        let id = id(number);
        let state = client.outcome("render", &id, Duration::from_secs(20)).await;
        let starts = record.starts(&id);
        record.say(&format!(
            "job {id} is {state}; {TASKS} tasks, {starts} starts"
        ));
    }
    sleep_ms(2000).await;
    Ok(())
}

/// A worker starts again while its time of day is back by 2 s, and its agent takes it for an earlier life for good.
pub(crate) async fn clock(record: &Record, trouble: bool) -> Result<()> {
    let mut deployment = Deployment::start(record, 2, 7, PLOTSHARE).await?;
    let client = deployment.client()?;
    // Three workers a rack: one is alone on the last rack.
    let index = 6;
    deployment.workers[index].crash();
    sleep_ms(100).await;
    deployment.restart_worker(index).await?;
    let step = json!({"count": 1, "cpu": 8000, "memoryRequestMb": 8000, "gpu": 4, "estimatedMs": 4000,
        "requiredLabel": "r2"});
    let body = job(&json!({"ms": 4000}), &step);
    if !client.submit("render", &id(1), &body).await {
        return Err("a job was not accepted".into());
    }
    sleep_ms(1700).await;
    if trouble {
        record.say("the time of day steps back by 2 s");
        CLOCK_STEP_MS.store(-2000, Ordering::Relaxed);
    }
    deployment.workers[index].crash();
    sleep_ms(100).await;
    deployment.restart_worker(index).await?;
    sleep_ms(5000).await;
    CLOCK_STEP_MS.store(0, Ordering::Relaxed);
    record.say("the time of day is as before");
    if !client.submit("render", &id(2), &body).await {
        return Err("a job was not accepted".into());
    }
    let deadline = Instant::now() + FINISH + Duration::from_secs(26);
    for number in 1..3 {
        let id = id(number);
        let left = deadline.saturating_duration_since(Instant::now());
        let state = client.outcome("render", &id, left).await;
        let (starts, done) = (record.starts(&id), record.ends(&id, "done"));
        record.say(&format!(
            "job {id} is {state}; {starts} starts, {done} ends done"
        ));
        if state != "completed" {
            record.broken(format!(
                "LOST: job {id} is {state} 40 s after its worker is back, with room for it"
            ));
        }
    }
    Ok(())
}

/// One schedule that can never be done keeps the owner from all other work.
pub(crate) async fn schedule(record: &Record, trouble: bool) -> Result<()> {
    /// Occurrences of the poison; the system accepts a job of up to 65,536 tasks.
    const REPETITIONS: u32 = 30_000;
    let deployment = Deployment::start(record, 2, 3, PLOTSHARE).await?;
    let client = deployment.client()?;
    let short = job(&json!({"ms": 1000}), &small_step(1));
    let mut accepted = Vec::new();
    for number in 0..24 {
        if number == 12 && trouble {
            let first = json!({"count": 1, "cpu": 1000, "memoryRequestMb": 1000, "gpu": 9, "estimatedMs": 1000});
            let second = json!({"count": 1, "cpu": 1000, "memoryRequestMb": 1000, "estimatedMs": 1000, "after": [0]});
            let poison = json!({"specification": "{}", "steps": [first, second], "repetitions": REPETITIONS,
                "intervalMs": 2000});
            client
                .call(
                    0,
                    Method::POST,
                    &format!("/render/{}", id(99)),
                    Some(&poison),
                )
                .await;
        }
        if client.submit("render", &id(number), &short).await {
            accepted.push(id(number));
        }
        sleep_ms(500).await;
    }
    record.say(&format!("{} short jobs were accepted", accepted.len()));
    let deadline = Instant::now() + FINISH + Duration::from_secs(3);
    for id in &accepted {
        let left = deadline.saturating_duration_since(Instant::now());
        let state = client.outcome("render", id, left).await;
        let (starts, lapsed) = (record.starts(id), record.ends(id, "lapsed"));
        record.say(&format!(
            "job {id} is {state}; {starts} starts, {lapsed} lapsed"
        ));
        if state != "completed" {
            record.broken(format!(
                "LOST: job {id} is {state} {FINISH:?} after the traffic, and nearly all room is free"
            ));
        }
    }
    Ok(())
}

/// A worker goes down and up by turns, and a service that ran there is given up, though it is to last until its job is
/// cancelled.
pub(crate) async fn flap(record: &Record, trouble: bool) -> Result<()> {
    /// Time from one end of the worker to the next.
    const PERIOD_MS: u64 = 1700;
    /// How long it is down each time.
    const DOWN_MS: u64 = 300;
    /// How often it goes down: 6.8 s in all.
    const TIMES: u32 = 4;
    // Three workers a rack: one is alone on the last rack.
    let mut deployment = Deployment::start(record, 2, 7, PLOTSHARE).await?;
    let client = deployment.client()?;
    let step = json!({"count": 1, "cpu": 8000, "memoryRequestMb": 8000, "gpu": 4, "estimatedMs": 1000,
        "perpetual": true, "requiredLabel": "r2"});
    let body = job(&json!({"ms": 500, "lasts": true}), &step);
    if !client.submit("render", &id(1), &body).await {
        return Err("a job was not accepted".into());
    }
    sleep_ms(3000).await;
    let index = deployment.worker_of(&id(1))?;
    for _ in 0..TIMES {
        if trouble {
            deployment.workers[index].crash();
            sleep_ms(DOWN_MS).await;
            deployment.restart_worker(index).await?;
        }
        sleep_ms(PERIOD_MS - DOWN_MS).await;
    }
    tokio::time::sleep(AWAY + Duration::from_secs(6)).await;
    let state = client.state("render", &id(1)).await;
    let (starts, failed) = (record.starts(&id(1)), record.ends(&id(1), "failed"));
    let at_work = record.workers_of(&id(1)).len();
    record.say(&format!(
        "job {} is {state}; {starts} starts, {failed} ends failed, {at_work} at work",
        id(1)
    ));
    if state == "failed" {
        record.broken(format!(
            "LOST: job {} is shown as failed without cause: {failed} of its runs ended failed",
            id(1)
        ));
    }
    if at_work == 0 {
        record.broken(format!(
            "LOST: job {}, which lasts, has nothing running 15 s after its worker is back, with room for it",
            id(1)
        ));
    }
    Ok(())
}

/// A worker starts again within 0.1 s. What is started there before its agent learns of that is started elsewhere too.
pub(crate) async fn reborn(record: &Record, trouble: bool) -> Result<()> {
    /// Time from the start of the worker to its first report about itself: a fifth of `heartbeatMs`.
    const FIRST_REPORT_AFTER: Duration = Duration::from_millis(300);
    let mut deployment = Deployment::start(record, 2, 7, PLOTSHARE).await?;
    let client = deployment.client()?;
    let step = json!({"count": 1, "cpu": 8000, "memoryRequestMb": 8000, "estimatedMs": 20000});
    if !client
        .submit("render", &id(0), &job(&json!({"ms": 20000}), &step))
        .await
    {
        return Err("a job was not accepted".into());
    }
    sleep_ms(3000).await;
    // Small jobs fill the worker that is in use already.
    let index = deployment.worker_of(&id(0))?;
    let body = job(&json!({"ms": 3000}), &small_step(1));
    for number in 1..40 {
        if number == 10 && trouble {
            deployment.workers[index].crash();
            sleep_ms(100).await;
            deployment
                .restart_worker_reporting_after(index, FIRST_REPORT_AFTER)
                .await?;
        }
        if !client.submit("render", &id(number), &body).await {
            return Err("a job was not accepted".into());
        }
        sleep_ms(100).await;
    }
    for number in 1..40 {
        client
            .outcome("render", &id(number), Duration::from_secs(20))
            .await;
    }
    Ok(())
}

/// A service whose tasks fail as soon as they start: the record of its failed runs outgrows the values of the store, and
/// from then on no end of any job is taken note of.
pub(crate) async fn service(record: &Record, trouble: bool) -> Result<()> {
    /// Tasks of the service, under half of the cores of the workers.
    const TASKS: u32 = 400;
    /// Length of the traffic.
    const SECONDS: u64 = 75;
    let deployment = Deployment::start(record, 2, 7, PLOTSHARE).await?;
    let client = deployment.client()?;
    let service = id(99);
    if trouble {
        let step = json!({"count": TASKS, "cpu": 1000, "memoryRequestMb": 1000, "estimatedMs": 1000,
            "perpetual": true});
        let body = job(&json!({"ms": 0, "fails": true}), &step);
        record.count_only(&service);
        if !client.submit("render", &service, &body).await {
            return Err("the service was not accepted".into());
        }
    }
    let body = job(&json!({"ms": 1000}), &small_step(4));
    let mut accepted = Vec::new();
    for number in 0..SECONDS {
        if client.submit("render", &id(number), &body).await {
            accepted.push(id(number));
        }
        sleep_ms(1000).await;
    }
    let deadline = Instant::now() + FINISH;
    for id in &accepted {
        let left = deadline.saturating_duration_since(Instant::now());
        let state = client.outcome("render", id, left).await;
        let (starts, done) = (record.starts(id), record.ends(id, "done"));
        if state != "completed" || starts != 4 {
            record.say(&format!(
                "job {id} of 4 tasks is {state}; {starts} starts, {done} ends done"
            ));
        }
        if state != "completed" {
            record.broken(format!(
                "LOST: job {id} is {state} {FINISH:?} after the traffic, with room for it"
            ));
        }
    }
    record.say(&format!(
        "the service had {} starts",
        record.starts(&service)
    ));
    Ok(())
}

/// Two machines are removed for good at the same time: the owner's and that of a worker. The tasks that last and ran on
/// that worker stay away until all leases that any owner could have given have lapsed.
pub(crate) async fn removed(record: &Record, trouble: bool) -> Result<()> {
    let mut deployment = Deployment::start(record, 3, 7, PLOTSHARE).await?;
    let client = deployment.client()?;
    let step = json!({"count": 1, "cpu": 8000, "memoryRequestMb": 8000, "gpu": 1, "estimatedMs": 1000,
        "perpetual": true});
    let body = job(&json!({"ms": 500, "lasts": true}), &step);
    if !client.submit("render", &id(1), &body).await {
        return Err("a job was not accepted".into());
    }
    sleep_ms(3000).await;
    let worker = deployment.worker_of(&id(1))?;
    let owner = deployment.owner().ok_or("no entry leads")?;
    if trouble {
        deployment.kill_entry(owner);
        deployment.kill_agent(worker);
        deployment.workers[worker].crash();
    }
    let removed_at = Instant::now();
    if trouble {
        // New machines come at other addresses 2 s later.
        sleep_ms(2000).await;
        deployment.add_entry()?;
        deployment.add_worker(PLOTSHARE).await?;
    }
    // Two seconds until the new machines come; what is seen after them has to be calm for 4 s, and then the task may be
    // away for 3 s.
    let limit = AWAY + Duration::from_secs(1);
    while record.workers_of(&id(1)).is_empty() && removed_at.elapsed() < Duration::from_secs(30) {
        sleep_ms(20).await;
    }
    let away = removed_at.elapsed();
    record.say(&format!(
        "job {} was away for {:.1} s",
        id(1),
        away.as_secs_f64()
    ));
    if away > limit {
        record.broken(format!(
            "LOST: job {}, which lasts, has had nothing running for {:.1} s, with room for it",
            id(1),
            away.as_secs_f64()
        ));
    }
    Ok(())
}

/// A job that nobody handed in is shown after it was cancelled.
pub(crate) async fn unknown(record: &Record, trouble: bool) -> Result<()> {
    let deployment = Deployment::start(record, 2, 1, PLOTSHARE).await?;
    let client = deployment.client()?;
    let path = format!("/render/{}", id(7));
    if trouble {
        client.call(0, Method::DELETE, &path, None).await;
    }
    for entry in 0..2 {
        let answer = client.call(entry, Method::GET, &path, None).await;
        if let Some((_, body)) = answer
            && let Some(state) = body["state"].as_str()
        {
            record.broken(format!(
                "MIXED: job {} is shown as {state}, and nobody submitted it",
                id(7)
            ));
        }
    }
    Ok(())
}
