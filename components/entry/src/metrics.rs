//! Prometheus metrics of the entry.

use errors::Result;
use prometheus::{Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, Opts, Registry};

use telemetry::LabelledGauge;

use crate::call::{Answered, Call};
use crate::context::Context;

/// Bucket bounds of the latency histogram, in seconds.
const LATENCY_BOUNDS: [f64; 10] = [
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.1, 0.5, 1.1, 10.0, 100.0,
];

/// The metrics of an entry and their registry.
#[derive(Debug)]
pub(crate) struct Metrics {
    registry: Registry,
    requests: IntCounterVec,
    retries: IntCounter,
    latency: Histogram,
    in_flight: IntGauge,
    config_revision: IntGauge,
    epoch: IntGauge,
    store_calls: LabelledGauge,
    datagrams: LabelledGauge,
    peer_bytes: LabelledGauge,
    cell_queued: LabelledGauge,
    cell_shortfalls: LabelledGauge,
    cell_quarantined: LabelledGauge,
}

impl Metrics {
    /// Registers all metrics.
    pub(crate) fn new() -> prometheus::Result<Self> {
        let registry = Registry::new_custom(Some("limpethook_entry".into()), None)?;
        let requests = IntCounterVec::new(
            Opts::new("requests_total", "Requests by verdict and error kind."),
            &["verdict", "kind"],
        )?;
        let retries = IntCounter::new("retries_total", "Further tries of requests.")?;
        let latency = Histogram::with_opts(
            HistogramOpts::new("request_seconds", "Time from receipt to answer.")
                .buckets(LATENCY_BOUNDS.to_vec()),
        )?;
        let in_flight = IntGauge::new("requests_in_flight", "Requests in progress.")?;
        let config_revision = IntGauge::new("config_revision", "Configuration revision in force.")?;
        let epoch = IntGauge::new(
            "owner_epoch",
            "Epoch of the owned cell, 0 if none is owned.",
        )?;
        registry.register(Box::new(requests.clone()))?;
        registry.register(Box::new(retries.clone()))?;
        registry.register(Box::new(latency.clone()))?;
        registry.register(Box::new(in_flight.clone()))?;
        registry.register(Box::new(config_revision.clone()))?;
        registry.register(Box::new(epoch.clone()))?;
        let labelled = |name, help, label| LabelledGauge::new(&registry, name, help, label);
        Ok(Self {
            store_calls: labelled("store_calls", "Calls of the key-value service.", "kind")?,
            datagrams: labelled("datagrams", "Datagrams by fate.", "fate")?,
            peer_bytes: labelled("peer_bytes", "Bytes on connections to peers.", "direction")?,
            cell_queued: labelled("cell_queued", "Jobs that wait for capacity.", "cell")?,
            cell_shortfalls: labelled(
                "cell_shortfalls",
                "Guarantees that cannot be reclaimed now.",
                "cell",
            )?,
            cell_quarantined: labelled("cell_quarantined", "Workers in quarantine.", "cell")?,
            registry,
            requests,
            retries,
            latency,
            in_flight,
            config_revision,
            epoch,
        })
    }

    /// Counts a request by its outcome, and records the latency if it was answered.
    pub(crate) fn count_request(&self, result: &Result<Call<Answered>>) {
        match result {
            Ok(call) => {
                self.requests.with_label_values(&["ran", "answered"]).inc();
                let elapsed = timer::now().saturating_duration_since(call.received);
                self.latency.observe(elapsed.as_secs_f64());
            }
            Err(report) => {
                let error = report.current_context();
                self.requests
                    .with_label_values(&[error.verdict.as_str(), error.kind.as_str()])
                    .inc();
            }
        }
    }

    /// Counts a retry of a request.
    pub(crate) fn count_retry(&self) {
        self.retries.inc();
    }

    /// Updates the gauges and returns all metrics in the Prometheus text format.
    pub(crate) fn text(&self, cx: &Context) -> String {
        self.in_flight.set(i64::from(
            cx.in_flight.load(std::sync::atomic::Ordering::Relaxed),
        ));
        self.config_revision
            .set(signed(cx.board.config.load().revision));
        self.epoch
            .set(signed(cx.owner.as_ref().map_or(0, owner::Owner::epoch)));
        self.store_calls.set(&cx.store.call_counts().by_kind());
        self.datagrams.set(&cx.datagrams.counts().by_outcome());
        self.peer_bytes.set(&cx.peers.bytes().by_direction());
        for (cell, report) in cx.entry_board.reports.load().iter() {
            let summary = report.summary(timer::now());
            let queued = summary.map(|known| known.queued.into());
            let shortfalls = summary.map(|known| known.shortfalls.len() as u64);
            let quarantined = summary.map(|known| known.quarantined.len() as u64);
            self.cell_queued.set_known(cell, queued);
            self.cell_shortfalls.set_known(cell, shortfalls);
            self.cell_quarantined.set_known(cell, quarantined);
        }
        telemetry::metrics_text(&self.registry)
    }
}

fn signed(value: u64) -> i64 {
    i64::try_from(value).unwrap_or(i64::MAX)
}
