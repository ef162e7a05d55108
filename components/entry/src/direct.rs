//! Requests without a shape, which are dispatched directly to the agent of an endpoint.

use errors::{Error, ErrorKind, Result, Verdict};
use model::{Attempt, EndpointId};
use policy::routing::{Route, choose_endpoint};

use crate::call::{Admitted, Answered, Call};
use crate::context::Context;
use crate::dispatch::{Target, dispatch};
use crate::retry::{pause_before_retry, with_earlier_verdict};

/// Maximum number of attempts before the error is returned to the caller.
const MAX_ATTEMPTS: Attempt = 4;

/// Tries endpoints one after another until one answers the request.
pub(crate) async fn run(cx: &Context, call: &Call<Admitted>) -> Result<Call<Answered>> {
    let mut tried: Vec<EndpointId> = Vec::new();
    let mut last_error = None;
    let mut earlier_verdict = Verdict::NotRun;
    for attempt in 1..=MAX_ATTEMPTS {
        let Some(route) = choose_route(cx, call, &tried) else {
            break;
        };
        let report = match dispatch(cx, call, &target(&route, attempt)).await {
            Ok(answered) => return Ok(answered),
            Err(report) => with_earlier_verdict(earlier_verdict, report),
        };
        earlier_verdict = report.current_context().verdict;
        if !report.current_context().kind.is_transient() {
            return Err(report);
        }
        tried.push(route.endpoint.id.clone());
        drop(route);
        if !pause_before_retry(cx, call, report.current_context(), attempt).await {
            return Err(report);
        }
        last_error = Some(report);
    }
    Err(last_error.unwrap_or_else(|| no_endpoint(call)))
}

/// Chooses an endpoint of the service that has not been tried yet.
pub(crate) fn choose_route(
    cx: &Context,
    call: &Call<Admitted>,
    tried: &[EndpointId],
) -> Option<Route> {
    let mut rng = fastrand::Rng::new();
    choose_endpoint(
        &cx.board.routes.load(),
        &call.state.request.service,
        tried,
        &mut rng,
    )
}

fn target(route: &Route, attempt: Attempt) -> Target {
    Target {
        addr: route.endpoint.agent_addr,
        incarnation: route.endpoint.incarnation,
        attempt,
        gang: None,
        claim: None,
    }
}

pub(crate) fn no_endpoint(call: &Call<Admitted>) -> error_stack::Report<Error> {
    let message = format!(
        "no endpoint of service {} is available",
        call.state.request.service
    );
    Error::not_run(ErrorKind::Unavailable, message).report()
}
