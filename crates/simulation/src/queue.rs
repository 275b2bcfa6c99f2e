//! Event queue, in order of time and then of insertion.
#[cfg(test)]
mod tests;

use std::cmp::Ordering;
use std::collections::BinaryHeap;

/// An event with its time in seconds and its number in the order of insertion.
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
    /// Orders entries in reverse, because the heap returns the greatest first.
    fn cmp(&self, other: &Self) -> Ordering {
        other
            .at
            .total_cmp(&self.at)
            .then(other.sequence.cmp(&self.sequence))
    }
}

/// Events by time.
pub(crate) struct Queue<T> {
    entries: BinaryHeap<Entry<T>>,
    next: u64,
}

impl<T> Default for Queue<T> {
    fn default() -> Self {
        Self {
            entries: BinaryHeap::new(),
            next: 0,
        }
    }
}

impl<T> Queue<T> {
    /// Adds an event at a time in seconds.
    pub(crate) fn put(&mut self, at: f64, event: T) {
        self.next += 1;
        self.entries.push(Entry {
            at,
            sequence: self.next,
            event,
        });
    }

    /// Takes the earliest event with its time; of several at that time, the one that was added first.
    pub(crate) fn take(&mut self) -> Option<(f64, T)> {
        self.entries.pop().map(|entry| (entry.at, entry.event))
    }
}
