//! Measures the cost of the decisions: admission and routing on several threads, blame and history in batches.
//!
//! Run with `cargo run --release -p policy --example bench`; it ends by itself after a few seconds.

use std::hint::black_box;
use std::sync::Arc;
use std::time::{Duration, Instant};

use board::{Board, ConfigSnapshot, Membership};
use fastrand::Rng;
use model::{
    Account, AccountLimits, Document, Endpoint, JobId, Location, Serving, Shape, WorkerId,
};
use policy::blame::{BlameController, Observation, TaskEvent};
use policy::history::{HistoryController, Run, RunEnd};
use policy::limits::{admit, apply_limits};
use policy::routing::{choose_endpoint, refresh_routes};

const THREADS: usize = 8;
const OPERATIONS: u32 = 500_000;
const ROUNDS: usize = 5;

fn main() {
    let board = Board::default();
    let now = Instant::now();
    fill(&board, now);
    for threads in [1, THREADS] {
        let same_account = on_threads(threads, |_, _| {
            let _ = black_box(admission(&board, "account-0", now));
        });
        report(
            &format!("admission, {threads} threads, one account"),
            same_account,
        );
        let separate_accounts = on_threads(threads, |thread, _| {
            let _ = black_box(admission(&board, ACCOUNTS[thread], now));
        });
        report(
            &format!("admission, {threads} threads, an account each"),
            separate_accounts,
        );
        let routed = on_threads(threads, |_, rng| {
            drop(black_box(choose_endpoint(
                &board.routes.load(),
                "prism",
                &[],
                rng,
            )));
        });
        report(&format!("routing, {threads} threads, 20 endpoints"), routed);
    }
    for size in [1, 8, 64] {
        report(
            &format!("blame observation, gangs of {size}"),
            blame(size, now),
        );
    }
    for batch in [1, 100] {
        report(
            &format!("history observation, batches of {batch}"),
            history(batch, now),
        );
    }
}

const ACCOUNTS: [&str; THREADS] = [
    "account-0",
    "account-1",
    "account-2",
    "account-3",
    "account-4",
    "account-5",
    "account-6",
    "account-7",
];

fn admission(board: &Board, account: &str, now: Instant) -> bool {
    admit(&board.limits.load(), account, 1000, now).is_ok()
}

/// Prints the median, the minimum and the maximum time of an operation over the rounds.
fn report(name: &str, mut rounds: Vec<Duration>) {
    rounds.sort_unstable();
    let (low, high) = (rounds[0], rounds[rounds.len() - 1]);
    let median = rounds[rounds.len() / 2];
    println!("{name}: median {median:?} (from {low:?} to {high:?})");
}

/// Returns the mean wall time of an operation on one thread, for each round.
fn on_threads(threads: usize, operation: impl Fn(usize, &mut Rng) + Sync) -> Vec<Duration> {
    let run = |thread: usize| {
        let mut rng = Rng::with_seed(thread as u64);
        (0..OPERATIONS).for_each(|_| operation(thread, &mut rng));
    };
    let round = |_| {
        let started = Instant::now();
        std::thread::scope(|scope| {
            for thread in 0..threads {
                let run = &run;
                scope.spawn(move || run(thread));
            }
        });
        started.elapsed() / OPERATIONS
    };
    (0..ROUNDS).map(round).collect()
}

/// Observes 10,000 failures and successes one by one; a tenth of the gangs fail, and all gangs with the first worker.
fn blame(size: usize, now: Instant) -> Vec<Duration> {
    let names: Vec<WorkerId> = (0..256).map(|n| format!("worker-{n:03}").into()).collect();
    let round = |seed| {
        let mut rng = Rng::with_seed(seed as u64);
        let observations: Vec<_> = (0..10_000)
            .map(|job| observe(&names, size, job, &mut rng))
            .collect();
        let (board, mut controller) = (Board::default(), BlameController::default());
        let started = Instant::now();
        for observation in &observations {
            controller.observe(&board, std::slice::from_ref(observation), now);
        }
        started.elapsed() / 10_000
    };
    (0..ROUNDS).map(round).collect()
}

fn observe(names: &[WorkerId], size: usize, job: JobId, rng: &mut Rng) -> Observation {
    let start = rng.usize(..names.len());
    let gang = names.iter().cycle().skip(start).take(size);
    let workers: Vec<_> = gang.cloned().collect();
    let fails = workers.contains(&names[0]) || rng.u8(..10) == 0;
    let event = if fails {
        TaskEvent::Failed {
            failed_worker: None,
        }
    } else {
        TaskEvent::Succeeded
    };
    Observation {
        job,
        workers,
        event,
    }
}

/// Observes 2,000 runs of 65 accounts with 4 services each.
fn history(batch: usize, now: Instant) -> Vec<Duration> {
    let shape = Shape {
        tasks: 8,
        accelerators: 1,
        ..Shape::default()
    };
    let run = |n: u64| Run {
        account: format!("account-{}", n % 65).into(),
        service: format!("service-{}", n % 4).into(),
        shape,
        declared: Some(Duration::from_secs(n % 100)),
        actual: Duration::from_secs(n % 300),
        end: RunEnd::Answered,
    };
    let runs: Vec<_> = (0..2000).map(run).collect();
    let round = |_| {
        let (board, mut controller) = (Board::default(), HistoryController::default());
        let started = Instant::now();
        for part in runs.chunks(batch) {
            controller.observe_runs(&board, part, now);
        }
        started.elapsed() / 2000
    };
    (0..ROUNDS).map(round).collect()
}

/// Publishes eight accounts and twenty endpoints of one service, half of them in the local region.
fn fill(board: &Board, now: Instant) {
    let limits = AccountLimits {
        requests: 1_000_000,
        bytes: 1 << 40,
        ..AccountLimits::default()
    };
    let account = Account {
        limits,
        ..Account::default()
    };
    let accounts = ACCOUNTS.map(|id| (id.into(), account.clone()));
    let document = Document {
        accounts: accounts.into_iter().collect(),
        ..Document::default()
    };
    board.config.publish(ConfigSnapshot {
        document,
        ..ConfigSnapshot::default()
    });
    apply_limits(board, now);
    let serving = (0..20).map(|n| {
        let endpoint = endpoint(n, now);
        (endpoint.id.clone(), Arc::new(endpoint))
    });
    board.membership.publish(Membership {
        serving: serving.collect(),
        ..Membership::default()
    });
    refresh_routes(board, "region-0");
}

fn endpoint(n: u32, heard: Instant) -> Endpoint<Serving> {
    let location = Location {
        region: format!("region-{}", n % 2).into(),
        data_centre: "d".into(),
        rack: "r".into(),
    };
    Endpoint {
        id: format!("endpoint-{n}").into(),
        agent: format!("agent-{n}").into(),
        agent_addr: ([127, 0, 0, 1], 1).into(),
        incarnation: 1,
        service: "prism".into(),
        location,
        slots: 8,
        state: Serving {
            free: 8,
            last_heartbeat: heard,
        },
    }
}
