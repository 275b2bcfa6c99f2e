//! Discovery: changes that the endpoint list service publishes, and the calls of the proxies.
use super::endpoint_list::ListEntry;
use super::event::{ProcessEvent, SimulationEvent};
use super::process::ProcessId;
use super::{NETWORK_DELAY_SECONDS, World};
use birchhub::interface::{Endpoint, Readiness};
use birchhub_audit::{EndpointState, Event};

/// s between the list calls of a proxy.
const LIST_CALL_GAP: f64 = 0.02;

/// s until a list call to a service that is down has failed.
const LIST_FAILURE_DELAY: f64 = 0.05;

/// A cell is a rack of a zone: the zone's number is in the bits from here on.
const ZONE_SHIFT: u32 = 16;

impl World<'_> {
    /// The endpoint list service learns of a change, and sends it to the proxies that wait for one.
    pub(super) fn publish_endpoint(&mut self, node: u32, list_entry: ListEntry) {
        self.record(Event::EndpointChanged {
            backend: node,
            incarnation: list_entry.incarnation,
            state: list_entry.state,
        });
        for proxy in self.list.publish(node, list_entry) {
            self.send_endpoint_update(proxy);
        }
    }

    /// The endpoint list service learns of a change after `delay` s, and later during a fault that slows it.
    pub(super) fn schedule_publication(&mut self, node: u32, list_entry: ListEntry, delay: f64) {
        self.schedule(
            delay + self.list_delay.max(0.0),
            SimulationEvent::PublishEndpoint { node, list_entry },
        );
    }

    /// Sends a proxy what has changed since its last update.
    pub(super) fn send_endpoint_update(&mut self, proxy: u16) {
        let update = self.list.take_update(proxy);
        self.record_update(proxy, &update);
        self.send_to_process(
            proxy,
            NETWORK_DELAY_SECONDS,
            ProcessEvent::EndpointUpdate(update),
        );
    }

    /// Records the entries that a proxy is given.
    pub(super) fn record_update(&mut self, proxy: u16, update: &[(u32, ListEntry)]) {
        for (node, list_entry) in update {
            self.record(Event::ProxyNotified {
                proxy,
                backend: *node,
                incarnation: list_entry.incarnation,
                state: list_entry.state,
            });
        }
    }

    /// A call arrives at the endpoint list service; with a limit on calls the work on it takes time.
    pub(super) fn start_list_call(&mut self, process: ProcessId) {
        if !self.is_running(process) {
            return;
        }
        let proxy = process.proxy;
        if self.list.is_limited() {
            match self.list.accept_call(proxy) {
                Some(entries) => self.schedule(
                    self.scenario.list.takes(entries),
                    SimulationEvent::ListCallServed(process),
                ),
                None => {
                    self.send_to_process(proxy, NETWORK_DELAY_SECONDS, ProcessEvent::ListFailed)
                }
            }
        } else if !self.list.watch(proxy) {
            self.send_to_process(proxy, LIST_FAILURE_DELAY, ProcessEvent::ListFailed);
        } else if self.list.can_update(proxy) {
            self.send_endpoint_update(proxy);
        }
    }

    /// The work on a call ends: the proxy has its update and calls again, or waits at the service for a change.
    pub(super) fn finish_list_call(&mut self, process: ProcessId) {
        self.list.finish_call();
        if !self.is_running(process) {
            return;
        }
        let proxy = process.proxy;
        if !self.list.watch(proxy) {
            self.send_to_process(proxy, NETWORK_DELAY_SECONDS, ProcessEvent::ListFailed);
        } else if self.list.can_update(proxy) {
            let calls_again = self.list.has_update(proxy);
            self.send_endpoint_update(proxy);
            if calls_again {
                self.schedule(LIST_CALL_GAP, SimulationEvent::ListCallArrives(process));
            }
        }
    }

    /// The entries as the decision module of a proxy sees them, with times by that proxy's clock.
    pub(super) fn endpoints(&self, proxy: u16, entries: &[(u32, ListEntry)]) -> Vec<Endpoint> {
        let running = self.proxies[proxy as usize].as_ref();
        let clock_lag = running.map_or(0.0, |running| running.clock_lag);
        let endpoint = |(node, entry): &(u32, ListEntry)| self.endpoint(*node, entry, clock_lag);
        entries.iter().map(endpoint).collect()
    }

    fn endpoint(&self, node: u32, list_entry: &ListEntry, clock_lag: f64) -> Endpoint {
        let machine = &self.machines[node as usize];
        let readiness = match list_entry.state {
            EndpointState::Ready => Readiness::Ready,
            EndpointState::Draining => Readiness::Draining,
            EndpointState::Gone => Readiness::Removed,
        };
        Endpoint {
            backend: node,
            relative_size: 1.0,
            started_at: list_entry.started.map(|at| at - clock_lag),
            cell: u64::from(machine.zone) << ZONE_SHIFT | u64::from(machine.rack),
            zone: machine.zone as usize,
            readiness,
        }
    }
}
