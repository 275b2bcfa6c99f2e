use super::*;

#[test]
fn a_cached_list_is_usable_only_where_lists_are_polled() {
    assert!(ListConfirmation::at_start(DiscoverySource::CentralService).is_usable());
    assert!(!ListConfirmation::at_start(DiscoverySource::LocalAgent).is_usable());
}
