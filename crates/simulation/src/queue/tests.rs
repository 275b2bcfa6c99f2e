//! Tests of the order in which the event queue returns events.
use super::EventQueue;

#[test]
fn simultaneous_events_are_returned_in_insertion_order() {
    let mut queue = EventQueue::default();
    for (at, event) in [(2.0, 'c'), (1.0, 'a'), (2.0, 'd'), (1.0, 'b'), (0.5, '0')] {
        queue.push(at, event);
    }
    let order: String = std::iter::from_fn(|| queue.pop())
        .map(|(_, event)| event)
        .collect();
    assert_eq!(order, "0abcd");
}
