//! Queue order, reservation and backfill.

mod common;

use std::sync::Arc;
use std::time::Duration;

use board::Estimate;
use common::{Cell, HOUR, placed, shape};
use model::Adjacency;
use placement::{Event, GangEnd, Strategy};

fn whole() -> model::Shape {
    shape(1, 8, Adjacency::Worker)
}

// Guards against a heavy client account that keeps light ones waiting.
#[test]
fn order_puts_least_attained_service_first() {
    let mut cell = Cell::new(1);
    cell.board.history.update(|history| {
        history.attained.insert("faro".into(), 1e6);
    });
    let (heavy, light) = (cell.request("faro", whole()), cell.request("plot", whole()));
    let expected = light.id;
    let actions = cell.step(vec![
        Event::Submitted(Arc::new(heavy)),
        Event::Submitted(Arc::new(light)),
    ]);
    assert_eq!(placed(&actions), [expected]);
}

// Guards against large jobs that small ones overtake for ever.
#[test]
fn drain_starts_large_job_under_small_load() {
    let mut cell = Cell::new(2);
    let mut gangs = Vec::new();
    for _ in 0..2 {
        let request = cell.request("plot", whole());
        gangs.push(cell.run(request).id);
    }
    let large = cell.request("faro", shape(2, 8, Adjacency::Rack));
    let expected = large.id;
    cell.submit(large);
    cell.now += HOUR;
    let small = cell.request("plot", whole());
    cell.submit(small);
    assert!(placed(&cell.end(gangs[0], GangEnd::Answered)).is_empty());
    let actions = cell.end(gangs[1], GangEnd::Answered);
    assert_eq!(placed(&actions), [expected]);
}

// Guards against a small blocked job that takes the one reservation, while a large one needs it.
#[test]
fn drain_prefers_large_job() {
    let mut cell = Cell::new(2);
    for _ in 0..2 {
        let request = cell.request("plot", whole());
        cell.run(request);
    }
    let small = cell.request("faro", shape(1, 4, Adjacency::Worker));
    let large = cell.request("faro", shape(2, 8, Adjacency::Rack));
    let expected = large.id;
    let requests = [small, large].map(|request| Event::Submitted(Arc::new(request)));
    cell.step(requests.to_vec());
    let drain = cell.board.fleet.load().drain.clone();
    assert_eq!(drain.map(|drain| drain.job), Some(expected));
}

// Guards against a drained window that stays idle although a short job would end in time.
#[test]
fn drain_lets_short_jobs_backfill() {
    let mut cell = Cell::new(2);
    let mut gangs = Vec::new();
    for hours in [1, 3] {
        let mut request = cell.request("plot", whole());
        request.declared_run_time = Some(HOUR * hours);
        gangs.push(cell.run(request).id);
    }
    let large = cell.request("faro", shape(2, 8, Adjacency::Rack));
    cell.submit(large);
    cell.now += HOUR;
    cell.end(gangs[0], GangEnd::Answered);
    let mut long = cell.request("plot", whole());
    long.declared_run_time = Some(HOUR * 5);
    assert!(placed(&cell.submit(long)).is_empty());
    let short = cell.request("plot", whole());
    assert_eq!(placed(&cell.submit(short.clone())), [short.id]);
}

// Guards against trust in a declared run time that history contradicts.
#[test]
fn drain_corrects_declared_run_time() {
    let mut cell = Cell::new(2);
    let request = cell.request("plot", whole());
    cell.run(request);
    let large = cell.request("faro", shape(2, 8, Adjacency::Rack));
    cell.submit(large);
    let known = Estimate {
        runs: 10,
        mean: HOUR * 4,
        p90: HOUR * 5,
        ..Estimate::default()
    };
    cell.board.history.update(|history| {
        let key = ("seed".into(), "lens".into());
        history.estimates.insert(key, known);
    });
    let mut liar = cell.request("seed", whole());
    liar.declared_run_time = Some(Duration::from_secs(1));
    assert!(placed(&cell.submit(liar)).is_empty());
}

// Guards against a stopped job that loses its turn to later ones. Strict first-come order shows the position alone,
// without attained service and without the reservation that the waiting job may hold.
#[test]
fn requeue_keeps_queue_position() {
    let mut cell = Cell::new(1);
    cell.strategy = Strategy::FirstFit;
    let mut first = cell.request("plot", whole());
    first.idempotent = true;
    let gang = cell.run(first);
    cell.now += Duration::from_mins(1);
    let second = cell.request("plot", whole());
    cell.submit(second);
    let actions = cell.end(gang.id, GangEnd::MemberLost);
    assert_eq!(placed(&actions), [gang.job]);
}

// Guards against baselines that are stronger or weaker than their names say.
#[test]
fn step_differs_between_baselines() {
    for (strategy, expected) in [(Strategy::FirstFit, 0), (Strategy::Backfill, 1)] {
        let mut cell = Cell::new(2);
        cell.strategy = strategy;
        let request = cell.request("plot", whole());
        cell.run(request);
        let large = cell.request("faro", shape(2, 8, Adjacency::Rack));
        cell.submit(large);
        let small = cell.request("plot", whole());
        assert_eq!(placed(&cell.submit(small)).len(), expected);
    }
}
