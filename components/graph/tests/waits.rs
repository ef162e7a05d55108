//! Waits of jobs: their reasons, and the bounds of those that the scheduler chooses.

mod common;

use std::time::Duration;

use common::{TestCell, TestWorker, gang, job, ms, owner_run_number, running, step, task, worker};
use graph::{Wait, WaitReason};
use model::{AcceptedJob, JobId, Recurrence, RunEnd, RunReport, RunStatus, TaskRun};

/// Reports, plans and starts every 100 ms.
fn run_for(cell: &mut TestCell, time: Duration) {
    let end = cell.now + time;
    while cell.now < end {
        cell.advance(ms(100));
        for agent in cell.agents() {
            cell.report(&agent);
        }
        cell.plan_and_start();
        cell.store_changes();
    }
}

fn wait_of(cell: &TestCell, id: JobId) -> Option<Wait> {
    cell.scheduler.waits().find(|wait| wait.job == id).cloned()
}

fn reason_of(cell: &TestCell, id: JobId) -> Option<WaitReason> {
    wait_of(cell, id).map(|wait| wait.reason)
}

/// Accepts a job and returns why it waits after two seconds.
fn reason_after_wait(cell: &mut TestCell, spec: AcceptedJob) -> Option<WaitReason> {
    cell.accept(7, spec);
    run_for(cell, ms(2_000));
    reason_of(cell, 7)
}

fn workers(names: &[&str], rack: &str) -> Vec<TestWorker> {
    names.iter().map(|name| worker(name, rack)).collect()
}

/// Guards against a job that stands without a reason: its service has fewer workers than it needs.
#[test]
fn waits_name_too_few_workers() {
    let mut cell = TestCell::new(1, workers(&["w1"], "r1"));
    let reason = reason_after_wait(&mut cell, job(1, vec![gang(5)]));
    assert_eq!(reason, Some(WaitReason::TooFewWorkers));
}

/// Guards against a job that stands without a reason: no worker has its label.
#[test]
fn waits_name_missing_label() {
    let mut cell = TestCell::new(1, workers(&["w1"], "r1"));
    let mut special = step(1);
    special.required_label = Some("special".into());
    let reason = reason_after_wait(&mut cell, job(1, vec![special]));
    assert_eq!(reason, Some(WaitReason::MissingLabel));
}

/// Guards against a job that stands without a reason: runs occupy the workers.
#[test]
fn waits_name_no_capacity() {
    let mut cell = TestCell::new(1, workers(&["w1"], "r1"));
    cell.accept(8, job(1, vec![step(4)]));
    cell.plan_and_start();
    let reason = reason_after_wait(&mut cell, job(1, vec![step(1)]));
    assert_eq!(reason, Some(WaitReason::NoCapacity));
}

/// Guards against a job that stands without a reason: an orphan run of unknown size counts as the whole worker.
#[test]
fn waits_name_stop_pending() {
    let mut occupied = worker("w1", "r1");
    let unknown = TaskRun::new(task(99, 0, 0), owner_run_number(1, 0));
    occupied.report.runs.push(running(unknown, 10));
    let mut cell = TestCell::new(2, vec![occupied]);
    let reason = reason_after_wait(&mut cell, job(1, vec![step(1)]));
    assert_eq!(reason, Some(WaitReason::StopPending));
}

/// Guards against a job that stands without a reason: the only worker with room has not confirmed the owner.
#[test]
fn waits_name_unconfirmed() {
    let mut cell = TestCell::new(2, workers(&["w1"], "r1"));
    cell.workers["w1"].report.incarnation = Some(2);
    cell.workers["w1"].report.confirmed_epoch = 1;
    cell.report("w1");
    let reason = reason_after_wait(&mut cell, job(1, vec![step(1)]));
    assert_eq!(reason, Some(WaitReason::Unconfirmed));
}

