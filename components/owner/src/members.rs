//! The membership controller: applies announcements and heartbeats, and removes agents that stop sending them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use board::{Agent, Membership};
use errors::{Error, ErrorKind, Result};
use membership::liveness;
use membership::reservation::GANG_LEASE_TERM;
use model::{AgentId, Announced, Endpoint, Epoch, Gang, Running};
use placement::{Event, GangEnd};
use tokio::sync::{mpsc, oneshot};
use wire::{Ack, Announce, EndpointEntry, Heartbeat, Packet};

use crate::context::Context;
use crate::recovery::GangReport;
use crate::scheduler::SchedulerEvent;
use crate::serve;

/// How often agents are checked for missing heartbeats.
const SWEEP_INTERVAL: Duration = Duration::from_millis(250);
/// A longer gap between two wakeups of the controller means that this process was paused and received no heartbeats.
const PAUSE_THRESHOLD: Duration = Duration::from_secs(1);
/// A gang that started at least this long ago must be in the announcement of its leader.
const START_GRACE: Duration = Duration::from_secs(5);
/// Maximum number of events that are applied to one copy of the membership section.
const MAX_BATCH: usize = 64;

/// An event for the membership controller.
#[derive(Debug)]
pub(crate) enum MemberEvent {
    /// The process owns the cell at a new epoch, or no longer owns it (0).
    Reset { epoch: Epoch },
    /// An agent reports its endpoint, workers and gangs.
    Announced {
        announce: Box<Announce>,
        tx: oneshot::Sender<Result<Epoch>>,
    },
    /// An agent is alive.
    Heartbeat {
        from: SocketAddr,
        heartbeat: Heartbeat,
    },
}

/// Queues a heartbeat for the controller.
pub(crate) fn enqueue_heartbeat(cx: &Context, from: SocketAddr, heartbeat: Heartbeat) {
    let _ = cx
        .members_tx
        .send(MemberEvent::Heartbeat { from, heartbeat });
}

/// Runs the controller until all senders are dropped.
pub(crate) async fn run(mut rx: mpsc::UnboundedReceiver<MemberEvent>, cx: Arc<Context>) {
    let mut sweeps = cx.timer.subscribe_every(SWEEP_INTERVAL);
    let mut batch = Vec::with_capacity(MAX_BATCH);
    let mut last_wakeup = timer::now();
    loop {
        tokio::select! {
            received = rx.recv_many(&mut batch, MAX_BATCH) => if received == 0 { return },
            _ = sweeps.recv() => {}
        }
        let now = timer::now();
        let mut membership = Membership::clone(&cx.board.membership.load());
        let before = MembershipSummary::of(&membership);
        let gap = now.saturating_duration_since(std::mem::replace(&mut last_wakeup, now));
        if gap >= PAUSE_THRESHOLD {
            log::warn!(target: "limpethook", gap_ms = gap.as_millis(); "owner_paused");
            liveness::extend_silence_limits(&mut membership, gap);
        }
        let replies: Vec<_> = batch
            .drain(..)
            .filter_map(|event| apply_event(&cx, &mut membership, event, now))
            .collect();
        for lost in liveness::remove_silent_agents(&mut membership, now) {
            log::warn!(target: "limpethook", agent:% = lost.agent; "agent_lost");
            end_gangs_led_by(&cx, &lost.agent, |_| true);
        }
        let changed = before != MembershipSummary::of(&membership) || !replies.is_empty();
        let directory = serve::endpoint_entries(&membership);
        if **cx.directory.load() != *directory {
            cx.directory.publish(directory);
        }
        cx.board.membership.publish(membership);
        if changed {
            let _ = cx
                .scheduler_tx
                .send(SchedulerEvent::Placement(Event::MembershipChanged));
        }
        // An announcement is confirmed only after the section contains the agent.
        for (tx, result) in replies {
            let _ = tx.send(result);
        }
    }
}

/// The parts of the membership whose change triggers placement.
#[derive(PartialEq, Eq)]
struct MembershipSummary {
    agents: usize,
    serving: usize,
    draining: usize,
    epoch: Epoch,
}

impl MembershipSummary {
    fn of(membership: &Membership) -> Self {
        Self {
            agents: membership.agents.len(),
            serving: membership.serving.len(),
            draining: membership.draining.len(),
            epoch: membership.epoch,
        }
    }
}

type AnnounceReply = (oneshot::Sender<Result<Epoch>>, Result<Epoch>);

fn apply_event(
    cx: &Arc<Context>,
    membership: &mut Membership,
    event: MemberEvent,
    now: Instant,
) -> Option<AnnounceReply> {
    match event {
        MemberEvent::Reset { epoch } => {
            *membership = Membership {
                epoch,
                since: Some(now),
                ..Membership::default()
            };
            None
        }
        MemberEvent::Announced { announce, tx } => {
            let result = apply_announce(cx, membership, *announce, now);
            Some((tx, result))
        }
        MemberEvent::Heartbeat { from, heartbeat } => {
            apply_heartbeat(cx, membership, from, &heartbeat, now);
            None
        }
    }
}

