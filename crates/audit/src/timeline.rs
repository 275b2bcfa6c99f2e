//! Formats the entries of a ledger as text, one line for each entry.
use crate::event::{Entry, Event, ReceivedAttempt};
use crate::header::Header;
use std::collections::HashMap;

/// Formats entries as text, and maps events to the RPCs that they belong to.
pub struct Timeline<'a> {
    header: &'a Header,
    /// RPC of each client request.
    rpcs: HashMap<u64, u32>,
    /// Client request of each attempt.
    request_ids: HashMap<u64, u64>,
    /// Backend of each incarnation.
    backends: HashMap<u32, u32>,
}

impl<'a> Timeline<'a> {
    /// Builds the index of ids from the entries of a ledger.
    pub fn new(header: &'a Header, entries: &[Entry]) -> Self {
        let mut timeline = Self {
            header,
            rpcs: HashMap::new(),
            request_ids: HashMap::new(),
            backends: HashMap::new(),
        };
        for entry in entries {
            timeline.add_to_index(&entry.event);
        }
        timeline
    }

    fn add_to_index(&mut self, event: &Event) {
        match *event {
            Event::RequestSent {
                request_id, rpc, ..
            } => {
                self.rpcs.insert(request_id, rpc);
            }
            Event::AttemptReceived(received) => {
                self.request_ids
                    .insert(received.attempt_id, received.request_id);
            }
            Event::BackendStarted {
                incarnation,
                backend,
                ..
            } => {
                self.backends.insert(incarnation, backend);
            }
            _ => {}
        }
    }

    /// Returns the RPC that an event belongs to; `None` if it belongs to no RPC or the RPC is unknown.
    pub fn rpc(&self, event: &Event) -> Option<u32> {
        match event {
            Event::Arrival { rpc, .. } | Event::RequestSent { rpc, .. } => Some(*rpc),
            Event::RequestEnded { request_id, .. } => self.rpcs.get(request_id).copied(),
            Event::AttemptReceived(received) => self.rpcs.get(&received.request_id).copied(),
            Event::ExecutionStarted { attempt_id }
            | Event::DuplicateDropped { attempt_id }
            | Event::ExecutionFinished { attempt_id }
            | Event::AttemptEnded { attempt_id, .. }
            | Event::TimeoutForwarded { attempt_id, .. } => {
                let request_id = self.request_ids.get(attempt_id)?;
                self.rpcs.get(request_id).copied()
            }
            _ => None,
        }
    }

    /// Formats an entry as its time in seconds and a description of the event.
    pub fn line(&self, entry: &Entry) -> String {
        let event = &entry.event;
        let text = self
            .request_text(event)
            .or_else(|| self.attempt_text(event))
            .or_else(|| self.backend_text(event))
            .or_else(|| self.endpoint_text(event))
            .or_else(|| self.proxy_text(event))
            .or_else(|| self.rehearsal_text(event))
            .unwrap_or_default();
        format!("{:10.4}  {text}", entry.at)
    }

    /// Returns the name of a backend and the number of its incarnation.
    fn incarnation_label(&self, incarnation: u32) -> String {
        let backend = self.backends.get(&incarnation);
        let name = backend.map_or("?", |backend| self.header.backend_name(*backend));
        format!("{name} (life {incarnation})")
    }

    /// Describes an event of a client; `None` for any other event.
    fn request_text(&self, event: &Event) -> Option<String> {
        Some(match event {
            Event::Arrival {
                rpc,
                method,
                tenant,
                within_quota,
            } => {
                let method = self.header.method_name(*method);
                let tenant = self.header.tenant_name(*tenant);
                let quota = if *within_quota {
                    ""
                } else {
                    ", beyond its quota"
                };
                format!("rpc {rpc} due: {method} of {tenant}{quota}")
            }
            Event::RequestSent {
                request_id,
                rpc,
                proxy,
                client_timeout,
            } => {
                let proxy = self.header.proxy_name(*proxy);
                format!(
                    "rpc {rpc} try {request_id:016x} sent to {proxy}, waits {client_timeout:.3} s"
                )
            }
            Event::RequestEnded {
                request_id,
                outcome,
            } => {
                format!("try {request_id:016x} answered: {outcome}")
            }
            _ => return None,
        })
    }

