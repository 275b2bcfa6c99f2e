//! Client connections to proxies: kept between RPCs, one RPC at a time on each, more opened when all are busy.
use crate::clock::Clock;
use crate::notes::Notes;
use crate::wire::{Kind, Message, Peer, Rest, Stop};
use birchhub_audit::{Answer, Event};
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::select;
use tokio::time::timeout;

const LINGER: f64 = 0.25; // s that a client listens on after its patience, so that a late answer is seen as late
const CROSSING: f64 = 0.005; // s after a send within which a close can have crossed it; no proxy starts again as fast
const CONNECT: Duration = Duration::from_secs(1); // for a connection to a proxy on this machine

/// One try of an RPC, as it goes out.
#[derive(Clone, Debug)]
pub struct Call {
    pub request_id: u64,
    pub rpc: u32,
    pub proxy: u16,
    pub verb: &'static str,
    pub path: String,
    pub tenant: Option<String>,
    pub key: Option<String>,
    pub retry: bool,
    /// s that the client waits.
    pub client_timeout: f64,
    /// It hangs up after so many seconds, if the answer has not come.
    pub leaves_after: Option<f64>,
    pub body: usize,
    /// The request is sent in so many pieces, with so many seconds between them.
    pub pieces: Option<(usize, f64)>,
}

impl Call {
    fn encode(&self) -> Vec<u8> {
        let mut text = format!(
            "{} {} HTTP/1.1\r\nHost: api.internal\r\nRequest-Id: {:016x}\r\nRequest-Timeout-Ms: {:.0}\r\n",
            self.verb,
            self.path,
            self.request_id,
            self.client_timeout * 1e3
        );
        if let Some(tenant) = &self.tenant {
            text.push_str(&format!("Tenant: {tenant}\r\n"));
        }
        if let Some(key) = &self.key {
            text.push_str(&format!("Idempotency-Key: {key}\r\n"));
        }
        if self.retry {
            text.push_str("Client-Retry: 1\r\n");
        }
        if self.verb != "GET" {
            text.push_str(&format!("Content-Length: {}\r\n", self.body));
        }
        text.push_str("\r\n");
        let mut bytes = text.into_bytes();
        if self.verb != "GET" {
            bytes.resize(bytes.len() + self.body, b'x');
        }
        bytes
    }
}

/// The connections of one thread's clients.
pub struct Caller {
    notes: Notes,
    idle: RefCell<HashMap<SocketAddr, Vec<Peer>>>,
}

/// What became of a try on one connection.
enum Went {
    /// To its answer or the lack of one.
    Over(Answer),
    /// A kept connection was closed as the RPC was written to it: the proxy never read it.
    Crossed,
}

impl Caller {
    pub fn new(notes: Notes) -> Self {
        Self {
            notes,
            idle: RefCell::default(),
        }
    }

    fn clock(&self) -> &Clock {
        &self.notes.clock
    }

    fn kept(&self, at: SocketAddr) -> Option<Peer> {
        let mut idle = self.idle.borrow_mut();
        let peers = idle.get_mut(&at)?;
        // One on which something came, or its end, while nothing was asked is of no use.
        while let Some(mut peer) = peers.pop() {
            if peer.rest() == Rest::Open {
                return Some(peer);
            }
        }
        None
    }

    /// Sends one try and waits for its answer; both are noted.
    pub async fn call(&self, call: &Call, at: SocketAddr) -> Answer {
        let mut sent = false;
        let kept = self.kept(at);
        if let Some(peer) = kept
            && let Went::Over(answer) = self.on(peer, call, at, true, &mut sent).await
        {
            return self.answered(call, answer);
        }
        let Ok(Ok(peer)) = timeout(CONNECT, Peer::connect(at)).await else {
            // After a crossing the proxy is gone, and nobody can tell what it had read.
            let answer = if sent {
                Answer::Lost
            } else {
                Answer::Unreachable
            };
            if !sent {
                self.sent(call);
            }
            return self.answered(call, answer);
        };
        match self.on(peer, call, at, false, &mut sent).await {
            Went::Over(answer) => self.answered(call, answer),
            Went::Crossed => self.answered(call, Answer::Lost),
        }
    }

