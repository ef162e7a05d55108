//! Spans under the W3C trace context, reported as log lines.

use std::time::Duration;

use fastrace::collector::{Config, Reporter, SpanRecord};
use fastrace::prelude::{SpanContext, SpanId, TraceId};

/// How often finished spans are handed to the log.
const REPORT_INTERVAL: Duration = Duration::from_millis(200);

/// The part of a trace context that travels between processes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TraceParent {
    /// The trace id.
    pub trace: u128,
    /// The id of the span that caused the call.
    pub span: u64,
}

impl TraceParent {
    /// Returns the context under which a new span starts.
    pub fn context(self) -> SpanContext {
        SpanContext::new(TraceId(self.trace), SpanId(self.span))
    }

    /// Returns the value of a `traceparent` header.
    pub fn header(self) -> String {
        self.context().encode_w3c_traceparent()
    }
}

/// Reads a `traceparent` header whose caller asks for sampling.
pub fn parse_traceparent(header: &str) -> Option<TraceParent> {
    let context = SpanContext::decode_w3c_traceparent(header)?;
    context.sampled.then_some(TraceParent {
        trace: context.trace_id.0,
        span: context.span_id.0,
    })
}

/// Returns the context of the current span, if the trace is sampled.
pub fn current_trace() -> Option<TraceParent> {
    let context = SpanContext::current_local_parent()?;
    context.sampled.then_some(TraceParent {
        trace: context.trace_id.0,
        span: context.span_id.0,
    })
}

/// Starts the reporting of spans.
pub fn init_spans() {
    let config = Config::default().report_interval(REPORT_INTERVAL);
    fastrace::set_reporter(LogReporter, config);
}

/// Hands all finished spans to the log.
pub fn flush_spans() {
    fastrace::flush();
}

struct LogReporter;

impl Reporter for LogReporter {
    fn report(&mut self, spans: Vec<SpanRecord>) {
        for span in spans {
            log::info!(
                target: "limpethook",
                name = span.name.as_ref(),
                trace_id:% = format_args!("{:032x}", span.trace_id.0),
                span_id:% = format_args!("{:016x}", span.span_id.0),
                parent_id:% = format_args!("{:016x}", span.parent_id.0),
                duration_us = span.duration_ns / 1_000;
                "span"
            );
        }
    }
}
