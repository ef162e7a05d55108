//! Placement of units, preemption, and detection of hanging runs.

mod common;

use std::time::Duration;

use common::{
    TASK_RESOURCES, TestCell, WORKER_CAPACITY, gang, job, ms, owner_run_number, refused, running,
    step, task, worker,
};
use indexmap::IndexMap;
use model::{AcceptedJob, JobId, Refusal, ResourceVector, RunEnd, Step, TaskRun};

/// Returns a job that ends in time after a stop, but not if it waits for runs that take two seconds.
fn tight(mut job: AcceptedJob) -> AcceptedJob {
    job.policy.stretch = 1.0;
    job.policy.target = ms(2_500);
    job
}

/// Guards against starting a step before the steps that it depends on are done.
#[test]
fn plan_respects_dependencies() {
    let mut cell = TestCell::new(1, vec![worker("w1", "r1")]);
    let mut second = step(1);
    second.after = vec![0];
    cell.accept(7, job(1, vec![step(2), second]));
    cell.plan_and_start();
    cell.end_run(task(7, 0, 0), RunEnd::Done);
    cell.plan_and_start();
    assert_eq!(cell.run_number(task(7, 1, 0)), None);
    cell.end_run(task(7, 0, 1), RunEnd::Done);
    cell.plan_and_start();
    assert!(cell.run_number(task(7, 1, 0)).is_some());
}

/// Guards against placing more tasks on a worker than fit into its capacity.
#[test]
fn plan_respects_worker_capacity() {
    let mut cell = TestCell::new(1, vec![worker("w1", "r1"), worker("w2", "r1")]);
    cell.accept(7, job(1, vec![step(20)]));
    cell.plan_and_start();
    for worker in cell.workers.values() {
        assert_eq!(worker.report.runs.len(), 4);
    }
}

/// Guards against using the resources of an orphan run before it has ended.
#[test]
fn plan_counts_orphan_runs() {
    let mut occupied = worker("w1", "r1");
    let unknown = TaskRun::new(task(99, 0, 0), owner_run_number(1, 0));
    occupied.report.runs.push(running(unknown, 10));
    let mut cell = TestCell::without_reports(2, vec![occupied], &[]);
    cell.report("w1");
    cell.accept(7, job(1, vec![step(1)]));
    cell.plan_and_start();
    assert_eq!(cell.run_number(task(7, 0, 0)), None);
    cell.workers["w1"].report.runs.clear();
    cell.report("w1");
    cell.plan_and_start();
    assert!(cell.run_number(task(7, 0, 0)).is_some());
}

/// Guards against starting a gang with only some of its tasks.
#[test]
fn plan_starts_no_partial_gang() {
    let mut cell = TestCell::new(1, vec![worker("w1", "r1")]);
    cell.accept(7, job(1, vec![gang(5)]));
    cell.plan_and_start();
    assert!(cell.workers["w1"].report.runs.is_empty());
}

/// Guards against spreading a rack-sensitive gang across racks although one rack has enough free resources.
#[test]
fn plan_keeps_rack_sensitive_gang_on_one_rack() {
    let workers = vec![worker("w1", "r1"), worker("w2", "r2"), worker("w3", "r2")];
    let mut cell = TestCell::new(1, workers);
    let mut wide = gang(8);
    wide.rack_sensitive = true;
    cell.accept(7, job(1, vec![wide]));
    cell.plan_and_start();
    assert!(cell.workers["w1"].report.runs.is_empty());
    assert_eq!(cell.workers["w2"].report.runs.len(), 4);
}

/// Guards against a rack-sensitive gang that waits forever because it is too large for any rack.
#[test]
fn plan_spreads_gang_larger_than_any_rack() {
    let mut cell = TestCell::new(1, vec![worker("w1", "r1"), worker("w2", "r2")]);
    let mut wide = gang(8);
    wide.rack_sensitive = true;
    cell.accept(7, job(1, vec![wide]));
    cell.plan_and_start();
    assert_eq!(cell.workers["w1"].report.runs.len(), 4);
    assert_eq!(cell.workers["w2"].report.runs.len(), 4);
}