fn apply_announce(
    cx: &Arc<Context>,
    membership: &mut Membership,
    announce: Announce,
    now: Instant,
) -> Result<Epoch> {
    if membership.epoch == 0 {
        return Err(
            Error::not_run(ErrorKind::Unavailable, "this process does not own the cell").report(),
        );
    }
    if let Err(report) =
        liveness::check_announcement(membership, &announce.agent, announce.incarnation)
    {
        log::warn!(
            target: "limpethook",
            agent:% = announce.agent, incarnation = announce.incarnation, error:% = report.current_context();
            "announcement_rejected"
        );
        return Err(report);
    }
    log::info!(
        target: "limpethook",
        agent:% = announce.agent, addr:% = announce.addr, workers = announce.workers.len(),
        gangs = announce.gangs.len();
        "agent_announced"
    );
    end_unreported_gangs(cx, membership, &announce, now);
    let agent = Agent {
        id: announce.agent.clone(),
        addr: announce.addr,
        incarnation: announce.incarnation,
        workers: announce.workers,
        last_seen: now,
        config_revision: 0,
    };
    let endpoint = announce
        .endpoint
        .map(|entry| announced_endpoint(entry, now));
    let endpoint_id = endpoint.as_ref().map(|endpoint| endpoint.id.clone());
    liveness::announce(membership, agent, endpoint);
    for held in announce.gangs {
        let report = GangReport {
            agent: announce.agent.clone(),
            endpoint: endpoint_id.clone(),
            held,
        };
        let _ = cx.scheduler_tx.send(SchedulerEvent::GangReported(report));
    }
    Ok(membership.epoch)
}

fn announced_endpoint(entry: EndpointEntry, now: Instant) -> Endpoint<Announced> {
    Endpoint {
        id: entry.id,
        agent: entry.agent,
        agent_addr: entry.agent_addr,
        incarnation: entry.incarnation,
        service: entry.service,
        location: entry.location,
        slots: entry.slots,
        state: Announced { at: now },
    }
}

fn apply_heartbeat(
    cx: &Arc<Context>,
    membership: &mut Membership,
    from: SocketAddr,
    heartbeat: &Heartbeat,
    now: Instant,
) {
    if membership.epoch == 0 {
        return;
    }
    if heartbeat.epoch > membership.epoch {
        let _ = cx.superseded_tx.send(heartbeat.epoch);
        return;
    }
    let beat = liveness::Heartbeat {
        agent: heartbeat.agent.clone(),
        incarnation: heartbeat.incarnation,
        endpoint: endpoint_of_agent(membership, &heartbeat.agent),
        free: heartbeat.free,
        config_revision: heartbeat.revision,
        draining: heartbeat.draining,
    };
    let known = liveness::heartbeat(membership, &beat, now).is_ok();
    let ack = Ack {
        epoch: membership.epoch,
        revision: cx.board.config.load().revision,
        announce: !known,
    };
    let cx = Arc::clone(cx);
    tokio::spawn(async move { cx.datagrams.send(from, Packet::Ack(ack)).await });
}

fn endpoint_of_agent(membership: &Membership, agent: &AgentId) -> Option<model::EndpointId> {
    let announced = membership
        .announced
        .values()
        .find(|e| e.agent == *agent)
        .map(|e| &e.id);
    let serving = membership
        .serving
        .values()
        .find(|e| e.agent == *agent)
        .map(|e| &e.id);
    let draining = membership
        .draining
        .values()
        .find(|e| e.agent == *agent)
        .map(|e| &e.id);
    announced.or(serving).or(draining).cloned()
}

/// Ends the gangs that an agent led and no longer reports: it was restarted, or its report of the end was lost.
fn end_unreported_gangs(
    cx: &Arc<Context>,
    membership: &Membership,
    announce: &Announce,
    now: Instant,
) {
    let known = membership.agents.get(&announce.agent);
    let restarted = known.is_some_and(|agent| agent.incarnation != announce.incarnation);
    end_gangs_led_by(cx, &announce.agent, |gang| {
        let old = now.saturating_duration_since(gang.state.since) >= START_GRACE;
        let reported = announce.gangs.iter().any(|held| held.gang == gang.id);
        !reported && (restarted || old)
    });
}

/// Ends gangs that a lost or restarted agent led, once the gang lease has lapsed and their members can no longer run.
fn end_gangs_led_by(cx: &Arc<Context>, agent: &AgentId, ends: impl Fn(&Gang<Running>) -> bool) {
    let fleet = cx.board.fleet.load();
    let led = fleet
        .running
        .values()
        .filter(|gang| gang.endpoint_agent == *agent && ends(gang));
    for gang in led.map(|gang| gang.id) {
        let cx = Arc::clone(cx);
        tokio::spawn(async move {
            cx.timer.subscribe_after(GANG_LEASE_TERM).recv().await;
            let event = Event::Ended {
                gang,
                end: GangEnd::MemberLost,
            };
            let _ = cx.scheduler_tx.send(SchedulerEvent::Placement(event));
        });
    }
}
