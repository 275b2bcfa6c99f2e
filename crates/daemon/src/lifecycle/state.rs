//! Where this proxy stands in its life, and what its staff ordered: one small value with one owner, which all
//! actors read. What staff ordered is common to all processes of the proxy.
use crate::lifecycle::siblings::{ProcessGroup, Siblings};
use birchhub::interface::Readiness;
use serde::{Deserialize, Serialize};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::sync::{Mutex, watch};
use tokio::time::{Instant, sleep};

/// After SIGTERM connections still come for up to 0.4 s.
const GO_ON: Duration = Duration::from_millis(500);
// SIGKILL comes 0.7 s after the longest deadline, but as if that were no longer than this.
const LONGEST: Duration = Duration::from_secs(3);
const LAST_WORDS: Duration = Duration::from_millis(100); // for the last answers to leave, still before SIGKILL
/// Between looks at what another process of this proxy did: a drain's grace is six times as long.
pub(crate) const SIBLING_POLL_INTERVAL: Duration = Duration::from_millis(50);
// After a standby new connections come for 0.2 s more; by then nearly all in use have had their last answer, and
// few closes cross with an RPC.
const IDLE_GOES: Duration = Duration::from_secs(1);
const HALF_GOES: Duration = Duration::from_millis(1900); // after a standby: nothing of the last 2 s of 4 may stay
const NAMES_MOST: usize = 20_000; // that were ever listed: some fleets deal out new ones with each start
const NAMES_EVERY: u32 = 20; // looks between writes of new names: they come with each change of a fleet

/// What staff ordered of a backend.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum Maintenance {
    #[serde(rename = "InForce")]
    Active,
    /// Back since this time, in Unix ms: whatever the list says, it started no earlier.
    #[serde(rename = "Over")]
    EndedAt(f64),
}

/// What staff ordered, and the names that orders may be about.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct AdminState {
    /// On standby since this time, in Unix ms.
    #[serde(rename = "standby")]
    pub standby_since: Option<f64>,
    #[serde(rename = "bans")]
    pub maintenance: BTreeMap<String, Maintenance>,
    #[serde(rename = "names")]
    known_names: BTreeSet<String>,
}

/// What a caller wants.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum AdminCommand {
    EnterMaintenance(String),
    ExitMaintenance(String),
    Standby,
    Activate,
}

impl AdminState {
    /// The same order again changes nothing.
    fn take(&mut self, order: &AdminCommand) {
        match order {
            AdminCommand::EnterMaintenance(name) => {
                self.maintenance.insert(name.clone(), Maintenance::Active);
            }
            AdminCommand::ExitMaintenance(name) => {
                if let Some(ban) = self
                    .maintenance
                    .get_mut(name)
                    .filter(|ban| **ban == Maintenance::Active)
                {
                    *ban = Maintenance::EndedAt(unix_ms());
                }
            }
            AdminCommand::Standby => drop(self.standby_since.get_or_insert_with(unix_ms)),
            AdminCommand::Activate => self.standby_since = None,
        }
    }

    pub(crate) fn count_in_maintenance(&self) -> usize {
        self.maintenance
            .values()
            .filter(|ban| **ban == Maintenance::Active)
            .count()
    }

    pub(crate) fn knows(&self, name: &str) -> bool {
        self.known_names.contains(name)
    }

    /// What the module is to be told of a backend that is listed so.
    pub(crate) fn effective_readiness(
        &self,
        name: &str,
        listed: Readiness,
        boot_ms: f64,
    ) -> (Readiness, f64) {
        match self.maintenance.get(name) {
            Some(Maintenance::Active) if listed == Readiness::Ready => {
                (Readiness::Draining, boot_ms)
            }
            Some(Maintenance::EndedAt(at)) => (listed, boot_ms.max(*at)),
            _ => (listed, boot_ms),
        }
    }
}

fn unix_ms() -> f64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_secs_f64()
        * 1e3
}

#[derive(Clone, Debug, Default)]
pub(crate) struct ProxyState {
    /// RPCs can be decided.
    pub ready: bool,
    /// Connections of clients are accepted.
    pub accepting: bool,
    pub shutdown: Option<GracefulShutdown>,
    /// The clients' socket is the platform's, and outlives this process.
    pub inherited_listener: bool,
    /// Other processes of this proxy.
    pub siblings: Siblings,
    pub admin_state: AdminState,
    /// Counts the changes of orders that were heard here.
    pub admin_generation: u64,
}

/// What SIGTERM has set: since when it is known, and how long the longest RPC may take from then on.
#[derive(Clone, Copy, Debug)]
pub(crate) struct GracefulShutdown {
    since: Instant,
    longest: Duration,
}

