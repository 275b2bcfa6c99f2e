//! Verdicts by rules, targets and the lateness of the emulated clients and backends.
use birchhub_audit::event::{Admission, ReceivedAttempt};
use birchhub_audit::{Entry, Event, Header, RequestOutcome};
use birchhub_rehearsal::{Plan, Report, Scenario, Verdict, settings, shipped};

fn header() -> Header {
    let text = shipped::find("calm").expect("it ships").text;
    let scenario = Scenario::read("calm", text).expect("a scenario");
    let plan = Plan::generate(&scenario, 1, "calm", text).expect("a plan");
    settings::header(&scenario, &plan)
}

fn rpc_events(due: f64, rpc: u32, method: u8, answered: Option<f64>) -> Vec<Entry> {
    let request_id = u64::from(rpc) << 8;
    let mut entries = vec![
        Entry {
            at: due,
            event: Event::Arrival {
                rpc,
                method,
                tenant: 0,
                within_quota: true,
            },
        },
        Entry {
            at: due,
            event: Event::RequestSent {
                request_id,
                rpc,
                proxy: 0,
                client_timeout: 0.6,
            },
        },
    ];
    entries.extend(answered.map(|at| Entry {
        at,
        event: Event::RequestEnded {
            request_id,
            outcome: RequestOutcome::Ok,
        },
    }));
    entries
}

/// Judges a hundred RPCs in time and further events; `late` is the lateness of each request of the clients, in seconds.
fn verdict(late: f32, more: Vec<Entry>, partial: bool) -> (Verdict, Vec<String>) {
    let mut entries: Vec<_> = (0..100)
        .flat_map(|n| rpc_events(f64::from(n) * 0.1, n, 0, Some(f64::from(n) * 0.1 + 0.05)))
        .collect();
    entries.extend((0..100).map(|n| Entry {
        at: f64::from(n) * 0.1,
        event: Event::ClientLate { delay: late },
    }));
    entries.extend(more);
    entries.sort_by(|a, b| a.at.total_cmp(&b.at));
    let report = Report::of(&header(), &entries, partial, None);
    assert_eq!(
        report.text().lines().next().map(|line| &line[..4]),
        Some(report.verdict.word())
    );
    (report.verdict, report.reasons)
}

/// A second attempt of an RPC that must not run twice.
fn second_attempt(rpc: u32) -> Vec<Entry> {
    let received = |at: f64, attempt_id| Entry {
        at,
        event: Event::AttemptReceived(ReceivedAttempt {
            incarnation: 1,
            attempt_id,
            request_id: u64::from(rpc) << 8,
            proxy: 0,
            first_byte_at: at,
            work: 0.0,
            overload: 0.0,
            admission: Admission::Admitted,
        }),
    };
    [
        rpc_events(20.0, rpc, 1, Some(20.2)),
        vec![received(20.01, 1), received(20.1, 2)],
    ]
    .concat()
}

#[test]
fn run_without_a_violation_passes() {
    assert_eq!(verdict(0.001, vec![], false), (Verdict::Pass, vec![]));
}

#[test]
fn missed_target_fails_and_reports_both_figures() {
    let missed = (500..520)
        .flat_map(|rpc| rpc_events(15.0, rpc, 0, Some(15.5)))
        .collect();
    let (verdict, reasons) = verdict(0.001, missed, false);
    assert_eq!(
        (verdict, reasons.as_slice()),
        (
            Verdict::Fail,
            &["bar: service is 0.8333, expected 0.95 or more".to_owned()][..]
        )
    );
}

#[test]
fn late_clients_void_only_the_timing_dependent_rules() {
    let late_response = rpc_events(20.0, 200, 0, Some(20.7));
    let (on_time, _) = verdict(0.001, late_response.clone(), false);
    let (late, reasons) = verdict(0.02, late_response, false);
    assert_eq!((on_time, late), (Verdict::Fail, Verdict::Void));
    assert!(
        reasons[0].contains("too busy") && reasons.len() == 1,
        "{reasons:?}"
    );
    let (late, reasons) = verdict(0.02, second_attempt(200), false);
    assert!(
        late == Verdict::Fail && reasons[0].starts_with("rule 2: rpc 200"),
        "{reasons:?}"
    );
}

/// Late emulated backends look like slow ones, which is no fault of the proxies.
#[test]
fn late_emulated_backends_void_the_verdict() {
    let missed = || {
        (500..520)
            .flat_map(|rpc| rpc_events(15.0, rpc, 0, Some(15.5)))
            .collect::<Vec<_>>()
    };
    let emulator_late = |by| {
        (0..50).map(move |n| Entry {
            at: f64::from(n) * 0.1,
            event: Event::EmulatorLate { delay: by },
        })
    };
    assert_eq!(
        verdict(
            0.001,
            missed().into_iter().chain(emulator_late(0.001)).collect(),
            false
        )
        .0,
        Verdict::Fail
    );
    let (late, reasons) = verdict(
        0.001,
        missed().into_iter().chain(emulator_late(0.05)).collect(),
        false,
    );
    assert!(
        late == Verdict::Void && reasons[0].contains("stand-in nodes ended 50.0 ms late"),
        "{reasons:?}"
    );
}

#[test]
fn stopped_run_is_void_unless_a_rule_is_violated() {
    assert_eq!(verdict(0.001, vec![], true).0, Verdict::Void);
    assert_eq!(verdict(0.001, second_attempt(200), true).0, Verdict::Fail);
}
