//! A fault proxy: it passes bytes between a proxy and what the proxy connects to, and disturbs them at planned times.
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

/// Connections that wait to be accepted.
const BACKLOG: u32 = 256;
/// Before accepting again when descriptors are out.
const ACCEPT_RETRY: Duration = Duration::from_millis(5);
/// Bytes that are passed on at a time.
const CHUNK: usize = 16 << 10;
/// Bytes of the segments that a chunk is split into.
const SEGMENT: usize = 7;
/// For which bytes are held back to be joined with what follows.
const JOIN_TIME: Duration = Duration::from_millis(3);

/// What is done to the bytes of a connection, or to the connection.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Disturbance {
    /// Every chunk comes so many milliseconds later, either way.
    Delay(u64),
    /// What the proxy sends is swallowed; the connection is reset once the disturbance is over.
    SilenceOutward,
    /// What is sent to the proxy is swallowed, likewise.
    SilenceInward,
    /// Connections are reset as the disturbance begins.
    Reset,
    /// As it begins the proxy sees the end of what it reads, while it may still write.
    HalfClose,
    /// Chunks are split into segments of a few bytes.
    Split,
    /// Chunks are held back for a moment and joined with what follows.
    Join,
}

/// A disturbance and when it lasts, s.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Window {
    /// When it begins.
    pub from: f64,
    /// When it ends.
    pub until: f64,
    /// What happens meanwhile.
    pub disturbance: Disturbance,
}

/// The way of the bytes.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Direction {
    /// From the proxy.
    Outward,
    /// To the proxy.
    Inward,
}

/// The fault proxy before one address.
pub struct Relay {
    clock: Clock,
    target: SocketAddr,
    windows: Vec<Window>,
}

impl Relay {
    /// Listens on this IP and passes connections on to `target`. Returns the address to connect to.
    pub fn start(
        clock: Clock,
        ip: IpAddr,
        target: SocketAddr,
        windows: Vec<Window>,
    ) -> io::Result<SocketAddr> {
        let listener = listen((ip, 0).into(), BACKLOG)?;
        let address = listener.local_addr()?;
        let relay = Rc::new(Self {
            clock,
            target,
            windows,
        });
        spawn_local(relay.accept(listener));
        Ok(address)
    }

    async fn accept(self: Rc<Self>, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => drop(spawn_local(self.clone().connection(stream))),
                Err(_) => sleep(ACCEPT_RETRY).await,
            }
        }
    }

    async fn connection(self: Rc<Self>, proxy: TcpStream) {
        let Ok(target) = TcpStream::connect(self.target).await else {
            return reset(&proxy);
        };
        let _ = (proxy.set_nodelay(true), target.set_nodelay(true));
        let begun = self.clock.now();
        let (proxy_read, mut proxy_write) = proxy.into_split();
        let (target_read, mut target_write) = target.into_split();
        let is_broken = {
            let outward = self.pump(Direction::Outward, &proxy_read, &mut target_write);
            let inward = self.pump(Direction::Inward, &target_read, &mut proxy_write);
            let both = async { tokio::join!(outward, inward) };
            select! {
                _ = both => false,
                () = self.until_reset(begun) => true,
            }
        };
        if is_broken {
            reset(proxy_read.as_ref());
            reset(target_read.as_ref());
            // Dropped they would send an end ahead of the reset.
            proxy_write.forget();
            target_write.forget();
        }
    }

    /// Waits until the connection that began then is reset.
    async fn until_reset(&self, begun: f64) {
        let resets = self.windows.iter().filter_map(|window| {
            let at = match window.disturbance {
                Disturbance::Reset => window.from,
                Disturbance::SilenceOutward | Disturbance::SilenceInward => window.until,
                _ => return None,
            };
            Some(at).filter(|at| *at > begun)
        });
        match resets.min_by(f64::total_cmp) {
            Some(at) => self.clock.sleep_until(at).await,
            None => pending().await,
        }
    }

    /// What disturbs bytes that go this way now.
    fn active(&self, direction: Direction) -> Option<Disturbance> {
        let now = self.clock.now();
        let lasts = |window: &&Window| window.from <= now && now < window.until;
        let concerns = |disturbance: &Disturbance| match disturbance {
            Disturbance::SilenceOutward => direction == Direction::Outward,
            Disturbance::SilenceInward | Disturbance::HalfClose => direction == Direction::Inward,
            Disturbance::Reset => false,
            Disturbance::Delay(_) | Disturbance::Split | Disturbance::Join => true,
        };
        let active = self.windows.iter().filter(lasts);
        active.map(|window| window.disturbance).find(concerns)
    }

    /// Passes bytes on until either side ends; the end is passed on too.
    async fn pump(&self, direction: Direction, from: &OwnedReadHalf, to: &mut OwnedWriteHalf) {
        let mut chunk = vec![0; CHUNK];
        let mut is_silent = false;
        loop {
            let Ok(length) = read_some(from, &mut chunk).await else {
                return;
            };
            if length == 0 {
                break;
            }
            let disturbance = self.active(direction);
            is_silent |= matches!(
                disturbance,
                Some(Disturbance::SilenceOutward | Disturbance::SilenceInward)
            );
            if disturbance == Some(Disturbance::HalfClose) {
                break;
            }
            // Once bytes were swallowed, what follows makes no sense any more.
            if is_silent {
                continue;
            }
            let passed = pass_on(&mut chunk, length, from, to, disturbance).await;
            if passed.is_err() {
                return;
            }
        }
        let _ = to.shutdown().await;
    }
}

async fn read_some(from: &OwnedReadHalf, chunk: &mut [u8]) -> io::Result<usize> {
    loop {
        from.readable().await?;
        match from.try_read(chunk) {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            result => return result,
        }
    }
}

async fn pass_on(
    chunk: &mut [u8],
    mut length: usize,
    from: &OwnedReadHalf,
    to: &mut OwnedWriteHalf,
    disturbance: Option<Disturbance>,
) -> io::Result<()> {
    match disturbance {
        Some(Disturbance::Delay(ms)) => sleep(Duration::from_millis(ms)).await,
        Some(Disturbance::Join) => {
            sleep(JOIN_TIME).await;
            length += from.try_read(&mut chunk[length..]).unwrap_or(0);
        }
        Some(Disturbance::Split) => {
            for segment in chunk[..length].chunks(SEGMENT) {
                to.write_all(segment).await?;
                yield_now().await;
            }
            return Ok(());
        }
        _ => {}
    }
    to.write_all(&chunk[..length]).await
}

/// Ends a connection with a reset.
fn reset(stream: &TcpStream) {
    let _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
}
