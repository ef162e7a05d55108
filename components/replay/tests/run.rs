//! Tests that replay small traces with known results.

use placement::Strategy;
use replay::{JobReport, Options, PolicyReport, Report, Trace, run};

const POLICIES: [Strategy; 3] = [Strategy::FirstFit, Strategy::Backfill, Strategy::Guarded];

/// Two workers of two accelerators in one rack and one endpoint.
const HEADER: &str = concat!(
    r#"{"version":1,"deployment":"tiny","workers":["#,
    r#"{"id":"w1","agent":"n1","place":{"region":"r","data_centre":"d","rack":"k"},"capacity":{"accelerators":2}},"#,
    r#"{"id":"w2","agent":"n2","place":{"region":"r","data_centre":"d","rack":"k"},"capacity":{"accelerators":2}}],"#,
    r#""endpoints":[{"id":"e","agent":"n1","service":"s","place":{"region":"r","data_centre":"d","rack":"k"},"slots":8}],"#,
    r#""document":{"accounts":{"a":{}},"services":{"s":{}}}}"#,
);

struct JobSpec {
    at_ms: u64,
    job: u64,
    tasks: u32,
    adjacency: &'static str,
    seconds: u64,
    behaviour: &'static str,
    expect: &'static str,
}

/// Returns an idempotent job that ends well and may have any outcome.
fn job_spec(at_ms: u64, job: u64, tasks: u32, adjacency: &'static str, seconds: u64) -> JobSpec {
    JobSpec {
        at_ms,
        job,
        tasks,
        adjacency,
        seconds,
        behaviour: r#""ends_well""#,
        expect: r#""either""#,
    }
}

fn submit(spec: &JobSpec) -> String {
    let ms = spec.seconds * 1_000;
    format!(
        r#"{{"at_ms":{},"event":{{"submit":{{"job":{},"account":"a","service":"s","shape":{{"tasks":{},"accelerators":1,"adjacency":"{}"}},"idempotent":true,"stoppable":false,"declared_ms":{ms},"true_ms":{ms},"behaviour":{},"expect":{}}}}}}}"#,
        spec.at_ms, spec.job, spec.tasks, spec.adjacency, spec.behaviour, spec.expect
    )
}

fn replay(header: &str, lines: &[String], policies: &[Strategy]) -> Report {
    let text = format!("{header}\n{}", lines.join("\n"));
    let trace = Trace::parse("t.jsonl", &text).expect("well-formed");
    run(&trace, policies, &Options::default())
}

fn job_report(policy: &PolicyReport, number: u64) -> &JobReport {
    let found = policy.jobs.iter().find(|job| job.job == number);
    found.expect("the job has an outcome")
}

#[track_caller]
fn assert_completion(policy: &PolicyReport, number: u64, seconds: f64) {
    let completion = job_report(policy, number).completion;
    assert!(
        (completion - seconds).abs() < 1e-6,
        "job {number} completed after {completion} s, expected {seconds} s"
    );
}

/// Job 1 uses one worker, job 2 needs both workers, and job 3 fits next to job 1.
fn blocked_large_job() -> Vec<String> {
    [
        job_spec(0, 1, 2, "worker", 100),
        job_spec(1_000, 2, 4, "rack", 50),
        job_spec(2_000, 3, 2, "worker", 10),
    ]
    .iter()
    .map(submit)
    .collect()
}

/// Guards against wrong virtual times; each start follows its decision after the reservation delay of 30 ms.
#[test]
fn run_blocked_large_job_first_fit() {
    let report = replay(HEADER, &blocked_large_job(), &[Strategy::FirstFit]);
    assert!(report.passed(), "{}", report.to_text());
    let policy = &report.policies[0];
    assert_completion(policy, 1, 100.03);
    assert_completion(policy, 2, 149.06);
    assert_completion(policy, 3, 158.09);
    assert!((policy.completion.max - 158.09).abs() < 1e-6);
    assert!((policy.largest_wait.max - 99.06).abs() < 1e-6);
    assert_eq!(policy.largest_class, 4);
}

