//! Runs that the owner takes for ended without a report of their end: what counts and logs them.

mod common;

use std::fmt::Write;
use std::sync::{Mutex, OnceLock, PoisonError};

use common::{TestCell, job, ms, refused, step, task, worker};
use graph::RemovalReason;
use log::kv::{Error, Key, Value, VisitSource};
use log::{LevelFilter, Log, Metadata, Record};
use model::{JobId, Refusal, ResourceVector, RunEnd, RunStatus, TaskId};

/// Length at which lines of the log are cut.
const MAX_LINE_BYTES: usize = 4_096;
/// Longer than the time after which a lease of 6 s counts as lapsed.
const LAPSED_MS: u64 = 7_000;

/// Keeps the lines of all tests of this file.
struct Lines(Mutex<Vec<String>>);

impl Log for Lines {
    fn enabled(&self, _: &Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &Record<'_>) {
        let mut line = Line(format!("event={}", record.args()));
        record
            .key_values()
            .visit(&mut line)
            .expect("the fields can be formatted");
        self.0
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push(line.0);
    }

    fn flush(&self) {}
}

struct Line(String);

impl<'kvs> VisitSource<'kvs> for Line {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        write!(self.0, " {key}={value}").map_err(|_| Error::msg("cannot format the field"))
    }
}

/// Returns the lines so far with an event that name a job.
fn lines_of(event: &str, job: JobId) -> Vec<String> {
    let event = format!("event={event} ");
    let job = format!("{job:016x}");
    let lines = collected().0.lock().unwrap_or_else(PoisonError::into_inner);
    let lines = lines.iter().filter(|line| line.starts_with(&event));
    lines.filter(|line| line.contains(&job)).cloned().collect()
}

fn collected() -> &'static Lines {
    static LINES: OnceLock<&Lines> = OnceLock::new();
    LINES.get_or_init(|| {
        let lines: &Lines = Box::leak(Box::new(Lines(Mutex::default())));
        log::set_logger(lines).expect("no other logger");
        log::set_max_level(LevelFilter::Info);
        lines
    })
}

/// Starts the only task of a job on the only worker.
fn start_task(id: JobId) -> (TestCell, TaskId) {
    collected();
    let mut cell = TestCell::new(1, vec![worker("w1", "r1")]);
    cell.accept(id, job(1, vec![step(1)]));
    cell.plan_and_start();
    assert!(cell.run_number(task(id, 0, 0)).is_some());
    (cell, task(id, 0, 0))
}

fn assert_counted(cell: &mut TestCell, reason: RemovalReason) {
    let counts: Vec<_> = cell.scheduler.take_removed_runs().into_iter().collect();
    assert_eq!(counts, vec![(reason, 1)]);
    assert!(cell.scheduler.take_removed_runs().is_empty());
}

/// Checks that one line names the task, its run, the agent, the reason, and when the agent was last heard.
fn assert_logged(event: &str, task: TaskId, run: u64, reason: &str, heard_ms: u64) {
    let lines = lines_of(event, task.job);
    assert_eq!(lines.len(), 1, "{lines:?}");
    let line = &lines[0];
    let is_named = line.contains(&format!("{task}/{run}"))
        || (line.contains(&format!("task={task} ")) && line.contains(&format!("run={run} ")));
    assert!(is_named, "{line}");
    for field in [
        "agent=w1",
        &format!("reason={reason}"),
        &format!("heard_ms={heard_ms}"),
    ] {
        assert!(line.split(' ').any(|found| found == field), "{line}");
    }
}

/// Guards against a run that the owner gives up for a new process of its worker without a count and a line that tells why.
#[test]
fn take_removed_runs_counts_replaced_worker() {
    let (mut cell, task) = start_task(0x11);
    let run = cell.run_number(task).expect("the task runs");
    let report = &mut cell.workers["w1"].report;
    report.incarnation = Some(2);
    report.runs.clear();
    cell.report("w1");
    assert_counted(&mut cell, RemovalReason::WorkerReplaced);
    assert_logged("runs_lost", task, run, "worker_replaced", 0);
}

