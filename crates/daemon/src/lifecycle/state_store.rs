//! The one owner of the proxy's state: all changes are made here, and every actor may read or follow it.

use crate::lifecycle::admin_state::{AdminCommand, AdminState, TimedCommand};
use crate::lifecycle::graceful_shutdown::GracefulShutdown;
use crate::lifecycle::siblings::{ProcessGroup, ProcessGroupError};
use crate::lifecycle::state::ProxyState;
use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::time::Duration;
use tokio::sync::{Mutex, watch};
use tokio::time::sleep;

/// Between looks at what the siblings do: a drain's grace is six times as long.
pub(crate) const SIBLING_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Names of endpoints that are kept: some fleets give out new ones with each start.
const MAX_KNOWN_NAMES: usize = 20_000;
/// Looks between writes of new names, which come with each change of a fleet, and of commands that could not be stored.
const LOOKS_PER_WRITE: u32 = 20;

/// The owner of the [`ProxyState`].
pub(crate) struct StateStore {
    state: watch::Sender<ProxyState>,
    /// The last generation of the administrative state that the decision actor has applied.
    applied_generation: watch::Sender<u64>,
    process_group: Option<Mutex<ProcessGroup>>,
    /// Commands that are in force here and could not be stored yet, in the order in which they were given: they are
    /// stored as soon as that can be done, and no state that comes from the file undoes them.
    unstored: RefCell<Vec<TimedCommand>>,
    /// The last try to store failed, and that was logged.
    warned_of_storing: Cell<bool>,
    /// Names of listed endpoints that are not in the administrative state yet.
    new_names: RefCell<BTreeSet<String>>,
    /// The warning that there are too many names was logged.
    warned_of_names: Cell<bool>,
}

impl StateStore {
    /// A store for a process that starts; with a `process_group` where the proxy may have other processes, whose
    /// administrative state holds from the start.
    pub(crate) fn new(mut process_group: Option<ProcessGroup>, inherited_listener: bool) -> Self {
        let mut state = ProxyState::new(inherited_listener);
        if let Some(group) = &mut process_group {
            state.siblings = group.siblings();
            state.set_admin_state(read_admin_state(group).unwrap_or_default());
            log::info!("{state}");
        }
        Self {
            state: watch::Sender::new(state),
            applied_generation: watch::Sender::default(),
            process_group: process_group.map(Mutex::new),
            unstored: RefCell::default(),
            warned_of_storing: Cell::default(),
            new_names: RefCell::default(),
            warned_of_names: Cell::default(),
        }
    }

    /// A reader that can wait for changes.
    pub(crate) fn subscribe(&self) -> watch::Receiver<ProxyState> {
        self.state.subscribe()
    }

