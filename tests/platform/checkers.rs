//! The checkers of the stand-in find what they are for, and excuse what the faults explain.

use std::time::Duration;

use platform_standin::TaskBody;
use platform_standin::{Client, Deployment, ProxyMode, Result, RoutePolicy, StoreFaults, Target};

use crate::start_deployment;

const ENTRIES: usize = 2;
const AGENTS: usize = 2;
const PROBE_INTERVAL: Duration = Duration::from_millis(100);
/// Longer than the time to apply a configuration, and than the calm and the time for which a job may stand.
const CHECKED_TIME: Duration = Duration::from_secs(9);

/// Adds a route to the latest version; returns the version.
fn add_route(deployment: &Deployment, written: bool) -> u64 {
    let mut configuration = deployment.operator.latest();
    configuration.version += 7;
    let policy = RoutePolicy::with_priority(1);
    configuration.routes.insert("added".into(), policy);
    let version = configuration.version;
    if written {
        deployment.operator.publish(configuration);
    } else {
        deployment.operator.confirm_unwritten(configuration);
    }
    version
}

/// Guards against a checker of configurations that reports entries that serve by the latest version.
#[tokio::test(flavor = "multi_thread")]
async fn configuration_checker_with_prompt_entries_reports_nothing() -> Result<()> {
    let name = "configuration_checker_with_prompt_entries_reports_nothing";
    let deployment = start_deployment(name, ENTRIES, AGENTS).await?;
    let _prober = deployment.probe_configuration(PROBE_INTERVAL)?;
    add_route(&deployment, true);
    tokio::time::sleep(CHECKED_TIME).await;
    assert_eq!(deployment.checker.violations(), Vec::<String>::new());
    Ok(())
}

/// Guards against a checker of configurations that does not see entries that serve by an older version, and against one
/// that reports an entry that is cut off from the store.
#[tokio::test(flavor = "multi_thread")]
async fn configuration_checker_with_unwritten_version_reports_entries_in_touch() -> Result<()> {
    let name = "configuration_checker_with_unwritten_version_reports_entries_in_touch";
    let deployment = start_deployment(name, ENTRIES, AGENTS).await?;
    let _prober = deployment.probe_configuration(PROBE_INTERVAL)?;
    let proxy = deployment.store_proxy(Target::Entry(1));
    proxy.set_mode(ProxyMode::Silent);
    let version = add_route(&deployment, false);
    tokio::time::sleep(CHECKED_TIME).await;
    let violations = deployment.checker.violations();
    let outdated = format!("outdated: due is version {version}");
    assert!(!violations.is_empty());
    for violation in &violations {
        assert!(violation.starts_with("entry 0 "), "{violation}");
        assert!(violation.ends_with(&outdated), "{violation}");
    }
    Ok(())
}

/// Guards against a checker that does not see that a process serves by an older version than before.
#[tokio::test(flavor = "multi_thread")]
async fn configuration_checker_with_removed_route_reports_regression() -> Result<()> {
    let name = "configuration_checker_with_removed_route_reports_regression";
    let deployment = start_deployment(name, ENTRIES, AGENTS).await?;
    let _prober = deployment.probe_configuration(PROBE_INTERVAL)?;
    add_route(&deployment, true);
    tokio::time::sleep(CHECKED_TIME / 4).await;
    // The stand-in takes the versions that follow for ones that still have the route; the entries drop it.
    let mut without_route = deployment.operator.latest();
    let with_route = without_route.clone();
    without_route.routes.shift_remove("added");
    without_route.version += 1;
    deployment.operator.publish(without_route.clone());
    deployment
        .operator
        .replace_latest(with_route, without_route.version);
    tokio::time::sleep(CHECKED_TIME / 4).await;
    let violations = deployment.checker.violations();
    assert!(!violations.is_empty());
    for violation in &violations {
        assert!(violation.contains("regression"), "{violation}");
    }
    Ok(())
}

fn job() -> serde_json::Value {
    Client::job(
        1,
        2,
        &TaskBody {
            run_ms: 100,
            gpu: 1,
            ..TaskBody::default()
        },
    )
}

/// Guards against a checker that does not see a job that stands in calm.
#[tokio::test(flavor = "multi_thread")]
async fn standing_checker_with_unknown_job_reports_it() -> Result<()> {
    let name = "standing_checker_with_unknown_job_reports_it";
    let deployment = start_deployment(name, ENTRIES, AGENTS).await?;
    let _watch = deployment.watch_for_standing_jobs();
    let id = "00000000000000c1";
    deployment.record_accepted(id, &job());
    tokio::time::sleep(CHECKED_TIME).await;
    let violations = deployment.checker.violations();
    assert_eq!(violations.len(), 1, "{violations:?}");
    assert!(violations[0].starts_with(id), "{violations:?}");
    Ok(())
}

/// Guards against a checker that reports jobs that stand beside a fault.
#[tokio::test(flavor = "multi_thread")]
async fn standing_checker_beside_fault_reports_nothing() -> Result<()> {
    let name = "standing_checker_beside_fault_reports_nothing";
    let deployment = start_deployment(name, ENTRIES, AGENTS).await?;
    let _watch = deployment.watch_for_standing_jobs();
    deployment.record_accepted("00000000000000c2", &job());
    let delay = Duration::from_millis(100);
    deployment.store.set_faults(StoreFaults {
        delay,
        ..StoreFaults::default()
    });
    tokio::time::sleep(CHECKED_TIME).await;
    assert_eq!(deployment.checker.violations(), Vec::<String>::new());
    Ok(())
}
