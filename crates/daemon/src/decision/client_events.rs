//! Events from clients: a new RPC, and a client that disconnects.
use crate::decision::actor::DecisionActor;
use crate::decision::in_flight::{InFlightRpc, RpcClient, RpcLimits};
use crate::downstream::request::ReceivedRpc;
use birchhub::interface::IncomingRpc;
use std::time::Duration;

/// Part of the client's timeout that is reserved for delays on this machine.
const CLIENT_TIMEOUT_MARGIN: Duration = Duration::from_millis(5);

impl DecisionActor {
    /// Passes a new RPC to the balancer. Responds with an error if it is invalid under settings that were activated
    /// after it was parsed.
    pub(super) fn on_rpc_received(&mut self, id: u64, mut rpc: ReceivedRpc, client: RpcClient) {
        if let Err(response) = rpc.apply_names(&self.names.borrow()) {
            let _ = client.responder.send(response);
            return;
        }
        let limits = RpcLimits {
            deadline: rpc.received_at + rpc.timeout.saturating_sub(CLIENT_TIMEOUT_MARGIN),
            repeat_rule: self.repeat_rules[rpc.method],
        };
        let incoming = IncomingRpc {
            id,
            method: rpc.method,
            tenant: rpc.tenant,
            deadline: self.platform.clock.seconds_at(limits.deadline),
            expected_work: rpc.expected_work,
            client_retry: rpc.is_client_retry,
            streams_request: rpc.request.upload().is_some(),
            key: rpc.key,
        };
        let in_flight = InFlightRpc::new(rpc.request, rpc.id_guard, client, limits);
        self.platform.in_flight.insert(id, in_flight);
        self.call_balancer(|actor| {
            let rpc = actor.balancer.accept(&incoming, &mut actor.platform);
            actor.rpcs.insert(id, rpc);
        });
        self.replay_to_shadow(|shadow, call| shadow.accept(call, &incoming));
    }

    /// Ends an RPC whose client has disconnected.
    pub(super) fn on_client_disconnected(&mut self, id: u64) {
        let is_known_to_balancer = self.rpcs.contains_key(&id);
        if !is_known_to_balancer {
            // The balancer lost this RPC in a panic. The call below then only updates the time for the shadow replay.
            self.platform.in_flight.remove(&id);
        }
        self.call_rpc(id, |rpc, platform| {
            if let Some(in_flight) = platform.in_flight.get_mut(&id) {
                in_flight.record_disconnect();
            }
            rpc.on_client_disconnected(platform);
        });
        self.replay_to_shadow(|shadow, call| shadow.on_client_disconnected(call, id));
    }
}
