//! Requests with an idempotency key: claimed first, so that all submissions share one run.

use error_stack::Report;
use errors::{Error, ErrorKind, Result, Verdict};
use model::{Attempt, CellId, EndpointId, GangId};
use policy::routing::Route;
use wire::{ClaimHolder, ClaimReleaseReason, ClaimReply, DispatchClaim};

use crate::call::{Admitted, Answered, Call};
use crate::claim::{Proposal, claim, find, holder};
use crate::context::Context;
use crate::dispatch::{Target, Undone, try_dispatch};
use crate::gang::{cancel_placement, is_elsewhere_possible, no_cell, owners, place_at};
use crate::retry::{pause_before_retry, with_earlier_tries};
use crate::short::{choose, no_endpoint};

/// Tries of one submission before its error goes to the caller.
const MAX_TRIES: u32 = 8;

/// Asks for the claim again without leaving its place; attempts count from 1.
const STAY: ClaimReleaseReason = ClaimReleaseReason::Unsent(0);

/// What a submission has learned from its earlier tries.
#[derive(Default)]
struct Tries {
    endpoints: Vec<EndpointId>,
    cells: Vec<CellId>,
    ended_gang: Option<GangId>,
    leave: Option<ClaimReleaseReason>,
    /// The last attempt that this submission dispatched.
    attempt: Attempt,
}

/// Runs a request or attaches to the submission that runs it.
pub(crate) async fn run(
    cx: &Context,
    call: &Call<Admitted>,
    content: u128,
) -> Result<Call<Answered>> {
    let mut tries = Tries::default();
    // A claim that fails, or finds no place, says nothing about an attempt that was dispatched before it.
    let mut earlier = Verdict::NotRun;
    for number in 1..=MAX_TRIES {
        let report = match run_once(cx, call, content, &mut tries).await {
            Ok(answered) => return Ok(answered),
            Err(report) => with_earlier_tries(earlier, report),
        };
        earlier = report.current_context().verdict;
        // `leave` is set only if another try cannot make the request run twice, whatever the verdict.
        let safe = Error {
            verdict: Verdict::NotRun,
            ..report.current_context().clone()
        };
        if number == MAX_TRIES
            || tries.leave.is_none()
            || !pause_before_retry(cx, call, &safe, number).await
        {
            // The owner may have queued the job again after a failed attempt.
            cancel_placement(cx, call);
            return Err(confirm(cx, call, content, &tries, report).await);
        }
    }
    Err(no_endpoint(call))
}

/// Keeps the verdict "not run" only if no other submission was granted a later attempt.
async fn confirm(
    cx: &Context,
    call: &Call<Admitted>,
    content: u128,
    tries: &Tries,
    report: Report<Error>,
) -> Report<Error> {
    let error = report.current_context();
    if error.verdict != Verdict::NotRun || tries.attempt == 0 {
        return report;
    }
    match claim(cx, call, content, Proposal::default()).await {
        Ok(claimed) if claimed.attempt <= tries.attempt => report,
        _ => Error::may_have_run(error.kind, error.message.clone()).report(),
    }
}

/// Makes one try; it leaves `tries.leave` empty if another one is of no use.
async fn run_once(
    cx: &Context,
    call: &Call<Admitted>,
    content: u128,
    tries: &mut Tries,
) -> Result<Call<Answered>> {
    let leave = tries.leave.take();
    let (claimed, route) = match call.state.request.shape {
        Some(_) => (locate_gang(cx, call, content, tries, leave).await?, None),
        None => locate_short(cx, call, content, tries, leave).await?,
    };
    if !claimed.newly_assigned && claimed.attempt > 0 {
        call.state.sent.set();
    }
    let Some(holder) = claimed.holder.clone() else {
        return Err(no_endpoint(call));
    };
    if stays(leave, &claimed) {
        return Err(unreachable(&holder));
    }
    tries.attempt = claimed.attempt;
    let target = target(&claimed, &holder, content);
    let result = try_dispatch(cx, call, &target).await;
    drop(route);
    result.map_err(|undone| give_up(call, undone, &claimed, tries))
}

/// Claims an endpoint for a request without a shape.
async fn locate_short(
    cx: &Context,
    call: &Call<Admitted>,
    content: u128,
    tries: &mut Tries,
    leave: Option<ClaimReleaseReason>,
) -> Result<(ClaimReply, Option<Route>)> {
    let route = choose(cx, call, &tries.endpoints);
    if let Some(route) = &route {
        tries.endpoints.push(route.endpoint.id.clone());
    }
    let proposal = Proposal {
        cell: None,
        holder: route.as_ref().map(|route| holder(&route.endpoint)),
        leave,
    };
    let claimed = claim(cx, call, content, proposal).await?;
    let claimed = complete(cx, call, content, claimed).await?;
    Ok((claimed, route))
}

