//! Operator configuration as applied by the entries.

use std::time::Duration;

use indexmap::IndexMap;
use ingress::decide::RequestLimits;
use model::{AccountId, QueueId, QueuePolicy};
use serde::{Deserialize, Serialize};

/// Route from client requests to a queue.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Queue that the route leads to.
    pub queue: QueueId,
    /// Host named by the requests.
    pub host: Box<str>,
    /// Path prefix of the requests.
    pub prefix: Box<str>,
    /// Scheduling policy of the queue.
    pub policy: QueuePolicy,
    /// Whether requests without a token are allowed.
    pub anonymous: bool,
    /// Maximum duration of a request.
    pub timeout: Duration,
}

/// A client account with its tokens and its guarantee.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AccountTokens {
    /// Id of the client account.
    pub account: AccountId,
    /// Tokens that authenticate its callers.
    pub tokens: Vec<Box<str>>,
    /// Number of accelerators guaranteed to its jobs of the highest priority.
    pub guaranteed: u32,
}

/// One version of the configuration.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Configuration {
    /// Version number; a newer configuration has a higher one.
    pub version: u64,
    /// Routes to the queues.
    pub routes: Vec<Route>,
    /// Client accounts with access to the queues.
    pub accounts: Vec<AccountTokens>,
    /// Maximum size of a request body in bytes.
    pub max_body_bytes: usize,
    /// Limits on the head of a request and on the times of a connection.
    pub request_limits: RequestLimits,
}

impl Configuration {
    /// Returns the route with the longest prefix that matches a path on a host.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        self.routes
            .iter()
            .filter(|route| *route.host == *host && path.starts_with(&*route.prefix))
            .max_by_key(|route| route.prefix.len())
    }

    /// Returns the client account that a token belongs to.
    pub fn account(&self, token: &str) -> Option<&AccountTokens> {
        let has_token = |account: &&AccountTokens| account.tokens.iter().any(|own| **own == *token);
        self.accounts.iter().find(has_token)
    }

    /// Returns the policies by queue.
    pub(crate) fn policies(&self) -> IndexMap<QueueId, QueuePolicy> {
        let routes = self.routes.iter();
        routes
            .map(|route| (route.queue.clone(), route.policy.clone()))
            .collect()
    }

    /// Returns the number of guaranteed accelerators by client account.
    pub(crate) fn guarantees(&self) -> IndexMap<AccountId, u32> {
        let accounts = self.accounts.iter();
        accounts
            .map(|account| (account.account.clone(), account.guaranteed))
            .collect()
    }
}
