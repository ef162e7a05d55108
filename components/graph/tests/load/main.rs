//! Load patterns of large fleets, in virtual time and without a network.
//!
//! Each test names the pattern that it answers. Its bounds come from the targets of the design page: urgent work starts
//! within 1.1 s, and a job that can be done never ends as failed. `cargo test -p graph --test load -- --nocapture`
//! prints what each pattern measured.
#![allow(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss,
    reason = "the numbers of simulated jobs are small"
)]

mod fleet;
mod report;
mod shortage;
mod workload;

use std::time::Duration;

use fastrand::Rng;
use fleet::{Arrival, Change, Fleet, WORKER_CAPACITY};
use indexmap::IndexMap;
use model::{AgentId, ResourceVector, Step};
use report::LoadReport;
use workload::{ACCOUNTS, Class, LARGE, SMALL, URGENT};

/// Workers of the users' large deployment.
const WORKERS: usize = 160;
/// Time within which urgent work starts, by the target of the design page.
const URGENT_START: Duration = Duration::from_millis(1_100);

fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// Arrivals of all classes until a time.
fn mixed_load(until: Duration, factor: f64, rng: &mut Rng) -> Vec<Arrival> {
    let classes = [URGENT, LARGE, SMALL];
    let arrivals = classes.map(|class| class.arrivals(Duration::ZERO, until, factor, rng));
    arrivals.into_iter().flatten().collect()
}

/// A fleet whose client accounts have guarantees of 62% of the accelerators together.
fn fleet(workers: usize, seed: u64) -> Fleet {
    let mut fleet = Fleet::new(workers, seed);
    let accelerators = workers as f64 * f64::from(WORKER_CAPACITY.accelerators);
    let share = (accelerators * 0.62) as u32 / ACCOUNTS;
    let accounts = (0..ACCOUNTS).map(|index| (format!("account-{index}").into(), share));
    fleet
        .scheduler()
        .configure(IndexMap::new(), accounts.collect());
    fleet
}

fn agents(range: std::ops::Range<usize>) -> Vec<AgentId> {
    range.map(|index| format!("agent-{index}").into()).collect()
}

/// Pattern: twice the urgent jobs for six seconds, on a fleet that lower priorities have filled.
///
/// Guards against urgent gangs that wait for room beyond the time that stopping other work takes.
#[test]
fn load_urgent_burst_starts_in_time() {
    let mut rng = Rng::with_seed(1);
    let mut fleet = fleet(WORKERS, 1);
    fleet.arrive(mixed_load(seconds(30), 1.0, &mut rng));
    fleet.arrive(URGENT.arrivals(seconds(10), seconds(16), 1.0, &mut rng));
    let report = fleet.run(seconds(45));
    report.print("urgent burst");
    let started = report.share_started_within(URGENT.name, URGENT_START);
    assert!(
        started >= 0.95,
        "{started} of the urgent jobs started in time"
    );
}

/// Pattern: workers join while jobs wait.
///
/// Guards against new workers that stay empty although tasks that fit them wait.
#[test]
fn load_scale_out_fills_new_workers() {
    let mut rng = Rng::with_seed(2);
    let mut fleet = fleet(WORKERS / 2, 2);
    fleet.arrive(mixed_load(seconds(25), 1.0, &mut rng));
    let joined_at = seconds(12);
    fleet.change(joined_at, Change::Join(WORKERS / 2));
    let report = fleet.run(seconds(25));
    report.print("scale-out");
    let joined = report.first_runs.iter().filter(|(at, _)| *at == joined_at);
    let mut waits: Vec<Duration> = joined
        .map(|(_, wait)| wait.unwrap_or(Duration::MAX))
        .collect();
    waits.sort_unstable();
    assert!(waits[waits.len() / 2] < seconds(1), "{waits:?}");
    assert!(waits[waits.len() * 95 / 100] < seconds(3), "{waits:?}");
}

/// Pattern: workers that fail all that they start.
///
/// Guards against jobs that end as failed because their last attempts also meet failing workers.
#[test]
fn load_failing_workers_fail_no_job() {
    let mut rng = Rng::with_seed(3);
    let mut fleet = fleet(WORKERS, 3);
    fleet.arrive(mixed_load(seconds(20), 0.8, &mut rng));
    let failing = (0..WORKERS)
        .step_by(12)
        .map(|index| format!("agent-{index}").into());
    fleet.change(seconds(5), Change::Fail(failing.collect()));
    let report = fleet.run(seconds(60));
    report.print("failing workers");
    let failed = [URGENT, LARGE, SMALL].map(|class| report.failed(class.name));
    assert_eq!(failed, [0; 3], "urgent, large and small jobs that failed");
}

