//! Decisions on the jobs that an owner accepts.

use ingress::decide::{Capacity, JobLoad, MAX_CLIENT_CALLS, admits_job, is_scarce, unasked_bytes};

const CAPACITY: usize = 16_000_000;
/// What a job of 65,536 tasks takes, the largest one.
const LARGEST_JOB: usize = 27_000_000;
const SMALL_JOB: usize = 5_000;

fn load(total: usize, of_account: usize) -> JobLoad {
    JobLoad { total, of_account }
}

/// Submits small jobs until one is refused, and returns what they take.
fn fill(of_others: usize) -> usize {
    let mut of_account = 0;
    while admits_job(
        CAPACITY,
        load(of_others + of_account, of_account),
        SMALL_JOB,
    ) {
        of_account += SMALL_JOB;
    }
    of_account
}

/// Guards against a client account that leaves no room for the jobs of others.
#[test]
fn admits_job_leaves_room_for_other_accounts() {
    let first = fill(0);
    assert!((CAPACITY * 2 / 5..=CAPACITY / 2).contains(&first));
    let second = fill(first);
    assert!(second >= CAPACITY / 5, "{second}");
    let third = fill(first + second);
    assert!(third >= CAPACITY / 10, "{third}");
}

/// Guards against jobs without a bound of many client accounts together.
#[test]
fn admits_job_bounds_many_accounts() {
    let mut total = 0;
    for _ in 0..100 {
        total += fill(total);
    }
    assert!(total <= CAPACITY + CAPACITY / 4 * 3, "{total}");
}

/// Guards against a limit that a single job within the documented limits meets in calm, and against a crowd of such jobs.
#[test]
fn admits_job_serves_single_largest_job() {
    assert!(admits_job(CAPACITY, load(0, 0), LARGEST_JOB));
    assert!(admits_job(CAPACITY, load(100 * SMALL_JOB, 0), LARGEST_JOB));
    let beside_one = load(LARGEST_JOB, 0);
    assert!(!admits_job(CAPACITY, beside_one, LARGEST_JOB));
    assert!(admits_job(CAPACITY, beside_one, SMALL_JOB));
}

/// Guards against entries that together store more without asking than the owner has room for.
#[test]
fn unasked_bytes_fit_beside_scarce_room() {
    for entries in [0, 1, 3, 35] {
        let together = unasked_bytes(CAPACITY, entries) * entries.max(1);
        assert!(!is_scarce(CAPACITY, together));
    }
    assert!(is_scarce(CAPACITY, CAPACITY / 2 + 1));
}

/// Guards against calls for clients that use up the descriptors which connections leave.
#[test]
fn of_machine_leaves_descriptors_for_client_calls() {
    let capacity = Capacity::of_machine(64 << 20, 450);
    assert!(capacity.connections + 2 * MAX_CLIENT_CALLS <= 450);
    let (callers, peers) = Capacity::of_native_entry(64 << 20, 450, 1_024);
    assert!(callers.connections + peers.connections <= 250);
    assert!(callers.bytes + peers.bytes <= (64 << 20) / 3);
    let (callers, _) = Capacity::of_native_entry(1 << 30, 4_100, 8);
    assert_eq!(callers.connections, 8);
}
