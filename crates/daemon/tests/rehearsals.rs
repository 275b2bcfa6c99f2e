//! Short rehearsals of birchhubd itself, judged by the rules alone: time limits have a slack that no noise of this machine
//! uses up, and there are no bars on service.
use birchhub_rehearsal::{Options, Plan, Report, Scenario, Verdict, rehearse};

const DEPLOYMENT: &str = r#"
about = "For the tests of the daemon."
length = "10s"

[rules]
slack = "1500ms"
kit-late = "60s"

[fleet]
zones = ["a", "b"]
racks = 2

[[fleet.machine]]
name = "m"
count = 8
cores = 2

[[method]]
name = "status"
kind = "idempotent"
work = "20ms"
target = "250ms"
deadline = "800ms"

[[method]]
name = "order"
kind = "non-idempotent"
work = "30ms"
target = "250ms"
deadline = "800ms"
utility = 4.0

[[method]]
name = "upload"
kind = "deduplicated"
group = "rack"
window = "4s"
work = "30ms"
target = "250ms"
deadline = "800ms"

[proxies]
count = 2

[clients]
retries = 2

[traffic]
rate = 150
"#;

fn play(name: &str, troubles: &str) -> Report {
    let text = format!("name = \"{name}\"\n{DEPLOYMENT}\n{troubles}");
    let scenario = Scenario::read(name, &text).expect("a scenario");
    let plan = Plan::draw(&scenario, 11, name, &text).expect("a plan");
    let out =
        std::env::temp_dir().join(format!("birchhubd-rehearsal-{}-{name}", std::process::id()));
    let program = env!("CARGO_BIN_EXE_birchhubd").into();
    let options = Options {
        seed: 11,
        out: out.clone(),
        program,
        progress: false,
    };
    let report = rehearse(&scenario, &plan, &options).expect("a report");
    assert_eq!(report.verdict, Verdict::Pass, "{}", report.text());
    let counts = &report.findings.counts;
    assert!(
        counts.ok > counts.rpcs / 2,
        "hardly anything was served: {}",
        report.text()
    );
    let _ = std::fs::remove_dir_all(out);
    report
}

/// Two troubles over a drain: half of a rack stands still while a deploy drains it, and a neighbour takes part of the rest.
#[test]
fn overlapping_troubles_during_a_drain_keep_the_rules() {
    let report = play(
        "overlap",
        r#"
[[trouble]]
name = "deploy"
kind = "deploy"
at = "1s"
batch = 2
every = "2s"
lead = "2500ms"
stop-after = "3s"
nodes = { zone = "a" }

[[trouble]]
name = "stall"
kind = "stall"
at = "1500ms"
for = "4s"
nodes = { zone = "a", rack = 0, share = 0.5 }

[[trouble]]
name = "neighbour"
kind = "neighbour"
at = "1500ms"
for = "4s"
takes = 0.5
nodes = { zone = "a", without = "stall" }
"#,
    );
    assert_eq!(
        (report.findings.cold.len(), report.findings.counts.fallen),
        (4, 0)
    );
}

/// A zone dies and comes back cold at once, and a proxy is killed with RPCs out: none pushed over, no second run.
#[test]
fn a_zone_and_a_proxy_that_die_keep_the_rules() {
    let report = play(
        "deaths",
        r#"
[[trouble]]
name = "zone"
kind = "crash"
at = "2s"
for = "2s"
nodes = { zone = "b" }

[[trouble]]
name = "proxy"
kind = "proxy-kill"
at = "5s"
back-after = "500ms"
proxies = { count = 1 }

[[trouble]]
name = "resets"
kind = "reset"
at = "7s"
for = "2s"
share = 0.2
nodes = {}
"#,
    );
    let counts = &report.findings.counts;
    assert_eq!(
        (
            report.findings.cold.len(),
            counts.fallen,
            counts.double_runs
        ),
        (4, 0, 0)
    );
    assert!(
        counts.unreachable > 0,
        "nobody met the proxy that was gone: {}",
        report.text()
    );
}
