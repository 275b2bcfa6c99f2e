use super::*;
use hyper::StatusCode;

/// The body of an RPC's response may look like a load report. If it were parsed as one, any response could change the
/// load that is recorded for its backend.
#[test]
fn only_the_body_of_a_health_check_is_parsed_as_a_load_report() {
    let response = || ReceivedResponse {
        status: StatusCode::OK,
        headers: HeaderMap::new(),
        body: "inflight=9".into(),
        is_partial: false,
        length: None,
    };
    let reported_in_flight = |is_health_check| {
        classify_response(response(), is_health_check)
            .report
            .and_then(|report| report.in_flight)
    };
    assert_eq!(reported_in_flight(true), Some(9.0));
    assert_eq!(reported_in_flight(false), None);
}
