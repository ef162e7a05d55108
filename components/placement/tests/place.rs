//! Selection of workers for a gang.

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
            let places = gang
                .members
                .iter()
                .map(|m| &fleet.workers[&m.worker].location);
            racks.extend(places.map(|place| place.rack.clone()));
        }
    }
    racks
}

// Guards against gangs that are spread over more racks than necessary.
#[test]
fn place_gang_prefers_one_rack() {
    let mut cell = Cell::new(24);
    let request = cell.request("faro", shape(16, 1, Adjacency::Any));
    let actions = cell.submit(request);
    assert_eq!(racks(&cell, &actions).len(), 1);
}

// Guards against gangs that use the slow links between regions although their adjacency does not allow it.
#[test]
fn fit_gang_stays_in_one_region() {
    let cell = Cell::new(48);
    let fleet = cell.board.fleet.load();
    let wide = |adjacency| shape(128, 2, adjacency);
    assert!(fit_gang(&fleet, &fleet.free, &wide(Adjacency::Region)).is_none());
    assert!(fit_gang(&fleet, &fleet.free, &wide(Adjacency::Any)).is_some());
    assert!(infeasible_reason(&fleet, &wide(Adjacency::Region)).is_some());
}

// Guards against small jobs that fragment idle workers although they fit on a partly used worker.
#[test]
fn place_gang_fills_fragments_first() {
    let mut cell = Cell::new(6);
    let request = cell.request("faro", shape(1, 5, Adjacency::Worker));
    let first = cell.run(request);
    let request = cell.request("faro", shape(1, 3, Adjacency::Worker));
    let second = cell.run(request);
    assert_eq!(first.members[0].worker, second.members[0].worker);
}

// Guards against a CPU-only job that takes the cores of free accelerators although a worker without free accelerators
// has enough cores.
#[test]
fn place_gang_without_accelerators_keeps_free_ones_usable() {
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

// Guards against a CPU-only job that takes the cores of free accelerators although another worker has more cores than
// its free accelerators need. Both workers have accelerators free: the first has 4 and 60 cores, the second 2 and 16.
#[test]
fn place_gang_without_accelerators_uses_surplus_cores() {
    let mut cell = Cell::new(2);
    let request = cell.request("faro", shape(1, 4, Adjacency::Worker));
    let surplus = cell.run(request);
    let core_heavy = Shape {
        cores: 48,
        ..shape(1, 6, Adjacency::Worker)
    };
    let request = cell.request("faro", core_heavy);
    cell.run(request);
    let cores_only = Shape {
        cores: 16,
        ..shape(1, 0, Adjacency::Worker)
    };
    let request = cell.request("faro", cores_only);
    let gang = cell.run(request);
    assert_eq!(gang.members[0].worker, surplus.members[0].worker);
}

// Guards against jobs on a quarantined worker that are not probes, and against a quarantined worker that is never
// probed. Only an idempotent job is a probe, and only while no other job runs on the worker.
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
    let non_preemptible = cell.request("faro", shape(1, 1, Adjacency::Worker));
    assert_ne!(cell.run(non_preemptible).members[0].worker, worker);
    probe.id = cell.new_id();
    assert_eq!(cell.run(probe.clone()).members[0].worker, worker);
    probe.id = cell.new_id();
    assert_ne!(cell.run(probe).members[0].worker, worker);
}

// Guards against a non-idempotent job on a worker on which no task has succeeded, if it fits on other workers.
#[test]
fn place_gang_keeps_non_preemptible_work_on_proven_workers() {
    let mut cell = Cell::new(4);
    let worker = common::worker(2).id;
    cell.board.blame.update(|blame| {
        blame.proven.insert(worker.clone());
    });
    let request = cell.request("faro", shape(1, 8, Adjacency::Worker));
    assert_eq!(cell.run(request).members[0].worker, worker);
    let waiting = cell.request("faro", shape(1, 8, Adjacency::Worker));
    assert!(placed(&cell.submit(waiting)).is_empty());
    let wide = cell.request("faro", shape(2, 8, Adjacency::Rack));
    assert_eq!(placed(&cell.submit(wide)).len(), 1);
}

// Guards against another attempt of a job to which the blame section attributes its failures.
#[test]
fn step_refuses_job_that_failed_on_several_workers() {
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

// Guards against a new owner that places jobs on capacity of gangs that already run, or that does not charge a
// recovered gang to a claim and so finds no capacity for the claim.
#[test]
fn step_adopts_recovered_gang() {
    let mut cell = Cell::new(2);
    let both_workers = shape(2, 8, Adjacency::Rack);
    cell.guarantee("faro", &[both_workers]);
    let request = cell.request("faro", both_workers);
    let gang = cell.run(request.clone());
    let mut new_owner = Cell::new(2);
    new_owner.guarantee("faro", &[both_workers]);
    new_owner.step(vec![placement::Event::Recovered {
        gang,
        request: Arc::new(request),
    }]);
    let (fleet, queue) = (new_owner.board.fleet.load(), new_owner.board.queue.load());
    assert_eq!(fleet.free[0].accelerators, 0);
    assert_eq!(placement::packing_fault(&fleet, &queue), None);
    assert_eq!(fleet.claim_by_gang.len(), 1);
}
