//! Tests of simulated rehearsals: a seed determines the ledger, and no rule is violated in the shipped scenarios or in a
//! large deployment.
use birchhub_audit::{Entry, Event, RequestOutcome};
use birchhub_rehearsal::{Plan, Report, Scenario, Verdict, shipped};
use birchhub_simulation::{Outcome, simulate};

fn simulate_scenario(text: &str, seed: u64) -> Outcome {
    let scenario = Scenario::read("s", text).expect("a scenario");
    let plan = Plan::generate(&scenario, seed, "s", text).expect("a plan");
    simulate(&scenario, &plan).expect("a simulation")
}

fn report(outcome: &Outcome) -> Report {
    Report::of(&outcome.header, &outcome.entries, false, None)
}

#[test]
fn a_seed_determines_the_ledger() {
    for name in ["overlap", "pauses"] {
        let text = shipped::find(name).expect("it ships").text;
        let (first, second, other) = (
            simulate_scenario(text, 1),
            simulate_scenario(text, 1),
            simulate_scenario(text, 2),
        );
        assert_eq!(first.entries, second.entries, "{name}");
        assert_ne!(first.entries, other.entries, "{name}");
    }
}

/// Guards against requests and attempts that a fault leaves without an end in the ledger, and against clients that time out.
#[test]
fn shipped_scenarios_violate_no_rule_and_every_attempt_ends() {
    for shipped in shipped::ALL {
        let outcome = simulate_scenario(shipped.text, 3);
        let report = report(&outcome);
        assert_eq!(report.verdict, Verdict::Pass, "{}", report.text());
        let count = |is_counted: fn(&Event) -> bool| {
            let counted = |entry: &&Entry| is_counted(&entry.event);
            outcome.entries.iter().filter(counted).count()
        };
        let sent = count(|event| matches!(event, Event::RequestSent { .. }));
        assert_eq!(
            sent,
            count(|event| matches!(event, Event::RequestEnded { .. })),
            "{}",
            shipped.name
        );
        assert_eq!(
            count(|event| matches!(
                event,
                Event::RequestEnded {
                    outcome: RequestOutcome::TimedOut,
                    ..
                }
            )),
            0,
            "{}",
            shipped.name
        );
        let received = count(|event| matches!(event, Event::AttemptReceived { .. }));
        assert_eq!(
            received,
            count(|event| matches!(event, Event::AttemptEnded { .. })),
            "{}",
            shipped.name
        );
    }
}

/// A rolling deployment and the crash of half of a zone, with 2,000 nodes.
const LARGE: &str = r#"
name = "large"
about = "A rolling deployment and a mass crash with 2,000 nodes."
length = "6s"
[fleet]
zones = ["a", "b"]
racks = 10
[[fleet.machine]]
name = "m"
count = 2000
[[method]]
name = "read"
kind = "idempotent"
work = "40ms"
target = "250ms"
deadline = "600ms"
[[method]]
name = "book"
kind = "non-idempotent"
work = "40ms"
target = "250ms"
deadline = "600ms"
[proxies]
count = 8
[traffic]
rate = 10000
[[trouble]]
name = "deploy"
kind = "deploy"
at = "500ms"
batch = 100
every = "500ms"
lead = "300ms"
stop-after = "1s"
nodes = { zone = "a" }
[[trouble]]
name = "deaths"
kind = "crash"
at = "3s"
for = "1s"
nodes = { zone = "b", share = 0.5 }
"#;

#[test]
fn rules_hold_with_two_thousand_nodes() {
    let outcome = simulate_scenario(LARGE, 1);
    let report = report(&outcome);
    assert_eq!(report.verdict, Verdict::Pass, "{}", report.text());
    assert!(
        report.findings.cold_starts.len() > 1000,
        "{}",
        report.text()
    );
    assert!(
        report.findings.counts.ok * 10 > report.findings.counts.rpcs * 8,
        "{}",
        report.text()
    );
}
