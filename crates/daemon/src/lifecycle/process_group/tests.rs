//! Tests of several processes of one proxy in one shared folder.
use super::*;
use crate::lifecycle::admin_state::Maintenance;

/// Runs a test in a new folder, with a function that adds a process to the group and with the path of the state file.
fn in_folder(test: impl AsyncFnOnce(&dyn Fn() -> ProcessGroup, PathBuf)) {
    static NEXT: std::sync::atomic::AtomicUsize = std::sync::atomic::AtomicUsize::new(0);
    let number = NEXT.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
    let name = format!("birchhub-shared-{}-{number}", std::process::id());
    let folder = std::env::temp_dir().join(name);
    let make = || ProcessGroup::open_in(folder.clone()).expect("a folder");
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .build()
        .expect("a runtime");
    runtime.block_on(test(&make, folder.join("birchhub.standing")));
    std::fs::remove_dir_all(&folder).expect("the folder");
}

#[test]
fn proxies_with_different_names_use_different_folders() {
    let names = ["n0", "n-0", "n.0", "n%2e0", "n/0", "n 0", "é", ".."];
    let all: std::collections::HashSet<_> = names.iter().map(|name| folder_name(name)).collect();
    assert_eq!(all.len(), names.len());
    assert!(all.iter().all(|folder| !folder.contains(['/', '\0'])));
    assert_eq!(folder_name("n-0"), "birchhub-n-0");
}

#[test]
fn siblings_are_counted_until_they_exit() {
    in_folder(async |make, _| {
        let mut one = make();
        let mut two = make();
        assert_eq!(
            (
                one.siblings().alive,
                two.siblings().alive,
                one.siblings().alive
            ),
            (0, 1, 1)
        );
        drop(two);
        assert_eq!(one.siblings().alive, 0);
        assert_eq!(make().siblings().alive, 1);
    });
}

/// Neither a sibling that has stopped accepting counts as accepting, nor one that has just started in a slot whose
/// previous holder was accepting.
#[test]
fn only_siblings_that_accept_clients_are_counted_as_accepting() {
    in_folder(async |make, _| {
        let mut one = make();
        let mut two = make();
        one.siblings();
        two.siblings();
        let accepting = |group: &mut ProcessGroup| group.siblings().accepting;
        assert_eq!((accepting(&mut one), accepting(&mut two)), (0, 0));
        two.publish_accepting(true);
        assert_eq!((accepting(&mut one), accepting(&mut two)), (1, 0));
        drop(two);
        let mut three = make();
        assert_eq!((accepting(&mut three), accepting(&mut one)), (0, 0));
        three.publish_accepting(true);
        three.publish_accepting(false);
        assert_eq!(
            one.siblings(),
            Siblings {
                alive: 1,
                accepting: 0
            }
        );
    });
}

/// A list of an earlier replacement is not taken over, since the backends may have changed.
#[test]
fn a_process_that_starts_gets_a_list_that_was_written_after_its_start() {
    in_folder(async |make, _| {
        let old = make().endpoint_list_file();
        assert!(old.is_requested());
        old.write("earlier").expect("a file");
        let new = make().endpoint_list_file();
        assert!(old.is_requested() && new.read().is_none());
        old.write("current").expect("a file");
        assert!(!old.is_requested());
        assert_eq!(new.read().as_deref(), Some("current"));
    });
}

/// Alternating updates of two processes lose no change. A malformed file is reported once and replaced by the next
/// update. An update fails while another process holds the lock.
#[test]
fn updates_of_all_processes_are_kept_and_a_damaged_file_is_replaced() {
    in_folder(async |make, path| {
        let mut one = make();
        let mut two = make();
        let own = AdminState::default();
        let enter = |name: &'static str| {
            move |state: &mut AdminState| {
                state.maintenance.insert(name.into(), Maintenance::Active);
            }
        };
        one.update(&own, enter("a")).await.expect("written");
        let both = two.update(&own, enter("b")).await.expect("written");
        assert_eq!(both.maintenance.len(), 2);
        let read = |group: &mut ProcessGroup| group.read_if_changed().expect("read");
        assert_eq!(
            (read(&mut one), read(&mut one), read(&mut two)),
            (Some(both.clone()), None, None)
        );
        std::fs::write(&path, "{\"bans\"").expect("written");
        assert!(one.read_if_changed().is_err() && read(&mut one).is_none());
        let written = one.update(&both, enter("c")).await.expect("written");
        assert_eq!(written.maintenance.len(), 3);
        two.state_file.lock.lock().expect("locked");
        assert!(one.update(&both, enter("d")).await.is_err());
    });
}

/// One process at a time holds the ordering lock. Its next holder learns whether ordered RPCs of the previous one may still
/// be running.
#[test]
fn the_ordering_lock_tells_whether_its_previous_holder_had_finished() {
    in_folder(async |make, _| {
        let group = make();
        let open = || group.ordering_lock().expect("a lock file");
        let (one, two) = (open(), open());
        assert_eq!(one.try_take(), Some(PreviousHolder::Finished));
        assert_eq!(two.try_take(), None);
        drop(one);
        assert_eq!(two.try_take(), Some(PreviousHolder::Ended));
        two.release();
        assert_eq!(open().try_take(), Some(PreviousHolder::Finished));
    });
}
