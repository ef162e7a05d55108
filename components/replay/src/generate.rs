//! Generates a trace from a seed.

mod fleet;
mod jobs;
mod workload;

use crate::trace::{Bounds, Header, Trace};

/// One of the two deployments of the design page.
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
    /// Tens of workers; 360 gives the 3,600 workers of the target.
    pub tens_of_workers: u32,
    /// Number of jobs.
    pub jobs: u32,
    /// Hours between the first and the last submission.
    pub hours: u32,
    /// Accelerator time of the jobs as a share of what the fleet has in that time.
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

/// Generates a trace; the same arguments give the same trace.
pub fn generate(deployment: Deployment, seed: u64, scale: &Scale) -> Trace {
    let mut rng = fastrand::Rng::with_seed(seed);
    let workers = fleet::workers(deployment, scale.tens_of_workers);
    let lines = workload::lines(deployment, scale, &workers, &mut rng);
    let last = lines.last().map_or(0, |line| line.at_ms);
    Trace {
        file: format!("{}.jsonl", deployment.as_str()).into(),
        header: Header {
            version: 1,
            deployment: deployment.as_str().into(),
            seed: Some(seed),
            endpoints: fleet::endpoints(deployment, &workers),
            document: fleet::document(deployment, scale.tens_of_workers),
            workers,
            bounds: Some(Bounds {
                // Generous: running all jobs one after the other takes longer than any correct scheduler needs.
                ends_by_ms: Some(last * 4),
                ..Bounds::default()
            }),
        },
        lines,
    }
}
