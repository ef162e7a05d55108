//! The report of a replay as text and JSON.

use std::fmt::Write;
use std::time::Duration;

use serde::Serialize;

/// A violated expected outcome, bound or invariant.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Fault {
    /// The line number in the trace; 0 if no single line is the cause.
    pub line: usize,
    /// Virtual time in milliseconds.
    pub at_ms: u64,
    /// A description of the fault.
    pub message: Box<str>,
}

impl Fault {
    pub(crate) fn new(line: usize, at: Duration, message: &str) -> Self {
        Self {
            line,
            at_ms: u64::try_from(at.as_millis()).unwrap_or(u64::MAX),
            message: message.into(),
        }
    }
}

/// Mean, 95th percentile and maximum of a set of values.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Summary {
    /// The number of values.
    pub count: usize,
    /// The mean.
    pub mean: f64,
    /// The 95th percentile.
    pub p95: f64,
    /// The maximum.
    pub max: f64,
}

impl Summary {
    pub(crate) fn from_values(mut values: Vec<f64>) -> Self {
        if values.is_empty() {
            return Self::default();
        }
        values.sort_by(f64::total_cmp);
        let count = values.len();
        #[expect(
            clippy::cast_precision_loss,
            reason = "a trace has far fewer jobs than 2^52"
        )]
        let mean = values.iter().sum::<f64>() / count as f64;
        Self {
            count,
            mean,
            p95: values[(count * 95).div_ceil(100) - 1],
            max: values[count - 1],
        }
    }
}

/// The result of one job.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct JobReport {
    /// The number of the job in the trace.
    pub job: u64,
    /// The number of the trace line that submitted it.
    pub line: usize,
    /// Seconds from submission to the first start; `None` if it never started.
    pub wait: Option<f64>,
    /// Seconds from submission to outcome.
    pub completion: f64,
    /// Completion over true run time, which counts as at least 10 s.
    pub slowdown: f64,
    /// The number of gang starts of the job.
    pub starts: u32,
    /// The outcome.
    pub outcome: Box<str>,
}

/// The result of one policy.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct PolicyReport {
    /// The name of the policy.
    pub policy: Box<str>,
    /// The number of answered jobs.
    pub answered: usize,
    /// The number of refused jobs.
    pub refused: usize,
    /// The number of refused jobs that were not cancelled, fit on the idle fleet and end well.
    pub good_refused: usize,
    /// Seconds from submission to answer.
    pub completion: Summary,
    /// Completion over true run time, which counts as at least 10 s.
    pub slowdown: Summary,
    /// Mean completion in seconds over the jobs that every policy of the report answered.
    pub common_completion: f64,
    /// Mean slowdown over the jobs that every policy of the report answered.
    pub common_slowdown: f64,
    /// Share of free accelerator time that cannot be used by the largest guaranteed or queued shape.
    pub fragmentation: f64,
    /// Accelerators of each job in the largest class.
    pub largest_class: u32,
    /// Seconds from submission to first start or refusal, for jobs of the largest class.
    pub largest_wait: Summary,
    /// Seconds from submission to first start, for covered jobs that waited while other work was stopped.
    pub reclaim: Summary,
    /// Seconds from submission to first start, for all covered jobs.
    pub covered_wait: Summary,
    /// Decisions after which the guarantees could not be reclaimed.
    pub guarantee_violations: Vec<Fault>,
    /// Seconds during which the guarantees could not be reclaimed, including after losses of workers.
    pub unreclaimable: f64,
    /// Number of guarantee checks that reached their step limit without a result.
    pub undecided_checks: u32,
    /// Share of accelerator time that was reserved.
    pub utilisation: f64,
    /// Weighted score relative to the first policy; lower is better.
    pub score: f64,
    /// Violated expected outcomes, bounds and invariants.
    pub faults: Vec<Fault>,
    /// The jobs in the order in which they got their outcomes.
    pub jobs: Vec<JobReport>,
}

/// A comparison of several policies on one trace.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Report {
    /// The trace file.
    pub file: Box<str>,
    /// The name of the deployment.
    pub deployment: Box<str>,
    /// The seed, if the trace is generated.
    pub seed: Option<u64>,
    /// The number of jobs in the trace.
    pub jobs: usize,
    /// The results by policy, in the order of the arguments.
    pub policies: Vec<PolicyReport>,
}

type Column = fn(&PolicyReport) -> String;

const ROWS: [(&str, Column); 22] = [
    ("answered", |p| p.answered.to_string()),
    ("refused", |p| p.refused.to_string()),
    ("good jobs refused", |p| p.good_refused.to_string()),
    ("completion mean (s)", |p| number(p.completion.mean)),
    ("completion p95 (s)", |p| number(p.completion.p95)),
    ("slowdown mean", |p| number(p.slowdown.mean)),
    ("slowdown p95", |p| number(p.slowdown.p95)),
    ("common completion (s)", |p| number(p.common_completion)),
    ("common slowdown", |p| number(p.common_slowdown)),
    ("fragmentation", |p| share(p.fragmentation)),
    ("longest wait, largest (s)", |p| number(p.largest_wait.max)),
    ("largest class (acc/jobs)", |p| {
        format!("{}/{}", p.largest_class, p.largest_wait.count)
    }),
    ("reclaims", |p| p.reclaim.count.to_string()),
    ("reclaim mean (s)", |p| number(p.reclaim.mean)),
    ("reclaim p95 (s)", |p| number(p.reclaim.p95)),
    ("reclaim max (s)", |p| number(p.reclaim.max)),
    ("covered wait mean (s)", |p| number(p.covered_wait.mean)),
    ("guarantee violations", |p| {
        p.guarantee_violations.len().to_string()
    }),
    ("unreclaimable (s)", |p| number(p.unreclaimable)),
    ("undecided checks", |p| p.undecided_checks.to_string()),
    ("utilisation", |p| share(p.utilisation)),
    ("score", |p| share(p.score)),
];

impl Report {
    /// Returns whether all expected outcomes, bounds and invariants held.
    pub fn passed(&self) -> bool {
        self.policies.iter().all(|policy| policy.faults.is_empty())
    }

    /// Returns the report as JSON.
    pub fn to_json(&self) -> String {
        json(self)
    }

    /// Returns the report as a table with one column for each policy, followed by a list of the faults.
    pub fn to_text(&self) -> String {
        let mut text = format!("{} ({}, {} jobs", self.file, self.deployment, self.jobs);
        if let Some(seed) = self.seed {
            let _ = write!(text, ", seed {seed}");
        }
        text.push_str(")\n");
        self.write_row(&mut text, "policy", |policy| policy.policy.to_string());
        for (name, column) in ROWS {
            self.write_row(&mut text, name, column);
        }
        for policy in &self.policies {
            for fault in &policy.faults {
                let (file, line, at) = (&self.file, fault.line, fault.at_ms);
                let (name, message) = (&policy.policy, &fault.message);
                let _ = writeln!(text, "{file}:{line}: {name}: at {at} ms: {message}");
            }
        }
        text
    }

    fn write_row(&self, text: &mut String, name: &str, column: Column) {
        let _ = write!(text, "{name:<26}");
        for policy in &self.policies {
            let _ = write!(text, "{:>12}", column(policy));
        }
        text.push('\n');
    }
}

fn json(report: &Report) -> String {
    serde_json::to_string_pretty(report).expect("report types have string keys only")
}

fn number(value: f64) -> String {
    format!("{value:.2}")
}

fn share(value: f64) -> String {
    format!("{value:.4}")
}
