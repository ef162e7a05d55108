//! Tests of admission control and retry budgets.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use board::{Board, ConfigSnapshot};
use errors::{ErrorKind, Verdict};
use model::{Account, AccountLimits, Document};
use policy::limits::{Admission, admit, apply_limits, in_flight};
use policy::retry::{may_retry, retry_delay};

const SECOND: Duration = Duration::from_secs(1);

fn set_limits(board: &Board, limits: Option<AccountLimits>, now: Instant) {
    let account = |limits| Account {
        limits,
        ..Account::default()
    };
    let accounts = limits.map(|limits| ("faro".into(), account(limits)));
    let document = Document {
        accounts: accounts.into_iter().collect(),
        ..Document::default()
    };
    board.config.publish(ConfigSnapshot {
        document,
        ..ConfigSnapshot::default()
    });
    apply_limits(board, now);
}

fn limits(requests: u32, bytes: u64, retry_percent: u32) -> AccountLimits {
    AccountLimits {
        requests,
        bytes,
        retry_percent,
    }
}

fn usage(board: &Board) -> (u64, u64) {
    in_flight(&board.limits.load().accounts["faro"].usage)
}

/// Guards against a refusal that leaves the caller unsure whether the request ran or when to retry.
#[test]
fn admit_refuses_as_not_run() {
    let (board, now) = (Board::default(), Instant::now());
    set_limits(&board, Some(limits(2, 100, 20)), now);
    let held = admit(&board.limits.load(), "faro", 60, now).unwrap();
    let refusal = |account: &str, bytes| {
        let report = admit(&board.limits.load(), account, bytes, now).unwrap_err();
        let error = report.current_context();
        assert_eq!(error.verdict, Verdict::NotRun);
        (error.kind, error.retry_after)
    };
    assert_eq!(refusal("faro", 41), (ErrorKind::Overloaded, Some(SECOND)));
    assert_eq!(refusal("faro", 101), (ErrorKind::TooLarge, None));
    assert_eq!(refusal("prisma", 1), (ErrorKind::NotFound, None));
    drop(held);
    assert!(admit(&board.limits.load(), "faro", 41, now).is_ok());
}

/// Guards against counters that drift from the admitted requests, including across configuration changes.
#[test]
fn admit_counts_admitted_requests() {
    arbtest::arbtest(|u| {
        let (board, now) = (Board::default(), Instant::now());
        let (mut requests, mut bytes) = (4, 100);
        set_limits(&board, Some(limits(requests, bytes, 20)), now);
        let mut held: Vec<(Admission, u64)> = Vec::new();
        while !u.is_empty() {
            let total: u64 = held.iter().map(|(_, bytes)| bytes).sum();
            let size = u.int_in_range(1..=60)?;
            let fits = total + size <= bytes;
            match u.int_in_range(0..=5)? {
                0 | 1 => {
                    let admission = admit(&board.limits.load(), "faro", size, now);
                    assert_eq!(admission.is_ok(), fits && held.len() < requests as usize);
                    held.extend(admission.ok().map(|admission| (admission, size)));
                }
                2 if !held.is_empty() => {
                    held.swap_remove(u.choose_index(held.len())?);
                }
                3 if !held.is_empty() => {
                    // A growing body is checked against the limits under which its request was admitted.
                    let last = held.last_mut().unwrap();
                    let fits = total + size <= last.0.quota().limits.bytes;
                    let extended = last.0.extend(size);
                    assert_eq!(extended.is_ok(), fits);
                    last.1 += if fits { size } else { 0 };
                }
                _ => {
                    (requests, bytes) = (u.int_in_range(1..=6)?, u.int_in_range(60..=200)?);
                    set_limits(&board, None, now);
                    set_limits(&board, Some(limits(requests, bytes, 20)), now);
                }
            }
            let total: u64 = held.iter().map(|(_, bytes)| bytes).sum();
            assert_eq!(usage(&board), (held.len() as u64, total));
        }
        held.clear();
        assert_eq!(usage(&board), (0, 0));
        Ok(())
    });
}

