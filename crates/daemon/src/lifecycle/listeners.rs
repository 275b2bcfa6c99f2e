//! The sockets on which a process accepts: the clients' and the administrators'.

use crate::config::file::Config;
use crate::lifecycle::start_error::StartError;
use crate::net::local_error::is_local;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket};
use tokio::time::{Instant, sleep};

/// Connections that wait to be accepted: none of a burst may be refused.
const BACKLOG: u32 = 1024;

/// For which a start waits for a socket that this machine has none for.
const BIND_TIMEOUT: Duration = Duration::from_secs(1);
/// Between tries.
const BIND_RETRY_DELAY: Duration = Duration::from_millis(10);

/// The listening sockets of a process.
pub(crate) struct Listeners {
    /// For clients.
    pub clients: TcpListener,
    /// The one for clients was inherited: it belongs to the platform and outlives this process.
    pub inherited: bool,
    /// For administrators, where they have an address.
    pub admin: Option<TcpListener>,
}

impl Listeners {
    /// Binds the addresses of the configuration; clients are accepted on `inherited` instead, if there is such a socket.
    pub(crate) async fn bind(
        config: &Config,
        inherited: Option<std::net::TcpListener>,
    ) -> Result<Self, StartError> {
        let is_inherited = inherited.is_some();
        let clients = match inherited {
            Some(socket) => TcpListener::from_std(socket).map_err(StartError::InheritedListener)?,
            None => bind("LB_LISTEN", config.listen).await?,
        };
        let admin = match config.management {
            Some(address) => Some(bind("LB_MANAGEMENT", address).await?),
            None => None,
        };
        Ok(Self {
            clients,
            inherited: is_inherited,
            admin,
        })
    }
}

/// Binds an address; a failure of this machine that is over soon does not end the start.
async fn bind(setting: &'static str, address: SocketAddr) -> Result<TcpListener, StartError> {
    let give_up_at = Instant::now() + BIND_TIMEOUT;
    loop {
        match listen(address) {
            Ok(listener) => return Ok(listener),
            Err(error) if is_local(&error) && Instant::now() < give_up_at => {
                sleep(BIND_RETRY_DELAY).await;
            }
            Err(source) => {
                return Err(StartError::Bind {
                    setting,
                    address,
                    source,
                });
            }
        }
    }
}

fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() {
        TcpSocket::new_v4()
    } else {
        TcpSocket::new_v6()
    }?;
    // A restart takes its address over at once.
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}
