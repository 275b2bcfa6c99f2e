//! The endpoint list service: what it publishes, and the calls of its readers.
use super::endpoint_list::ListEntry;
use super::event::{ProcessEvent, SimulationEvent};
use super::{NETWORK_DELAY, World};
use birchhub::interface::{Endpoint, Readiness};
use birchhub_audit::{Event, State};

const LIST_CALL_GAP: f64 = 0.02; // s between the list calls of a proxy
const LIST_FAILURE_DELAY: f64 = 0.05; // s until a list call to a service that is down has failed

impl World<'_> {
    pub(super) fn publish_endpoint(&mut self, node: u32, list_entry: ListEntry) {
        self.record(Event::Changed {
            node,
            life: list_entry.life,
            state: list_entry.state,
        });
        for proxy in self.list.publish(node, list_entry) {
            self.send_endpoint_update(proxy);
        }
    }

    pub(super) fn send_endpoint_update(&mut self, proxy: u16) {
        let update = self.list.take_update(proxy);
        for (node, list_entry) in &update {
            self.record(Event::Told {
                proxy,
                node: *node,
                life: list_entry.life,
                state: list_entry.state,
            });
        }
        self.send_to_process(proxy, NETWORK_DELAY, ProcessEvent::EndpointUpdate(update));
    }

    pub(super) fn start_list_call(&mut self, proxy: u16, process: u32) {
        if self.proxies[proxy as usize]
            .as_ref()
            .is_none_or(|p| p.process != process)
        {
            return;
        }
        if self.list.is_limited() {
            match self.list.accept_call(proxy) {
                Some(list_entries) => self.schedule(
                    self.scenario.list.takes(list_entries),
                    SimulationEvent::ListCallServed { proxy, process },
                ),
                None => self.send_to_process(proxy, NETWORK_DELAY, ProcessEvent::ListFailed),
            }
        } else if !self.list.watch(proxy) {
            self.send_to_process(proxy, LIST_FAILURE_DELAY, ProcessEvent::ListFailed);
        } else if self.list.can_update(proxy) {
            self.send_endpoint_update(proxy);
        }
    }

    /// What there is is told, and the next call begins; where there is nothing new the call waits, and costs nothing.
    pub(super) fn serve_list_call(&mut self, proxy: u16, process: u32) {
        self.list.finish_call();
        if self.proxies[proxy as usize]
            .as_ref()
            .is_none_or(|p| p.process != process)
        {
            return;
        }
        if !self.list.watch(proxy) {
            self.send_to_process(proxy, NETWORK_DELAY, ProcessEvent::ListFailed);
        } else if self.list.can_update(proxy) {
            let again = self.list.has_update(proxy);
            self.send_endpoint_update(proxy);
            if again {
                self.schedule(
                    LIST_CALL_GAP,
                    SimulationEvent::ListCallArrives { proxy, process },
                );
            }
        }
    }

    /// The list service knows it after so long.
    pub(super) fn schedule_publication(&mut self, node: u32, list_entry: ListEntry, after: f64) {
        self.schedule(
            after + self.list_delay.max(0.0),
            SimulationEvent::PublishEndpoint { node, list_entry },
        );
    }

    pub(super) fn endpoints(&self, proxy: u16, list_entries: &[(u32, ListEntry)]) -> Vec<Endpoint> {
        let clock_lag = self.proxies[proxy as usize]
            .as_ref()
            .map_or(0.0, |p| p.clock_lag);
        let entry = |(node, list_entry): &(u32, ListEntry)| {
            let machine = &self.machines[*node as usize];
            let readiness = match list_entry.state {
                State::Ready => Readiness::Ready,
                State::Draining => Readiness::Draining,
                State::Gone => Readiness::Removed,
            };
            let cell = u64::from(machine.zone) << 16 | u64::from(machine.rack);
            let started = list_entry.started.map(|at| at - clock_lag);
            Endpoint {
                backend: *node,
                relative_size: 1.0,
                started_at: started,
                cell,
                zone: machine.zone as usize,
                readiness,
            }
        };
        list_entries.iter().map(entry).collect()
    }
}
