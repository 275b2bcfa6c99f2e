//! A ledger for each kind of breach, written by hand: each breach is found exactly once, with its RPC or node named, and
//! the same ledger without it has no findings.
use birchhub_audit::event::{Admission, AttemptEnd};
use birchhub_audit::head::{Backend, ServiceTargets};
use birchhub_audit::{
    Answer, Audit, DeduplicationScope, EndpointState, Entry, Event, Findings, Head, Idempotency,
    Method, Rule, Rules, ledger,
};
use birchhub_audit::{event::End, timeline::Timeline};

const READ: u8 = 0;
const BOOK: u8 = 1;
const LOG: u8 = 2;

fn head() -> Head {
    let method = |name: &str, kind| Method {
        name: name.into(),
        kind,
        target: 0.2,
        deadline: 0.5,
        utility: 2.0,
        late_utility: 0.25,
    };
    let backend = |name: &str, rack| Backend {
        name: name.into(),
        zone: 0,
        rack,
    };
    Head {
        scenario: "by hand".into(),
        seed: 1,
        plan: "0".into(),
        length: 30.0,
        rules: Rules {
            drain_grace: 0.3,
            slack: 0.05,
            overload_window: 1.0,
            max_attempts: 3,
            hedging_allowed: false,
            over_quota_utility: 0.1,
            max_lateness: 0.01,
        },
        targets: ServiceTargets::default(),
        methods: vec![
            method("read", Idempotency::Idempotent),
            method("book", Idempotency::NonIdempotent),
            method(
                "log",
                Idempotency::Deduplicated {
                    group: DeduplicationScope::Rack,
                    window: 1.0,
                },
            ),
        ],
        tenants: vec!["acme".into()],
        proxies: vec!["p0".into(), "p1".into()],
        backends: vec![backend("n0", 0), backend("n1", 0), backend("n2", 1)],
        faults: vec![],
    }
}

/// A ledger under construction.
#[derive(Default)]
struct LedgerBuilder(Vec<Entry>);

impl LedgerBuilder {
    fn new() -> Self {
        let mut builder = Self::default();
        for incarnation in 0..3 {
            builder.at(
                0.0,
                Event::BackendStarted {
                    incarnation,
                    backend: incarnation,
                    cold: false,
                    warm_capacity: 2.0,
                },
            );
        }
        builder
    }
    fn at(&mut self, at: f64, event: Event) -> &mut Self {
        self.0.push(Entry { at, event });
        self
    }
    /// An RPC and its one request, with the same number.
    fn asked(&mut self, at: f64, rpc: u32, method: u8) -> &mut Self {
        self.at(
            at,
            Event::Arrival {
                rpc,
                method,
                tenant: 0,
                within_quota: true,
            },
        );
        self.sent(at, u64::from(rpc), rpc)
    }
    fn sent(&mut self, at: f64, request_id: u64, rpc: u32) -> &mut Self {
        self.at(
            at,
            Event::RequestSent {
                request_id,
                rpc,
                proxy: 0,
                client_timeout: 0.5,
            },
        )
    }
    fn got(
        &mut self,
        at: f64,
        request_id: u64,
        attempt_id: u64,
        incarnation: u32,
        admission: Admission,
    ) -> &mut Self {
        let (proxy, first_byte_at, work, overload) = (0, at, 0.1, 0.0);
        self.at(
            at,
            Event::AttemptReceived {
                incarnation,
                attempt_id,
                request_id,
                proxy,
                first_byte_at,
                work,
                overload,
                admission,
            },
        )
    }
    fn runs(&mut self, at: f64, attempt_id: u64) -> &mut Self {
        self.at(at, Event::ExecutionStarted { attempt_id })
            .at(at + 0.05, Event::ExecutionFinished { attempt_id })
    }
    fn left(&mut self, at: f64, attempt_id: u64, how: AttemptEnd) -> &mut Self {
        self.at(at, Event::AttemptEnded { attempt_id, how })
    }
    fn answered(&mut self, at: f64, request_id: u64, answer: Answer) -> &mut Self {
        self.at(at, Event::RequestAnswered { request_id, answer })
    }
    /// An RPC that succeeds.
    fn good(&mut self, at: f64, rpc: u32, method: u8) -> &mut Self {
        let (request_id, attempt_id) = (u64::from(rpc), u64::from(rpc) + 1000);
        self.asked(at, rpc, method)
            .got(at + 0.001, request_id, attempt_id, 0, Admission::Admitted)
            .runs(at + 0.001, attempt_id);
        self.left(at + 0.06, attempt_id, AttemptEnd::Replied)
            .answered(at + 0.061, request_id, Answer::Ok)
    }
    fn audit(&mut self) -> Findings {
        self.at(
            40.0,
            Event::ProxyEnded {
                proxy: 0,
                how: End::Over,
            },
        );
        self.0.sort_by(|a, b| a.at.total_cmp(&b.at));
        Audit::of(&head(), &self.0)
    }
    /// The one breach.
    fn only(&mut self, rule: Rule, subject: &str, what: &str) {
        let found = self.audit().violations;
        assert_eq!(found.len(), 1, "{found:?}");
        assert_eq!(
            (found[0].rule, found[0].subject.as_str()),
            (rule, subject),
            "{found:?}"
        );
        assert!(found[0].description.contains(what), "{found:?}");
    }
    fn clean(&mut self) -> Findings {
        let findings = self.audit();
        assert_eq!(findings.violations, []);
        findings
    }
}

