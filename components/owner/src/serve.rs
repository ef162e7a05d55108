//! Handles calls for the owner.

use std::sync::Arc;
use std::time::{Duration, Instant};

use board::Membership;
use errors::{Error, ErrorKind, Result};
use membership::liveness::SILENCE_LIMIT;
use model::{Endpoint, JobId};
use placement::{Event, GangEnd};
use tokio::sync::oneshot;
use tokio::time::timeout;
use wire::{Announce, Call, Cancel, Directory, EndpointEntry, GangEnded, Place, Placed, Reply};

use crate::claims;
use crate::context::Context;
use crate::members::MemberEvent;
use crate::observations;
use crate::published::Ownership;
use crate::scheduler::SchedulerEvent;

/// How long a directory call waits for a change before it is answered without one.
const DIRECTORY_WAIT: Duration = Duration::from_secs(1);

/// Time for the agents to announce themselves: they notice the loss of the earlier owner within `SILENCE_LIMIT` and then
/// look up the new one.
const SETTLE_TIME: Duration = SILENCE_LIMIT.saturating_add(Duration::from_secs(2));

/// Handles a call, or refuses it if this process does not own the cell.
pub(crate) async fn handle_call(cx: &Arc<Context>, call: Call) -> Result<Reply> {
    if cx.epoch() == 0 {
        return Err(
            Error::not_run(ErrorKind::Unavailable, "this process does not own the cell").report(),
        );
    }
    match call {
        Call::Announce(announce) => handle_announce(cx, announce).await,
        Call::Place(call) => place(cx, call).await.map(Reply::Placed),
        Call::Cancel(cancel) => {
            handle_cancel(cx, &cancel);
            Ok(Reply::Done)
        }
        Call::Claim(claim) => claims::submit(cx, claim).await.map(Reply::Claimed),
        Call::GangEnded(ended) => handle_gang_ended(cx, ended).await,
        Call::Workers => read_workers(cx),
        Call::Directory { after } => read_directory(cx, after).await,
        _ => Err(Error::not_run(
            ErrorKind::NotFound,
            "a cell owner does not support this call",
        )
        .report()),
    }
}

async fn handle_announce(cx: &Context, announce: Announce) -> Result<Reply> {
    let (tx, rx) = oneshot::channel();
    let _ = cx.members_tx.send(MemberEvent::Announced {
        announce: Box::new(announce),
        tx,
    });
    rx.await
        .unwrap_or_else(|_| Err(controller_stopped()))
        .map(Reply::Epoch)
}

fn handle_cancel(cx: &Context, cancel: &Cancel) {
    let event = match cancel.waiter {
        Some(waiter) => SchedulerEvent::Abandoned {
            job: cancel.job,
            waiter,
        },
        None => SchedulerEvent::Placement(Event::Cancelled(cancel.job)),
    };
    let _ = cx.scheduler_tx.send(event);
}

/// Queues a request with a shape and returns its placement once its gang runs. Dropping the future abandons the request.
pub(crate) async fn place(cx: &Context, place: Place) -> Result<Placed> {
    let (tx, rx) = oneshot::channel();
    let request = Arc::new(place.request);
    let mut abandon = AbandonOnDrop {
        cx,
        job: Some((request.id, place.waiter)),
    };
    let limit = request.timeout;
    let _ = cx.scheduler_tx.send(SchedulerEvent::Submit {
        request,
        waiter: place.waiter,
        ended: place.ended,
        tx,
    });
    let Ok(result) = timeout(limit, rx).await else {
        let message = "the deadline passed in the queue of the cell";
        return Err(Error::not_run(ErrorKind::Timeout, message).report());
    };
    abandon.job = None;
    result.unwrap_or_else(|_| Err(ownership_moved()))
}

/// Abandons a submission whose caller no longer waits for the placement.
struct AbandonOnDrop<'a> {
    cx: &'a Context,
    job: Option<(JobId, u64)>,
}

impl Drop for AbandonOnDrop<'_> {
    fn drop(&mut self) {
        if let Some((job, waiter)) = self.job {
            let _ = self
                .cx
                .scheduler_tx
                .send(SchedulerEvent::Abandoned { job, waiter });
        }
    }
}

