//! Changes of the administrative state that this process has yet to store in the shared file.

use crate::lifecycle::admin_state::{AdminState, TimedCommand};
use std::cell::RefCell;
use std::collections::BTreeSet;

/// Commands and endpoint names that are not stored in the state file yet.
#[derive(Default)]
pub(super) struct PendingChanges {
    /// Commands in the order in which they were given. They are applied again to each state that is read from the file.
    commands: RefCell<Vec<TimedCommand>>,
    /// Names of listed endpoints.
    names: RefCell<BTreeSet<String>>,
}

/// The changes that one write of the state file stores.
pub(super) struct ChangeBatch {
    commands: Vec<TimedCommand>,
    names: BTreeSet<String>,
}

impl ChangeBatch {
    /// Applies the changes to a state.
    pub(super) fn apply_to(&self, admin_state: &mut AdminState) {
        admin_state.known_names.extend(self.names.iter().cloned());
        for command in &self.commands {
            admin_state.apply(command);
        }
    }
}

impl PendingChanges {
    /// Adds a command.
    pub(super) fn add_command(&self, command: TimedCommand) {
        self.commands.borrow_mut().push(command);
    }

    /// Adds an endpoint name.
    pub(super) fn add_name(&self, name: &str) {
        self.names.borrow_mut().insert(name.to_owned());
    }

    /// Returns whether this endpoint name is not stored yet.
    pub(super) fn contains_name(&self, name: &str) -> bool {
        self.names.borrow().contains(name)
    }

    /// Returns the number of endpoint names that are not stored yet.
    pub(super) fn name_count(&self) -> usize {
        self.names.borrow().len()
    }

    /// Returns whether all changes are stored.
    pub(super) fn is_empty(&self) -> bool {
        self.names.borrow().is_empty() && self.commands.borrow().is_empty()
    }

    /// Applies the commands to a state that was read from the file.
    pub(super) fn apply_commands_to(&self, admin_state: &mut AdminState) {
        for command in self.commands.borrow().iter() {
            admin_state.apply(command);
        }
    }

    /// Returns the changes to be written. Removes the names, but keeps the commands until they are known to be stored.
    pub(super) fn take_batch(&self) -> ChangeBatch {
        ChangeBatch {
            names: self.names.take(),
            commands: self.commands.borrow().clone(),
        }
    }

    /// Removes the changes of a batch that was stored.
    pub(super) fn remove_stored(&self, batch: &ChangeBatch) {
        let mut commands = self.commands.borrow_mut();
        commands.retain(|command| !batch.commands.contains(command));
    }

    /// Puts the names of a batch back that could not be stored.
    pub(super) fn restore_names(&self, batch: ChangeBatch) {
        self.names.borrow_mut().extend(batch.names);
    }
}