#[test]
fn a_ledger_without_a_breach_has_no_findings() {
    let mut builder = LedgerBuilder::new();
    for rpc in 0..30 {
        builder.good(f64::from(rpc), rpc, (rpc % 3) as u8);
    }
    let findings = builder.clean();
    assert_eq!(
        (
            findings.counts.rpcs,
            findings.counts.ok,
            findings.counts.executions
        ),
        (30, 30, 30)
    );
    assert_eq!(
        (findings.service.overall, findings.service.worst_10s),
        (1.0, 1.0)
    );
}

#[test]
fn a_late_answer_is_found() {
    LedgerBuilder::new()
        .asked(1.0, 7, READ)
        .answered(1.54, 7, Answer::Aborted(502))
        .clean();
    let mut late = LedgerBuilder::new();
    late.asked(1.0, 7, READ)
        .answered(1.56, 7, Answer::Aborted(502));
    late.only(Rule::OneAnswer, "rpc 7", "60 ms after its deadline");
}

#[test]
fn an_attempt_after_its_client_hung_up_is_found() {
    let hung_up = |first_byte_at: f64| {
        let mut builder = LedgerBuilder::new();
        builder
            .asked(1.0, 7, READ)
            .answered(1.1, 7, Answer::Cancelled)
            .got(first_byte_at, 7, 70, 0, Admission::Admitted)
            .runs(first_byte_at, 70)
            .left(first_byte_at + 0.06, 70, AttemptEnd::Cancelled);
        builder
    };
    hung_up(1.24).clean();
    hung_up(1.26).only(Rule::OneAnswer, "rpc 7", "after its client had hung up");
}

#[test]
fn a_time_that_a_backend_is_told_beyond_what_is_left_is_found() {
    let told = |seconds: f32| {
        let mut builder = LedgerBuilder::new();
        builder.good(1.0, 7, READ).at(
            1.001,
            Event::TimeoutForwarded {
                attempt_id: 1007,
                seconds,
            },
        );
        builder
    };
    told(0.69).clean();
    told(0.71).only(Rule::OneAnswer, "rpc 7", "0.710 s where 0.499 s are left");
}

