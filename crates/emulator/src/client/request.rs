//! A client's request to a proxy, and its encoding.
use crate::protocol::{CLIENT_RETRY, IDEMPOTENCY_KEY, REQUEST_ID, REQUEST_TIMEOUT, TENANT};

/// How a slow client sends a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowSend {
    /// Number of pieces into which the request is split.
    pub pieces: usize,
    /// Pause between two pieces, in seconds.
    pub pause_seconds: f64,
}

/// One request of a client: an attempt of an RPC at a proxy.
#[derive(Clone, Debug)]
pub struct ClientRequest {
    /// Id of this request, unique among all requests of all clients.
    pub request_id: u64,
    /// Number of the RPC that this request is an attempt of.
    pub rpc: u32,
    /// Number of the proxy that the request is sent to.
    pub proxy: u16,
    /// HTTP method, `GET` or `POST`.
    pub http_method: &'static str,
    /// Path of the request's URL; its first segment names the RPC's method.
    pub path: String,
    /// Tenant whose quota the request is charged to.
    pub tenant: Option<String>,
    /// Idempotency key of the RPC, the same for all its attempts.
    pub idempotency_key: Option<String>,
    /// Whether the request is marked as a retry.
    pub is_retry: bool,
    /// Time for which the client waits for the response, in seconds.
    pub client_timeout: f64,
    /// Time after which the client cancels the request by closing the connection, in seconds; `None` if it does not cancel.
    pub cancel_after: Option<f64>,
    /// Length of the body in bytes. Ignored for `GET`, which has no body.
    pub body_bytes: usize,
    /// How the request is sent in pieces; `None` if it is sent at once.
    pub slow_send: Option<SlowSend>,
    /// Whether the request is sent on an open connection or not at all.
    pub needs_open_connection: bool,
}

impl ClientRequest {
    /// Encodes the request as HTTP/1.1.
    pub(super) fn encode(&self) -> Vec<u8> {
        let mut text = format!(
            "{} {} HTTP/1.1\r\nHost: api.internal\r\n{REQUEST_ID}: {:016x}\r\n{REQUEST_TIMEOUT}: {:.0}\r\n",
            self.http_method,
            self.path,
            self.request_id,
            self.client_timeout * 1e3
        );
        if let Some(tenant) = &self.tenant {
            text.push_str(&format!("{TENANT}: {tenant}\r\n"));
        }
        if let Some(key) = &self.idempotency_key {
            text.push_str(&format!("{IDEMPOTENCY_KEY}: {key}\r\n"));
        }
        if self.is_retry {
            text.push_str(&format!("{CLIENT_RETRY}: 1\r\n"));
        }
        if self.http_method != "GET" {
            text.push_str(&format!("Content-Length: {}\r\n", self.body_bytes));
        }
        text.push_str("\r\n");
        let mut bytes = text.into_bytes();
        if self.http_method != "GET" {
            bytes.resize(bytes.len() + self.body_bytes, b'x');
        }
        bytes
    }
}
