//! Faulty proxies: each violates one rule and fails a rehearsal by that rule alone; one that keeps the rules passes it.
//! The time limits are too wide for a busy machine to exceed them, so only the rules decide.
use birchhub_audit::Rule;
use birchhub_rehearsal::{Options, Plan, Report, Scenario, Verdict, rehearse};
use std::path::PathBuf;

const SCENARIO: &str = r#"
name = "faulty-proxy"
about = "One drain, one cold node, some resets."
length = "7s"

[rules]
slack = "1500ms"
kit-late = "60s"
cold-for = "20s"

[fleet]
zones = ["z"]

[[fleet.machine]]
name = "m"
count = 4
cores = 2

[[method]]
name = "order"
kind = "non-idempotent"
work = "30ms"
spread = "constant"
target = "2s"
deadline = "3s"

[proxies]
count = 2

[traffic]
rate = 80

[list]
lag = "10ms"

[[trouble]]
name = "resets"
kind = "reset"
at = "100ms"
for = "900ms"
share = 0.3
nodes = {}

[[trouble]]
name = "drain"
kind = "deploy"
at = "1s"
batch = 1
every = "1s"
lead = "4s"
stop-after = "4s"
nodes = { named = ["z-0-0"] }

[[trouble]]
name = "cold"
kind = "crash"
at = "1s"
for = "200ms"
nodes = { named = ["z-0-1"] }
"#;

/// Runs the rehearsal with the misbehaviour of this name.
fn run_with(misbehaviour: &str) -> Report {
    let folder = std::env::temp_dir().join(format!(
        "birchhub-faulty-proxy-{}-{misbehaviour}",
        std::process::id()
    ));
    std::fs::create_dir_all(&folder).expect("a folder");
    let program = folder.join(misbehaviour);
    std::os::unix::fs::symlink(env!("CARGO_BIN_EXE_birchhub-faulty-proxy"), &program)
        .expect("a link");
    let scenario = Scenario::read("faulty-proxy.toml", SCENARIO).expect("a scenario");
    let plan = Plan::generate(&scenario, 3, "faulty-proxy.toml", SCENARIO).expect("a plan");
    let out: PathBuf = folder.join("out");
    let options = Options {
        seed: 3,
        out,
        program,
        progress: false,
    };
    let report = rehearse(&scenario, &plan, &options).expect("a report");
    let _ = std::fs::remove_dir_all(&folder);
    report
}

/// Checks that a run fails, and that every violation is one of this rule.
fn check_violation(misbehaviour: &str, rule: Rule, what: &str) {
    let report = run_with(misbehaviour);
    assert_eq!(report.verdict, Verdict::Fail, "{}", report.text());
    assert!(
        report
            .findings
            .violations
            .iter()
            .all(|violation| violation.rule == rule),
        "{}",
        report.text()
    );
    assert!(report.reasons[0].contains(what), "{}", report.text());
}

#[test]
fn proxy_that_keeps_every_rule_passes() {
    let report = run_with("compliant");
    assert_eq!(report.verdict, Verdict::Pass, "{}", report.text());
    assert!(
        report.findings.counts.aborted > 0,
        "no attempt was reset: {}",
        report.text()
    );
}

#[test]
fn proxy_that_retries_a_non_idempotent_rpc_violates_rule_2() {
    check_violation("resends", Rule::NoDuplicateEffect, "ran 2 times");
}

#[test]
fn proxy_that_ignores_draining_violates_rule_3() {
    check_violation("ignores-drains", Rule::Draining, "sent to z-0-0");
}

#[test]
fn proxy_that_overloads_a_backend_in_slow_start_violates_rule_4() {
    check_violation("floods-cold", Rule::SlowStart, "z-0-1: pushed over");
}
