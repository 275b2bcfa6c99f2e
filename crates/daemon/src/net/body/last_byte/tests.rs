use super::*;
use std::time::Duration;

const MILLISECOND: Duration = Duration::from_millis(1);
const SECOND: Duration = Duration::from_secs(1);

#[test]
fn the_last_byte_may_have_come_since_the_socket_was_last_empty() {
    let start = Instant::now();
    let before = start - SECOND;
    let mut bound = LastByteBound::new(start, 70_000);
    // The socket always held more bytes.
    bound.record_read(start + SECOND, 80_000, 1, before);
    bound.record_read(start + 2 * SECOND, 90_000, 1, before);
    assert_eq!(bound.earliest(), start);
    // It was empty until these bytes came.
    let drained_at = start + 3 * SECOND;
    assert!(bound.is_drained(drained_at));
    bound.record_read(start + 4 * SECOND, 100_000, 1, drained_at);
    assert_eq!(bound.earliest(), start + 4 * SECOND);
    bound.record_read(start + 5 * SECOND, 110_000, 1, drained_at);
    assert_eq!(bound.earliest(), start + 4 * SECOND);
}

/// After a pause in reading, the socket is empty for a moment each time before the client's system sends more of what the
/// client has written long ago.
#[test]
fn a_socket_that_is_empty_for_a_moment_tells_nothing() {
    let start = Instant::now();
    let mut bound = LastByteBound::new(start, 70_000);
    let resumed = start + SECOND;
    bound.record_read(resumed, 80_000, 1, start - SECOND);
    for step in 1..10 {
        let drained_at = resumed + step * 3 * MILLISECOND;
        bound.record_read(drained_at + MILLISECOND, 90_000, 1, drained_at);
    }
    assert_eq!(bound.earliest(), start);
}

/// A client that sends its bytes one by one is kept up with, however short the pauses are.
#[test]
fn a_client_without_long_pauses_is_kept_up_with() {
    let start = Instant::now();
    let mut bound = LastByteBound::new(start, 70_000);
    let mut now = start;
    for byte in 1..300 {
        now = start + byte * 10 * MILLISECOND;
        bound.record_read(now, 70_000 + u64::from(byte), 1, now - MILLISECOND);
    }
    assert_eq!(bound.earliest(), now);
}

/// A client that sends without a pause for longer than its timeout, to a backend that is slower, has not sent its last
/// byte.
#[test]
fn more_bytes_than_the_sockets_hold_were_not_sent_at_once() {
    let start = Instant::now();
    let mut bound = LastByteBound::new(start, 0);
    let step = MAX_BYTES_IN_SOCKETS / 4;
    for second in 1..=10 {
        let now = start + second * SECOND;
        bound.record_read(now, u64::from(second) * step, 0, start - SECOND);
    }
    assert_eq!(bound.earliest(), start + 5 * SECOND);
}

#[test]
fn a_declared_rest_that_the_sockets_do_not_hold_was_not_sent() {
    let start = Instant::now();
    let mut bound = LastByteBound::new(start, 70_000);
    for (second, unread_bytes) in [(1, MAX_BYTES_IN_SOCKETS + 1), (2, MAX_BYTES_IN_SOCKETS)] {
        let now = start + second * SECOND;
        bound.record_read(now, 80_000, unread_bytes, start - SECOND);
        assert_eq!(bound.earliest(), start + SECOND);
    }
}

/// The client's timeout counts from the last byte as it is read, unless the byte may have been unread for long.
#[test]
fn a_last_byte_is_not_taken_for_much_later_than_it_can_have_been_sent() {
    let start = Instant::now();
    let unread_since_the_start = start - SECOND;
    let mut bound = LastByteBound::new(start, 70_000);
    let late = start + 2 * SECOND;
    assert_eq!(bound.sent_at(late, unread_since_the_start), late);
    bound.record_starvation();
    let soon = start + LAST_BYTE_UNCERTAINTY / 2;
    assert_eq!(bound.sent_at(soon, unread_since_the_start), soon);
    let assumed = start + LAST_BYTE_UNCERTAINTY;
    assert_eq!(bound.sent_at(late, unread_since_the_start), assumed);
}