impl ProxyState {
    /// Another process goes on where this one ends. Guards against one that still starts, dies or ends too: clients would
    /// come to nobody.
    pub(crate) fn has_successor(&self) -> bool {
        self.shutdown.is_some() && self.inherited_listener && self.siblings.accepting > 0
    }

    /// This process accepts clients and is not told to end.
    fn accepts_clients(&self) -> bool {
        self.accepting && self.shutdown.is_none()
    }

    /// Whether clients are to come to this proxy, whichever of its processes they reach.
    pub(crate) fn is_healthy(&self) -> bool {
        self.ready
            && (self.shutdown.is_none() || self.has_successor())
            && self.admin_state.standby_since.is_none()
    }

    /// Each answer is the last on its connection.
    pub(crate) fn closes_after_response(&self) -> bool {
        self.shutdown.is_some() || self.admin_state.standby_since.is_some()
    }

    /// Until when connections are accepted; always, if never told.
    pub(crate) fn accept_deadline(&self) -> Option<Instant> {
        let replaced = self.has_successor();
        self.shutdown.map(|end| {
            if replaced {
                end.since
            } else {
                end.since + GO_ON
            }
        })
    }

    /// By when all that was taken is to be answered, once this process ends.
    pub(crate) fn response_deadline(&self) -> Option<Instant> {
        self.shutdown.map(|end| end.since + GO_ON + end.longest)
    }

    /// By when this process ends, whoever is still there.
    pub(crate) fn exit_deadline(&self) -> Option<Instant> {
        self.response_deadline().map(|end| end + LAST_WORDS)
    }

    /// By when a connection goes on which nothing is under way, and by when one whose message is not whole.
    pub(crate) fn connection_deadlines(&self) -> Option<(Instant, Instant)> {
        // A message that is not whole yet may become an RPC for as long as that can be answered.
        let ends = self
            .shutdown
            .zip(self.response_deadline())
            .map(|(end, last)| (end.since + GO_ON, last));
        let standby = self.admin_state.standby_since.map(|ms| {
            let ago = Duration::from_secs_f64(((unix_ms() - ms) / 1e3).clamp(0.0, 1e6));
            let since = Instant::now().checked_sub(ago).unwrap_or_else(Instant::now);
            (since + IDLE_GOES, since + HALF_GOES)
        });
        ends.into_iter().chain(standby).min()
    }
}

impl std::fmt::Display for ProxyState {
    fn fmt(&self, to: &mut std::fmt::Formatter) -> std::fmt::Result {
        let standby = if self.admin_state.standby_since.is_some() {
            ", on standby"
        } else {
            ""
        };
        write!(
            to,
            "{} members banned{standby}, {} other processes",
            self.admin_state.count_in_maintenance(),
            self.siblings.alive
        )
    }
}

/// The owner of the standing.
pub(crate) struct StateStore {
    standing: watch::Sender<ProxyState>,
    /// The last turn that the core has carried out.
    done: watch::Sender<u64>,
    shared: Option<Mutex<ProcessGroup>>,
    fresh_names: RefCell<BTreeSet<String>>, // not yet in the file
    full: Cell<bool>,
}

impl StateStore {
    /// `shared` where this proxy may have other processes; what they ordered holds from the start.
    pub(crate) fn new(mut shared: Option<ProcessGroup>, passed: bool) -> Self {
        let mut now = ProxyState {
            inherited_listener: passed,
            ..ProxyState::default()
        };
        if let Some(shared) = &mut shared {
            now.siblings = shared.others();
            now.admin_state = heard(shared).unwrap_or_default();
            log::info!("{}", now);
        }
        Self {
            standing: watch::Sender::new(now),
            done: watch::Sender::default(),
            shared: shared.map(Mutex::new),
            fresh_names: RefCell::default(),
            full: Cell::default(),
        }
    }

    pub(crate) fn subscribe(&self) -> watch::Receiver<ProxyState> {
        self.standing.subscribe()
    }

