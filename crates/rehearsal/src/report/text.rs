//! The report as text for the terminal.
use super::Report;
use std::fmt::Write;

/// Maximum number of reasons in the text; the JSON report has all of them.
const MAX_REASONS: usize = 10;

impl Report {
    /// Returns the report as text for the terminal.
    pub fn text(&self) -> String {
        let mut text = String::new();
        self.write_verdict(&mut text);
        self.write_service(&mut text);
        self.write_counts(&mut text);
        self.write_slow_start(&mut text);
        self.write_lateness(&mut text);
        text
    }

    fn write_verdict(&self, text: &mut String) {
        let partial = if self.partial {
            ", PARTIAL: stopped before its end"
        } else {
            ""
        };
        let _ = writeln!(
            text,
            "{}  {} (seed {}, plan {}){partial}",
            self.verdict.word(),
            self.scenario,
            self.seed,
            self.plan
        );
        for reason in self.reasons.iter().take(MAX_REASONS) {
            let _ = writeln!(text, "  {reason}");
        }
        if self.reasons.len() > MAX_REASONS {
            let more = self.reasons.len() - MAX_REASONS;
            let _ = writeln!(text, "  and {more} more, in report.json");
        }
    }

    fn write_service(&self, text: &mut String) {
        let service = &self.findings.service;
        let _ = writeln!(
            text,
            "  service {:.4}  worst 10 s {:.4} (from {:.0} s)  latency p50 {:.1} ms, p99 {:.1} ms, p99.9 {:.1} ms",
            service.overall,
            service.worst_10s,
            service.worst_10s_from,
            service.latency.median * 1e3,
            service.latency.percentile_99 * 1e3,
            service.latency.percentile_99_9 * 1e3
        );
        for (kind, parts) in [("method", &service.methods), ("tenant", &service.tenants)] {
            let shares: Vec<_> = parts
                .iter()
                .filter_map(|named| Some(format!("{} {:.4}", named.name, named.share?)))
                .collect();
            if !shares.is_empty() {
                let _ = writeln!(text, "  by {kind}: {}", shares.join("  "));
            }
        }
    }

    fn write_counts(&self, text: &mut String) {
        let counts = &self.findings.counts;
        let _ = writeln!(
            text,
            "  {} RPCs in {} tries: {} ok, {} pushed back, {} aborted, {} lost with a killed proxy, {} unreachable, {} hung up",
            counts.rpcs,
            counts.client_requests,
            counts.ok,
            counts.rejected,
            counts.aborted,
            counts.lost_with_proxy,
            counts.unreachable,
            counts.cancelled
        );
        let _ = writeln!(
            text,
            "  {} picks, {} turned away, {} withdrawn; {} runs, {} repeated where allowed, {} repeats dropped, {} double runs",
            counts.attempts,
            counts.attempts_rejected,
            counts.attempts_cancelled,
            counts.executions,
            counts.repeated_executions,
            counts.duplicates_dropped,
            counts.double_executions
        );
    }

    fn write_slow_start(&self, text: &mut String) {
        let cold_starts = &self.findings.cold_starts;
        let peak_overload = cold_starts
            .iter()
            .map(|start| start.peak_overload)
            .fold(0.0, f64::max);
        let _ = writeln!(
            text,
            "  latest new work after a drain was told: {:.0} ms; cold nodes {}, pushed to {:.0}% of their fall at most; {} fell",
            self.findings.max_delay_after_notification * 1e3,
            cold_starts.len(),
            peak_overload * 100.0,
            self.findings.counts.collapsed
        );
    }

    fn write_lateness(&self, text: &mut String) {
        let clients = self.findings.client_lateness;
        let backends = self.findings.emulator_lateness;
        let processor_time = self.processor_time.map_or(String::new(), |time| {
            format!(
                "; processor time {:.1} s, its proxies {:.1} s",
                time.seconds, time.proxies
            )
        });
        let _ = writeln!(
            text,
            "  the kit itself: late by {:.2} ms (median), {:.2} ms (p99), {:.1} ms (worst); stand-ins {:.2} ms (p99){processor_time}",
            clients.median * 1e3,
            clients.percentile_99 * 1e3,
            clients.worst * 1e3,
            backends.percentile_99 * 1e3
        );
    }
}
