//! The ordering of work for which there is too little room.

mod common;

use std::time::Duration;

use common::{TestCell, gang, job, ms, step, task, worker};
use graph::ShortageDecision;
use indexmap::IndexMap;
use model::{AcceptedJob, JobId, RunEnd, Step, TaskRun};

/// A cell whose account "puerto" is guaranteed all accelerators of a worker.
fn cell(names: &[&str]) -> TestCell {
    let mut cell = TestCell::new(1, names.iter().map(|name| worker(name, "r1")).collect());
    let guarantees = IndexMap::from([("puerto".into(), 4)]);
    cell.scheduler.configure(IndexMap::new(), guarantees);
    cell
}

fn guaranteed(mut job: AcceptedJob) -> AcceptedJob {
    job.account = "puerto".into();
    job
}

/// Returns a step whose tasks take a time.
fn lasting(seconds: u64, step: Step) -> Step {
    Step {
        expected: ms(seconds * 1_000),
        ..step
    }
}

/// Returns the jobs whose runs the workers are told to stop, each once.
fn stopped_jobs(cell: &mut TestCell) -> Vec<JobId> {
    cell.scheduler.plan(cell.now, ms(1_000));
    let agents = cell.agents().into_iter();
    let stops = agents.flat_map(|agent| cell.instructions(&agent).stops);
    let mut jobs: Vec<JobId> = stops.map(|stop| stop.task.job).collect();
    jobs.dedup();
    jobs
}

fn run_for(cell: &mut TestCell, time: Duration) {
    let end = cell.now + time;
    while cell.now < end {
        cell.advance(ms(100));
        cell.report_all();
        cell.plan_and_start();
    }
}

/// Accepts a short gang that ends late at best, and then a long one of the same priority and a later deadline that ends in time.
fn accept_late_and_timely(cell: &mut TestCell) {
    let mut late = job(1, vec![lasting(1, gang(4))]);
    late.policy.stretch = 0.0;
    late.policy.target = ms(900);
    cell.accept(7, late);
    cell.accept(8, job(1, vec![lasting(9, gang(4))]));
}

/// Guards against late jobs that come first because their deadlines are the earliest, and make one job after the other late.
#[test]
fn plan_places_timely_job_before_late_one() {
    let mut cell = cell(&["w1"]);
    accept_late_and_timely(&mut cell);
    cell.plan_and_start();
    assert_eq!(cell.run_number(task(7, 0, 0)), None);
    assert!(cell.run_number(task(8, 0, 0)).is_some());
    let decisions = cell.scheduler.take_shortage_decisions();
    assert_eq!(
        decisions,
        IndexMap::from([(ShortageDecision::LateDeferred, 1)])
    );
}

/// Guards against another order of placement, and against deferred jobs, where there is room for all.
#[test]
fn plan_keeps_order_by_deadline_with_room() {
    let mut cell = cell(&["w1", "w2"]);
    accept_late_and_timely(&mut cell);
    cell.plan_and_start();
    let late = cell.run_number(task(7, 0, 0)).expect("there is room");
    let timely = cell.run_number(task(8, 0, 0)).expect("there is room");
    assert!(late < timely, "the earlier deadline comes first");
    assert!(cell.scheduler.take_shortage_decisions().is_empty());
}

/// Guards against stopping work for an urgent unit whose end is worthless already.
#[test]
fn plan_stops_nothing_for_worthless_unit() {
    let mut cell = cell(&["w1"]);
    cell.accept(7, job(2, vec![lasting(10, step(4))]));
    run_for(&mut cell, ms(1_000));
    let mut urgent = job(0, vec![gang(2)]);
    urgent.policy.stretch = 0.0;
    urgent.policy.target = ms(500);
    cell.accept(8, urgent);
    assert!(stopped_jobs(&mut cell).is_empty());
}

/// Guards against stopping a gang with much work to lose for a single slot.
#[test]
fn plan_stops_no_gang_for_single_slot() {
    let names = ["w1", "w2", "w3", "w4"];
    let mut cell = cell(&names);
    let mut large = job(1, vec![lasting(10, gang(16))]);
    large.policy.stretch = 1.2;
    cell.accept(7, large);
    run_for(&mut cell, ms(3_000));
    let mut urgent = job(0, vec![step(1)]);
    urgent.policy.stretch = 1.5;
    urgent.policy.target = ms(400);
    cell.accept(8, urgent);
    assert!(stopped_jobs(&mut cell).is_empty());
    let decisions = cell.scheduler.take_shortage_decisions();
    assert_eq!(
        decisions.get(&ShortageDecision::NotWorthPreempting),
        Some(&1)
    );
}