    fn sent(&self, call: &Call) {
        let Call {
            request_id,
            rpc,
            proxy,
            ..
        } = *call;
        self.notes.tell(Event::RequestSent {
            request_id,
            rpc,
            proxy,
            client_timeout: call.client_timeout as f32,
        });
    }

    fn answered(&self, call: &Call, answer: Answer) -> Answer {
        self.notes.tell(Event::RequestAnswered {
            request_id: call.request_id,
            answer,
        });
        answer
    }

    /// Sends a slow request up to its last piece, and returns that; all of a usual one.
    async fn write_all_but_last<'a>(
        &self,
        peer: &mut Peer,
        call: &Call,
        bytes: &'a [u8],
    ) -> &'a [u8] {
        let Some((pieces, pause)) = call.pieces else {
            return bytes;
        };
        let size = bytes.len().div_ceil(pieces.max(1)).max(1);
        let (early, last) = bytes.split_at((bytes.len() - 1) / size * size);
        for piece in early.chunks(size) {
            let _ = peer.write(piece).await;
            self.clock().sleep_until(self.clock().now() + pause).await;
        }
        last
    }

    async fn on(
        &self,
        mut peer: Peer,
        call: &Call,
        at: SocketAddr,
        kept: bool,
        sent: &mut bool,
    ) -> Went {
        let bytes = call.encode();
        let last = self.write_all_but_last(&mut peer, call, &bytes).await;
        // A proxy that has gone meanwhile never had the whole of it.
        if call.pieces.is_some() && peer.rest() == Rest::Ended {
            if !std::mem::replace(sent, true) {
                self.sent(call);
            }
            return Went::Over(Answer::Unreachable);
        }
        // Told before the last bytes leave, so that no pick overtakes it; a crossing is sent twice and told once.
        if !std::mem::replace(sent, true) {
            self.sent(call);
        }
        let begun = self.clock().now();
        // A write that fails shows when the answer is read.
        let _ = peer.write(last).await;
        let leaves = call
            .leaves_after
            .map_or(f64::INFINITY, |after| begun + after);
        let read = select! {
            biased;
            read = peer.read(Kind::Response, self.clock()) => read,
            () = self.clock().sleep_until((begun + call.client_timeout + LINGER).min(leaves)) => {
                let early = leaves <= begun + call.client_timeout + LINGER;
                return Went::Over(if early { Answer::Cancelled } else { Answer::TimedOut });
            }
        };
        let message = match read {
            Ok(message) => message,
            Err(Stop::Garbled) => return Went::Over(Answer::Malformed),
            // Closed without a byte of an answer, at once, on a kept connection: the two crossed. Later it may have
            // been read, and only the client's own rules say whether it may go out again.
            Err(Stop::Closed | Stop::Broken)
                if kept && peer.is_blank() && self.clock().now() < begun + CROSSING =>
            {
                return Went::Crossed;
            }
            Err(_) => return Went::Over(Answer::Lost),
        };
        let answer = meaning(call, &message);
        match peer.rest() {
            Rest::Bytes => return Went::Over(Answer::Malformed),
            Rest::Open if !message.is_last() => {
                self.idle.borrow_mut().entry(at).or_default().push(peer)
            }
            Rest::Open | Rest::Ended => {}
        }
        Went::Over(answer)
    }
}

/// An answer as the protocol has it; a 200 must carry what a node made for this very try.
fn meaning(call: &Call, message: &Message) -> Answer {
    match message.status {
        200 if message
            .body
            .starts_with(format!("{:016x} ", call.request_id).as_bytes()) =>
        {
            Answer::Ok
        }
        200 => Answer::Malformed,
        429 | 503 => {
            let after = message
                .header("retry-after")
                .and_then(|value| value.parse().ok());
            Answer::Rejected(after)
        }
        status => Answer::Aborted(status),
    }
}
