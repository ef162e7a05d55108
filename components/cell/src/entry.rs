//! The controllers of an entry.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use errors::{Error, ErrorKind, Result};
use indexmap::IndexMap;
use store::TransactionStore;
use timer::Timer;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;
use wire::{Key, Peers, Server};

use crate::advisor::Advisor;
use crate::board::CellBoard;
use crate::clock::boot_now;
use crate::configuration::Configuration;
use crate::dependency::Dependency;
use crate::metrics::Metrics;
use crate::settings::EntrySettings;
use crate::{configure, members, ownership, serve};

/// Decodes the value under the configuration key.
pub type DecodeConfiguration = fn(&[u8]) -> Result<Configuration>;

/// What the controllers and the requests of an entry share.
pub struct Entry {
    /// The settings.
    pub settings: EntrySettings,
    /// What the controllers share.
    pub board: CellBoard,
    /// The metrics.
    pub metrics: Metrics,
    pub(crate) store: Arc<dyn TransactionStore>,
    pub(crate) advisor: Option<Arc<dyn Advisor>>,
    pub(crate) peers: Peers,
    pub(crate) decode: DecodeConfiguration,
    pub(crate) timer: Timer,
    /// Cancelled at the start of the shutdown.
    pub(crate) leaving: CancellationToken,
    store_answers: Dependency,
    /// When each other entry last answered, on the boot clock; zero for one that has not.
    peers_answered: ArcSwap<IndexMap<SocketAddr, Duration>>,
}

impl std::fmt::Debug for Entry {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Entry")
            .field("settings", &self.settings)
            .finish_non_exhaustive()
    }
}

impl Entry {
    /// Starts the controllers of an entry; they end the ownership and the registration once `leaving` is cancelled.
    pub async fn start(
        settings: EntrySettings,
        store: Arc<dyn TransactionStore>,
        advisor: Option<Arc<dyn Advisor>>,
        decode: DecodeConfiguration,
        secret: &str,
        leaving: CancellationToken,
    ) -> Result<Arc<Self>> {
        let addr = settings.addr;
        let listener = shards::bind_retrying(addr, || TcpListener::bind(addr)).await?;
        let key = Key::from_secret(secret);
        let metrics = Metrics::new()
            .map_err(|e| Error::not_run(ErrorKind::Internal, format!("metrics: {e}")).report())?;
        let entry = Arc::new(Self {
            settings,
            board: CellBoard::default(),
            metrics,
            store,
            advisor,
            peers: Peers::new(key.clone()),
            decode,
            timer: Timer::start(),
            leaving,
            store_answers: Dependency::new(false),
            peers_answered: ArcSwap::default(),
        });
        let answering = Arc::clone(&entry);
        tokio::spawn(Server::new(listener, key).serve(
            move |_, call| serve::answer(Arc::clone(&answering), call),
            CancellationToken::new(),
        ));
        tokio::spawn(configure::run(Arc::clone(&entry)));
        tokio::spawn(members::run(Arc::clone(&entry)));
        tokio::spawn(ownership::run(Arc::clone(&entry)));
        Ok(entry)
    }

    /// Returns whether requests can be served.
    pub fn is_ready(&self) -> bool {
        let configured = self.board.configuration.load().version > 0;
        configured && !self.leaving.is_cancelled() && !self.is_isolated()
    }

    /// Returns whether neither the store nor another entry answers, though there are others.
    fn is_isolated(&self) -> bool {
        let others = self.others();
        self.is_store_lost() && !others.is_empty() && self.answering().is_empty()
    }

    /// Returns the other entries that answer, and those that were not called yet.
    pub(crate) fn answering(&self) -> Vec<SocketAddr> {
        let answered = self.peers_answered.load();
        let now = boot_now();
        let answers = |addr: &SocketAddr| {
            let at = answered.get(addr);
            at.is_none_or(|at| now <= *at + SILENT_AFTER)
        };
        self.others().into_iter().filter(answers).collect()
    }

    /// Notes whether another entry answered a call.
    pub(crate) fn note_peer(&self, addr: SocketAddr, answered: bool) {
        let now = boot_now();
        self.peers_answered.rcu(|known| {
            let mut known = IndexMap::clone(known);
            if answered {
                known.insert(addr, now);
            } else {
                known.entry(addr).or_default();
            }
            known
        });
    }

    /// Returns the addresses of the other entries.
    pub(crate) fn others(&self) -> Vec<SocketAddr> {
        let members = self.board.members.load();
        let known = members.entries.values().copied();
        let seeds = self.settings.seeds.iter().copied();
        let mut others: Vec<SocketAddr> = Vec::new();
        for addr in known.chain(seeds) {
            if addr != self.settings.addr && !others.contains(&addr) {
                others.push(addr);
            }
        }
        others
    }

    /// Returns whether the last call to the store was not answered.
    pub(crate) fn is_store_lost(&self) -> bool {
        self.store_answers.is_lost()
    }

    /// Waits until the store answers again.
    pub(crate) async fn store_regained(&self) {
        self.store_answers.regained().await;
    }

    /// Notes whether a call to the store was answered, and logs the changes.
    pub(crate) fn note_store(&self, answered: bool, detail: &dyn std::fmt::Display) {
        if let Some(change) = self.store_answers.note(answered) {
            self.metrics
                .dependencies
                .with_label_values(&["store", change])
                .inc();
            log::warn!(target: "limpethook", dependency = "store", change = change, detail:% = detail; "dependency");
        }
    }
}

/// Without an answer for this long, two comparisons of the configuration, another entry counts as silent.
const SILENT_AFTER: Duration = Duration::from_millis(2200);
