//! Model checks of the gang start protocol.

use specs::explore::{Exploration, explore};
use specs::gang::{Bound, Mutant, State};
use specs::gang_steps::successors;

/// Lost, delayed, duplicated and reordered messages, without crashes.
const NETWORK: Bound = Bound {
    agents: 2,
    horizon: 6,
    in_flight: 2,
    crashes: 0,
    contended_agent: None,
    mutant: Mutant::None,
};

/// A crash of the leader or of a member, explored until all terms have ended.
const CRASH: Bound = Bound {
    horizon: 8,
    in_flight: 1,
    crashes: 1,
    ..NETWORK
};

/// A second owner that competes for the accelerator of a member, and a crash.
const TWO_OWNERS: Bound = Bound {
    horizon: 6,
    contended_agent: Some(1),
    ..CRASH
};

fn check(start: &State, bound: &Bound) -> Exploration<State> {
    let exploration = explore(start, |state| successors(state, bound), State::violates);
    let length = exploration.path_length();
    println!(
        "gang: {} states, violation at {length:?}, {bound:?}",
        exploration.states
    );
    exploration
}

#[track_caller]
fn assert_holds(start: &State, bound: &Bound) {
    let exploration = check(start, bound);
    assert!(
        exploration.violation.is_none(),
        "{:#?}",
        exploration.violation
    );
}

#[track_caller]
fn assert_detects(mutant: Mutant, bound: &Bound) {
    let bound = Bound { mutant, ..*bound };
    let exploration = check(&State::reserved(&bound), &bound);
    assert!(
        exploration.violation.is_some(),
        "{mutant:?} was not detected"
    );
}

/// Guards against a partial gang, and against accelerators used by two gangs, while two owners reserve.
#[test]
fn explore_gang_two_owners() {
    let bound = Bound {
        horizon: 5,
        crashes: 0,
        ..TWO_OWNERS
    };
    assert_holds(&State::initial(&bound), &bound);
}

/// Guards against a partial gang after lost, delayed, duplicated or reordered messages.
#[test]
fn explore_gang_network() {
    assert_holds(&State::reserved(&NETWORK), &NETWORK);
}

/// Guards against a partial gang that runs for longer than the gang lease term after a crash.
#[test]
fn explore_gang_crash() {
    assert_holds(&State::reserved(&CRASH), &CRASH);
}

/// Guards against accelerators that are reserved for a second gang while a task of a crashed agent runs.
#[test]
fn explore_gang_crash_and_second_owner() {
    assert_holds(&State::reserved(&TWO_OWNERS), &TWO_OWNERS);
}

/// Guards against a check that does not detect an injected fault of the leader or of a member.
#[test]
fn explore_gang_catches_network_mutants() {
    assert_detects(Mutant::ActivateBeforeAllArmed, &NETWORK);
    assert_detects(Mutant::ReleaseOnStop, &NETWORK);
    let expiry = Bound {
        crashes: 0,
        ..CRASH
    };
    assert_detects(Mutant::PulseWithoutAcks, &expiry);
}

/// Guards against a check that does not detect an injected fault after a restart.
#[test]
fn explore_gang_catches_crash_mutants() {
    assert_detects(Mutant::NoStartupDelay, &TWO_OWNERS);
    assert_detects(Mutant::StartWithoutReservation, &CRASH);
}

/// Guards against a check that does not detect acknowledgements to an earlier incarnation of the leader.
#[test]
fn explore_gang_catches_same_incarnation() {
    assert_detects(Mutant::SameIncarnation, &CRASH);
}
