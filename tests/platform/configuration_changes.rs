//! Changes of the configuration beside single faults of the store and the paths to it (issue 38).

use std::time::Duration;

use platform_standin::{Deployment, Prober, ProxyMode, Result, RoutePolicy, StoreFaults, Target};

use crate::start_deployment;

const ENTRIES: usize = 3;
const AGENTS: usize = 1;
const PROBE_INTERVAL: Duration = Duration::from_millis(100);
/// Time from the start until the watches of all entries wait for changes.
const SETTLE_TIME: Duration = Duration::from_secs(5);
/// Time after a change in which the entries are probed; longer than the bound of 4 s.
const PROBED_TIME: Duration = Duration::from_secs(9);

async fn start(name: &str) -> Result<(Deployment, Prober)> {
    let deployment = start_deployment(name, ENTRIES, AGENTS).await?;
    let prober = deployment.probe_configuration(PROBE_INTERVAL)?;
    tokio::time::sleep(SETTLE_TIME).await;
    Ok((deployment, prober))
}

fn publish_route(deployment: &Deployment, name: &str) {
    let mut configuration = deployment.operator.latest();
    configuration.version += 3;
    let policy = RoutePolicy::with_priority(1);
    configuration.routes.insert(name.into(), policy);
    deployment.operator.publish(configuration);
}

/// Guards against a watch that moves past a change that it did not show, after which the change is never read.
#[tokio::test(flavor = "multi_thread")]
async fn change_hidden_from_watches_takes_effect() -> Result<()> {
    let (deployment, _prober) = start("change_hidden_from_watches_takes_effect").await?;
    let hide_events = true;
    deployment.store.set_faults(StoreFaults {
        hide_events,
        ..StoreFaults::default()
    });
    publish_route(&deployment, "added");
    tokio::time::sleep(Duration::from_millis(500)).await;
    deployment.store.set_faults(StoreFaults::default());
    tokio::time::sleep(PROBED_TIME).await;
    assert_eq!(deployment.checker.violations(), Vec::<String>::new());
    Ok(())
}

/// Guards against watches that fall silent at all entries at once, and are noticed later than a change has to be in
/// force.
#[tokio::test(flavor = "multi_thread")]
async fn change_after_stall_of_all_watches_takes_effect() -> Result<()> {
    let (deployment, _prober) = start("change_after_stall_of_all_watches_takes_effect").await?;
    for index in 0..ENTRIES {
        let proxy = deployment.store_proxy(Target::Entry(index));
        proxy.stall_open_connections();
    }
    publish_route(&deployment, "added");
    tokio::time::sleep(PROBED_TIME).await;
    assert_eq!(deployment.checker.violations(), Vec::<String>::new());
    Ok(())
}

/// Guards against an entry that starts while it is cut off from the store, and goes on serving by the version of a peer
/// that is behind.
#[tokio::test(flavor = "multi_thread")]
async fn change_before_start_beside_entry_behind_takes_effect() -> Result<()> {
    let (mut deployment, _prober) =
        start("change_before_start_beside_entry_behind_takes_effect").await?;
    for index in 0..ENTRIES {
        let proxy = deployment.store_proxy(Target::Entry(index));
        proxy.set_mode(ProxyMode::Silent);
    }
    publish_route(&deployment, "added");
    deployment.launch(Target::Entry(0))?;
    tokio::time::sleep(Duration::from_secs(2)).await;
    for index in 0..ENTRIES {
        let proxy = deployment.store_proxy(Target::Entry(index));
        proxy.set_mode(ProxyMode::Pass);
    }
    publish_route(&deployment, "second");
    tokio::time::sleep(PROBED_TIME).await;
    assert_eq!(deployment.checker.violations(), Vec::<String>::new());
    Ok(())
}
