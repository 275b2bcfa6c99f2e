//! Clients: their attempts, retries and disconnections.
use super::event::{Call, What};
use super::{WAY, World};
use birchhub_audit::{Answer, Event};
use birchhub_rehearsal::clients;
use birchhub_rehearsal::proxies::deal;

const LINGER: f64 = 0.25; // s that a client listens on after its patience

pub(super) struct Try {
    pub(super) rpc: u32,
    pub(super) number: u8,
    pub(super) proxy: u16,
    pub(super) answered: bool,
    pub(super) patience: f64,
}

impl World<'_> {
    pub(super) fn send(&mut self, rpc: u32, number: u8) {
        let (scenario, arrival) = (self.scenario, &self.plan.arrivals[rpc as usize]);
        let method = &scenario.method[arrival.method as usize];
        let left = arrival.due + method.deadline.0 - self.now;
        let Some(patience) = clients::patience(&scenario.clients, method, left) else {
            return;
        };
        let chance = arrival.deal.rotate_left(u32::from(number) * 8);
        let open = |proxy: &usize| self.taken_in[*proxy];
        let proxy = deal(
            self.proxies.len(),
            scenario.fleet.zones.len(),
            arrival.zone,
            chance,
            open,
        ) as u16;
        let attempt = u64::from(rpc) << 8 | u64::from(number);
        self.tries.insert(
            attempt,
            Try {
                rpc,
                number,
                proxy,
                answered: false,
                patience,
            },
        );
        self.tell(Event::Sent {
            attempt,
            rpc,
            proxy,
            patience: patience as f32,
        });
        self.after(WAY, What::AtProxy { attempt, proxy });
        self.after(patience + LINGER, What::GiveUp { attempt });
        if let Some(part) = arrival.leaves.filter(|_| number == 0) {
            self.after(part * patience, What::HangUp { attempt });
        }
    }

    pub(super) fn answer(&mut self, attempt: u64, answer: Answer) {
        let Some(entry) = self.tries.remove(&attempt) else {
            return;
        };
        if entry.answered {
            return;
        }
        self.tell(Event::Answered { attempt, answer });
        let (rpc, number) = (entry.rpc, entry.number);
        let (scenario, arrival) = (self.scenario, &self.plan.arrivals[rpc as usize]);
        let (set, method) = (&scenario.clients, &scenario.method[arrival.method as usize]);
        if number >= set.retries || !clients::tries_again(answer, method, self.now - arrival.due) {
            return;
        }
        let asked = match answer {
            Answer::PushedBack(Some(after)) if set.obey_retry_after => f64::from(after),
            _ => 0.0,
        };
        let wait = set.wait.0
            * if set.backoff {
                f64::from(1 << number.min(16))
            } else {
                1.0
            };
        self.after(
            wait.max(asked),
            What::Try {
                rpc,
                number: number + 1,
            },
        );
    }

    pub(super) fn hang_up(&mut self, attempt: u64) {
        let Some(entry) = self.tries.get(&attempt) else {
            return;
        };
        let proxy = entry.proxy;
        self.answer(attempt, Answer::HungUp);
        self.to(proxy, WAY, Call::HungUp(attempt));
    }
}
