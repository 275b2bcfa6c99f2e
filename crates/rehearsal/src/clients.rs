//! Emulated clients: an open loop that sends each RPC when it is due, whatever becomes of earlier ones, and retries it
//! as the scenario says.
use crate::hooks::Hooks;
use crate::plan::{Arrival, Plan};
use crate::proxies::FrontLoadBalancer;
use crate::scenario::{Clients as ClientSettings, Method, MethodKind, Scenario};
use birchhub_audit::{DeduplicationScope, Event, Idempotency, RequestOutcome};
use birchhub_emulator::fleet::request_id_of;
use birchhub_emulator::{Client, ClientRequest, Clock, EventLog};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread::{Builder, JoinHandle, sleep};
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::task::{JoinSet, LocalSet};

/// Number of due RPCs that may wait between the pacer and the clients.
const ARRIVAL_QUEUE: usize = 4096;
/// Longest sleep of the pacer before it checks whether to stop, in seconds.
const MAX_SLEEP_SECONDS: f64 = 0.2;
/// Time to the deadline below which no request is sent, in seconds.
const MIN_TIMEOUT_SECONDS: f64 = 0.01;

/// Running totals for the progress line, and the signal to stop.
#[derive(Debug, Default)]
pub struct Progress {
    /// RPCs that were due.
    pub arrivals: AtomicUsize,
    /// Requests that succeeded.
    pub ok: AtomicUsize,
    /// Requests that were rejected.
    pub rejected: AtomicUsize,
    /// Requests that failed in any other way.
    pub failed: AtomicUsize,
    /// Set to end the clients before their last RPC.
    pub stop: AtomicBool,
}

/// Starts the threads of the pacer and of the clients; both end by themselves.
pub fn start(
    scenario: Scenario,
    plan: Plan,
    event_log: EventLog,
    front: Arc<FrontLoadBalancer>,
    progress: Arc<Progress>,
    hooks: Hooks,
) -> std::io::Result<Vec<JoinHandle<()>>> {
    let (due, arrivals) = mpsc::channel(ARRIVAL_QUEUE);
    let schedule = plan.arrivals.clone();
    let clock = event_log.clock;
    let pacer_progress = progress.clone();
    // A sleeping thread is on time to a tenth of a millisecond; the timers of an event loop only to one.
    let pacer = Builder::new()
        .name("pacer".into())
        .spawn(move || pace(schedule, clock, &pacer_progress, &due))?;
    let clients = Builder::new().name("clients".into()).spawn(move || {
        let Ok(runtime) = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
        else {
            return;
        };
        let client = Client::new(event_log.clone());
        let clients = Rc::new(Clients {
            scenario,
            seed: plan.seed,
            event_log,
            client,
            front,
            progress,
            hooks,
        });
        LocalSet::new().block_on(&runtime, clients.run(arrivals));
    })?;
    Ok(vec![pacer, clients])
}

/// Sends each RPC on `due` at its time, until the last one or a stop.
fn pace(
    schedule: Vec<Arrival>,
    clock: Clock,
    progress: &Progress,
    due: &mpsc::Sender<(u32, Arrival)>,
) {
    for (rpc, arrival) in schedule.into_iter().enumerate() {
        loop {
            let left = arrival.due - clock.now();
            if progress.stop.load(Ordering::Relaxed) {
                return;
            }
            if left <= 0.0 {
                break;
            }
            sleep(Duration::from_secs_f64(left.min(MAX_SLEEP_SECONDS)));
        }
        if due.blocking_send((rpc as u32, arrival)).is_err() {
            return;
        }
    }
}

/// The clients of a rehearsal, with what their RPCs share.
struct Clients {
    scenario: Scenario,
    seed: u64,
    event_log: EventLog,
    client: Client,
    front: Arc<FrontLoadBalancer>,
    progress: Arc<Progress>,
    hooks: Hooks,
}

impl Clients {
    async fn run(self: Rc<Self>, mut due: mpsc::Receiver<(u32, Arrival)>) {
        let mut open = JoinSet::new();
        while let Some((rpc, arrival)) = due.recv().await {
            let by = (self.event_log.clock.now() - arrival.due) as f32;
            self.event_log.record(Event::ClientLate { delay: by });
            let event = Event::Arrival {
                rpc,
                method: arrival.method,
                tenant: arrival.tenant,
                within_quota: arrival.within_quota,
            };
            self.event_log.record_at(arrival.due, event);
            self.progress.arrivals.fetch_add(1, Ordering::Relaxed);
            open.spawn_local(self.clone().rpc(rpc, arrival));
            // Removes the results of completed RPCs, which would otherwise pile up until the end.
            while open.try_join_next().is_some() {}
        }
        if self.progress.stop.load(Ordering::Relaxed) {
            open.abort_all();
        }
        while open.join_next().await.is_some() {}
    }

