//! Checks of the gang start protocol.

use specs::explore::{Exploration, explore};
use specs::gang::{Bound, Mutant, State};
use specs::gang_steps::successors;

/// Losses, delays, repetitions and reordering without crashes.
const NETWORK: Bound = Bound {
    agents: 2,
    horizon: 6,
    in_flight: 2,
    crashes: 0,
    rival: None,
    mutant: Mutant::None,
};

/// A crash of the leader or of a member, to the end of every term.
const CRASH: Bound = Bound {
    horizon: 8,
    in_flight: 1,
    crashes: 1,
    ..NETWORK
};

/// A second owner that wants the accelerators of a member that may crash.
const RIVAL: Bound = Bound {
    horizon: 6,
    rival: Some(1),
    ..CRASH
};

fn run(start: &State, bound: &Bound) -> Exploration<State> {
    let found = explore(start, |state| successors(state, bound), State::violates);
    let length = found.path_length();
    println!(
        "gang: {} states, violation at {length:?}, {bound:?}",
        found.states
    );
    found
}

fn holds(start: &State, bound: &Bound) {
    let found = run(start, bound);
    assert!(found.violation.is_none(), "{:#?}", found.violation);
}

fn catches(mutant: Mutant, bound: &Bound) {
    let bound = Bound { mutant, ..*bound };
    let found = run(&State::reserved(&bound), &bound);
    assert!(found.violation.is_some(), "{mutant:?} was not caught");
}

/// Guards against a partial gang and shared accelerators while two owners reserve.
#[test]
fn explore_gang_two_owners() {
    let bound = Bound {
        horizon: 5,
        crashes: 0,
        ..RIVAL
    };
    holds(&State::initial(&bound), &bound);
}

/// Guards against a partial gang after lost, late, repeated and reordered messages.
#[test]
fn explore_gang_network() {
    holds(&State::reserved(&NETWORK), &NETWORK);
}

/// Guards against a partial gang beyond the gang lease term after a crash.
#[test]
fn explore_gang_crash() {
    holds(&State::reserved(&CRASH), &CRASH);
}

/// Guards against accelerators given to a second gang while a task of a crashed agent runs.
#[test]
fn explore_gang_crash_and_rival() {
    holds(&State::reserved(&RIVAL), &RIVAL);
}

/// Guards against a check that cannot see a missing guard of the leader or of a member.
#[test]
fn explore_gang_catches_network_mutants() {
    catches(Mutant::GoBeforeAllArmed, &NETWORK);
    catches(Mutant::FreeOnStop, &NETWORK);
    let lapse = Bound {
        crashes: 0,
        ..CRASH
    };
    catches(Mutant::PulseWithoutAcks, &lapse);
}

/// Guards against a check that cannot see a missing guard after a restart.
#[test]
fn explore_gang_catches_crash_mutants() {
    catches(Mutant::NoQuietTime, &RIVAL);
    catches(Mutant::StartWithoutReservation, &CRASH);
}

/// Guards against a check that cannot see answers to an earlier leader.
#[test]
fn explore_gang_catches_same_life() {
    catches(Mutant::SameLife, &CRASH);
}