/// Guards against a job that stands without a reason: the only worker with room is about to shut down.
#[test]
fn waits_name_draining() {
    let mut cell = TestCell::new(1, workers(&["w1"], "r1"));
    cell.workers["w1"].report.draining = Some(ms(60_000));
    cell.report("w1");
    let reason = reason_after_wait(&mut cell, job(1, vec![step(1)]));
    assert_eq!(reason, Some(WaitReason::Draining));
}

/// Guards against a job that stands without a reason: two jobs failed on the only worker, which is quarantined.
#[test]
fn waits_name_quarantined() {
    let mut cell = TestCell::new(1, workers(&["w1"], "r1"));
    for id in [8, 9] {
        cell.accept(id, job(1, vec![step(1)]));
        cell.plan_and_start();
        cell.end_run(task(id, 0, 0), RunEnd::Failed);
        cell.scheduler.cancel(id);
    }
    cell.accept(7, job(1, vec![step(1)]));
    run_for(&mut cell, ms(2_000));
    let wait = wait_of(&cell, 7).expect("the job waits");
    assert_eq!(wait.reason, WaitReason::Quarantined);
    let remaining = wait.until.map(|until| until.saturating_sub(cell.now));
    assert!(remaining < Some(ms(4_000)), "{remaining:?}");
}

/// Guards against a job that stands without a reason: the advisor has approved no worker.
#[test]
fn waits_name_not_approved() {
    let mut cell = TestCell::new(1, workers(&["w1"], "r1"));
    let mut special = job(1, vec![step(1)]);
    special.policy.needs_approval = true;
    let reason = reason_after_wait(&mut cell, special);
    assert_eq!(reason, Some(WaitReason::NotApproved));
}

/// Guards against a job that stands without a reason: each worker has as many tasks of the step as it may.
#[test]
fn waits_name_spread_limit() {
    let mut cell = TestCell::new(1, workers(&["w1"], "r1"));
    let mut limited = step(2);
    limited.max_tasks_per_worker = Some(1);
    let reason = reason_after_wait(&mut cell, job(1, vec![limited]));
    assert_eq!(reason, Some(WaitReason::SpreadLimit));
    assert_eq!(wait_of(&cell, 7).map(|wait| wait.running), Some(1));
}

/// Guards against a job that stands without a reason: its resources are reserved for an urgent gang.
#[test]
fn waits_name_reserved() {
    let mut cell = TestCell::new(1, workers(&["w1"], "r1"));
    let mut long = job(2, vec![step(3)]);
    long.graph.steps[0].expected = ms(600_000);
    cell.accept(8, long);
    cell.plan_and_start();
    run_for(&mut cell, ms(60_000));
    cell.accept(9, job(0, vec![gang(2)]));
    cell.plan_and_start();
    let reason = reason_after_wait(&mut cell, job(1, vec![step(1)]));
    assert_eq!(reason, Some(WaitReason::Reserved));
}

/// Guards against a job that stands without a reason: agents are not heard after a change of the owner.
#[test]
fn waits_name_recovery() {
    let mut cell = TestCell::without_reports(2, workers(&["w1"], "r1"), &["w1", "lost"]);
    cell.load(7, job(1, vec![step(1)]), None);
    run_for(&mut cell, ms(2_000));
    let wait = wait_of(&cell, 7).expect("the job waits");
    assert_eq!(wait.reason, WaitReason::Recovery);
    assert!(wait.until.is_some());
}

/// Guards against a job that stands without a reason: the store has not confirmed the record that names the agent.
#[test]
fn waits_name_record_not_stored() {
    let mut cell = TestCell::new(1, workers(&["w1"], "r1"));
    cell.accept(7, job(1, vec![step(1)]));
    for _ in 0..20 {
        cell.advance(ms(100));
        cell.report("w1");
        cell.scheduler.plan(cell.now, cell.now);
    }
    assert_eq!(reason_of(&cell, 7), Some(WaitReason::RecordNotStored));
}