/// Guards against running a task far from its data although the rack with the data has free resources.
#[test]
fn plan_prefers_data_rack() {
    let mut cell = TestCell::new(1, vec![worker("w1", "r1"), worker("w2", "r2")]);
    let mut local = step(1);
    local.data_rack = Some("r2".into());
    cell.accept(7, job(1, vec![local]));
    cell.plan_and_start();
    assert_eq!(cell.agent_of(task(7, 0, 0)).as_deref(), Some("w2"));
}

/// Guards against a start on a worker without the required label, or of another service.
#[test]
fn plan_respects_label_and_service() {
    let mut other = worker("w2", "r1");
    other.report.service = "other".into();
    other.report.labels.push("special".into());
    let mut cell = TestCell::new(1, vec![worker("w1", "r1"), other]);
    let mut special = step(1);
    special.required_label = Some("special".into());
    cell.accept(7, job(1, vec![special]));
    cell.accept(8, job(1, vec![step(5)]));
    cell.plan_and_start();
    assert_eq!(cell.run_number(task(7, 0, 0)), None);
    assert!(cell.workers["w2"].report.runs.is_empty());
}

/// Guards against placing more tasks of a step on one worker than its spread limit.
#[test]
fn plan_respects_spread_limit() {
    let mut cell = TestCell::new(1, vec![worker("w1", "r1"), worker("w2", "r1")]);
    let mut limited = step(6);
    limited.max_tasks_per_worker = Some(2);
    cell.accept(7, job(1, vec![limited]));
    cell.plan_and_start();
    cell.plan_and_start();
    for worker in cell.workers.values() {
        assert_eq!(worker.report.runs.len(), 2);
    }
}

/// Guards against a guaranteed job that waits until jobs of lower priorities end.
#[test]
fn plan_preempts_for_guarantee() {
    let mut cell = TestCell::new(1, vec![worker("w1", "r1")]);
    let guarantees = IndexMap::from([("faro".into(), 2)]);
    cell.scheduler.configure(IndexMap::new(), guarantees);
    cell.accept(7, job(2, vec![step(4)]));
    cell.plan_and_start();
    cell.accept(8, job(0, vec![gang(2)]));
    cell.scheduler.plan(cell.now, ms(1_000));
    let stops = cell.instructions("w1").stops;
    assert_eq!(stops.len(), 2);
    for stop in &stops {
        cell.end_run(stop.task, RunEnd::Stopped);
    }
    cell.plan_and_start();
    assert!(cell.run_number(task(8, 0, 0)).is_some());
}

/// Guards against placing another job on resources that were freed for a reservation.
#[test]
fn plan_keeps_freed_resources_for_reservation() {
    let mut cell = TestCell::new(1, vec![worker("w1", "r1")]);
    cell.accept(7, job(2, vec![step(4)]));
    cell.plan_and_start();
    cell.accept(8, job(0, vec![gang(2)]));
    cell.scheduler.plan(cell.now, ms(1_000));
    let stops = cell.instructions("w1").stops;
    cell.end_run(stops[0].task, RunEnd::Stopped);
    cell.accept(9, job(1, vec![step(1)]));
    cell.plan_and_start();
    assert_eq!(cell.run_number(task(9, 0, 0)), None);
    cell.end_run(stops[1].task, RunEnd::Stopped);
    cell.plan_and_start();
    assert!(cell.run_number(task(8, 0, 1)).is_some());
}

