//! The report as one self-contained HTML page: the service level over time with the faults as shaded bands, the RPCs in
//! flight at each backend, the overload of warming backends, and every violation.
mod backend_rows;
mod service_plot;
mod svg;

use crate::report::Report;
use birchhub_audit::{Entry, Findings, Header};
use std::fmt::Write;
use svg::{TimeAxis, escape, fault_colour};

/// Maximum number of reasons on the page; the JSON report has all of them.
const MAX_REASONS: usize = 200;

const STYLE: &str = "body{font:14px/1.45 system-ui,sans-serif;margin:24px auto;max-width:1000px;color:#182026}\
h1{font-size:20px}h2{font-size:15px;margin:28px 0 6px}table{border-collapse:collapse}\
td,th{padding:2px 12px 2px 0;text-align:left;vertical-align:top}td.n{text-align:right;font-variant-numeric:tabular-nums}\
.v{display:inline-block;padding:1px 10px;border-radius:3px;color:#fff}.PASS{background:#238c2c}.FAIL{background:#c23030}\
.VOID{background:#7a6a00}svg text{font:11px system-ui,sans-serif;fill:#394b59}.k{color:#5c7080}";

/// Renders the page.
pub fn render(report: &Report, header: &Header, entries: &[Entry]) -> String {
    let axis = TimeAxis {
        length_seconds: report.length.max(1.0),
    };
    let findings = &report.findings;
    let mut page = page_head(report);
    page += &reasons(report);
    let _ = write!(
        page,
        "<h2>Service by second</h2>\n{}<p class='k'>Blue: utility answered within the latency target, of what was asked \
         for. Grey: what was asked for, against its highest second.</p><p>{}</p>\n",
        service_plot::render(report, header, &axis),
        fault_legend(header)
    );
    page += &service_table(findings);
    let _ = write!(
        page,
        "<h2>RPCs held by node</h2>\n{}",
        backend_rows::render(header, entries, &axis)
    );
    let _ = write!(page, "<h2>Counts</h2>\n{}", counts_table(findings));
    page += &cold_starts(findings);
    page += &lateness(findings);
    page
}

fn page_head(report: &Report) -> String {
    let partial = if report.partial {
        ", <b>partial: stopped before its end</b>"
    } else {
        ""
    };
    format!(
        "<!doctype html><html lang='en'><head><meta charset='utf-8'><title>{0}: {1}</title><style>{STYLE}</style>\
         </head><body><h1><span class='v {1}'>{1}</span> {0}</h1>\n\
         <p class='k'>seed {2}, plan {3}, {4:.0} s{partial}</p>\n",
        escape(&report.scenario),
        report.verdict.word(),
        report.seed,
        escape(&report.plan),
        report.length
    )
}

fn reasons(report: &Report) -> String {
    if report.reasons.is_empty() {
        return String::new();
    }
    let items: String = report
        .reasons
        .iter()
        .take(MAX_REASONS)
        .map(|reason| format!("<li>{}</li>\n", escape(reason)))
        .collect();
    format!("<ul>{items}</ul>\n")
}

/// Returns the colour, name, kind, time and extent of each fault.
fn fault_legend(header: &Header) -> String {
    let line = |(index, fault): (usize, &birchhub_audit::header::Fault)| {
        let colour = fault_colour(index);
        let affected = match (fault.backends.len(), fault.proxies.len()) {
            (0, 0) => String::new(),
            (backends, 0) => format!(", {backends} nodes"),
            (0, proxies) => format!(", {proxies} proxies"),
            (backends, proxies) => format!(", {backends} nodes and {proxies} proxies"),
        };
        let name = escape(&fault.name);
        let kind = escape(&fault.kind);
        format!(
            "<span style='color:{colour}'>&#9632;</span> {name} ({kind}, {:.1} to {:.1} s{affected})<br>",
            fault.from, fault.until
        )
    };
    header.faults.iter().enumerate().map(line).collect()
}

fn service_table(findings: &Findings) -> String {
    let service = &findings.service;
    let totals = [
        ("whole run".to_owned(), Some(service.overall)),
        (
            format!("worst 10 s, from {:.0} s", service.worst_10s_from),
            Some(service.worst_10s),
        ),
    ];
    let methods = service
        .methods
        .iter()
        .map(|method| (format!("method {}", method.name), method.share));
    let tenants = service.tenants.iter().map(|tenant| {
        let name = format!("tenant {}, within its quota", tenant.name);
        (name, tenant.share)
    });
    let rows = totals
        .into_iter()
        .chain(methods)
        .chain(tenants)
        .map(|(name, share)| {
            let share = share.map_or("-".into(), |share| format!("{share:.4}"));
            vec![name, share]
        });
    table(rows, &["service", ""])
}

fn counts_table(findings: &Findings) -> String {
    let counts = serde_json::to_value(&findings.counts).unwrap_or_default();
    let rows = counts
        .as_object()
        .into_iter()
        .flatten()
        .map(|(name, count)| vec![name.replace('_', " "), count.to_string()]);
    table(rows, &["", ""])
}

fn cold_starts(findings: &Findings) -> String {
    if findings.cold_starts.is_empty() {
        return String::new();
    }
    let rows = findings.cold_starts.iter().map(|start| {
        vec![
            start.backend.clone(),
            format!("{:.1} s", start.started_at),
            format!("{:.0}%", start.peak_overload * 100.0),
        ]
    });
    format!(
        "<h2>Cold nodes</h2>\n{}",
        table(rows, &["node", "start", "pushed, of its fall"])
    )
}

/// Returns how late the emulated clients and backends themselves were, and the end of the page.
fn lateness(findings: &Findings) -> String {
    let [median, percentile_99, worst] =
        <[f64; 3]>::from(findings.client_lateness).map(|s| format!("{:.2} ms", s * 1e3));
    format!(
        "<h2>The kit itself</h2>\n<p>RPCs went out late by {median} (median), {percentile_99} (99th percentile), {worst} (worst). \
         Latest new work to a node after its drain was told: {:.0} ms.</p>\n</body></html>\n",
        findings.max_delay_after_notification * 1e3
    )
}

/// Renders a table whose first column is text and whose other columns are numbers.
fn table(rows: impl Iterator<Item = Vec<String>>, names: &[&str]) -> String {
    let head: String = names
        .iter()
        .map(|name| format!("<th>{name}</th>"))
        .collect();
    let body: String = rows.map(|cells| table_row(&cells)).collect();
    format!("<table><tr>{head}</tr>\n{body}</table>\n")
}

fn table_row(cells: &[String]) -> String {
    let cell = |(column, text): (usize, &String)| match column {
        0 => format!("<td>{}</td>", escape(text)),
        _ => format!("<td class='n'>{}</td>", escape(text)),
    };
    let cells: String = cells.iter().enumerate().map(cell).collect();
    format!("<tr>{cells}</tr>\n")
}
