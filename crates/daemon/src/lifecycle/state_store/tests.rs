//! Tests of the state store: names of listed endpoints, shutdown with sibling processes, and commands that could not be
//! stored.
use super::*;
use crate::lifecycle::admin_state::Maintenance;
use std::future::Future;
use std::path::{Path, PathBuf};

/// Each endpoint list repeats the names. Without a process group they stay pending, as they are never stored.
#[test]
fn repeated_endpoint_names_are_recorded_once() {
    let store = StateStore::new(None, false);
    (0..3).for_each(|_| store.record_listed_names(["a", "b"].into_iter()));
    assert_eq!(store.pending.name_count(), 2);
    assert!(store.knows_name("a") && !store.knows_name("c"));
}

/// A sibling begins to accept or shuts down, and SIGTERM arrives before the next poll of the siblings.
#[test]
fn shutdown_uses_the_current_state_of_the_siblings() {
    let name = format!("birchhub-state-{}", std::process::id());
    let folder = std::env::temp_dir().join(name);
    let process = || {
        let group = ProcessGroup::open_in(folder.clone()).expect("a folder");
        let store = StateStore::new(Some(group), true);
        store.set_ready();
        store
    };
    let old = process();
    let new = process();
    old.set_accepting();
    new.set_accepting();
    assert_eq!(
        old.current().siblings.accepting,
        0,
        "the siblings were polled already"
    );
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

/// Executes a command while the state file can't be written.
fn execute_without_storing(store: &StateStore, folder: &Path, command: &AdminCommand) {
    // A folder with the name of the new file makes the write fail.
    let new_file = folder.join("birchhub.standing.new");
    std::fs::create_dir(&new_file).expect("a folder");
    store.confirm_applied(u64::MAX);
    block_on(store.execute(command)).expect("there is no sibling that misses it");
    std::fs::remove_dir(&new_file).expect("the folder");
}

/// A command that could not be stored is applied, survives an update by another process, and is stored later.
#[test]
fn command_that_could_not_be_stored_is_stored_later() {
    let folder = new_folder("later");
    let store = store_in(&folder);
    store.confirm_applied(u64::MAX);
    let enter = |name: &str| AdminCommand::EnterMaintenance(name.to_owned());
    block_on(store.execute(&enter("first"))).expect("stored");
    execute_without_storing(&store, &folder, &enter("second"));
    assert!(is_in_maintenance(&store, "second"));
    assert!(
        !is_in_maintenance(&store_in(&folder), "second"),
        "it is not stored"
    );
    // The command survives an update by another process.
    let sibling = store_in(&folder);
    sibling.confirm_applied(u64::MAX);
    block_on(sibling.execute(&enter("third"))).expect("stored");
    block_on(async {
        let group = store.process_group.as_ref().expect("a group");
        store.poll_siblings(&mut *group.lock().await);
    });
    assert!(is_in_maintenance(&store, "second") && is_in_maintenance(&store, "third"));
    block_on(store.flush_pending());
    let next = store_in(&folder);
    for name in ["first", "second", "third"] {
        assert!(is_in_maintenance(&next, name), "{name}");
        assert!(is_in_maintenance(&store, name), "{name}");
    }
    std::fs::remove_dir_all(&folder).expect("the folder");
}

/// A standby starts when its command is given, even if that is stored later. Names that could not be stored stay known.
#[test]
fn command_time_and_new_names_survive_a_failed_write() {
    let folder = new_folder("time");
    let store = store_in(&folder);
    store.record_listed_names(["s-1"].into_iter());
    execute_without_storing(&store, &folder, &AdminCommand::Standby);
    let given_at = store.current().admin_state.standby_since;
    std::thread::sleep(Duration::from_millis(5));
    block_on(store.flush_pending());
    assert_eq!(store.current().admin_state.standby_since, given_at);
    assert!(store.knows_name("s-1"));
    let next = store_in(&folder);
    assert_eq!(next.current().admin_state.standby_since, given_at);
    assert!(next.knows_name("s-1"));
    std::fs::remove_dir_all(&folder).expect("the folder");
}
