//! Gangs whose members are killed, frozen or fail, and gangs that are cancelled or reclaimed.

use std::time::{Duration, Instant};

use harness::audit::{GANG_LEASE_TERM, TIME_TOLERANCE, overcommitted, partial_gangs};
use harness::fixtures::{gang, idempotent, one_region, request, with_idempotency_key};
use harness::{
    Caller, Deployment, LoadGenerator, Outcome, OutcomeSummary, Programs, Result, Submission,
    wait_until,
};
use serde_json::json;
use tokio::task::JoinHandle;

/// Timeout of waits for which the requirements set no limit.
const WAIT_TIMEOUT: Duration = Duration::from_secs(5);
/// Time after the start of a drain from which the endpoint must receive no new work.
const DRAIN_NOTICE_TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum time until work within a guarantee starts.
const URGENT_START_LIMIT: Duration = Duration::from_millis(1100);

async fn start(agents: usize) -> Result<(Deployment, Caller)> {
    let plan = one_region(1, agents);
    let deployment = Deployment::start(&plan, &Programs::locate()?).await?;
    Ok((deployment, Caller::new()?))
}

fn spawn_submit(
    deployment: &Deployment,
    caller: &Caller,
    submission: Submission,
) -> JoinHandle<Outcome> {
    let (caller, url) = (caller.clone(), deployment.entry_urls[0].clone());
    tokio::spawn(async move { caller.submit(&url, &submission).await })
}

/// Returns the agent whose endpoint runs the only request, which leads its gang, and the agent of another member.
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

enum LostRole {
    Leader,
    Member,
}

/// Sends a signal to an agent of a gang that occupies the whole cell. Checks that all tasks of the gang stop in time
/// and that no gang runs partially.
async fn lose_agent(lost: LostRole, signal: &str, submission: Submission) -> Result<Outcome> {
    let (mut deployment, caller) = start(4).await?;
    let running = spawn_submit(&deployment, &caller, submission);
    deployment.wait_for_tasks(16, WAIT_TIMEOUT).await?;
    wait_until("the request runs", WAIT_TIMEOUT, async || {
        leader_and_member(&deployment).await.is_ok()
    })
    .await?;
    let (leader, member) = leader_and_member(&deployment).await?;
    let lost_agent = match lost {
        LostRole::Leader => leader,
        LostRole::Member => member,
    };
    let gang = deployment.running_tasks().await?[0].gang.clone();
    deployment.signal(&lost_agent, signal)?;
    let stopped = wait_until(
        "the gang stops",
        GANG_LEASE_TERM + TIME_TOLERANCE,
        async || {
            let running = deployment.running_tasks().await.unwrap_or_default();
            running.iter().all(|task| task.gang != gang)
        },
    )
    .await?;
    println!("{lost_agent} {signal}: all tasks stopped after {stopped:?}");
    let outcome = running.await?;
    if signal == "STOP" {
        deployment.signal(&lost_agent, "CONT")?;
        // The resumed agent must not start any task again.
        tokio::time::sleep(GANG_LEASE_TERM).await;
        assert!(deployment.running_tasks().await?.is_empty());
    }
    let tasks = deployment.tasks().await?;
    let last_end = tasks.iter().filter_map(|t| t.end_us).max().unwrap_or(0);
    assert_eq!(partial_gangs(&tasks, last_end), [], "a gang ran partially");
    assert_eq!(overcommitted(&tasks, 8), [], "a worker was overcommitted");
    Ok(outcome)
}

fn whole_cell_gang(run_ms: u64) -> Submission {
    gang(16, json!({"run_ms": run_ms}))
}

/// Guards against a gang that keeps running after a member is killed, and against an idempotent request that is not
/// retried.
#[tokio::test(flavor = "multi_thread")]
async fn lose_agent_killed_member() -> Result<()> {
    let outcome = lose_agent(LostRole::Member, "KILL", idempotent(whole_cell_gang(4000))).await?;
    assert!(outcome.is_answered(), "{outcome:?}");
    Ok(())
}

/// Guards against a gang that keeps running after its leader is killed.
#[tokio::test(flavor = "multi_thread")]
async fn lose_agent_killed_leader() -> Result<()> {
    let outcome = lose_agent(LostRole::Leader, "KILL", idempotent(whole_cell_gang(4000))).await?;
    assert!(outcome.is_answered(), "{outcome:?}");
    Ok(())
}

/// Guards against a gang that keeps running after a member is frozen.
#[tokio::test(flavor = "multi_thread")]
async fn lose_agent_frozen_member() -> Result<()> {
    let outcome = lose_agent(LostRole::Member, "STOP", idempotent(whole_cell_gang(4000))).await?;
    assert!(outcome.is_answered(), "{outcome:?}");
    Ok(())
}

