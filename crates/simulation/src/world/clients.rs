//! Clients: their attempts, retries and disconnections.
use super::event::{ProcessEvent, SimulationEvent};
use super::{NETWORK_DELAY, World};
use birchhub_audit::{Answer, Event};
use birchhub_rehearsal::clients;
use birchhub_rehearsal::proxies::deal;

/// s that a client listens on after its patience: an answer that leaves in time may arrive late.
const CLIENT_GRACE: f64 = 0.25;

/// The lowest bits of the number of a client's request count the attempts of its RPC, those above are the RPC's number.
const ATTEMPT_BITS: u32 = 8;

/// The largest exponent of a client's back-off.
const MAX_BACKOFF_EXPONENT: u8 = 16;

/// A client's request that has no answer yet.
pub(super) struct ClientRequest {
    /// The proxy that it was sent to.
    pub(super) proxy: u16,
    /// How long the client waits, s.
    pub(super) client_timeout: f64,
}

/// The ledger's number of an attempt; the first attempt of an RPC has the number 0.
fn client_request_id(rpc: u32, number: u8) -> u64 {
    u64::from(rpc) << ATTEMPT_BITS | u64::from(number)
}

/// The RPC that a client's request is for.
pub(super) fn rpc_of_request(request_id: u64) -> u32 {
    (request_id >> ATTEMPT_BITS) as u32
}

/// The number of a client's request among those for its RPC.
pub(super) fn request_number(request_id: u64) -> u8 {
    request_id as u8
}

impl World<'_> {
    /// An RPC of the plan begins, with its first attempt.
    pub(super) fn start_rpc(&mut self, rpc: u32) {
        let arrival = &self.plan.arrivals[rpc as usize];
        let (method, tenant, within_quota) = (arrival.method, arrival.tenant, arrival.within_quota);
        self.record(Event::Arrival {
            rpc,
            method,
            tenant,
            within_quota,
        });
        self.send_client_request(rpc, 0);
    }

    /// A client sends an attempt to a proxy that accepts traffic, if its RPC has time left.
    pub(super) fn send_client_request(&mut self, rpc: u32, number: u8) {
        let (scenario, arrival) = (self.scenario, &self.plan.arrivals[rpc as usize]);
        let method = &scenario.method[arrival.method as usize];
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
        let at_proxy = SimulationEvent::RequestAtProxy { request_id, proxy };
        self.schedule(NETWORK_DELAY, at_proxy);
        let give_up = SimulationEvent::ClientGivesUp { request_id };
        self.schedule(client_timeout + CLIENT_GRACE, give_up);
        if let Some(part) = arrival.leaves.filter(|_| number == 0) {
            let disconnect = SimulationEvent::ClientDisconnects { request_id };
            self.schedule(part * client_timeout, disconnect);
        }
    }

    /// The proxy that the layer before the proxies chooses; each attempt of an RPC uses other bits of its chance.
    fn choose_proxy(&self, rpc: u32, number: u8) -> u16 {
        let arrival = &self.plan.arrivals[rpc as usize];
        let chance = arrival.deal.rotate_left(u32::from(number) * ATTEMPT_BITS);
        let accepts = |proxy: &usize| self.accepts_traffic[*proxy];
        let zones = self.scenario.fleet.zones.len();
        deal(self.proxies.len(), zones, arrival.zone, chance, accepts) as u16
    }

    /// A client has the answer to an attempt, and retries where its policy says so. Later answers are dropped.
    pub(super) fn answer_client(&mut self, request_id: u64, answer: Answer) {
        if self.client_requests.remove(&request_id).is_none() {
            return;
        }
        self.record(Event::RequestAnswered { request_id, answer });
        let (rpc, number) = (rpc_of_request(request_id), request_number(request_id));
        let arrival = &self.plan.arrivals[rpc as usize];
        let method = &self.scenario.method[arrival.method as usize];
        let elapsed = self.now - arrival.due;
        let may_retry = number < self.scenario.clients.retries;
        if may_retry && clients::tries_again(answer, method, elapsed) {
            let number = number + 1;
            self.schedule(
                self.retry_delay(number - 1, answer),
                SimulationEvent::SendClientRequest { rpc, number },
            );
        }
    }

    /// s that a client waits after the attempt with this number.
    fn retry_delay(&self, number: u8, answer: Answer) -> f64 {
        let policy = &self.scenario.clients;
        let retry_after = match answer {
            Answer::Rejected(Some(after)) if policy.obey_retry_after => f64::from(after),
            _ => 0.0,
        };
        let factor = if policy.backoff {
            f64::from(1 << number.min(MAX_BACKOFF_EXPONENT))
        } else {
            1.0
        };
        (policy.wait.0 * factor).max(retry_after)
    }

    /// A client closes the connection of an attempt that has no answer.
    pub(super) fn disconnect_client(&mut self, request_id: u64) {
        let Some(sent) = self.client_requests.get(&request_id) else {
            return;
        };
        let proxy = sent.proxy;
        self.answer_client(request_id, Answer::Cancelled);
        let disconnected = ProcessEvent::ClientDisconnected(request_id);
        self.send_to_process(proxy, NETWORK_DELAY, disconnected);
    }
}
