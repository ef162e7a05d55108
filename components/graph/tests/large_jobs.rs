//! Jobs with tens of thousands of units beside ordinary ones: what one job submits must not keep the owner from the others.

mod common;

use std::time::{Duration, Instant};

use common::{TestCell, job, ms, policy, step, task, worker};
use indexmap::IndexMap;
use model::{AcceptedJob, JobId, Recurrence, ResourceVector, RunEnd, Step};

/// Time in which urgent work has to start: it bounds the time that all plans of the owner may take meanwhile.
const START_LIMIT: Duration = Duration::from_millis(1_100);
/// Number of plans that follow changes within that time.
const PLANS: u64 = 20;
/// Largest number of tasks over all occurrences that is accepted.
const MAX_TASKS: u32 = 65_536;

fn impossible(tasks: u32) -> Step {
    Step {
        resources: ResourceVector {
            accelerators: 9,
            ..ResourceVector::default()
        },
        ..step(tasks)
    }
}

fn after(previous: u32, step: Step) -> Step {
    Step {
        after: vec![previous],
        ..step
    }
}

/// A job whose occurrences were all due long ago.
fn overdue(steps: Vec<Step>, count: u32) -> AcceptedJob {
    let mut job = job(1, steps);
    job.graph.recurrence = Some(Recurrence {
        first: Duration::ZERO,
        interval: Duration::from_nanos(1),
        count,
    });
    job
}

/// Checks that an ordinary job starts with the first plan after its acceptance, and that plans stay quick.
#[track_caller]
fn assert_serves_others(large: AcceptedJob) {
    large.graph.check().expect("the job is accepted");
    let workers = (0..40).map(|index| worker(&format!("w{index}"), &format!("r{}", index / 4)));
    let mut cell = TestCell::new(1, workers.collect());
    cell.accept(1, large);
    cell.scheduler.plan(cell.now, ms(1_000));
    let began_at = Instant::now();
    for number in 0..PLANS {
        let id = 100 + JobId::from(number);
        cell.accept(id, job(1, vec![step(1)]));
        cell.plan_and_start();
        let started = cell.agent_of(task(id, 0, 0));
        assert!(started.is_some(), "job {number} has not started");
        cell.end_run(task(id, 0, 0), RunEnd::Done);
        cell.store_changes();
    }
    let took = began_at.elapsed();
    assert!(took < START_LIMIT, "{PLANS} plans took {took:?}");
}

/// Guards against an owner that stands still: each plan compared all units of a schedule for each of its blocked steps, and
/// no job was started any more.
#[test]
fn plan_with_blocked_occurrences_serves_others() {
    for count in [1_000, 10_000, 30_000, MAX_TASKS / 2] {
        let steps = vec![impossible(1), after(0, step(1))];
        assert_serves_others(overdue(steps, count));
    }
}

/// Guards against plans that look at each unit of a step that does not fit.
#[test]
fn plan_with_impossible_tasks_serves_others() {
    assert_serves_others(job(1, vec![impossible(MAX_TASKS)]));
    assert_serves_others(overdue(vec![impossible(1)], MAX_TASKS));
}

/// Guards against plans whose time grows with the square of the steps.
#[test]
fn plan_with_many_steps_serves_others() {
    let chain = |number: u32| match number.checked_sub(1) {
        Some(previous) => after(previous, step(1)),
        None => impossible(1),
    };
    assert_serves_others(job(1, (0..13_000).map(chain).collect()));
    let fan = |number: u32| match number {
        0 => impossible(1),
        _ => after(0, step(1)),
    };
    assert_serves_others(job(1, (0..13_000).map(fan).collect()));
    assert_serves_others(overdue((0..250).map(chain).collect(), 262));
}

/// Guards against an owner that asks the advisor for each of the occurrences at once, and looks for them at each plan.
#[test]
fn take_approval_requests_is_bounded_for_occurrences() {
    let mut cell = TestCell::new(1, vec![worker("w1", "r1")]);
    let mut large = overdue(vec![step(1)], MAX_TASKS);
    large.policy.needs_approval = true;
    let mut policy = policy(1);
    policy.needs_approval = true;
    let queues = IndexMap::from([("queue-1".into(), policy)]);
    cell.scheduler.configure(queues, IndexMap::new());
    cell.accept(1, large);
    let began_at = Instant::now();
    let mut requests = 0;
    for _ in 0..PLANS {
        cell.scheduler.plan(cell.now, ms(1_000));
        requests += cell.scheduler.take_approval_requests(cell.now).len();
    }
    assert!((1..=16).contains(&requests), "{requests} requests");
    assert!(began_at.elapsed() < START_LIMIT, "{:?}", began_at.elapsed());
}

/// Guards against ends whose cost grows with the units of their job.
#[test]
fn report_of_ends_of_large_job_is_quick() {
    let mut cell = TestCell::new(1, vec![worker("w1", "r1")]);
    cell.accept(1, job(1, vec![step(MAX_TASKS)]));
    cell.plan_and_start();
    let began_at = Instant::now();
    for index in 0..100 {
        let end = if index % 4 == 3 {
            RunEnd::Failed
        } else {
            RunEnd::Done
        };
        let running = cell.workers["w1"].report.runs[0].run.task;
        cell.end_run(running, end);
        cell.store_changes();
        cell.advance(ms(10));
        cell.plan_and_start();
    }
    assert!(began_at.elapsed() < START_LIMIT, "{:?}", began_at.elapsed());
}
