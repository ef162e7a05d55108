//! Metrics of an entry.

use prometheus::{
    GaugeVec, Histogram, HistogramOpts, IntCounterVec, IntGauge, IntGaugeVec, Opts, Registry,
};

/// Upper bounds of the latency buckets in seconds.
const LATENCY_BUCKETS: [f64; 12] = [
    0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0, 30.0,
];

/// Counters and latency histograms of an entry.
#[derive(Debug, Clone)]
pub struct Metrics {
    /// Registry that holds the metrics.
    pub registry: Registry,
    /// Client requests by call and outcome.
    pub requests: IntCounterVec,
    /// Time from the arrival of a submission to its answer in seconds.
    pub submit_seconds: Histogram,
    /// Lost and regained dependencies of this process by name and direction.
    pub dependencies: IntCounterVec,
    /// Events of the owner by name.
    pub owner: IntCounterVec,
    /// Time from the acceptance of a job to its first running task in seconds.
    pub start_seconds: Histogram,
    /// Crashes of workers by the number of units to which they point.
    pub worker_crashes: IntCounterVec,
    /// Runs that the owner took for ended without a report of their end, by what it took as proof.
    pub runs_removed: IntCounterVec,
    /// Decisions to stop, to spare or to defer work for which there was too little room, by reason.
    pub shortage_decisions: IntCounterVec,
    /// Jobs that have waited for at least a second by reason; 0 if this entry is not the owner.
    pub waiting_jobs: IntGaugeVec,
    /// The longest of these waits in seconds by reason.
    pub longest_wait: GaugeVec,
    /// Version of the configuration by which this process handles requests.
    pub configuration_version: IntGauge,
    /// Seconds since a source was last asked for a newer configuration and answered, by source; -1 if it never did.
    pub configuration_confirmed: GaugeVec,
    /// Events of the configuration by name.
    pub configuration: IntCounterVec,
    /// Number of jobs that the owner does not place before recovery has ended for them.
    pub recovering_jobs: IntGauge,
    /// Time from the start of an owner to the end of its recovery in seconds.
    pub recovery_seconds: Histogram,
    /// Time that starts wait for the records of their placements in seconds.
    pub record_seconds: Histogram,
}

impl Metrics {
    /// Creates and registers all metrics.
    pub fn new() -> prometheus::Result<Self> {
        let registry = Registry::new();
        let counters = |name: &str, help: &str, labels: &[&str]| {
            let counters = IntCounterVec::new(Opts::new(name, help), labels)?;
            registry.register(Box::new(counters.clone()))?;
            Ok::<_, prometheus::Error>(counters)
        };
        let histogram = |name: &str, help: &str| {
            let opts = HistogramOpts::new(name, help).buckets(LATENCY_BUCKETS.to_vec());
            let histogram = Histogram::with_opts(opts)?;
            registry.register(Box::new(histogram.clone()))?;
            Ok::<_, prometheus::Error>(histogram)
        };
        let gauge = |name: &str, help: &str| {
            let gauge = IntGauge::new(name, help)?;
            registry.register(Box::new(gauge.clone()))?;
            Ok::<_, prometheus::Error>(gauge)
        };
        let gauges = |name: &str, help: &str, label: &str| {
            let gauges = GaugeVec::new(Opts::new(name, help), &[label])?;
            registry.register(Box::new(gauges.clone()))?;
            Ok::<_, prometheus::Error>(gauges)
        };
        Ok(Self {
            waiting_jobs: waiting_jobs(&registry)?,
            longest_wait: gauges(
                "limpethook_longest_wait_seconds",
                "Longest wait of a job that has waited for at least a second",
                "reason",
            )?,
            configuration_version: gauge(
                "limpethook_configuration_version",
                "Version of the configuration in force",
            )?,
            configuration_confirmed: gauges(
                "limpethook_configuration_confirmed_age_seconds",
                "Time since a source was asked for a newer configuration and answered",
                "source",
            )?,
            configuration: counters(
                "limpethook_configuration_events_total",
                "Events of the configuration",
                &["event"],
            )?,
            recovering_jobs: gauge(
                "limpethook_recovering_jobs",
                "Jobs that are not placed before recovery has ended for them",
            )?,
            recovery_seconds: histogram(
                "limpethook_recovery_seconds",
                "Time from the start of an owner to the end of its recovery",
            )?,
            record_seconds: histogram(
                "limpethook_placement_record_seconds",
                "Time that starts wait for the records of their placements",
            )?,
            requests: counters(
                "limpethook_job_requests_total",
                "Requests of clients about jobs",
                &["call", "outcome"],
            )?,
            dependencies: counters(
                "limpethook_dependency_changes_total",
                "Lost and regained dependencies",
                &["dependency", "change"],
            )?,
            owner: counters(
                "limpethook_owner_events_total",
                "Events of the owner",
                &["event"],
            )?,
            worker_crashes: counters(
                "limpethook_worker_crashes_total",
                "Crashes of workers",
                &["suspects"],
            )?,
            runs_removed: counters(
                "limpethook_runs_removed_total",
                "Runs taken for ended without a report of their end",
                &["reason"],
            )?,
            shortage_decisions: counters(
                "limpethook_shortage_decisions_total",
                "Decisions about work for which there was too little room",
                &["reason"],
            )?,
            submit_seconds: histogram(
                "limpethook_job_submit_seconds",
                "Time from a submission to its answer",
            )?,
            start_seconds: histogram(
                "limpethook_job_start_seconds",
                "Time from the acceptance of a job to its first running task",
            )?,
            registry,
        })
    }
}

fn waiting_jobs(registry: &Registry) -> prometheus::Result<IntGaugeVec> {
    let waiting_jobs = IntGaugeVec::new(
        Opts::new(
            "limpethook_waiting_jobs",
            "Jobs that have waited for at least a second",
        ),
        &["reason"],
    )?;
    registry.register(Box::new(waiting_jobs.clone()))?;
    Ok(waiting_jobs)
}
