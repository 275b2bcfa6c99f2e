//! Rule 4: no overload of a backend in slow start.
use crate::builder::{LedgerBuilder, READ};
use birchhub_audit::event::{Admission, ReceivedAttempt};
use birchhub_audit::{EndpointState, Event, RequestOutcome, Rule};

const INCARNATION: u32 = 9;

/// Adds a request with one attempt at the backend in slow start, which brings its overload to `overload`.
fn attempt_in_slow_start(ledger: &mut LedgerBuilder, at: f64, rpc: u32, proxy: u16, overload: f32) {
    let request_id = u64::from(rpc);
    let sent = Event::RequestSent {
        request_id,
        rpc,
        proxy,
        client_timeout: 0.5,
    };
    let received = Event::AttemptReceived(ReceivedAttempt {
        incarnation: INCARNATION,
        attempt_id: request_id,
        request_id,
        proxy,
        first_byte_at: at,
        work: 1.0,
        overload,
        admission: Admission::Admitted,
    });
    ledger
        .arrival(at, rpc, READ)
        .at(at, sent)
        .at(at, received)
        .request_ends(1.5, request_id, RequestOutcome::Aborted(502));
}

/// Returns a ledger in which a backend in slow start collapses under three RPCs, the first `from_notified_proxy` of which
/// came from a proxy that was notified of its start.
fn overloaded_in_slow_start(from_notified_proxy: u32) -> LedgerBuilder {
    let mut ledger = LedgerBuilder::new();
    let started = Event::BackendStarted {
        incarnation: INCARNATION,
        backend: 2,
        cold: true,
        warm_capacity: 2.0,
    };
    let notified = Event::ProxyNotified {
        proxy: 0,
        backend: 2,
        incarnation: INCARNATION,
        state: EndpointState::Ready,
    };
    ledger.at(1.0, started).at(1.0, notified);
    for rpc in 0..3 {
        let at = 1.2 + f64::from(rpc) * 0.1;
        let proxy = u16::from(rpc >= from_notified_proxy);
        let overload = 0.34 * (rpc + 1) as f32;
        attempt_in_slow_start(&mut ledger, at, rpc, proxy, overload);
    }
    let collapsed = Event::BackendCollapsed {
        incarnation: INCARNATION,
    };
    ledger.at(1.5, collapsed);
    ledger
}

#[test]
fn a_collapse_in_slow_start_is_a_violation_if_notified_proxies_caused_it() {
    for (from_notified_proxy, is_violation) in [(3, true), (2, true), (1, false)] {
        let mut ledger = overloaded_in_slow_start(from_notified_proxy);
        if is_violation {
            ledger.assert_violation(Rule::SlowStart, "n2", "pushed over 0.5 s after its start");
        } else {
            assert_eq!(ledger.assert_no_violations().counts.collapsed_uninformed, 1);
        }
        assert!((ledger.audit().cold_starts[0].peak_overload - 1.02).abs() < 1e-6);
    }
}
