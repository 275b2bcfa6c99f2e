//! Compatibility of the ledger format. `fixtures/ledger-1` and `fixtures/records.jsonl` were written by the version of
//! 2026-12-02. Its ledgers stay readable, and new ones are identical byte for byte.
use birchhub_audit::event::{Admission, AttemptEnd, ProxyEnd, ReceivedAttempt};
use birchhub_audit::header::{Backend, Fault, ServiceTargets};
use birchhub_audit::timeline::Timeline;
use birchhub_audit::{
    Audit, DeduplicationScope, EndpointState, Entry, Event, Header, Idempotency, Method,
    RequestOutcome, RuleParameters, ledger,
};

const LEDGER: &[u8] = include_bytes!("fixtures/ledger-1");
const RECORDS: &str = include_str!("fixtures/records.jsonl");
const TIMELINE: &str = include_str!("fixtures/timeline.txt");
const FINDINGS: &str = include_str!("fixtures/findings.json");
const MAGIC: &str = "birchhub-ledger 1";
const EVENT_KINDS: u8 = 21;
const OUTCOME_KINDS: u8 = 8;
/// Index of the event variant that holds an outcome.
const REQUEST_ENDED: u8 = 2;

fn method(name: &str, idempotency: Idempotency) -> Method {
    Method {
        name: name.into(),
        idempotency,
        latency_target: 0.2,
        deadline: 0.5,
        utility: 2.0,
        late_utility: 0.25,
    }
}

fn rules() -> RuleParameters {
    RuleParameters {
        drain_grace: 0.3,
        slack: 0.05,
        overload_window: 1.5,
        max_attempts: 3,
        hedging_allowed: true,
        over_quota_utility: 0.125,
        max_lateness: 0.01,
    }
}

fn deduplicated(scope: DeduplicationScope) -> Idempotency {
    Idempotency::Deduplicated { scope, window: 4.0 }
}

fn header() -> Header {
    Header {
        scenario: "every-record".into(),
        seed: 7,
        plan_hash: "0123abcd".into(),
        duration: 30.0,
        rules: rules(),
        targets: ServiceTargets {
            service: Some(0.99),
            worst_10s: Some(0.98),
            worst_method: Some(0.97),
            worst_tenant: None,
        },
        methods: vec![
            method("read", Idempotency::Idempotent),
            method("book", Idempotency::NonIdempotent),
            method("log", deduplicated(DeduplicationScope::All)),
            method("note", deduplicated(DeduplicationScope::Zone)),
            method("mark", deduplicated(DeduplicationScope::Rack)),
        ],
        tenants: vec!["acme".into()],
        proxies: vec!["p0".into(), "p1".into()],
        backends: vec![Backend {
            name: "n0".into(),
            zone: 1,
            rack: 2,
        }],
        faults: vec![Fault {
            name: "outage".into(),
            kind: "crash".into(),
            from: 1.0,
            until: 2.0,
            backends: vec![0],
            proxies: vec![1],
        }],
    }
}

fn outcomes() -> [RequestOutcome; 9] {
    [
        RequestOutcome::Ok,
        RequestOutcome::Rejected(None),
        RequestOutcome::Rejected(Some(0.5)),
        RequestOutcome::Aborted(503),
        RequestOutcome::Lost,
        RequestOutcome::Unreachable,
        RequestOutcome::TimedOut,
        RequestOutcome::Cancelled,
        RequestOutcome::Malformed,
    ]
}

