//! The processes that ask a relay for sections.

use std::time::{Duration, Instant};

use indexmap::IndexMap;
use membership::revisions::{PeerId, Revisions, Staged};
use model::{EntryId, Revision, SectionName};
use tokio::sync::watch;
use tokio::time::timeout;

use crate::peers::POLL_WAIT;

/// How long a relay waits for its followers before it applies a section; part of the 4 s within which a change is in
/// force everywhere.
const STAGING_LIMIT: Duration = Duration::from_millis(500);
/// A follower that did not ask for this long has gone.
const FOLLOWER_TERM: Duration = POLL_WAIT.saturating_add(Duration::from_secs(1));

/// What each follower holds.
#[derive(Debug)]
pub struct Followers {
    known: watch::Sender<IndexMap<EntryId, Follower>>,
}

#[derive(Debug, Clone)]
struct Follower {
    holds: Revision,
    heard: Instant,
}

impl Default for Followers {
    fn default() -> Self {
        Self {
            known: watch::Sender::new(IndexMap::new()),
        }
    }
}

impl Followers {
    /// Records that a follower holds every section up to a revision.
    pub fn asked(&self, follower: EntryId, holds: Revision, now: Instant) {
        self.known.send_modify(|known| {
            known.retain(|_, f| now.saturating_duration_since(f.heard) < FOLLOWER_TERM);
            known.insert(follower, Follower { holds, heard: now });
        });
    }

    /// Waits until each follower holds the sections or the time limit passes, and admits them.
    ///
    /// VMs have no disks. A relay that applied a section which nobody else holds would fall back to the section before
    /// if it restarted during an outage of the store.
    pub(crate) async fn stage(
        &self,
        risen: &[(SectionName, Revision)],
        revision: Revision,
        revisions: &mut Revisions,
    ) {
        let mut changes = self.known.subscribe();
        let peers = self.recent(timer::now());
        let staged = risen
            .iter()
            .map(|(name, revision)| Staged::new(name, *revision, peers.iter().cloned()));
        let mut staged: Vec<Staged> = staged.collect();
        let held = changes.wait_for(|known| {
            peers
                .iter()
                .all(|peer| known.get(peer).is_none_or(|f| f.holds >= revision))
        });
        if timeout(STAGING_LIMIT, held).await.is_err() {
            log::warn!(target: "limpethook", revision = revision; "config_follower_silent");
        }
        for mut section in staged.drain(..) {
            for peer in &peers {
                section.settled(peer);
            }
            let _ = section.apply(revisions);
        }
    }

    fn recent(&self, now: Instant) -> Vec<PeerId> {
        let known = self.known.borrow();
        let recent = known
            .iter()
            .filter(|(_, f)| now.saturating_duration_since(f.heard) < FOLLOWER_TERM);
        recent.map(|(id, _)| id.clone()).collect()
    }
}
