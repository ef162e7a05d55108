//! Guarantees and their reclaim.

mod common;

use common::{Cell, HOUR, placed, reclaimed, reserved, shape};
use model::Adjacency;
use placement::{GangEnd, guarantee_faults, guarantee_shortfall};

// Guards against configurations whose guarantees cannot all be honoured.
#[test]
fn guarantee_faults_names_sections() {
    let mut cell = Cell::new(2);
    cell.guarantee("faro", &[shape(2, 8, Adjacency::Rack)]);
    let mut document = cell.board.config.load().document.clone();
    let fleet = cell.board.fleet.load();
    assert!(guarantee_faults(&fleet, &document).is_empty());
    let more = model::Account {
        guarantees: vec![shape(1, 1, Adjacency::Worker)],
        ..model::Account::default()
    };
    document.accounts.insert("plot".into(), more);
    let faults = guarantee_faults(&fleet, &document);
    assert!(!faults.is_empty() && faults.iter().all(|name| name.starts_with("accounts/")));
}

// Guards against a refusal of guarantees that fit, because the packing tried one order only.
#[test]
fn guarantee_faults_tries_several_orders() {
    let mut cell = Cell::new(2);
    let sizes = [4, 3, 3, 2, 2, 2].map(|n| shape(1, n, Adjacency::Worker));
    cell.guarantee("faro", &sizes);
    let document = &cell.board.config.load().document;
    assert!(guarantee_faults(&cell.board.fleet.load(), document).is_empty());
}

// Guards against guarantees that rest on workers which fail every task.
#[test]
fn step_moves_home_off_quarantine() {
    let mut cell = Cell::new(2);
    cell.guarantee("faro", &[shape(1, 8, Adjacency::Worker)]);
    let home = |cell: &Cell| cell.board.fleet.load().claims[0].home[0].0;
    let before = home(&cell);
    let quarantine = board::Quarantine {
        since: cell.now,
        next_probe: cell.now + HOUR,
    };
    cell.board.blame.update(|blame| {
        let worker = common::worker(before).id;
        blame.quarantined.insert(worker, quarantine);
    });
    cell.step(vec![placement::Event::Tick]);
    assert_ne!(home(&cell), before);
}

// Guards against work that may not be stopped on capacity that a guarantee needs.
#[test]
fn step_keeps_firm_work_off_guarantee() {
    let mut cell = Cell::new(3);
    cell.guarantee("faro", &[shape(2, 8, Adjacency::Rack)]);
    let first = cell.request("plot", shape(1, 8, Adjacency::Worker));
    assert_eq!(placed(&cell.submit(first)).len(), 1);
    let second = cell.request("plot", shape(1, 8, Adjacency::Worker));
    assert!(placed(&cell.submit(second)).is_empty());
    let mut third = cell.request("plot", shape(1, 8, Adjacency::Worker));
    third.idempotent = true;
    assert_eq!(placed(&cell.submit(third)).len(), 1);
}

// Guards against freed capacity that another job takes before the one it was reclaimed for.
#[test]
fn reclaim_reserves_freed_capacity() {
    let mut cell = Cell::new(1);
    let whole = shape(1, 8, Adjacency::Worker);
    cell.guarantee("faro", &[whole]);
    let mut borrower = cell.request("plot", whole);
    borrower.idempotent = true;
    let running = cell.run(borrower.clone());
    let claim = cell.request("faro", whole);
    let claimant = claim.id;
    let actions = cell.submit(claim);
    assert_eq!(reclaimed(&actions), [running.id]);
    borrower.id += 1;
    cell.now += HOUR;
    assert!(reclaimed(&cell.submit(borrower)).is_empty());
    let actions = cell.end(running.id, GangEnd::Stopped);
    assert_eq!(placed(&actions), [claimant]);
    let queue = cell.board.queue.load();
    assert_eq!(queue.queued.first().map(|(id, _)| *id), Some(running.job));
}

// Guards against borrowers that take one part of the freed capacity while the other part is not free yet.
#[test]
fn reclaim_reserves_each_freed_part() {
    let mut cell = Cell::new(2);
    let whole = shape(1, 8, Adjacency::Worker);
    cell.guarantee("faro", &[shape(2, 8, Adjacency::Rack)]);
    let mut borrower = cell.request("plot", whole);
    borrower.idempotent = true;
    let first = cell.run(borrower.clone());
    borrower.id += 1;
    let second = cell.run(borrower);
    let claim = cell.request("faro", shape(2, 8, Adjacency::Rack));
    let claimant = claim.id;
    assert_eq!(reclaimed(&cell.submit(claim)).len(), 2);
    assert!(placed(&cell.end(first.id, GangEnd::Stopped)).is_empty());
    assert_eq!(placed(&cell.end(second.id, GangEnd::Stopped)), [claimant]);
}

