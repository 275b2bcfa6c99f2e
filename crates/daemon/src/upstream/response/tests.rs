//! Tests of what a response stands for.
use super::*;
use hyper::StatusCode;

/// The body of an RPC may read like a load report and is none.
#[test]
fn only_a_health_checks_body_is_a_report() {
    let (status, headers, is_partial, length) = (StatusCode::OK, HeaderMap::new(), false, None);
    let reply = || Reply {
        status,
        headers: headers.clone(),
        body: "inflight=9".into(),
        is_partial,
        length,
    };
    let report = |is_health_check| {
        classify(reply(), is_health_check)
            .report
            .and_then(|report| report.in_flight)
    };
    assert_eq!((report(true), report(false)), (Some(9.0), None));
}
