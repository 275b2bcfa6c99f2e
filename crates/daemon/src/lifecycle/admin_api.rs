//! The second address: calls of the staff and the platform, one to a connection.
use crate::config::reload::ActiveConfig;
use crate::lifecycle::state::{AdminCommand, ProxyState, StateStore};
use crate::net::sockets::linger;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::{ALLOW, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::collections::VecDeque;
use std::convert::Infallible;
use std::future::poll_fn;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::{AbortHandle, spawn_local};
use tokio::time::{sleep, timeout};

/// Calls at a time; each has a descriptor set aside. With more the oldest goes: who calls waits for 1 s only.
pub(crate) const MAX_CONNECTIONS: usize = 8;
const CALL_TIME: Duration = Duration::from_secs(2); // for a whole call and its answer
const HEAD_MOST: usize = 8 << 10; // bytes of a call's head
const BODY_MOST: usize = 64 << 10; // bytes of a body that nobody needs, which some send
const BREATHE: Duration = Duration::from_millis(10); // before accepting again where that failed
const LINGER_TIME: Duration = Duration::from_millis(200); // for a caller to read its answer while it still sends

/// What a caller is told.
type AdminResponse = Response<Full<Bytes>>;

fn tell(status: StatusCode, line: String) -> AdminResponse {
    let mut told = Response::new(Full::from(line + "\n"));
    *told.status_mut() = status;
    told
}

/// A text in which bytes may be escaped as `%41`; nothing if that was done badly.
fn unescape(text: &str) -> Option<String> {
    let mut parts = text.split('%');
    let mut bytes = parts.next()?.as_bytes().to_vec();
    for part in parts {
        let (digits, rest) = part.split_at_checked(2)?;
        let hex = digits.bytes().all(|b| b.is_ascii_hexdigit());
        bytes.push(u8::from_str_radix(digits, 16).ok().filter(|_| hex)?);
        bytes.extend_from_slice(rest.as_bytes());
    }
    String::from_utf8(bytes).ok()
}

/// The one member that a query names.
fn member(query: &str) -> Result<String, &'static str> {
    let pairs = query
        .split('&')
        .map(|pair| pair.split_once('=').unwrap_or((pair, "")));
    let mut members = pairs
        .filter(|(name, _)| *name == "member")
        .map(|(_, value)| value);
    let member = members.next().ok_or("member is missing")?;
    if members.next().is_some() {
        return Err("member is there twice");
    }
    let member = unescape(member).ok_or("member is badly escaped")?;
    if member.is_empty() {
        Err("member is empty")
    } else {
        Ok(member)
    }
}

/// What a path and query ask for: its verb, and the order if it is one.
fn call(path: &str, query: &str) -> Option<(Method, Result<Option<AdminCommand>, &'static str>)> {
    let order = match path {
        "/status" | "/settings" => return Some((Method::GET, Ok(None))),
        "/standby" => Ok(AdminCommand::Standby),
        "/active" => Ok(AdminCommand::Activate),
        "/maintenance/enter" => member(query).map(AdminCommand::EnterMaintenance),
        "/maintenance/exit" => member(query).map(AdminCommand::ExitMaintenance),
        _ => return None,
    };
    Some((Method::POST, order.map(Some)))
}

fn status(now: &ProxyState) -> AdminResponse {
    let stands = match now {
        _ if now.shutdown.is_some() => "ends: SIGTERM has come",
        _ if !now.ready => "takes no clients yet: no list of backends",
        _ if !now.accepting => "takes no clients yet: another process makes room",
        _ => "takes clients",
    };
    let yes = now.ready && now.accepting && now.shutdown.is_none();
    let status = if yes {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    };
    tell(status, format!("{stands}; {now}"))
}

/// What holds now that an order is in force.
fn holds(order: &AdminCommand, now: &ProxyState) -> String {
    match order {
        AdminCommand::EnterMaintenance(name) => format!("{name} is banned"),
        AdminCommand::ExitMaintenance(name) => format!("{name} is not banned"),
        AdminCommand::Standby => "on standby, health says no".to_owned(),
        AdminCommand::Activate => format!(
            "active, health says {}",
            if now.is_healthy() { "yes" } else { "no" }
        ),
    }
}

