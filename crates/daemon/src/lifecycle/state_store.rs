//! The owner of the [`ProxyState`]. All changes are made here; every actor may read the state or subscribe to it.

use crate::lifecycle::admin_state::{AdminCommand, AdminState, TimedCommand};
use crate::lifecycle::graceful_shutdown::GracefulShutdown;
use crate::lifecycle::pending_changes::{ChangeBatch, PendingChanges};
use crate::lifecycle::process_group::{
    EndpointListFile, OrderingLock, PreviousHolder, ProcessGroup, ProcessGroupError,
};
use crate::lifecycle::state::ProxyState;
use birchhub::interface::OrderedRpcs;
use std::cell::Cell;
use std::time::Duration;
use tokio::sync::{Mutex, watch};
use tokio::time::sleep;

/// Interval of polling the siblings' slots and the shared administrative state. Must be much shorter than the backends'
/// drain grace.
pub(crate) const SIBLING_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Interval at which a process tries to take the ordering lock. Ordered RPCs of its clients wait meanwhile.
const ORDERING_LOCK_INTERVAL: Duration = Duration::from_millis(5);
/// Maximum number of known endpoint names. Some fleets give endpoints a new name at each start.
const MAX_KNOWN_NAMES: usize = 20_000;
/// Number of sibling polls between writes of pending changes: one write per second.
const POLLS_PER_WRITE: u32 = 20;

/// The owner of the [`ProxyState`].
pub(crate) struct StateStore {
    state: watch::Sender<ProxyState>,
    /// Latest generation of the administrative state that the decision actor has applied.
    applied_generation: watch::Sender<u64>,
    /// `None` if the proxy can't have other processes.
    process_group: Option<Mutex<ProcessGroup>>,
    /// `None` without a process group.
    ordering_lock: Option<OrderingLock>,
    /// `None` without a process group.
    endpoint_list_file: Option<EndpointListFile>,
    /// Changes of the administrative state that wait to be stored.
    pending: PendingChanges,
    /// Whether the last periodic write failed, and the failure was logged.
    logged_write_failure: Cell<bool>,
    /// Whether it was logged that there are too many endpoint names.
    logged_excess_names: Cell<bool>,
}

impl StateStore {
    /// Creates the store of a process that starts. The administrative state is initially that of `process_group`, if
    /// there is one.
    pub(crate) fn new(mut process_group: Option<ProcessGroup>, inherited_listener: bool) -> Self {
        let mut state = ProxyState::new(inherited_listener);
        if let Some(group) = &mut process_group {
            state.siblings = group.siblings();
            state.set_admin_state(read_admin_state(group).unwrap_or_default());
            log::info!("initial state: {state}");
        }
        let ordering_lock = process_group.as_ref().and_then(open_ordering_lock);
        let endpoint_list_file = process_group.as_ref().map(ProcessGroup::endpoint_list_file);
        if ordering_lock.is_some() {
            state.ordered_rpcs = OrderedRpcs::Wait;
        }
        Self {
            state: watch::Sender::new(state),
            applied_generation: watch::Sender::default(),
            process_group: process_group.map(Mutex::new),
            ordering_lock,
            endpoint_list_file,
            pending: PendingChanges::default(),
            logged_write_failure: Cell::default(),
            logged_excess_names: Cell::default(),
        }
    }

    /// Returns a receiver of the state and its changes.
    pub(crate) fn subscribe(&self) -> watch::Receiver<ProxyState> {
        self.state.subscribe()
    }

