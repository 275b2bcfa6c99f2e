//! A stand-in for the discovery service.
use super::backend::serve;
use super::http::{read_message, reply};
use super::shared::{PATIENCE, Shared};
use serde_json::{Value, json};
use std::io::{BufReader, Read, Write};
use std::net::SocketAddr;

pub(crate) fn line(uid: &str, endpoint: SocketAddr, state: &str) -> Value {
    json!({"uid": uid, "endpoint": endpoint.to_string(), "az": "a", "model": "m", "pod_group": 3,
        "state": state, "capacity_hint": 1.0, "boot_ms": 0})
}

/// The list service. What it answers is changed with `tell`; without an answer it breaks connections off.
#[derive(Clone)]
pub(crate) struct List {
    pub at: SocketAddr,
    state: Shared<(u64, Option<String>)>,
    asked: Shared<u64>,    // the version that the latest call has ...
    pub told: Shared<u64>, // ... and the one that the latest answer, or the lack of one, went with
    pub calls: Shared<usize>,
}

impl List {
    pub(crate) fn start() -> Self {
        Self::deaf_to(usize::MAX)
    }
    /// Never answers one call, counted from 0.
    pub(crate) fn deaf_to(deaf: usize) -> Self {
        let state = Shared::new((0, None::<String>));
        let (asked, told, calls) = (Shared::new(0), Shared::new(0), Shared::new(0));
        let (now, noted, done, counted) =
            (state.clone(), asked.clone(), told.clone(), calls.clone());
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
                if counted.change(|calls| std::mem::replace(calls, *calls + 1)) == deaf {
                    let _ = input.read(&mut [0]); // until the caller gives up
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
            told,
            calls,
        }
    }
    pub(crate) fn tell(&self, lines: &[Value]) {
        self.state.change(|(version, text)| {
            *version += 1;
            *text = Some(json!({"rev": version, "all": true, "targets": lines}).to_string());
        });
    }
    /// Tells it, and waits until the proxy has it and asks for what comes next.
    pub(crate) fn tell_heard(&self, lines: &[Value]) -> u64 {
        self.tell(lines);
        let version = self.state.change(|(version, _)| *version);
        assert!(
            self.asked.wait(PATIENCE, |asked| *asked == version),
            "the list was never heard"
        );
        version
    }
    /// Answers with this, or with nothing, and waits until a call has met it.
    pub(crate) fn tell_text(&self, text: Option<&str>) {
        let version = self.state.change(|state| {
            *state = (state.0 + 1, text.map(str::to_owned));
            state.0
        });
        assert!(
            self.told.wait(PATIENCE, |told| *told == version),
            "the list was never asked for"
        );
    }
}