/// Guards against a job that stands without a reason: the worker does not answer the start.
#[test]
fn waits_name_start_unanswered() {
    let mut cell = TestCell::new(1, workers(&["w1"], "r1"));
    cell.accept(7, job(1, vec![step(1)]));
    for _ in 0..20 {
        cell.advance(ms(100));
        cell.report("w1");
        cell.scheduler.plan(cell.now, ms(1_000));
        cell.instructions("w1");
    }
    let wait = wait_of(&cell, 7).expect("the job waits");
    assert_eq!(wait.reason, WaitReason::StartUnanswered);
    assert_eq!(wait.agent.as_deref(), Some("w1"));
}

/// Guards against a job that stands without a reason: the agent of the worker that runs it is silent.
#[test]
fn waits_name_worker_silent() {
    let mut cell = TestCell::new(1, workers(&["w1"], "r1"));
    cell.accept(7, job(1, vec![step(1)]));
    cell.plan_and_start();
    for _ in 0..30 {
        cell.advance(ms(100));
        cell.scheduler.plan(cell.now, ms(1_000));
    }
    let wait = wait_of(&cell, 7).expect("the job waits");
    assert_eq!(wait.reason, WaitReason::WorkerSilent);
    assert!(wait.until.is_some());
}

/// Guards against a job that stands without a reason: none of its units becomes ready. Here two steps depend on each other, which
/// stands for a lost end.
#[test]
fn waits_name_nothing_ready() {
    let mut cell = TestCell::new(1, workers(&["w1"], "r1"));
    let after = |previous| {
        let mut step = step(1);
        step.after = vec![previous];
        step
    };
    let reason = reason_after_wait(&mut cell, job(1, vec![after(1), after(0)]));
    assert_eq!(reason, Some(WaitReason::NothingReady));
}

/// Guards against waits that are listed after they have ended, and against those that are usual.
#[test]
fn waits_end_with_placement() {
    let mut cell = TestCell::new(1, workers(&["w1"], "r1"));
    cell.accept(8, job(1, vec![step(4)]));
    cell.plan_and_start();
    cell.accept(7, job(1, vec![step(1)]));
    run_for(&mut cell, ms(600));
    assert_eq!(reason_of(&cell, 7), None);
    run_for(&mut cell, ms(1_000));
    assert!(reason_of(&cell, 7).is_some());
    cell.end_run(task(8, 0, 0), RunEnd::Done);
    run_for(&mut cell, ms(1_000));
    assert_eq!(reason_of(&cell, 7), None);
}

/// Guards against jobs of which no reason is found because many others wait.
#[test]
fn waits_name_each_of_many() {
    let mut cell = TestCell::new(1, workers(&["w1"], "r1"));
    let mut lasting = step(4);
    lasting.long_running = true;
    cell.accept(8, job(1, vec![lasting]));
    cell.plan_and_start();
    for id in 100..200 {
        cell.accept(id, job(1, vec![step(1)]));
    }
    run_for(&mut cell, ms(8_000));
    assert_eq!(cell.scheduler.waits().count(), 100);
}

/// The bound from the users: for this long, a job may have nothing running although there is room for it twice over and
/// under half of the service is in use.
const MAX_IDLE: Duration = Duration::from_secs(3);

/// Occupies slots of each worker with tasks that last.
fn occupy(cell: &mut TestCell, tasks_per_worker: u32) {
    let workers = u32::try_from(cell.agents().len()).expect("the number is small");
    let mut lasting = step(workers * tasks_per_worker);
    lasting.long_running = true;
    lasting.max_tasks_per_worker = Some(tasks_per_worker);
    cell.accept(1, job(1, vec![lasting]));
    run_for(cell, ms(200));
}