// Guards against a job that takes a claim of equal size but tighter adjacency, which another job then lacks.
#[test]
fn reclaim_uses_claim_of_equal_shape_first() {
    let mut cell = Cell::new(3);
    let request = cell.request("seed", shape(1, 8, Adjacency::Worker));
    let filler = cell.run(request);
    for _ in 0..2 {
        let request = cell.request("plot", shape(1, 5, Adjacency::Worker));
        cell.run(request);
    }
    cell.end(filler.id, GangEnd::Answered);
    let wide = shape(6, 1, Adjacency::Rack);
    let mut tight = shape(2, 3, Adjacency::Worker);
    tight.memory_mb = 3;
    cell.guarantee("faro", &[tight, wide]);
    for shape in [wide, tight] {
        let request = cell.request("faro", shape);
        assert_eq!(placed(&cell.submit(request)).len(), 1);
    }
}

// Guards against small jobs that keep a large one out of the guarantee of their client account.
#[test]
fn reclaim_closes_claim_behind_waiting_job() {
    let mut cell = Cell::new(1);
    let whole = shape(8, 1, Adjacency::Worker);
    cell.guarantee("faro", &[whole]);
    let small = cell.request("faro", shape(1, 1, Adjacency::Worker));
    let gang = cell.run(small.clone());
    cell.now += HOUR;
    let large = cell.request("faro", whole);
    cell.submit(large.clone());
    cell.now += HOUR;
    let later = cell.request("faro", shape(1, 1, Adjacency::Worker));
    assert!(placed(&cell.submit(later)).is_empty());
    assert_eq!(placed(&cell.end(gang.id, GangEnd::Answered)), [large.id]);
}

// Guards against a drained window that counts on capacity which a guarantee took.
#[test]
fn reclaim_takes_drained_window() {
    let mut cell = Cell::new(3);
    cell.guarantee("faro", &[shape(3, 8, Adjacency::Rack)]);
    for _ in 0..3 {
        let mut borrower = cell.request("plot", shape(1, 8, Adjacency::Worker));
        borrower.idempotent = true;
        cell.run(borrower);
    }
    let mut large = cell.request("seed", shape(2, 8, Adjacency::Rack));
    large.idempotent = true;
    cell.submit(large);
    assert!(cell.board.fleet.load().drain.is_some());
    let claim = cell.request("faro", shape(3, 8, Adjacency::Rack));
    cell.submit(claim);
    assert!(cell.board.fleet.load().drain.is_none());
}

// Guards against stops that lose more work than needed.
#[test]
fn reclaim_stops_cheapest_borrower() {
    let mut cell = Cell::new(3);
    let whole = shape(1, 8, Adjacency::Worker);
    cell.guarantee("faro", &[whole]);
    let mut gangs = Vec::new();
    for stoppable in [false, true, false] {
        let mut request = cell.request("plot", whole);
        request.idempotent = true;
        request.stoppable = stoppable;
        gangs.push(cell.run(request).id);
        cell.now += HOUR / 2;
    }
    let claim = cell.request("faro", whole);
    let actions = cell.submit(claim);
    assert_eq!(reclaimed(&actions), [gangs[1]]);
}

// Guards against a cheap borrower that is stopped although a dearer one, which must stop anyway, frees enough.
#[test]
fn reclaim_spares_borrower_that_is_not_in_the_way() {
    let mut cell = Cell::new(1);
    cell.guarantee("faro", &[shape(1, 4, Adjacency::Worker)]);
    let mut gangs = Vec::new();
    for accelerators in [6, 2] {
        let mut request = cell.request("plot", shape(1, accelerators, Adjacency::Worker));
        request.idempotent = true;
        gangs.push(cell.run(request).id);
        cell.now += HOUR;
    }
    let claim = cell.request("faro", shape(1, 4, Adjacency::Worker));
    assert_eq!(reclaimed(&cell.submit(claim)), [gangs[0]]);
}

