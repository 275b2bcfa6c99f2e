//! The result of a soak: violated invariants of the proxies, failures of the audit and unterminated clients.
use crate::stalled_clients::UnterminatedClient;
use birchhub_rehearsal::{Report, Verdict};
use std::fmt;
use std::path::Path;

/// Marks a violated invariant in a proxy's log.
const VIOLATION_MARKER: &str = "invariant violated";
/// Marks a panic in a proxy's log.
const PANIC_MARKER: &str = "panicked";
/// Maximum number of findings that are shown for each check.
const MAX_SHOWN_FINDINGS: usize = 5;

/// Result of a soak, with the findings of all checks.
#[derive(Debug)]
pub struct SoakResult {
    /// Lines of the proxies' logs that report a violated invariant or a panic.
    pub violations: Vec<String>,
    /// Reasons why the audit of the ledger failed; empty if it passed or the run is void.
    pub audit_failures: Vec<String>,
    /// Stalled clients that the proxies did not terminate in time.
    pub unterminated_clients: Vec<UnterminatedClient>,
    /// Whether the machine was too busy for checks of times to be valid.
    pub is_void: bool,
    /// Number of RPCs.
    pub requests: usize,
    /// Number of RPCs that succeeded.
    pub served: usize,
}

impl SoakResult {
    /// Evaluates the report, the logs and the stalled clients of a run.
    pub(crate) fn new(
        report: &Report,
        logs: &Path,
        unterminated_clients: Vec<UnterminatedClient>,
    ) -> Self {
        let counts = &report.findings.counts;
        Self {
            violations: read_violations(logs),
            audit_failures: match report.verdict {
                Verdict::Fail => report.reasons.clone(),
                Verdict::Pass | Verdict::Void => Vec::new(),
            },
            unterminated_clients,
            is_void: report.verdict == Verdict::Void,
            requests: counts.rpcs,
            served: counts.ok,
        }
    }

    /// Whether a check failed. In a void run, checks that depend on times are ignored.
    pub fn has_failed(&self) -> bool {
        let has_unterminated_clients = !self.unterminated_clients.is_empty() && !self.is_void;
        !self.violations.is_empty() || !self.audit_failures.is_empty() || has_unterminated_clients
    }

    /// The result as one word: `PASS`, `FAIL` or `VOID`.
    pub fn word(&self) -> &'static str {
        match (self.has_failed(), self.is_void) {
            (true, _) => "FAIL",
            (false, true) => "VOID",
            (false, false) => "PASS",
        }
    }
}

/// Collects the lines of all proxies' logs that report a violated invariant or a panic.
fn read_violations(logs: &Path) -> Vec<String> {
    let Ok(folder) = std::fs::read_dir(logs) else {
        return Vec::new();
    };
    let mut lines = Vec::new();
    for file in folder.flatten().map(|entry| entry.path()) {
        if file.extension().is_none_or(|extension| extension != "log") {
            continue;
        }
        let proxy = file
            .file_stem()
            .unwrap_or_default()
            .to_string_lossy()
            .into_owned();
        let text = std::fs::read_to_string(&file).unwrap_or_default();
        let found = text
            .lines()
            .filter(|line| line.contains(VIOLATION_MARKER) || line.contains(PANIC_MARKER));
        lines.extend(found.map(|line| format!("{proxy}: {line}")));
    }
    lines
}

impl fmt::Display for SoakResult {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        let Self {
            requests, served, ..
        } = self;
        let word = self.word();
        write!(formatter, "{word}: {served} of {requests} requests served")?;
        let unterminated_clients = self.unterminated_clients.iter().map(ToString::to_string);
        let unterminated_clients: Vec<_> = unterminated_clients.collect();
        for (check, findings) in [
            ("invariants", &self.violations),
            ("audit", &self.audit_failures),
            ("clients", &unterminated_clients),
        ] {
            for finding in findings.iter().take(MAX_SHOWN_FINDINGS) {
                write!(formatter, "\n  {check}: {finding}")?;
            }
            if findings.len() > MAX_SHOWN_FINDINGS {
                let hidden = findings.len() - MAX_SHOWN_FINDINGS;
                write!(formatter, "\n  {check}: {hidden} more")?;
            }
        }
        Ok(())
    }
}