    pub(crate) fn current(&self) -> watch::Ref<'_, ProxyState> {
        self.standing.borrow()
    }

    pub(crate) fn set_ready(&self) {
        self.standing
            .send_if_modified(|now| !std::mem::replace(&mut now.ready, true));
    }

    pub(crate) fn set_accepting(&self) {
        self.standing.send_modify(|now| now.accepting = true);
        self.tell();
    }

    /// Tells other processes whether this one accepts; the next look does where the file is in use.
    fn tell(&self) {
        if let Some(Ok(mut shared)) = self.shared.as_ref().map(Mutex::try_lock) {
            shared.tell(self.standing.borrow().accepts_clients());
        }
    }

    /// SIGTERM has come; `longest` is the time of the longest RPC that the settings know.
    pub(crate) fn begin_shutdown(&self, longest: Duration) {
        let ending = GracefulShutdown {
            since: Instant::now(),
            longest: longest.min(LONGEST),
        };
        // Told before it looks: guards against two that hear SIGTERM at the same moment and leave clients to each other.
        let others = self.shared.as_ref().and_then(|shared| {
            let mut shared = shared.try_lock().ok()?;
            shared.tell(false);
            Some(shared.others())
        });
        self.standing.send_modify(|now| {
            now.shutdown = Some(ending);
            // The last look may be older than what the others do now; while the file is in use the next one tells.
            now.siblings = others.unwrap_or(now.siblings);
        });
    }

    /// These names are listed.
    pub(crate) fn record_listed_names<'a>(&self, names: impl Iterator<Item = &'a str>) {
        let known = &self.standing.borrow().admin_state.known_names;
        let mut fresh = self.fresh_names.borrow_mut();
        for name in names.filter(|name| !known.contains(*name)) {
            // Guards against names counted anew with each list where no file takes them over.
            if fresh.contains(name) {
                continue;
            }
            if known.len() + fresh.len() < NAMES_MOST {
                fresh.insert(name.to_owned());
            } else if !self.full.replace(true) {
                log::warn!("{NAMES_MOST} names were listed: calls about others will not know them");
            }
        }
    }

    pub(crate) fn knows(&self, name: &str) -> bool {
        self.standing.borrow().admin_state.knows(name) || self.fresh_names.borrow().contains(name)
    }

    /// The core has carried out what was ordered up to this turn.
    pub(crate) fn confirm_applied(&self, turn: u64) {
        self.done.send_replace(turn);
    }

    /// What holds now is this.
    fn adopt(&self, orders: AdminState) {
        self.standing.send_if_modified(|now| {
            let changed = now.admin_state != orders;
            now.admin_generation += u64::from(changed);
            now.admin_state = orders;
            changed
        });
    }

    /// Changes the orders, in the file too if there is one; an error tells why not there.
    async fn change(&self, change: impl Fn(&mut AdminState)) -> Result<(), String> {
        let fresh = self.fresh_names.take();
        let change = |orders: &mut AdminState| {
            orders.known_names.extend(fresh.iter().cloned());
            change(orders);
        };
        let mut own = self.standing.borrow().admin_state.clone();
        let written = match &self.shared {
            Some(shared) => shared.lock().await.update(&own, change).await.map(Some),
            None => Ok(None),
        };
        let (orders, outcome) = match written {
            Ok(Some(orders)) => (orders, Ok(())),
            other => {
                change(&mut own);
                (own, other.map(drop))
            }
        };
        self.adopt(orders);
        outcome
    }

    /// Carries out an order; done once it is in force. An error tells why it is not in another process.
    pub(crate) async fn execute(&self, order: &AdminCommand) -> Result<(), String> {
        let outcome = self.change(|orders| orders.take(order)).await;
        let turn = self.standing.borrow().admin_generation;
        log::info!("ordered: {order:?}; {}", *self.current());
        let _ = self.done.subscribe().wait_for(|done| *done >= turn).await;
        match outcome {
            Err(fault) => {
                log::warn!("the order holds in this process only: {fault}");
                if self.standing.borrow().siblings.alive > 0 {
                    Err(fault)
                } else {
                    Ok(())
                }
            }
            Ok(()) => Ok(()),
        }
    }

    /// Looks at what other processes do and order, for as long as this one lives.
    pub(crate) async fn follow_siblings(&self) {
        let mut looks = 0;
        while let Some(shared) = &self.shared {
            sleep(SIBLING_POLL_INTERVAL).await;
            looks += 1;
            let (others, orders) = {
                let mut shared = shared.lock().await;
                shared.tell(self.standing.borrow().accepts_clients());
                (shared.others(), heard(&mut shared))
            };
            if self.standing.borrow().siblings != others {
                let living = self.standing.borrow().siblings.alive;
                self.standing.send_modify(|now| now.siblings = others);
                if living != others.alive {
                    log::info!("{}", *self.current());
                }
            }
            if let Some(orders) = orders {
                self.adopt(orders);
                log::info!("heard of another process: {}", *self.current());
            }
            if looks % NAMES_EVERY == 0
                && !self.fresh_names.borrow().is_empty()
                && let Err(fault) = self.change(|_| ()).await
            {
                log::warn!("listed names are known to this process only: {fault}");
            }
        }
    }
}

/// What the file says, if that is new.
fn heard(shared: &mut ProcessGroup) -> Option<AdminState> {
    shared.read().unwrap_or_else(|fault| {
        log::warn!("orders can't be read and are passed over: {fault}");
        None
    })
}

#[cfg(test)]
mod tests;
