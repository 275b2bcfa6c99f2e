//! The owner of the state: listed names, and what SIGTERM finds of sibling processes.
use super::*;

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
