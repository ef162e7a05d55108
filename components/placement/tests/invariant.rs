//! Property tests with random events on random fleets.

mod common;

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use arbtest::arbitrary::{Result, Unstructured};
use arbtest::arbtest;
use common::{Cell, reclaimed, shape};
use errors::{Error, ErrorKind};
use model::{Adjacency, Resources, Shape};
use placement::{
    Action, Event, GangEnd, Strategy, guarantee_faults, guarantee_shortfall, packing_fault,
};

const ACCOUNTS: [&str; 3] = ["faro", "plot", "seed"];

/// Jobs that were submitted, and those of them that were answered or refused.
#[derive(Default)]
struct JobLog {
    submitted: HashSet<u128>,
    ended: HashSet<u128>,
}

fn any_shape(u: &mut Unstructured) -> Result<Shape> {
    let levels = [
        Adjacency::Worker,
        Adjacency::Rack,
        Adjacency::DataCentre,
        Adjacency::Any,
    ];
    let accelerators = u.int_in_range(0..=4)?;
    let mut shape = shape(u.int_in_range(1..=8)?, accelerators, *u.choose(&levels)?);
    shape.cores = u.int_in_range(1..=16)?;
    Ok(shape)
}

fn any_event(u: &mut Unstructured, cell: &mut Cell, log: &mut JobLog) -> Result<Event> {
    let fleet = cell.board.fleet.snapshot();
    let planned: Vec<u128> = fleet.planned.keys().copied().collect();
    let running: Vec<u128> = fleet.running.keys().copied().collect();
    Ok(match u.int_in_range(0..=9)? {
        0..=3 => {
            let mut request = cell.request(u.choose(&ACCOUNTS)?, any_shape(u)?);
            request.idempotent = u.arbitrary()?;
            request.stoppable = u.arbitrary()?;
            request.declared_run_time = u
                .arbitrary::<Option<u16>>()?
                .map(|s| Duration::from_secs(s.into()));
            log.submitted.insert(request.id);
            Event::Submitted(Arc::new(request))
        }
        4 if !log.submitted.is_empty() => {
            let mut jobs: Vec<u128> = log.submitted.iter().copied().collect();
            jobs.sort_unstable();
            Event::Cancelled(*u.choose(&jobs)?)
        }
        5 | 6 if !planned.is_empty() => Event::Reserved {
            gang: *u.choose(&planned)?,
            epoch: 1,
        },
        7 if !planned.is_empty() => Event::ReservationRefused {
            gang: *u.choose(&planned)?,
            agent: "a".into(),
            error: Error::not_run(ErrorKind::Overloaded, "busy"),
        },
        8 | 9 if !running.is_empty() => {
            let end = match u.int_in_range(0..=3)? {
                0 => GangEnd::Answered,
                1 => GangEnd::Failed(Error::ran(ErrorKind::Failed, "failed")),
                2 => GangEnd::MemberLost,
                _ => GangEnd::Stopped,
            };
            let gang = *u.choose(&running)?;
            let job = fleet.running[&gang].job;
            if end == GangEnd::Answered {
                log.ended.insert(job);
            }
            Event::Ended { gang, end }
        }
        _ => Event::Tick,
    })
}

/// Checks the invariants that hold after every step.
fn check(cell: &Cell, log: &mut JobLog, actions: &[Action]) {
    let (fleet, queue) = (cell.board.fleet.load(), cell.board.queue.load());
    let mut free: Vec<Resources> = fleet.workers.values().map(|w| w.capacity).collect();
    let planned = fleet.planned.values().map(|gang| (gang.job, &gang.members));
    let running = fleet.running.values().map(|gang| (gang.job, &gang.members));
    for (job, members) in planned.chain(running) {
        let request = queue.placed.get(&job).map(|job| &job.request);
        let request = request.or_else(|| queue.active.get(&job).map(|job| &job.request));
        let shape = request.expect("a gang has no job").shape.unwrap();
        let tasks: u32 = members.iter().map(|member| member.tasks).sum();
        assert_eq!(
            tasks, shape.tasks,
            "the gang of job {job} has a wrong number of tasks"
        );
        for member in members {
            if let Some(at) = fleet.workers.get_index_of(&member.worker) {
                let remaining = free[at].checked_sub(member.total());
                free[at] = remaining.expect("a worker is oversubscribed");
            }
        }
    }
    assert_eq!(free, fleet.free, "free capacity is miscounted");
    for action in actions {
        if let Action::Refuse { job, .. } = action {
            assert!(log.ended.insert(*job), "job {job} has a second outcome");
        }
    }
    for job in &log.submitted {
        let states = [
            queue.queued.contains_key(job),
            queue.placed.contains_key(job),
            queue.active.contains_key(job),
            log.ended.contains(job),
        ];
        let count = states.iter().filter(|state| **state).count();
        assert_eq!(count, 1, "job {job} is not in exactly one state");
    }
}

fn random_guarantees(u: &mut Unstructured, cell: &mut Cell) -> Result<()> {
    for account in ACCOUNTS {
        let mut shapes = Vec::new();
        for _ in 0..u.int_in_range(0..=2)? {
            shapes.push(any_shape(u)?);
        }
        let mut document = cell.board.config.load().document.clone();
        let entry = document.accounts.entry(account.into()).or_default();
        entry.guarantees.clone_from(&shapes);
        if guarantee_faults(&cell.board.fleet.load(), &document).is_empty() {
            cell.guarantee(account, &shapes);
        }
    }
    Ok(())
}

