//! The state of the gang controller.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use errors::{Error, Verdict};
use indexmap::IndexMap;
use membership::Reservations;
use membership::fencing::Fence;
use membership::leader::{Arming, Leader, Leading, Stopping};
use model::{AgentId, Epoch, GangId, JobId, Member, Request, WorkerId};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;
use wire::HeldGang;
use workers::TaskId;

use crate::context::Context;
use crate::gangs::ReplySender;
use crate::slots::Slot;

/// Reservations of this agent and the gangs that it leads, by state.
pub(crate) struct State {
    pub(crate) cx: Arc<Context>,
    pub(crate) fence: Fence,
    pub(crate) reservations: Reservations,
    /// The gangs with a reservation at this agent.
    pub(crate) gangs: IndexMap<GangId, LocalGang>,
    /// The number of stops that each worker has yet to confirm.
    pub(crate) unconfirmed_stops: IndexMap<WorkerId, u32>,
    pub(crate) arming: IndexMap<GangId, LedGang<Arming>>,
    pub(crate) leading: IndexMap<GangId, LedGang<Leading>>,
    pub(crate) stopping: IndexMap<GangId, LedGang<Stopping>>,
}

/// This agent's part of a gang.
pub(crate) struct LocalGang {
    pub(crate) epoch: Epoch,
    pub(crate) job: JobId,
    pub(crate) members: Vec<Member>,
    /// The reserved endpoint slot; `None` once the request has claimed it.
    pub(crate) slot: Option<Slot>,
    /// Whether the request runs at this agent's endpoint.
    pub(crate) runs_request: bool,
    pub(crate) request: Option<Request>,
    pub(crate) leader_addr: Option<SocketAddr>,
    /// Task starts in progress.
    pub(crate) pending_starts: TaskTracker,
    /// The tasks that the workers started.
    pub(crate) started_tasks: IndexMap<WorkerId, Vec<TaskId>>,
    /// When the run term of the tasks ends unless a pulse extends it; `None` while they may not run.
    pub(crate) run_until: Option<Instant>,
}

/// A gang that this agent leads.
pub(crate) struct LedGang<S> {
    pub(crate) leader: Leader<S>,
    pub(crate) info: LeaderInfo,
}

/// The state of a led gang that is not part of the leader protocol.
pub(crate) struct LeaderInfo {
    pub(crate) agents: Vec<(AgentId, SocketAddr)>,
    pub(crate) members: Vec<Member>,
    pub(crate) request: Request,
    /// Receives the result of the start.
    pub(crate) start_tx: Option<ReplySender<()>>,
    /// Deadline for arming the members, and then for the request to claim the gang.
    pub(crate) claim_deadline: Instant,
    pub(crate) claimed: bool,
    /// Cancelled when the gang stops.
    pub(crate) stopped: CancellationToken,
    pub(crate) error: Option<Error>,
    pub(crate) failed_workers: Vec<WorkerId>,
}

impl LeaderInfo {
    /// Returns whether the request may have run; it cannot have run before it claimed the gang.
    pub(crate) fn verdict(&self) -> Verdict {
        if self.claimed {
            Verdict::MayHaveRun
        } else {
            Verdict::NotRun
        }
    }
}

impl<S> LedGang<S> {
    /// Returns the address of a member.
    pub(crate) fn member_addr(&self, agent: &str) -> Option<SocketAddr> {
        self.info
            .agents
            .iter()
            .find(|(id, _)| **id == *agent)
            .map(|(_, addr)| *addr)
    }
}

impl State {
    /// Returns all gangs at this agent, as reported to the owner.
    pub(crate) fn held_gangs(&self) -> Vec<HeldGang> {
        let gangs = self.gangs.iter();
        gangs
            .map(|(id, gang)| held_gang(*id, gang, self.led_members(*id)))
            .collect()
    }

    /// Returns all members of a gang that this agent leads.
    fn led_members(&self, gang: GangId) -> Option<&[Member]> {
        let arming = self.arming.get(&gang).map(|led| &led.info);
        let leading = self.leading.get(&gang).map(|led| &led.info);
        let stopping = self.stopping.get(&gang).map(|led| &led.info);
        let info = arming.or(leading).or(stopping)?;
        Some(&info.members)
    }

    /// Returns the info of a led gang in any state.
    pub(crate) fn leader_info(&mut self, gang: GangId) -> Option<&mut LeaderInfo> {
        if let Some(led) = self.arming.get_mut(&gang) {
            return Some(&mut led.info);
        }
        if let Some(led) = self.leading.get_mut(&gang) {
            return Some(&mut led.info);
        }
        self.stopping.get_mut(&gang).map(|led| &mut led.info)
    }
}

fn held_gang(id: GangId, gang: &LocalGang, led: Option<&[Member]>) -> HeldGang {
    HeldGang {
        gang: id,
        epoch: gang.epoch,
        job: gang.job,
        members: led.unwrap_or(&gang.members).to_vec(),
        runs_request: gang.runs_request,
        request: gang.request.clone(),
        is_leader: led.is_some(),
    }
}