#[test]
fn a_missing_answer_is_found_unless_its_proxy_was_killed() {
    LedgerBuilder::new()
        .asked(1.0, 7, READ)
        .answered(1.6, 7, Answer::TimedOut)
        .only(Rule::OneAnswer, "rpc 7", "no answer");
    LedgerBuilder::new()
        .asked(1.0, 7, READ)
        .only(Rule::OneAnswer, "rpc 7", "no answer");
    LedgerBuilder::new()
        .asked(1.0, 7, BOOK)
        .answered(1.2, 7, Answer::Lost)
        .only(Rule::OneAnswer, "rpc 7", "ended without");
    for (how, excused) in [(End::Killed, true), (End::Stopped, false)] {
        let mut builder = LedgerBuilder::new();
        builder
            .asked(1.0, 7, BOOK)
            .answered(1.2, 7, Answer::Lost)
            .at(1.2, Event::ProxyEnded { proxy: 0, how });
        match excused {
            true => assert_eq!(builder.clean().counts.lost_with_proxy, 1),
            false => builder.only(Rule::OneAnswer, "rpc 7", "p0 had taken it"),
        }
    }
    LedgerBuilder::new()
        .asked(1.0, 7, READ)
        .answered(1.2, 7, Answer::Cancelled)
        .clean();
    LedgerBuilder::new()
        .asked(1.0, 7, READ)
        .answered(1.2, 7, Answer::Unreachable)
        .clean();
}

#[test]
fn a_crash_a_second_answer_and_a_garbled_answer_are_found() {
    let mut crash = LedgerBuilder::new();
    crash
        .at(
            3.0,
            Event::ProxyEnded {
                proxy: 1,
                how: End::Crashed,
            },
        )
        .only(Rule::OneAnswer, "proxy p1", "unasked");
    let mut twice = LedgerBuilder::new();
    twice
        .good(1.0, 7, READ)
        .answered(1.07, 7, Answer::Aborted(502))
        .only(Rule::OneAnswer, "rpc 7", "twice");
    let mut garbled = LedgerBuilder::new();
    garbled
        .asked(1.0, 7, READ)
        .answered(1.1, 7, Answer::Malformed)
        .only(Rule::OneAnswer, "rpc 7", "behind");
}

#[test]
fn an_attempt_after_the_end_of_its_rpc_is_found() {
    let mut after = LedgerBuilder::new();
    after
        .good(1.0, 7, READ)
        .got(1.2, 7, 9, 0, Admission::Admitted)
        .only(Rule::OneAnswer, "rpc 7", "after its final");
    let mut late = LedgerBuilder::new();
    late.asked(1.0, 7, READ)
        .answered(1.3, 7, Answer::Cancelled)
        .got(1.6, 7, 9, 0, Admission::Admitted);
    late.only(Rule::OneAnswer, "rpc 7", "after its deadline");
    let mut made_up = LedgerBuilder::new();
    made_up.got(1.0, 0xabc, 9, 0, Admission::Admitted).only(
        Rule::OneAnswer,
        "try 0000000000000abc",
        "no client",
    );
}

/// Two attempts of one RPC, the first accepted in this way, the second at this time and node; then success.
fn twice(method: u8, first: Admission, second: f64, incarnation: u32) -> LedgerBuilder {
    let mut builder = LedgerBuilder::new();
    builder
        .asked(1.0, 7, method)
        .got(1.001, 7, 100, 0, first)
        .left(1.01, 100, AttemptEnd::Broken);
    builder
        .got(second, 7, 101, incarnation, Admission::Admitted)
        .left(second + 0.01, 101, AttemptEnd::Replied);
    builder.answered(second + 0.02, 7, Answer::Ok);
    builder
}

#[test]
fn a_retry_that_may_run_twice_is_found() {
    twice(READ, Admission::Admitted, 1.1, 2).clean();
    twice(BOOK, Admission::Rejected, 1.1, 2).clean();
    for first in [Admission::Admitted, Admission::Dropped, Admission::Failed] {
        twice(BOOK, first, 1.1, 0).only(
            Rule::NoDuplicateEffect,
            "rpc 7",
            "may have run: n0 at 1.001, n0 at 1.100",
        );
    }
    twice(LOG, Admission::Admitted, 1.1, 1).clean();
    twice(LOG, Admission::Rejected, 1.1, 2).clean();
    twice(LOG, Admission::Admitted, 1.1, 2).only(
        Rule::NoDuplicateEffect,
        "rpc 7",
        "outside the group",
    );
}

