//! Model checks of ownership with fencing.

use specs::explore::{Exploration, explore};
use specs::ownership::{Bound, Mutant, State};

/// One lease term passes, so that leases expire by the clocks of their holders.
const LEASE_EXPIRY: Bound = Bound {
    horizon: 6,
    leases: 2,
    mutant: Mutant::None,
};

/// A third owner and no passing time, so that only the store ends leases.
const THREE_OWNERS: Bound = Bound {
    horizon: 0,
    leases: 3,
    ..LEASE_EXPIRY
};

fn check(bound: Bound) -> Exploration<State> {
    let start = State::initial();
    let exploration = explore(&start, |state| state.successors(bound), State::violates);
    let length = exploration.path_length();
    println!(
        "ownership: {} states, violation at {length:?}, {bound:?}",
        exploration.states
    );
    exploration
}

/// Guards against epochs that decrease or have two owners, and against an agent that accepts a superseded owner.
#[test]
fn explore_ownership_holds() {
    for bound in [LEASE_EXPIRY, THREE_OWNERS] {
        let exploration = check(bound);
        assert!(
            exploration.violation.is_none(),
            "{:#?}",
            exploration.violation
        );
    }
}

/// Guards against a check that does not detect an injected fault.
#[test]
fn explore_ownership_catches_mutants() {
    for mutant in [Mutant::NoFence, Mutant::NoRevisionCheck] {
        let exploration = check(Bound {
            mutant,
            ..LEASE_EXPIRY
        });
        assert!(
            exploration.violation.is_some(),
            "{mutant:?} was not detected"
        );
    }
}
