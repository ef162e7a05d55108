//! Measures the latency of `step` on fleets of 64, 512 and 3,600 workers.
//!
//! Prints the median, the 99th percentile, and the exponent with which the median grows with the size.

use std::sync::Arc;
use std::time::{Duration, Instant};

use board::{Agent, Board};
use model::{Account, Adjacency, Endpoint, Location, Request, Resources, Serving, Shape, Worker};
use placement::{Action, Event, GangEnd, Strategy, step};

const SIZES: [usize; 3] = [64, 512, 3600];
const ROUNDS: usize = 300;
const MAX_QUEUED_JOBS: usize = 10_000;
const WORKERS_PER_RACK: usize = 3;
const WORKERS_PER_DATA_CENTRE: usize = 600;
const DATA_CENTRES_PER_REGION: usize = 3;
const ACCELERATORS_PER_WORKER: u32 = 8;
const CORES_PER_WORKER: u32 = 128;
/// Tasks and cores per task of the CPU-only gangs. They use the 120 cores of a worker that its accelerator gang leaves.
const CPU_TASKS_PER_WORKER: u32 = 12;
const CORES_PER_CPU_TASK: u32 = 10;
/// Client accounts that the configuration change adds, and the accelerators of each of their guarantees.
const CONFIGURED_ACCOUNTS: usize = 65;
const CONFIGURED_GUARANTEE_ACCELERATORS: u32 = 16;

fn worker(number: usize) -> Worker {
    let data_centre = number / WORKERS_PER_DATA_CENTRE;
    Worker {
        id: format!("w{number:05}").into(),
        agent: format!("a{number:05}").into(),
        location: Location {
            region: format!("r{}", data_centre / DATA_CENTRES_PER_REGION).into(),
            data_centre: format!("d{data_centre}").into(),
            rack: format!("k{:05}", number / WORKERS_PER_RACK).into(),
        },
        capacity: Resources {
            accelerators: ACCELERATORS_PER_WORKER,
            cores: CORES_PER_WORKER,
            memory_mb: 512_000,
        },
    }
}

fn board(workers: usize, guarantees: &[Shape], now: Instant) -> Board {
    let board = Board::default();
    board.membership.update(|membership| {
        for number in 0..workers {
            let worker = worker(number);
            let agent = Agent {
                id: worker.agent.clone(),
                addr: ([127, 0, 0, 1], 1).into(),
                incarnation: 1,
                workers: vec![worker],
                last_seen: now,
                config_revision: 0,
            };
            membership.agents.insert(agent.id.clone(), Arc::new(agent));
        }
        let endpoint = Endpoint {
            id: "e".into(),
            agent: "a00000".into(),
            agent_addr: ([127, 0, 0, 1], 1).into(),
            incarnation: 1,
            service: "lens".into(),
            location: worker(0).location,
            slots: u32::MAX,
            state: Serving {
                free: u32::MAX,
                last_heartbeat: now,
            },
        };
        membership.serving.insert("e".into(), Arc::new(endpoint));
    });
    board.config.update(|config| {
        let account = Account {
            guarantees: guarantees.to_vec(),
            ..Account::default()
        };
        config.document.accounts.insert("owner".into(), account);
        config.document.policy.queue_limit = u32::MAX;
    });
    step(
        &board,
        Strategy::Guarded,
        vec![Event::MembershipChanged],
        now,
    );
    board
}

fn request(id: u128, account: &str, shape: Shape, idempotent: bool) -> Arc<Request> {
    Arc::new(Request {
        // The id of a gang is that of its job plus the attempt number, so the ids of jobs must not be consecutive.
        id: id << 32,
        account: account.into(),
        service: "lens".into(),
        shape: Some(shape),
        idempotent,
        stoppable: false,
        timeout: Duration::from_hours(1),
        declared_run_time: Some(Duration::from_hours(1)),
    })
}

fn gang(tasks: u32, accelerators: u32, cores: u32, adjacency: Adjacency) -> Shape {
    Shape {
        tasks,
        accelerators,
        cores,
        memory_mb: 1000,
        adjacency,
    }
}