/// Guards against two jobs that rely on the resources of the same stopping runs. One of them would have to preempt
/// again after the other has taken these resources.
#[test]
fn plan_preempts_separately_for_each_reservation() {
    let mut cell = TestCell::new(1, vec![worker("w1", "r1"), worker("w2", "r1")]);
    cell.accept(7, job(2, vec![gang(4)]));
    cell.accept(8, job(2, vec![gang(4)]));
    cell.plan_and_start();
    let accept_urgent = |cell: &mut TestCell, id| {
        let mut urgent = tight(job(0, vec![gang(4)]));
        urgent.graph.steps[0].expected = ms(60_000);
        cell.accept(id, urgent);
        cell.scheduler.plan(cell.now, ms(1_000));
    };
    accept_urgent(&mut cell, 9);
    accept_urgent(&mut cell, 10);
    let stops = |cell: &mut TestCell, name| cell.instructions(name).stops.len();
    assert_eq!((stops(&mut cell, "w1"), stops(&mut cell, "w2")), (4, 4));
}

/// Guards against placing a unit with an earlier deadline on resources that were freed for a reservation.
#[test]
fn plan_reservation_precedes_earlier_deadline() {
    let mut cell = TestCell::new(1, vec![worker("w1", "r1")]);
    cell.accept(7, job(2, vec![gang(4)]));
    cell.plan_and_start();
    let mut urgent = tight(job(0, vec![gang(4)]));
    urgent.graph.steps[0].expected = ms(60_000);
    cell.accept(8, urgent);
    cell.scheduler.plan(cell.now, ms(1_000));
    let stops = cell.instructions("w1").stops;
    assert_eq!(stops.len(), 4);
    cell.accept(9, job(0, vec![step(1)]));
    for stop in &stops {
        cell.end_run(stop.task, RunEnd::Stopped);
    }
    cell.plan_and_start();
    assert!(cell.run_number(task(8, 0, 0)).is_some());
    assert_eq!(cell.run_number(task(9, 0, 0)), None);
}

/// Guards against preempting an urgent run that has just started, because it would lose the least work.
#[test]
fn plan_preempts_lower_priority_before_urgent() {
    let mut cell = TestCell::new(1, vec![worker("w1", "r1"), worker("w2", "r1")]);
    cell.accept(7, job(2, vec![gang(4)]));
    cell.plan_and_start();
    cell.advance(ms(1_000));
    cell.report("w1");
    cell.report("w2");
    cell.accept(8, job(0, vec![gang(4)]));
    cell.plan_and_start();
    let guarantees = IndexMap::from([("puerto".into(), 4)]);
    cell.scheduler.configure(IndexMap::new(), guarantees);
    let mut urgent = job(0, vec![gang(4)]);
    urgent.account = "puerto".into();
    cell.accept(9, urgent);
    cell.scheduler.plan(cell.now, ms(1_000));
    let stops: Vec<JobId> = ["w1", "w2"]
        .into_iter()
        .flat_map(|name| cell.instructions(name).stops)
        .map(|stop| stop.task.job)
        .collect();
    assert_eq!(stops, vec![7; 4]);
}

/// Returns the jobs whose runs the workers are told to stop, in the order of the workers.
fn stopped_jobs(cell: &mut TestCell) -> Vec<JobId> {
    let agents = cell.agents().into_iter();
    agents
        .flat_map(|agent| cell.instructions(&agent).stops)
        .map(|stop| stop.task.job)
        .collect()
}

/// Guards against stopping all runs on a worker for a gang that needs only part of it.
#[test]
fn plan_preempts_only_needed_runs() {
    let mut cell = TestCell::new(1, vec![worker("w1", "r1"), worker("w2", "r1")]);
    cell.accept(7, job(2, vec![step(8)]));
    cell.plan_and_start();
    cell.accept(8, job(0, vec![gang(5)]));
    cell.scheduler.plan(cell.now, ms(1_000));
    assert_eq!(stopped_jobs(&mut cell), vec![7; 5]);
}

