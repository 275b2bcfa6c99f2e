//! Clients: their requests, retries and disconnects.
use super::event::{ProcessEvent, SimulationEvent};
use super::{NETWORK_DELAY_SECONDS, World};
use birchhub_audit::{Event, RequestOutcome};
use birchhub_rehearsal::clients;
use birchhub_rehearsal::proxies::assign_proxy;

/// Time in seconds that a client waits beyond its timeout, since a response that was sent in time may arrive after it.
const CLIENT_GRACE_SECONDS: f64 = 0.25;

/// Number of low bits of a request's id that number the client's requests for one RPC; the high bits are the RPC's number.
const REQUEST_NUMBER_BITS: u32 = 8;

/// Largest exponent of a client's backoff.
const MAX_BACKOFF_EXPONENT: u8 = 16;

/// A client's request that has not ended.
pub(super) struct ClientRequest {
    /// The proxy that it was sent to.
    pub(super) proxy: u16,
    /// The client's timeout for it, in seconds.
    pub(super) client_timeout: f64,
}

/// Returns the id of a client's request; the first request for an RPC has the number 0.
fn client_request_id(rpc: u32, number: u8) -> u64 {
    u64::from(rpc) << REQUEST_NUMBER_BITS | u64::from(number)
}

/// Returns the RPC that a client's request is for.
pub(super) fn rpc_of_request(request_id: u64) -> u32 {
    (request_id >> REQUEST_NUMBER_BITS) as u32
}

/// Returns the number of a client's request among those for its RPC.
pub(super) fn request_number(request_id: u64) -> u8 {
    request_id as u8
}

impl World<'_> {
    /// Starts a planned RPC by sending its first request.
    pub(super) fn start_rpc(&mut self, rpc: u32) {
        let arrival = &self.plan.arrivals[rpc as usize];
        self.record(Event::Arrival {
            rpc,
            method: arrival.method,
            tenant: arrival.tenant,
            within_quota: arrival.within_quota,
        });
        self.send_client_request(rpc, 0);
    }

    /// Sends a client's request to a proxy that accepts traffic, unless the RPC's deadline leaves no time for it.
    pub(super) fn send_client_request(&mut self, rpc: u32, number: u8) {
        let scenario = self.scenario;
        let arrival = &self.plan.arrivals[rpc as usize];
        let method = &scenario.methods[arrival.method as usize];
        let left = arrival.due + method.deadline.0 - self.now;
        let Some(client_timeout) = clients::client_timeout(&scenario.clients, method, left) else {
            return;
        };
        let proxy = self.choose_proxy(rpc, number);
        let request_id = client_request_id(rpc, number);
        self.client_requests.insert(
            request_id,
            ClientRequest {
                proxy,
                client_timeout,
            },
        );
        self.record(Event::RequestSent {
            request_id,
            rpc,
            proxy,
            client_timeout: client_timeout as f32,
        });
        let arrival_at_proxy = SimulationEvent::RequestAtProxy { request_id, proxy };
        self.schedule(NETWORK_DELAY_SECONDS, arrival_at_proxy);
        let timeout = SimulationEvent::ClientTimeout { request_id };
        self.schedule(client_timeout + CLIENT_GRACE_SECONDS, timeout);
        if let Some(fraction) = arrival.cancel_after.filter(|_| number == 0) {
            let disconnect = SimulationEvent::ClientDisconnects { request_id };
            self.schedule(fraction * client_timeout, disconnect);
        }
    }

    /// Returns the proxy that the load balancer chooses. Each request for an RPC uses different bits of its random number.
    fn choose_proxy(&self, rpc: u32, number: u8) -> u16 {
        let arrival = &self.plan.arrivals[rpc as usize];
        let random_bits = arrival
            .assignment
            .rotate_left(u32::from(number) * REQUEST_NUMBER_BITS);
        let accepts = |proxy: &usize| self.accepts_traffic[*proxy];
        let zones = self.scenario.fleet.zones.len();
        assign_proxy(
            self.proxies.len(),
            zones,
            arrival.zone,
            random_bits,
            accepts,
        ) as u16
    }

    /// Ends a client's request, which the client retries if its policy allows that. A request that has ended is left as it is.
    pub(super) fn end_client_request(&mut self, request_id: u64, outcome: RequestOutcome) {
        if self.client_requests.remove(&request_id).is_none() {
            return;
        }
        self.record(Event::RequestEnded {
            request_id,
            outcome,
        });
        let rpc = rpc_of_request(request_id);
        let number = request_number(request_id);
        let arrival = &self.plan.arrivals[rpc as usize];
        let method = &self.scenario.methods[arrival.method as usize];
        let elapsed = self.now - arrival.due;
        let may_retry = number < self.scenario.clients.max_retries;
        if may_retry && clients::may_retry(outcome, method, elapsed) {
            let number = number + 1;
            self.schedule(
                self.retry_delay(number - 1, outcome),
                SimulationEvent::SendClientRequest { rpc, number },
            );
        }
    }

    /// Returns the delay in seconds before the client retries the request with this number.
    fn retry_delay(&self, number: u8, outcome: RequestOutcome) -> f64 {
        let policy = &self.scenario.clients;
        let retry_after = match outcome {
            RequestOutcome::Rejected(Some(after)) if policy.honors_retry_after => f64::from(after),
            _ => 0.0,
        };
        let factor = if policy.exponential_backoff {
            f64::from(1 << number.min(MAX_BACKOFF_EXPONENT))
        } else {
            1.0
        };
        (policy.retry_delay.0 * factor).max(retry_after)
    }

    /// Closes the connection of a client's request without a response.
    pub(super) fn disconnect_client(&mut self, request_id: u64) {
        let Some(request) = self.client_requests.get(&request_id) else {
            return;
        };
        let proxy = request.proxy;
        self.end_client_request(request_id, RequestOutcome::Cancelled);
        let disconnected = ProcessEvent::ClientDisconnected(request_id);
        self.send_to_process(proxy, NETWORK_DELAY_SECONDS, disconnected);
    }
}
