//! Answering calls for the owner.

use std::sync::Arc;
use std::time::Duration;

use board::Membership;
use errors::{Error, ErrorKind, Result};
use model::{Endpoint, JobId, Resources};
use placement::{Event, GangEnd};
use tokio::sync::oneshot;
use tokio::time::timeout;
use wire::{Announce, Call, Directory, EndpointEntry, GangEnded, Place, Reply};

use crate::context::Context;
use crate::members::MemberEvent;
use crate::scheduler::SchedulerEvent;

/// How long a directory call waits for a change before it answers with what there is.
const DIRECTORY_WAIT: Duration = Duration::from_secs(1);

/// Answers a call, or refuses it if this process does not own the cell.
pub(crate) async fn answer(cx: &Arc<Context>, call: Call) -> Result<Reply> {
    if cx.epoch() == 0 {
        return Err(
            Error::not_run(ErrorKind::Unavailable, "this process does not own the cell").report(),
        );
    }
    match call {
        Call::Announce(announce) => announced(cx, announce).await,
        Call::Place(place) => placed(cx, place).await,
        Call::Cancel(cancel) => {
            let _ = cx
                .scheduler
                .send(SchedulerEvent::Placement(Event::Cancelled(cancel.job)));
            Ok(Reply::Done)
        }
        Call::GangEnded(ended) => {
            gang_ended(cx, ended);
            Ok(Reply::Done)
        }
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

async fn placed(cx: &Arc<Context>, place: Place) -> Result<Reply> {
    let (tx, rx) = oneshot::channel();
    let request = Arc::new(place.request);
    let mut cancel = CancelOnDrop {
        cx,
        job: Some(request.id),
    };
    let limit = request.timeout;
    let _ = cx.scheduler.send(SchedulerEvent::Submit { request, tx });
    let Ok(result) = timeout(limit, rx).await else {
        let message = "the deadline passed in the queue of the cell";
        return Err(Error::not_run(ErrorKind::Timeout, message).report());
    };
    cancel.job = None;
    result
        .unwrap_or_else(|_| Err(superseded()))
        .map(Reply::Placed)
}

/// Cancels a job whose entry no longer waits for it.
struct CancelOnDrop<'a> {
    cx: &'a Context,
    job: Option<JobId>,
}

impl Drop for CancelOnDrop<'_> {
    fn drop(&mut self) {
        if let Some(job) = self.job {
            let _ = self
                .cx
                .scheduler
                .send(SchedulerEvent::Placement(Event::Cancelled(job)));
        }
    }
}

fn gang_ended(cx: &Context, ended: GangEnded) {
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
}

/// Returns the directory once it is newer than `after`.
async fn directory(cx: &Context, after: u64) -> Result<Reply> {
    let mut changes = cx.listed.changes();
    let newer = changes.wait_for(|version| *version > after);
    let version = match timeout(DIRECTORY_WAIT, newer).await {
        Ok(Ok(version)) => *version,
        Ok(Err(_)) | Err(_) => after,
    };
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
        endpoints,
        free: fleet
            .free
            .iter()
            .fold(Resources::default(), |sum, free| sum.plus(*free)),
    }))
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