/// Occupies a worker with tasks that last, which have its name as their label.
fn occupy_worker(cell: &mut TestCell, id: JobId, agent: &str) {
    cell.workers[agent].report.labels.push(agent.into());
    cell.report(agent);
    let mut lasting = step(4);
    lasting.long_running = true;
    lasting.required_label = Some(agent.into());
    cell.accept(id, job(1, vec![lasting]));
    run_for(cell, ms(200));
}

/// Runs until a task is placed, and returns how long that took.
fn time_until_placed(cell: &mut TestCell, id: JobId, limit: Duration) -> Option<Duration> {
    let begin = cell.now;
    while cell.now < begin + limit {
        if cell.agent_of(task(id, 0, 0)).is_some() {
            return Some(cell.now.saturating_sub(begin));
        }
        run_for(cell, ms(100));
    }
    None
}

/// Guards against a rack-sensitive gang that stands for good because a rack could hold it only if it was empty, although other
/// racks together have room. The fleet is busy, so that it may wait for as long as the slower run costs it and others.
#[test]
fn plan_bounds_wait_for_single_rack() {
    let mut cell = TestCell::new(
        1,
        vec![
            worker("w1", "r1"),
            worker("w2", "r1"),
            worker("w3", "r2"),
            worker("w4", "r2"),
        ],
    );
    occupy(&mut cell, 2);
    let mut wide = gang(5);
    wide.rack_sensitive = true;
    wide.expected = ms(500);
    cell.accept(7, job(1, vec![wide]));
    run_for(&mut cell, ms(1_800));
    assert_eq!(reason_of(&cell, 7), Some(WaitReason::SingleRack));
    let waited = time_until_placed(&mut cell, 7, ms(10_000));
    assert!(
        waited.is_some_and(|waited| waited < ms(1_000)),
        "{waited:?}"
    );
}

/// Guards against a task that stands for twice its long run time because the rack with its data is full, while most of the
/// fleet is empty.
#[test]
fn plan_bounds_wait_for_data_rack() {
    let mut cell = TestCell::new(1, workers(&["w1", "w2", "w3"], "r1"));
    cell.workers["w1"].report.labels[1] = "data".into();
    cell.report("w1");
    occupy_worker(&mut cell, 1, "w1");
    let mut local = step(1);
    local.data_rack = Some("data".into());
    local.expected = ms(60_000);
    cell.accept(7, job(1, vec![local]));
    run_for(&mut cell, ms(1_500));
    assert_eq!(cell.agent_of(task(7, 0, 0)), None);
    let waited = time_until_placed(&mut cell, 7, ms(10_000));
    assert!(
        waited.is_some_and(|waited| ms(1_500) + waited < MAX_IDLE),
        "{waited:?}"
    );
}

/// Guards against a task that lasts and stands because the rack with its data is full, while there is room for it on a fleet
/// that is over half in use.
#[test]
fn plan_bounds_wait_for_data_rack_of_lasting_task() {
    let mut cell = TestCell::new(1, workers(&["w1", "w2", "w3"], "r1"));
    cell.workers["w1"].report.labels[1] = "data".into();
    cell.report("w1");
    occupy_worker(&mut cell, 1, "w1");
    occupy_worker(&mut cell, 2, "w2");
    let mut local = step(1);
    local.data_rack = Some("data".into());
    local.expected = ms(60_000);
    local.long_running = true;
    cell.accept(7, job(1, vec![local]));
    let waited = time_until_placed(&mut cell, 7, ms(10_000));
    assert!(waited.is_some_and(|waited| waited < MAX_IDLE), "{waited:?}");
}

/// Guards against giving up the rack with the data early on a busy fleet, where the slower run costs more than the wait.
#[test]
fn plan_keeps_wait_for_data_rack_on_busy_fleet() {
    let mut cell = TestCell::new(1, workers(&["w1", "w2", "w3"], "r1"));
    cell.workers["w1"].report.labels[1] = "data".into();
    cell.report("w1");
    occupy_worker(&mut cell, 1, "w1");
    occupy_worker(&mut cell, 2, "w2");
    let mut local = step(1);
    local.data_rack = Some("data".into());
    local.expected = ms(60_000);
    cell.accept(7, job(1, vec![local]));
    let waited = time_until_placed(&mut cell, 7, ms(10_000));
    assert_eq!(waited, None);
}