    /// Describes an event of an attempt; `None` for any other event.
    fn attempt_text(&self, event: &Event) -> Option<String> {
        Some(match event {
            Event::AttemptReceived(received) => self.received_attempt_text(received),
            Event::ExecutionStarted { attempt_id } => format!("pick {attempt_id} runs"),
            Event::DuplicateDropped { attempt_id } => {
                format!("pick {attempt_id} dropped as a repeat")
            }
            Event::ExecutionFinished { attempt_id } => format!("pick {attempt_id} has run"),
            Event::AttemptEnded { attempt_id, how } => format!("pick {attempt_id} is over: {how}"),
            Event::TimeoutForwarded {
                attempt_id,
                seconds,
            } => format!("job {attempt_id} was told that the proxy waits {seconds:.3} s"),
            _ => return None,
        })
    }

    fn received_attempt_text(&self, received: &ReceivedAttempt) -> String {
        format!(
            "try {:016x} pick {} at {} from {}, first byte at {:.4}, work {:.1} ms, pushed {:.0}%: {}",
            received.request_id,
            received.attempt_id,
            self.incarnation_label(received.incarnation),
            self.header.proxy_name(received.proxy),
            received.first_byte_at,
            received.work * 1e3,
            received.overload * 1e2,
            received.admission
        )
    }

    /// Describes an event of a backend process; `None` for any other event.
    fn backend_text(&self, event: &Event) -> Option<String> {
        Some(match event {
            Event::BackendStarted {
                incarnation,
                cold,
                warm_capacity,
                ..
            } => {
                let start = if *cold { "cold" } else { "warm" };
                let incarnation = self.incarnation_label(*incarnation);
                format!("{incarnation} starts {start}, able {warm_capacity:.2}")
            }
            Event::BackendDraining { incarnation } => {
                format!("{} drains", self.incarnation_label(*incarnation))
            }
            Event::BackendEnded { incarnation } => {
                format!("{} ends", self.incarnation_label(*incarnation))
            }
            Event::BackendCollapsed { incarnation } => {
                format!("{} is pushed over", self.incarnation_label(*incarnation))
            }
            _ => return None,
        })
    }

    /// Describes a change of an endpoint or a notification of it; `None` for any other event.
    fn endpoint_text(&self, event: &Event) -> Option<String> {
        Some(match event {
            Event::EndpointChanged {
                backend,
                incarnation,
                state,
            } => {
                let backend = self.header.backend_name(*backend);
                format!("{backend} (life {incarnation}) is {state:?}")
            }
            Event::ProxyNotified {
                proxy,
                backend,
                incarnation,
                state,
            } => {
                let proxy = self.header.proxy_name(*proxy);
                let backend = self.header.backend_name(*backend);
                format!("{proxy} told: {backend} (life {incarnation}) is {state:?}")
            }
            _ => return None,
        })
    }

    /// Describes an event of a proxy process; `None` for any other event.
    fn proxy_text(&self, event: &Event) -> Option<String> {
        Some(match event {
            Event::ProxyStarted { proxy } => format!("{} started", self.header.proxy_name(*proxy)),
            Event::ProxyReady { proxy } => format!("{} ready", self.header.proxy_name(*proxy)),
            Event::ProxyEnded { proxy, how } => {
                format!("{} ended: {how:?}", self.header.proxy_name(*proxy))
            }
            _ => return None,
        })
    }

    /// Describes an event of the rehearsal itself; `None` for any other event.
    fn rehearsal_text(&self, event: &Event) -> Option<String> {
        Some(match event {
            Event::Fault { index, begins } => {
                let name = self.header.fault_name(*index);
                format!("trouble {name} {}", if *begins { "begins" } else { "ends" })
            }
            Event::EmulatorLate { delay } => format!("a stand-in is {:.2} ms late", delay * 1e3),
            Event::ClientLate { delay } => format!("the kit is {:.2} ms late", delay * 1e3),
            _ => return None,
        })
    }
}