fn backend_events() -> Vec<Event> {
    let received = |admission| {
        Event::AttemptReceived(ReceivedAttempt {
            incarnation: 3,
            attempt_id: 4,
            request_id: 5,
            proxy: 1,
            first_byte_at: 0.75,
            work: 0.125,
            overload: 0.0625,
            admission,
        })
    };
    let ended = |how| Event::AttemptEnded { attempt_id: 4, how };
    vec![
        Event::BackendStarted {
            incarnation: 3,
            backend: 2,
            cold: true,
            warm_capacity: 1.5,
        },
        Event::BackendDraining { incarnation: 3 },
        Event::BackendEnded { incarnation: 3 },
        Event::BackendCollapsed { incarnation: 3 },
        received(Admission::Admitted),
        received(Admission::Rejected),
        received(Admission::Dropped),
        received(Admission::Failed),
        Event::ExecutionStarted { attempt_id: 4 },
        Event::DuplicateDropped { attempt_id: 4 },
        Event::ExecutionFinished { attempt_id: 4 },
        ended(AttemptEnd::Replied),
        ended(AttemptEnd::Cancelled),
        ended(AttemptEnd::Broken),
    ]
}

fn endpoint_list_events() -> Vec<Event> {
    let states = [
        EndpointState::Ready,
        EndpointState::Draining,
        EndpointState::Gone,
    ];
    let changed = states.map(|state| Event::EndpointChanged {
        backend: 2,
        incarnation: 3,
        state,
    });
    let notified = states.map(|state| Event::ProxyNotified {
        proxy: 1,
        backend: 2,
        incarnation: 3,
        state,
    });
    changed.into_iter().chain(notified).collect()
}

fn proxy_events() -> Vec<Event> {
    let ends = [
        ProxyEnd::Killed,
        ProxyEnd::Stopped,
        ProxyEnd::Forced,
        ProxyEnd::Crashed,
        ProxyEnd::Over,
    ];
    let mut events = vec![
        Event::ProxyStarted { proxy: 1 },
        Event::ProxyReady { proxy: 1 },
    ];
    events.extend(ends.map(|how| Event::ProxyEnded { proxy: 1, how }));
    events
}

/// Returns every event variant with every value of its enums, a quarter of a second apart.
fn entries() -> Vec<Entry> {
    let mut events = vec![
        Event::Arrival {
            rpc: 9,
            method: 2,
            tenant: 1,
            within_quota: true,
        },
        Event::RequestSent {
            request_id: 5,
            rpc: 9,
            proxy: 1,
            client_timeout: 0.5,
        },
    ];
    events.extend(outcomes().map(|outcome| Event::RequestEnded {
        request_id: 5,
        outcome,
    }));
    events.extend(backend_events());
    events.extend(endpoint_list_events());
    events.extend(proxy_events());
    events.extend([
        Event::Fault {
            index: 0,
            begins: true,
        },
        Event::ClientLate { delay: 0.25 },
        Event::EmulatorLate { delay: 0.5 },
        Event::TimeoutForwarded {
            attempt_id: 77,
            seconds: 0.5,
        },
    ]);
    let timed = |(number, event)| Entry {
        at: number as f64 * 0.25,
        event,
    };
    events.into_iter().enumerate().map(timed).collect()
}

/// Reads a ledger with the fixture's header and one record, whose event has these bytes.
fn with_record(event: &[u8]) -> Result<ledger::Ledger, ledger::LedgerError> {
    let mut file = format!("{MAGIC}\n{}\n", serde_json::to_string(&header()).unwrap()).into_bytes();
    let record = [&1.0_f64.to_le_bytes(), event].concat();
    file.extend((record.len() as u16).to_le_bytes());
    file.extend(record);
    ledger::read(file.as_slice())
}

#[test]
fn a_stored_ledger_is_decoded_correctly() {
    let stored = ledger::read(LEDGER).expect("a ledger");
    assert!(!stored.truncated, "the fixture is complete");
    assert_eq!(stored.header, header());
    assert_eq!(stored.entries, entries());
}

#[test]
fn a_new_ledger_is_identical_to_the_stored_one() {
    let mut written = Vec::new();
    let mut writer = ledger::Writer::new(&mut written, &header()).expect("a header");
    for entry in entries() {
        writer.write(&entry).expect("a record");
    }
    writer.flush().expect("a flush");
    assert!(written.starts_with(format!("{MAGIC}\n").as_bytes()));
    assert_eq!(written, LEDGER);
}

