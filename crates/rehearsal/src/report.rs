//! The verdict on a rehearsal, and its report as text and as JSON.
use crate::error::RehearsalError;
use crate::page;
use birchhub_audit::{Audit, Entry, Findings, Head, Violation};
use serde::Serialize;
use std::path::Path;

const SHOWN: usize = 10; // breaches in the text; the JSON has all of them

/// What a rehearsal says.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum Verdict {
    Pass,
    /// A rule or a bar.
    Fail,
    /// This machine was too busy to say, or the run was stopped.
    Void,
}

impl Verdict {
    pub fn exit_code(self) -> u8 {
        match self {
            Self::Pass => 0,
            Self::Fail => 1,
            Self::Void => 2,
        }
    }
    pub fn word(self) -> &'static str {
        match self {
            Self::Pass => "PASS",
            Self::Fail => "FAIL",
            Self::Void => "VOID",
        }
    }
}

/// Processor time that a rehearsal took, s: the kit's own, and that of its proxies.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Kit {
    pub seconds: f64,
    pub proxies: f64,
}

#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Report {
    pub scenario: String,
    pub seed: u64,
    pub plan: String,
    pub verdict: Verdict,
    /// Why, one line each.
    pub reasons: Vec<String>,
    /// It was stopped before its end: all figures are of what was played.
    pub partial: bool,
    pub length: f64,
    pub findings: Findings,
    pub kit: Option<Kit>,
}

/// The verdict and its reasons. What no clock can excuse fails in any case; what rests on time is judged only where the
/// kit itself was on time.
#[expect(clippy::too_many_lines)]
fn judge(head: &Head, findings: &Findings, partial: bool) -> (Verdict, Vec<String>) {
    let told = |b: &Violation| {
        format!(
            "rule {}: {}: {} (at {:.3} s)",
            b.rule as u8, b.subject, b.description, b.at
        )
    };
    let (timed, plain): (Vec<_>, Vec<_>) =
        findings.violations.iter().partition(|b| b.timing_dependent);
    let mut reasons: Vec<String> = plain.iter().map(|b| told(b)).collect();
    let (late, what) = match (
        findings.client_lateness.percentile_99,
        findings.emulator_lateness.percentile_99,
    ) {
        (kit, stage) if stage > kit => (stage, "the runs at stand-in nodes ended"),
        (kit, _) => (kit, "the RPCs went out"),
    };
    if late > head.rules.max_lateness {
        let busy = format!(
            "this machine was too busy: 1% of {what} {:.1} ms late or later ({:.1} ms are allowed)",
            late * 1e3,
            head.rules.max_lateness * 1e3
        );
        let verdict = if reasons.is_empty() {
            Verdict::Void
        } else {
            Verdict::Fail
        };
        reasons.push(busy);
        return (verdict, reasons);
    }
    reasons.extend(timed.iter().map(|b| told(b)));
    let service = &findings.service;
    let bars = [
        ("service", head.targets.service, Some(service.overall)),
        (
            "worst 10 s",
            head.targets.worst_10s,
            Some(service.worst_10s),
        ),
        (
            "worst method",
            head.targets.worst_method,
            service.worst_method(),
        ),
        (
            "worst tenant",
            head.targets.worst_tenant,
            service.worst_tenant(),
        ),
    ];
    if !partial {
        for (name, bar, got) in bars {
            if let (Some(bar), Some(got)) = (bar, got)
                && got < bar
            {
                reasons.push(format!("bar: {name} is {got:.4}, expected {bar} or more"));
            }
        }
    }
    match (reasons.is_empty(), partial) {
        (false, _) => (Verdict::Fail, reasons),
        (true, true) => (Verdict::Void, vec!["stopped before its end".into()]),
        (true, false) => (Verdict::Pass, reasons),
    }
}

impl Report {
    pub fn of(head: &Head, entries: &[Entry], partial: bool, kit: Option<Kit>) -> Self {
        let findings = Audit::of(head, entries);
        let (verdict, reasons) = judge(head, &findings, partial);
        let (scenario, seed, plan) = (head.scenario.clone(), head.seed, head.plan.clone());
        let length = head.length;
        Self {
            scenario,
            seed,
            plan,
            verdict,
            reasons,
            partial,
            length,
            findings,
            kit,
        }
    }

