//! Decides which configuration is in force, and whether it is known to be the newest.
//!
//! A document is newer than another one if the store wrote it later, whatever version an operator gave it. A confirmation at
//! a time says that no document newer than a revision existed then. Applying an event takes the later revision and the later
//! confirmation, so that the order in which events of several sources arrive makes no difference.

use std::sync::Arc;
use std::time::Duration;

use model::Revision;

use crate::configuration::Configuration;

/// Not known to have been the newest recently.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Unconfirmed {
    /// Last confirmation, on the boot clock.
    last: Option<Duration>,
}

/// Known to have been the newest recently.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Confirmed {
    /// Last confirmation, on the boot clock.
    at: Duration,
}

/// The newest known configuration.
#[derive(Debug, Clone)]
pub(crate) struct Known<S> {
    configuration: Arc<Configuration>,
    revision: Revision,
    state: S,
}

impl<S> Known<S> {
    fn with_state<T>(self, state: T) -> Known<T> {
        Known {
            configuration: self.configuration,
            revision: self.revision,
            state,
        }
    }

    fn with_newer(mut self, configuration: &Arc<Configuration>, revision: Revision) -> Self {
        if revision > self.revision {
            self.configuration = Arc::clone(configuration);
            self.revision = revision;
        }
        self
    }
}

impl Known<Unconfirmed> {
    fn confirm(self, at: Duration, now: Duration, bound: Duration) -> InForce {
        let at = self.state.last.map_or(at, |last| last.max(at));
        self.with_state(Confirmed { at }).expire(now, bound)
    }
}

impl Known<Confirmed> {
    fn confirm(mut self, at: Duration) -> Self {
        self.state.at = self.state.at.max(at);
        self
    }

    fn expire(self, now: Duration, bound: Duration) -> InForce {
        let at = self.state.at;
        if now.saturating_sub(at) > bound {
            InForce::Unconfirmed(self.with_state(Unconfirmed { last: Some(at) }))
        } else {
            InForce::Confirmed(self)
        }
    }
}

/// The configuration of an entry.
#[derive(Debug, Clone, Default)]
pub(crate) enum InForce {
    /// None was found since the process started.
    #[default]
    Unknown,
    /// It was never confirmed, or not for longer than a change may take to be applied.
    Unconfirmed(Known<Unconfirmed>),
    /// It was confirmed recently.
    Confirmed(Known<Confirmed>),
}

/// Evidence about the newest configuration.
#[derive(Debug, Clone)]
pub(crate) enum Event {
    /// A document exists.
    Found {
        configuration: Arc<Configuration>,
        revision: Revision,
    },
    /// No document newer than `revision` existed at `at`, on the boot clock.
    Confirmed { revision: Revision, at: Duration },
    /// Time has passed.
    Passed,
}

impl InForce {
    /// Returns the state after an event.
    pub(crate) fn after(self, event: &Event, now: Duration, bound: Duration) -> Self {
        match (self, event) {
            (
                Self::Unknown,
                Event::Found {
                    configuration,
                    revision,
                },
            ) => Self::Unconfirmed(Known {
                configuration: Arc::clone(configuration),
                revision: *revision,
                state: Unconfirmed { last: None },
            }),
            (Self::Unknown, _) => Self::Unknown,
            (
                Self::Unconfirmed(known),
                Event::Found {
                    configuration,
                    revision,
                },
            ) => Self::Unconfirmed(known.with_newer(configuration, *revision)),
            (Self::Unconfirmed(known), Event::Confirmed { revision, at })
                if *revision <= known.revision =>
            {
                known.confirm(*at, now, bound)
            }
            (Self::Unconfirmed(known), _) => Self::Unconfirmed(known),
            (
                Self::Confirmed(known),
                Event::Found {
                    configuration,
                    revision,
                },
            ) => known
                .with_newer(configuration, *revision)
                .expire(now, bound),
            (Self::Confirmed(known), Event::Confirmed { revision, at })
                if *revision <= known.revision =>
            {
                known.confirm(*at).expire(now, bound)
            }
            (Self::Confirmed(known), _) => known.expire(now, bound),
        }
    }

    /// Returns the configuration.
    pub(crate) fn configuration(&self) -> Option<&Arc<Configuration>> {
        match self {
            Self::Unknown => None,
            Self::Unconfirmed(known) => Some(&known.configuration),
            Self::Confirmed(known) => Some(&known.configuration),
        }
    }

    /// Returns the revision of the configuration, or 0 if there is none.
    pub(crate) fn revision(&self) -> Revision {
        match self {
            Self::Unknown => 0,
            Self::Unconfirmed(known) => known.revision,
            Self::Confirmed(known) => known.revision,
        }
    }

    /// Returns when the configuration was last confirmed to be the newest, on the boot clock.
    pub(crate) fn confirmed_at(&self) -> Option<Duration> {
        match self {
            Self::Unknown => None,
            Self::Unconfirmed(known) => known.state.last,
            Self::Confirmed(known) => Some(known.state.at),
        }
    }

    /// Returns how long ago the configuration was last confirmed.
    pub(crate) fn age(&self, now: Duration) -> Option<Duration> {
        self.confirmed_at().map(|at| now.saturating_sub(at))
    }

    /// Returns whether the configuration was confirmed within this time.
    pub(crate) fn is_confirmed_within(&self, limit: Duration, now: Duration) -> bool {
        self.age(now).is_some_and(|age| age <= limit)
    }
}
