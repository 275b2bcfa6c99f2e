//! An emulated discovery service.
use super::backend::serve;
use super::http::{Message, read_message, reply};
use super::shared::{EVENT_TIMEOUT, Shared};
use serde_json::{Value, json};
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};

/// Creates an entry of the endpoint list.
pub(crate) fn endpoint_entry(uid: &str, endpoint: SocketAddr, state: &str) -> Value {
    json!({"uid": uid, "endpoint": endpoint.to_string(), "az": "a", "model": "m", "pod_group": 3,
        "state": state, "capacity_hint": 1.0, "boot_ms": 0})
}

/// The current response of the discovery service.
#[derive(Clone, Default)]
struct Publication {
    version: u64,
    /// The body of the response; without one the service closes the connection.
    body: Option<String>,
}

/// An emulated discovery service with one response for all calls, which can be replaced.
#[derive(Clone)]
pub(crate) struct DiscoveryService {
    /// The address that it listens on.
    pub address: SocketAddr,
    publication: Shared<Publication>,
    /// The version that the caller had when it sent the latest call.
    requested_after: Shared<u64>,
    /// The version of the latest response, or of the latest call without one.
    pub answered: Shared<u64>,
    /// The number of calls so far.
    pub calls: Shared<usize>,
}

impl DiscoveryService {
    /// Starts a service.
    pub(crate) fn start() -> Self {
        Self::without_response_to(usize::MAX)
    }

    /// Starts a service that never responds to one call, counted from 0.
    pub(crate) fn without_response_to(ignored_call: usize) -> Self {
        let publication = Shared::new(Publication::default());
        let requested_after = Shared::new(0);
        let answered = Shared::new(0);
        let calls = Shared::new(0);
        let connections = ServiceConnections {
            publication: publication.clone(),
            requested_after: requested_after.clone(),
            answered: answered.clone(),
            calls: calls.clone(),
            ignored_call,
        };
        let address = serve("127.0.0.1:0", move |stream| connections.serve(stream));
        Self {
            address,
            publication,
            requested_after,
            answered,
            calls,
        }
    }

    /// Publishes a complete list of these endpoints.
    pub(crate) fn publish(&self, endpoints: &[Value]) {
        self.publication.change(|publication| {
            publication.version += 1;
            let version = publication.version;
            let body = json!({"rev": version, "all": true, "targets": endpoints}).to_string();
            publication.body = Some(body);
        });
    }

    /// Publishes a complete list of these endpoints, and waits until the proxy has it and polls for the next version.
    pub(crate) fn publish_and_wait(&self, endpoints: &[Value]) -> u64 {
        self.publish(endpoints);
        let version = self.publication.change(|publication| publication.version);
        assert!(
            self.requested_after
                .wait(EVENT_TIMEOUT, |requested| *requested == version),
            "the list was never applied"
        );
        version
    }

    /// Responds with this body from now on, or closes connections if there is none, and waits until this has happened to
    /// a call.
    pub(crate) fn respond_with(&self, body: Option<&str>) {
        let version = self.publication.change(|publication| {
            publication.version += 1;
            publication.body = body.map(str::to_owned);
            publication.version
        });
        assert!(
            self.answered
                .wait(EVENT_TIMEOUT, |answered| *answered == version),
            "the list was never requested"
        );
    }
}

/// The state that all connections of the service share.
struct ServiceConnections {
    publication: Shared<Publication>,
    requested_after: Shared<u64>,
    answered: Shared<u64>,
    calls: Shared<usize>,
    ignored_call: usize,
}

impl ServiceConnections {
    /// Serves the calls on one connection. A call waits until there is a version other than the one that the proxy has.
    fn serve(&self, mut stream: TcpStream) {
        let mut input = BufReader::new(stream.try_clone().expect("a second handle"));
        while let Some(call) = read_message(&mut input) {
            let after = version_after(&call);
            self.requested_after.change(|requested| *requested = after);
            let number = self
                .calls
                .change(|calls| std::mem::replace(calls, *calls + 1));
            if number == self.ignored_call {
                // Returns when the proxy closes the connection.
                let _ = input.read(&mut [0]);
                return;
            }
            self.publication.wait(EVENT_TIMEOUT, |publication| {
                publication.version != after || publication.body.is_none()
            });
            let publication = self.publication.change(|publication| publication.clone());
            if let Some(body) = &publication.body {
                let _ = stream.write_all(&reply("200 OK", body));
            }
            self.answered
                .change(|answered| *answered = publication.version);
            if publication.body.is_none() {
                return;
            }
        }
    }
}

/// Returns the version that the sender of a call has; 0 if it has none.
fn version_after(call: &Message) -> u64 {
    let from = call
        .start_line
        .split("from=")
        .nth(1)
        .and_then(|rest| rest.split('&').next());
    from.and_then(|from| from.parse().ok()).unwrap_or(0)
}
