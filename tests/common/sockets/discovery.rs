//! A stand-in for the discovery service.
use super::backend::serve;
use super::http::{read_message, reply};
use super::shared::{PATIENCE, Shared};
use serde_json::{Value, json};
use std::io::{BufReader, Read, Write};
use std::net::SocketAddr;

/// One endpoint of the list.
pub(crate) fn line(uid: &str, endpoint: SocketAddr, state: &str) -> Value {
    json!({"uid": uid, "endpoint": endpoint.to_string(), "az": "a", "model": "m", "pod_group": 3,
        "state": state, "capacity_hint": 1.0, "boot_ms": 0})
}

/// The discovery service. `tell` changes its answer; without an answer it closes connections.
#[derive(Clone)]
pub(crate) struct List {
    pub at: SocketAddr,
    state: Shared<(u64, Option<String>)>,
    /// The version that the latest call has.
    asked: Shared<u64>,
    /// The version of the latest answer, or of the lack of one.
    pub answered: Shared<u64>,
    pub calls: Shared<usize>,
}

impl List {
    pub(crate) fn start() -> Self {
        Self::without_answer_to(usize::MAX)
    }
    /// Never answers one call, counted from 0.
    pub(crate) fn without_answer_to(unanswered: usize) -> Self {
        let state = Shared::new((0, None::<String>));
        let (asked, answered, calls) = (Shared::new(0), Shared::new(0), Shared::new(0));
        let (now, noted, done, counted) = (
            state.clone(),
            asked.clone(),
            answered.clone(),
            calls.clone(),
        );
        let at = serve("127.0.0.1:0", move |mut stream| {
            let mut input = BufReader::new(stream.try_clone().expect("a second handle"));
            while let Some(call) = read_message(&mut input) {
                let from = call
                    .first
                    .split("from=")
                    .nth(1)
                    .and_then(|rest| rest.split('&').next());
                let from: u64 = from.and_then(|from| from.parse().ok()).unwrap_or(0);
                noted.change(|asked| *asked = from);
                if counted.change(|calls| std::mem::replace(calls, *calls + 1)) == unanswered {
                    let _ = input.read(&mut [0]); // until the caller closes
                    return;
                }
                now.wait(PATIENCE, |(version, text)| {
                    *version != from || text.is_none()
                });
                let (version, text) = now.change(|now| now.clone());
                if let Some(text) = &text {
                    let _ = stream.write_all(&reply("200 OK", text));
                }
                done.change(|done| *done = version);
                if text.is_none() {
                    return;
                }
            }
        });
        Self {
            at,
            state,
            asked,
            answered,
            calls,
        }
    }
    pub(crate) fn tell(&self, lines: &[Value]) {
        self.state.change(|(version, text)| {
            *version += 1;
            *text = Some(json!({"rev": version, "all": true, "targets": lines}).to_string());
        });
    }
    /// Answers with these endpoints, and waits until the proxy has them and watches for the next version.
    pub(crate) fn tell_heard(&self, lines: &[Value]) -> u64 {
        self.tell(lines);
        let version = self.state.change(|(version, _)| *version);
        assert!(
            self.asked.wait(PATIENCE, |asked| *asked == version),
            "the list was never applied"
        );
        version
    }
    /// Answers with this, or with nothing, and waits until a call got that.
    pub(crate) fn tell_text(&self, text: Option<&str>) {
        let version = self.state.change(|state| {
            *state = (state.0 + 1, text.map(str::to_owned));
            state.0
        });
        assert!(
            self.answered
                .wait(PATIENCE, |answered| *answered == version),
            "the list was never requested"
        );
    }
}
