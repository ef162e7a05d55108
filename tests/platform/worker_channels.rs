//! Faults of the channels between an agent and its healthy worker.

use std::time::Duration;

use platform_standin::{ProxyMode, Result};

use crate::other_senders::{check_single_runs, start_tasks};
use crate::start_deployment;

/// Duration of a fault; shorter than a lease.
const FAULT_TIME: Duration = Duration::from_millis(1_500);
/// Duration of a reset that only closes the connections of the moment.
const RESET_TIME: Duration = Duration::from_millis(50);

/// Puts the channels of a worker into a mode beside running tasks.
async fn run_beside(name: &str, mode: ProxyMode, lasts: Duration) -> Result<()> {
    let deployment = start_deployment(name, 2, 2).await?;
    let id = "00000000000000f0";
    let client = start_tasks(&deployment, id).await?;
    deployment.worker_proxies[0].set_mode(mode);
    tokio::time::sleep(lasts).await;
    deployment.worker_proxies[0].set_mode(ProxyMode::Pass);
    check_single_runs(&deployment, &client, id).await;
    Ok(())
}

/// Guards against tasks that run twice after the connections to their worker were reset once.
#[tokio::test(flavor = "multi_thread")]
async fn reset_once_keeps_runs() -> Result<()> {
    run_beside("reset_once_keeps_runs", ProxyMode::Reset, RESET_TIME).await
}

/// Guards against tasks that run twice while each connection to their worker is reset.
#[tokio::test(flavor = "multi_thread")]
async fn reset_keeps_runs() -> Result<()> {
    run_beside("reset_keeps_runs", ProxyMode::Reset, FAULT_TIME).await
}

/// Guards against tasks that run twice while connections to their healthy worker are refused.
#[tokio::test(flavor = "multi_thread")]
async fn refuse_keeps_runs() -> Result<()> {
    run_beside("refuse_keeps_runs", ProxyMode::Refuse, FAULT_TIME).await
}

/// Guards against tasks that run twice while their worker receives calls whose answers are lost.
#[tokio::test(flavor = "multi_thread")]
async fn cut_one_way_keeps_runs() -> Result<()> {
    run_beside("cut_one_way_keeps_runs", ProxyMode::OneWay, FAULT_TIME).await
}

/// Guards against tasks that run twice after a restarted agent found the connections to its worker refused while the owner
/// changed: the new owner took that for the end of the worker.
#[tokio::test(flavor = "multi_thread")]
async fn refuse_beside_agent_restart_and_new_owner_keeps_runs() -> Result<()> {
    let name = "refuse_beside_agent_restart_and_new_owner_keeps_runs";
    let mut deployment = start_deployment(name, 2, 2).await?;
    let id = "00000000000000f0";
    let client = start_tasks(&deployment, id).await?;
    deployment.kill(platform_standin::Target::Agent(0));
    deployment.worker_proxies[0].set_mode(ProxyMode::Refuse);
    for index in 0..2 {
        deployment.kill(platform_standin::Target::Entry(index));
    }
    for index in 0..2 {
        deployment.launch(platform_standin::Target::Entry(index))?;
    }
    deployment.launch(platform_standin::Target::Agent(0))?;
    tokio::time::sleep(FAULT_TIME).await;
    deployment.worker_proxies[0].set_mode(ProxyMode::Pass);
    check_single_runs(&deployment, &client, id).await;
    Ok(())
}
