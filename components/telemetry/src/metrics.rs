//! Prometheus metrics and their HTTP endpoint.

use std::time::Duration;

use errors::Result;
use prometheus::{IntGaugeVec, Opts, Registry, TextEncoder};
use salvo::http::HeaderValue;
use salvo::http::header::RETRY_AFTER;
use salvo::prelude::*;

use crate::traffic::traffic_text;

/// Delay after which an operator should ask again for what is not known. A new owner knows the waits after little more than a second.
const RETRY_DELAY: Duration = Duration::from_secs(1);

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

    /// Sets the gauge of a label value, or removes it if its value is not known.
    pub fn set_known(&self, label: &str, value: Option<u64>) {
        match value {
            Some(value) => self.set(&[(label, value)]),
            // Fails only if there is no such gauge.
            None => drop(self.0.remove_label_values(&[label])),
        }
    }
}

/// Serves a text, or 503 with the reason if it is not known.
struct TextHandler<F>(F);

#[async_trait]
impl<F: Fn() -> Result<String> + Send + Sync + 'static> Handler for TextHandler<F> {
    async fn handle(
        &self,
        _req: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        let text = (self.0)().unwrap_or_else(|report| {
            res.status_code(StatusCode::SERVICE_UNAVAILABLE);
            let seconds = HeaderValue::from(RETRY_DELAY.as_secs());
            res.headers_mut().insert(RETRY_AFTER, seconds);
            report.current_context().message.to_string()
        });
        res.render(Text::Plain(text));
    }
}

/// Returns a router that serves the text that `text` returns at `/metrics`.
pub fn metrics_router<F: Fn() -> String + Send + Sync + 'static>(text: F) -> Router {
    Router::new().push(Router::with_path("metrics").get(TextHandler(move || Ok(text()))))
}

/// Returns a router that serves the text that `text` returns at `/metrics`, and a line for each job that waits at `/waits`. If the
/// process does not know the jobs that wait, `/waits` answers with 503 and the reason.
pub fn metrics_and_waits_router<F, W>(text: F, waits: W) -> Router
where
    F: Fn() -> String + Send + Sync + 'static,
    W: Fn() -> Result<String> + Send + Sync + 'static,
{
    metrics_router(text).push(Router::with_path("waits").get(TextHandler(waits)))
}
