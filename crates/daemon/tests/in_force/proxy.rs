//! A birchhubd process whose configuration changes while it runs.
use crate::common::sockets::{
    Client, Daemon, EVENT_TIMEOUT, eventually, rpc, unused_address, without_health_checks,
};
use serde_json::{Value, json};
use std::net::SocketAddr;

const PROGRAM: &str = env!("CARGO_BIN_EXE_birchhubd");

/// A proxy with an admin API.
pub(crate) struct Proxy {
    pub daemon: Daemon,
    admin_address: SocketAddr,
    /// Configuration that the next reload writes.
    pub config: Value,
}

impl Proxy {
    pub(crate) fn start(backends: &[(&str, SocketAddr)], change: impl FnOnce(&mut Value)) -> Self {
        let admin_address = unused_address();
        let mut initial_config = Value::Null;
        let daemon = Daemon::start_with(PROGRAM, backends, |config| {
            config["management"] = admin_address.to_string().into();
            without_health_checks(config);
            change(config);
            initial_config = config.clone();
        });
        Self {
            daemon,
            admin_address,
            config: initial_config,
        }
    }

    /// Returns the text of `GET /settings`.
    pub(crate) fn active_settings(&self) -> String {
        let mut client = Client::open(self.admin_address).expect("a connection");
        let response = client.call("GET /settings HTTP/1.1\r\nHost: m\r\n\r\n");
        response.expect("a response").text()
    }

    /// Returns whether this version of the settings is active.
    pub(crate) fn is_active_version(&self, version: usize) -> bool {
        self.active_settings()
            .starts_with(&format!("version {version}, "))
    }

    /// Returns the digest of the settings in [`Self::config`] as `GET /settings` shows it.
    pub(crate) fn expected_digest(&self) -> String {
        let parsed = birchhub_settings::parse_value(&self.config["settings"]);
        format!("{:016x}", parsed.expect("valid settings").digest)
    }

    /// Reloads [`Self::config`].
    pub(crate) fn reload(&self) {
        self.daemon.reload(&self.config.to_string());
    }

    /// Changes the settings, reloads them, and waits until they are active as this version.
    pub(crate) fn change(&mut self, version: usize, change: impl FnOnce(&mut Value)) {
        change(&mut self.config["settings"]);
        self.reload();
        let timeout_message = format!("version {version} did not become active");
        eventually(EVENT_TIMEOUT, &timeout_message, || {
            self.is_active_version(version)
        });
    }

    /// Waits until the log contains this text.
    pub(crate) fn await_log(&self, text: &str) {
        eventually(EVENT_TIMEOUT, &format!("not logged: {text}"), || {
            self.daemon.logged().contains(text)
        });
    }

    /// Sends SIGHUP without changing the file, and waits until the proxy has read it.
    pub(crate) fn reload_unchanged(&self) {
        let reloads = || self.daemon.logged().matches("SIGHUP: ").count();
        let before = reloads();
        self.daemon.signal("HUP");
        eventually(EVENT_TIMEOUT, "the configuration file was not read", || {
            reloads() > before
        });
    }

    /// Calls a method on a new connection, and returns the status of the response.
    pub(crate) fn call(&self, verb: &str, method: &str, id: &str) -> u16 {
        call(&mut self.daemon.client(), verb, method, id)
    }

    pub(crate) fn assert_not_panicked(&self) {
        let logged = self.daemon.logged();
        assert!(!logged.contains("panicked"), "{logged}");
    }
}

/// Builds the settings entry of a method.
pub(crate) fn method(name: &str, idempotency: &str) -> Value {
    json!({"name": name, "idempotency": idempotency, "dedup-scope": "cell", "window-ns": 4e9, "utility": 1.0,
        "latency-target-ns": 3e9, "hard-limit-ns": 3e9})
}

/// Returns the list of methods in a settings object.
pub(crate) fn methods(settings: &mut Value) -> &mut Vec<Value> {
    settings["methods"].as_array_mut().expect("methods")
}

/// Calls a method, and returns the status of the response.
pub(crate) fn call(client: &mut Client, verb: &str, method: &str, id: &str) -> u16 {
    let response = client.call(&rpc(verb, &format!("/{method}"), id, ""));
    response.expect("a response").status()
}