/// Guards against a replay in which a short job cannot overtake a blocked one under the policies that allow it.
#[test]
fn run_blocked_large_job_backfill_and_guarded() {
    let policies = [Strategy::Backfill, Strategy::Guarded];
    let report = replay(HEADER, &blocked_large_job(), &policies);
    assert!(report.passed(), "{}", report.to_text());
    for policy in &report.policies {
        assert_completion(policy, 1, 100.03);
        assert_completion(policy, 2, 149.06);
        assert_completion(policy, 3, 10.03);
        let slowdown = (1.0003 + 149.06 / 50.0 + 1.003) / 3.0;
        assert!((policy.slowdown.mean - slowdown).abs() < 1e-6);
    }
}

/// Guards against wrong integrals: one of two workers is busy for 10 of 20 s, and no window fits the queued gang of four.
#[test]
fn run_measures_share_of_time() {
    let lines = [
        job_spec(0, 1, 2, "worker", 10),
        job_spec(0, 2, 4, "rack", 1),
        job_spec(20_000, 3, 1, "any", 1),
    ];
    let lines: Vec<String> = lines.iter().map(submit).collect();
    let report = replay(HEADER, &lines, &[Strategy::FirstFit]);
    let policy = &report.policies[0];
    // Job 1 holds two accelerators for 10.03 s and job 2 holds four for 1.03 s.
    let busy = 2.0 * 10.03 + 4.0 * 1.03;
    assert!((policy.utilisation - busy / 80.0).abs() < 1e-9);
    // Two accelerators are free but unusable while job 2 waits. Later, no shape is queued or guaranteed.
    let fragmentation = 2.0 * 10.03 / (80.0 - busy);
    assert!((policy.fragmentation - fragmentation).abs() < 1e-9);
}

/// Guards against an expected outcome that is not compared, or a fault without the line of the job.
#[test]
fn run_failed_expectation_names_line() {
    let good = job_spec(0, 1, 1, "any", 1);
    let bad = JobSpec {
        behaviour: r#""fails_always""#,
        expect: r#""answered""#,
        ..job_spec(10, 2, 1, "any", 60)
    };
    let infeasible = JobSpec {
        expect: r#"{"refused":{"verdict":"not_run","kind":"infeasible"}}"#,
        ..job_spec(20, 3, 5, "any", 1)
    };
    let lines = [submit(&good), submit(&bad), submit(&infeasible)];
    let report = replay(HEADER, &lines, &POLICIES);
    assert!(!report.passed());
    for policy in &report.policies {
        assert_eq!(policy.faults.len(), 1, "{:?}", policy.faults);
        assert_eq!(policy.faults[0].line, 3);
    }
    assert!(report.to_text().contains("t.jsonl:3: first-fit: at "));
}

/// Guards against a bound that is not checked, or a fault that does not refer to the header line.
#[test]
fn run_failed_bound_names_header() {
    let header = HEADER.replace(
        r#","document""#,
        r#","bounds":{"ends_by_ms":500},"document""#,
    );
    let report = replay(&header, &[submit(&job_spec(0, 1, 1, "any", 1))], &POLICIES);
    assert_eq!(report.policies[0].faults[0].line, 1);
}