/// Guards against a rack-sensitive gang that stands for twice its long run time, while most of the fleet is empty.
#[test]
fn plan_bounds_wait_for_single_rack_on_idle_fleet() {
    let names = [
        ("w1", "r1"),
        ("w2", "r1"),
        ("w3", "r2"),
        ("w4", "r2"),
        ("w5", "r3"),
        ("w6", "r3"),
    ];
    let mut cell = TestCell::new(1, names.map(|(name, rack)| worker(name, rack)).into());
    occupy(&mut cell, 1);
    let mut wide = gang(7);
    wide.rack_sensitive = true;
    wide.expected = ms(60_000);
    cell.accept(7, job(1, vec![wide]));
    run_for(&mut cell, ms(1_500));
    assert_eq!(cell.agent_of(task(7, 0, 0)), None);
    let waited = time_until_placed(&mut cell, 7, ms(10_000));
    assert!(
        waited.is_some_and(|waited| ms(1_500) + waited < MAX_IDLE),
        "{waited:?}"
    );
}

/// Makes a worker suspect: a run fails on it.
fn fail_run_on(cell: &mut TestCell, id: JobId, agent: &str) {
    cell.workers[agent].report.labels.push(agent.into());
    cell.report(agent);
    let mut failing = step(1);
    failing.required_label = Some(agent.into());
    cell.accept(id, job(1, vec![failing]));
    cell.plan_and_start();
    cell.end_run(task(id, 0, 0), RunEnd::Failed);
    cell.scheduler.cancel(id);
}

/// Guards against a gang that stands for half of its long slack because a run has failed on the workers with room, while most
/// of the fleet is empty.
#[test]
fn plan_bounds_wait_of_gang_for_sound_workers() {
    let mut cell = TestCell::new(1, workers(&["w1", "w2", "w3", "w4"], "r1"));
    occupy_worker(&mut cell, 1, "w1");
    for (id, agent) in [(2, "w2"), (3, "w3"), (4, "w4")] {
        fail_run_on(&mut cell, id, agent);
    }
    let mut wide = gang(4);
    wide.expected = ms(60_000);
    cell.accept(7, job(1, vec![wide]));
    run_for(&mut cell, ms(1_700));
    assert_eq!(reason_of(&cell, 7), Some(WaitReason::SuspectWorkers));
    let waited = time_until_placed(&mut cell, 7, ms(10_000));
    assert!(
        waited.is_some_and(|waited| ms(1_700) + waited < MAX_IDLE),
        "{waited:?}"
    );
}

/// Guards against a last attempt that stands for half of its long slack because a run has failed on the workers with room,
/// while most of the fleet is empty, and against one on a worker on which its task has failed if another one has room.
#[test]
fn plan_bounds_wait_of_last_attempt_for_sound_workers() {
    let mut cell = TestCell::new(1, workers(&["w1", "w2", "w3", "w4"], "r1"));
    occupy_worker(&mut cell, 1, "w1");
    fail_run_on(&mut cell, 2, "w4");
    let mut long = job(1, vec![step(1)]);
    long.graph.steps[0].expected = ms(60_000);
    cell.accept(7, long);
    for agent in ["w2", "w3"] {
        time_until_placed(&mut cell, 7, ms(2_000));
        assert_eq!(cell.agent_of(task(7, 0, 0)).as_deref(), Some(agent));
        cell.end_run(task(7, 0, 0), RunEnd::Failed);
    }
    run_for(&mut cell, ms(1_700));
    assert_eq!(reason_of(&cell, 7), Some(WaitReason::SuspectWorkers));
    let waited = time_until_placed(&mut cell, 7, ms(10_000));
    assert!(
        waited.is_some_and(|waited| ms(1_700) + waited < MAX_IDLE),
        "{waited:?}"
    );
    assert_eq!(cell.agent_of(task(7, 0, 0)).as_deref(), Some("w4"));
}

