//! Hollow proxies at the list service: which updates each gets, by counts.
use birchhub_capacity::backends::Backends;
use birchhub_capacity::hollow::HollowProxies;
use birchhub_capacity::list::ListService;
use std::time::Duration;
use tokio::task::LocalSet;

const PROXIES: u32 = 20;
const PATIENCE: Duration = Duration::from_secs(60);

fn play<T>(act: impl AsyncFnOnce() -> T) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("an event loop");
    LocalSet::new().block_on(&runtime, act())
}

#[test]
fn each_proxy_gets_each_change_once_and_nothing_else() {
    play(async || {
        let backends = Backends::start(PATIENCE).expect("backends");
        let list = ListService::start(500, backends.endpoints(), 10).expect("a list service");
        let mut proxies = HollowProxies::start(PROXIES, list.at(), 1).expect("hollow proxies");
        proxies.all_have(0, PATIENCE).await.expect("the full list");
        let joined = list.bill();
        let connections = joined.connections;
        assert!(
            connections >= u64::from(PROXIES),
            "one connection each: {joined:?}"
        );
        let line = joined.bytes / joined.calls / 500;
        for change in 0..5 {
            let version = list.change(change * 3);
            assert_eq!(version, u64::from(change) + 1);
            proxies
                .all_have(version, PATIENCE)
                .await
                .expect("the change");
        }
        let told = list.bill().since(joined);
        assert!(told.calls >= 5 * u64::from(PROXIES), "{told:?}");
        // An answer with one endpoint is little longer than its line: the full list has 500 of them.
        assert!(
            told.bytes < told.calls * (line + 400),
            "{told:?}, {line} bytes a line"
        );
        assert_eq!(told.connections, 0, "the watch stays on its connection");
    });
}

/// Prevents the loss of a change that falls between two calls.
#[test]
fn changes_in_a_row_are_all_applied_at_the_end() {
    play(async || {
        let backends = Backends::start(PATIENCE).expect("backends");
        let list = ListService::start(50, backends.endpoints(), 10).expect("a list service");
        let mut proxies = HollowProxies::start(PROXIES, list.at(), 2).expect("hollow proxies");
        let last = (0..100).fold(0, |_, change| list.change(change));
        proxies
            .all_have(last, PATIENCE)
            .await
            .expect("the last change");
    });
}

#[test]
fn proxies_that_are_not_updated_in_time_are_counted() {
    play(async || {
        let backends = Backends::start(PATIENCE).expect("backends");
        let list = ListService::start(5, backends.endpoints(), 1).expect("a list service");
        let mut proxies = HollowProxies::start(2, list.at(), 3).expect("hollow proxies");
        let fault = proxies
            .all_have(7, Duration::from_millis(50))
            .await
            .expect_err("there is no version 7");
        assert_eq!(
            fault.to_string(),
            "2 of 2 hollow proxies were not told in time"
        );
    });
}