// Guards against stops where free capacity or an equal unused guarantee serves as well.
#[test]
fn reclaim_prefers_free_capacity() {
    let mut cell = Cell::new(2);
    let whole = shape(1, 8, Adjacency::Worker);
    cell.guarantee("faro", &[whole]);
    cell.guarantee("plot", &[whole]);
    let mut borrower = cell.request("seed", whole);
    borrower.idempotent = true;
    cell.run(borrower);
    for (account, stops) in [("faro", 0), ("plot", 1)] {
        let claim = cell.request(account, whole);
        let actions = cell.submit(claim);
        assert_eq!(reclaimed(&actions).len(), stops);
        cell.confirm(&actions);
    }
}

// Guards against several small jobs that each use up a whole guarantee.
#[test]
fn reclaim_shares_one_guarantee_between_jobs() {
    let mut cell = Cell::new(1);
    cell.guarantee("faro", &[shape(8, 1, Adjacency::Worker)]);
    for _ in 0..8 {
        let request = cell.request("faro", shape(1, 1, Adjacency::Worker));
        assert_eq!(reserved(&cell.submit(request)).len(), 1);
    }
    assert_eq!(cell.board.fleet.load().charged.len(), 8);
}

// Guards against a cancelled claim that keeps its reservation, and a cancelled job that starts again.
#[test]
fn cancel_frees_reserved_capacity() {
    let mut cell = Cell::new(1);
    let whole = shape(1, 8, Adjacency::Worker);
    cell.guarantee("faro", &[whole]);
    let mut borrower = cell.request("plot", whole);
    borrower.idempotent = true;
    let running = cell.run(borrower);
    let claim = cell.request("faro", whole);
    let claimant = claim.id;
    cell.submit(claim);
    cell.step(vec![
        placement::Event::Cancelled(claimant),
        placement::Event::Cancelled(running.job),
    ]);
    cell.end(running.id, GangEnd::Stopped);
    let (fleet, queue) = (cell.board.fleet.load(), cell.board.queue.load());
    assert!(queue.queued.is_empty() && fleet.holds.is_empty() && fleet.charged.is_empty());
    assert_eq!(fleet.free[0].accelerators, 8);
}

// Guards against a loss of workers that goes unreported.
#[test]
fn guarantee_shortfall_reports_lost_workers() {
    let mut cell = Cell::new(3);
    let two = shape(2, 8, Adjacency::Rack);
    cell.guarantee("faro", &[two]);
    cell.set_workers(&[1, 2]);
    let shortfall = |cell: &Cell| {
        let document = &cell.board.config.load().document;
        guarantee_shortfall(&cell.board.fleet.load(), &cell.board.queue.load(), document)
    };
    assert!(shortfall(&cell).is_empty());
    cell.set_workers(&[2]);
    assert_eq!(shortfall(&cell).len(), 1);
    cell.set_workers(&[0, 2]);
    assert!(shortfall(&cell).is_empty());
}

// Guards against work that may not be stopped on the capacity that would give a lost home back.
#[test]
fn step_keeps_spare_during_shortfall() {
    let mut cell = Cell::new(3);
    cell.guarantee("faro", &[shape(2, 8, Adjacency::Rack)]);
    let request = cell.request("plot", shape(1, 8, Adjacency::Worker));
    cell.run(request);
    let home = cell.board.fleet.load().claims[0].home[0].0;
    let left: Vec<usize> = (0..3).filter(|worker| *worker != home).collect();
    cell.set_workers(&left);
    let small = cell.request("plot", shape(1, 4, Adjacency::Worker));
    assert!(placed(&cell.submit(small)).is_empty());
}

// Guards against a guarantee without a home because work that may be stopped still uses the rest of the old one.
#[test]
fn settle_moves_claim_off_stoppable_work() {
    let mut cell = Cell::new(3);
    let pair = shape(2, 8, Adjacency::Rack);
    cell.guarantee("faro", &[pair]);
    let mut request = cell.request("faro", pair);
    request.idempotent = true;
    cell.run(request);
    let home = cell.board.fleet.load().claims[0].home[0].0;
    let left: Vec<usize> = (0..3).filter(|worker| *worker != home).collect();
    cell.set_workers(&left);
    let (fleet, queue) = (cell.board.fleet.load(), cell.board.queue.load());
    let document = &cell.board.config.load().document;
    assert!(guarantee_shortfall(&fleet, &queue, document).is_empty());
}
