//! Plot of the service level by second, with the faults as shaded bands.
use super::svg::{LABEL_GAP, LEFT, PLOT, TimeAxis, frame};
use crate::report::Report;
use birchhub_audit::Header;
use std::fmt::Write;

/// Height of the plot, in pixels.
const HEIGHT: f64 = 180.0;
/// Fractions of the service at which a horizontal line is drawn.
const GRID_FRACTIONS: [f64; 5] = [0.0, 0.25, 0.5, 0.75, 1.0];
/// Distance of the baseline of a label from its line, in pixels.
const LABEL_BASELINE: f64 = 4.0;

/// Returns the plot as an `svg` element.
pub(super) fn render(report: &Report, header: &Header, axis: &TimeAxis) -> String {
    let mut body = String::new();
    axis.write_fault_bands(&mut body, header, HEIGHT);
    write_grid(&mut body);
    let seconds = &report.findings.service.seconds;
    let highest = seconds
        .iter()
        .map(|utility| utility.requested)
        .fold(f64::MIN_POSITIVE, f64::max);
    let requested = seconds
        .iter()
        .enumerate()
        .map(|(second, utility)| point(axis, second, utility.requested / highest));
    body += &polyline("#8a9ba8", 1.0, requested.collect());
    let obtained = seconds
        .iter()
        .enumerate()
        .filter(|(_, utility)| utility.requested > 0.0)
        .map(|(second, utility)| point(axis, second, utility.obtained / utility.requested));
    body += &polyline("#106ba3", 2.0, obtained.collect());
    axis.write_ticks(&mut body, HEIGHT);
    frame(HEIGHT, &body)
}

/// Adds the horizontal lines with their percentages.
fn write_grid(body: &mut String) {
    for fraction in GRID_FRACTIONS {
        let y = HEIGHT * (1.0 - fraction);
        let _ = write!(
            body,
            "<line x1='{LEFT}' x2='{}' y1='{y}' y2='{y}' stroke='#ced9e0'/>\
             <text x='{}' y='{:.1}' text-anchor='end'>{:.0}%</text>",
            LEFT + PLOT,
            LEFT - LABEL_GAP,
            y + LABEL_BASELINE,
            fraction * 100.0
        );
    }
}

/// Returns the point of a fraction in the middle of a second.
fn point(axis: &TimeAxis, second: usize, fraction: f64) -> String {
    let x = axis.x(second as f64 + 0.5);
    let y = HEIGHT * (1.0 - fraction);
    format!("{x:.1},{y:.1}")
}

fn polyline(colour: &str, width: f64, points: Vec<String>) -> String {
    format!(
        "<polyline points='{}' fill='none' stroke='{colour}' stroke-width='{width}'/>",
        points.join(" ")
    )
}