/// Guards against counting the loss of a gang once for each of its workers, which makes single tasks with more work to
/// lose look cheaper.
#[test]
fn plan_counts_cost_of_preempted_gang_once() {
    let names = ["w1", "w2", "w3", "w4"];
    let mut cell = TestCell::new(1, names.map(|name| worker(name, "r1")).into());
    // Runs that are about to end would not be stopped.
    let lasts_10_s = |step| Step {
        expected: ms(10_000),
        ..step
    };
    cell.accept(7, job(2, vec![lasts_10_s(step(8))]));
    cell.plan_and_start();
    cell.advance(ms(300));
    cell.accept(8, job(2, vec![lasts_10_s(gang(8))]));
    cell.plan_and_start();
    cell.advance(ms(1_200));
    for name in names {
        cell.report(name);
    }
    let mut urgent = tight(job(0, vec![gang(8)]));
    urgent.graph.steps[0].expected = ms(60_000);
    cell.accept(9, urgent);
    cell.scheduler.plan(cell.now, ms(1_000));
    assert_eq!(stopped_jobs(&mut cell), vec![8; 8]);
}

/// Returns a cell with one free worker and two whose gangs of the lowest priority may be preempted. An urgent gang that needs
/// two workers waits for the stop of one gang.
fn cell_with_reservation() -> TestCell {
    let names = ["w1", "w2", "w3"];
    let mut cell = TestCell::new(1, names.map(|name| worker(name, "r1")).into());
    let guarantees = IndexMap::from([("puerto".into(), 4)]);
    cell.scheduler.configure(IndexMap::new(), guarantees);
    for id in [5, 6, 7] {
        cell.accept(id, job(2, vec![gang(4)]));
        cell.plan_and_start();
    }
    let ended = cell.workers["w1"].report.runs[0].run.task.job;
    cell.end_run(task(ended, 0, 0), RunEnd::Done);
    for index in 1..4 {
        cell.end_run(task(ended, 0, index), RunEnd::Broken);
    }
    let mut urgent = tight(job(0, vec![gang(8)]));
    urgent.graph.steps[0].expected = ms(60_000);
    cell.accept(8, urgent);
    cell.scheduler.plan(cell.now, ms(1_000));
    assert_eq!(stopped_jobs(&mut cell).len(), 4, "one worker is free");
    cell
}

/// Guards against an urgent gang that waits until its reservation expires although the resources of a reserved worker were
/// taken: it preempts elsewhere with the next plan.
#[test]
fn plan_replaces_taken_reservation() {
    let mut cell = cell_with_reservation();
    let unknown = TaskRun::new(task(99, 0, 0), owner_run_number(1, 900));
    cell.workers["w1"].report.runs.push(running(unknown, 10));
    cell.report("w1");
    cell.scheduler.plan(cell.now, ms(1_000));
    let stopped = stopped_jobs(&mut cell);
    let preempted = stopped.iter().filter(|job| **job != 99);
    assert_eq!(preempted.count(), 4, "another worker is freed");
}

/// Guards against a guaranteed job that takes a reserved worker although it could preempt other work: the unit that waits
/// for the worker would have to preempt in its place, and start later.
#[test]
fn plan_guaranteed_job_leaves_reservations_if_it_can_preempt() {
    let mut cell = cell_with_reservation();
    let mut preferred = job(0, vec![gang(4)]);
    preferred.account = "puerto".into();
    cell.accept(9, preferred);
    cell.scheduler.plan(cell.now, ms(1_000));
    assert!(cell.instructions("w1").starts.is_empty());
    assert_eq!(stopped_jobs(&mut cell).len(), 4);
}

/// Guards against a guaranteed job that waits for runs which do not stop, although a reserved worker is free.
#[test]
fn plan_guaranteed_job_takes_reservation_after_stop_time() {
    let mut cell = cell_with_reservation();
    let mut preferred = job(0, vec![gang(4)]);
    preferred.account = "puerto".into();
    cell.accept(9, preferred);
    cell.scheduler.plan(cell.now, ms(1_000));
    cell.advance(ms(1_300));
    for agent in cell.agents() {
        cell.report(&agent);
    }
    cell.scheduler.plan(cell.now, ms(1_000));
    assert_eq!(cell.instructions("w1").starts.len(), 4);
}

