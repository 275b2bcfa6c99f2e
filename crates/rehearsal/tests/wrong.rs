//! Proxies that break a rule on purpose fail a rehearsal by that rule, and one that keeps the rules passes the same one.
//! Judged by rules alone: time limits have a slack that no noise of the machine uses up.
use birchhub_audit::Rule;
use birchhub_rehearsal::{Options, Plan, Report, Scenario, Verdict, rehearse};
use std::path::PathBuf;

const SCENARIO: &str = r#"
name = "wrong"
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
        "birchhub-wrong-{}-{misbehaviour}",
        std::process::id()
    ));
    std::fs::create_dir_all(&folder).expect("a folder");
    let program = folder.join(misbehaviour);
    std::os::unix::fs::symlink(env!("CARGO_BIN_EXE_birchhub-faulty-proxy"), &program)
        .expect("a link");
    let scenario = Scenario::read("wrong.toml", SCENARIO).expect("a scenario");
    let plan = Plan::generate(&scenario, 3, "wrong.toml", SCENARIO).expect("a plan");
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

/// It fails, and only by this rule.
fn check_failure(misbehaviour: &str, rule: Rule, what: &str) {
    let report = run_with(misbehaviour);
    assert_eq!(report.verdict, Verdict::Fail, "{}", report.text());
    assert!(
        report.findings.violations.iter().all(|b| b.rule == rule),
        "{}",
        report.text()
    );
    assert!(report.reasons[0].contains(what), "{}", report.text());
}

#[test]
fn a_proxy_that_keeps_the_rules_passes() {
    let report = run_with("honest");
    assert_eq!(report.verdict, Verdict::Pass, "{}", report.text());
    assert!(
        report.findings.counts.aborted > 0,
        "no attempt was reset: {}",
        report.text()
    );
}

#[test]
fn a_proxy_that_retries_what_may_have_run_fails_by_rule_2() {
    check_failure("resends", Rule::NoDuplicateEffect, "ran 2 times");
}

#[test]
fn a_proxy_that_ignores_drains_fails_by_rule_3() {
    check_failure("ignores-drains", Rule::Draining, "sent to z-0-0");
}

#[test]
fn a_proxy_that_overloads_nodes_in_slow_start_fails_by_rule_4() {
    check_failure("floods-cold", Rule::SlowStart, "z-0-1: pushed over");
}
