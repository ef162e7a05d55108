//! Executes the actions of the placement controller.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use errors::{Error, ErrorKind, Verdict};
use indexmap::IndexMap;
use membership::reservation::GANG_LEASE_TERM;
use model::{AgentId, Gang, GangId, Member, Planned, Running};
use placement::{Action, Event, GangEnd, StopReason};
use tokio::task::JoinSet;
use wire::{Call, Placed, Reserve, StartGang, StopGang};

use crate::context::Context;
use crate::observations;
use crate::recovery::LEADER_TIMEOUT;
use crate::scheduler::{SchedulerEvent, hex_id};

/// Timeout of a reservation call; a reservation that was granted lapses after 2 s.
const RESERVE_TIMEOUT: Duration = Duration::from_millis(600);
/// Timeout for the start of a gang; allows for one lost message.
const START_TIMEOUT: Duration = Duration::from_millis(1500);
/// Delay before a job whose reservation was refused is placed again. Without it, an agent that drains or was restarted is
/// asked repeatedly until its next heartbeat.
const REFUSAL_DELAY: Duration = Duration::from_millis(50);
/// Upper bound of the delay that an agent asks for; a longer one would delay urgent work, which must start within 1.1 s.
const MAX_REFUSAL_DELAY: Duration = Duration::from_millis(200);
const STOP_TIMEOUT: Duration = Duration::from_millis(800);

/// Starts a task that executes the action.
pub(crate) fn execute(cx: &Arc<Context>, action: Action) {
    let cx = Arc::clone(cx);
    match action {
        Action::Reserve(gang) => drop(tokio::spawn(reserve(cx, gang))),
        Action::Start(gang) => drop(tokio::spawn(start(cx, gang))),
        Action::Release(gang) => drop(tokio::spawn(release(cx, gang))),
        Action::Stop { gang, reason } => drop(tokio::spawn(stop(cx, gang, reason))),
        // The scheduler answers the waiting entry itself.
        Action::Refuse { .. } | Action::Free { .. } => {}
    }
}

/// Reserves all members and the endpoint slot concurrently; one refusal fails the whole gang.
async fn reserve(cx: Arc<Context>, gang: Arc<Gang<Planned>>) {
    let epoch = cx.epoch();
    let mut calls = JoinSet::new();
    for (agent, members) in members_by_agent(&gang) {
        let call = Call::Reserve(Reserve {
            cell: cx.settings.cell.clone(),
            epoch,
            gang: gang.id,
            job: gang.job,
            members,
            runs_request: agent == gang.endpoint_agent,
        });
        let cx = Arc::clone(&cx);
        calls.spawn(async move {
            let result = call_agent(&cx, &agent, &call, RESERVE_TIMEOUT).await;
            result.map_err(|error| (agent, error))
        });
    }
    let refused = calls.join_all().await.into_iter().find_map(Result::err);
    let event = match refused {
        None => Event::Reserved {
            gang: gang.id,
            epoch,
        },
        Some((agent, error)) => {
            log::info!(
                target: "limpethook",
                gang:% = hex_id(gang.id), agent:% = agent, error:% = error;
                "reservation_refused"
            );
            let delay = error.retry_after.unwrap_or(REFUSAL_DELAY);
            cx.timer
                .subscribe_after(delay.min(MAX_REFUSAL_DELAY))
                .recv()
                .await;
            Event::ReservationRefused {
                gang: gang.id,
                agent,
                error,
            }
        }
    };
    let _ = cx.scheduler_tx.send(SchedulerEvent::Placement(event));
}

/// Groups the members by agent; the agent of the endpoint is always included.
fn members_by_agent<S>(gang: &Gang<S>) -> IndexMap<AgentId, Vec<Member>> {
    let mut agents: IndexMap<AgentId, Vec<Member>> = IndexMap::new();
    agents.insert(gang.endpoint_agent.clone(), Vec::new());
    for member in &gang.members {
        agents
            .entry(member.agent.clone())
            .or_default()
            .push(member.clone());
    }
    agents
}

async fn call_agent(
    cx: &Context,
    agent: &AgentId,
    call: &Call,
    timeout: Duration,
) -> Result<(), Error> {
    let addr = agent_addr(cx, agent)
        .ok_or_else(|| Error::not_run(ErrorKind::Unavailable, format!("unknown agent {agent}")))?;
    match cx.peers.call(addr, call, timeout).await {
        Ok(_) => Ok(()),
        Err(report) => {
            let error = report.current_context().clone();
            if error.kind == ErrorKind::StaleEpoch {
                let _ = cx.superseded_tx.send(cx.epoch() + 1);
            }
            Err(error)
        }
    }
}

fn agent_addr(cx: &Context, agent: &AgentId) -> Option<SocketAddr> {
    cx.board
        .membership
        .load()
        .agents
        .get(agent)
        .map(|agent| agent.addr)
}

