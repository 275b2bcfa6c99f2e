//! Overdue calls: calls that have timed out and are still in flight.

use crate::discovery::call::PendingCall;
use crate::discovery::update::EndpointUpdate;
use crate::net::outbound_connection::OutboundConnection;
use std::collections::VecDeque;
use std::future::poll_fn;
use std::task::Poll;

/// Maximum number of overdue calls.
const MAX_OVERDUE_CALLS: usize = 2;

/// The overdue calls, earliest first.
///
/// An overloaded service processes its calls in order of arrival, including abandoned ones. A call that is abandoned
/// and repeated loses its place in that queue. Overdue calls are therefore kept, and their late responses are used.
#[derive(Default)]
pub(super) struct OverdueCalls(VecDeque<PendingCall>);

/// An update that an overdue call has received.
pub(super) struct LateUpdate {
    /// The update.
    pub update: EndpointUpdate,
    /// The connection of the call, if it can be used for the next one.
    pub connection: Option<OutboundConnection>,
}

impl OverdueCalls {
    /// Adds a call. If there are too many, drops the earliest one, since its connection may be broken.
    pub(super) fn push(&mut self, call: PendingCall) {
        if self.0.len() == MAX_OVERDUE_CALLS {
            self.0.pop_front();
        }
        self.0.push_back(call);
    }

    /// Drops all calls, which closes their connections.
    pub(super) fn clear(&mut self) {
        self.0.clear();
    }

    /// Waits until any of the calls receives an update. Drops calls that fail.
    pub(super) async fn next_update(&mut self) -> LateUpdate {
        poll_fn(|cx| {
            let mut received = None;
            self.0.retain_mut(|call| {
                if received.is_some() {
                    return true;
                }
                let Poll::Ready(end) = call.as_mut().poll(cx) else {
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
