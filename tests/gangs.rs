//! Members of gangs die, freeze or fail; callers and owners take gangs back.

use std::time::{Duration, Instant};

use harness::audit::{GANG_LEASE_TERM, TIME_TOLERANCE, overcommitted, partial_gangs};
use harness::fixtures::{gang, idempotent, one_region, request, with_idempotency_key};
use harness::{
    Caller, Deployment, LoadGenerator, Outcome, OutcomeSummary, Programs, Result, Submission,
    wait_until,
};
use serde_json::json;
use tokio::task::JoinHandle;

/// How long a test waits for something that has no bound in the requirements.
const SOON: Duration = Duration::from_secs(5);
/// A leaving endpoint receives no new work after this time.
const DRAIN_LIMIT: Duration = Duration::from_secs(3);
/// Work within a guarantee starts within this time.
const URGENT_START: Duration = Duration::from_millis(1100);

async fn start(agents: usize) -> Result<(Deployment, Caller)> {
    let plan = one_region(1, agents);
    let deployment = Deployment::start(&plan, &Programs::locate()?).await?;
    Ok((deployment, Caller::new()?))
}

fn submit(deployment: &Deployment, caller: &Caller, submission: Submission) -> JoinHandle<Outcome> {
    let (caller, url) = (caller.clone(), deployment.entry_urls[0].clone());
    tokio::spawn(async move { caller.submit(&url, &submission).await })
}

/// Returns the agent whose endpoint runs the only request, and an agent with another member of the gang.
async fn leader_and_member(deployment: &Deployment) -> Result<(Box<str>, Box<str>)> {
    let mut leader = None;
    for number in 0..deployment.endpoint_urls.len() {
        if !deployment.runs_at(number).await?.is_empty() {
            leader = Some(number);
        }
    }
    let leader = leader.ok_or("no endpoint runs the request")?;
    let tasks = deployment.running_tasks().await?;
    let own = format!("caribe-worker-{leader}");
    let other = tasks.iter().find(|task| *task.worker != *own);
    let other = other.ok_or("the gang has no other member")?;
    let number = other.worker.rsplit('-').next().ok_or("worker name")?;
    Ok((
        format!("agent-{leader}").into(),
        format!("agent-{number}").into(),
    ))
}

enum Lost {
    Leader,
    Member,
}

/// Loses an agent of a gang and checks that all tasks stop in time and that none runs alone.
async fn lose_agent(lost: Lost, signal: &str, submission: Submission) -> Result<Outcome> {
    let (mut deployment, caller) = start(4).await?;
    let running = submit(&deployment, &caller, submission);
    deployment.wait_for_tasks(16, SOON).await?;
    wait_until("the request runs", SOON, async || {
        leader_and_member(&deployment).await.is_ok()
    })
    .await?;
    let (leader, member) = leader_and_member(&deployment).await?;
    let victim = match lost {
        Lost::Leader => leader,
        Lost::Member => member,
    };
    let gang = deployment.running_tasks().await?[0].gang.clone();
    deployment.signal(&victim, signal)?;
    let stopped = wait_until(
        "the gang stops",
        GANG_LEASE_TERM + TIME_TOLERANCE,
        async || {
            let running = deployment.running_tasks().await.unwrap_or_default();
            running.iter().all(|task| task.gang != gang)
        },
    )
    .await?;
    println!("{victim} {signal}: all tasks stopped after {stopped:?}");
    let outcome = running.await?;
    if signal == "STOP" {
        deployment.signal(&victim, "CONT")?;
        // The agent that continues must not start anything again.
        tokio::time::sleep(GANG_LEASE_TERM).await;
        assert!(deployment.running_tasks().await?.is_empty());
    }
    let tasks = deployment.tasks().await?;
    let now = tasks.iter().filter_map(|t| t.end_us).max().unwrap_or(0);
    assert_eq!(partial_gangs(&tasks, now), [], "no gang runs partially");
    assert_eq!(overcommitted(&tasks, 8), [], "no worker is used twice");
    Ok(outcome)
}

fn work(run_ms: u64) -> Submission {
    gang(16, json!({"run_ms": run_ms}))
}

/// Guards against a gang that runs on without a killed member, and against idempotent work that is lost with it.
#[tokio::test(flavor = "multi_thread")]
async fn lose_agent_killed_member() -> Result<()> {
    let outcome = lose_agent(Lost::Member, "KILL", idempotent(work(4000))).await?;
    assert!(outcome.is_answered(), "{outcome:?}");
    Ok(())
}

