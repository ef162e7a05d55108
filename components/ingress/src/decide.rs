//! Decides how much a connection may hold, which connection is closed to make room, and which has taken too long.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Identifies a connection of a process while it is open.
pub type ConnectionKey = u64;

/// What a connection costs before it has sent anything: the state of its task and the first read and write buffers.
pub const CONNECTION_BYTES: usize = 16 * 1024;
/// Share of the memory of a machine that clients may make the process hold, as a divisor. Buffers that grow are copied, and
/// freed memory returns late, so that the process may use up to three times as much.
const MEMORY_DIVISOR: usize = 5;
/// Share of the memory of a machine that accepted jobs may use at the owner, as a divisor.
const JOBS_DIVISOR: usize = 4;
/// Share of the room for jobs up to which any single job is accepted, as a divisor. The largest jobs take nearly a whole share of a
/// small machine.
const CALM_DIVISOR: usize = 4;
/// Share of the room for jobs that each client account has even if a large job of another one takes all of it, as a divisor.
const SMALL_DIVISOR: usize = 64;
/// Calls to the store and to other processes that requests of clients make at the same time. At 4 ms each, they are enough for
/// 16,000 requests a second.
pub const MAX_CLIENT_CALLS: usize = 64;
/// Share of the descriptors and the memory that connections between processes have if callers have an account of their own, as a
/// divisor.
const PEERS_DIVISOR: usize = 3;
/// Descriptors that are left for listeners and for connections that the process opens itself.
const RESERVED_DESCRIPTORS: usize = 200;
/// Connections that are accepted under any settings.
const MIN_CONNECTIONS: usize = 16;
/// Share of the budget by which it may be exceeded for memory that closed connections still hold, as a divisor.
const CLOSING_DIVISOR: usize = 4;
/// Size from which connections count as equally large.
const LARGE_BYTES: usize = 320 * 1024;
/// Time without a byte of an answer being read after which the connection may be closed for others. Several times what a slow
/// link takes for a full window.
const READ_TIMEOUT: Duration = Duration::from_secs(2);
/// Share of the budget that requests have in any case, as a divisor.
const LEAST_DIVISOR: usize = 4;
/// Added to each time-out, because the process may be slow to read what has arrived.
const TIMEOUT_MARGIN: Duration = Duration::from_secs(1);

/// What all clients of a process together may use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Capacity {
    /// Number of connections, with those of other processes of the deployment.
    pub connections: usize,
    /// Bytes of the connections of clients, their heads and bodies, and of the requests that are handled.
    pub bytes: usize,
    /// Bytes of accepted jobs, if this process is the owner.
    pub jobs: usize,
}

impl Capacity {
    /// Returns the capacity of a process on a machine with this memory and number of descriptors.
    pub fn of_machine(memory_bytes: usize, descriptors: usize) -> Self {
        let bytes = memory_bytes / MEMORY_DIVISOR;
        let connections = descriptors.saturating_sub(RESERVED_DESCRIPTORS);
        Self {
            connections: connections.max(MIN_CONNECTIONS),
            bytes,
            jobs: memory_bytes / JOBS_DIVISOR,
        }
    }

    /// Returns the capacities for callers and for connections between processes, of a process that serves both. Callers may have
    /// `max_connections`, and leave a third of the descriptors to the others.
    pub fn of_native_entry(
        memory_bytes: usize,
        descriptors: usize,
        max_connections: usize,
    ) -> (Self, Self) {
        let of_machine = Self::of_machine(memory_bytes, descriptors);
        let peers = of_machine.connections / PEERS_DIVISOR;
        let callers = Self {
            connections: max_connections.min(of_machine.connections - peers),
            jobs: 0,
            ..of_machine
        };
        let peers = Self {
            connections: peers,
            // Processes of the deployment are not counted once they have proved that they have the key.
            bytes: of_machine.bytes / PEERS_DIVISOR,
            jobs: 0,
        };
        (callers, peers)
    }

    /// Returns a capacity without limits on memory.
    pub fn unlimited(connections: usize) -> Self {
        Self {
            connections,
            bytes: usize::MAX / 2,
            jobs: usize::MAX / 2,
        }
    }
}

