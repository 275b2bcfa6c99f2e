//! Values that the threads of a test share and wait for, and the log of events at the emulated peers.
use std::sync::{Arc, Condvar, Mutex};
use std::thread::sleep;
use std::time::{Duration, Instant};

/// Timeout for an event that a test waits for. Events are expected much earlier.
pub(crate) const EVENT_TIMEOUT: Duration = Duration::from_secs(20);

/// A value that several threads change and wait for.
pub(crate) struct Shared<T>(Arc<(Mutex<T>, Condvar)>);

impl<T> Clone for Shared<T> {
    fn clone(&self) -> Self {
        Self(self.0.clone())
    }
}

impl<T: Send + 'static> Shared<T> {
    /// Creates a shared value.
    pub(crate) fn new(value: T) -> Self {
        Self(Arc::new((Mutex::new(value), Condvar::new())))
    }

    /// Changes the value, wakes all waiting threads and returns the result of `change`.
    pub(crate) fn change<R>(&self, change: impl FnOnce(&mut T) -> R) -> R {
        let result = change(&mut self.0.0.lock().expect("a healthy lock"));
        self.0.1.notify_all();
        result
    }

    /// Waits until the condition is met. Returns false if that takes longer than the timeout.
    pub(crate) fn wait(&self, timeout: Duration, is_met: impl Fn(&T) -> bool) -> bool {
        let guard = self.0.0.lock().expect("a healthy lock");
        let (_guard, result) = self
            .0
            .1
            .wait_timeout_while(guard, timeout, |value| !is_met(value))
            .expect("a healthy lock");
        !result.timed_out()
    }
}

/// Interval between two checks of a condition.
const CHECK_INTERVAL: Duration = Duration::from_millis(2);

/// Polls the condition until it is met. Panics with the message if that takes longer than the timeout.
pub(crate) fn eventually(timeout: Duration, message: &str, mut is_met: impl FnMut() -> bool) {
    let started = Instant::now();
    while !is_met() {
        assert!(started.elapsed() < timeout, "{message}");
        sleep(CHECK_INTERVAL);
    }
}

/// The events at all emulated peers of a test, in order.
pub(crate) type Log = Shared<Vec<String>>;

impl Log {
    /// Appends an event.
    pub(crate) fn record(&self, event: String) {
        self.change(|events| events.push(event));
    }

    /// Waits for an event.
    pub(crate) fn await_event(&self, event: &str) {
        let is_recorded = self.wait(EVENT_TIMEOUT, |events| {
            events.iter().any(|recorded| recorded == event)
        });
        assert!(is_recorded, "{event} never happened: {:?}", self.all());
    }

    /// Returns all events so far.
    pub(crate) fn all(&self) -> Vec<String> {
        self.change(|events| events.clone())
    }

    /// Returns the number of events that contain this text.
    pub(crate) fn count(&self, part: &str) -> usize {
        self.all()
            .iter()
            .filter(|event| event.contains(part))
            .count()
    }
}
