//! Recovers the gangs that are running when a process becomes the owner of a cell.
//!
//! The leader of a gang reports all of its members, so its report alone is sufficient. Reports of other members are
//! collected until then. A gang whose leader does not report is counted as running and then ended.

use std::sync::Arc;
use std::time::{Duration, Instant};

use board::Fleet;
use indexmap::IndexMap;
use model::{AgentId, EndpointId, Gang, GangId, Member, Request, Running};
use placement::Event;
use wire::HeldGang;

/// How long a new owner waits for announcements: agents look for a new owner 0.3 s after each heartbeat (1 s) that is not
/// answered, and announce themselves after a pause of up to 0.4 s.
const RECOVERY_TIME: Duration = Duration::from_secs(2);
/// How long a gang is counted without its leader before it is ended: an agent that cannot look up the new owner reports to
/// it after `SILENCE_LIMIT` (3 s), one heartbeat and a pause.
pub(crate) const LEADER_TIMEOUT: Duration = Duration::from_secs(5);
/// How long after a takeover a shape may be infeasible only because agents are missing.
const SETTLE_TIME: Duration = Duration::from_secs(5);

/// A gang as one of its agents reports it.
#[derive(Debug)]
pub(crate) struct GangReport {
    pub(crate) agent: AgentId,
    /// The endpoint that the agent runs beside.
    pub(crate) endpoint: Option<EndpointId>,
    /// The agent's part of the gang.
    pub(crate) held: HeldGang,
}

/// The members of a gang that were reported before its leader.
#[derive(Debug)]
struct PartialGang {
    since: Instant,
    first: GangReport,
    request: Request,
    members: Vec<Member>,
}

/// The reports about gangs of earlier owners.
#[derive(Debug, Default)]
pub(crate) struct Recovery {
    /// End of the wait for announcements.
    waiting_until: Option<Instant>,
    settling_until: Option<Instant>,
    partial: IndexMap<GangId, PartialGang>,
}

impl Recovery {
    /// Starts the wait for announcements.
    pub(crate) fn begin(now: Instant) -> Self {
        Self {
            waiting_until: Some(now + RECOVERY_TIME),
            settling_until: Some(now + SETTLE_TIME),
            partial: IndexMap::new(),
        }
    }

    /// Returns whether the owner must not place gangs yet.
    pub(crate) fn is_waiting(&self, now: Instant) -> bool {
        self.waiting_until.is_some_and(|until| now < until)
    }

    /// Returns whether agents may still be missing, so that an infeasible shape may soon become feasible.
    pub(crate) fn is_settling(&self, now: Instant) -> bool {
        self.settling_until.is_some_and(|until| now < until)
    }

    /// Adds a report and returns the complete gang if its leader sent the report.
    pub(crate) fn add_report(&mut self, report: GangReport, now: Instant) -> Option<Event> {
        // A reservation without a request was never armed; it lapses by itself before the wait ends.
        let request = report.held.request.clone()?;
        let gang = report.held.gang;
        if report.held.is_leader {
            self.partial.swap_remove(&gang);
            let members = report.held.members.clone();
            return Some(recovered_event(report, request, members, now));
        }
        let members = report.held.members.clone();
        let partial = self.partial.entry(gang).or_insert_with(|| PartialGang {
            since: now,
            first: report,
            request,
            members: Vec::new(),
        });
        for member in members {
            if !partial.members.contains(&member) {
                partial.members.push(member);
            }
        }
        None
    }

    /// Returns the gangs whose leader has not reported in time, without an endpoint. Gangs that the fleet section already
    /// contains are left out.
    pub(crate) fn take_leaderless(&mut self, fleet: &Fleet, now: Instant) -> Vec<Event> {
        if self.partial.is_empty() || self.is_waiting(now) {
            return Vec::new();
        }
        let is_due =
            |gang: &PartialGang| now.saturating_duration_since(gang.since) >= RECOVERY_TIME;
        let wait_ended = self.waiting_until.take().is_some();
        let due = self
            .partial
            .extract_if(.., |_, gang| wait_ended || is_due(gang));
        let unknown = due.filter(|(gang, _)| {
            !fleet.running.contains_key(gang) && !fleet.planned.contains_key(gang)
        });
        let leaderless = unknown.map(|(_, gang)| {
            let first = GangReport {
                endpoint: None,
                ..gang.first
            };
            recovered_event(first, gang.request, gang.members, now)
        });
        leaderless.collect()
    }
}

fn recovered_event(
    report: GangReport,
    request: Request,
    members: Vec<Member>,
    now: Instant,
) -> Event {
    let held = report.held;
    // The id of a gang is that of its job plus the attempt.
    let attempt = held.gang.wrapping_sub(held.job);
    let gang: Gang<Running> = Gang {
        id: held.gang,
        job: held.job,
        attempt: attempt.try_into().unwrap_or(1),
        members,
        endpoint_agent: report.agent,
        endpoint: report.endpoint.unwrap_or_default(),
        state: Running {
            epoch: held.epoch,
            since: now,
        },
    };
    Event::Recovered {
        gang: Arc::new(gang),
        request: Arc::new(request),
    }
}