/// Guards against a job that stands for half of its slack because its workers are left for urgent jobs, while its service is
/// empty and only another one is busy.
#[test]
fn plan_leaves_no_headroom_on_idle_service() {
    let mut cell = TestCell::new(1, workers(&["w1", "w2", "w3"], "r1"));
    cell.workers["w3"].report.service = "other".into();
    cell.report("w3");
    occupy_worker(&mut cell, 1, "w1");
    occupy_worker(&mut cell, 2, "w2");
    for id in 10..30 {
        let mut urgent = job(0, vec![gang(4)]);
        urgent.accepted_at = ms(1_000);
        cell.accept(id, urgent);
    }
    let mut other = job(1, vec![step(1)]);
    other.policy.service = "other".into();
    other.graph.steps[0].expected = ms(60_000);
    other.accepted_at = ms(1_000);
    cell.accept(7, other);
    let waited = time_until_placed(&mut cell, 7, ms(4_000));
    assert!(waited.is_some_and(|waited| waited < MAX_IDLE), "{waited:?}");
}

/// Guards against a job that stands for as long as an urgent gang waits, without stopping other runs, for the end of those in its
/// way: the gang keeps all other workers free meanwhile.
#[test]
fn plan_bounds_wait_for_reserved_resources() {
    let mut cell = TestCell::new(1, workers(&["w1", "w2", "w3"], "r1"));
    let mut long = job(2, vec![step(4)]);
    long.graph.steps[0].expected = ms(600_000);
    cell.accept(1, long);
    run_for(&mut cell, ms(60_000));
    // In time even after the long runs, so that it stops none of them.
    let mut patient = job(0, vec![gang(9)]);
    patient.policy.stretch = 400.0;
    cell.accept(2, patient);
    run_for(&mut cell, ms(200));
    cell.accept(7, job(1, vec![step(1)]));
    run_for(&mut cell, ms(1_700));
    assert_eq!(reason_of(&cell, 7), Some(WaitReason::Reserved));
    let waited = time_until_placed(&mut cell, 7, ms(10_000));
    assert!(
        waited.is_some_and(|waited| ms(1_700) + waited < MAX_IDLE),
        "{waited:?}"
    );
}

/// Quarantines a worker: the runs of two jobs fail on it.
fn quarantine(cell: &mut TestCell, ids: [JobId; 2], agent: &str) {
    for id in ids {
        fail_run_on(cell, id, agent);
    }
}

/// Guards against jobs that stand for the length of a quarantine because two jobs failed on each worker with room, whose own
/// fault that may have been. One task at a time probes such a worker, and the others follow once it has succeeded.
#[test]
fn plan_probes_quarantined_worker_on_idle_fleet() {
    let mut cell = TestCell::new(1, workers(&["w1", "w2"], "r1"));
    quarantine(&mut cell, [1, 2], "w1");
    quarantine(&mut cell, [3, 4], "w2");
    cell.accept(7, job(1, vec![step(4)]));
    run_for(&mut cell, ms(1_700));
    assert_eq!(reason_of(&cell, 7), Some(WaitReason::Quarantined));
    let waited = time_until_placed(&mut cell, 7, ms(10_000));
    assert!(
        waited.is_some_and(|waited| ms(1_700) + waited < MAX_IDLE),
        "{waited:?}"
    );
    run_for(&mut cell, ms(500));
    let runs = cell.workers.values().map(|worker| worker.report.runs.len());
    assert_eq!(runs.collect::<Vec<_>>(), [1, 1]);
    cell.end_run(task(7, 0, 0), RunEnd::Done);
    run_for(&mut cell, ms(200));
    let runs = cell.workers.values().map(|worker| worker.report.runs.len());
    assert_eq!(runs.sum::<usize>(), 3);
}