/// The ledger file contains no field names, but other serde formats of an entry do.
#[test]
fn records_keep_their_names_and_the_order_of_their_fields() {
    let names: Vec<_> = entries()
        .iter()
        .map(|entry| serde_json::to_string(entry).expect("JSON"))
        .collect();
    assert_eq!(names, RECORDS.lines().collect::<Vec<_>>());
}

#[test]
fn the_head_keeps_its_names_and_the_order_of_its_fields() {
    let line = LEDGER
        .split(|byte| *byte == b'\n')
        .nth(1)
        .expect("a header");
    let line = std::str::from_utf8(line).expect("text");
    assert_eq!(serde_json::to_string(&header()).expect("JSON"), line);
    for name in [
        "non-idempotent",
        "\"group\":\"all\"",
        "\"group\":\"zone\"",
        "\"group\":\"rack\"",
        "\"worst-10s\"",
    ] {
        assert!(line.contains(name), "{name} is missing: {line}");
    }
}

/// A new variant of an event or outcome must be added at the end of its enum and to the fixture, and `EVENT_KINDS` or
/// `OUTCOME_KINDS` must be incremented.
#[test]
fn the_fixture_has_every_kind_of_record_and_outcome() {
    let record = |event: &Event| event_bytes(event);
    let kinds: std::collections::BTreeSet<u8> = entries()
        .iter()
        .map(|entry| record(&entry.event)[0])
        .collect();
    assert_eq!(kinds, (0..EVENT_KINDS).collect());
    let outcome_kinds: std::collections::BTreeSet<u8> = outcomes()
        .iter()
        .map(|outcome| {
            record(&Event::RequestEnded {
                request_id: 5,
                outcome: *outcome,
            })[2]
        })
        .collect();
    assert_eq!(outcome_kinds, (0..OUTCOME_KINDS).collect());
    let zeros = [0; 32];
    assert!(with_record(&[&[EVENT_KINDS], &zeros[..]].concat()).is_err());
    assert!(with_record(&[&[REQUEST_ENDED, 5, OUTCOME_KINDS], &zeros[..]].concat()).is_err());
    assert!(with_record(&[REQUEST_ENDED, 5, OUTCOME_KINDS - 1]).is_ok());
}

/// Returns the bytes of an event in its record, after the length prefix and the time.
fn event_bytes(event: &Event) -> Vec<u8> {
    let mut file = Vec::new();
    let mut writer = ledger::Writer::new(&mut file, &header()).expect("a header");
    let start = {
        let mut empty = Vec::new();
        ledger::Writer::new(&mut empty, &header()).expect("a header");
        empty.len()
    };
    let entry = Entry {
        at: 1.0,
        event: event.clone(),
    };
    writer.write(&entry).expect("a record");
    file.split_off(start + size_of::<u16>() + size_of::<f64>())
}

/// `fixtures/timeline.txt` is the output of `birchhub ledger show` for the stored ledger on 2026-12-03.
#[test]
fn the_timeline_of_a_stored_ledger_keeps_its_text() {
    let header = header();
    let entries = entries();
    let timeline = Timeline::new(&header, &entries);
    let lines: Vec<_> = entries.iter().map(|entry| timeline.line(entry)).collect();
    assert_eq!(lines, TIMELINE.lines().collect::<Vec<_>>());
}

/// `fixtures/findings.json` is the part of `report.json` that the audit of the stored ledger produced on 2026-12-03.
#[test]
fn the_findings_keep_their_keys_and_the_order_of_their_fields() {
    let findings = Audit::of(&header(), &entries());
    let json = serde_json::to_string_pretty(&findings).expect("JSON");
    assert_eq!(json, FINDINGS.trim_end());
}
