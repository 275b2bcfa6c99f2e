//! Rule 3: a draining or removed backend gets no new work from a proxy once the grace period after the proxy's
//! notification has passed.
use super::tracker::Tracker;
use super::violations::{Violations, rpc_subject};
use crate::event::{Entry, Event, ReceivedAttempt};
use crate::findings::{Rule, Violation};

/// State of rule 3.
#[derive(Debug, Default)]
pub(super) struct Draining {
    /// Longest time between a notification and new work for that backend, in seconds.
    pub(super) max_delay_after_notification: f64,
}

impl Draining {
    /// Checks an event that the tracker has recorded.
    pub(super) fn observe(
        &mut self,
        entry: &Entry,
        tracker: &Tracker<'_>,
        violations: &mut Violations,
    ) {
        let Event::AttemptReceived(received) = entry.event else {
            return;
        };
        let ReceivedAttempt {
            incarnation,
            proxy,
            first_byte_at,
            ..
        } = received;
        let Some(state) = tracker.incarnations.get(&incarnation) else {
            return;
        };
        let Some(notified_at) = tracker.no_new_work_since(proxy, state.backend, incarnation) else {
            return;
        };
        let delay = first_byte_at - notified_at;
        self.max_delay_after_notification = self.max_delay_after_notification.max(delay);
        let rules = &tracker.header.rules;
        if delay > rules.drain_grace + rules.slack {
            let rpc = tracker
                .requests
                .get(&received.request_id)
                .map_or(u32::MAX, |request| request.rpc);
            let description = format!(
                "sent to {} {:.0} ms after {} was told that it takes nothing new",
                tracker.header.backend_name(state.backend),
                delay * 1e3,
                tracker.header.proxy_name(proxy)
            );
            violations.add(Violation {
                rule: Rule::Draining,
                at: first_byte_at,
                subject: rpc_subject(rpc),
                description,
                timing_dependent: true,
            });
        }
    }
}
