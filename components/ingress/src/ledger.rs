//! The blackboard of all client connections of a process.
//!
//! A connection has a slot of atomics that only its own task writes, except for the mark that it is being closed. So neither a
//! request nor a decision takes a lock.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU8, AtomicU64, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use arc_swap::ArcSwapOption;
use board::Section;
use tokio::sync::Notify;

use crate::connection::Connection;
use crate::decide::{
    self, CONNECTION_BYTES, Capacity, ConnectionKey, Phase, Reason, RequestLimits, Reservation,
    Usage, View,
};

/// How long a new connection waits for another one to be closed.
const ROOM_WAIT: Duration = Duration::from_millis(100);
/// Bytes that the head of a response has at least.
const MIN_HEAD_BYTES: usize = 64;
/// Key of a free slot.
const FREE: ConnectionKey = 0;

/// Closes a connection.
pub(crate) type Close = Box<dyn Fn() + Send + Sync>;

/// Account of the client connections of a process. Requests and controllers read and write it without locks.
pub struct ClientBoard {
    /// Limits of a single request; written by the controller.
    pub(crate) limits: Section<RequestLimits>,
    pub(crate) capacity: Capacity,
    slots: Box<[Slot]>,
    connections: AtomicUsize,
    held: AtomicUsize,
    closing: AtomicUsize,
    /// Bytes of accepted jobs, if this process is the owner.
    jobs: AtomicUsize,
    released: Notify,
    events: [AtomicU64; Reason::ALL.len()],
    started_at: Instant,
}

impl std::fmt::Debug for ClientBoard {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("ClientBoard")
            .field("capacity", &self.capacity)
            .finish_non_exhaustive()
    }
}

/// Account of one connection.
#[derive(Default)]
pub(crate) struct Slot {
    key: AtomicU64,
    /// Number of [`SlotRef`]s.
    users: AtomicUsize,
    phase: AtomicU8,
    held: AtomicUsize,
    /// Part of them that belongs to the latest response, which the client may not have read.
    response: AtomicUsize,
    /// Bytes of the latest response that are not written yet.
    unwritten: AtomicUsize,
    /// Bytes read since the phase began.
    read: AtomicUsize,
    phase_began_ms: AtomicU64,
    progress_ms: AtomicU64,
    closing: AtomicBool,
    closing_bytes: AtomicUsize,
    close: ArcSwapOption<Close>,
}

fn phase_from(number: u8) -> Phase {
    match number {
        0 => Phase::Waiting,
        1 => Phase::Head,
        2 => Phase::Body,
        3 => Phase::Serving,
        4 => Phase::Responding,
        _ => Phase::Peer,
    }
}

fn phase_number(phase: Phase) -> u8 {
    match phase {
        Phase::Waiting => 0,
        Phase::Head => 1,
        Phase::Body => 2,
        Phase::Serving => 3,
        Phase::Responding => 4,
        Phase::Peer => 5,
    }
}

impl ClientBoard {
    /// Creates the account of a process.
    pub fn new(capacity: Capacity) -> Arc<Self> {
        Arc::new(Self {
            limits: Section::default(),
            capacity,
            slots: (0..capacity.connections).map(|_| Slot::default()).collect(),
            connections: AtomicUsize::new(0),
            held: AtomicUsize::new(0),
            closing: AtomicUsize::new(0),
            jobs: AtomicUsize::new(0),
            released: Notify::new(),
            events: Default::default(),
            started_at: Instant::now(),
        })
    }

    /// Returns the metrics in the Prometheus text format.
    pub fn metrics_text(&self) -> String {
        use std::fmt::Write;
        let mut text = format!(
            "# TYPE limpethook_client_connections gauge\nlimpethook_client_connections {}\n\
             # TYPE limpethook_client_held_bytes gauge\nlimpethook_client_held_bytes {}\n\
             # TYPE limpethook_client_limits_total counter\n",
            self.connection_count(),
            self.held_bytes()
        );
        for (reason, count) in self.event_counts() {
            // Writing to a string cannot fail.
            let _ = writeln!(
                text,
                "limpethook_client_limits_total{{reason=\"{}\"}} {count}",
                reason.as_str()
            );
        }
        text
    }

    /// Returns what clients may use.
    pub fn capacity(&self) -> Capacity {
        self.capacity
    }

    /// Returns the number of open connections.
    pub fn connection_count(&self) -> usize {
        self.connections.load(Ordering::Relaxed)
    }