async fn handle_gang_ended(cx: &Context, ended: GangEnded) -> Result<Reply> {
    if ended.epoch > cx.epoch() {
        // The newer owner counts the gang as running until the end is reported to it.
        let _ = cx.superseded_tx.send(ended.epoch);
        let message = "the end of the gang must be reported to the newer owner";
        return Err(Error::not_run(ErrorKind::StaleEpoch, message).report());
    }
    observations::record_end(cx, &ended).await;
    let end = match ended.error {
        None => GangEnd::Answered,
        Some(error) if error.kind == ErrorKind::Stopped => GangEnd::Stopped,
        Some(error) => GangEnd::Failed(error),
    };
    let event = Event::Ended {
        gang: ended.gang,
        end,
    };
    let _ = cx.scheduler_tx.send(SchedulerEvent::Placement(event));
    Ok(Reply::Done)
}

/// Returns the workers of the cell, or an error while agents of an earlier owner may be missing: without them, guarantees would seem
/// not to fit.
fn read_workers(cx: &Context) -> Result<Reply> {
    let ownership = current_ownership(cx)?;
    let membership = cx.board.membership.load();
    let is_known = membership.epoch == ownership.epoch
        && !ownership.is_recovering()
        && is_settled(&membership, timer::now());
    if !is_known {
        let message = "the owner of the cell has changed and does not know all workers yet";
        let error = Error::not_run(ErrorKind::Unavailable, message);
        return Err(error.retry_after(SETTLE_TIME).report());
    }
    let fleet = cx.board.fleet.load();
    Ok(Reply::Workers(fleet.workers.values().cloned().collect()))
}

/// Returns the directory once it is newer than `after`, or without endpoints after `DIRECTORY_WAIT`.
async fn read_directory(cx: &Context, after: u64) -> Result<Reply> {
    let mut changes = cx.directory.changes();
    let newer = changes.wait_for(|version| *version > after);
    let version = match timeout(DIRECTORY_WAIT, newer).await {
        Ok(Ok(version)) => *version,
        Ok(Err(_)) | Err(_) => after,
    };
    let membership = cx.board.membership.load();
    // An error makes the entry keep the endpoints that it knows.
    let ownership = current_ownership(cx)?;
    if membership.epoch != ownership.epoch {
        return Err(ownership_moved());
    }
    let endpoints = if version == after {
        Vec::new()
    } else {
        Vec::clone(&cx.directory.load())
    };
    let live_jobs = ownership
        .jobs
        .load()
        .as_ref()
        .as_ref()
        .map(|jobs| jobs.live.len());
    Ok(Reply::Directory(Directory {
        version,
        epoch: ownership.epoch,
        revision: cx.board.config.load().revision,
        recovering: ownership.is_recovering(),
        live_jobs: live_jobs.map(|live| u32::try_from(live).unwrap_or(u32::MAX)),
        endpoints,
        region: cx.settings.region.clone(),
        summary: Option::clone(&ownership.summary.load()),
        settled: is_settled(&membership, timer::now()),
    }))
}

/// Returns the ownership, or an error if this process does not own the cell, or was paused and may have been replaced.
fn current_ownership(cx: &Context) -> Result<Arc<Ownership>> {
    let ownership = cx.ownership();
    let current = ownership.filter(|owned| owned.is_current(timer::now()));
    current.ok_or_else(ownership_moved)
}

/// Returns whether every live agent has had time to announce itself to this owner.
fn is_settled(membership: &Membership, now: Instant) -> bool {
    membership.epoch == 1
        || membership
            .since
            .is_some_and(|since| now.saturating_duration_since(since) >= SETTLE_TIME)
}

/// Returns the directory of serving and draining endpoints; draining ones have no free slots.
pub(crate) fn endpoint_entries(membership: &Membership) -> Vec<EndpointEntry> {
    let serving = membership
        .serving
        .values()
        .map(|e| endpoint_entry(e, e.state.free, false));
    let draining = membership
        .draining
        .values()
        .map(|e| endpoint_entry(e, 0, true));
    serving.chain(draining).collect()
}

fn endpoint_entry<S>(endpoint: &Endpoint<S>, free: u32, draining: bool) -> EndpointEntry {
    EndpointEntry {
        id: endpoint.id.clone(),
        agent: endpoint.agent.clone(),
        agent_addr: endpoint.agent_addr,
        incarnation: endpoint.incarnation,
        service: endpoint.service.clone(),
        location: endpoint.location.clone(),
        slots: endpoint.slots,
        free,
        draining,
    }
}

fn ownership_moved() -> error_stack::Report<Error> {
    Error::not_run(ErrorKind::Unavailable, "the ownership of the cell moved").report()
}

fn controller_stopped() -> error_stack::Report<Error> {
    Error::not_run(ErrorKind::Internal, "a controller of the owner stopped").report()
}
