//! Tests of reservations at an agent and of the gang leader.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use errors::{ErrorKind, Verdict};
use membership::fencing::Fence;
use membership::leader::{Arm, Leader, Pulse};
use membership::reservation::{GANG_LEASE_TERM, Part, RESERVATION_TERM, RUN_TERM};
use membership::{Reservations, Reserve, Sender};
use model::{GangId, Resources};

fn accelerators(accelerators: u32) -> Resources {
    Resources {
        accelerators,
        ..Resources::default()
    }
}

/// Returns an agent with one worker of 8 accelerators, past its quiet time.
fn agent() -> (Reservations, Fence, Instant) {
    let start = Instant::now();
    let capacity = BTreeMap::from([("w".into(), accelerators(8))]);
    let agent = Reservations::start(capacity, start);
    (agent, Fence::default(), start + GANG_LEASE_TERM)
}

fn order(gang: GangId, count: u32) -> Reserve {
    Reserve {
        gang,
        epoch: 1,
        parts: Arc::new([Part {
            worker: "w".into(),
            total: accelerators(count),
        }]),
    }
}

fn arm(gang: GangId) -> Arm {
    Arm {
        gang,
        epoch: 1,
        life: 1,
        stamp: Duration::ZERO,
    }
}

fn pulse(gang: GangId, echo: Duration) -> Pulse {
    Pulse {
        gang,
        life: 1,
        stamp: Duration::ZERO,
        echo,
    }
}

/// Guards against accelerators that two gangs share.
#[test]
fn reserve_refuses_beyond_capacity() {
    let (mut agent, mut fence, now) = agent();
    agent.reserve(&mut fence, order(1, 5), now).unwrap();
    let error = agent.reserve(&mut fence, order(2, 4), now).unwrap_err();
    assert_eq!(error.current_context().kind, ErrorKind::Overloaded);
    assert_eq!(agent.reserved_on("w").accelerators, 5);
}

/// Guards against a restarted agent that gives away accelerators whose old tasks still run.
#[test]
fn reserve_refuses_after_restart() {
    let (mut agent, mut fence, now) = agent();
    let early = now.checked_sub(Duration::from_millis(1)).unwrap();
    let error = agent.reserve(&mut fence, order(1, 1), early).unwrap_err();
    let error = error.current_context();
    assert_eq!(error.verdict, Verdict::NotRun);
    assert_eq!(error.retry_after, Some(Duration::from_millis(1)));
}

/// Guards against a restarted agent that confirms the end of a task which its earlier life started.
#[test]
fn stop_unconfirmed_after_restart() {
    let (mut agent, mut fence, now) = agent();
    let early = now.checked_sub(Duration::from_millis(1)).unwrap();
    let error = agent.stop(&mut fence, 1, Sender::Leader, early);
    let verdict = error.unwrap_err().current_context().verdict;
    assert_eq!(verdict, Verdict::MayHaveRun);
    assert!(agent.stop(&mut fence, 1, Sender::Leader, now).is_ok());
}

/// Guards against a late or repeated message that revives an ended reservation.
#[test]
fn reserve_refuses_ended_gang() {
    let (mut agent, mut fence, now) = agent();
    agent.reserve(&mut fence, order(1, 8), now).unwrap();
    let late = now + RESERVATION_TERM;
    assert!(agent.arm(&arm(1), late).is_err());
    assert!(agent.reserve(&mut fence, order(1, 8), late).is_err());
    assert_eq!(agent.reserved_on("w").accelerators, 0);
}

/// Guards against a deposed owner that reserves or stops.
#[test]
fn stop_refuses_stale_epoch() {
    let (mut agent, mut fence, now) = agent();
    agent.reserve(&mut fence, order(1, 8), now).unwrap();
    fence.admit(2).unwrap();
    let by = Sender::Owner(1);
    let error = agent.stop(&mut fence, 1, by, now).unwrap_err();
    assert_eq!(error.current_context().kind, ErrorKind::StaleEpoch);
    assert!(agent.is_reserved(1));
}

/// Guards against a delayed "go" that starts a task after the leader gave up.
#[test]
fn pulse_refuses_old_echo() {
    let (mut agent, mut fence, now) = agent();
    agent.reserve(&mut fence, order(1, 8), now).unwrap();
    agent.arm(&arm(1), now).unwrap();
    let late = now + RUN_TERM;
    assert!(agent.pulse(&pulse(1, Duration::ZERO), late).is_err());
    assert!(!agent.is_running(1, late) && agent.is_reserved(1));
}

/// Guards against accelerators that are given back while tasks of other members may run.
#[test]
fn expire_stops_task_before_freeing() {
    let (mut agent, mut fence, now) = agent();
    agent.reserve(&mut fence, order(1, 8), now).unwrap();
    agent.arm(&arm(1), now).unwrap();
    assert!(agent.pulse(&pulse(1, Duration::ZERO), now).unwrap().starts);
    agent.expire(now + RUN_TERM);
    assert!(!agent.is_running(1, now + RUN_TERM) && agent.is_reserved(1));
    let by = Sender::Owner(1);
    agent.release(&mut fence, 1, by, now + RUN_TERM).unwrap();
    assert!(
        agent.is_reserved(1),
        "an owner cannot know that all stopped"
    );
    agent.expire(now + GANG_LEASE_TERM);
    assert!(!agent.is_reserved(1));
}

/// Guards against a leader that lets a gang run without all members, or keeps it running without one.
#[test]
fn leader_requires_every_member() {
    let (mut agent, mut fence, now) = agent();
    agent.reserve(&mut fence, order(1, 8), now).unwrap();
    let mut leader = Leader::start(&agent, 1, 1, 1, ["a".into(), "b".into()], now).unwrap();
    let ack = agent.arm(&leader.arm(now), now).unwrap();
    leader.acked("a", &ack);
    let mut leader = leader.go(now).unwrap_err();
    leader.acked("b", &ack);
    let leader = leader.go(now).unwrap();
    let (leader, pulses) = leader.pulse(now).unwrap();
    assert_eq!(pulses.len(), 2);
    let stopping = leader.pulse(now + RUN_TERM).unwrap_err();
    assert!(stopping.is_over(now + RUN_TERM));
}

/// Guards against a repeated `Start` that leads again after a restart and releases members that still run.
#[test]
fn leader_start_requires_own_reservation() {
    let (mut agent, mut fence, now) = agent();
    let members = ["a".into(), "b".into()];
    assert!(Leader::start(&agent, 1, 1, 1, members.clone(), now).is_err());
    agent.reserve(&mut fence, order(1, 8), now).unwrap();
    agent.arm(&arm(1), now).unwrap();
    assert!(Leader::start(&agent, 1, 1, 1, members, now).is_err());
}

/// Guards against an answer to an earlier leader that counts for a later one of the same gang.
#[test]
fn acked_ignores_earlier_life() {
    let (mut agent, mut fence, now) = agent();
    agent.reserve(&mut fence, order(1, 8), now).unwrap();
    let mut leader = Leader::start(&agent, 2, 1, 1, ["a".into()], now).unwrap();
    let ack = agent.arm(&arm(1), now).unwrap();
    leader.acked("a", &ack);
    let leader = leader.go(now).unwrap_err();
    assert!(agent.arm(&leader.arm(now), now).is_err());
}
