//! Tests of the proxy's state: listed names, and what SIGTERM finds of other processes.
use super::*;

/// Lists name the same backends over and over; without a file nothing else takes the names over.
#[test]
fn names_are_kept_once() {
    let standings = StateStore::new(None, false);
    (0..3).for_each(|_| standings.record_listed_names(["a", "b"].into_iter()));
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
    old.set_accepting();
    new.set_accepting();
    assert_eq!(old.current().siblings.accepting, 0, "it has looked already");
    old.begin_shutdown(Duration::ZERO);
    assert!(old.current().has_successor() && old.current().is_healthy());
    new.begin_shutdown(Duration::ZERO);
    assert!(!new.current().has_successor() && !new.current().is_healthy());
    std::fs::remove_dir_all(&folder).expect("the folder");
}

/// What an older process left in the folder is read, and an older process reads what this one leaves: the stored form
/// stays to the byte.
#[test]
fn the_stored_form_of_the_admin_state_is_unchanged() {
    let full = AdminState {
        standby_since: Some(1_796_191_200_123.25),
        maintenance: BTreeMap::from([
            ("s-1".to_owned(), Maintenance::Active),
            ("s-2".to_owned(), Maintenance::EndedAt(1_796_191_201_000.5)),
        ]),
        known_names: ["s-1", "s-2", "s-\"é\" 3"].map(str::to_owned).into(),
    };
    let stored = include_bytes!("../../../tests/fixtures/birchhub.standing");
    let initial = include_bytes!("../../../tests/fixtures/birchhub.standing.initial");
    check_stored_form("full", &full, stored);
    check_stored_form("initial", &AdminState::default(), initial);
}

fn check_stored_form(test: &str, state: &AdminState, stored: &[u8]) {
    let name = format!("birchhub-stored-{test}-{}", std::process::id());
    let folder = std::env::temp_dir().join(name);
    let mut group = ProcessGroup::open_in(folder.clone()).expect("a folder");
    let file = folder.join("birchhub.standing");
    std::fs::write(&file, stored).expect("written");
    assert_eq!(group.read(), Ok(Some(state.clone())));
    std::fs::remove_file(&file).expect("the file");
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .build()
        .expect("a runtime");
    let written = runtime.block_on(group.update(state, |_| ()));
    assert_eq!(written, Ok(state.clone()));
    assert_eq!(std::fs::read(&file).expect("the file"), stored);
    std::fs::remove_dir_all(&folder).expect("the folder");
}
