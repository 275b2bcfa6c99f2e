//! Where this proxy stands in its life, and what its staff ordered: one small value with one owner, which all
//! actors read.
use birchhub::types::Readiness;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashSet};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::sync::watch;
use tokio::time::Instant;

/// After SIGTERM connections still come for up to 0.4 s.
pub const GO_ON: Duration = Duration::from_millis(500);
// After a standby new connections come for 0.2 s more; by then nearly all in use have had their last answer, and
// few closes cross with an RPC.
const IDLE_GOES: Duration = Duration::from_secs(1);
const HALF_GOES: Duration = Duration::from_millis(1900); // after a standby: nothing of the last 2 s of 4 may stay
const NAMES_MOST: usize = 20_000; // that were ever listed: some fleets deal out new ones with each start

/// What staff ordered of a backend.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Ban {
    InForce,
    /// Back since this time, in Unix ms: whatever the list says, it started no earlier.
    Over(f64),
}

#[derive(Clone, Debug, Default)]
pub struct Standing {
    /// RPCs can be decided.
    pub ready: bool,
    /// Since when SIGTERM is known.
    pub ending: Option<Instant>,
    /// Since when clients are sent away.
    pub standby: Option<Instant>,
    pub bans: BTreeMap<String, Ban>,
    /// Counts the changes of bans.
    pub order: u64,
}

impl Standing {
    /// Whether clients are to come.
    pub fn takes_clients(&self) -> bool {
        self.ready && self.ending.is_none() && self.standby.is_none()
    }

    /// Each answer is the last on its connection.
    pub fn answers_last(&self) -> bool {
        self.ending.is_some() || self.standby.is_some()
    }

    pub fn banned(&self) -> usize {
        self.bans.values().filter(|ban| **ban == Ban::InForce).count()
    }

    /// By when a connection goes on which nothing is under way, and by when one whose message is not whole.
    pub fn goes(&self) -> Option<(Instant, Instant)> {
        let ends = self.ending.map(|at| (at + GO_ON, at + GO_ON));
        ends.into_iter().chain(self.standby.map(|at| (at + IDLE_GOES, at + HALF_GOES))).min()
    }

    /// What the module is to be told of a backend that is listed so.
    pub fn tells(&self, name: &str, listed: Readiness, boot_ms: f64) -> (Readiness, f64) {
        match self.bans.get(name) {
            Some(Ban::InForce) if listed == Readiness::Ready => (Readiness::Draining, boot_ms),
            Some(Ban::Over(at)) => (listed, boot_ms.max(*at)),
            _ => (listed, boot_ms),
        }
    }
}

/// What a caller wants.
#[derive(Clone, Debug, PartialEq)]
pub enum Order {
    Enter(String),
    Exit(String),
    Standby,
    Active,
}

/// The owner of the standing.
pub struct Standings {
    standing: watch::Sender<Standing>,
    /// The last order that the core has carried out.
    done: watch::Sender<u64>,
    names: RefCell<HashSet<String>>,
    full: Cell<bool>,
}

fn unix_ms() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs_f64() * 1e3
}

impl Standings {
    pub fn new() -> Self {
        let (standing, done) = (watch::Sender::default(), watch::Sender::default());
        Self { standing, done, names: Default::default(), full: Cell::default() }
    }

    pub fn reader(&self) -> watch::Receiver<Standing> {
        self.standing.subscribe()
    }

    pub fn now(&self) -> watch::Ref<'_, Standing> {
        self.standing.borrow()
    }

    pub fn set_ready(&self) {
        self.standing.send_if_modified(|now| !std::mem::replace(&mut now.ready, true));
    }

    pub fn end(&self) {
        self.standing.send_modify(|now| now.ending = Some(Instant::now()));
    }

    /// These names are listed.
    pub fn listed<'a>(&self, names: impl Iterator<Item = &'a str>) {
        let mut known = self.names.borrow_mut();
        for name in names {
            if known.len() < NAMES_MOST {
                if !known.contains(name) {
                    known.insert(name.to_owned());
                }
            } else if !self.full.replace(true) {
                log::warn!("{NAMES_MOST} names were listed: calls about others will not know them");
            }
        }
    }

    pub fn knows(&self, name: &str) -> bool {
        self.names.borrow().contains(name) || self.standing.borrow().bans.contains_key(name)
    }

    /// The core has carried out all orders up to this one.
    pub fn carried_out(&self, order: u64) {
        self.done.send_replace(order);
    }

    /// Carries out an order; done once it is in force. The same one again changes nothing.
    pub async fn carry_out(&self, order: &Order) {
        let now = unix_ms();
        let change = |standing: &mut Standing| {
            let before = (standing.standby.is_some(), standing.bans.clone());
            match order {
                Order::Enter(name) => drop(standing.bans.insert(name.clone(), Ban::InForce)),
                Order::Exit(name) => {
                    if let Some(ban) = standing.bans.get_mut(name).filter(|ban| **ban == Ban::InForce) {
                        *ban = Ban::Over(now);
                    }
                }
                Order::Standby => drop(standing.standby.get_or_insert_with(Instant::now)),
                Order::Active => standing.standby = None,
            }
            let changed = before != (standing.standby.is_some(), standing.bans.clone());
            standing.order += u64::from(changed);
            changed
        };
        if self.standing.send_if_modified(change) {
            log::info!("ordered: {order:?}");
        }
        let order = self.standing.borrow().order;
        let _ = self.done.subscribe().wait_for(|done| *done >= order).await;
    }
}
