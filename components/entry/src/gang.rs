//! Requests with a shape, which the owner of a cell places as a gang before they are dispatched.

use std::net::SocketAddr;
use std::time::Duration;

use errors::{Error, ErrorKind, Result, Verdict};
use model::{CellId, GangId, JobId};
use wire::{Call as PeerCall, Cancel, OwnerRecord, Peers, Place, Placed, Reply};

use crate::call::{Admitted, Answered, Call};
use crate::context::Context;
use crate::dispatch::{Target, dispatch, unexpected_reply};
use crate::retry::{pause_before_requeue, pause_before_retry, with_earlier_verdict};
use crate::takeover::TakeoverWait;

/// Maximum number of placements of one request before its error is returned to the caller.
const MAX_PLACEMENTS: u32 = 8;
/// Timeout of a cancellation call to an owner.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(1);

/// Places the gang of a request and runs the request on it.
pub(crate) async fn run(cx: &Context, call: &Call<Admitted>) -> Result<Call<Answered>> {
    let result = run_with_retries(cx, call).await;
    if result.is_err() {
        // The owner may have requeued the job after a failed attempt.
        cancel_at_all_owners(cx, call.state.request.id);
    }
    result
}

async fn run_with_retries(cx: &Context, call: &Call<Admitted>) -> Result<Call<Answered>> {
    let mut tries = 0;
    let mut earlier_verdict = Verdict::NotRun;
    let mut ended_gang = None;
    loop {
        tries += 1;
        let report = match place_and_dispatch(cx, call, &mut ended_gang).await {
            Ok(answered) => return Ok(answered),
            Err(report) => with_earlier_verdict(earlier_verdict, report),
        };
        let error = report.current_context();
        if tries == MAX_PLACEMENTS
            || !error.kind.is_transient()
            || !pause_before_next_try(cx, call, error, tries).await
        {
            return Err(report);
        }
        earlier_verdict = error.verdict;
    }
}

async fn pause_before_next_try(
    cx: &Context,
    call: &Call<Admitted>,
    error: &Error,
    tries: u32,
) -> bool {
    if error.kind == ErrorKind::Stopped {
        return pause_before_requeue(cx, call, tries).await;
    }
    pause_before_retry(cx, call, error, tries).await
}

fn cancel_at_all_owners(cx: &Context, job: JobId) {
    for (_, owner) in owners_local_first(cx) {
        send_cancel(&cx.peers, owner.addr, job, None);
    }
}

/// Cancels the placement of a request with an idempotency key, unless another submission is waiting for it.
pub(crate) fn cancel_placement(cx: &Context, call: &Call<Admitted>) {
    if call.state.request.shape.is_none() {
        return;
    }
    for (_, owner) in owners_local_first(cx) {
        send_cancel(
            &cx.peers,
            owner.addr,
            call.state.request.id,
            Some(fastrand::u64(..)),
        );
    }
}

/// Sends a cancellation without waiting for it; an owner that misses it ends the gang when no request arrives for it.
fn send_cancel(peers: &Peers, addr: SocketAddr, job: JobId, waiter: Option<u64>) {
    let peers = peers.clone();
    let cancel = PeerCall::Cancel(Cancel { job, waiter });
    tokio::spawn(async move { peers.call(addr, &cancel, CANCEL_TIMEOUT).await });
}

/// Places and dispatches a request; `ended_gang` is the gang of the last try, which the owner must not assign again.
async fn place_and_dispatch(
    cx: &Context,
    call: &Call<Admitted>,
    ended_gang: &mut Option<GangId>,
) -> Result<Call<Answered>> {
    let placed = place_or_wait(cx, call, *ended_gang).await?;
    *ended_gang = Some(placed.gang);
    let target = Target {
        addr: placed.agent_addr,
        incarnation: placed.incarnation,
        attempt: placed.attempt,
        gang: Some(placed.gang),
        claim: None,
    };
    dispatch(cx, call, &target).await
}

/// Places a request, waiting for a takeover while no owner can be reached.
async fn place_or_wait(
    cx: &Context,
    call: &Call<Admitted>,
    ended_gang: Option<GangId>,
) -> Result<Placed> {
    let mut takeover = TakeoverWait::start(cx);
    loop {
        match place_once(cx, call, ended_gang).await {
            Ok(value) => return Ok(value),
            Err(report) => takeover.wait(cx, call, report).await?,
        }
    }
}

