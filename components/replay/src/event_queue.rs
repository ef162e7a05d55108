//! The queue of scheduled events in virtual time.

use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;
use std::time::Duration;

use model::GangId;

/// An event that is scheduled for a virtual time.
#[derive(Debug, Clone, Copy)]
pub(crate) enum ScheduledEvent {
    /// A line of the trace, by index.
    TraceLine(usize),
    /// The agents answer the reservation request of a gang.
    ReservationReply(GangId),
    /// An unanswered reservation request expires.
    ReservationExpiry(GangId),
    /// A gang ends; ignored if the end was rescheduled to another time.
    GangEnd(GangId),
    /// The membership controller detects a change.
    MembershipChange,
    /// A timer tick.
    Tick,
}

#[derive(Debug)]
struct Entry {
    at: Duration,
    sequence: u64,
    event: ScheduledEvent,
}

impl Entry {
    fn key(&self) -> (Duration, u64) {
        (self.at, self.sequence)
    }
}

impl PartialEq for Entry {
    fn eq(&self, other: &Self) -> bool {
        self.key() == other.key()
    }
}

impl Eq for Entry {}

impl PartialOrd for Entry {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Entry {
    fn cmp(&self, other: &Self) -> Ordering {
        self.key().cmp(&other.key())
    }
}

/// A priority queue of events by time; events of the same time keep the order in which they were scheduled.
#[derive(Debug, Default)]
pub(crate) struct EventQueue {
    heap: BinaryHeap<Reverse<Entry>>,
    last_sequence: u64,
}

impl EventQueue {
    pub(crate) fn schedule(&mut self, at: Duration, event: ScheduledEvent) {
        self.last_sequence += 1;
        let sequence = self.last_sequence;
        self.heap.push(Reverse(Entry {
            at,
            sequence,
            event,
        }));
    }

    /// Removes and returns all events of the earliest time.
    pub(crate) fn pop_batch(&mut self) -> Option<(Duration, Vec<ScheduledEvent>)> {
        let at = self.heap.peek()?.0.at;
        let mut batch = Vec::new();
        while let Some(Reverse(entry)) = self.heap.peek()
            && entry.at == at
        {
            batch.push(entry.event);
            self.heap.pop();
        }
        Some((at, batch))
    }
}
