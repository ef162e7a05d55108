//! Queue order, the backfill reservation and the baselines.

mod common;

use std::sync::Arc;
use std::time::Duration;

use board::RunTimeEstimate;
use common::{Cell, HOUR, placed, shape};
use model::Adjacency;
use placement::{Event, GangEnd, Strategy};

fn full_worker() -> model::Shape {
    shape(1, 8, Adjacency::Worker)
}

// Guards against client accounts with low usage that wait behind one with high usage.
#[test]
fn queue_order_puts_least_attained_service_first() {
    let mut cell = Cell::new(1);
    cell.board.history.update(|history| {
        history.attained_service.insert("faro".into(), 1e6);
    });
    let (heavy, light) = (
        cell.request("faro", full_worker()),
        cell.request("plot", full_worker()),
    );
    let expected = light.id;
    let actions = cell.step(vec![
        Event::Submitted(Arc::new(heavy)),
        Event::Submitted(Arc::new(light)),
    ]);
    assert_eq!(placed(&actions), [expected]);
}

// Guards against starvation of a large job by a stream of small ones.
#[test]
fn reserve_for_blocked_starts_large_job_under_small_load() {
    let mut cell = Cell::new(2);
    let mut gangs = Vec::new();
    for _ in 0..2 {
        let request = cell.request("plot", full_worker());
        gangs.push(cell.run(request).id);
    }
    let large = cell.request("faro", shape(2, 8, Adjacency::Rack));
    let expected = large.id;
    cell.submit(large);
    cell.now += HOUR;
    let small = cell.request("plot", full_worker());
    cell.submit(small);
    assert!(placed(&cell.end(gangs[0], GangEnd::Answered)).is_empty());
    let actions = cell.end(gangs[1], GangEnd::Answered);
    assert_eq!(placed(&actions), [expected]);
}

// Guards against a small blocked job that takes the only backfill reservation while a large job needs it.
#[test]
fn reserve_for_blocked_prefers_large_job() {
    let mut cell = Cell::new(2);
    for _ in 0..2 {
        let request = cell.request("plot", full_worker());
        cell.run(request);
    }
    let small = cell.request("faro", shape(1, 4, Adjacency::Worker));
    let large = cell.request("faro", shape(2, 8, Adjacency::Rack));
    let expected = large.id;
    let requests = [small, large].map(|request| Event::Submitted(Arc::new(request)));
    cell.step(requests.to_vec());
    let reservation = cell.board.fleet.load().backfill_reservation.clone();
    assert_eq!(
        reservation.map(|reservation| reservation.job),
        Some(expected)
    );
}

// Guards against reserved capacity that stays idle although a short job would end in time.
#[test]
fn may_use_reservation_allows_short_jobs() {
    let mut cell = Cell::new(2);
    let mut gangs = Vec::new();
    for hours in [1, 3] {
        let mut request = cell.request("plot", full_worker());
        request.declared_run_time = Some(HOUR * hours);
        gangs.push(cell.run(request).id);
    }
    let large = cell.request("faro", shape(2, 8, Adjacency::Rack));
    cell.submit(large);
    cell.now += HOUR;
    cell.end(gangs[0], GangEnd::Answered);
    let mut long = cell.request("plot", full_worker());
    long.declared_run_time = Some(HOUR * 5);
    assert!(placed(&cell.submit(long)).is_empty());
    let short = cell.request("plot", full_worker());
    assert_eq!(placed(&cell.submit(short.clone())), [short.id]);
}

// Guards against backfill based on a declared run time that history contradicts.
#[test]
fn expected_run_time_corrects_declared_one() {
    let mut cell = Cell::new(2);
    let request = cell.request("plot", full_worker());
    cell.run(request);
    let large = cell.request("faro", shape(2, 8, Adjacency::Rack));
    cell.submit(large);
    let known = RunTimeEstimate {
        runs: 10,
        mean: HOUR * 4,
        p90: HOUR * 5,
        ..RunTimeEstimate::default()
    };
    cell.board.history.update(|history| {
        let key = ("seed".into(), "lens".into());
        history.estimates.insert(key, known);
    });
    let mut underestimated = cell.request("seed", full_worker());
    underestimated.declared_run_time = Some(Duration::from_secs(1));
    assert!(placed(&cell.submit(underestimated)).is_empty());
}

// Guards against a stopped job that loses its queue position. The first-fit strategy is used because it depends on the
// queue position alone, not on attained service or on a backfill reservation for the waiting job.
#[test]
fn requeue_keeps_queue_position() {
    let mut cell = Cell::new(1);
    cell.strategy = Strategy::FirstFit;
    let mut first = cell.request("plot", full_worker());
    first.idempotent = true;
    let gang = cell.run(first);
    cell.now += Duration::from_mins(1);
    let second = cell.request("plot", full_worker());
    cell.submit(second);
    let actions = cell.end(gang.id, GangEnd::MemberLost);
    assert_eq!(placed(&actions), [gang.job]);
}

// Guards against baselines that do not behave as their names say: first-fit blocks, backfill does not.
#[test]
fn step_differs_between_baselines() {
    for (strategy, expected) in [(Strategy::FirstFit, 0), (Strategy::Backfill, 1)] {
        let mut cell = Cell::new(2);
        cell.strategy = strategy;
        let request = cell.request("plot", full_worker());
        cell.run(request);
        let large = cell.request("faro", shape(2, 8, Adjacency::Rack));
        cell.submit(large);
        let small = cell.request("plot", full_worker());
        assert_eq!(placed(&cell.submit(small)).len(), expected);
    }
}
