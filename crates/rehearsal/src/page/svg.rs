//! Time axis and frame that the plots of the page share.
use birchhub_audit::Header;
use std::fmt::Write;

/// Width of a plot with its margins, in pixels.
pub(super) const WIDTH: f64 = 960.0;
/// Width of the margin for names on the left, in pixels.
pub(super) const LEFT: f64 = 90.0;
/// Width of the time axis, in pixels.
pub(super) const PLOT: f64 = WIDTH - LEFT - 10.0;
/// Distance of a label from the left end of the time axis, in pixels.
pub(super) const LABEL_GAP: f64 = 6.0;
/// Height below a plot for the labels of its time axis, in pixels.
const AXIS_HEIGHT: f64 = 20.0;
/// Distance of the baseline of the time labels from the plot, in pixels.
const TICK_BASELINE: f64 = 14.0;
/// Maximum number of intervals between time labels.
const MAX_TICK_INTERVALS: f64 = 12.0;
/// Intervals between time labels, in seconds; the first that gives few enough labels is used.
const TICK_INTERVALS_SECONDS: [f64; 10] =
    [1.0, 2.0, 5.0, 10.0, 20.0, 30.0, 60.0, 120.0, 300.0, 600.0];
/// Interval between time labels of a longer run, in seconds.
const LONGEST_TICK_INTERVAL_SECONDS: f64 = 3600.0;
/// Width at which a short fault is still visible, in pixels.
const MIN_FAULT_WIDTH: f64 = 1.5;
/// Colours of the faults, in the order of the scenario; they repeat when there are more faults.
const FAULT_COLOURS: [&str; 6] = [
    "#d9822b", "#8f398f", "#2965cc", "#a82a2a", "#238c2c", "#5c255c",
];

/// Returns the colour of a fault by its index.
pub(super) fn fault_colour(index: usize) -> &'static str {
    FAULT_COLOURS[index % FAULT_COLOURS.len()]
}

/// Escapes text for HTML content and attributes.
pub(super) fn escape(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
        .replace('"', "&quot;")
}

/// Wraps the elements of a plot of this height into an `svg` element.
pub(super) fn frame(height: f64, body: &str) -> String {
    let full_height = height + AXIS_HEIGHT;
    format!("<svg viewBox='0 -6 {WIDTH} {full_height}' width='100%' role='img'>{body}</svg>\n")
}

/// Horizontal axis of time since the start of the run.
pub(super) struct TimeAxis {
    /// Length of the run, in seconds.
    pub(super) length_seconds: f64,
}

/// Horizontal extent of a fault in a plot, in pixels.
pub(super) struct FaultExtent {
    pub(super) left: f64,
    pub(super) width: f64,
}

impl TimeAxis {
    /// Returns the horizontal position of a time, in pixels.
    pub(super) fn x(&self, at: f64) -> f64 {
        LEFT + PLOT * (at / self.length_seconds).clamp(0.0, 1.0)
    }

    /// Returns the extent of a fault that lasts from one time to the other.
    pub(super) fn fault_extent(&self, from: f64, until: f64) -> FaultExtent {
        let left = self.x(from);
        let right = self.x(until);
        FaultExtent {
            left,
            width: (right - left).max(MIN_FAULT_WIDTH),
        }
    }

    /// Adds the time labels under a plot of this height.
    pub(super) fn write_ticks(&self, body: &mut String, height: f64) {
        let interval = TICK_INTERVALS_SECONDS
            .into_iter()
            .find(|interval| self.length_seconds / interval <= MAX_TICK_INTERVALS)
            .unwrap_or(LONGEST_TICK_INTERVAL_SECONDS);
        for index in 0..=(self.length_seconds / interval) as usize {
            let at = index as f64 * interval;
            let x = self.x(at);
            let y = height + TICK_BASELINE;
            let _ = write!(
                body,
                "<text x='{x:.1}' y='{y:.1}' text-anchor='middle'>{at:.0} s</text>"
            );
        }
    }

    /// Adds a shaded band for each fault to a plot of this height.
    pub(super) fn write_fault_bands(&self, body: &mut String, header: &Header, height: f64) {
        for (index, fault) in header.faults.iter().enumerate() {
            let FaultExtent { left, width } = self.fault_extent(fault.from, fault.until);
            let colour = fault_colour(index);
            let _ = write!(
                body,
                "<rect x='{left:.1}' y='0' width='{width:.1}' height='{height}' fill='{colour}' opacity='0.13'>\
                 <title>{}</title></rect>",
                escape(&fault.name)
            );
        }
    }
}