/// Guards against a check that misses uninterruptible work of other accounts on guaranteed capacity.
#[test]
fn run_counts_guarantee_violation() {
    let guarantee =
        r#""a":{"guarantees":[{"tasks":4,"accelerators":1,"adjacency":"rack"}]},"b":{}"#;
    let header = HEADER.replace(r#""a":{}"#, guarantee);
    let idempotent =
        submit(&job_spec(0, 1, 2, "worker", 10)).replace(r#""account":"a""#, r#""account":"b""#);
    let uninterruptible = idempotent.replace(r#""idempotent":true"#, r#""idempotent":false"#);
    let own = uninterruptible.replace(r#""account":"b""#, r#""account":"a""#);
    for (line, violations) in [(idempotent, 0), (uninterruptible, 1), (own, 0)] {
        let report = replay(&header, &[line], &[Strategy::Backfill]);
        assert_eq!(report.policies[0].guarantee_violations.len(), violations);
    }
}

/// Guards against a false violation when the work of an account uses its own guarantee on two workers.
#[test]
fn run_counts_own_work_as_use_of_guarantee() {
    let guarantee = r#""a":{"guarantees":[{"tasks":2,"accelerators":2,"adjacency":"rack"}]}"#;
    let header = HEADER.replace(r#""a":{}"#, guarantee);
    let filler = submit(&job_spec(0, 1, 1, "worker", 10));
    let own = |job| {
        submit(&job_spec(0, job, 1, "worker", 10))
            .replace(r#""idempotent":true"#, r#""idempotent":false"#)
    };
    let report = replay(&header, &[filler, own(2), own(3)], &[Strategy::Backfill]);
    assert!(report.policies[0].guarantee_violations.is_empty());
}

/// Guards against a false violation because the check tries only some of the possible packings.
#[test]
fn run_packs_guarantees_around_fixed_work() {
    let guarantee = |level| {
        format!(r#"{{"guarantees":[{{"tasks":2,"accelerators":2,"adjacency":"{level}"}}]}}"#)
    };
    let accounts = format!(
        r#""a":{{}},"b":{},"c":{}"#,
        guarantee("data_centre"),
        guarantee("rack")
    );
    let more = [(3, "l"), (4, "l"), (5, "m")].map(|(number, rack)| {
        format!(
            r#"{{"id":"w{number}","agent":"n{number}","place":{{"region":"r","data_centre":"d","rack":"{rack}"}},"capacity":{{"accelerators":2}}}}"#
        )
    });
    let header = HEADER.replace(r#""a":{}"#, &accounts).replace(
        r#"],"endpoints""#,
        &format!(r#",{}],"endpoints""#, more.join(",")),
    );
    let uninterruptible = submit(&job_spec(0, 1, 1, "worker", 10))
        .replace(r#""idempotent":true"#, r#""idempotent":false"#);
    let report = replay(&header, &[uninterruptible], &[Strategy::Backfill]);
    assert!(report.policies[0].guarantee_violations.is_empty());
}

/// Guards against a job that continues after the loss of its worker, or is not restarted on another one.
#[test]
fn run_worker_lost_restarts_idempotent_job() {
    let lines = [
        submit(&job_spec(0, 1, 2, "worker", 100)),
        r#"{"at_ms":50000,"event":{"worker_lost":{"worker":"w1"}}}"#.into(),
    ];
    let report = replay(HEADER, &lines, &POLICIES);
    for policy in &report.policies {
        assert_eq!(job_report(policy, 1).starts, 2);
        assert_eq!(&*job_report(policy, 1).outcome, "answered");
        // The gang ends 2 s after the loss, and the restarted job runs for the full 100 s.
        assert!(job_report(policy, 1).completion >= 152.03);
    }
}

/// Guards against a cancelled job that continues to run or is restarted.
#[test]
fn run_cancel_ends_running_job() {
    let lines = [
        submit(&JobSpec {
            expect: r#"{"refused":{"verdict":"may_have_run","kind":"cancelled"}}"#,
            ..job_spec(0, 1, 2, "worker", 100)
        }),
        r#"{"at_ms":50000,"event":{"cancel":{"job":1}}}"#.into(),
    ];
    let report = replay(HEADER, &lines, &POLICIES);
    assert!(report.passed(), "{}", report.to_text());
    for policy in &report.policies {
        // The stop takes 500 ms.
        assert_completion(policy, 1, 50.5);
        assert_eq!(job_report(policy, 1).starts, 1);
    }
}
