//! Guarantees and the reclaim of their capacity.

mod common;

use common::{Cell, HOUR, placed, reclaimed, reserved, shape};
use model::Adjacency;
use placement::{GangEnd, guarantee_faults, guarantee_shortfall};

// Guards against accepting configurations whose guarantees cannot all be met.
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

// Guards against a refusal of guarantees that fit, because packing tries only one order. Packing the largest first puts
// 4 and 3 accelerators on one worker and 3, 2 and 2 on the other, which leaves no worker with 2.
#[test]
fn guarantee_faults_tries_several_orders() {
    let mut cell = Cell::new(2);
    let sizes = [4, 3, 3, 2, 2, 2].map(|n| shape(1, n, Adjacency::Worker));
    cell.guarantee("faro", &sizes);
    let document = &cell.board.config.load().document;
    assert!(guarantee_faults(&cell.board.fleet.load(), document).is_empty());
}

// Guards against guarantees whose allocation is on a quarantined worker.
#[test]
fn step_moves_allocation_off_quarantined_worker() {
    let mut cell = Cell::new(2);
    cell.guarantee("faro", &[shape(1, 8, Adjacency::Worker)]);
    let allocated_worker = |cell: &Cell| cell.board.fleet.load().claims[0].allocation[0].0;
    let before = allocated_worker(&cell);
    let quarantine = board::Quarantine {
        since: cell.now,
        next_probe: cell.now + HOUR,
    };
    cell.board.blame.update(|blame| {
        let worker = common::worker(before).id;
        blame.quarantined.insert(worker, quarantine);
    });
    cell.step(vec![placement::Event::Tick]);
    assert_ne!(allocated_worker(&cell), before);
}

// Guards against a non-preemptible job of another account on capacity that a guarantee needs.
#[test]
fn step_keeps_non_preemptible_work_off_guarantee() {
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

// Guards against another job taking capacity that was reclaimed for a guarantee.
#[test]
fn reclaim_holds_freed_capacity() {
    let mut cell = Cell::new(1);
    let full_worker = shape(1, 8, Adjacency::Worker);
    cell.guarantee("faro", &[full_worker]);
    let mut borrower = cell.request("plot", full_worker);
    borrower.idempotent = true;
    let running = cell.run(borrower.clone());
    let guaranteed = cell.request("faro", full_worker);
    let guaranteed_job = guaranteed.id;
    let actions = cell.submit(guaranteed);
    assert_eq!(reclaimed(&actions), [running.id]);
    borrower.id = cell.new_id();
    cell.now += HOUR;
    assert!(reclaimed(&cell.submit(borrower)).is_empty());
    let actions = cell.end(running.id, GangEnd::Stopped);
    assert_eq!(placed(&actions), [guaranteed_job]);
    let queue = cell.board.queue.load();
    assert_eq!(queue.queued.first().map(|(id, _)| *id), Some(running.job));
}

// Guards against borrowers that take a part of the reclaimed capacity while the rest is not free yet.
#[test]
fn reclaim_holds_each_freed_part() {
    let mut cell = Cell::new(2);
    let full_worker = shape(1, 8, Adjacency::Worker);
    cell.guarantee("faro", &[shape(2, 8, Adjacency::Rack)]);
    let mut borrower = cell.request("plot", full_worker);
    borrower.idempotent = true;
    let first = cell.run(borrower.clone());
    borrower.id = cell.new_id();
    let second = cell.run(borrower);
    let guaranteed = cell.request("faro", shape(2, 8, Adjacency::Rack));
    let guaranteed_job = guaranteed.id;
    assert_eq!(reclaimed(&cell.submit(guaranteed)).len(), 2);
    assert!(placed(&cell.end(first.id, GangEnd::Stopped)).is_empty());
    assert_eq!(
        placed(&cell.end(second.id, GangEnd::Stopped)),
        [guaranteed_job]
    );
}

// Guards against a job that takes a claim of equal size but narrower adjacency, which another job then needs. The
// totals of both shapes are equal. One worker has 8 accelerators free and the others 3 each, so `narrow` fits only on
// the first.
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
    let mut narrow = shape(2, 3, Adjacency::Worker);
    narrow.memory_mb = 3;
    cell.guarantee("faro", &[narrow, wide]);
    for shape in [wide, narrow] {
        let request = cell.request("faro", shape);
        assert_eq!(placed(&cell.submit(request)).len(), 1);
    }
}

// Guards against small jobs that starve a large job within the guarantee of their client account.
#[test]
fn claim_cutoffs_keep_claim_for_waiting_job() {
    let mut cell = Cell::new(1);
    let full_worker = shape(8, 1, Adjacency::Worker);
    cell.guarantee("faro", &[full_worker]);
    let small = cell.request("faro", shape(1, 1, Adjacency::Worker));
    let gang = cell.run(small.clone());
    cell.now += HOUR;
    let large = cell.request("faro", full_worker);
    cell.submit(large.clone());
    cell.now += HOUR;
    let later = cell.request("faro", shape(1, 1, Adjacency::Worker));
    assert!(placed(&cell.submit(later)).is_empty());
    assert_eq!(placed(&cell.end(gang.id, GangEnd::Answered)), [large.id]);
}

// Guards against a backfill reservation that relies on capacity taken by a guarantee.
#[test]
fn reclaim_drops_conflicting_reservation() {
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
    assert!(cell.board.fleet.load().backfill_reservation.is_some());
    let guaranteed = cell.request("faro", shape(3, 8, Adjacency::Rack));
    cell.submit(guaranteed);
    assert!(cell.board.fleet.load().backfill_reservation.is_none());
}

