//! A backend that accepts connections only when a test permits it.
use std::net::SocketAddr;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// A listener whose queue of connections is full, so that further ones are established only once the test accepts them.
pub(crate) struct SlowAccept {
    /// The address that it listens on.
    pub address: SocketAddr,
    listener: socket2::Socket,
    /// Connections that fill the kernel's accept queue.
    fillers: Vec<socket2::Socket>,
}

impl SlowAccept {
    /// Listens, and fills the kernel's accept queue so that further connects wait.
    pub(crate) fn start() -> Self {
        use socket2::{Domain, Socket, Type};
        let listener = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        listener
            .bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into())
            .expect("a free port");
        listener.listen(0).expect("a listener");
        let address = listener
            .local_addr()
            .ok()
            .and_then(|address| address.as_socket())
            .expect("an address");
        let fillers = std::iter::from_fn(|| {
            let filler = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
            filler
                .connect_timeout(&address.into(), Duration::from_millis(300))
                .ok()
                .map(|()| filler)
        });
        let fillers = fillers.collect();
        Self {
            address,
            listener,
            fillers,
        }
    }

    /// Returns the number of connects that wait for their SYN to be acknowledged, without the fillers.
    pub(crate) fn pending_connects(&self) -> usize {
        let SocketAddr::V4(address) = self.address else {
            panic!("no such address: {}", self.address)
        };
        let to = format!(
            "{:08X}:{:04X}",
            u32::from_ne_bytes(address.ip().octets()),
            address.port()
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

    /// Accepts this number of connections and returns them, without the fillers.
    pub(crate) fn accept(self, connections: usize) -> Vec<socket2::Socket> {
        self.listener.listen(1024).expect("a longer queue");
        let filler_count = self.fillers.len();
        let all = (0..filler_count + connections)
            .map(|_| self.listener.accept().expect("a connection").0);
        let peers = all.skip(filler_count).collect();
        drop(self.fillers);
        peers
    }

    /// Accepts all connections for longer than the kernel needs to retry a connect, and returns the number of those that
    /// sent anything, without the fillers.
    pub(crate) fn count_senders(self) -> usize {
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
