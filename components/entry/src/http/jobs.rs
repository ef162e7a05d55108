//! The HTTP interface for asynchronous jobs.

use std::sync::Arc;

use errors::{Error, Result};
use jobs::{Answered, JobRecord};
use model::AccountId;
use salvo::http::header::{AUTHORIZATION, CONTENT_TYPE, LOCATION};
use salvo::http::{HeaderValue, StatusCode};
use salvo::prelude::{Depot, FlowCtrl, Handler, Json, Request, Response};
use serde::Serialize;

use crate::call::authenticate;
use crate::context::Context;
use crate::http::errors::render;
use crate::http::requests::{admit, header};
use crate::jobs::{JobView, Outcome, cancel, find, result, submit};

/// The operation of a route.
#[derive(Debug, Clone, Copy)]
enum Action {
    Submit,
    Status,
    Cancel,
    Result,
}

/// Handles the routes of asynchronous jobs.
pub(crate) struct Jobs {
    cx: Arc<Context>,
    action: Action,
}

impl Jobs {
    /// Handles `POST /v1/services/{service}/jobs`.
    pub(crate) fn submit(cx: &Arc<Context>) -> Self {
        Self::new(cx, Action::Submit)
    }

    /// Handles `GET /v1/jobs/{id}`.
    pub(crate) fn status(cx: &Arc<Context>) -> Self {
        Self::new(cx, Action::Status)
    }

    /// Handles `DELETE /v1/jobs/{id}`.
    pub(crate) fn cancel(cx: &Arc<Context>) -> Self {
        Self::new(cx, Action::Cancel)
    }

    /// Handles `GET /v1/jobs/{id}/result`.
    pub(crate) fn result(cx: &Arc<Context>) -> Self {
        Self::new(cx, Action::Result)
    }

    fn new(cx: &Arc<Context>, action: Action) -> Self {
        Self {
            cx: Arc::clone(cx),
            action,
        }
    }

    async fn answer(&self, req: &mut Request, depot: &mut Depot, res: &mut Response) -> Result<()> {
        let cx = &*self.cx;
        if matches!(self.action, Action::Submit) {
            let call = admit(cx, req, depot).await?;
            render_accepted(res, &submit(cx, call).await?);
            return Ok(());
        }
        let account = account(cx, req)?;
        let id = req.param::<String>("id").unwrap_or_default();
        match self.action {
            Action::Result => render_outcome(res, &id, result(cx, &account, &id).await?),
            Action::Cancel => render_state(res, &cancel(cx, &account, &id).await?),
            Action::Status | Action::Submit => render_state(res, &find(cx, &account, &id).await?),
        }
        Ok(())
    }
}

#[salvo::async_trait]
impl Handler for Jobs {
    async fn handle(
        &self,
        req: &mut Request,
        depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        let _in_flight = self.cx.track_request();
        if let Err(report) = self.answer(req, depot, res).await {
            let error = report.current_context();
            log::info!(
                target: "limpethook",
                verdict:% = error.verdict, kind:% = error.kind, error:% = error.message;
                "job_call_refused"
            );
            render(res, error);
        }
    }
}

fn account(cx: &Context, req: &Request) -> Result<AccountId> {
    let credentials = header(req, AUTHORIZATION.as_str())?;
    authenticate(credentials.as_deref(), &cx.board.config.load())
}

/// The JSON representation of a job.
#[derive(Debug, Serialize)]
struct JobBody<'a> {
    id: &'a str,
    state: &'static str,
    service: &'a str,
    attempt: u32,
    #[serde(skip_serializing_if = "Option::is_none")]
    verdict: Option<errors::Verdict>,
    #[serde(skip_serializing_if = "Option::is_none")]
    status: Option<u16>,
    #[serde(skip_serializing_if = "Option::is_none")]
    length: Option<u64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    error: Option<&'a Error>,
}

fn job_body(view: &JobView) -> JobBody<'_> {
    let mut body = JobBody {
        id: &view.id,
        state: view.job.state_name(),
        service: &view.job.header().request.service,
        attempt: 0,
        verdict: None,
        status: None,
        length: None,
        error: None,
    };
    match &view.job {
        JobRecord::Accepted(job) => body.attempt = job.state.attempts,
        JobRecord::Running(job) => body.attempt = job.state.run.attempt,
        JobRecord::Cancelling(job) => body.attempt = job.state.run.attempt,
        JobRecord::Answered(job) => {
            body.attempt = job.state.attempt;
            body.verdict = Some(errors::Verdict::Ran);
            body.status = Some(job.state.status);
            body.length = Some(job.state.length);
        }
        JobRecord::Refused(job) => {
            body.attempt = job.state.attempt;
            body.verdict = Some(job.state.error.verdict);
            body.error = Some(&job.state.error);
        }
    }
    body
}

fn render_state(res: &mut Response, view: &JobView) {
    res.render(Json(job_body(view)));
}

fn render_accepted(res: &mut Response, view: &JobView) {
    res.status_code(StatusCode::ACCEPTED);
    if let Ok(location) = HeaderValue::from_str(&format!("/v1/jobs/{}", view.id)) {
        res.headers_mut().insert(LOCATION, location);
    }
    render_state(res, view);
}

fn render_outcome(res: &mut Response, id: &str, outcome: Outcome) {
    match outcome {
        Outcome::Answer(answered, body) => {
            render_answer(res, id, &answered);
            // The body is complete in memory, because it was verified before sending.
            let _ = res.write_body(body);
        }
        Outcome::Refused(error) => render(res, &error),
        Outcome::Pending(error) => {
            render(res, &error);
            res.status_code(StatusCode::TOO_EARLY);
        }
    }
}

fn render_answer(res: &mut Response, id: &str, answered: &Answered) {
    res.status_code(StatusCode::from_u16(answered.status).unwrap_or(StatusCode::BAD_GATEWAY));
    let headers = res.headers_mut();
    if let Ok(value) = HeaderValue::from_str(&answered.content_type) {
        headers.insert(CONTENT_TYPE, value);
    }
    if let Ok(value) = HeaderValue::from_str(id) {
        headers.insert("limpethook-job-id", value);
    }
    headers.insert("limpethook-attempt", HeaderValue::from(answered.attempt));
    headers.insert("limpethook-verdict", HeaderValue::from_static("ran"));
}
