//! Data centres that an operator evacuates: their workers get no new tasks.
//!
//! An evacuation is a key in the store, one for each data centre, which the operator removes to take the evacuation back. The
//! check of the configuration reads these keys with it, so that they cost no call of their own.

use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use model::{DataCentreId, Revision};
use store::{Key, KvPair};

use crate::clock::boot_now;
use crate::configure::CHECK_TIMEOUT_PART;
use crate::entry::Entry;
use crate::settings::{EvacuationSettings, ORDER_VALIDITY};

/// Time from the decision of the owner to start a task until the last attempt of the agent has ended: an order is valid for
/// [`ORDER_VALIDITY`], and a call takes up to 0.45 s.
const START_TIME: Duration = ORDER_VALIDITY.saturating_add(Duration::from_millis(500));

/// What is known of the evacuations.
#[derive(Debug, Clone, Default)]
pub(crate) struct Evacuations {
    /// Revisions of the keys of the evacuated data centres.
    revisions: IndexMap<DataCentreId, Revision>,
    /// When the evacuations were last confirmed to be these, on the boot clock.
    confirmed_at: Option<Duration>,
}

impl Evacuations {
    /// Returns the evacuated data centres.
    fn data_centres(&self) -> IndexSet<DataCentreId> {
        self.revisions.keys().cloned().collect()
    }

    /// Returns whether the evacuations were confirmed after `since`, and recently enough for the tasks that are started now to
    /// begin within the bound of an evacuation that is not known yet.
    pub(crate) fn allow_starts(&self, since: Duration, bound: Duration, now: Duration) -> bool {
        let limit = bound.saturating_sub(START_TIME).max(bound / 4);
        self.confirmed_at
            .is_some_and(|at| at >= since && now <= at + limit)
    }

    /// Returns the state after a read that began at `asked_at` and found these keys among those of the settings.
    fn after_read(
        &self,
        settings: &EvacuationSettings,
        found: &[KvPair],
        asked_at: Duration,
    ) -> Self {
        let revision = |data_centre: &DataCentreId| {
            let key = settings.key(data_centre);
            let found = found.iter().find(|found| found.key == key)?;
            Some((data_centre.clone(), found.revision))
        };
        Self {
            revisions: settings.data_centres.iter().filter_map(revision).collect(),
            confirmed_at: self.confirmed_at.max(Some(asked_at)),
        }
    }

    fn after_confirmation(&self, asked_at: Duration) -> Self {
        Self {
            confirmed_at: self.confirmed_at.max(Some(asked_at)),
            ..self.clone()
        }
    }
}

/// Timeout of a check where there are evacuations. The owner keeps its lease beside a store that takes almost as long, and then
/// may start tasks only if it can read the evacuations as well.
const CHECK_TIMEOUT: Duration = Duration::from_secs(1);

impl Entry {
    /// Returns the time in which a change of the configuration or of the evacuations has to be known.
    pub(crate) fn check_bound(&self) -> Duration {
        let evacuations = self.settings.evacuations.as_ref();
        let bound = evacuations.map(|settings| settings.bound);
        let configuration = self.settings.configuration_bound;
        bound.map_or(configuration, |bound| bound.min(configuration))
    }

    /// Returns the timeout of a check of the configuration and the evacuations.
    pub(crate) fn check_timeout(&self) -> Duration {
        let usual = self.settings.configuration_bound / CHECK_TIMEOUT_PART;
        if self.settings.evacuations.is_some() {
            usual.max(CHECK_TIMEOUT)
        } else {
            usual
        }
    }

    /// Returns the keys of the evacuations with their known revisions; none if the deployment has no evacuations.
    pub(crate) fn evacuation_keys(&self) -> Vec<(Key, Revision)> {
        let Some(settings) = &self.settings.evacuations else {
            return Vec::new();
        };
        let known = self.board.evacuations.load();
        let with_revision = |data_centre: &DataCentreId| {
            let revision = known.revisions.get(data_centre).copied();
            (settings.key(data_centre), revision.unwrap_or(0))
        };
        settings.data_centres.iter().map(with_revision).collect()
    }

    /// Records that the keys had the known revisions at some time after `asked_at`.
    pub(crate) fn confirm_evacuations(&self, asked_at: Duration) {
        if self.settings.evacuations.is_some() {
            let confirmed = self.board.evacuations.load().after_confirmation(asked_at);
            self.board.evacuations.publish(confirmed);
        }
    }

    /// Records the existing keys among those that were read at some time after `asked_at`.
    pub(crate) fn record_evacuations(&self, found: &[KvPair], asked_at: Duration) {
        let Some(settings) = &self.settings.evacuations else {
            return;
        };
        let before = self.board.evacuations.snapshot();
        let after = before.after_read(settings, found, asked_at);
        if after.revisions != before.revisions {
            log::warn!(
                target: "limpethook",
                data_centres:? = after.data_centres(), before:? = before.data_centres(),
                read_ms = boot_now().saturating_sub(asked_at).as_millis();
                "evacuations_changed"
            );
        }
        self.board.evacuations.publish(after);
    }

    /// Returns the evacuated data centres as far as they were confirmed after `since`; `None` if that has not happened yet, or if the
    /// deployment has no evacuations.
    pub(crate) fn evacuated_data_centres(&self, since: Duration) -> Option<IndexSet<DataCentreId>> {
        self.settings.evacuations.as_ref()?;
        let known = self.board.evacuations.load();
        let is_confirmed = known.confirmed_at.is_some_and(|at| at >= since);
        is_confirmed.then(|| known.data_centres())
    }

    /// Returns whether an owner that was elected at `since` knows the evacuations well enough to start tasks.
    pub(crate) fn evacuations_allow_starts(&self, since: Duration, now: Duration) -> bool {
        let Some(settings) = &self.settings.evacuations else {
            return true;
        };
        let known = self.board.evacuations.load();
        known.allow_starts(since, settings.bound, now)
    }
}