/// Limits of a single request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestLimits {
    /// Maximum size of a head in bytes.
    pub head_bytes: usize,
    /// Time for a head from its first byte.
    pub head_timeout: Duration,
    /// Time without any byte, between requests or within a body.
    pub idle_timeout: Duration,
    /// Time for a whole body.
    pub body_timeout: Duration,
}

impl Default for RequestLimits {
    fn default() -> Self {
        Self {
            head_bytes: 16 * 1024,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
            body_timeout: Duration::from_mins(1),
        }
    }
}

/// State of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// No request has begun since the connection was opened or the last one was answered.
    Waiting,
    /// A head has begun.
    Head,
    /// The head is complete and the body is being read.
    Body,
    /// The request is complete and not yet answered.
    Serving,
    /// The answer is being written.
    Responding,
    /// The sender has proved to be a process of the deployment.
    Peer,
}

/// What is known of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct View {
    /// Identifies the connection.
    pub key: ConnectionKey,
    /// Its state.
    pub phase: Phase,
    /// Bytes that it holds.
    pub held: usize,
    /// Time since the phase began.
    pub in_phase: Duration,
    /// Time since any byte was read or written.
    pub idle: Duration,
    /// Whether it is being closed.
    pub closing: bool,
}

impl View {
    /// Returns how much is gained by closing the connection; `None` if it must not be closed.
    ///
    /// A complete request may already run, so that closing its connection would leave the client without a true answer, unless
    /// the client does not read it. Time counts from the start of the phase: a client that sends a byte now and then has not
    /// progressed. Size counts twice, so that unfinished bodies go before the connections of ordinary callers that wait between
    /// two requests. Beyond the size of most bodies it counts no more, so that a large announcement does not go before a crowd.
    fn gain(&self) -> Option<u128> {
        let is_protected = match self.phase {
            Phase::Serving | Phase::Peer => true,
            Phase::Responding => self.idle < READ_TIMEOUT,
            Phase::Waiting | Phase::Head | Phase::Body => false,
        };
        if self.closing || is_protected {
            return None;
        }
        let size = self.held.min(LARGE_BYTES) as u128;
        Some(
            size.saturating_mul(size)
                .saturating_mul(self.in_phase.as_millis() + 1),
        )
    }
}

/// Returns the connection that is closed to make room for others.
pub fn victim(views: impl Iterator<Item = View>) -> Option<ConnectionKey> {
    views
        .filter_map(|view| Some((view.gain()?, view.key)))
        .max()
        .map(|(_, key)| key)
}

/// What all connections use.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Usage {
    /// Bytes that are held.
    pub held: usize,
    /// Part of them that belongs to connections that are being closed.
    pub closing: usize,
    /// Bytes of accepted jobs, if this process is the owner.
    pub jobs: usize,
}

/// Whether more bytes may be held.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reservation {
    /// They may.
    Granted,
    /// They may once another connection is closed.
    NeedsRoom,
    /// They may not, because closed connections have not released their memory yet, or because they exceed the budget.
    Refused,
}

/// Decides whether more bytes may be held.
///
/// Half of what jobs take beyond half of their room is taken from the requests: a single large job may exceed that room.
pub fn reserve(capacity: Capacity, usage: Usage, bytes: usize) -> Reservation {
    let taken = usage.jobs.saturating_sub(capacity.jobs / 2) / 2;
    let least = capacity.bytes / LEAST_DIVISOR;
    let room = capacity.bytes.saturating_sub(taken).max(least);
    let total = usage.held.saturating_add(bytes);
    if bytes > room || total > room + room / CLOSING_DIVISOR {
        Reservation::Refused
    } else if total.saturating_sub(usage.closing) > room {
        Reservation::NeedsRoom
    } else {
        Reservation::Granted
    }
}

/// What accepted jobs use.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct JobLoad {
    /// Bytes of all jobs.
    pub total: usize,
    /// Part of them that belongs to the client account of a new job.
    pub of_account: usize,
}

