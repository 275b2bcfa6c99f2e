//! The report as one HTML page that needs nothing else: service over time with the troubles as shaded bands, what each node
//! held, how near cold nodes came to their fall, and every breach.
use crate::report::Report;
use birchhub_audit::{Entry, Event, Head};
use std::collections::HashMap;
use std::fmt::Write;

const WIDTH: f64 = 960.0; // px of a plot with its margins
const LEFT: f64 = 90.0; // px for names
const PLOT: f64 = WIDTH - LEFT - 10.0; // px for time
const HEIGHT: f64 = 180.0; // px of the service plot
const ROW: f64 = 14.0; // px of a node's row
const ROWS_MOST: usize = 80; // nodes drawn; beyond, the rows would say nothing
const BANDS: [&str; 6] = [
    "#d9822b", "#8f398f", "#2965cc", "#a82a2a", "#238c2c", "#5c255c",
];
const BREACHES: usize = 200; // rows; the JSON has all of them

const STYLE: &str = "body{font:14px/1.45 system-ui,sans-serif;margin:24px auto;max-width:1000px;color:#182026}\
h1{font-size:20px}h2{font-size:15px;margin:28px 0 6px}table{border-collapse:collapse}\
td,th{padding:2px 12px 2px 0;text-align:left;vertical-align:top}td.n{text-align:right;font-variant-numeric:tabular-nums}\
.v{display:inline-block;padding:1px 10px;border-radius:3px;color:#fff}.PASS{background:#238c2c}.FAIL{background:#c23030}\
.VOID{background:#7a6a00}svg text{font:11px system-ui,sans-serif;fill:#394b59}.k{color:#5c7080}";

fn escape(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
        .replace('"', "&quot;")
}

/// Time across a plot.
struct Axis {
    length: f64,
}

impl Axis {
    fn x(&self, at: f64) -> f64 {
        LEFT + PLOT * (at / self.length).clamp(0.0, 1.0)
    }

    /// Ticks under a plot of this height.
    fn ticks(&self, to: &mut String, height: f64) {
        let steps = [1.0, 2.0, 5.0, 10.0, 20.0, 30.0, 60.0, 120.0, 300.0, 600.0];
        let step = steps
            .into_iter()
            .find(|step| self.length / step <= 12.0)
            .unwrap_or(3600.0);
        for n in 0..=(self.length / step) as usize {
            let (x, at) = (self.x(n as f64 * step), n as f64 * step);
            let _ = write!(
                to,
                "<text x='{x:.1}' y='{:.1}' text-anchor='middle'>{at:.0} s</text>",
                height + 14.0
            );
        }
    }

    fn bands(&self, to: &mut String, head: &Head, height: f64) {
        for (n, trouble) in head.faults.iter().enumerate() {
            let (from, until) = (self.x(trouble.from), self.x(trouble.until));
            let (width, colour) = ((until - from).max(1.5), BANDS[n % BANDS.len()]);
            let _ = write!(
                to,
                "<rect x='{from:.1}' y='0' width='{width:.1}' height='{height}' fill='{colour}' opacity='0.13'>\
                 <title>{}</title></rect>",
                escape(&trouble.name)
            );
        }
    }
}

fn svg(height: f64, body: &str) -> String {
    let tall = height + 20.0;
    format!("<svg viewBox='0 -6 {WIDTH} {tall}' width='100%' role='img'>{body}</svg>\n")
}

#[expect(clippy::too_many_lines)]
fn service(report: &Report, head: &Head, axis: &Axis) -> String {
    let mut body = String::new();
    axis.bands(&mut body, head, HEIGHT);
    for part in [0.0, 0.25, 0.5, 0.75, 1.0] {
        let y = HEIGHT * (1.0 - part);
        let _ = write!(
            body,
            "<line x1='{LEFT}' x2='{}' y1='{y}' y2='{y}' stroke='#ced9e0'/>\
             <text x='{}' y='{:.1}' text-anchor='end'>{:.0}%</text>",
            LEFT + PLOT,
            LEFT - 6.0,
            y + 4.0,
            part * 100.0
        );
    }
    let seconds = &report.findings.service.seconds;
    let most = seconds
        .iter()
        .map(|utility| utility.requested)
        .fold(f64::MIN_POSITIVE, f64::max);
    let point = |second: usize, part: f64| {
        format!(
            "{:.1},{:.1}",
            axis.x(second as f64 + 0.5),
            HEIGHT * (1.0 - part)
        )
    };
    let line = |colour: &str, width: f64, points: Vec<String>| {
        format!(
            "<polyline points='{}' fill='none' stroke='{colour}' stroke-width='{width}'/>",
            points.join(" ")
        )
    };
    let asked = seconds
        .iter()
        .enumerate()
        .map(|(n, utility)| point(n, utility.requested / most));
    body += &line("#8a9ba8", 1.0, asked.collect());
    let had = seconds
        .iter()
        .enumerate()
        .filter(|(_, utility)| utility.requested > 0.0);
    body += &line(
        "#106ba3",
        2.0,
        had.map(|(n, utility)| point(n, utility.obtained / utility.requested))
            .collect(),
    );
    axis.ticks(&mut body, HEIGHT);
    svg(HEIGHT, &body)
}