/// Guards against the same for a worker that is reported as absent.
#[test]
fn take_removed_runs_counts_absent_worker() {
    let (mut cell, task) = start_task(0x12);
    let run = cell.run_number(task).expect("the task runs");
    cell.crash("w1");
    assert_counted(&mut cell, RemovalReason::WorkerAbsent);
    assert_logged("runs_lost", task, run, "worker_absent", 0);
}

/// Guards against the same for a lapsed lease, and a line that does not tell how long the agent was silent.
#[test]
fn take_removed_runs_counts_lapsed_lease() {
    let (mut cell, task) = start_task(0x13);
    let run = cell.run_number(task).expect("the task runs");
    cell.advance(ms(LAPSED_MS));
    cell.scheduler.expire_leases(cell.now);
    assert_counted(&mut cell, RemovalReason::LeaseLapsed);
    assert_logged("runs_lost", task, run, "lease_lapsed", LAPSED_MS);
}

/// Guards against the same for a run that a list lacks.
#[test]
fn take_removed_runs_counts_missing_run() {
    let (mut cell, task) = start_task(0x14);
    let run = cell.run_number(task).expect("the task runs");
    cell.workers["w1"].report.runs.clear();
    cell.report("w1");
    assert_counted(&mut cell, RemovalReason::MissingInList);
    assert_logged("run_removed", task, run, "missing_in_list", 0);
}

/// Guards against the same for a refused start.
#[test]
fn take_removed_runs_counts_refused_start() {
    collected();
    let mut cell = TestCell::new(1, vec![worker("w1", "r1")]);
    cell.accept(0x15, job(1, vec![step(1)]));
    let (agent, run) = cell.first_start();
    let report = refused(run, Refusal::NoRoom);
    cell.workers[&agent].report.runs = vec![report];
    cell.report(&agent);
    assert_counted(&mut cell, RemovalReason::Refused);
    assert_logged("run_removed", run.task, run.run, "refused", 0);
}

/// Guards against the same for a start that was stopped before it was carried out.
#[test]
fn take_removed_runs_counts_stopped_start() {
    collected();
    let mut cell = TestCell::new(1, vec![worker("w1", "r1")]);
    cell.accept(0x16, job(1, vec![step(1)]));
    let (agent, run) = cell.first_start();
    let mut report = refused(run, Refusal::NoRoom);
    report.status = RunStatus::StoppedBeforeStart;
    cell.workers[&agent].report.runs = vec![report];
    cell.report(&agent);
    assert_counted(&mut cell, RemovalReason::StoppedBeforeStart);
    assert_logged("run_removed", run.task, run.run, "stopped_before_start", 0);
}

/// Guards against counting a run whose end was reported as one that was taken for ended.
#[test]
fn take_removed_runs_leaves_out_reported_end() {
    let (mut cell, task) = start_task(0x17);
    cell.end_run(task, RunEnd::Done);
    assert!(cell.scheduler.take_removed_runs().is_empty());
    assert!(lines_of("run_removed", task.job).is_empty());
}

/// Guards against tasks whose loss is not in the log because the line that lists them is cut.
#[test]
fn report_names_all_lost_runs() {
    const TASKS: u32 = 300;
    collected();
    let mut large = worker("w1", "r1");
    large.report.capacity = ResourceVector {
        accelerators: 1_000,
        millicores: 1_000_000,
        memory_mb: 1_000_000,
    };
    let mut cell = TestCell::new(u64::from(u32::MAX), vec![large]);
    cell.accept(0x18, job(1, vec![step(TASKS)]));
    cell.plan_and_start();
    cell.crash("w1");
    let lines = lines_of("runs_lost", 0x18);
    let count = |index: u32| {
        let name = format!("{}/", task(0x18, 0, index));
        let naming = lines.iter().filter(|line| line.contains(&name));
        naming.count()
    };
    assert!(
        (0..TASKS).all(|index| count(index) == 1),
        "{} lines",
        lines.len()
    );
    assert!(lines.iter().all(|line| line.len() < MAX_LINE_BYTES - 100));
}
