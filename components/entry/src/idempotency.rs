//! Requests with an idempotency key, which are claimed before dispatch so that repeated submissions share one run.

use error_stack::Report;
use errors::{Error, ErrorKind, Result, Verdict};
use model::{Attempt, CellId, EndpointId, GangId};
use policy::routing::Route;
use wire::{ClaimHolder, ClaimReleaseReason, ClaimReply, DispatchClaim};

use crate::call::{Admitted, Answered, Call};
use crate::claim::{Proposal, claim, find_holder, holder_of};
use crate::context::Context;
use crate::direct::{choose_route, no_endpoint};
use crate::dispatch::{DispatchFailure, Target, try_dispatch};
use crate::gang::{
    cancel_placement, may_try_other_cell, no_reachable_owner, owners_local_first, place_at,
};
use crate::retry::{pause_before_retry, with_earlier_verdict};

/// Maximum number of tries of one submission before its error is returned to the caller.
const MAX_TRIES: u32 = 8;

/// Repeats a claim without moving it to another holder: attempts count from 1, so attempt 0 matches none.
const SAME_HOLDER: ClaimReleaseReason = ClaimReleaseReason::Unsent(0);

/// State that a submission carries from one try to the next.
#[derive(Default)]
struct RetryState {
    /// Endpoints that were proposed.
    tried_endpoints: Vec<EndpointId>,
    /// Cells that could not place the request.
    tried_cells: Vec<CellId>,
    /// The gang of the last try, which the owner must not assign again.
    ended_gang: Option<GangId>,
    /// Why the next claim releases the current holder; `None` after a try ends the retries.
    release: Option<ClaimReleaseReason>,
    /// The last attempt that this submission dispatched.
    attempt: Attempt,
}

/// Runs a request, or attaches to its run if another submission has started it.
pub(crate) async fn run(
    cx: &Context,
    call: &Call<Admitted>,
    content_digest: u128,
) -> Result<Call<Answered>> {
    let mut state = RetryState::default();
    // A try that fails before it dispatches does not tell whether an attempt of an earlier try ran.
    let mut earlier_verdict = Verdict::NotRun;
    for try_number in 1..=MAX_TRIES {
        let report = match run_once(cx, call, content_digest, &mut state).await {
            Ok(answered) => return Ok(answered),
            Err(report) => with_earlier_verdict(earlier_verdict, report),
        };
        earlier_verdict = report.current_context().verdict;
        // `release` is set only if another try cannot run the request twice, so the retry policy may ignore the verdict.
        let repeatable = Error {
            verdict: Verdict::NotRun,
            ..report.current_context().clone()
        };
        if try_number == MAX_TRIES
            || state.release.is_none()
            || !pause_before_retry(cx, call, &repeatable, try_number).await
        {
            // The owner may have requeued the job after a failed attempt.
            cancel_placement(cx, call);
            return Err(confirm_not_run(cx, call, content_digest, &state, report).await);
        }
    }
    Err(no_endpoint(call))
}

/// Changes the verdict "not run" to "may have run" unless the home cell confirms that there was no later attempt.
async fn confirm_not_run(
    cx: &Context,
    call: &Call<Admitted>,
    content_digest: u128,
    state: &RetryState,
    report: Report<Error>,
) -> Report<Error> {
    let error = report.current_context();
    if error.verdict != Verdict::NotRun || state.attempt == 0 {
        return report;
    }
    match claim(cx, call, content_digest, Proposal::default()).await {
        Ok(claimed) if claimed.attempt <= state.attempt => report,
        _ => Error::may_have_run(error.kind, error.message.clone()).report(),
    }
}

/// Claims and dispatches the request once; sets `state.release` if the request may be tried again.
async fn run_once(
    cx: &Context,
    call: &Call<Admitted>,
    content_digest: u128,
    state: &mut RetryState,
) -> Result<Call<Answered>> {
    let release = state.release.take();
    let (claimed, route) = match call.state.request.shape {
        Some(_) => (
            place_and_claim(cx, call, content_digest, state, release).await?,
            None,
        ),
        None => claim_endpoint(cx, call, content_digest, state, release).await?,
    };
    if !claimed.newly_assigned && claimed.attempt > 0 {
        call.state.sent.set();
    }
    let Some(holder) = claimed.holder.clone() else {
        return Err(no_endpoint(call));
    };
    if is_holder_unreachable(release, &claimed) {
        return Err(holder_unreachable(&holder));
    }
    state.attempt = claimed.attempt;
    let target = target(&claimed, &holder, content_digest);
    let result = try_dispatch(cx, call, &target).await;
    drop(route);
    result.map_err(|failure| record_failure(call, failure, &claimed, state))
}

/// Claims an endpoint for a request without a shape.
async fn claim_endpoint(
    cx: &Context,
    call: &Call<Admitted>,
    content_digest: u128,
    state: &mut RetryState,
    release: Option<ClaimReleaseReason>,
) -> Result<(ClaimReply, Option<Route>)> {
    let route = choose_route(cx, call, &state.tried_endpoints);
    if let Some(route) = &route {
        state.tried_endpoints.push(route.endpoint.id.clone());
    }
    let proposal = Proposal {
        cell: None,
        holder: route.as_ref().map(|route| holder_of(&route.endpoint)),
        release,
    };
    let claimed = claim(cx, call, content_digest, proposal).await?;
    let claimed = complete_claim(cx, call, content_digest, claimed).await?;
    Ok((claimed, route))
}

