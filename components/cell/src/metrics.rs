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
    /// Version of the configuration by which this process handles requests.
    pub configuration_version: IntGauge,
    /// Seconds since a source was last asked for a newer configuration and answered, by source; -1 if it never did.
    pub configuration_confirmed: GaugeVec,
    /// Events of the configuration by name.
    pub configuration: IntCounterVec,
    /// Time from the start of an owner to the end of its recovery in seconds.
    pub recovery_seconds: Histogram,
    /// Time that starts wait for the records of their placements in seconds.
    pub record_seconds: Histogram,
}

impl Metrics {
    /// Creates and registers all metrics.
    pub fn new() -> prometheus::Result<Self> {
        let registrar = Registrar(Registry::new());
        Ok(Self {
            configuration_version: registrar.gauge(
                "limpethook_configuration_version",
                "Version of the configuration in force",
            )?,
            configuration_confirmed: registrar.gauges(
                "limpethook_configuration_confirmed_age_seconds",
                "Time since a source was asked for a newer configuration and answered",
                "source",
            )?,
            configuration: registrar.counters(
                "limpethook_configuration_events_total",
                "Events of the configuration",
                &["event"],
            )?,
            recovery_seconds: registrar.histogram(
                "limpethook_recovery_seconds",
                "Time from the start of an owner to the end of its recovery",
            )?,
            record_seconds: registrar.histogram(
                "limpethook_placement_record_seconds",
                "Time that starts wait for the records of their placements",
            )?,
            requests: registrar.counters(
                "limpethook_job_requests_total",
                "Requests of clients about jobs",
                &["call", "outcome"],
            )?,
            dependencies: registrar.counters(
                "limpethook_dependency_changes_total",
                "Lost and regained dependencies",
                &["dependency", "change"],
            )?,
            owner: registrar.counters(
                "limpethook_owner_events_total",
                "Events of the owner",
                &["event"],
            )?,
            worker_crashes: registrar.counters(
                "limpethook_worker_crashes_total",
                "Crashes of workers",
                &["suspects"],
            )?,
            runs_removed: registrar.counters(
                "limpethook_runs_removed_total",
                "Runs taken for ended without a report of their end",
                &["reason"],
            )?,
            submit_seconds: registrar.histogram(
                "limpethook_job_submit_seconds",
                "Time from a submission to its answer",
            )?,
            start_seconds: registrar.histogram(
                "limpethook_job_start_seconds",
                "Time from the acceptance of a job to its first running task",
            )?,
            registry: registrar.0,
        })
    }
}

/// Gauges of one ownership. They are served only while it lasts, and each only once its value is known, because a 0 would say
/// that nothing waits or runs.
#[derive(Debug, Clone)]
pub struct OwnerMetrics {
    /// Registry that holds the metrics.
    pub registry: Registry,
    /// Jobs that have waited for at least a second by reason.
    pub waiting_jobs: IntGaugeVec,
    /// The longest of these waits in seconds by reason.
    pub longest_wait: GaugeVec,
    /// Workers by class of their learned speed.
    pub worker_speeds: IntGaugeVec,
    /// Number of jobs that the owner does not place before recovery has ended for them.
    pub recovering_jobs: IntGauge,
    /// Number of workers in evacuated data centres, without labels.
    pub evacuated_workers: IntGaugeVec,
    /// Guaranteed accelerators beyond those that evacuations leave, without labels.
    pub missing_guarantees: IntGaugeVec,
    /// Memory that the jobs take by the account of the owner.
    pub job_bytes: IntGauge,
}

impl OwnerMetrics {
    /// Creates and registers all metrics.
    pub(crate) fn new() -> prometheus::Result<Self> {
        let registrar = Registrar(Registry::new());
        Ok(Self {
            waiting_jobs: registrar.int_gauges(
                "limpethook_waiting_jobs",
                "Jobs that have waited for at least a second",
                &["reason"],
            )?,
            longest_wait: registrar.gauges(
                "limpethook_longest_wait_seconds",
                "Longest wait of a job that has waited for at least a second",
                "reason",
            )?,
            worker_speeds: registrar.int_gauges(
                "limpethook_worker_speeds",
                "Workers by class of their learned speed",
                &["class"],
            )?,
            recovering_jobs: registrar.gauge(
                "limpethook_recovering_jobs",
                "Jobs that are not placed before recovery has ended for them",
            )?,
            evacuated_workers: registrar.int_gauges(
                "limpethook_evacuated_workers",
                "Workers in evacuated data centres",
                &[],
            )?,
            missing_guarantees: registrar.int_gauges(
                "limpethook_evacuated_guaranteed_accelerators",
                "Guaranteed accelerators beyond those that evacuations leave",
                &[],
            )?,
            job_bytes: registrar.gauge(
                "limpethook_job_bytes",
                "Memory that the jobs of the owner take",
            )?,
            registry: registrar.0,
        })
    }
}

/// Creates metrics and registers them.
struct Registrar(Registry);

impl Registrar {
    fn counters(
        &self,
        name: &str,
        help: &str,
        labels: &[&str],
    ) -> prometheus::Result<IntCounterVec> {
        let counters = IntCounterVec::new(Opts::new(name, help), labels)?;
        self.0.register(Box::new(counters.clone()))?;
        Ok(counters)
    }

    fn histogram(&self, name: &str, help: &str) -> prometheus::Result<Histogram> {
        let opts = HistogramOpts::new(name, help).buckets(LATENCY_BUCKETS.to_vec());
        let histogram = Histogram::with_opts(opts)?;
        self.0.register(Box::new(histogram.clone()))?;
        Ok(histogram)
    }

    fn gauge(&self, name: &str, help: &str) -> prometheus::Result<IntGauge> {
        let gauge = IntGauge::new(name, help)?;
        self.0.register(Box::new(gauge.clone()))?;
        Ok(gauge)
    }

    fn gauges(&self, name: &str, help: &str, label: &str) -> prometheus::Result<GaugeVec> {
        let gauges = GaugeVec::new(Opts::new(name, help), &[label])?;
        self.0.register(Box::new(gauges.clone()))?;
        Ok(gauges)
    }

    fn int_gauges(
        &self,
        name: &str,
        help: &str,
        labels: &[&str],
    ) -> prometheus::Result<IntGaugeVec> {
        let gauges = IntGaugeVec::new(Opts::new(name, help), labels)?;
        self.0.register(Box::new(gauges.clone()))?;
        Ok(gauges)
    }
}
