//! Discovery: publication of endpoint changes, and the proxies' calls of the endpoint list service.
use super::endpoint_list::ListEntry;
use super::event::{ProcessEvent, SimulationEvent};
use super::process::ProcessId;
use super::{NETWORK_DELAY_SECONDS, World};
use birchhub::interface::{Endpoint, Readiness};
use birchhub_audit::{EndpointState, Event};

/// Delay in seconds between two consecutive list calls of a proxy.
const LIST_CALL_DELAY_SECONDS: f64 = 0.02;

/// Time in seconds until a list call fails while the service is down.
const LIST_FAILURE_DELAY_SECONDS: f64 = 0.05;

/// A cell is a rack of a zone; the zone's number is in the bits of a cell's number from this one on.
const ZONE_SHIFT: u32 = 16;

impl World<'_> {
    /// Publishes a change, and sends it to the proxies that wait for one.
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

    /// Schedules the publication of a change after `delay` seconds, or later while a fault slows the service.
    pub(super) fn schedule_publication(&mut self, node: u32, list_entry: ListEntry, delay: f64) {
        self.schedule(
            delay + self.list_delay.max(0.0),
            SimulationEvent::PublishEndpoint { node, list_entry },
        );
    }

    /// Sends a proxy the changes since its last update.
    pub(super) fn send_endpoint_update(&mut self, proxy: u16) {
        let update = self.list.take_update(proxy);
        self.record_update(proxy, &update);
        self.send_to_process(
            proxy,
            NETWORK_DELAY_SECONDS,
            ProcessEvent::EndpointUpdate(update),
        );
    }

    /// Records the entries that a proxy receives.
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

    /// Starts a proxy's call. Where the number of concurrent calls is limited, serving one takes time.
    pub(super) fn start_list_call(&mut self, process: ProcessId) {
        if !self.is_running(process) {
            return;
        }
        let proxy = process.proxy;
        if self.list.is_limited() {
            match self.list.accept_call(proxy) {
                Some(entries) => self.schedule(
                    self.scenario.discovery.call_seconds(entries),
                    SimulationEvent::ListCallServed(process),
                ),
                None => {
                    self.send_to_process(proxy, NETWORK_DELAY_SECONDS, ProcessEvent::ListFailed)
                }
            }
        } else if !self.list.watch(proxy) {
            self.send_to_process(proxy, LIST_FAILURE_DELAY_SECONDS, ProcessEvent::ListFailed);
        } else if self.list.can_update(proxy) {
            self.send_endpoint_update(proxy);
        }
    }

    /// Ends a proxy's call: the proxy receives its update and calls again, or waits for a change.
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
                self.schedule(
                    LIST_CALL_DELAY_SECONDS,
                    SimulationEvent::ListCallArrives(process),
                );
            }
        }
    }

    /// Converts entries for the decisions of a proxy, with times by that proxy's clock.
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
