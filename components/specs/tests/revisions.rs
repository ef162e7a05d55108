//! Model checks of configuration revisions.

use specs::explore::{Exploration, explore};
use specs::revisions::{Bound, Mutant, State};

/// One change with a restart and an isolation.
const ISOLATION: Bound = Bound {
    revisions: 1,
    restarts: 1,
    isolations: 1,
    mutant: Mutant::None,
};

/// Two changes with reordered messages.
const TWO_CHANGES: Bound = Bound {
    revisions: 2,
    restarts: 0,
    isolations: 0,
    ..ISOLATION
};

/// One change with two restarts.
const RESTARTS: Bound = Bound {
    restarts: 2,
    isolations: 0,
    ..ISOLATION
};

fn check(bound: Bound) -> Exploration<State> {
    let start = State::initial();
    let exploration = explore(&start, |state| state.successors(bound), State::violates);
    let length = exploration.path_length();
    println!(
        "revisions: {} states, violation at {length:?}, {bound:?}",
        exploration.states
    );
    exploration
}

#[track_caller]
fn assert_holds(bound: Bound) {
    let exploration = check(bound);
    assert!(
        exploration.violation.is_none(),
        "{:#?}",
        exploration.violation
    );
}

#[track_caller]
fn assert_detects(mutant: Mutant, bound: Bound) {
    let exploration = check(Bound { mutant, ..bound });
    assert!(
        exploration.violation.is_some(),
        "{mutant:?} was not detected"
    );
}

/// Guards against a configuration that reverts after a restart or an isolation while the store is down.
#[test]
fn explore_revisions_isolation() {
    assert_holds(ISOLATION);
}

/// Guards against a configuration that reverts after two restarts.
#[test]
fn explore_revisions_restarts() {
    assert_holds(RESTARTS);
}

/// Guards against a section with an older revision that arrives late.
#[test]
fn explore_revisions_two_changes() {
    assert_holds(TWO_CHANGES);
}

/// Guards against a check that does not detect an injected fault.
#[test]
fn explore_revisions_catches_mutants() {
    assert_detects(Mutant::ApplyBeforePeersHold, RESTARTS);
    assert_detects(Mutant::ApplyAnyRevision, TWO_CHANGES);
}

/// Guards against a check that does not detect a restarted process that serves too early.
#[test]
fn explore_revisions_catches_early_service() {
    assert_detects(Mutant::ServeBeforePeersHold, ISOLATION);
}