/// Fills workers with borrowers: on each, one gang that uses all accelerators and one that uses the remaining cores.
fn fill(board: &Board, workers: usize, now: Instant) {
    let accelerator_gang = gang(ACCELERATORS_PER_WORKER, 1, 1, Adjacency::Worker);
    let cpu_gang = gang(
        CPU_TASKS_PER_WORKER,
        0,
        CORES_PER_CPU_TASK,
        Adjacency::Worker,
    );
    let mut events = Vec::new();
    for number in 0..workers as u128 {
        for (kind, shape) in [accelerator_gang, cpu_gang].into_iter().enumerate() {
            let id = 1_000_000 + number * 2 + kind as u128;
            events.push(Event::Submitted(request(id, "borrower", shape, true)));
        }
    }
    let actions = step(board, Strategy::Guarded, events, now);
    confirm(board, &actions, now);
}

/// Confirms every reservation among the actions.
fn confirm(board: &Board, actions: &[Action], now: Instant) {
    let events = actions
        .iter()
        .filter_map(|action| match action {
            Action::Reserve(gang) => Some(Event::Reserved {
                gang: gang.id,
                epoch: 1,
            }),
            _ => None,
        })
        .collect();
    step(board, Strategy::Guarded, events, now);
}

fn median_and_p99(mut times: Vec<Duration>) -> (Duration, Duration) {
    times.sort_unstable();
    (times[times.len() / 2], times[times.len() * 99 / 100])
}

/// Measures the placement of a gang, cancelling it after each round.
fn place(workers: usize, shape: Shape, half_full: bool) -> (Duration, Duration) {
    let now = Instant::now();
    let board = board(workers, &[], now);
    if half_full {
        fill(&board, workers / 2, now);
    }
    let mut times = Vec::new();
    for round in 0..ROUNDS {
        let events = vec![Event::Submitted(request(
            round as u128 + 1,
            "plot",
            shape,
            false,
        ))];
        let start = Instant::now();
        let actions = step(&board, Strategy::Guarded, events, now);
        times.push(start.elapsed());
        let Some(Action::Reserve(gang)) = actions.first() else {
            panic!("the gang was not placed");
        };
        let cancel = vec![Event::Cancelled(gang.job)];
        step(&board, Strategy::Guarded, cancel, now);
    }
    median_and_p99(times)
}

/// Measures the reclaim of a guarantee on a full fleet, returning the capacity to borrowers after each round.
fn reclaim(workers: usize, shape: Shape) -> (Duration, Duration) {
    let mut now = Instant::now();
    let board = board(workers, &[shape], now);
    fill(&board, workers, now);
    let mut times = Vec::new();
    for round in 0..ROUNDS {
        now += Duration::from_mins(1);
        let job = request(round as u128 + 1, "owner", shape, false);
        let start = Instant::now();
        let actions = step(
            &board,
            Strategy::Guarded,
            vec![Event::Submitted(Arc::clone(&job))],
            now,
        );
        times.push(start.elapsed());
        let stopped: Vec<Event> = actions
            .iter()
            .filter_map(|action| match action {
                Action::Stop { gang, .. } => Some(Event::Ended {
                    gang: gang.id,
                    end: GangEnd::Stopped,
                }),
                _ => None,
            })
            .collect();
        assert!(!stopped.is_empty(), "no borrower was stopped");
        let actions = step(&board, Strategy::Guarded, stopped, now);
        let placed = |action: &Action| matches!(action, Action::Reserve(g) if g.job == job.id);
        assert!(
            actions.iter().any(placed),
            "the job of the guarantee was not placed"
        );
        let cancel = vec![Event::Cancelled(job.id)];
        let actions = step(&board, Strategy::Guarded, cancel, now);
        confirm(&board, &actions, now);
    }
    median_and_p99(times)
}

/// Measures the cancellation of queued jobs in one batch.
fn cancel(jobs: usize) -> (Duration, Duration) {
    let now = Instant::now();
    let shape = gang(8, 1, 1, Adjacency::Worker);
    let mut times = Vec::new();
    for _ in 0..20 {
        let board = board(64, &[], now);
        fill(&board, 64, now);
        let submit = (1..=jobs as u128)
            .map(|id| Event::Submitted(request(id, "plot", shape, false)))
            .collect();
        step(&board, Strategy::Guarded, submit, now);
        let cancellations = (1..=jobs as u128)
            .map(|id| Event::Cancelled(id << 32))
            .collect();
        let start = Instant::now();
        let actions = step(&board, Strategy::Guarded, cancellations, now);
        times.push(start.elapsed());
        assert_eq!(actions.len(), jobs, "not every job was refused once");
    }
    median_and_p99(times)
}

