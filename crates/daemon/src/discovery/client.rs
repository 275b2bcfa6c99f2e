//! The actor that follows the list: one long call after another while the module wants to be told. It has one
//! connection and never more than one call out; what it hears goes to the core's mailbox.
use crate::lifecycle::state::StateStore;
use crate::messages::Event;
use crate::net::body::RequestBody;
use crate::net::sockets::{Connection, ConnectionError as Broken};
use birchhub::interface::{EndpointUpdateKind, Readiness};
use http_body_util::Full;
use hyper::{Request, StatusCode};
use serde_json::Value;
use std::cell::Cell;
use std::future::ready;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::select;
use tokio::sync::{Notify, mpsc, watch};
use tokio::time::{Instant, sleep, sleep_until, timeout_at};

/// How long calls may wait, and what is waited for them beyond that. What a service has to tell counts as told
/// 6 s after it could be reached, and 6 s after a watch fell silent: two calls into silence in a row, and one pause
/// of the module (1 s at the most) between them, leave time for a third that is answered.
struct Times {
    /// That a call may wait.
    hold: Duration,
    patience: Duration,
    /// By how many calls in a row met silence: for one that does not wait and shows what there is, after silence or
    /// a broken answer. Some are heard out longer, for a service that is slower than usual.
    at_once: &'static [Duration],
    /// For the whole list, likewise.
    whole: &'static [Duration],
    /// Calls that go out at once after one that met silence: silence took as long as a pause.
    again: usize,
}

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

// Shorter holds, and calls would load the service.
const SERVICE: Times = Times {
    hold: ms(3500),
    patience: ms(500),
    at_once: &[ms(3000), ms(750), ms(1250)],
    whole: &[ms(3000), ms(1500), ms(1500)],
    again: 2,
};
// For the whole list while there is none at all: nothing counts as told to a process that is not ready. Guards against
// a mass start whose calls are given up while they wait their turn, and worked on all the same.
const FIRST: &[Duration] = &[ms(8000), ms(4000), ms(4000)];
// Where lists are pushed: what the agent has counts as told at once, and it answers from its own memory.
const AGENT: Times = Times {
    hold: ms(2000),
    patience: ms(500),
    at_once: &[ms(100), ms(200), ms(400), ms(800)],
    whole: &[ms(300), ms(600), ms(1200), ms(2400)],
    again: 1,
};
const AGENT_EVERY: Duration = Duration::from_millis(20); // between calls that fail there: less than a drain's grace
const CONNECT_MOST: Duration = ms(750); // for a connection: one that was swallowed must not cost a call
const TELL_EVERY: Duration = Duration::from_secs(10); // between log lines of one outage, where calls go on
const GAP: Duration = Duration::from_millis(20); // between calls at least: one that never waits must not spin
const BODY_MOST: usize = 4 << 20; // bytes of a list: some 20,000 lines

/// One backend of the list.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct ListedEndpoint {
    pub uid: String,
    pub endpoint: SocketAddr,
    pub zone: String,
    pub cell: Option<u64>,
    pub readiness: Readiness,
    pub size: f64,
    pub boot_ms: f64,
}

/// What discovery told: the whole list or changes of it.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct EndpointUpdate {
    pub version: u64,
    pub kind: EndpointUpdateKind,
    pub listed: Vec<ListedEndpoint>,
}

/// One line of the list. One that can't be understood is passed over: it must not end the proxy, and takes
/// nothing new.
fn line(value: &Value) -> Option<ListedEndpoint> {
    let number = |key| value.get(key).and_then(Value::as_f64);
    let readiness = match value.get("state").and_then(Value::as_str) {
        Some("Ready") => Readiness::Ready,
        Some("Gone") => Readiness::Removed,
        _ => Readiness::Draining,
    };
    let endpoint = value
        .get("endpoint")
        .and_then(Value::as_str)
        .and_then(|text| text.parse().ok());
    // Guards against one that goes on getting RPCs where it was, as the line with its new place made no sense.
    let (endpoint, readiness) = match (endpoint, readiness) {
        (Some(endpoint), readiness) => (endpoint, readiness),
        (None, Readiness::Ready) => (SocketAddr::from(([0, 0, 0, 0], 0)), Readiness::Draining),
        (None, readiness) => (SocketAddr::from(([0, 0, 0, 0], 0)), readiness),
    };
    Some(ListedEndpoint {
        uid: value.get("uid")?.as_str()?.to_owned(),
        endpoint,
        zone: value
            .get("az")
            .and_then(Value::as_str)
            .unwrap_or_default()
            .to_owned(),
        cell: value.get("pod_group").and_then(Value::as_u64),
        readiness,
        size: number("capacity_hint")
            .filter(|size| *size > 0.0)
            .unwrap_or(1.0),
        boot_ms: number("boot_ms").unwrap_or(0.0),
    })
}

