//! The processes that ask a relay for sections.

use std::time::{Duration, Instant};

use indexmap::IndexMap;
use membership::revisions::{PeerId, Revisions, StagedSections};
use model::{EntryId, Revision, SectionName};
use tokio::sync::watch;
use tokio::time::timeout;

use crate::peers::POLL_WAIT;

/// How long a relay waits for its followers before it applies a section; part of the 4 s within which a change is in
/// force everywhere.
const STAGING_LIMIT: Duration = Duration::from_millis(500);
/// How often a relay waits while no follower answers at all.
const STAGING_ROUNDS: u32 = 3;
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
        for (name, revision) in risen {
            revisions.hold(name, *revision);
        }
        for _ in 0..STAGING_ROUNDS {
            let staged = self.stage_once(revision, revisions).await;
            if staged.apply(revisions).is_ok() {
                return;
            }
            log::warn!(target: "limpethook", revision = revision; "config_followers_silent");
        }
        // A change must be in force within 4 s, also while no follower answers.
        for (name, revision) in risen {
            revisions.admit(name, *revision);
        }
    }

    /// Waits until each follower holds the sections or the time limit passes.
    async fn stage_once(&self, revision: Revision, revisions: &Revisions) -> StagedSections {
        let mut changes = self.known.subscribe();
        let peers = self.recent(timer::now());
        let mut staged = StagedSections::new(revisions, peers.iter().cloned());
        let held = changes.wait_for(|known| {
            peers
                .iter()
                .all(|peer| known.get(peer).is_none_or(|f| f.holds >= revision))
        });
        let _ = timeout(STAGING_LIMIT, held).await;
        let known = self.known.borrow();
        for peer in &peers {
            if known.get(peer).is_some_and(|f| f.holds >= revision) {
                staged.record_held(peer);
            } else {
                staged.record_unreachable(peer);
            }
        }
        staged
    }

    fn recent(&self, now: Instant) -> Vec<PeerId> {
        let known = self.known.borrow();
        let recent = known
            .iter()
            .filter(|(_, f)| now.saturating_duration_since(f.heard) < FOLLOWER_TERM);
        recent.map(|(id, _)| id.clone()).collect()
    }
}
