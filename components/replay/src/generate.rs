//! Generates traces from a seed.

mod fleet;
mod jobs;
mod workload;

use crate::trace::{Bounds, Header, Trace};

/// A deployment from the design page.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Deployment {
    /// The Fresnel Lens Guild.
    Guild,
    /// Plotshare.
    Plotshare,
}

impl Deployment {
    /// Returns the name used in traces.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Guild => "guild",
            Self::Plotshare => "plotshare",
        }
    }
}

/// The size of a generated trace.
#[derive(Debug, Clone)]
pub struct Scale {
    /// Number of workers divided by ten; the target of 3,600 workers is 360.
    pub tens_of_workers: u32,
    /// Number of jobs.
    pub jobs: u32,
    /// Length of the submission period in hours.
    pub hours: u32,
    /// Accelerator time of the jobs as a share of the accelerator time of the fleet in that period.
    pub load: f64,
}

impl Default for Scale {
    fn default() -> Self {
        Self {
            tens_of_workers: 1,
            jobs: 900,
            hours: 5,
            load: 0.85,
        }
    }
}

/// Generates a trace; equal arguments give equal traces.
pub fn generate(deployment: Deployment, seed: u64, scale: &Scale) -> Trace {
    let mut rng = fastrand::Rng::with_seed(seed);
    let workers = fleet::generate_workers(deployment, scale.tens_of_workers);
    let lines = workload::generate_lines(deployment, scale, &workers, &mut rng);
    let last_ms = lines.last().map_or(0, |line| line.at_ms);
    Trace {
        file: format!("{}.jsonl", deployment.as_str()).into(),
        header: Header {
            version: 1,
            deployment: deployment.as_str().into(),
            seed: Some(seed),
            endpoints: fleet::generate_endpoints(deployment, &workers),
            document: fleet::generate_document(deployment, scale.tens_of_workers),
            workers,
            bounds: Some(Bounds {
                // A generous limit: any correct scheduler needs less time than running the jobs one after another.
                ends_by_ms: Some(last_ms * 4),
                ..Bounds::default()
            }),
        },
        lines,
    }
}
