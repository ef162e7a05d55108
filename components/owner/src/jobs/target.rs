//! Chooses where an attempt runs.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use errors::{Error, ErrorKind};
use model::{AgentId, GangId, Request};
use placement::Event;
use policy::routing::{Route, choose_endpoint};
use wire::Place;

use crate::context::Context;
use crate::jobs::is_settled;
use crate::scheduler::SchedulerEvent;
use crate::serve::place;

/// How often a waiting job checks for a free endpoint or for a fleet that can hold it.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Where an attempt runs.
#[derive(Debug)]
pub(crate) struct Target {
    pub(crate) agent: AgentId,
    pub(crate) addr: SocketAddr,
    pub(crate) incarnation: u64,
    pub(crate) gang: Option<GangId>,
    /// Counts the attempt as in flight at its endpoint until this is dropped.
    pub(crate) _route: Option<Route>,
}

/// Waits for a target for the request, at most for the timeout of the request.
pub(crate) async fn choose_target(cx: &Context, request: Request) -> Result<Target, Error> {
    let deadline = timer::now() + request.timeout;
    match request.shape {
        Some(_) => choose_gang(cx, request, deadline).await,
        None => choose_free_endpoint(cx, &request.service, deadline).await,
    }
}

async fn choose_gang(cx: &Context, request: Request, deadline: Instant) -> Result<Target, Error> {
    loop {
        let request = Request {
            timeout: remaining(deadline)?,
            ..request.clone()
        };
        let call = Place {
            request,
            entry: cx.settings.id.clone(),
            waiter: fastrand::u64(..),
            ended: None,
        };
        match place(cx, call).await {
            Ok(placed) => {
                return Ok(Target {
                    agent: placed.agent,
                    addr: placed.agent_addr,
                    incarnation: placed.incarnation,
                    gang: Some(placed.gang),
                    _route: None,
                });
            }
            Err(report) if is_retryable(cx, report.current_context()) => {
                wait_for_next_poll(cx).await;
            }
            Err(report) => return Err(report.current_context().clone()),
        }
    }
}

/// Returns whether the job may be queued again: the fleet is not yet known, the queue is full, or the refusal is about
/// the gang of an earlier attempt, whose end is already recorded.
fn is_retryable(cx: &Context, error: &Error) -> bool {
    match error.kind {
        ErrorKind::Infeasible => !is_settled(cx),
        ErrorKind::Overloaded
        | ErrorKind::Unavailable
        | ErrorKind::Draining
        | ErrorKind::Stopped
        | ErrorKind::Failed => true,
        _ => false,
    }
}

async fn choose_free_endpoint(
    cx: &Context,
    service: &str,
    deadline: Instant,
) -> Result<Target, Error> {
    loop {
        let route = choose_endpoint(
            &cx.board.routes.load(),
            service,
            &[],
            &mut fastrand::Rng::new(),
        );
        if let Some(route) = route.filter(|route| route.endpoint.state.free > 0) {
            let endpoint = Arc::clone(&route.endpoint);
            return Ok(Target {
                agent: endpoint.agent.clone(),
                addr: endpoint.agent_addr,
                incarnation: endpoint.incarnation,
                gang: None,
                _route: Some(route),
            });
        }
        remaining(deadline)?;
        wait_for_next_poll(cx).await;
    }
}

fn remaining(deadline: Instant) -> Result<Duration, Error> {
    let left = deadline.saturating_duration_since(timer::now());
    if left.is_zero() {
        let message = "the deadline passed before an attempt ran";
        return Err(Error::not_run(ErrorKind::Timeout, message));
    }
    Ok(left)
}

async fn wait_for_next_poll(cx: &Context) {
    cx.timer.subscribe_after(POLL_INTERVAL).recv().await;
}

/// Removes a job with a shape from the queue, or stops its gang.
pub(crate) fn cancel_placement(cx: &Context, job: model::JobId) {
    let _ = cx
        .scheduler_tx
        .send(SchedulerEvent::Placement(Event::Cancelled(job)));
}