pub(crate) struct AdminServer {
    pub standings: Rc<StateStore>,
    pub settings: watch::Receiver<ActiveConfig>,
}

impl AdminServer {
    /// Accepts until dropped.
    pub(crate) async fn run(self: Rc<Self>, listener: TcpListener) {
        let mut calls: VecDeque<AbortHandle> = VecDeque::new();
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    calls.retain(|call| !call.is_finished());
                    // Guards against callers that connect and never finish a call.
                    if calls.len() >= MAX_CONNECTIONS {
                        calls.drain(..1).for_each(|oldest| oldest.abort());
                    }
                    calls.push_back(spawn_local(self.clone().serve(stream)).abort_handle());
                }
                Err(fault) => {
                    log::warn!("no call accepted: {fault}");
                    sleep(BREATHE).await;
                }
            }
        }
    }

    async fn serve(self: Rc<Self>, stream: TcpStream) {
        let service = service_fn(|from: Request<Incoming>| {
            let this = self.clone();
            Box::pin(async move { Ok::<AdminResponse, Infallible>(this.answer(from).await) })
        });
        let mut builder = http1::Builder::new();
        builder.keep_alive(false).max_buf_size(HEAD_MOST);
        let mut connection = builder.serve_connection(TokioIo::new(stream), service);
        match timeout(
            CALL_TIME,
            poll_fn(|cx| connection.poll_without_shutdown(cx)),
        )
        .await
        {
            Err(_) => log::debug!("a call was not finished in time"),
            Ok(ended) => {
                if let Err(fault) = ended {
                    log::debug!("a call ended: {fault}");
                }
                linger(connection.into_parts().io.into_inner(), LINGER_TIME).await;
            }
        }
    }

    async fn answer(&self, from: Request<Incoming>) -> AdminResponse {
        let (head, body) = from.into_parts();
        // Guards against an answer lost because the connection closes on a body that is still coming.
        if Limited::new(body, BODY_MOST).collect().await.is_err() {
            return tell(
                StatusCode::BAD_REQUEST,
                "the body is malformed or over 64 KiB".to_owned(),
            );
        }
        let Some((verb, order)) = call(head.uri.path(), head.uri.query().unwrap_or_default())
        else {
            return tell(StatusCode::NOT_FOUND, "no such call".to_owned());
        };
        if head.method != verb {
            let mut told = tell(
                StatusCode::METHOD_NOT_ALLOWED,
                format!("this call takes {verb}"),
            );
            told.headers_mut()
                .insert(ALLOW, HeaderValue::from_str(verb.as_str()).expect("a verb"));
            return told;
        }
        match order {
            Err(fault) => tell(StatusCode::BAD_REQUEST, fault.to_owned()),
            Ok(None) if head.uri.path() == "/settings" => {
                tell(StatusCode::OK, self.settings.borrow().to_string())
            }
            Ok(None) => status(&self.standings.current()),
            Ok(Some(
                AdminCommand::EnterMaintenance(name) | AdminCommand::ExitMaintenance(name),
            )) if !self.standings.knows(&name) => {
                tell(StatusCode::NOT_FOUND, format!("{name} was never listed"))
            }
            Ok(Some(order)) => match self.standings.execute(&order).await {
                Ok(()) => tell(StatusCode::OK, holds(&order, &self.standings.current())),
                Err(fault) => tell(
                    StatusCode::INTERNAL_SERVER_ERROR,
                    format!("in force in this process only: {fault}"),
                ),
            },
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn members_are_read_once_and_unescaped() {
        assert_eq!(member("a=1&member=s%2D5%c3%A9"), Ok("s-5é".to_owned()));
        for bad in [
            "",
            "member",
            "member=",
            "member=a&member=a",
            "member=%4",
            "member=%+1",
            "member=%ff",
            "members=a",
        ] {
            assert!(member(bad).is_err(), "{bad}");
        }
    }
}
