//! Tests of liveness and fencing.

use std::time::Instant;

use board::{Agent, Membership};
use membership::fencing::{EpochOrder, Fence};
use membership::liveness::{
    Heartbeat, LostAgent, SILENCE_LIMIT, announce, check_announcement, heartbeat,
    remove_silent_agents,
};
use model::{AgentId, Announced, Endpoint, Location};

fn announced(now: Instant) -> Membership {
    let addr = "127.0.0.1:1".parse().unwrap();
    let agent = Agent {
        id: "a".into(),
        addr,
        incarnation: 1,
        workers: Vec::new(),
        last_seen: now,
        config_revision: 0,
    };
    let endpoint = Endpoint {
        id: "p".into(),
        agent: "a".into(),
        agent_addr: addr,
        incarnation: 1,
        service: "s".into(),
        location: Location {
            region: "r".into(),
            data_centre: "d".into(),
            rack: "k".into(),
        },
        slots: 8,
        state: Announced { at: now },
    };
    let mut membership = Membership::default();
    announce(&mut membership, agent, Some(endpoint));
    membership
}

fn report(draining: bool) -> Heartbeat {
    Heartbeat {
        agent: "a".into(),
        incarnation: 1,
        endpoint: Some("p".into()),
        free: 3,
        config_revision: 1,
        draining,
    }
}

/// Guards against a reordered heartbeat that puts a draining endpoint back into service.
#[test]
fn heartbeat_keeps_endpoint_draining() {
    let now = Instant::now();
    let mut membership = announced(now);
    heartbeat(&mut membership, &report(false), now).unwrap();
    assert_eq!(membership.serving["p"].state.free, 3);
    heartbeat(&mut membership, &report(true), now).unwrap();
    heartbeat(&mut membership, &report(false), now).unwrap();
    assert!(membership.serving.is_empty() && membership.draining.contains_key("p"));
}

/// Guards against a new process of an agent that is taken for the previous one, whose gangs have ended with it.
#[test]
fn heartbeat_of_new_incarnation_asks_for_announcement() {
    let now = Instant::now();
    let mut membership = announced(now);
    let restarted = Heartbeat {
        incarnation: 2,
        ..report(false)
    };
    assert!(heartbeat(&mut membership, &restarted, now).is_err());
    assert!(membership.serving.is_empty());
}

/// Guards against an announcement of an earlier process that arrives late and ends the gangs of the present one.
#[test]
fn check_announcement_rejects_earlier_incarnation() {
    let mut membership = announced(Instant::now());
    let agent: AgentId = "a".into();
    for (incarnation, is_accepted) in [(0, false), (1, true), (2, true)] {
        let checked = check_announcement(&membership, &agent, incarnation);
        assert_eq!(checked.is_ok(), is_accepted, "incarnation {incarnation}");
    }
    // An agent that was silent for long is not known any more.
    remove_silent_agents(&mut membership, Instant::now() + SILENCE_LIMIT);
    assert!(check_announcement(&membership, &agent, 0).is_ok());
}

/// Guards against a crashed agent that stays in the directory.
#[test]
fn remove_silent_agents_after_limit() {
    let now = Instant::now();
    let mut membership = announced(now);
    heartbeat(&mut membership, &report(false), now).unwrap();
    assert!(remove_silent_agents(&mut membership, now).is_empty());
    let lost = LostAgent {
        agent: "a".into(),
        endpoints: vec!["p".into()],
    };
    assert_eq!(
        remove_silent_agents(&mut membership, now + SILENCE_LIMIT),
        [lost]
    );
    assert!(heartbeat(&mut membership, &report(false), now).is_err());
}

/// Guards against messages of a superseded owner.
#[test]
fn admit_refuses_lower_epoch() {
    let mut fence = Fence::default();
    assert_eq!(fence.admit(2).unwrap(), EpochOrder::Newer);
    assert_eq!(fence.admit(2).unwrap(), EpochOrder::Current);
    assert!(fence.admit(1).is_err());
    assert_eq!(fence.highest(), 2);
}
