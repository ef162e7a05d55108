//! Connection of an agent to the owner of the cell.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use errors::{Error, ErrorKind, Result};
use model::{Epoch, Instructions, WorkerReport};
use store::KvStore;
use tokio::sync::Mutex;
use wire::{Call, CellView, Leader, Peers, Reply};

use crate::dependency::Dependency;
use crate::keys::ENTRIES_PREFIX;
use crate::peers::call_peer;
use crate::records;
use crate::settings::AgentSettings;

/// Timeout of a report: the owner answers within a second, and the latency between regions is in
/// the milliseconds.
const REPORT_TIMEOUT: Duration = Duration::from_millis(1600);
/// Timeout for asking an entry for its view of the cell.
const VIEW_TIMEOUT: Duration = Duration::from_millis(400);
/// Minimum interval between directory lookups while no known entry reports an owner.
const DIRECTORY_INTERVAL: Duration = Duration::from_secs(1);

/// Looks up entries when none of the known ones answers.
#[async_trait]
pub trait EntryDirectory: Send + Sync {
    /// Returns the addresses of entries.
    async fn entries(&self) -> Result<Vec<SocketAddr>>;
}

/// Looks up the entries that are registered in the store.
pub struct StoreDirectory(pub Arc<dyn KvStore>);

#[async_trait]
impl EntryDirectory for StoreDirectory {
    async fn entries(&self) -> Result<Vec<SocketAddr>> {
        let listing = self.0.list(ENTRIES_PREFIX).await?;
        let found = listing.entries.iter();
        found
            .map(|found| records::decode(&found.key, &found.value))
            .collect()
    }
}

/// Connection to the owner, shared by concurrent calls.
pub(crate) struct Link {
    peers: Peers,
    directory: Arc<dyn EntryDirectory>,
    /// Whether an owner accepts reports.
    owner_availability: Dependency,
    state: Mutex<LinkState>,
}

struct LinkState {
    leader: Option<Leader>,
    entries: Vec<SocketAddr>,
    directory_queried_at: Option<tokio::time::Instant>,
}

impl Link {
    /// Creates a connection that knows only the seed entries.
    pub(crate) fn new(
        peers: Peers,
        settings: &AgentSettings,
        directory: Arc<dyn EntryDirectory>,
    ) -> Arc<Self> {
        Arc::new(Self {
            peers,
            directory,
            owner_availability: Dependency::new(true),
            state: Mutex::new(LinkState {
                leader: None,
                entries: settings.seeds.clone(),
                directory_queried_at: None,
            }),
        })
    }

    /// Reports to the owner and returns its instructions; `epoch` is the highest one seen.
    pub(crate) async fn report(&self, report: WorkerReport, epoch: Epoch) -> Result<Instructions> {
        let leader = self.leader(epoch).await?;
        let call = Call::Report(Box::new(report));
        let result = call_peer(&self.peers, leader.addr, &call, REPORT_TIMEOUT).await;
        match result {
            Ok(Reply::Instructions(instructions)) if instructions.epoch >= epoch => {
                if let Some(change) = self.owner_availability.record(true) {
                    log::info!(
                        target: "limpethook",
                        dependency = "owner", change = change, owner:% = leader.entry, epoch = leader.epoch;
                        "dependency"
                    );
                }
                Ok(*instructions)
            }
            Ok(_) => {
                self.drop_leader(&leader, &"stale epoch").await;
                Err(Error::not_run(
                    ErrorKind::StaleEpoch,
                    "reply from an owner with an outdated epoch",
                )
                .report())
            }
            Err(report) => {
                self.drop_leader(&leader, report.current_context()).await;
                Err(report)
            }
        }
    }

    async fn drop_leader(&self, lost: &Leader, reason: &(dyn std::fmt::Display + Sync)) {
        let mut state = self.state.lock().await;
        if state.leader.as_ref() != Some(lost) {
            return;
        }
        state.leader = None;
        if let Some(change) = self.owner_availability.record(false) {
            log::warn!(
                target: "limpethook",
                dependency = "owner", change = change, owner:% = lost.entry, epoch = lost.epoch, reason:% = reason;
                "dependency"
            );
        }
    }

    /// Returns the owner; asks the known entries if it is not known.
    async fn leader(&self, epoch: Epoch) -> Result<Leader> {
        let mut state = self.state.lock().await;
        if let Some(leader) = &state.leader {
            return Ok(leader.clone());
        }
        let entries = state.entries.clone();
        for addr in entries {
            let reply = call_peer(&self.peers, addr, &Call::CellView, VIEW_TIMEOUT).await;
            let Ok(Reply::CellView(view)) = reply else {
                continue;
            };
            if let Some(leader) = state.merge(view, epoch) {
                return Ok(leader);
            }
        }
        self.query_directory(&mut state).await;
        Err(Error::not_run(ErrorKind::Unavailable, "no known entry reported an owner").report())
    }

    async fn query_directory(&self, state: &mut LinkState) {
        let now = tokio::time::Instant::now();
        if state
            .directory_queried_at
            .is_some_and(|queried_at| now < queried_at + DIRECTORY_INTERVAL)
        {
            return;
        }
        state.directory_queried_at = Some(now);
        match self.directory.entries().await {
            Ok(entries) => state.add_entries(entries),
            Err(report) => {
                log::info!(target: "limpethook", error:% = report.current_context(); "directory_lookup_failed");
            }
        }
    }
}

impl LinkState {
    /// Merges what an entry knows of the cell; returns the owner unless its epoch is lower than
    /// `epoch`.
    fn merge(&mut self, view: CellView, epoch: Epoch) -> Option<Leader> {
        self.add_entries(view.entries);
        let leader = view.leader.filter(|leader| leader.epoch >= epoch)?;
        self.leader = Some(leader.clone());
        Some(leader)
    }

    fn add_entries(&mut self, entries: Vec<SocketAddr>) {
        for addr in entries {
            if !self.entries.contains(&addr) {
                self.entries.push(addr);
            }
        }
    }
}