/// Guards against a job that fails because its last attempt goes to the worker that failed the one before, by way of a
/// reservation of its free resources.
#[test]
fn plan_last_attempt_avoids_failed_worker() {
    let mut cell = TestCell::new(1, vec![worker("w1", "r1"), worker("w2", "r1")]);
    let urgent = || {
        let mut urgent = job(0, vec![gang(4)]);
        urgent.policy.max_attempts = 2;
        urgent
    };
    cell.accept(7, urgent());
    cell.accept(8, urgent());
    cell.plan_and_start();
    let failed_on = cell.agent_of(task(8, 0, 0)).expect("the task runs");
    cell.end_run(task(8, 0, 0), RunEnd::Failed);
    for index in 1..4 {
        cell.end_run(task(8, 0, index), RunEnd::Broken);
    }
    for _ in 0..4 {
        cell.advance(ms(100));
        cell.plan_and_start();
        assert_eq!(cell.run_number(task(8, 0, 0)), None);
    }
    cell.end_run(task(7, 0, 0), RunEnd::Done);
    for index in 1..4 {
        cell.end_run(task(7, 0, index), RunEnd::Broken);
    }
    cell.plan_and_start();
    assert_ne!(cell.agent_of(task(8, 0, 0)).expect("it runs"), failed_on);
}

/// Returns a cell with one of two workers in use and recent urgent jobs, all of which have ended.
fn busy_cell_with_demand() -> TestCell {
    let mut cell = TestCell::new(1, vec![worker("w1", "r1"), worker("w2", "r2")]);
    cell.accept(7, job(2, vec![gang(4)]));
    cell.plan_and_start();
    for id in 20..26 {
        cell.accept(id, job(0, vec![gang(4)]));
        cell.plan_and_start();
        cell.end_run(task(id, 0, 0), RunEnd::Done);
        for index in 1..4 {
            cell.end_run(task(id, 0, index), RunEnd::Broken);
        }
    }
    cell
}

/// Guards against urgent jobs that wait for preemption because lower priorities used the last free resources.
#[test]
fn plan_leaves_headroom_to_urgent_jobs() {
    let mut cell = busy_cell_with_demand();
    cell.accept(8, job(2, vec![step(4)]));
    cell.plan_and_start();
    assert_eq!(cell.run_number(task(8, 0, 0)), None);
    cell.accept(9, job(0, vec![gang(4)]));
    cell.plan_and_start();
    assert!(cell.run_number(task(9, 0, 0)).is_some());
}

/// Guards against headroom that keeps jobs waiting indefinitely while workers are free. The job may use the headroom
/// after half of its slack, 2.5 s: its objective is 3 times the expected 2 s plus 1 s.
#[test]
fn plan_gives_headroom_to_delayed_job() {
    let mut cell = busy_cell_with_demand();
    cell.accept(8, job(2, vec![step(4)]));
    cell.plan_and_start();
    cell.advance(ms(3_000));
    cell.plan_and_start();
    assert!(cell.run_number(task(8, 0, 0)).is_some());
}

/// Guards against a long-running task that is not running while the resources for it are kept free as headroom.
#[test]
fn plan_gives_headroom_to_long_running_task() {
    let mut cell = busy_cell_with_demand();
    let long_running = Step {
        long_running: true,
        ..step(1)
    };
    cell.accept(8, job(2, vec![long_running]));
    cell.plan_and_start();
    assert!(cell.run_number(task(8, 0, 0)).is_some());
}

