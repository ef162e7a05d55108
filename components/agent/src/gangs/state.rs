//! What the gang controller keeps.

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
use crate::gangs::ReplyTo;
use crate::slots::Slot;

/// The state of the gang controller.
pub(crate) struct State {
    pub(crate) cx: Arc<Context>,
    pub(crate) fence: Fence,
    pub(crate) reservations: Reservations,
    /// What is known of each gang with a reservation here.
    pub(crate) gangs: IndexMap<GangId, Gang>,
    /// Stops that each worker has not confirmed.
    pub(crate) unconfirmed: IndexMap<WorkerId, u32>,
    pub(crate) arming: IndexMap<GangId, Led<Arming>>,
    pub(crate) leading: IndexMap<GangId, Led<Leading>>,
    pub(crate) stopping: IndexMap<GangId, Led<Stopping>>,
}

/// This agent's part of a gang.
pub(crate) struct Gang {
    pub(crate) epoch: Epoch,
    pub(crate) job: JobId,
    pub(crate) members: Vec<Member>,
    pub(crate) slot: Option<Slot>,
    pub(crate) has_slot: bool,
    pub(crate) request: Option<Request>,
    pub(crate) leader: Option<SocketAddr>,
    /// Starts of tasks in progress.
    pub(crate) starts: TaskTracker,
    /// The tasks that the workers started.
    pub(crate) started: IndexMap<WorkerId, Vec<TaskId>>,
    /// When the tasks stop unless a pulse renews them.
    pub(crate) run_until: Option<Instant>,
}

/// A gang that this agent leads.
pub(crate) struct Led<S> {
    pub(crate) leader: Leader<S>,
    pub(crate) info: LedInfo,
}

/// What a leader keeps besides the protocol.
pub(crate) struct LedInfo {
    pub(crate) agents: Vec<(AgentId, SocketAddr)>,
    pub(crate) members: Vec<Member>,
    pub(crate) request: Request,
    /// Told when the gang runs or cannot run.
    pub(crate) started: Option<ReplyTo<()>>,
    /// When the gang is given up unless its request has arrived.
    pub(crate) claim_by: Instant,
    pub(crate) claimed: bool,
    pub(crate) stopped: CancellationToken,
    pub(crate) error: Option<Error>,
    pub(crate) failed_workers: Vec<WorkerId>,
}

impl LedInfo {
    /// Returns whether the request may have run; it cannot before it claimed the gang.
    pub(crate) fn verdict(&self) -> Verdict {
        if self.claimed {
            Verdict::MayHaveRun
        } else {
            Verdict::NotRun
        }
    }
}

impl<S> Led<S> {
    /// Returns the address of a member.
    pub(crate) fn addr(&self, agent: &str) -> Option<SocketAddr> {
        self.info
            .agents
            .iter()
            .find(|(id, _)| **id == *agent)
            .map(|(_, addr)| *addr)
    }
}

impl State {
    /// Returns what the owner needs to know of all gangs here.
    pub(crate) fn view(&self) -> Vec<HeldGang> {
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

    /// Returns what a leader keeps of a gang in any state.
    pub(crate) fn led_info(&mut self, gang: GangId) -> Option<&mut LedInfo> {
        if let Some(led) = self.arming.get_mut(&gang) {
            return Some(&mut led.info);
        }
        if let Some(led) = self.leading.get_mut(&gang) {
            return Some(&mut led.info);
        }
        self.stopping.get_mut(&gang).map(|led| &mut led.info)
    }
}

fn held_gang(id: GangId, gang: &Gang, led: Option<&[Member]>) -> HeldGang {
    HeldGang {
        gang: id,
        epoch: gang.epoch,
        job: gang.job,
        members: led.unwrap_or(&gang.members).to_vec(),
        slot: gang.has_slot,
        request: gang.request.clone(),
        leads: led.is_some(),
    }
}
