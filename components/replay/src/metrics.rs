//! Computes the metrics of a report from finished replays.

use std::time::Duration;

use errors::ErrorKind;
use indexmap::IndexMap;
use model::JobOutcome;
use placement::Strategy;

use crate::engine::FinishedReplay;
use crate::jobs::{ANSWERED, Closed, JobRecord, Jobs, describe_outcome};
use crate::report::{Fault, JobReport, PolicyReport, Report, Summary};
use crate::trace::{Behaviour, Trace, TraceEvent};

/// The minimum run time in the slowdown (bounded slowdown), so that short jobs do not dominate its mean.
const MIN_SLOWDOWN_RUN_TIME: Duration = Duration::from_secs(10);

/// Returns the report that compares the replays of several policies.
pub(crate) fn report(trace: &Trace, runs: Vec<FinishedReplay>) -> Report {
    let mut policies: Vec<PolicyReport> = runs
        .into_iter()
        .map(|run| policy_report(trace, run))
        .collect();
    set_common_means(&mut policies);
    set_scores(trace, &mut policies);
    let is_submit = |event: &TraceEvent| matches!(event, TraceEvent::Submit(_));
    Report {
        file: trace.file.clone(),
        deployment: trace.header.deployment.clone(),
        seed: trace.header.seed,
        jobs: trace
            .lines
            .iter()
            .filter(|line| is_submit(&line.event))
            .count(),
        policies,
    }
}

fn policy_report(trace: &Trace, run: FinishedReplay) -> PolicyReport {
    let jobs = &run.jobs;
    let answered: Vec<_> = jobs
        .closed
        .values()
        .filter(|job| is_answered(job))
        .collect();
    let good_refused = jobs.closed.values().filter(|job| is_good_refused(job));
    let (largest_class, largest_wait) = largest_wait(jobs);
    let mut report = PolicyReport {
        policy: policy_name(run.strategy).into(),
        answered: answered.len(),
        refused: jobs.closed.len() - answered.len(),
        good_refused: good_refused.count(),
        completion: Summary::from_values(answered.iter().map(|job| completion(job)).collect()),
        slowdown: Summary::from_values(answered.iter().map(|job| slowdown(job)).collect()),
        common_completion: 0.0,
        common_slowdown: 0.0,
        fragmentation: run.meter.fragmentation(),
        largest_class,
        largest_wait,
        reclaim: waits_to_start(jobs, |job| job.waited_for_reclaim),
        covered_wait: waits_to_start(jobs, |job| job.covered),
        unreclaimable: run.invariants.unreclaimable.as_secs_f64(),
        undecided_checks: run.invariants.undecided,
        utilisation: run.meter.utilisation(),
        score: 0.0,
        faults: Vec::new(),
        jobs: jobs.closed.values().map(job_report).collect(),
        guarantee_violations: run.invariants.violations,
    };
    report.faults = run.jobs.faults;
    report.faults.extend(run.invariants.faults);
    if run.strategy == Strategy::Guarded {
        let violations = report.guarantee_violations.iter().cloned();
        report.faults.extend(violations);
    }
    let end = run
        .jobs
        .closed
        .values()
        .map(|job| job.state.closed_at)
        .max();
    check_bounds(trace, &mut report, end.unwrap_or_default());
    report.faults.sort_by_key(|fault| (fault.at_ms, fault.line));
    report
}

fn job_report(job: &JobRecord<Closed>) -> JobReport {
    JobReport {
        job: job.submit.job,
        line: job.line,
        wait: job.first_start.map(|start| wait(job, start)),
        completion: completion(job),
        slowdown: slowdown(job),
        starts: job.starts,
        outcome: describe_outcome(&job.state.outcome).into(),
    }
}

fn policy_name(strategy: Strategy) -> &'static str {
    match strategy {
        Strategy::FirstFit => "first-fit",
        Strategy::Backfill => "backfill",
        Strategy::Guarded => "guarded",
    }
}

fn is_answered(job: &JobRecord<Closed>) -> bool {
    job.state.outcome == JobOutcome::Answered
}

fn is_good_refused(job: &JobRecord<Closed>) -> bool {
    let JobOutcome::Refused(error) = &job.state.outcome else {
        return false;
    };
    !job.cancelled
        && error.kind != ErrorKind::Infeasible
        && job.submit.behaviour == Behaviour::EndsWell
}