/// Guards against a gang that runs on without its killed leader.
#[tokio::test(flavor = "multi_thread")]
async fn lose_agent_killed_leader() -> Result<()> {
    let outcome = lose_agent(Lost::Leader, "KILL", idempotent(work(4000))).await?;
    assert!(outcome.is_answered(), "{outcome:?}");
    Ok(())
}

/// Guards against a gang that runs on without a frozen member.
#[tokio::test(flavor = "multi_thread")]
async fn lose_agent_frozen_member() -> Result<()> {
    let outcome = lose_agent(Lost::Member, "STOP", idempotent(work(4000))).await?;
    assert!(outcome.is_answered(), "{outcome:?}");
    Ok(())
}

/// Guards against callers that wait for a frozen leader although their work could run elsewhere.
#[tokio::test(flavor = "multi_thread")]
async fn lose_agent_frozen_leader() -> Result<()> {
    let outcome = lose_agent(Lost::Leader, "STOP", idempotent(work(4000))).await?;
    assert!(outcome.is_answered(), "{outcome:?}");
    Ok(())
}

/// Guards against non-idempotent work that is reported as "not run" or run again after the loss of a member.
#[tokio::test(flavor = "multi_thread")]
async fn lose_agent_is_honest() -> Result<()> {
    for lost in [Lost::Member, Lost::Leader] {
        let outcome = lose_agent(lost, "KILL", work(4000)).await?;
        assert_eq!(&*outcome.verdict, "may_have_run", "{outcome:?}");
    }
    Ok(())
}

/// Guards against "not run" for work whose first try ran and whose second one finds no place.
#[tokio::test(flavor = "multi_thread")]
async fn lose_agent_keeps_verdict_of_earlier_try() -> Result<()> {
    let (mut deployment, caller) = start(2).await?;
    let submission = Submission {
        timeout_ms: Some(6000),
        ..idempotent(work(60_000))
    };
    let running = submit(&deployment, &caller, submission);
    deployment.wait_for_tasks(16, SOON).await?;
    wait_until("the request runs", SOON, async || {
        leader_and_member(&deployment).await.is_ok()
    })
    .await?;
    let (_, member) = leader_and_member(&deployment).await?;
    deployment.kill(&member)?;
    let outcome = running.await?;
    assert_eq!(&*outcome.verdict, "may_have_run", "{outcome:?}");
    Ok(())
}

/// Guards against a worker that fails all work given to it and keeps getting more.
#[tokio::test(flavor = "multi_thread")]
async fn quarantine_spares_work_from_failing_worker() -> Result<()> {
    let (deployment, caller) = start(4).await?;
    let bad = "caribe-worker-1";
    let faults = json!({"fail": "run", "fail_after_ms": 30});
    deployment.set_worker_faults(bad, faults).await?;
    let small = || idempotent(gang(4, json!({"run_ms": 300})));
    let failures = async || -> Result<usize> {
        let tasks = deployment.tasks().await?;
        let failed = tasks
            .iter()
            .filter(|task| task.end.as_deref() == Some("failed"));
        let jobs: std::collections::HashSet<_> = failed.map(|task| &task.gang).collect();
        Ok(jobs.len())
    };
    for _ in 0..4 {
        let wave: Vec<_> = (0..6)
            .map(|_| submit(&deployment, &caller, small()))
            .collect();
        for one in wave {
            let outcome = one.await?;
            assert!(outcome.is_answered(), "{outcome:?}");
        }
    }
    let before = failures().await?;
    println!("failed gangs until the quarantine: {before}");
    assert!(before >= 3, "the worker was used: {before}");
    for _ in 0..2 {
        let firm: Vec<_> = (0..5)
            .map(|_| submit(&deployment, &caller, gang(4, json!({"run_ms": 100}))))
            .collect();
        for one in firm {
            let outcome = one.await?;
            assert!(outcome.is_answered(), "{outcome:?}");
        }
    }
    assert_eq!(failures().await?, before, "the worker gets no more work");
    Ok(())
}

/// Guards against gangs that run on for a caller that went away.
#[tokio::test(flavor = "multi_thread")]
async fn cancel_frees_gang_of_vanished_caller() -> Result<()> {
    let (deployment, caller) = start(2).await?;
    let running = submit(&deployment, &caller, work(60_000));
    deployment.wait_for_tasks(16, SOON).await?;
    let first = deployment.running_tasks().await?[0].gang.clone();
    let queued = submit(&deployment, &caller, work(60_000));
    running.abort();
    let limit = GANG_LEASE_TERM + TIME_TOLERANCE;
    wait_until("the queued gang runs", limit, async || {
        let running = deployment.running_tasks().await.unwrap_or_default();
        running.len() == 16 && running.iter().all(|task| task.gang != first)
    })
    .await?;
    queued.abort();
    deployment
        .wait_for_tasks(0, GANG_LEASE_TERM + TIME_TOLERANCE)
        .await?;
    let next = submit(&deployment, &caller, work(50)).await?;
    assert!(next.is_answered(), "{next:?}");
    Ok(())
}

