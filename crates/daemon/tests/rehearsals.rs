//! Short rehearsals of birchhubd that must violate none of the rules. No level of service is required, and time limits
//! have enough slack for pauses of the test machine.
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

fn run_rehearsal(name: &str, faults: &str) -> Report {
    let text = format!("name = \"{name}\"\n{DEPLOYMENT}\n{faults}");
    let scenario = Scenario::read(name, &text).expect("a scenario");
    let plan = Plan::generate(&scenario, 11, name, &text).expect("a plan");
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
        "half of the RPCs or fewer were served: {}",
        report.text()
    );
    let _ = std::fs::remove_dir_all(out);
    report
}

/// Two faults during a drain: half of a rack is stopped while a deploy drains its zone, and other load takes half of the
/// processor time of the rest.
#[test]
fn overlapping_faults_during_a_drain_violate_no_rule() {
    let report = run_rehearsal(
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
        (
            report.findings.cold_starts.len(),
            report.findings.counts.collapsed
        ),
        (4, 0)
    );
}

/// A zone crashes and all its backends restart at once in slow start, and a proxy is killed with RPCs in flight: no backend
/// collapses under load, and no request is executed twice.
#[test]
fn loss_of_a_zone_and_a_proxy_violates_no_rule() {
    let report = run_rehearsal(
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
            report.findings.cold_starts.len(),
            counts.collapsed,
            counts.double_executions
        ),
        (4, 0, 0)
    );
    assert!(
        counts.unreachable > 0,
        "no client tried to reach the killed proxy: {}",
        report.text()
    );
}
