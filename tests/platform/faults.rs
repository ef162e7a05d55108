//! Single faults: what the design answers to each.

use std::time::Duration;

use platform_standin::{Client, ProxyMode, Result, StoreFaults, Target, TaskBody};

use crate::system;

const LIMIT: Duration = Duration::from_secs(30);

fn tasks(ms: u64) -> TaskBody {
    TaskBody {
        run_ms: ms,
        gpu: 1,
        ..TaskBody::default()
    }
}

/// Guards against an acceptance that is not stored, and a refusal of what may be stored.
#[tokio::test(flavor = "multi_thread")]
async fn submit_with_lost_answers_runs_once() -> Result<()> {
    let system = system("submit_with_lost_answers_runs_once", 2, 2).await?;
    let client = system.client()?;
    system.store.set_faults(StoreFaults {
        drop_responses: 0.5,
        ..StoreFaults::default()
    });
    let mut outcomes = Vec::new();
    for number in 0..6 {
        let id = format!("{:016x}", 0xf100 + number);
        let body = Client::job(1, 1, &tasks(50));
        let (accepted, refused) = client.submit("batch", &id, &body).await;
        outcomes.push((id, accepted, refused));
    }
    system.store.set_faults(StoreFaults::default());
    for (id, accepted, refused) in outcomes {
        if accepted {
            assert_eq!(client.outcome("batch", &id, LIMIT).await, "completed");
        }
        assert!(
            !refused || !system.checker.has_started(&id),
            "{id} was refused"
        );
    }
    assert_eq!(system.checker.violations(), Vec::<String>::new());
    Ok(())
}

/// Guards against work that is lost or doubled when every process is killed at once.
#[tokio::test(flavor = "multi_thread")]
async fn kill_of_all_processes_keeps_runs() -> Result<()> {
    let mut system = system("kill_of_all_processes_keeps_runs", 2, 2).await?;
    let client = system.client()?;
    let id = "00000000000000f2";
    let body = Client::job(1, 4, &tasks(3_000));
    assert!(client.submit("batch", id, &body).await.0);
    tokio::time::sleep(Duration::from_millis(800)).await;
    for target in system.targets() {
        system.kill(target);
    }
    for target in system.targets() {
        system.launch(target)?;
    }
    assert_eq!(client.outcome("batch", id, LIMIT).await, "completed");
    assert_eq!(system.checker.start_count(), 4);
    assert_eq!(system.checker.violations(), Vec::<String>::new());
    Ok(())
}

/// Guards against two owners: a paused one that goes on after another took over.
#[tokio::test(flavor = "multi_thread")]
async fn pause_of_each_entry_keeps_one_owner() -> Result<()> {
    let mut system = system("pause_of_each_entry_keeps_one_owner", 2, 2).await?;
    let client = system.client()?;
    for index in 0..2 {
        let id = format!("{:016x}", 0xf300 + index);
        let body = Client::job(2, 4, &tasks(1_500));
        assert!(client.submit("batch", &id, &body).await.0);
        tokio::time::sleep(Duration::from_millis(500)).await;
        system.signal(Target::Entry(index), "STOP")?;
        tokio::time::sleep(Duration::from_millis(3_500)).await;
        system.signal(Target::Entry(index), "CONT")?;
        assert_eq!(client.outcome("batch", &id, LIMIT).await, "completed");
    }
    assert_eq!(system.checker.violations(), Vec::<String>::new());
    Ok(())
}

/// Guards against a second run of a task whose start is carried out late.
#[tokio::test(flavor = "multi_thread")]
async fn start_carried_out_late_runs_once() -> Result<()> {
    let system = system("start_carried_out_late_runs_once", 1, 2).await?;
    let client = system.client()?;
    for worker in &system.workers {
        worker.delay_orders(0.5);
    }
    let id = "00000000000000f4";
    let body = Client::job(1, 8, &tasks(300));
    assert!(client.submit("batch", id, &body).await.0);
    assert_eq!(client.outcome("batch", id, LIMIT).await, "completed");
    tokio::time::sleep(Duration::from_secs(6)).await;
    assert_eq!(system.checker.violations(), Vec::<String>::new());
    Ok(())
}

/// Guards against a task that starts again because its first start, whose answer was lost, has already ended: the worker
/// refuses the repeat as outdated. Found by faro-lente scale-1 with seed 791961278072.
#[tokio::test(flavor = "multi_thread")]
async fn start_with_lost_answer_runs_once() -> Result<()> {
    let system = system("start_with_lost_answer_runs_once", 1, 2).await?;
    let client = system.client()?;
    for worker in &system.workers {
        worker.drop_responses(0.6);
    }
    let id = "00000000000000f9";
    let body = Client::job(1, 16, &tasks(50));
    assert!(client.submit("batch", id, &body).await.0);
    assert_eq!(client.outcome("batch", id, LIMIT).await, "completed");
    assert_eq!(system.checker.start_count(), 16);
    assert_eq!(system.checker.violations(), Vec::<String>::new());
    Ok(())
}

/// Guards against running work that ends with an outage of the store.
#[tokio::test(flavor = "multi_thread")]
async fn outage_of_store_keeps_runs() -> Result<()> {
    let system = system("outage_of_store_keeps_runs", 2, 2).await?;
    let client = system.client()?;
    let id = "00000000000000f5";
    let body = Client::job(1, 4, &tasks(7_000));
    assert!(client.submit("batch", id, &body).await.0);
    tokio::time::sleep(Duration::from_millis(500)).await;
    system.store.set_faults(StoreFaults {
        silent: true,
        ..StoreFaults::default()
    });
    tokio::time::sleep(Duration::from_secs(5)).await;
    system.store.set_faults(StoreFaults::default());
    assert_eq!(client.outcome("batch", id, LIMIT).await, "completed");
    assert_eq!(system.checker.start_count(), 4);
    assert_eq!(system.checker.violations(), Vec::<String>::new());
    Ok(())
}

