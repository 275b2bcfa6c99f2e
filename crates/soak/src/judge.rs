//! The verdict on a soak, by three judges.
use crate::stopped_clients::LateEnd;
use birchhub_rehearsal::{Report, Verdict};
use std::fmt;
use std::path::Path;

/// What marks a violation in a proxy's log; the daemon writes it.
const VIOLATION: &str = "invariant violated";
/// What a proxy leaves in its log when it panics.
const PANIC: &str = "panicked";
/// Findings of one kind that are shown.
const SHOWN: usize = 5;

/// What the judges found.
#[derive(Debug)]
pub struct Judgement {
    /// Lines of the proxies' logs that tell of a broken invariant or a panic.
    pub violations: Vec<String>,
    /// Reasons of the ledger's audit; empty if it passed or this machine was too busy to say.
    pub breaches: Vec<String>,
    /// Stopped clients that were left waiting.
    pub late_ends: Vec<LateEnd>,
    /// This machine was too busy for times to be judged.
    pub is_void: bool,
    /// Requests, and those that were served.
    pub requests: (usize, usize),
}

impl Judgement {
    /// Judges what was left of a run.
    pub(crate) fn of(report: &Report, logs: &Path, late_ends: Vec<LateEnd>) -> Self {
        let is_void = report.verdict == Verdict::Void;
        let counts = &report.findings.counts;
        Self {
            violations: violations(logs),
            breaches: match report.verdict {
                Verdict::Fail => report.reasons.clone(),
                Verdict::Pass | Verdict::Void => Vec::new(),
            },
            late_ends,
            is_void,
            requests: (counts.rpcs, counts.ok),
        }
    }

    /// Whether a judge found something. What rests on time is not judged on a machine that was too busy.
    pub fn has_failed(&self) -> bool {
        let late = !self.late_ends.is_empty() && !self.is_void;
        !self.violations.is_empty() || !self.breaches.is_empty() || late
    }

    /// In one word.
    pub fn word(&self) -> &'static str {
        match (self.has_failed(), self.is_void) {
            (true, _) => "FAIL",
            (false, true) => "VOID",
            (false, false) => "PASS",
        }
    }
}

/// Lines of all proxies' logs that tell of a violation.
fn violations(logs: &Path) -> Vec<String> {
    let Ok(folder) = std::fs::read_dir(logs) else {
        return Vec::new();
    };
    let mut lines = Vec::new();
    for file in folder.flatten().map(|entry| entry.path()) {
        if file.extension().is_none_or(|extension| extension != "log") {
            continue;
        }
        let name = file
            .file_stem()
            .unwrap_or_default()
            .to_string_lossy()
            .into_owned();
        let text = std::fs::read_to_string(&file).unwrap_or_default();
        let found = text
            .lines()
            .filter(|line| line.contains(VIOLATION) || line.contains(PANIC));
        lines.extend(found.map(|line| format!("{name}: {line}")));
    }
    lines
}

impl fmt::Display for Judgement {
    fn fmt(&self, to: &mut fmt::Formatter) -> fmt::Result {
        let (requests, served) = self.requests;
        write!(
            to,
            "{}: {served} of {requests} requests served",
            self.word()
        )?;
        let late = self.late_ends.iter().map(|end| {
            let LateEnd { client, proxy, at } = end;
            format!(
                "at {at:.3} s a client of proxy {proxy} that had sent {client} was left waiting"
            )
        });
        let late: Vec<_> = late.collect();
        for (judge, found) in [
            ("invariants", &self.violations),
            ("audit", &self.breaches),
            ("clients", &late),
        ] {
            for line in found.iter().take(SHOWN) {
                write!(to, "\n  {judge}: {line}")?;
            }
            if found.len() > SHOWN {
                write!(to, "\n  {judge}: {} more", found.len() - SHOWN)?;
            }
        }
        Ok(())
    }
}
