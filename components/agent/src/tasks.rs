//! Starts, renews and stops the tasks of gangs at the worker platform.

use std::sync::Arc;
use std::time::{Duration, Instant};

use errors::Result;
use indexmap::IndexMap;
use model::{GangId, Member, Request, WorkerId};
use tokio::time::timeout;
use workers::{StartTask, TaskId};

use crate::context::Context;
use crate::gangs::state::{LocalGang, State};
use crate::gangs::{GangEvent, ReplySender};

/// Minimum remaining run term of a gang whose tasks are renewed; tasks with less are left to expire.
const MIN_RENEWAL_TERM: Duration = Duration::from_millis(300);
/// Minimum remaining run term of a gang whose pulses arrive on time: the run term less a pulse interval and the network
/// delay.
const ON_TIME_TERM: Duration = Duration::from_millis(600);
/// How long a stop waits for starts in progress; tasks that start later end when their lease expires.
const START_TIMEOUT: Duration = Duration::from_millis(300);
/// Bounds of the delay before a stop that a worker did not confirm is retried.
const MIN_STOP_RETRY_DELAY: Duration = Duration::from_millis(250);
const MAX_STOP_RETRY_DELAY: Duration = Duration::from_secs(4);
/// Timeout of a checkpoint when capacity is reclaimed; urgent work must start within 1.1 s of its acceptance.
const CHECKPOINT_TIMEOUT: Duration = Duration::from_millis(400);

/// Starts the tasks of a gang on this agent's workers.
pub(crate) fn start(cx: &Arc<Context>, id: GangId, gang: &LocalGang, until: Instant) {
    let Some(request) = &gang.request else { return };
    for member in &gang.members {
        for number in 0..member.tasks {
            let task = new_task(id, member, number, request);
            let start = start_task(Arc::clone(cx), id, member.worker.clone(), task, until);
            gang.pending_starts.spawn(start);
        }
    }
}

async fn start_task(
    cx: Arc<Context>,
    gang: GangId,
    worker: WorkerId,
    mut task: StartTask,
    until: Instant,
) {
    // An agent process that was paused must not start a task whose run term has ended.
    task.lease = until.saturating_duration_since(timer::now());
    if task.lease.is_zero() {
        return;
    }
    let event = match try_start(&cx, &worker, &task).await {
        Ok(()) => GangEvent::TaskStarted {
            gang,
            worker,
            task: task.task,
        },
        Err(report) => GangEvent::TaskFailed {
            gang,
            worker,
            message: report.current_context().message.clone(),
        },
    };
    let _ = cx.gangs_tx.send(event);
}

async fn try_start(cx: &Context, worker: &str, task: &StartTask) -> Result<()> {
    cx.platform(worker)?.start_task(worker, task).await
}

fn new_task(id: GangId, member: &Member, number: u32, request: &Request) -> StartTask {
    StartTask {
        task: task_id(id, &member.worker, number),
        gang: id,
        account: request.account.clone(),
        service: request.service.clone(),
        resources: member.per_task,
        lease: Duration::ZERO,
    }
}

fn task_id(gang: GangId, worker: &str, number: u32) -> TaskId {
    format!("{gang:032x}-{worker}-{number}").into()
}

fn task_ids(id: GangId, member: &Member) -> impl Iterator<Item = TaskId> {
    (0..member.tasks).map(move |number| task_id(id, &member.worker, number))
}

/// The tasks of one renewal call to a worker, and the earliest end of their run terms.
type Batch = (Instant, Vec<(GangId, TaskId)>);

/// Renews the tasks of all running gangs, with at most two calls per worker.
///
/// A call sets one lease for all its tasks. Gangs whose pulses are late are renewed in a separate call, so that their
/// short run terms do not shorten the leases of the other gangs.
pub(crate) fn renew(state: &State, now: Instant) {
    let mut batches: IndexMap<(WorkerId, bool), Batch> = IndexMap::new();
    for (id, gang) in &state.gangs {
        let Some(until) = gang
            .run_until
            .filter(|until| *until >= now + MIN_RENEWAL_TERM)
        else {
            continue;
        };
        let on_time = until >= now + ON_TIME_TERM;
        // Only started tasks are renewed; a renewal that overtook the start would find the task unknown.
        for (worker, started) in &gang.started_tasks {
            let batch = batches.entry((worker.clone(), on_time));
            let (earliest, tasks) = batch.or_insert((until, Vec::new()));
            *earliest = until.min(*earliest);
            tasks.extend(started.iter().map(|task| (*id, task.clone())));
        }
    }
    for ((worker, _), (until, tasks)) in batches {
        tokio::spawn(renew_worker(Arc::clone(&state.cx), worker, until, tasks));
    }
}