    /// Returns the number of bytes that all connections hold.
    pub fn held_bytes(&self) -> usize {
        self.held.load(Ordering::Relaxed)
    }

    /// Returns how often each limit has been met.
    pub fn event_counts(&self) -> [(Reason, u64); Reason::ALL.len()] {
        let count = |reason: Reason| self.events[reason as usize].load(Ordering::Relaxed);
        Reason::ALL.map(|reason| (reason, count(reason)))
    }

    /// Counts that a limit was met.
    pub fn count(&self, reason: Reason) {
        self.events[reason as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// Waits until a new connection has room, for which others are closed; returns whether it has.
    pub async fn make_room(&self) -> bool {
        let deadline = tokio::time::Instant::now() + ROOM_WAIT;
        loop {
            let released = self.released.notified();
            if self.has_room() {
                return true;
            }
            let reason = if self.connection_count() >= self.capacity.connections {
                Reason::Connections
            } else {
                Reason::Memory
            };
            let closed = self.closing.load(Ordering::Relaxed) > 0 || self.close_one(reason, None);
            // Without a connection that is being closed, no wait makes room.
            let is_released = closed && tokio::time::timeout_at(deadline, released).await.is_ok();
            if !is_released {
                let has_room = self.has_room();
                if !has_room {
                    self.count(Reason::RefusedConnection);
                }
                return has_room;
            }
        }
    }

    fn has_room(&self) -> bool {
        self.connection_count() < self.capacity.connections
            && decide::reserve(self.capacity, self.usage(), CONNECTION_BYTES)
                == Reservation::Granted
    }

    /// Opens the account of a connection; `None` if there is no room.
    pub fn open(
        self: &Arc<Self>,
        remote: SocketAddr,
        local: SocketAddr,
        close: impl Fn() + Send + Sync + 'static,
    ) -> Option<Arc<Connection>> {
        let key = key_of(remote, local);
        let index = self.claim(key)?;
        let slot = &self.slots[index];
        let now = self.now_ms();
        slot.phase
            .store(phase_number(Phase::Waiting), Ordering::Relaxed);
        slot.phase_began_ms.store(now, Ordering::Relaxed);
        slot.progress_ms.store(now, Ordering::Relaxed);
        slot.close.store(Some(Arc::new(Box::new(close))));
        self.connections.fetch_add(1, Ordering::Relaxed);
        slot.users.store(1, Ordering::Release);
        let connection = Arc::new(Connection::new(SlotRef {
            clients: Arc::clone(self),
            index,
        }));
        // On failure, the connection gives its slot back.
        connection.reserve(CONNECTION_BYTES).then_some(connection)
    }

    /// Claims a free slot. The search begins at a place given by the key, where lookups begin as well.
    fn claim(&self, key: ConnectionKey) -> Option<usize> {
        self.probe(key).find(|index| {
            self.slots[*index]
                .key
                .compare_exchange(FREE, key, Ordering::AcqRel, Ordering::Relaxed)
                .is_ok()
        })
    }

    fn probe(&self, key: ConnectionKey) -> impl Iterator<Item = usize> {
        let length = self.slots.len();
        let start = usize::try_from(key % (length as u64)).unwrap_or(0);
        (0..length).map(move |offset| (start + offset) % length)
    }

    fn index_of(&self, key: ConnectionKey) -> Option<usize> {
        self.probe(key)
            .find(|index| self.slots[*index].key.load(Ordering::Acquire) == key)
    }

    /// Returns the slot of the connection between two addresses.
    pub(crate) fn find(self: &Arc<Self>, remote: SocketAddr, local: SocketAddr) -> Option<SlotRef> {
        let key = key_of(remote, local);
        let index = self.index_of(key)?;
        let slot = &self.slots[index];
        let join = |users: usize| (users > 0).then(|| users + 1);
        slot.users
            .fetch_update(Ordering::AcqRel, Ordering::Relaxed, join)
            .ok()?;
        let found = SlotRef {
            clients: Arc::clone(self),
            index,
        };
        // The slot may have been given to another connection meanwhile.
        (slot.key.load(Ordering::Acquire) == key).then_some(found)
    }

    /// Gives a slot back.
    fn release(&self, index: usize) {
        let slot = &self.slots[index];
        slot.close.store(None);
        self.held
            .fetch_sub(slot.held.swap(0, Ordering::AcqRel), Ordering::AcqRel);
        let closing_bytes = slot.closing_bytes.swap(0, Ordering::AcqRel);
        self.closing.fetch_sub(closing_bytes, Ordering::AcqRel);
        slot.closing.store(false, Ordering::Relaxed);
        slot.read.store(0, Ordering::Relaxed);
        slot.response.store(0, Ordering::Relaxed);
        slot.unwritten.store(0, Ordering::Relaxed);
        slot.key.store(FREE, Ordering::Release);
        self.connections.fetch_sub(1, Ordering::AcqRel);
        self.released.notify_waiters();
    }

    /// Lets a connection hold more bytes, for which others are closed; returns whether it may.
    pub(crate) fn reserve(&self, index: usize, bytes: usize) -> bool {
        let slot = &self.slots[index];
        // Each round closes a connection, and closed ones are not chosen again.
        while !slot.closing.load(Ordering::Relaxed) {
            match decide::reserve(self.capacity, self.usage(), bytes) {
                Reservation::Granted => {
                    self.add(index, bytes);
                    return true;
                }
                Reservation::NeedsRoom if self.close_one(Reason::Memory, Some(index)) => {}
                Reservation::NeedsRoom | Reservation::Refused => return false,
            }
        }
        false
    }

    /// Counts bytes that a connection holds already.
    pub(crate) fn add(&self, index: usize, bytes: usize) {
        self.slots[index].held.fetch_add(bytes, Ordering::AcqRel);
        self.held.fetch_add(bytes, Ordering::AcqRel);
    }

    /// Counts bytes that a connection no longer holds.
    pub(crate) fn give_back(&self, index: usize, bytes: usize) {
        self.slots[index].held.fetch_sub(bytes, Ordering::AcqRel);
        self.held.fetch_sub(bytes, Ordering::AcqRel);
    }

    /// Counts a response instead of the one before. A connection that was served is protected until the response is written.
    pub(crate) fn record_response(&self, index: usize, bytes: usize) {
        self.count_response(index, bytes);
        let unwritten = bytes + MIN_HEAD_BYTES;
        self.slots[index]
            .unwritten
            .store(unwritten, Ordering::Relaxed);
        if self.phase(index) == Phase::Waiting {
            self.enter(index, Phase::Responding);
        }
    }

    /// Records bytes that were written; with the last ones of a response, the connection waits for the next request.
    pub(crate) fn record_written(&self, index: usize, bytes: usize) {
        self.record_progress(index);
        let slot = &self.slots[index];
        let subtract = |unwritten: usize| Some(unwritten.saturating_sub(bytes));
        let before = slot
            .unwritten
            .fetch_update(Ordering::AcqRel, Ordering::Relaxed, subtract)
            .unwrap_or(0);
        if before > 0 && before <= bytes {
            self.count_response(index, 0);
            if self.phase(index) == Phase::Responding {
                self.enter(index, Phase::Waiting);
            }
        }
    }

    /// Counts the bytes of a response instead of those of the one before.
    fn count_response(&self, index: usize, bytes: usize) {
        let before = self.slots[index].response.swap(bytes, Ordering::AcqRel);
        self.give_back(index, before);
        self.add(index, bytes);
    }

    /// Records what the accepted jobs take at the owner in this process.
    pub fn record_jobs(&self, bytes: usize) {
        self.jobs.store(bytes, Ordering::Relaxed);
    }

    /// Lets work without a connection of a client hold bytes, for which connections are closed; `None` if it may not.
    pub fn hold(self: &Arc<Self>, bytes: usize) -> Option<HeldBytes> {
        loop {
            match decide::reserve(self.capacity, self.usage(), bytes) {
                Reservation::Granted => {
                    self.held.fetch_add(bytes, Ordering::AcqRel);
                    return Some(HeldBytes {
                        clients: Arc::clone(self),
                        bytes,
                    });
                }
                // Each round closes a connection, and closed ones are not chosen again.
                Reservation::NeedsRoom if self.close_one(Reason::Memory, None) => {}
                Reservation::NeedsRoom | Reservation::Refused => {
                    self.count(Reason::RefusedRequest);
                    return None;
                }
            }
        }
    }

    fn usage(&self) -> Usage {
        Usage {
            held: self.held.load(Ordering::Acquire),
            closing: self.closing.load(Ordering::Acquire),
            jobs: self.jobs.load(Ordering::Relaxed),
        }
    }

    /// Closes the connection whose end makes most room; returns whether there is one other than `requester`.
    fn close_one(&self, reason: Reason, requester: Option<usize>) -> bool {
        let Some(key) = decide::victim(self.views()) else {
            return false;
        };
        match self.index_of(key) {
            Some(index) if Some(index) != requester => self.close(key, reason),
            _ => false,
        }
    }

    /// Closes a connection; returns whether it was open.
    pub(crate) fn close(&self, key: ConnectionKey, reason: Reason) -> bool {
        let Some(index) = self.index_of(key) else {
            return false;
        };
        let slot = &self.slots[index];
        let close = slot.close.load_full();
        // The slot may have been given to another connection meanwhile.
        let is_same = slot.key.load(Ordering::Acquire) == key;
        let Some(close) = close.filter(|_| is_same) else {
            return false;
        };
        if slot.closing.swap(true, Ordering::AcqRel) {
            return false;
        }
        let bytes = slot.held.load(Ordering::Acquire);
        slot.closing_bytes.store(bytes, Ordering::Release);
        self.closing.fetch_add(bytes, Ordering::AcqRel);
        self.count(reason);
        close();
        true
    }

    /// Returns what is known of all connections.
    pub(crate) fn views(&self) -> impl Iterator<Item = View> {
        let now = self.now_ms();
        let since = move |ms: &AtomicU64| {
            Duration::from_millis(now.saturating_sub(ms.load(Ordering::Relaxed)))
        };
        self.slots.iter().filter_map(move |slot| {
            let key = slot.key.load(Ordering::Acquire);
            (key != FREE).then(|| View {
                key,
                phase: phase_from(slot.phase.load(Ordering::Acquire)),
                held: slot.held.load(Ordering::Relaxed),
                in_phase: since(&slot.phase_began_ms),
                idle: since(&slot.progress_ms),
                closing: slot.closing.load(Ordering::Relaxed),
            })
        })
    }

    pub(crate) fn phase(&self, index: usize) -> Phase {
        phase_from(self.slots[index].phase.load(Ordering::Acquire))
    }

    pub(crate) fn enter(&self, index: usize, phase: Phase) {
        let slot = &self.slots[index];
        let now = self.now_ms();
        slot.read.store(0, Ordering::Relaxed);
        slot.phase_began_ms.store(now, Ordering::Relaxed);
        slot.progress_ms.store(now, Ordering::Relaxed);
        slot.phase.store(phase_number(phase), Ordering::Release);
    }

    /// Records that bytes were read or written.
    pub(crate) fn record_progress(&self, index: usize) {
        let now = self.now_ms();
        self.slots[index].progress_ms.store(now, Ordering::Relaxed);
    }

    /// Adds to the bytes that were read since the phase began, and returns their number before.
    pub(crate) fn count_read(&self, index: usize, bytes: usize) -> usize {
        self.slots[index].read.fetch_add(bytes, Ordering::Relaxed)
    }

    fn now_ms(&self) -> u64 {
        u64::try_from(self.started_at.elapsed().as_millis()).unwrap_or(u64::MAX)
    }
}

/// Bytes that work without a connection holds, until this value is dropped.
#[derive(Debug)]
pub struct HeldBytes {
    clients: Arc<ClientBoard>,
    bytes: usize,
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        self.clients.held.fetch_sub(self.bytes, Ordering::AcqRel);
    }
}

/// Slot of a connection, which is given back with the last reference: a request may end after its connection.
#[derive(Debug)]
pub(crate) struct SlotRef {
    pub(crate) clients: Arc<ClientBoard>,
    pub(crate) index: usize,
}

impl Clone for SlotRef {
    fn clone(&self) -> Self {
        let users = &self.clients.slots[self.index].users;
        users.fetch_add(1, Ordering::AcqRel);
        Self {
            clients: Arc::clone(&self.clients),
            index: self.index,
        }
    }
}

impl Drop for SlotRef {
    fn drop(&mut self) {
        let users = &self.clients.slots[self.index].users;
        if users.fetch_sub(1, Ordering::AcqRel) == 1 {
            self.clients.release(self.index);
        }
    }
}

fn key_of(remote: SocketAddr, local: SocketAddr) -> ConnectionKey {
    let mut hasher = DefaultHasher::new();
    (remote, local).hash(&mut hasher);
    hasher.finish().max(FREE + 1)
}
