//! Backends that answer, break connections off or say nothing, as a test wants.
use super::http::{Message, read_message, reply};
use super::shared::{Log, PATIENCE, Shared};
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread::spawn;
use std::time::Duration;

/// What a backend does with an RPC.
pub(crate) enum Act {
    Write(Vec<u8>),
    /// Writes these bytes and closes the connection.
    Cut(Vec<u8>),
    /// Writes bytes and, once this event is in the log or half a second has passed, writes more; without more bytes it
    /// closes the connection.
    Late(Vec<u8>, Log, String, Vec<u8>),
    /// Writes nothing until the proxy closes the connection.
    Hang,
}

pub(super) fn serve(at: &str, each: impl Fn(TcpStream) + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind(at).expect("a free port");
    let address = listener.local_addr().expect("an address");
    let each = Arc::new(each);
    spawn(move || {
        for stream in listener.incoming().flatten() {
            let each = each.clone();
            spawn(move || each(stream));
        }
    });
    address
}

/// A backend that reports to be idle. It logs `NAME got FIRST-LINE ID` and, where it hangs, `NAME closed ID`.
pub(crate) fn backend(
    name: &'static str,
    log: &Log,
    act: impl Fn(&Message) -> Act + Send + Sync + 'static,
) -> SocketAddr {
    let log = log.clone();
    serve("127.0.0.1:0", move |mut stream| {
        let mut input = BufReader::new(stream.try_clone().expect("a second handle"));
        let mut before = 0;
        while let Some(mut message) = read_message(&mut input) {
            message.before = before;
            before += 1;
            if message.first.starts_with("GET /stats ") {
                let _ = stream.write_all(&reply("200 OK", "concurrent=0,depth=0"));
                continue;
            }
            let id = message.header("request-id").to_owned();
            log.note(format!("{name} got {} {id}", message.first));
            match act(&message) {
                Act::Write(bytes) => drop(stream.write_all(&bytes)),
                Act::Late(bytes, seen, what, more) => {
                    let _ = stream.write_all(&bytes);
                    let noted = |events: &Vec<String>| events.iter().any(|e| e.ends_with(&what));
                    seen.wait(Duration::from_millis(500), noted);
                    if more.is_empty() {
                        // Closed before it is noted: whoever waits for the note finds the connection closed.
                        drop((input, stream));
                        return log.note(format!("{name} done with {id}"));
                    }
                    let _ = stream.write_all(&more);
                    log.note(format!("{name} done with {id}"));
                }
                Act::Cut(bytes) => return drop(stream.write_all(&bytes)),
                Act::Hang => {
                    let _ = input.read(&mut [0]);
                    return log.note(format!("{name} closed {id}"));
                }
            }
        }
    })
}

/// A backend that responds once its gate is open.
pub(crate) fn gated(
    name: &'static str,
    log: &Log,
    text: &'static str,
) -> (SocketAddr, Shared<bool>) {
    let gate = Shared::new(false);
    let open = gate.clone();
    let at = backend(name, log, move |_| {
        open.wait(PATIENCE, |open| *open);
        Act::Write(reply("200 OK", text))
    });
    (at, gate)
}

pub(crate) fn echo(name: &'static str, log: &Log) -> SocketAddr {
    backend(name, log, move |message| {
        Act::Write(reply("200 OK", &format!("{name}:{}", message.text())))
    })
}
