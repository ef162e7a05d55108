//! Tests of the life cycle, the encoding and the limits of job records, and of detached attempts.

use std::time::{Duration, Instant, SystemTime};

use bytes::Bytes;
use common::{accepted, run};
use errors::{Error, ErrorKind, Verdict};
use jobs::{
    Answered, AttemptStatus, CHUNK_BYTES, DetachedAttempts, FailureOutcome, JobRecord,
    MAX_ATTEMPTS, MAX_BODY_BYTES, chunk_count, chunks, decode_record, encode_record,
    parse_public_id, public_id, verify_answer,
};

mod common;

fn answered(body: &[u8]) -> Answered {
    Answered {
        attempt: 1,
        status: 200,
        content_type: "text/plain".into(),
        length: body.len() as u64,
        digest: *blake3::hash(body).as_bytes(),
        chunks: chunk_count(body.len()),
        ended_at: SystemTime::now(),
    }
}

fn error(verdict: Verdict) -> Error {
    Error::new(verdict, ErrorKind::Failed, "x").retry_after(Duration::from_secs(1))
}

/// Guards against states that a later owner cannot decode, and against bodies that are kept after the job has ended.
#[test]
fn decode_returns_each_encoded_state() {
    let now = SystemTime::now();
    let running = accepted(1, true, "body").start(run(1));
    let states: [JobRecord; 5] = [
        accepted(1, true, "body").into(),
        running.clone().into(),
        running.clone().cancel().into(),
        running.clone().answer(answered(b"a")).into(),
        running
            .cancel()
            .refuse(error(Verdict::MayHaveRun), now)
            .into(),
    ];
    for (n, state) in states.into_iter().enumerate() {
        let decoded = decode_record(&encode_record(&state).unwrap()).unwrap();
        assert_eq!(decoded, state);
        assert_eq!(
            decoded.header().body.is_empty(),
            n >= 3,
            "{}",
            state.state_name()
        );
    }
}

/// Guards against decoding a truncated record or a record of another version.
#[test]
fn decode_rejects_invalid_records() {
    let whole = encode_record(&accepted(1, true, "body").into()).unwrap();
    let mut other_version = whole.to_vec();
    other_version[0] = 200;
    for invalid in [&other_version[..], &whole[..whole.len() - 1], b""] {
        let report = decode_record(invalid).unwrap_err();
        assert_eq!(report.current_context().kind, ErrorKind::Corrupt);
    }
}

/// Guards against records that exceed the value limit of the store.
#[test]
fn encode_fits_one_value_with_largest_body() {
    let job = accepted(1, true, vec![0xff; MAX_BODY_BYTES]).start(run(1));
    let length = encode_record(&job.into()).unwrap().len();
    assert!(length < store::MAX_VALUE_BYTES, "{length}");
}

/// Guards against retries that the verdict forbids, and against an unlimited number of retries.
#[test]
fn fail_respects_verdict_and_attempt_limit() {
    let cases = [
        (Verdict::NotRun, false, 1, true),
        (Verdict::NotRun, false, MAX_ATTEMPTS, false),
        (Verdict::MayHaveRun, true, 1, true),
        (Verdict::MayHaveRun, false, 1, false),
        (Verdict::MayHaveRun, true, MAX_ATTEMPTS, false),
        (Verdict::Ran, true, 1, false),
    ];
    for (verdict, idempotent, attempt, retried) in cases {
        let job = accepted(1, idempotent, "b").start(run(attempt));
        let next = job.fail(error(verdict), SystemTime::now());
        match next {
            FailureOutcome::Retry(job) => assert!(retried && job.state.attempts == attempt),
            FailureOutcome::End(job) => {
                assert!(!retried, "{verdict} {idempotent} {attempt}");
                assert_eq!(job.state.error.verdict, verdict);
                assert_eq!(job.state.error.retry_after, None);
            }
        }
    }
}

/// Guards against a cancelled job with the error kind of its stopped attempt, which would suggest a retry.
#[test]
fn refuse_reports_cancellation_and_keeps_verdict() {
    let job = accepted(1, true, "b").start(run(1)).cancel();
    let error = error(Verdict::MayHaveRun);
    let refused = job.refuse(error, SystemTime::now()).state.error;
    let expected = (ErrorKind::Cancelled, Verdict::MayHaveRun);
    assert_eq!((refused.kind, refused.verdict), expected);
}

/// Guards against a retry after the deadline.
#[test]
fn fail_ends_job_after_deadline() {
    let job = accepted(1, true, "b").start(run(1));
    let late = SystemTime::now() + Duration::from_secs(61);
    let next = job.fail(error(Verdict::NotRun), late);
    assert!(matches!(next, FailureOutcome::End(_)));
}

/// Guards against truncated or reordered answers.
#[test]
fn check_answer_rejects_damaged_body() {
    let numbers = (0u32..).flat_map(u32::to_le_bytes);
    let body: Bytes = numbers.take(2 * CHUNK_BYTES + 5).collect();
    let answered = answered(&body);
    let whole: Vec<Bytes> = chunks(&body).collect();
    assert_eq!((whole.len(), answered.chunks), (3, 3));
    assert_eq!(
        verify_answer(&answered, whole.concat().into()).unwrap(),
        body
    );
    let swapped = [whole[1].clone(), whole[0].clone(), whole[2].clone()];
    for damaged in [&whole[..2], &swapped[..]] {
        let report = verify_answer(&answered, damaged.concat().into()).unwrap_err();
        assert_eq!(report.current_context().verdict, Verdict::Ran);
    }
}

/// Guards against ids that would lead to the keys of other records in the store.
#[test]
fn parse_public_id_rejects_malformed_ids() {
    let id = public_id("caribe.1", 255);
    assert_eq!(parse_public_id(&id), Some(("caribe.1".into(), 255)));
    let hex = "0".repeat(32);
    for malformed in [
        "",
        "caribe",
        &hex,
        &format!(".{hex}"),
        &format!("a/b.{hex}"),
        "caribe.ff",
        &format!("c.{}", "F".repeat(32)),
    ] {
        assert_eq!(parse_public_id(malformed), None, "{malformed}");
    }
}

/// Guards against unbounded memory use at an agent, and against evicted attempts that appear never to have run.
#[test]
fn expire_evicts_outcomes_by_size_and_age() {
    let start = Instant::now();
    let hour = Duration::from_hours(1);
    let mut attempts = DetachedAttempts::new(100, hour);
    for id in 1..=3 {
        assert!(attempts.start(id, 1));
        assert!(!attempts.start(id, 1), "an attempt must not start twice");
        attempts.end((id, 1), id, 60, start);
    }
    assert_eq!(attempts.get(1, 1), Some(&AttemptStatus::Evicted));
    assert_eq!(attempts.get(3, 1), Some(&AttemptStatus::Ended(3)));
    assert!(
        !attempts.start(1, 1),
        "an evicted attempt must not start again"
    );
    attempts.evict(start + hour);
    assert_eq!(attempts.get(3, 1), Some(&AttemptStatus::Evicted));
    attempts.evict(start + 2 * hour);
    assert_eq!(attempts.get(3, 1), None);
}