/// Guards against an owner that the store turns away and that keeps the others from taking over.
#[tokio::test(flavor = "multi_thread")]
async fn owner_refused_by_store_is_replaced() -> Result<()> {
    let system = system("owner_refused_by_store_is_replaced", 3, 2).await?;
    let client = system.client()?;
    for index in 0..3 {
        system
            .store_proxy(Target::Entry(index))
            .set_mode(ProxyMode::Reset);
        tokio::time::sleep(Duration::from_secs(3)).await;
        let id = format!("{:016x}", 0xf600 + index);
        let body = Client::job(1, 2, &tasks(100));
        assert!(
            client.submit("batch", &id, &body).await.0,
            "entry {index} is cut off"
        );
        assert_eq!(client.outcome("batch", &id, LIMIT).await, "completed");
        system
            .store_proxy(Target::Entry(index))
            .set_mode(ProxyMode::Pass);
        tokio::time::sleep(Duration::from_secs(1)).await;
    }
    assert_eq!(system.checker.violations(), Vec::<String>::new());
    Ok(())
}

/// Guards against an owner that takes a refused connection for the end of its lease: it stepped down while its record kept the
/// others out until the lease had lapsed. Found on faro-lente-grown, inc-7b79: 1.5 s without an owner.
#[tokio::test(flavor = "multi_thread")]
async fn owner_outlives_refused_connections() -> Result<()> {
    let name = "owner_outlives_refused_connections";
    let system = system(name, 2, 2).await?;
    let client = system.client()?;
    let body = Client::job(1, 2, &tasks(100));
    assert!(client.submit("batch", "00000000000000f9", &body).await.0);
    let paths = [0, 1].map(|index| system.store_proxy(Target::Entry(index)));
    for path in &paths {
        path.set_mode(ProxyMode::Refuse);
    }
    tokio::time::sleep(Duration::from_millis(900)).await;
    for path in &paths {
        path.set_mode(ProxyMode::Pass);
    }
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    let logs = [0, 1].map(|index| system.log(Target::Entry(index)));
    let mut failed = 0;
    for log in logs {
        let log = log?;
        assert!(!log.contains("event=ownership_ends"), "{log}");
        failed += log.matches("event=renewal_failed").count();
    }
    assert!(failed > 0, "no renewal met a refused connection");
    Ok(())
}

/// Guards against a submission that waits for an entry that is gone although the store answers again. Found on faro-lente
/// trouble-3, seed 4: 504 after 1.1 s, 0.6 s after the return of the store.
#[tokio::test(flavor = "multi_thread")]
async fn submit_after_outage_uses_returned_store() -> Result<()> {
    let name = "submit_after_outage_uses_returned_store";
    let mut system = system(name, 2, 1).await?;
    let client = system.client()?;
    let body = Client::job(1, 1, &tasks(50));
    assert!(client.submit("batch", "00000000000000fa", &body).await.0);
    let path = system.store_proxy(Target::Entry(0)).clone();
    path.set_mode(ProxyMode::Refuse);
    let lost = "dependency=store change=lost";
    while !system.log(Target::Entry(0))?.contains(lost) {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    system.signal(Target::Entry(1), "STOP")?;
    path.set_mode(ProxyMode::Pass);
    let job = "/batch/00000000000000fb";
    let answer = client
        .call(0, reqwest::Method::POST, job, Some(&body))
        .await;
    system.signal(Target::Entry(1), "CONT")?;
    let status = answer.map(|(status, _)| status);
    assert_eq!(status, Some(reqwest::StatusCode::OK));
    Ok(())
}

/// Guards against a shutdown that leaves the cell without an owner until the lease lapses.
#[tokio::test(flavor = "multi_thread")]
async fn term_of_each_entry_hands_over() -> Result<()> {
    let mut system = system("term_of_each_entry_hands_over", 2, 1).await?;
    let client = system.client()?;
    for index in 0..2 {
        let target = Target::Entry(index);
        system.signal(target, "TERM")?;
        tokio::time::sleep(Duration::from_millis(700)).await;
        let id = format!("{:016x}", 0xf700 + index);
        let body = Client::job(1, 1, &tasks(50));
        assert!(client.submit("batch", &id, &body).await.0);
        let outcome = client.outcome("batch", &id, Duration::from_secs(3)).await;
        assert_eq!(outcome, "completed");
        system.wait(target, Duration::from_secs(8)).await?;
        system.launch(target)?;
        tokio::time::sleep(Duration::from_millis(1_500)).await;
    }
    Ok(())
}

/// Guards against waiting for the lease of a worker that has begun another life.
#[tokio::test(flavor = "multi_thread")]
async fn crash_of_worker_restarts_its_tasks() -> Result<()> {
    let mut system = system("crash_of_worker_restarts_its_tasks", 1, 1).await?;
    let client = system.client()?;
    let id = "00000000000000f8";
    let body = Client::job(1, 2, &tasks(1_000));
    assert!(client.submit("batch", id, &body).await.0);
    tokio::time::sleep(Duration::from_millis(500)).await;
    system.restart_worker(0).await?;
    assert_eq!(
        client.outcome("batch", id, Duration::from_secs(5)).await,
        "completed"
    );
    assert_eq!(system.checker.start_count(), 4);
    assert_eq!(system.checker.violations(), Vec::<String>::new());
    Ok(())
}
