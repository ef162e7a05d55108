//! The external advisor, which approves the workers of steps on some queues.

use std::time::Duration;

use async_trait::async_trait;
use errors::Result;
use graph::ApprovalRequest;

/// The workers that may run a step.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Approved {
    /// Names of workers, each with the ticket that its starts carry.
    pub tickets: Vec<(Box<str>, Box<str>)>,
    /// How long the tickets are valid.
    pub validity: Duration,
}

/// The external advisor.
#[async_trait]
pub trait Advisor: Send + Sync {
    /// Asks which workers may run a step.
    async fn advise(&self, question: &ApprovalRequest) -> Result<Approved>;
}