/// Applies random events and checks the invariants after each, with `lose_workers` also after changes of the workers.
fn run_random_events(u: &mut Unstructured, strategy: Strategy, lose_workers: bool) -> Result<()> {
    let workers = u.int_in_range(1..=14)?;
    let mut cell = Cell::new(workers);
    cell.strategy = strategy;
    random_guarantees(u, &mut cell)?;
    let mut log = JobLog::default();
    for _ in 0..u.int_in_range(1..=60)? {
        cell.now += Duration::from_secs(u.int_in_range(0..=600)?);
        if lose_workers && u.ratio(1, 10)? {
            let kept: Vec<usize> = (0..workers)
                .filter(|_| u.ratio(4, 5).unwrap_or(true))
                .collect();
            let actions = cell.set_workers(&kept);
            check(&cell, &mut log, &actions);
            random_guarantees(u, &mut cell)?;
        }
        let event = any_event(u, &mut cell, &mut log)?;
        let actions = cell.step(vec![event]);
        check(&cell, &mut log, &actions);
        if strategy == Strategy::Guarded {
            let (fleet, queue) = (cell.board.fleet.load(), cell.board.queue.load());
            let document = &cell.board.config.load().document;
            assert_eq!(packing_fault(&fleet, &queue), None);
            // The remaining workers may be too few for the guarantees.
            if lose_workers {
                continue;
            }
            assert_eq!(guarantee_shortfall(&fleet, &queue, document), vec![]);
        }
    }
    Ok(())
}

/// Fills a fleet with borrowers, then submits a job for every guarantee at once and expects that all of them run.
fn run_all_guarantees(u: &mut Unstructured) -> Result<()> {
    let mut cell = Cell::new(u.int_in_range(2..=14)?);
    random_guarantees(u, &mut cell)?;
    for _ in 0..u.int_in_range(0..=40)? {
        let mut request = cell.request("borrower", any_shape(u)?);
        request.idempotent = u.ratio(2, 3)?;
        cell.now += Duration::from_secs(u.int_in_range(0..=600)?);
        let actions = cell.submit(request);
        cell.confirm(&actions);
    }
    let document = cell.board.config.load().document.clone();
    let mut events = Vec::new();
    let mut submitted = Vec::new();
    for (account, shapes) in &document.accounts {
        for shape in &shapes.guarantees {
            let request = cell.request(account, *shape);
            submitted.push(request.id);
            events.push(Event::Submitted(Arc::new(request)));
        }
    }
    let mut actions = cell.step(events);
    for _ in 0..4 {
        let mut events: Vec<Event> = Vec::new();
        for gang in reclaimed(&actions) {
            let end = GangEnd::Stopped;
            events.push(Event::Ended { gang, end });
        }
        for gang in common::reserved(&actions) {
            events.push(Event::Reserved { gang, epoch: 1 });
        }
        actions = cell.step(events);
    }
    let queue = cell.board.queue.load();
    for job in submitted {
        assert!(queue.active.contains_key(&job), "job {job} does not run");
    }
    Ok(())
}

// Guards against guarantees that are blocked by jobs of other client accounts.
#[test]
fn step_reclaims_every_guarantee_at_once() {
    arbtest(run_all_guarantees).budget_ms(4_000);
}

// Guards against decisions after which a guarantee cannot be reclaimed, a worker is oversubscribed, a gang is partial
// or a job is lost.
#[test]
fn step_keeps_guarantees_on_random_events() {
    arbtest(|u| run_random_events(u, Strategy::Guarded, false)).budget_ms(4_000);
}

// Guards against faults that longer random searches found. A change of the functions that draw events or guarantees
// changes what a seed generates, so that it no longer leads to its fault.
#[test]
fn step_keeps_guarantees_on_known_seeds() {
    // A job was placed on the capacity of its backfill reservation although it already had a hold elsewhere.
    arbtest(|u| run_random_events(u, Strategy::Guarded, false)).seed(0x3084_7b05_0001_0000);
    // An allocation still included resources of a gang on a worker that had left and returned.
    arbtest(|u| run_random_events(u, Strategy::Guarded, true)).seed(0xdd53_e675_0001_0000);
    // A job was placed on the capacity of its backfill reservation without a charge to its claim.
    arbtest(|u| run_random_events(u, Strategy::Guarded, false)).seed(0x6bfd_96e2_0001_0000);
    // Existing allocations kept the guarantees of an accepted configuration from being packed.
    arbtest(|u| run_random_events(u, Strategy::Guarded, false)).seed(0xaf45_0351_0000_0020);
}

// Guards against miscounted capacity when workers leave and return while gangs run on them.
#[test]
fn step_counts_capacity_when_workers_leave_and_return() {
    arbtest(|u| run_random_events(u, Strategy::Guarded, true)).budget_ms(4_000);
}

// Guards against lost jobs and oversubscription in the baseline strategies of replay.
#[test]
fn step_keeps_counts_in_baselines() {
    arbtest(|u| {
        let strategy = *u.choose(&[Strategy::FirstFit, Strategy::Backfill])?;
        run_random_events(u, strategy, true)
    })
    .budget_ms(4_000);
}
