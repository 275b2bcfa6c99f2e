//! Timers, and polls of the endpoint list.
mod common;
use birchhub::interface::*;
use common::{proxy_of, settings};

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

/// Whatever interval the settings allow, the next poll follows soon enough that a change is known within
/// 6 s, and the polls of one proxy are far enough apart that many proxies do not overload the service.
#[test]
fn failed_polls_are_retried_at_a_bounded_pace() {
    for max_poll_interval in [4.0, 10.0, 20.0] {
        let conf = Settings {
            can_health_check: false,
            max_poll_interval,
            ..settings(&[Idempotency::Idempotent])
        };
        let mut proxy = proxy_of(3, conf);
        let mut polls = 0;
        for _ in 0..6000 {
            proxy.advance(0.01);
            if proxy.platform.watch_times.len() > polls {
                polls = proxy.platform.watch_times.len();
                proxy.balancer.on_discovery_failure(&mut proxy.platform);
            }
        }
        let gaps: Vec<_> = proxy
            .platform
            .watch_times
            .windows(2)
            .map(|w| w[1] - w[0])
            .collect();
        // In 60 s, with a mean interval of half a second.
        assert!((90..160).contains(&gaps.len()), "{gaps:?}");
        assert!(
            gaps.iter().all(|gap| *gap < 1.03) && gaps[0] < 0.53,
            "{gaps:?}"
        );
    }
}
