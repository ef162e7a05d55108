//! Requests with a shape: the owner of a cell places them first.

use std::net::SocketAddr;
use std::time::Duration;

use errors::{Error, ErrorKind, Result, Verdict};
use model::{CellId, GangId, JobId};
use wire::{Call as PeerCall, Cancel, OwnerRecord, Peers, Place, Placed, Reply};

use crate::call::{Admitted, Answered, Call};
use crate::context::Context;
use crate::dispatch::{Target, dispatch, unexpected_reply};
use crate::retry::{pause_before_requeue, pause_before_retry, with_earlier_tries};
use crate::takeover::Takeover;

/// Placements of one request before its error goes to the caller.
const MAX_PLACEMENTS: u32 = 8;
/// How long an owner may take to hear of a cancellation.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(1);

/// Runs a request once its gang runs.
pub(crate) async fn run(cx: &Context, call: &Call<Admitted>) -> Result<Call<Answered>> {
    let result = run_placements(cx, call).await;
    if result.is_err() {
        // The owner may have queued the job again after a failed attempt.
        cancel_everywhere(cx, call.state.request.id);
    }
    result
}

async fn run_placements(cx: &Context, call: &Call<Admitted>) -> Result<Call<Answered>> {
    let mut tries = 0;
    let mut earlier = Verdict::NotRun;
    let mut ended = None;
    loop {
        tries += 1;
        let report = match place_and_dispatch(cx, call, &mut ended).await {
            Ok(answered) => return Ok(answered),
            Err(report) => with_earlier_tries(earlier, report),
        };
        let error = report.current_context();
        if tries == MAX_PLACEMENTS
            || !error.kind.is_transient()
            || !pause(cx, call, error, tries).await
        {
            return Err(report);
        }
        earlier = error.verdict;
    }
}

async fn pause(cx: &Context, call: &Call<Admitted>, error: &Error, tries: u32) -> bool {
    if error.kind == ErrorKind::Stopped {
        return pause_before_requeue(cx, call, tries).await;
    }
    pause_before_retry(cx, call, error, tries).await
}

fn cancel_everywhere(cx: &Context, job: JobId) {
    for (_, owner) in owners(cx) {
        send_cancel(&cx.peers, owner.addr, job, None);
    }
}

/// Cancels the placement of a request with an idempotency key unless another submission waits for it.
pub(crate) fn cancel_placement(cx: &Context, call: &Call<Admitted>) {
    if call.state.request.shape.is_none() {
        return;
    }
    for (_, owner) in owners(cx) {
        send_cancel(
            &cx.peers,
            owner.addr,
            call.state.request.id,
            Some(fastrand::u64(..)),
        );
    }
}

/// An owner that does not hear this ends the gang when nobody claims it.
fn send_cancel(peers: &Peers, addr: SocketAddr, job: JobId, waiter: Option<u64>) {
    let peers = peers.clone();
    let cancel = PeerCall::Cancel(Cancel { job, waiter });
    tokio::spawn(async move { peers.call(addr, &cancel, CANCEL_TIMEOUT).await });
}

/// Places and dispatches; `ended` names the gang of the last try, which the owner must not hand out again.
async fn place_and_dispatch(
    cx: &Context,
    call: &Call<Admitted>,
    ended: &mut Option<GangId>,
) -> Result<Call<Answered>> {
    let placed = place(cx, call, *ended).await?;
    *ended = Some(placed.gang);
    let target = Target {
        addr: placed.agent_addr,
        incarnation: placed.incarnation,
        attempt: placed.attempt,
        gang: Some(placed.gang),
        claim: None,
    };
    dispatch(cx, call, &target).await
}

/// Places a request, and waits for the next owner while no owner can be reached.
async fn place(cx: &Context, call: &Call<Admitted>, ended: Option<GangId>) -> Result<Placed> {
    let mut takeover = Takeover::start(cx);
    loop {
        match place_once(cx, call, ended).await {
            Ok(value) => return Ok(value),
            Err(report) => takeover.wait(cx, call, report).await?,
        }
    }
}