/// Claims a cell for a request with a shape, waits for the placement there, and claims the agent.
async fn locate_gang(
    cx: &Context,
    call: &Call<Admitted>,
    content: u128,
    tries: &mut Tries,
    leave: Option<ClaimReleaseReason>,
) -> Result<ClaimReply> {
    let cells = owners(cx).into_iter().map(|(cell, _)| cell);
    let mut untried = cells.filter(|cell| !tries.cells.contains(cell));
    let first = untried.next().ok_or_else(no_cell)?;
    let proposal = Proposal {
        cell: Some(first),
        holder: None,
        leave,
    };
    let claimed = claim(cx, call, content, proposal).await?;
    let claimed = complete(cx, call, content, claimed).await?;
    let (None, Some(place)) = (&claimed.holder, &claimed.cell) else {
        return Ok(claimed);
    };
    let owner = cx.entry_board.owners.load().get(place).cloned();
    let owner = owner.ok_or_else(no_cell)?;
    let placed = match place_at(cx, call, place, &owner, tries.ended_gang).await {
        Ok(placed) => placed,
        Err(report) => {
            let error = report.current_context();
            if is_elsewhere_possible(error) && untried.next().is_some() {
                tries.cells.push(place.clone());
                tries.leave = Some(ClaimReleaseReason::Unplaceable);
            } else if error.kind.is_transient() {
                tries.leave = Some(STAY);
            }
            return Err(report);
        }
    };
    tries.ended_gang = Some(placed.gang);
    let proposal = Proposal {
        cell: claimed.cell,
        holder: Some(ClaimHolder {
            agent: placed.agent,
            addr: placed.agent_addr,
            incarnation: placed.incarnation,
            gang: Some(placed.gang),
        }),
        leave,
    };
    claim(cx, call, content, proposal).await
}

/// Adds what the agents know when the owner is too new to know all claims.
async fn complete(
    cx: &Context,
    call: &Call<Admitted>,
    content: u128,
    claimed: ClaimReply,
) -> Result<ClaimReply> {
    if !claimed.incomplete {
        return Ok(claimed);
    }
    let Some(found) = find(cx, call, content, &claimed).await? else {
        return Ok(claimed);
    };
    if claimed
        .holder
        .as_ref()
        .is_some_and(|h| h.addr == found.addr)
    {
        return Ok(claimed);
    }
    let proposal = Proposal {
        cell: claimed.cell,
        holder: Some(found),
        leave: Some(ClaimReleaseReason::Ended(claimed.attempt)),
    };
    claim(cx, call, content, proposal).await
}

/// Returns whether the claim stays at an agent that this entry could not reach and another one may have.
fn stays(leave: Option<ClaimReleaseReason>, claimed: &ClaimReply) -> bool {
    matches!(
        leave,
        Some(ClaimReleaseReason::Unsent(attempt))
            if attempt == claimed.attempt && !claimed.newly_assigned
    )
}

fn target(claimed: &ClaimReply, holder: &ClaimHolder, content: u128) -> Target {
    Target {
        addr: holder.addr,
        incarnation: holder.incarnation,
        attempt: claimed.attempt,
        gang: holder.gang,
        claim: Some(DispatchClaim {
            content_digest: content,
            epoch: claimed.epoch,
            retention: claimed.retention,
        }),
    }
}

/// Decides how the next try may go on, and returns the error for the caller in case there is none.
fn give_up(
    call: &Call<Admitted>,
    undone: Undone,
    claimed: &ClaimReply,
    tries: &mut Tries,
) -> Report<Error> {
    let idempotent = call.state.request.idempotent;
    let attempt = claimed.attempt;
    match undone {
        Undone::Refused(report) => {
            let error = report.current_context();
            let verdict = error.verdict;
            let again = verdict == Verdict::NotRun || (idempotent && verdict != Verdict::Ran);
            // A refused attempt is not the end of the request, other than a refused key or a cancellation.
            let refused = verdict == Verdict::NotRun && error.kind == ErrorKind::Cancelled;
            if again && (error.kind.is_transient() || refused) && error.kind != ErrorKind::Conflict
            {
                tries.leave = Some(ClaimReleaseReason::Ended(attempt));
            }
            report
        }
        Undone::Lost(report) => {
            let error = report.current_context();
            let unsent = error.verdict == Verdict::NotRun;
            tries.leave = match (idempotent, unsent) {
                _ if !error.kind.is_transient() => None,
                (true, _) => Some(ClaimReleaseReason::Ended(attempt)),
                (false, true) => Some(ClaimReleaseReason::Unsent(attempt)),
                // The agent may have the request; it is asked again and does not run it twice.
                (false, false) => Some(STAY),
            };
            // Another submission may have reached the agent.
            let error = Error::may_have_run(error.kind, error.message.clone());
            error.report()
        }
    }
}

fn unreachable(holder: &ClaimHolder) -> Report<Error> {
    let message = format!(
        "agent {} has the request and cannot be reached",
        holder.agent
    );
    Error::may_have_run(ErrorKind::Unavailable, message).report()
}