    /// Returns the current state.
    pub(crate) fn current(&self) -> watch::Ref<'_, ProxyState> {
        self.state.borrow()
    }

    /// Records that the process has an endpoint list that it may use, which makes it ready.
    pub(crate) fn record_endpoint_list(&self) {
        self.state.send_if_modified(|state| {
            let is_first = !state.has_endpoints;
            state.has_endpoints = true;
            state.ready = true;
            is_first
        });
    }

    /// Records that the process is ready, with or without an endpoint list.
    pub(crate) fn set_ready(&self) {
        self.state
            .send_if_modified(|state| !std::mem::replace(&mut state.ready, true));
    }

    /// Records that client connections are accepted.
    pub(crate) fn set_accepting(&self) {
        self.state.send_modify(|state| state.accepting = true);
        if let Some(Ok(mut group)) = self.process_group.as_ref().map(Mutex::try_lock) {
            group.publish_accepting(self.current().accepts_clients());
        }
    }

    /// Starts a graceful shutdown after SIGTERM. `longest_rpc` is the longest deadline of any method.
    ///
    /// Publishes that this process stops accepting, and then counts the siblings, since the last poll may be out of
    /// date. In this order, neither of two processes that shut down at the same time considers the other its successor.
    /// If another task is using the process group, the next poll does both.
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

    /// Takes the ordering lock, and then runs ordered RPCs in this process. Without a lock they run already.
    ///
    /// With siblings, the lock is taken once this process accepts clients: otherwise it could take the lock from a sibling
    /// that does. If the previous holder has ended, the keys of its RPCs are unknown, so all have a cooldown.
    pub(crate) async fn take_over_ordered_rpcs(&self, key_cooldown: Duration) {
        let Some(lock) = &self.ordering_lock else {
            return;
        };
        let mut state = self.subscribe();
        let may_take = |state: &ProxyState| state.accepting || state.siblings.alive == 0;
        let _ = state.wait_for(may_take).await;
        let previous_holder = loop {
            match lock.try_take() {
                Some(previous_holder) => break previous_holder,
                None => sleep(ORDERING_LOCK_INTERVAL).await,
            }
        };
        if previous_holder == PreviousHolder::Ended {
            sleep(key_cooldown).await;
        }
        log::info!("ordered RPCs run in this process from now on");
        self.set_ordered_rpcs(OrderedRpcs::Run);
    }

    /// Leaves ordered RPCs to another process of this proxy. This process must have none.
    pub(crate) fn hand_over_ordered_rpcs(&self) {
        log::info!("ordered RPCs are left to another process");
        self.set_ordered_rpcs(OrderedRpcs::Reject);
        if let Some(lock) = &self.ordering_lock {
            lock.release();
        }
    }

    fn set_ordered_rpcs(&self, ordered_rpcs: OrderedRpcs) {
        self.state
            .send_modify(|state| state.ordered_rpcs = ordered_rpcs);
    }

    /// Hands the endpoint list of this process over to a sibling that starts.
    pub(crate) fn hand_over_endpoint_list(&self, list: &str) {
        let Some(file) = &self.endpoint_list_file else {
            return;
        };
        match file.write(list) {
            Ok(()) => log::info!("endpoint list handed over to a sibling process"),
            Err(error) => log::warn!("handing over the endpoint list failed: {error}"),
        }
        // After a failure the next poll of the siblings finds the request again.
        self.set_endpoint_list_requested(false);
    }

    /// Returns the endpoint list that a sibling has handed over, if there is one.
    pub(crate) fn handed_over_endpoint_list(&self) -> Option<String> {
        self.endpoint_list_file.as_ref()?.read()
    }

    fn set_endpoint_list_requested(&self, requested: bool) {
        self.state.send_if_modified(|state| {
            let before = std::mem::replace(&mut state.endpoint_list_requested, requested);
            before != requested
        });
    }

    /// Records the names of listed endpoints, for which admin commands are accepted from now on.
    pub(crate) fn record_listed_names<'a>(&self, names: impl Iterator<Item = &'a str>) {
        let known = &self.state.borrow().admin_state.known_names;
        for name in names.filter(|name| !known.contains(*name)) {
            // Without a process group pending names are never stored, and each endpoint list repeats them.
            if self.pending.contains_name(name) {
                continue;
            }
            if known.len() + self.pending.name_count() < MAX_KNOWN_NAMES {
                self.pending.add_name(name);
            } else if !self.logged_excess_names.replace(true) {
                log::warn!(
                    "{MAX_KNOWN_NAMES} endpoint names are known: admin commands for further endpoints are rejected"
                );
            }
        }
    }

    /// Returns whether an endpoint with this name was ever listed.
    pub(crate) fn knows_name(&self, name: &str) -> bool {
        self.state.borrow().admin_state.knows_name(name) || self.pending.contains_name(name)
    }

    /// Records that the decision actor has applied the administrative state up to this generation.
    pub(crate) fn confirm_applied(&self, generation: u64) {
        self.applied_generation.send_replace(generation);
    }

    /// Executes an admin command and returns once the decision actor has applied it.
    ///
    /// # Errors
    ///
    /// Returns an error if the command could not be stored although sibling processes run, which then do not learn of
    /// it yet. It is still applied in this process, and stored later.
    pub(crate) async fn execute(&self, command: &AdminCommand) -> Result<(), ProcessGroupError> {
        self.pending
            .add_command(TimedCommand::given_now(command.clone()));
        let result = self.write_pending().await;
        let generation = self.current().admin_generation;
        log::info!("admin command {command:?} recorded: {}", *self.current());
        self.await_applied(generation).await;
        let Err(error) = result else {
            return Ok(());
        };
        log::warn!(
            "storing an admin command failed, it is in force in this process only and will be stored later: {error}"
        );
        if self.current().siblings.alive > 0 {
            Err(error)
        } else {
            Ok(())
        }
    }

    /// Waits until the decision actor has applied this generation of the administrative state.
    async fn await_applied(&self, generation: u64) {
        let mut applied = self.applied_generation.subscribe();
        let _ = applied.wait_for(|applied| *applied >= generation).await;
    }

    /// Polls the process group and writes pending changes until dropped. Returns at once without a process group.
    pub(crate) async fn follow_siblings(&self) {
        let mut polls: u32 = 0;
        while let Some(group) = &self.process_group {
            sleep(SIBLING_POLL_INTERVAL).await;
            polls = polls.wrapping_add(1);
            self.poll_siblings(&mut *group.lock().await);
            if polls.is_multiple_of(POLLS_PER_WRITE) {
                self.flush_pending().await;
            }
        }
    }

    /// Publishes whether this process accepts clients, counts the siblings, and reads the shared administrative state.
    fn poll_siblings(&self, group: &mut ProcessGroup) {
        group.publish_accepting(self.current().accepts_clients());
        let siblings = group.siblings();
        let admin_state = read_admin_state(group);
        let before = self.current().siblings;
        if before != siblings {
            self.state.send_modify(|state| state.siblings = siblings);
            if before.alive != siblings.alive {
                log::info!("number of sibling processes changed: {}", *self.current());
            }
        }
        let a_sibling_starts = siblings.alive > siblings.accepting;
        let is_requested = |file: &EndpointListFile| a_sibling_starts && file.is_requested();
        let is_requested = self.endpoint_list_file.as_ref().is_some_and(is_requested);
        self.set_endpoint_list_requested(is_requested);
        if let Some(mut admin_state) = admin_state {
            self.pending.apply_commands_to(&mut admin_state);
            self.replace_admin_state(admin_state);
            log::info!("admin state read from a sibling: {}", *self.current());
        }
    }

    /// Writes the pending changes, if there are any. Logs only the first of several consecutive failures.
    async fn flush_pending(&self) {
        if self.pending.is_empty() {
            return;
        }
        let result = self.write_pending().await;
        let was_logged = self.logged_write_failure.replace(result.is_err());
        if let Err(error) = result
            && !was_logged
        {
            log::warn!("storing the admin state failed, retrying each second: {error}");
        }
    }

    /// Applies the pending changes in this process, and stores them for its siblings.
    ///
    /// # Errors
    ///
    /// Returns an error if the changes could not be stored. They are still applied in this process.
    async fn write_pending(&self) -> Result<(), ProcessGroupError> {
        let batch = self.pending.take_batch();
        let mut own = self.state.borrow().admin_state.clone();
        match self.update_stored(&own, &batch).await {
            Ok(admin_state) => {
                self.replace_admin_state(admin_state);
                self.pending.remove_stored(&batch);
                Ok(())
            }
            Err(error) => {
                batch.apply_to(&mut own);
                self.replace_admin_state(own);
                self.pending.restore_names(batch);
                Err(error)
            }
        }
    }

    /// Applies changes to the stored state and returns the new state. Without a process group, applies them to a copy
    /// of `own` and stores nothing.
    async fn update_stored(
        &self,
        own: &AdminState,
        batch: &ChangeBatch,
    ) -> Result<AdminState, ProcessGroupError> {
        let Some(group) = &self.process_group else {
            let mut admin_state = own.clone();
            batch.apply_to(&mut admin_state);
            return Ok(admin_state);
        };
        let mut group = group.lock().await;
        group.update(own, |state| batch.apply_to(state)).await
    }

    fn replace_admin_state(&self, admin_state: AdminState) {
        self.state
            .send_if_modified(|state| state.set_admin_state(admin_state));
    }
}

/// Opens the lock of the process that runs ordered RPCs. Without it, this process runs them as if it was alone.
fn open_ordering_lock(group: &ProcessGroup) -> Option<OrderingLock> {
    group
        .ordering_lock()
        .inspect_err(|error| log::warn!("ordered RPCs run without a lock: {error}"))
        .ok()
}

/// Returns the stored administrative state if it has changed since the last read.
fn read_admin_state(group: &mut ProcessGroup) -> Option<AdminState> {
    group.read_if_changed().unwrap_or_else(|error| {
        log::warn!("reading the stored admin state failed, it is ignored: {error}");
        None
    })
}

#[cfg(test)]
mod tests;
