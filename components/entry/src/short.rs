//! Requests without a shape: an entry sends them straight to an agent.

use std::sync::Arc;

use errors::{Error, ErrorKind, Result};
use model::{Attempt, Endpoint, EndpointId, Serving};

use crate::call::{Admitted, Answered, Call};
use crate::context::Context;
use crate::dispatch::{Target, dispatch};
use crate::route::may_retry;

/// Tries of one request before its error goes to the caller.
const MAX_ATTEMPTS: Attempt = 4;

/// Runs a request at one endpoint after another until one answers.
pub(crate) async fn run(cx: &Context, call: &Call<Admitted>) -> Result<Call<Answered>> {
    let mut tried: Vec<EndpointId> = Vec::new();
    let mut last = None;
    for attempt in 1..=MAX_ATTEMPTS {
        let Some(endpoint) = choose(cx, call, &tried) else {
            break;
        };
        let report = match dispatch(cx, call, &target(&endpoint, attempt)).await {
            Ok(answered) => return Ok(answered),
            Err(report) => report,
        };
        if !may_retry(report.current_context(), call.state.request.idempotent) {
            return Err(report);
        }
        cx.metrics.count_retry();
        tried.push(endpoint.id.clone());
        last = Some(report);
    }
    Err(last.unwrap_or_else(|| no_endpoint(call)))
}

fn no_endpoint(call: &Call<Admitted>) -> error_stack::Report<Error> {
    let message = format!(
        "no endpoint of service {} is available",
        call.state.request.service
    );
    Error::not_run(ErrorKind::Unavailable, message).report()
}

/// Chooses the endpoint with more free slots of the untried ones, own region first.
fn choose(
    cx: &Context,
    call: &Call<Admitted>,
    tried: &[EndpointId],
) -> Option<Arc<Endpoint<Serving>>> {
    let directory = cx.entry_board.directory.load();
    let usable = directory.serving.values().filter(|endpoint| {
        endpoint.service == call.state.request.service && !tried.contains(&endpoint.id)
    });
    usable
        .max_by_key(|endpoint| {
            (
                endpoint.place.region == cx.settings.region,
                endpoint.state.free,
            )
        })
        .cloned()
}

fn target(endpoint: &Endpoint<Serving>, attempt: Attempt) -> Target {
    Target {
        addr: endpoint.agent_addr,
        incarnation: endpoint.incarnation,
        attempt,
        gang: None,
    }
}
