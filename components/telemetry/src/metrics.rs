//! Prometheus metrics and their HTTP endpoint.

use std::time::Duration;

use errors::Result;
use prometheus::{IntGaugeVec, Opts, Registry, TextEncoder};
use salvo::http::HeaderValue;
use salvo::http::header::RETRY_AFTER;
use salvo::prelude::*;

use crate::traffic::traffic_text;

/// Delay after which an operator should ask for the waits again. A new owner knows them after little more than a second.
const WAITS_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Returns the metrics of a registry and the traffic counters in the Prometheus text format.
pub fn metrics_text(registry: &Registry) -> String {
    registry_text(registry) + &traffic_text()
}

/// Returns the metrics of a registry in the Prometheus text format.
pub fn registry_text(registry: &Registry) -> String {
    // Encoding fails only for unnamed metrics, which cannot be registered.
    TextEncoder::new()
        .encode_to_string(&registry.gather())
        .unwrap_or_default()
}

/// Gauges with one name and one label.
#[derive(Debug)]
pub struct LabelledGauge(IntGaugeVec);

impl LabelledGauge {
    /// Creates the gauges and registers them.
    pub fn new(
        registry: &Registry,
        name: &str,
        help: &str,
        label: &str,
    ) -> prometheus::Result<Self> {
        let gauges = IntGaugeVec::new(Opts::new(name, help), &[label])?;
        registry.register(Box::new(gauges.clone()))?;
        Ok(Self(gauges))
    }

    /// Sets the gauges of the given label values.
    pub fn set(&self, values: &[(&str, u64)]) {
        for (label, value) in values {
            let value = i64::try_from(*value).unwrap_or(i64::MAX);
            self.0.with_label_values(&[label]).set(value);
        }
    }

    /// Removes the gauge of a label value, which is no longer known.
    pub fn remove(&self, label: &str) {
        // Fails only if there is no such gauge.
        let _ = self.0.remove_label_values(&[label]);
    }
}

struct TextHandler<F>(F);

#[async_trait]
impl<F: Fn() -> String + Send + Sync + 'static> Handler for TextHandler<F> {
    async fn handle(
        &self,
        _req: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        res.render(Text::Plain((self.0)()));
    }
}

/// Returns a router that serves the text that `text` returns at `/metrics`.
pub fn metrics_router<F: Fn() -> String + Send + Sync + 'static>(text: F) -> Router {
    Router::new().push(Router::with_path("metrics").get(TextHandler(text)))
}

struct WaitsHandler<F>(F);

#[async_trait]
impl<F: Fn() -> Result<Box<str>> + Send + Sync + 'static> Handler for WaitsHandler<F> {
    async fn handle(
        &self,
        _req: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        match (self.0)() {
            Ok(waits) => res.render(Text::Plain(String::from(waits))),
            Err(report) => {
                res.status_code(StatusCode::SERVICE_UNAVAILABLE);
                let seconds = HeaderValue::from(WAITS_RETRY_DELAY.as_secs());
                res.headers_mut().insert(RETRY_AFTER, seconds);
                let message = report.current_context().message.to_string();
                res.render(Text::Plain(message));
            }
        }
    }
}

/// Returns a router that serves the text that `text` returns at `/metrics`, and a line for each job that waits at `/waits`. If the
/// process does not know the jobs that wait, `/waits` answers with 503 and the reason.
pub fn metrics_and_waits_router<F, W>(text: F, waits: W) -> Router
where
    F: Fn() -> String + Send + Sync + 'static,
    W: Fn() -> Result<Box<str>> + Send + Sync + 'static,
{
    metrics_router(text).push(Router::with_path("waits").get(WaitsHandler(waits)))
}