/// Guards against spending the attempts of a job on quarantined workers: a task probes one only if it has not failed before.
#[test]
fn plan_probes_no_quarantined_worker_with_later_attempts() {
    let mut cell = TestCell::new(1, workers(&["w1", "w2"], "r1"));
    quarantine(&mut cell, [1, 2], "w1");
    quarantine(&mut cell, [3, 4], "w2");
    cell.accept(7, job(1, vec![step(1)]));
    let waited = time_until_placed(&mut cell, 7, ms(3_500));
    assert!(waited.is_some());
    cell.end_run(task(7, 0, 0), RunEnd::Failed);
    run_for(&mut cell, ms(1_000));
    assert_eq!(cell.agent_of(task(7, 0, 0)), None);
}

/// Guards against tasks that stand behind a last attempt of their step, which waits for other workers than the one with room.
#[test]
fn plan_tries_units_behind_last_attempt() {
    let mut cell = TestCell::new(1, workers(&["w1", "w2", "w3"], "r1"));
    occupy_worker(&mut cell, 1, "w1");
    occupy_worker(&mut cell, 2, "w2");
    let mut spec = job(1, vec![step(3)]);
    spec.policy.max_attempts = 2;
    spec.graph.steps[0].expected = ms(60_000);
    spec.graph.steps[0].max_tasks_per_worker = Some(1);
    cell.accept(7, spec);
    cell.plan_and_start();
    assert_eq!(cell.agent_of(task(7, 0, 0)).as_deref(), Some("w3"));
    cell.end_run(task(7, 0, 0), RunEnd::Failed);
    run_for(&mut cell, ms(300));
    assert_eq!(cell.agent_of(task(7, 0, 0)), None);
    assert!(cell.agent_of(task(7, 0, 1)).is_some());
}

/// Guards against later occurrences of a recurring job that stand behind one whose step is not approved.
#[test]
fn plan_tries_later_occurrences() {
    let mut cell = TestCell::new(1, workers(&["w1"], "r1"));
    let mut spec = job(1, vec![step(2)]);
    spec.policy.needs_approval = true;
    spec.graph.recurrence = Some(Recurrence {
        first: ms(500),
        interval: ms(100),
        count: 2,
    });
    cell.accept(7, spec);
    cell.scheduler.plan(cell.now, ms(1_000));
    let requests = cell.scheduler.take_approval_requests(cell.now);
    let steps: Vec<u32> = requests
        .iter()
        .map(|request| request.step.occurrence)
        .collect();
    assert_eq!(steps, [0, 1]);
    let tickets = [("worker-w1".into(), "ticket".into())];
    let now = cell.now;
    cell.scheduler
        .record_approvals(requests[1].step, &tickets, now, ms(60_000));
    cell.plan_and_start();
    assert_eq!(cell.workers["w1"].report.runs.len(), 2);
}

/// Guards against a task that stands for good because a worker answers its polls, but no start.
#[test]
fn plan_gives_up_unanswered_start() {
    let mut cell = TestCell::new(1, workers(&["w1", "w2"], "r1"));
    cell.accept(7, job(1, vec![step(1)]));
    let (agent, run) = cell.first_start();
    let mut stops = Vec::new();
    for _ in 0..80 {
        cell.advance(ms(100));
        cell.report(&agent);
        cell.scheduler.plan(cell.now, ms(1_000));
        stops.extend(cell.instructions(&agent).stops);
    }
    assert!(stops.contains(&run), "{stops:?}");
    let stopped = RunReport {
        run,
        status: RunStatus::StoppedBeforeStart,
    };
    cell.workers[&agent].report.runs.push(stopped);
    cell.report(&agent);
    cell.workers[&agent].report.runs.clear();
    cell.plan_and_start();
    assert!(cell.run_number(task(7, 0, 0)) > Some(run.run));
}