async fn renew_worker(
    cx: Arc<Context>,
    worker: WorkerId,
    until: Instant,
    tasks: Vec<(GangId, TaskId)>,
) {
    // An agent process that was paused must not renew tasks whose run term has ended.
    let lease = until.saturating_duration_since(timer::now());
    if lease.is_zero() {
        return;
    }
    let ids: Vec<TaskId> = tasks.iter().map(|(_, task)| task.clone()).collect();
    // If the worker does not answer, the leases of its tasks expire and a later renewal reports the tasks as ended.
    let Ok(platform) = cx.platform(&worker) else {
        return;
    };
    let Ok(renewed) = platform.renew_tasks(&worker, &ids, lease).await else {
        return;
    };
    for ended in renewed.ended {
        let Some((gang, _)) = tasks.iter().find(|(_, task)| *task == ended.task) else {
            continue;
        };
        let message = format!("task {} ended: {:?}", ended.task, ended.end);
        let failed = GangEvent::TaskFailed {
            gang: *gang,
            worker: worker.clone(),
            message: message.into(),
        };
        let _ = cx.gangs_tx.send(failed);
    }
}

/// Stops the tasks of a gang, after a checkpoint with a timeout if `checkpoint` is set, and sends the result to `tx`.
///
/// `StopConfirmed` is sent for each worker that has confirmed the stop of all its tasks. Until then a start that was
/// sent to the worker may still take effect, so its resources must not be reserved again.
pub(crate) fn stop(
    cx: &Arc<Context>,
    id: GangId,
    gang: &LocalGang,
    checkpoint: bool,
    tx: Option<ReplySender<()>>,
) {
    let members: Vec<(WorkerId, Vec<TaskId>)> = gang
        .members
        .iter()
        .map(|member| (member.worker.clone(), task_ids(id, member).collect()))
        .collect();
    let (cx, starts) = (Arc::clone(cx), gang.pending_starts.clone());
    tokio::spawn(async move {
        // If a stop overtook the start of its task, the task would run after its resources were released.
        starts.close();
        let _ = timeout(START_TIMEOUT, starts.wait()).await;
        let mut stops = tokio::task::JoinSet::new();
        for (worker, tasks) in members {
            stops.spawn(stop_on_worker(Arc::clone(&cx), worker, tasks, checkpoint));
        }
        let stopped = stops.join_all().await.into_iter().all(|stopped| stopped);
        let Some(tx) = tx else { return };
        let result = if stopped {
            Ok(())
        } else {
            Err(unconfirmed_stop_error())
        };
        let _ = tx.send(result);
    });
}

/// Stops the tasks on one worker; returns false and retries in the background if the worker does not confirm.
async fn stop_on_worker(
    cx: Arc<Context>,
    worker: WorkerId,
    tasks: Vec<TaskId>,
    checkpoint: bool,
) -> bool {
    let stopped = stop_worker_tasks(&cx, &worker, &tasks, checkpoint).await;
    if stopped {
        let _ = cx.gangs_tx.send(GangEvent::StopConfirmed { worker });
    } else {
        tokio::spawn(retry_stop(cx, worker, tasks));
    }
    stopped
}

async fn retry_stop(cx: Arc<Context>, worker: WorkerId, tasks: Vec<TaskId>) {
    let mut delay = MIN_STOP_RETRY_DELAY;
    loop {
        cx.timer.subscribe_after(delay).recv().await;
        if stop_worker_tasks(&cx, &worker, &tasks, false).await {
            let _ = cx.gangs_tx.send(GangEvent::StopConfirmed { worker });
            return;
        }
        delay = (2 * delay).min(MAX_STOP_RETRY_DELAY);
    }
}

async fn stop_worker_tasks(
    cx: &Arc<Context>,
    worker: &WorkerId,
    tasks: &[TaskId],
    checkpoint: bool,
) -> bool {
    let mut stops = tokio::task::JoinSet::new();
    for task in tasks {
        let (cx, worker, task) = (Arc::clone(cx), worker.clone(), task.clone());
        stops.spawn(stop_task(cx, worker, task, checkpoint));
    }
    stops.join_all().await.into_iter().all(|stopped| stopped)
}

fn unconfirmed_stop_error() -> error_stack::Report<errors::Error> {
    let message =
        "a worker did not confirm that it stopped a task; the task ends when its lease expires";
    errors::Error::may_have_run(errors::ErrorKind::Unavailable, message).report()
}

async fn stop_task(cx: Arc<Context>, worker: WorkerId, task: TaskId, checkpoint: bool) -> bool {
    let Ok(platform) = cx.platform(&worker) else {
        return false;
    };
    if checkpoint {
        // If the checkpoint does not complete in time, the job resumes from its previous one.
        let _ = timeout(CHECKPOINT_TIMEOUT, platform.checkpoint_task(&worker, &task)).await;
    }
    platform.stop_task(&worker, &task).await.is_ok()
}
