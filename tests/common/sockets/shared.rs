//! Values that threads of a test share and wait for, and the log of what the stand-ins saw.
use std::sync::{Arc, Condvar, Mutex};
use std::thread::sleep;
use std::time::{Duration, Instant};

pub(crate) const PATIENCE: Duration = Duration::from_secs(20); // for an event; none should come near

/// A value that threads change and wait for.
pub(crate) struct Shared<T>(Arc<(Mutex<T>, Condvar)>);

impl<T> Clone for Shared<T> {
    fn clone(&self) -> Self {
        Self(self.0.clone())
    }
}

impl<T: Send + 'static> Shared<T> {
    pub(crate) fn new(value: T) -> Self {
        Self(Arc::new((Mutex::new(value), Condvar::new())))
    }
    pub(crate) fn change<R>(&self, change: impl FnOnce(&mut T) -> R) -> R {
        let result = change(&mut self.0.0.lock().expect("a healthy lock"));
        self.0.1.notify_all();
        result
    }
    /// Waits until the condition holds; false if it never did.
    pub(crate) fn wait(&self, longest: Duration, so: impl Fn(&T) -> bool) -> bool {
        let guard = self.0.0.lock().expect("a healthy lock");
        let (_guard, late) = self
            .0
            .1
            .wait_timeout_while(guard, longest, |value| !so(value))
            .expect("a healthy lock");
        !late.timed_out()
    }
}

/// Tries until the condition holds; fails with the complaint if it never does.
pub(crate) fn eventually(longest: Duration, complaint: &str, mut so: impl FnMut() -> bool) {
    let begun = Instant::now();
    while !so() {
        assert!(begun.elapsed() < longest, "{complaint}");
        sleep(Duration::from_millis(2)); // beside what it waits for
    }
}

/// The events that all stand-ins of a test saw, in order.
pub(crate) type Log = Shared<Vec<String>>;

impl Log {
    pub(crate) fn note(&self, event: String) {
        self.change(|events| events.push(event));
    }
    pub(crate) fn await_event(&self, event: &str) {
        let there = self.wait(PATIENCE, |events| events.iter().any(|e| e == event));
        assert!(there, "{event} never came: {:?}", self.all());
    }
    pub(crate) fn all(&self) -> Vec<String> {
        self.change(|events| events.clone())
    }
    pub(crate) fn count(&self, part: &str) -> usize {
        self.all()
            .iter()
            .filter(|event| event.contains(part))
            .count()
    }
}
