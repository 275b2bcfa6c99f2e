//! Generates the tables of `docs/CAPACITY.md` from a report and puts them between their markers.
use crate::error::{PageError, SeriesError};
pub use crate::figure::figure;

use crate::estimate::{self, Basis, Candidate, Estimate};
use crate::fit::Fit;
use crate::report::Report;
use crate::series::Series;
use std::fmt::Write;

/// Generates the text of one table.
type GenerateTable = fn(&Report) -> Result<String, SeriesError>;

/// All tables, with the names in their markers.
const TABLES: [(&str, GenerateTable); 5] = [
    ("targets", targets),
    ("roles", roles),
    ("hours", scenarios),
    ("candidates", candidates),
    ("slopes", slopes),
];

/// Units of x to which a slope on the page refers.
const SLOPE_UNITS: f64 = 1e3;

fn targets(report: &Report) -> Result<String, SeriesError> {
    Ok(table(
        &[
            "what, at the planned size",
            "target",
            "reckoning",
            "factor",
            "of",
        ],
        estimate::targets(report)?.into_iter().map(|estimate| {
            let factor = estimate.factor().map_or("-".into(), figure);
            let target = estimate.target.map_or("-".into(), figure);
            [
                format!("{}, {}", estimate.what, estimate.unit),
                target,
                estimate.formatted(),
                factor,
                estimate.derivation.to_owned(),
            ]
        }),
    ))
}

fn roles(report: &Report) -> Result<String, SeriesError> {
    let mut estimates = estimate::targets(report)?;
    estimates.sort_by_key(|estimate| estimate.role);
    let rows = estimates.into_iter().map(|estimate| {
        let value = format!("{}; {}", estimate.formatted(), estimate.unit);
        [
            estimate.role.to_owned(),
            estimate.what,
            value,
            estimate.derivation.to_owned(),
            estimate.mechanism.to_owned(),
        ]
    });
    Ok(table(
        &["role", "what", "reckoning", "of", "carried by"],
        rows,
    ))
}

/// Candidates in descending order of the largest factor by which an estimate that they lower misses its target.
fn candidates(report: &Report) -> Result<String, SeriesError> {
    let estimates = estimate::targets(report)?;
    let factor = |candidate: &Candidate| {
        let improved = estimates
            .iter()
            .filter(|estimate| candidate.keys.contains(&estimate.key));
        improved.filter_map(Estimate::factor).max_by(f64::total_cmp)
    };
    let mut order: Vec<_> = estimate::CANDIDATES
        .iter()
        .map(|c| (factor(c), c))
        .collect();
    order.sort_by(|a, b| b.0.unwrap_or(0.0).total_cmp(&a.0.unwrap_or(0.0)));
    let rows = order
        .into_iter()
        .zip(1..)
        .map(|((factor, candidate), place)| {
            let factor = factor.map_or("not known".into(), |factor| {
                format!(
                    "{} ({})",
                    figure(factor),
                    if factor > 1.0 { "missed" } else { "met" }
                )
            });
            [
                place.to_string(),
                candidate.name.to_owned(),
                factor,
                candidate.keys.join(", "),
                candidate.expected.to_owned(),
            ]
        });
    Ok(table(
        &[
            "",
            "mechanism",
            "largest factor",
            "for the lines",
            "expected (a guess)",
        ],
        rows,
    ))
}

fn scenarios(report: &Report) -> Result<String, SeriesError> {
    Ok(table(
        &["when", "what", "reckoning", "of"],
        estimate::scenarios(report)?.into_iter().map(|scenario| {
            let caveat = match scenario.basis {
                Basis::PartlyAssumed => " (guess)",
                Basis::Measured => "",
            };
            let value = format!("{} {}{caveat}", figure(scenario.value), scenario.unit);
            [scenario.when, scenario.what, &value, scenario.derivation].map(str::to_owned)
        }),
    ))
}

fn slopes(report: &Report) -> Result<String, SeriesError> {
    let head = [
        "series",
        "what",
        "points",
        "base",
        "slope, by 1,000",
        "residual",
        "clock",
    ];
    let failed = format!("{} of {} RPCs failed", report.failed_rpcs, report.rpcs);
    let run = format!(
        "`{}`: {} cores, {} s, {failed}.\n\n",
        report.command,
        report.cores,
        figure(report.duration_seconds)
    );
    Ok(run + &table(&head, report.series.iter().map(series_row)))
}

/// The row of a series: its points, its line, and whether it depends on a wall clock.
fn series_row(series: &Series) -> [String; 7] {
    let points = series
        .points
        .iter()
        .map(|(x, y)| format!("{}: {}", figure(*x), figure(*y)));
    let points_and_reasons: Vec<_> = points.chain(series.missing.iter().cloned()).collect();
    let fitted = |value: fn(&Fit) -> f64| {
        let value = series.fit.as_ref().map(value);
        value.map_or("-".to_owned(), figure)
    };
    let clock = match series.uses_wall_clock {
        true => format!("wall, load {}", figure(series.load_average)),
        false => "counted".to_owned(),
    };
    [
        format!("`{}`", series.name),
        format!("{} by {}; {}", series.y, series.x, series.conditions),
        points_and_reasons.join("; "),
        fitted(|fit| fit.base),
        fitted(|fit| fit.slope * SLOPE_UNITS),
        fitted(|fit| fit.residual),
        clock,
    ]
}

fn table<const N: usize>(head: &[&str; N], rows: impl Iterator<Item = [String; N]>) -> String {
    let mut text = format!("| {} |\n|{}\n", head.join(" | "), " --- |".repeat(N));
    for row in rows {
        // Writing to a string cannot fail.
        let _ = writeln!(text, "| {} |", row.join(" | "));
    }
    text
}

/// Returns the page with its tables generated from a report.
///
/// # Errors
/// Names the marker that is missing or the series that an estimate lacks.
pub fn renew(page: &str, report: &Report) -> Result<String, PageError> {
    let mut text = page.to_owned();
    for (name, make) in TABLES {
        let begin = format!("<!-- scale: {name} -->\n");
        let end = format!("<!-- end of {name} -->");
        let from = text
            .find(&begin)
            .ok_or_else(|| PageError::NoBeginMarker(begin.trim_end().to_owned()))?;
        let from = from + begin.len();
        let length = text[from..]
            .find(&end)
            .ok_or_else(|| PageError::NoEndMarker(end.clone()))?;
        text.replace_range(from..from + length, &format!("\n{}\n", make(report)?));
    }
    Ok(text)
}
