//! Metrics in the Prometheus text format over HTTP.

use std::net::SocketAddr;

use prometheus::{IntGaugeVec, Opts, Registry, TextEncoder};
use salvo::conn::TcpListener;
use salvo::prelude::*;

use crate::traffic::traffic_text;

/// Returns all metrics of a registry in the text format.
pub fn metrics_text(registry: &Registry) -> String {
    // Encoding fails only for metrics without a name, which cannot be registered.
    let mut text = TextEncoder::new()
        .encode_to_string(&registry.gather())
        .unwrap_or_default();
    text.push_str(&traffic_text());
    text
}

/// Gauges of one name, told apart by a label.
#[derive(Debug)]
pub struct LabelledGauge(IntGaugeVec);

impl LabelledGauge {
    /// Registers the gauges.
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

    /// Sets the gauge of each label value.
    pub fn set(&self, values: &[(&str, u64)]) {
        for (label, value) in values {
            let value = i64::try_from(*value).unwrap_or(i64::MAX);
            self.0.with_label_values(&[label]).set(value);
        }
    }
}

struct Metrics<F>(F);

#[async_trait]
impl<F: Fn() -> String + Send + Sync + 'static> Handler for Metrics<F> {
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

/// Serves `/metrics` until the process ends.
pub async fn serve_metrics<F: Fn() -> String + Send + Sync + 'static>(addr: SocketAddr, text: F) {
    let router = Router::with_path("metrics").get(Metrics(text));
    match TcpListener::new(addr).try_bind().await {
        Ok(acceptor) => Server::new(acceptor).serve(router).await,
        Err(e) => {
            log::error!(target: "limpethook", addr:% = addr, error:% = e; "metrics_not_served");
        }
    }
}