/// Guards against keeping headroom while less than half of the resources are in use.
#[test]
fn plan_keeps_no_headroom_below_minimum_utilisation() {
    let mut cell = busy_cell_with_demand();
    cell.end_run(task(7, 0, 0), RunEnd::Done);
    cell.accept(8, job(2, vec![step(8)]));
    cell.plan_and_start();
    assert!(cell.run_number(task(8, 0, 0)).is_some());
}

/// Guards against resources that stay reserved for a cancelled job.
#[test]
fn plan_drops_reservation_of_cancelled_job() {
    let mut cell = TestCell::new(1, vec![worker("w1", "r1")]);
    cell.accept(7, job(2, vec![gang(4)]));
    cell.plan_and_start();
    cell.accept(8, tight(job(0, vec![gang(4)])));
    cell.scheduler.plan(cell.now, ms(1_000));
    let stops = cell.instructions("w1").stops;
    assert_eq!(stops.len(), 4);
    for stop in stops {
        cell.end_run(stop.task, RunEnd::Stopped);
    }
    cell.scheduler.cancel(8);
    cell.accept(9, job(1, vec![step(1)]));
    cell.plan_and_start();
    assert!(cell.run_number(task(9, 0, 0)).is_some());
}

/// Guards against starting tasks on a draining worker.
#[test]
fn plan_skips_draining_worker() {
    let mut cell = TestCell::new(1, vec![worker("w1", "r1")]);
    cell.workers["w1"].report.draining = Some(ms(2_500));
    cell.report("w1");
    cell.accept(7, job(1, vec![step(1)]));
    cell.plan_and_start();
    assert_eq!(cell.run_number(task(7, 0, 0)), None);
}

/// Guards against losing work on a draining worker because its runs are not stopped in time for a checkpoint.
#[test]
fn plan_stops_runs_before_drain_deadline() {
    let mut cell = TestCell::new(1, vec![worker("w1", "r1"), worker("w2", "r1")]);
    cell.accept(7, job(1, vec![step(1)]));
    cell.plan_and_start();
    let agent = cell.agent_of(task(7, 0, 0)).expect("the task runs");
    cell.workers[&agent].report.draining = Some(ms(1_000));
    cell.report(&agent);
    cell.scheduler.plan(cell.now, ms(1_000));
    assert_eq!(cell.instructions(&agent).stops.len(), 1);
}

/// Returns a cell with a run of 2 s on a worker that drains after a time, and the agent of the worker. Half of the run is
/// done.
fn cell_with_draining_run(remaining_ms: u64) -> (TestCell, String) {
    let mut cell = TestCell::new(1, vec![worker("w1", "r1"), worker("w2", "r1")]);
    cell.accept(7, job(1, vec![step(1)]));
    cell.plan_and_start();
    let agent = cell.agent_of(task(7, 0, 0)).expect("the task runs");
    cell.advance(ms(1_000));
    let run = cell.workers[&agent].report.runs[0].run;
    cell.workers[&agent].report.runs = vec![running(run, 50)];
    cell.workers[&agent].report.draining = Some(ms(remaining_ms));
    cell.report(&agent);
    (cell, agent.into())
}

/// Guards against losing the work of a run that would have ended before its worker leaves.
#[test]
fn plan_keeps_run_that_ends_before_drain_deadline() {
    let (mut cell, agent) = cell_with_draining_run(1_300);
    cell.scheduler.plan(cell.now, ms(1_000));
    assert!(cell.instructions(&agent).stops.is_empty());
}

/// Guards against a run that goes on until its worker leaves although it can neither end nor save its work by then.
#[test]
fn plan_stops_hopeless_run_at_drain_notice() {
    let mut cell = TestCell::new(1, vec![worker("w1", "r1"), worker("w2", "r1")]);
    let mut long = step(1);
    long.expected = ms(20_000);
    cell.accept(7, job(1, vec![long.clone()]));
    let saved = Step {
        supports_checkpoints: true,
        ..long
    };
    cell.accept(8, job(1, vec![saved]));
    cell.plan_and_start();
    for agent in ["w1", "w2"] {
        cell.workers[agent].report.draining = Some(ms(5_000));
        cell.report(agent);
    }
    cell.scheduler.plan(cell.now, ms(1_000));
    assert_eq!(
        stopped_jobs(&mut cell),
        vec![7],
        "the other one saves its work later"
    );
}

