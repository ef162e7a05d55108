//! Followers of a relay: the entries that poll it for sections.

use std::time::{Duration, Instant};

use indexmap::IndexMap;
use membership::revisions::{PeerId, Revisions, StagedSections};
use model::{EntryId, Revision, SectionName};
use tokio::sync::watch;
use tokio::time::timeout;

use crate::peers::POLL_WAIT;

/// Timeout for the followers to receive an update before the relay applies it; part of the 4 s within which a change
/// must be applied everywhere.
const STAGING_TIMEOUT: Duration = Duration::from_millis(500);
/// Number of times that a relay waits for its followers while none of them responds.
const STAGING_ATTEMPTS: u32 = 3;
/// Time since its last poll after which a follower is removed: the wait of one poll and 1 s for the next to arrive.
const FOLLOWER_TIMEOUT: Duration = POLL_WAIT.saturating_add(Duration::from_secs(1));

/// The followers of a relay and the revision that each of them has received.
#[derive(Debug)]
pub struct Followers {
    by_id: watch::Sender<IndexMap<EntryId, Follower>>,
}

#[derive(Debug, Clone)]
struct Follower {
    revision: Revision,
    last_poll: Instant,
}

impl Default for Followers {
    fn default() -> Self {
        Self {
            by_id: watch::Sender::new(IndexMap::new()),
        }
    }
}

impl Followers {
    /// Records a poll of a follower that has received all sections up to a revision.
    pub fn record_poll(&self, follower: EntryId, revision: Revision, now: Instant) {
        self.by_id.send_modify(|by_id| {
            by_id.retain(|_, f| now.saturating_duration_since(f.last_poll) < FOLLOWER_TIMEOUT);
            by_id.insert(
                follower,
                Follower {
                    revision,
                    last_poll: now,
                },
            );
        });
    }

    /// Waits until the followers have received the updated sections, and admits them for use by the relay.
    ///
    /// VMs have no disks. If a relay applied a section that no other process has and then restarted during an outage of
    /// the store, it would revert to the previous version of the section.
    pub(crate) async fn stage(
        &self,
        updated: &[(SectionName, Revision)],
        revision: Revision,
        revisions: &mut Revisions,
    ) {
        for (name, revision) in updated {
            revisions.hold(name, *revision);
        }
        for _ in 0..STAGING_ATTEMPTS {
            let staged = self.try_stage(revision, revisions).await;
            if staged.apply(revisions).is_ok() {
                return;
            }
            log::warn!(target: "limpethook", revision = revision; "config_followers_silent");
        }
        // A change must be applied within 4 s even if no follower responds.
        for (name, revision) in updated {
            revisions.admit(name, *revision);
        }
    }

    /// Waits for `STAGING_TIMEOUT` and returns which followers have received the sections.
    async fn try_stage(&self, revision: Revision, revisions: &Revisions) -> StagedSections {
        let mut changes = self.by_id.subscribe();
        let peers = self.recent_followers(timer::now());
        let mut staged = StagedSections::new(revisions, peers.iter().cloned());
        let all_received = changes.wait_for(|by_id| {
            peers
                .iter()
                .all(|peer| by_id.get(peer).is_none_or(|f| f.revision >= revision))
        });
        let _ = timeout(STAGING_TIMEOUT, all_received).await;
        let by_id = self.by_id.borrow();
        for peer in &peers {
            if by_id.get(peer).is_some_and(|f| f.revision >= revision) {
                staged.record_held(peer);
            } else {
                staged.record_unreachable(peer);
            }
        }
        staged
    }

    fn recent_followers(&self, now: Instant) -> Vec<PeerId> {
        let by_id = self.by_id.borrow();
        let recent = by_id
            .iter()
            .filter(|(_, f)| now.saturating_duration_since(f.last_poll) < FOLLOWER_TIMEOUT);
        recent.map(|(id, _)| id.clone()).collect()
    }
}
