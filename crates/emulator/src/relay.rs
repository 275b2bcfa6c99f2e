//! Fault-injecting relay: it forwards bytes between a proxy and the address that the proxy connects to, and applies
//! network faults at planned times.
use crate::clock::Clock;
use crate::wire::listen;
use serde::{Deserialize, Serialize};
use std::future::pending;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::select;
use tokio::task::{spawn_local, yield_now};
use tokio::time::sleep;

/// Backlog of the listener, in connections.
const LISTEN_BACKLOG: u32 = 256;
/// Delay before accepting again after an error, such as a lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(5);
/// Maximum number of bytes that are forwarded at a time.
const CHUNK_BYTES: usize = 16 << 10;
/// Length of the segments into which [`NetworkFault::Split`] splits a chunk.
const SEGMENT_BYTES: usize = 7;
/// Time for which [`NetworkFault::Coalesce`] delays a chunk to forward it together with the bytes that follow.
const COALESCE_DELAY: Duration = Duration::from_millis(3);

/// A fault of a connection or of the bytes on it. Outbound bytes come from the proxy, inbound bytes go to it.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum NetworkFault {
    /// Delays every chunk in both directions, in milliseconds.
    Delay(u64),
    /// Drops the bytes that the proxy sends. The connection is reset when the fault ends.
    #[serde(rename = "silence-outward")]
    DropOutbound,
    /// Drops the bytes that are sent to the proxy. The connection is reset when the fault ends.
    #[serde(rename = "silence-inward")]
    DropInbound,
    /// Resets the connections that are open when the fault begins.
    Reset,
    /// Closes the inbound direction; the proxy can still send.
    HalfClose,
    /// Splits chunks into segments of a few bytes.
    Split,
    /// Delays each chunk briefly and forwards it together with the bytes that follow.
    #[serde(rename = "join")]
    Coalesce,
}

/// A fault and the time during which it is active.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct FaultWindow {
    /// When it begins, in seconds of the clock.
    pub from: f64,
    /// When it ends, in seconds of the clock.
    pub until: f64,
    /// The fault.
    #[serde(rename = "disturbance")]
    pub fault: NetworkFault,
}

/// Direction in which bytes are forwarded.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Direction {
    /// From the proxy.
    Outbound,
    /// To the proxy.
    Inbound,
}

/// The relay in front of one address.
pub struct Relay {
    clock: Clock,
    target: SocketAddr,
    windows: Vec<FaultWindow>,
}

impl Relay {
    /// Listens on an IP and forwards connections to `target`. Returns the address of the relay.
    pub fn start(
        clock: Clock,
        ip: IpAddr,
        target: SocketAddr,
        windows: Vec<FaultWindow>,
    ) -> io::Result<SocketAddr> {
        let listener = listen((ip, 0).into(), LISTEN_BACKLOG)?;
        let address = listener.local_addr()?;
        let relay = Rc::new(Self {
            clock,
            target,
            windows,
        });
        spawn_local(relay.accept_connections(listener));
        Ok(address)
    }

