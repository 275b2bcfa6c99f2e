//! Timers, and polls of the endpoint list.
mod common;
use birchhub::interface::*;
use common::{proxy_of, settings};

/// A timer that was scheduled for every RPC would keep the list of pending timers growing.
#[test]
fn number_of_pending_timers_is_bounded() {
    let mut proxy = proxy_of(3, settings(&[Idempotency::Idempotent]));
    for _ in 0..300 {
        proxy.accept(0, 0.3);
        proxy.advance(0.01);
    }
    assert!(
        proxy.platform.timers.len() < 10,
        "{} timers pending",
        proxy.platform.timers.len()
    );
}

/// Whatever poll interval the settings allow, a failed poll is retried soon enough that a change is known
/// within 6 s, and retries are far enough apart that many proxies do not overload the discovery service.
#[test]
fn failed_polls_are_retried_at_a_bounded_rate() {
    for max_poll_interval in [4.0, 10.0, 20.0] {
        let conf = Settings {
            can_health_check: false,
            max_poll_interval,
            ..settings(&[Idempotency::Idempotent])
        };
        let mut proxy = proxy_of(3, conf);
        let mut polls_seen = 0;
        for _ in 0..6000 {
            proxy.advance(0.01);
            if proxy.platform.watch_times.len() > polls_seen {
                polls_seen = proxy.platform.watch_times.len();
                proxy.balancer.on_discovery_failure(&mut proxy.platform);
            }
        }
        let intervals: Vec<_> = proxy
            .platform
            .watch_times
            .windows(2)
            .map(|w| w[1] - w[0])
            .collect();
        // The backoff is random up to 1 s, so 60 s have about 120 intervals of half a second on average.
        assert!((90..160).contains(&intervals.len()), "{intervals:?}");
        // Up to 0.5 s after the first failure and 1 s after later ones, with 0.03 s for the steps of the loop
        // above.
        assert!(
            intervals.iter().all(|interval| *interval < 1.03) && intervals[0] < 0.53,
            "{intervals:?}"
        );
    }
}