    /// Writes `report.json` and `report.html`.
    pub fn write(&self, head: &Head, entries: &[Entry], out: &Path) -> Result<(), RehearsalError> {
        let write = |name: &str, text: String| {
            let path = out.join(name);
            std::fs::write(&path, text).map_err(RehearsalError::io(&path))
        };
        write("report.json", self.json() + "\n")?;
        write("report.html", page::render(self, head, entries))
    }

    pub fn json(&self) -> String {
        // Numbers, texts and lists only: there is nothing in it that JSON can't hold.
        serde_json::to_string_pretty(self).unwrap_or_default()
    }

    /// For the terminal.
    #[expect(clippy::too_many_lines)]
    pub fn text(&self) -> String {
        let mut to = String::new();
        let (counts, service) = (&self.findings.counts, &self.findings.service);
        let mut line = |text: String| {
            to.push_str(&text);
            to.push('\n');
        };
        let partial = if self.partial {
            ", PARTIAL: stopped before its end"
        } else {
            ""
        };
        line(format!(
            "{}  {} (seed {}, plan {}){partial}",
            self.verdict.word(),
            self.scenario,
            self.seed,
            self.plan
        ));
        self.reasons
            .iter()
            .take(SHOWN)
            .for_each(|reason| line(format!("  {reason}")));
        if self.reasons.len() > SHOWN {
            line(format!(
                "  and {} more, in report.json",
                self.reasons.len() - SHOWN
            ));
        }
        line(format!(
            "  service {:.4}  worst 10 s {:.4} (from {:.0} s)  latency p50 {:.1} ms, p99 {:.1} ms, p99.9 {:.1} ms",
            service.overall,
            service.worst_10s,
            service.worst_10s_from,
            service.latency.median * 1e3,
            service.latency.percentile_99 * 1e3,
            service.latency.percentile_99_9 * 1e3
        ));
        for (kind, parts) in [("method", &service.methods), ("tenant", &service.tenants)] {
            let parts: Vec<_> = parts
                .iter()
                .filter_map(|named| Some(format!("{} {:.4}", named.name, named.share?)))
                .collect();
            if !parts.is_empty() {
                line(format!("  by {kind}: {}", parts.join("  ")));
            }
        }
        line(format!(
            "  {} RPCs in {} tries: {} ok, {} pushed back, {} aborted, {} lost with a killed proxy, {} unreachable, {} hung up",
            counts.rpcs,
            counts.client_requests,
            counts.ok,
            counts.rejected,
            counts.aborted,
            counts.lost_with_proxy,
            counts.unreachable,
            counts.cancelled
        ));
        line(format!(
            "  {} picks, {} turned away, {} withdrawn; {} runs, {} repeated where allowed, {} repeats dropped, {} double runs",
            counts.attempts,
            counts.attempts_rejected,
            counts.attempts_cancelled,
            counts.executions,
            counts.repeated_executions,
            counts.duplicates_dropped,
            counts.double_executions
        ));
        let peak = self
            .findings
            .cold_starts
            .iter()
            .map(|c| c.peak_overload)
            .fold(0.0, f64::max);
        line(format!(
            "  latest new work after a drain was told: {:.0} ms; cold nodes {}, pushed to {:.0}% of their fall at most; {} fell",
            self.findings.latest_after_notification * 1e3,
            self.findings.cold_starts.len(),
            peak * 100.0,
            counts.collapsed
        ));
        let lateness = self.findings.client_lateness;
        let kit = self.kit.map_or(String::new(), |kit| {
            format!(
                "; processor time {:.1} s, its proxies {:.1} s",
                kit.seconds, kit.proxies
            )
        });
        line(format!(
            "  the kit itself: late by {:.2} ms (median), {:.2} ms (p99), {:.1} ms (worst); stand-ins {:.2} ms (p99){kit}",
            lateness.median * 1e3,
            lateness.percentile_99 * 1e3,
            lateness.worst * 1e3,
            self.findings.emulator_lateness.percentile_99 * 1e3
        ));
        to
    }
}
