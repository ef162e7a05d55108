//! The evacuation of a data centre while processes are lost.

use std::time::{Duration, Instant};

use platform_standin::{
    Client, DATA_CENTRES, Deployment, EVACUATION_BOUND, Result, Target, TaskBody,
};
use serde_json::json;

use crate::start_deployment;

const ENTRIES: usize = 3;
const AGENTS: usize = 4;
/// Time for which the evacuation is watched once it has to be in effect.
const WATCHED: Duration = Duration::from_secs(4);
/// Time in which an evacuated data centre is used again.
const RETURN_TIMEOUT: Duration = Duration::from_secs(20);
/// Interval between the submitted jobs, which keep all workers in use.
const SUBMIT_INTERVAL: Duration = Duration::from_millis(100);

fn evacuation_key() -> String {
    format!("op/evacuate/{}", DATA_CENTRES[1])
}

/// Returns whether a worker is in the data centre that is evacuated.
fn is_evacuated(worker: &str) -> bool {
    let index = worker.rsplit('-').next().and_then(|text| text.parse().ok());
    index.is_some_and(|index: usize| index % DATA_CENTRES.len() == 1)
}

/// Returns the number of starts in and out of the evacuated data centre within a time.
fn starts_between(deployment: &Deployment, from: Instant, to: Instant) -> (usize, usize) {
    let runs = deployment.checker.runs();
    let started = runs
        .iter()
        .filter(|run| run.started_at >= from && run.started_at < to);
    let (inside, outside): (Vec<_>, Vec<_>) = started.partition(|run| is_evacuated(&run.worker));
    (inside.len(), outside.len())
}

/// Submits jobs of eight short tasks until the deployment ends.
fn submit_continuously(client: Client) -> tokio::task::JoinHandle<()> {
    let body = TaskBody {
        run_ms: 300,
        gpu: 1,
        ..TaskBody::default()
    };
    tokio::spawn(async move {
        for id in 0xf000_u64.. {
            client
                .submit("batch", &format!("{id:016x}"), &Client::job(1, 8, &body))
                .await;
            tokio::time::sleep(SUBMIT_INTERVAL).await;
        }
    })
}

/// Stores an evacuation, disturbs the processes, and checks the starts in its data centre; then takes it back.
async fn check(name: &str, disturb: impl AsyncFnOnce(&mut Deployment) -> Result<()>) -> Result<()> {
    let mut deployment = start_deployment(name, ENTRIES, AGENTS).await?;
    let submitting = submit_continuously(deployment.client()?);
    let began_at = Instant::now();
    while starts_between(&deployment, began_at, Instant::now()).0 == 0 {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    deployment.store.put(&evacuation_key(), &json!({}));
    let effective_at = Instant::now() + EVACUATION_BOUND;
    disturb(&mut deployment).await?;
    tokio::time::sleep_until((effective_at + WATCHED).into()).await;
    let withdrawn_at = Instant::now();
    let (inside, outside) = starts_between(&deployment, effective_at, withdrawn_at);
    deployment.store.remove(&evacuation_key());
    let is_used = || starts_between(&deployment, withdrawn_at, Instant::now()).0 > 0;
    while !is_used() && withdrawn_at.elapsed() < RETURN_TIMEOUT {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    submitting.abort();
    assert_eq!(inside, 0, "starts in the evacuated data centre");
    assert!(outside > 0, "the other data centre is used");
    assert!(is_used(), "the data centre is used again");
    assert_eq!(deployment.checker.violations(), Vec::<String>::new());
    Ok(())
}

/// Guards against starts in an evacuated data centre, and against one that stays unused afterwards.
#[tokio::test(flavor = "multi_thread")]
async fn evacuation_is_in_effect_within_bound() -> Result<()> {
    check("evacuation", async |_| Ok(())).await
}

/// Guards against a new owner that does not know of an evacuation which the lost one had not applied.
#[tokio::test(flavor = "multi_thread")]
async fn evacuation_holds_after_loss_of_owner() -> Result<()> {
    check("evacuation-owner", async |deployment| {
        let owner = deployment.last_ownership()?.entry;
        deployment.kill(owner);
        tokio::time::sleep(Duration::from_secs(1)).await;
        deployment.launch(owner)
    })
    .await
}

/// Guards against an agent that carries out orders from before the evacuation after a pause, or after its own restart.
#[tokio::test(flavor = "multi_thread")]
async fn evacuation_holds_after_pause_of_agent() -> Result<()> {
    check("evacuation-agent", async |deployment| {
        deployment.signal(Target::Agent(1), "STOP")?;
        deployment.launch(Target::Agent(3))?;
        tokio::time::sleep(EVACUATION_BOUND + Duration::from_millis(500)).await;
        deployment.signal(Target::Agent(1), "CONT")
    })
    .await
}

/// Guards against an owner that starts tasks while it cannot learn of an evacuation, because the store answers nothing.
#[tokio::test(flavor = "multi_thread")]
async fn evacuation_holds_after_silence_of_store() -> Result<()> {
    check("evacuation-store", async |deployment| {
        let silent = platform_standin::StoreFaults {
            silent: true,
            ..platform_standin::StoreFaults::default()
        };
        deployment.store.set_faults(silent);
        tokio::time::sleep(EVACUATION_BOUND).await;
        deployment
            .store
            .set_faults(platform_standin::StoreFaults::default());
        Ok(())
    })
    .await
}