/// Guards against losing the work of a run that ends as soon as a stop would take effect, and against a guaranteed unit that
/// waits for an end that does not come: it still starts within 2.7 s of its acceptance.
#[test]
fn plan_awaits_ending_run_only_briefly() {
    let mut cell = cell(&["w1"]);
    cell.accept(7, job(2, vec![gang(4)]));
    run_for(&mut cell, ms(1_600));
    cell.accept(8, guaranteed(job(0, vec![gang(4)])));
    assert!(stopped_jobs(&mut cell).is_empty());
    let decisions = cell.scheduler.take_shortage_decisions();
    assert_eq!(decisions.get(&ShortageDecision::EndingNotStopped), Some(&1));
    let mut waited = ms(0);
    while stopped_jobs(&mut cell).is_empty() {
        cell.advance(ms(100));
        cell.report_all();
        waited += ms(100);
    }
    // The stop takes up to 0.9 s.
    assert!(waited <= ms(1_500), "{waited:?}");
}

/// Guards against a unit that is stopped again and again, because the run that was placed last has the least work to lose.
#[test]
fn plan_stops_unit_that_was_not_stopped_before() {
    let mut cell = cell(&["w1", "w2"]);
    for id in [5, 6] {
        let mut running = job(2, vec![lasting(20, gang(4))]);
        // Without slack, so that it starts again at once.
        running.policy.stretch = 1.0;
        running.policy.target = ms(0);
        cell.accept(id, running);
    }
    run_for(&mut cell, ms(200));
    cell.accept(8, guaranteed(job(0, vec![gang(4)])));
    let first = stopped_jobs(&mut cell)[0];
    for index in 0..4 {
        cell.end_run(task(first, 0, index), RunEnd::Stopped);
    }
    cell.plan_and_start();
    for index in 0..4 {
        cell.end_run(task(8, 0, index), RunEnd::Done);
    }
    run_for(&mut cell, ms(2_000));
    assert!(cell.run_number(task(first, 0, 0)).is_some());
    cell.accept(9, guaranteed(job(0, vec![gang(4)])));
    let second = stopped_jobs(&mut cell);
    assert_eq!(second, vec![11 - first]);
}

/// Keeps a cell full with single tasks of one account that end in time, and returns after which time a job of another account
/// starts.
fn wait_beside_stream(waiting: AcceptedJob) -> Option<Duration> {
    let mut cell = cell(&["w1", "w2"]);
    let mut ends: IndexMap<TaskRun, Duration> = IndexMap::new();
    cell.advance(ms(1_000));
    for id in 100..116 {
        cell.accept(id, job(1, vec![step(1)]));
    }
    cell.plan_and_start();
    let mut waiting = waiting;
    waiting.account = "small".into();
    cell.accept(7, waiting);
    let begun = cell.now;
    while cell.now < begun + ms(100_000) {
        cell.advance(ms(100));
        let runs = cell.workers.values().flat_map(|worker| &worker.report.runs);
        let runs: Vec<TaskRun> = runs.map(|report| report.run).collect();
        for run in runs {
            // Ends are spread, so that the workers are never empty together.
            let time = ms(1_500 + 100 * u64::try_from(run.task.job % 11).unwrap_or_default());
            if cell.now >= *ends.entry(run).or_insert(cell.now + time) {
                cell.end_run(run.task, RunEnd::Done);
                cell.accept(next_stream_id(run), job(1, vec![step(1)]));
            }
        }
        cell.report_all();
        cell.plan_and_start();
        if cell.run_number(task(7, 0, 0)).is_some() {
            return Some(cell.now.saturating_sub(begun));
        }
    }
    None
}

/// Returns an id for the job of the stream that replaces the one of a run.
fn next_stream_id(run: TaskRun) -> JobId {
    run.task.job + 1_000
}

/// The bound on the wait of an overdue job with an objective of 7 s: three times the objective, 10 s until it is overdue and one
/// turn of 30 s.
const WAIT_BOUND: Duration = Duration::from_secs(61);

/// Guards against a job of a size that never fits beside a stream of small ones.
#[test]
fn plan_bounds_wait_of_whole_fleet_gang() {
    let waited = wait_beside_stream(job(1, vec![gang(8)]));
    assert!(
        waited.is_some_and(|waited| waited < WAIT_BOUND),
        "{waited:?}"
    );
}

/// Guards against an account whose late job comes after each job in time of another account for as long as these arrive.
#[test]
fn plan_bounds_wait_of_late_job_of_small_account() {
    let mut late = job(2, vec![step(1)]);
    late.policy.target = ms(1_000);
    let waited = wait_beside_stream(late);
    assert!(
        waited.is_some_and(|waited| waited < WAIT_BOUND),
        "{waited:?}"
    );
}
