//! Accounts of single connections and requests.

use std::marker::PhantomData;
use std::sync::atomic::{AtomicUsize, Ordering};

use crate::decide::{self, CONNECTION_BYTES, Phase, Reason};
use crate::ledger::SlotRef;

/// Size up to which the read buffer of a connection is part of its fixed cost.
const FIRST_READ_BYTES: usize = 8 * 1024;
/// Maximum size of the read buffer of an HTTP connection. Longer heads are refused, whatever the configuration allows.
pub(crate) const MAX_READ_BUFFER_BYTES: usize = 32 * 1024;

/// Account of an open connection, which is settled when this value is dropped.
#[derive(Debug)]
pub struct Connection {
    slot: SlotRef,
    /// Largest read buffer that is accounted for, which is kept between requests.
    read_buffer: AtomicUsize,
}

impl Connection {
    pub(crate) fn new(slot: SlotRef) -> Self {
        Self {
            slot,
            read_buffer: AtomicUsize::new(FIRST_READ_BYTES),
        }
    }

    /// Lets the connection hold more bytes, for which others may be closed; returns whether it may.
    pub(crate) fn reserve(&self, bytes: usize) -> bool {
        self.slot.clients.reserve(self.slot.index, bytes)
    }

    /// Counts bytes that the connection no longer holds.
    pub fn give_back(&self, bytes: usize) {
        self.slot.clients.give_back(self.slot.index, bytes);
    }

    /// Records that bytes were read or written.
    pub fn record_progress(&self) {
        self.slot.clients.record_progress(self.slot.index);
    }

    /// Records bytes that an HTTP server has written.
    pub(crate) fn record_http_written(&self, bytes: usize) {
        self.slot.clients.record_written(self.slot.index, bytes);
    }

    /// Records that a message has begun.
    pub fn begin_message(&self) {
        if self.slot.clients.phase(self.slot.index) != Phase::Peer {
            self.slot.clients.enter(self.slot.index, Phase::Body);
        }
    }

    /// Lets a connection between processes hold more bytes; returns whether it may. A process of the deployment always may.
    pub fn hold_message(&self, bytes: usize) -> bool {
        if self.slot.clients.phase(self.slot.index) == Phase::Peer {
            self.slot.clients.add(self.slot.index, bytes);
            return true;
        }
        let granted = self.reserve(bytes);
        if !granted {
            self.slot.clients.count(Reason::Memory);
        }
        granted
    }

    /// Records that the sender is a process of the deployment. The connection is then not closed for others, and leaves the budget
    /// to them: an owner has a connection from each agent.
    pub fn trust(&self) {
        if self.slot.clients.phase(self.slot.index) != Phase::Peer {
            self.slot.clients.enter(self.slot.index, Phase::Peer);
            self.give_back(CONNECTION_BYTES);
        }
    }

    /// Records bytes that an HTTP server has read; returns why the connection has to be closed.
    pub(crate) fn record_http_read(&self, bytes: usize) -> Option<Reason> {
        let clients = &self.slot.clients;
        let phase = match clients.phase(self.slot.index) {
            Phase::Waiting => {
                clients.enter(self.slot.index, Phase::Head);
                Phase::Head
            }
            // A client that sends further requests has not read the answer.
            Phase::Responding => Phase::Responding,
            phase => {
                self.record_progress();
                phase
            }
        };
        let before = clients.count_read(self.slot.index, bytes);
        if phase == Phase::Head && decide::is_head_too_large(before, &clients.limits.load()) {
            return Some(Reason::HeadSize);
        }
        // The buffer keeps all of a head, and of a body only what one read brings.
        let kept = if phase == Phase::Head { before } else { 0 };
        let buffer = (kept + bytes).min(MAX_READ_BUFFER_BYTES);
        let accounted = self.read_buffer.fetch_max(buffer, Ordering::Relaxed);
        let grown = buffer.saturating_sub(accounted);
        if grown == 0 || self.reserve(grown) {
            return None;
        }
        if matches!(phase, Phase::Serving | Phase::Responding) {
            // The request that is being handled gets its answer.
            clients.add(self.slot.index, grown);
            return None;
        }
        Some(Reason::Memory)
    }

    pub(crate) fn count(&self, reason: Reason) {
        self.slot.clients.count(reason);
    }
}

/// The body of the request is being read.
#[derive(Debug)]
pub struct Receiving;
/// The request is complete.
#[derive(Debug)]
pub struct Serving;

/// Account of one request on a connection; when it is dropped, the connection waits for the next one.
#[derive(Debug)]
pub struct Exchange<S> {
    account: Account,
    state: PhantomData<S>,
}

/// The slot of a connection with what one request holds.
#[derive(Debug)]
struct Account {
    slot: SlotRef,
    held: usize,
    /// Phase of the connection after the request.
    next: Phase,
}

impl Exchange<Receiving> {
    /// Begins the account of a request whose head is complete.
    pub(crate) fn begin(slot: SlotRef) -> Self {
        slot.clients.enter(slot.index, Phase::Body);
        Self {
            account: Account {
                slot,
                held: 0,
                // The rest of a body that was not read may still arrive.
                next: Phase::Body,
            },
            state: PhantomData,
        }
    }

    /// Lets the body hold more bytes; returns whether it may.
    pub(crate) fn reserve(&mut self, bytes: usize) -> bool {
        self.account.reserve(bytes, Reason::RefusedBody)
    }

    /// Counts bytes that the body no longer holds.
    pub(crate) fn give_back(&mut self, bytes: usize) {
        self.account.held -= bytes;
        let slot = &self.account.slot;
        slot.clients.give_back(slot.index, bytes);
    }

    /// Records that the request is complete, so that its connection is not closed for others.
    pub(crate) fn received(mut self) -> Exchange<Serving> {
        self.account.next = Phase::Waiting;
        self.account
            .slot
            .clients
            .enter(self.account.slot.index, Phase::Serving);
        Exchange {
            account: self.account,
            state: PhantomData,
        }
    }
}

impl Exchange<Serving> {
    /// Lets a complete request hold more bytes while it is handled; returns whether it may. Otherwise it must be refused before
    /// anything is stored.
    pub fn reserve(&mut self, bytes: usize) -> bool {
        self.account.reserve(bytes, Reason::RefusedRequest)
    }
}

impl Account {
    /// Counts more bytes if there is room for them, and `refusal` otherwise; returns whether there is.
    fn reserve(&mut self, bytes: usize, refusal: Reason) -> bool {
        let granted = self.slot.clients.reserve(self.slot.index, bytes);
        if granted {
            self.held += bytes;
        } else {
            self.slot.clients.count(refusal);
        }
        granted
    }
}

impl Drop for Account {
    fn drop(&mut self) {
        self.slot.clients.give_back(self.slot.index, self.held);
        self.slot.clients.enter(self.slot.index, self.next);
    }
}
