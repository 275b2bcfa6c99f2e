//! The limit on the requests that all proxies together may send to a backend in slow start.

/// Number of allowed requests below which the wider tolerance applies.
const FEW_REQUESTS: f64 = 30.0;

/// Returns the largest number of requests of average work that all proxies together may send to a backend in slow start
/// within the overload window.
///
/// `allowed` is the number that the settings allow in that window. The result exceeds it by a tolerance: three standard
/// deviations and three requests if fewer than `FEW_REQUESTS` are allowed, otherwise two of each. The standard
/// deviation is that of a Poisson distribution with the mean `allowed`.
pub fn slow_start_limit(allowed: f64) -> f64 {
    let standard_deviation = allowed.max(0.0).sqrt();
    if allowed < FEW_REQUESTS {
        allowed + 3.0 * standard_deviation + 3.0
    } else {
        allowed + 2.0 * standard_deviation + 2.0
    }
}
