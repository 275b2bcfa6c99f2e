//! The verdict on a rehearsal and its reasons.
use birchhub_audit::{Findings, Header, Violation};
use serde::Serialize;

/// Outcome of a rehearsal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum Verdict {
    /// Every rule and every target was met.
    Pass,
    /// A rule was violated or a target was missed.
    Fail,
    /// No verdict: this machine was too busy, or the run was stopped.
    Void,
}

impl Verdict {
    /// Returns the exit code of the commands that print a report.
    pub fn exit_code(self) -> u8 {
        match self {
            Self::Pass => 0,
            Self::Fail => 1,
            Self::Void => 2,
        }
    }

    /// Returns the word that the report prints.
    pub fn word(self) -> &'static str {
        match self {
            Self::Pass => "PASS",
            Self::Fail => "FAIL",
            Self::Void => "VOID",
        }
    }
}

/// A verdict with its reasons, one line each.
pub(super) struct Judgement {
    pub(super) verdict: Verdict,
    pub(super) reasons: Vec<String>,
}

/// Judges the findings of a run; `partial` if it was stopped before its end.
///
/// Violations that do not depend on time fail a run in any case. Those that do, and the targets, count only if the
/// emulated clients and backends were on time themselves.
pub(super) fn judge(header: &Header, findings: &Findings, partial: bool) -> Judgement {
    let (timing_dependent, timing_independent): (Vec<_>, Vec<_>) = findings
        .violations
        .iter()
        .partition(|violation| violation.timing_dependent);
    let mut reasons: Vec<String> = timing_independent.into_iter().map(violation_line).collect();
    if let Some(line) = excessive_lateness(header, findings) {
        let verdict = if reasons.is_empty() {
            Verdict::Void
        } else {
            Verdict::Fail
        };
        reasons.push(line);
        return Judgement { verdict, reasons };
    }
    reasons.extend(timing_dependent.into_iter().map(violation_line));
    if !partial {
        reasons.extend(missed_targets(header, findings));
    }
    let verdict = match (reasons.is_empty(), partial) {
        (false, _) => Verdict::Fail,
        (true, true) => Verdict::Void,
        (true, false) => Verdict::Pass,
    };
    if verdict == Verdict::Void {
        reasons.push("stopped before its end".into());
    }
    Judgement { verdict, reasons }
}

fn violation_line(violation: &Violation) -> String {
    format!(
        "rule {}: {}: {} (at {:.3} s)",
        violation.rule as u8, violation.subject, violation.description, violation.at
    )
}

/// Returns a line if the emulated clients or backends were later than the rules allow.
fn excessive_lateness(header: &Header, findings: &Findings) -> Option<String> {
    let clients = findings.client_lateness.percentile_99;
    let backends = findings.emulator_lateness.percentile_99;
    let (late, what) = if backends > clients {
        (backends, "the runs at stand-in nodes ended")
    } else {
        (clients, "the RPCs went out")
    };
    let allowed = header.rules.max_lateness;
    (late > allowed).then(|| {
        format!(
            "this machine was too busy: 1% of {what} {:.1} ms late or later ({:.1} ms are allowed)",
            late * 1e3,
            allowed * 1e3
        )
    })
}

/// Returns a line for each target of the service level that was missed.
fn missed_targets(header: &Header, findings: &Findings) -> Vec<String> {
    let targets = &header.targets;
    let service = &findings.service;
    let levels = [
        ("service", targets.service, Some(service.overall)),
        ("worst 10 s", targets.worst_10s, Some(service.worst_10s)),
        ("worst method", targets.worst_method, service.worst_method()),
        ("worst tenant", targets.worst_tenant, service.worst_tenant()),
    ];
    let mut lines = Vec::new();
    for (name, target, level) in levels {
        if let (Some(target), Some(level)) = (target, level)
            && level < target
        {
            lines.push(format!(
                "bar: {name} is {level:.4}, expected {target} or more"
            ));
        }
    }
    lines
}
