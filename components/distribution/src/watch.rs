//! Reading and watching the configuration in the store.

use std::sync::Arc;
use std::time::Duration;

use errors::Result;
use model::Revision;
use store::{Change, Entry, KvStore, Watched};
use timer::Timer;
use wire::{Section, Sections};

use crate::controller::Updates;

/// The prefix of the keys that hold the sections.
pub const CONFIG_PREFIX: &str = "config/";

/// How long one watch waits at the store.
const WATCH_WAIT: Duration = Duration::from_secs(20);
/// Bounds of the pause after a failed call, in milliseconds.
const RETRY_DELAY_MS: std::ops::Range<u64> = 200..600;

/// Reads all sections.
pub async fn read_store(store: &dyn KvStore) -> Result<Sections> {
    let listing = store.list(CONFIG_PREFIX).await?;
    let sections = listing.entries.iter().filter_map(section);
    Ok(Sections {
        revision: listing.revision,
        sections: sections.collect(),
    })
}

/// Passes every change in the store on, until the receiver is gone.
pub async fn watch_store(store: Arc<dyn KvStore>, timer: Timer, tx: Updates) {
    let mut after: Option<Revision> = None;
    while !tx.is_closed() {
        let result = match after {
            None => read_store(&*store).await.map(Some),
            Some(revision) => next_changes(&*store, revision).await,
        };
        match result {
            Ok(Some(sections)) => {
                after = Some(sections.revision);
                let _ = tx.send(sections).await;
            }
            // The history was compacted, so everything is read again.
            Ok(None) => after = None,
            Err(report) => {
                log::debug!(target: "limpethook", error:% = report.current_context(); "config_watch_failed");
                let delay = Duration::from_millis(fastrand::u64(RETRY_DELAY_MS));
                timer.subscribe_after(delay).recv().await;
            }
        }
    }
}

async fn next_changes(store: &dyn KvStore, after: Revision) -> Result<Option<Sections>> {
    match store.watch(CONFIG_PREFIX, after, WATCH_WAIT).await? {
        Watched::Compacted { .. } => Ok(None),
        Watched::Changes { changes, revision } => {
            let sections = changes.iter().filter_map(changed_section);
            Ok(Some(Sections {
                revision,
                sections: sections.collect(),
            }))
        }
    }
}

fn changed_section(change: &Change) -> Option<Section> {
    match change {
        Change::Put(entry) => section(entry),
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

fn section(entry: &Entry) -> Option<Section> {
    let name = entry.key.strip_prefix(CONFIG_PREFIX)?;
    let text = std::str::from_utf8(&entry.value).ok()?;
    Some(Section {
        name: name.into(),
        revision: entry.revision,
        text: Some(text.into()),
    })
}