/// Tries the cells in turn, the entry's own cell first, until one can take the job.
async fn place_once(
    cx: &Context,
    call: &Call<Admitted>,
    ended_gang: Option<GangId>,
) -> Result<Placed> {
    let mut last_error = None;
    for (cell, owner) in owners_local_first(cx) {
        match place_at(cx, call, &cell, &owner, ended_gang).await {
            Ok(placed) => return Ok(placed),
            Err(report) if may_try_other_cell(report.current_context()) => {
                last_error = Some(report);
            }
            Err(report) => return Err(report),
        }
    }
    Err(last_error.unwrap_or_else(no_reachable_owner))
}

/// Returns all cells with their owners, the entry's own cell first.
pub(crate) fn owners_local_first(cx: &Context) -> Vec<(CellId, OwnerRecord)> {
    let owners = cx.entry_board.owners.load();
    let mut owners: Vec<_> = owners
        .iter()
        .map(|(cell, owner)| (cell.clone(), owner.clone()))
        .collect();
    owners.sort_by_key(|(cell, _)| *cell != cx.settings.cell);
    owners
}

/// Returns whether another cell may be able to take a job that failed with this error.
pub(crate) fn may_try_other_cell(error: &Error) -> bool {
    matches!(
        error.kind,
        ErrorKind::Infeasible | ErrorKind::Overloaded | ErrorKind::Unavailable
    )
}

/// Asks one owner to place a request and waits for its gang; cancels the placement if the caller disconnects.
pub(crate) async fn place_at(
    cx: &Context,
    call: &Call<Admitted>,
    cell_id: &CellId,
    owner: &OwnerRecord,
    ended_gang: Option<GangId>,
) -> Result<Placed> {
    let request = call.request(timer::now())?;
    let limit = request.timeout;
    let waiter = fastrand::u64(..);
    let mut cancel = CancelOnDrop {
        cx,
        owner,
        job: Some(request.id),
        waiter: call.state.content_digest.map(|_| waiter),
    };
    let place = Place {
        request,
        entry: cx.settings.id.clone(),
        waiter,
        ended: ended_gang,
    };
    let place = PeerCall::Place(place);
    let result = tokio::select! {
        result = cx.peers.call(owner.addr, &place, limit) => result,
        // A frozen process keeps its connections open, so a call to it would wait until the deadline.
        () = wait_until_superseded(cx, cell_id, owner) => Err(ownership_moved()),
    };
    cancel.job = None;
    match result {
        Ok(Reply::Placed(placed)) => Ok(placed),
        Ok(_) => Err(unexpected_reply()),
        // Nothing was dispatched, so the request did not run, whether or not the placement succeeded.
        Err(report) => Err(not_run(report.current_context())),
    }
}

/// Waits until the cell has an owner with a higher epoch.
async fn wait_until_superseded(cx: &Context, cell: &CellId, owner: &OwnerRecord) {
    let mut changes = cx.entry_board.owners.changes();
    loop {
        let newest_epoch = cx.entry_board.owners.load().get(cell).map(|new| new.epoch);
        if newest_epoch.is_some_and(|epoch| epoch > owner.epoch) {
            return;
        }
        // Cannot fail, because the section lives as long as the process.
        let _ = changes.changed().await;
    }
}

fn ownership_moved() -> error_stack::Report<Error> {
    Error::not_run(ErrorKind::Unavailable, "the ownership of the cell moved").report()
}

fn not_run(error: &Error) -> error_stack::Report<Error> {
    Error {
        verdict: Verdict::NotRun,
        ..error.clone()
    }
    .report()
}

pub(crate) fn no_reachable_owner() -> error_stack::Report<Error> {
    Error::not_run(ErrorKind::Unavailable, "no cell has a reachable owner").report()
}

/// Cancels the placement of a request when its caller disconnects.
struct CancelOnDrop<'a> {
    cx: &'a Context,
    owner: &'a OwnerRecord,
    job: Option<JobId>,
    /// Set if other submissions may be waiting for the same job.
    waiter: Option<u64>,
}

impl Drop for CancelOnDrop<'_> {
    fn drop(&mut self) {
        if let Some(job) = self.job {
            send_cancel(&self.cx.peers, self.owner.addr, job, self.waiter);
        }
    }
}
