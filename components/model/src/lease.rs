//! The life cycle of a lease: held, lapsed.

use std::time::{Duration, Instant};

use crate::ids::Epoch;

/// A right that ends by itself unless it is renewed.
#[derive(Debug, Clone)]
pub struct Lease<S> {
    /// The epoch under which the lease was granted.
    pub epoch: Epoch,
    /// What is known in this state.
    pub state: S,
}

/// The lease is valid until its expiry.
#[derive(Debug, Clone)]
pub struct Held {
    /// When the lease lapses by the holder's own clock.
    pub expires: Instant,
}

/// The lease passed its expiry and gives no right any more.
#[derive(Debug, Clone)]
pub struct Lapsed {
    /// When the lease lapsed.
    pub since: Instant,
}

impl Lease<Held> {
    /// Creates a lease that counts from the moment the grant was asked for.
    ///
    /// The granter starts its term later than that, so the holder's view always ends first.
    pub fn granted(epoch: Epoch, asked: Instant, term: Duration) -> Self {
        Self {
            epoch,
            state: Held {
                expires: asked + term,
            },
        }
    }

    /// Extends the lease from the moment the renewal was asked for.
    #[must_use]
    pub fn renewed(self, asked: Instant, term: Duration) -> Self {
        let expires = self.state.expires.max(asked + term);
        Self {
            epoch: self.epoch,
            state: Held { expires },
        }
    }

    /// Returns the lease if it is still valid, or the lapsed lease.
    pub fn check(self, now: Instant) -> Result<Self, Lease<Lapsed>> {
        if now < self.state.expires {
            return Ok(self);
        }
        Err(Lease {
            epoch: self.epoch,
            state: Lapsed {
                since: self.state.expires,
            },
        })
    }
}