/// Guards against callers that wait for a frozen leader although their request could run elsewhere.
#[tokio::test(flavor = "multi_thread")]
async fn lose_agent_frozen_leader() -> Result<()> {
    let outcome = lose_agent(LostRole::Leader, "STOP", idempotent(whole_cell_gang(4000))).await?;
    assert!(outcome.is_answered(), "{outcome:?}");
    Ok(())
}

/// Guards against a non-idempotent request that is reported as `not_run`, or run again, after the loss of a member.
#[tokio::test(flavor = "multi_thread")]
async fn lose_agent_returns_may_have_run() -> Result<()> {
    for lost in [LostRole::Member, LostRole::Leader] {
        let outcome = lose_agent(lost, "KILL", whole_cell_gang(4000)).await?;
        assert_eq!(&*outcome.verdict, "may_have_run", "{outcome:?}");
    }
    Ok(())
}

/// Guards against the verdict `not_run` for a request whose first attempt ran and whose second one cannot be placed.
#[tokio::test(flavor = "multi_thread")]
async fn lose_agent_keeps_verdict_of_earlier_attempt() -> Result<()> {
    let (mut deployment, caller) = start(2).await?;
    let submission = Submission {
        timeout_ms: Some(6000),
        ..idempotent(whole_cell_gang(60_000))
    };
    let running = spawn_submit(&deployment, &caller, submission);
    deployment.wait_for_tasks(16, WAIT_TIMEOUT).await?;
    wait_until("the request runs", WAIT_TIMEOUT, async || {
        leader_and_member(&deployment).await.is_ok()
    })
    .await?;
    let (_, member) = leader_and_member(&deployment).await?;
    deployment.kill(&member)?;
    let outcome = running.await?;
    assert_eq!(&*outcome.verdict, "may_have_run", "{outcome:?}");
    Ok(())
}

/// Guards against a worker that fails every task and still receives new ones.
#[tokio::test(flavor = "multi_thread")]
async fn quarantine_keeps_work_off_failing_worker() -> Result<()> {
    let (deployment, caller) = start(4).await?;
    let failing_worker = "caribe-worker-1";
    let faults = json!({"fail": "run", "fail_after_ms": 30});
    deployment.set_worker_faults(failing_worker, faults).await?;
    let small_gang = || idempotent(gang(4, json!({"run_ms": 300})));
    let failed_gangs = async || -> Result<usize> {
        let tasks = deployment.tasks().await?;
        let failed = tasks
            .iter()
            .filter(|task| task.end.as_deref() == Some("failed"));
        let gangs: std::collections::HashSet<_> = failed.map(|task| &task.gang).collect();
        Ok(gangs.len())
    };
    for _ in 0..4 {
        let batch: Vec<_> = (0..6)
            .map(|_| spawn_submit(&deployment, &caller, small_gang()))
            .collect();
        for request in batch {
            let outcome = request.await?;
            assert!(outcome.is_answered(), "{outcome:?}");
        }
    }
    let before = failed_gangs().await?;
    println!("failed gangs before the quarantine: {before}");
    assert!(before >= 3, "the failing worker was not used: {before}");
    for _ in 0..2 {
        let batch: Vec<_> = (0..5)
            .map(|_| spawn_submit(&deployment, &caller, gang(4, json!({"run_ms": 100}))))
            .collect();
        for request in batch {
            let outcome = request.await?;
            assert!(outcome.is_answered(), "{outcome:?}");
        }
    }
    assert_eq!(
        failed_gangs().await?,
        before,
        "the failing worker received more work"
    );
    Ok(())
}

/// Guards against gangs that keep running after their caller has disconnected.
#[tokio::test(flavor = "multi_thread")]
async fn disconnect_stops_gang_of_caller() -> Result<()> {
    let (deployment, caller) = start(2).await?;
    let running = spawn_submit(&deployment, &caller, whole_cell_gang(60_000));
    deployment.wait_for_tasks(16, WAIT_TIMEOUT).await?;
    let first_gang = deployment.running_tasks().await?[0].gang.clone();
    let queued = spawn_submit(&deployment, &caller, whole_cell_gang(60_000));
    running.abort();
    let limit = GANG_LEASE_TERM + TIME_TOLERANCE;
    wait_until("the queued gang runs", limit, async || {
        let running = deployment.running_tasks().await.unwrap_or_default();
        running.len() == 16 && running.iter().all(|task| task.gang != first_gang)
    })
    .await?;
    queued.abort();
    deployment
        .wait_for_tasks(0, GANG_LEASE_TERM + TIME_TOLERANCE)
        .await?;
    let next = spawn_submit(&deployment, &caller, whole_cell_gang(50)).await?;
    assert!(next.is_answered(), "{next:?}");
    Ok(())
}

