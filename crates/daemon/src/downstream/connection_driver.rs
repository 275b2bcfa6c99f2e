//! Drives a client's connection: performs its I/O and decides when it ends.
use crate::clock::until;
use crate::downstream::connection::ClientConnection;
use crate::end_reason::EndReason;
use crate::lifecycle::state::ProxyState;
use crate::net::inbound_stream::ReadAhead;
use std::future::{Future, poll_fn};
use std::pin::{Pin, pin};
use std::task::Poll;
use tokio::select;
use tokio::sync::watch;
use tokio::task::yield_now;
use tokio::time::{Instant, sleep_until};

/// Drives a client's connection until it ends, and returns the reason. Nothing else closes a connection.
///
/// Received bytes are always read before a scheduled close takes effect. Otherwise an RPC that is read in the same
/// iteration of the event loop in which its connection is closed as idle would be lost.
pub(super) async fn drive<C: Future<Output = hyper::Result<()>> + Unpin>(
    connection: &mut C,
    client: &ClientConnection,
    read_ahead: &ReadAhead,
    mut state: watch::Receiver<ProxyState>,
) -> EndReason {
    let mut disconnected = pin!(read_ahead.disconnected());
    loop {
        let drain = state.borrow_and_update().drain_deadlines();
        let close_at = client.scheduled_close(drain).at;
        match next_event(
            connection,
            client,
            disconnected.as_mut(),
            &mut state,
            close_at,
        )
        .await
        {
            ConnectionEvent::StreamEnded(result) => return stream_end_reason(&result, client),
            ConnectionEvent::ClientDisconnected => return EndReason::ClientDisconnected,
            ConnectionEvent::ScheduleChanged => {}
            ConnectionEvent::GracePeriodEnded => client.register_evictable(),
            ConnectionEvent::CloseDue => {
                // What the client of an evicted connection has sent besides is rejected anyway.
                if !client.rejects_messages()
                    && let Poll::Ready(result) = read_once_more(connection, read_ahead).await
                {
                    return stream_end_reason(&result, client);
                }
                let close = client.scheduled_close(state.borrow().drain_deadlines());
                if close.at <= Instant::now() {
                    return close.reason;
                }
            }
        }
    }
}

/// An event on a client's connection.
enum ConnectionEvent {
    /// The HTTP connection ended by itself.
    StreamEnded(hyper::Result<()>),
    /// The client disconnected while its RPC was in flight.
    ClientDisconnected,
    /// The phase of the connection or the state of the proxy changed, and with it the scheduled close.
    ScheduleChanged,
    /// The grace period of a new connection is over.
    GracePeriodEnded,
    /// The scheduled close is due.
    CloseDue,
}

/// Performs the connection's I/O until the next event.
async fn next_event<C: Future<Output = hyper::Result<()>> + Unpin>(
    connection: &mut C,
    client: &ClientConnection,
    disconnected: Pin<&mut impl Future<Output = ()>>,
    state: &mut watch::Receiver<ProxyState>,
    close_at: Instant,
) -> ConnectionEvent {
    let grace_period_end = client.grace_period_end();
    select! {
        biased;
        result = connection => ConnectionEvent::StreamEnded(result),
        () = disconnected_while_serving(client, disconnected) => ConnectionEvent::ClientDisconnected,
        () = client.changed() => ConnectionEvent::ScheduleChanged,
        _ = state.changed() => ConnectionEvent::ScheduleChanged,
        () = until(grace_period_end) => ConnectionEvent::GracePeriodEnded,
        () = sleep_until(close_at) => ConnectionEvent::CloseDue,
    }
}

/// Waits until the client disconnects while its RPC is in flight, even if unread bytes precede the disconnect: an RPC
/// must neither wait nor be forwarded if its client is gone.
async fn disconnected_while_serving(
    client: &ClientConnection,
    mut disconnected: Pin<&mut impl Future<Output = ()>>,
) {
    poll_fn(|cx| {
        if client.is_serving() {
            disconnected.as_mut().poll(cx)
        } else {
            Poll::Pending
        }
    })
    .await;
}

/// Returns the reason for the end of a connection whose stream ended by itself.
fn stream_end_reason(result: &hyper::Result<()>, client: &ClientConnection) -> EndReason {
    match result {
        Ok(()) if client.is_closing() => EndReason::LastResponse,
        Ok(()) => EndReason::ClientClosed,
        Err(error) if error.is_parse() => EndReason::MalformedMessage,
        Err(_) => EndReason::ConnectionBroken,
    }
}

/// Reads the bytes that the kernel has received since the event loop last polled the connection; ready if the
/// connection ended.
async fn read_once_more<C: Future + Unpin>(
    connection: &mut C,
    read_ahead: &ReadAhead,
) -> Poll<C::Output> {
    yield_now().await;
    read_ahead.read_available();
    poll_fn(|cx| Poll::Ready(Pin::new(&mut *connection).poll(cx))).await
}
