//! Choosing where an attempt runs.

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

/// How often a job looks again for a free endpoint or for a fleet that can hold it.
const LOOK_INTERVAL: Duration = Duration::from_millis(200);

/// Where an attempt runs.
#[derive(Debug)]
pub(crate) struct Target {
    pub(crate) agent: AgentId,
    pub(crate) addr: SocketAddr,
    pub(crate) incarnation: u64,
    pub(crate) gang: Option<GangId>,
    /// Counts the attempt at its endpoint until it is dropped.
    pub(crate) _route: Option<Route>,
}

/// Waits for a place for the request, for at most its timeout.
pub(crate) async fn choose(cx: &Context, request: Request) -> Result<Target, Error> {
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
        let place_call = Place {
            request,
            entry: cx.settings.id.clone(),
            waiter: fastrand::u64(..),
            ended: None,
        };
        match place(cx, place_call).await {
            Ok(placed) => {
                return Ok(Target {
                    agent: placed.agent,
                    addr: placed.agent_addr,
                    incarnation: placed.incarnation,
                    gang: Some(placed.gang),
                    _route: None,
                });
            }
            Err(report) if may_change(cx, report.current_context()) => look_later(cx).await,
            Err(report) => return Err(report.current_context().clone()),
        }
    }
}

/// Returns whether the job may be queued again: the fleet is not yet known, the queue is full, or the refusal is about
/// the gang of an earlier attempt, whose end the record knows already.
fn may_change(cx: &Context, error: &Error) -> bool {
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
        look_later(cx).await;
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

async fn look_later(cx: &Context) {
    cx.timer.subscribe_after(LOOK_INTERVAL).recv().await;
}

/// Takes a job with a shape out of the queue, or stops its gang.
pub(crate) fn give_back(cx: &Context, job: model::JobId) {
    let _ = cx
        .scheduler
        .send(SchedulerEvent::Placement(Event::Cancelled(job)));
}
