//! Tests of cell ownership and of configuration revisions.

use std::time::{Duration, Instant};

use membership::ownership::{
    Candidate, CellRecord, CellView, Duty, OWNER_LEASE_TERM, RenewalOutcome, SendDecision, Step,
};
use membership::revisions::{Recovery, Revisions, StagedSections};

fn view(epoch: u64, lease: u64, holder: Option<u64>) -> CellView {
    let owner = "e1".into();
    let record = CellRecord {
        epoch,
        owner,
        lease,
    };
    CellView {
        record: Some((record, 9)),
        holder,
    }
}

fn candidate(now: Instant) -> Duty<Candidate> {
    Duty::granted("e1".into(), 5, now)
}

/// Guards against two owners with the same epoch, and an owner that raises it twice.
#[test]
fn decide_raises_epoch_once() {
    let now = Instant::now();
    let step = candidate(now).decide(&view(3, 4, Some(5)), now, now);
    let Step::RaiseEpoch {
        record, expected, ..
    } = step
    else {
        panic!("{step:?}")
    };
    assert_eq!((record.epoch, expected), (4, 9));
    let step = candidate(now).decide(&view(4, 5, Some(5)), now, now);
    assert!(matches!(step, Step::Own(duty) if duty.state.epoch == 4));
}

/// Guards against two processes that hold the cell at once.
#[test]
fn decide_waits_for_holder() {
    let now = Instant::now();
    let step = candidate(now).decide(&view(3, 4, Some(4)), now, now);
    assert!(matches!(step, Step::Wait(_)));
    let step = candidate(now).decide(&view(3, 4, None), now, now);
    assert!(matches!(step, Step::TakeHolder(_, 5)));
    let step = candidate(now).decide(&view(3, 4, None), now, now + OWNER_LEASE_TERM);
    assert!(matches!(step, Step::Restart(_)));
}

/// Guards against an owner that sends after a pause without renewing its lease, and one that resigns in a store outage.
#[test]
fn apply_renewal_keeps_duty_without_store() {
    let now = Instant::now();
    let Step::Own(duty) = candidate(now).decide(&view(4, 5, Some(5)), now, now) else {
        panic!("the candidate holds both keys")
    };
    let late = now + OWNER_LEASE_TERM;
    assert_eq!(duty.send_decision(now), SendDecision::Send);
    assert_eq!(duty.send_decision(late), SendDecision::RenewFirst);
    let duty = duty
        .apply_renewal(RenewalOutcome::NoAnswer, late, late)
        .unwrap();
    assert_eq!(duty.send_decision(late), SendDecision::Send);
    let duty = duty.observe_epoch(4).unwrap();
    assert!(duty.clone().observe_epoch(5).is_err());
    let requested_at = late + Duration::from_secs(1);
    assert!(
        duty.apply_renewal(RenewalOutcome::Expired, requested_at, requested_at)
            .is_err()
    );
}

/// Guards against a late message that restores an older configuration.
#[test]
fn admit_ignores_lower_revision() {
    let mut revisions = Revisions::default();
    assert!(revisions.admit("policy", 5));
    assert!(!revisions.admit("policy", 5) && !revisions.admit("policy", 4));
    assert!(revisions.admit("accounts/a", 4));
    assert_eq!(revisions.highest(), 5);
}

/// Guards against an applied revision that is lost in a restart because no peer holds it.
#[test]
fn apply_waits_for_peers() {
    let mut revisions = Revisions::default();
    assert!(revisions.hold("policy", 5));
    let staged = StagedSections::new(&revisions, ["b".into(), "c".into()]);
    let mut staged = staged.apply(&mut revisions).unwrap_err();
    staged.record_unreachable("c");
    let mut unreplicated = staged.clone();
    unreplicated.record_unreachable("b");
    assert!(unreplicated.apply(&mut revisions).is_err());
    assert_eq!(revisions.applied("policy"), 0);
    staged.record_held("b");
    assert_eq!(staged.apply(&mut revisions), Ok(vec!["policy".into()]));
    assert_eq!(revisions.applied("policy"), 5);
}

/// Guards against a restarted process that serves before its reachable peers have answered.
#[test]
fn finish_waits_for_reachable_peers() {
    let recovery = Recovery::start(["b".into(), "c".into()]);
    let mut recovery = recovery.finish().unwrap_err();
    recovery.record_unreachable("c");
    let mut recovery = recovery.finish().unwrap_err();
    recovery.hold("policy", 5);
    recovery.record_answered("b");
    let revisions = recovery.finish().unwrap();
    assert_eq!(revisions.pending()["policy"], 5);
}