/// RPCs that each node held, the most in each second.
fn held(head: &Head, entries: &[Entry], seconds: usize) -> Vec<Vec<u32>> {
    let mut most = vec![vec![0; seconds]; head.backends.len()];
    let mut now = vec![0u32; head.backends.len()];
    let (mut nodes, mut attempt_ids) = (HashMap::new(), HashMap::new());
    let mut second = 0;
    for entry in entries {
        // What is held goes on being held in the seconds between.
        while second + 1 < seconds && entry.at >= (second + 1) as f64 {
            second += 1;
            most.iter_mut()
                .zip(&now)
                .for_each(|(row, held)| row[second] = *held);
        }
        match entry.event {
            Event::BackendStarted {
                incarnation,
                backend: node,
                ..
            } => drop(nodes.insert(incarnation, node as usize)),
            Event::AttemptReceived(received) => {
                if let Some(node) = nodes
                    .get(&received.incarnation)
                    .copied()
                    .filter(|node| *node < now.len())
                {
                    attempt_ids.insert(received.attempt_id, node);
                    now[node] += 1;
                    most[node][second] = most[node][second].max(now[node]);
                }
            }
            Event::AttemptEnded { attempt_id, .. } => {
                if let Some(node) = attempt_ids.remove(&attempt_id) {
                    now[node] -= 1;
                }
            }
            _ => {}
        }
    }
    most
}

#[expect(clippy::too_many_lines)]
fn nodes(head: &Head, entries: &[Entry], axis: &Axis) -> String {
    let rows = head.backends.len().min(ROWS_MOST);
    let seconds = axis.length.ceil().max(1.0) as usize;
    let most = held(head, entries, seconds);
    let highest = most.iter().flatten().copied().max().unwrap_or(1).max(1);
    let (height, mut body) = (rows as f64 * ROW, String::new());
    // Zone by zone and rack by rack; a successor below the node that it follows.
    let mut order: Vec<_> = (0..head.backends.len()).collect();
    order.sort_by_key(|n| {
        (
            head.backends[*n].zone,
            head.backends[*n].rack,
            &head.backends[*n].name,
        )
    });
    for (row, n) in order.into_iter().take(rows).enumerate() {
        let (y, node) = (row as f64 * ROW, &head.backends[n]);
        let name = escape(&node.name);
        let _ = write!(
            body,
            "<text x='{}' y='{:.1}' text-anchor='end'>{name}</text>",
            LEFT - 6.0,
            y + 11.0
        );
        for (second, held) in most[n].iter().enumerate().filter(|(_, held)| **held > 0) {
            let (x, end) = (axis.x(second as f64), axis.x(second as f64 + 1.0));
            let shade = (f64::from(*held) / f64::from(highest)).sqrt();
            let _ = write!(
                body,
                "<rect x='{x:.1}' y='{y:.1}' width='{:.1}' height='{:.1}' fill='#106ba3' opacity='{shade:.2}'>\
                 <title>{name}, {second} s: {held}</title></rect>",
                end - x + 0.2,
                ROW - 2.0
            );
        }
        for (t, trouble) in head
            .faults
            .iter()
            .enumerate()
            .filter(|(_, t)| t.backends.contains(&(n as u32)))
        {
            let (x, end) = (axis.x(trouble.from), axis.x(trouble.until));
            let (width, colour) = ((end - x).max(1.5), BANDS[t % BANDS.len()]);
            let y = y + ROW - 2.5;
            let _ = write!(
                body,
                "<rect x='{x:.1}' y='{y:.1}' width='{width:.1}' height='2' fill='{colour}'/>"
            );
        }
    }
    axis.ticks(&mut body, height);
    let left_out = head.backends.len() - rows;
    let more = if left_out > 0 {
        format!("<p class='k'>{left_out} more nodes are not drawn.</p>")
    } else {
        String::new()
    };
    format!(
        "{}<p class='k'>The darkest field stands for {highest} RPCs. Lines below a row: troubles of that node.</p>{more}",
        svg(height, &body)
    )
}

