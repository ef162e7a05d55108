//! Tests of the claims of requests with an idempotency key.

use std::time::{Duration, Instant};

use errors::{ErrorKind, Result, Verdict};
use membership::key_claims::{
    ACCOUNT_CLAIM_LIMIT, CLAIM_RETENTION, ClaimRequest, ClaimTable, Holder, ReleaseReason,
    may_miss_claim,
};

const TIMEOUT: Duration = Duration::from_secs(10);

fn call(request: u128, agent: &str, release: Option<ReleaseReason>) -> ClaimRequest {
    ClaimRequest {
        request,
        account: "faro".into(),
        content_digest: 1,
        cell: None,
        holder: Some(Holder {
            agent: agent.into(),
            addr: ([127, 0, 0, 1], 1).into(),
            incarnation: 1,
            gang: None,
        }),
        timeout: TIMEOUT,
        release,
    }
}

/// Guards against a request that is assigned to two agents: an assignment is released only if its attempt never runs.
#[test]
fn claim_releases_holder_only_when_safe() -> Result<()> {
    let now = Instant::now();
    let cases = [
        (None, false, "a"),
        (Some(ReleaseReason::Ended(1)), false, "b"),
        (Some(ReleaseReason::Ended(1)), true, "b"),
        (Some(ReleaseReason::Ended(0)), false, "a"),
        (Some(ReleaseReason::Unsent(1)), false, "b"),
        (Some(ReleaseReason::Unsent(1)), true, "a"),
        (Some(ReleaseReason::Unplaceable), false, "a"),
    ];
    for (release, shared, expected) in cases {
        let mut claims = ClaimTable::default();
        assert!(claims.claim(call(7, "a", None), now)?.new);
        if shared {
            assert!(!claims.claim(call(7, "c", None), now)?.new);
        }
        let status = claims.claim(call(7, "b", release), now)?;
        let holder = status.holder.map(|holder| holder.agent);
        assert_eq!(holder.as_deref(), Some(expected), "{release:?} {shared}");
        assert_eq!(status.attempt, if expected == "b" { 2 } else { 1 });
    }
    Ok(())
}

/// Guards against a table that grows without bound or drops a key before the end of its retention.
#[test]
fn claim_is_bounded_in_number_and_time() -> Result<()> {
    let mut claims = ClaimTable::default();
    let now = Instant::now();
    for request in 0..ACCOUNT_CLAIM_LIMIT as u128 {
        claims.claim(call(request, "a", None), now)?;
    }
    let refused = claims.claim(call(u128::MAX, "a", None), now);
    let refused = refused.map_err(|report| report.current_context().clone());
    let refused = refused.expect_err("the account is at its limit");
    assert_eq!(
        (refused.verdict, refused.kind),
        (Verdict::NotRun, ErrorKind::Overloaded)
    );
    let end = now + TIMEOUT + CLAIM_RETENTION;
    let before = now + TIMEOUT;
    assert!(!claims.claim(call(0, "b", None), before)?.new);
    assert!(claims.claim(call(0, "b", None), end)?.new);
    assert_eq!(claims.len(), 1);
    Ok(())
}

/// Guards against a second run of a request of an hour whose caller submits the key again, with the time that is left, more
/// than 10 minutes after a change of the owner: the earlier owner would still have the claim.
#[test]
fn may_miss_claim_covers_running_request() {
    const HOUR: Duration = Duration::from_hours(1);
    let takeover = Instant::now();
    let mut claims = ClaimTable::default();
    let claimed = ClaimRequest {
        timeout: HOUR,
        ..call(7, "a", None)
    };
    let claimed = claims.claim(claimed, takeover).unwrap();
    for minutes in [0, 11, 30] {
        let now = takeover + Duration::from_mins(minutes);
        assert!(claims.claim(call(7, "b", None), now).is_ok_and(|c| !c.new));
        let left = takeover + HOUR - now;
        assert!(may_miss_claim(2, takeover, left, now), "{minutes} min");
        assert!(!may_miss_claim(1, takeover, left, now), "{minutes} min");
    }
    let end = takeover + claimed.retention;
    assert!(!may_miss_claim(2, takeover, HOUR, end));
}
