//! Announcements whose incarnation no poll has named. They may come from the next process of the worker, from an earlier one
//! or from another sender, so that they only ask for a poll.

use std::time::Duration;

use indexmap::IndexMap;
use model::Incarnation;

use crate::agent::Announcement;

/// Maximum number of incarnations whose announcements are kept; the worker repeats its own one each heartbeat.
const MAX_CANDIDATES: usize = 16;

/// The latest announcement of each incarnation that no poll has named, with its arrival time.
#[derive(Debug, Default)]
pub(crate) struct Candidates(IndexMap<Incarnation, (Announcement, Duration)>);

impl Candidates {
    /// Keeps an announcement unless a later one of its incarnation is known. The oldest one makes room.
    pub(crate) fn insert(&mut self, announcement: Announcement, now: Duration) {
        let known = self.0.get(&announcement.incarnation);
        if known.is_some_and(|(known, _)| known.sequence >= announcement.sequence) {
            return;
        }
        self.0.shift_remove(&announcement.incarnation);
        if self.0.len() >= MAX_CANDIDATES {
            self.0.shift_remove_index(0);
        }
        self.0.insert(announcement.incarnation, (announcement, now));
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Takes the announcement of the incarnation that answered a poll.
    pub(crate) fn take(&mut self, polled: Incarnation) -> Option<Announcement> {
        let (announcement, _) = self.0.shift_remove(&polled)?;
        Some(announcement)
    }

    /// Removes the announcements that had arrived when the answered poll was sent: none of their senders answered it.
    pub(crate) fn drop_contradicted(&mut self, requested_at: Duration, polled: Incarnation) {
        let before = self.0.len();
        let mut latest = None;
        self.0.retain(|incarnation, (announcement, received_at)| {
            let is_kept = *received_at > requested_at;
            if !is_kept {
                latest = Some((*incarnation, announcement.name.clone()));
            }
            is_kept
        });
        if let Some((incarnation, name)) = latest {
            log::warn!(
                target: "limpethook",
                worker:% = name, incarnation = incarnation, polled = polled, dropped = before - self.0.len();
                "announcement_dropped"
            );
        }
    }
}