/// Pattern: a tenth of the workers drains.
///
/// Guards against jobs that are lost with the workers, and against urgent work that waits for them.
#[test]
fn load_drain_of_tenth_loses_no_job() {
    let mut rng = Rng::with_seed(4);
    let mut fleet = fleet(WORKERS, 4);
    fleet.arrive(mixed_load(seconds(20), 0.8, &mut rng));
    fleet.change(
        seconds(10),
        Change::Drain(agents(0..WORKERS / 10), seconds(4)),
    );
    let report = fleet.run(seconds(90));
    report.print("drain");
    let unfinished = report.jobs.iter().filter(|job| job.ended.is_none()).count();
    assert_eq!(unfinished, 0);
    let started = report.share_started_within(URGENT.name, URGENT_START);
    assert!(
        started >= 0.95,
        "{started} of the urgent jobs started in time"
    );
}

/// Pattern: all jobs of the class that fills the fleet are cancelled at once.
///
/// Guards against accelerators that stay idle after a mass cancellation while other jobs wait.
#[test]
fn load_mass_cancellation_frees_fleet() {
    let mut rng = Rng::with_seed(5);
    let mut fleet = fleet(WORKERS, 5);
    fleet.arrive(SMALL.arrivals(Duration::ZERO, seconds(5), 12.0, &mut rng));
    fleet.arrive(LARGE.arrivals(seconds(5), seconds(8), 4.0, &mut rng));
    fleet.change(seconds(8), Change::Cancel(SMALL.name));
    let report = fleet.run(seconds(60));
    report.print("mass cancellation");
    let started = report.share_started_within(LARGE.name, seconds(5));
    assert!(started >= 0.95, "{started} of the large jobs started");
}

/// Pattern: gangs that need whole workers beside a stream of small tasks.
///
/// Guards against large gangs that starve because small tasks take each accelerator that becomes free.
#[test]
fn load_large_gangs_beside_small_tasks() {
    let mut rng = Rng::with_seed(6);
    let mut fleet = fleet(WORKERS, 6);
    let whole_workers = Class {
        accelerators: &[8],
        tasks: 12.0,
        ..LARGE
    };
    fleet.arrive(SMALL.arrivals(Duration::ZERO, seconds(40), 2.5, &mut rng));
    fleet.arrive(whole_workers.arrivals(Duration::ZERO, seconds(30), 0.5, &mut rng));
    let report = fleet.run(seconds(120));
    report.print("large gangs");
    let unfinished = report
        .of_class(LARGE.name)
        .filter(|job| job.ended.is_none());
    assert_eq!(unfinished.count(), 0);
}

/// Pattern: a fleet of a thousand workers at the load of the large deployment for each worker.
///
/// Guards against decisions that the fleet outgrows: all urgent work starts in time at this size, too.
#[test]
fn load_thousand_workers_start_urgent_jobs() {
    const SIZE: usize = 1_000;
    let mut rng = Rng::with_seed(7);
    let mut fleet = fleet(SIZE, 7);
    let factor = SIZE as f64 / WORKERS as f64;
    fleet.arrive(mixed_load(seconds(4), factor * 0.9, &mut rng));
    let report = fleet.run(seconds(6));
    report.print("thousand workers");
    let started = report.share_started_within(URGENT.name, URGENT_START);
    assert!(
        started >= 0.95,
        "{started} of the urgent jobs started in time"
    );
}

/// Pattern: an urgent gang whose reserved workers are taken by a guaranteed one.
///
/// Guards against a gang that goes on waiting for resources that another unit has taken.
#[test]
fn load_guaranteed_jobs_delay_no_reservation() {
    let mut rng = Rng::with_seed(8);
    let mut fleet = Fleet::new(32, 8);
    let guarantees = IndexMap::from([("guaranteed".into(), 256)]);
    fleet.scheduler().configure(IndexMap::new(), guarantees);
    fleet.arrive(SMALL.arrivals(Duration::ZERO, seconds(4), 4.0, &mut rng));
    let whole_workers = Class {
        accelerators: &[8],
        tasks: 2.0,
        max_tasks: 4,
        ..URGENT
    };
    let mut urgent = whole_workers.arrivals(seconds(5), seconds(20), 0.4, &mut rng);
    for arrival in urgent.iter_mut().step_by(2) {
        arrival.job.account = "guaranteed".into();
    }
    fleet.arrive(urgent);
    let report = fleet.run(seconds(40));
    report.print("guaranteed beside reservations");
    let started = report.share_started_within(URGENT.name, seconds(2));
    assert!(
        started >= 0.95,
        "{started} of the urgent jobs started in time"
    );
}

