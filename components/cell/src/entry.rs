//! The entry and its controllers.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use arc_swap::ArcSwap;
use errors::{Error, ErrorKind, Result};
use indexmap::IndexMap;
use ingress::ClientBoard;
use ingress::decide::{Capacity, MAX_CLIENT_CALLS, Reason};
use model::Epoch;
use store::TransactionStore;
use timer::Timer;
use tokio::net::TcpListener;
use tokio::sync::{Notify, Semaphore, SemaphorePermit};
use tokio_util::sync::CancellationToken;
use wire::{Key, Peers, Server};

use crate::admission::Admissions;
use crate::advisor::Advisor;
use crate::board::CellBoard;
use crate::clock::boot_now;
use crate::configuration::Configuration;
use crate::confirmations::{Confirmations, Source};
use crate::dependency::Dependency;
use crate::leader::JobStates;
use crate::metrics::{Metrics, OwnerMetrics};
use crate::settings::EntrySettings;
use crate::{configure, members, ownership, serve, supervise};

/// Decodes the value stored under the configuration key.
pub type DecodeConfiguration = fn(&[u8]) -> Result<Configuration>;

/// State shared by the controllers and the requests of an entry.
pub struct Entry {
    /// Settings of the entry.
    pub settings: EntrySettings,
    /// Blackboard of the controllers.
    pub board: CellBoard,
    /// Metrics of the entry.
    pub metrics: Metrics,
    pub(crate) store: Arc<dyn TransactionStore>,
    pub(crate) advisor: Option<Arc<dyn Advisor>>,
    pub(crate) peers: Peers,
    pub(crate) decode: DecodeConfiguration,
    pub(crate) timer: Timer,
    /// Cancelled when the shutdown begins.
    pub(crate) shutdown: CancellationToken,
    pub(crate) confirmations: Confirmations,
    /// Account of what clients make the process hold.
    pub(crate) clients: Arc<ClientBoard>,
    pub(crate) admissions: Arc<Admissions>,
    /// Calls that requests of clients make to the store and to other processes.
    client_calls: Semaphore,
    /// Asks for a check of the configuration.
    pub(crate) check_requested: Notify,
    /// When the last check of the configuration ended, in milliseconds on the boot clock.
    pub(crate) checked_at_ms: AtomicU64,
    /// Held while other entries are asked for their configurations.
    pub(crate) asking: Arc<tokio::sync::Mutex<()>>,
    /// Serializes the changes of the configuration.
    pub(crate) configuration_writer: Mutex<()>,
    /// When the process started, on the boot clock.
    pub(crate) started_at: Duration,
    store_availability: Dependency,
    /// When no entry was last found that could reach the store, in milliseconds on the boot clock.
    outage_confirmed_at_ms: AtomicU64,
    /// Result of the last call to each other entry that was called.
    peer_results: ArcSwap<IndexMap<SocketAddr, PeerResult>>,
}

impl std::fmt::Debug for Entry {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Entry")
            .field("settings", &self.settings)
            .finish_non_exhaustive()
    }
}

impl Entry {
    /// Starts the controllers of an entry. When `shutdown` is cancelled, they release the ownership
    /// and the registration.
    pub async fn start(
        settings: EntrySettings,
        store: Arc<dyn TransactionStore>,
        advisor: Option<Arc<dyn Advisor>>,
        decode: DecodeConfiguration,
        secret: &str,
        shutdown: CancellationToken,
    ) -> Result<Arc<Self>> {
        let clients = ClientBoard::new(Capacity::unlimited(MAX_CONNECTIONS));
        Self::start_accounted(settings, store, advisor, decode, secret, clients, shutdown).await
    }

