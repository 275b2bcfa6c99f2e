//! The report on a rehearsal: verdict, findings and run, as text, JSON and HTML.
mod text;
mod verdict;

pub use verdict::Verdict;

use birchhub_audit::{Audit, Entry, Findings, Header};
use serde::Serialize;
use verdict::{Judgement, judge};

/// Processor time that a rehearsal used, in seconds.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct ProcessorTime {
    /// Time of this process, with the emulated clients and backends.
    pub seconds: f64,
    /// Time of all proxies' processes.
    pub proxies: f64,
}

/// Report on one run of a scenario. It serializes to `report.json`.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Report {
    /// Name of the scenario.
    pub scenario: String,
    /// Seed of the plan.
    pub seed: u64,
    /// Hash of the plan.
    pub plan: String,
    /// Outcome of the run.
    pub verdict: Verdict,
    /// Reasons of the verdict, one line each; empty if it passed.
    pub reasons: Vec<String>,
    /// Whether the run was stopped before its end; all figures are of the part that was run.
    pub partial: bool,
    /// Planned length of the run, in seconds.
    pub length: f64,
    /// Findings of the audit.
    pub findings: Findings,
    /// Processor time, unless the ledger was read back or the run was simulated.
    #[serde(rename = "kit")]
    pub processor_time: Option<ProcessorTime>,
}

impl Report {
    /// Audits a ledger and judges the findings.
    pub fn of(
        header: &Header,
        entries: &[Entry],
        partial: bool,
        processor_time: Option<ProcessorTime>,
    ) -> Self {
        let findings = Audit::of(header, entries);
        let Judgement { verdict, reasons } = judge(header, &findings, partial);
        Self {
            scenario: header.scenario.clone(),
            seed: header.seed,
            plan: header.plan_hash.clone(),
            verdict,
            reasons,
            partial,
            length: header.duration,
            findings,
            processor_time,
        }
    }

    /// Returns the report as indented JSON.
    pub fn json(&self) -> String {
        // The report holds numbers, texts and lists only, all of which JSON can represent.
        serde_json::to_string_pretty(self).unwrap_or_default()
    }
}
