//! A proxy with an agent, two backends and clients that never stop.
use crate::agent::{Agent, Behaviour};
use crate::common::sockets::{
    BackendAction, Client, Daemon, HEALTH, Log, Shared, backend, config, endpoint_entry, reply,
    rpc, without_health_checks,
};
use serde_json::Value;
use std::net::SocketAddr;
use std::thread::{JoinHandle, sleep, spawn};
use std::time::{Duration, Instant};

pub(crate) const PROGRAM: &str = env!("CARGO_BIN_EXE_birchhubd");

/// Time after a change for which RPCs may still be sent to a backend that drains, as the configuration sets it, with the
/// time that the sockets are given.
pub(crate) const DRAIN_GRACE: Duration = Duration::from_millis(350);

/// Longest time until a restarted process is ready on the shortest days.
pub(crate) const READY_LIMIT: Duration = Duration::from_secs(6);

/// Interval between the RPCs of the clients.
const RPC_INTERVAL: Duration = Duration::from_millis(10);

/// A request that a backend has received.
#[derive(Clone, Debug)]
pub(crate) struct ReceivedRequest {
    pub at: Instant,
    pub backend: &'static str,
}

/// A response that a client has received.
#[derive(Clone, Debug)]
pub(crate) struct ReceivedResponse {
    pub at: Instant,
    pub status: u16,
    pub took: Duration,
}

/// A proxy whose lists are pushed, with the backends `s-1` and `s-2`.
pub(crate) struct Setup {
    pub daemon: Daemon,
    pub agent: Agent,
    /// The list entries of the backends, as they were at the first start.
    pub entries: Vec<Value>,
    requests: Shared<Vec<ReceivedRequest>>,
    restarted_at: Instant,
}

impl Setup {
    /// Starts the proxy and waits until it is ready.
    pub(crate) fn start() -> Self {
        Self::start_with(|_| {})
    }

    /// Starts the proxy with a changed configuration and waits until it is ready.
    pub(crate) fn start_with(change: impl FnOnce(&mut Value)) -> Self {
        let requests = Shared::new(Vec::new());
        let entries = vec![
            endpoint_entry("s-1", start_backend("s-1", &requests), "Ready"),
            endpoint_entry("s-2", start_backend("s-2", &requests), "Ready"),
        ];
        let agent = Agent::start(&entries);
        let daemon = Daemon::start_with(PROGRAM, &[], |config| {
            with_agent(config, &agent);
            change(config);
        });
        Self {
            daemon,
            agent,
            entries,
            requests,
            restarted_at: Instant::now(),
        }
    }

    /// Returns the time of the last start of the process.
    pub(crate) fn restarted_at(&self) -> Instant {
        self.restarted_at
    }

    /// Returns the list entry of `s-1` with this state.
    pub(crate) fn entry_of_s1(&self, state: &str) -> Value {
        let mut entry = self.entries[0].clone();
        entry["state"] = state.into();
        entry
    }

    /// Ends the process with SIGKILL.
    pub(crate) fn kill(&mut self) {
        self.daemon.signal("KILL");
        self.daemon.await_exit();
    }

    /// Starts the process again without waiting until it is ready, and returns when.
    pub(crate) fn start_again(&mut self) -> Instant {
        self.restarted_at = Instant::now();
        self.daemon.start_again(PROGRAM);
        self.restarted_at
    }

    /// Waits until the process is ready, for [`READY_LIMIT`] at most, and returns the time since `started`.
    pub(crate) fn await_ready(&self, started: Instant) -> Duration {
        self.await_ready_within(started, READY_LIMIT)
    }

    /// Waits until the process is ready, for this time since `started` at most, and returns the time since then.
    pub(crate) fn await_ready_within(&self, started: Instant, limit: Duration) -> Duration {
        while !self.is_ready() {
            let elapsed = started.elapsed();
            assert!(elapsed < limit, "not ready after {elapsed:?}");
            sleep(Duration::from_millis(5));
        }
        started.elapsed()
    }

    /// Returns whether the readiness check responds with 200.
    pub(crate) fn is_ready(&self) -> bool {
        let response = Client::open(self.daemon.address).and_then(|mut client| client.call(HEALTH));
        response.is_some_and(|response| response.status() == 200)
    }

