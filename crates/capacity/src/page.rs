//! The tables of `docs/CAPACITY.md`, made of a result and put between their markers.
use crate::error::{PageError, SeriesError};
use crate::reckon::{self, Candidate, Line};
use crate::report::Report;
use std::fmt::Write;

/// Generates the text of one table.
type GenerateTable = fn(&Report) -> Result<String, SeriesError>;

/// The tables of the page, by the names in their markers.
const TABLES: [(&str, GenerateTable); 5] = [
    ("targets", targets),
    ("roles", roles),
    ("hours", hours),
    ("candidates", candidates),
    ("slopes", slopes),
];

/// Three figures that count, without an exponent.
pub fn figure(value: f64) -> String {
    if value == 0.0 || !value.is_finite() {
        return if value == 0.0 { "0".into() } else { "-".into() };
    }
    let before = value.abs().log10().floor() as i32;
    let places = (2 - before).clamp(0, 6) as usize;
    let unit = 10_f64.powi(before - 2);
    let text = format!("{:.places$}", (value / unit).round() * unit);
    if text.contains('.') {
        text.trim_end_matches('0').trim_end_matches('.').to_owned()
    } else {
        text
    }
}

fn targets(report: &Report) -> Result<String, SeriesError> {
    Ok(table(
        &[
            "what, at the planned size",
            "target",
            "reckoning",
            "factor",
            "of",
        ],
        reckon::targets(report)?.into_iter().map(|line| {
            let factor = line.factor().map_or("-".into(), figure);
            let target = line.target.map_or("-".into(), figure);
            [
                format!("{}, {}", line.what, line.unit),
                target,
                line.told(),
                factor,
                line.of,
            ]
        }),
    ))
}

fn roles(report: &Report) -> Result<String, SeriesError> {
    let mut lines = reckon::targets(report)?;
    lines.sort_by_key(|line| line.role);
    let rows = lines.into_iter().map(|line| {
        let reckoning = format!("{}; {}", line.told(), line.unit);
        [
            line.role.to_owned(),
            line.what,
            reckoning,
            line.of,
            line.mechanism.to_owned(),
        ]
    });
    Ok(table(
        &["role", "what", "reckoning", "of", "carried by"],
        rows,
    ))
}

/// In the order of the factor by which what each is for misses its target.
fn candidates(report: &Report) -> Result<String, SeriesError> {
    let lines = reckon::targets(report)?;
    let factor = |candidate: &Candidate| {
        let own = lines
            .iter()
            .filter(|line| candidate.keys.contains(&line.key));
        own.filter_map(Line::factor).max_by(f64::total_cmp)
    };
    let mut order: Vec<_> = reckon::CANDIDATES.iter().map(|c| (factor(c), c)).collect();
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

fn hours(report: &Report) -> Result<String, SeriesError> {
    Ok(table(
        &["when", "what", "reckoning", "of"],
        reckon::hours(report)?.into_iter().map(|line| {
            let guess = if line.guess { " (guess)" } else { "" };
            let reckoning = format!("{} {}{guess}", figure(line.reckoning), line.unit);
            [line.when.to_owned(), line.what, reckoning, line.of]
        }),
    ))
}

#[expect(clippy::too_many_lines)]
fn slopes(report: &Report) -> Result<String, SeriesError> {
    let rows = report.series.iter().map(|series| {
        let points = series
            .points
            .iter()
            .map(|(x, y)| format!("{}: {}", figure(*x), figure(*y)));
        let points = points
            .chain(series.missing.iter().cloned())
            .collect::<Vec<_>>()
            .join("; ");
        let (base, slope, residual) =
            series
                .fit
                .map_or(("-".into(), "-".into(), "-".into()), |fit| {
                    (
                        figure(fit.base),
                        figure(fit.slope * 1e3),
                        figure(fit.residual),
                    )
                });
        let wall = if series.wall {
            format!("wall, load {}", figure(series.load))
        } else {
            "counted".into()
        };
        [
            format!("`{}`", series.name),
            format!("{} by {}; {}", series.y, series.x, series.held),
            points,
            base,
            slope,
            residual,
            wall,
        ]
    });
    let head = [
        "series",
        "what",
        "points",
        "base",
        "slope, by 1,000",
        "residual",
        "clock",
    ];
    let failed = format!("{} of {} RPCs failed", report.failed, report.rpcs);
    let run = format!(
        "`{}`: {} cores, {} s, {failed}.\n\n",
        report.command,
        report.cores,
        figure(report.took)
    );
    Ok(run + &table(&head, rows))
}

fn table<const N: usize>(head: &[&str; N], rows: impl Iterator<Item = [String; N]>) -> String {
    let mut text = format!("| {} |\n|{}\n", head.join(" | "), " --- |".repeat(N));
    for row in rows {
        // Writing to a string cannot fail.
        let _ = writeln!(text, "| {} |", row.join(" | "));
    }
    text
}

/// The page with the tables made anew. An error names the marker that is missing or the figure that can't be made.
pub fn renew(page: &str, report: &Report) -> Result<String, PageError> {
    let mut text = page.to_owned();
    for (name, make) in TABLES {
        let (begin, end) = (
            format!("<!-- scale: {name} -->\n"),
            format!("<!-- end of {name} -->"),
        );
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
