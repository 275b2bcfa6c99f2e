//! An emulated local agent, to which endpoint lists are pushed, with the kinds of outages that occur.
use crate::common::sockets::{Message, Shared, read_message, reply, serve};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread::sleep;
use std::time::Duration;

/// How the agent handles calls.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Behaviour {
    /// Responds at once, or to a long poll when there is a change.
    Responding,
    /// Responds after this time.
    Slow(Duration),
    /// Holds all calls until it responds again.
    Silent,
    /// Never responds to the calls that it receives.
    Lost,
    /// Responds with status 503.
    Unavailable,
    /// Closes the connection without a response.
    Closing,
}

impl Behaviour {
    /// Whether calls get no list.
    fn is_outage(self) -> bool {
        !matches!(self, Self::Responding | Self::Slow(_))
    }
}

/// Longest time for which a long poll is held.
const MAX_HOLD: Duration = Duration::from_secs(60);

struct AgentState {
    behaviour: Behaviour,
    version: u64,
    /// The latest entry of each backend by uid, with the version of its change. Removed backends remain.
    entries: BTreeMap<String, (u64, Value)>,
    calls: usize,
}

impl AgentState {
    fn list(&self, after: Option<u64>) -> String {
        let entries = self.entries.values();
        let is_listed = |version: &u64, entry: &Value| match after {
            Some(after) => *version > after,
            None => entry["state"] != "Gone",
        };
        let entries: Vec<_> = entries
            .filter(|(version, entry)| is_listed(version, entry))
            .map(|(_, entry)| entry)
            .collect();
        json!({"rev": self.version, "all": after.is_none(), "targets": entries}).to_string()
    }
}

/// The agent of one proxy.
#[derive(Clone)]
pub(crate) struct Agent {
    /// The address that it listens on.
    pub address: SocketAddr,
    state: Shared<AgentState>,
}

impl Agent {
    /// Starts an agent that has these entries.
    pub(crate) fn start(entries: &[Value]) -> Self {
        let state = Shared::new(AgentState {
            behaviour: Behaviour::Responding,
            version: 0,
            entries: BTreeMap::new(),
            calls: 0,
        });
        let served = state.clone();
        let address = serve("127.0.0.1:0", move |stream| {
            serve_calls(stream, &served);
        });
        let agent = Self { address, state };
        agent.publish(entries);
        agent
    }

    /// Adds changes to the list of the agent.
    pub(crate) fn publish(&self, entries: &[Value]) {
        self.state.change(|state| {
            state.version += 1;
            for entry in entries {
                let uid = entry["uid"].as_str().expect("a uid").to_owned();
                state.entries.insert(uid, (state.version, entry.clone()));
            }
        });
    }

    /// Changes how calls are handled. Calls that the agent holds end with an outage that is not silent.
    pub(crate) fn set_behaviour(&self, behaviour: Behaviour) {
        self.state.change(|state| state.behaviour = behaviour);
    }

    /// Returns the list as the platform stores it for the next start.
    pub(crate) fn cached_list(&self) -> Value {
        self.state
            .change(|state| serde_json::from_str(&state.list(None)).expect("a list"))
    }

    /// Returns the number of calls so far.
    pub(crate) fn calls(&self) -> usize {
        self.state.change(|state| state.calls)
    }
}

fn serve_calls(mut stream: TcpStream, state: &Shared<AgentState>) {
    let mut input = BufReader::new(stream.try_clone().expect("a second handle"));
    while let Some(call) = read_message(&mut input) {
        state.change(|state| state.calls += 1);
        let Some(response) = respond(&call, state) else {
            return;
        };
        if response.is_empty() {
            // Returns when the proxy closes the connection.
            let _ = input.read(&mut [0]);
            return;
        }
        if stream.write_all(&response).is_err() {
            return;
        }
    }
}

/// Returns the response to a call: empty if there is never one, `None` if the connection is closed.
fn respond(call: &Message, state: &Shared<AgentState>) -> Option<Vec<u8>> {
    let after = parameter(call, "from");
    if let Some(after) = after {
        let hold = Duration::from_millis(parameter(call, "hold_ms").unwrap_or(0));
        state.wait(hold.min(MAX_HOLD), |state| {
            state.version > after || state.behaviour.is_outage()
        });
    }
    state.wait(MAX_HOLD, |state| state.behaviour != Behaviour::Silent);
    match state.change(|state| state.behaviour) {
        Behaviour::Lost => return Some(Vec::new()),
        Behaviour::Unavailable => return Some(reply("503 Service Unavailable", "")),
        Behaviour::Closing => return None,
        Behaviour::Slow(delay) => sleep(delay),
        Behaviour::Responding | Behaviour::Silent => {}
    }
    let list = state.change(|state| state.list(after));
    Some(reply("200 OK", &list))
}

/// Returns a number in the query of a call.
fn parameter(call: &Message, name: &str) -> Option<u64> {
    let query = call.start_line.split([' ', '?', '&']);
    let value = query
        .filter_map(|part| part.split_once('='))
        .find(|(key, _)| *key == name);
    value.and_then(|(_, value)| value.parse().ok())
}
