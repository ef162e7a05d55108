//! Interface to the external advisor, which approves the workers that may run a step on some
//! queues.

use std::time::Duration;

use async_trait::async_trait;
use errors::Result;
use graph::ApprovalRequest;

/// The workers on which a step may run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Approval {
    /// Worker names, each with the ticket to send when a task starts there.
    pub tickets: Vec<(Box<str>, Box<str>)>,
    /// Validity period of the tickets.
    pub validity: Duration,
}

/// Client of the external advisor.
#[async_trait]
pub trait Advisor: Send + Sync {
    /// Asks which workers may run a step.
    async fn advise(&self, question: &ApprovalRequest) -> Result<Approval>;
}