#[test]
fn a_retry_after_the_deduplication_window_is_found() {
    let of = |second: f64| {
        let mut builder = LedgerBuilder::new();
        builder.at(
            1.0,
            Event::Arrival {
                rpc: 7,
                method: LOG,
                tenant: 0,
                within_quota: true,
            },
        );
        builder.at(
            1.0,
            Event::RequestSent {
                request_id: 7,
                rpc: 7,
                proxy: 0,
                client_timeout: 5.0,
            },
        );
        builder
            .got(1.001, 7, 100, 0, Admission::Admitted)
            .left(1.01, 100, AttemptEnd::Broken);
        builder.got(second, 7, 101, 1, Admission::Admitted).left(
            second + 0.01,
            101,
            AttemptEnd::Replied,
        );
        builder.answered(second + 0.02, 7, Answer::Ok);
        builder
    };
    of(2.0).clean();
    of(2.1).only(Rule::NoDuplicateEffect, "rpc 7", "repeats are forgotten");
}

#[test]
fn a_second_run_across_client_retries_is_found() {
    let mut builder = LedgerBuilder::new();
    builder
        .asked(1.0, 7, BOOK)
        .got(1.001, 7, 100, 0, Admission::Admitted)
        .runs(1.01, 100);
    builder
        .left(1.1, 100, AttemptEnd::Broken)
        .answered(1.1, 7, Answer::Unreachable);
    builder
        .sent(1.2, 70, 7)
        .got(1.201, 70, 101, 2, Admission::Admitted)
        .runs(1.21, 101)
        .left(1.3, 101, AttemptEnd::Replied);
    builder.answered(1.31, 70, Answer::Ok);
    builder.only(Rule::NoDuplicateEffect, "rpc 7", "ran 2 times");
}

#[test]
fn hedged_and_too_many_attempts_are_found() {
    let mut copies = LedgerBuilder::new();
    copies
        .asked(1.0, 7, READ)
        .got(1.001, 7, 100, 0, Admission::Admitted)
        .got(1.1, 7, 101, 1, Admission::Admitted);
    copies
        .left(1.2, 100, AttemptEnd::Cancelled)
        .left(1.2, 101, AttemptEnd::Replied)
        .answered(1.2, 7, Answer::Ok);
    copies.only(Rule::NoDuplicateEffect, "rpc 7", "second copy");
    let mut many = LedgerBuilder::new();
    many.asked(1.0, 7, BOOK);
    for n in 0..4 {
        many.got(1.01 + 0.01 * n as f64, 7, 100 + n, 0, Admission::Rejected);
    }
    many.answered(1.1, 7, Answer::Rejected(None)).only(
        Rule::NoDuplicateEffect,
        "rpc 7",
        "4 picks, 3 are allowed",
    );
}

#[test]
fn a_rejection_of_what_may_have_run_is_found() {
    for (method, admission, harmful) in [
        (READ, Admission::Admitted, false),
        (BOOK, Admission::Rejected, false),
        (BOOK, Admission::Admitted, true),
        (LOG, Admission::Dropped, true),
    ] {
        let mut builder = LedgerBuilder::new();
        builder
            .asked(1.0, 7, method)
            .got(1.01, 7, 100, 0, admission)
            .left(1.2, 100, AttemptEnd::Cancelled);
        builder.answered(1.2, 7, Answer::Rejected(Some(0.1)));
        match harmful {
            true => builder.only(Rule::NoDuplicateEffect, "rpc 7", "pushed back although"),
            false => drop(builder.clean()),
        }
    }
}

