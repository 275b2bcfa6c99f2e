//! Text form of figures on the capacity page.

/// Formats a number with three significant digits and without an exponent.
pub fn figure(value: f64) -> String {
    if value == 0.0 {
        return "0".into();
    }
    if !value.is_finite() {
        return "-".into();
    }
    let exponent = value.abs().log10().floor() as i32;
    let decimal_places = (2 - exponent).clamp(0, 6) as usize;
    let last_digit = 10_f64.powi(exponent - 2);
    let rounded = (value / last_digit).round() * last_digit;
    let text = format!("{rounded:.decimal_places$}");
    if text.contains('.') {
        text.trim_end_matches('0').trim_end_matches('.').to_owned()
    } else {
        text
    }
}
