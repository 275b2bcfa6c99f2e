//! Simulated proxies at the synthetic discovery service: each receives each change of the list once.
use birchhub_capacity::simulated_proxies::SimulatedProxies;
use birchhub_capacity::stub_backends::StubBackends;
use birchhub_capacity::synthetic_discovery::{DiscoveryUsage, SyntheticDiscoveryService};
use std::time::{Duration, Instant};
use tokio::task::LocalSet;
use tokio::time::sleep;

const PROXIES: u32 = 20;
const UPDATE_TIMEOUT: Duration = Duration::from_secs(60);

/// Runs a test on an event loop with local tasks.
fn run_locally<T>(test: impl AsyncFnOnce() -> T) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("an event loop");
    LocalSet::new().block_on(&runtime, test())
}

/// Returns the usage once the service has counted `calls` responses: it counts a response after it has sent it, so a proxy
/// may have received the last ones before.
async fn usage_after(discovery: &SyntheticDiscoveryService, calls: u64) -> DiscoveryUsage {
    let deadline = Instant::now() + UPDATE_TIMEOUT;
    while discovery.usage().calls < calls {
        assert!(Instant::now() < deadline, "{:?}", discovery.usage());
        sleep(Duration::from_millis(1)).await;
    }
    discovery.usage()
}

#[test]
fn each_change_reaches_each_proxy_once() {
    run_locally(async || {
        let backends = StubBackends::start(UPDATE_TIMEOUT).expect("backends");
        let discovery = SyntheticDiscoveryService::start(500, backends.endpoints(), 10)
            .expect("a discovery service");
        let mut proxies =
            SimulatedProxies::start(PROXIES, discovery.address(), 1).expect("simulated proxies");
        proxies
            .wait_for_version(0, UPDATE_TIMEOUT)
            .await
            .expect("the full list");
        let joined = usage_after(&discovery, PROXIES.into()).await;
        let connections = joined.connections;
        assert!(
            connections >= u64::from(PROXIES),
            "one connection each: {joined:?}"
        );
        let line = joined.bytes / joined.calls / 500;
        for change in 0..5 {
            let version = discovery.change_endpoint(change * 3);
            assert_eq!(version, u64::from(change) + 1);
            proxies
                .wait_for_version(version, UPDATE_TIMEOUT)
                .await
                .expect("the change");
        }
        let calls = joined.calls + 5 * u64::from(PROXIES);
        let usage = usage_after(&discovery, calls).await.since(joined);
        assert!(usage.calls >= 5 * u64::from(PROXIES), "{usage:?}");
        // A response with one endpoint is little longer than the endpoint: a snapshot has 500 of them.
        assert!(
            usage.bytes < usage.calls * (line + 400),
            "{usage:?}, {line} bytes a line"
        );
        assert_eq!(usage.connections, 0, "the watch stays on its connection");
    });
}

/// Prevents the loss of a change between two polls.
#[test]
fn consecutive_changes_all_reach_the_proxies() {
    run_locally(async || {
        let backends = StubBackends::start(UPDATE_TIMEOUT).expect("backends");
        let discovery = SyntheticDiscoveryService::start(50, backends.endpoints(), 10)
            .expect("a discovery service");
        let mut proxies =
            SimulatedProxies::start(PROXIES, discovery.address(), 2).expect("simulated proxies");
        let last = (0..100).fold(0, |_, change| discovery.change_endpoint(change));
        proxies
            .wait_for_version(last, UPDATE_TIMEOUT)
            .await
            .expect("the last change");
    });
}

#[test]
fn timeout_error_counts_the_proxies_without_the_version() {
    run_locally(async || {
        let backends = StubBackends::start(UPDATE_TIMEOUT).expect("backends");
        let discovery = SyntheticDiscoveryService::start(5, backends.endpoints(), 1)
            .expect("a discovery service");
        let mut proxies =
            SimulatedProxies::start(2, discovery.address(), 3).expect("simulated proxies");
        let fault = proxies
            .wait_for_version(7, Duration::from_millis(50))
            .await
            .expect_err("there is no version 7");
        assert_eq!(
            fault.to_string(),
            "2 of 2 hollow proxies were not told in time"
        );
    });
}