#[test]
fn an_attempt_at_a_draining_node_is_found_once_its_proxy_was_notified() {
    let told = |state, incarnation, at| Event::ProxyNotified {
        proxy: at,
        backend: 0,
        incarnation,
        state,
    };
    for state in [EndpointState::Draining, EndpointState::Gone] {
        let mut builder = LedgerBuilder::new();
        // A notification without a change: the grace runs from the first one.
        builder
            .at(1.0, told(state, 0, 0))
            .at(2.0, told(state, 0, 0))
            .good(1.3, 7, READ);
        let findings = builder.clean();
        assert!((findings.latest_after_notification - 0.301).abs() < 1e-9);
        builder.0.pop();
        builder
            .good(2.1, 8, READ)
            .only(Rule::Draining, "rpc 8", "sent to n0 1101 ms after p0");
    }
    // Another proxy was notified; or this one, of an earlier incarnation; or it has restarted since.
    LedgerBuilder::new()
        .at(1.0, told(EndpointState::Gone, 0, 1))
        .good(3.0, 7, READ)
        .clean();
    LedgerBuilder::new()
        .at(1.0, told(EndpointState::Gone, 5, 0))
        .good(3.0, 7, READ)
        .clean();
    LedgerBuilder::new()
        .at(1.0, told(EndpointState::Gone, 0, 0))
        .at(1.1, told(EndpointState::Ready, 0, 0))
        .good(3.0, 7, READ)
        .clean();
    let mut restarted = LedgerBuilder::new();
    restarted
        .at(1.0, told(EndpointState::Gone, 0, 0))
        .at(1.1, Event::ProxyStarted { proxy: 0 })
        .good(3.0, 7, READ)
        .clean();
}

/// A node in slow start that fails under three RPCs, of which so many came from a proxy that was notified of it.
fn overloaded_in_slow_start(from_notified_proxy: u32) -> LedgerBuilder {
    const LIFE: u32 = 9;
    let mut ledger = LedgerBuilder::new();
    let started_at = Event::BackendStarted {
        incarnation: LIFE,
        backend: 2,
        cold: true,
        warm_capacity: 2.0,
    };
    let notified = Event::ProxyNotified {
        proxy: 0,
        backend: 2,
        incarnation: LIFE,
        state: EndpointState::Ready,
    };
    ledger.at(1.0, started_at).at(1.0, notified);
    for rpc in 0..3 {
        let (at, request_id) = (1.2 + f64::from(rpc) * 0.1, u64::from(rpc));
        let proxy = u16::from(rpc >= from_notified_proxy);
        let asked = Event::Arrival {
            rpc,
            method: READ,
            tenant: 0,
            within_quota: true,
        };
        let sent = Event::RequestSent {
            request_id,
            rpc,
            proxy,
            client_timeout: 0.5,
        };
        let got = Event::AttemptReceived {
            incarnation: LIFE,
            attempt_id: request_id,
            request_id,
            proxy,
            first_byte_at: at,
            work: 1.0,
            overload: 0.34 * (rpc + 1) as f32,
            admission: Admission::Admitted,
        };
        ledger.at(at, asked).at(at, sent).at(at, got);
        ledger.answered(1.5, request_id, Answer::Aborted(502));
    }
    ledger.at(1.5, Event::BackendCollapsed { incarnation: LIFE });
    ledger
}

#[test]
fn the_overload_of_a_node_in_slow_start_is_found_if_its_proxies_were_notified() {
    for (from_notified_proxy, is_breach) in [(3, true), (2, true), (1, false)] {
        let mut ledger = overloaded_in_slow_start(from_notified_proxy);
        if is_breach {
            ledger.only(Rule::SlowStart, "n2", "pushed over 0.5 s after its start");
        } else {
            assert_eq!(ledger.clean().counts.collapsed_uninformed, 1);
        }
        assert!((ledger.audit().cold_starts[0].peak_overload - 1.02).abs() < 1e-6);
    }
}

