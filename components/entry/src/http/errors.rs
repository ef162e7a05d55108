//! Error responses.

use errors::{Error, ErrorKind};
use salvo::http::header::RETRY_AFTER;
use salvo::http::{HeaderValue, StatusCode};
use salvo::prelude::{Depot, FlowCtrl, Handler, Json, Request, Response};
use serde::Serialize;

#[derive(Debug, Serialize)]
struct ErrorBody<'a> {
    error: ErrorFields<'a>,
}

#[derive(Debug, Serialize)]
struct ErrorFields<'a> {
    verdict: errors::Verdict,
    kind: ErrorKind,
    message: &'a str,
}

/// Renders an error as a JSON body with its verdict, status code and `Retry-After` header.
pub(crate) fn render(res: &mut Response, error: &Error) {
    res.status_code(status_code(error.kind));
    if let Some(after) = error.retry_after {
        let seconds = after.as_secs() + u64::from(after.subsec_nanos() > 0);
        if let Ok(value) = HeaderValue::from_str(&seconds.to_string()) {
            res.headers_mut().insert(RETRY_AFTER, value);
        }
    }
    let fields = ErrorFields {
        verdict: error.verdict,
        kind: error.kind,
        message: &error.message,
    };
    res.render(Json(ErrorBody { error: fields }));
}

/// Renders the error body for requests that no route handles.
pub(crate) struct ErrorCatcher;

#[salvo::async_trait]
impl Handler for ErrorCatcher {
    async fn handle(
        &self,
        _req: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        let code = res.status_code.unwrap_or(StatusCode::NOT_FOUND);
        let kind = if code == StatusCode::NOT_FOUND {
            ErrorKind::NotFound
        } else {
            ErrorKind::InvalidRequest
        };
        let reason = code.canonical_reason().unwrap_or("no matching route");
        render(res, &Error::not_run(kind, reason));
        res.status_code(code);
    }
}

fn status_code(kind: ErrorKind) -> StatusCode {
    match kind {
        ErrorKind::InvalidRequest => StatusCode::BAD_REQUEST,
        ErrorKind::Unauthenticated => StatusCode::UNAUTHORIZED,
        ErrorKind::NotFound => StatusCode::NOT_FOUND,
        ErrorKind::Conflict | ErrorKind::Cancelled => StatusCode::CONFLICT,
        ErrorKind::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        ErrorKind::Infeasible => StatusCode::UNPROCESSABLE_ENTITY,
        ErrorKind::Overloaded
        | ErrorKind::Draining
        | ErrorKind::Unavailable
        | ErrorKind::StaleEpoch
        | ErrorKind::Stopped => StatusCode::SERVICE_UNAVAILABLE,
        ErrorKind::Timeout => StatusCode::GATEWAY_TIMEOUT,
        ErrorKind::Failed | ErrorKind::Corrupt => StatusCode::BAD_GATEWAY,
        ErrorKind::Internal => StatusCode::INTERNAL_SERVER_ERROR,
    }
}
