//! Drives the model of an incarnation: runs its events when they are due and records them.
use super::EmulatedBackend;
use super::incarnation::{Completion, IncarnationState};
use birchhub_audit::Event;
use birchhub_backend_model::{AttemptId, BackendEvent};
use std::rc::Rc;
use tokio::select;
use tokio::sync::watch;

impl EmulatedBackend {
    /// Runs the model's events at their times until the incarnation ends.
    pub(super) async fn drive(
        self: Rc<Self>,
        number: u32,
        mut state: watch::Receiver<IncarnationState>,
    ) {
        let clock = self.fleet.event_log.clock;
        loop {
            let next_event_at = self
                .with_incarnation(number, |incarnation| incarnation.model.next_event())
                .flatten();
            select! {
                biased;
                _ = state.changed() => return,
                () = clock.sleep_until(next_event_at.unwrap_or(f64::MAX)), if next_event_at.is_some() => {}
                () = self.timer_changed.notified() => continue,
            }
            self.run_due_events(number, next_event_at);
        }
    }

    /// Advances the model to the present time. `due_at` is when the first event was due, in seconds.
    fn run_due_events(&self, number: u32, due_at: Option<f64>) {
        let now = self.fleet.event_log.clock.now();
        let mut events = Vec::new();
        if let Some(due_at) = due_at {
            self.fleet.event_log.record(Event::EmulatorLate {
                delay: (now - due_at).max(0.0) as f32,
            });
        }
        self.with_incarnation(number, |incarnation| {
            let mut deduplication = self.fleet.deduplication.borrow_mut();
            incarnation
                .model
                .advance(now, &mut deduplication, &mut events);
        });
        self.record_model_events(number, events);
    }

    /// Records events of the model and notifies the connections whose attempts are complete.
    pub(super) fn record_model_events(&self, number: u32, events: Vec<BackendEvent>) {
        let event_log = &self.fleet.event_log;
        for event in events {
            match event {
                BackendEvent::Started(attempt_id) => {
                    event_log.record(Event::ExecutionStarted { attempt_id });
                }
                BackendEvent::Finished(attempt_id) => {
                    event_log.record(Event::ExecutionFinished { attempt_id });
                    self.complete(number, attempt_id);
                }
                BackendEvent::DuplicateDropped(attempt_id) => {
                    event_log.record(Event::DuplicateDropped { attempt_id });
                    self.complete(number, attempt_id);
                }
                BackendEvent::Collapsed => {
                    event_log.record(Event::BackendCollapsed {
                        incarnation: number,
                    });
                    self.end_incarnation(IncarnationState::Crashed);
                }
            }
        }
    }

    /// Notifies the connection of an attempt. Health checks and cancelled attempts have none that waits.
    fn complete(&self, number: u32, attempt_id: AttemptId) {
        let waiting = self.with_incarnation(number, |incarnation| {
            incarnation.waiting.remove(&attempt_id)
        });
        if let Some(connection) = waiting.flatten() {
            let _ = connection.send(Completion);
        }
    }
}
