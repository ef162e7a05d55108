//! Logs, metrics and spans.

mod logs;
mod metrics;
mod output;
mod spans;
pub mod traffic;

pub use logs::{init_logs, parse_level};
pub use metrics::{
    LabelledGauge, metrics_and_waits_router, metrics_router, metrics_text, registry_text,
};
pub use output::LineOutput;
pub use spans::{Span, TraceParent, current_trace_parent, init_spans, parse_traceparent};
