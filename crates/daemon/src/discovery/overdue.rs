//! Overdue polls: polls that timed out and are still in flight.

use crate::discovery::call::PendingCall;
use crate::discovery::update::EndpointUpdate;
use crate::net::outbound_connection::OutboundConnection;
use std::collections::VecDeque;
use std::future::poll_fn;
use std::task::Poll;

/// Largest number of overdue calls.
const MAX_OVERDUE_CALLS: usize = 2;

/// The overdue calls, earliest first.
///
/// An overloaded service processes its calls in order of arrival, and processes abandoned calls too. A call that is
/// abandoned and repeated loses its place in that queue, so overdue calls are kept and their late responses count.
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
    /// Adds a call. Abandons the earliest one if there are too many, since its connection may be dead.
    pub(super) fn push(&mut self, call: PendingCall) {
        if self.0.len() == MAX_OVERDUE_CALLS {
            self.0.pop_front();
        }
        self.0.push_back(call);
    }

    /// Abandons all calls.
    pub(super) fn clear(&mut self) {
        self.0.clear();
    }

    /// Waits for the first update that one of the calls receives. Drops calls that fail.
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
