//! Connection of an agent to the owner of the cell.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use errors::{Error, ErrorKind, Result};
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use indexmap::IndexSet;
use model::{Epoch, Instructions, WorkerReport};
use store::KvStore;
use tokio::sync::Mutex;
use wire::{Call, CellView, Leader, Peers, Reply};

use crate::dependency::Dependency;
use crate::keys::ENTRIES_PREFIX;
use crate::peers::call_peer;
use crate::records::{self, EntryRecord};
use crate::serve::OWNER_WAIT;
use crate::settings::AgentSettings;

/// Timeout of a report: the owner answers within a second, and the latency between regions is in
/// the milliseconds.
const REPORT_TIMEOUT: Duration = Duration::from_millis(1600);
/// Timeout for asking an entry for its view of the cell.
const VIEW_TIMEOUT: Duration = Duration::from_millis(400);
/// Number of entries that are asked for the owner at the same time, because some may have lost
/// power.
const CONCURRENT_VIEWS: usize = 3;
/// Number of entries at which an agent waits for a newer owner, because one of them may be lost together
/// with the owner.
const OWNER_WATCHES: usize = 2;
/// Timeout for waiting for a newer owner at an entry.
const OWNER_CHANGE_TIMEOUT: Duration = OWNER_WAIT.saturating_add(VIEW_TIMEOUT);
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
        let mut entries = Vec::new();
        for found in &listing.pairs {
            match records::decode::<EntryRecord>(&found.key, &found.value) {
                Ok(record) => entries.push(record.addr),
                Err(report) => {
                    // The other entries stay usable.
                    log::error!(target: "limpethook", error:% = report.current_context(); "record_unreadable");
                }
            }
        }
        Ok(entries)
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
    /// Highest epoch of an owner that was reported.
    highest_epoch: Epoch,
    seeds: Vec<SocketAddr>,
    /// Entries that other entries or the directory reported.
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
                highest_epoch: 0,
                seeds: settings.seeds.clone(),
                entries: Vec::new(),
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

    /// Waits at some of the known entries until the cell has a newer owner than the known ones.
    /// Returns whether it has one.
    pub(crate) async fn wait_for_newer_owner(&self) -> bool {
        let (entries, known_epoch) = {
            let state = self.state.lock().await;
            (state.shuffled_entries(), state.highest_epoch)
        };
        let call = Call::CellViewAfter(known_epoch);
        let watched = &entries[..entries.len().min(OWNER_WATCHES)];
        let newer = self.ask_entries(watched, &call, OWNER_CHANGE_TIMEOUT, known_epoch + 1);
        newer.await.is_some()
    }

    /// Returns the owner; asks the known entries if it is not known.
    async fn leader(&self, epoch: Epoch) -> Result<Leader> {
        let entries = {
            let state = self.state.lock().await;
            if let Some(leader) = &state.leader {
                return Ok(leader.clone());
            }
            state.shuffled_entries()
        };
        for addrs in entries.chunks(CONCURRENT_VIEWS) {
            let asked = self.ask_entries(addrs, &Call::CellView, VIEW_TIMEOUT, epoch);
            if let Some(leader) = asked.await {
                return Ok(leader);
            }
        }
        let mut state = self.state.lock().await;
        self.query_directory(&mut state).await;
        Err(Error::not_run(ErrorKind::Unavailable, "no known entry reported an owner").report())
    }

    /// Asks entries at the same time, and returns the first owner with at least this epoch that one
    /// of them reports.
    async fn ask_entries(
        &self,
        addrs: &[SocketAddr],
        call: &Call,
        timeout: Duration,
        epoch: Epoch,
    ) -> Option<Leader> {
        let mut replies: FuturesUnordered<_> = addrs
            .iter()
            .map(|addr| call_peer(&self.peers, *addr, call, timeout))
            .collect();
        while let Some(reply) = replies.next().await {
            let Ok(Reply::CellView(view)) = reply else {
                continue;
            };
            if let Some(leader) = self.state.lock().await.merge(view, epoch) {
                return Some(leader);
            }
        }
        None
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
            Ok(entries) => state.entries = entries,
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
        if !view.entries.is_empty() {
            self.entries = view.entries;
        }
        let leader = view.leader.filter(|leader| leader.epoch >= epoch)?;
        self.highest_epoch = self.highest_epoch.max(leader.epoch);
        self.leader = Some(leader.clone());
        Some(leader)
    }

    /// Returns the known entries in random order, so that agents spread over them.
    fn shuffled_entries(&self) -> Vec<SocketAddr> {
        let known = self.entries.iter().chain(&self.seeds).copied();
        let known: IndexSet<SocketAddr> = known.collect();
        let mut entries: Vec<SocketAddr> = known.into_iter().collect();
        fastrand::shuffle(&mut entries);
        entries
    }
}