/// Measures a tick with a queue of many different shapes that do not fit.
fn tick(jobs: usize) -> (Duration, Duration) {
    let now = Instant::now();
    let board = board(64, &[], now);
    fill(&board, 64, now);
    let shape = |id: u128| {
        gang(
            8 + u32::try_from(id % 100).unwrap_or(0),
            1,
            1,
            Adjacency::Any,
        )
    };
    let submit = (1..=jobs as u128)
        .map(|id| Event::Submitted(request(id, "plot", shape(id), false)))
        .collect();
    step(&board, Strategy::Guarded, submit, now);
    let mut times = Vec::new();
    for _ in 0..ROUNDS {
        let start = Instant::now();
        step(&board, Strategy::Guarded, vec![Event::Tick], now);
        times.push(start.elapsed());
    }
    median_and_p99(times)
}

/// Measures a configuration change that gives 65 client accounts guarantees on a full fleet.
///
/// The number of guarantees per account is rounded down from half of the accelerators: none on 64 workers, 1 on 512
/// (25% of the accelerators) and 13 on 3,600 (47%). The exponents between these sizes therefore do not compare equal
/// loads.
fn configure(workers: usize) -> (Duration, Duration) {
    let now = Instant::now();
    let board = board(workers, &[], now);
    fill(&board, workers, now);
    let accelerators = workers * ACCELERATORS_PER_WORKER as usize;
    let guarantees_per_account =
        accelerators / 2 / CONFIGURED_ACCOUNTS / CONFIGURED_GUARANTEE_ACCELERATORS as usize;
    let mut times = Vec::new();
    for round in 0..20 {
        board.config.update(|config| {
            for number in 0..CONFIGURED_ACCOUNTS {
                // Another number of cores than in the previous round makes the guarantees differ from the old ones.
                let shape = gang(
                    CONFIGURED_GUARANTEE_ACCELERATORS,
                    1,
                    1 + round % 2,
                    Adjacency::DataCentre,
                );
                let account = Account {
                    guarantees: vec![shape; guarantees_per_account],
                    ..Account::default()
                };
                let id = format!("team{number}").into();
                config.document.accounts.insert(id, account);
            }
        });
        let start = Instant::now();
        step(&board, Strategy::Guarded, vec![Event::ConfigChanged], now);
        times.push(start.elapsed());
    }
    median_and_p99(times)
}

/// Measures a case at several sizes and prints one line for each, from the second on with the exponent of the median.
fn report<T: std::fmt::Display + Copy>(
    name: &str,
    sizes: &[T],
    scale: fn(T) -> f64,
    measure: impl Fn(T) -> (Duration, Duration),
) {
    let mut previous: Option<(f64, f64)> = None;
    for size in sizes {
        let (median, p99) = measure(*size);
        let (x, y) = (scale(*size).ln(), median.as_secs_f64().ln());
        let slope = previous.map_or(String::new(), |(x0, y0)| {
            format!(" exponent={:.2}", (y - y0) / (x - x0))
        });
        println!("case={name} size={size} median={median:?} p99={p99:?}{slope}");
        previous = Some((x, y));
    }
}

#[expect(clippy::cast_precision_loss, reason = "sizes are small")]
fn as_f64(size: usize) -> f64 {
    size as f64
}

fn main() {
    let small = gang(8, 1, 1, Adjacency::DataCentre);
    let large = gang(128, 1, 1, Adjacency::DataCentre);
    report("place_8_idle", &SIZES, as_f64, |n| place(n, small, false));
    report("place_8_half_full", &SIZES, as_f64, |n| {
        place(n, small, true)
    });
    report("place_128_idle", &SIZES, as_f64, |n| place(n, large, false));
    report("place_128_half_full", &SIZES, as_f64, |n| {
        place(n, large, true)
    });
    report("reclaim_8", &SIZES, as_f64, |n| reclaim(n, small));
    report("reclaim_128", &SIZES, as_f64, |n| reclaim(n, large));
    report("configure", &SIZES, as_f64, configure);
    report(
        "tick",
        &[MAX_QUEUED_JOBS / 4, MAX_QUEUED_JOBS / 2, MAX_QUEUED_JOBS],
        as_f64,
        tick,
    );
    report(
        "cancel",
        &[MAX_QUEUED_JOBS / 4, MAX_QUEUED_JOBS / 2, MAX_QUEUED_JOBS],
        as_f64,
        cancel,
    );
}