/// Asks the leader to start the gang, and reports the result to the scheduler.
async fn start(cx: Arc<Context>, gang: Arc<Gang<Running>>) {
    let Some(job) = cx.board.queue.load().active.get(&gang.job).cloned() else {
        return;
    };
    let agents = members_by_agent(&gang);
    let agents = agents
        .into_keys()
        .filter_map(|agent| agent_addr(&cx, &agent).map(|addr| (agent, addr)));
    let call = Call::StartGang(StartGang {
        epoch: gang.state.epoch,
        gang: gang.id,
        attempt: gang.attempt,
        agents: agents.collect(),
        members: gang.members.clone(),
        request: model::Request::clone(&job.request),
    });
    match call_agent(&cx, &gang.endpoint_agent, &call, START_TIMEOUT).await {
        Ok(()) => report_started(&cx, &gang),
        Err(error) => abort_start(&cx, &gang, error).await,
    }
}

fn report_started(cx: &Context, gang: &Gang<Running>) {
    let membership = cx.board.membership.load();
    let Some(agent) = membership.agents.get(&gang.endpoint_agent) else {
        return;
    };
    let incarnation = membership
        .serving
        .get(&gang.endpoint)
        .map(|endpoint| endpoint.incarnation);
    let placed = Placed {
        gang: gang.id,
        epoch: gang.state.epoch,
        attempt: gang.attempt,
        agent: gang.endpoint_agent.clone(),
        agent_addr: agent.addr,
        incarnation: incarnation.unwrap_or_default(),
        workers: gang
            .members
            .iter()
            .map(|member| member.worker.clone())
            .collect(),
    };
    log::info!(
        target: "limpethook",
        gang:% = hex_id(gang.id), request:% = hex_id(gang.job), attempt = gang.attempt, agent:% = gang.endpoint_agent,
        members = gang.members.len();
        "gang_started"
    );
    observations::record_start(cx, gang);
    let _ = cx.scheduler_tx.send(SchedulerEvent::Started {
        job: gang.job,
        placed,
    });
}

/// Ends a gang that did not start. Its request was not dispatched, because no entry received the placement.
async fn abort_start(cx: &Arc<Context>, gang: &Gang<Running>, error: Error) {
    log::warn!(target: "limpethook", gang:% = hex_id(gang.id), error:% = error; "gang_not_started");
    if error.verdict != Verdict::NotRun {
        stop_members(cx, gang, ErrorKind::Cancelled).await;
        cx.timer.subscribe_after(2 * GANG_LEASE_TERM).recv().await;
    }
    let event = Event::Ended {
        gang: gang.id,
        end: GangEnd::NeverRan,
    };
    let _ = cx.scheduler_tx.send(SchedulerEvent::Placement(event));
}

/// Ends a gang of an earlier owner unless its leader reports in time.
pub(crate) fn end_leaderless(cx: &Arc<Context>, gang: &Arc<Gang<Running>>) {
    let (cx, gang) = (Arc::clone(cx), Arc::clone(gang));
    tokio::spawn(async move {
        cx.timer.subscribe_after(LEADER_TIMEOUT).recv().await;
        let known = cx.board.fleet.load().running.get(&gang.id).cloned();
        if known.is_none_or(|known| !known.endpoint.is_empty()) {
            return;
        }
        log::warn!(target: "limpethook", gang:% = hex_id(gang.id), members = gang.members.len(); "gang_without_leader");
        stop_members(&cx, &gang, ErrorKind::Cancelled).await;
        // A leader that is cut off from this owner ends the gang when it notices the stopped members.
        cx.timer.subscribe_after(GANG_LEASE_TERM).recv().await;
        let event = Event::Ended {
            gang: gang.id,
            end: GangEnd::MemberLost,
        };
        let _ = cx.scheduler_tx.send(SchedulerEvent::Placement(event));
    });
}

async fn release(cx: Arc<Context>, gang: Arc<Gang<Planned>>) {
    stop_members(&cx, &gang, ErrorKind::Cancelled).await;
}

async fn stop(cx: Arc<Context>, gang: Arc<Gang<Running>>, reason: StopReason) {
    let reason = match reason {
        StopReason::Cancelled => ErrorKind::Cancelled,
        StopReason::Reclaimed | StopReason::MemberLost => ErrorKind::Stopped,
    };
    let call = Call::StopGang(stop_call(&cx, gang.id, reason));
    // The leader reports the end. If the leader is lost, its missing heartbeats end the gang.
    let _ = call_agent(&cx, &gang.endpoint_agent, &call, STOP_TIMEOUT).await;
}

async fn stop_members<S>(cx: &Arc<Context>, gang: &Gang<S>, reason: ErrorKind) {
    let mut calls = JoinSet::new();
    for agent in members_by_agent(gang).into_keys() {
        let call = Call::StopGang(stop_call(cx, gang.id, reason));
        let cx = Arc::clone(cx);
        // A reservation that this call does not reach lapses by itself.
        calls.spawn(async move { call_agent(&cx, &agent, &call, STOP_TIMEOUT).await });
    }
    calls.join_all().await;
}

fn stop_call(cx: &Context, gang: GangId, reason: ErrorKind) -> StopGang {
    StopGang {
        gang,
        epoch: Some(cx.epoch()),
        reason,
        release: true,
    }
}
