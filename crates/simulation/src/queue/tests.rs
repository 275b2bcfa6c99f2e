//! The order of the event queue.
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
