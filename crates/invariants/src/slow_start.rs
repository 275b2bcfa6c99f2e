//! The limit on the requests that all proxies together may send to a warming backend.

/// Allowed requests below which the wider tolerance applies.
const FEW_REQUESTS: f64 = 30.0;

/// Returns the largest number of requests of mean work that all proxies together may send to a warming backend within
/// the overload window, if its settings allow `allowed` requests in that window. The tolerance is three standard
/// deviations and three requests where few are allowed, and two of each otherwise.
pub fn slow_start_limit(allowed: f64) -> f64 {
    let standard_deviation = allowed.max(0.0).sqrt();
    if allowed < FEW_REQUESTS {
        allowed + 3.0 * standard_deviation + 3.0
    } else {
        allowed + 2.0 * standard_deviation + 2.0
    }
}