/// Asks the owners in turn, the own cell first; another cell is asked only when one cannot take the job.
async fn place_once(cx: &Context, call: &Call<Admitted>, ended: Option<GangId>) -> Result<Placed> {
    let mut last = None;
    for (cell, owner) in owners(cx) {
        match place_at(cx, call, &cell, &owner, ended).await {
            Ok(placed) => return Ok(placed),
            Err(report) if is_elsewhere_possible(report.current_context()) => last = Some(report),
            Err(report) => return Err(report),
        }
    }
    Err(last.unwrap_or_else(no_cell))
}

pub(crate) fn owners(cx: &Context) -> Vec<(CellId, OwnerRecord)> {
    let owners = cx.entry_board.owners.load();
    let mut owners: Vec<_> = owners
        .iter()
        .map(|(cell, owner)| (cell.clone(), owner.clone()))
        .collect();
    owners.sort_by_key(|(cell, _)| *cell != cx.settings.cell);
    owners
}

pub(crate) fn is_elsewhere_possible(error: &Error) -> bool {
    matches!(
        error.kind,
        ErrorKind::Infeasible | ErrorKind::Overloaded | ErrorKind::Unavailable
    )
}

pub(crate) async fn place_at(
    cx: &Context,
    call: &Call<Admitted>,
    home: &CellId,
    owner: &OwnerRecord,
    ended: Option<GangId>,
) -> Result<Placed> {
    let request = call.request(timer::now())?;
    let limit = request.timeout;
    let waiter = fastrand::u64(..);
    let mut cancel = CancelOnDrop {
        cx,
        owner,
        job: Some(request.id),
        waiter: call.state.content.map(|_| waiter),
    };
    let place = Place {
        request,
        entry: cx.settings.id.clone(),
        waiter,
        ended,
    };
    let place = PeerCall::Place(place);
    let result = tokio::select! {
        result = cx.peers.call(owner.addr, &place, limit) => result,
        // A frozen owner keeps its connections open and never answers.
        () = superseded(cx, home, owner) => Err(moved()),
    };
    cancel.job = None;
    match result {
        Ok(Reply::Placed(placed)) => Ok(placed),
        Ok(_) => Err(unexpected_reply()),
        // Nothing was dispatched, so the request did not run whatever became of the placement.
        Err(report) => Err(not_run(report.current_context())),
    }
}

/// Returns once the cell has a newer owner.
async fn superseded(cx: &Context, cell: &CellId, owner: &OwnerRecord) {
    let mut changes = cx.entry_board.owners.changes();
    loop {
        let newest = cx.entry_board.owners.load().get(cell).map(|new| new.epoch);
        if newest.is_some_and(|epoch| epoch > owner.epoch) {
            return;
        }
        // The section lives as long as the process.
        let _ = changes.changed().await;
    }
}

fn moved() -> error_stack::Report<Error> {
    Error::not_run(ErrorKind::Unavailable, "the ownership of the cell moved").report()
}

fn not_run(error: &Error) -> error_stack::Report<Error> {
    Error {
        verdict: Verdict::NotRun,
        ..error.clone()
    }
    .report()
}

pub(crate) fn no_cell() -> error_stack::Report<Error> {
    Error::not_run(
        ErrorKind::Unavailable,
        "no cell has an owner that can be reached",
    )
    .report()
}

/// Cancels the placement of a request whose caller went away.
struct CancelOnDrop<'a> {
    cx: &'a Context,
    owner: &'a OwnerRecord,
    job: Option<JobId>,
    /// Set if others may wait for the job as well.
    waiter: Option<u64>,
}

impl Drop for CancelOnDrop<'_> {
    fn drop(&mut self) {
        if let Some(job) = self.job {
            send_cancel(&self.cx.peers, self.owner.addr, job, self.waiter);
        }
    }
}
