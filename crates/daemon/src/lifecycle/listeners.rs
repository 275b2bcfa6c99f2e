//! The listening sockets of a process: for clients and for the admin API.

use crate::config::file::Config;
use crate::config::keys::{ADMIN_ADDRESS, CLIENT_ADDRESS};
use crate::lifecycle::start_error::StartError;
use crate::net::local_error::is_transient_local_error;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket};
use tokio::time::{Instant, sleep};

/// Maximum number of connections that wait to be accepted. Large enough that no connection of a burst is refused.
const BACKLOG: u32 = 1024;

/// Time for which binding is retried while the machine lacks sockets or memory.
const BIND_TIMEOUT: Duration = Duration::from_secs(1);
/// Delay between attempts to bind.
const BIND_RETRY_DELAY: Duration = Duration::from_millis(10);

/// The listening sockets of a process.
pub(crate) struct Listeners {
    /// The socket for clients.
    pub clients: TcpListener,
    /// Whether the socket for clients was inherited: it belongs to the platform and outlives this process.
    pub inherited: bool,
    /// The socket of the admin API, if it has an address.
    pub admin: Option<TcpListener>,
}

impl Listeners {
    /// Binds the addresses of the configuration. An `inherited` socket is used for clients instead of binding one.
    pub(crate) async fn bind(
        config: &Config,
        inherited: Option<std::net::TcpListener>,
    ) -> Result<Self, StartError> {
        let is_inherited = inherited.is_some();
        let clients = match inherited {
            Some(socket) => TcpListener::from_std(socket).map_err(StartError::InheritedListener)?,
            None => bind(CLIENT_ADDRESS.variable, config.client_address).await?,
        };
        let admin = match config.admin_address {
            Some(address) => Some(bind(ADMIN_ADDRESS.variable, address).await?),
            None => None,
        };
        Ok(Self {
            clients,
            inherited: is_inherited,
            admin,
        })
    }
}

/// Binds an address. Retries for up to [`BIND_TIMEOUT`] if local resources are exhausted.
async fn bind(setting: &'static str, address: SocketAddr) -> Result<TcpListener, StartError> {
    let deadline = Instant::now() + BIND_TIMEOUT;
    loop {
        match listen(address) {
            Ok(listener) => return Ok(listener),
            Err(error) if is_transient_local_error(&error) && Instant::now() < deadline => {
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
    // Allows a restarted process to bind the address of its predecessor at once.
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}
