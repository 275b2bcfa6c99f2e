//! Overdue calls: calls that have timed out and are still in flight.

use crate::discovery::call::PendingCall;
use crate::discovery::update::EndpointUpdate;
use crate::net::outbound_connection::OutboundConnection;
use std::collections::VecDeque;
use std::future::poll_fn;
use std::task::Poll;
use std::time::Duration;
use tokio::time::Instant;

/// Maximum number of overdue calls.
const MAX_OVERDUE_CALLS: usize = 2;

/// The overdue calls, earliest first.
///
/// An overloaded service processes its calls in order of arrival, including abandoned ones. A call that is abandoned
/// and repeated loses its place in that queue. Overdue calls are therefore kept, and their late responses are used.
pub(super) struct OverdueCalls {
    calls: VecDeque<OverdueCall>,
    /// Time since the start of a call for which it is not dropped in favour of a later one.
    min_wait: Duration,
}

struct OverdueCall {
    call: PendingCall,
    started: Instant,
}

/// An update that an overdue call has received.
pub(super) struct LateUpdate {
    /// The update.
    pub update: EndpointUpdate,
    /// The connection of the call, if it can be used for the next one.
    pub connection: Option<OutboundConnection>,
}

impl OverdueCalls {
    /// Creates an empty set, which keeps the earliest call for at least `min_wait` since its start.
    pub(super) fn new(min_wait: Duration) -> Self {
        Self {
            calls: VecDeque::new(),
            min_wait,
        }
    }

    /// Adds a call that started at `started`. If there are too many, drops the earliest one, since its connection may be
    /// broken. Before `min_wait` has passed for that one, drops the latest of the others instead: if each call was dropped
    /// after a few later ones, a slow service would never be heard.
    pub(super) fn push(&mut self, call: PendingCall, started: Instant) {
        if self.calls.len() == MAX_OVERDUE_CALLS {
            let earliest = self.calls.front();
            if earliest.is_some_and(|earliest| earliest.started.elapsed() < self.min_wait) {
                self.calls.pop_back();
            } else {
                self.calls.pop_front();
            }
        }
        self.calls.push_back(OverdueCall { call, started });
    }

    /// Drops all calls, which closes their connections.
    pub(super) fn clear(&mut self) {
        self.calls.clear();
    }

    /// Waits until any of the calls receives an update. Drops calls that fail.
    pub(super) async fn next_update(&mut self) -> LateUpdate {
        poll_fn(|cx| {
            let mut received = None;
            self.calls.retain_mut(|overdue| {
                if received.is_some() {
                    return true;
                }
                let Poll::Ready(end) = overdue.call.as_mut().poll(cx) else {
                    return true;
                };
                received = end.result.ok().map(|update| LateUpdate {
                    update,
                    connection: end.connection,
                });
                false
            });
            received.map_or(Poll::Pending, Poll::Ready)
        })
        .await
    }
}
