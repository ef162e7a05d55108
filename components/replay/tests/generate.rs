//! Tests of generated traces and of the committed traces.

use std::path::{Path, PathBuf};

use placement::Strategy;
use replay::{Deployment, Options, Scale, Trace, generate, run};

const POLICIES: [Strategy; 3] = [Strategy::FirstFit, Strategy::Backfill, Strategy::Guarded];
const DEPLOYMENTS: [Deployment; 2] = [Deployment::Guild, Deployment::Plotshare];

fn committed(deployment: Deployment) -> PathBuf {
    let file = format!("../../traces/{}.jsonl", deployment.as_str());
    Path::new(env!("CARGO_MANIFEST_DIR")).join(file)
}

/// Guards against committed traces that differ from what the generator writes for the seed in their header.
#[test]
fn generate_equals_committed_traces() {
    for deployment in DEPLOYMENTS {
        let trace = Trace::load(&committed(deployment)).expect("well-formed");
        let seed = trace.header.seed.expect("the header states the seed");
        let again = generate(deployment, seed, &Scale::default());
        assert_eq!(again.to_text(), trace.to_text());
        assert!(trace.lines.len() <= 1_500);
        assert!(trace.to_text().len() <= 400 * 1_024);
    }
}

/// Guards against state shared between replays, and against decisions that depend on the clock or on hash order.
#[test]
fn run_same_trace_twice() {
    let trace = Trace::load(&committed(Deployment::Guild)).expect("well-formed");
    let first = run(&trace, &POLICIES, &Options::default());
    let second = run(&trace, &POLICIES, &Options::default());
    assert_eq!(first.to_json(), second.to_json());
}

/// Guards against outcomes that differ from those that every correct scheduler reaches.
#[test]
fn run_committed_traces_meet_stated_outcomes() {
    let traces =
        DEPLOYMENTS.map(|deployment| Trace::load(&committed(deployment)).expect("well-formed"));
    std::thread::scope(|scope| {
        for trace in &traces {
            for policy in POLICIES {
                scope.spawn(move || assert_stated_outcomes(trace, policy));
            }
        }
    });
}

fn assert_stated_outcomes(trace: &Trace, policy: Strategy) {
    let report = run(trace, &[policy], &Options::default());
    let policy = &report.policies[0];
    let concerns_outcome =
        |message: &str| message.contains("expected") || message.contains("outcome");
    let failed: Vec<_> = policy
        .faults
        .iter()
        .filter(|fault| concerns_outcome(&fault.message))
        .collect();
    assert!(failed.is_empty(), "{}: {failed:?}", policy.policy);
    if &*policy.policy == "guarded" {
        assert!(policy.guarantee_violations.is_empty());
    }
}

/// Guards against a generator that cannot reach the target size of 3,600 workers.
#[test]
fn generate_target_scale() {
    let scale = Scale {
        tens_of_workers: 360,
        jobs: 200,
        ..Scale::default()
    };
    let trace = generate(Deployment::Guild, 1, &scale);
    assert_eq!(trace.header.workers.len(), 3_600);
    Trace::parse("target.jsonl", &trace.to_text()).expect("well-formed");
}
