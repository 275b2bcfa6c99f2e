//! A backend that accepts connections only when a test lets it.
use std::net::SocketAddr;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// An address whose connects complete only once the test accepts them.
pub(crate) struct Slow {
    pub at: SocketAddr,
    listener: socket2::Socket,
    fillers: Vec<socket2::Socket>,
}

impl Slow {
    pub(crate) fn start() -> Self {
        use socket2::{Domain, Socket, Type};
        let listener = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        listener
            .bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into())
            .expect("a free port");
        listener.listen(0).expect("a listener");
        let at = listener
            .local_addr()
            .ok()
            .and_then(|at| at.as_socket())
            .expect("an address");
        // These fill the queue of the kernel: a further connect waits.
        let fillers = std::iter::from_fn(|| {
            let filler = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
            filler
                .connect_timeout(&at.into(), Duration::from_millis(300))
                .ok()
                .map(|()| filler)
        });
        let fillers = fillers.collect();
        Self {
            at,
            listener,
            fillers,
        }
    }
    /// Connects under way, without the fillers.
    pub(crate) fn asked(&self) -> usize {
        let SocketAddr::V4(at) = self.at else {
            panic!("no such address: {}", self.at)
        };
        let to = format!(
            "{:08X}:{:04X}",
            u32::from_ne_bytes(at.ip().octets()),
            at.port()
        );
        let all = std::fs::read_to_string("/proc/net/tcp").expect("connections");
        let is = |line: &&str| {
            line.split_whitespace()
                .skip(2)
                .take(2)
                .eq([to.as_str(), "02"])
        };
        all.lines().filter(is).count()
    }
    /// Accepts, and returns so many connections without the fillers once they are established.
    pub(crate) fn let_in(self, connections: usize) -> Vec<socket2::Socket> {
        self.listener.listen(1024).expect("a longer queue");
        let filler_count = self.fillers.len();
        let all = (0..filler_count + connections)
            .map(|_| self.listener.accept().expect("a connection").0);
        let peers = all.skip(filler_count).collect();
        drop(self.fillers);
        peers
    }
    /// Accepts all connections for longer than the kernel needs to repeat a connect, and counts those that sent anything,
    /// without the fillers.
    pub(crate) fn heard_when_let_in(self) -> usize {
        let until = Instant::now() + Duration::from_millis(1500);
        self.listener
            .set_nonblocking(true)
            .expect("a non-blocking listener");
        drop(self.fillers);
        let mut sent = 0;
        while Instant::now() < until {
            let Ok((peer, _)) = self.listener.accept() else {
                sleep(Duration::from_millis(5));
                continue;
            };
            peer.set_nonblocking(false)
                .and_then(|()| peer.set_read_timeout(Some(Duration::from_millis(300))))
                .expect("a peer");
            sent +=
                usize::from(std::io::Read::read(&mut &peer, &mut [0]).is_ok_and(|bytes| bytes > 0));
        }
        sent
    }
}
