//! Counts and quality of service.
use crate::builder::{BOOK, LedgerBuilder, READ};
use birchhub_audit::{Event, RequestOutcome};

#[test]
fn a_ledger_without_a_violation_has_no_findings() {
    let mut builder = LedgerBuilder::new();
    for rpc in 0..30 {
        builder.succeeds(f64::from(rpc), rpc, (rpc % 3) as u8);
    }
    let findings = builder.assert_no_violations();
    assert_eq!(
        (
            findings.counts.rpcs,
            findings.counts.ok,
            findings.counts.executions
        ),
        (30, 30, 30)
    );
    assert_eq!(
        (findings.service.overall, findings.service.worst_10s),
        (1.0, 1.0)
    );
}

/// Latency includes retries, late responses and RPCs over quota have part of their utility, and the worst shares are
/// reported.
#[test]
fn service_counts_from_the_time_at_which_an_rpc_was_due() {
    let mut builder = LedgerBuilder::new();
    for rpc in 0..30 {
        builder.succeeds(f64::from(rpc), rpc, READ);
    }
    // Within the latency objective of 0.2 s, measured from the first request.
    builder
        .request(12.0, 100, BOOK)
        .request_ends(12.05, 100, RequestOutcome::Rejected(None));
    builder
        .retry(12.1, 101, 100)
        .request_ends(12.19, 101, RequestOutcome::Ok);
    // After the latency objective: a quarter of the utility.
    builder
        .request(13.0, 200, BOOK)
        .request_ends(13.05, 200, RequestOutcome::Rejected(None));
    builder
        .retry(13.2, 201, 200)
        .request_ends(13.3, 201, RequestOutcome::Ok);
    // Over quota and without a response: a tenth of the utility of 2 is requested and not obtained.
    builder.at(
        14.0,
        Event::Arrival {
            rpc: 300,
            method: BOOK,
            tenant: 0,
            within_quota: false,
        },
    );
    let service = builder.assert_no_violations().service;
    assert!((service.overall - (60.0 + 2.0 + 0.5) / (60.0 + 2.0 + 2.0 + 0.2)).abs() < 1e-9);
    // The worst window begins at 13 s: ten reads, the late RPC, and the one without a response.
    assert!(
        (service.worst_10s - (20.0 + 0.5) / (20.0 + 2.2)).abs() < 1e-9,
        "{service:?}"
    );
    assert_eq!(service.worst_10s_from, 13.0);
    assert!((service.worst_method().unwrap() - 2.5 / 4.2).abs() < 1e-9);
    assert!(
        (service.worst_tenant().unwrap() - 62.5 / 64.0).abs() < 1e-9,
        "an RPC over quota does not count for the tenant"
    );
    assert!(
        (service.latency.median - 0.061).abs() < 1e-9
            && (service.latency.percentile_99_9 - 0.3).abs() < 1e-9
    );
}
