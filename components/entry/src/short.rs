//! Requests without a shape: an entry sends them straight to an agent.

use errors::{Error, ErrorKind, Result, Verdict};
use model::{Attempt, EndpointId};
use policy::routing::{Route, choose_endpoint};

use crate::call::{Admitted, Answered, Call};
use crate::context::Context;
use crate::dispatch::{Target, dispatch};
use crate::retry::{pause_before_retry, with_earlier_tries};

/// Tries of one request before its error goes to the caller.
const MAX_ATTEMPTS: Attempt = 4;

/// Runs a request at one endpoint after another until one answers.
pub(crate) async fn run(cx: &Context, call: &Call<Admitted>) -> Result<Call<Answered>> {
    let mut tried: Vec<EndpointId> = Vec::new();
    let mut last = None;
    let mut earlier = Verdict::NotRun;
    for attempt in 1..=MAX_ATTEMPTS {
        let Some(route) = choose(cx, call, &tried) else {
            break;
        };
        let report = match dispatch(cx, call, &target(&route, attempt)).await {
            Ok(answered) => return Ok(answered),
            Err(report) => with_earlier_tries(earlier, report),
        };
        earlier = report.current_context().verdict;
        if !report.current_context().kind.is_transient() {
            return Err(report);
        }
        tried.push(route.endpoint.id.clone());
        drop(route);
        if !pause_before_retry(cx, call, report.current_context(), attempt).await {
            return Err(report);
        }
        last = Some(report);
    }
    Err(last.unwrap_or_else(|| no_endpoint(call)))
}

pub(crate) fn choose(cx: &Context, call: &Call<Admitted>, tried: &[EndpointId]) -> Option<Route> {
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