    /// Returns the requests that this backend received after a time.
    pub(crate) fn requests_to(&self, backend: &str, after: Instant) -> Vec<ReceivedRequest> {
        let mut requests = self.requests.change(|requests| requests.clone());
        requests.retain(|request| request.backend == backend && request.at > after);
        requests
    }

    /// Checks that this backend received no request after the grace since `notified`.
    pub(crate) fn assert_unused(&self, backend: &str, notified: Instant, what: &str) {
        let late = self.requests_to(backend, notified + DRAIN_GRACE);
        let delay = |request: &ReceivedRequest| request.at - notified;
        assert!(
            late.is_empty(),
            "{what}: {} requests to {backend}, {:?} to {:?} after the proxy counted as notified\n{}",
            late.len(),
            late.first().map(delay),
            late.last().map(delay),
            self.daemon.logged()
        );
    }
}

/// Configures a local agent, with its list as the cached one.
pub(crate) fn with_agent(config: &mut Value, agent: &Agent) {
    config["settings"]["membership-mode"] = "pushed".into();
    without_health_checks(config);
    config["discovery"] = agent.address.to_string().into();
    config["known"] = agent.cached_list();
}

/// Returns the configuration of a proxy at this address, for a reload.
pub(crate) fn reloaded_config(address: SocketAddr, agent: &Agent) -> String {
    let mut config = config(address, agent.address, &[]);
    with_agent(&mut config, agent);
    config.to_string()
}

fn start_backend(uid: &'static str, requests: &Shared<Vec<ReceivedRequest>>) -> SocketAddr {
    let requests = requests.clone();
    backend(uid, &Log::new(vec![]), move |_| {
        requests.change(|requests| {
            requests.push(ReceivedRequest {
                at: Instant::now(),
                backend: uid,
            });
        });
        BackendAction::Respond(reply("200 OK", uid))
    })
}

/// Clients that send RPCs, each on a connection of its own, until they are stopped.
pub(crate) struct Clients {
    stop: Shared<bool>,
    responses: Shared<Vec<ReceivedResponse>>,
    thread: Option<JoinHandle<()>>,
}

impl Clients {
    /// Starts clients of the proxy at this address.
    pub(crate) fn start(address: SocketAddr) -> Self {
        let stop = Shared::new(false);
        let responses = Shared::new(Vec::new());
        let (stopped, received) = (stop.clone(), responses.clone());
        let thread = spawn(move || {
            let mut count = 0;
            while !stopped.wait(RPC_INTERVAL, |stopped| *stopped) {
                count += 1;
                let sent = Instant::now();
                let request = rpc("GET", "/read", &format!("r{count}"), "");
                let response = Client::open(address).and_then(|mut client| client.call(&request));
                let Some(response) = response else { continue };
                received.change(|responses| {
                    responses.push(ReceivedResponse {
                        at: Instant::now(),
                        status: response.status(),
                        took: sent.elapsed(),
                    });
                });
            }
        });
        Self {
            stop,
            responses,
            thread: Some(thread),
        }
    }

    /// Returns the responses received after a time.
    pub(crate) fn responses_after(&self, after: Instant) -> Vec<ReceivedResponse> {
        let mut responses = self.responses.change(|responses| responses.clone());
        responses.retain(|response| response.at > after);
        responses
    }

    /// Waits until an RPC that was answered after `after` was served, and returns the time since then.
    pub(crate) fn await_served(&self, after: Instant, timeout: Duration) -> Duration {
        let is_served = |responses: &Vec<ReceivedResponse>| {
            let mut responses = responses.iter();
            responses.any(|response| response.at > after && response.status == 200)
        };
        assert!(
            self.responses.wait(timeout, is_served),
            "no RPC was served within {timeout:?}"
        );
        after.elapsed()
    }
}

impl Drop for Clients {
    fn drop(&mut self) {
        self.stop.change(|stop| *stop = true);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// The kinds of outages of an agent.
pub(crate) const OUTAGES: [Behaviour; 4] = [
    Behaviour::Silent,
    Behaviour::Lost,
    Behaviour::Unavailable,
    Behaviour::Closing,
];