/// Fills a cell with borrowers, and returns the time until work within a guarantee runs.
async fn reclaim(borrowers: u32, stoppable: bool) -> Result<Duration> {
    let mut plan = one_region(1, 2);
    let owner = plan.document.accounts.get_mut("faro").ok_or("account")?;
    let shape = json!({
        "tasks": 16, "accelerators": 1, "cores": 2, "memory_mb": 512, "adjacency": "data_centre",
    });
    owner.guarantees.push(serde_json::from_value(shape)?);
    let deployment = Deployment::start(&plan, &Programs::locate()?).await?;
    let caller = Caller::new()?;
    let borrower = Submission {
        account: "puerto".into(),
        stoppable: Some(stoppable),
        ..idempotent(gang(16 / borrowers, json!({"run_ms": 2000})))
    };
    let waiting: Vec<_> = (0..borrowers)
        .map(|_| submit(&deployment, &caller, borrower.clone()))
        .collect();
    deployment.wait_for_tasks(16, SOON).await?;
    let started = Instant::now();
    let urgent = submit(&deployment, &caller, work(500));
    wait_until("the guaranteed gang runs", SOON, async || {
        let running = deployment.running_tasks().await.unwrap_or_default();
        running
            .iter()
            .filter(|task| &*task.account == "faro")
            .count()
            == 16
    })
    .await?;
    let took = started.elapsed();
    println!("borrowers={borrowers} stoppable={stoppable}: guaranteed gang runs after {took:?}");
    let urgent = urgent.await?;
    assert!(urgent.is_answered(), "{urgent:?}");
    for one in waiting {
        let outcome = one.await?;
        assert!(outcome.is_answered(), "{outcome:?}");
    }
    let tasks = deployment.tasks().await?;
    assert_eq!(overcommitted(&tasks, 8), [], "no worker is used twice");
    Ok(took)
}

/// Guards against a guarantee that is not met while one borrower holds the whole cell.
#[tokio::test(flavor = "multi_thread")]
async fn reclaim_from_one_borrower() -> Result<()> {
    assert!(reclaim(1, false).await? <= URGENT_START);
    Ok(())
}

/// Guards against a guarantee that is met late because of checkpoints and many borrowers.
#[tokio::test(flavor = "multi_thread")]
async fn reclaim_from_many_borrowers() -> Result<()> {
    assert!(reclaim(8, true).await? <= URGENT_START);
    Ok(())
}

/// Guards against a leaving agent that takes new work, cuts work off or never ends.
#[tokio::test(flavor = "multi_thread")]
async fn drain_agent_under_load() -> Result<()> {
    let (mut deployment, _) = start(3).await?;
    // The first requests keep every endpoint busy beyond the time at which new work must have ended.
    let load = LoadGenerator::start(&deployment.entry_urls, 24, |number| {
        let submission = match number {
            0..12 => request(json!({"run_ms": 8000})),
            _ if number % 4 == 0 => gang(4, json!({"run_ms": 300})),
            _ => request(json!({"run_ms": 50})),
        };
        with_idempotency_key(submission, number)
    })?;
    wait_until("requests run at the leaving endpoint", SOON, async || {
        deployment.runs_at(0).await.is_ok_and(|runs| runs.len() > 5)
    })
    .await?;
    deployment.signal("agent-0", "TERM")?;
    tokio::time::sleep(DRAIN_LIMIT).await;
    let early = deployment.runs_at(0).await?;
    let status = deployment
        .process_mut("agent-0")?
        .wait(Duration::from_secs(10))
        .await;
    assert_eq!(deployment.runs_at(0).await?, early, "no new work");
    let finished = load.finish().await;
    assert!(status?.success(), "the agent ends with exit code 0");
    let tally = OutcomeSummary::new(&finished, &deployment.runs().await?);
    println!("agent drain: {tally}");
    assert!(tally.is_consistent(), "{tally:?}");
    assert_eq!(
        tally.answered,
        finished.len(),
        "nothing is cut off: {tally}"
    );
    Ok(())
}
