//! Metrics of the agent.

use errors::Result;
use prometheus::{IntCounter, IntCounterVec, IntGauge, Opts, Registry};
use telemetry::LabelledGauge;
use wire::Answer;

use crate::context::Context;

/// The metrics that the agent keeps.
#[derive(Debug)]
pub(crate) struct Metrics {
    registry: Registry,
    dispatches: IntCounterVec,
    slots_free: IntGauge,
    queued: IntGauge,
    gangs: IntGauge,
    config_revision: IntGauge,
    store_calls: LabelledGauge,
    datagrams: LabelledGauge,
    peer_bytes: LabelledGauge,
    pub(crate) refused_epochs: IntCounter,
}

impl Metrics {
    /// Registers all metrics.
    pub(crate) fn new() -> prometheus::Result<Self> {
        let registry = Registry::new_custom(Some("limpethook_agent".into()), None)?;
        let dispatches = IntCounterVec::new(
            Opts::new("dispatches_total", "Dispatched requests by result."),
            &["result"],
        )?;
        registry.register(Box::new(dispatches.clone()))?;
        let labelled = |name, help, label| LabelledGauge::new(&registry, name, help, label);
        Ok(Self {
            slots_free: gauge(&registry, "slots_free", "Free slots of the endpoint.")?,
            queued: gauge(
                &registry,
                "queued_requests",
                "Requests that wait for a slot.",
            )?,
            gangs: gauge(&registry, "gangs", "Gangs with a reservation here.")?,
            config_revision: gauge(
                &registry,
                "config_revision",
                "Configuration revision in force.",
            )?,
            store_calls: labelled("store_calls", "Calls of the key-value service.", "kind")?,
            datagrams: labelled("datagrams", "Datagrams by fate.", "fate")?,
            peer_bytes: labelled("peer_bytes", "Bytes on connections to peers.", "direction")?,
            refused_epochs: counter(
                &registry,
                "refused_epochs_total",
                "Calls with a stale epoch.",
            )?,
            dispatches,
            registry,
        })
    }

    /// Counts a dispatch.
    pub(crate) fn count_dispatch(&self, result: &Result<Answer>) {
        let result = result.as_ref().map_or_else(
            |report| report.current_context().kind.as_str(),
            |_| "answered",
        );
        self.dispatches.with_label_values(&[result]).inc();
    }

    /// Returns all metrics in the text format.
    pub(crate) fn text(&self, cx: &Context) -> String {
        self.slots_free.set(i64::from(cx.slots.free()));
        self.queued.set(i64::from(cx.slots.queued()));
        self.gangs.set(signed(cx.board.gangs.load().len() as u64));
        self.config_revision
            .set(signed(cx.board.config.load().revision));
        self.store_calls.set(&cx.store.call_counts().by_kind());
        self.datagrams.set(&cx.datagrams.counts().by_outcome());
        self.peer_bytes.set(&cx.peers.bytes().by_direction());
        telemetry::metrics_text(&self.registry)
    }
}

fn gauge(registry: &Registry, name: &str, help: &str) -> prometheus::Result<IntGauge> {
    let gauge = IntGauge::new(name, help)?;
    registry.register(Box::new(gauge.clone()))?;
    Ok(gauge)
}

fn counter(registry: &Registry, name: &str, help: &str) -> prometheus::Result<IntCounter> {
    let counter = IntCounter::new(name, help)?;
    registry.register(Box::new(counter.clone()))?;
    Ok(counter)
}

fn signed(value: u64) -> i64 {
    i64::try_from(value).unwrap_or(i64::MAX)
}
