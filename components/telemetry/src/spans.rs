//! Tracing spans with W3C trace context, exported as log lines.

use std::future::Future;
use std::sync::OnceLock;

use opentelemetry::Context;
use opentelemetry::trace::{
    FutureExt, SpanContext, SpanId, TraceContextExt, TraceFlags, TraceId, TraceState, Tracer,
    TracerProvider,
};
use opentelemetry_sdk::error::OTelSdkResult;
use opentelemetry_sdk::trace::{SdkTracer, SdkTracerProvider, SpanData, SpanExporter};

/// The supported version of the `traceparent` header.
const TRACEPARENT_VERSION: &str = "00";

static TRACER: OnceLock<SdkTracer> = OnceLock::new();

/// The part of a trace context that is propagated between processes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TraceParent {
    /// The trace id.
    pub trace: u128,
    /// The id of the parent span.
    pub span: u64,
}

impl TraceParent {
    fn span_context(self) -> SpanContext {
        SpanContext::new(
            TraceId::from_bytes(self.trace.to_be_bytes()),
            SpanId::from_bytes(self.span.to_be_bytes()),
            TraceFlags::SAMPLED,
            true,
            TraceState::NONE,
        )
    }

    /// Returns the value of a `traceparent` header.
    pub fn header(self) -> String {
        format!(
            "{TRACEPARENT_VERSION}-{:032x}-{:016x}-01",
            self.trace, self.span
        )
    }
}

/// Parses a `traceparent` header; returns `None` if it is malformed or its trace is not sampled.
pub fn parse_traceparent(header: &str) -> Option<TraceParent> {
    let mut parts = header.split('-');
    let (version, trace) = (parts.next()?, parts.next()?);
    let (span, flags) = (parts.next()?, parts.next()?);
    let is_well_formed = version == TRACEPARENT_VERSION
        && (trace.len(), span.len(), flags.len()) == (32, 16, 2)
        && parts.next().is_none();
    let trace = u128::from_str_radix(trace, 16).ok()?;
    let span = u64::from_str_radix(span, 16).ok()?;
    let flags = TraceFlags::new(u8::from_str_radix(flags, 16).ok()?);
    let is_valid = is_well_formed && trace != 0 && span != 0 && flags.is_sampled();
    is_valid.then_some(TraceParent { trace, span })
}

/// Returns the current span as a parent for other processes, if its trace is sampled.
pub fn current_trace_parent() -> Option<TraceParent> {
    Context::map_current(|cx| {
        let span = cx.span();
        let context = span.span_context();
        (context.is_valid() && context.is_sampled()).then(|| TraceParent {
            trace: u128::from_be_bytes(context.trace_id().to_bytes()),
            span: u64::from_be_bytes(context.span_id().to_bytes()),
        })
    })
}

/// A span that ends when the future that runs in it completes.
#[derive(Debug, Clone)]
pub struct Span(Context);

impl Span {
    /// Starts a span whose parent is in another process; without a parent, nothing is recorded.
    pub fn with_remote_parent(name: &'static str, parent: Option<TraceParent>) -> Self {
        let Some(parent) = parent else {
            return Self(Context::new());
        };
        let cx = Context::new().with_remote_span_context(parent.span_context());
        Self::start(name, &cx)
    }

    /// Starts a child of the current span; without a current span, nothing is recorded.
    pub fn child(name: &'static str) -> Self {
        if current_trace_parent().is_none() {
            return Self(Context::new());
        }
        Self::start(name, &Context::current())
    }

    fn start(name: &'static str, cx: &Context) -> Self {
        match TRACER.get() {
            Some(tracer) => Self(cx.with_span(tracer.start_with_context(name, cx))),
            None => Self(cx.clone()),
        }
    }

    /// Runs a future within the span.
    pub fn run<F: Future>(self, future: F) -> impl Future<Output = F::Output> {
        future.with_context(self.0)
    }
}

/// Initializes the export of spans.
pub fn init_spans() {
    let provider = SdkTracerProvider::builder()
        .with_simple_exporter(LogExporter)
        .build();
    // Repeated initialization keeps the first tracer.
    let _ = TRACER.set(provider.tracer("limpethook"));
}

/// Exports spans as log events.
#[derive(Debug)]
struct LogExporter;

impl SpanExporter for LogExporter {
    async fn export(&self, spans: Vec<SpanData>) -> OTelSdkResult {
        for span in spans {
            let duration = span.end_time.duration_since(span.start_time);
            log::info!(
                target: "limpethook",
                name = span.name.as_ref(),
                trace_id:% = span.span_context.trace_id(),
                span_id:% = span.span_context.span_id(),
                parent_id:% = span.parent_span_id,
                duration_us = duration.map_or(0, |duration| duration.as_micros());
                "span"
            );
        }
        Ok(())
    }
}