/// Reads the list in discovery's form.
pub(crate) fn decode(value: &Value) -> Result<EndpointUpdate, String> {
    let version = value
        .get("rev")
        .and_then(Value::as_u64)
        .ok_or("rev is not a number")?;
    let full = value
        .get("all")
        .and_then(Value::as_bool)
        .ok_or("all is not true or false")?;
    let targets = value
        .get("targets")
        .and_then(Value::as_array)
        .ok_or("targets is not a list")?;
    let kind = if full {
        EndpointUpdateKind::Snapshot
    } else {
        EndpointUpdateKind::Incremental
    };
    let listed: Vec<_> = targets.iter().filter_map(line).collect();
    if listed.len() < targets.len() {
        log::warn!(
            "{} of {} list lines can't be read",
            targets.len() - listed.len(),
            targets.len()
        );
    }
    Ok(EndpointUpdate {
        version,
        kind,
        listed,
    })
}

pub(crate) struct Discovery {
    /// Where the list service is; it may move.
    pub at: watch::Receiver<SocketAddr>,
    pub core: mpsc::Sender<Event>,
    /// The module asks to be told of changes.
    pub wanted: Rc<Notify>,
    pub version: Option<u64>,
    /// The list is followed unasked, whatever fails.
    pub pushed: bool,
    /// Told of the first answer, and of all names.
    pub standings: Rc<StateStore>,
    /// Calls in a row that met silence.
    pub time_outs: usize,
}

/// How a call ended without news.
enum DiscoveryError {
    /// No answer in time, or no connection.
    TimedOut,
    /// An answer that breaks off or makes no sense.
    Malformed(String),
    /// Refused, broken off before an answer, or answered with what is older than what is known.
    Down(String),
}

impl DiscoveryError {
    /// How many calls in a row go out at once after such ones.
    fn again(&self, times: &Times) -> usize {
        match self {
            Self::TimedOut => times.again,
            Self::Malformed(_) => 1,
            Self::Down(_) => 0,
        }
    }
}

impl std::fmt::Display for DiscoveryError {
    fn fmt(&self, to: &mut std::fmt::Formatter) -> std::fmt::Result {
        match self {
            Self::TimedOut => to.write_str("no answer in time"),
            Self::Malformed(why) | Self::Down(why) => to.write_str(why),
        }
    }
}

impl Discovery {
    /// Follows the list until the core is gone: a watch runs until a call fails, and the next begins when
    /// the module asks for it, or at once when discovery has moved. Where lists are pushed it always goes on.
    pub(crate) async fn run(mut self) {
        let mut moves = self.at.clone();
        let (mut at_once, mut told) = (self.pushed, None);
        loop {
            // A version of one service means nothing at another: the whole list comes first there.
            if !at_once {
                select! {
                    () = self.wanted.notified() => {}
                    Ok(()) = moves.changed() => (self.version, self.time_outs) = (None, 0),
                }
            }
            let fault = select! {
                biased;
                Ok(()) = moves.changed() => None,
                fault = self.watch() => Some(fault),
            };
            at_once = self.pushed || fault.is_none();
            let Some(fault) = fault else {
                (self.version, self.time_outs) = (None, 0);
                continue;
            };
            // Guards against a log full of one outage.
            if told.is_none_or(|at: Instant| at.elapsed() > TELL_EVERY) {
                log::warn!("list call failed: {fault}");
                told = Some(Instant::now()).filter(|_| self.pushed);
            }
            // What was asked for while the watch ran is done with: guards against calls without a pause.
            select! {
                biased;
                () = self.wanted.notified() => {}
                () = ready(()) => {}
            }
            if self.core.send(Event::DiscoveryFailed).await.is_err() {
                return;
            }
            if self.pushed {
                sleep(AGENT_EVERY).await;
            }
        }
    }

