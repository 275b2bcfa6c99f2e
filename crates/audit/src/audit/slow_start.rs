//! Rule 4: proxies that were notified of the cold start of a backend do not together overload it until it collapses.
use super::tracker::{Incarnation, Tracker};
use super::violations::Violations;
use crate::event::{Entry, Event, ReceivedAttempt};
use crate::findings::{ColdStart, Rule, Violation};
use std::collections::{HashMap, VecDeque};

/// Smallest share of the recent work with which informed proxies are responsible for a collapse. Below it, proxies that
/// were not notified of the start in time may have caused the collapse.
const RESPONSIBLE_SHARE: f64 = 2.0 / 3.0;

/// Work that a cold backend received.
#[derive(Clone, Copy, Debug)]
struct ReceivedWork {
    /// When it was received, in seconds.
    at: f64,
    /// In seconds of a standard core.
    work: f64,
    /// Whether its proxy had been notified of the cold start.
    informed: bool,
}

/// Load of one incarnation of a backend.
#[derive(Debug, Default)]
struct Load {
    /// Peak overload; the backend collapses at 1.
    peak_overload: f64,
    /// Work received within the overload window.
    recent: VecDeque<ReceivedWork>,
}

impl Load {
    /// Returns the sum of the recent work that matches a filter, in seconds of a standard core.
    fn recent_work(&self, filter: impl Fn(&&ReceivedWork) -> bool) -> f64 {
        self.recent
            .iter()
            .filter(filter)
            .map(|received| received.work)
            .sum()
    }
}

/// State of rule 4.
#[derive(Debug, Default)]
pub(super) struct SlowStart {
    /// By incarnation.
    loads: HashMap<u32, Load>,
    /// Collapses for which informed proxies are not responsible.
    pub(super) collapsed_uninformed: usize,
}

impl SlowStart {
    /// Checks an event that the tracker has recorded.
    pub(super) fn observe(
        &mut self,
        entry: &Entry,
        tracker: &Tracker<'_>,
        violations: &mut Violations,
    ) {
        match entry.event {
            Event::BackendStarted { incarnation, .. } => {
                self.loads.insert(incarnation, Load::default());
            }
            Event::AttemptReceived(received) => self.record_work(entry.at, received, tracker),
            Event::BackendCollapsed { incarnation } => {
                if let Some(state) = tracker.incarnations.get(&incarnation) {
                    self.check_collapse(entry.at, incarnation, *state, tracker, violations);
                }
            }
            _ => {}
        }
    }

    /// Records work for a cold backend, and removes work older than the overload window.
    fn record_work(&mut self, at: f64, received: ReceivedAttempt, tracker: &Tracker<'_>) {
        let incarnation = received.incarnation;
        let state = tracker.incarnations.get(&incarnation);
        let Some(state) = state.filter(|state| state.cold) else {
            return;
        };
        let load = self.loads.entry(incarnation).or_default();
        load.peak_overload = load.peak_overload.max(f64::from(received.overload));
        load.recent.push_back(ReceivedWork {
            at,
            work: f64::from(received.work),
            informed: tracker.is_notified_of(received.proxy, state.backend, incarnation),
        });
        let oldest = at - tracker.header.rules.overload_window;
        while load.recent.front().is_some_and(|first| first.at < oldest) {
            load.recent.pop_front();
        }
    }

    /// Reports a collapse if at least [`RESPONSIBLE_SHARE`] of the recent work came from informed proxies.
    fn check_collapse(
        &mut self,
        at: f64,
        incarnation: u32,
        state: Incarnation,
        tracker: &Tracker<'_>,
        violations: &mut Violations,
    ) {
        let load = self.loads.entry(incarnation).or_default();
        load.peak_overload = load.peak_overload.max(1.0);
        let total = load.recent_work(|_| true);
        let informed = load.recent_work(|received| received.informed);
        if informed < RESPONSIBLE_SHARE * total {
            self.collapsed_uninformed += 1;
            return;
        }
        let age = at - state.started_at;
        let informed_percent = informed / total.max(f64::MIN_POSITIVE) * 100.0;
        violations.add(Violation {
            rule: Rule::SlowStart,
            at,
            subject: tracker.header.backend_name(state.backend).to_owned(),
            description: format!(
                "pushed over {age:.1} s after its start, {informed_percent:.0}% of it by proxies that knew of the start"
            ),
            timing_dependent: false,
        });
    }

    /// Returns the cold starts sorted by time, and those at the same time by backend name.
    pub(super) fn cold_starts(&self, tracker: &Tracker<'_>) -> Vec<ColdStart> {
        let cold = tracker.incarnations.iter().filter(|(_, state)| state.cold);
        let mut cold_starts: Vec<_> = cold
            .map(|(incarnation, state)| ColdStart {
                backend: tracker.header.backend_name(state.backend).to_owned(),
                started_at: state.started_at,
                peak_overload: self
                    .loads
                    .get(incarnation)
                    .map_or(0.0, |load| load.peak_overload),
            })
            .collect();
        cold_starts.sort_by(|a, b| {
            a.started_at
                .total_cmp(&b.started_at)
                .then_with(|| a.backend.cmp(&b.backend))
        });
        cold_starts
    }
}
