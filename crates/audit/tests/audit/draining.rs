//! Rule 3: no new work for a draining or removed backend.
use crate::builder::{LedgerBuilder, READ};
use birchhub_audit::{EndpointState, Event, Rule};

#[test]
fn attempts_at_a_draining_backend_after_the_grace_period_are_violations() {
    let notified = |state, incarnation, proxy| Event::ProxyNotified {
        proxy,
        backend: 0,
        incarnation,
        state,
    };
    for state in [EndpointState::Draining, EndpointState::Gone] {
        let mut builder = LedgerBuilder::new();
        // A repeated notification does not extend the grace period.
        builder
            .at(1.0, notified(state, 0, 0))
            .at(2.0, notified(state, 0, 0))
            .succeeds(1.3, 7, READ);
        let findings = builder.assert_no_violations();
        assert!((findings.max_delay_after_notification - 0.301).abs() < 1e-9);
        builder.0.pop();
        builder.succeeds(2.1, 8, READ).assert_violation(
            Rule::Draining,
            "rpc 8",
            "sent to n0 1101 ms after p0",
        );
    }
    // No violation: the notification went to another proxy, concerned another incarnation, was revoked, or preceded a
    // restart of the proxy.
    LedgerBuilder::new()
        .at(1.0, notified(EndpointState::Gone, 0, 1))
        .succeeds(3.0, 7, READ)
        .assert_no_violations();
    LedgerBuilder::new()
        .at(1.0, notified(EndpointState::Gone, 5, 0))
        .succeeds(3.0, 7, READ)
        .assert_no_violations();
    LedgerBuilder::new()
        .at(1.0, notified(EndpointState::Gone, 0, 0))
        .at(1.1, notified(EndpointState::Ready, 0, 0))
        .succeeds(3.0, 7, READ)
        .assert_no_violations();
    let mut restarted = LedgerBuilder::new();
    restarted
        .at(1.0, notified(EndpointState::Gone, 0, 0))
        .at(1.1, Event::ProxyStarted { proxy: 0 })
        .succeeds(3.0, 7, READ)
        .assert_no_violations();
}
