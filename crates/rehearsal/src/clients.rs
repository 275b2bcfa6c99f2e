//! The clients: each RPC goes out when it is due, whether or not answers come, and is tried again as clients do.
use crate::hooks::Hooks;
use crate::plan::{Arrival, Plan};
use crate::proxies::Front;
use crate::scenario::{Clients, Method, MethodKind, Scenario};
use birchhub_audit::{Answer, DeduplicationScope, Event, Idempotency};
use birchhub_emulator::fleet::request_id_of;
use birchhub_emulator::{Client, ClientRequest, EventLog};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread::{Builder, JoinHandle, sleep};
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::task::{JoinSet, LocalSet};

const AHEAD: usize = 4096; // arrivals between the pacer and the clients: more would mean that the kit is far behind
const NAP: f64 = 0.2; // s that the pacer sleeps at most before it looks whether to stop
const WORTH_IT: f64 = 0.01; // s: a try with less time than this is not begun

/// How far it has come, for the progress line.
#[derive(Debug, Default)]
pub struct Progress {
    pub asked: AtomicUsize,
    pub ok: AtomicUsize,
    pub pushed_back: AtomicUsize,
    pub failed: AtomicUsize,
    pub stop: AtomicBool,
}

/// Starts the clients' thread and the pacer's; both end by themselves.
pub fn start(
    scenario: Scenario,
    plan: Plan,
    event_log: EventLog,
    front: Arc<Front>,
    progress: Arc<Progress>,
    hooks: Hooks,
) -> std::io::Result<Vec<JoinHandle<()>>> {
    let (due, arrivals) = mpsc::channel(AHEAD);
    let (times, clock, stop) = (plan.arrivals.clone(), event_log.clock, progress.clone());
    // A thread that sleeps is on time to a tenth of a millisecond; an event loop's timers only to one.
    let pacer = Builder::new().name("pacer".into()).spawn(move || {
        for (rpc, arrival) in times.into_iter().enumerate() {
            loop {
                let left = arrival.due - clock.now();
                if stop.stop.load(Ordering::Relaxed) {
                    return;
                }
                if left <= 0.0 {
                    break;
                }
                sleep(Duration::from_secs_f64(left.min(NAP)));
            }
            if due.blocking_send((rpc as u32, arrival)).is_err() {
                return;
            }
        }
    })?;
    let clients = Builder::new().name("clients".into()).spawn(move || {
        let Ok(runtime) = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
        else {
            return;
        };
        let client = Client::new(event_log.clone());
        let clients = Rc::new(Callers {
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

struct Callers {
    scenario: Scenario,
    seed: u64,
    event_log: EventLog,
    client: Client,
    front: Arc<Front>,
    progress: Arc<Progress>,
    hooks: Hooks,
}

impl Callers {
    async fn run(self: Rc<Self>, mut due: mpsc::Receiver<(u32, Arrival)>) {
        let mut open = JoinSet::new();
        while let Some((rpc, arrival)) = due.recv().await {
            let by = (self.event_log.clock.now() - arrival.due) as f32;
            self.event_log.record(Event::ClientLate { by });
            let (method, tenant, within_quota) =
                (arrival.method, arrival.tenant, arrival.within_quota);
            self.event_log.record_at(
                arrival.due,
                Event::Arrival {
                    rpc,
                    method,
                    tenant,
                    within_quota,
                },
            );
            self.progress.asked.fetch_add(1, Ordering::Relaxed);
            open.spawn_local(self.clone().rpc(rpc, arrival));
            // Those that are over are let go of as others come.
            while open.try_join_next().is_some() {}
        }
        if self.progress.stop.load(Ordering::Relaxed) {
            open.abort_all();
        }
        while open.join_next().await.is_some() {}
    }

    #[expect(clippy::too_many_lines)]
    async fn rpc(self: Rc<Self>, rpc: u32, arrival: Arrival) {
        let method = &self.scenario.methods[arrival.method as usize];
        let clients = &self.scenario.clients;
        let (clock, until) = (self.event_log.clock, arrival.due + method.deadline.0);
        let mut wait = clients.retry_delay.0;
        for number in 0..=clients.max_retries {
            let left = until - clock.now();
            let Some(client_timeout) = client_timeout(clients, method, left) else {
                break;
            };
            let cancel_after = arrival
                .leaves
                .filter(|_| number == 0)
                .map(|part| part * client_timeout);
            let (proxy, at) = self.front.deal(
                arrival.zone,
                arrival.deal.rotate_left(u32::from(number) * 8),
            );
            let request = ClientRequest {
                request_id: request_id_of(rpc, number),
                rpc,
                proxy,
                http_method: if method.kind == MethodKind::Idempotent {
                    "GET"
                } else {
                    "POST"
                },
                path: format!("/{}/{rpc}", method.name),
                tenant: self
                    .scenario
                    .tenants
                    .get(arrival.tenant as usize)
                    .map(|t| t.name.clone()),
                idempotency_key: (method.kind == MethodKind::Deduplicated)
                    .then(|| format!("{:016x}{rpc:08x}", self.seed)),
                is_retry: number > 0 && clients.marks_retries,
                client_timeout,
                cancel_after,
                body_bytes: method.body_bytes,
                slow_send: self.hooks.slow_send_of(arrival.deal),
            };
            let answer = self.client.send(&request, at).await;
            let counter = match answer {
                Answer::Ok => &self.progress.ok,
                Answer::Rejected(_) => &self.progress.pushed_back,
                _ => &self.progress.failed,
            };
            counter.fetch_add(1, Ordering::Relaxed);
            if !tries_again(answer, method, clock.now() - arrival.due) {
                break;
            }
            let asked = match answer {
                Answer::Rejected(Some(after)) if clients.honors_retry_after => f64::from(after),
                _ => 0.0,
            };
            clock.sleep_until(clock.now() + wait.max(asked)).await;
            wait *= if clients.exponential_backoff {
                2.0
            } else {
                1.0
            };
        }
    }
}

/// Clients repeat what is harmless: after a push-back or where no proxy had it, anything; else only what may run again
/// anywhere, within its window. `since` is the time from when the RPC was due, s.
pub fn tries_again(answer: Answer, method: &Method, since: f64) -> bool {
    match (answer, method.idempotency()) {
        (Answer::Ok | Answer::Cancelled, _) => false,
        (Answer::Rejected(_) | Answer::Unreachable, _) => true,
        (_, Idempotency::Idempotent) => true,
        (_, Idempotency::NonIdempotent) => false,
        (_, Idempotency::Deduplicated { group, window }) => {
            group == DeduplicationScope::All && since < window
        }
    }
}

/// What a client waits for a try of a method, whole milliseconds as it is told, when so much is left to it; `None` where that
/// is too little to begin.
pub fn client_timeout(clients: &Clients, method: &Method, left: f64) -> Option<f64> {
    let client_timeout = (method.deadline.0 * clients.attempt_timeout_fraction).min(left);
    (left >= WORTH_IT).then_some((client_timeout * 1e3).floor() / 1e3)
}
