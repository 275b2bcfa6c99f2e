//! State that the rules share: RPCs, client requests with their attempts, backends, and the notifications that proxies
//! received about them.
use crate::event::{Admission, EndpointState, Entry, Event, ReceivedAttempt, RequestOutcome};
use crate::header::{Header, Idempotency};
use std::collections::{BTreeMap, HashMap};

/// An attempt of a proxy at a backend.
#[derive(Clone, Debug)]
pub(super) struct Attempt {
    pub(super) attempt_id: u64,
    /// The incarnation of the backend that received it.
    pub(super) incarnation: u32,
    /// When its first byte arrived at the backend, in seconds.
    pub(super) first_byte_at: f64,
    pub(super) admission: Admission,
    /// When it ended, in seconds. A rejected attempt ends when its first byte arrives.
    pub(super) ended_at: Option<f64>,
    /// The timeout that the proxy forwarded to the backend, in seconds.
    pub(super) forwarded_timeout: Option<f64>,
}

impl Attempt {
    /// Whether the backend may have executed the attempt.
    pub(super) fn may_have_run(&self) -> bool {
        self.admission != Admission::Rejected
    }
}

/// A request that a client sent for an RPC: the first one or a retry.
#[derive(Debug)]
pub(super) struct ClientRequest {
    pub(super) rpc: u32,
    pub(super) proxy: u16,
    /// When the client sent its last byte, in seconds.
    pub(super) sent_at: f64,
    /// How long the client waits for the response, in seconds.
    client_timeout: f64,
    /// The first outcome, with its time in seconds.
    pub(super) outcome: Option<(f64, RequestOutcome)>,
    /// Number of outcomes recorded; more than one is a violation of rule 1.
    pub(super) outcome_count: usize,
    /// Attempts that the proxy made, in the order in which backends received them.
    pub(super) attempts: Vec<Attempt>,
}

impl ClientRequest {
    /// Returns the time at which the client stops waiting, in seconds.
    pub(super) fn deadline(&self) -> f64 {
        self.sent_at + self.client_timeout
    }
}

/// One run of a backend process.
#[derive(Clone, Copy, Debug)]
pub(super) struct Incarnation {
    /// Index of the backend in the ledger's header.
    pub(super) backend: u32,
    /// When the process started, in seconds.
    pub(super) started_at: f64,
    /// Whether it started cold, below its full capacity.
    pub(super) cold: bool,
}

/// The last notification that a proxy received about a backend.
#[derive(Clone, Copy, Debug)]
struct Notification {
    incarnation: u32,
    /// When the proxy was first notified that the incarnation accepts no new work, in seconds.
    no_new_work_since: Option<f64>,
}

/// State after the events recorded so far.
pub(super) struct Tracker<'a> {
    pub(super) header: &'a Header,
    /// Time of the last event, in seconds.
    pub(super) now: f64,
    /// Client requests by id.
    pub(super) requests: BTreeMap<u64, ClientRequest>,
    /// Method of each RPC.
    methods: HashMap<u32, usize>,
    /// Client request of each attempt.
    request_ids: HashMap<u64, u64>,
    pub(super) incarnations: HashMap<u32, Incarnation>,
    /// The last notification of each proxy about each backend.
    notifications: HashMap<(u16, u32), Notification>,
}

impl<'a> Tracker<'a> {
    pub(super) fn new(header: &'a Header) -> Self {
        Self {
            header,
            now: 0.0,
            requests: BTreeMap::new(),
            methods: HashMap::new(),
            request_ids: HashMap::new(),
            incarnations: HashMap::new(),
            notifications: HashMap::new(),
        }
    }

    /// Returns whether an RPC may be executed more than once; `None` if the RPC or its method is unknown.
    pub(super) fn idempotency(&self, rpc: u32) -> Option<Idempotency> {
        let method = self.methods.get(&rpc)?;
        self.header
            .methods
            .get(*method)
            .map(|method| method.idempotency)
    }

    /// Returns the client request that an attempt belongs to.
    pub(super) fn request_of_attempt(&self, attempt_id: u64) -> Option<&ClientRequest> {
        self.requests.get(self.request_ids.get(&attempt_id)?)
    }

    /// Returns the index of an incarnation's backend; `u32::MAX` if the incarnation is unknown.
    pub(super) fn backend_of(&self, incarnation: u32) -> u32 {
        self.incarnations
            .get(&incarnation)
            .map_or(u32::MAX, |incarnation| incarnation.backend)
    }

    /// Whether the last notification of the proxy about the backend was about this incarnation.
    pub(super) fn is_notified_of(&self, proxy: u16, backend: u32, incarnation: u32) -> bool {
        self.notification(proxy, backend, incarnation).is_some()
    }

    /// Returns when the proxy was first notified that this incarnation accepts no new work, in seconds.
    pub(super) fn no_new_work_since(
        &self,
        proxy: u16,
        backend: u32,
        incarnation: u32,
    ) -> Option<f64> {
        self.notification(proxy, backend, incarnation)?
            .no_new_work_since
    }

