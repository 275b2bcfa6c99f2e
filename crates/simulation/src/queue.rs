//! Priority queue of events, ordered by time and then by insertion.
#[cfg(test)]
mod tests;

use std::cmp::Ordering;
use std::collections::BinaryHeap;

/// An event with its time in seconds and a sequence number, which breaks ties in order of insertion.
struct Entry<T> {
    at: f64,
    sequence: u64,
    event: T,
}

impl<T> PartialEq for Entry<T> {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}
impl<T> Eq for Entry<T> {}
impl<T> PartialOrd for Entry<T> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}
impl<T> Ord for Entry<T> {
    /// Compares in reverse: `BinaryHeap` returns its greatest entry first, and the earliest one is needed.
    fn cmp(&self, other: &Self) -> Ordering {
        other
            .at
            .total_cmp(&self.at)
            .then(other.sequence.cmp(&self.sequence))
    }
}

/// Scheduled events; those of one time are returned in the order of insertion.
pub(crate) struct EventQueue<T> {
    entries: BinaryHeap<Entry<T>>,
    last_sequence: u64,
}

impl<T> Default for EventQueue<T> {
    fn default() -> Self {
        Self {
            entries: BinaryHeap::new(),
            last_sequence: 0,
        }
    }
}

impl<T> EventQueue<T> {
    /// Schedules an event at a time in seconds.
    pub(crate) fn push(&mut self, at: f64, event: T) {
        self.last_sequence += 1;
        self.entries.push(Entry {
            at,
            sequence: self.last_sequence,
            event,
        });
    }

    /// Removes and returns the earliest event and its time; of several at that time, the one that was inserted first.
    pub(crate) fn pop(&mut self) -> Option<(f64, T)> {
        self.entries.pop().map(|entry| (entry.at, entry.event))
    }
}
