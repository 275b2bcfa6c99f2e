//! The ledger told in words: one line an event, all of them or those of one RPC.
use crate::event::{Entry, Event};
use crate::head::Head;
use std::collections::HashMap;

/// Which entries belong to an RPC, and the names behind the numbers.
pub struct Timeline<'a> {
    head: &'a Head,
    /// RPC of each request, request of each attempt, node of each incarnation.
    rpcs: HashMap<u64, u32>,
    attempt_ids: HashMap<u64, u64>,
    backends: HashMap<u32, u32>,
}

impl<'a> Timeline<'a> {
    pub fn new(head: &'a Head, entries: &[Entry]) -> Self {
        let mut timeline = Self {
            head,
            rpcs: HashMap::new(),
            attempt_ids: HashMap::new(),
            backends: HashMap::new(),
        };
        for entry in entries {
            match entry.event {
                Event::RequestSent {
                    request_id, rpc, ..
                } => drop(timeline.rpcs.insert(request_id, rpc)),
                Event::AttemptReceived {
                    attempt_id,
                    request_id,
                    ..
                } => drop(timeline.attempt_ids.insert(attempt_id, request_id)),
                Event::BackendStarted {
                    incarnation,
                    backend,
                    ..
                } => drop(timeline.backends.insert(incarnation, backend)),
                _ => {}
            }
        }
        timeline
    }

    /// The RPC that an event belongs to.
    pub fn rpc(&self, event: &Event) -> Option<u32> {
        let of_attempt =
            |attempt_id: &u64| self.rpcs.get(self.attempt_ids.get(attempt_id)?).copied();
        match event {
            Event::Arrival { rpc, .. } | Event::RequestSent { rpc, .. } => Some(*rpc),
            Event::RequestAnswered { request_id, .. }
            | Event::AttemptReceived { request_id, .. } => self.rpcs.get(request_id).copied(),
            Event::ExecutionStarted { attempt_id }
            | Event::DuplicateDropped { attempt_id }
            | Event::ExecutionFinished { attempt_id }
            | Event::AttemptEnded { attempt_id, .. }
            | Event::TimeoutForwarded { attempt_id, .. } => of_attempt(attempt_id),
            _ => None,
        }
    }

    fn backend(&self, backend: u32) -> &str {
        self.head
            .backends
            .get(backend as usize)
            .map_or("?", |n| &n.name)
    }

    fn incarnation(&self, incarnation: u32) -> String {
        format!(
            "{} (life {incarnation})",
            self.backends
                .get(&incarnation)
                .map_or("?", |backend| self.backend(*backend))
        )
    }

    fn proxy(&self, proxy: u16) -> &str {
        self.head
            .proxies
            .get(proxy as usize)
            .map_or("?", String::as_str)
    }

    /// One line for an entry.
    #[expect(clippy::too_many_lines)]
    pub fn line(&self, entry: &Entry) -> String {
        let method = |m: u8| self.head.methods.get(m as usize).map_or("?", |m| &m.name);
        let tenant = |t: u8| {
            self.head
                .tenants
                .get(t as usize)
                .map_or("-", String::as_str)
        };
        let what = match &entry.event {
            Event::Arrival {
                rpc,
                method: m,
                tenant: t,
                within_quota,
            } => {
                let quota = if *within_quota {
                    ""
                } else {
                    ", beyond its quota"
                };
                format!("rpc {rpc} due: {} of {}{quota}", method(*m), tenant(*t))
            }
            Event::RequestSent {
                request_id,
                rpc,
                proxy,
                client_timeout,
            } => {
                format!(
                    "rpc {rpc} try {request_id:016x} sent to {}, waits {client_timeout:.3} s",
                    self.proxy(*proxy)
                )
            }
            Event::RequestAnswered { request_id, answer } => {
                format!("try {request_id:016x} answered: {answer}")
            }
            Event::BackendStarted {
                incarnation,
                cold,
                warm_capacity,
                ..
            } => {
                format!(
                    "{} starts {}, able {warm_capacity:.2}",
                    self.incarnation(*incarnation),
                    if *cold { "cold" } else { "warm" }
                )
            }
            Event::BackendDraining { incarnation } => {
                format!("{} drains", self.incarnation(*incarnation))
            }
            Event::BackendEnded { incarnation } => {
                format!("{} ends", self.incarnation(*incarnation))
            }
            Event::BackendCollapsed { incarnation } => {
                format!("{} is pushed over", self.incarnation(*incarnation))
            }
            Event::AttemptReceived {
                incarnation,
                attempt_id,
                request_id,
                proxy,
                first_byte_at,
                work,
                overload,
                admission,
            } => format!(
                "try {request_id:016x} pick {attempt_id} at {} from {}, first byte at {first_byte_at:.4}, work {:.1} ms, pushed {:.0}%: \
                 {admission}",
                self.incarnation(*incarnation),
                self.proxy(*proxy),
                work * 1e3,
                overload * 1e2
            ),
            Event::ExecutionStarted { attempt_id } => format!("pick {attempt_id} runs"),
            Event::DuplicateDropped { attempt_id } => {
                format!("pick {attempt_id} dropped as a repeat")
            }
            Event::ExecutionFinished { attempt_id } => format!("pick {attempt_id} has run"),
            Event::AttemptEnded { attempt_id, how } => {
                format!("pick {attempt_id} is over: {how}")
            }
            Event::EndpointChanged {
                backend,
                incarnation,
                state,
            } => {
                format!(
                    "{} (life {incarnation}) is {state:?}",
                    self.backend(*backend)
                )
            }
            Event::ProxyNotified {
                proxy,
                backend,
                incarnation,
                state,
            } => {
                format!(
                    "{} told: {} (life {incarnation}) is {state:?}",
                    self.proxy(*proxy),
                    self.backend(*backend)
                )
            }
            Event::ProxyStarted { proxy } => format!("{} started", self.proxy(*proxy)),
            Event::ProxyReady { proxy } => format!("{} ready", self.proxy(*proxy)),
            Event::ProxyEnded { proxy, how } => format!("{} ended: {how:?}", self.proxy(*proxy)),
            Event::Fault { number, begins } => {
                let name = self
                    .head
                    .faults
                    .get(*number as usize)
                    .map_or("?", |t| &t.name);
                format!("trouble {name} {}", if *begins { "begins" } else { "ends" })
            }
            Event::TimeoutForwarded {
                attempt_id,
                seconds,
            } => {
                format!("job {attempt_id} was told that the proxy waits {seconds:.3} s")
            }
            Event::EmulatorLate { by } => format!("a stand-in is {:.2} ms late", by * 1e3),
            Event::ClientLate { by } => format!("the kit is {:.2} ms late", by * 1e3),
        };
        format!("{:10.4}  {what}", entry.at)
    }
}
