//! The queue of what will happen: by time, and at one time in the order in which it was put in.
use std::cmp::Ordering;
use std::collections::BinaryHeap;

struct Entry<T> {
    at: f64,
    number: u64,
    what: T,
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
    /// The heap gives the greatest: the earliest here.
    fn cmp(&self, other: &Self) -> Ordering {
        other
            .at
            .total_cmp(&self.at)
            .then(other.number.cmp(&self.number))
    }
}

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
    pub(crate) fn put(&mut self, at: f64, what: T) {
        self.next += 1;
        self.entries.push(Entry {
            at,
            number: self.next,
            what,
        });
    }

    pub(crate) fn take(&mut self) -> Option<(f64, T)> {
        self.entries.pop().map(|entry| (entry.at, entry.what))
    }
}

#[cfg(test)]
mod tests {
    use super::Queue;

    #[test]
    fn what_is_due_at_one_time_comes_in_the_order_in_which_it_was_put() {
        let mut queue = Queue::default();
        for (at, what) in [(2.0, 'c'), (1.0, 'a'), (2.0, 'd'), (1.0, 'b'), (0.5, '0')] {
            queue.put(at, what);
        }
        let taken: String = std::iter::from_fn(|| queue.take())
            .map(|(_, what)| what)
            .collect();
        assert_eq!(taken, "0abcd");
    }
}