    async fn accept_connections(self: Rc<Self>, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => drop(spawn_local(self.clone().serve_connection(stream))),
                Err(_) => sleep(ACCEPT_RETRY_DELAY).await,
            }
        }
    }

    async fn serve_connection(self: Rc<Self>, proxy: TcpStream) {
        let Ok(target) = TcpStream::connect(self.target).await else {
            return reset(&proxy);
        };
        let _ = proxy.set_nodelay(true);
        let _ = target.set_nodelay(true);
        let opened_at = self.clock.now();
        let (proxy_read, mut proxy_write) = proxy.into_split();
        let (target_read, mut target_write) = target.into_split();
        let is_broken = {
            let outbound = self.forward(Direction::Outbound, &proxy_read, &mut target_write);
            let inbound = self.forward(Direction::Inbound, &target_read, &mut proxy_write);
            let both = async { tokio::join!(outbound, inbound) };
            select! {
                _ = both => false,
                () = self.wait_for_reset(opened_at) => true,
            }
        };
        if is_broken {
            reset(proxy_read.as_ref());
            reset(target_read.as_ref());
            // Dropping the write halves would shut the connections down before they are reset.
            proxy_write.forget();
            target_write.forget();
        }
    }

    /// Waits until the first time after `opened_at` at which a fault resets connections; forever if there is none.
    async fn wait_for_reset(&self, opened_at: f64) {
        let resets = self.windows.iter().filter_map(|window| {
            let at = match window.fault {
                NetworkFault::Reset => window.from,
                NetworkFault::DropOutbound | NetworkFault::DropInbound => window.until,
                _ => return None,
            };
            Some(at).filter(|at| *at > opened_at)
        });
        match resets.min_by(f64::total_cmp) {
            Some(at) => self.clock.sleep_until(at).await,
            None => pending().await,
        }
    }

    /// The first active fault that affects bytes in this direction.
    fn active_fault(&self, direction: Direction) -> Option<NetworkFault> {
        let now = self.clock.now();
        let is_active = |window: &&FaultWindow| window.from <= now && now < window.until;
        let affects = |fault: &NetworkFault| match fault {
            NetworkFault::DropOutbound => direction == Direction::Outbound,
            NetworkFault::DropInbound | NetworkFault::HalfClose => direction == Direction::Inbound,
            NetworkFault::Reset => false,
            NetworkFault::Delay(_) | NetworkFault::Split | NetworkFault::Coalesce => true,
        };
        let active = self.windows.iter().filter(is_active);
        active.map(|window| window.fault).find(affects)
    }

    /// Forwards bytes in one direction until its sender closes it or a fault does, and then closes it for the receiver.
    /// Stops without closing it after an error.
    async fn forward(&self, direction: Direction, from: &OwnedReadHalf, to: &mut OwnedWriteHalf) {
        let mut chunk = vec![0; CHUNK_BYTES];
        let mut is_dropping = false;
        loop {
            let Ok(length) = read_some(from, &mut chunk).await else {
                return;
            };
            if length == 0 {
                break;
            }
            let fault = self.active_fault(direction);
            is_dropping |= matches!(
                fault,
                Some(NetworkFault::DropOutbound | NetworkFault::DropInbound)
            );
            if fault == Some(NetworkFault::HalfClose) {
                break;
            }
            // Once bytes were dropped, later bytes are dropped too: the receiver would read them in the wrong place.
            if is_dropping {
                continue;
            }
            let forwarded = forward_chunk(&mut chunk, length, from, to, fault).await;
            if forwarded.is_err() {
                return;
            }
        }
        let _ = to.shutdown().await;
    }
}

/// Waits for bytes and reads those that are available. Returns 0 at the end of the stream.
async fn read_some(from: &OwnedReadHalf, chunk: &mut [u8]) -> io::Result<usize> {
    loop {
        from.readable().await?;
        match from.try_read(chunk) {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            result => return result,
        }
    }
}

/// Forwards a chunk with the effect of `fault`.
async fn forward_chunk(
    chunk: &mut [u8],
    mut length: usize,
    from: &OwnedReadHalf,
    to: &mut OwnedWriteHalf,
    fault: Option<NetworkFault>,
) -> io::Result<()> {
    match fault {
        Some(NetworkFault::Delay(ms)) => sleep(Duration::from_millis(ms)).await,
        Some(NetworkFault::Coalesce) => {
            sleep(COALESCE_DELAY).await;
            length += from.try_read(&mut chunk[length..]).unwrap_or(0);
        }
        Some(NetworkFault::Split) => {
            for segment in chunk[..length].chunks(SEGMENT_BYTES) {
                to.write_all(segment).await?;
                yield_now().await;
            }
            return Ok(());
        }
        _ => {}
    }
    to.write_all(&chunk[..length]).await
}

/// Sets a linger time of 0, so that the connection is reset when it is dropped.
fn reset(stream: &TcpStream) {
    let _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
}