/// Guards against threads that together exceed the limit or leak a request.
#[test]
fn admit_enforces_limit_across_threads() {
    let (board, now) = (Board::default(), Instant::now());
    set_limits(&board, Some(limits(3, 1000, 20)), now);
    let (held, highest) = (AtomicU64::new(0), AtomicU64::new(0));
    std::thread::scope(|scope| {
        for _ in 0..8 {
            scope.spawn(|| {
                for _ in 0..2000 {
                    let Ok(_admission) = admit(&board.limits.load(), "faro", 7, now) else {
                        continue;
                    };
                    let count = held.fetch_add(1, Ordering::SeqCst) + 1;
                    highest.fetch_max(count, Ordering::SeqCst);
                    held.fetch_sub(1, Ordering::SeqCst);
                }
            });
        }
    });
    assert!(highest.into_inner() <= 3);
    assert_eq!(usage(&board), (0, 0));
}

/// Guards against a second run of a request that may have run and must not run twice.
#[test]
fn may_retry_follows_verdict() {
    let (board, now) = (Board::default(), Instant::now());
    set_limits(&board, Some(limits(9, 9, 20)), now);
    let limits = board.limits.load();
    let allowed = |verdict, idempotent, remaining| {
        may_retry(
            verdict,
            idempotent,
            &limits.accounts["faro"],
            remaining,
            now,
        )
    };
    assert!(allowed(Verdict::NotRun, false, SECOND));
    assert!(allowed(Verdict::MayHaveRun, true, SECOND));
    assert!(!allowed(Verdict::MayHaveRun, false, SECOND));
    assert!(!allowed(Verdict::Ran, true, SECOND));
    assert!(!allowed(Verdict::NotRun, true, Duration::ZERO));
}

/// Guards against retries that multiply the load of an overloaded service.
#[test]
fn may_retry_stays_within_share() {
    arbtest::arbtest(|u| {
        let (board, mut now) = (Board::default(), Instant::now());
        let percent = u.int_in_range(0..=50)?;
        set_limits(&board, Some(limits(9, 9, percent)), now);
        let mut log: Vec<(u64, bool)> = Vec::new();
        let mut second = 0;
        while !u.is_empty() {
            let skip = u.int_in_range(0..=40)? / 38 * 4;
            second += skip;
            now += SECOND * u32::try_from(skip).unwrap();
            let limits = board.limits.load();
            if u.ratio(2, 3)? {
                drop(admit(&limits, "faro", 1, now).unwrap());
                log.push((second, false));
            }
            let recent = log.iter().filter(|(at, _)| second - at < 10);
            let (retries, requests): (Vec<&(u64, bool)>, Vec<_>) =
                recent.partition(|(_, retry)| *retry);
            let share = (requests.len() * percent as usize / 100).max(3);
            let expected = percent > 0 && retries.len() < share;
            let granted = may_retry(
                Verdict::NotRun,
                false,
                &limits.accounts["faro"],
                SECOND,
                now,
            );
            assert_eq!(granted, expected);
            log.extend(granted.then_some((second, true)));
        }
        Ok(())
    });
}

/// Guards against a retry that starts after the deadline, and against callers that all retry at the same time.
#[test]
fn retry_delay_stays_below_deadline() {
    arbtest::arbtest(|u| {
        let mut rng = fastrand::Rng::with_seed(u.arbitrary()?);
        let (retry, remaining) = (
            u.arbitrary()?,
            Duration::from_millis(u.int_in_range(0..=3000)?),
        );
        let delay = retry_delay(retry, remaining, &mut rng);
        assert!(delay.is_none_or(|delay| delay < remaining && delay <= SECOND));
        assert!(delay.is_some() || remaining <= SECOND);
        Ok(())
    });
    let mut rng = fastrand::Rng::with_seed(1);
    let first: Vec<_> = (0..3).map(|_| retry_delay(5, SECOND, &mut rng)).collect();
    assert_ne!(first[0], first[1]);
    let mut again = fastrand::Rng::with_seed(1);
    assert_eq!(first[0], retry_delay(5, SECOND, &mut again));
}
