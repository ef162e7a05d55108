//! Requests with a shape: the owner of a cell places them first.

use errors::{Error, ErrorKind, Result};
use model::CellId;
use wire::{Call as PeerCall, Cancel, OwnerRecord, Place, Placed, Reply};

use crate::call::{Admitted, Answered, Call};
use crate::context::Context;
use crate::dispatch::{Target, dispatch, unexpected_reply};
use crate::retry::{is_useful, pause_before_retry};

/// Placements of one request before its error goes to the caller.
const MAX_PLACEMENTS: u32 = 8;

/// Runs a request once its gang runs.
pub(crate) async fn run(cx: &Context, call: &Call<Admitted>) -> Result<Call<Answered>> {
    let mut last = None;
    for tries in 1..=MAX_PLACEMENTS {
        let report = match place_and_dispatch(cx, call).await {
            Ok(answered) => return Ok(answered),
            Err(report) => report,
        };
        if !is_useful(report.current_context())
            || !pause_before_retry(cx, call, report.current_context(), tries).await
        {
            return Err(report);
        }
        last = Some(report);
    }
    Err(last.unwrap_or_else(no_cell))
}

async fn place_and_dispatch(cx: &Context, call: &Call<Admitted>) -> Result<Call<Answered>> {
    let placed = place(cx, call).await?;
    let target = Target {
        addr: placed.agent_addr,
        incarnation: placed.incarnation,
        attempt: placed.attempt,
        gang: Some(placed.gang),
    };
    dispatch(cx, call, &target).await
}

/// Asks the owners in turn, the own cell first; another cell is asked only when one cannot take the job.
async fn place(cx: &Context, call: &Call<Admitted>) -> Result<Placed> {
    let mut last = None;
    for (_, owner) in owners(cx) {
        match place_at(cx, call, &owner).await {
            Ok(placed) => return Ok(placed),
            Err(report) if is_elsewhere_possible(report.current_context()) => last = Some(report),
            Err(report) => return Err(report),
        }
    }
    Err(last.unwrap_or_else(no_cell))
}

fn owners(cx: &Context) -> Vec<(CellId, OwnerRecord)> {
    let owners = cx.entry_board.owners.load();
    let mut owners: Vec<_> = owners
        .iter()
        .map(|(cell, owner)| (cell.clone(), owner.clone()))
        .collect();
    owners.sort_by_key(|(cell, _)| *cell != cx.settings.cell);
    owners
}

fn is_elsewhere_possible(error: &Error) -> bool {
    matches!(
        error.kind,
        ErrorKind::Infeasible | ErrorKind::Overloaded | ErrorKind::Unavailable
    )
}

async fn place_at(cx: &Context, call: &Call<Admitted>, owner: &OwnerRecord) -> Result<Placed> {
    let request = call.request(timer::now())?;
    let limit = request.timeout;
    let mut cancel = CancelOnDrop {
        cx,
        owner,
        job: Some(request.id),
    };
    let place = Place {
        request,
        entry: cx.settings.id.clone(),
    };
    let result = cx
        .peers
        .call(owner.addr, &PeerCall::Place(place), limit)
        .await;
    cancel.job = None;
    match result {
        Ok(Reply::Placed(placed)) => Ok(placed),
        Ok(_) => Err(unexpected_reply()),
        // Nothing was dispatched, so the request did not run whatever became of the placement.
        Err(report) => Err(not_run(report.current_context())),
    }
}

fn not_run(error: &Error) -> error_stack::Report<Error> {
    Error {
        verdict: errors::Verdict::NotRun,
        ..error.clone()
    }
    .report()
}

fn no_cell() -> error_stack::Report<Error> {
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
    job: Option<model::JobId>,
}

impl Drop for CancelOnDrop<'_> {
    fn drop(&mut self) {
        let Some(job) = self.job else { return };
        let peers = self.cx.peers.clone();
        let addr = self.owner.addr;
        tokio::spawn(async move {
            // An owner that does not hear this ends the gang when nobody claims it.
            let _ = peers
                .call(
                    addr,
                    &PeerCall::Cancel(Cancel { job }),
                    std::time::Duration::from_secs(1),
                )
                .await;
        });
    }
}
