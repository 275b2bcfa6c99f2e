//! Builds ledgers event by event, and audits them.
use birchhub_audit::event::{Admission, AttemptEnd, ProxyEnd, ReceivedAttempt};
use birchhub_audit::header::{Backend, ServiceTargets};
use birchhub_audit::{
    Audit, DeduplicationScope, Entry, Event, Findings, Header, Idempotency, Method, RequestOutcome,
    Rule, RuleParameters,
};

pub(crate) const READ: u8 = 0;
pub(crate) const BOOK: u8 = 1;
pub(crate) const LOG: u8 = 2;

pub(crate) fn header() -> Header {
    let method = |name: &str, idempotency| Method {
        name: name.into(),
        idempotency,
        latency_target: 0.2,
        deadline: 0.5,
        utility: 2.0,
        late_utility: 0.25,
    };
    let backend = |name: &str, rack| Backend {
        name: name.into(),
        zone: 0,
        rack,
    };
    Header {
        scenario: "by hand".into(),
        seed: 1,
        plan_hash: "0".into(),
        duration: 30.0,
        rules: RuleParameters {
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
                    scope: DeduplicationScope::Rack,
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

/// Builds a ledger.
#[derive(Default)]
pub(crate) struct LedgerBuilder(pub(crate) Vec<Entry>);

impl LedgerBuilder {
    /// Creates a ledger with three warm backends, each with an incarnation of the same number.
    pub(crate) fn new() -> Self {
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

    pub(crate) fn at(&mut self, at: f64, event: Event) -> &mut Self {
        self.0.push(Entry { at, event });
        self
    }

    /// Adds the arrival of an RPC within its tenant's quota.
    pub(crate) fn arrival(&mut self, at: f64, rpc: u32, method: u8) -> &mut Self {
        self.at(
            at,
            Event::Arrival {
                rpc,
                method,
                tenant: 0,
                within_quota: true,
            },
        )
    }

    /// Adds the arrival of an RPC and its first request, which has the same number.
    pub(crate) fn request(&mut self, at: f64, rpc: u32, method: u8) -> &mut Self {
        self.arrival(at, rpc, method);
        self.retry(at, u64::from(rpc), rpc)
    }

    /// Adds a further request for an RPC.
    pub(crate) fn retry(&mut self, at: f64, request_id: u64, rpc: u32) -> &mut Self {
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

    /// Adds an attempt of proxy 0 at an incarnation of a backend.
    pub(crate) fn attempt(
        &mut self,
        at: f64,
        request_id: u64,
        attempt_id: u64,
        incarnation: u32,
        admission: Admission,
    ) -> &mut Self {
        self.at(
            at,
            Event::AttemptReceived(ReceivedAttempt {
                incarnation,
                attempt_id,
                request_id,
                proxy: 0,
                first_byte_at: at,
                work: 0.1,
                overload: 0.0,
                admission,
            }),
        )
    }

    /// Adds an execution of 50 ms.
    pub(crate) fn execution(&mut self, at: f64, attempt_id: u64) -> &mut Self {
        self.at(at, Event::ExecutionStarted { attempt_id })
            .at(at + 0.05, Event::ExecutionFinished { attempt_id })
    }

    pub(crate) fn attempt_ends(&mut self, at: f64, attempt_id: u64, how: AttemptEnd) -> &mut Self {
        self.at(at, Event::AttemptEnded { attempt_id, how })
    }

    pub(crate) fn request_ends(
        &mut self,
        at: f64,
        request_id: u64,
        outcome: RequestOutcome,
    ) -> &mut Self {
        self.at(
            at,
            Event::RequestEnded {
                request_id,
                outcome,
            },
        )
    }

    /// Adds an RPC that succeeds.
    pub(crate) fn succeeds(&mut self, at: f64, rpc: u32, method: u8) -> &mut Self {
        let request_id = u64::from(rpc);
        let attempt_id = request_id + 1000;
        self.request(at, rpc, method)
            .attempt(at + 0.001, request_id, attempt_id, 0, Admission::Admitted)
            .execution(at + 0.001, attempt_id);
        self.attempt_ends(at + 0.06, attempt_id, AttemptEnd::Replied)
            .request_ends(at + 0.061, request_id, RequestOutcome::Ok)
    }

    /// Audits the ledger, in which proxy 0 ends after 40 s.
    pub(crate) fn audit(&mut self) -> Findings {
        self.at(
            40.0,
            Event::ProxyEnded {
                proxy: 0,
                how: ProxyEnd::Over,
            },
        );
        self.0.sort_by(|a, b| a.at.total_cmp(&b.at));
        Audit::of(&header(), &self.0)
    }

    /// Asserts that the audit finds exactly one violation, with this rule and subject and `text` in its description.
    pub(crate) fn assert_violation(&mut self, rule: Rule, subject: &str, text: &str) {
        let violations = self.audit().violations;
        assert_eq!(violations.len(), 1, "{violations:?}");
        assert_eq!(
            (violations[0].rule, violations[0].subject.as_str()),
            (rule, subject),
            "{violations:?}"
        );
        assert!(violations[0].description.contains(text), "{violations:?}");
    }

    /// Asserts that the audit finds no violation.
    pub(crate) fn assert_no_violations(&mut self) -> Findings {
        let findings = self.audit();
        assert_eq!(findings.violations, []);
        findings
    }
}
