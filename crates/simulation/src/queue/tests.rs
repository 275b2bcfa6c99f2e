//! The order of the event queue.
use super::Queue;

#[test]
fn events_of_one_time_are_taken_in_the_order_of_insertion() {
    let mut queue = Queue::default();
    for (at, what) in [(2.0, 'c'), (1.0, 'a'), (2.0, 'd'), (1.0, 'b'), (0.5, '0')] {
        queue.put(at, what);
    }
    let taken: String = std::iter::from_fn(|| queue.take())
        .map(|(_, what)| what)
        .collect();
    assert_eq!(taken, "0abcd");
}