fn table(rows: impl Iterator<Item = Vec<String>>, names: &[&str]) -> String {
    let head: String = names
        .iter()
        .map(|name| format!("<th>{name}</th>"))
        .collect();
    let cell = |(n, text): (usize, &String)| match n {
        0 => format!("<td>{}</td>", escape(text)),
        _ => format!("<td class='n'>{}</td>", escape(text)),
    };
    let row = |row: Vec<String>| {
        format!(
            "<tr>{}</tr>\n",
            row.iter().enumerate().map(cell).collect::<String>()
        )
    };
    format!(
        "<table><tr>{head}</tr>\n{}</table>\n",
        rows.map(row).collect::<String>()
    )
}

/// The whole page.
#[expect(clippy::too_many_lines)]
pub fn render(report: &Report, head: &Head, entries: &[Entry]) -> String {
    let axis = Axis {
        length: report.length.max(1.0),
    };
    let (findings, service_parts) = (&report.findings, &report.findings.service);
    let mut page = format!(
        "<!doctype html><html lang='en'><head><meta charset='utf-8'><title>{0}: {1}</title><style>{STYLE}</style>\
         </head><body><h1><span class='v {1}'>{1}</span> {0}</h1>\n\
         <p class='k'>seed {2}, plan {3}, {4:.0} s{5}</p>\n",
        escape(&report.scenario),
        report.verdict.word(),
        report.seed,
        escape(&report.plan),
        report.length,
        if report.partial {
            ", <b>partial: stopped before its end</b>"
        } else {
            ""
        }
    );
    if !report.reasons.is_empty() {
        let items = report
            .reasons
            .iter()
            .take(BREACHES)
            .map(|r| format!("<li>{}</li>\n", escape(r)));
        let _ = writeln!(page, "<ul>{}</ul>", items.collect::<String>());
    }
    let bands: String = head
        .faults
        .iter()
        .enumerate()
        .map(|(n, t)| {
            let colour = BANDS[n % BANDS.len()];
            let whom = match (t.backends.len(), t.proxies.len()) {
                (0, 0) => String::new(),
                (nodes, 0) => format!(", {nodes} nodes"),
                (0, proxies) => format!(", {proxies} proxies"),
                (nodes, proxies) => format!(", {nodes} nodes and {proxies} proxies"),
            };
            let (name, kind) = (escape(&t.name), escape(&t.kind));
            format!(
                "<span style='color:{colour}'>&#9632;</span> {name} ({kind}, {:.1} to {:.1} s{whom})<br>",
                t.from, t.until
            )
        })
        .collect();
    let _ = write!(
        page,
        "<h2>Service by second</h2>\n{}<p class='k'>Blue: utility answered within the latency target, of what was asked \
         for. Grey: what was asked for, against its highest second.</p><p>{bands}</p>\n",
        service(report, head, &axis)
    );
    let parts = [
        ("whole run".to_owned(), Some(service_parts.overall)),
        (
            format!("worst 10 s, from {:.0} s", service_parts.worst_10s_from),
            Some(service_parts.worst_10s),
        ),
    ];
    let methods = service_parts
        .methods
        .iter()
        .map(|named| (format!("method {}", named.name), named.share));
    let tenants = service_parts.tenants.iter().map(|named| {
        (
            format!("tenant {}, within its quota", named.name),
            named.share,
        )
    });
    let rows = parts.into_iter().chain(methods).chain(tenants);
    let rows =
        rows.map(|(name, part)| vec![name, part.map_or("-".into(), |part| format!("{part:.4}"))]);
    page += &table(rows, &["service", ""]);
    let counts = serde_json::to_value(&findings.counts).unwrap_or_default();
    let rows = counts.as_object().into_iter().flatten();
    let rows = rows.map(|(name, count)| vec![name.replace('_', " "), count.to_string()]);
    let _ = write!(
        page,
        "<h2>RPCs held by node</h2>\n{}",
        nodes(head, entries, &axis)
    );
    let _ = write!(page, "<h2>Counts</h2>\n{}", table(rows, &["", ""]));
    if !findings.cold_starts.is_empty() {
        let rows = findings.cold_starts.iter();
        let rows = rows.map(|c| {
            vec![
                c.backend.clone(),
                format!("{:.1} s", c.started_at),
                format!("{:.0}%", c.peak_overload * 100.0),
            ]
        });
        let _ = write!(
            page,
            "<h2>Cold nodes</h2>\n{}",
            table(rows, &["node", "start", "pushed, of its fall"])
        );
    }
    let [median, p99, worst] =
        <[f64; 3]>::from(findings.client_lateness).map(|s| format!("{:.2} ms", s * 1e3));
    let _ = write!(
        page,
        "<h2>The kit itself</h2>\n<p>RPCs went out late by {median} (median), {p99} (99th percentile), {worst} (worst). \
         Latest new work to a node after its drain was told: {:.0} ms.</p>\n</body></html>\n",
        findings.latest_after_notification * 1e3
    );
    page
}