    /// Sends an RPC, and its retries, until it has its final answer or its deadline is too near.
    async fn rpc(self: Rc<Self>, rpc: u32, arrival: Arrival) {
        let method = &self.scenario.methods[arrival.method as usize];
        let clients = &self.scenario.clients;
        let clock = self.event_log.clock;
        let deadline = arrival.due + method.deadline.0;
        let mut retry_delay = clients.retry_delay.0;
        for number in 0..=clients.max_retries {
            let left = deadline - clock.now();
            let Some(client_timeout) = client_timeout(clients, method, left) else {
                break;
            };
            let random = arrival.assignment.rotate_left(u32::from(number) * 8);
            let ending = self.open_connection_to_an_ending_proxy(&arrival, number);
            let (proxy, address) =
                ending.unwrap_or_else(|| self.front.assign(arrival.zone, random));
            let mut request = self.request(rpc, number, &arrival, proxy, client_timeout);
            request.needs_open_connection = ending.is_some();
            let outcome = self.client.send(&request, address).await;
            self.count(outcome);
            if !may_retry(outcome, method, clock.now() - arrival.due) {
                break;
            }
            let retry_after = match outcome {
                RequestOutcome::Rejected(Some(seconds)) if clients.honors_retry_after => {
                    f64::from(seconds)
                }
                _ => 0.0,
            };
            clock
                .sleep_until(clock.now() + retry_delay.max(retry_after))
                .await;
            retry_delay *= if clients.exponential_backoff {
                2.0
            } else {
                1.0
            };
        }
    }

    /// Returns the proxy that the first request of a client goes to if the client stays with one that ends.
    fn open_connection_to_an_ending_proxy(
        &self,
        arrival: &Arrival,
        number: u8,
    ) -> Option<(u16, SocketAddr)> {
        if number > 0 || !self.hooks.is_staying(arrival.assignment) {
            return None;
        }
        let mut ending = self.front.ending();
        ending.find(|(_, address)| self.client.has_open_connection(*address))
    }

    /// Builds the request with this number, 0 for the first, of an RPC.
    fn request(
        &self,
        rpc: u32,
        number: u8,
        arrival: &Arrival,
        proxy: u16,
        client_timeout: f64,
    ) -> ClientRequest {
        let method = &self.scenario.methods[arrival.method as usize];
        let tenant = self.scenario.tenants.get(arrival.tenant as usize);
        let http_method = if method.kind == MethodKind::Idempotent {
            "GET"
        } else {
            "POST"
        };
        ClientRequest {
            request_id: request_id_of(rpc, number),
            rpc,
            proxy,
            http_method,
            path: format!("/{}/{rpc}", method.name),
            tenant: tenant.map(|tenant| tenant.name.clone()),
            idempotency_key: (method.kind == MethodKind::Deduplicated)
                .then(|| format!("{:016x}{rpc:08x}", self.seed)),
            is_retry: number > 0 && self.scenario.clients.marks_retries,
            client_timeout,
            cancel_after: arrival
                .cancel_after
                .filter(|_| number == 0)
                .map(|part| part * client_timeout),
            body_bytes: method.body_bytes,
            slow_send: self.hooks.slow_send_of(arrival.assignment),
            needs_open_connection: false,
        }
    }

    fn count(&self, outcome: RequestOutcome) {
        let counter = match outcome {
            RequestOutcome::Ok => &self.progress.ok,
            RequestOutcome::Rejected(_) => &self.progress.rejected,
            _ => &self.progress.failed,
        };
        counter.fetch_add(1, Ordering::Relaxed);
    }
}

/// Returns whether a client retries an RPC after this outcome.
///
/// After a rejection, or if no proxy was reached, any RPC is retried. Otherwise only one that may run again on any
/// backend, within its deduplication window. `since` is the time since the RPC was due, in seconds.
pub fn may_retry(outcome: RequestOutcome, method: &Method, since: f64) -> bool {
    match (outcome, method.idempotency()) {
        (RequestOutcome::Ok | RequestOutcome::Cancelled, _) => false,
        (RequestOutcome::Rejected(_) | RequestOutcome::Unreachable, _) => true,
        (_, Idempotency::Idempotent) => true,
        (_, Idempotency::NonIdempotent) => false,
        (_, Idempotency::Deduplicated { scope, window }) => {
            scope == DeduplicationScope::All && since < window
        }
    }
}

/// Returns the timeout of a request in seconds, rounded down to the whole milliseconds that its header can hold.
///
/// `left` is the time to the deadline of the RPC, in seconds; `None` if it is too short for another request.
pub fn client_timeout(clients: &ClientSettings, method: &Method, left: f64) -> Option<f64> {
    let client_timeout = (method.deadline.0 * clients.attempt_timeout_fraction).min(left);
    (left >= MIN_TIMEOUT_SECONDS).then_some((client_timeout * 1e3).floor() / 1e3)
}
