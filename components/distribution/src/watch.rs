//! Reads and watches of the configuration in the store.

use std::sync::Arc;
use std::time::Duration;

use errors::Result;
use model::Revision;
use store::{Change, KvPair, KvStore, WatchOutcome};
use timer::Timer;
use wire::{Section, Sections};

use crate::controller::UpdateSender;

/// The key prefix of the sections.
pub const CONFIG_PREFIX: &str = "config/";

/// Time that one watch call waits for a change.
const WATCH_WAIT: Duration = Duration::from_secs(20);
/// Range of the random delay after a failed call, in milliseconds.
const RETRY_DELAY_MS: std::ops::Range<u64> = 200..600;

/// Reads all sections.
pub async fn read_store(store: &dyn KvStore) -> Result<Sections> {
    let listing = store.list(CONFIG_PREFIX).await?;
    let sections = listing.pairs.iter().filter_map(stored_section);
    let names = listing
        .pairs
        .iter()
        .filter_map(|pair| pair.key.strip_prefix(CONFIG_PREFIX));
    Ok(Sections {
        revision: listing.revision,
        present: Some(names.map(Into::into).collect()),
        sections: sections.collect(),
    })
}

/// Returns the changes after a revision without waiting, or all sections if the history was compacted since.
pub async fn read_changes(store: &dyn KvStore, after: Revision) -> Result<Sections> {
    match next_changes(store, after, Duration::ZERO).await? {
        Some(sections) => Ok(sections),
        None => read_store(store).await,
    }
}

/// Delivers all changes after a revision to the controller until it stops.
pub async fn watch_store(store: Arc<dyn KvStore>, timer: Timer, tx: UpdateSender, from: Revision) {
    let mut after = (from > 0).then_some(from);
    while !tx.is_closed() {
        let result = match after {
            None => read_store(&*store).await.map(Some),
            Some(revision) => next_changes(&*store, revision, WATCH_WAIT).await,
        };
        match result {
            Ok(Some(sections)) => {
                after = Some(sections.revision);
                tx.deliver(sections).await;
            }
            // The history was compacted, so all sections have to be read again.
            Ok(None) => after = None,
            Err(report) => {
                log::debug!(target: "limpethook", error:% = report.current_context(); "config_watch_failed");
                let delay = Duration::from_millis(fastrand::u64(RETRY_DELAY_MS));
                timer.subscribe_after(delay).recv().await;
            }
        }
    }
}

async fn next_changes(
    store: &dyn KvStore,
    after: Revision,
    wait: Duration,
) -> Result<Option<Sections>> {
    match store.watch(CONFIG_PREFIX, after, wait).await? {
        WatchOutcome::Compacted { .. } => Ok(None),
        WatchOutcome::Changes { changes, revision } => {
            let sections = changes.iter().filter_map(changed_section);
            Ok(Some(Sections {
                revision,
                sections: sections.collect(),
                present: None,
            }))
        }
    }
}

fn changed_section(change: &Change) -> Option<Section> {
    match change {
        Change::Put(pair) => stored_section(pair),
        Change::Deleted { key, revision } => {
            let name = key.strip_prefix(CONFIG_PREFIX)?;
            Some(Section {
                name: name.into(),
                revision: *revision,
                text: None,
            })
        }
    }
}

fn stored_section(pair: &KvPair) -> Option<Section> {
    let name = pair.key.strip_prefix(CONFIG_PREFIX)?;
    // A value that is not valid UTF-8 is not valid JSON either, so the section fails its validation.
    let text = String::from_utf8_lossy(&pair.value);
    Some(Section {
        name: name.into(),
        revision: pair.revision,
        text: Some(text.into()),
    })
}
