//! Taking over the gangs that run when a process becomes the owner of a cell.
//!
//! The leader of a gang reports all of its members, so its report alone makes a gang whole. Parts that other members
//! report are kept until then; a gang whose leader stays silent is counted and ended.

use std::sync::Arc;
use std::time::{Duration, Instant};

use board::Fleet;
use indexmap::IndexMap;
use model::{AgentId, EndpointId, Gang, GangId, Member, Request, Running};
use placement::Event;
use wire::HeldGang;

/// How long a new owner waits for announcements: agents look for a new owner 0.3 s after each heartbeat (1 s) that is not
/// answered, and announce themselves after a pause of up to 0.4 s.
const RECOVERY_TERM: Duration = Duration::from_secs(2);
/// How long a gang is counted without its leader before it is ended: an agent that cannot look up the new owner reports to
/// it after `SILENCE_LIMIT` (3 s), one heartbeat and a pause.
pub(crate) const LEADER_TERM: Duration = Duration::from_secs(5);
/// How long after a takeover a shape may fit only because agents are missing.
const SETTLE_TERM: Duration = Duration::from_secs(5);

/// A gang as one of its agents reports it.
#[derive(Debug)]
pub(crate) struct Report {
    /// The agent.
    pub(crate) agent: AgentId,
    /// The endpoint beside the agent.
    pub(crate) endpoint: Option<EndpointId>,
    /// The agent's part of the gang.
    pub(crate) held: HeldGang,
}

/// The parts of a gang whose leader has not reported.
#[derive(Debug)]
struct Parts {
    since: Instant,
    first: Report,
    request: Request,
    members: Vec<Member>,
}

/// What the owner learned about gangs of earlier owners.
#[derive(Debug, Default)]
pub(crate) struct Recovery {
    /// Until when announcements are waited for.
    until: Option<Instant>,
    settled: Option<Instant>,
    parts: IndexMap<GangId, Parts>,
}

impl Recovery {
    /// Begins to wait for announcements.
    pub(crate) fn begin(now: Instant) -> Self {
        Self {
            until: Some(now + RECOVERY_TERM),
            settled: Some(now + SETTLE_TERM),
            parts: IndexMap::new(),
        }
    }

    /// Returns whether the owner must not place gangs yet.
    pub(crate) fn is_waiting(&self, now: Instant) -> bool {
        self.until.is_some_and(|until| now < until)
    }

    /// Returns whether agents may still be missing, so that a shape that does not fit may do so soon.
    pub(crate) fn is_settling(&self, now: Instant) -> bool {
        self.settled.is_some_and(|until| now < until)
    }

    /// Takes in a report and returns the whole gang if its leader sent it.
    pub(crate) fn report(&mut self, report: Report, now: Instant) -> Option<Event> {
        // A reservation that was never armed lapses by itself before the wait is over.
        let request = report.held.request.clone()?;
        let gang = report.held.gang;
        if report.held.leads {
            self.parts.swap_remove(&gang);
            let members = report.held.members.clone();
            return Some(recovered(report, request, members, now));
        }
        let members = report.held.members.clone();
        let parts = self.parts.entry(gang).or_insert_with(|| Parts {
            since: now,
            first: report,
            request,
            members: Vec::new(),
        });
        for member in members {
            if !parts.members.contains(&member) {
                parts.members.push(member);
            }
        }
        None
    }

    /// Returns the gangs, without an endpoint, whose leader has not reported in time and that the owner does not know otherwise.
    pub(crate) fn take_unled(&mut self, fleet: &Fleet, now: Instant) -> Vec<Event> {
        if self.parts.is_empty() || self.is_waiting(now) {
            return Vec::new();
        }
        let due = |parts: &Parts| now.saturating_duration_since(parts.since) >= RECOVERY_TERM;
        let over = self.until.take().is_some();
        let due = self.parts.extract_if(.., |_, parts| over || due(parts));
        let unknown = due.filter(|(gang, _)| {
            !fleet.running.contains_key(gang) && !fleet.planned.contains_key(gang)
        });
        let unled = unknown.map(|(_, parts)| {
            let first = Report {
                endpoint: None,
                ..parts.first
            };
            recovered(first, parts.request, parts.members, now)
        });
        unled.collect()
    }
}

fn recovered(report: Report, request: Request, members: Vec<Member>, now: Instant) -> Event {
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
