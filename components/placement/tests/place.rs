//! Choice of workers.

mod common;

use std::collections::HashSet;
use std::sync::Arc;

use common::{Cell, placed, shape};
use model::{Adjacency, Shape};
use placement::{Action, fit_gang, infeasible_reason};

fn racks(cell: &Cell, actions: &[Action]) -> HashSet<Box<str>> {
    let fleet = cell.board.fleet.load();
    let mut racks = HashSet::new();
    for action in actions {
        if let Action::Reserve(gang) = action {
            let places = gang.members.iter().map(|m| &fleet.workers[&m.worker].place);
            racks.extend(places.map(|place| place.rack.clone()));
        }
    }
    racks
}

// Guards against gangs that are spread wider than they need to be.
#[test]
fn place_gang_prefers_one_rack() {
    let mut cell = Cell::new(24);
    let request = cell.request("faro", shape(16, 1, Adjacency::Any));
    let actions = cell.submit(request);
    assert_eq!(racks(&cell, &actions).len(), 1);
}

// Guards against gangs that use the slow link between regions without leave.
#[test]
fn fit_gang_stays_in_one_region() {
    let cell = Cell::new(48);
    let fleet = cell.board.fleet.load();
    let wide = |adjacency| shape(128, 2, adjacency);
    assert!(fit_gang(&fleet, &fleet.free, &wide(Adjacency::Region)).is_none());
    assert!(fit_gang(&fleet, &fleet.free, &wide(Adjacency::Any)).is_some());
    assert!(infeasible_reason(&fleet, &wide(Adjacency::Region)).is_some());
}

// Guards against small jobs that break up idle workers while a partly used one has room.
#[test]
fn place_gang_fills_fragments_first() {
    let mut cell = Cell::new(6);
    let request = cell.request("faro", shape(1, 5, Adjacency::Worker));
    let first = cell.run(request);
    let request = cell.request("faro", shape(1, 3, Adjacency::Worker));
    let second = cell.run(request);
    assert_eq!(first.members[0].worker, second.members[0].worker);
}

// Guards against processor work that strands idle accelerators.
#[test]
fn place_gang_without_accelerators_spares_idle_ones() {
    let mut cell = Cell::new(3);
    let request = cell.request("faro", shape(1, 8, Adjacency::Worker));
    let full = cell.run(request);
    let cores_only = Shape {
        cores: 40,
        ..shape(1, 0, Adjacency::Worker)
    };
    let request = cell.request("faro", cores_only);
    let gang = cell.run(request);
    assert_eq!(gang.members[0].worker, full.members[0].worker);
}

// Guards against processor work on cores that idle accelerators need, where another worker has cores to spare.
#[test]
fn place_gang_without_accelerators_uses_surplus_cores() {
    let mut cell = Cell::new(2);
    let request = cell.request("faro", shape(1, 4, Adjacency::Worker));
    let surplus = cell.run(request);
    let scarce = Shape {
        cores: 48,
        ..shape(1, 6, Adjacency::Worker)
    };
    let request = cell.request("faro", scarce);
    cell.run(request);
    let cores_only = Shape {
        cores: 16,
        ..shape(1, 0, Adjacency::Worker)
    };
    let request = cell.request("faro", cores_only);
    let gang = cell.run(request);
    assert_eq!(gang.members[0].worker, surplus.members[0].worker);
}

// Guards against work on workers that fail every task, and against quarantines that nothing ever probes.
#[test]
fn place_gang_probes_quarantine_when_due() {
    let mut cell = Cell::new(2);
    let now = cell.now;
    let worker = common::worker(0).id;
    let quarantine = board::Quarantine {
        since: now,
        next_probe: now + common::HOUR,
    };
    cell.board.blame.update(|blame| {
        blame.quarantined.insert(worker.clone(), quarantine);
    });
    let mut probe = cell.request("faro", shape(1, 1, Adjacency::Worker));
    probe.idempotent = true;
    assert_ne!(cell.run(probe.clone()).members[0].worker, worker);
    cell.now += common::HOUR;
    let firm = cell.request("faro", shape(1, 1, Adjacency::Worker));
    assert_ne!(cell.run(firm).members[0].worker, worker);
    probe.id += 1;
    assert_eq!(cell.run(probe.clone()).members[0].worker, worker);
    probe.id += 1;
    assert_ne!(cell.run(probe).members[0].worker, worker);
}

// Guards against non-idempotent work on a worker that never ran a task well.
#[test]
fn place_gang_keeps_firm_work_on_proven_workers() {
    let mut cell = Cell::new(4);
    let worker = common::worker(2).id;
    cell.board.blame.update(|blame| {
        blame.proven.insert(worker.clone());
    });
    let request = cell.request("faro", shape(1, 8, Adjacency::Worker));
    assert_eq!(cell.run(request).members[0].worker, worker);
    let waits = cell.request("faro", shape(1, 8, Adjacency::Worker));
    assert!(placed(&cell.submit(waits)).is_empty());
    let wide = cell.request("faro", shape(2, 8, Adjacency::Rack));
    assert_eq!(placed(&cell.submit(wide)).len(), 1);
}

// Guards against jobs that are retried after they failed on several workers.
#[test]
fn step_refuses_condemned_job() {
    let mut cell = Cell::new(1);
    let request = cell.request("faro", shape(1, 1, Adjacency::Worker));
    let job = request.id;
    cell.board.blame.update(|blame| {
        blame.faulty_jobs.insert(job, "failed on 3 workers".into());
    });
    let actions = cell.submit(request);
    let refusal = actions.iter().find_map(|action| match action {
        Action::Refuse { error, .. } => Some(error.message.clone()),
        _ => None,
    });
    assert_eq!(refusal.as_deref(), Some("failed on 3 workers"));
    assert!(cell.board.queue.load().queued.is_empty());
}

// Guards against a takeover in which gangs that already run are planned over.
#[test]
fn step_adopts_recovered_gang() {
    let mut cell = Cell::new(2);
    let all = shape(2, 8, Adjacency::Rack);
    cell.guarantee("faro", &[all]);
    let request = cell.request("faro", all);
    let gang = cell.run(request.clone());
    let mut next = Cell::new(2);
    next.guarantee("faro", &[all]);
    next.step(vec![placement::Event::Recovered {
        gang,
        request: Arc::new(request),
    }]);
    let (fleet, queue) = (next.board.fleet.load(), next.board.queue.load());
    assert_eq!(fleet.free[0].accelerators, 0);
    assert_eq!(placement::packing_fault(&fleet, &queue), None);
    assert_eq!(fleet.charged.len(), 1);
}