// Guards against stopping a borrower that loses more work than another would.
#[test]
fn reclaim_stops_cheapest_borrower() {
    let mut cell = Cell::new(3);
    let full_worker = shape(1, 8, Adjacency::Worker);
    cell.guarantee("faro", &[full_worker]);
    let mut gangs = Vec::new();
    for stoppable in [false, true, false] {
        let mut request = cell.request("plot", full_worker);
        request.idempotent = true;
        request.stoppable = stoppable;
        gangs.push(cell.run(request).id);
        cell.now += HOUR / 2;
    }
    let guaranteed = cell.request("faro", full_worker);
    let actions = cell.submit(guaranteed);
    assert_eq!(reclaimed(&actions), [gangs[1]]);
}

// Guards against stopping a cheap borrower although a more expensive one, which must stop anyway, frees enough.
#[test]
fn reclaim_keeps_unneeded_borrower() {
    let mut cell = Cell::new(1);
    cell.guarantee("faro", &[shape(1, 4, Adjacency::Worker)]);
    let mut gangs = Vec::new();
    for accelerators in [6, 2] {
        let mut request = cell.request("plot", shape(1, accelerators, Adjacency::Worker));
        request.idempotent = true;
        gangs.push(cell.run(request).id);
        cell.now += HOUR;
    }
    let guaranteed = cell.request("faro", shape(1, 4, Adjacency::Worker));
    assert_eq!(reclaimed(&cell.submit(guaranteed)), [gangs[0]]);
}

// Guards against stopping borrowers although free capacity or an unused claim of equal shape suffices.
#[test]
fn reclaim_prefers_free_capacity() {
    let mut cell = Cell::new(2);
    let full_worker = shape(1, 8, Adjacency::Worker);
    cell.guarantee("faro", &[full_worker]);
    cell.guarantee("plot", &[full_worker]);
    let mut borrower = cell.request("seed", full_worker);
    borrower.idempotent = true;
    cell.run(borrower);
    for (account, stops) in [("faro", 0), ("plot", 1)] {
        let guaranteed = cell.request(account, full_worker);
        let actions = cell.submit(guaranteed);
        assert_eq!(reclaimed(&actions).len(), stops);
        cell.confirm(&actions);
    }
}

// Guards against small jobs that each occupy a whole guarantee.
#[test]
fn reclaim_shares_one_guarantee_between_jobs() {
    let mut cell = Cell::new(1);
    cell.guarantee("faro", &[shape(8, 1, Adjacency::Worker)]);
    for _ in 0..8 {
        let request = cell.request("faro", shape(1, 1, Adjacency::Worker));
        assert_eq!(reserved(&cell.submit(request)).len(), 1);
    }
    assert_eq!(cell.board.fleet.load().claim_by_gang.len(), 8);
}

// Guards against a cancelled job that keeps its hold, and a cancelled borrower that starts again.
#[test]
fn cancel_drops_hold() {
    let mut cell = Cell::new(1);
    let full_worker = shape(1, 8, Adjacency::Worker);
    cell.guarantee("faro", &[full_worker]);
    let mut borrower = cell.request("plot", full_worker);
    borrower.idempotent = true;
    let running = cell.run(borrower);
    let guaranteed = cell.request("faro", full_worker);
    let guaranteed_job = guaranteed.id;
    cell.submit(guaranteed);
    cell.step(vec![
        placement::Event::Cancelled(guaranteed_job),
        placement::Event::Cancelled(running.job),
    ]);
    cell.end(running.id, GangEnd::Stopped);
    let (fleet, queue) = (cell.board.fleet.load(), cell.board.queue.load());
    assert!(queue.queued.is_empty() && fleet.holds.is_empty() && fleet.claim_by_gang.is_empty());
    assert_eq!(fleet.free[0].accelerators, 8);
}

// Guards against a shortfall that is not reported after workers are lost.
#[test]
fn guarantee_shortfall_reports_lost_workers() {
    let mut cell = Cell::new(3);
    let two_workers = shape(2, 8, Adjacency::Rack);
    cell.guarantee("faro", &[two_workers]);
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

// Guards against a non-preemptible job on spare capacity that could replace a lost part of an allocation.
#[test]
fn step_keeps_spare_capacity_during_shortfall() {
    let mut cell = Cell::new(3);
    cell.guarantee("faro", &[shape(2, 8, Adjacency::Rack)]);
    let request = cell.request("plot", shape(1, 8, Adjacency::Worker));
    cell.run(request);
    let allocated_worker = cell.board.fleet.load().claims[0].allocation[0].0;
    let remaining: Vec<usize> = (0..3)
        .filter(|worker| *worker != allocated_worker)
        .collect();
    cell.set_workers(&remaining);
    let small = cell.request("plot", shape(1, 4, Adjacency::Worker));
    assert!(placed(&cell.submit(small)).is_empty());
}

// Guards against a guarantee that stays without an allocation because a preemptible job uses the rest of the old one.
#[test]
fn reconcile_claims_moves_claim_off_preemptible_work() {
    let mut cell = Cell::new(3);
    let two_workers = shape(2, 8, Adjacency::Rack);
    cell.guarantee("faro", &[two_workers]);
    let mut request = cell.request("faro", two_workers);
    request.idempotent = true;
    cell.run(request);
    let allocated_worker = cell.board.fleet.load().claims[0].allocation[0].0;
    let remaining: Vec<usize> = (0..3)
        .filter(|worker| *worker != allocated_worker)
        .collect();
    cell.set_workers(&remaining);
    let (fleet, queue) = (cell.board.fleet.load(), cell.board.queue.load());
    let document = &cell.board.config.load().document;
    assert!(guarantee_shortfall(&fleet, &queue, document).is_empty());
}
