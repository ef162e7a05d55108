//! The event heap of virtual time.

use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;
use std::time::Duration;

use model::GangId;

/// What becomes due.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Due {
    /// A line of the trace, by index.
    Line(usize),
    /// The agents answer the reservation of a gang.
    Reservation(GangId),
    /// The term of an unanswered reservation passed.
    ReservationTerm(GangId),
    /// A gang may end; stale if its end was moved.
    End(GangId),
    /// The membership controller notices a change.
    Membership,
    /// A timer tick.
    Tick,
}

#[derive(Debug)]
struct Entry {
    at: Duration,
    serial: u64,
    due: Due,
}

impl Entry {
    fn key(&self) -> (Duration, u64) {
        (self.at, self.serial)
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

/// Entries by time; entries of one time keep the order in which they were added.
#[derive(Debug, Default)]
pub(crate) struct Timeline {
    heap: BinaryHeap<Reverse<Entry>>,
    serial: u64,
}

impl Timeline {
    pub(crate) fn add(&mut self, at: Duration, due: Due) {
        self.serial += 1;
        let serial = self.serial;
        self.heap.push(Reverse(Entry { at, serial, due }));
    }

    /// Removes all entries of the earliest time.
    pub(crate) fn next_batch(&mut self) -> Option<(Duration, Vec<Due>)> {
        let at = self.heap.peek()?.0.at;
        let mut batch = Vec::new();
        while let Some(Reverse(entry)) = self.heap.peek()
            && entry.at == at
        {
            batch.push(entry.due);
            self.heap.pop();
        }
        Some((at, batch))
    }
}
