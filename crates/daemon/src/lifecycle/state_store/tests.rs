//! The owner of the state: listed names, and what SIGTERM finds of sibling processes.
use super::*;
use crate::lifecycle::admin_state::Maintenance;
use std::future::Future;
use std::path::{Path, PathBuf};

/// Lists name the same backends over and over; without a file nothing else takes the names over.
#[test]
fn names_are_kept_once() {
    let store = StateStore::new(None, false);
    (0..3).for_each(|_| store.record_listed_names(["a", "b"].into_iter()));
    assert_eq!(store.new_names.borrow().len(), 2);
    assert!(store.knows_name("a") && !store.knows_name("c"));
}

/// A sibling begins to accept, or is told to end, and SIGTERM comes before this process has looked at it again.
#[test]
fn sigterm_knows_what_the_siblings_do_at_that_moment() {
    let name = format!("birchhub-state-{}", std::process::id());
    let folder = std::env::temp_dir().join(name);
    let process = || {
        let group = ProcessGroup::open_in(folder.clone()).expect("a folder");
        let store = StateStore::new(Some(group), true);
        store.set_ready();
        store
    };
    let (old, new) = (process(), process());
    old.set_accepting();
    new.set_accepting();
    assert_eq!(old.current().siblings.accepting, 0, "it has looked already");
    old.begin_shutdown(Duration::ZERO);
    assert!(old.current().has_successor() && old.current().is_healthy());
    new.begin_shutdown(Duration::ZERO);
    assert!(!new.current().has_successor() && !new.current().is_healthy());
    std::fs::remove_dir_all(&folder).expect("the folder");
}

fn block_on<T>(future: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .build()
        .expect("a runtime");
    runtime.block_on(future)
}

fn new_folder(test: &str) -> PathBuf {
    let name = format!("birchhub-state-{test}-{}", std::process::id());
    std::env::temp_dir().join(name)
}

fn store_in(folder: &Path) -> StateStore {
    let group = ProcessGroup::open_in(folder.to_owned()).expect("a folder");
    StateStore::new(Some(group), false)
}

fn is_in_maintenance(store: &StateStore, name: &str) -> bool {
    store.current().admin_state.maintenance.get(name) == Some(&Maintenance::Active)
}

/// Executes a command that the file can't take, and returns what the caller is told.
fn execute_unstored(store: &StateStore, folder: &Path, command: &AdminCommand) {
    // A folder stands where the next file is to be written.
    let new_file = folder.join("birchhub.standing.new");
    std::fs::create_dir(&new_file).expect("a folder");
    store.confirm_applied(u64::MAX);
    block_on(store.execute(command)).expect("no sibling misses it");
    std::fs::remove_dir(&new_file).expect("the folder");
}

/// A command whose file could not be written is in force, is stored as soon as that can be done, and survives what
/// is stored meanwhile.
#[test]
fn a_command_that_could_not_be_stored_is_stored_later() {
    let folder = new_folder("later");
    let store = store_in(&folder);
    store.confirm_applied(u64::MAX);
    let enter = |name: &str| AdminCommand::EnterMaintenance(name.to_owned());
    block_on(store.execute(&enter("first"))).expect("stored");
    execute_unstored(&store, &folder, &enter("second"));
    assert!(is_in_maintenance(&store, "second"));
    assert!(
        !is_in_maintenance(&store_in(&folder), "second"),
        "it is not stored"
    );
    // What another process stores does not undo it.
    let sibling = store_in(&folder);
    sibling.confirm_applied(u64::MAX);
    block_on(sibling.execute(&enter("third"))).expect("stored");
    block_on(async {
        let group = store.process_group.as_ref().expect("a group");
        store.look_at_siblings(&mut *group.lock().await);
    });
    assert!(is_in_maintenance(&store, "second") && is_in_maintenance(&store, "third"));
    block_on(store.store_pending());
    let next = store_in(&folder);
    for name in ["first", "second", "third"] {
        assert!(is_in_maintenance(&next, name), "{name}");
        assert!(is_in_maintenance(&store, name), "{name}");
    }
    std::fs::remove_dir_all(&folder).expect("the folder");
}

/// The time of a standby is that at which it was told, however late it is stored; names that could not be stored are
/// known all the same.
#[test]
fn the_time_of_a_command_and_new_names_outlast_a_failed_write() {
    let folder = new_folder("time");
    let store = store_in(&folder);
    store.record_listed_names(["s-1"].into_iter());
    execute_unstored(&store, &folder, &AdminCommand::Standby);
    let told_at = store.current().admin_state.standby_since;
    std::thread::sleep(Duration::from_millis(5));
    block_on(store.store_pending());
    assert_eq!(store.current().admin_state.standby_since, told_at);
    assert!(store.knows_name("s-1"));
    let next = store_in(&folder);
    assert_eq!(next.current().admin_state.standby_since, told_at);
    assert!(next.knows_name("s-1"));
    std::fs::remove_dir_all(&folder).expect("the folder");
}
