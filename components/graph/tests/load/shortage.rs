//! Load patterns of fleets with too little room for all jobs.
//!
//! The bounds lie between what the scheduler before the ordering by cost measured and what it measures since, as given at
//! each test.

use std::time::Duration;

use fastrand::Rng;
use indexmap::IndexMap;

use crate::fleet::{Arrival, Fleet, WORKER_CAPACITY};
use crate::report::{JobOutcome, LoadReport};
use crate::workload::{Class, LARGE, SMALL, URGENT};
use crate::{WORKERS, seconds};

/// Workers of the users' deployment with insufficient capacity.
const FLEET: usize = 56;
/// Client accounts of that deployment.
const ACCOUNT_COUNT: u32 = 10;
/// Factor by which declared run times are wrong at most.
const DECLARED_ERROR: f64 = 10.0;
/// Time within which guaranteed jobs start on that deployment.
const RECLAIM: Duration = Duration::from_millis(2_700);
/// Time after the arrivals in which the last jobs may end.
const TAIL: Duration = Duration::from_mins(1);

/// Arrivals of a class at `factor` times the load of the users' large deployment for each worker, with declared run times
/// that are wrong.
fn arrivals(class: Class, during: [u64; 2], factor: f64, rng: &mut Rng) -> Vec<Arrival> {
    let factor = factor * FLEET as f64 / WORKERS as f64;
    let [from, until] = during.map(seconds);
    let mut arrivals = class.arrivals(from, until, factor, rng);
    for arrival in &mut arrivals {
        arrival.job.account = format!("account-{}", rng.u32(..ACCOUNT_COUNT)).into();
        let error = DECLARED_ERROR.powf(rng.f64() * 2.0 - 1.0);
        arrival.job.graph.steps[0].expected = arrival.work.mul_f64(error);
    }
    arrivals
}

/// A fleet on which the accounts are guaranteed 62% of the accelerators together.
fn fleet(seed: u64) -> Fleet {
    let mut fleet = Fleet::new(FLEET, seed);
    let accelerators = FLEET as f64 * f64::from(WORKER_CAPACITY.accelerators);
    let share = (accelerators * 0.62) as u32 / ACCOUNT_COUNT;
    let accounts = (0..ACCOUNT_COUNT).map(|index| (format!("account-{index}").into(), share));
    let scheduler = fleet.scheduler();
    scheduler.configure(IndexMap::new(), accounts.collect());
    fleet
}

/// A burst of urgent jobs on a fleet that lower priorities have filled.
fn urgent_burst(seed: u64) -> LoadReport {
    let mut rng = Rng::with_seed(seed);
    let mut fleet = fleet(seed);
    fleet.arrive(arrivals(SMALL, [0, 20], 1.0, &mut rng));
    fleet.arrive(arrivals(LARGE, [0, 20], 0.8, &mut rng));
    fleet.arrive(arrivals(URGENT, [0, 20], 0.5, &mut rng));
    fleet.arrive(arrivals(URGENT, [8, 14], 3.0, &mut rng));
    fleet.run(seconds(20) + TAIL)
}

/// Large gangs of the second priority beside a flood of background tasks.
fn large_beside_flood(seed: u64) -> LoadReport {
    let mut rng = Rng::with_seed(seed);
    let mut fleet = fleet(seed);
    fleet.arrive(arrivals(SMALL, [0, 30], 3.5, &mut rng));
    fleet.arrive(arrivals(LARGE, [2, 30], 1.0, &mut rng));
    fleet.run(seconds(30) + TAIL)
}

/// Ten accounts, two of which submit most of the jobs, beyond what the fleet can do.
fn few_large_accounts(seed: u64) -> LoadReport {
    let mut rng = Rng::with_seed(seed);
    let mut fleet = fleet(seed);
    for class in [URGENT, LARGE, SMALL] {
        let mut jobs = arrivals(class, [0, 30], 1.3, &mut rng);
        for arrival in &mut jobs {
            if rng.f64() < 0.6 {
                arrival.job.account = format!("account-{}", rng.u32(..2)).into();
            }
        }
        fleet.arrive(jobs);
    }
    fleet.run(seconds(30) + TAIL)
}

/// An overload of all classes that lasts for a minute.
fn lasting_overload(seed: u64) -> LoadReport {
    let mut rng = Rng::with_seed(seed);
    let mut fleet = fleet(seed);
    for class in [URGENT, LARGE, SMALL] {
        fleet.arrive(arrivals(class, [0, 60], 1.5, &mut rng));
    }
    fleet.run(seconds(60) + TAIL)
}

/// Urgent jobs that are all guaranteed, beside an overload of the others.
fn guaranteed_beside_overload(seed: u64) -> LoadReport {
    let mut rng = Rng::with_seed(seed);
    let mut fleet = fleet(seed);
    let accounts = (0..ACCOUNT_COUNT).map(|index| (format!("account-{index}").into(), u32::MAX));
    let scheduler = fleet.scheduler();
    scheduler.configure(IndexMap::new(), accounts.collect());
    let small_gangs = Class {
        max_tasks: 6,
        ..URGENT
    };
    fleet.arrive(arrivals(small_gangs, [3, 40], 0.5, &mut rng));
    fleet.arrive(arrivals(LARGE, [0, 40], 1.0, &mut rng));
    fleet.arrive(arrivals(SMALL, [0, 40], 2.5, &mut rng));
    fleet.run(seconds(50))
}

