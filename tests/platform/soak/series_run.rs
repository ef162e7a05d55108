//! Run of a seed with series of faults.

use std::time::{Duration, Instant};

use platform_standin::{Deployment, Result};

use super::configuration_changes::ConfigurationChanges;
use super::jobs::Submissions;
use super::series::Series;
use super::worker_faults::WorkerFaults;

/// Duration of the calm after the faults in which jobs are submitted and the configuration changes.
const CALM_SECONDS: u64 = 12;
/// Interval between probes of an entry.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);
/// The same with series of faults, for each worker: leaves more than half of the fleet free most of the time.
const SUBMISSION_INTERVAL_OF_WORKER_MS: std::ops::Range<u64> = 2_400..7_200;

/// Returns when jobs are submitted beside series of faults. Only even seeds have jobs that crash their workers, because
/// no time with such a crash is calm.
pub(super) fn series_submissions(seed: u64, workers: u64, faults_end: Instant) -> Submissions {
    let of_worker = SUBMISSION_INTERVAL_OF_WORKER_MS;
    Submissions {
        interval_ms: of_worker.start / workers..of_worker.end / workers,
        crashes_end: if seed.is_multiple_of(2) {
            faults_end
        } else {
            Instant::now()
        },
        end: faults_end + Duration::from_secs(CALM_SECONDS),
    }
}

/// Injects the series of faults of a seed until `end`, and changes the configuration until `changes_end`.
pub(super) async fn play_series(
    deployment: &mut Deployment,
    seed: u64,
    end: Instant,
    changes_end: Instant,
) -> Result<()> {
    let prober = deployment.probe_configuration(PROBE_INTERVAL)?;
    let mut changes = ConfigurationChanges::new(seed);
    let mut series = Series::new(seed);
    let mut worker_faults = WorkerFaults::new(seed, deployment.workers.len());
    while Instant::now() < end {
        let next_at = changes.next_at.min(series.next_at);
        tokio::time::sleep_until(next_at.min(worker_faults.next_at).into()).await;
        changes.advance(&deployment.operator);
        series.advance(deployment).await?;
        if let Some(until) = series.calm_until() {
            worker_faults.pause_until(until);
        }
        worker_faults.advance(deployment).await?;
    }
    series.end(deployment).await?;
    worker_faults.end(deployment);
    series.inject_last_fault(deployment).await?;
    while Instant::now() < changes_end {
        tokio::time::sleep_until(changes.next_at.into()).await;
        changes.advance(&deployment.operator);
        // Jobs submitted before the calm may still crash workers.
        deployment.restart_crashed_workers().await?;
    }
    drop(prober);
    deployment.restore_machines().await
}