/// Claims a cell for a request with a shape, waits until the cell has placed it, and claims the agent.
async fn place_and_claim(
    cx: &Context,
    call: &Call<Admitted>,
    content_digest: u128,
    state: &mut RetryState,
    release: Option<ClaimReleaseReason>,
) -> Result<ClaimReply> {
    let cells = owners_local_first(cx).into_iter().map(|(cell, _)| cell);
    let mut untried = cells.filter(|cell| !state.tried_cells.contains(cell));
    let first = untried.next().ok_or_else(no_reachable_owner)?;
    let proposal = Proposal {
        cell: Some(first),
        holder: None,
        release,
    };
    let claimed = claim(cx, call, content_digest, proposal).await?;
    let claimed = complete_claim(cx, call, content_digest, claimed).await?;
    let (None, Some(claimed_cell)) = (&claimed.holder, &claimed.cell) else {
        return Ok(claimed);
    };
    let owner = cx.entry_board.owners.load().get(claimed_cell).cloned();
    let owner = owner.ok_or_else(no_reachable_owner)?;
    let placed = match place_at(cx, call, claimed_cell, &owner, state.ended_gang).await {
        Ok(placed) => placed,
        Err(report) => {
            let error = report.current_context();
            if may_try_other_cell(error) && untried.next().is_some() {
                state.tried_cells.push(claimed_cell.clone());
                state.release = Some(ClaimReleaseReason::Unplaceable);
            } else if error.kind.is_transient() {
                state.release = Some(SAME_HOLDER);
            }
            return Err(report);
        }
    };
    state.ended_gang = Some(placed.gang);
    let proposal = Proposal {
        cell: claimed.cell,
        holder: Some(ClaimHolder {
            agent: placed.agent,
            addr: placed.agent_addr,
            incarnation: placed.incarnation,
            gang: Some(placed.gang),
        }),
        release,
    };
    claim(cx, call, content_digest, proposal).await
}

/// Queries the agents for an existing run if the owner is too new to know all claims.
async fn complete_claim(
    cx: &Context,
    call: &Call<Admitted>,
    content_digest: u128,
    claimed: ClaimReply,
) -> Result<ClaimReply> {
    if !claimed.incomplete {
        return Ok(claimed);
    }
    let Some(found) = find_holder(cx, call, content_digest, &claimed).await? else {
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
        release: Some(ClaimReleaseReason::Ended(claimed.attempt)),
    };
    claim(cx, call, content_digest, proposal).await
}

/// Returns whether the claim stays with an agent that this entry could not reach, because another entry may have
/// reached it.
fn is_holder_unreachable(release: Option<ClaimReleaseReason>, claimed: &ClaimReply) -> bool {
    matches!(release, Some(ClaimReleaseReason::Unsent(attempt)) if attempt == claimed.attempt && !claimed.newly_assigned)
}

fn target(claimed: &ClaimReply, holder: &ClaimHolder, content_digest: u128) -> Target {
    Target {
        addr: holder.addr,
        incarnation: holder.incarnation,
        attempt: claimed.attempt,
        gang: holder.gang,
        claim: Some(DispatchClaim {
            content_digest,
            epoch: claimed.epoch,
            retention: claimed.retention,
        }),
    }
}

/// Sets `state.release` if the request may be tried again, and returns the error to report if it is not.
fn record_failure(
    call: &Call<Admitted>,
    failure: DispatchFailure,
    claimed: &ClaimReply,
    state: &mut RetryState,
) -> Report<Error> {
    let idempotent = call.state.request.idempotent;
    let attempt = claimed.attempt;
    match failure {
        DispatchFailure::Rejected(report) => {
            let error = report.current_context();
            let verdict = error.verdict;
            let may_repeat = verdict == Verdict::NotRun || (idempotent && verdict != Verdict::Ran);
            // "Cancelled" with "not run" means that the agent refused this attempt, so a later one may run. A conflict
            // on the key and a cancellation of the request are final.
            let refused = verdict == Verdict::NotRun && error.kind == ErrorKind::Cancelled;
            if may_repeat
                && (error.kind.is_transient() || refused)
                && error.kind != ErrorKind::Conflict
            {
                state.release = Some(ClaimReleaseReason::Ended(attempt));
            }
            report
        }
        DispatchFailure::Transport(report) => {
            let error = report.current_context();
            let unsent = error.verdict == Verdict::NotRun;
            state.release = match (idempotent, unsent) {
                _ if !error.kind.is_transient() => None,
                (true, _) => Some(ClaimReleaseReason::Ended(attempt)),
                (false, true) => Some(ClaimReleaseReason::Unsent(attempt)),
                // The agent may have the request; sending it again is safe because the agent does not run it twice.
                (false, false) => Some(SAME_HOLDER),
            };
            // The request may have reached the agent through another submission.
            let error = Error::may_have_run(error.kind, error.message.clone());
            error.report()
        }
    }
}

fn holder_unreachable(holder: &ClaimHolder) -> Report<Error> {
    let message = format!(
        "agent {} has the request and cannot be reached",
        holder.agent
    );
    Error::may_have_run(ErrorKind::Unavailable, message).report()
}
