//! Driver of an incarnation's model: runs the model's events when they are due and records them.
use super::EmulatedBackend;
use super::incarnation::{Completion, IncarnationState};
use birchhub_audit::Event;
use birchhub_backend_model::{AttemptId, BackendEvent};
use std::rc::Rc;
use tokio::select;
use tokio::sync::watch;

impl EmulatedBackend {
    /// Advances the model at the time of each of its events until the incarnation ends.
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

    /// Advances the model to the current time. `due_at` is the time at which the next event was due, in seconds; the
    /// delay since then is recorded as lateness of the emulator.
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

    /// Records the model's events and notifies the connections whose attempts are complete. A collapse ends the
    /// incarnation.
    pub(super) fn record_model_events(&self, number: u32, events: Vec<BackendEvent>) {
        let event_log = &self.fleet.event_log;
        for event in events {
            match event {
                BackendEvent::Started(attempt_id) => {
                    event_log.record(Event::ExecutionStarted { attempt_id });
                }
                BackendEvent::Finished(attempt_id) => {
                    event_log.record(Event::ExecutionFinished { attempt_id });
                    self.notify_completion(number, attempt_id);
                }
                BackendEvent::DuplicateDropped(attempt_id) => {
                    event_log.record(Event::DuplicateDropped { attempt_id });
                    self.notify_completion(number, attempt_id);
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

    /// Notifies the connection that waits for an attempt. No connection waits for a health check or a cancelled attempt.
    fn notify_completion(&self, number: u32, attempt_id: AttemptId) {
        let sender = self.with_incarnation(number, |incarnation| {
            incarnation.completion_senders.remove(&attempt_id)
        });
        if let Some(sender) = sender.flatten() {
            let _ = sender.send(Completion);
        }
    }
}
