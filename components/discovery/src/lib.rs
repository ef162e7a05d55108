//! Discovery of the owner of a cell through the key-value service or through peers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use errors::{Error, ErrorKind, Result};
use model::{CellId, Revision};
use store::KvStore;
use wire::{Call, OwnerRecord, Peers, Reply};

/// The key prefix of the owner records.
pub const CELLS_PREFIX: &str = "cells/";

/// Timeout for asking a peer for the owner of a cell.
const PEER_TIMEOUT: Duration = Duration::from_millis(300);

/// Returns the key of the owner record of a cell.
pub fn cell_key(cell: &str) -> String {
    format!("{CELLS_PREFIX}{cell}")
}

/// Looks up owners in the store or, if the store does not respond, by asking the peers in the settings.
#[derive(Clone)]
pub struct Locator {
    store: Arc<dyn KvStore>,
    peers: Peers,
    seeds: Arc<[SocketAddr]>,
}

impl Locator {
    /// Creates a locator; `seeds` are the peers to ask.
    pub fn new(store: Arc<dyn KvStore>, peers: Peers, seeds: &[SocketAddr]) -> Self {
        Self {
            store,
            peers,
            seeds: seeds.into(),
        }
    }

    /// Returns the last known owner of a cell, which may no longer own it.
    pub async fn owner(&self, cell: &CellId) -> Result<OwnerRecord> {
        match self.store.get(&cell_key(cell)).await {
            Ok(Some(pair)) => parse_owner(cell, &pair.value),
            Ok(None) => Err(no_owner_error(cell)),
            Err(report) => self.ask_peers(cell).await.ok_or(report),
        }
    }

    /// Returns the names of all cells and the revision of the store. If a revision is given, waits up to `wait` for a
    /// change after it.
    pub async fn cells(
        &self,
        after: Option<Revision>,
        wait: Duration,
    ) -> Result<(Vec<CellId>, Revision)> {
        if let Some(after) = after {
            self.store.watch(CELLS_PREFIX, after, wait).await?;
        }
        let listing = self.store.list(CELLS_PREFIX).await?;
        let names = listing
            .pairs
            .iter()
            .filter_map(|pair| pair.key.strip_prefix(CELLS_PREFIX));
        Ok((names.map(Into::into).collect(), listing.revision))
    }

    /// Asks all seeds and returns the owner with the highest epoch.
    async fn ask_peers(&self, cell: &CellId) -> Option<OwnerRecord> {
        let mut latest: Option<OwnerRecord> = None;
        for seed in self.seeds.iter() {
            let query = Call::FindOwner(cell.clone());
            if let Ok(Reply::Owner(Some(record))) =
                self.peers.call(*seed, &query, PEER_TIMEOUT).await
                && latest
                    .as_ref()
                    .is_none_or(|latest| latest.epoch < record.epoch)
            {
                latest = Some(record);
            }
        }
        latest
    }
}

fn parse_owner(cell: &str, value: &[u8]) -> Result<OwnerRecord> {
    serde_json::from_slice(value).map_err(|e| {
        let message = format!("key {}: {e}", cell_key(cell));
        Error::not_run(ErrorKind::Internal, message).report()
    })
}

fn no_owner_error(cell: &str) -> error_stack::Report<Error> {
    Error::not_run(
        ErrorKind::Unavailable,
        format!("cell {cell} has no owner yet"),
    )
    .report()
}
