//! Checks of configuration revisions.

use specs::explore::{Exploration, explore};
use specs::revisions::{Bound, Mutant, State};

/// A restart and an isolation around one change.
const ISOLATION: Bound = Bound {
    revisions: 1,
    restarts: 1,
    isolations: 1,
    mutant: Mutant::None,
};

/// Two changes, whose messages overtake each other.
const TWO_CHANGES: Bound = Bound {
    revisions: 2,
    restarts: 0,
    isolations: 0,
    ..ISOLATION
};

/// Two restarts.
const RESTARTS: Bound = Bound {
    restarts: 2,
    isolations: 0,
    ..ISOLATION
};

fn run(bound: Bound) -> Exploration<State> {
    let start = State::initial();
    let found = explore(&start, |state| state.successors(bound), State::violates);
    let length = found.path_length();
    println!(
        "revisions: {} states, violation at {length:?}, {bound:?}",
        found.states
    );
    found
}

fn holds(bound: Bound) {
    let found = run(bound);
    assert!(found.violation.is_none(), "{:#?}", found.violation);
}

fn catches(mutant: Mutant, bound: Bound) {
    let found = run(Bound { mutant, ..bound });
    assert!(found.violation.is_some(), "{mutant:?} was not caught");
}

/// Guards against a configuration that reverts after a restart or an isolation while the store is down.
#[test]
fn explore_revisions_isolation() {
    holds(ISOLATION);
}

/// Guards against a configuration that reverts after two restarts.
#[test]
fn explore_revisions_restarts() {
    holds(RESTARTS);
}

/// Guards against an older section that arrives late.
#[test]
fn explore_revisions_two_changes() {
    holds(TWO_CHANGES);
}

/// Guards against a check that cannot see a missing guard.
#[test]
fn explore_revisions_catches_mutants() {
    catches(Mutant::ApplyBeforePeersHold, RESTARTS);
    catches(Mutant::ApplyAnyRevision, TWO_CHANGES);
}

/// Guards against a check that cannot see a restarted process that serves too early.
#[test]
fn explore_revisions_catches_early_service() {
    catches(Mutant::ServeBeforeStaging, ISOLATION);
}
