//! The HTTP interface for synchronous requests.

use std::sync::Arc;

use errors::{Error, ErrorKind, Result};
use policy::limits::admit as admit_account;
use salvo::http::header::{AUTHORIZATION, CONTENT_TYPE};
use salvo::http::{HeaderValue, StatusCode};
use salvo::prelude::{Depot, FlowCtrl, Handler, Request, Response};
use telemetry::Span;
use wire::Answer;

use crate::call::{Admitted, Answered, Call, Received};
use crate::context::Context;
use crate::http::body::read_body;
use crate::http::errors::render;
use crate::route;
use crate::sent::SentFlag;

/// Maximum body size, which also caps the limits of the services.
pub(crate) const MAX_BODY_BYTES: u64 = 64 * 1024 * 1024;

/// Handles `POST /v1/services/{service}/requests`.
pub(crate) struct Submit {
    cx: Arc<Context>,
}

impl Submit {
    pub(crate) fn new(cx: &Arc<Context>) -> Self {
        Self { cx: Arc::clone(cx) }
    }
}

#[salvo::async_trait]
impl Handler for Submit {
    async fn handle(
        &self,
        req: &mut Request,
        depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        let _in_flight = self.cx.track_request();
        let span = root_span(req);
        let result = span.run(submit_or_abort(&self.cx, req, depot)).await;
        self.cx.metrics.count_request(&result);
        match result {
            Ok(call) => render_answer(res, call.state.answer),
            Err(report) => {
                let error = report.current_context();
                log::info!(
                    target: "limpethook",
                    service:% = req.param::<&str>("service").unwrap_or_default(),
                    verdict:% = error.verdict, kind:% = error.kind, error:% = error.message;
                    "request_refused"
                );
                render(res, error);
            }
        }
    }
}

/// Starts the root span of a request, as a child of the caller's `traceparent` if there is one.
fn root_span(req: &Request) -> Span {
    let parent = req.headers().get("traceparent");
    let parent = parent.and_then(|value| telemetry::parse_traceparent(value.to_str().ok()?));
    Span::with_remote_parent("entry_request", parent)
}

/// Runs the request, or fails it with a verdict when the entry aborts.
async fn submit_or_abort(
    cx: &Context,
    req: &mut Request,
    depot: &mut Depot,
) -> Result<Call<Answered>> {
    let sent = SentFlag::default();
    tokio::select! {
        result = submit(cx, req, depot, &sent) => result,
        () = cx.abort.cancelled() => Err(sent.abort_error()),
    }
}

async fn submit(
    cx: &Context,
    req: &mut Request,
    depot: &mut Depot,
    sent: &SentFlag,
) -> Result<Call<Answered>> {
    let mut admitted = admit(cx, req, depot).await?;
    admitted.state.sent = sent.clone();
    route::run(cx, &admitted).await
}

/// Authenticates the caller and checks its limits before the body is read, and returns the admitted call.
pub(crate) async fn admit(
    cx: &Context,
    req: &mut Request,
    depot: &mut Depot,
) -> Result<Call<Admitted>> {
    if cx.is_draining() {
        return Err(Error::not_run(ErrorKind::Draining, "the entry is shutting down").report());
    }
    let call = Call::receive(received(req)?, timer::now());
    let config = cx.board.config.snapshot();
    let account = call.authenticate(&config)?;
    let service = call.service(&config)?;
    let limit = service.max_body_bytes.min(MAX_BODY_BYTES);
    let mut admission = admit_account(&cx.board.limits.load(), &account, 0, timer::now())?;
    let (body, exchange) = read_body(req, depot, limit, &mut admission).await?;
    call.admit(account, service, body, admission, exchange)
}

fn received(req: &Request) -> Result<Received> {
    Ok(Received {
        service: req.param::<String>("service").unwrap_or_default().into(),
        credentials: header(req, AUTHORIZATION.as_str())?,
        shape: header(req, "limpethook-shape")?,
        idempotent: header(req, "limpethook-idempotent")?,
        stoppable: header(req, "limpethook-stoppable")?,
        timeout_ms: header(req, "limpethook-timeout-ms")?,
        run_time_ms: header(req, "limpethook-run-time-ms")?,
        idempotency_key: header(req, "idempotency-key")?,
    })
}

/// Returns the value of a header.
///
/// Repeated and non-ASCII headers are rejected, because ignoring them would change the meaning of the request.
pub(crate) fn header(req: &Request, name: &str) -> Result<Option<Box<str>>> {
    let invalid = |reason| {
        let message = format!("header {name}: {reason}");
        Error::not_run(ErrorKind::InvalidRequest, message).report()
    };
    let mut values = req.headers().get_all(name).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return Err(invalid("must not be repeated"));
    }
    let text = value.to_str().map_err(|_| invalid("must be ASCII"))?;
    Ok(Some(text.into()))
}

fn render_answer(res: &mut Response, answer: Answer) {
    res.status_code(StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY));
    let headers = res.headers_mut();
    if let Ok(value) = HeaderValue::from_str(&answer.content_type) {
        headers.insert(CONTENT_TYPE, value);
    }
    if let Ok(value) = HeaderValue::from_str(&format!("{:032x}", answer.request)) {
        headers.insert("limpethook-request-id", value);
    }
    headers.insert("limpethook-attempt", HeaderValue::from(answer.attempt));
    headers.insert("limpethook-verdict", HeaderValue::from_static("ran"));
    // The body is complete in memory, because it was verified before sending.
    let _ = res.write_body(answer.body);
}