type Pattern = (&'static str, fn(u64) -> LoadReport);

const PATTERNS: [Pattern; 4] = [
    ("urgent burst", urgent_burst),
    ("large beside flood", large_beside_flood),
    ("few large accounts", few_large_accounts),
    ("lasting overload", lasting_overload),
];

/// What a pattern measured, as the mean over seeds.
struct Means(Vec<LoadReport>);

impl Means {
    fn of(pattern: fn(u64) -> LoadReport, seeds: u64) -> Self {
        let run = |seed| move || pattern(seed);
        Self(std::thread::scope(|scope| {
            let runs: Vec<_> = (0..seeds).map(|seed| scope.spawn(run(seed))).collect();
            let reports = runs
                .into_iter()
                .map(|run| run.join().expect("a simulation ends"));
            reports.collect()
        }))
    }

    fn mean(&self, value: impl Fn(&LoadReport) -> f64) -> f64 {
        self.0.iter().map(value).sum::<f64>() / self.0.len() as f64
    }

    fn value(&self) -> f64 {
        self.mean(|report| report.value_served(|_| true))
    }

    fn in_time(&self, class: Class) -> f64 {
        self.mean(|report| report.share_in_time(class.name))
    }

    fn print(&self, pattern: &str) {
        print!("{pattern}: {:.3} of the value served", self.value());
        for class in [URGENT, LARGE, SMALL] {
            let value = self.mean(|r| r.value_served(|job| job.class == class.name));
            print!(
                "; {} {:.3} in time, {value:.3} of the value",
                class.name,
                self.in_time(class)
            );
        }
        let thrown_away = self.mean(|report| report.thrown_away);
        let small = self.mean(|report| report.value_served(is_of_small_account));
        let values = self.0.iter().map(|report| report.value_served(|_| true));
        let values: Vec<String> = values.map(|value| format!("{value:.3}")).collect();
        print!("; by seed {}", values.join(" "));
        println!("; {thrown_away:.0} thrown away; {small:.3} of the value of small accounts");
    }
}

/// Returns whether a job is not of the two accounts that submit most of the jobs in [`few_large_accounts`].
fn is_of_small_account(job: &JobOutcome) -> bool {
    !["account-0", "account-1"].contains(&&*job.account)
}

/// Seeds of the tests with bounds.
const SEEDS: u64 = 10;

/// Pattern: a burst of urgent jobs on a fleet that lower priorities have filled. 0.793 of the value was served before, and 0.815
/// since.
///
/// Guards against urgent jobs that wait behind work of less value, and against stops that cost more than they gain.
#[test]
fn load_urgent_burst_on_full_fleet_serves_value() {
    let means = Means::of(urgent_burst, SEEDS);
    means.print("urgent burst");
    assert!(means.value() >= 0.805, "{} of the value", means.value());
}

/// Pattern: large gangs of the second priority beside a flood of background tasks. 0.875 of the value was served before, and 0.873
/// since: the ordering changes little where nothing can be stopped.
///
/// Guards against gangs that background tasks of more value for each unit of their work keep waiting.
#[test]
fn load_large_gangs_beside_flood_keep_value() {
    let means = Means::of(large_beside_flood, SEEDS);
    means.print("large beside flood");
    assert!(means.value() >= 0.865, "{} of the value", means.value());
}

/// Pattern: ten accounts of which two submit most of the jobs. 0.790 of the value was served before with 2,627 accelerator seconds
/// thrown away, and 0.797 with 2,289 since.
///
/// Guards against units that reserve resources without an end, and against small accounts that pay for the large ones.
#[test]
fn load_few_large_accounts_serve_value() {
    let means = Means::of(few_large_accounts, SEEDS);
    means.print("few large accounts");
    assert!(means.value() >= 0.794, "{} of the value", means.value());
    let thrown_away = means.mean(|report| report.thrown_away);
    assert!(thrown_away <= 2_450.0, "{thrown_away} thrown away");
    let small = means.mean(|report| report.value_served(is_of_small_account));
    assert!(small >= 0.785, "{small} of the value of small accounts");
}

/// Pattern: an overload of all classes that lasts. 0.720 of the value was served before with 9,638 accelerator seconds thrown away,
/// and 0.730 with 7,683 since.
///
/// Guards against work that is stopped again and again, and against late jobs that make others late.
#[test]
fn load_lasting_overload_throws_less_away() {
    let means = Means::of(lasting_overload, SEEDS);
    means.print("lasting overload");
    assert!(means.value() >= 0.725, "{} of the value", means.value());
    let thrown_away = means.mean(|report| report.thrown_away);
    assert!(thrown_away <= 8_600.0, "{thrown_away} thrown away");
}

/// Pattern: guaranteed urgent jobs beside an overload of lower priorities.
///
/// Guards against guaranteed jobs that wait too long for runs that are about to end: they start within 2.7 s.
#[test]
fn load_guaranteed_jobs_start_in_time_under_overload() {
    let means = Means::of(guaranteed_beside_overload, SEEDS);
    means.print("guaranteed beside overload");
    let started = means.mean(|r| r.share_started_within(URGENT.name, RECLAIM));
    assert!(
        started >= 1.0,
        "{started} of the guaranteed jobs started in time"
    );
}

/// Prints the means over several seeds, to compare two versions of the scheduler in pairs. `LOAD_SEEDS` is the number of
/// seeds.
#[test]
#[ignore = "an experiment without a bound"]
fn experiment_shortage() {
    let seeds = std::env::var("LOAD_SEEDS").ok();
    let seeds: u64 = seeds.and_then(|value| value.parse().ok()).unwrap_or(8);
    for (name, pattern) in PATTERNS {
        Means::of(pattern, seeds).print(name);
    }
}
