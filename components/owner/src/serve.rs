//! Answering calls for the owner.

use std::sync::Arc;
use std::time::{Duration, Instant};

use board::Membership;
use errors::{Error, ErrorKind, Result};
use membership::liveness::SILENCE_LIMIT;
use model::{Endpoint, JobId, Resources};
use placement::{Event, GangEnd};
use tokio::sync::oneshot;
use tokio::time::timeout;
use wire::{
    Announce, Call, Cancel, CellSummary, Directory, EndpointEntry, GangEnded, Place, Placed, Reply,
};

use crate::claims;
use crate::context::Context;
use crate::members::MemberEvent;
use crate::records;
use crate::scheduler::SchedulerEvent;

/// How long a directory call waits for a change before it answers with what there is.
const DIRECTORY_WAIT: Duration = Duration::from_secs(1);

/// Agents notice the silence of the earlier owner within `SILENCE_LIMIT` and then look for the new one.
const SETTLE_TERM: Duration = SILENCE_LIMIT.saturating_add(Duration::from_secs(2));

/// Answers a call, or refuses it if this process does not own the cell.
pub(crate) async fn answer(cx: &Arc<Context>, call: Call) -> Result<Reply> {
    if cx.epoch() == 0 {
        return Err(
            Error::not_run(ErrorKind::Unavailable, "this process does not own the cell").report(),
        );
    }
    match call {
        Call::Announce(announce) => announced(cx, announce).await,
        Call::Place(call) => place(cx, call).await.map(Reply::Placed),
        Call::Cancel(cancel) => {
            cancelled(cx, &cancel);
            Ok(Reply::Done)
        }
        Call::Claim(claim) => claims::ask(cx, claim).await.map(Reply::Claimed),
        Call::GangEnded(ended) => gang_ended(cx, ended).await,
        Call::Workers => Ok(Reply::Workers(
            cx.board.fleet.load().workers.values().cloned().collect(),
        )),
        Call::Directory { after } => directory(cx, after).await,
        _ => {
            Err(Error::not_run(ErrorKind::NotFound, "an owner does not answer this call").report())
        }
    }
}

async fn announced(cx: &Context, announce: Announce) -> Result<Reply> {
    let (tx, rx) = oneshot::channel();
    let _ = cx.members.send(MemberEvent::Announced {
        announce: Box::new(announce),
        tx,
    });
    rx.await
        .unwrap_or_else(|_| Err(internal()))
        .map(Reply::Epoch)
}

fn cancelled(cx: &Context, cancel: &Cancel) {
    let event = match cancel.waiter {
        Some(waiter) => SchedulerEvent::Abandoned {
            job: cancel.job,
            waiter,
        },
        None => SchedulerEvent::Placement(Event::Cancelled(cancel.job)),
    };
    let _ = cx.scheduler.send(event);
}

/// Queues a request with a shape and returns its gang once it runs; a caller that goes away cancels it.
pub(crate) async fn place(cx: &Context, place: Place) -> Result<Placed> {
    let (tx, rx) = oneshot::channel();
    let request = Arc::new(place.request);
    let mut cancel = CancelOnDrop {
        cx,
        job: Some((request.id, place.waiter)),
    };
    let limit = request.timeout;
    let _ = cx.scheduler.send(SchedulerEvent::Submit {
        request,
        waiter: place.waiter,
        ended: place.ended,
        tx,
    });
    let Ok(result) = timeout(limit, rx).await else {
        let message = "the deadline passed in the queue of the cell";
        return Err(Error::not_run(ErrorKind::Timeout, message).report());
    };
    cancel.job = None;
    result.unwrap_or_else(|_| Err(superseded()))
}

/// Cancels a job whose entry no longer waits for it.
struct CancelOnDrop<'a> {
    cx: &'a Context,
    job: Option<(JobId, u64)>,
}

impl Drop for CancelOnDrop<'_> {
    fn drop(&mut self) {
        if let Some((job, waiter)) = self.job {
            let _ = self
                .cx
                .scheduler
                .send(SchedulerEvent::Abandoned { job, waiter });
        }
    }
}

async fn gang_ended(cx: &Context, ended: GangEnded) -> Result<Reply> {
    if ended.epoch > cx.epoch() {
        // The newer owner counts the gang until it hears of the end.
        let _ = cx.superseded.send(ended.epoch);
        let message = "a newer owner must hear of the end of the gang";
        return Err(Error::not_run(ErrorKind::StaleEpoch, message).report());
    }
    records::ended(cx, &ended).await;
    let end = match ended.error {
        None => GangEnd::Answered,
        Some(error) if error.kind == ErrorKind::Stopped => GangEnd::Stopped,
        Some(error) => GangEnd::Failed(error),
    };
    let event = Event::Ended {
        gang: ended.gang,
        end,
    };
    let _ = cx.scheduler.send(SchedulerEvent::Placement(event));
    Ok(Reply::Done)
}

/// Returns the directory once it is newer than `after`.
async fn directory(cx: &Context, after: u64) -> Result<Reply> {
    let mut changes = cx.listed.changes();
    let newer = changes.wait_for(|version| *version > after);
    let version = match timeout(DIRECTORY_WAIT, newer).await {
        Ok(Ok(version)) => *version,
        Ok(Err(_)) | Err(_) => after,
    };
    let membership = cx.board.membership.load();
    if membership.epoch != cx.epoch() || membership.epoch == 0 {
        // The section was emptied with the ownership; the entry must keep the endpoints that it knows.
        return Err(superseded());
    }
    let endpoints = if version == after {
        Vec::new()
    } else {
        Vec::clone(&cx.listed.load())
    };
    let fleet = cx.board.fleet.load();
    Ok(Reply::Directory(Directory {
        version,
        epoch: cx.epoch(),
        revision: cx.board.config.load().revision,
        recovering: cx.is_recovering(),
        live_jobs: u32::try_from(cx.jobs.load().live.len()).unwrap_or(u32::MAX),
        endpoints,
        free: fleet
            .free
            .iter()
            .fold(Resources::default(), |sum, free| sum.plus(*free)),
        region: cx.settings.region.clone(),
        summary: CellSummary::clone(&cx.summary.load()),
        settled: is_settled(&membership, timer::now()),
    }))
}

/// Returns whether every agent that is alive had the time to announce itself to this owner.
fn is_settled(membership: &Membership, now: Instant) -> bool {
    membership.epoch == 1
        || membership
            .since
            .is_some_and(|since| now.saturating_duration_since(since) >= SETTLE_TERM)
}

/// Returns the endpoints that entries may know.
pub(crate) fn entries(membership: &Membership) -> Vec<EndpointEntry> {
    let serving = membership
        .serving
        .values()
        .map(|e| entry(e, e.state.free, false));
    let draining = membership.draining.values().map(|e| entry(e, 0, true));
    serving.chain(draining).collect()
}

fn entry<S>(endpoint: &Endpoint<S>, free: u32, draining: bool) -> EndpointEntry {
    EndpointEntry {
        id: endpoint.id.clone(),
        agent: endpoint.agent.clone(),
        agent_addr: endpoint.agent_addr,
        incarnation: endpoint.incarnation,
        service: endpoint.service.clone(),
        place: endpoint.place.clone(),
        slots: endpoint.slots,
        free,
        draining,
    }
}

fn superseded() -> error_stack::Report<Error> {
    Error::not_run(ErrorKind::Unavailable, "the ownership of the cell moved").report()
}

fn internal() -> error_stack::Report<Error> {
    Error::not_run(ErrorKind::Internal, "a controller of the owner ended").report()
}