/// Pattern: jobs of all classes whose first task crashes each worker that starts it.
///
/// Guards against such tasks taking down worker after worker, against giving up the jobs beside them, and against urgent
/// work that waits for workers on which suspects are on trial.
#[test]
fn load_deadly_tasks_spare_other_jobs() {
    let mut rng = Rng::with_seed(9);
    let mut fleet = fleet(WORKERS, 9);
    let mut arrivals = mixed_load(seconds(30), 0.7, &mut rng);
    let from_5_to_20 = seconds(5)..seconds(20);
    let during = arrivals.iter_mut();
    let during = during.filter(|arrival| from_5_to_20.contains(&arrival.at));
    for arrival in during.step_by(5) {
        arrival.deadly = true;
        arrival.class = "deadly";
    }
    fleet.arrive(arrivals);
    let report = fleet.run(seconds(120));
    report.print("deadly tasks");
    let starts = report.deadly_starts.values().max();
    assert!(starts <= Some(&5), "{:?}", report.deadly_starts);
    let is_open = |job: &&report::JobOutcome| job.ended.is_none();
    assert_eq!(report.jobs.iter().filter(is_open).count(), 0);
    let failed = [URGENT, LARGE, SMALL].map(|class| report.failed(class.name));
    assert_eq!(failed, [0; 3], "urgent, large and small jobs that failed");
    let started = report.share_started_within(URGENT.name, URGENT_START);
    assert!(
        started >= 0.95,
        "{started} of the urgent jobs started in time"
    );
}

/// Pattern: rack-sensitive gangs beside racks that are partly taken, each of which would hold a gang if it was empty.
///
/// Guards against gangs that stand until a whole rack is free, while the fleet has room for them twice over and is under half
/// in use.
#[test]
fn load_sensitive_gangs_start_beside_half_full_racks() {
    let mut rng = Rng::with_seed(10);
    let mut fleet = fleet(32, 10);
    let mut lasting = SMALL.arrival(Duration::ZERO, &mut rng);
    lasting.work = seconds(1_000);
    lasting.job.graph.steps[0] = Step {
        tasks: 96,
        max_tasks_per_worker: Some(3),
        long_running: true,
        ..lasting.job.graph.steps[0].clone()
    };
    let mut arrivals = vec![lasting];
    for at in [5, 40, 75] {
        let mut gang = LARGE.arrival(seconds(at), &mut rng);
        gang.job.graph.steps[0] = Step {
            tasks: 48,
            rack_sensitive: true,
            resources: ResourceVector {
                accelerators: 1,
                millicores: 1_000,
                memory_mb: 1_000,
            },
            ..gang.job.graph.steps[0].clone()
        };
        arrivals.push(gang);
    }
    fleet.arrive(arrivals);
    let report = fleet.run(seconds(110));
    report.print("half-full racks");
    let started = report.share_started_within(LARGE.name, seconds(3));
    assert!(started >= 1.0, "{started} of the gangs started in time");
}

/// Prints the means over several seeds, to compare two versions of the scheduler in pairs. `LOAD_SEEDS` is the number of
/// seeds and `LOAD_FACTOR` the load, both optional.
#[test]
#[ignore = "an experiment without a bound"]
fn experiment_mixed_load() {
    let setting = |name: &str, default: f64| {
        let value = std::env::var(name)
            .ok()
            .and_then(|value| value.parse().ok());
        value.unwrap_or(default)
    };
    let (seeds, factor) = (
        setting("LOAD_SEEDS", 8.0) as u64,
        setting("LOAD_FACTOR", 1.0),
    );
    let reports: Vec<LoadReport> = (0..seeds)
        .map(|seed| {
            let mut rng = Rng::with_seed(seed);
            let mut fleet = fleet(WORKERS, seed);
            fleet.arrive(mixed_load(seconds(30), factor, &mut rng));
            fleet.arrive(URGENT.arrivals(seconds(10), seconds(16), factor, &mut rng));
            fleet.run(seconds(60))
        })
        .collect();
    let mean_of = |value: &dyn Fn(&LoadReport) -> f64| {
        let values: Vec<f64> = reports.iter().map(value).collect();
        let count = values.len() as f64;
        let mean = values.iter().sum::<f64>() / count;
        let deviations = values.iter().map(|value| (value - mean).powi(2));
        let standard_error = (deviations.sum::<f64>() / (count - 1.0).max(1.0) / count).sqrt();
        format!("{mean:.3} (se {standard_error:.3})")
    };
    for class in [URGENT, LARGE, SMALL] {
        let in_time = mean_of(&|report| report.share_in_time(class.name));
        let started = mean_of(&|report| report.share_started_within(class.name, URGENT_START));
        println!(
            "{}: {in_time} in time, {started} started within 1.1 s",
            class.name
        );
    }
    let thrown_away = mean_of(&|report| report.thrown_away);
    let idle = mean_of(&|report| report.mean_idle_while_waiting());
    println!("{thrown_away} accelerator seconds thrown away, {idle} idle while a job waits");
}

/// Guards against a workload whose tasks do not fit any worker, which would make the other tests vacuous.
#[test]
fn workload_fits_workers() {
    for class in [URGENT, LARGE, SMALL] {
        for accelerators in class.accelerators {
            let task = ResourceVector {
                accelerators: *accelerators,
                millicores: class.millicores,
                memory_mb: class.memory_mb,
            };
            assert!(WORKER_CAPACITY.fit_count(task) >= 1, "{}", class.name);
        }
    }
}
