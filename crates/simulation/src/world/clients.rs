//! Clients: their attempts, retries and disconnections.
use super::event::{ProcessEvent, SimulationEvent};
use super::{NETWORK_DELAY, World};
use birchhub_audit::{Answer, Event};
use birchhub_rehearsal::clients;
use birchhub_rehearsal::proxies::deal;

const CLIENT_GRACE: f64 = 0.25; // s that a client listens on after its patience

pub(super) struct ClientAttempt {
    pub(super) rpc: u32,
    pub(super) number: u8,
    pub(super) proxy: u16,
    pub(super) answered: bool,
    pub(super) patience: f64,
}

impl World<'_> {
    #[expect(clippy::too_many_lines)]
    pub(super) fn send_client_attempt(&mut self, rpc: u32, number: u8) {
        let (scenario, arrival) = (self.scenario, &self.plan.arrivals[rpc as usize]);
        let method = &scenario.method[arrival.method as usize];
        let left = arrival.due + method.deadline.0 - self.now;
        let Some(patience) = clients::patience(&scenario.clients, method, left) else {
            return;
        };
        let chance = arrival.deal.rotate_left(u32::from(number) * 8);
        let open = |proxy: &usize| self.accepts_traffic[*proxy];
        let proxy = deal(
            self.proxies.len(),
            scenario.fleet.zones.len(),
            arrival.zone,
            chance,
            open,
        ) as u16;
        let attempt = u64::from(rpc) << 8 | u64::from(number);
        self.client_attempts.insert(
            attempt,
            ClientAttempt {
                rpc,
                number,
                proxy,
                answered: false,
                patience,
            },
        );
        self.record(Event::Sent {
            attempt,
            rpc,
            proxy,
            patience: patience as f32,
        });
        self.schedule(
            NETWORK_DELAY,
            SimulationEvent::AttemptAtProxy { attempt, proxy },
        );
        self.schedule(
            patience + CLIENT_GRACE,
            SimulationEvent::ClientGivesUp { attempt },
        );
        if let Some(part) = arrival.leaves.filter(|_| number == 0) {
            self.schedule(
                part * patience,
                SimulationEvent::ClientDisconnects { attempt },
            );
        }
    }

    pub(super) fn answer_client(&mut self, attempt: u64, answer: Answer) {
        let Some(entry) = self.client_attempts.remove(&attempt) else {
            return;
        };
        if entry.answered {
            return;
        }
        self.record(Event::Answered { attempt, answer });
        let (rpc, number) = (entry.rpc, entry.number);
        let (scenario, arrival) = (self.scenario, &self.plan.arrivals[rpc as usize]);
        let (policy, method) = (&scenario.clients, &scenario.method[arrival.method as usize]);
        if number >= policy.retries || !clients::tries_again(answer, method, self.now - arrival.due)
        {
            return;
        }
        let asked = match answer {
            Answer::PushedBack(Some(after)) if policy.obey_retry_after => f64::from(after),
            _ => 0.0,
        };
        let wait = policy.wait.0
            * if policy.backoff {
                f64::from(1 << number.min(16))
            } else {
                1.0
            };
        self.schedule(
            wait.max(asked),
            SimulationEvent::SendClientAttempt {
                rpc,
                number: number + 1,
            },
        );
    }

    pub(super) fn disconnect_client(&mut self, attempt: u64) {
        let Some(entry) = self.client_attempts.get(&attempt) else {
            return;
        };
        let proxy = entry.proxy;
        self.answer_client(attempt, Answer::HungUp);
        self.send_to_process(
            proxy,
            NETWORK_DELAY,
            ProcessEvent::ClientDisconnected(attempt),
        );
    }
}
