//! Claims of requests with an idempotency key.

use std::time::{Duration, Instant};

use errors::{ErrorKind, Result, Verdict};
use membership::key_claims::{
    ACCOUNT_CLAIM_LIMIT, CLAIM_RETENTION, Claims, Holder, Leave, Question,
};

const TIMEOUT: Duration = Duration::from_secs(10);

fn question(request: u128, agent: &str, leave: Option<Leave>) -> Question {
    Question {
        request,
        account: "faro".into(),
        content: 1,
        cell: None,
        holder: Some(Holder {
            agent: agent.into(),
            addr: ([127, 0, 0, 1], 1).into(),
            incarnation: 1,
            gang: None,
        }),
        timeout: TIMEOUT,
        leave,
    }
}

/// Guards against two agents with one request: only an attempt that surely does not run is left.
#[test]
fn claim_leaves_agent_only_when_safe() -> Result<()> {
    let now = Instant::now();
    let cases = [
        (None, false, "a"),
        (Some(Leave::Ended(1)), false, "b"),
        (Some(Leave::Ended(1)), true, "b"),
        (Some(Leave::Ended(0)), false, "a"),
        (Some(Leave::Unsent(1)), false, "b"),
        (Some(Leave::Unsent(1)), true, "a"),
        (Some(Leave::Cell), false, "a"),
    ];
    for (leave, shared, expected) in cases {
        let mut claims = Claims::default();
        assert!(claims.claim(question(7, "a", None), now)?.new);
        if shared {
            assert!(!claims.claim(question(7, "c", None), now)?.new);
        }
        let claimed = claims.claim(question(7, "b", leave), now)?;
        let holder = claimed.holder.map(|holder| holder.agent);
        assert_eq!(holder.as_deref(), Some(expected), "{leave:?} {shared}");
        assert_eq!(claimed.attempt, if expected == "b" { 2 } else { 1 });
    }
    Ok(())
}

/// Guards against a table that grows without bound or forgets a key before its retention.
#[test]
fn claim_is_bounded_in_number_and_time() -> Result<()> {
    let mut claims = Claims::default();
    let now = Instant::now();
    for request in 0..ACCOUNT_CLAIM_LIMIT as u128 {
        claims.claim(question(request, "a", None), now)?;
    }
    let refused = claims.claim(question(u128::MAX, "a", None), now);
    let refused = refused.map_err(|report| report.current_context().clone());
    let refused = refused.expect_err("the account is at its limit");
    assert_eq!(
        (refused.verdict, refused.kind),
        (Verdict::NotRun, ErrorKind::Overloaded)
    );
    let end = now + TIMEOUT + CLAIM_RETENTION;
    let before = now + TIMEOUT;
    assert!(!claims.claim(question(0, "b", None), before)?.new);
    assert!(claims.claim(question(0, "b", None), end)?.new);
    assert_eq!(claims.len(), 1);
    Ok(())
}