    /// Returns the last notification of the proxy about the backend, if it was about this incarnation.
    fn notification(&self, proxy: u16, backend: u32, incarnation: u32) -> Option<Notification> {
        self.notifications
            .get(&(proxy, backend))
            .filter(|notification| notification.incarnation == incarnation)
            .copied()
    }

    /// Updates the state with an event.
    pub(super) fn record(&mut self, entry: &Entry) {
        let at = entry.at;
        self.now = self.now.max(at);
        match entry.event {
            Event::Arrival { rpc, method, .. } => {
                self.methods.insert(rpc, method as usize);
            }
            Event::RequestSent {
                request_id,
                rpc,
                proxy,
                client_timeout,
            } => self.record_request(at, request_id, rpc, proxy, client_timeout),
            Event::RequestEnded {
                request_id,
                outcome,
            } => {
                self.record_outcome(at, request_id, outcome);
            }
            Event::BackendStarted {
                incarnation,
                backend,
                cold,
                ..
            } => self.record_start(at, incarnation, backend, cold),
            Event::AttemptReceived(received) => self.record_attempt(received),
            Event::AttemptEnded { attempt_id, .. } => self.record_attempt_end(at, attempt_id),
            Event::TimeoutForwarded {
                attempt_id,
                seconds,
            } => self.record_forwarded_timeout(attempt_id, seconds),
            Event::ProxyNotified {
                proxy,
                backend,
                incarnation,
                state,
            } => self.record_notification(at, proxy, backend, incarnation, state),
            Event::ProxyStarted { proxy } => {
                // A restarted proxy has lost its earlier notifications.
                self.notifications
                    .retain(|(notified, _), _| *notified != proxy);
            }
            _ => {}
        }
    }

    fn record_request(
        &mut self,
        at: f64,
        request_id: u64,
        rpc: u32,
        proxy: u16,
        client_timeout: f32,
    ) {
        // The first attempt may be recorded before the request.
        let attempts = self
            .requests
            .remove(&request_id)
            .map_or(Vec::new(), |request| request.attempts);
        let request = ClientRequest {
            rpc,
            proxy,
            sent_at: at,
            client_timeout: f64::from(client_timeout),
            outcome: None,
            outcome_count: 0,
            attempts,
        };
        self.requests.insert(request_id, request);
    }

    fn record_outcome(&mut self, at: f64, request_id: u64, outcome: RequestOutcome) {
        if let Some(request) = self.requests.get_mut(&request_id) {
            request.outcome.get_or_insert((at, outcome));
            request.outcome_count += 1;
        }
    }

    fn record_start(&mut self, started_at: f64, incarnation: u32, backend: u32, cold: bool) {
        let started = Incarnation {
            backend,
            started_at,
            cold,
        };
        self.incarnations.insert(incarnation, started);
    }

    fn record_attempt_end(&mut self, at: f64, attempt_id: u64) {
        if let Some(attempt) = self.attempt_mut(attempt_id) {
            attempt.ended_at.get_or_insert(at);
        }
    }

    fn record_forwarded_timeout(&mut self, attempt_id: u64, seconds: f32) {
        if let Some(attempt) = self.attempt_mut(attempt_id) {
            attempt.forwarded_timeout = Some(f64::from(seconds));
        }
    }

    /// Adds an attempt to its request, or to a placeholder for a request that is not recorded yet.
    fn record_attempt(&mut self, received: ReceivedAttempt) {
        let rejected = received.admission == Admission::Rejected;
        let attempt = Attempt {
            attempt_id: received.attempt_id,
            incarnation: received.incarnation,
            first_byte_at: received.first_byte_at,
            admission: received.admission,
            ended_at: rejected.then_some(received.first_byte_at),
            forwarded_timeout: None,
        };
        self.request_ids
            .insert(received.attempt_id, received.request_id);
        let request = self
            .requests
            .entry(received.request_id)
            .or_insert_with(|| ClientRequest {
                rpc: u32::MAX,
                proxy: u16::MAX,
                sent_at: received.first_byte_at,
                client_timeout: f64::INFINITY,
                outcome: None,
                outcome_count: 0,
                attempts: Vec::new(),
            });
        request.attempts.push(attempt);
    }

    fn attempt_mut(&mut self, attempt_id: u64) -> Option<&mut Attempt> {
        let request_id = self.request_ids.get(&attempt_id)?;
        self.requests
            .get_mut(request_id)?
            .attempts
            .iter_mut()
            .find(|attempt| attempt.attempt_id == attempt_id)
    }

    fn record_notification(
        &mut self,
        at: f64,
        proxy: u16,
        backend: u32,
        incarnation: u32,
        state: EndpointState,
    ) {
        let no_new_work_since = (state != EndpointState::Ready).then(|| {
            // A repeated notification does not extend the grace period.
            self.no_new_work_since(proxy, backend, incarnation)
                .unwrap_or(at)
        });
        let notification = Notification {
            incarnation,
            no_new_work_since,
        };
        self.notifications.insert((proxy, backend), notification);
    }
}
