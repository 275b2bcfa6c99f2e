//! The actor that follows the endpoint list: one call after another while the decisions want its changes. It has one
//! connection and one call under way, and a few more where the first ones had no response in time; what it receives goes
//! to the decision actor's mailbox.

use crate::discovery::LOG_TARGET;
use crate::discovery::call::{Call, CallEnd, OverdueCalls, make_call};
use crate::discovery::error::DiscoveryError;
use crate::discovery::timing::{
    AGENT, AGENT_RETRY_INTERVAL, CallTiming, FIRST_SNAPSHOT, LOG_INTERVAL, MIN_CALL_INTERVAL,
    SERVICE,
};
use crate::discovery::update::EndpointUpdate;
use crate::lifecycle::state_store::StateStore;
use crate::messages::Event;
use crate::net::connection::Connection;
use std::future::ready;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::select;
use tokio::sync::{Notify, mpsc, watch};
use tokio::time::{Instant, sleep, sleep_until};

const INSTANCES_PATH: &str = "/registry/instances";

/// Follows the endpoint list.
pub(crate) struct DiscoveryClient {
    /// Address of the service; it may move.
    address: watch::Receiver<SocketAddr>,
    decisions: mpsc::Sender<Event>,
    /// The decisions ask for the changes of the list.
    watch_requested: Rc<Notify>,
    /// Version of the list that is known at the present address.
    version: Option<u64>,
    /// Lists are pushed: the list is followed unasked, whatever fails.
    pushed: bool,
    /// Told of the first response, and of all names.
    state_store: Rc<StateStore>,
    consecutive_timeouts: usize,
    overdue: OverdueCalls,
    /// When a response came last, from whichever address.
    last_response: Option<Instant>,
}

/// The decision actor has ended: nobody is left to tell.
struct ActorEnded;

impl DiscoveryClient {
    /// A client that knows the list up to `version`.
    pub(crate) fn new(
        address: watch::Receiver<SocketAddr>,
        decisions: mpsc::Sender<Event>,
        watch_requested: Rc<Notify>,
        version: Option<u64>,
        pushed: bool,
        state_store: Rc<StateStore>,
    ) -> Self {
        Self {
            address,
            decisions,
            watch_requested,
            version,
            pushed,
            state_store,
            consecutive_timeouts: 0,
            overdue: OverdueCalls::default(),
            last_response: None,
        }
    }

    /// Follows the list until the decision actor has ended: a watch runs until a call fails, and the next begins when
    /// the decisions ask for it, or at once when discovery has moved. Where lists are pushed it always goes on.
    pub(crate) async fn run(mut self) {
        let mut address_changes = self.address.clone();
        let mut watch_at_once = self.pushed;
        let mut last_logged = None;
        loop {
            let mut connection = None;
            if !watch_at_once {
                select! {
                    () = self.watch_requested.notified() => {}
                    Ok(()) = address_changes.changed() => self.forget_version(),
                    late = self.overdue.next_update() => {
                        // The watch goes on from there, as if the call had not been overdue.
                        match self.accept_late(late).await {
                            Ok(usable) => connection = usable,
                            Err(ActorEnded) => return,
                        }
                    }
                }
            }
            let failure = select! {
                biased;
                Ok(()) = address_changes.changed() => None,
                error = self.watch(connection) => Some(error),
            };
            watch_at_once = self.pushed || failure.is_none();
            let Some(error) = failure else {
                self.forget_version();
                continue;
            };
            self.log_failure(&error, &mut last_logged);
            self.drop_pending_request().await;
            if self.decisions.send(Event::DiscoveryFailed).await.is_err() {
                return;
            }
            if self.pushed {
                sleep(AGENT_RETRY_INTERVAL).await;
            }
        }
    }

    /// A version of one service means nothing at another: the whole list comes first there.
    fn forget_version(&mut self) {
        self.version = None;
        self.consecutive_timeouts = 0;
        self.overdue.clear();
    }

    /// Delivers the update that an overdue call has brought, if it is none of an older list, and returns its connection.
    async fn accept_late(
        &mut self,
        (update, connection): (EndpointUpdate, Option<Connection>),
    ) -> Result<Option<Connection>, ActorEnded> {
        if let Ok(update) = self.check_order(update) {
            let changed_since = self.last_response;
            self.record_response();
            self.deliver(update, changed_since).await?;
        }
        Ok(connection)
    }

    /// A response has come: what is still under way would tell nothing else.
    fn record_response(&mut self) {
        self.overdue.clear();
        self.consecutive_timeouts = 0;
        self.last_response = Some(Instant::now());
    }

    /// Prevents a log full of one outage.
    fn log_failure(&self, error: &DiscoveryError, last_logged: &mut Option<Instant>) {
        if last_logged.is_none_or(|at| at.elapsed() > LOG_INTERVAL) {
            log::warn!(target: LOG_TARGET, "list call failed: {error}");
            *last_logged = Some(Instant::now()).filter(|_| self.pushed);
        }
    }

