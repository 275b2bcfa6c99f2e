//! Rule 1: each RPC that a running proxy accepted gets exactly one response before its deadline, and no attempt is made
//! after the response or the deadline.
use super::tracker::{Attempt, ClientRequest, Tracker};
use super::violations::{Violations, rpc_subject};
use crate::event::{Entry, Event, ProxyEnd, RequestOutcome};
use crate::findings::{Rule, Violation};
use std::collections::HashMap;

/// Time after a client disconnects during which its proxy may still start attempts, in seconds.
const DISCONNECT_GRACE_SECONDS: f64 = 0.1;

/// Amount by which the timeout forwarded to a backend may exceed the time left until the deadline, in seconds.
const FORWARDED_TIMEOUT_TOLERANCE_SECONDS: f64 = 0.15;

/// State of rule 1.
#[derive(Debug, Default)]
pub(super) struct OneAnswer {
    /// Time and reason of each process end, by proxy.
    process_ends: HashMap<u16, Vec<(f64, ProxyEnd)>>,
    /// Requests that got no response because their proxy was killed.
    pub(super) lost_with_proxy: usize,
}

impl OneAnswer {
    /// Checks an event that the tracker has recorded.
    pub(super) fn observe(
        &mut self,
        entry: &Entry,
        tracker: &Tracker<'_>,
        violations: &mut Violations,
    ) {
        match entry.event {
            Event::RequestEnded {
                request_id,
                outcome,
            } => {
                if let Some(request) = tracker.requests.get(&request_id) {
                    check_outcome(entry.at, outcome, request, tracker, violations);
                }
            }
            Event::ProxyEnded { proxy, how } => {
                if how == ProxyEnd::Crashed {
                    let name = tracker.header.proxy_name(proxy);
                    violations.add(Violation {
                        rule: Rule::OneAnswer,
                        at: entry.at,
                        subject: format!("proxy {name}"),
                        description: "ended by itself, unasked".into(),
                        timing_dependent: false,
                    });
                }
                let ends = self.process_ends.entry(proxy).or_default();
                ends.push((entry.at, how));
            }
            _ => {}
        }
    }

    /// Checks the attempts of all requests, and the requests without a response.
    pub(super) fn finish(&mut self, tracker: &Tracker<'_>, violations: &mut Violations) {
        for (request_id, request) in &tracker.requests {
            if tracker.idempotency(request.rpc).is_none() {
                check_unknown_request(*request_id, request, violations);
                continue;
            }
            for attempt in &request.attempts {
                check_attempt(attempt, request, tracker, violations);
            }
            self.check_unanswered(request, tracker, violations);
        }
    }

    /// Checks that a request whose deadline has passed got a response.
    fn check_unanswered(
        &mut self,
        request: &ClientRequest,
        tracker: &Tracker<'_>,
        violations: &mut Violations,
    ) {
        let slack = tracker.header.rules.slack;
        let outcome = request.outcome.map(|(_, outcome)| outcome);
        let unanswered = match outcome {
            Some(RequestOutcome::Lost | RequestOutcome::TimedOut) => true,
            Some(_) => false,
            // A request in flight when the ledger ends needs a response only if its deadline has passed.
            None => tracker.now > request.deadline() + slack,
        };
        if !unanswered {
            return;
        }
        let until = request
            .outcome
            .map_or(tracker.now.min(request.deadline()), |(at, _)| at);
        // A killed proxy cannot respond to what it had accepted: its clients retry. One that was given its time to shut down
        // can.
        if self.proxy_was_killed(request, until, slack) {
            self.lost_with_proxy += 1;
            return;
        }
        let failure = match outcome {
            Some(RequestOutcome::Lost) => "its connection ended without an answer",
            _ => "no answer by its deadline",
        };
        let proxy = tracker.header.proxy_name(request.proxy);
        violations.add(Violation {
            rule: Rule::OneAnswer,
            at: until,
            subject: rpc_subject(request.rpc),
            description: format!("{failure}; {proxy} had taken it"),
            timing_dependent: outcome != Some(RequestOutcome::Lost),
        });
    }

    /// Whether the proxy process was killed between the request and `until`, in seconds.
    fn proxy_was_killed(&self, request: &ClientRequest, until: f64, slack: f64) -> bool {
        let ends = self.process_ends.get(&request.proxy);
        ends.into_iter().flatten().any(|(at, how)| {
            matches!(how, ProxyEnd::Killed | ProxyEnd::Over)
                && *at >= request.sent_at - slack
                && *at <= until + slack
        })
    }
}

/// Checks that an outcome is the first one of its request, and that a response is well-formed and before the deadline.
fn check_outcome(
    at: f64,
    outcome: RequestOutcome,
    request: &ClientRequest,
    tracker: &Tracker<'_>,
    violations: &mut Violations,
) {
    let mut report = |description: String, timing_dependent: bool| {
        violations.add(Violation {
            rule: Rule::OneAnswer,
            at,
            subject: rpc_subject(request.rpc),
            description,
            timing_dependent,
        });
    };
    if let Some((_, first)) = request.outcome.filter(|_| request.outcome_count > 1) {
        let description = format!("answered twice: Some({first}), then {outcome}");
        return report(description, false);
    }
    if outcome == RequestOutcome::Malformed {
        let description = "the answer was none, or bytes came behind it".to_owned();
        report(description, false);
    }
    let deadline = request.deadline();
    if outcome.is_final_response() && at > deadline + tracker.header.rules.slack {
        let late_ms = (at - deadline) * 1e3;
        let description = format!("answered {late_ms:.0} ms after its deadline");
        report(description, true);
    }
}

/// Reports an attempt for a request that no client has sent.
fn check_unknown_request(request_id: u64, request: &ClientRequest, violations: &mut Violations) {
    if let Some(attempt) = request.attempts.first() {
        violations.add(Violation {
            rule: Rule::OneAnswer,
            at: attempt.first_byte_at,
            subject: format!("try {request_id:016x}"),
            description: "sent to a node, and no client had asked for it".to_owned(),
            timing_dependent: false,
        });
    }
}

/// Checks that an attempt began while its client waited, and that it forwarded no more than the time left.
fn check_attempt(
    attempt: &Attempt,
    request: &ClientRequest,
    tracker: &Tracker<'_>,
    violations: &mut Violations,
) {
    let slack = tracker.header.rules.slack;
    let started_at = attempt.first_byte_at;
    let mut report = |description: String| {
        violations.add(Violation {
            rule: Rule::OneAnswer,
            at: started_at,
            subject: rpc_subject(request.rpc),
            description,
            timing_dependent: true,
        });
    };
    let follows_final_response = request
        .outcome
        .is_some_and(|(at, outcome)| outcome.is_final_response() && started_at > at + slack);
    if follows_final_response {
        report("sent on after its final answer".to_owned());
    } else if started_at > request.deadline() + slack {
        report("sent on after its deadline".to_owned());
    }
    let follows_disconnect = request.outcome.is_some_and(|(at, outcome)| {
        outcome == RequestOutcome::Cancelled && started_at > at + DISCONNECT_GRACE_SECONDS + slack
    });
    if follows_disconnect {
        report("sent on after its client had hung up".to_owned());
    }
    let time_left = request.deadline() - started_at;
    let allowed = time_left + FORWARDED_TIMEOUT_TOLERANCE_SECONDS + slack;
    if let Some(timeout) = attempt
        .forwarded_timeout
        .filter(|timeout| *timeout > allowed)
    {
        report(format!(
            "told its node {timeout:.3} s where {time_left:.3} s are left"
        ));
    }
}
