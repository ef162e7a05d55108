//! Tests of the reservations of an agent and of the gang leader.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use errors::{ErrorKind, Verdict};
use membership::fencing::Fence;
use membership::leader::{Arm, Leader, Pulse};
use membership::reservation::{GANG_LEASE_TERM, RESERVATION_TERM, RUN_TERM, WorkerShare};
use membership::{Reservations, Reserve, Sender};
use model::{GangId, Resources};

fn accelerators(accelerators: u32) -> Resources {
    Resources {
        accelerators,
        ..Resources::default()
    }
}

/// Returns an agent with one worker of 8 accelerators, and a time after its startup delay.
fn agent() -> (Reservations, Fence, Instant) {
    let start = Instant::now();
    let capacity = BTreeMap::from([("w".into(), accelerators(8))]);
    let agent = Reservations::start(capacity, start);
    (agent, Fence::default(), start + GANG_LEASE_TERM)
}

fn reserve(gang: GangId, count: u32) -> Reserve {
    Reserve {
        gang,
        epoch: 1,
        shares: Arc::new([WorkerShare {
            worker: "w".into(),
            total: accelerators(count),
        }]),
    }
}

fn arm(gang: GangId) -> Arm {
    Arm {
        gang,
        epoch: 1,
        leader_incarnation: 1,
        timestamp: Duration::ZERO,
    }
}

fn pulse(gang: GangId, echo: Duration) -> Pulse {
    Pulse {
        gang,
        leader_incarnation: 1,
        timestamp: Duration::ZERO,
        echo,
    }
}

/// Guards against accelerators that are reserved for two gangs at once.
#[test]
fn reserve_refuses_beyond_capacity() {
    let (mut agent, mut fence, now) = agent();
    agent.reserve(&mut fence, reserve(1, 5), now).unwrap();
    let error = agent.reserve(&mut fence, reserve(2, 4), now).unwrap_err();
    assert_eq!(error.current_context().kind, ErrorKind::Overloaded);
    assert_eq!(agent.reserved_on("w").accelerators, 5);
}

/// Guards against a restarted agent that reserves accelerators on which tasks of its earlier incarnation still run.
#[test]
fn reserve_refuses_after_restart() {
    let (mut agent, mut fence, now) = agent();
    let early = now.checked_sub(Duration::from_millis(1)).unwrap();
    let error = agent.reserve(&mut fence, reserve(1, 1), early).unwrap_err();
    let error = error.current_context();
    assert_eq!(error.verdict, Verdict::NotRun);
    assert_eq!(error.retry_after, Some(Duration::from_millis(1)));
}

/// Guards against a restarted agent that confirms the stop of a task that its earlier incarnation started.
#[test]
fn stop_unconfirmed_after_restart() {
    let (mut agent, mut fence, now) = agent();
    let early = now.checked_sub(Duration::from_millis(1)).unwrap();
    let error = agent.stop(&mut fence, 1, Sender::Leader, early);
    let verdict = error.unwrap_err().current_context().verdict;
    assert_eq!(verdict, Verdict::MayHaveRun);
    assert!(agent.stop(&mut fence, 1, Sender::Leader, now).is_ok());
}

/// Guards against a late or repeated message that reactivates an ended reservation.
#[test]
fn reserve_refuses_ended_gang() {
    let (mut agent, mut fence, now) = agent();
    agent.reserve(&mut fence, reserve(1, 8), now).unwrap();
    let late = now + RESERVATION_TERM;
    assert!(agent.arm(&arm(1), late).is_err());
    assert!(agent.reserve(&mut fence, reserve(1, 8), late).is_err());
    assert_eq!(agent.reserved_on("w").accelerators, 0);
}

/// Guards against a superseded owner that stops a gang.
#[test]
fn stop_refuses_stale_epoch() {
    let (mut agent, mut fence, now) = agent();
    agent.reserve(&mut fence, reserve(1, 8), now).unwrap();
    fence.admit(2).unwrap();
    let by = Sender::Owner(1);
    let error = agent.stop(&mut fence, 1, by, now).unwrap_err();
    assert_eq!(error.current_context().kind, ErrorKind::StaleEpoch);
    assert!(agent.is_reserved(1));
}

/// Guards against a delayed first pulse that starts a task after the leader gave up.
#[test]
fn pulse_refuses_old_echo() {
    let (mut agent, mut fence, now) = agent();
    agent.reserve(&mut fence, reserve(1, 8), now).unwrap();
    agent.arm(&arm(1), now).unwrap();
    let late = now + RUN_TERM;
    assert!(agent.pulse(&pulse(1, Duration::ZERO), late).is_err());
    assert!(!agent.is_running(1, late) && agent.is_reserved(1));
}

/// Guards against accelerators that are released while tasks of other members may still run.
#[test]
fn expire_stops_task_before_freeing() {
    let (mut agent, mut fence, now) = agent();
    agent.reserve(&mut fence, reserve(1, 8), now).unwrap();
    agent.arm(&arm(1), now).unwrap();
    assert!(agent.pulse(&pulse(1, Duration::ZERO), now).unwrap().starts);
    agent.expire(now + RUN_TERM);
    assert!(!agent.is_running(1, now + RUN_TERM) && agent.is_reserved(1));
    let by = Sender::Owner(1);
    agent.release(&mut fence, 1, by, now + RUN_TERM).unwrap();
    assert!(
        agent.is_reserved(1),
        "an owner cannot know that all members stopped"
    );
    agent.expire(now + GANG_LEASE_TERM);
    assert!(!agent.is_reserved(1));
}

/// Guards against a leader that starts a gang without all members, or keeps it running after the loss of one.
#[test]
fn leader_requires_every_member() {
    let (mut agent, mut fence, now) = agent();
    agent.reserve(&mut fence, reserve(1, 8), now).unwrap();
    let mut leader = Leader::start(&agent, 1, 1, 1, ["a".into(), "b".into()], now).unwrap();
    let ack = agent.arm(&leader.arm(now), now).unwrap();
    leader.record_ack("a", &ack);
    let mut leader = leader.activate(now).unwrap_err();
    leader.record_ack("b", &ack);
    let leader = leader.activate(now).unwrap();
    let (leader, pulses) = leader.pulse(now).unwrap();
    assert_eq!(pulses.len(), 2);
    let stopping = leader.pulse(now + RUN_TERM).unwrap_err();
    assert!(stopping.all_stopped(now + RUN_TERM));
}

/// Guards against a repeated `Start` that creates a second leader after a restart and releases running members.
#[test]
fn leader_start_requires_own_reservation() {
    let (mut agent, mut fence, now) = agent();
    let members = ["a".into(), "b".into()];
    assert!(Leader::start(&agent, 1, 1, 1, members.clone(), now).is_err());
    agent.reserve(&mut fence, reserve(1, 8), now).unwrap();
    agent.arm(&arm(1), now).unwrap();
    assert!(Leader::start(&agent, 1, 1, 1, members, now).is_err());
}

/// Guards against an acknowledgement for an earlier incarnation of the leader that counts for a later one.
#[test]
fn record_ack_ignores_earlier_incarnation() {
    let (mut agent, mut fence, now) = agent();
    agent.reserve(&mut fence, reserve(1, 8), now).unwrap();
    let mut leader = Leader::start(&agent, 2, 1, 1, ["a".into()], now).unwrap();
    let ack = agent.arm(&arm(1), now).unwrap();
    leader.record_ack("a", &ack);
    let leader = leader.activate(now).unwrap_err();
    assert!(agent.arm(&leader.arm(now), now).is_err());
}
