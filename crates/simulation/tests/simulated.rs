//! Rehearsals in simulated time: the same ledger for a seed, and the rules in all shipped scenarios and at size.
use birchhub_audit::{Event, RequestOutcome};
use birchhub_rehearsal::{Plan, Report, Scenario, Verdict, shipped};
use birchhub_simulation::{Outcome, simulate};

fn play(text: &str, seed: u64) -> Outcome {
    let scenario = Scenario::read("s", text).expect("a scenario");
    let plan = Plan::generate(&scenario, seed, "s", text).expect("a plan");
    simulate(&scenario, &plan).expect("a simulation")
}

fn report(outcome: &Outcome) -> Report {
    Report::of(&outcome.header, &outcome.entries, false, None)
}

#[test]
fn a_seed_gives_the_same_ledger() {
    for name in ["overlap", "pauses"] {
        let text = shipped::find(name).expect("it ships").text;
        let (first, second, other) = (play(text, 1), play(text, 1), play(text, 2));
        assert_eq!(first.entries, second.entries, "{name}");
        assert_ne!(first.entries, other.entries, "{name}");
    }
}

/// Every RPC that was sent has its answers in the ledger, whatever faults it met.
#[test]
fn every_shipped_scenario_keeps_the_rules_and_every_attempt_ends() {
    for shipped in shipped::ALL {
        let outcome = play(shipped.text, 3);
        let report = report(&outcome);
        assert_eq!(report.verdict, Verdict::Pass, "{}", report.text());
        let count =
            |fits: fn(&Event) -> bool| outcome.entries.iter().filter(|e| fits(&e.event)).count();
        let sent = count(|e| matches!(e, Event::RequestSent { .. }));
        assert_eq!(
            sent,
            count(|e| matches!(e, Event::RequestEnded { .. })),
            "{}",
            shipped.name
        );
        assert_eq!(
            count(|e| matches!(
                e,
                Event::RequestEnded {
                    outcome: RequestOutcome::TimedOut,
                    ..
                }
            )),
            0,
            "{}",
            shipped.name
        );
        let got = count(|e| matches!(e, Event::AttemptReceived { .. }));
        assert_eq!(
            got,
            count(|e| matches!(e, Event::AttemptEnded { .. })),
            "{}",
            shipped.name
        );
    }
}

/// A rolling deploy and the death of many of two thousand nodes.
const LARGE: &str = r#"
name = "large"
about = "Size."
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
fn rules_hold_before_two_thousand_nodes() {
    let outcome = play(LARGE, 1);
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
