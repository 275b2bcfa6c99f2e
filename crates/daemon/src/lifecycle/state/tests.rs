//! Tests of the proxy's state: listed names, and what SIGTERM finds of other processes.
use super::*;

/// Lists name the same backends over and over; without a file nothing else takes the names over.
#[test]
fn names_are_kept_once() {
    let standings = StateStore::new(None, false);
    (0..3).for_each(|_| standings.listed(["a", "b"].into_iter()));
    assert_eq!(standings.fresh_names.borrow().len(), 2);
    assert!(standings.knows("a") && !standings.knows("c"));
}

/// Another process begins to accept, or is told to end, and SIGTERM comes before this one has looked at it again.
#[test]
fn sigterm_knows_what_other_processes_do_at_that_moment() {
    let name = format!("birchhub-state-{}", std::process::id());
    let folder = std::env::temp_dir().join(name);
    let process = || {
        let group = ProcessGroup::open_in(folder.clone()).expect("a folder");
        let store = StateStore::new(Some(group), true);
        store.set_ready();
        store
    };
    let (old, new) = (process(), process());
    old.set_open();
    new.set_open();
    assert_eq!(old.now().others.accepting, 0, "it has looked already");
    old.end(Duration::ZERO);
    assert!(old.now().is_replaced() && old.now().takes_clients());
    new.end(Duration::ZERO);
    assert!(!new.now().is_replaced() && !new.now().takes_clients());
    std::fs::remove_dir_all(&folder).expect("the folder");
}