/// Retries count for the first request, late answers and RPCs over quota in part, and the worst parts are found.
#[test]
fn service_counts_from_the_time_at_which_an_rpc_was_due() {
    let mut builder = LedgerBuilder::new();
    for rpc in 0..30 {
        builder.good(f64::from(rpc), rpc, READ);
    }
    builder
        .asked(12.0, 100, BOOK)
        .answered(12.05, 100, Answer::Rejected(None));
    builder
        .sent(12.1, 101, 100)
        .answered(12.19, 101, Answer::Ok); // in time from its first request
    builder
        .asked(13.0, 200, BOOK)
        .answered(13.05, 200, Answer::Rejected(None));
    builder.sent(13.2, 201, 200).answered(13.3, 201, Answer::Ok); // late: a quarter
    builder.at(
        14.0,
        Event::Arrival {
            rpc: 300,
            method: BOOK,
            tenant: 0,
            within_quota: false,
        },
    ); // a tenth of 2, not gained
    let service = builder.clean().service;
    assert!((service.overall - (60.0 + 2.0 + 0.5) / (60.0 + 2.0 + 2.0 + 0.2)).abs() < 1e-9);
    // The worst ten seconds begin at 13: the late RPC and the unanswered one, and ten reads.
    assert!(
        (service.worst_10s - (20.0 + 0.5) / (20.0 + 2.2)).abs() < 1e-9,
        "{service:?}"
    );
    assert_eq!(service.worst_10s_from, 13.0);
    assert!((service.worst_method().unwrap() - 2.5 / 4.2).abs() < 1e-9);
    assert!(
        (service.worst_tenant().unwrap() - 62.5 / 64.0).abs() < 1e-9,
        "an RPC over quota does not count for the tenant"
    );
    assert!(
        (service.latency.median - 0.061).abs() < 1e-9
            && (service.latency.percentile_99_9 - 0.3).abs() < 1e-9
    );
}

#[test]
fn a_truncated_ledger_is_read_and_damage_is_located() {
    let mut builder = LedgerBuilder::new();
    builder.good(2.0, 7, BOOK).good(1.0, 8, LOG);
    let mut bytes = Vec::new();
    let mut writer = ledger::Writer::new(&mut bytes, &head()).expect("a head");
    builder
        .0
        .iter()
        .for_each(|entry| writer.write(entry).expect("a record"));
    let read = ledger::read(bytes.as_slice()).expect("a ledger");
    builder.0.sort_by(|a, b| a.at.total_cmp(&b.at));
    assert_eq!(
        (&read.head, &read.entries, read.truncated),
        (&head(), &builder.0, false)
    );
    let truncated = ledger::read(&bytes[..bytes.len() - 3]).expect("a ledger");
    assert_eq!(
        (truncated.entries.len(), truncated.truncated),
        (builder.0.len() - 1, true)
    );
    let first = bytes
        .iter()
        .enumerate()
        .filter(|(_, b)| **b == b'\n')
        .nth(1)
        .expect("a head")
        .0
        + 1;
    let mut damaged = bytes.clone();
    damaged[first + 1] = 0xff;
    let fault = ledger::read(damaged.as_slice())
        .expect_err("damage")
        .to_string();
    assert!(fault.starts_with("record 0 at byte 0: longer"), "{fault}");
    assert!(matches!(
        ledger::read(&b"{}"[..]),
        Err(ledger::LedgerError::Magic)
    ));
}

#[test]
fn the_story_of_one_rpc_is_in_order() {
    let mut builder = LedgerBuilder::new();
    builder.good(2.0, 7, BOOK).good(1.0, 8, LOG);
    builder.0.sort_by(|a, b| a.at.total_cmp(&b.at));
    let head = head();
    let timeline = Timeline::new(&head, &builder.0);
    let lines: Vec<_> = builder
        .0
        .iter()
        .filter(|e| timeline.rpc(&e.event) == Some(7))
        .map(|e| timeline.line(e))
        .collect();
    assert_eq!(lines.len(), 7, "{lines:#?}");
    assert!(
        lines[0].ends_with("rpc 7 due: book of acme") && lines[6].ends_with("answered: Ok"),
        "{lines:#?}"
    );
}
