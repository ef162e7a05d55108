//! Changes of the configuration: routes, tokens, limits and policies, also in quick succession.

use std::time::{Duration, Instant};

use fastrand::Rng;
use platform_standin::{Configuration, Operator, RoutePolicy};

/// Queues of the jobs of the soak, which are in all versions.
const JOB_QUEUES: [(&str, u32); 2] = [("urgent", 0), ("batch", 1)];
/// Largest step from one version to the next.
const MAX_VERSION_STEP: u64 = 50;
/// Number of routes that a large document has in addition.
const LARGE_DOCUMENT_ROUTES: std::ops::Range<u64> = 200..600;
/// Maximum number of changes in quick succession.
const MAX_SUCCESSION: usize = 6;

/// Changes of a seed.
pub(super) struct ConfigurationChanges {
    rng: Rng,
    /// Number of routes and tokens so far; no name is used again.
    names: u64,
    /// Changes left of a quick succession.
    succession: usize,
    pub(super) next_at: Instant,
}

impl ConfigurationChanges {
    pub(super) fn new(seed: u64) -> Self {
        Self {
            rng: Rng::with_seed(seed ^ 0xc0f1),
            names: 0,
            succession: 0,
            next_at: Instant::now(),
        }
    }

    /// Publishes the next version if it is time.
    pub(super) fn advance(&mut self, operator: &Operator) {
        if Instant::now() < self.next_at {
            return;
        }
        let mut configuration = operator.latest();
        configuration.version += self.rng.u64(1..=MAX_VERSION_STEP);
        self.change(&mut configuration);
        operator.publish(configuration);
        if self.succession == 0 && self.rng.u8(..4) == 0 {
            self.succession = self.rng.usize(1..MAX_SUCCESSION);
        }
        let delay_ms = if self.succession > 0 {
            self.succession -= 1;
            self.rng.u64(..60)
        } else {
            self.rng.u64(150..1_500)
        };
        self.next_at = Instant::now() + Duration::from_millis(delay_ms);
    }

    fn change(&mut self, configuration: &mut Configuration) {
        match self.rng.u8(..10) {
            0 | 1 => self.add_routes(configuration, 1),
            2 | 3 => self.remove_routes(configuration),
            4 => self.add_token(configuration),
            5 => self.withdraw_token(configuration),
            6 => {
                let count = self.rng.u64(LARGE_DOCUMENT_ROUTES);
                self.add_routes(configuration, count);
            }
            7 => self.change_policies(configuration),
            _ => {
                self.add_routes(configuration, 1);
                self.add_token(configuration);
                self.remove_routes(configuration);
                self.withdraw_token(configuration);
            }
        }
    }

    fn next_name(&mut self, kind: &str) -> Box<str> {
        self.names += 1;
        format!("{kind}-{}", self.names).into()
    }

    fn add_routes(&mut self, configuration: &mut Configuration, count: u64) {
        for _ in 0..count {
            let policy = RoutePolicy::with_priority(self.rng.u32(..4));
            configuration.routes.insert(self.next_name("queue"), policy);
        }
    }

    /// Removes one route, or all added ones if they make the document large.
    fn remove_routes(&mut self, configuration: &mut Configuration) {
        let added = configuration.routes.len() - JOB_QUEUES.len();
        if added as u64 >= LARGE_DOCUMENT_ROUTES.start {
            configuration.routes.truncate(JOB_QUEUES.len());
        } else if added > 0 {
            let index = JOB_QUEUES.len() + self.rng.usize(..added);
            configuration.routes.shift_remove_index(index);
        }
    }

    fn add_token(&mut self, configuration: &mut Configuration) {
        configuration.tokens.insert(self.next_name("token"));
    }

    /// Withdraws a token; the first one belongs to the clients of the jobs.
    fn withdraw_token(&mut self, configuration: &mut Configuration) {
        if configuration.tokens.len() > 1 {
            let index = self.rng.usize(1..configuration.tokens.len());
            configuration.tokens.shift_remove_index(index);
        }
    }

    /// Changes limits and the policies of the queues of the jobs, under which no job fails sooner.
    fn change_policies(&mut self, configuration: &mut Configuration) {
        configuration.max_body_bytes = self.rng.u64(131_072..524_288);
        for (name, priority) in JOB_QUEUES {
            let mut policy = RoutePolicy::with_priority(priority);
            policy.timeout_ms = self.rng.u64(2_500..4_000);
            policy.max_attempts += self.rng.u32(..3);
            policy.priority += self.rng.u32(..2);
            configuration.routes.insert(name.into(), policy);
        }
    }
}