    /// Starts an entry whose server of calls shares the account `clients` with the other servers of the process.
    pub async fn start_accounted(
        settings: EntrySettings,
        store: Arc<dyn TransactionStore>,
        advisor: Option<Arc<dyn Advisor>>,
        decode: DecodeConfiguration,
        secret: &str,
        clients: Arc<ClientBoard>,
        shutdown: CancellationToken,
    ) -> Result<Arc<Self>> {
        let addr = settings.addr;
        let listener = shards::bind_with_retry(addr, || TcpListener::bind(addr)).await?;
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
            shutdown,
            confirmations: Confirmations::default(),
            clients: Arc::clone(&clients),
            admissions: Arc::default(),
            client_calls: Semaphore::new(MAX_CLIENT_CALLS),
            check_requested: Notify::new(),
            checked_at_ms: AtomicU64::new(0),
            asking: Arc::default(),
            configuration_writer: Mutex::new(()),
            started_at: boot_now(),
            store_availability: Dependency::new(false),
            outage_confirmed_at_ms: AtomicU64::new(0),
            peer_results: ArcSwap::default(),
        });
        let handler_entry = Arc::clone(&entry);
        let server = Server::new(listener, key).account(clients);
        tokio::spawn(server.serve(
            move |_, call| serve::answer(Arc::clone(&handler_entry), call),
            CancellationToken::new(),
        ));
        entry.supervise("configuration_watch", configure::run);
        entry.supervise("configuration_poll", configure::poll_entries);
        entry.supervise("configuration_check", configure::check);
        entry.supervise("configuration_age", configure::follow_age);
        entry.supervise("members", members::run);
        entry.supervise("registration", members::register);
        entry.supervise("ownership", ownership::run);
        Ok(entry)
    }

    /// Runs a controller for the lifetime of the entry.
    fn supervise<F, Fut>(self: &Arc<Self>, name: &'static str, controller: F)
    where
        F: Fn(Arc<Self>) -> Fut + Send + 'static,
        Fut: Future<Output = ()> + Send + 'static,
    {
        let entry = Arc::clone(self);
        supervise::spawn(name, move || controller(Arc::clone(&entry)));
    }

    /// Waits for a permit to call the store or other processes for a client. Each such call may open a connection, and the
    /// descriptors for them are limited.
    pub(crate) async fn begin_client_call(&self) -> Result<SemaphorePermit<'_>> {
        let permit = tokio::time::timeout(CLIENT_CALL_WAIT, self.client_calls.acquire()).await;
        if let Ok(Ok(permit)) = permit {
            return Ok(permit);
        }
        self.clients.count(Reason::RefusedRequest);
        let message = "the entry handles too many requests";
        Err(Error::not_run(ErrorKind::Overloaded, message)
            .retry_after(CLIENT_CALL_RETRY_DELAY)
            .report())
    }

    /// Returns the epoch of the owner in this process, if there is one that has loaded its records.
    pub fn owned_epoch(&self) -> Option<Epoch> {
        self.board.owner().ok().map(|owner| owner.handle.epoch)
    }

    /// Returns the job states that the owner in this process has published, or an error if this process does not own the cell.
    pub fn job_states(&self) -> Result<Arc<JobStates>> {
        Ok(self.board.owner()?.published()?.states.snapshot())
    }

    /// Returns the jobs that wait, one line each, or an error if this process does not own the cell or does not know them yet.
    pub fn waits(&self) -> Result<Box<str>> {
        let owner = self.board.owner()?;
        let waits = owner.published()?.waits.snapshot();
        Option::clone(&waits).ok_or_else(|| {
            let message = "the owner has just started and does not know which jobs wait";
            Error::not_run(ErrorKind::Unavailable, message).report()
        })
    }

    /// Returns the gauges of the owner in this process, or an error if this process does not own the cell.
    pub fn owner_metrics(&self) -> Result<OwnerMetrics> {
        Ok(self.board.owner()?.published()?.metrics.clone())
    }

    /// Updates the metrics that depend on the time.
    pub fn refresh_metrics(&self) {
        let version = self.board.configuration.load().version;
        let version = i64::try_from(version).unwrap_or(i64::MAX);
        self.metrics.configuration_version.set(version);
        let now = boot_now();
        for source in Source::ALL {
            let gauge = &self.metrics.configuration_confirmed;
            let gauge = gauge.with_label_values(&[source.name()]);
            let age = self.confirmations.age(source, now);
            gauge.set(age.map_or(-1.0, |age| age.as_secs_f64()));
        }
        let age = self.board.in_force.load().age(now);
        let gauge = &self.metrics.configuration_confirmed;
        let gauge = gauge.with_label_values(&["any"]);
        gauge.set(age.map_or(-1.0, |age| age.as_secs_f64()));
    }

    /// Returns whether the entry can serve requests.
    pub fn is_ready(&self) -> bool {
        let configured = self.board.configuration.load().version > 0;
        configured && !self.shutdown.is_cancelled() && !self.is_isolated()
    }

    /// Returns whether neither the store nor any of the other entries that were called has responded
    /// recently.
    fn is_isolated(&self) -> bool {
        let results = self.peer_results.load();
        let now = boot_now();
        let is_recent = |result: &PeerResult| now <= result.at + UNRESPONSIVE_AFTER;
        let recent: Vec<&PeerResult> = results
            .values()
            .filter(|result| is_recent(result))
            .collect();
        self.is_store_lost() && !recent.is_empty() && !recent.iter().any(|result| result.answered)
    }

    /// Returns the other entries that answered their last call or have not been called, in random
    /// order.
    pub(crate) fn responsive_entries(&self) -> Vec<SocketAddr> {
        let results = self.peer_results.load();
        let responds = |addr: &SocketAddr| results.get(addr).is_none_or(|result| result.answered);
        let mut entries = self.other_entries();
        entries.retain(responds);
        fastrand::shuffle(&mut entries);
        entries
    }

    /// Returns some of the other entries in random order, whether they respond or not.
    pub(crate) fn sample_entries(&self, count: usize) -> Vec<SocketAddr> {
        let mut entries = self.other_entries();
        fastrand::shuffle(&mut entries);
        entries.truncate(count);
        entries
    }

    /// Records whether another entry answered a call.
    pub(crate) fn record_peer_result(&self, addr: SocketAddr, answered: bool) {
        let at = boot_now();
        self.peer_results.rcu(|known| {
            let mut known = IndexMap::clone(known);
            known.insert(addr, PeerResult { answered, at });
            known
        });
    }

    /// Returns the addresses of the other entries, registered ones first and then seeds.
    pub(crate) fn other_entries(&self) -> Vec<SocketAddr> {
        let members = self.board.members.load();
        let known = members.iter().flat_map(|members| members.entries.values());
        let known = known.map(|record| record.addr);
        let seeds = self.settings.seeds.iter().copied();
        let mut others: Vec<SocketAddr> = Vec::new();
        for addr in known.chain(seeds) {
            if addr != self.settings.addr && !others.contains(&addr) {
                others.push(addr);
            }
        }
        others
    }

    /// Returns how many entries the cell has. Until the members are known, the seeds count, because all of them may start at once.
    pub(crate) fn entry_count(&self) -> usize {
        match self.board.members.load().as_ref() {
            Some(members) => members.entries.len(),
            None => self.other_entries().len() + 1,
        }
    }

    /// Returns whether the last store call went unanswered.
    pub(crate) fn is_store_lost(&self) -> bool {
        self.store_availability.is_lost()
    }

    /// Records that neither this entry nor any that it asked can reach the store.
    pub(crate) fn confirm_outage(&self) {
        let now = u64::try_from(boot_now().as_millis()).unwrap_or(u64::MAX);
        self.outage_confirmed_at_ms.store(now, Ordering::Release);
    }

    /// Returns whether it was confirmed recently that no entry can reach the store, and this one
    /// still cannot.
    pub(crate) fn is_outage_confirmed(&self) -> bool {
        let confirmed_at = self.outage_confirmed_at_ms.load(Ordering::Acquire);
        let confirmed_until = Duration::from_millis(confirmed_at) + OUTAGE_CONFIRMATION;
        self.is_store_lost() && confirmed_at > 0 && boot_now() < confirmed_until
    }

    /// Waits until the store answers again.
    pub(crate) async fn wait_for_store(&self) {
        self.store_availability.wait_until_regained().await;
    }

    /// Records whether a store call was answered; logs and counts changes.
    pub(crate) fn record_store_result(&self, answered: bool, detail: &dyn std::fmt::Display) {
        if let Some(change) = self.store_availability.record(answered) {
            self.metrics
                .dependencies
                .with_label_values(&["store", change])
                .inc();
            log::warn!(target: "limpethook", dependency = "store", change = change, detail:% = detail; "dependency");
        }
    }
}

/// Connections of an entry without limits for its clients.
const MAX_CONNECTIONS: usize = 1024;
/// How long a request waits for other requests, several times what a slow store takes to answer.
const CLIENT_CALL_WAIT: Duration = Duration::from_millis(700);
/// Delay after which a client should repeat a request that waited in vain.
const CLIENT_CALL_RETRY_DELAY: Duration = Duration::from_secs(1);

/// How long submissions are refused without asking other entries after none of them could reach the
/// store: a few times the latency between regions, so that the return of the store is noticed soon.
const OUTAGE_CONFIRMATION: Duration = Duration::from_millis(150);

/// Result of a call to another entry.
#[derive(Debug, Clone, Copy)]
struct PeerResult {
    answered: bool,
    /// When the call ended, on the boot clock.
    at: Duration,
}

/// Calls that ended longer ago do not tell whether this entry is isolated: two rounds of asking for
/// newer configurations.
const UNRESPONSIVE_AFTER: Duration = Duration::from_millis(2200);