fn completion(job: &JobRecord<Closed>) -> f64 {
    job.state
        .closed_at
        .saturating_sub(job.submitted_at)
        .as_secs_f64()
}

fn slowdown(job: &JobRecord<Closed>) -> f64 {
    let run_time = job.submit.true_run_time().max(MIN_SLOWDOWN_RUN_TIME);
    completion(job) / run_time.as_secs_f64()
}

/// Returns the accelerators per job of the largest class, and the waits of its jobs until first start or refusal.
fn largest_wait(jobs: &Jobs) -> (u32, Summary) {
    let infeasible = |job: &JobRecord<Closed>| matches!(&job.state.outcome, JobOutcome::Refused(e) if e.kind == ErrorKind::Infeasible);
    let size = |job: &JobRecord<Closed>| job.submit.shape.total().accelerators;
    let counted: Vec<_> = jobs
        .closed
        .values()
        .filter(|job| !job.cancelled && !infeasible(job))
        .collect();
    let largest = counted.iter().map(|job| size(job)).max().unwrap_or(0);
    let waits = counted
        .iter()
        .filter(|job| size(job) == largest)
        .map(|job| wait(job, job.first_start.unwrap_or(job.state.closed_at)))
        .collect();
    (largest, Summary::from_values(waits))
}

fn wait(job: &JobRecord<Closed>, start: Duration) -> f64 {
    start.saturating_sub(job.submitted_at).as_secs_f64()
}

/// Returns the waits of the selected jobs that started.
fn waits_to_start(jobs: &Jobs, select: impl Fn(&JobRecord<Closed>) -> bool) -> Summary {
    let waits = jobs
        .closed
        .values()
        .filter(|job| select(job))
        .filter_map(|job| Some(wait(job, job.first_start?)));
    Summary::from_values(waits.collect())
}

fn check_bounds(trace: &Trace, report: &mut PolicyReport, end: Duration) {
    let Some(bounds) = &trace.header.bounds else {
        return;
    };
    let seconds = |ms: u64| Duration::from_millis(ms).as_secs_f64();
    let bounded = [
        (
            "ends_by_ms",
            bounds.ends_by_ms.map(seconds),
            end.as_secs_f64(),
        ),
        ("mean_slowdown", bounds.mean_slowdown, report.slowdown.mean),
        (
            "longest_wait_ms",
            bounds.longest_wait_ms.map(seconds),
            report.largest_wait.max,
        ),
    ];
    for (key, bound, value) in bounded {
        if let Some(bound) = bound.filter(|bound| value > *bound) {
            let message = format!("bound {key}: {value:.3} is more than {bound:.3}");
            report.faults.push(Fault::new(1, end, &message));
        }
    }
}

/// Sets the means over the jobs that every policy answered.
///
/// Otherwise a policy that does not answer the jobs with the longest waits would get better means than one that does.
fn set_common_means(policies: &mut [PolicyReport]) {
    let mut answer_counts: IndexMap<u64, usize> = IndexMap::new();
    let answered = |job: &&JobReport| &*job.outcome == ANSWERED;
    for policy in &*policies {
        for job in policy.jobs.iter().filter(answered) {
            *answer_counts.entry(job.job).or_default() += 1;
        }
    }
    let policy_count = policies.len();
    for policy in policies {
        let common = policy.jobs.iter().filter(answered);
        let common = common.filter(|job| answer_counts.get(&job.job) == Some(&policy_count));
        let (completion, slowdown) = common.map(|job| (job.completion, job.slowdown)).unzip();
        policy.common_completion = Summary::from_values(completion).mean;
        policy.common_slowdown = Summary::from_values(slowdown).mean;
    }
}

/// Sets the weighted sum of fragmentation and mean completion time, each relative to the first policy.
fn set_scores(trace: &Trace, policies: &mut [PolicyReport]) {
    let weights = &trace.header.document.policy;
    let Some(first) = policies.first() else {
        return;
    };
    let (fragmentation, completion) = (first.fragmentation, first.completion.mean);
    for policy in policies {
        policy.score = weights.fragmentation_weight * relative(policy.fragmentation, fragmentation)
            + weights.completion_weight * relative(policy.completion.mean, completion);
    }
}

fn relative(value: f64, baseline: f64) -> f64 {
    if baseline > 0.0 {
        value / baseline
    } else {
        value
    }
}
