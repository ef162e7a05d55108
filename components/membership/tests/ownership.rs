//! Tests of ownership and of configuration revisions.

use std::time::{Duration, Instant};

use membership::ownership::{
    Candidate, CellRecord, CellView, Clearance, Duty, OWNER_LEASE_TERM, Renewal, Step,
};
use membership::revisions::{Recovery, Revisions, Staged};

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

/// Guards against an epoch that does not rise with each owner.
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

/// Guards against two processes that hold the cell.
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

/// Guards against an owner that sends after a pause without asking the store, and one that gives up in an outage.
#[test]
fn renewal_keeps_duty_without_store() {
    let now = Instant::now();
    let Step::Own(duty) = candidate(now).decide(&view(4, 5, Some(5)), now, now) else {
        panic!("the candidate holds both keys")
    };
    let late = now + OWNER_LEASE_TERM;
    assert_eq!(duty.clearance(now), Clearance::Send);
    assert_eq!(duty.clearance(late), Clearance::RenewFirst);
    let duty = duty.renewal(Renewal::Silent, late, late).unwrap();
    assert_eq!(duty.clearance(late), Clearance::Send);
    let duty = duty.refused(4).unwrap();
    assert!(duty.clone().refused(5).is_err());
    let asked = late + Duration::from_secs(1);
    assert!(duty.renewal(Renewal::Gone, asked, asked).is_err());
}

/// Guards against a late message that returns an older configuration.
#[test]
fn admit_ignores_lower_revision() {
    let mut revisions = Revisions::default();
    assert!(revisions.admit("policy", 5));
    assert!(!revisions.admit("policy", 5) && !revisions.admit("policy", 4));
    assert!(revisions.admit("accounts/a", 4));
    assert_eq!(revisions.highest(), 5);
}

/// Guards against a revision that only this process has seen when it restarts.
#[test]
fn apply_waits_for_peers() {
    let mut revisions = Revisions::default();
    assert!(revisions.hold("policy", 5));
    let staged = Staged::new(&revisions, ["b".into(), "c".into()]);
    let mut staged = staged.apply(&mut revisions).unwrap_err();
    staged.unreachable("c");
    let mut alone = staged.clone();
    alone.unreachable("b");
    assert!(alone.apply(&mut revisions).is_err());
    assert_eq!(revisions.of("policy"), 0);
    staged.holds("b");
    assert_eq!(staged.apply(&mut revisions), Ok(vec!["policy".into()]));
    assert_eq!(revisions.of("policy"), 5);
}

/// Guards against serving after a restart before the peers answered.
#[test]
fn collected_waits_for_reachable_peers() {
    let recovery = Recovery::start(["b".into(), "c".into()]);
    let mut recovery = recovery.collected().unwrap_err();
    recovery.unreachable("c");
    let mut recovery = recovery.collected().unwrap_err();
    recovery.hold("policy", 5);
    recovery.answered("b");
    let revisions = recovery.collected().unwrap();
    assert_eq!(revisions.pending()["policy"], 5);
}