/// Decides whether the owner accepts another job.
///
/// A client account may use as much as it leaves free for the others, so that the first job of another one finds room. A single job
/// that is larger than that is accepted in calm; meanwhile, the others still have a small share each.
pub fn admits_job(capacity: usize, load: JobLoad, bytes: usize) -> bool {
    let free = capacity.saturating_sub(load.total);
    let of_account = load.of_account.saturating_add(bytes);
    let is_calm = load.total <= capacity / CALM_DIVISOR;
    let is_small = of_account <= capacity / SMALL_DIVISOR
        && load.total.saturating_add(bytes) <= capacity + capacity / 4 * 3;
    is_calm || is_small || of_account <= free
}

/// Returns whether the owner has so little room that it has to be asked before each job is stored.
pub fn is_scarce(capacity: usize, used: usize) -> bool {
    used > capacity / 2
}

/// Returns how many bytes of jobs one of several entries may store before the owner has confirmed them. Entries that have not heard
/// yet that room is scarce add a quarter of it at most.
pub fn unasked_bytes(capacity: usize, entries: usize) -> usize {
    capacity / 4 / entries.max(1)
}

/// Why a connection is closed or refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// The process has as many connections as it may have.
    Connections,
    /// The budget of bytes is used up.
    Memory,
    /// The head exceeds its limit.
    HeadSize,
    /// The head took too long.
    HeadTimeout,
    /// The body took too long.
    BodyTimeout,
    /// The answer was not read for too long.
    ResponseTimeout,
    /// Nothing was sent for too long after a request.
    Idle,
    /// A new connection was refused, because no other one could be closed for it.
    RefusedConnection,
    /// A body was refused, because no other connection could be closed for it.
    RefusedBody,
    /// A complete request was refused, because there is no room to handle it.
    RefusedRequest,
    /// A job was refused, because the owner has no room for it.
    RefusedJob,
}

impl Reason {
    /// All reasons.
    pub const ALL: [Self; 11] = [
        Self::Connections,
        Self::Memory,
        Self::HeadSize,
        Self::HeadTimeout,
        Self::BodyTimeout,
        Self::ResponseTimeout,
        Self::Idle,
        Self::RefusedConnection,
        Self::RefusedBody,
        Self::RefusedRequest,
        Self::RefusedJob,
    ];

    /// Returns the name in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Connections => "connections",
            Self::Memory => "memory",
            Self::HeadSize => "head_size",
            Self::HeadTimeout => "head_timeout",
            Self::BodyTimeout => "body_timeout",
            Self::ResponseTimeout => "response_timeout",
            Self::Idle => "idle",
            Self::RefusedConnection => "refused_connection",
            Self::RefusedBody => "refused_body",
            Self::RefusedRequest => "refused_request",
            Self::RefusedJob => "refused_job",
        }
    }
}

/// Returns why a connection has taken too long.
pub fn overdue(view: &View, limits: &RequestLimits) -> Option<Reason> {
    let exceeds = |time: Duration, limit: Duration| time > limit.saturating_add(TIMEOUT_MARGIN);
    match view.phase {
        _ if view.closing => None,
        Phase::Waiting => exceeds(view.idle, limits.idle_timeout).then_some(Reason::Idle),
        Phase::Head => exceeds(view.in_phase, limits.head_timeout).then_some(Reason::HeadTimeout),
        Phase::Body => (exceeds(view.idle, limits.idle_timeout)
            || exceeds(view.in_phase, limits.body_timeout))
        .then_some(Reason::BodyTimeout),
        Phase::Responding => {
            exceeds(view.idle, limits.idle_timeout).then_some(Reason::ResponseTimeout)
        }
        Phase::Serving | Phase::Peer => None,
    }
}

/// Returns whether a head exceeds its limit. `before` is what had arrived of it before the latest bytes, which may already
/// belong to the body.
pub fn is_head_too_large(before: usize, limits: &RequestLimits) -> bool {
    before > limits.head_bytes
}

/// Returns the capacity of the next part of a body of which `read` bytes have arrived.
///
/// Parts follow what has arrived and not the declared length, which costs a client nothing to state. They are small and nearly all
/// of one size, because a buffer that grows leaves holes in the heap that exceed the budget.
pub fn body_part(read: usize, limit: usize) -> usize {
    const FIRST_BYTES: usize = 4 * 1024;
    const PART_BYTES: usize = 16 * 1024;
    let part = if read == 0 { FIRST_BYTES } else { PART_BYTES };
    part.min(limit.saturating_sub(read))
}
