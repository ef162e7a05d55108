//! Finding the owner of a cell through the key-value service or through peers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use errors::{Error, ErrorKind, Result};
use model::{CellId, Revision};
use store::KvStore;
use wire::{Call, OwnerRecord, Peers, Reply};

/// The prefix of the keys that name the owner of each cell.
pub const CELLS_PREFIX: &str = "cells/";

/// How long a peer may take to say which process owns a cell.
const PEER_TIMEOUT: Duration = Duration::from_millis(300);

/// Returns the key that names the owner of a cell.
pub fn cell_key(cell: &str) -> String {
    format!("{CELLS_PREFIX}{cell}")
}

/// Looks up owners, in the store first and then at the peers in the settings.
#[derive(Clone)]
pub struct Locator {
    store: Arc<dyn KvStore>,
    peers: Peers,
    seeds: Arc<[SocketAddr]>,
}

impl Locator {
    /// Creates a locator.
    pub fn new(store: Arc<dyn KvStore>, peers: Peers, seeds: &[SocketAddr]) -> Self {
        Self {
            store,
            peers,
            seeds: seeds.into(),
        }
    }

    /// Returns the last known owner of a cell; it may have lost the cell since.
    pub async fn owner(&self, cell: &CellId) -> Result<OwnerRecord> {
        match self.store.get(&cell_key(cell)).await {
            Ok(Some(entry)) => parse_owner(cell, &entry.value),
            Ok(None) => Err(no_owner(cell)),
            Err(report) => self.ask_peers(cell).await.ok_or(report),
        }
    }

    /// Returns the names of all cells, waiting up to `wait` for a change after a known revision.
    pub async fn cells(
        &self,
        known: Option<Revision>,
        wait: Duration,
    ) -> Result<(Vec<CellId>, Revision)> {
        if let Some(after) = known {
            self.store.watch(CELLS_PREFIX, after, wait).await?;
        }
        let listing = self.store.list(CELLS_PREFIX).await?;
        let names = listing
            .entries
            .iter()
            .filter_map(|entry| entry.key.strip_prefix(CELLS_PREFIX));
        Ok((names.map(Into::into).collect(), listing.revision))
    }

    async fn ask_peers(&self, cell: &CellId) -> Option<OwnerRecord> {
        let mut best: Option<OwnerRecord> = None;
        for seed in self.seeds.iter() {
            let question = Call::FindOwner(cell.clone());
            if let Ok(Reply::Owner(Some(record))) =
                self.peers.call(*seed, &question, PEER_TIMEOUT).await
                && best.as_ref().is_none_or(|best| best.epoch < record.epoch)
            {
                best = Some(record);
            }
        }
        best
    }
}

fn parse_owner(cell: &str, value: &[u8]) -> Result<OwnerRecord> {
    serde_json::from_slice(value).map_err(|e| {
        let message = format!("key {}: {e}", cell_key(cell));
        Error::not_run(ErrorKind::Internal, message).report()
    })
}

fn no_owner(cell: &str) -> error_stack::Report<Error> {
    Error::not_run(
        ErrorKind::Unavailable,
        format!("cell {cell} has no owner yet"),
    )
    .report()
}