    /// The state now.
    pub(crate) fn current(&self) -> watch::Ref<'_, ProxyState> {
        self.state.borrow()
    }

    /// RPCs can be decided from now on.
    pub(crate) fn set_ready(&self) {
        self.state
            .send_if_modified(|state| !std::mem::replace(&mut state.ready, true));
    }

    /// Connections of clients are accepted from now on.
    pub(crate) fn set_accepting(&self) {
        self.state.send_modify(|state| state.accepting = true);
        if let Some(Ok(mut group)) = self.process_group.as_ref().map(Mutex::try_lock) {
            group.publish_accepting(self.current().accepts_clients());
        }
    }

    /// SIGTERM has come; `longest_rpc` is the longest deadline that the settings know.
    ///
    /// The siblings are looked at in this moment, as the last look may be older than what they do now. The own end is
    /// published before: of two processes that shut down at the same moment neither takes the other for its successor.
    /// While another task uses the group both follow with the next look.
    pub(crate) fn begin_shutdown(&self, longest_rpc: Duration) {
        let shutdown = GracefulShutdown::start(longest_rpc);
        let siblings = self.process_group.as_ref().and_then(|group| {
            let mut group = group.try_lock().ok()?;
            group.publish_accepting(false);
            Some(group.siblings())
        });
        self.state.send_modify(|state| {
            state.shutdown = Some(shutdown);
            state.siblings = siblings.unwrap_or(state.siblings);
        });
    }

    /// Keeps the names of listed endpoints, which admin commands may name.
    pub(crate) fn record_listed_names<'a>(&self, names: impl Iterator<Item = &'a str>) {
        let known = &self.state.borrow().admin_state.known_names;
        let mut new_names = self.new_names.borrow_mut();
        for name in names.filter(|name| !known.contains(*name)) {
            // Without a process group the names stay new: each list brings them again.
            if new_names.contains(name) {
                continue;
            }
            if known.len() + new_names.len() < MAX_KNOWN_NAMES {
                new_names.insert(name.to_owned());
            } else if !self.warned_of_names.replace(true) {
                log::warn!(
                    "{MAX_KNOWN_NAMES} endpoint names were listed: admin commands for others are rejected"
                );
            }
        }
    }

    /// An endpoint of this name was listed once.
    pub(crate) fn knows_name(&self, name: &str) -> bool {
        self.state.borrow().admin_state.knows(name) || self.new_names.borrow().contains(name)
    }

    /// The decision actor has applied the administrative state up to this generation.
    pub(crate) fn confirm_applied(&self, generation: u64) {
        self.applied_generation.send_replace(generation);
    }

    fn replace_admin_state(&self, admin_state: AdminState) {
        self.state
            .send_if_modified(|state| state.set_admin_state(admin_state));
    }

    /// Puts what is not stored yet in force, for the siblings too if there is a group; an error tells why not for them.
    async fn store(&self) -> Result<(), ProcessGroupError> {
        let new_names = self.new_names.take();
        let commands = self.unstored.borrow().clone();
        let change = |admin_state: &mut AdminState| {
            admin_state.known_names.extend(new_names.iter().cloned());
            commands
                .iter()
                .for_each(|command| admin_state.apply(command));
        };
        let mut own = self.state.borrow().admin_state.clone();
        let stored = match &self.process_group {
            Some(group) => group.lock().await.update(&own, change).await.map(Some),
            None => Ok(None),
        };
        let (admin_state, outcome) = match stored {
            Ok(Some(admin_state)) => (admin_state, Ok(())),
            other => {
                change(&mut own);
                (own, other.map(drop))
            }
        };
        self.replace_admin_state(admin_state);
        if outcome.is_ok() {
            let mut unstored = self.unstored.borrow_mut();
            unstored.retain(|command| !commands.contains(command));
        } else {
            self.new_names.borrow_mut().extend(new_names);
        }
        outcome
    }

    /// Executes an admin command and returns once the decisions follow it. An error tells why a sibling does not.
    pub(crate) async fn execute(&self, command: &AdminCommand) -> Result<(), ProcessGroupError> {
        let timed = TimedCommand::now(command.clone());
        self.unstored.borrow_mut().push(timed);
        let outcome = self.store().await;
        let generation = self.current().admin_generation;
        log::info!("admin command: {command:?}; {}", *self.current());
        let mut applied = self.applied_generation.subscribe();
        let _ = applied.wait_for(|applied| *applied >= generation).await;
        let Err(error) = outcome else {
            return Ok(());
        };
        log::warn!("the admin command is in force in this process only: {error}");
        if self.current().siblings.alive > 0 {
            Err(error)
        } else {
            Ok(())
        }
    }

    /// Follows what the siblings do and what they change, for as long as this process lives.
    pub(crate) async fn follow_siblings(&self) {
        let mut looks: u32 = 0;
        while let Some(group) = &self.process_group {
            sleep(SIBLING_POLL_INTERVAL).await;
            looks = looks.wrapping_add(1);
            self.look_at_siblings(&mut *group.lock().await);
            if looks.is_multiple_of(LOOKS_PER_WRITE) {
                self.store_pending().await;
            }
        }
    }

    fn look_at_siblings(&self, group: &mut ProcessGroup) {
        group.publish_accepting(self.current().accepts_clients());
        let (siblings, admin_state) = (group.siblings(), read_admin_state(group));
        let before = self.current().siblings;
        if before != siblings {
            self.state.send_modify(|state| state.siblings = siblings);
            if before.alive != siblings.alive {
                log::info!("{}", *self.current());
            }
        }
        if let Some(mut admin_state) = admin_state {
            let unstored = self.unstored.borrow();
            unstored
                .iter()
                .for_each(|command| admin_state.apply(command));
            self.replace_admin_state(admin_state);
            log::info!("admin state of a sibling process: {}", *self.current());
        }
    }

    /// Stores new names, and again what could not be stored before.
    async fn store_pending(&self) {
        if self.new_names.borrow().is_empty() && self.unstored.borrow().is_empty() {
            return;
        }
        let outcome = self.store().await;
        let is_repeated = self.warned_of_storing.replace(outcome.is_err());
        if let Err(error) = outcome
            && !is_repeated
        {
            log::warn!("new names and commands are known to this process only: {error}");
        }
    }
}

/// The administrative state that a sibling stored, if it is new.
fn read_admin_state(group: &mut ProcessGroup) -> Option<AdminState> {
    group.read_if_changed().unwrap_or_else(|error| {
        log::warn!("the stored admin state can't be read and is ignored: {error}");
        None
    })
}

#[cfg(test)]
mod tests;