    #[expect(clippy::too_many_lines)]
    async fn watch(&mut self) -> DiscoveryError {
        let times = if self.pushed { AGENT } else { SERVICE };
        // After silence, one that waits would be given up too late if it met silence too.
        let (mut conn, mut doubted) = (None, self.pushed || self.time_outs > 0);
        let mut tried = 0;
        loop {
            let nth = |times: &[Duration]| times[self.time_outs % times.len()];
            let (path, patience) = match self.version {
                None => {
                    let first = !self.pushed && !self.standings.now().ready;
                    (
                        "/registry/instances".to_owned(),
                        nth(if first { FIRST } else { times.whole }),
                    )
                }
                Some(from) => {
                    let hold = if doubted { Duration::ZERO } else { times.hold };
                    let path = format!(
                        "/registry/instances?from={from}&hold_ms={}",
                        hold.as_millis()
                    );
                    (
                        path,
                        if doubted {
                            nth(times.at_once)
                        } else {
                            hold + times.patience
                        },
                    )
                }
            };
            let begun = Instant::now();
            let until = begun + patience;
            let called = timeout_at(until, self.call(&mut conn, &path, until)).await;
            let called = called
                .unwrap_or(Err(DiscoveryError::TimedOut))
                .and_then(|news| self.in_order(news));
            self.time_outs = if matches!(called, Err(DiscoveryError::TimedOut)) {
                self.time_outs + 1
            } else {
                0
            };
            let news = match called {
                Ok(news) => news,
                // Guards against a link that swallowed one call, and against news that counts as told though its
                // answer broke: another connection may do.
                Err(fault) if tried < fault.again(&times) => {
                    log::warn!("list call goes out again: {fault}");
                    (conn, doubted) = (None, true);
                    tried += 1;
                    continue;
                }
                Err(fault) => return fault,
            };
            (doubted, tried) = (false, 0);
            self.version = Some(news.version);
            self.standings
                .listed(news.listed.iter().map(|listed| listed.uid.as_str()));
            self.standings.set_ready();
            if self.core.send(Event::EndpointsChanged(news)).await.is_err() {
                return DiscoveryError::Down("the core has ended".into());
            }
            sleep_until(begun + GAP).await;
        }
    }

    /// Guards against an older list that undoes a newer one: what is true then is in the whole list, whatever its number.
    fn in_order(&mut self, news: EndpointUpdate) -> Result<EndpointUpdate, DiscoveryError> {
        match self.version {
            Some(had) if news.version < had => {
                self.version = None;
                Err(DiscoveryError::Down(format!(
                    "version {} came after {had}",
                    news.version
                )))
            }
            _ => Ok(news),
        }
    }

    async fn call(
        &self,
        kept: &mut Option<Connection>,
        path: &str,
        until: Instant,
    ) -> Result<EndpointUpdate, DiscoveryError> {
        let usable = match kept {
            None => false,
            Some(conn) => conn.is_usable().await,
        };
        if !usable {
            *kept = None;
            let at = *self.at.borrow();
            let until = until.min(Instant::now() + CONNECT_MOST);
            *kept = Connection::open(at, None, until).await;
            if kept.is_none() && Instant::now() >= until {
                return Err(DiscoveryError::TimedOut);
            }
        }
        let conn = kept
            .as_mut()
            .ok_or(DiscoveryError::Down("no connection".into()))?;
        let mut message = Request::new(RequestBody::Buffered(Full::default()));
        *message.uri_mut() = path
            .parse()
            .map_err(|_| DiscoveryError::Down("the call has no path".into()))?;
        let reply = conn
            .exchange(message, BODY_MOST, false, &Cell::new(false))
            .await;
        let reply = reply.map_err(|fault| match fault {
            Broken::MalformedResponse => DiscoveryError::Malformed("the answer broke off".into()),
            fault => DiscoveryError::Down(format!("the connection failed: {fault:?}")),
        })?;
        if reply.status != StatusCode::OK {
            return Err(DiscoveryError::Down(format!("status {}", reply.status)));
        }
        let value = serde_json::from_slice(&reply.body)
            .map_err(|e| DiscoveryError::Malformed(format!("not JSON: {e}")))?;
        decode(&value).map_err(DiscoveryError::Malformed)
    }
}
