//! Checks of ownership with fencing.

use specs::explore::{Exploration, explore};
use specs::ownership::{Bound, Mutant, State};

/// One lease term, so that own clocks run out.
const PAUSE: Bound = Bound {
    horizon: 6,
    leases: 2,
    mutant: Mutant::None,
};

/// A third owner; only the store ends leases.
const THREE_OWNERS: Bound = Bound {
    horizon: 0,
    leases: 3,
    ..PAUSE
};

fn run(bound: Bound) -> Exploration<State> {
    let start = State::initial();
    let found = explore(&start, |state| state.successors(bound), State::violates);
    let length = found.path_length();
    println!(
        "ownership: {} states, violation at {length:?}, {bound:?}",
        found.states
    );
    found
}

/// Guards against two owners that one agent accepts and against epochs that fall.
#[test]
fn explore_ownership_holds() {
    for bound in [PAUSE, THREE_OWNERS] {
        let found = run(bound);
        assert!(found.violation.is_none(), "{:#?}", found.violation);
    }
}

/// Guards against a check that cannot see a missing guard.
#[test]
fn explore_ownership_catches_mutants() {
    for mutant in [Mutant::NoFence, Mutant::NoCompare] {
        let found = run(Bound { mutant, ..PAUSE });
        assert!(found.violation.is_some(), "{mutant:?} was not caught");
    }
}
