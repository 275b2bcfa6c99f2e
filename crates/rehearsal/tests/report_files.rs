//! The report of a fixed ledger, compared byte for byte with `report.json`, `report.html` and the printed text as they
//! were first written.
use birchhub_audit::event::{Admission, AttemptEnd, ReceivedAttempt};
use birchhub_audit::{EndpointState, Entry, Event, Header, RequestOutcome};
use birchhub_rehearsal::report::ProcessorTime;
use birchhub_rehearsal::{Plan, Report, Scenario, settings};

const SCENARIO: &str = include_str!("fixtures/report-scenario.toml");

fn header() -> Header {
    let scenario = Scenario::read("report.toml", SCENARIO).expect("a scenario");
    let plan = Plan::generate(&scenario, 7, "report.toml", SCENARIO).expect("a plan");
    settings::header(&scenario, &plan)
}

/// What the client of an RPC records; without an answer it stays open.
fn client_events(number: u32, outcome: Option<RequestOutcome>) -> Vec<Entry> {
    let due = f64::from(number) * 0.1;
    let request_id = u64::from(number) << 8;
    let arrival = Event::Arrival {
        rpc: number,
        method: (number % 2) as u8,
        tenant: 0,
        within_quota: true,
    };
    let sent = Event::RequestSent {
        request_id,
        rpc: number,
        proxy: (number % 2) as u16,
        client_timeout: 0.6,
    };
    let late = Event::ClientLate { delay: 0.0005 };
    let mut entries: Vec<_> = [arrival, sent, late]
        .map(|event| Entry { at: due, event })
        .into();
    entries.extend(outcome.map(|outcome| Entry {
        at: due + 0.05,
        event: Event::RequestEnded {
            request_id,
            outcome,
        },
    }));
    entries
}

/// What the backend records of the only attempt of an RPC.
fn backend_events(number: u32) -> Vec<Entry> {
    let due = f64::from(number) * 0.1;
    let attempt_id = u64::from(number);
    let incarnation = 1 + number % 3;
    let received = Event::AttemptReceived(ReceivedAttempt {
        incarnation,
        attempt_id,
        request_id: u64::from(number) << 8,
        proxy: (number % 2) as u16,
        first_byte_at: due + 0.001,
        work: 0.03,
        overload: if incarnation == 3 { 0.4 } else { 0.0 },
        admission: Admission::Admitted,
    });
    let how = AttemptEnd::Replied;
    [
        (0.002, received),
        (0.003, Event::ExecutionStarted { attempt_id }),
        (0.04, Event::ExecutionFinished { attempt_id }),
        (0.041, Event::AttemptEnded { attempt_id, how }),
        (0.04, Event::EmulatorLate { delay: 0.0007 }),
    ]
    .map(|(after, event)| Entry {
        at: due + after,
        event,
    })
    .into()
}

fn fleet_events() -> Vec<Entry> {
    let started = |at, incarnation, backend, cold| Entry {
        at,
        event: Event::BackendStarted {
            incarnation,
            backend,
            cold,
            warm_capacity: 2.0,
        },
    };
    let draining = EndpointState::Draining;
    let mut entries = vec![
        started(-0.5, 1, 0, false),
        started(-0.5, 2, 1, false),
        started(0.0, 3, 2, true),
        Entry {
            at: 9.0,
            event: Event::BackendDraining { incarnation: 1 },
        },
        Entry {
            at: 9.0,
            event: Event::EndpointChanged {
                backend: 0,
                incarnation: 1,
                state: draining,
            },
        },
    ];
    entries.extend((0..2).map(|proxy| Entry {
        at: 9.01,
        event: Event::ProxyNotified {
            proxy,
            backend: 0,
            incarnation: 1,
            state: draining,
        },
    }));
    entries
}

fn ledger() -> Vec<Entry> {
    let mut entries = fleet_events();
    for number in 0..150 {
        let outcome = match number % 30 {
            7 => Some(RequestOutcome::Rejected(Some(0.5))),
            11 => Some(RequestOutcome::Aborted(502)),
            13 => None,
            _ => Some(RequestOutcome::Ok),
        };
        entries.extend(client_events(number, outcome));
        entries.extend(backend_events(number));
    }
    entries.sort_by(|a, b| a.at.total_cmp(&b.at));
    entries
}

fn check_files(
    partial: bool,
    processor_time: Option<ProcessorTime>,
    expected: [&str; 3],
    name: &str,
) {
    let header = header();
    let entries = ledger();
    let report = Report::of(&header, &entries, partial, processor_time);
    let folder = std::env::temp_dir().join(format!("birchhub-{name}-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    report
        .write(&header, &entries, &folder)
        .expect("a written report");
    let read = |file| std::fs::read_to_string(folder.join(file)).expect("a file");
    let json = read("report.json");
    let html = read("report.html");
    let _ = std::fs::remove_dir_all(&folder);
    assert_eq!(json, expected[0]);
    assert_eq!(html, expected[1]);
    assert_eq!(report.text(), expected[2]);
}

#[test]
fn complete_report_is_written_to_the_same_bytes() {
    let processor_time = ProcessorTime {
        seconds: 1.25,
        proxies: 3.5,
    };
    let expected = [
        include_str!("fixtures/report-complete.json"),
        include_str!("fixtures/report-complete.html"),
        include_str!("fixtures/report-complete.txt"),
    ];
    check_files(false, Some(processor_time), expected, "report-complete");
}

#[test]
fn partial_report_is_written_to_the_same_bytes() {
    let expected = [
        include_str!("fixtures/report-partial.json"),
        include_str!("fixtures/report-partial.html"),
        include_str!("fixtures/report-partial.txt"),
    ];
    check_files(true, None, expected, "report-partial");
}