    /// What was asked for while the watch ran is done with. Prevents calls without a backoff.
    async fn drop_pending_request(&self) {
        select! {
            biased;
            () = self.watch_requested.notified() => {}
            () = ready(()) => {}
        }
    }

    /// Calls until one fails for good.
    async fn watch(&mut self, mut connection: Option<Connection>) -> DiscoveryError {
        let timing = if self.pushed { AGENT } else { SERVICE };
        // After a timeout, a call that waits at the service would be given up too late if it timed out too.
        let mut catching_up = self.pushed || self.consecutive_timeouts > 0;
        let mut retries = 0;
        loop {
            let call = self.next_call(&timing, catching_up);
            let started = Instant::now();
            let before = self.last_response;
            let is_watch = call.is_watch && before.is_some();
            match self.call(&mut connection, call).await {
                Ok(update) => {
                    (catching_up, retries) = (false, 0);
                    // A watch answers as soon as something changes.
                    let changed_since = if is_watch { self.last_response } else { before };
                    if self.deliver(update, changed_since).await.is_err() {
                        return DiscoveryError::ActorEnded;
                    }
                    sleep_until(started + MIN_CALL_INTERVAL).await;
                }
                // Another connection may do. Prevents a link that lost one call, or an update that counts as told
                // though its response broke off, from costing a backoff.
                Err(error) if retries < error.immediate_retries(&timing) => {
                    log::warn!(target: LOG_TARGET, "list call goes out again: {error}");
                    catching_up = true;
                    retries += 1;
                }
                Err(error) => return error,
            }
        }
    }

    /// The call that comes next: for the whole list, for what has changed by now, or a watch.
    fn next_call(&self, timing: &CallTiming, catching_up: bool) -> Call {
        let nth = |timeouts: &[Duration]| timeouts[self.consecutive_timeouts % timeouts.len()];
        let Some(version) = self.version else {
            let first = !self.pushed && !self.state_store.current().ready;
            let timeouts = if first {
                FIRST_SNAPSHOT
            } else {
                timing.snapshot
            };
            return Call {
                path: INSTANCES_PATH.to_owned(),
                is_watch: false,
                timeout: nth(timeouts),
            };
        };
        let (hold, timeout) = if catching_up {
            (Duration::ZERO, nth(timing.catch_up))
        } else {
            (timing.hold, timing.hold + timing.response_margin)
        };
        let hold_ms = hold.as_millis();
        Call {
            path: format!("{INSTANCES_PATH}?from={version}&hold_ms={hold_ms}"),
            is_watch: !hold.is_zero(),
            timeout,
        }
    }

    /// Makes a call, and counts timeouts in a row. One that times out stays under way: the first response counts.
    async fn call(
        &mut self,
        connection: &mut Option<Connection>,
        call: Call,
    ) -> Result<EndpointUpdate, DiscoveryError> {
        let deadline = Instant::now() + call.timeout;
        let address = *self.address.borrow();
        let mut current = make_call(address, connection.take(), call.path);
        let CallEnd {
            result,
            connection: usable,
        } = select! {
            biased;
            end = &mut current => end,
            (update, connection) = self.overdue.next_update() => CallEnd {
                result: Ok(update),
                connection,
            },
            () = sleep_until(deadline) => {
                self.overdue.push(current);
                DiscoveryError::TimedOut.into()
            }
        };
        let result = result.and_then(|update| self.check_order(update));
        match &result {
            Ok(_) => {
                self.record_response();
                *connection = usable;
            }
            Err(DiscoveryError::TimedOut) => self.consecutive_timeouts += 1,
            Err(_) => self.consecutive_timeouts = 0,
        }
        result
    }

    /// Prevents an older list from undoing a newer one: what is true then is in the whole list, whatever its version.
    fn check_order(&mut self, update: EndpointUpdate) -> Result<EndpointUpdate, DiscoveryError> {
        match self.version {
            Some(known) if update.version < known => {
                self.version = None;
                Err(DiscoveryError::OutOfOrder {
                    received: update.version,
                    known,
                })
            }
            _ => Ok(update),
        }
    }

    /// Hands an update to the decision actor, with the time since which what it tells may have been so.
    async fn deliver(
        &mut self,
        mut update: EndpointUpdate,
        changed_since: Option<Instant>,
    ) -> Result<(), ActorEnded> {
        update.changed_since = changed_since;
        self.version = Some(update.version);
        let names = update.listed.iter().map(|endpoint| endpoint.uid.as_str());
        self.state_store.record_listed_names(names);
        self.state_store.set_ready();
        let event = Event::EndpointsChanged(update);
        self.decisions.send(event).await.map_err(|_| ActorEnded)
    }
}