/// Guards against a run without progress that occupies its worker indefinitely.
#[test]
fn plan_stops_hanging_run() {
    let mut cell = TestCell::new(1, vec![worker("w1", "r1"), worker("w2", "r1")]);
    cell.accept(7, job(1, vec![step(1)]));
    cell.plan_and_start();
    let agent = cell.agent_of(task(7, 0, 0)).expect("the task runs");
    cell.advance(ms(4_500));
    cell.report(&agent);
    cell.scheduler.plan(cell.now, ms(1_000));
    assert_eq!(cell.instructions(&agent).stops.len(), 1);
}

/// Guards against a quarantine of half a minute, instead of 4 s, because several runs of a worker hang at the same
/// time.
#[test]
fn plan_quarantines_once_for_runs_that_hang_together() {
    let mut cell = TestCell::new(1, vec![worker("w1", "r1")]);
    cell.accept(7, job(1, vec![step(4)]));
    cell.plan_and_start();
    cell.advance(ms(4_500));
    cell.report("w1");
    cell.scheduler.plan(cell.now, ms(1_000));
    assert_eq!(cell.instructions("w1").stops.len(), 4);
    for index in 0..4 {
        cell.end_run(task(7, 0, index), RunEnd::Stopped);
    }
    cell.plan_and_start();
    assert_eq!(cell.run_number(task(7, 0, 0)), None);
    cell.advance(ms(4_500));
    cell.plan_and_start();
    assert!(cell.run_number(task(7, 0, 0)).is_some());
}

/// Returns whether the only run was ordered to stop.
fn is_stopped(cell: &mut TestCell) -> bool {
    cell.report("w1");
    cell.scheduler.plan(cell.now, ms(1_000));
    !cell.instructions("w1").stops.is_empty()
}

/// Guards against treating a long run as hanging between two consecutive changes of its percentage. With an expected
/// run time of one hour, a percentage point may take 108 s on a slow rack, and the timeout is four times that.
#[test]
fn plan_keeps_long_run_between_progress_changes() {
    let mut cell = TestCell::new(1, vec![worker("w1", "r1")]);
    let mut long = step(1);
    long.expected = Duration::from_hours(1);
    cell.accept(7, job(1, vec![long]));
    cell.plan_and_start();
    cell.advance(ms(60_000));
    assert!(!is_stopped(&mut cell));
    cell.advance(Duration::from_mins(10));
    assert!(is_stopped(&mut cell));
}

/// Guards against treating a run as hanging because its client expected it to be much shorter. The run takes 3.5 s per
/// percentage point, so the timeout is 14 s.
#[test]
fn plan_scales_hang_timeout_to_run_pace() {
    let mut cell = TestCell::new(1, vec![worker("w1", "r1")]);
    cell.accept(7, job(1, vec![step(1)]));
    cell.plan_and_start();
    for percent in [1, 2] {
        cell.advance(ms(3_500));
        let run = cell.workers["w1"].report.runs[0].run;
        cell.workers["w1"].report.runs = vec![running(run, percent)];
        assert!(!is_stopped(&mut cell), "{percent}");
    }
    cell.advance(ms(7_000));
    assert!(!is_stopped(&mut cell));
    cell.advance(ms(14_000));
    assert!(is_stopped(&mut cell));
}

