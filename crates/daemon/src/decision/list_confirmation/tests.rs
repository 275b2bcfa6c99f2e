use super::*;

#[test]
fn a_cached_list_is_usable_only_where_lists_are_polled() {
    assert!(ListConfirmation::at_start(DiscoverySource::CentralService).is_usable());
    assert!(!ListConfirmation::at_start(DiscoverySource::LocalAgent).is_usable());
}

#[test]
fn a_further_move_does_not_extend_the_use_of_a_list() {
    let first = Instant::now();
    let moved = ListConfirmation::Confirmed.after_move(first);
    assert!(moved.is_usable());
    assert_eq!(moved.expires_at(), Some(first + MOVED_SOURCE_GRACE));
    assert_eq!(moved.after_move(first + Duration::from_secs(3)), moved);
}

#[test]
fn a_move_does_not_make_an_unconfirmed_list_usable() {
    let unconfirmed = ListConfirmation::Unconfirmed;
    assert_eq!(unconfirmed.after_move(Instant::now()), unconfirmed);
}