/// Fills a cell with the gangs of an account without guarantees, and returns the time until a gang within the guarantee
/// of another account runs.
async fn reclaim(borrowers: u32, stoppable: bool) -> Result<Duration> {
    let mut plan = one_region(1, 2);
    let account = plan.document.accounts.get_mut("faro").ok_or("account")?;
    let shape = json!({
        "tasks": 16, "accelerators": 1, "cores": 2, "memory_mb": 512, "adjacency": "data_centre",
    });
    account.guarantees.push(serde_json::from_value(shape)?);
    let deployment = Deployment::start(&plan, &Programs::locate()?).await?;
    let caller = Caller::new()?;
    let borrower = Submission {
        account: "puerto".into(),
        stoppable: Some(stoppable),
        ..idempotent(gang(16 / borrowers, json!({"run_ms": 2000})))
    };
    let borrower_requests: Vec<_> = (0..borrowers)
        .map(|_| spawn_submit(&deployment, &caller, borrower.clone()))
        .collect();
    deployment.wait_for_tasks(16, WAIT_TIMEOUT).await?;
    let started = Instant::now();
    let urgent = spawn_submit(&deployment, &caller, whole_cell_gang(500));
    wait_until("the guaranteed gang runs", WAIT_TIMEOUT, async || {
        let running = deployment.running_tasks().await.unwrap_or_default();
        running
            .iter()
            .filter(|task| &*task.account == "faro")
            .count()
            == 16
    })
    .await?;
    let elapsed = started.elapsed();
    println!("borrowers={borrowers} stoppable={stoppable}: guaranteed gang runs after {elapsed:?}");
    let urgent = urgent.await?;
    assert!(urgent.is_answered(), "{urgent:?}");
    for request in borrower_requests {
        let outcome = request.await?;
        assert!(outcome.is_answered(), "{outcome:?}");
    }
    let tasks = deployment.tasks().await?;
    assert_eq!(overcommitted(&tasks, 8), [], "a worker was overcommitted");
    Ok(elapsed)
}

/// Guards against a guarantee that is not met while one borrowing gang occupies the whole cell.
#[tokio::test(flavor = "multi_thread")]
async fn reclaim_from_one_borrower() -> Result<()> {
    assert!(reclaim(1, false).await? <= URGENT_START_LIMIT);
    Ok(())
}

/// Guards against a guarantee that is met late because of checkpoints and many borrowing gangs.
#[tokio::test(flavor = "multi_thread")]
async fn reclaim_from_many_borrowers() -> Result<()> {
    assert!(reclaim(8, true).await? <= URGENT_START_LIMIT);
    Ok(())
}

/// Guards against a draining agent that accepts new work, aborts work in progress or does not exit.
#[tokio::test(flavor = "multi_thread")]
async fn drain_agent_under_load() -> Result<()> {
    let (mut deployment, _) = start(3).await?;
    // The first requests keep every endpoint busy for longer than `DRAIN_NOTICE_TIMEOUT`.
    let load = LoadGenerator::start(&deployment.entry_urls, 24, |number| {
        let submission = match number {
            0..12 => request(json!({"run_ms": 8000})),
            _ if number % 4 == 0 => gang(4, json!({"run_ms": 300})),
            _ => request(json!({"run_ms": 50})),
        };
        with_idempotency_key(submission, number)
    })?;
    wait_until(
        "requests run at the draining endpoint",
        WAIT_TIMEOUT,
        async || deployment.runs_at(0).await.is_ok_and(|runs| runs.len() > 5),
    )
    .await?;
    deployment.signal("agent-0", "TERM")?;
    tokio::time::sleep(DRAIN_NOTICE_TIMEOUT).await;
    let runs_after_drain = deployment.runs_at(0).await?;
    let status = deployment
        .process_mut("agent-0")?
        .wait(Duration::from_secs(10))
        .await;
    assert_eq!(
        deployment.runs_at(0).await?,
        runs_after_drain,
        "the endpoint received new work"
    );
    let completed = load.finish().await;
    assert!(status?.success(), "the agent did not exit with code 0");
    let summary = OutcomeSummary::new(&completed, &deployment.runs().await?);
    println!("agent drain: {summary}");
    assert!(summary.is_consistent(), "{summary:?}");
    assert_eq!(
        summary.answered,
        completed.len(),
        "requests were not answered: {summary}"
    );
    Ok(())
}