/// Guards against a job that never ends because each run of a task with a wrong estimate is stopped as hanging. The
/// timeout is 4 s for the first run and 8 s for the second.
#[test]
fn plan_doubles_hang_timeout_after_each_hang() {
    let mut cell = TestCell::new(1, vec![worker("w1", "r1")]);
    cell.accept(7, job(1, vec![step(1)]));
    cell.plan_and_start();
    cell.advance(ms(4_500));
    assert!(is_stopped(&mut cell));
    cell.end_run(task(7, 0, 0), RunEnd::Stopped);
    cell.advance(ms(10_000));
    cell.plan_and_start();
    assert!(cell.run_number(task(7, 0, 0)).is_some());
    cell.advance(ms(7_500));
    assert!(!is_stopped(&mut cell));
    cell.advance(ms(1_000));
    assert!(is_stopped(&mut cell));
}

/// Guards against a job that is never placed again after a worker refused it.
#[test]
fn report_refused_run_starts_elsewhere() {
    let mut cell = TestCell::new(1, vec![worker("w1", "r1"), worker("w2", "r1")]);
    cell.accept(7, job(1, vec![step(1)]));
    let (refusing, run) = cell.first_start();
    cell.workers[&refusing]
        .report
        .runs
        .push(refused(run, Refusal::Unhealthy));
    cell.report(&refusing);
    cell.workers[&refusing].report.runs.clear();
    cell.advance(ms(500));
    cell.plan_and_start();
    let agent = cell.agent_of(task(7, 0, 0)).expect("the task runs");
    assert_ne!(agent, refusing);
}

/// Guards against counting the cores of tasks that only use spare processor time.
#[test]
fn plan_ignores_cores_of_best_effort_tasks() {
    let mut cell = TestCell::new(1, vec![worker("w1", "r1")]);
    let mut best_effort = step(1);
    best_effort.best_effort = true;
    best_effort.resources = ResourceVector {
        millicores: WORKER_CAPACITY.millicores * 2,
        ..TASK_RESOURCES
    };
    cell.accept(7, job(1, vec![best_effort]));
    cell.plan_and_start();
    assert!(cell.run_number(task(7, 0, 0)).is_some());
}

/// Guards against a guaranteed job that waits until jobs of the same priority without a guarantee end.
#[test]
fn plan_preempts_same_priority_outside_guarantee() {
    let mut cell = TestCell::new(1, vec![worker("w1", "r1")]);
    let guarantees = IndexMap::from([("faro".into(), 4)]);
    cell.scheduler.configure(IndexMap::new(), guarantees);
    let mut unguaranteed = job(0, vec![step(4)]);
    unguaranteed.account = "other".into();
    cell.accept(7, unguaranteed);
    cell.plan_and_start();
    cell.accept(8, job(0, vec![gang(2)]));
    cell.scheduler.plan(cell.now, ms(1_000));
    assert_eq!(cell.instructions("w1").stops.len(), 2);
}

/// Guards against a guaranteed gang that waits until a single rack has enough resources, although no rack can be freed
/// for it: on each rack, another guaranteed job, which cannot be preempted, uses two of the four accelerators.
#[test]
fn plan_spreads_guaranteed_gang_across_racks() {
    let mut cell = TestCell::new(1, vec![worker("w1", "r1"), worker("w2", "r2")]);
    // The guarantees cover the gang of three tasks, and the two other jobs with two tasks each.
    let guarantees = IndexMap::from([("faro".into(), 3), ("puerto".into(), 4)]);
    cell.scheduler.configure(IndexMap::new(), guarantees);
    for (id, rack) in [(5, "r1"), (6, "r2")] {
        let mut on_rack = step(2);
        on_rack.data_rack = Some(rack.into());
        let mut other = job(0, vec![on_rack]);
        other.account = "puerto".into();
        cell.accept(id, other);
    }
    cell.plan_and_start();
    let mut wide = gang(3);
    wide.rack_sensitive = true;
    cell.accept(8, job(0, vec![wide]));
    // The first plan reserves the free accelerators of both racks, and the second one uses the reservation.
    cell.plan_and_start();
    cell.plan_and_start();
    assert!(cell.run_number(task(8, 0, 0)).is_some());
}
